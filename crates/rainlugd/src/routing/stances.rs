//! The phase of the process, and who is told what holds by it.

use std::cell::{Cell, RefCell};

use rainlug::Time;
use rainlug_handover::{Follower, Listening, Phase, Stance};
use tokio::sync::watch;

use crate::base::Clock;

pub struct Stances {
    clock: Clock,
    phase: RefCell<Phase>,
    to: watch::Sender<Stance>,
    serves: Cell<bool>,
}

impl Stances {
    pub fn new(clock: Clock) -> Self {
        let phase = Phase::default();
        let (to, _) = watch::channel(phase.stance());
        Stances { clock, phase: RefCell::new(phase), to, serves: Cell::new(false) }
    }

    pub fn watch(&self) -> watch::Receiver<Stance> {
        self.to.subscribe()
    }

    fn change(&self, say: impl FnOnce(&mut Phase, Time)) {
        let mut phase = self.phase.borrow_mut();
        say(&mut phase, self.clock.now());
        let stance = phase.stance();
        self.to.send_if_modified(|s| std::mem::replace(s, stance) != stance);
    }

    /// Whether this process takes clients.
    pub fn serves(&self) -> bool {
        self.serves.get()
    }

    /// Whether new clients are taken here.
    pub fn takes_newcomers(&self) -> bool {
        self.to.borrow().listening == Listening::Accepts && self.serves()
    }

    /// Whether another process takes the clients.
    pub fn is_followed(&self) -> bool {
        self.phase.borrow().is_followed()
    }

    /// No new clients are taken any more where the process is to end and nobody follows.
    pub fn refuse_newcomers(&self) {
        self.change(|phase, _| phase.refuse_newcomers());
    }

    /// Whether the listener is to be emptied and closed before the end.
    pub fn closes_listener(&self) -> bool {
        self.to.borrow().listening == Listening::Closes
    }

    /// The clients' address is open.
    pub fn opened(&self) {
        self.serves.set(true);
    }

    /// Whether a newer process of this dispatcher takes clients.
    pub fn followed(&self, by: Follower) {
        self.change(|phase, _| phase.followed(by));
    }

    /// Staff empty the dispatcher, or let clients in again.
    pub fn emptied(&self, emptied: bool) {
        if self.phase.borrow().emptied() != emptied {
            log!("{}", if emptied { "emptied: clients are sent away" } else { "clients are taken again" });
        }
        self.change(|phase, now| if emptied { phase.empty(now) } else { phase.fill() });
    }

    /// The process is to end.
    pub fn stop(&self) {
        self.change(|phase, now| phase.stop(now));
    }
}
