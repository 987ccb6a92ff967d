//! One try at one worker: a connection, the request on it, and the head of the answer to it.

use std::time::Duration;

use rainlug_placement::End as Ended;
use rainlug_registry::Route;
use rainlug_transport::{Body, End, Piece};
use tokio::time::Instant;

use super::{Exchange, Stop, Tried};
use crate::answers::{Answer, Echo};
use crate::connections::Connection;
use crate::routing::Picked;

/// A connection must be up in this time, and in this part of what is left.
const DIAL: Duration = Duration::from_secs(1);
const DIAL_PART: u32 = 3;
/// Answers to earlier requests that are skipped on one connection.
const STRAYS: usize = 2;

impl<'a> Exchange<'a> {
    /// Sends the request to a worker and waits for its answer to begin. Where nothing came for as long as `silent`, another
    /// worker is looked for.
    pub async fn attempt(
        &mut self,
        picked: &Picked,
        route: &Route,
        until: Instant,
        silent: Option<Duration>,
    ) -> Tried {
        let mut connection = match self.connection(picked, until).await {
            Ok(connection) => connection,
            Err(tried) => return tried,
        };
        let now = Instant::now();
        if !self.holds(picked) || now >= until {
            // The connection has not been used.
            self.gateway.connections.put(&picked.worker, connection, Default::default());
            return Tried::NotSent(Ended::GivenUp);
        }
        connection.link.bodiless(self.request.method == "HEAD");
        let completed = self.request.completed(&picked.worker.id, until - now, self.last);
        let parts = [self.request.lines.clone(), completed.into(), self.request.body.clone()];
        let begun = self.wait(connection.link.post(parts), until).await;
        if !matches!(begun, Ok(Ok(()))) {
            self.gateway.connections.used(&connection, matches!(begun, Ok(Err(_))));
            return match begun {
                Err(stop) => Tried::Stopped(stop),
                Ok(_) => Tried::NotSent(Ended::Unreachable),
            };
        }
        self.sent += 1;
        self.repeated_id().into_iter().for_each(|id| connection.carries(id));
        let tried = self.head(&mut connection, picked, route, until, silent).await;
        let broke = matches!(tried, Err(Tried::Lost(_)));
        self.gateway.connections.used(&connection, broke);
        self.fresh = broke && connection.rested.is_some();
        match tried {
            Ok(answer) => Tried::Answer(Box::new(answer), Box::new(connection)),
            Err(tried) => tried,
        }
    }

    /// A connection that idles, or a new one.
    pub(super) async fn connection(&mut self, picked: &Picked, until: Instant) -> Result<Connection, Tried> {
        let connections = self.gateway.connections.clone();
        let idle = if self.fresh { None } else { connections.idle(&picked.worker, self.repeated_id()) };
        if let Some(connection) = idle {
            return Ok(connection);
        }
        let now = Instant::now();
        let up = now + DIAL.min(until.saturating_duration_since(now) / DIAL_PART);
        let most = self.gateway.connections_each(&picked.service);
        match self.wait(connections.dial(&picked.worker, most, up), until).await {
            Ok(Ok(connection)) => Ok(connection),
            // There is no room on this side.
            Ok(Err(End::NoRoom)) => Err(Tried::NotSent(Ended::GivenUp)),
            Ok(Err(_)) => Err(Tried::NotSent(Ended::Unreachable)),
            Err(stop) => Err(Tried::Stopped(stop)),
        }
    }

    /// The head of the answer to this request.
    pub(super) async fn head(
        &mut self,
        connection: &mut Connection,
        picked: &Picked,
        route: &Route,
        until: Instant,
        silent: Option<Duration>,
    ) -> Result<Answer, Tried> {
        let lost = Err(Tried::Lost(Ended::Failed));
        let mut strays = 0;
        let patience = || silent.map_or(until, |silent| until.min(Instant::now() + silent));
        let mut quiet = patience();
        let mut unwritten = connection.link.unwritten();
        let mut ours = true;
        let id = self.request.id.as_deref().unwrap_or_default();
        loop {
            let text = match self.wait(connection.link.next(), quiet).await {
                Ok(Ok(Piece::Head(text))) => text,
                Ok(Ok(Piece::Body(_))) if !ours => continue,
                Ok(Ok(Piece::Last)) => {
                    ours = true;
                    continue;
                }
                Ok(_) => return lost,
                // A worker that still takes the request is not silent.
                Err(Stop::Over) if Instant::now() < until && connection.link.unwritten() < unwritten => {
                    unwritten = connection.link.unwritten();
                    quiet = patience();
                    continue;
                }
                Err(Stop::Over) if Instant::now() < until && self.client.is_some() => {
                    if let Some(other) = self.other(picked, route) {
                        return Err(Tried::Silent(other));
                    }
                    quiet = until;
                    continue;
                }
                Err(stop) => return Err(Tried::Stopped(stop)),
            };
            let Ok(answer) = Answer::read(&text, id) else { return lost };
            if let Some(load) = answer.load {
                picked.ticket.load(&picked.worker.id, load);
            }
            let strange = match answer.echo {
                Echo::Ours => false,
                Echo::Other => true,
                // On a connection that has carried others, whose it is cannot be known; it is enough for who may run again.
                Echo::Missing => {
                    let alone = connection.rested.is_none() && strays == 0;
                    self.gateway.metrics.unnamed.up();
                    answer.success() || !(alone || (answer.turned_away() && route.is_idempotent()))
                }
            };
            if answer.status < 200 {
                continue;
            }
            if !strange {
                return Ok(answer);
            }
            // A late answer to an earlier request; ours may come after it.
            self.gateway.metrics.strays.up();
            strays += 1;
            if strays > STRAYS || answer.echo == Echo::Missing || answer.framing == Body::UntilEnd {
                return lost;
            }
            ours = false;
        }
    }

    /// The id under which it may be sent once more by another exchange: that of an item. Clients give each try an id of its own.
    pub(super) fn repeated_id(&self) -> Option<&'a str> {
        self.request.id.as_deref().filter(|_| self.client.is_none())
    }
}
