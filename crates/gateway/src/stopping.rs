//! The way out: what is in hand, and the stages of a stop.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout_at};

/// The platform has noticed after so long at most, and not before it has asked so often; what it passed on before comes within so
/// long.
const NOTICED: Duration = Duration::from_millis(2500);
const ASKED: u32 = 2;
const ON_THE_WAY: Duration = Duration::from_millis(200);
/// Of the time to stop, this part at most is for being noticed, and this part is kept for the end: workers are waited for until the
/// last sixth begins, and the answers of those that end just before it have to go out.
const NOTICED_PART: u32 = 3;
const RESERVE_PART: u32 = 12;
/// When idle connections are closed, a new one has so long from its start to say what it wants.
pub(crate) const NEWCOMER: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    Serving,
    /// Unready; connections end with their next answer.
    Leaving,
    /// No connections are taken any more, and idle ones are closed.
    Closing,
    /// Requests that come now might be cut at the end: they are refused.
    Refusing,
}

pub(crate) struct Stopping {
    stage: watch::Sender<Stage>,
    grace: Duration,
    /// How often readiness was refused since the stop.
    asked: Cell<u32>,
    in_hand: Cell<usize>,
    clients: Cell<usize>,
    changed: Notify,
}

/// Counts one in until it is dropped.
pub(crate) struct Held<'a> {
    stopping: &'a Stopping,
    count: &'a Cell<usize>,
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.count.update(|n| n.saturating_sub(1));
        self.stopping.changed.notify_waiters();
    }
}

impl Stopping {
    pub fn new(grace_s: f64) -> Self {
        Stopping {
            stage: watch::Sender::new(Stage::Serving),
            grace: Duration::try_from_secs_f64(grace_s.min(86_400.0)).unwrap_or(Duration::from_secs(5)),
            asked: Cell::new(0),
            in_hand: Cell::new(0),
            clients: Cell::new(0),
            changed: Notify::new(),
        }
    }

    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Ends when that stage, or a later one, is reached.
    pub async fn reached(&self, stage: Stage) {
        let mut watch = self.stage.subscribe();
        if watch.wait_for(|now| *now >= stage).await.is_err() {
            std::future::pending().await
        }
    }

    /// Readiness was asked for; whether it stands.
    pub fn asked(&self) -> bool {
        let serving = self.stage() == Stage::Serving;
        if !serving {
            self.asked.update(|n| n + 1);
            self.changed.notify_waiters();
        }
        serving
    }

    /// A request is in hand until this is dropped.
    pub fn request(&self) -> Held<'_> {
        self.in_hand.update(|n| n + 1);
        Held { stopping: self, count: &self.in_hand }
    }

    /// A client is connected until this is dropped.
    pub fn client(&self) -> Held<'_> {
        self.clients.update(|n| n + 1);
        Held { stopping: self, count: &self.clients }
    }

    pub fn in_hand(&self) -> usize {
        self.in_hand.get()
    }

    pub fn clients(&self) -> usize {
        self.clients.get()
    }

    async fn when(&self, holds: impl Fn() -> bool) {
        loop {
            let changed = self.changed.notified();
            if holds() {
                return;
            }
            changed.await;
        }
    }

    /// Goes on to a stage, never back.
    fn enter(&self, next: Stage) {
        self.stage.send_if_modified(|stage| {
            let is_later = next > *stage;
            *stage = next.max(*stage);
            is_later
        });
    }

    /// Ends when all that was in hand is finished, or when so little of the time to stop is left that it has to end without.
    pub async fn stop(&self) {
        let begun = Instant::now();
        let end = begun + self.grace - self.grace / RESERVE_PART;
        self.enter(Stage::Leaving);
        spdlog::info!("stopping with {} requests in hand", self.in_hand());
        let noticed = begun + NOTICED.min(self.grace / NOTICED_PART);
        let asked = async {
            self.when(|| self.asked.get() >= ASKED).await;
            sleep(ON_THE_WAY).await;
        };
        let _ = timeout_at(noticed, asked).await;
        self.enter(Stage::Closing);
        let is_over = || self.in_hand() + self.clients() == 0;
        if timeout_at(end.min(Instant::now() + NEWCOMER), self.when(is_over)).await.is_err() {
            self.enter(Stage::Refusing);
            let _ = timeout_at(end, self.when(is_over)).await;
        }
        spdlog::info!("stopped with {} requests in hand", self.in_hand());
    }
}
