//! Callers of locks, numbers, keys and watches at an in-memory fleet, with steady clocks of their own. A call that has no answer within a
//! second, or a 5xx or 429, goes to another gateway; a put keeps its value.

use rainlug::{SECOND, Time};
use rainlug_coordinator::{Answer, Call, PrimitiveCall};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

use super::common::{Fleet, MS};
use super::history::History;

const PATIENCE: Time = SECOND;
/// How long a call goes out again.
const REPEATED_FOR: Time = 5 * SECOND;
const WATCH_WAIT: Time = SECOND;
pub const LOCKS: usize = 3;
pub const KEYS: usize = 4;
pub const NUMBERS: usize = 2;
pub const GROUPS: [&str; 2] = ["g1.", "g2."];

/// A call that is under way.
struct Pending {
    call: PrimitiveCall,
    first_sent: Time,
    sent: Time,
    ticket: u64,
}

struct Held {
    lock: String,
    fence: u64,
    until: Time,
}

pub struct Caller {
    id: usize,
    pending: Option<Pending>,
    held: Option<Held>,
    /// Where each group's watch goes on.
    watched: [u64; GROUPS.len()],
    /// The revision at which each key was last read.
    known: [u64; KEYS],
    asleep_until: Time,
    puts: usize,
}

pub fn key(number: usize) -> String {
    format!("{}k{number}", GROUPS[number % GROUPS.len()])
}

fn json(answer: &Answer) -> Value {
    serde_json::from_slice(&answer.body).expect("JSON")
}

fn integer(answer: &Answer, field: &str) -> u64 {
    json(answer)[field].as_u64().expect("a number")
}

impl Caller {
    pub fn new(id: usize) -> Self {
        Caller { id, pending: None, held: None, watched: [0; 2], known: [0; KEYS], asleep_until: 0, puts: 0 }
    }

    pub fn is_idle(&self) -> bool {
        self.pending.is_none()
    }

    fn holder(&self) -> String {
        format!("a{}", self.id)
    }

    fn next_call(&mut self, now: Time, rng: &mut ChaCha8Rng) -> PrimitiveCall {
        if self.held.as_ref().is_some_and(|held| held.until <= now) {
            self.held = None;
        }
        if let Some(Held { lock, fence, .. }) = &self.held {
            let (lock, holder, fence) = (lock.clone(), self.holder(), *fence);
            return match rng.random_range(0..3) {
                0 => PrimitiveCall::ReleaseLock { lock, holder, fence },
                1 => PrimitiveCall::RenewLock { lock, holder, fence, hold_ms: 700 },
                _ => PrimitiveCall::AcquireLock { lock, holder, hold_ms: 900 },
            };
        }
        let number = rng.random_range(0..KEYS);
        match rng.random_range(0..7) {
            0 | 1 => PrimitiveCall::AcquireLock {
                lock: format!("l{}", rng.random_range(0..LOCKS)),
                holder: self.holder(),
                hold_ms: rng.random_range(200..2500),
            },
            2 => PrimitiveCall::NextNumber { name: format!("n{}", rng.random_range(0..NUMBERS)) },
            3 => PrimitiveCall::ReadKey { key: key(number) },
            4 => {
                let at = rng.random_range(0..GROUPS.len());
                let (group, since) = (GROUPS[at].to_owned(), self.watched[at]);
                PrimitiveCall::Watch { group, since, wait: WATCH_WAIT }
            }
            _ => {
                self.puts += 1;
                let expected_revision = rng.random_bool(0.7).then_some(self.known[number]);
                let value = format!("v{}-{}", self.id, self.puts);
                PrimitiveCall::PutKey { key: key(number), value, expected_revision }
            }
        }
    }

    fn patience(call: &PrimitiveCall) -> Time {
        if let PrimitiveCall::Watch { wait, .. } = call { PATIENCE + wait } else { PATIENCE }
    }

    fn send(
        &mut self,
        fleet: &mut Fleet,
        gateway: usize,
        call: PrimitiveCall,
        first_sent: Time,
        history: &mut History,
    ) {
        let sent = fleet.now;
        if let PrimitiveCall::ReleaseLock { lock, .. } = &call {
            history.gives_back(lock, self.id, sent);
            self.held = None;
        }
        if let PrimitiveCall::PutKey { key, value, .. } = &call {
            history.sends(key, value);
        }
        let ticket = fleet.call(gateway, Call::Primitive(call.clone()));
        self.pending = Some(Pending { call, first_sent, sent, ticket });
    }

    /// Does what is due; `may_begin`: begins another call where none is under way.
    pub fn act(
        &mut self,
        fleet: &mut Fleet,
        gateways: usize,
        may_begin: bool,
        rng: &mut ChaCha8Rng,
        history: &mut History,
    ) {
        let now = fleet.now;
        if self.asleep_until > now {
            return;
        }
        let gateway = rng.random_range(0..gateways);
        let Some(pending) = self.pending.take() else {
            if may_begin && rng.random_bool(0.3) {
                let call = self.next_call(now, rng);
                self.send(fleet, gateway, call, now, history);
            }
            return;
        };
        match fleet.answers.remove(&pending.ticket) {
            Some((_, answer)) if answer.status < 429 => {
                self.answered(now, pending, &answer, history);
                // Some sleep past their time, some die while they hold.
                if rng.random_bool(0.02) {
                    self.asleep_until = now + rng.random_range(0..4 * SECOND);
                }
                if rng.random_bool(0.02) {
                    self.held = None;
                }
            }
            None if now - pending.sent < Self::patience(&pending.call) => self.pending = Some(pending),
            Some((_, answer)) if [429, 503].contains(&answer.status) => {
                history.count("refused");
                self.again(fleet, gateway, pending, history);
            }
            _ => {
                history.count("unclear");
                self.again(fleet, gateway, pending, history);
            }
        }
    }

    fn again(&mut self, fleet: &mut Fleet, gateway: usize, pending: Pending, history: &mut History) {
        if fleet.now - pending.first_sent < REPEATED_FOR {
            self.send(fleet, gateway, pending.call, pending.first_sent, history);
        }
    }

    fn answered(&mut self, now: Time, pending: Pending, answer: &Answer, history: &mut History) {
        let Pending { call, first_sent, sent, .. } = pending;
        match (call, answer.status) {
            (PrimitiveCall::AcquireLock { lock, hold_ms, .. }, 200) => {
                let (fence, until) = (integer(answer, "fence"), sent + Time::from(hold_ms) * MS);
                history.fence(&lock, self.id, sent, now, fence);
                self.hold(lock, fence, now, until, history);
            }
            (PrimitiveCall::AcquireLock { .. }, 409) => history.count("locks refused"),
            (PrimitiveCall::RenewLock { lock, fence, hold_ms, .. }, 200) => {
                // A renewal that comes too late counts for nothing.
                if self.held.as_ref().is_some_and(|held| held.until > now) {
                    self.hold(lock, fence, now, sent + Time::from(hold_ms) * MS, history);
                }
            }
            (PrimitiveCall::RenewLock { lock, .. }, 409) => {
                history.gives_back(&lock, self.id, now);
                self.held = None;
            }
            (PrimitiveCall::ReleaseLock { .. }, 200) => {}
            (PrimitiveCall::NextNumber { name }, 200) => {
                history.number(&name, sent, now, integer(answer, "payload"));
            }
            (PrimitiveCall::PutKey { key, value, .. }, 200) => {
                history.put(&key, &value, first_sent, now, integer(answer, "revision"));
            }
            (PrimitiveCall::PutKey { value, .. }, 412) => history.refuses(&value),
            (PrimitiveCall::ReadKey { key }, 200) => self.read(&key, sent, answer, history),
            (PrimitiveCall::ReadKey { key }, 404) => history.read(&key, sent, 0),
            (PrimitiveCall::Watch { group, since, .. }, 200) => {
                self.saw(&group, since, sent, answer, history)
            }
            (call, status) => panic!("{call:?} is answered {status}"),
        }
    }

    fn hold(&mut self, lock: String, fence: u64, now: Time, until: Time, history: &mut History) {
        if until > now {
            history.holds(&lock, self.id, now, until);
            self.held = Some(Held { lock, fence, until });
        }
    }

    fn read(&mut self, key_read: &str, sent: Time, answer: &Answer, history: &mut History) {
        let body = json(answer);
        let revision = integer(answer, "revision");
        history.read(key_read, sent, revision);
        history.shown(key_read, body["payload"].as_str().expect("a text"), revision);
        for number in (0..KEYS).filter(|number| key(*number) == key_read) {
            self.known[number] = revision;
        }
    }

    fn saw(&mut self, group: &str, since: u64, sent: Time, answer: &Answer, history: &mut History) {
        let (body, revision) = (json(answer), integer(answer, "revision"));
        let mut revisions = Vec::new();
        for event in body["events"].as_array().expect("a list") {
            let of = |field: &str| event[field].as_str().expect("a text");
            let revision = event["revision"].as_u64().expect("a number");
            history.shown(of("name"), of("payload"), revision);
            revisions.push(revision);
        }
        history.watched(group, since, sent, &revisions, revision);
        let at = GROUPS.iter().position(|known| *known == group).expect("a group");
        self.watched[at] = self.watched[at].max(revision);
    }
}
