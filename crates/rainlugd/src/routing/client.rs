//! A client connection's actor: it reads one request at a time, hands a task to the module and writes its answer.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rainlug::Time;
use rainlug_handover::Stance;
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use super::figures::Figures;
use super::{Answer, Beside, Mail, Parcel, ToModule};
use crate::base::Clock;
use crate::protocol::head;
use crate::transport::{End, Link, Piece, Room};

/// Part of its time for a request for which a connection that has had its last answer waits for the client to end it.
const FAREWELL: u32 = 4;
/// Who is to go first where there are no seats left: those to whom nothing is owed any more, those who have never
/// handed in a task, those who have.
const LEAVING: u8 = 0;
const UNPROVEN: u8 = 1;
const KEPT: u8 = 2;

/// What every client's actor needs to read a task.
pub struct Door {
    pub clock: Clock,
    pub module: ToModule,
    pub room: Room,
    /// For those who found no seat.
    pub spare: Room,
    /// The names of the workloads, and the longest that a client waits for each.
    pub workloads: Vec<(String, Time)>,
    pub customers: Vec<String>,
    /// The longest that an answer may take to be taken.
    pub patience: Duration,
    /// The longest that a request may take to come whole; the first counts from connecting.
    pub haste: Duration,
    pub figures: Rc<Figures>,
    /// The other processes of this dispatcher; nothing where there can be none.
    pub beside: Option<Rc<Beside>>,
}

/// How a connection came to this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    Accepted,
    /// Another process of this dispatcher passed it on between two requests.
    PassedOn,
}

/// Why an idle connection is not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    /// Another process of this dispatcher has it now.
    PassedOn,
    /// The process is emptied or is to end.
    Dismissed,
    /// It has said nothing at all for too long.
    Silent,
    /// Somebody wants its seat.
    SeatWanted,
}

impl Door {
    fn room_of(&self, spare: bool) -> &Room {
        if spare { &self.spare } else { &self.room }
    }
}

/// What a request asks for.
enum Asked {
    Ready,
    Task {
        parcel: Parcel,
        of: (usize, Option<usize>),
        budget: Time,
        slots: f64,
    },
    /// Nothing that there is: the status to answer with.
    Nothing(u16),
}

/// Serves a connection until it ends; `stance` tells what holds when the process is emptied or is to end. Where there is
/// no seat for the connection, it is turned away once it has told what it wants, unless there is one by then.
pub async fn serve(
    mut link: Link,
    arrival: Arrival,
    door: Rc<Door>,
    mut stance: watch::Receiver<Stance>,
    mut spare: bool,
) {
    trace!(door.clock.now(), "client {} {arrival:?}", link.peer());
    let come = Instant::now();
    let (mut newcomer, mut rank) = match arrival {
        Arrival::Accepted => (true, UNPROVEN),
        Arrival::PassedOn => (false, KEPT),
    };
    loop {
        let departure = tokio::select! {
            biased;
            () = link.spoken() => None,
            departure = departure(&link, &door, &mut stance, spare, newcomer, rank) => Some(departure),
        };
        if let Some(departure) = departure
            && !ends_with_request(&link, departure)
        {
            return end_idle(link, &door, spare, departure).await;
        }
        link.take_buffer();
        // A client that connects and never says what it wants holds a seat that others need.
        let from = if newcomer { come } else { Instant::now() };
        newcomer = false;
        let read = timeout_at(from + door.haste, request(&mut link, &door)).await;
        let (asked, at, mut close) = match read.unwrap_or(Err(End::TimedOut)) {
            Ok((asked, close)) => (asked, door.clock.now(), close),
            Err(End::Malformed) => (Asked::Nothing(400), 0, true),
            Err(End::TooLarge) => (Asked::Nothing(413), 0, true),
            Err(End::TimedOut) => (Asked::Nothing(408), 0, true),
            Err(end) => {
                trace!(door.clock.now(), "client {} {end:?}", link.peer());
                return;
            }
        };
        let workload = match &asked {
            Asked::Task { of, .. } => Some(of.0),
            _ => None,
        };
        let taken = workload.map(|_| door.figures.taken());
        if spare && matches!(asked, Asked::Task { .. }) {
            // While others hold seats idly, who has something to ask is not turned away for lack of one.
            if let Some(seat) = door.room.claim().await {
                link.reseat(seat);
                spare = false;
            }
        }
        close |= spare || departure.is_some();
        let (status, pause, body) = match asked {
            Asked::Nothing(status) => (status, 0, Bytes::new()),
            Asked::Ready => (if stance.borrow().ready { 200 } else { 503 }, 0, Bytes::new()),
            Asked::Task { .. } if spare => {
                log!("a task is turned away: all seats for clients are taken");
                (503, 0, Bytes::new())
            }
            Asked::Task { parcel, of, budget, slots } => {
                let (client, answer) = oneshot::channel();
                let parcel = Rc::new(parcel);
                let task = Mail::Task { parcel: parcel.clone(), of, at, budget, slots, client };
                if door.module.send(task).await.is_err() {
                    return;
                }
                rank = KEPT;
                tokio::select! {
                    biased;
                    answer = answer => match answer {
                        Ok(Answer::Finished(result)) => (200, 0, result),
                        Ok(Answer::Bounced(pause)) => (503, pause, Bytes::new()),
                        Ok(Answer::Abandoned) => (500, 0, Bytes::new()),
                        // A task of this id is under way already.
                        Err(_) => (409, 0, Bytes::new()),
                    },
                    () = link.departed() => {
                        trace!(door.clock.now(), "client {} has gone", link.peer());
                        let _ = door.module.send(Mail::Left(parcel)).await;
                        return;
                    }
                }
            }
        };
        // Who asks for what there is not would ask on, as fast as it is told.
        close |= !stance.borrow().keeps || (400..500).contains(&status);
        let reply = head::reply(status, pause, close, body.len());
        let written = timeout(door.patience, link.send(reply.as_bytes(), &body, &Cell::new(false))).await;
        let written = matches!(written, Ok(Ok(())));
        workload.iter().filter(|_| written).for_each(|w| door.figures.answered(*w, status));
        drop(taken);
        if close {
            tokio::select! {
                _ = timeout(door.haste / FAREWELL, link.finish()) => {}
                () = door.room_of(spare).wanted(LEAVING) => {}
            }
        }
        if close || !written {
            return;
        }
        link.rest();
    }
}

/// Ends when an idle connection is not to be kept.
async fn departure(
    link: &Link,
    door: &Door,
    stance: &mut watch::Receiver<Stance>,
    spare: bool,
    newcomer: bool,
    rank: u8,
) -> Departure {
    tokio::select! {
        departure = dismissed(link, door, stance), if !newcomer => departure,
        () = sleep(door.haste), if newcomer => Departure::Silent,
        () = door.room_of(spare).wanted(rank) => Departure::SeatWanted,
    }
}

/// Ends when idle connections are passed on or closed, this one having idled from now on.
async fn dismissed(link: &Link, door: &Door, stance: &mut watch::Receiver<Stance>) -> Departure {
    let since = door.clock.now();
    let mut finds_nobody = false;
    loop {
        let Stance { idle, passes_connections, .. } = *stance.borrow_and_update();
        let passes = passes_connections && !finds_nobody;
        // Others may be passed on before this one, which may have idled for long.
        let until = idle.map_or(Time::MAX, |(after, by)| if passes { by } else { by.min(since + after) });
        tokio::select! {
            biased;
            passed = passed_on(link, door), if passes => {
                if passed {
                    return Departure::PassedOn;
                }
                finds_nobody = true;
            }
            () = sleep_until(door.clock.instant(until)) => return Departure::Dismissed,
            changed = stance.changed() => {
                if changed.is_err() {
                    return Departure::Dismissed;
                }
                finds_nobody = false;
            }
        }
    }
}

/// Passes an idle connection to the process that goes on; false where none takes it.
async fn passed_on(link: &Link, door: &Door) -> bool {
    match &door.beside {
        Some(beside) => beside.pass_connection(link.socket()).await,
        None => false,
    }
}

/// Whether a connection that is to be ended has brought a request, which is answered first.
fn ends_with_request(link: &Link, departure: Departure) -> bool {
    departure != Departure::PassedOn && link.has_spoken()
}

/// Ends an idle connection, in two steps where nobody waits for its seat: what a client sends meanwhile is counted, and does
/// not reset the connection before the client has seen its end.
async fn end_idle(mut link: Link, door: &Door, spare: bool, departure: Departure) {
    trace!(door.clock.now(), "client {} {departure:?}", link.peer());
    match departure {
        Departure::PassedOn | Departure::SeatWanted => {}
        Departure::Dismissed | Departure::Silent => {
            let crossed = Cell::new(0);
            tokio::select! {
                _ = timeout(door.haste / FAREWELL, link.finish_counting(&crossed)) => {}
                () = door.room_of(spare).wanted(LEAVING) => {}
            }
            if crossed.get() > 0 {
                log!("a request crossed the end of its idle connection");
                door.figures.crossed();
            }
        }
    }
}

/// Reads a request; tells too whether the connection ends with it. What its head alone condemns is told before its
/// body is waited for.
async fn request(link: &mut Link, door: &Door) -> Result<(Asked, bool), End> {
    let Piece::Head(text) = link.next().await? else { return Err(End::Malformed) };
    let (mut asked, close) = head::request(&text, |method, path, fields| {
        (asked(door, method, path, fields), fields.says("Connection", "close"))
    })?;
    if matches!(asked, Asked::Nothing(_)) {
        return Ok((asked, true));
    }
    let body = link.body().await?;
    if let Asked::Task { parcel, .. } = &mut asked {
        parcel.body = body;
    }
    Ok((asked, close))
}

fn asked(door: &Door, method: &str, path: &str, fields: &head::Fields) -> Asked {
    if path == "/ready" {
        return if method == "GET" { Asked::Ready } else { Asked::Nothing(405) };
    }
    let name = path.trim_start_matches('/').split(['/', '?']).next().unwrap_or_default();
    let Some(workload) = door.workloads.iter().position(|(n, _)| n == name) else {
        return Asked::Nothing(404);
    };
    if method != "POST" {
        return Asked::Nothing(405);
    }
    let customer = fields.get("X-Caller").map(|name| door.customers.iter().position(|c| c == name));
    let budget = fields.get("X-Budget").map_or(Some(door.workloads[workload].1), head::budget);
    let known = customer.is_none_or(|c| c.is_some() || door.customers.is_empty());
    let (Some(id), Some(budget), true) = (fields.get("X-Call-Id").filter(|i| !i.is_empty()), budget, known)
    else {
        return Asked::Nothing(400);
    };
    let head = head::passed_on(path, id, fields.get("Idempotency-Key"));
    let parcel = Parcel { id: id.to_owned(), head, body: Bytes::new() };
    let slots = fields.get("X-Call-Info").and_then(|info| head::figure(info, "slots")).unwrap_or(1.0);
    Asked::Task { parcel, of: (workload, customer.flatten()), budget, slots }
}
