//! What clients and workers saw of one run of the fuzz, and the rules that it must keep.

use std::collections::BTreeMap;

use rainlug_gateway::RanEnd;

use crate::common::field;

/// Events of a whole stream.
pub const EVENTS: u64 = 5;

/// What a request may be done with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    Repeatable,
    Once,
    ResumableStream,
    OnceStream,
    /// Of a batch job.
    Item,
}

impl Kind {
    /// Those that clients send.
    pub const ALL: [Kind; 4] = [Kind::Repeatable, Kind::Once, Kind::ResumableStream, Kind::OnceStream];

    /// The prefix of its route, of `common::ROUTES`.
    pub fn prefix(self) -> &'static str {
        match self {
            Kind::Repeatable => "/i/",
            Kind::Once => "/m/",
            Kind::ResumableStream => "/s/",
            Kind::OnceStream => "/n/",
            Kind::Item => "/b/",
        }
    }

    /// The `max_tries` of its route.
    fn most_runs(self) -> usize {
        match self {
            Kind::Repeatable => 2,
            Kind::Item => usize::MAX,
            _ => 3,
        }
    }

    pub fn streams(self) -> bool {
        matches!(self, Kind::ResumableStream | Kind::OnceStream | Kind::Item)
    }

    fn runs_once(self) -> bool {
        matches!(self, Kind::Once | Kind::OnceStream)
    }
}

/// A request as its client sent it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub kind: Kind,
    pub deadline_ms: u64,
    pub body: Vec<u8>,
}

/// An answer as a client got it.
#[derive(Clone, Debug)]
pub struct Received {
    pub id: String,
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    pub whole: bool,
}

/// A request that a worker was written, and what it did with it.
#[derive(Clone, Debug)]
pub struct Run {
    pub worker: String,
    pub id: String,
    pub head: String,
    pub body: Vec<u8>,
    /// The worker promised that it has not run.
    pub turned_away: bool,
    pub status: u16,
    /// The whole body of its answer.
    pub answer: Vec<u8>,
    /// The answer can be known to be whole: not one without a length whose connection was reset.
    pub has_end: bool,
}

impl Run {
    /// The event that it was asked to go on after, 0 for none.
    pub fn last_event(&self) -> u64 {
        field(&self.head, "Last-Event-Id").map_or(0, |id| id.parse().unwrap())
    }
}

/// A run of an item as it was told to whoever asked for it.
#[derive(Clone, Debug)]
pub struct ItemRun {
    pub id: String,
    /// The runs that there were before it.
    pub before: usize,
    pub last_event: u64,
    /// Numbers of events, and of the runs that they name.
    pub events: Vec<(u64, usize)>,
    pub end: RanEnd,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct Recording {
    pub sent: BTreeMap<String, Sent>,
    pub received: Vec<Received>,
    pub items: Vec<ItemRun>,
    /// A run's place is its number, which its seal and its answer name.
    pub runs: Vec<Run>,
    /// Bytes that clients got while they waited for nothing.
    pub unasked: Vec<u8>,
    /// Bytes that workers got where a request was due, and that begin none.
    pub misplaced: Vec<u8>,
}

/// A rule that was broken, and by which request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A worker got a request that no client sent so.
    Altered(String),
    Misplaced,
    UnaskedBytes,
    /// More workers were sent it than may be.
    TooManyRuns(String),
    RanTwice(String),
    /// A status that promises that it has not run, and it has.
    FalsePromise(String),
    /// It got an answer that is not its own.
    NotItsOwn(String),
    /// A worker's stamp with another status than the worker gave.
    OtherStatus(String),
    /// A success that looks whole, or a part of one, and is not what the worker sent.
    NotTheWhole(String),
    /// Events are missing, come twice or are of runs that did not go on where the last one ended.
    Disordered(String),
    /// A run of an item is said to have failed, or that it never can be done, and no worker said so.
    WrongEnd(String),
}

impl Recording {
    /// Checks all rules.
    ///
    /// # Errors
    /// The first one that is broken.
    pub fn check(&self) -> Result<(), Violation> {
        if !self.misplaced.is_empty() {
            return Err(Violation::Misplaced);
        }
        if !self.unasked.is_empty() {
            return Err(Violation::UnaskedBytes);
        }
        self.runs.iter().try_for_each(|run| self.check_run(run))?;
        self.sent.iter().try_for_each(|(id, sent)| self.check_count(id, sent))?;
        self.items.iter().try_for_each(|item| self.check_item(item))?;
        self.received.iter().try_for_each(|received| self.check_received(received))
    }

    /// What was sent and received, without bodies, and what is wrong by itself.
    pub fn brief(&self) -> String {
        let odd = [("misplaced", &self.misplaced), ("unasked", &self.unasked)];
        let odd = odd.into_iter().filter(|(_, bytes)| !bytes.is_empty());
        let odd = odd.map(|(what, bytes)| format!("{what}: {}\n", bytes.escape_ascii()));
        let runs =
            self.runs.iter().enumerate().map(|(n, run)| format!("run {n} at {}: {}", run.worker, run.head));
        let received =
            self.received.iter().map(|got| format!("{} got, whole {}: {}", got.id, got.whole, got.head));
        odd.chain(runs).chain(received).collect()
    }

    fn check_run(&self, run: &Run) -> Result<(), Violation> {
        let altered = Err(Violation::Altered(run.id.clone()));
        let Some(sent) = self.sent.get(&run.id) else { return altered };
        let line = format!("POST {}{} HTTP/1.1", sent.kind.prefix(), run.id);
        let deadline = field(&run.head, "X-Rainlug-Deadline-Ms").and_then(|ms| ms.parse::<u64>().ok());
        let sound = run.head.lines().next() == Some(&line)
            && field(&run.head, "X-Rainlug-Attempt-Id").as_ref() == Some(&run.id)
            && field(&run.head, "X-Rainlug-Target-Instance").as_ref() == Some(&run.worker)
            && deadline.is_some_and(|ms| ms <= sent.deadline_ms)
            && sent.body.starts_with(&run.body);
        if sound { Ok(()) } else { altered }
    }

    fn check_count(&self, id: &str, sent: &Sent) -> Result<(), Violation> {
        let runs = self.runs.iter().filter(|run| run.id == id);
        if runs.clone().count() > sent.kind.most_runs() {
            return Err(Violation::TooManyRuns(id.to_owned()));
        }
        let ran = runs.filter(|run| !run.turned_away).count();
        if ran > 1 && sent.kind.runs_once() {
            return Err(Violation::RanTwice(id.to_owned()));
        }
        Ok(())
    }

    fn check_received(&self, received: &Received) -> Result<(), Violation> {
        let id = received.id.clone();
        let sent = &self.sent[&id];
        let promise = matches!(received.status, 408 | 421 | 429 | 503);
        let ran = self.runs.iter().any(|run| run.id == id && !run.turned_away);
        if promise && ran && sent.kind.runs_once() {
            return Err(Violation::FalsePromise(id));
        }
        let success = (200..300).contains(&received.status);
        let run = match field(&received.head, "X-Rainlug-Server-Seal") {
            None if success => return Err(Violation::NotItsOwn(id)),
            None => return Ok(()),
            Some(seal) => self.run_of_seal(&seal),
        };
        let named = field(&received.head, "X-Rainlug-Attempt-Id").is_some_and(|named| named == id);
        let Some(run) = run.filter(|run| run.id == id && (named || !success)) else {
            return Err(Violation::NotItsOwn(id));
        };
        if run.status != received.status {
            return Err(Violation::OtherStatus(id));
        }
        if sent.kind.streams() && success {
            return self.check_stream(received, run, sent.kind);
        }
        let exact = run.has_end && received.body == run.answer;
        let sound = if received.whole { exact } else { run.answer.starts_with(&received.body) };
        if sound { Ok(()) } else { Err(Violation::NotTheWhole(id)) }
    }

    fn check_item(&self, item: &ItemRun) -> Result<(), Violation> {
        let runs = self.runs.iter().enumerate().skip(item.before);
        let own = runs.filter(|(_, run)| run.id == item.id && run.last_event() == item.last_event);
        // It is sent to a worker once, and the next run begins after this one's end.
        let Some((number, run)) = own.min_by_key(|(number, _)| *number) else {
            let nothing = item.events.is_empty() && matches!(item.end, RanEnd::Again | RanEnd::NoRoom);
            return if nothing { Ok(()) } else { Err(Violation::WrongEnd(item.id.clone())) };
        };
        let mut expected = (item.last_event + 1..).map(|event| (event, number));
        if !item.events.iter().all(|event| Some(*event) == expected.next()) {
            return Err(Violation::Disordered(item.id.clone()));
        }
        let last = item.events.last().map_or(item.last_event, |(event, _)| *event);
        if item.end == RanEnd::Complete && (last != EVENTS || run.status != 200 || !run.has_end) {
            return Err(Violation::NotTheWhole(item.id.clone()));
        }
        match item.end {
            RanEnd::Failed if run.status != 500 => Err(Violation::WrongEnd(item.id.clone())),
            RanEnd::Never if run.status != 422 => Err(Violation::WrongEnd(item.id.clone())),
            _ => Ok(()),
        }
    }

    fn run_of_seal(&self, seal: &str) -> Option<&Run> {
        self.runs.get(seal.strip_prefix("s.")?.parse::<usize>().ok()?)
    }

    fn check_stream(&self, received: &Received, first: &Run, kind: Kind) -> Result<(), Violation> {
        let disordered = || Violation::Disordered(received.id.clone());
        let text = std::str::from_utf8(&received.body).map_err(|_| disordered())?;
        let mut run = first;
        let mut last = 0;
        for event in text.split_inclusive("\n\n") {
            let (number, of) = read_event(event).ok_or_else(disordered)?;
            let of = self.runs.get(of).filter(|of| of.id == received.id).ok_or_else(disordered)?;
            let joins = std::ptr::eq(of, run)
                || (kind == Kind::ResumableStream && last > 0 && of.last_event() == last);
            if number != last + 1 || !joins {
                return Err(disordered());
            }
            (run, last) = (of, number);
        }
        // The end may be told by a run that was asked to go on after the last event.
        let mut after_last = self.runs.iter().filter(|of| of.id == received.id && of.last_event() == last);
        let resumed_end = kind == Kind::ResumableStream && after_last.any(|of| of.has_end);
        if received.whole && (last != EVENTS || !(run.has_end || resumed_end)) {
            return Err(Violation::NotTheWhole(received.id.clone()));
        }
        Ok(())
    }
}

/// One event of a run's stream.
pub fn write_event(number: u64, run: usize) -> String {
    format!("id: {number}\ndata: {run}\n\n")
}

/// Its number, and the run's.
fn read_event(text: &str) -> Option<(u64, usize)> {
    let (number, run) = text.strip_prefix("id: ")?.strip_suffix("\n\n")?.split_once("\ndata: ")?;
    Some((number.parse().ok()?, run.parse().ok()?))
}
