//! What callers of locks, numbers, keys and watches were told, checked against the rules while it is recorded. It shares no code with the
//! tier; the stories of `coordinator` over an in-memory fleet use it, too.

use std::collections::{BTreeMap, BTreeSet};

/// A time on the callers' own steady clock, in microseconds.
type Time = i64;

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
    /// Rules that were broken, and how.
    pub violations: Vec<String>,
}

/// The group of a key: what stands before its first dot, with the dot.
fn group(key: &str) -> String {
    key.split_inclusive('.').next().unwrap_or(key).to_owned()
}

impl History {
    pub fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// A caller holds a lock from the answer on until then: ONE.
    pub fn holds(&mut self, lock: &str, holder: usize, from: Time, until: Time) {
        self.count("holds");
        let spans = self.spans.entry(lock.to_owned()).or_default();
        let overlaps = |other: &&Span| other.holder != holder && other.from < until && from < other.until;
        if let Some(Span { holder: other, from: since, until: to }) = spans.iter().find(overlaps) {
            self.violations.push(format!(
                "ONE: {lock} is held by {holder} in {from}..{until} and by {other} in {since}..{to}"
            ));
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
            if other.fence == fence || other.at < sent && other.fence > fence {
                let text = format!("ONE: fence {fence} of {lock}, after {} of another holder", other.fence);
                self.violations.push(text);
            }
        }
        fences.push(Fence { at, holder, fence });
    }

    /// A number is above those handed out before the call was sent, and handed out once.
    pub fn number(&mut self, name: &str, sent: Time, at: Time, value: u64) {
        self.count("numbers");
        let given = self.numbers.entry(name.to_owned()).or_default();
        self.violations.extend(rises(name, given, sent, Given { at, value }));
    }

    pub fn sends(&mut self, key: &str, value: &str) {
        self.sent.insert((key.to_owned(), value.to_owned()));
    }

    /// A put got a revision; `sent` is when it was first sent.
    pub fn put(&mut self, key: &str, value: &str, sent: Time, at: Time, revision: u64) {
        self.count("puts");
        let group = group(key);
        let given = self.revisions.entry(group.clone()).or_default();
        self.violations.extend(rises(&group, given, sent, Given { at, value: revision }));
        self.shown(key, value, revision);
        self.puts.push(Acknowledged { at, key: key.to_owned(), revision });
    }

    /// A put was refused with 412: its value is never shown.
    pub fn refuses(&mut self, value: &str) {
        self.count("puts refused");
        let is_shown = self.seen.values().any(|(_, seen)| seen == value);
        self.check(!is_shown, || format!("REFUSED: {value} was shown"));
        self.refused.insert(value.to_owned());
    }

    /// A value was shown under a revision: MIXED, REFUSED.
    pub fn shown(&mut self, key: &str, value: &str, revision: u64) {
        let shown = (key.to_owned(), value.to_owned());
        let (is_sent, is_refused) = (self.sent.contains(&shown), self.refused.contains(value));
        self.check(is_sent, || format!("MIXED: nobody put {value} to {key}"));
        self.check(!is_refused, || format!("REFUSED: {value} is shown at {revision}"));
        let before = self.seen.entry((group(key), revision)).or_insert_with(|| shown.clone());
        let is_same = *before == shown;
        self.check(is_same, || format!("MIXED: two values at revision {revision} of {}", group(key)));
        let is_twice =
            self.seen.iter().any(|((of, at), seen)| *of == group(key) && *seen == shown && *at != revision);
        self.check(!is_twice, || format!("MIXED: {value} has two revisions"));
    }

    /// A key was read, or was not there (0).
    pub fn read(&mut self, key: &str, sent: Time, revision: u64) {
        self.count("reads");
        let before = self.puts.iter().filter(|put| put.key == key && put.at < sent).map(|put| put.revision);
        let least = before.max().unwrap_or(0);
        self.check(revision >= least, || {
            format!("STALE: {key} is read at {revision}, and was acknowledged at {least}")
        });
    }

    /// A watch from `since` was answered with these revisions up to `revision`.
    pub fn watched(&mut self, of: &str, since: u64, sent: Time, events: &[u64], revision: u64) {
        self.count("watches");
        let is_in_span = events.iter().all(|event| *event > since && *event <= revision);
        self.check(events.is_sorted_by(|a, b| a < b) && is_in_span, || {
            format!("ORDER: {events:?} after {since} up to {revision} of {of}")
        });
        let mut broken = Vec::new();
        for put in self.puts.iter().filter(|put| group(&put.key) == of) {
            // From 0 a watch asks for the present revision alone.
            let is_covered = since > 0 && put.revision > since && put.revision <= revision;
            if is_covered && !events.contains(&put.revision) {
                broken.push(format!("ORDER: a watch of {of} from {since} skips {}", put.revision));
            }
            if since == 0 && put.at < sent && put.revision > revision {
                broken.push(format!("LOST: {of} is at {revision}, and {} was acknowledged", put.revision));
            }
        }
        self.violations.extend(broken);
    }

    fn check(&mut self, holds: bool, what: impl FnOnce() -> String) {
        if !holds {
            self.violations.push(what());
        }
    }
}

/// What is wrong with a value that was handed out, if anything is.
fn rises(of: &str, given: &mut Vec<Given>, sent: Time, new: Given) -> Option<String> {
    let is_broken =
        |before: &&Given| before.value == new.value || before.at < sent && before.value > new.value;
    let broken = given.iter().find(is_broken);
    let text = broken.map(|before| format!("ORDER: {} of {of}, after {}", new.value, before.value));
    given.push(new);
    text
}
