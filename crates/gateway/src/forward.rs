//! One request at workers: tried at one after the other until an answer has gone to the client, or it is known that none will.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use rainlug_placement::{Ask, End as Ended};
use rainlug_registry::{Configuration, Kind, Route, Worker};
use rainlug_transport::{Body, End, Link, Piece};
use tokio::time::{Instant, Sleep, sleep_until};

use crate::answers::{Answer, Echo, Framing, Then, chunk, finish};
use crate::connections::Connection;
use crate::request::Request;
use crate::routing::{Picked, class, services};
use crate::stopping::Stage;
use crate::stream::Events;
use crate::{Gateway, Reply, millis};

/// A connection must be up in this time, and in this part of what is left.
const DIAL: Duration = Duration::from_secs(1);
const DIAL_PART: u32 = 3;
/// Workers that may be tried without being sent the request, beyond the tries of the route.
const UNSENT: u32 = 4;
/// For a pick that none can take now, it is waited for this part of the target, and for so long at most.
const WAIT_PART: u64 = 8;
const MOST_WAIT: Duration = Duration::from_millis(50);
/// A worker from which nothing comes at all is given up after so many targets and no sooner than so.
const SILENT_TARGETS: u64 = 2;
const LEAST_SILENT: u64 = 1000;
/// And one whose stream pauses, after so many times the pause that is aimed at and no sooner than so.
const SILENT_GAPS: u64 = 4;
const LEAST_GAP: u64 = 1500;
/// Answers to earlier requests that are skipped on one connection.
const STRAYS: usize = 2;
/// Answers up to this size are had whole before the client is sent anything, in bytes.
const WHOLE: usize = 64 << 10;

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

    pub fn ask(&mut self, route: &Route, tried: &[String]) -> &Ask {
        self.ask.class = class(&route.name);
        let target = i64::try_from(route.target_ms).unwrap_or(i64::MAX / 2000).saturating_mul(1000);
        let elapsed = i64::try_from(self.request.arrived.elapsed().as_micros()).unwrap_or(i64::MAX);
        self.ask.aim = target.saturating_sub(elapsed).max(0);
        self.ask.tried.extend_from_slice(tried);
        &self.ask
    }

    /// Waits for something until then, or until the client has gone.
    pub async fn wait<T>(&mut self, what: impl Future<Output = T>, until: Instant) -> Result<T, Stop> {
        let (timer, client) = (&mut self.timer, &mut self.client);
        // It is set anew only where it would come too late.
        if timer.deadline() > until || timer.is_elapsed() {
            timer.as_mut().reset(until);
        }
        tokio::pin!(what);
        let left = async {
            match client {
                Some(client) => client.departed().await,
                None => std::future::pending().await,
            }
        };
        tokio::pin!(left);
        loop {
            tokio::select! {
                biased;
                got = &mut what => return Ok(got),
                () = &mut left => return Err(Stop::Left),
                () = timer.as_mut() => {
                    if Instant::now() >= until {
                        return Err(Stop::Over);
                    }
                    timer.as_mut().reset(until);
                }
            }
        }
    }

    /// Writes to the client, which has until then to take it.
    async fn tell(&mut self, parts: &[&[u8]], until: Instant) -> bool {
        let Some(client) = self.client.as_mut() else { return true };
        let timer = &mut self.timer;
        if timer.deadline() > until || timer.is_elapsed() {
            timer.as_mut().reset(until);
        }
        let written = Cell::new(0);
        let write = client.write(parts, &written);
        tokio::pin!(write);
        loop {
            tokio::select! {
                biased;
                sent = &mut write => return sent.is_ok(),
                () = timer.as_mut() => {
                    if Instant::now() >= until {
                        return false;
                    }
                    timer.as_mut().reset(until);
                }
            }
        }
    }

    /// The id under which it may be sent once more by another exchange: that of an item. Clients give each try an id of its own.
    fn repeated_id(&self) -> Option<&'a str> {
        self.request.id.as_deref().filter(|_| self.client.is_none())
    }

    /// The newest route of the request.
    fn route(&mut self) -> Option<Rc<Route>> {
        let configuration = self.gateway.configuration()?;
        let route = configuration.route(&self.request.host, self.request.path()).cloned();
        self.configuration = Some(configuration);
        route
    }

    /// Whether what was decided still holds: the worker takes requests, and the route still has its service.
    fn holds(&self, picked: &Picked) -> bool {
        if !self.gateway.sendable(&picked.worker.id) {
            return false;
        }
        let (Some(then), Some(now)) = (&self.configuration, self.gateway.configuration()) else {
            return true;
        };
        Rc::ptr_eq(then, &now)
            || now
                .route(&self.request.host, self.request.path())
                .is_some_and(|route| services(route, 0.0).any(|name| name == picked.worker.service))
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
            if self.sent >= route.max_tries.max(1) || self.unsent > UNSENT {
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
            let may_repeat = route.repeatable();
            let silent = may_repeat.then(|| LEAST_SILENT.max(route.target_ms.saturating_mul(SILENT_TARGETS)));
            let silent = silent.map(millis);
            match self.attempt(&picked, &route, until, silent).await {
                Tried::NotSent(end) => {
                    self.unsent += 1;
                    self.ask.tried.push(picked.worker.id.clone());
                    picked.ticket.end(end);
                }
                Tried::Lost(end) => {
                    self.gateway.figures.lost.up();
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
                self.gateway.figures.retried.up();
            }
        }
    }

    /// A worker, for which it is waited a little.
    async fn picked(&mut self, route: &Route, until: Instant) -> Result<Option<Picked>, Stop> {
        let (gateway, draw) = (self.gateway, self.request.draw);
        let most = if self.began {
            millis(route.gap_aim_ms).max(MOST_WAIT)
        } else {
            MOST_WAIT.min(millis(route.target_ms / WAIT_PART))
        };
        let patience = until.min(Instant::now() + most);
        loop {
            if let Some(picked) = gateway.pick(route, draw, self.ask(route, &[])) {
                return Ok(Some(picked));
            }
            let mut waits =
                services(route, draw).filter_map(|name| gateway.services.borrow().get(name).cloned());
            let Some(service) = waits.next() else { return Ok(None) };
            match self.wait(service.room(route.priority), patience).await {
                Ok(()) => {}
                Err(Stop::Over) if patience < until => return Ok(None),
                Err(stop) => return Err(stop),
            }
        }
    }

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
    async fn connection(&mut self, picked: &Picked, until: Instant) -> Result<Connection, Tried> {
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
    async fn head(
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
                    self.gateway.figures.unnamed.up();
                    answer.success() || !(alone || (answer.turned_away() && route.repeatable()))
                }
            };
            if answer.status < 200 {
                continue;
            }
            if !strange {
                return Ok(answer);
            }
            // A late answer to an earlier request; ours may come after it.
            self.gateway.figures.strays.up();
            strays += 1;
            if strays > STRAYS || answer.echo == Echo::Missing || answer.framing == Body::UntilEnd {
                return lost;
            }
            ours = false;
        }
    }

    /// Another worker than the one that is silent, where one may be tried.
    fn other(&mut self, picked: &Picked, route: &Route) -> Option<Picked> {
        if self.sent >= route.max_tries {
            return None;
        }
        let (gateway, draw) = (self.gateway, self.request.draw);
        let ask = self.ask(route, std::slice::from_ref(&picked.worker.id));
        let other = gateway.pick(route, draw, ask);
        self.ask.tried.pop();
        other
    }

    /// An answer has begun: it is passed on, or another worker is to be tried (one that is picked already, maybe).
    async fn answered(
        &mut self,
        answer: Answer,
        mut connection: Box<Connection>,
        picked: Picked,
        route: &Route,
        until: Instant,
    ) -> Result<Outcome, Option<Picked>> {
        let (may_repeat, more) = (route.repeatable(), self.sent < route.max_tries);
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
        let events = answer.events && answer.success() && route.kind == Kind::Streaming;
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
                self.gateway.figures.lost.up();
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
            if tokio::time::timeout(DIAL, rest).await == Ok(true) {
                connections.put(&worker, *connection, answer.keep);
            }
        });
    }

    /// The body of an answer as far as `WHOLE`, and whether that is all of it; nothing where it broke.
    async fn whole(
        &mut self,
        connection: &mut Connection,
        answer: &Answer,
        until: Instant,
    ) -> Result<Option<(Bytes, bool)>, Stop> {
        if matches!(answer.framing, Body::Length(n) if n > WHOLE) && self.request.method != "HEAD" {
            return Ok(Some((Bytes::new(), false)));
        }
        let (mut first, mut joined) = (Bytes::new(), BytesMut::new());
        loop {
            match self.wait(connection.link.next(), until).await? {
                Ok(Piece::Body(piece)) if first.is_empty() => first = piece,
                Ok(Piece::Body(piece)) => {
                    if joined.is_empty() {
                        joined.reserve(match answer.framing {
                            Body::Length(n) => n,
                            _ => 2 * (first.len() + piece.len()),
                        });
                        joined.extend_from_slice(&first);
                    }
                    joined.extend_from_slice(&piece);
                    if joined.len() > WHOLE {
                        return Ok(Some((joined.freeze(), false)));
                    }
                }
                Ok(Piece::Last) => {
                    return Ok(Some((if joined.is_empty() { first } else { joined.freeze() }, true)));
                }
                Ok(Piece::Head(_)) | Err(_) => return Ok(None),
            }
        }
    }

    /// Passes an answer on that is no series of events.
    async fn pass(&mut self, connection: &mut Connection, answer: Answer, until: Instant) -> Passed {
        let (begin, all) = match self.whole(connection, &answer, until).await {
            Ok(Some(whole)) => whole,
            Ok(None) => return Passed::Broken(Ended::Failed),
            Err(stop) => return Passed::Stopped(stop),
        };
        let bodiless = self.request.method == "HEAD" || matches!(answer.status, 204 | 304);
        let framing = match answer.framing {
            _ if matches!(answer.status, 204 | 304) => Framing::Nothing,
            Body::Length(n) => Framing::Length(n),
            Body::Chunked | Body::UntilEnd if bodiless => Framing::Nothing,
            Body::Chunked | Body::UntilEnd if all => Framing::Length(begin.len()),
            Body::Chunked | Body::UntilEnd => Framing::Chunked,
        };
        let mut head = answer.lines;
        finish(&mut head, framing, self.then());
        self.began = true;
        if all {
            return if self.tell(&[&head, &begin], until).await { Passed::Whole } else { Passed::Refused };
        }
        let chunked = framing == Framing::Chunked;
        let mut told = if chunked && !begin.is_empty() {
            self.tell(&[&head, &chunk(begin.len()), &begin, b"\r\n"], until).await
        } else {
            self.tell(&[&head, &begin], until).await
        };
        drop(begin);
        while told {
            told = match self.wait(connection.link.next(), until).await {
                Ok(Ok(Piece::Body(piece))) if chunked => {
                    self.tell(&[&chunk(piece.len()), &piece, b"\r\n"], until).await
                }
                Ok(Ok(Piece::Body(piece))) => self.tell(&[&piece], until).await,
                Ok(Ok(Piece::Last)) => {
                    let ended = !chunked || self.tell(&[b"0\r\n\r\n"], until).await;
                    return if ended { Passed::Whole } else { Passed::Refused };
                }
                Ok(_) => return Passed::Broken(Ended::Failed),
                Err(stop) => return Passed::Stopped(stop),
            };
        }
        Passed::Refused
    }

    /// Passes events on, each once it is whole.
    async fn stream(
        &mut self,
        connection: &mut Connection,
        answer: Answer,
        picked: &Picked,
        route: &Route,
        until: Instant,
    ) -> Passed {
        let gap = LEAST_GAP.max(route.gap_aim_ms.saturating_mul(SILENT_GAPS));
        let gap =
            millis(if self.began { gap } else { gap.max(route.target_ms.saturating_mul(SILENT_TARGETS)) });
        let resumes = route.repeatable();
        let ends_with_connection = answer.framing == Body::UntilEnd;
        // The head goes with the first event: until then another worker's answer may take its place.
        let mut head = (!self.began).then_some(answer.lines);
        if let Some(lines) = &mut head {
            finish(lines, Framing::Chunked, self.then());
            if self.last.is_none() {
                self.last =
                    self.request.last_event.as_ref().and_then(|id| id.parse().ok()).filter(|_| resumes);
            }
        } else {
            self.gateway.figures.resumed.up();
        }
        let joined = head.is_none();
        let (mut events, mut started) = (Events::default(), false);
        let mut quiet = if resumes { until.min(Instant::now() + gap) } else { until };
        loop {
            let piece = match self.wait(connection.link.next(), quiet).await {
                Ok(Ok(Piece::Body(piece))) => piece,
                Ok(Ok(Piece::Last)) => {
                    let rest = events.rest();
                    // An event that is not whole can be passed on only as what the worker's answer is said to end with.
                    if (joined || ends_with_connection) && !rest.is_empty() {
                        return Passed::Broken(Ended::Failed);
                    }
                    return if self.end_of_stream(head, &rest, until).await {
                        Passed::Whole
                    } else {
                        Passed::Refused
                    };
                }
                Ok(_) => return Passed::Broken(Ended::Failed),
                Err(Stop::Over) if Instant::now() < until => {
                    if let Some(other) = self.other(picked, route) {
                        return Passed::Silent(other);
                    }
                    quiet = until;
                    continue;
                }
                Err(stop) => return Passed::Stopped(stop),
            };
            events.push(piece);
            let (mut first, mut more) = (Bytes::new(), BytesMut::new());
            let broken = loop {
                let event = match events.take() {
                    Ok(Some(event)) => event,
                    Ok(None) => break false,
                    Err(_) => break true,
                };
                match event.id {
                    Some(id) if self.last.is_some_and(|last| id <= last) => {
                        if !started && resumes {
                            continue;
                        }
                        // Ids rise within a run.
                        break true;
                    }
                    Some(id) => self.last = Some(id),
                    None if joined && !started => continue,
                    None => {}
                }
                if std::mem::replace(&mut started, true) {
                    picked.ticket.progress();
                } else {
                    picked.ticket.started();
                }
                if first.is_empty() {
                    first = event.bytes;
                } else {
                    if more.is_empty() {
                        more.extend_from_slice(&first);
                    }
                    more.extend_from_slice(&event.bytes);
                }
            };
            let out: &[u8] = if more.is_empty() { &first } else { &more };
            if !out.is_empty() {
                let lines = head.take().unwrap_or_default();
                self.began = true;
                if !self.tell(&[&lines, &chunk(out.len()), out, b"\r\n"], until).await {
                    return Passed::Refused;
                }
                quiet = if resumes { until.min(Instant::now() + gap) } else { until };
            }
            if broken {
                return Passed::Broken(Ended::Failed);
            }
        }
    }

    async fn end_of_stream(&mut self, head: Option<Vec<u8>>, rest: &[u8], until: Instant) -> bool {
        let lines = head.unwrap_or_default();
        self.began = true;
        if rest.is_empty() {
            return self.tell(&[&lines, b"0\r\n\r\n"], until).await;
        }
        self.tell(&[&lines, &chunk(rest.len()), rest, b"\r\n0\r\n\r\n"], until).await
    }

    /// No worker is left to be tried.
    async fn give_up(&mut self, route: &Route, until: Instant) -> Outcome {
        if let Some(spare) = self.spare.take().filter(|_| !self.began) {
            let mut head = spare.lines;
            let framing = if matches!(spare.status, 204 | 304) {
                Framing::Nothing
            } else {
                Framing::Length(spare.body.len())
            };
            finish(&mut head, framing, self.then());
            let until = until.max(Instant::now() + DIAL);
            let told = self.tell(&[&head, &spare.body], until).await;
            return if told { Outcome::Answered(spare.status) } else { Outcome::Left };
        }
        if self.began || self.may_have_run() {
            return self.lost();
        }
        Outcome::Own(Reply::refused(self.gateway.pause(route)))
    }

    /// Its time is over.
    async fn over(&mut self, route: &Route) -> Outcome {
        if self.spare.is_some() || (!self.began && !self.may_have_run()) {
            return self.give_up(route, Instant::now()).await;
        }
        if self.began { Outcome::Cut } else { Outcome::Own(Reply::of(504)) }
    }

    /// Whether a worker may have run it: it was sent to more workers than turned it away.
    fn may_have_run(&self) -> bool {
        self.sent > self.turned
    }

    /// It may have run, and there is no answer.
    fn lost(&self) -> Outcome {
        if self.began { Outcome::Cut } else { Outcome::Own(Reply::of(502)) }
    }

    fn ends(&self, reply: Reply) -> Outcome {
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
