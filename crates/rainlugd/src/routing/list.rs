//! The list's actor: it holds a watch open and tells the module each change.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use tokio::sync::Notify;
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
pub struct Source {
    pub at: SocketAddr,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// The longest line.
    pub most: usize,
}

/// Follows the list from version `rev` on; where it must be asked for, each time that `asked` says so.
pub async fn follow(
    from: Source,
    mut rev: u64,
    module: ToModule,
    asked: Option<std::rc::Rc<Notify>>,
    pool: Pool,
    room: Room,
) {
    let mut pause = PAUSE;
    loop {
        if let Some(asked) = &asked {
            asked.notified().await;
        }
        let before = rev;
        let end = watch(&from, &mut rev, &module, &pool, &room).await;
        log!("list: watch from {before} ended at {rev}: {end:?}");
        if module.send(Mail::ListFailed).await.is_err() {
            return;
        }
        pause = if rev == before { (2 * pause).min(BEAT) } else { PAUSE };
        if asked.is_none() {
            sleep(pause).await;
        }
    }
}

/// One watch, up to its end.
async fn watch(from: &Source, rev: &mut u64, module: &ToModule, pool: &Pool, room: &Room) -> End {
    let opened = async {
        let seat = room.seat().ok_or(End::NoRoom)?;
        let mut link = Link::connect(from.at, Instant::now() + BEAT, head::answer_body, pool, seat).await?;
        let ask = head::get(&format!("/v1/endpoints?watch=1&from={rev}"), from.at);
        link.send(ask.as_bytes(), &[], &Cell::new(false)).await?;
        let Piece::Head(text) = timeout(BEAT, link.next()).await.map_err(|_| End::TimedOut)?? else {
            return Err(End::Malformed);
        };
        match head::answer(&text, |status, _| status)? {
            200 => Ok(link),
            _ => Err(End::Failed),
        }
    };
    let mut link = match opened.await {
        Ok(link) => link,
        Err(end) => return end,
    };
    let mut lines = Lines::within(from.most);
    loop {
        match timeout(SILENT, link.next()).await {
            Ok(Ok(Piece::Body(piece))) => lines.push(&piece),
            Ok(Ok(_)) => return End::Closed,
            Ok(Err(end)) => return end,
            Err(_) => return End::TimedOut,
        }
        loop {
            let line = match lines.next() {
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
            *rev = version;
            if module.send(Mail::List { everything, entries }).await.is_err() {
                return End::GivenUp;
            }
        }
    }
}
