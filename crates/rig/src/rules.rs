//! The four rules, judged by what the stand-in workers and the clients saw: never by what dispatchers believe.

use std::collections::{BTreeMap, BTreeSet};

use rainlug_load::record::{End, Ended};
use rainlug_load::stub::{Run, Working};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Workloads as the rig tells them, in its order: name, kind, due time in milliseconds, revenue.
pub const WORKLOADS: [(&str, &str, u64, f64); 3] =
    [("search", "repeatable", 300, 1.0), ("bid", "once", 800, 10.0), ("order", "by_key", 500, 3.0)];
/// Workers drop repeats of an order within its zone for so long, in seconds.
pub const WINDOW: f64 = 3.0;
/// What may come to a drained worker after its dispatcher was told, in seconds.
pub const DRAIN_GRACE: f64 = 0.5;
/// What the list has to tell counts as told after so long, whether or not it arrived.
const TOLD: f64 = 6.0;
/// A cold worker falls over so many times what it can do, within so many seconds.
pub const OVERLOAD: f64 = 3.0;
pub const FALL: f64 = 3.0;
/// A process that does not answer is excused for so long after it goes on.
const WAKES: f64 = 1.0;
/// A dispatcher may close a connection between two tasks. Where that crosses one which it has not read, it ends at once; the
/// protocol has clients send it once more.
const CROSSED: f64 = 0.05;
/// Times are read at two ends of a busy machine.
const SLACK: f64 = 0.25;

/// A rule that was broken, when, and how.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Broken {
    pub rule: Rule,
    pub at: f64,
    pub words: String,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each task has its one answer before its expiry.
    Answers,
    /// Nothing takes effect twice, beyond its kind.
    Twice,
    /// Nothing comes to a drained worker after the grace.
    Drains,
    /// Cold workers get no more, by the sum of all, than they bear.
    Cold,
}

impl Rule {
    pub const ALL: [Rule; 4] = [Rule::Answers, Rule::Twice, Rule::Drains, Rule::Cold];

    pub fn text(self) -> &'static str {
        match self {
            Rule::Answers => "each task answered before its expiry",
            Rule::Twice => "nothing takes effect twice",
            Rule::Drains => "drains are kept",
            Rule::Cold => "cold workers are not pushed over",
        }
    }
}

/// What was done to the run, in seconds of it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Done {
    /// When each dispatcher could not answer: its number, from when to when.
    pub troubled: Vec<(usize, f64, f64)>,
    /// Moments at which some process may not know what the list said before: it began, or went on.
    pub unaware: Vec<f64>,
    /// When the list said nothing.
    pub silent: Vec<(f64, f64)>,
    /// Workers that were drained, from when until they died or began anew.
    pub drained: Vec<(usize, f64, f64)>,
    /// Workers that began cold, and when.
    pub cold: Vec<(usize, f64)>,
}

impl Done {
    /// A dispatcher cannot answer from now on.
    pub fn trouble(&mut self, nth: usize, now: f64) {
        if !self.troubled.iter().any(|t| t.0 == nth && t.2 == f64::MAX) {
            self.troubled.push((nth, now, f64::MAX));
        }
    }

    /// It can again.
    pub fn serves(&mut self, nth: usize, now: f64) {
        self.unaware.push(now);
        let open = self.troubled.iter_mut().filter(|t| t.0 == nth && t.2 == f64::MAX);
        open.for_each(|t| t.2 = now + WAKES);
    }

    pub fn drains(&mut self, worker: usize, now: f64) {
        self.drained.push((worker, now, f64::MAX));
    }

    /// A worker's process ends, or another begins.
    pub fn ends(&mut self, worker: usize, now: f64) {
        self.drained.iter_mut().filter(|d| d.0 == worker && d.2 == f64::MAX).for_each(|d| d.2 = now);
    }

    /// The list speaks from now on, or is silent.
    pub fn list(&mut self, speaks: bool, now: f64) {
        if speaks {
            self.silent.iter_mut().filter(|s| s.1 == f64::MAX).for_each(|s| s.1 = now);
        } else {
            self.silent.push((now, f64::MAX));
        }
    }

    fn excused(&self, by: Option<usize>, from: f64, to: f64) -> bool {
        by.is_none_or(|n| self.troubled.iter().any(|t| t.0 == n && t.1 <= to + SLACK && from <= t.2))
    }
}

/// All that was broken, in the order of time; at most some of each rule.
pub fn judge(
    runs: &[Run],
    ends: &[Ended],
    done: &Done,
    working: &Working,
    zones: usize,
    began: Instant,
) -> Vec<Broken> {
    let since = |at: Instant| {
        at.saturating_duration_since(began).as_secs_f64() - began.saturating_duration_since(at).as_secs_f64()
    };
    let mut found: Vec<Broken> = answers(runs, ends, done);
    found.extend(twice(runs, zones, &since));
    found.extend(drains(runs, done, &since));
    found.extend(cold(runs, done, working, &since));
    found.sort_by(|a, b| a.at.total_cmp(&b.at));
    found
}

fn answers(runs: &[Run], ends: &[Ended], done: &Done) -> Vec<Broken> {
    // What came to a worker had been read.
    let read: BTreeSet<u64> = runs.iter().filter_map(|r| u64::from_str_radix(&r.id, 16).ok()).collect();
    let crossed = |e: &&Ended| {
        let soon = |tried: u64| e.done.saturating_sub(tried) as f64 <= CROSSED * 1e6;
        e.end == End::Broken && e.by.is_some_and(|(_, id, tried)| soon(tried) && !read.contains(&id))
    };
    let lost = |e: &&Ended| matches!(e.end, End::TimedOut | End::Broken | End::Odd);
    let seconds = |micros: u64| micros as f64 / 1e6;
    let place = |e: &Ended| e.by.map(|by| by.0);
    let excused = |e: &&Ended| done.excused(place(e), seconds(e.sent), seconds(e.done));
    let owed = ends.iter().filter(lost).filter(|e| !excused(e) && !crossed(e));
    let came = |e: &Ended| {
        let is_read = e.by.is_some_and(|(_, id, _)| read.contains(&id));
        if is_read { "came to a worker" } else { "came to no worker" }
    };
    let broken = owed.map(|e| Broken {
        rule: Rule::Answers,
        at: seconds(e.done),
        words: format!(
            "a {} sent at {:.2} s to d{}: {:?} at {:.3} s, last tried at {:.3} s, {}",
            WORKLOADS[e.workload].0,
            seconds(e.sent),
            place(e).unwrap_or_default(),
            e.end,
            seconds(e.done),
            seconds(e.by.map_or(e.sent, |(.., tried)| tried)),
            came(e),
        ),
    });
    broken.collect()
}

fn twice(runs: &[Run], zones: usize, since: &dyn Fn(Instant) -> f64) -> Vec<Broken> {
    let mut begun: BTreeMap<&str, Vec<(&Run, f64)>> = BTreeMap::new();
    for run in runs.iter().filter(|r| !r.mark.is_empty()) {
        if let Some(at) = run.began {
            begun.entry(&run.mark).or_default().push((run, since(at)));
        }
    }
    let again = |(mark, of): (&str, Vec<(&Run, f64)>)| {
        let (first, rest) = of.split_first()?;
        let kind = WORKLOADS.iter().find(|w| w.0 == first.0.path)?.1;
        let late = rest.iter().find(|(run, at)| match kind {
            "once" => true,
            // Its zone's workers drop repeats, for a while.
            "by_key" => run.worker % zones != first.0.worker % zones || at - first.1 > WINDOW + SLACK,
            _ => false,
        })?;
        let words = format!(
            "{} {mark} at w{} at {:.2} s, and again at w{}",
            first.0.path, first.0.worker, first.1, late.0.worker
        );
        Some(Broken { rule: Rule::Twice, at: late.1, words })
    };
    begun.into_iter().filter_map(again).collect()
}

fn drains(runs: &[Run], done: &Done, since: &dyn Fn(Instant) -> f64) -> Vec<Broken> {
    let mut found = Vec::new();
    for run in runs {
        let came = since(run.came);
        let of = done.drained.iter().find(|d| d.0 == run.worker && (d.1..d.2).contains(&came));
        let Some((worker, from, _)) = of else { continue };
        // Whoever began, went on or heard the list again in between may not have been told by then.
        let told = done.unaware.iter().copied().filter(|at| *at <= came).fold(*from, f64::max);
        let silent = done.silent.iter().filter(|s| s.0 <= came && s.1 > *from);
        let told = silent.map(|s| s.1.min(came)).fold(told, f64::max);
        if came > told + TOLD + DRAIN_GRACE + SLACK {
            let words = format!("a {} came to w{worker}, which was drained at {from:.1} s", run.path);
            found.push(Broken { rule: Rule::Drains, at: came, words });
        }
    }
    found
}

fn cold(runs: &[Run], done: &Done, working: &Working, since: &dyn Fn(Instant) -> f64) -> Vec<Broken> {
    let mut found = Vec::new();
    // One that takes any number at once counts as one core: so much settings allow it, whatever it stands.
    let pace = working.slots.max(1) as f64 / working.work.as_secs_f64();
    for (worker, started) in &done.cold {
        let warm = started + working.warm_within.as_secs_f64();
        let here = runs.iter().filter(|r| r.worker == *worker && !r.turned_away).map(|r| since(r.came));
        let came: Vec<f64> = here.filter(|at| (*started..warm).contains(at)).collect();
        for at in &came {
            let count = came.iter().filter(|other| (at - FALL..=*at).contains(*other)).count() as f64;
            let age = std::time::Duration::from_secs_f64(at - started);
            let most = OVERLOAD * pace * working.can(age) * FALL;
            // What chance may add, as the users reckon it.
            let bears = most + 3.0 * most.sqrt() + 3.0;
            if count > bears {
                let words = format!("{count} tasks to w{worker} within {FALL} s, {bears:.0} at most");
                found.push(Broken { rule: Rule::Cold, at: *at, words });
                break;
            }
        }
    }
    found
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    fn run(path: &str, mark: &str, worker: usize, at: f64, began: Instant) -> Run {
        let came = began + Duration::from_secs_f64(at);
        let (path, mark) = (path.to_owned(), mark.to_owned());
        Run { worker, path, id: mark.clone(), mark, came, turned_away: false, began: Some(came), ended: None }
    }

    fn found(runs: &[Run], ends: &[Ended], done: &Done, began: Instant) -> Vec<Rule> {
        let warm_within = Duration::from_secs(9);
        let work = Duration::from_millis(100);
        let working = Working { slots: 2, cold_from: 0.3, warm_within, ..Working::taking(work) };
        judge(runs, ends, done, &working, 2, began).into_iter().map(|b| b.rule).collect()
    }

    #[test]
    fn effects_that_are_taken_twice_are_found_by_their_kind() {
        let began = Instant::now();
        let of = |runs: &[(&str, usize, f64)]| {
            let runs: Vec<Run> = runs.iter().map(|r| run(r.0, "m", r.1, r.2, began)).collect();
            found(&runs, &[], &Done::default(), began)
        };
        assert_eq!(of(&[("search", 0, 1.0), ("search", 1, 1.2)]), []);
        assert_eq!(of(&[("bid", 0, 1.0)]), []);
        assert_eq!(of(&[("bid", 0, 1.0), ("bid", 0, 1.2)]), [Rule::Twice]);
        // In the same zone and time repeats are dropped.
        assert_eq!(of(&[("order", 0, 1.0), ("order", 2, 3.9)]), []);
        assert_eq!(of(&[("order", 0, 1.0), ("order", 2, 4.9)]), [Rule::Twice]);
        assert_eq!(of(&[("order", 0, 1.0), ("order", 1, 1.1)]), [Rule::Twice]);
        let mut away = run("bid", "m", 0, 1.0, began);
        away.began = None;
        assert_eq!(found(&[away, run("bid", "m", 1, 1.1, began)], &[], &Done::default(), began), []);
    }

    #[test]
    fn tasks_without_an_answer_are_found_where_nobody_is_excused() {
        let began = Instant::now();
        let end = |end, by: Option<usize>, from: f64, to: f64| {
            let (due, done) = ((from * 1e6) as u64, (to * 1e6) as u64);
            Ended { workload: 1, due, sent: due, done, end, again: 0, by: by.map(|n| (n, 7, due)) }
        };
        let mut done = Done::default();
        done.trouble(1, 5.0);
        done.serves(1, 8.0);
        let of = |e: Ended| found(&[], &[e], &done, began).len();
        assert_eq!(of(end(End::TimedOut, Some(0), 5.0, 9.0)), 1);
        assert_eq!(of(end(End::Broken, Some(1), 9.5, 9.6)), 1);
        assert_eq!(of(end(End::Broken, Some(1), 4.0, 5.1)), 0);
        assert_eq!(of(end(End::TimedOut, Some(1), 8.5, 12.0)), 0, "it had just come back");
        assert_eq!(of(end(End::Bounced, Some(0), 1.0, 1.1)), 0);
        assert_eq!(of(end(End::Refused, None, 1.0, 1.1)), 0, "nobody served");
        // By its last try, which a bounce may have come before.
        let tried = Ended { again: 1, by: Some((0, 7, 1_199_000)), ..end(End::Broken, None, 1.0, 1.2) };
        assert_eq!(of(tried), 0);
        // A close between two tasks may cross one, but not one that had been read, nor one that was held.
        let crossed = end(End::Broken, Some(0), 1.0, 1.001);
        assert_eq!(of(crossed), 0);
        let mut taken = run("bid", "m", 0, 1.0, began);
        taken.id = "0000000000000007".into();
        assert_eq!(found(&[taken], &[crossed], &done, began), [Rule::Answers]);
        assert_eq!(of(end(End::Broken, Some(0), 1.0, 1.2)), 1);
    }

    #[test]
    fn what_comes_to_a_drained_worker_is_found_once_all_know() {
        let began = Instant::now();
        let mut done = Done::default();
        done.drains(1, 10.0);
        let of = |done: &Done, at| found(&[run("search", "", 1, at, began)], &[], done, began).len();
        assert_eq!((of(&done, 16.0), of(&done, 17.0)), (0, 1));
        assert_eq!(found(&[run("search", "", 0, 17.0, began)], &[], &done, began), []);
        done.list(false, 5.0);
        assert_eq!(of(&done, 30.0), 0, "nobody can have been told");
        done.list(true, 12.0);
        assert_eq!((of(&done, 18.0), of(&done, 19.0)), (0, 1));
        done.unaware.push(15.0);
        assert_eq!((of(&done, 20.0), of(&done, 22.0)), (0, 1));
        done.ends(1, 18.0);
        assert_eq!(of(&done, 22.0), 0, "another process serves there");
    }

    #[test]
    fn a_cold_worker_that_gets_too_much_is_found() {
        let began = Instant::now();
        let done = Done { cold: vec![(0, 10.0)], ..Done::default() };
        // Two slots and tasks of 0.1 s: 20 a second warm, 6 at first; three times that for three seconds.
        let of = |rate: f64, from: f64| {
            let count = (rate * 3.0) as usize;
            let at = |n: usize| from + n as f64 / rate;
            let runs: Vec<Run> = (0..count).map(|n| run("search", "", 0, at(n), began)).collect();
            found(&runs, &[], &done, began)
        };
        assert_eq!(of(18.0, 10.0), []);
        assert_eq!(of(60.0, 10.0), [Rule::Cold]);
        assert_eq!(of(60.0, 16.0), [], "nearly warm");
        assert_eq!(of(200.0, 20.0), [], "warm");
    }
}
