//! Clients of batch jobs: they submit, read, read again, ask for bodies, end, send again elsewhere, and lose answers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use rainlug_sim_worker::client::{self, Ask, Connection, Response};
use rainlug_sim_worker::token_texts;
use rand::Rng;
use rand::rngs::SmallRng;
use serde::Serialize;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

use crate::checker::{Item, Page, ReadBegun};
use crate::soak::{Soak, Stage};

/// The host of each route of batch jobs.
pub const HOSTS: [&str; 2] = ["soak-a.example", "soak-b.example"];
/// An answer must be there in this time, or it counts as lost.
const ANSWER: Duration = Duration::from_secs(4);
/// An answer on an open connection must be there in this time: a call without a deadline is answered within ten seconds.
const OPEN_ANSWER: Duration = Duration::from_secs(15);
/// A request that has not been read, as the end of its connection crossed it, is known to be lost in this time.
const CROSSED: Duration = Duration::from_millis(200);
/// Between two tries, and how many there are.
const RETRY: Duration = Duration::from_millis(250);
const TRIES: usize = 12;
/// How long a read waits at the tier for a result.
const WAIT_MS: &str = "300";
const MOST_ITEMS: usize = 10;
const BODY_BYTES: std::ops::Range<usize> = 100..3000;
const TOKENS: std::ops::Range<u64> = 10..50;

/// A lot that was accepted, as clients tell each other of it.
#[derive(Serialize)]
struct Request {
    id: String,
    path: String,
    headers: std::collections::BTreeMap<&'static str, String>,
    body: String,
    token_count: u64,
}

#[derive(Serialize)]
struct Submission {
    requests: Vec<Request>,
}

/// A lot ready to be sent, as often as need be.
struct BatchJob {
    id: String,
    host: &'static str,
    body: Vec<u8>,
    items: Vec<Item>,
}

/// The host that a lot was sent to: it follows from its id.
pub fn host_of(id: &str) -> &'static str {
    HOSTS[usize::from(id.ends_with('b'))]
}

fn draw_job(soak: &Soak, random: &mut SmallRng, id: String) -> BatchJob {
    let words = u64::from(soak.options.words_per_token);
    let (mut requests, mut items) = (Vec::new(), Vec::new());
    for n in 0..random.random_range(1..=MOST_ITEMS) {
        let item = format!("{id}.{n}");
        let path = format!("/batch/{n}");
        let length = random.random_range(BODY_BYTES);
        let body: Vec<u8> = (0..length).map(|_| random.random()).collect();
        let tokens = random.random_range(TOKENS);
        let text = token_texts(&path, &body, tokens, words).join("\n");
        let headers =
            [("X-Rainlug-Model", "m".to_owned()), ("X-Rainlug-Token-Count", format!("20,{tokens}"))];
        requests.push(Request {
            id: item.clone(),
            path,
            headers: headers.into(),
            body: STANDARD.encode(&body),
            token_count: 20 + tokens,
        });
        items.push(Item { id: item, body, text_hash: xxh3_64(text.as_bytes()) });
    }
    let body = serde_json::to_vec(&Submission { requests }).unwrap_or_default();
    BatchJob { host: host_of(&id), id, body, items }
}

/// Sends a lot; its status where an answer came.
async fn send(soak: &Soak, at: SocketAddr, job: &BatchJob) -> Option<u16> {
    let was_accepted = soak.checker.borrow().is_accepted(&job.id);
    let fields =
        [("Host", job.host), ("X-Rainlug-Attempt-Id", &job.id), ("Content-Type", "application/json")];
    let ask = Ask { method: "POST", path: "/batch/lot", fields: &fields, body: &job.body };
    let status = client::call(at, ask, ANSWER).await.ok().map(|told| told.status);
    soak.count(format!("submit {}", status.map_or("-".to_owned(), |s| s.to_string())));
    if let Some(status) = status {
        soak.checker.borrow_mut().submitted(soak.now(), &job.id, was_accepted, status);
    }
    status
}

/// Sends a lot and closes before the answer is read.
async fn send_and_leave(at: SocketAddr, job: &BatchJob, after: Duration) {
    let head = format!(
        "POST /batch/lot HTTP/1.1\r\nHost: {}\r\nX-Rainlug-Attempt-Id: {}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n",
        job.host,
        job.id,
        job.body.len()
    );
    let whole = async {
        let mut stream = TcpStream::connect(at).await?;
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(&job.body).await?;
        sleep(after).await;
        std::io::Result::Ok(())
    };
    let _ = timeout(ANSWER, whole).await;
}

/// Submits lots as long as there is load.
pub async fn submits(soak: Rc<Soak>, task: u64) {
    let mut random = soak.random(task);
    let between = 2.0 / soak.options.rate;
    let mut number = 0;
    while soak.stage() <= Stage::Closing {
        number += 1;
        let route = if random.random_bool(0.5) { 'a' } else { 'b' };
        let job = draw_job(&soak, &mut random, format!("s{}-{task}-{number}{route}", soak.seed));
        soak.checker.borrow_mut().sent(soak.now(), &job.id, job.items.clone());
        if random.random_bool(0.1) {
            let at = soak.any_front(&mut random);
            send_and_leave(at, &job, Duration::from_millis(random.random_range(0..60))).await;
            soak.count("answers lost");
        }
        submit(&soak, &mut random, &job).await;
        sleep(Duration::from_secs_f64(random.random_range(0.0..between))).await;
    }
}

/// Sends a lot until it is accepted or its tries are over; then now and then again elsewhere.
async fn submit(soak: &Soak, random: &mut SmallRng, job: &BatchJob) {
    for _ in 0..TRIES {
        let at = soak.any_front(random);
        if send(soak, at, job).await == Some(202) {
            break;
        }
        if soak.stage() > Stage::Closing {
            return;
        }
        sleep(RETRY).await;
    }
    if random.random_bool(0.2) {
        sleep(Duration::from_millis(random.random_range(0..500))).await;
        send(soak, soak.any_front(random), job).await;
    }
}

/// Reads a lot from a position on; the answer's status where there was one.
pub async fn read(soak: &Soak, at: SocketAddr, id: &str, since: usize, wait_ms: &str) -> Option<u16> {
    let begun = soak.checker.borrow().read_begins(id)?;
    let fields = [("Host", host_of(id)), ("X-Rainlug-Wait-Ms", wait_ms)];
    let path = format!("/v1/lots/{id}?since_item={since}");
    let ask = Ask { method: "GET", path: &path, fields: &fields, body: b"" };
    let Ok(told) = client::call(at, ask, ANSWER).await else {
        soak.count("read -");
        return None;
    };
    soak.count(format!("read {}", told.status));
    judge_read(soak, id, since, &begun, &told);
    Some(told.status)
}

/// Hands the answer to a read that began then to the checker.
fn judge_read(soak: &Soak, id: &str, since: usize, begun: &ReadBegun, told: &Response) {
    let now = soak.now();
    let mut checker = soak.checker.borrow_mut();
    if told.status != 200 {
        return checker.read_refused(now, id, begun, told.status);
    }
    match serde_json::from_slice::<Page>(&told.body) {
        Ok(page) => checker.read(now, id, since, begun, &page),
        Err(error) => checker.violated(now, format!("lot {id}: a read's answer is none: {error}")),
    }
}

/// Reads lots on open connections, each used until its gateway ends it or is gone.
pub async fn reads_on_open_connections(soak: Rc<Soak>, task: u64) {
    let mut random = soak.random(task);
    while soak.stage() != Stage::Over {
        sleep(Duration::from_millis(random.random_range(1..30))).await;
        let Some(gateway) = soak.any_gateway(&mut random) else { continue };
        let at = soak.front_of(gateway);
        if let Ok(connection) = Connection::open(at, ANSWER).await {
            use_connection(&soak, &mut random, gateway, connection).await;
        }
    }
}

async fn use_connection(soak: &Soak, random: &mut SmallRng, gateway: usize, mut connection: Connection) {
    while soak.stage() != Stage::Over && !connection.is_closing() {
        sleep(Duration::from_millis(random.random_range(0..40))).await;
        let Some(id) = draw_id(soak, random) else { continue };
        let since = soak.checker.borrow().known(&id);
        let Some(begun) = soak.checker.borrow().read_begins(&id) else { continue };
        let fields = [("Host", host_of(&id)), ("X-Rainlug-Wait-Ms", WAIT_MS)];
        let path = format!("/v1/lots/{id}?since_item={since}");
        let sent = soak.now();
        match connection
            .ask(Ask { method: "GET", path: &path, fields: &fields, body: b"" }, OPEN_ANSWER)
            .await
        {
            Ok(told) => {
                soak.count(format!("open connection: {}", told.status));
                judge_read(soak, &id, since, &begun, &told);
            }
            Err(error) => return judge_loss(soak, gateway, sent, error),
        }
    }
}

/// A request on an open connection has no whole answer. That is in order where its gateway was killed, paused or cut off
/// meanwhile, and where a planned end of the connection crossed the request, which shows at once.
fn judge_loss(soak: &Soak, gateway: usize, sent: Duration, error: client::Error) {
    let took = soak.now().saturating_sub(sent);
    let name = soak.tier.borrow().name(gateway);
    if soak.tier.borrow().was_disturbed(gateway, soak.begun() + sent) {
        soak.count("open connection: lost with its gateway");
    } else if matches!(error, client::Error::Broken(_)) && took <= CROSSED {
        soak.count("open connection: ended across a request");
    } else {
        soak.violated(format!("{name}: {error}, on an open connection, after {:.3} s", took.as_secs_f64()));
    }
}

async fn body(soak: &Soak, random: &mut SmallRng, id: &str) {
    let draw = random.random_range(0..MOST_ITEMS);
    let Some(item) = soak.checker.borrow().item(id, draw) else { return };
    let Some(begun) = soak.checker.borrow().body_begins(id, &item) else { return };
    let fields = [("Host", host_of(id))];
    let path = format!("/v1/items/{id}?id={item}");
    let ask = Ask { method: "GET", path: &path, fields: &fields, body: b"" };
    let Ok(told) = client::call(soak.any_front(random), ask, ANSWER).await else { return };
    soak.count(format!("body {}", told.status));
    soak.checker.borrow_mut().body(soak.now(), id, &item, &begun, told.status, &told.body);
}

async fn end(soak: &Soak, random: &mut SmallRng, id: &str) {
    soak.checker.borrow_mut().end_begins(id);
    let fields = [("Host", host_of(id))];
    let path = format!("/v1/lots/{id}");
    let ask = Ask { method: "DELETE", path: &path, fields: &fields, body: b"" };
    let Ok(told) = client::call(soak.any_front(random), ask, ANSWER).await else { return };
    soak.count(format!("end {}", told.status));
    soak.checker.borrow_mut().ended(soak.now(), id, told.status);
}

/// A lot to read: mostly one that is not finished, or a young one.
fn draw_id(soak: &Soak, random: &mut SmallRng) -> Option<String> {
    let checker = soak.checker.borrow();
    let now = soak.now();
    let all = if random.random_bool(0.5) { checker.unfinished(now) } else { checker.readable(now) };
    (!all.is_empty()).then(|| all[random.random_range(0..all.len())].to_owned())
}

/// Reads lots in all ways until the run is over.
pub async fn reads(soak: Rc<Soak>, task: u64) {
    let mut random = soak.random(task);
    while soak.stage() != Stage::Over {
        sleep(Duration::from_millis(random.random_range(2..20))).await;
        let Some(id) = draw_id(&soak, &mut random) else { continue };
        let known = soak.checker.borrow().known(&id);
        let since = if random.random_bool(0.6) { known } else { random.random_range(0..=known) };
        let at = soak.any_front(&mut random);
        match random.random_range(0..100) {
            0..70 => {
                read(&soak, at, &id, since, WAIT_MS).await;
            }
            70..98 => {
                body(&soak, &mut random, &id).await;
                read(&soak, at, &id, known, "0").await;
            }
            _ if soak.stage() <= Stage::Closing => end(&soak, &mut random, &id).await,
            _ => {}
        }
    }
}
