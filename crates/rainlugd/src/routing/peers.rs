//! The actor of the fleet's view: it owns the socket and the view, carries datagrams to it and from it, and decides nothing. It
//! never waits for another actor, and none waits for it.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::fmt::Write;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use rainlug_fleet::roll::{self, Roll};
use rainlug_fleet::{Card, Outgoing, Process, Standing, View, Ways};
use serde_json::{Value, json};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::mpsc::error::TrySendError;
use tokio::time::{sleep, sleep_until, timeout};

use super::{Budgets, Mail, ToModule, broken};
use crate::base::Clock;
use crate::protocol::envelope::{Envelope, MOST};

/// Datagrams read in one go, and the pause after so many: a flood must not hold up tasks, and is lost in the socket's buffer.
const BURST: usize = 32;
const PAUSE: Duration = Duration::from_millis(1);
/// Periods in which a new process is heard of, and how often it is looked whether it was.
const HEARD: u32 = 5;
const LOOK: Duration = Duration::from_millis(10);

pub struct Peers {
    socket: UdpSocket,
    envelope: Envelope,
    clock: Clock,
    fleet: String,
    period: Duration,
    me: Card,
    view: RefCell<View>,
    /// Which numbers of the group count as there; and those that the module's mailbox had no room for.
    roll: RefCell<Roll>,
    untold: RefCell<Option<Vec<usize>>>,
    bad: Cell<u64>,
    changes: Cell<u64>,
    /// The fleet's budgets, where they are kept, and the view's version that they know.
    budgets: Option<Rc<Budgets>>,
    hinted: Cell<u64>,
    /// The view has something to do sooner than it said.
    sooner: Notify,
}

/// The socket's end of the view.
struct Line<'a>(&'a Peers);

impl Outgoing for Line<'_> {
    fn send(&mut self, to: SocketAddr, payload: &[u8]) {
        // What the socket does not take now is lost, as any datagram may be.
        let _ = self.0.socket.try_send_to(&self.0.envelope.seal(payload), to);
    }

    fn changed(&mut self, process: &Process) {
        self.0.changes.update(|n| n + 1);
        let card = &process.card;
        log!("fleet: {} at {} (process {:016x}) {}", card.name, card.at, card.id, said(process.standing));
    }
}

impl rainlug_budgets::Outgoing for Line<'_> {
    fn send(&mut self, to: SocketAddr, payload: &[u8]) {
        rainlug_fleet::Outgoing::send(self, to, payload);
    }

    fn divides(&mut self, at: Option<SocketAddr>, epoch: u32) {
        match at {
            Some(at) => log!("budgets: the process at {at} divides, epoch {epoch}"),
            None => log!("budgets: this process divides, epoch {epoch}"),
        }
    }

    fn differs(&mut self, at: SocketAddr, whole_only: bool) {
        self.0.budgets.iter().for_each(|budgets| budgets.differs(at, whole_only));
    }

    fn changed(&mut self) {
        self.0.budgets.iter().for_each(|budgets| budgets.more.notify_one());
    }
}

fn said(standing: Standing) -> &'static str {
    match standing {
        Standing::Alive => "is there",
        Standing::Suspect => "is suspected",
        Standing::Gone => "is gone",
        Standing::Left => "has left",
    }
}

fn word(standing: Standing) -> &'static str {
    match standing {
        Standing::Alive => "alive",
        Standing::Suspect => "suspect",
        Standing::Gone => "gone",
        Standing::Left => "left",
    }
}

/// What of the protocol is on: all, but in a build that is broken on purpose, for the checkers to be tried on.
fn ways() -> Ways {
    let off = broken();
    Ways {
        refutes: off != "refutes",
        retries: off != "retries",
        suspicion: off != "suspicion",
        health: off != "health",
    }
}

impl Peers {
    /// A process of the dispatcher `name` in `zone`, with its socket open, and what it holds of the fleet's budgets.
    ///
    /// # Errors
    /// Where the address cannot be had.
    pub fn open(
        told: rainlug_setup::Fleet,
        divided: Option<rainlug_setup::Budgets>,
        name: String,
        zone: String,
        clock: Clock,
    ) -> Result<Self> {
        let cannot = || format!("cannot listen on {}, /fleet/listen", told.listen);
        let socket = std::net::UdpSocket::bind(told.listen).with_context(cannot)?;
        socket.set_nonblocking(true).with_context(cannot)?;
        let socket = UdpSocket::from_std(socket).with_context(cannot)?;
        let at = match told.advertise {
            Some(at) => at,
            None => socket.local_addr().with_context(cannot)?,
        };
        // A process that is started again is another one: neither the clock nor the process's number tells them apart.
        let draw = |what: u8| RandomState::new().hash_one((what, clock.now(), std::process::id())).max(1);
        let (index, size) = told.number;
        let (figures, start) = (roll::figures(index, size), clock.now());
        let me = Card { id: draw(0), name, zone, at, start, edition: 0, figures };
        let view = View::new(me.clone(), told.seeds, told.period, ways(), draw(1), clock.now());
        log!("fleet {}: {} at {at}, process {:016x}", told.name, me.name, me.id);
        let budgets = divided.map(|told| Rc::new(Budgets::new(told, me.id, draw(2), clock)));
        Ok(Peers {
            budgets,
            hinted: Cell::default(),
            socket,
            envelope: Envelope::of(&told.name),
            clock,
            fleet: told.name,
            period: Duration::from_micros(told.period as u64),
            me,
            view: RefCell::new(view),
            roll: RefCell::new(Roll::new(size, told.hold)),
            untold: RefCell::default(),
            bad: Cell::default(),
            changes: Cell::default(),
            sooner: Notify::new(),
        })
    }

    /// Carries datagrams for good, and tells the module which of its group are there.
    pub async fn run(&self, module: &ToModule) -> Infallible {
        let mut buffer = [0; MOST + 1];
        loop {
            let next = self.view.borrow().next().min(self.roll.borrow().next());
            let next = self.budgets.iter().map(|b| b.next()).fold(next, rainlug::Time::min);
            let readable = tokio::select! {
                biased;
                () = sleep_until(self.clock.instant(next)) => false,
                () = self.sooner.notified() => false,
                ready = self.socket.readable() => ready.is_ok(),
            };
            let read = if readable { self.read(&mut buffer) } else { 0 };
            self.view.borrow_mut().due(self.clock.now(), &mut Line(self));
            self.count(module);
            if let Some(budgets) = &self.budgets {
                self.hint(budgets);
                budgets.due(&mut Line(self));
            }
            if read == BURST {
                sleep(PAUSE).await;
            }
        }
    }

    /// Where this process and some others of the fleet are, for the dispatcher's next process.
    pub fn places(&self) -> Vec<SocketAddr> {
        self.view.borrow_mut().places()
    }

    /// Where others were when the process before said so. The next one has an address of its own, and after some upgrades no seed
    /// that was configured need be anybody's.
    pub fn told(&self, fleet: &[SocketAddr]) {
        self.view.borrow_mut().told(self.clock.now(), fleet);
        self.sooner.notify_one();
    }

    /// What is held of the fleet's budgets, where they are kept.
    pub fn budgets(&self) -> Option<Rc<Budgets>> {
        self.budgets.clone()
    }

    /// Tells the module which of its group are there, where that has changed.
    fn count(&self, module: &ToModule) {
        if let Some(living) = self.roll.borrow_mut().look(self.clock.now(), &self.view.borrow()) {
            log!("fleet: {} of the group count as there", living.len());
            self.untold.replace(Some(living.to_vec()));
        }
        if let Some(living) = self.untold.take() {
            // There is room at the next turn, some part of a period later.
            let full = module.try_send(Mail::Group(living)).err().map(TrySendError::into_inner);
            self.untold
                .replace(full.and_then(|mail| if let Mail::Group(of) = mail { Some(of) } else { None }));
        }
    }

    /// Tells where the dispatchers are, where the view has changed.
    fn hint(&self, budgets: &Budgets) {
        let view = self.view.borrow();
        if self.hinted.replace(view.version()) == view.version() {
            return;
        }
        budgets.there(view.others());
    }

    /// Hands the view what has come, up to a burst; how much that was.
    fn read(&self, buffer: &mut [u8]) -> usize {
        for nth in 0..BURST {
            let Ok((length, from)) = self.socket.try_recv_from(buffer) else { return nth };
            let opened = self.envelope.open(&buffer[..length]).map_err(|stranger| format!("{stranger:?}"));
            let taken = opened.and_then(|payload| {
                if let Some(budgets) = self.budgets.as_ref().filter(|_| rainlug_budgets::concerns(payload)) {
                    return budgets.heard(from, payload, &mut Line(self)).map_err(|odd| format!("{odd:?}"));
                }
                let heard = self.view.borrow_mut().heard(self.clock.now(), from, payload, &mut Line(self));
                heard.map_err(|odd| format!("{odd:?}"))
            });
            if let Err(why) = taken {
                self.bad.update(|n| n + 1);
                log!("fleet: a datagram of {length} bytes from {from} is dropped: {why}");
            }
        }
        BURST
    }

    /// This process ends: it says so once, and to whoever asks. While another one `follows`, not before the view has that one, or
    /// it has had its time to be heard: others must be told of both at once, or the dispatcher is absent for them.
    pub async fn leave(&self, follows: impl Fn() -> bool, within: Duration) {
        let waits = async {
            while follows() && !self.view.borrow().accompanied() {
                sleep(LOOK).await;
            }
        };
        let _ = timeout(within.min(HEARD * self.period), waits).await;
        self.view.borrow_mut().leave(&mut Line(self));
        self.sooner.notify_one();
    }

    /// The view as JSON; times are Unix time in milliseconds, by this process's clock.
    pub fn text(&self) -> String {
        let view = self.view.borrow();
        let members = view.members();
        let members = members.iter().map(|m| {
            let of = |(card, standing, since): &(&Card, Standing, i64)| {
                json!({"id": format!("{:016x}", card.id), "state": word(*standing), "since_ms": since / 1000,
                    "address": card.at.to_string(), "zone": card.zone, "started_ms": card.start / 1000})
            };
            let since = m
                .processes
                .iter()
                .filter(|(_, s, _)| *s == m.standing)
                .map(|(_, _, since)| since / 1000)
                .min();
            json!({"name": m.name, "state": word(m.standing), "since_ms": since,
                "processes": m.processes.iter().map(of).collect::<Vec<Value>>()})
        });
        let members: Vec<Value> = members.collect();
        let all = json!({"fleet": self.fleet, "name": self.me.name, "process": format!("{:016x}", self.me.id),
            "version": view.version(), "digest": format!("{:016x}", view.digest()), "distrust": view.distrust(),
            "members": members});
        format!("{all:#}\n")
    }

    /// Its lines among the figures.
    pub fn figures(&self) -> String {
        let view = self.view.borrow();
        let members = view.members();
        let count = |of: fn(&Standing) -> bool| members.iter().filter(|m| of(&m.standing)).count();
        let mut text = String::new();
        let _ = writeln!(text, "relay.fleet.members:{}|g", count(|s| *s <= Standing::Suspect));
        let _ = writeln!(text, "relay.fleet.suspects:{}|g", count(|s| *s == Standing::Suspect));
        let _ = writeln!(text, "relay.fleet.counted:{}|g", self.roll.borrow().told().len());
        let _ = writeln!(text, "relay.fleet.changes:{}|c", self.changes.get());
        let _ = writeln!(text, "relay.fleet.datagrams_bad:{}|c", self.bad.get());
        text += &self.budgets.as_ref().map(|budgets| budgets.figures()).unwrap_or_default();
        text
    }
}
