//! Actors with mailboxes: one for each client connection, one for each worker with its connections, one for the list
//! and one for the module; one for the fleet's view and its budgets; and what the processes of one dispatcher tell one another. They carry what is decided and
//! told; nothing is decided here.

mod beside;
mod budgets;
pub mod client;
pub mod figures;
pub mod list;
pub mod management;
pub mod module;
mod outcome;
mod peers;
mod place_files;
mod stances;
mod under_way;
mod worker;

use std::rc::Rc;

use bytes::Bytes;
use rainlug::{Lessons, Report, Time};
use tokio::sync::{mpsc, oneshot};

use crate::protocol::words::Entry;
use crate::transport::End;
pub use beside::{Beside, FILES_TIMEOUT};
pub use budgets::Budgets;
pub use peers::Peers;
pub use stances::Stances;
pub use under_way::UnderWay;
pub use worker::Reach;

/// What is off in a build that is broken on purpose, for the checkers to be tried on; nothing in any other.
fn broken() -> String {
    if cfg!(feature = "broken") { std::env::var("RAINLUG_BROKEN").unwrap_or_default() } else { String::new() }
}

/// Letters that a mailbox holds; who sends waits then, but for the module, which is told that there is no room.
pub const MAILBOX: usize = 1024;

/// The module's mailbox.
pub type ToModule = mpsc::Sender<Mail>;

/// What of a task goes on to workers unchanged.
pub struct Parcel {
    pub id: String,
    pub head: String,
    pub body: Bytes,
}

/// What the module's actor is told.
pub enum Mail {
    /// A task of a workload and a customer, whole at `at`; its client waits for `budget` from then.
    Task {
        parcel: Rc<Parcel>,
        of: (usize, Option<usize>),
        at: Time,
        budget: Time,
        slots: f64,
        client: oneshot::Sender<Answer>,
    },
    /// The client of the task has gone.
    Left(Rc<Parcel>),
    /// A worker gave a sign of life on an assignment.
    Sign(Rc<Parcel>, usize),
    /// An assignment has ended; with a result where its worker made one.
    Ended {
        parcel: Rc<Parcel>,
        nth: usize,
        end: End,
        report: Report,
        result: Bytes,
    },
    Probed {
        worker: String,
        end: End,
        report: Report,
    },
    List {
        everything: bool,
        entries: Vec<Entry>,
    },
    ListFailed,
    /// Staff take a worker out or give it back. Who asks is told whether the list ever named it, and nothing comes of it
    /// where it did not; what was said to another process holds in any case.
    Hand {
        worker: String,
        out: bool,
        known: Option<oneshot::Sender<bool>>,
    },
    /// So many other processes of this dispatcher live.
    Beside(usize),
    /// The numbers of its group that are there, by the view.
    Group(Vec<usize>),
    /// What the list says and what has been learnt is asked for, for the next process.
    Teach(oneshot::Sender<(Vec<Entry>, Lessons)>),
    /// What the process before left for this one.
    Learn(Vec<Entry>, Box<Lessons>),
    /// The process ends: every task must have its answer by then.
    Closing(Time),
}

/// The final answer to a client.
pub enum Answer {
    Finished(Bytes),
    Bounced(Time),
    Abandoned,
}

impl Answer {
    /// As the trace names it.
    pub fn word(&self) -> &'static str {
        match self {
            Answer::Finished(_) => "finished",
            Answer::Bounced(_) => "bounced",
            Answer::Abandoned => "abandoned",
        }
    }
}
