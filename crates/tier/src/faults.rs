//! Network partitions for drills: a file says which peers this process may not send to or receive from. Without the setting
//! `fault_file` no fault is ever in force.
//!
//! One fault on each line: `to IP:PORT` (nothing is sent there), `from IP:PORT` (nothing from there is received), `reset N` (when
//! `N` changes, all connections to and from peers are closed). Other lines are ignored, and so is a missing file.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::sleep;

/// Between two reads of the file, and two checks of whether a peer is still isolated.
pub const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The faults in force.
#[derive(Default)]
pub struct Faults {
    blocked_destinations: RefCell<HashSet<SocketAddr>>,
    blocked_sources: RefCell<HashSet<SocketAddr>>,
    reset_count: Cell<u64>,
    reset: Notify,
}

impl Faults {
    /// Whether something may be sent to a peer.
    pub fn may_send(&self, to: SocketAddr) -> bool {
        !self.blocked_destinations.borrow().contains(&to)
    }

    /// Whether something from a peer may be received.
    pub fn may_receive(&self, from: SocketAddr) -> bool {
        !self.blocked_sources.borrow().contains(&from)
    }

    /// Waits until connections are to be closed.
    pub async fn wait_for_reset(&self) {
        self.reset.notified().await;
    }

    /// Replaces the faults in force by those of a fault file's text.
    pub fn apply(&self, text: &str) {
        let faults: Vec<(&str, &str)> = text
            .lines()
            .filter_map(|line| line.split_once(' '))
            .map(|(kind, argument)| (kind, argument.trim()))
            .collect();
        let addresses = |of: &str| -> HashSet<SocketAddr> {
            faults.iter().filter(|(kind, _)| *kind == of).filter_map(|(_, at)| at.parse().ok()).collect()
        };
        *self.blocked_destinations.borrow_mut() = addresses("to");
        *self.blocked_sources.borrow_mut() = addresses("from");
        let reset_count =
            faults.iter().find(|(kind, _)| *kind == "reset").and_then(|(_, count)| count.parse().ok());
        let previous = reset_count.map(|count| self.reset_count.replace(count));
        if previous.is_some() && previous != reset_count {
            self.reset.notify_waiters();
        }
    }

    /// Reads a fault file again and again, and never returns.
    pub async fn watch(self: Rc<Self>, file: PathBuf) {
        loop {
            self.apply(&std::fs::read_to_string(&file).unwrap_or_default());
            sleep(POLL_INTERVAL).await;
        }
    }
}
