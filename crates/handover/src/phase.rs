//! The phases of a process, by the words that it is given: no clock, no sockets.

use rainlug::{SECOND, Time};

/// An idle connection is closed once it has idled for so long: one that is in use shows it sooner, and ends with an
/// answer.
pub const IDLE_LINGER: Time = SECOND / 2;
/// All idle connections are closed by then: what comes 2 s after the word to empty the dispatcher comes too late, and of
/// the 3 s that a stop may take a task must have a part.
pub const IDLE_CLOSED_WITHIN: Time = 3 * SECOND / 2;

/// What has been said to the process.
#[derive(Clone, Debug, Default)]
pub struct Phase {
    emptied: Option<Time>,
    stopping: Option<Time>,
    follower: Follower,
    refuses_newcomers: bool,
}

/// Whether another process of this dispatcher takes its clients, and from which listening socket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Follower {
    #[default]
    Absent,
    /// It accepts from the socket that this process has.
    SameSocket,
    /// It has a socket of its own at the same address.
    OwnSocket,
}

/// What this process does with its listening socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listening {
    Accepts,
    /// The socket stays open: the follower accepts from it, and this process again where that one dies.
    Paused,
    /// The queue is emptied and the socket closed, for good.
    Closes,
}

/// What holds by it, for those who deal with clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stance {
    /// Whether the front is to send clients here.
    pub ready: bool,
    /// Whether connections outlive their answer.
    pub keeps: bool,
    /// Idle connections are closed when they have idled for the first, and all of them at the second.
    pub idle: Option<(Time, Time)>,
    /// Idle connections are passed on to the process that goes on, where it takes them.
    pub passes_connections: bool,
    pub listening: Listening,
}

impl Phase {
    /// Staff empty the dispatcher. A second word changes nothing.
    pub fn empty(&mut self, now: Time) {
        self.emptied.get_or_insert(now);
    }

    /// Staff let clients in again.
    pub fn fill(&mut self) {
        self.emptied = None;
    }

    pub fn emptied(&self) -> bool {
        self.emptied.is_some()
    }

    /// The process is to end. There is no way back, and a second word changes nothing.
    pub fn stop(&mut self, now: Time) {
        self.stopping.get_or_insert(now);
    }

    /// Which other process of this dispatcher takes its clients.
    pub fn followed(&mut self, by: Follower) {
        self.follower = by;
    }

    pub fn is_followed(&self) -> bool {
        self.follower != Follower::Absent
    }

    /// The process takes no new connections any more, if it is to end and nobody follows.
    pub fn refuse_newcomers(&mut self) {
        self.refuses_newcomers = true;
    }

    pub fn stance(&self) -> Stance {
        let followed = self.is_followed();
        let idle = match (self.stopping, followed, self.emptied) {
            // Nobody else takes them: they come again elsewhere, the sooner the better.
            (Some(at), false, _) => Some((0, at)),
            (Some(at), true, _) | (None, _, Some(at)) => Some((IDLE_LINGER, at + IDLE_CLOSED_WITHIN)),
            (None, _, None) => None,
        };
        let ready = self.stopping.is_none() && self.emptied.is_none();
        let passes_connections = followed && self.stopping.is_some() && !self.emptied();
        Stance { ready, keeps: ready && !followed, idle, passes_connections, listening: self.listening() }
    }

    fn listening(&self) -> Listening {
        match (self.stopping, self.follower) {
            (None, _) => Listening::Accepts,
            (_, Follower::Absent) if !self.refuses_newcomers => Listening::Accepts,
            (_, Follower::SameSocket) => Listening::Paused,
            (_, Follower::Absent | Follower::OwnSocket) => Listening::Closes,
        }
    }
}
