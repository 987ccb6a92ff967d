//! What must hold, read off what processes answered and what relays and stand-ins saw. Nothing is asked here: a record is judged,
//! and may be judged again.

use std::collections::BTreeMap;

use rainlug_load::record::{End, Ended};
use serde::{Deserialize, Serialize};

use crate::observe::Sample;
use crate::rules::{Broken, Done, Rule};
use crate::script::{Check, name};
use crate::spent::Spent;

/// No datagram between dispatchers is longer, in bytes.
const LONGEST: usize = 1400;

/// All processes asked once.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Round {
    /// Seconds after the start.
    pub at: f64,
    /// Dispatchers with a process that runs; the same from the first question of the round to the last answer.
    pub running: Vec<usize>,
    pub sure: bool,
    pub samples: Vec<Sample>,
}

/// All that was seen of a run.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Record {
    pub rounds: Vec<Round>,
    /// What was done, and when.
    pub events: Vec<(f64, String)>,
    /// How clients' tasks ended, by dispatcher.
    pub ends: BTreeMap<usize, BTreeMap<End, u64>>,
    /// Dispatchers whose process did not end by itself after SIGTERM, or with an error.
    pub ended_badly: Vec<usize>,
    pub datagrams: u64,
    pub bytes: u64,
    pub lost: u64,
    pub longest: usize,
    /// What of each budget was used at the stand-in workers.
    #[serde(default)]
    pub spent: Vec<Spent>,
    /// Connections opened to the stand-in workers.
    pub connections: u64,
    /// How each task ended, where clients come through a front.
    #[serde(default)]
    pub all: Vec<Ended>,
    /// Tasks that workers began while they were cold, for each start.
    #[serde(default)]
    pub warmed: Vec<u64>,
    #[serde(default)]
    pub done: Done,
    /// Rules that were broken, by what workers and clients saw.
    #[serde(default)]
    pub broken: Vec<Broken>,
    /// Dispatchers were told neither of a fleet nor of budgets.
    #[serde(default)]
    pub apart: bool,
    /// The machine did not keep the load's schedule.
    pub schedule_missed: bool,
}

/// How a check came out.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Verdict {
    pub check: String,
    pub held: bool,
    /// When it was first seen to hold, or not to.
    pub at: f64,
    pub words: String,
}

fn names(of: &[usize]) -> String {
    of.iter().map(|n| name(*n)).collect::<Vec<_>>().join(" ")
}

/// Whether no more than the whole of a budget was used at any moment.
fn within(spent: &Spent) -> Verdict {
    let first = spent.over.first().copied();
    Verdict {
        check: format!("never over the whole of {}", spent.name),
        held: first.is_none(),
        at: first.map_or(0.0, |f| f.0),
        words: first.map_or(format!("at most {:.1}", spent.most), |(_, by)| {
            format!("over by {by:.1}, {} times in all", spent.over.len())
        }),
    }
}

/// Whether a sample has a dispatcher in a state.
fn has(sample: &Sample, whom: usize, state: &str) -> bool {
    let found = sample.states.get(&name(whom)).map(String::as_str);
    match state {
        "absent" => found.is_none(),
        "not-alive" => found != Some("alive"),
        state => found == Some(state),
    }
}

/// Those of the running that do not hold just the running for alive.
fn at_odds(round: &Round) -> Vec<usize> {
    let mut running: Vec<String> = round.running.iter().map(|n| name(*n)).collect();
    running.sort();
    let agrees = |sample: &Sample| {
        let there = |state: &str| state == "alive" || state == "suspect";
        sample.states.iter().filter(|(_, s)| there(s)).map(|(n, _)| n).eq(running.iter())
    };
    let of = |n: &usize| round.samples.iter().find(|s| s.who == *n);
    round.running.iter().copied().filter(|n| !of(n).is_some_and(agrees)).collect()
}

impl Record {
    /// Judges the script's checks, and those that hold for every run.
    pub fn judge(&self, checks: &[Check]) -> Vec<Verdict> {
        let mut verdicts: Vec<Verdict> = checks.iter().map(|c| self.check(c)).collect();
        if !self.apart {
            verdicts.extend(self.spent.iter().map(within));
            verdicts.extend([self.own(), self.versions(), self.once(), self.datagrams()]);
        }
        verdicts.push(self.vain());
        verdicts.extend(Rule::ALL.map(|rule| self.rule(rule)));
        verdicts.push(self.ends());
        verdicts
    }

    fn within(&self, from: f64, by: f64) -> impl Iterator<Item = &Round> {
        self.rounds.iter().filter(move |r| (from..=by).contains(&r.at))
    }

    fn check(&self, check: &Check) -> Verdict {
        let verdict = |check: String, held: Option<f64>, else_at: f64, words: String| Verdict {
            check,
            held: held.is_some(),
            at: held.unwrap_or(else_at),
            words: if held.is_some() { String::new() } else { words },
        };
        match check {
            Check::Agree { from, by } => {
                let found = self.within(*from, *by).find(|r| r.sure && at_odds(r).is_empty());
                let last = self.within(*from, *by).filter(|r| r.sure).last();
                let words = last.map_or("nobody was asked".into(), |r| {
                    format!("at odds at {:.1} s: {}", r.at, names(&at_odds(r)))
                });
                verdict(format!("agree from {from} by {by}"), found.map(|r| r.at), *by, words)
            }
            Check::Sees { who, whom, state, from, by } => {
                let lacking = |round: &Round| -> Vec<usize> {
                    let sees = |n: &usize| {
                        let sample = round.samples.iter().find(|s| s.who == *n);
                        sample.is_some_and(|s| whom.iter().all(|w| w == n || has(s, *w, state)))
                    };
                    who.iter().copied().filter(|n| !sees(n)).collect()
                };
                let found = self.within(*from, *by).find(|r| lacking(r).is_empty());
                let last = self.within(*from, *by).last().map(lacking).unwrap_or_default();
                let text = format!("{} see {} {state} from {from} by {by}", names(who), names(whom));
                verdict(text, found.map(|r| r.at), *by, format!("not seen by {}", names(&last)))
            }
            Check::Never { who, whom, state, from, by } => {
                let seen = self.within(*from, *by).find_map(|r| {
                    let by: Vec<usize> = r
                        .samples
                        .iter()
                        .filter(|s| who.contains(&s.who) && whom.iter().any(|w| has(s, *w, state)))
                        .map(|s| s.who)
                        .collect();
                    (!by.is_empty()).then_some((r.at, by))
                });
                let text = format!("{} never see {} {state} from {from} by {by}", names(who), names(whom));
                let asked = self.within(*from, *by).next().is_some();
                match seen {
                    Some((at, by)) => verdict(text, None, at, format!("seen by {}", names(&by))),
                    None => verdict(text, asked.then_some(*by), *by, "nobody was asked".into()),
                }
            }
            Check::Used { budget, part, from, by } | Check::Unused { budget, part, from, by } => {
                let used = self.spent.iter().find(|s| s.name == *budget).map_or(0.0, |s| s.used(*from, *by));
                let least = matches!(check, Check::Used { .. });
                let held = if least { used >= *part } else { used <= *part };
                let words = if least { "at least" } else { "at most" };
                // Told also where it holds: it is a measurement.
                Verdict {
                    check: format!("{words} {part} of {budget} used from {from} by {by}"),
                    held,
                    at: *by,
                    words: format!("{used:.3}"),
                }
            }
            Check::Finished { part } => {
                let (mut done, mut all) = (0, 0);
                for (end, count) in self.ends.values().flatten() {
                    all += count;
                    done += if *end == End::Finished { *count } else { 0 };
                }
                let held = all > 0 && done as f64 >= part * all as f64;
                verdict(
                    format!("finished {part}"),
                    held.then_some(0.0),
                    0.0,
                    format!("{done} of {all} tasks"),
                )
            }
        }
    }

    /// A check of each sample; the first that fails it.
    fn each(&self, check: &str, mut fails: impl FnMut(&Sample) -> Option<String>) -> Verdict {
        for round in &self.rounds {
            if let Some((who, words)) = round.samples.iter().find_map(|s| Some((s.who, fails(s)?))) {
                let words = format!("{}: {words}", name(who));
                return Verdict { check: check.to_owned(), held: false, at: round.at, words };
            }
        }
        let asked = self.rounds.iter().any(|r| !r.samples.is_empty());
        let words = if asked { "" } else { "nobody answered" };
        Verdict { check: check.to_owned(), held: asked, at: 0.0, words: words.into() }
    }

    fn own(&self) -> Verdict {
        self.each("none calls itself gone", |s| {
            let own = s.states.get(&name(s.who)).map_or("absent", String::as_str);
            (own != "alive" && own != "left").then(|| format!("it calls itself {own}"))
        })
    }

    fn versions(&self) -> Verdict {
        let mut last: BTreeMap<String, u64> = BTreeMap::new();
        self.each("versions only grow", |s| {
            let before = last.insert(s.process.clone(), s.version).unwrap_or(0);
            (s.version < before).then(|| format!("{} after {before}", s.version))
        })
    }

    fn once(&self) -> Verdict {
        self.each("each dispatcher counts once", |s| {
            s.doubled.first().map(|d| format!("{d} is listed twice"))
        })
    }

    fn whole(check: &str, held: bool, words: String) -> Verdict {
        Verdict { check: check.to_owned(), held, at: 0.0, words: if held { String::new() } else { words } }
    }

    fn datagrams(&self) -> Verdict {
        let held = self.datagrams > 0 && self.longest <= LONGEST;
        Self::whole(
            "no datagram over 1400 bytes",
            held,
            format!("{} datagrams, the longest {}", self.datagrams, self.longest),
        )
    }

    /// Where each dispatcher has clients of its own: an answer in time at those that nothing happened to.
    fn vain(&self) -> Verdict {
        let waits = |(n, ends): (&usize, &BTreeMap<End, u64>)| {
            // Through a front each task's own end is judged.
            let vain = self.all.is_empty()
                && ends.get(&End::TimedOut).is_some_and(|c| *c > 0)
                && !self.done.troubled.iter().any(|t| t.0 == *n);
            vain.then_some(*n)
        };
        let vain: Vec<usize> = self.ends.iter().filter_map(waits).collect();
        Self::whole(
            "no client waits in vain",
            vain.is_empty(),
            format!("clients waited in vain at {}", names(&vain)),
        )
    }

    fn rule(&self, rule: Rule) -> Verdict {
        let mut broken = self.broken.iter().filter(|b| b.rule == rule);
        let first = broken.next();
        let words = first.map_or(String::new(), |b| format!("{}, and {} more", b.words, broken.count()));
        Verdict {
            check: rule.text().to_owned(),
            held: first.is_none(),
            at: first.map_or(0.0, |b| b.at),
            words,
        }
    }

    fn ends(&self) -> Verdict {
        let words = format!("{} did not end well after SIGTERM", names(&self.ended_badly));
        Self::whole("processes end in order", self.ended_badly.is_empty(), words)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sample(who: usize, version: u64, states: &[(&str, &str)]) -> Sample {
        let states = states.iter().map(|(n, s)| (n.to_string(), s.to_string())).collect();
        Sample { who, process: format!("p{who}"), version, states, ..Sample::default() }
    }

    /// Two dispatchers that agree all the time.
    fn record() -> Record {
        let both = [("d0", "alive"), ("d1", "alive")];
        let round = |at: f64| {
            let samples = vec![sample(0, 3 + at as u64, &both), sample(1, 4, &both)];
            Round { at, running: vec![0, 1], sure: true, samples }
        };
        let ends = BTreeMap::from([(0, BTreeMap::from([(End::Finished, 9), (End::Bounced, 1)]))]);
        let rounds = (0..10).map(|n| round(f64::from(n))).collect();
        Record { rounds, ends, datagrams: 5, longest: 1400, ..Record::default() }
    }

    fn failing(record: &Record, checks: &[Check]) -> Vec<String> {
        let verdicts = record.judge(checks);
        verdicts
            .into_iter()
            .filter(|v| !v.held)
            .map(|v| format!("{:.0} {}: {}", v.at, v.check, v.words))
            .collect()
    }

    #[test]
    fn what_is_in_order_passes_and_each_faked_answer_is_found() {
        let checks = [
            Check::Agree { from: 2.0, by: 5.0 },
            Check::Sees { who: vec![0], whom: vec![1], state: "alive".into(), from: 0.0, by: 9.0 },
            Check::Never { who: vec![0, 1], whom: vec![0, 1], state: "not-alive".into(), from: 0.0, by: 9.0 },
            Check::Finished { part: 0.9 },
        ];
        assert_eq!(failing(&record(), &checks), Vec::<String>::new());
        let faked = |change: &dyn Fn(&mut Record), words: &str| {
            let mut record = record();
            change(&mut record);
            let found = failing(&record, &checks);
            assert!(found.iter().any(|line| line.contains(words)), "{words} in {found:?}");
        };
        let at = |r: &mut Record, n: usize, name: &str, state: &str| {
            r.rounds[n].samples[0].states.insert(name.into(), state.into());
        };
        faked(&|r| (0..10).for_each(|n| at(r, n, "d1", "gone")), "5 agree from 2 by 5: at odds at 5.0 s: d0");
        faked(
            &|r| (0..10).for_each(|n| at(r, n, "d2", "alive")),
            "5 agree from 2 by 5: at odds at 5.0 s: d0",
        );
        faked(&|r| r.rounds.iter_mut().for_each(|r| r.sure = false), "agree from 2 by 5: nobody was asked");
        faked(
            &|r| r.rounds.iter_mut().for_each(|r| drop(r.samples.remove(0))),
            "d0 see d1 alive from 0 by 9: not seen by d0",
        );
        faked(&|r| at(r, 7, "d1", "suspect"), "7 d0 d1 never see d0 d1 not-alive from 0 by 9: seen by d0");
        faked(&|r| r.ends.entry(1).or_default().extend([(End::Refused, 9)]), "finished 0.9: 9 of 19 tasks");
        faked(&|r| at(r, 3, "d0", "gone"), "3 none calls itself gone: d0: it calls itself gone");
        faked(&|r| r.rounds[6].samples[0].version = 2, "6 versions only grow: d0: 2 after 8");
        faked(
            &|r| r.rounds[4].samples[1].doubled = vec!["d0".into()],
            "4 each dispatcher counts once: d1: d0 is listed twice",
        );
        faked(&|r| r.longest = 1401, "no datagram over 1400 bytes");
        faked(&|r| r.datagrams = 0, "no datagram over 1400 bytes");
        let twice = Broken { rule: Rule::Twice, at: 4.0, words: "bid f7".into() };
        faked(&|r| r.broken = vec![twice.clone(); 3], "4 nothing takes effect twice: bid f7, and 2 more");
        faked(&|r| r.ends.entry(1).or_default().extend([(End::TimedOut, 1)]), "clients waited in vain at d1");
        faked(&|r| r.ended_badly = vec![1], "d1 did not end well");
        let spent = |over: &[(f64, f64)]| Spent {
            name: "ledger".into(),
            over: over.to_vec(),
            series: vec![1.0; 20],
            wholes: vec![2.0; 20],
            ..Spent::default()
        };
        faked(
            &|r| r.spent = vec![spent(&[(3.0, 1.0)])],
            "3 never over the whole of ledger: over by 1.0, 1 times in all",
        );
        let used = |least: bool| {
            let (budget, part, from, by) = ("ledger".to_owned(), 0.6, 2.0, 8.0);
            if least {
                Check::Used { budget, part, from, by }
            } else {
                Check::Unused { budget, part, from, by }
            }
        };
        let record = Record { spent: vec![spent(&[])], ..record() };
        assert_eq!(failing(&record, &[used(false)]), Vec::<String>::new());
        assert_eq!(failing(&record, &[used(true)]), ["8 at least 0.6 of ledger used from 2 by 8: 0.500"]);
        faked(&|r| r.rounds.clear(), "none calls itself gone: nobody answered");
    }
}
