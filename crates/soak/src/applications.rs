//! Applications that hold locks, take numbers, put and read keys and watch them, on open connections that each uses until its gateway
//! ends it or is gone. A call that has no answer within a second, a 5xx or a 429 goes to another gateway; a put keeps its value. Some
//! applications sleep past the end of their holds, some forget what they hold.

use std::rc::Rc;
use std::time::Duration;

use rainlug_sim_worker::client::{Ask, Connection, Error, Response};
use rand::Rng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use serde_json::json;
use tokio::time::sleep;

use crate::soak::{Soak, Stage};

/// A call without an answer in this time goes to another gateway.
const PATIENCE: Duration = Duration::from_secs(1);
/// How long a call goes out again, under load and at the end.
const REPEATED_FOR: Duration = Duration::from_secs(5);
const READ_BACK_FOR: Duration = Duration::from_secs(30);
const RETRY: Duration = Duration::from_millis(100);
/// A request that has not been read, as the end of its connection crossed it, is known to be lost in this time.
const CROSSED: Duration = Duration::from_millis(200);
const WATCH_WAIT: Duration = Duration::from_secs(1);
const LOCKS: usize = 4;
const NUMBERS: usize = 2;
const KEYS: usize = 6;
const GROUPS: [&str; 3] = ["g1.", "g2.", "g3."];
/// The holder of locks that are asked for at the end.
const READER: usize = usize::MAX;

/// A call of an application.
#[derive(Clone)]
enum Call {
    Acquire { lock: String, hold: Duration },
    Renew { lock: String, fence: u64, hold: Duration },
    Release { lock: String, fence: u64 },
    Number { name: String },
    Put { key: String, value: String, expected: Option<u64> },
    Read { key: String },
    Watch { group: String, since: u64 },
}

struct Held {
    lock: String,
    fence: u64,
    until: Duration,
}

#[derive(Deserialize)]
struct Fence {
    fence: u64,
}

#[derive(Deserialize)]
struct Number {
    payload: u64,
}

#[derive(Deserialize)]
struct Revision {
    revision: u64,
}

#[derive(Deserialize)]
struct Version {
    payload: String,
    revision: u64,
}

#[derive(Deserialize)]
struct Event {
    name: String,
    payload: String,
    revision: u64,
}

#[derive(Deserialize)]
struct Events {
    events: Vec<Event>,
    revision: u64,
}

/// One application.
struct Application {
    id: usize,
    /// The gateway that it talks to, and the connection.
    connection: Option<(usize, Connection)>,
    held: Option<Held>,
    watched: [u64; GROUPS.len()],
    known: [u64; KEYS],
    puts: usize,
}

fn key(number: usize) -> String {
    format!("{}k{number}", GROUPS[number % GROUPS.len()])
}

fn micros(time: Duration) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}

impl Call {
    /// Method, path and body.
    fn request(&self, holder: &str) -> (&'static str, String, String) {
        let hold_ms = |hold: &Duration| hold.as_millis() as u64;
        match self {
            Call::Acquire { lock, hold } => (
                "POST",
                format!("/v1/locks/{lock}"),
                json!({"holder": holder, "hold_ms": hold_ms(hold)}).to_string(),
            ),
            Call::Renew { lock, fence, hold } => (
                "PUT",
                format!("/v1/locks/{lock}"),
                json!({"holder": holder, "fence": fence, "hold_ms": hold_ms(hold)}).to_string(),
            ),
            Call::Release { lock, fence } => {
                ("DELETE", format!("/v1/locks/{lock}"), json!({"holder": holder, "fence": fence}).to_string())
            }
            Call::Number { name } => ("POST", format!("/v1/numbers/{name}"), "{}".to_owned()),
            Call::Put { key, value, expected: Some(expected) } => (
                "PUT",
                format!("/v1/cells/{key}"),
                json!({"payload": value, "enabled": expected}).to_string(),
            ),
            Call::Put { key, value, expected: None } => {
                ("PUT", format!("/v1/cells/{key}"), json!({"payload": value}).to_string())
            }
            Call::Read { key } => ("GET", format!("/v1/cells/{key}"), String::new()),
            Call::Watch { group, since } => {
                let wait_ms = WATCH_WAIT.as_millis();
                ("GET", format!("/v1/watch/{group}?since_item={since}&wait_ms={wait_ms}"), String::new())
            }
        }
    }

    fn patience(&self) -> Duration {
        if matches!(self, Call::Watch { since: 1.., .. }) { PATIENCE + WATCH_WAIT } else { PATIENCE }
    }
}

impl Application {
    fn new(id: usize) -> Self {
        Application {
            id,
            connection: None,
            held: None,
            watched: [0; GROUPS.len()],
            known: [0; KEYS],
            puts: 0,
        }
    }

    fn holder(&self) -> String {
        format!("a{}", self.id)
    }

    fn draw(&mut self, now: Duration, random: &mut SmallRng) -> Call {
        if self.held.as_ref().is_some_and(|held| held.until <= now) {
            self.held = None;
        }
        if let Some(Held { lock, fence, .. }) = &self.held {
            let (lock, fence) = (lock.clone(), *fence);
            return match random.random_range(0..3) {
                0 => Call::Release { lock, fence },
                1 => Call::Renew { lock, fence, hold: Duration::from_millis(700) },
                _ => Call::Acquire { lock, hold: Duration::from_millis(900) },
            };
        }
        let number = random.random_range(0..KEYS);
        match random.random_range(0..7) {
            0 | 1 => Call::Acquire {
                lock: format!("l{}", random.random_range(0..LOCKS)),
                hold: Duration::from_millis(random.random_range(200..2500)),
            },
            2 => Call::Number { name: format!("n{}", random.random_range(0..NUMBERS)) },
            3 => Call::Read { key: key(number) },
            4 => {
                let at = random.random_range(0..GROUPS.len());
                Call::Watch { group: GROUPS[at].to_owned(), since: self.watched[at] }
            }
            _ => {
                self.puts += 1;
                let expected = random.random_bool(0.7).then_some(self.known[number]);
                Call::Put { key: key(number), value: format!("v{}-{}", self.id, self.puts), expected }
            }
        }
    }

    /// Makes a call until it has an answer that counts or its time is over; which was the status.
    async fn call(
        &mut self,
        soak: &Soak,
        random: &mut SmallRng,
        call: Call,
        within: Duration,
    ) -> Option<u16> {
        let begun = soak.now();
        while soak.now().saturating_sub(begun) < within {
            let sent = soak.now();
            match &call {
                Call::Release { lock, .. } => {
                    soak.primitives.borrow_mut().gives_back(lock, self.id, micros(sent));
                    self.held = None;
                }
                Call::Put { key, value, .. } => soak.primitives.borrow_mut().sends(key, value),
                _ => {}
            }
            let response = self.attempt(soak, random, &call).await;
            let status = response.as_ref().map(|response| response.status);
            soak.count(format!(
                "application: {}",
                status.map_or("-".to_owned(), |status| status.to_string())
            ));
            match response {
                Some(response) if response.status < 429 => {
                    self.judge(soak, &call, begun, sent, &response);
                    return status;
                }
                _ => {
                    // Another gateway is asked next.
                    self.connection = None;
                    sleep(RETRY).await;
                }
            }
        }
        None
    }

    /// Sends a call once; none where no answer came.
    async fn attempt(&mut self, soak: &Soak, random: &mut SmallRng, call: &Call) -> Option<Response> {
        if self.connection.as_ref().is_none_or(|(_, connection)| connection.is_closing()) {
            let gateway = soak.any_gateway(random)?;
            let connection = Connection::open(soak.control_of(gateway), PATIENCE).await.ok()?;
            self.connection = Some((gateway, connection));
        }
        let (method, path, body) = call.request(&self.holder());
        let (gateway, connection) = self.connection.as_mut()?;
        let fields = [("Content-Type", "application/json")];
        let ask = Ask { method, path: &path, fields: &fields, body: body.as_bytes() };
        let sent = soak.now();
        match connection.ask(ask, call.patience()).await {
            Ok(response) => Some(response),
            Err(error) => {
                judge_loss(soak, *gateway, sent, &error, &path);
                None
            }
        }
    }

    /// Hands an answer to the checker, and keeps what the application goes on with.
    fn judge(&mut self, soak: &Soak, call: &Call, begun: Duration, sent: Duration, response: &Response) {
        let now = soak.now();
        let read = self.record(soak, call, (begun, sent, now), response);
        if read.is_none() {
            let (_, path, _) = call.request("");
            let body = String::from_utf8_lossy(&response.body);
            soak.violated(format!("{path}: answered {} {body}", response.status));
        }
        for violation in std::mem::take(&mut soak.primitives.borrow_mut().violations) {
            soak.violated(violation);
        }
    }

    /// None where the answer is none that the protocol knows.
    fn record(
        &mut self,
        soak: &Soak,
        call: &Call,
        (begun, sent, now): (Duration, Duration, Duration),
        response: &Response,
    ) -> Option<()> {
        let mut history = soak.primitives.borrow_mut();
        let body = &response.body[..];
        match (call, response.status) {
            (Call::Acquire { lock, hold }, 200) => {
                let Fence { fence } = serde_json::from_slice(body).ok()?;
                history.fence(lock, self.id, micros(sent), micros(now), fence);
                drop(history);
                self.hold(soak, lock, fence, now, sent + *hold);
            }
            (Call::Acquire { .. }, 409) => {}
            (Call::Renew { lock, fence, hold }, 200) => {
                drop(history);
                // A renewal that comes too late counts for nothing.
                if self.held.as_ref().is_some_and(|held| held.until > now) {
                    self.hold(soak, lock, *fence, now, sent + *hold);
                }
            }
            (Call::Renew { lock, .. }, 409) => {
                history.gives_back(lock, self.id, micros(now));
                self.held = None;
            }
            (Call::Release { .. }, 200) => {}
            (Call::Number { name }, 200) => {
                let Number { payload } = serde_json::from_slice(body).ok()?;
                history.number(name, micros(sent), micros(now), payload);
            }
            (Call::Put { key, value, .. }, 200) => {
                let Revision { revision } = serde_json::from_slice(body).ok()?;
                history.put(key, value, micros(begun), micros(now), revision);
            }
            (Call::Put { value, .. }, 412) => history.refuses(value),
            (Call::Read { key: read }, 200) => {
                let Version { payload, revision } = serde_json::from_slice(body).ok()?;
                history.read(read, micros(sent), revision);
                history.shown(read, &payload, revision);
                let known = (0..KEYS).find(|number| key(*number) == *read)?;
                self.known[known] = revision;
            }
            (Call::Read { key }, 404) => history.read(key, micros(sent), 0),
            (Call::Watch { group, since }, 200) => {
                let Events { events, revision } = serde_json::from_slice(body).ok()?;
                for event in &events {
                    history.shown(&event.name, &event.payload, event.revision);
                }
                let revisions: Vec<u64> = events.iter().map(|event| event.revision).collect();
                history.watched(group, *since, micros(sent), &revisions, revision);
                let at = GROUPS.iter().position(|known| known == group)?;
                self.watched[at] = self.watched[at].max(revision);
            }
            _ => return None,
        }
        Some(())
    }

    fn hold(&mut self, soak: &Soak, lock: &str, fence: u64, now: Duration, until: Duration) {
        if until > now {
            soak.primitives.borrow_mut().holds(lock, self.id, micros(now), micros(until));
            self.held = Some(Held { lock: lock.to_owned(), fence, until });
        }
    }
}

/// A call on an open connection has no whole answer. That is in order where its gateway was killed, paused or cut off meanwhile, and
/// where a planned end of the connection crossed the call, which shows at once.
fn judge_loss(soak: &Soak, gateway: usize, sent: Duration, error: &Error, path: &str) {
    let took = soak.now().saturating_sub(sent);
    if !matches!(error, Error::Broken(_)) {
        soak.count("application: no answer in time");
    } else if soak.tier.borrow().was_disturbed(gateway, soak.begun() + sent) {
        soak.count("application: lost with its gateway");
    } else if took <= CROSSED {
        soak.count("application: ended across a call");
    } else {
        let name = soak.tier.borrow().name(gateway);
        soak.violated(format!("{name}: {error}, {path}, after {:.3} s", took.as_secs_f64()));
    }
}

/// One application, as long as there is load.
pub async fn applications(soak: Rc<Soak>, task: u64, id: usize) {
    let mut random = soak.random(task);
    let mut application = Application::new(id);
    while soak.stage() <= Stage::Closing {
        sleep(Duration::from_millis(random.random_range(1..60))).await;
        let call = application.draw(soak.now(), &mut random);
        application.call(&soak, &mut random, call, REPEATED_FOR).await;
        if random.random_bool(0.02) {
            sleep(Duration::from_millis(random.random_range(0..4000))).await;
        }
        if random.random_bool(0.02) {
            application.held = None;
        }
    }
}

/// Reads back all that was acknowledged, once troubles are over; each call must have its answer in time.
pub async fn read_back(soak: &Soak, random: &mut SmallRng) {
    let mut reader = Application::new(READER);
    let keys = (0..KEYS).map(|number| Call::Read { key: key(number) });
    let numbers = (0..NUMBERS).map(|number| Call::Number { name: format!("n{number}") });
    let watches = GROUPS.map(|group| Call::Watch { group: group.to_owned(), since: 0 });
    for call in keys.chain(numbers).chain(watches) {
        if reader.call(soak, random, call.clone(), READ_BACK_FOR).await.is_none() {
            let (_, path, _) = call.request("");
            soak.violated(format!("LOST: {path} is not answered at the end"));
        }
    }
    for lock in 0..LOCKS {
        let call = Call::Acquire { lock: format!("l{lock}"), hold: PATIENCE };
        let begun = soak.now();
        while reader.call(soak, random, call.clone(), READ_BACK_FOR).await != Some(200) {
            if soak.now().saturating_sub(begun) >= READ_BACK_FOR {
                soak.violated(format!("LOST: lock l{lock} is not had at the end"));
                break;
            }
            sleep(RETRY).await;
        }
    }
}
