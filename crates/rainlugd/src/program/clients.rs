//! Where clients connect: the listener, alone or in common with other processes of this dispatcher, and who comes there.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use rainlug_handover::{Listening, Stance};
use rainlug_transport::close_listener;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep, timeout};

use crate::protocol::head;
use crate::routing::client::{self, Arrival, Door};
use crate::routing::{Beside, FILES_TIMEOUT};
use crate::transport::{Bounds, Link, Pool};

/// The pause after a failure to accept that would come again at once.
const BREATH: Duration = Duration::from_millis(10);
/// Where another process of this dispatcher serves, the list's first word is waited for so long: a new process that takes
/// clients is due in 6 s.
const FIRST_NEWS: Duration = Duration::from_secs(1);
/// An address that is in use is tried again so often, for so long.
const AGAIN: Duration = Duration::from_millis(50);
const TAKEN: Duration = Duration::from_secs(4);
/// Connections that may stand in a listener's queue.
const BACKLOG: u32 = 1024;

/// Opens the clients' address. Where another process of this dispatcher serves there, not before the list has been heard,
/// or that has been waited for; and with that one's listener, or beside it where it passes none.
pub async fn open(at: SocketAddr, beside: Option<&Beside>, heard: &Notify) -> Result<TcpListener> {
    let begun = Instant::now();
    if let Some(others) = beside.filter(|others| !others.alone()) {
        others.learn().await;
        let _ = timeout(FIRST_NEWS, heard.notified()).await;
        if let Some(listener) = others.passed_listener(at).await {
            log!("the listener is the one of the process before");
            return Ok(listener);
        }
    }
    loop {
        match listener(at, beside.is_some()) {
            Ok(listener) => return Ok(listener),
            // One that shares the address with nobody may be on its way out.
            Err(error)
                if error.kind() == ErrorKind::AddrInUse && beside.is_some() && begun.elapsed() < TAKEN =>
            {
                log!("{at} is taken; tried again until it is free");
                sleep(AGAIN).await;
            }
            Err(error) => return Err(error).with_context(|| format!("cannot listen on {at}")),
        }
    }
}

/// A listener, alone at its address or beside others of this dispatcher.
fn listener(at: SocketAddr, beside: bool) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    if beside {
        socket.set_reuseport(true)?;
    }
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

/// The next connection; nothing after a failure to accept, which would come again at once without a pause.
pub async fn accepted(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => Some(stream),
        Err(error) => {
            log!("cannot accept a client: {error}");
            sleep(BREATH).await;
            None
        }
    }
}

/// What those who connect are given.
#[derive(Clone)]
pub struct Newcomers {
    pub door: Rc<Door>,
    pub stance: watch::Receiver<Stance>,
    pub bounds: Bounds,
    pub pool: Pool,
}

/// Takes in clients, as long as they are this process's. A failure to accept ends neither this nor the process, and does not
/// spin.
pub async fn accept(listener: Rc<TcpListener>, newcomers: Newcomers, beside: Option<Rc<Beside>>) {
    let mut watched = newcomers.stance.clone();
    let mut is_paused = false;
    loop {
        let listening = watched.borrow_and_update().listening;
        if listening == Listening::Paused && !is_paused {
            log!("clients come to another process now, from the same listener");
        }
        is_paused = listening == Listening::Paused;
        match listening {
            Listening::Closes => break,
            Listening::Paused => {
                if watched.changed().await.is_err() {
                    return;
                }
            }
            Listening::Accepts => {
                let stream = tokio::select! {
                    biased;
                    _ = watched.changed() => continue,
                    stream = accepted(&listener) => stream,
                };
                if let Some(stream) = stream {
                    newcomers.take_in(stream, Arrival::Accepted).await;
                }
            }
        }
    }
    if let Some(others) = &beside {
        // Nobody waits for a disk that stalls.
        let _ = timeout(FILES_TIMEOUT, others.closes_listener()).await;
    }
    let listener =
        Rc::into_inner(listener).expect("nothing else has the listener of a process that closes it");
    // A handshake that completes after the last look into the queue is lost.
    let waiting = close_listener(listener);
    let is_followed = beside.is_some_and(|others| others.is_followed());
    let who =
        if is_followed { "clients come to another process now" } else { "no clients are taken any more" };
    log!("{who}; {} waited here", waiting.len());
    for stream in waiting {
        newcomers.take_in(stream, Arrival::Accepted).await;
    }
}

/// Takes in connections that other processes of this dispatcher pass on, as long as this one lives.
pub async fn take_passed(address: SocketAddr, newcomers: Newcomers, beside: Rc<Beside>) {
    while let Some(stream) = beside.passed_connection(address).await {
        newcomers.take_in(stream, Arrival::PassedOn).await;
    }
}

impl Newcomers {
    /// Gives a client a seat, or has it turned away.
    async fn take_in(&self, stream: TcpStream, arrival: Arrival) {
        let (seat, turned_away) = match self.bounds.clients.seat() {
            Some(seat) => (seat, false),
            // What has been accepted is owed an answer, be it that there is no room, from the reserve. An idle client
            // goes; whoever comes next must not have to wait until it has.
            None => tokio::select! {
                biased;
                Some(seat) = self.bounds.clients.wait() => (seat, false),
                Some(seat) = self.bounds.turned_away.wait() => (seat, true),
                else => return,
            },
        };
        let link = Link::over(stream, head::request_body, &self.pool, seat);
        spawn_local(client::serve(link, arrival, self.door.clone(), self.stance.clone(), turned_away));
        // The newcomer is known to be silent before the next one asks for a seat: else a kept client would go for it.
        yield_now().await;
    }
}
