//! The second address: one call to a connection, for figures and for staff's words. No answer waits behind tasks.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use percent_encoding::percent_decode_str;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout, timeout_at};

use super::figures::Figures;
use super::{Beside, Mail, Peers, Stances, ToModule, UnderWay};

use crate::protocol::head;
use crate::transport::{End, Link, Piece, Room};

/// An answer is due in a second: who has not said all by then is not heard, nor is who has not taken its answer.
const DUE: Duration = Duration::from_secs(1);
/// Part of it for the caller to end its side.
const FAREWELL: u32 = 4;

/// What a call may ask of.
pub struct Office {
    /// The mailbox that the module's actor empties first.
    pub module: ToModule,
    pub figures: Rc<Figures>,
    pub stances: Rc<Stances>,
    /// The other processes of this dispatcher, which are told of each word.
    pub beside: Rc<Beside>,
    /// The fleet's view, where it is kept.
    pub peers: Option<Rc<Peers>>,
    pub room: Room,
    /// Calls that have come whole and are not answered yet.
    pub calls: UnderWay,
}

/// Takes one call and answers it. Who says nothing, or half a call, goes when its time is up or its seat is wanted.
pub async fn serve(mut link: Link, office: Rc<Office>) {
    let come = Instant::now();
    let read = tokio::select! {
        biased;
        read = timeout_at(come + DUE, call(&mut link)) => read.unwrap_or(Err(End::TimedOut)),
        () = office.room.wanted(0) => return,
    };
    let call = office.calls.hold();
    let (status, text) = match read {
        Ok((method, path)) => answer(&office, &method, &path).await,
        Err(End::Malformed) => (400, String::new()),
        Err(End::TooLarge) => (413, String::new()),
        Err(End::TimedOut) => (408, String::new()),
        Err(_) => return,
    };
    let reply = head::reply(status, 0, true, text.len());
    let sent = timeout(DUE, link.send(reply.as_bytes(), text.as_bytes(), &Cell::new(false))).await;
    drop(call);
    if matches!(sent, Ok(Ok(()))) {
        tokio::select! {
            _ = timeout(DUE / FAREWELL, link.finish()) => {}
            () = office.room.wanted(0) => {}
        }
    }
}

/// A whole call: its method and its path.
async fn call(link: &mut Link) -> Result<(String, String), End> {
    let Piece::Head(text) = link.next().await? else { return Err(End::Malformed) };
    let asked = head::request(&text, |method, path, _| (method.to_owned(), path.to_owned()))?;
    link.body().await?;
    Ok(asked)
}

/// Does what is asked; the status to answer with, and a text.
async fn answer(office: &Office, method: &str, path: &str) -> (u16, String) {
    let path = path.split('?').next().unwrap_or_default();
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    let expected = match parts[..] {
        ["healthcheck"] | ["stats"] => "GET",
        ["fleet"] if office.peers.is_some() => "GET",
        ["workers", _, "maint" | "ready"] | ["healthcheck", "fail" | "ok"] => "POST",
        _ => return (404, String::new()),
    };
    if method != expected {
        return (405, String::new());
    }
    match parts[..] {
        ["stats"] => {
            let fleet = office.peers.as_ref().map(|peers| peers.figures());
            return (200, office.figures.text() + &fleet.unwrap_or_default());
        }
        ["fleet"] => return (200, office.peers.as_ref().map(|peers| peers.text()).unwrap_or_default()),
        ["workers", id, word] => return (hand(office, id, word == "maint").await, String::new()),
        ["healthcheck", word] => {
            office.stances.emptied(word == "fail");
            let emptied = word == "fail";
            office.beside.say(move |words| words.emptied = emptied).await;
        }
        _ if !office.stances.serves() => return (503, String::new()),
        _ => {}
    }
    (200, String::new())
}

/// Takes a worker out, or gives it back. Yes once this module has it, and all others have: from then on it binds.
async fn hand(office: &Office, id: &str, out: bool) -> u16 {
    let Ok(worker) = percent_decode_str(id).decode_utf8() else { return 400 };
    let (known, named) = oneshot::channel();
    let word = Mail::Hand { worker: worker.to_string(), out, known: Some(known) };
    if office.module.send(word).await.is_err() {
        return 503;
    }
    match named.await {
        Ok(true) => {
            log!("worker {worker} is {} by hand", if out { "out" } else { "given back" });
            let worker = worker.into_owned();
            office.beside.say(move |words| words.hand(&worker, out)).await;
            200
        }
        Ok(false) => 404,
        Err(_) => 503,
    }
}
