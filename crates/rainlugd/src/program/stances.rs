//! The phase of the process, and who is told what holds by it.

use std::cell::RefCell;

use rainlug::Time;
use rainlug_handover::{Phase, Stance};
use tokio::sync::watch;

use super::Clock;

pub struct Stances {
    clock: Clock,
    phase: RefCell<Phase>,
    to: watch::Sender<Stance>,
}

impl Stances {
    pub fn new(clock: Clock) -> Self {
        let phase = Phase::default();
        let (to, _) = watch::channel(phase.stance());
        Stances { clock, phase: RefCell::new(phase), to }
    }

    pub fn watch(&self) -> watch::Receiver<Stance> {
        self.to.subscribe()
    }

    fn change(&self, say: impl FnOnce(&mut Phase, Time)) {
        let mut phase = self.phase.borrow_mut();
        say(&mut phase, self.clock.now());
        self.to.send_replace(phase.stance());
    }

    /// Staff empty the dispatcher, or let clients in again.
    pub fn emptied(&self, emptied: bool) {
        log!(
            "{}",
            if emptied { "emptied by hand: clients are sent away" } else { "clients are taken again" }
        );
        self.change(|phase, now| if emptied { phase.empty(now) } else { phase.fill() });
    }

    /// The process is to end.
    pub fn stop(&self) {
        self.change(|phase, now| phase.stop(now));
    }
}
