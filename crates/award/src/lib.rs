//! Which worker a request goes to, one [`Award`] for each service at each dispatcher: shares solved from the M/G/1 model on a
//! timer, per-class billiard turns inside them, the skip at twice the mean; around these, each in its file, what a model worker
//! remembers and what others put on it. No I/O.

use rainlug::Time;
use rainlug_registry::Worker;

/// What is asked of a pick.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    /// The route's name, by its hash: the class whose turns count.
    pub class: u64,
    /// From a batch job: may wait, and is held back from workers that are busy.
    pub bulk: bool,
    /// Tokens of the prompt and the most that come out; zero where not told.
    pub prompt: u32,
    pub out: u32,
    /// The parts of the prompt in order: id and tokens.
    pub prefix: Vec<(u64, u32)>,
    /// Time until the answer (first event) is due, from now.
    pub aim: Time,
    /// Ids of workers that were tried already.
    pub tried: Vec<String>,
}

/// A worker that was picked; `ticket` names this assignment until [`Award::ended`].
#[derive(Clone, Debug)]
pub struct Pick {
    pub ticket: u64,
    pub worker: Worker,
}

/// How an assignment ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Answered whole.
    Finished,
    /// The worker's own failure (5xx that ran), or it broke off or garbled its answer.
    Failed,
    /// Turned away without having run: full.
    Full,
    /// 421: another process has that address now.
    Elsewhere,
    /// No connection came up, or it was refused.
    Unreachable,
    /// Nothing came from it for too long.
    Silent,
    /// This side gave up: the client left, or time was over.
    GivenUp,
}

/// Why a pick was made, for the figures: how many the shares and turns decided, and exceptions by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub turns: u64,
    pub prefix: u64,
    pub outside: u64,
    pub none: u64,
}

pub struct Award {}

impl Award {
    /// For a dispatcher in `zone`; `slots` and `kv_tokens` of one worker, where told (0 otherwise).
    pub fn new(_zone: &str, _seed: u64, _now: Time) -> Self {
        todo!()
    }
    /// What the service's configuration tells of each worker.
    pub fn service(&mut self, _slots: u64, _kv_tokens: u64) {
        todo!()
    }
    /// A worker of this service is new or changed; `Gone` and `Draining` ones are given nothing more.
    pub fn worker(&mut self, _now: Time, _worker: &Worker) {
        todo!()
    }
    /// How many other dispatchers live: what share of all traffic this one's is, is taken from that.
    pub fn others(&mut self, _count: usize) {
        todo!()
    }
    /// The worker for a request; nothing where none can take it now.
    pub fn pick(&mut self, _now: Time, _ask: &Ask) -> Option<Pick> {
        todo!()
    }
    /// The first event, or the head of the answer, has come.
    pub fn started(&mut self, _now: Time, _ticket: u64) {
        todo!()
    }
    /// One more event has come.
    pub fn progress(&mut self, _now: Time, _ticket: u64) {
        todo!()
    }
    /// `X-Rainlug-Server-Load`: running, waiting, slots.
    pub fn load(&mut self, _now: Time, _worker: &str, _load: (u32, u32, u32)) {
        todo!()
    }
    pub fn ended(&mut self, _now: Time, _ticket: u64, _end: End) {
        todo!()
    }
    /// The time that a request that finds no worker should wait before it asks again, for `Retry-After`.
    pub fn pause(&self, _now: Time) -> Time {
        todo!()
    }
    /// When `due` wants to be called.
    pub fn next(&self) -> Time {
        todo!()
    }
    /// Re-solves the shares on their timer.
    pub fn due(&mut self, _now: Time) {
        todo!()
    }
    pub fn counts(&self) -> Counts {
        todo!()
    }
}
