//! Batch jobs. [`Register`] is the state machine of a part: what has been accepted, listed and ended, the same at every replica.
//! [`Schedule`] is its owner's alone: which item runs next. No I/O.

use bytes::Bytes;
use quick_error::quick_error;
use rainlug::Time;

quick_error! {
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Odd {
        Malformed(what: String) { display("malformed: {}", what) }
    }
}

/// An item as it was handed in.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    pub id: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Bytes,
    pub token_count: u64,
}

/// Reads `POST` of a batch job: `{"requests":[{"id","path","headers","body"(base64),"token_count"}]}`.
///
/// # Errors
/// What is wrong, with its place: not JSON, none or more than 200 items, an id twice, a body that is not base64.
pub fn read_requests(_body: &[u8]) -> Result<Vec<Item>, Odd> {
    todo!()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Complete,
    Abandoned,
}

/// A change of the register. Encoded by `deku`.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// `sent` is Unix time in microseconds when the leader first saw it. `most` tokens may wait on the route (0: no limit).
    Submit {
        lot: String,
        route: String,
        host: String,
        sent: Time,
        due: Time,
        retain: Time,
        max_tries: u32,
        most: u64,
        items: Vec<Item>,
    },
    /// The next position of the batch job; nothing where the item is listed already or the batch job is not known.
    List {
        lot: String,
        item: String,
        state: State,
        text: Bytes,
    },
    End {
        lot: String,
        at: Time,
    },
    /// Forgets batch jobs sent before, where all is listed or ended.
    Forget {
        before: Time,
    },
}

impl Command {
    pub fn encode(&self) -> Bytes {
        todo!()
    }
    /// # Errors
    /// Where the bytes are not a command.
    pub fn decode(_bytes: &[u8]) -> Result<Self, Odd> {
        todo!()
    }
}

/// What a command did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    Accepted,
    /// Was accepted before.
    Known,
    /// Would go over the tokens that may wait.
    OverQuota,
    Listed {
        position: u64,
    },
    Nothing,
    Ended,
}

/// The state machine of a part.
#[derive(Default)]
pub struct Register {}

impl Register {
    pub fn apply(&mut self, _command: &Command) -> Applied {
        todo!()
    }
    pub fn snapshot(&self) -> Bytes {
        todo!()
    }
    /// # Errors
    /// Where the bytes are not a snapshot; nothing has changed then.
    pub fn restore(&mut self, _snapshot: &[u8]) -> Result<(), Odd> {
        todo!()
    }
    /// The answer to a read from a position on (JSON, at most 1 MB of outputs, one at least); nothing where there is no such batch
    /// job. And whether it holds an output.
    pub fn read(&self, _lot: &str, _since: u64) -> Option<(String, bool)> {
        todo!()
    }
    /// The body of an item that is not listed yet.
    pub fn body(&self, _lot: &str, _item: &str) -> Option<Bytes> {
        todo!()
    }
    pub fn knows(&self, _lot: &str) -> bool {
        todo!()
    }
    /// Tokens that wait on a route.
    pub fn waiting(&self, _route: &str) -> u64 {
        todo!()
    }
    /// Bytes of memory that it holds, about.
    pub fn size(&self) -> usize {
        todo!()
    }
}

/// An item to run now, or a finding that one has to be listed without running.
#[derive(Clone, Debug)]
pub struct Next {
    pub lot: String,
    pub route: String,
    pub item: Item,
    /// The last event had so far (0: none), to go on after it.
    pub last_event: u64,
    pub due: Time,
    pub until: Time,
}

/// How a run ended, for the schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    Complete,
    Failed,
    Never,
    Again,
    NoRoom,
}

/// The owner's plan. It is made anew from the register by whoever becomes the owner.
pub struct Schedule {}

impl Schedule {
    pub fn new(_register: &Register, _now: Time) -> Self {
        todo!()
    }
    /// After a command was applied to the register.
    pub fn applied(&mut self, _register: &Register, _command: &Command, _applied: Applied) {
        todo!()
    }
    /// The next item to run, the one due first; it counts as running until `ended`.
    pub fn next(&mut self, _register: &Register, _now: Time) -> Option<Next> {
        todo!()
    }
    /// A run has ended with these further events (id, data). Gives the command to propose where the item can be listed now.
    pub fn ended(
        &mut self,
        _register: &Register,
        _now: Time,
        _lot: &str,
        _item: &str,
        _events: Vec<(u64, Bytes)>,
        _end: RunEnd,
    ) -> Option<Command> {
        todo!()
    }
    /// Items whose time (`retain`) is over, to be listed as abandoned.
    pub fn overdue(&mut self, _register: &Register, _now: Time) -> Vec<Command> {
        todo!()
    }
    pub fn running(&self) -> usize {
        todo!()
    }
    pub fn waiting(&self) -> usize {
        todo!()
    }
}
