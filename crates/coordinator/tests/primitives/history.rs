//! What callers of locks, numbers, keys and watches were told, checked against the rules while it is recorded. Times are those of the
//! callers' own clocks.

use std::collections::{BTreeMap, BTreeSet};

use rainlug::Time;

/// A span in which a caller takes itself for the holder of a lock.
struct Span {
    holder: usize,
    from: Time,
    until: Time,
}

/// A value that was handed out, and when its answer came.
struct Given {
    at: Time,
    value: u64,
}

struct Fence {
    at: Time,
    holder: usize,
    fence: u64,
}

/// A put that was acknowledged.
pub struct Acknowledged {
    pub at: Time,
    pub key: String,
    pub revision: u64,
}

#[derive(Default)]
pub struct History {
    spans: BTreeMap<String, Vec<Span>>,
    fences: BTreeMap<String, Vec<Fence>>,
    numbers: BTreeMap<String, Vec<Given>>,
    revisions: BTreeMap<String, Vec<Given>>,
    pub puts: Vec<Acknowledged>,
    /// Values whose puts were refused.
    refused: BTreeSet<String>,
    /// Values that were sent, by key.
    sent: BTreeSet<(String, String)>,
    /// What was seen of each group: the value and key of a revision.
    seen: BTreeMap<(String, u64), (String, String)>,
    pub counts: BTreeMap<&'static str, usize>,
}

fn group(key: &str) -> String {
    rainlug_primitives::group_of(key).to_owned()
}

impl History {
    pub fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// A caller holds a lock from the answer on until then: ONE.
    pub fn holds(&mut self, lock: &str, holder: usize, from: Time, until: Time) {
        self.count("holds");
        let spans = self.spans.entry(lock.to_owned()).or_default();
        for other in spans.iter().filter(|span| span.holder != holder) {
            assert!(
                until <= other.from || other.until <= from,
                "ONE: {lock} is held by {holder} in {from}..{until} and by {} in {}..{}",
                other.holder,
                other.from,
                other.until
            );
        }
        spans.push(Span { holder, from, until });
    }

    /// A caller gives a lock back: it takes itself for the holder no longer.
    pub fn gives_back(&mut self, lock: &str, holder: usize, at: Time) {
        let spans = self.spans.entry(lock.to_owned()).or_default();
        for span in spans.iter_mut().filter(|span| span.holder == holder) {
            span.until = span.until.min(at);
        }
    }

    /// A fencing token is above those that others received before the call was sent, and nobody else's.
    pub fn fence(&mut self, lock: &str, holder: usize, sent: Time, at: Time, fence: u64) {
        let fences = self.fences.entry(lock.to_owned()).or_default();
        for other in fences.iter().filter(|other| other.holder != holder) {
            assert_ne!(other.fence, fence, "ONE: one fence of {lock} for two holders");
            assert!(other.at >= sent || other.fence < fence, "ONE: fence {fence} of {lock} does not rise");
        }
        fences.push(Fence { at, holder, fence });
    }

    /// A number is above those handed out before the call was sent, and handed out once.
    pub fn number(&mut self, name: &str, sent: Time, at: Time, value: u64) {
        self.count("numbers");
        rises("number", self.numbers.entry(name.to_owned()).or_default(), sent, Given { at, value });
    }

    pub fn sends(&mut self, key: &str, value: &str) {
        self.sent.insert((key.to_owned(), value.to_owned()));
    }

    /// A put got a revision; `sent` is when it was first sent.
    pub fn put(&mut self, key: &str, value: &str, sent: Time, at: Time, revision: u64) {
        self.count("puts");
        let group = group(key);
        rises("revision", self.revisions.entry(group).or_default(), sent, Given { at, value: revision });
        self.shown(key, value, revision);
        self.puts.push(Acknowledged { at, key: key.to_owned(), revision });
    }

    /// A put was refused with 412: its value is never shown.
    pub fn refuses(&mut self, value: &str) {
        self.count("puts refused");
        assert!(self.seen.values().all(|(_, seen)| seen != value), "REFUSED: {value} was shown");
        self.refused.insert(value.to_owned());
    }

    /// A value was shown under a revision: MIXED, REFUSED.
    pub fn shown(&mut self, key: &str, value: &str, revision: u64) {
        let shown = (key.to_owned(), value.to_owned());
        assert!(self.sent.contains(&shown), "MIXED: nobody put {value} to {key}");
        assert!(!self.refused.contains(value), "REFUSED: {value} is shown at {revision}");
        let before = self.seen.entry((group(key), revision)).or_insert_with(|| shown.clone());
        assert_eq!(*before, shown, "MIXED: two values at revision {revision}");
        let twice =
            self.seen.iter().any(|((of, at), seen)| *of == group(key) && *seen == shown && *at != revision);
        assert!(!twice, "MIXED: {value} has two revisions");
    }

    /// A key was read, or was not there (0).
    pub fn read(&mut self, key: &str, sent: Time, revision: u64) {
        self.count("reads");
        let before = self.puts.iter().filter(|put| put.key == key && put.at < sent).map(|put| put.revision);
        let least = before.max().unwrap_or(0);
        assert!(revision >= least, "STALE: {key} is read at {revision}, and was acknowledged at {least}");
    }

    /// A watch from `since` was answered with these revisions up to `revision`.
    pub fn watched(&mut self, of: &str, since: u64, sent: Time, events: &[u64], revision: u64) {
        self.count("watches");
        assert!(events.is_sorted_by(|a, b| a < b), "ORDER: {events:?}");
        assert!(
            events.iter().all(|event| *event > since && *event <= revision),
            "ORDER: {events:?} after {since}"
        );
        for put in self.puts.iter().filter(|put| group(&put.key) == of) {
            // From 0 a watch asks for the present revision alone.
            let is_covered = since > 0 && put.revision > since && put.revision <= revision;
            assert!(!is_covered || events.contains(&put.revision), "ORDER: {} is skipped", put.revision);
            let lags = put.at < sent && put.revision > revision && since == 0;
            assert!(!lags, "LOST: a watch sent after {} was acknowledged tells {revision}", put.revision);
        }
    }
}

fn rises(what: &str, given: &mut Vec<Given>, sent: Time, new: Given) {
    for before in given.iter() {
        assert_ne!(before.value, new.value, "ORDER: {what} {} twice", new.value);
        assert!(before.at >= sent || before.value < new.value, "ORDER: {what} {} does not rise", new.value);
    }
    given.push(new);
}
