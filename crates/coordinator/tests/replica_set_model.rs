//! Every order of events of one shard whose replica set changes beside a loss, exhaustively, in a model that uses the real quorums and the real
//! choice of the next members. From each state that the tolerated loss can reach, events that the survivors can cause lead to a
//! leader that commits; and no leader ever lacks what was acknowledged.
//!
//! A log is what matters of it: the leader that it was last copied from (`epoch`), the replica set with the one before, and the
//! acknowledged commands. A message and what it causes are one event. The time that a detector takes is any.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use rainlug_consensus::{Member, MemberId, Quorums};
use rainlug_coordinator::member_changes::{
    Candidates, MemberCondition, ObservedMember, ReplicaSetSizes, ReturningStore, next_members,
};

const SIZES: ReplicaSetSizes = ReplicaSetSizes { min: 2, target: 3 };
/// Disks that an entry must be on.
const MIN_REPLICAS: usize = 2;
/// States of one scenario, at most: a model that grows beyond is wrong.
const MAX_STATES: usize = 3_000_000;

type Disks = BTreeSet<MemberId>;

fn member(id: MemberId) -> Member {
    Member { id, name: id.to_string(), zone: "a".to_owned(), address: ([127, 0, 0, 1], 1).into() }
}

fn members(ids: &Disks) -> Vec<Member> {
    ids.iter().copied().map(member).collect()
}

/// What a disk holds of the shard.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
struct Log {
    /// The election whose leader it was last copied from; the order of "up to date" is by this, then by length.
    epoch: u8,
    /// Changes of the replica set.
    version: u8,
    before: Disks,
    set: Disks,
    commands: u8,
    /// The newest change that is known here to be committed.
    committed: u8,
}

impl Log {
    fn end(&self) -> (u8, u8, u8) {
        (self.epoch, self.version, self.commands)
    }
    fn is_set_committed(&self) -> bool {
        self.version <= self.committed
    }
    /// The sets of which each must agree.
    fn sets(&self) -> Vec<&Disks> {
        let changing = (!self.is_set_committed()).then_some(&self.before);
        std::iter::once(&self.set).chain(changing).collect()
    }
}

/// What others know of a machine that does not answer.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
enum Seen {
    Live,
    Silent,
    Absent,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Store {
    log: Log,
    is_up: bool,
    seen: Seen,
    /// It comes back with its disk.
    comes_back: bool,
    is_retiring: bool,
    is_departing: bool,
}

impl Store {
    fn new(log: Log) -> Self {
        Store {
            log,
            is_up: true,
            seen: Seen::Live,
            comes_back: false,
            is_retiring: false,
            is_departing: false,
        }
    }
}

/// How a store is lost.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Loss {
    /// For good; an empty one comes elsewhere, at some time.
    Dead,
    /// It comes back with its disk, at some time.
    Away,
    /// Its disk; it comes back with an empty one, at some time.
    Wiped,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct State {
    stores: BTreeMap<MemberId, Store>,
    fenced: Disks,
    leader: Option<MemberId>,
    /// The replica set that the configuration's shard knows.
    reported: Disks,
    /// Commands that were acknowledged.
    acknowledged: u8,
    /// The store that may yet be ordered to be emptied, and the one that may yet be told to end.
    to_retire: Option<MemberId>,
    to_end: Option<MemberId>,
    /// Empty stores that are still to come: at the place of a lost disk, or elsewhere.
    to_come: Vec<Option<MemberId>>,
    /// Losses that may yet come, and whether one has.
    losses: u8,
    has_lost: bool,
    next_id: MemberId,
}

/// The mends, which a broken variant lacks.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Rules {
    /// Members report ties of sets that are not reported as committed.
    ties_reported: bool,
    /// A store that is told to end waits until the sets go on without it.
    ends_released: bool,
}

const RULES: Rules = Rules { ties_reported: true, ends_released: true };

struct OneCandidate<'a> {
    state: &'a State,
    /// Which of the possible ones is chosen, and how many there were.
    choice: usize,
    count: Cell<usize>,
}

impl OneCandidate<'_> {
    fn choose(&self, others: &[Member], is_retiring: bool) -> Option<Member> {
        let is_possible = |(id, store): &(&MemberId, &Store)| {
            store.seen == Seen::Live
                && store.is_retiring == is_retiring
                && !store.is_departing
                && !self.state.fenced.contains(id)
                && others.iter().all(|other| other.id != **id)
        };
        let possible: Vec<MemberId> =
            self.state.stores.iter().filter(is_possible).map(|(id, _)| *id).collect();
        self.count.set(possible.len());
        possible.get(self.choice).copied().map(member)
    }
}

impl Candidates for OneCandidate<'_> {
    fn returning(&self, _others: &[Member]) -> Option<ReturningStore> {
        None
    }
    fn best_staying(&self, others: &[Member]) -> Option<Member> {
        self.choose(others, false)
    }
    fn best_retiring(&self, others: &[Member]) -> Option<Member> {
        self.choose(others, true).filter(|store| !self.state.is_emptied(store.id))
    }
}

impl State {
    /// A set whose first two members have what was acknowledged, and the others do not yet; and spare stores.
    fn new(set: &[MemberId], spares: &[MemberId]) -> Self {
        let set: Disks = set.iter().copied().collect();
        let log = |commands| Log { set: set.clone(), commands, epoch: commands, ..Log::default() };
        let mut stores: BTreeMap<MemberId, Store> =
            set.iter().zip(0..).map(|(id, nth)| (*id, Store::new(log(u8::from(nth < 2))))).collect();
        stores.extend(spares.iter().map(|id| (*id, Store::new(Log::default()))));
        let leader = set.first().copied();
        let next_id = stores.keys().max().map_or(1, |id| id + 1);
        State {
            stores,
            fenced: Disks::new(),
            leader,
            reported: set,
            acknowledged: 1,
            to_retire: None,
            to_end: None,
            to_come: vec![],
            losses: 1,
            has_lost: false,
            next_id,
        }
    }

    fn up(&self) -> impl Iterator<Item = (MemberId, &Store)> {
        self.stores.iter().filter(|(_, store)| store.is_up).map(|(id, store)| (*id, store))
    }

    fn is_up(&self, id: MemberId) -> bool {
        self.stores.get(&id).is_some_and(|store| store.is_up)
    }

    /// Whether a retiring store may have been taken away.
    fn is_emptied(&self, id: MemberId) -> bool {
        !self.reported.contains(&id)
    }

    fn is_quorum(&self, set: &Disks, agrees: impl Fn(MemberId) -> bool) -> bool {
        Quorums::new(&members(set), &self.fenced).is_met(agrees)
    }

    /// Whether an entry of this leader's log that these have is committed.
    fn is_committed_by(&self, log: &Log, has: impl Fn(MemberId) -> bool) -> bool {
        if log.is_set_committed() {
            let required = (log.set.len() / 2 + 1).max(MIN_REPLICAS.min(log.set.len()));
            return log.set.iter().filter(|id| has(**id)).count() >= required;
        }
        let either: Disks = log.set.union(&log.before).copied().collect();
        log.sets().into_iter().all(|set| self.is_quorum(set, &has))
            && either.iter().filter(|id| has(**id)).count() >= MIN_REPLICAS.min(log.set.len())
    }

    /// A leader has what was acknowledged, and can commit with those that are up.
    fn is_served(&self) -> bool {
        let Some(leader) = self.leader.and_then(|id| self.stores.get(&id)) else { return false };
        self.is_committed_by(&leader.log, |id| self.is_up(id))
    }

    /// All stands so that the next loss is allowed: the members are up and have all, and nothing is to change.
    fn is_settled(&self) -> bool {
        let Some(leader) = self.leader else { return false };
        let log = &self.stores[&leader].log;
        let is_whole =
            |id: &MemberId| self.stores.get(id).is_some_and(|store| store.is_up && store.log == *log);
        log.is_set_committed()
            && log.set.iter().all(is_whole)
            && self.reported == log.set
            && self.to_come.is_empty()
            && self.stores.values().all(|store| !store.comes_back && !store.is_departing)
            && self.changes().is_empty()
    }

    fn condition(&self, leader: &Log, id: MemberId) -> MemberCondition {
        let Some(store) = self.stores.get(&id).filter(|_| !self.fenced.contains(&id)) else {
            return MemberCondition::Lost;
        };
        match store.seen {
            Seen::Absent => MemberCondition::Absent,
            Seen::Silent => MemberCondition::Away,
            Seen::Live if store.is_departing => MemberCondition::Departing,
            // One that has just died still counts as what it was.
            Seen::Live if store.log.end() == leader.end() => MemberCondition::UpToDate,
            Seen::Live => MemberCondition::Lagging,
        }
    }

    /// The next sets that the leader may choose.
    fn changes(&self) -> Vec<Disks> {
        let Some(leader) = self.leader.filter(|id| self.is_up(*id)) else { return vec![] };
        let log = &self.stores[&leader].log;
        if !log.is_set_committed() {
            return vec![];
        }
        let observe = |id: &MemberId| ObservedMember {
            member: member(*id),
            condition: if *id == leader { MemberCondition::UpToDate } else { self.condition(log, *id) },
            is_retiring: self.stores.get(id).is_some_and(|store| store.is_retiring),
        };
        let observed: Vec<ObservedMember> = log.set.iter().map(observe).collect();
        let (mut found, mut choice, mut count) = (vec![], 0, 1);
        while choice < count {
            let candidates = OneCandidate { state: self, choice, count: Cell::new(1) };
            if let Some(next) = next_members(&observed, SIZES, &candidates) {
                found.push(next.iter().map(|member| member.id).collect());
            }
            count = candidates.count.get();
            choice += 1;
        }
        found
    }

    /// The members of a set that are not seen, where they are half of it and another store could take their place.
    fn tied(&self, set: &Disks) -> Disks {
        let is_absent = |id: &&MemberId| self.stores.get(id).is_none_or(|store| store.seen != Seen::Live);
        let absent: Disks = set.iter().filter(is_absent).copied().collect();
        let has_spare = self.stores.iter().any(|(id, store)| {
            store.seen == Seen::Live
                && !set.contains(id)
                && !self.fenced.contains(id)
                && (!store.is_retiring || !self.is_emptied(*id))
        });
        if 2 * absent.len() == set.len() && has_spare { absent } else { Disks::new() }
    }

    /// Every state that one event leads to.
    fn next(&self, rules: Rules) -> Vec<State> {
        let mut next = self.loss_events();
        next.extend(self.detector_events());
        next.extend(self.elections());
        next.extend(self.leader_events());
        next.extend(self.fences(rules));
        next.extend(self.orders(rules));
        next.into_iter().map(State::canonical).collect()
    }

    fn loss_events(&self) -> Vec<State> {
        let mut next = vec![];
        // The first comes at any moment, the next one once all is repaired.
        if self.losses > 0 && (!self.has_lost || self.is_settled()) {
            for (id, _) in self.up() {
                next.extend([Loss::Dead, Loss::Away, Loss::Wiped].map(|loss| self.lose(id, loss)));
            }
        }
        next
    }

    fn lose(&self, id: MemberId, loss: Loss) -> State {
        let mut after = self.clone();
        (after.losses, after.has_lost) = (after.losses - 1, true);
        after.leader = after.leader.filter(|leader| *leader != id);
        let store = after.stores.get_mut(&id).expect("it is there");
        (store.is_up, store.comes_back, store.is_departing) = (false, loss == Loss::Away, false);
        match loss {
            Loss::Away => {}
            Loss::Dead => after.to_come.push(None),
            Loss::Wiped => after.to_come.push(Some(id)),
        }
        after
    }

    /// Machines are found to be silent, and come back, or empty ones in their place.
    fn detector_events(&self) -> Vec<State> {
        let mut next = vec![];
        for (id, store) in self.stores.iter().filter(|(_, store)| !store.is_up) {
            let mut change = |change: &dyn Fn(&mut Store)| {
                let mut after = self.clone();
                change(after.stores.get_mut(id).expect("it is there"));
                next.push(after);
            };
            match store.seen {
                Seen::Live => change(&|store| store.seen = Seen::Silent),
                Seen::Silent => change(&|store| store.seen = Seen::Absent),
                Seen::Absent => {}
            }
            if store.comes_back {
                change(&|store| (store.is_up, store.seen, store.comes_back) = (true, Seen::Live, false));
            }
        }
        for (nth, lost) in self.to_come.iter().enumerate() {
            let mut after = self.clone();
            after.to_come.remove(nth);
            // What registers at its place shows that the disk is gone, and has its orders. At another place nothing shows that.
            let replaced = lost.and_then(|lost| after.stores.remove(&lost));
            let is_retiring = replaced.is_some_and(|store| store.is_retiring);
            after.fenced.extend(lost);
            let id = after.next_id;
            after.next_id += 1;
            after.stores.insert(id, Store { is_retiring, ..Store::new(Log::default()) });
            next.push(after);
        }
        next
    }

    fn elections(&self) -> Vec<State> {
        let mut next = vec![];
        for (id, store) in self.up() {
            let sets = store.log.sets();
            let is_member = sets.iter().any(|set| set.contains(&id));
            let votes = |voter| self.is_up(voter) && self.stores[&voter].log.end() <= store.log.end();
            let is_elected = is_member && sets.iter().all(|set| self.is_quorum(set, votes));
            if self.leader == Some(id) {
                continue;
            }
            // Whoever is asked for a vote says whether it knows the newest change to be committed.
            let knows = |voter: &MemberId| {
                self.stores.get(voter).is_some_and(|other| {
                    let its = &other.log;
                    other.is_up
                        && its.set == store.log.set
                        && its.version == store.log.version
                        && its.is_set_committed()
                })
            };
            if !store.log.is_set_committed() && sets.iter().any(|set| set.iter().any(knows)) {
                let mut after = self.clone();
                let own = &mut after.stores.get_mut(&id).expect("it is there").log;
                own.committed = own.version;
                next.push(after);
            }
            if !is_elected {
                continue;
            }
            let mut after = self.clone();
            let epoch = after.stores.values().map(|store| store.log.epoch).max().unwrap_or(0) + 1;
            after.stores.get_mut(&id).expect("it is there").log.epoch = epoch;
            after.leader = Some(id);
            next.push(after);
        }
        next
    }

    /// The leader copies its log to a member, commits, changes the replica set, or reports it.
    fn leader_events(&self) -> Vec<State> {
        let Some(leader) = self.leader.filter(|id| self.is_up(*id)) else { return vec![] };
        let log = &self.stores[&leader].log;
        let mut next = vec![];
        let either: Disks = log.sets().into_iter().flatten().copied().collect();
        let lacks = |id: &&MemberId| {
            self.is_up(**id) && self.stores[id].log.end() != log.end()
                || self.is_up(**id) && self.stores[id].log.committed < log.committed
        };
        for id in either.iter().filter(lacks) {
            let mut after = self.clone();
            let its = &mut after.stores.get_mut(id).expect("it is there").log;
            // What is known to be committed stays so.
            let committed = its.committed.max(log.committed);
            *its = Log { committed, ..log.clone() };
            next.push(after);
        }
        let has = |id| self.is_up(id) && self.stores[&id].log.end() == log.end();
        if !log.is_set_committed() && self.is_committed_by(log, has) {
            let mut after = self.clone();
            let own = &mut after.stores.get_mut(&leader).expect("it is there").log;
            own.committed = own.version;
            let own = own.clone();
            // Those that had the entry are told at once, or not: both are followed. A leader that is not a member steps down.
            let mut told = after.clone();
            for id in either.iter().filter(|id| has(**id)) {
                told.stores.get_mut(id).expect("it is there").log = own.clone();
            }
            for state in [&mut after, &mut told] {
                state.leader = state.leader.filter(|leader| own.set.contains(leader));
            }
            next.extend([after, told]);
        }
        for set in self.changes() {
            let mut after = self.clone();
            let own = &mut after.stores.get_mut(&leader).expect("it is there").log;
            own.before = std::mem::replace(&mut own.set, set);
            own.version += 1;
            next.push(after);
        }
        if self.is_durable() && self.reported != log.set {
            next.push(State { reported: log.set.clone(), ..self.clone() });
        }
        next
    }

    /// Whether enough members have the set, and know that it is committed.
    fn is_durable(&self) -> bool {
        let Some(leader) = self.leader.filter(|id| self.is_up(*id)) else { return false };
        let log = &self.stores[&leader].log;
        let knows = |id: &&MemberId| {
            self.stores.get(id).is_some_and(|store| {
                let its = &store.log;
                its.set == log.set && its.version == log.version && its.committed == log.version
            })
        };
        let required = (log.set.len() / 2 + 1).max(MIN_REPLICAS.min(log.set.len()));
        log.is_set_committed() && log.set.iter().filter(knows).count() >= required
    }

    fn fences(&self, rules: Rules) -> Vec<State> {
        let mut sets: BTreeSet<&Disks> = BTreeSet::from([&self.reported]);
        if rules.ties_reported {
            sets.extend(self.up().flat_map(|(_, store)| store.log.sets()));
        }
        let fenced = sets.into_iter().map(|set| self.tied(set)).filter(|tied| !tied.is_subset(&self.fenced));
        let mut next: Vec<State> = fenced
            .map(|tied| State { fenced: self.fenced.union(&tied).copied().collect(), ..self.clone() })
            .collect();
        // A fenced disk that no set lists goes on as an empty one.
        for (id, _) in self.up().filter(|(id, _)| self.fenced.contains(id) && !self.reported.contains(id)) {
            let mut after = self.clone();
            let old = after.stores.remove(&id).expect("it is there");
            after.leader = after.leader.filter(|leader| *leader != id);
            let new = Store { is_retiring: old.is_retiring, ..Store::new(Log::default()) };
            after.stores.insert(after.next_id, new);
            after.next_id += 1;
            next.push(after);
        }
        next
    }

    /// Orders of the operator, and what follows from them: one store is emptied and taken away, one is told to end and ends.
    fn orders(&self, rules: Rules) -> Vec<State> {
        let mut next = vec![];
        if let Some(id) = self.to_retire.filter(|id| self.stores.contains_key(id)) {
            let mut after = State { to_retire: None, ..self.clone() };
            after.stores.get_mut(&id).expect("it is there").is_retiring = true;
            next.push(after);
        }
        for (id, _) in self.up().filter(|(id, store)| store.is_retiring && !self.reported.contains(id)) {
            let mut after = self.clone();
            after.stores.remove(&id);
            after.leader = after.leader.filter(|leader| *leader != id);
            next.push(after);
        }
        if let Some(id) = self.to_end.filter(|id| self.is_up(*id)) {
            let mut after = State { to_end: None, ..self.clone() };
            after.stores.get_mut(&id).expect("it is there").is_departing = true;
            next.push(after);
        }
        for (id, _) in self.up().filter(|(_, store)| store.is_departing) {
            let is_left_out = self.is_durable()
                && self
                    .leader
                    .is_some_and(|leader| leader != id && !self.stores[&leader].log.set.contains(&id));
            if is_left_out || !rules.ends_released {
                let mut after = self.clone();
                after.leader = after.leader.filter(|leader| *leader != id);
                let store = after.stores.get_mut(&id).expect("it is there");
                // It tells its peers.
                (store.is_up, store.is_departing, store.seen) = (false, false, Seen::Silent);
                next.push(after);
            }
        }
        next
    }

    /// The same state with the smallest numbers: only the order of elections and of changes matters.
    fn canonical(mut self) -> Self {
        let rank = |values: BTreeSet<u8>| -> BTreeMap<u8, u8> { values.into_iter().zip(0..).collect() };
        let epochs = rank(self.stores.values().map(|store| store.log.epoch).collect());
        let versions =
            rank(self.stores.values().flat_map(|store| [store.log.version, store.log.committed]).collect());
        for store in self.stores.values_mut() {
            let log = &mut store.log;
            (log.epoch, log.version, log.committed) =
                (epochs[&log.epoch], versions[&log.version], versions[&log.committed]);
            if log.is_set_committed() {
                log.before = Disks::new();
            }
        }
        self
    }

    fn violation(&self) -> Option<String> {
        let leader = self.leader.and_then(|id| self.stores.get(&id))?;
        (leader.log.commands < self.acknowledged)
            .then(|| format!("a leader lacks what was acknowledged: {self:?}"))
    }
}

/// What a search found.
struct Found {
    states: usize,
    violation: Option<String>,
    /// A state from which nothing leads to a leader that commits.
    stuck: Option<State>,
}

/// All states that can be reached, and whether each leads to one that is served.
fn search(start: State, rules: Rules) -> Found {
    let start = start.canonical();
    let mut numbers: HashMap<State, usize> = HashMap::from([(start.clone(), 0)]);
    let mut states = vec![start.clone()];
    let mut predecessors: Vec<Vec<usize>> = vec![vec![]];
    let mut queue = VecDeque::from([start]);
    while let Some(state) = queue.pop_front() {
        let from = numbers[&state];
        for after in state.next(rules) {
            if let Some(what) = after.violation() {
                return Found { states: states.len(), violation: Some(what), stuck: None };
            }
            let number = *numbers.entry(after.clone()).or_insert_with(|| {
                states.push(after.clone());
                predecessors.push(vec![]);
                queue.push_back(after);
                states.len() - 1
            });
            predecessors[number].push(from);
            assert!(states.len() <= MAX_STATES, "too many states");
        }
    }
    let mut leads = vec![false; states.len()];
    let mut served: Vec<usize> = (0..states.len()).filter(|number| states[*number].is_served()).collect();
    served.iter().for_each(|number| leads[*number] = true);
    while let Some(number) = served.pop() {
        for &before in &predecessors[number] {
            if !std::mem::replace(&mut leads[before], true) {
                served.push(before);
            }
        }
    }
    let stuck = leads.iter().position(|leads| !leads).map(|number| states[number].clone());
    Found { states: states.len(), violation: None, stuck }
}

#[track_caller]
fn holds(start: State) {
    let found = search(start, RULES);
    println!("{} states", found.states);
    assert_eq!(found.violation, None);
    assert_eq!(found.stuck, None);
}

#[test]
fn given_three_members_when_one_retires_and_one_is_lost_at_any_moment_then_a_leader_commits_again() {
    for retiring in 1..=3 {
        holds(State { to_retire: Some(retiring), ..State::new(&[1, 2, 3], &[]) });
    }
}

#[test]
fn given_two_members_and_a_successor_when_one_ends_and_one_is_lost_at_any_moment_then_a_leader_commits_again()
{
    for ending in 1..=2 {
        holds(State { to_end: Some(ending), ..State::new(&[1, 2], &[3]) });
    }
}

#[test]
fn given_three_members_when_one_ends_and_one_is_lost_at_any_moment_then_a_leader_commits_again() {
    for ending in 1..=3 {
        holds(State { to_end: Some(ending), ..State::new(&[1, 2, 3], &[]) });
    }
}

#[test]
fn given_two_members_when_one_is_lost_and_then_another_then_a_leader_commits_again() {
    holds(State { losses: 2, ..State::new(&[1, 2], &[]) });
}

#[test]
fn given_three_members_when_one_is_lost_and_then_another_then_a_leader_commits_again() {
    holds(State { losses: 2, ..State::new(&[1, 2, 3], &[]) });
}

/// Ties that nobody reports are the fault of review/1: the search has to find it.
#[test]
fn given_ties_that_nobody_reports_when_one_retires_and_one_is_lost_then_the_search_finds_a_stuck_state() {
    let start = State { to_retire: Some(2), ..State::new(&[1, 2, 3], &[]) };
    let found = search(start, Rules { ties_reported: false, ..RULES });
    println!("{} states", found.states);
    assert!(found.stuck.is_some());
}

/// A member that ends while the sets still count on it is the fault of review/2: the search has to find it.
#[test]
fn given_a_member_that_ends_unreleased_when_another_is_lost_then_the_search_finds_a_stuck_state() {
    let start = State { to_end: Some(2), ..State::new(&[1, 2], &[3]) };
    let found = search(start, Rules { ends_released: false, ..RULES });
    println!("{} states", found.states);
    assert!(found.stuck.is_some());
}
