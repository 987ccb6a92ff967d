//! Totals since the start of the process, each counted where its event happens. Reading them asks nobody.

use std::cell::Cell;
use std::fmt::Write;

/// How a task was answered.
const WAYS: [&str; 3] = ["success", "overload", "error"];

pub struct Figures {
    /// By workload.
    replies: Vec<(String, [Cell<u64>; 3])>,
    dispatches: Cell<u64>,
    concurrent: Cell<u64>,
    targets: Cell<(usize, usize)>,
    crossed: Cell<u64>,
}

/// A task that has been taken and not ended, until this is dropped.
pub struct Concurrent<'a>(&'a Figures);

impl Drop for Concurrent<'_> {
    fn drop(&mut self) {
        self.0.concurrent.update(|n| n - 1);
    }
}

impl Figures {
    pub fn of(workloads: Vec<String>) -> Self {
        Figures {
            replies: workloads.into_iter().map(|w| (w, Default::default())).collect(),
            dispatches: Cell::default(),
            concurrent: Cell::default(),
            targets: Cell::default(),
            crossed: Cell::default(),
        }
    }

    /// A task has been taken.
    pub fn taken(&self) -> Concurrent<'_> {
        self.concurrent.update(|n| n + 1);
        Concurrent(self)
    }

    /// A task's answer has gone out whole.
    pub fn answered(&self, workload: usize, status: u16) {
        let way = match status {
            200 => 0,
            429 | 503 => 1,
            _ => 2,
        };
        self.replies[workload].1[way].update(|n| n + 1);
    }

    /// An assignment has been written whole to its worker.
    pub fn dispatched(&self) {
        self.dispatches.update(|n| n + 1);
    }

    /// A request was on its way when its idle connection was ended: it has not been read.
    pub fn crossed(&self) {
        self.crossed.update(|n| n + 1);
    }

    /// So many workers are in the list, and so many of these are avoided.
    pub fn listed(&self, targets: (usize, usize)) {
        self.targets.set(targets);
    }

    /// All of them, a line each.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (workload, counts) in &self.replies {
            for (way, count) in WAYS.iter().zip(counts) {
                let _ = writeln!(text, "relay.replies.{workload}.{way}:{}|c", count.get());
            }
        }
        let (targets, disabled) = self.targets.get();
        let _ = writeln!(text, "relay.dispatches:{}|c", self.dispatches.get());
        let _ = writeln!(text, "relay.concurrent:{}|g", self.concurrent.get());
        let _ = writeln!(text, "relay.targets:{targets}|g\nrelay.targets_disabled:{disabled}|g");
        let _ = writeln!(text, "relay.crossed:{}|c", self.crossed.get());
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_workloads_are_told_from_the_start_and_what_is_taken_ends_on_every_path() {
        let figures = Figures::of(vec!["a".into(), "b".into()]);
        let first = figures.text();
        assert_eq!(first.lines().count(), 11);
        assert!(first.lines().all(|l| l.contains(":0|")), "{first}");
        let (one, two) = (figures.taken(), figures.taken());
        assert!(figures.text().contains("relay.concurrent:2|g"));
        figures.answered(1, 503);
        figures.dispatched();
        figures.crossed();
        drop((one, two));
        let text = figures.text();
        for line in [
            "relay.replies.b.overload:1|c",
            "relay.dispatches:1|c",
            "relay.concurrent:0|g",
            "relay.crossed:1|c",
        ] {
            assert!(text.lines().any(|l| l == line), "{line} in {text}");
        }
    }
}
