//! The worker's port: requests for tokens and plain ones, health, and the report.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rainlug_transport::head::{self, Fields};
use rainlug_transport::{End, Link, Piece, Pool, Room, Sizes};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::engine::{Event, Job};
use crate::{MODEL, Phase, SimWorker, VERSION};

const SIZES: Sizes = Sizes { head: 32 << 10, body: 16 << 20, buffer: 8 << 10 };
/// An idle connection is closed after this time, and it is said to be a little less.
const IDLE: Duration = Duration::from_secs(32);
const SAID_IDLE: u64 = 30;
/// The rest of a request must come in this time, and be taken.
const REQUEST: Duration = Duration::from_secs(10);
/// Parts of a prompt that are read.
const MOST_PARTS: usize = 256;
/// Tokens that a plain request takes, and a health check.
const PLAIN: u64 = 4;
const PROBE: u64 = 1;
/// Words that stand-in tokens are.
const WORDS: [&str; 16] = [
    "rain", "falls", "on", "slate", "and", "runs", "along", "the", "lug", "to", "where", "it", "is",
    "caught", "again", "by",
];

/// What is read of a request's head.
struct Asked {
    method: String,
    target: String,
    id: Option<String>,
    instance: Option<String>,
    deadline_ms: Option<u64>,
    /// Tokens of the prompt, and the most out.
    count: Option<(u64, u64)>,
    parts: Vec<(u64, u64)>,
    model: Option<String>,
    last_event: u64,
    version: Option<String>,
    close: bool,
    expects: bool,
}

fn parts(text: &str) -> Vec<(u64, u64)> {
    let part = |part: &str| {
        let (id, tokens) = part.split_once(':')?;
        Some((u64::from_str_radix(id.trim(), 16).ok()?, tokens.trim().parse().ok()?))
    };
    text.split(',').take(MOST_PARTS).filter_map(part).collect()
}

fn asked(method: &str, target: &str, fields: &Fields) -> Asked {
    let text = |name| fields.get(name).filter(|v| !v.is_empty()).map(str::to_owned);
    let number = |name| fields.get(name).and_then(|v| v.trim().parse::<u64>().ok());
    let count = fields.get("X-Rainlug-Token-Count").and_then(|count| {
        let (prompt, out) = count.split_once(',')?;
        Some((prompt.trim().parse().ok()?, out.trim().parse().ok()?))
    });
    Asked {
        method: method.to_owned(),
        target: target.to_owned(),
        id: text("X-Rainlug-Attempt-Id"),
        instance: text("X-Rainlug-Target-Instance"),
        deadline_ms: number("X-Rainlug-Deadline-Ms"),
        count,
        parts: fields.get("X-Rainlug-Prompt-Prefix").map(parts).unwrap_or_default(),
        model: text("X-Rainlug-Model"),
        last_event: number("Last-Event-Id").unwrap_or(0),
        version: text("Expect-Version"),
        close: !fields.keeps(),
        expects: fields.says("Expect", "100-continue"),
    }
}

/// The word that a token stands for: the same at every worker.
fn word(of: u64, number: u64) -> &'static str {
    let drawn = xxh3_64_with_seed(&number.to_le_bytes(), of) as usize;
    WORDS.get(drawn % WORDS.len()).copied().unwrap_or("rain")
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    }
}

/// The text that a token stands for, of so many words.
fn text(seed: u64, number: u64, words: u64) -> String {
    let first = number.wrapping_mul(words);
    let all: Vec<&str> = (0..words).map(|nth| word(seed, first.wrapping_add(nth))).collect();
    all.join(" ")
}

/// What the text of an answer is drawn from.
fn seed(target: &str, body: &[u8]) -> u64 {
    xxh3_64_with_seed(body, xxh3_64(target.as_bytes()))
}

/// The texts of all tokens of an answer: the same at every worker.
pub fn token_texts(target: &str, body: &[u8], tokens: u64, words_per_token: u64) -> Vec<String> {
    let seed = seed(target, body);
    (1..=tokens).map(|number| text(seed, number, words_per_token.max(1))).collect()
}

/// An answer, told in one go.
struct Answer {
    status: u16,
    /// Why it was not run, where it was not.
    not_run: Option<&'static str>,
    kind: &'static str,
    body: Bytes,
}

impl Answer {
    fn not_run(status: u16, why: &'static str) -> Self {
        Answer { not_run: Some(why), ..Answer::plain(status, Bytes::new()) }
    }

    fn plain(status: u16, body: impl Into<Bytes>) -> Self {
        Answer { status, not_run: None, kind: "text/plain", body: body.into() }
    }
}

/// A request's place in the engine: dropped with it.
struct Place<'a> {
    shop: &'a SimWorker,
    job: u64,
    events: mpsc::UnboundedReceiver<Event>,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.shop.callers.borrow_mut().remove(&self.job);
        self.shop.engine.borrow_mut().cancel(self.job);
        self.shop.sooner.notify_one();
    }
}

impl SimWorker {
    /// Takes connections for good.
    pub(crate) async fn accept(self: Rc<Self>, listener: TcpListener) {
        let (room, pool) = (Room::of(self.told.max_conns), Pool::within(4 << 20, SIZES));
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(10)).await;
                continue;
            };
            let Some(seat) = room.seat() else {
                let _ = stream.set_zero_linger();
                continue;
            };
            let (shop, pool) = (self.clone(), pool.clone());
            spawn_local(async move {
                let mut link = Link::over(stream, head::request_body, &pool, seat);
                while matches!(shop.one(&mut link).await, Ok(true)) {
                    link.rest();
                }
                let _ = timeout(Duration::from_secs(1), link.finish()).await;
            });
        }
    }

    /// Serves one request; whether the connection stays.
    async fn one(&self, link: &mut Link) -> Result<bool, End> {
        if timeout(IDLE, link.idle()).await.is_err() {
            return Ok(false);
        }
        let until = Instant::now() + REQUEST;
        let first = timeout_at(until, link.next()).await.unwrap_or(Err(End::TimedOut))?;
        let Piece::Head(head) = first else { return Err(End::Malformed) };
        let asked = head::request(&head, asked)?;
        if asked.expects {
            link.send(b"HTTP/1.1 100 Continue\r\n\r\n", b"", &Cell::new(false)).await?;
        }
        let body = timeout_at(until, link.body()).await.unwrap_or(Err(End::TimedOut))?;
        let answer = self.answered(link, &asked, &body).await?;
        let close = asked.close || self.phase.get() == Phase::Draining;
        if let Some(answer) = answer {
            let mut lines = self.lines(&asked, answer.status, close);
            if let Some(why) = answer.not_run {
                lines.push_str(&format!("X-Rainlug-Not-Run: {why}\r\n"));
            }
            if !answer.body.is_empty() {
                lines.push_str(&format!("Content-Type: {}\r\n", answer.kind));
            }
            lines.push_str(&format!("Content-Length: {}\r\n\r\n", answer.body.len()));
            let written = Cell::new(false);
            let sent = link.send(lines.as_bytes(), &answer.body, &written);
            timeout(REQUEST, sent).await.unwrap_or(Err(End::Unwritten))?;
        }
        Ok(!close)
    }

    /// The lines that all answers have.
    fn lines(&self, asked: &Asked, status: u16, close: bool) -> String {
        let (running, waiting, slots) = self.engine.borrow().load();
        let mut lines = format!(
            "HTTP/1.1 {status} {}\r\nVersions: {VERSION}\r\nX-Rainlug-Server-Load: {running},{waiting},{slots}\r\n\
             X-Rainlug-Instance-Id: {}\r\n",
            reason(status),
            self.told.id,
        );
        if let Some(id) = &asked.id {
            lines.push_str(&format!("X-Rainlug-Attempt-Id: {id}\r\n"));
            if status < 300 {
                let (who, what) =
                    (xxh3_64(self.told.id.as_bytes()), xxh3_64_with_seed(id.as_bytes(), self.jobs.get()));
                let seal = format!("{:04x}.{slots:02x}.{running:03x}.0.0.{:08x}", who as u16, what as u32);
                lines.push_str(&format!("X-Rainlug-Server-Seal: {seal}\r\n"));
            }
        }
        if close {
            lines.push_str("Connection: close\r\n");
        } else {
            lines.push_str(&format!("Keep-Alive: timeout={SAID_IDLE}\r\n"));
        }
        lines
    }

    /// Carries a request out; nothing where its answer has been sent already.
    async fn answered(&self, link: &mut Link, asked: &Asked, body: &Bytes) -> Result<Option<Answer>, End> {
        let path = asked.target.split('?').next().unwrap_or_default();
        let get = asked.method == "GET";
        if get && path == "/v1/report" {
            let report = self.report.borrow().clone();
            return Ok(Some(Answer { kind: "application/json", ..Answer::plain(200, report) }));
        }
        if get && path == self.told.health_path {
            return self.health(link).await.map(Some);
        }
        if asked.instance.as_ref().is_some_and(|instance| *instance != self.told.id) {
            return Ok(Some(Answer::not_run(421, "another instance")));
        }
        if asked.version.as_ref().is_some_and(|version| version.trim().parse() != Ok(VERSION)) {
            return Ok(Some(Answer::not_run(421, "another version")));
        }
        if asked.model.as_ref().is_some_and(|model| model != MODEL) {
            return Ok(Some(Answer::not_run(421, "another model")));
        }
        if asked.id.is_none() {
            return Ok(Some(Answer::not_run(400, "no id")));
        }
        let (prompt, out) = asked.count.unwrap_or((0, PLAIN));
        let job = Job {
            parts: if asked.count.is_some() { asked.parts.clone() } else { Vec::new() },
            salt: xxh3_64(MODEL.as_bytes()),
            prompt,
            out: out.max(1),
            after: asked.last_event.min(out.max(1) - 1),
            until: asked
                .deadline_ms
                .map(|ms| self.now() + i64::try_from(ms).unwrap_or(3_600_000).min(3_600_000) * 1000),
            ..Job::default()
        };
        let Some(mut place) = self.enter(job) else { return Ok(Some(Answer::not_run(503, "full"))) };
        if asked.count.is_some() {
            return self.stream(link, asked, body, &mut place).await;
        }
        loop {
            match self.event(link, &mut place).await? {
                Event::Token { last: true, .. } => {
                    let who = &self.told.id;
                    let text = format!(
                        "{} {}: {} bytes taken; done by {who}\n",
                        asked.method,
                        asked.target,
                        body.len()
                    );
                    return Ok(Some(Answer::plain(200, text)));
                }
                Event::Token { .. } => {}
                Event::Late { ran, .. } => return Ok(Some(late(ran))),
            }
        }
    }

    async fn health(&self, link: &mut Link) -> Result<Answer, End> {
        let Some(mut place) = self.enter(Job { out: PROBE, ..Job::default() }) else {
            return Ok(Answer::not_run(503, "full"));
        };
        self.event(link, &mut place).await?;
        let status = if self.phase.get() == Phase::Draining { 503 } else { 200 };
        Ok(Answer::plain(status, Bytes::new()))
    }

    /// Gives a request to the engine.
    fn enter(&self, mut job: Job) -> Option<Place<'_>> {
        job.id = self.jobs.get() + 1;
        self.jobs.set(job.id);
        let id = job.id;
        let now = self.now();
        let taken = self.engine.borrow_mut().submit(now, job);
        self.sooner.notify_one();
        taken.then(|| {
            let (caller, events) = mpsc::unbounded_channel();
            self.callers.borrow_mut().insert(id, caller);
            Place { shop: self, job: id, events }
        })
    }

    /// The next event of a request; `Closed` where its caller has gone.
    async fn event(&self, link: &mut Link, place: &mut Place<'_>) -> Result<Event, End> {
        tokio::select! {
            biased;
            event = place.events.recv() => event.ok_or(End::Closed),
            () = link.departed() => Err(End::Closed),
        }
    }

    /// Tokens as events, as they come.
    async fn stream(
        &self,
        link: &mut Link,
        asked: &Asked,
        body: &Bytes,
        place: &mut Place<'_>,
    ) -> Result<Option<Answer>, End> {
        let seed = seed(&asked.target, body);
        let words = self.told.shape.words_per_token.max(1);
        let mut begun = false;
        loop {
            let (number, last) = match self.event(link, place).await? {
                Event::Token { number, last, .. } => (number, last),
                // What has begun can only break off.
                Event::Late { .. } if begun => return Err(End::GivenUp),
                Event::Late { ran, .. } => return Ok(Some(late(ran))),
            };
            let mut out = String::new();
            if !std::mem::replace(&mut begun, true) {
                let close = asked.close || self.phase.get() == Phase::Draining;
                out.push_str(&self.lines(asked, 200, close));
                out.push_str("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            }
            let event = format!("id: {number}\ndata: {}\n\n", text(seed, number, words));
            out.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
            if last {
                out.push_str("0\r\n\r\n");
            }
            let written = Cell::new(0);
            let parts = [out.as_bytes()];
            let write = link.write(&parts, &written);
            timeout(REQUEST, write).await.unwrap_or(Err(End::Unwritten))?;
            if last {
                return Ok(None);
            }
        }
    }
}

fn late(ran: bool) -> Answer {
    if ran { Answer::plain(504, Bytes::new()) } else { Answer::not_run(503, "late") }
}
