//! One request at workers: tried at one after the other until an answer has gone to the client, or it is known that none will.
//! This file holds the state of the exchange and its loop over workers; the steps of one try have files of their own.

mod answer;
mod attempt;
mod body;
mod client;
mod ending;
mod events;
mod pick;

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rainlug_placement::{Ask, End as Ended};
use rainlug_registry::Configuration;
use rainlug_transport::Link;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::answers::{Answer, Then};
use crate::connections::Connection;
use crate::request::Request;
use crate::routing::Picked;
use crate::stopping::Stage;
use crate::{Gateway, Reply, millis};

/// Workers that may be tried without being sent the request, beyond the tries of the route.
const UNSENT: u32 = 4;
/// A worker from which nothing comes at all is given up after so many targets and no sooner than so.
const SILENT_TARGETS: u64 = 2;
const LEAST_SILENT: u64 = 1000;

/// How a request ended.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The client has been sent nothing; this is its answer.
    Own(Reply),
    /// The client has been sent a whole answer.
    Answered(u16),
    /// The client has been sent a part of one that will not become whole.
    Cut,
    /// The client has gone.
    Left,
}

/// Why something was not waited for any longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stop {
    Left,
    Over,
}

/// How far a try at one worker came.
pub(crate) enum Tried {
    /// The worker's answer begins.
    Answer(Box<Answer>, Box<Connection>),
    /// It was not sent, or not wholly enough to have run.
    NotSent(Ended),
    /// It may have run; there is no answer.
    Lost(Ended),
    /// Nothing came from the worker for long, and there is another.
    Silent(Picked),
    Stopped(Stop),
}

/// How the passing on of an answer ended.
enum Passed {
    Whole,
    /// The worker broke off; nothing of this answer was sent to the client, or it may be gone on with elsewhere.
    Broken(Ended),
    /// The same as `Broken`, with another worker to go on at.
    Silent(Picked),
    /// The client's connection did not take it.
    Refused,
    Stopped(Stop),
}

/// A whole answer that is kept while a better one is looked for.
struct Spare {
    status: u16,
    lines: Vec<u8>,
    body: Bytes,
}

pub(crate) struct Exchange<'a> {
    gateway: &'a Gateway,
    request: &'a Request,
    client: Option<&'a mut Link>,
    then: Then,
    timer: Pin<Box<Sleep>>,
    /// What chooses between the services of its route, from 0 up to 1.
    turn: Option<f64>,
    ask: Ask,
    /// Workers that the request was sent to, and that it was not.
    pub sent: u32,
    unsent: u32,
    /// Of those that it was sent to, how many have told that they have not run it.
    turned: u32,
    /// The head has gone to the client.
    began: bool,
    /// The last event that has gone to the client, or that it had before.
    last: Option<u64>,
    spare: Option<Spare>,
    /// The configuration that the last route came from.
    configuration: Option<Rc<Configuration>>,
    /// A connection that had idled broke: the next try takes a new one.
    pub fresh: bool,
}

impl<'a> Exchange<'a> {
    pub fn new(gateway: &'a Gateway, request: &'a Request, client: Option<&'a mut Link>, then: Then) -> Self {
        let ask = Ask {
            class: 0,
            bulk: client.is_none(),
            prompt: request.prompt,
            out: request.out,
            prefix: request.prefix.clone(),
            aim: 0,
            tried: Vec::new(),
        };
        Exchange {
            gateway,
            request,
            client,
            then,
            timer: Box::pin(sleep_until(request.arrived + Duration::from_secs(3600))),
            turn: None,
            ask,
            sent: 0,
            unsent: 0,
            turned: 0,
            began: false,
            last: None,
            spare: None,
            configuration: None,
            fresh: false,
        }
    }

    /// What becomes of the client's connection: since it began the process may have been told to stop.
    fn then(&self) -> Then {
        if self.gateway.stopping.stage() == Stage::Serving { self.then } else { Then::Close }
    }

    /// The run begins after that event.
    pub fn goes_on_after(&mut self, last: Option<u64>) {
        self.last = last;
    }

    /// Carries the request out.
    pub async fn run(mut self) -> Outcome {
        let mut next: Option<Picked> = None;
        loop {
            let Some(route) = self.route() else { return self.ends(Reply::of(404)) };
            let until = self.request.until(&route);
            if Instant::now() >= until {
                return self.over(&route).await;
            }
            if self.sent >= route.max_attempts.max(1) || self.unsent > UNSENT {
                return self.give_up(&route, until).await;
            }
            let picked = match next.take().filter(|picked| self.holds(picked)) {
                Some(picked) => picked,
                None => match self.picked(&route, until).await {
                    Ok(Some(picked)) => picked,
                    Ok(None) => return self.give_up(&route, until).await,
                    Err(Stop::Left) => return Outcome::Left,
                    Err(Stop::Over) => return self.over(&route).await,
                },
            };
            let may_repeat = route.is_idempotent();
            let silent = may_repeat.then(|| LEAST_SILENT.max(route.target_ms.saturating_mul(SILENT_TARGETS)));
            let silent = silent.map(millis);
            match self.attempt(&picked, &route, until, silent).await {
                Tried::NotSent(end) => {
                    self.unsent += 1;
                    self.ask.tried.push(picked.worker.id.clone());
                    picked.ticket.end(end);
                }
                Tried::Lost(end) => {
                    self.gateway.metrics.lost.up();
                    if !self.fresh {
                        self.ask.tried.push(picked.worker.id.clone());
                    }
                    picked.ticket.end(end);
                    if !may_repeat {
                        return self.lost();
                    }
                }
                Tried::Silent(other) => {
                    self.ask.tried.push(picked.worker.id.clone());
                    picked.ticket.end(Ended::Silent);
                    next = Some(other);
                }
                Tried::Stopped(Stop::Left) => return Outcome::Left,
                Tried::Stopped(Stop::Over) => return self.over(&route).await,
                Tried::Answer(answer, connection) => {
                    match self.answered(*answer, connection, picked, &route, until).await {
                        Ok(outcome) => return outcome,
                        Err(other) => next = other,
                    }
                }
            }
            if self.sent > 0 {
                self.gateway.metrics.retried.up();
            }
        }
    }
}
