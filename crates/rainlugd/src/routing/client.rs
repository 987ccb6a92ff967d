//! A client connection's actor: it reads one request at a time, hands a task to the module and writes its answer.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rainlug::Time;
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, timeout};

use super::{Answer, Mail, Parcel, ToModule};
use crate::program::Clock;
use crate::protocol::head;
use crate::transport::{End, Link, Piece, Room};

/// Part of its patience for which a connection that has had its last answer waits for the client to end it.
const FAREWELL: u32 = 16;

/// What every client's actor needs to read a task.
pub struct Door {
    pub clock: Clock,
    pub module: ToModule,
    pub room: Room,
    /// The names of the workloads, and the longest that a client waits for each.
    pub workloads: Vec<(String, Time)>,
    pub customers: Vec<String>,
    /// The longest that a request may take to come whole, and an answer to be taken.
    pub patience: Duration,
    /// How long a new connection may wait for its first request, whatever happens.
    pub newcomers: Duration,
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

/// Serves a connection until it ends; `stopping` turns true when the process is to end. Where there is no seat for
/// the connection, it is turned away once it has told what it wants.
pub async fn serve(mut link: Link, door: Rc<Door>, mut stopping: watch::Receiver<bool>, turned_away: bool) {
    let mut newcomer = true;
    loop {
        tokio::select! {
            biased;
            () = link.idle() => {}
            () = unwanted(&door, &mut stopping, newcomer) => return,
        }
        newcomer = false;
        let read = timeout(door.patience, request(&mut link, &door)).await.unwrap_or(Err(End::TimedOut));
        let (asked, at, mut close) = match read {
            Ok((asked, close)) => (asked, door.clock.now(), close || turned_away),
            Err(End::Malformed) => (Asked::Nothing(400), 0, true),
            Err(End::TooLarge) => (Asked::Nothing(413), 0, true),
            Err(End::TimedOut) => (Asked::Nothing(408), 0, true),
            Err(_) => return,
        };
        let (status, pause, body) = match asked {
            Asked::Nothing(status) => (status, 0, Bytes::new()),
            Asked::Ready => (if *stopping.borrow() { 503 } else { 200 }, 0, Bytes::new()),
            Asked::Task { .. } if turned_away => (503, 0, Bytes::new()),
            Asked::Task { parcel, of, budget, slots } => {
                let (client, answer) = oneshot::channel();
                let parcel = Rc::new(parcel);
                let task = Mail::Task { parcel: parcel.clone(), of, at, budget, slots, client };
                if door.module.send(task).await.is_err() {
                    return;
                }
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
                        let _ = door.module.send(Mail::Left(parcel)).await;
                        return;
                    }
                }
            }
        };
        close |= *stopping.borrow();
        let reply = head::reply(status, pause, close, body.len());
        let written = timeout(door.patience, link.send(reply.as_bytes(), &body, &Cell::new(false))).await;
        if close {
            let _ = timeout(door.patience / FAREWELL, link.finish()).await;
        }
        if close || !matches!(written, Ok(Ok(()))) {
            return;
        }
        link.rest();
    }
}

/// Ends when an idle connection is to be closed: at the word to stop, or when somebody wants its seat. One that has
/// carried nothing yet has a while before: its client is about to write, and would be turned away again and again.
async fn unwanted(door: &Door, stopping: &mut watch::Receiver<bool>, newcomer: bool) {
    if newcomer {
        sleep(door.newcomers).await;
    }
    tokio::select! {
        _ = stopping.wait_for(|s| *s) => {}
        () = door.room.wanted() => {}
    }
}

/// Reads a request; tells too whether the connection ends with it.
async fn request(link: &mut Link, door: &Door) -> Result<(Asked, bool), End> {
    let Piece::Head(text) = link.next().await? else { return Err(End::Malformed) };
    let body = link.body().await?;
    head::request(&text, |method, path, fields| {
        (asked(door, method, path, fields, body), fields.says("Connection", "close"))
    })
}

fn asked(door: &Door, method: &str, path: &str, fields: &head::Fields, body: Bytes) -> Asked {
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
    let parcel = Parcel {
        id: id.to_owned(),
        head: head::passed_on(path, id, fields.get("Idempotency-Key"), body.len()),
        body,
    };
    let slots = fields.get("X-Call-Info").and_then(|info| head::figure(info, "slots")).unwrap_or(1.0);
    Asked::Task { parcel, of: (workload, customer.flatten()), budget, slots }
}
