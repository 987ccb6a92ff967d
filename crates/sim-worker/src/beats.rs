//! A worker's word to the tier: beats, its drain, its goodbye.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use crate::client::{self, Ask, Response};
use crate::{Phase, SimWorker};

/// A beat is acknowledged in this time, by an answer of no more bytes than that.
const ACKNOWLEDGED: Duration = Duration::from_secs(1);
const MOST_ANSWER: usize = 4 << 10;
/// Calls that are sent elsewhere follow so often.
const MOVES: usize = 2;
/// Without an acknowledgement of its drain it ends after this time all the same.
const UNHEARD: Duration = Duration::from_secs(5);
/// What it goes on serving for beyond its drain.
const LITTLE: Duration = Duration::from_millis(300);

/// Whom to call.
#[derive(Debug)]
pub(crate) struct Callees {
    list: Vec<SocketAddr>,
    turn: usize,
    /// Response by an answer; holds until a beat fails there.
    beat_addr: Option<SocketAddr>,
}

impl Callees {
    pub fn new(list: Vec<SocketAddr>, turn: usize) -> Self {
        Callees { list, turn, beat_addr: None }
    }

    fn now(&self) -> Option<SocketAddr> {
        self.beat_addr.or_else(|| self.list.get(self.turn % self.list.len().max(1)).copied())
    }

    fn failed(&mut self) {
        if self.beat_addr.take().is_none() {
            self.turn += 1;
        }
    }
}

/// The address that an acknowledgement names for later beats.
pub fn beat_addr(body: &[u8]) -> Option<SocketAddr> {
    let text = str::from_utf8(body).ok()?;
    let value = text.split_once("\"beat_addr\"")?.1.trim_start().strip_prefix(':')?.trim_start();
    value.strip_prefix('"')?.split('"').next()?.parse().ok()
}

/// Where a 307 sends its caller: `http://IP:PORT/path`.
fn moved(told: &Response) -> Option<(SocketAddr, String)> {
    let rest = told.location.as_deref().filter(|_| told.status == 307)?.strip_prefix("http://")?;
    let (at, path) = rest.split_once('/')?;
    Some((at.parse().ok()?, format!("/{path}")))
}

impl SimWorker {
    /// One call for this worker, at whoever is due for it; its acknowledgement.
    async fn tell(&self, method: &str, body: &str) -> Option<Response> {
        let mut at = self.callees.borrow().now()?;
        let mut path = format!("/v1/workers/{}", self.told.id);
        for _ in 0..=MOVES {
            let ask = Ask {
                method,
                path: &path,
                fields: &[("Content-Type", "application/json")],
                body: body.as_bytes(),
            };
            let told = client::call(at, ask, ACKNOWLEDGED).await;
            match told {
                Ok(told) if (200..300).contains(&told.status) && told.body.len() <= MOST_ANSWER => {
                    return Some(told);
                }
                Ok(told) => match moved(&told) {
                    Some(there) => (at, path) = there,
                    None => {
                        spdlog::warn!("{at}: answered {}", told.status, kv: { event = "beat" });
                        break;
                    }
                },
                Err(error) => {
                    spdlog::warn!("{error}", kv: { event = "beat" });
                    break;
                }
            }
        }
        self.callees.borrow_mut().failed();
        None
    }

    async fn beat(&self) -> bool {
        let phase = self.phase.get();
        let seq = self.seq.get() + 1;
        self.seq.set(seq);
        let state = if phase == Phase::Draining { "draining" } else { "ready" };
        let told = &self.told;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\
             \"cold_left_ms\":0,\"phase\":\"both\",\"model_list\":[{}],\"call_seq\":{seq}}}",
            told.service,
            told.at,
            told.zone,
            told.shape.slots,
            self.model_list(),
        );
        let Some(acknowledged) = self.tell("PUT", &body).await else { return false };
        if let Some(at) = beat_addr(&acknowledged.body) {
            self.callees.borrow_mut().beat_addr = Some(at);
        }
        if phase == Phase::Draining {
            self.drain_heard.set(true);
        }
        true
    }

    /// Beats for good; after a failure the next one is called at once, later with pauses.
    pub(crate) async fn beats(self: Rc<Self>) {
        let mut failures = 0u32;
        loop {
            let pause = if self.beat().await {
                failures = 0;
                self.told.beat
            } else {
                failures += 1;
                Duration::from_millis(50) * failures.min(10)
            };
            let _ = timeout(pause, self.changed.notified()).await;
        }
    }

    /// Says that it drains, and serves for as long as it owes after that was heard.
    pub(crate) async fn drain(&self) {
        self.phase.set(Phase::Draining);
        self.changed.notify_one();
        let begun = Instant::now();
        while !self.drain_heard.get() && begun.elapsed() < UNHEARD {
            sleep(Duration::from_millis(10)).await;
        }
        sleep(self.told.drain + LITTLE).await;
        // What still runs at the end of its drain has a little longer.
        while self.engine.borrow().load().0 > 0 && begun.elapsed() < UNHEARD {
            sleep(Duration::from_millis(20)).await;
        }
    }

    pub(crate) async fn goodbye(&self) {
        for _ in 0..3 {
            if self.tell("DELETE", "").await.is_some() {
                return;
            }
        }
    }
}
