//! The list's actor: it holds a watch open and tells the module each change.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout};

use super::{Mail, ToModule};
use crate::protocol::lines::Lines;
use crate::protocol::{head, words};
use crate::transport::{End, Link, Piece, Pool, Room};

/// An empty line comes this often while nothing changes.
const BEAT: Duration = Duration::from_secs(2);
/// A watch without a line for so long is taken for dead. What the list has to tell counts as told after 6 s: a watch
/// that died unnoticed is opened again before.
const SILENT: Duration = BEAT.checked_mul(2).unwrap();
/// The first pause before a watch is opened again; it doubles up to one beat.
const PAUSE: Duration = BEAT.checked_div(16).unwrap();

/// Where the list is had from, and how its names are read.
#[derive(PartialEq)]
pub struct Source {
    pub at: SocketAddr,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// The longest line.
    pub most: usize,
    /// A watch is ended once it has told something, until it is asked for again: where the list comes only when asked for
    /// and its weights change all the time, the watches of some took all that it can send, and nobody else got through.
    pub brief: bool,
}

/// An open watch, and what of its next line has come.
struct Watch {
    link: Link,
    lines: Lines,
}

/// Follows the list from version `rev` on, at the last of `sources`; where it must be asked for, each time that `asked`
/// says so. A source that is new is opened at once, and the watch at the old one is read until then.
pub async fn follow(
    mut sources: watch::Receiver<Rc<Source>>,
    mut rev: u64,
    module: ToModule,
    asked: Option<Rc<Notify>>,
    pool: Pool,
    room: Room,
) {
    let (mut pause, mut moved, mut held) = (PAUSE, false, None);
    loop {
        if let Some(asked) = asked.as_ref().filter(|_| !moved) {
            tokio::select! {
                () = asked.notified() => {}
                _ = sources.changed() => {}
            }
        }
        let from = sources.borrow_and_update().clone();
        let before = rev;
        let opened = tokio::select! {
            biased;
            opened = open(&from, before, &pool, &room) => opened,
            never = last_words(&mut held, &from, &mut rev, &module) => match never {},
        };
        let end = match opened {
            Ok(watch) => {
                let watch = held.insert(watch);
                tokio::select! {
                    biased;
                    _ = sources.changed() => None,
                    end = read(watch, &from, &mut rev, &module) => {
                        held = None;
                        Some(end)
                    }
                }
            }
            Err(end) => Some(end),
        };
        // What was learnt of the old source's failures says nothing of a new one.
        moved = end.is_none();
        let end = match end {
            None => {
                log!("list: moved from {} at {rev}", from.at);
                pause = PAUSE;
                continue;
            }
            Some(End::Done) => continue,
            Some(end) => end,
        };
        log!("list: watch at {} from {before} ended at {rev}: {end:?}", from.at);
        if module.send(Mail::ListFailed).await.is_err() {
            return;
        }
        pause = if rev == before { (2 * pause).min(BEAT) } else { PAUSE };
        if asked.is_none() {
            moved = tokio::select! {
                biased;
                _ = sources.changed() => true,
                () = sleep(pause) => false,
                never = last_words(&mut held, &from, &mut rev, &module) => match never {},
            };
            pause = if moved { PAUSE } else { pause };
        }
    }
}

/// Reads the watch at an old source to its end, and then waits for good.
async fn last_words(held: &mut Option<Watch>, from: &Source, rev: &mut u64, module: &ToModule) -> Infallible {
    if let Some(watch) = held {
        read(watch, from, rev, module).await;
        *held = None;
    }
    pending().await
}

/// Opens a watch.
async fn open(from: &Source, rev: u64, pool: &Pool, room: &Room) -> Result<Watch, End> {
    let seat = room.seat().ok_or(End::NoRoom)?;
    log!("list: watch at {} from {rev} opens", from.at);
    let mut link = Link::connect(from.at, Instant::now() + BEAT, head::answer_body, pool, seat).await?;
    let ask = head::get(&format!("/v1/endpoints?watch=1&from={rev}"), from.at);
    link.send(ask.as_bytes(), &[], &Cell::new(false)).await?;
    let Piece::Head(text) = timeout(BEAT, link.next()).await.map_err(|_| End::TimedOut)?? else {
        return Err(End::Malformed);
    };
    match head::answer(&text, |status, _| status)? {
        200 => Ok(Watch { link, lines: Lines::within(from.most) }),
        _ => Err(End::Failed),
    }
}

/// Tells the module what the watch says, up to its end. Dropped midway, it goes on from there.
async fn read(watch: &mut Watch, from: &Source, rev: &mut u64, module: &ToModule) -> End {
    loop {
        loop {
            let line = match watch.lines.next() {
                Ok(Some(line)) => line,
                Ok(None) => break,
                Err(end) => return end,
            };
            if line.is_empty() {
                continue;
            }
            let told = serde_json::from_slice::<Value>(&line).ok();
            let told = told.and_then(|l| words::of_list(&l, &from.zones, &from.kinds));
            let Some((version, everything, entries)) = told else { return End::Malformed };
            // In this order: where this is dropped in between, the change is not passed over.
            if module.send(Mail::List { everything, entries }).await.is_err() {
                return End::GivenUp;
            }
            *rev = version;
            if from.brief {
                return End::Done;
            }
        }
        match timeout(SILENT, watch.link.next()).await {
            Ok(Ok(Piece::Body(piece))) => watch.lines.push(&piece),
            Ok(Ok(_)) => return End::Closed,
            Ok(Err(end)) => return end,
            Err(_) => return End::TimedOut,
        }
    }
}
