//! Cuts between processes for drills: a file says which peers this process may not send to or hear from. Without the setting
//! `fault_file`, nothing here is ever in the way.
//!
//! One fault on each line: `to IP:PORT` (nothing is sent there), `from IP:PORT` (nothing from there is heard), `reset N` (once `N`
//! changes, all connections to and from peers are closed). Lines that say something else are ignored, and so is a missing file.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::sleep;

/// Between two looks at the file, and at whether a peer is still cut off.
pub const LOOK: Duration = Duration::from_millis(100);

/// The faults in force.
#[derive(Default)]
pub struct Faults {
    unsendable: RefCell<HashSet<SocketAddr>>,
    unheard: RefCell<HashSet<SocketAddr>>,
    resets: Cell<u64>,
    reset: Notify,
}

impl Faults {
    /// Whether something may be sent to a peer.
    pub fn may_send(&self, to: SocketAddr) -> bool {
        !self.unsendable.borrow().contains(&to)
    }

    /// Whether something from a peer may be heard.
    pub fn may_hear(&self, from: SocketAddr) -> bool {
        !self.unheard.borrow().contains(&from)
    }

    /// Waits until connections are to be closed.
    pub async fn until_reset(&self) {
        self.reset.notified().await;
    }

    /// Puts in force what a text says, in place of all before.
    pub fn read(&self, text: &str) {
        let words = |line: &str| {
            Some(line.split_once(' ')?).map(|(what, of)| (what.to_owned(), of.trim().to_owned()))
        };
        let lines: Vec<(String, String)> = text.lines().filter_map(words).collect();
        let addresses = |of: &str| -> HashSet<SocketAddr> {
            lines.iter().filter(|(what, _)| what == of).filter_map(|(_, at)| at.parse().ok()).collect()
        };
        *self.unsendable.borrow_mut() = addresses("to");
        *self.unheard.borrow_mut() = addresses("from");
        let resets = lines.iter().find(|(what, _)| what == "reset").and_then(|(_, count)| count.parse().ok());
        let before = resets.map(|count| self.resets.replace(count));
        if before.is_some() && before != resets {
            self.reset.notify_waiters();
        }
    }

    /// Reads the file again and again, for good.
    pub async fn watch(self: Rc<Self>, file: PathBuf) {
        loop {
            self.read(&std::fs::read_to_string(&file).unwrap_or_default());
            sleep(LOOK).await;
        }
    }
}
