//! What becomes of a worker's answer once its head is there: passed on, kept in case that no better one comes, or dropped.

use std::sync::Arc;
use std::time::Duration;

use rainlug_placement::End as Ended;
use rainlug_registry::{Route, RouteKind, Worker};
use rainlug_transport::{Body, Piece};
use tokio::time::Instant;

use super::body::WHOLE;
use super::{Exchange, Outcome, Passed, Spare, Stop};
use crate::answers::Answer;
use crate::connections::Connection;
use crate::routing::Picked;

/// The rest of an answer that nobody waits for has so long to come.
const SETTLED: Duration = Duration::from_secs(1);

impl Exchange<'_> {
    /// An answer has begun: it is passed on, or another worker is to be tried (one that is picked already, maybe).
    pub(super) async fn answered(
        &mut self,
        answer: Answer,
        mut connection: Box<Connection>,
        picked: Picked,
        route: &Route,
        until: Instant,
    ) -> Result<Outcome, Option<Picked>> {
        let (may_repeat, more) = (route.is_idempotent(), self.sent < route.max_attempts);
        if answer.turned_away() {
            self.turned += 1;
            self.ask.tried.push(picked.worker.id.clone());
            picked.ticket.end(self.turned_away(&answer, &picked.worker.id));
            self.settle(answer, connection, picked.worker);
            return Err(None);
        }
        // It may have run: a status that says it has not would be a false promise.
        let false_promise = answer.promises() && !may_repeat;
        let sound = (!answer.success() || answer.sealed) && !false_promise;
        if !sound || (self.began && !(answer.success() && answer.events)) {
            let ended =
                if answer.success() || answer.status >= 500 { Ended::Failed } else { Ended::Finished };
            self.ask.tried.push(picked.worker.id.clone());
            picked.ticket.end(ended);
            return if may_repeat { Err(None) } else { Ok(self.lost()) };
        }
        if answer.status >= 500 && may_repeat && more {
            // Another worker may do better; this answer is kept in case that none does.
            let keep = answer.keep;
            let whole = self.whole(&mut connection, &answer, until).await;
            self.ask.tried.push(picked.worker.id.clone());
            picked.ticket.end(Ended::Failed);
            match whole {
                Ok(Some((body, true))) => {
                    self.gateway.connections.put(&picked.worker, *connection, keep);
                    self.spare = Some(Spare { status: answer.status, lines: answer.lines, body });
                }
                Err(Stop::Left) => return Ok(Outcome::Left),
                _ => {}
            }
            return Err(None);
        }
        let status = answer.status;
        let ended = if status >= 500 { Ended::Failed } else { Ended::Finished };
        let keep = answer.keep;
        let events = answer.events && answer.success() && route.kind == RouteKind::Streaming;
        let passed = if events {
            self.stream(&mut connection, answer, &picked, route, until).await
        } else {
            picked.ticket.started();
            self.pass(&mut connection, answer, until).await
        };
        match passed {
            Passed::Whole => {
                picked.ticket.end(ended);
                self.gateway.connections.put(&picked.worker, *connection, keep);
                Ok(Outcome::Answered(status))
            }
            Passed::Broken(end) => {
                self.gateway.metrics.lost.up();
                self.ask.tried.push(picked.worker.id.clone());
                picked.ticket.end(end);
                let goes_on = may_repeat && (!self.began || events);
                if goes_on { Err(None) } else { Ok(self.lost()) }
            }
            Passed::Silent(other) => {
                self.ask.tried.push(picked.worker.id.clone());
                picked.ticket.end(Ended::Silent);
                Err(Some(other))
            }
            Passed::Refused | Passed::Stopped(Stop::Left) => Ok(Outcome::Left),
            Passed::Stopped(Stop::Over) => Ok(self.over(route).await),
        }
    }

    /// What a turned away request says of the worker.
    pub fn turned_away(&self, answer: &Answer, worker: &str) -> Ended {
        // It may be the right worker with another version of weights.
        let other_version =
            self.request.versioned && answer.instance.as_deref().is_none_or(|id| id == worker);
        if answer.status == 421 && !other_version {
            self.gateway.connections.drop_idle(worker, false);
            return Ended::Elsewhere;
        }
        Ended::Full
    }

    /// Reads the rest of an answer that nobody waits for, so that its connection can be used again.
    pub fn settle(&self, answer: Answer, mut connection: Box<Connection>, worker: Arc<Worker>) {
        if answer.status == 421 || answer.keep.close || answer.framing == Body::UntilEnd {
            return;
        }
        let connections = self.gateway.connections.clone();
        tokio::task::spawn_local(async move {
            let rest = async {
                let mut size = 0;
                loop {
                    match connection.link.next().await {
                        Ok(Piece::Body(piece)) if size + piece.len() <= WHOLE => size += piece.len(),
                        Ok(Piece::Last) => return true,
                        _ => return false,
                    }
                }
            };
            if tokio::time::timeout(SETTLED, rest).await == Ok(true) {
                connections.put(&worker, *connection, answer.keep);
            }
        });
    }
}
