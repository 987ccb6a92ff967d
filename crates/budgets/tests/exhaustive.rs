//! The whole protocol at small size, every course of events within stated bounds: three voters of which two may divide, two
//! holders of one occupancy, clocks that are off by as much as they may be. A message once sent may arrive at any later time, any
//! number of times or never; any process may die and come back without memory. No state has more in use, or lent, than the whole.

use std::collections::BTreeSet;

use rainlug_budgets::{Amount, Ask, Budget, Divider, Holder, Kind, Terms, Time, UNIT, Voter, Ways};
use stateright::{Checker, HasDiscoveries, Model, Property};

/// Clocks are looked at once in so long, in microseconds of true time.
const MOMENT: Time = 3000;
/// Off by a third: so little time says much.
const DRIFT: u32 = 333_333;
const KEY: (u16, u64) = (0, 0);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Words {
    Stand { candidate: usize, id: u64, epoch: u32, asked: Time },
    Voice { candidate: usize, voter: u16, epoch: u32, asked: Time },
    Ask { to: usize, holder: usize, id: u64, known: u32, ask: [u64; 5] },
    Hail { holder: usize, id: u64, epoch: u32 },
    Lend { holder: usize, id: u64, epoch: u32, ask: u32, number: u32, amount: Amount },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    moment: u8,
    voters: Vec<Voter>,
    dividers: Vec<Divider>,
    holders: Vec<Holder>,
    /// The ids of processes: voters', then holders'.
    ids: [u64; 5],
    known: [u32; 2],
    sent: BTreeSet<Words>,
    stood: [u8; 2],
    asked: [u8; 2],
    /// The number of each holder's last ask.
    last: [u32; 2],
    taken: u8,
    crashed: u8,
    /// What runs: whose it is, and the moment by which it has ended.
    runs: Vec<(u64, u8)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Tick,
    Stand(usize),
    Ask(usize),
    Take(usize),
    Die(usize),
    Arrives(usize, Words),
}

/// How far it is played.
#[derive(Clone)]
struct Small {
    terms: Terms,
    ways: Ways,
    /// Moments in all; how often each may stand, each ask; how many are begun, how many die.
    moments: u8,
    stands: [u8; 2],
    asks: [u8; 2],
    takes: u8,
    deaths: u8,
    /// Who may die: voters' numbers, and holders' after them.
    mortal: std::ops::Range<usize>,
    /// What each clock advances in a moment: voters', then holders'.
    rates: [Time; 5],
}

/// Lengths in moments.
fn terms(drift: u32, grant: Time, lease: Time, longest: Time) -> Terms {
    let names = |all: &[&str]| all.iter().map(|n| n.to_string()).collect::<Vec<_>>();
    let ledger = Budget {
        name: "ledger".into(),
        kind: Kind::Occupancy { longest: longest * MOMENT },
        whole: 3 * UNIT,
        reserve: 2 * UNIT,
    };
    Terms {
        roster: names(&["h0", "h1"]),
        voters: names(&["a", "b", "c"]),
        grant: grant * MOMENT,
        lease: lease * MOMENT,
        drift,
        budgets: vec![ledger],
    }
}

impl Small {
    /// Words that can change nothing any more, whenever they arrive, are lost: states that differ in them alone are one.
    fn forget(&self, state: &mut State) {
        let mut sent = std::mem::take(&mut state.sent);
        sent.retain(|words| match words {
            Words::Stand { candidate, id, asked, .. } => {
                let over = self.local(state, *candidate) >= asked + self.terms.lease;
                state.ids[*candidate] == *id && !over
            }
            Words::Voice { candidate, asked, .. } => {
                state.dividers[*candidate] != Divider::new()
                    && self.local(state, *candidate) < asked + self.terms.lease
            }
            // What a holder kept once is never without meaning for who divides.
            Words::Ask { .. } => true,
            Words::Hail { holder, id, epoch } => {
                state.ids[3 + holder] == *id && state.known[*holder] < *epoch
            }
            Words::Lend { holder, id, ask, .. } => {
                state.ids[3 + holder] == *id && state.last[*holder] == *ask
            }
        });
        state.sent = sent;
    }

    /// The clock of a process: a voter's by its number, a holder's by 3 and its number.
    fn local(&self, state: &State, process: usize) -> Time {
        1_000_000 + Time::from(state.moment) * self.rates[process]
    }
}

impl Model for Small {
    type State = State;
    type Action = Act;

    /// The first has divided for long, by the voices of itself and the third; both holders have had nothing of it yet.
    fn init_states(&self) -> Vec<State> {
        let (terms, long, now) = (&self.terms, 900_000, 1_000_000);
        let mut voters: Vec<Voter> = (0..3).map(|_| Voter::new(terms, now - long)).collect();
        let mut first = Divider::new();
        for at in [now - long / 2, now] {
            // As it renews, its office has no end in between: it is the same epoch.
            let mut renewed = Terms { lease: long, ..terms.clone() };
            let epoch = first.stand(at);
            if at == now {
                renewed.lease = terms.lease;
            }
            for voter in [0, 2] {
                voters[voter].asked(terms, at, 1, epoch).unwrap();
                first.voiced(&renewed, self.ways, at, voter as u16, epoch, at);
            }
        }
        let mut holders: Vec<Holder> = (0..2).map(|_| Holder::new(0, now)).collect();
        holders.iter_mut().for_each(|h| h.owns(terms, now, now - long));
        let epoch = first.epoch();
        let mut second = Divider::new();
        second.outbid(now, epoch);
        vec![State {
            moment: 0,
            voters,
            dividers: vec![first, second],
            holders,
            ids: [1, 2, 3, 4, 5],
            known: [epoch; 2],
            sent: BTreeSet::new(),
            stood: [0; 2],
            asked: [0; 2],
            last: [0; 2],
            taken: 0,
            crashed: 0,
            runs: Vec::new(),
        }]
    }

    fn actions(&self, state: &State, acts: &mut Vec<Act>) {
        if state.moment < self.moments {
            acts.push(Act::Tick);
        }
        for n in 0..2 {
            // The second may stand; the first only renews.
            let holds = state.dividers[n].holds(self.local(state, n));
            if state.stood[n] < self.stands[n] && (n == 1 || holds) {
                acts.push(Act::Stand(n));
            }
            if state.asked[n] < self.asks[n] {
                acts.push(Act::Ask(n));
            }
            if state.taken < self.takes {
                acts.push(Act::Take(n));
            }
        }
        if state.crashed < self.deaths {
            acts.extend(self.mortal.clone().map(Act::Die));
        }
        for words in &state.sent {
            match words {
                Words::Stand { .. } => acts.extend((0..3).map(|v| Act::Arrives(v, *words))),
                Words::Voice { candidate, .. } => acts.push(Act::Arrives(*candidate, *words)),
                Words::Ask { to, .. } => acts.push(Act::Arrives(*to, *words)),
                Words::Hail { holder, .. } | Words::Lend { holder, .. } => {
                    acts.push(Act::Arrives(3 + holder, *words));
                }
            }
        }
    }

    fn next_state(&self, before: &State, act: Act) -> Option<State> {
        let mut state = before.clone();
        let terms = &self.terms;
        match act {
            Act::Tick => {
                state.moment += 1;
                let over: Vec<(u64, u8)> =
                    state.runs.extract_if(.., |run| run.1 <= before.moment + 1).collect();
                for (id, _) in over {
                    if let Some(n) = (0..2).find(|n| state.ids[3 + n] == id) {
                        state.holders[n].back(MOMENT);
                    }
                }
            }
            Act::Stand(n) => {
                let now = self.local(&state, n);
                state.stood[n] += 1;
                let epoch = state.dividers[n].stand(now);
                state.sent.insert(Words::Stand { candidate: n, id: state.ids[n], epoch, asked: now });
            }
            Act::Ask(n) => {
                let now = self.local(&state, 3 + n);
                state.asked[n] += 1;
                (0..2).for_each(|_| state.holders[n].refuse());
                let mut ask = state.holders[n].ask(terms, now, terms.grant);
                state.last[n] = ask.number;
                if !self.ways.shrinks_first {
                    ask.keeps = 0;
                }
                let ask =
                    [u64::from(ask.number), ask.wants, u64::from(ask.epoch), u64::from(ask.seen), ask.keeps];
                for to in 0..2 {
                    let (id, known) = (state.ids[3 + n], state.known[n]);
                    state.sent.insert(Words::Ask { to, holder: n, id, known, ask });
                }
            }
            Act::Take(n) => {
                let now = self.local(&state, 3 + n);
                state.holders[n].may(terms, now, 0).ok()?;
                state.holders[n].take(terms);
                state.taken += 1;
                let longest = (terms.counted(0) - terms.over(terms.grant)).signum().min(1) as u8;
                state.runs.push((state.ids[3 + n], state.moment + longest));
                state.runs.sort();
            }
            Act::Die(n) => {
                let now = self.local(&state, n);
                state.crashed += 1;
                state.ids[n] += 10;
                if n < 3 {
                    let long = if self.ways.voters_wait { 0 } else { 900_000 };
                    state.voters[n] = Voter::new(terms, now - long);
                    if n < 2 {
                        // What a voter would tell it of the epochs so far.
                        state.dividers[n] = Divider::new();
                        state.dividers[n].outbid(now, before.dividers[n].epoch());
                    }
                } else {
                    state.holders[n - 3] = Holder::new(0, now);
                    let before = if self.ways.dead_expire { now } else { now - 900_000 };
                    state.holders[n - 3].owns(terms, now, before);
                    (state.known[n - 3], state.last[n - 3]) = (0, 0);
                }
            }
            Act::Arrives(to, words) => {
                let now = self.local(&state, to);
                match words {
                    Words::Stand { candidate, id, epoch, asked } => {
                        state.voters[to].asked(terms, now, id, epoch).ok()?;
                        state.sent.insert(Words::Voice { candidate, voter: to as u16, epoch, asked });
                    }
                    Words::Voice { voter, epoch, asked, .. } => {
                        let held = state.dividers[to].holds(now);
                        state.dividers[to].voiced(terms, self.ways, now, voter, epoch, asked);
                        if !held && state.dividers[to].holds(now) {
                            // It tells all.
                            for holder in 0..2 {
                                state.sent.insert(Words::Hail { holder, id: state.ids[3 + holder], epoch });
                            }
                        }
                    }
                    Words::Ask { holder, id, known, ask, .. } => {
                        let divider = &mut state.dividers[to];
                        let epoch = divider.epoch();
                        if !divider.holds(now) {
                            return None;
                        }
                        if known != epoch && self.ways.known {
                            state.sent.insert(Words::Hail { holder, id, epoch });
                        } else {
                            let [number, wants, its, seen, keeps] = ask;
                            let (number, its, seen) = (number as u32, its as u32, seen as u32);
                            let told = Ask { number, wants, epoch: its, seen, keeps };
                            let lent = divider.lend(terms, now, KEY, (holder as u16, id), epoch, told);
                            if let Some((nth, amount)) = lent {
                                let lend =
                                    Words::Lend { holder, id, epoch, ask: number, number: nth, amount };
                                state.sent.insert(lend);
                            }
                        }
                    }
                    Words::Hail { holder, id, epoch } => {
                        if state.ids[3 + holder] != id {
                            return None;
                        }
                        state.known[holder] = state.known[holder].max(epoch);
                    }
                    Words::Lend { holder, id, epoch, ask, number, amount } => {
                        if state.ids[3 + holder] != id {
                            return None;
                        }
                        state.holders[holder].lent(terms, now, epoch, ask, number, amount);
                        state.known[holder] = state.known[holder].max(epoch);
                    }
                }
            }
        }
        self.forget(&mut state);
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never over the whole", |model: &Small, state: &State| {
                let may = |n: usize| {
                    let now = model.local(state, 3 + n);
                    state.holders[n].share(&model.terms, now).max(state.holders[n].in_use())
                };
                // What runs for those that have died, and what the living may have in use.
                let dead = state.runs.iter().filter(|run| !state.ids[3..].contains(&run.0)).count();
                may(0) + may(1) + dead as Amount * UNIT <= model.terms.budgets[0].whole
            }),
            Property::sometimes("the second comes into office", |model: &Small, state: &State| {
                state.dividers[1].holds(model.local(state, 1))
            }),
            Property::sometimes("the second lends", |_, state: &State| state.dividers[1].out(KEY) > 0),
            Property::sometimes("something is lent", |model: &Small, state: &State| {
                (0..2).any(|n| state.holders[n].granted(model.local(state, 3 + n)) > 0)
            }),
        ]
    }
}

/// With each moment a length of time that is counted in moments is over.
const EXACT: [Time; 5] = [MOMENT + 2; 5];
/// The divider and the first holder are slow, all others fast.
const APART: [Time; 5] = [2000, 4000, 4000, 2000, 4000];

/// Large bounds take minutes and some gigabytes: with `RAINLUG_EXHAUSTIVE` set.
fn large() -> bool {
    std::env::var_os("RAINLUG_EXHAUSTIVE").is_some()
}

/// All states, or those up to the first that is over.
fn played(model: Small) -> impl Checker<Small> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let failures = HasDiscoveries::AnyFailures;
    model.checker().threads(threads).finish_when(failures).spawn_dfs().join()
}

/// Offices and grants, with clocks apart, and nobody dies.
fn offices(ways: Ways, rates: [Time; 5]) -> Small {
    let terms = terms(if ways.drift { DRIFT } else { 0 }, 1, 2, 0);
    let (stands, moments) = if large() { ([0, 2], 8) } else { ([0, 1], 6) };
    Small { terms, ways, moments, stands, asks: [1, 1], takes: 0, deaths: 0, mortal: 0..0, rates }
}

/// A voter dies, or a candidate.
fn deaths(ways: Ways) -> Small {
    let (stands, moments) = if large() { ([1, 1], 6) } else { ([0, 1], 5) };
    Small { deaths: 1, mortal: 0..3, moments, stands, ..offices(ways, EXACT) }
}

/// Holders begin something and die.
fn occupied(ways: Ways) -> Small {
    let terms = terms(DRIFT, 1, 2, 1);
    Small { terms, stands: [0, 0], takes: 3, deaths: 1, mortal: 3..5, ..offices(ways, EXACT) }
}

/// The same holder asks again and again.
fn again(ways: Ways) -> Small {
    Small { stands: [0, 0], asks: [3, 2], moments: 4, ..offices(ways, EXACT) }
}

/// Grants outlast an office; clocks run true, and are trusted.
fn succession(ways: Ways) -> Small {
    let terms = terms(0, 2, 1, 0);
    let (stands, moments) = if large() { ([0, 3], 5) } else { ([0, 1], 4) };
    Small { terms, moments, stands, ..offices(ways, EXACT) }
}

#[test]
fn no_state_is_over_the_whole() {
    let on = Ways::default();
    let models = [
        ("offices", offices(on, EXACT)),
        ("clocks apart", offices(on, APART)),
        ("deaths", deaths(on)),
        ("occupied", occupied(on)),
        ("asks again", again(on)),
        ("succession", succession(on)),
    ];
    for (name, model) in models {
        let done = played(model);
        println!("{name}: {} states, depth {}", done.unique_state_count(), done.max_depth());
        assert!(done.is_done());
        let over = done.discovery("never over the whole");
        assert!(over.is_none(), "{name}: {:?}", over.map(|path| path.into_actions()));
        assert!(done.discovery("something is lent").is_some(), "{name}");
        let stands = !["occupied", "asks again"].contains(&name);
        assert_eq!(done.discovery("the second comes into office").is_some(), stands, "{name}");
    }
}

#[test]
fn each_safeguard_taken_out_is_found_missing() {
    let on = Ways::default();
    let models = [
        ("drift", offices(Ways { drift: false, ..on }, APART)),
        ("a divider's wait", succession(Ways { dividers_wait: false, ..on })),
        ("voters' wait", deaths(Ways { voters_wait: false, dividers_wait: false, ..on })),
        ("expiry of the dead", occupied(Ways { dead_expire: false, ..on })),
        ("shrink before grow", again(Ways { shrinks_first: false, ..on })),
    ];
    for (name, model) in models {
        let done = played(model);
        println!("without {name}: after {} states", done.unique_state_count());
        assert!(done.discovery("never over the whole").is_some(), "without {name} nothing is over");
    }
}
