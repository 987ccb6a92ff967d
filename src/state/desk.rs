//! The tasks in hand, and the order of those that wait.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::Task;
use crate::{Outcome, Time};

/// The tasks that are owed an answer or have assignments out, numbered from 1, and which of them wait here.
#[derive(Default)]
pub(crate) struct Desk {
    tasks: BTreeMap<u64, Task>,
    numbers: HashMap<String, u64>,
    held: BTreeSet<(u64, Time, u64)>,
    last: u64,
    /// When the process ends.
    closes: Option<Time>,
}

impl Desk {
    pub fn take(&mut self, task: Task) -> u64 {
        self.last += 1;
        let n = self.last;
        self.numbers.insert(task.id.clone(), n);
        self.tasks.insert(n, task);
        n
    }

    /// The expiry, or the end of the process where that comes first.
    pub fn last_call(&self, expiry: Time) -> Time {
        self.closes.map_or(expiry, |by| by.min(expiry))
    }

    /// The process ends by then: no expiry is later. Gives the numbers of the tasks that are owed an answer.
    pub fn call_by(&mut self, by: Time) -> Vec<u64> {
        self.closes = Some(self.last_call(by));
        self.tasks.values_mut().for_each(|t| t.expiry = t.expiry.min(by));
        self.tasks.iter().filter(|(_, t)| !t.answered).map(|(n, _)| *n).collect()
    }

    pub fn named(&mut self, id: &str) -> Option<(u64, &mut Task)> {
        let n = self.numbers.get(id).copied()?;
        self.tasks.get_mut(&n).map(|task| (n, task))
    }

    pub fn get(&self, n: u64) -> Option<&Task> {
        self.tasks.get(&n)
    }

    pub fn get_mut(&mut self, n: u64) -> Option<&mut Task> {
        self.tasks.get_mut(&n)
    }

    pub fn enter(&mut self, n: u64, assignment: usize, outcome: Outcome) {
        if let Some(task) = self.tasks.get_mut(&n) {
            task.assignments[assignment].outcome = Some(outcome);
        }
    }

    /// Lets the task wait, at the place that `first` gives it: least first, then by expiry.
    pub fn hold(&mut self, n: u64, first: u64) {
        if let Some(task) = self.tasks.get_mut(&n) {
            let place = (first, task.expiry, n);
            task.held = Some(place);
            self.held.insert(place);
        }
    }

    pub fn release(&mut self, n: u64) {
        if let Some(place) = self.tasks.get_mut(&n).and_then(|t| t.held.take()) {
            self.held.remove(&place);
        }
    }

    /// The tasks that wait, with their numbers, in their order.
    pub fn held(&self) -> impl Iterator<Item = (u64, &Task)> {
        self.held.iter().filter_map(|&(_, _, n)| Some((n, self.tasks.get(&n)?)))
    }

    pub fn first_held(&self) -> Option<u64> {
        self.held.first().map(|&(_, _, n)| n)
    }

    pub fn last_held(&self) -> Option<u64> {
        self.held.last().map(|&(_, _, n)| n)
    }

    pub fn count_held(&self) -> usize {
        self.held.len()
    }

    /// Takes a task for answered; gives its id and the numbers of the assignments still out.
    pub fn close(&mut self, n: u64) -> Option<(String, Vec<usize>)> {
        self.release(n);
        let task = self.tasks.get_mut(&n)?;
        task.answered = true;
        let closed = (task.id.clone(), task.open().collect());
        self.clear(n);
        Some(closed)
    }

    /// Forgets a task that is answered and has nothing out.
    pub fn clear(&mut self, n: u64) {
        if let Some(task) = self.tasks.get(&n).filter(|t| t.answered && t.out() == 0) {
            self.numbers.remove(&task.id);
            self.tasks.remove(&n);
        }
    }
}
