//! A task and its assignments.

use crate::{Outcome, Time};

#[derive(Debug)]
pub(crate) struct Assignment {
    pub worker: usize,
    pub sent: Time,
    pub started: Option<Time>,
    /// When its worker last told that it runs.
    pub heard: Time,
    pub outcome: Option<Outcome>,
}

impl Assignment {
    pub fn sent(worker: usize, now: Time) -> Self {
        Assignment { worker, sent: now, started: None, heard: now, outcome: None }
    }

    /// Whether it runs and has told nothing for as long as `due`.
    pub fn overdue(&self, now: Time, due: Time) -> bool {
        due > 0 && self.started.is_some() && now - self.heard >= due
    }

    pub fn never_ran(&self) -> bool {
        self.outcome.is_some_and(Outcome::never_ran)
    }
}

#[derive(Debug, Default)]
pub(crate) struct Task {
    pub id: String,
    pub workload: usize,
    pub slots: f64,
    pub arrived: Time,
    pub expiry: Time,
    /// The part of its customer's tasks that lay within the customer's share when it came.
    pub within_share: f64,
    pub assignments: Vec<Assignment>,
    pub answered: bool,
    /// Its place among the tasks that wait here, least first.
    pub held: Option<(u64, Time, u64)>,
}

impl Task {
    /// The numbers of the assignments still out.
    pub fn open(&self) -> impl Iterator<Item = usize> {
        let open = |(i, a): (usize, &Assignment)| a.outcome.is_none().then_some(i);
        self.assignments.iter().enumerate().filter_map(open)
    }

    /// Those of which word is awaited: of their start, or where some is due, of their progress.
    pub fn watched(&self, due: Time) -> impl Iterator<Item = usize> {
        self.open().filter(move |a| due > 0 || self.assignments[*a].started.is_none())
    }

    /// None of those still out has started.
    pub fn waits(&self) -> bool {
        self.open().all(|i| self.assignments[i].started.is_none())
    }

    pub fn out(&self) -> usize {
        self.open().count()
    }
}
