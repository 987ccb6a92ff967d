//! How an exchange ends without a worker's answer, by whether a worker may have run the request.

use std::time::Duration;

use rainlug_registry::Route;
use tokio::time::Instant;

use super::{Exchange, Outcome};
use crate::Reply;
use crate::answers::{Framing, finish};

/// A kept answer whose time is over is written in this time.
const LAST_WRITE: Duration = Duration::from_secs(1);

impl Exchange<'_> {
    /// No worker is left to be tried.
    pub(super) async fn give_up(&mut self, route: &Route, until: Instant) -> Outcome {
        if let Some(spare) = self.spare.take().filter(|_| !self.began) {
            let mut head = spare.lines;
            let framing = if matches!(spare.status, 204 | 304) {
                Framing::Nothing
            } else {
                Framing::Length(spare.body.len())
            };
            finish(&mut head, framing, self.then());
            let until = until.max(Instant::now() + LAST_WRITE);
            let told = self.tell(&[&head, &spare.body], until).await;
            return if told { Outcome::Answered(spare.status) } else { Outcome::Left };
        }
        if self.began || self.may_have_run() {
            return self.lost();
        }
        Outcome::Own(Reply::refused(self.gateway.pause(route)))
    }

    /// Its time is over.
    pub(super) async fn over(&mut self, route: &Route) -> Outcome {
        if self.spare.is_some() || (!self.began && !self.may_have_run()) {
            return self.give_up(route, Instant::now()).await;
        }
        if self.began { Outcome::Cut } else { Outcome::Own(Reply::of(504)) }
    }

    /// Whether a worker may have run it: it was sent to more workers than turned it away.
    pub(super) fn may_have_run(&self) -> bool {
        self.sent > self.turned
    }

    /// It may have run, and there is no answer.
    pub(super) fn lost(&self) -> Outcome {
        if self.began { Outcome::Cut } else { Outcome::Own(Reply::of(502)) }
    }

    pub(super) fn ends(&self, reply: Reply) -> Outcome {
        if self.began {
            Outcome::Cut
        } else if self.may_have_run() {
            // It is not to be said that it cannot have run.
            self.lost()
        } else {
            Outcome::Own(reply)
        }
    }
}
