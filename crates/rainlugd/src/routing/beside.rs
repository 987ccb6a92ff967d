//! The other processes of this dispatcher, in an upgrade: who lives, who follows, and the words that all hold.

use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Error;
use rainlug::Lessons;
use rainlug_handover::{
    ConnectionInbox, Follower, ListenerInbox, Place, SocketId, Status, Words, pass_descriptor,
};
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream, UnixDatagram};
use tokio::sync::{Mutex, oneshot};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::place_files::PlaceFiles;
use super::{Mail, Peers, Stances, ToModule};
use crate::base::Clock;
use crate::protocol::words::Entry;
use crate::transport::Bounds;

/// How often it is looked who else lives, alone and where somebody does.
const LOOK_ALONE: Duration = Duration::from_millis(100);
const LOOK_BESIDE: Duration = Duration::from_millis(25);
/// Yes is said to a word by then, whether or not all others have said that they hold it: it is due in a second.
const AGREED_BY: Duration = Duration::from_millis(500);
/// Between two tries to add to the words while another process does.
const BUSY: Duration = Duration::from_millis(5);
/// What the process before has learnt is waited for so long.
const TAUGHT_BY: Duration = Duration::from_millis(500);
/// The listener of a process that serves is waited for so long: that one may stand still for a while.
const PASSED_BY: Duration = Duration::from_secs(2);
/// Work on the files is waited for so long where something else depends on it: the disk may stall.
pub const FILES_TIMEOUT: Duration = Duration::from_millis(500);
/// Between two tries to pass a connection to a process whose inbox is full.
const INBOX_FULL: Duration = Duration::from_millis(2);

pub struct Beside {
    /// Nothing where there is no directory that all processes have.
    place: Option<PlaceFiles>,
    /// Nothing where it cannot be opened: this process then has a listener of its own.
    inbox: Option<ListenerInbox>,
    /// Nothing where it cannot be opened: idle connections of others are then not taken here.
    connections: Option<PassedConnections>,
    /// Who passes a connection, one at a time: all of them look for room in one inbox.
    passing: Mutex<()>,
    passed: Cell<usize>,
    /// What this process accepts clients from, until it closes it.
    listener: RefCell<Option<Rc<TcpListener>>>,
    module: ToModule,
    stances: Rc<Stances>,
    bounds: Bounds,
    peers: Option<Rc<Peers>>,
    others: Cell<usize>,
}

/// Idle connections that other processes of this dispatcher pass to this one.
struct PassedConnections {
    inbox: ConnectionInbox,
    /// The inbox's socket, as the runtime waits for it.
    socket: UnixDatagram,
}

impl PassedConnections {
    fn open(place: &Place) -> io::Result<Self> {
        let inbox = place.connection_inbox()?;
        let socket = UnixDatagram::from_std(inbox.try_clone_socket()?)?;
        Ok(PassedConnections { inbox, socket })
    }

    async fn next(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let receive = || self.inbox.receive(address)?.ok_or(ErrorKind::WouldBlock.into());
        TcpStream::from_std(self.socket.async_io(Interest::READABLE, receive).await?)
    }
}

impl Beside {
    /// Takes a place among the processes of the dispatcher of that name, which tell one another in `dir`. Where there is
    /// none, this one serves as if it were alone.
    pub fn of(
        dir: Option<&Path>,
        name: &str,
        clock: Clock,
        module: ToModule,
        stances: Rc<Stances>,
        bounds: Bounds,
        peers: Option<Rc<Peers>>,
    ) -> Self {
        let taken = dir.map(|dir| Place::take(dir, name, clock.now()));
        let place = match taken {
            Some(Ok((place, odd))) => {
                odd.iter().for_each(|odd| log!("words said before are lost: {odd:#}"));
                Some(place)
            }
            Some(Err(error)) => {
                log!("no upgrade beside this process, words do not outlive it: {error:#}");
                None
            }
            None => {
                log!("no upgrade beside this process, words do not outlive it: TMPDIR names no directory");
                None
            }
        };
        let inbox = place.as_ref().and_then(|place| {
            let opened = place.listener_inbox();
            opened.inspect_err(|error| log!("no listener can be passed to this process: {error}")).ok()
        });
        let connections = place.as_ref().and_then(|place| {
            let opened = PassedConnections::open(place);
            opened.inspect_err(|error| log!("no connection can be passed to this process: {error}")).ok()
        });
        let (listener, others) = (RefCell::default(), Cell::new(0));
        let place = place.map(PlaceFiles::new);
        let (passing, passed) = (Mutex::default(), Cell::new(0));
        Beside {
            place,
            inbox,
            connections,
            passing,
            passed,
            listener,
            module,
            stances,
            bounds,
            peers,
            others,
        }
    }

    /// Workers that are out by words said before. That clients are sent away holds on only where a process lives that
    /// sends them.
    pub async fn begin(&self) -> Vec<String> {
        let Some(place) = &self.place else { return Vec::new() };
        let (others, words) = place.run(|place| (place.others().len(), place.words())).await;
        if others == 0 && words.emptied {
            self.say(|words| words.emptied = false).await;
        }
        let words = place.run(Place::words).await;
        if words.emptied {
            self.stances.emptied(true);
        }
        self.counted(others);
        words.out.into_iter().collect()
    }

    /// Works on the files; `alone` where there are none.
    async fn on_files<R: Send + 'static>(
        &self,
        alone: R,
        work: impl FnOnce(&Place) -> R + Send + 'static,
    ) -> R {
        match &self.place {
            Some(place) => place.run(work).await,
            None => alone,
        }
    }

    /// How many other processes live.
    pub fn count(&self) -> usize {
        self.others.get()
    }

    pub fn alone(&self) -> bool {
        self.count() == 0
    }

    /// This process takes clients now, from that listener, and those that others pass on.
    pub fn serves(&self, listener: &Rc<TcpListener>) {
        *self.listener.borrow_mut() = Some(listener.clone());
        let id = SocketId::of(&**listener).ok();
        let told = self.place.as_ref().map_or(Ok(()), |place| place.run_here(|place| place.serves(id)));
        told.unwrap_or_else(|error| log!("others cannot be told that this process serves: {error}"));
    }

    /// This process is to end.
    pub async fn stops(&self) {
        let told = self.on_files(Ok(()), Place::stops).await;
        told.unwrap_or_else(|error| log!("others cannot be told that this process ends: {error}"));
    }

    /// Whether there is a directory in which processes of this dispatcher tell one another.
    pub fn placed(&self) -> bool {
        self.place.is_some()
    }

    /// Whether no other process lives that may act for this dispatcher alone; once yes, for good. Never where processes cannot
    /// tell one another.
    pub async fn sole(&self) -> bool {
        self.on_files(false, Place::sole).await
    }

    /// Whether no older process is left that answers what it holds before it ends.
    pub async fn outlived(&self) -> bool {
        self.on_files(true, Place::outlived).await
    }

    /// The newer process that serves already, as of now.
    pub async fn follower(&self) -> Follower {
        self.on_files(Follower::Absent, |place| place.follower(&place.others())).await
    }

    /// Whether another process takes the clients, as of the last look.
    pub fn is_followed(&self) -> bool {
        self.stances.is_followed()
    }

    /// This process closes its listener and passes it to nobody any more.
    pub async fn closes_listener(&self) {
        self.listener.take();
        let told = self.on_files(Ok(()), Place::closed_listener).await;
        told.unwrap_or_else(|error| log!("others cannot be told that the listener is closed: {error}"));
    }

    /// The listener at `address` that a process which serves has passed to this one, if it does so in time.
    pub async fn passed_listener(&self, address: SocketAddr) -> Option<TcpListener> {
        let (place, inbox) = (self.place.as_ref()?, self.inbox.as_ref()?);
        let begun = Instant::now();
        loop {
            match inbox.receive(address) {
                Ok(Some(listener)) => {
                    let listener = TcpListener::from_std(listener);
                    return listener.inspect_err(|error| log!("a passed listener is not used: {error}")).ok();
                }
                Ok(None) => {}
                Err(error) => log!("no listener is received: {error}"),
            }
            let passes = |other: &Status| other.serves && other.listener.is_some();
            let passes = place.run(move |place| place.others().iter().any(passes)).await;
            if !passes || begun.elapsed() >= PASSED_BY {
                return None;
            }
            sleep(LOOK_BESIDE).await;
        }
    }

    /// Passes the listener to processes that begin, where this one is the newest that serves.
    async fn pass_listener(&self, place: &PlaceFiles, others: &[Status]) {
        if others.iter().all(|other| other.serves) {
            return;
        }
        // Closed again when it has been passed: before `closes_listener` ends.
        let listener = self.listener.borrow().as_ref().map(|listener| listener.as_fd().try_clone_to_owned());
        match listener {
            Some(Ok(listener)) => place.run(move |place| place.pass_listener(&listener)).await,
            Some(Err(error)) => log!("the listener cannot be passed on: {error}"),
            None => {}
        }
    }

    /// The next connection to `address` that another process passes to this one; nothing where none will ever be.
    pub async fn passed_connection(&self, address: SocketAddr) -> Option<TcpStream> {
        let passed = self.connections.as_ref()?;
        loop {
            match passed.next(address).await {
                Ok(connection) => return Some(connection),
                Err(error) => {
                    log!("a passed connection is not used: {error}");
                    sleep(LOOK_BESIDE).await;
                }
            }
        }
    }

    /// Whether every connection that has been passed to this process has been taken.
    pub fn has_taken_connections(&self) -> bool {
        self.connections.as_ref().is_none_or(|passed| passed.inbox.is_empty())
    }

    /// Whether another process is to end, too: it may not have seen yet that this one is.
    pub async fn another_stops(&self) -> bool {
        self.on_files(false, Place::another_stops).await
    }

    /// How many idle connections this process has passed on.
    pub fn passed_connections(&self) -> usize {
        self.passed.get()
    }

    /// Passes an idle connection to the process that goes on; false where none takes it.
    pub async fn pass_connection(&self, connection: BorrowedFd<'_>) -> bool {
        let Some(place) = &self.place else { return false };
        let _turn = self.passing.lock().await;
        loop {
            let Some(inbox) = place.run(Place::connection_receiver).await else { return false };
            // On this thread: who does not wait any more has not passed it.
            match pass_descriptor(connection, &inbox) {
                Ok(()) => {
                    self.passed.update(|n| n + 1);
                    return true;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => sleep(INBOX_FULL).await,
                Err(error) => {
                    log!("a connection cannot be passed on: {error}");
                    return false;
                }
            }
        }
    }

    /// Looks at the others for good.
    pub async fn look(&self) {
        let Some(place) = &self.place else { return };
        loop {
            sleep(if self.alone() { LOOK_ALONE } else { LOOK_BESIDE }).await;
            let looks = |place: &Place| {
                let others = place.others();
                let news = place.news().map(|before| Some((before?, place.words())));
                (place.follower(&others), others, news)
            };
            let (follower, others, news) = place.run(looks).await;
            self.stances.followed(follower);
            if follower == Follower::Absent {
                self.pass_listener(place, &others).await;
            }
            if others.len() > self.others.get() && self.stances.serves() {
                self.teach(place).await;
            }
            if others.len() != self.others.get() {
                log!("{} other processes of this dispatcher", others.len());
                let _ = self.module.send(Mail::Beside(others.len())).await;
            }
            self.counted(others.len());
            match news {
                Ok(Some((before, now))) => self.apply(&before, &now).await,
                Ok(None) => {}
                Err(error) => log!("words of another process cannot be read: {error:#}"),
            }
        }
    }

    /// Leaves what this process knows to the one that begins.
    async fn teach(&self, place: &PlaceFiles) {
        let (to, known) = oneshot::channel();
        let _ = self.module.send(Mail::Teach(to)).await;
        if let Ok(known) = known.await {
            let fleet = self.peers.as_ref().map(|peers| peers.places()).unwrap_or_default();
            let left = place.run(move |place| place.teach(known, fleet)).await;
            left.unwrap_or_else(|error| log!("the next process learns nothing from this one: {error:#}"));
        }
    }

    /// Takes over what the process that serves now has learnt, if it leaves that in time.
    pub async fn learn(&self) {
        let Some(place) = &self.place else { return };
        let begun = Instant::now();
        while begun.elapsed() < TAUGHT_BY {
            match place.run(Place::taught::<(Vec<Entry>, Box<Lessons>)>).await {
                Ok(Some(((entries, lessons), fleet))) => {
                    self.peers.iter().for_each(|peers| peers.told(&fleet));
                    log!("{} workers as the process before knows them", entries.len());
                    let _ = self.module.send(Mail::Learn(entries, lessons)).await;
                    return;
                }
                Ok(None) => sleep(LOOK_BESIDE).await,
                // It may be about to be replaced.
                Err(error) => {
                    log!("nothing is learnt yet from the process before: {error:#}");
                    sleep(LOOK_BESIDE).await;
                }
            }
        }
    }

    /// Limits hold for all processes together.
    fn counted(&self, others: usize) {
        self.others.set(others);
        self.bounds.shared_by(1 + others);
    }

    /// Adds to the words of all; ends when all hold it, or soon after.
    pub async fn say(&self, change: impl Fn(&mut Words) + Send + Sync + 'static) {
        let Some(place) = &self.place else { return };
        let begun = Instant::now();
        let change = Arc::new(change);
        let (before, now) = loop {
            let change = change.clone();
            let says = move |place: &Place| {
                let before = place.say(|words| change(words))?;
                Ok::<_, Error>(before.map(|before| (before, place.words())))
            };
            let Ok(said) = timeout(FILES_TIMEOUT, place.run(says)).await else {
                return log!("a word is not kept in time: the disk stalls");
            };
            match said {
                Ok(Some(said)) => break said,
                Ok(None) if begun.elapsed() < AGREED_BY => sleep(BUSY).await,
                Ok(None) => return log!("a word is not kept: another process holds the file"),
                Err(error) => return log!("a word is not kept: {error:#}"),
            }
        };
        self.apply(&before, &now).await;
        let agreed = async {
            while !place.run(Place::agreed).await {
                sleep(BUSY).await;
            }
        };
        let _ = timeout_at(begun + AGREED_BY, agreed).await;
    }

    /// Takes over what was said at another process.
    async fn apply(&self, before: &Words, now: &Words) {
        for (worker, out) in before.changes(now) {
            let _ = self.module.send(Mail::Hand { worker: worker.to_owned(), out, known: None }).await;
        }
        if before.emptied != now.emptied {
            self.stances.emptied(now.emptied);
        }
    }
}
