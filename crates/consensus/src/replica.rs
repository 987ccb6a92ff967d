//! Raft's rules, for one replica.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::log::{Entry, Kind, Log, Snapshot};
use crate::quorum::{Quorums, nth_greatest};
use crate::wire::{self, Body, Record};
use crate::{DecodeError, Index, Member, MemberId, Output, Refused, Settings, Term, Time};

/// Messages with entries on their way to one follower, at most.
const MOST_IN_FLIGHT: usize = 8;
/// Entries in one message, at most.
const MOST_ENTRIES: usize = 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
}

/// How a follower is fed.
#[derive(Clone)]
enum Flow {
    /// Asks where the logs part, by messages without entries.
    Probe { asked: bool },
    /// The newest index of each message on its way.
    Replicate { in_flight: VecDeque<Index> },
    /// A piece at a time.
    Snapshot { snapshot: Arc<Snapshot>, offset: u64, sent: bool, moved: bool },
}

#[derive(Clone)]
struct Progress {
    member: Member,
    /// On its disk, up to here.
    matched: Index,
    next: Index,
    flow: Flow,
    /// Up to here it knows, on its disk, that all changes of the group are committed.
    settled: Index,
    heard: Time,
    /// The newest round that it has answered.
    round: u64,
    commit_sent: Index,
}

impl Progress {
    fn new(member: Member, next: Index, flow: Flow, now: Time) -> Self {
        Self { member, matched: 0, settled: 0, next, flow, heard: now, round: 0, commit_sent: 0 }
    }
}

#[derive(Clone)]
struct Read {
    ticket: u64,
    round: u64,
    index: Index,
}

#[derive(Clone)]
struct Incoming {
    leader: MemberId,
    term: Term,
    index: Index,
    total: u64,
    bytes: Vec<u8>,
}

/// What [`Output::changed`] tells of.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Observed {
    leader: Option<MemberId>,
    leads: bool,
    group: Index,
    settled: bool,
}

/// One member's replica of one part.
#[derive(Clone)]
pub struct Replica {
    me: Member,
    settings: Settings,
    chance: ChaCha8Rng,
    /// Of the newest call.
    now: Time,
    role: Role,
    leader: Option<Member>,
    /// When a leader of this term last gave a sign of life.
    leader_heard: Option<Time>,
    /// When to stand.
    deadline: Time,
    term: Term,
    voted: Option<MemberId>,
    /// Of the newest record of term and vote.
    hard_ticket: u64,
    log: Log,
    snapshot: Arc<Snapshot>,
    commit: Index,
    /// Given to the state machine, up to here.
    applied: Index,
    /// Group entries up to here are known to be committed, also where `commit` is not yet.
    settled: Index,
    /// Of the newest record of that.
    settled_ticket: u64,
    /// Saved in this log, up to here.
    stable: Index,
    /// Tickets under way, and up to where they make the log stable.
    unsaved: VecDeque<(u64, Index)>,
    ticket: u64,
    saved: u64,
    /// The founding group is among the records.
    founded: bool,
    /// Weight of the entries given to the state machine since the snapshot.
    weight: usize,
    compact_asked: bool,
    /// The snapshot's state is in memory: it is, while a follower needs it.
    has_state: bool,
    /// A follower needs entries that are not in memory any more.
    state_wanted: bool,
    votes: BTreeSet<MemberId>,
    /// Disks that another group has decided have no part in breaking a tie; only added to.
    fenced: BTreeSet<MemberId>,
    progress: BTreeMap<MemberId, Progress>,
    /// A leader's first entry.
    first: Index,
    heartbeat_due: Time,
    quorum_due: Time,
    /// Everyone gets a message at the next `take`.
    beat: bool,
    round: u64,
    round_wanted: bool,
    reads: Vec<Read>,
    incoming: Option<Incoming>,
    /// Messages that must not go before a ticket is saved.
    held: VecDeque<(u64, Member, Bytes)>,
    output: Output,
    seen: Observed,
}

impl Replica {
    /// A member with nothing saved. `founding` is the first group, the same for all its members; empty for one that waits to be
    /// taken in.
    pub fn new(me: Member, founding: Vec<Member>, settings: Settings, seed: u64, now: Time) -> Self {
        let chance = ChaCha8Rng::seed_from_u64(seed ^ me.id.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let snapshot = Snapshot { index: 0, term: 0, group: founding.clone(), state: Bytes::new() };
        let mut replica = Self {
            me,
            settings,
            chance,
            now,
            role: Role::Follower,
            leader: None,
            leader_heard: None,
            deadline: now,
            term: 0,
            voted: None,
            hard_ticket: 0,
            log: Log::new(0, 0, founding),
            snapshot: Arc::new(snapshot),
            commit: 0,
            applied: 0,
            settled: 0,
            settled_ticket: 0,
            stable: 0,
            unsaved: VecDeque::new(),
            ticket: 0,
            saved: 0,
            founded: false,
            weight: 0,
            compact_asked: false,
            has_state: false,
            state_wanted: false,
            votes: BTreeSet::new(),
            fenced: BTreeSet::new(),
            progress: BTreeMap::new(),
            first: 0,
            heartbeat_due: now,
            quorum_due: now,
            beat: false,
            round: 0,
            round_wanted: false,
            reads: vec![],
            incoming: None,
            held: VecDeque::new(),
            output: Output::default(),
            seen: Observed { leader: None, leads: false, group: 0, settled: true },
        };
        // Nobody is known to lead: all may have just started. Pre-votes harm no leader that does.
        replica.deadline = replica.draw(replica.settings.election / 4);
        replica
    }

    /// A member that has these records, all that it saved, in order. The state machine restarts from `take().restore` and
    /// `committed`. The founding group counts only where there is no record.
    ///
    /// # Errors
    /// Where a record cannot be read.
    pub fn recover(
        me: Member,
        founding: Vec<Member>,
        settings: Settings,
        records: &[Bytes],
        seed: u64,
        now: Time,
    ) -> Result<Self, DecodeError> {
        let mut replica = Self::new(me, founding, settings, seed, now);
        for record in records {
            replica.founded = true;
            match wire::read_record(record)? {
                Record::HardState { term, voted } => {
                    replica.term = term;
                    replica.voted = voted;
                }
                Record::Entry { index, entry } => {
                    if index <= replica.snapshot.index || index > replica.log.last() + 1 {
                        return Err(DecodeError::Malformed("an entry's place"));
                    }
                    replica.log.truncate(index - 1);
                    replica.log.push(entry);
                }
                Record::Snapshot { index, term, group, state } => {
                    replica.log = Log::new(index, term, group.clone());
                    replica.snapshot = Arc::new(Snapshot { index, term, group, state });
                    replica.has_state = true;
                }
                Record::Settled { index } => replica.settled = replica.settled.max(index),
            }
        }
        replica.stable = replica.log.last();
        replica.commit = replica.snapshot.index;
        replica.applied = replica.snapshot.index;
        if replica.snapshot.index > 0 {
            replica.output.restore = Some((replica.snapshot.index, replica.snapshot.state.clone()));
        }
        replica.seen = replica.observe();
        Ok(replica)
    }

    /// When `due` is to be called, at the latest.
    pub fn next(&self) -> Time {
        if self.role == Role::Leader {
            self.heartbeat_due.min(self.quorum_due)
        } else {
            // More often than it would stand: so a gap between calls tells that the process stood still.
            self.deadline.min(self.now + (self.settings.election / 2).max(1))
        }
    }

    pub fn due(&mut self, now: Time) {
        self.wake(now);
        if self.role == Role::Leader {
            if self.now >= self.heartbeat_due {
                self.heartbeat_due = self.now + self.settings.heartbeat.max(1);
                self.beat = true;
                for progress in self.progress.values_mut() {
                    match &mut progress.flow {
                        Flow::Probe { asked } => *asked = false,
                        Flow::Snapshot { sent, moved, .. } => *sent &= std::mem::take(moved),
                        Flow::Replicate { .. } => {}
                    }
                }
            }
        } else if self.now >= self.deadline {
            self.stand();
        }
    }

    /// A message of another member's replica of this part.
    ///
    /// # Errors
    /// Where the bytes cannot be read; nothing has changed then.
    pub fn heard(&mut self, now: Time, bytes: &[u8]) -> Result<(), DecodeError> {
        let message = wire::read_message(bytes)?;
        self.wake(now);
        if message.to != self.me.id || message.from.id == self.me.id {
            return Ok(());
        }
        let wire::Message { from, term, body, entries, group, chunk, .. } = message;
        if let Body::RequestVote { pre, for_term, last_index, last_term } = body {
            self.vote_requested(&from, pre != 0, term, for_term, (last_term, last_index));
            return Ok(());
        }
        if term > self.term {
            self.set_term(term, None);
        }
        let current = term == self.term;
        match body {
            Body::RequestVote { .. } => {}
            Body::Vote { pre, for_term, granted, settled_index, settled_term } => {
                if self.role != Role::Leader
                    && self.log.group().index == settled_index
                    && self.log.term(settled_index) == Some(settled_term)
                {
                    self.settle(settled_index);
                }
                let wanted = match self.role {
                    Role::PreCandidate => pre != 0 && for_term == self.term + 1,
                    Role::Candidate => pre == 0 && for_term == self.term,
                    _ => false,
                };
                if wanted {
                    if granted != 0 {
                        self.votes.insert(from.id);
                    }
                    self.count_votes();
                }
            }
            Body::AppendEntries { round, prev_index, prev_term, commit, .. } => {
                if !current {
                    let body = Body::Rejected { round, prev_index, hint_index: 0, hint_term: 0 };
                    self.hold(self.hard_ticket, &from, body);
                } else if self.role != Role::Leader {
                    self.follow(&from);
                    self.append_requested(&from, round, (prev_index, prev_term), commit, entries);
                }
            }
            Body::InstallSnapshot { round, index, last_term, total, offset, .. } => {
                if !current {
                    let body = Body::Rejected { round, prev_index: index, hint_index: 0, hint_term: 0 };
                    self.hold(self.hard_ticket, &from, body);
                } else if self.role != Role::Leader {
                    self.follow(&from);
                    self.install_requested(&from, round, (index, last_term), total, offset, group, &chunk);
                }
            }
            Body::Appended { round, matched, settled } => {
                self.answered(current, &from, round, |progress, last| {
                    let matched = matched.min(last);
                    progress.matched = progress.matched.max(matched);
                    if settled != 0 {
                        progress.settled = progress.settled.max(matched);
                    }
                    progress.next = progress.next.max(progress.matched + 1);
                    match &mut progress.flow {
                        Flow::Probe { asked } => {
                            if matched + 1 >= progress.next {
                                progress.flow = Flow::Replicate { in_flight: VecDeque::new() };
                            } else {
                                // What precedes is not saved there yet; it is common, though, or the answer were another.
                                *asked = true;
                            }
                        }
                        Flow::Replicate { in_flight } => {
                            while in_flight.front().is_some_and(|&index| index <= matched) {
                                in_flight.pop_front();
                            }
                        }
                        Flow::Snapshot { snapshot, .. } => {
                            if matched >= snapshot.index {
                                progress.next = progress.matched + 1;
                                progress.flow = Flow::Replicate { in_flight: VecDeque::new() };
                            }
                        }
                    }
                })
            }
            Body::Rejected { round, prev_index, hint_index, hint_term } => {
                let common = self.log.common(hint_index, hint_term);
                self.answered(current, &from, round, |progress, _| {
                    let stale = match progress.flow {
                        Flow::Probe { .. } => prev_index + 1 != progress.next,
                        Flow::Replicate { .. } => {
                            prev_index <= progress.matched || prev_index >= progress.next
                        }
                        Flow::Snapshot { .. } => true,
                    };
                    if !stale {
                        let next = (common.min(prev_index.saturating_sub(1)) + 1).max(progress.matched + 1);
                        // The same question has the same answer: it is not asked again before the next heartbeat.
                        progress.flow = Flow::Probe { asked: next == progress.next };
                        progress.next = next;
                    }
                });
            }
            Body::SnapshotWanted { round, index, wanted } => {
                self.answered(current, &from, round, |progress, _| {
                    if let Flow::Snapshot { snapshot, offset, sent, moved } = &mut progress.flow
                        && snapshot.index == index
                        && *offset != wanted
                        && wanted <= snapshot.state.len() as u64
                    {
                        *offset = wanted;
                        *sent = false;
                        *moved = true;
                    }
                })
            }
        }
        self.advance();
        Ok(())
    }

    /// All records up to this ticket are on the disk.
    pub fn saved(&mut self, now: Time, ticket: u64) {
        self.wake(now);
        self.saved = self.saved.max(ticket.min(self.ticket));
        while let Some(&(ticket, index)) = self.unsaved.front()
            && ticket <= self.saved
        {
            self.unsaved.pop_front();
            self.stable = self.stable.max(index);
        }
        while let Some((ticket, _, _)) = self.held.front()
            && *ticket <= self.saved
            && let Some((_, to, bytes)) = self.held.pop_front()
        {
            self.output.messages.push((to, bytes));
        }
        if self.role == Role::Candidate && self.hard_ticket <= self.saved {
            self.votes.insert(self.me.id);
            self.count_votes();
        }
        self.advance();
    }

    /// Proposes a command: its index, under which it is committed unless this leader is replaced first.
    ///
    /// # Errors
    /// Not the leader.
    pub fn propose(&mut self, now: Time, command: Bytes) -> Result<(Index, Term), Refused> {
        self.wake(now);
        if self.role != Role::Leader {
            return Err(self.not_leader());
        }
        let index = self.append(Kind::Command, command);
        Ok((index, self.term))
    }

    /// Proposes another group, which differs by one member or swaps one for another.
    ///
    /// # Errors
    /// Not the leader; or not now, also where the groups differ by more, or an id is there twice.
    pub fn change(&mut self, now: Time, members: Vec<Member>) -> Result<Index, Refused> {
        self.wake(now);
        if self.role != Role::Leader {
            return Err(self.not_leader());
        }
        let ids = |members: &[Member]| members.iter().map(|member| member.id).collect::<BTreeSet<_>>();
        let before = self.log.group().after.clone();
        let (old, new) = (ids(&before), ids(&members));
        let by_one = old.difference(&new).count() <= 1 && new.difference(&old).count() <= 1;
        // It need not have committed an entry of its own term: where half of the group is fenced it cannot before another one has
        // joined. A change that was committed is on a quorum of the group that it ended, so whoever was elected has it.
        if !self.is_settled() || new.is_empty() || new.len() != members.len() || !by_one {
            return Err(Refused::Busy);
        }
        for member in &members {
            if member.id != self.me.id {
                let next = self.log.last() + 1;
                let progress = self.progress.entry(member.id).or_insert_with(|| {
                    Progress::new(member.clone(), next, Flow::Probe { asked: false }, self.now)
                });
                progress.member = member.clone();
            }
        }
        let data = wire::group(&before, &members);
        Ok(self.append(Kind::Group, data))
    }

    /// These disks have no part in breaking a tie from now on (see `quorum`). Of any two sets that members of a group are ever
    /// told, one must contain the other: they are decided in one order, elsewhere. Not kept on the disk.
    pub fn fence(&mut self, now: Time, disks: impl IntoIterator<Item = MemberId>) {
        self.wake(now);
        let before = self.fenced.len();
        self.fenced.extend(disks);
        if self.fenced.len() > before {
            self.count_votes();
            self.advance();
        }
    }

    /// Asks for a read that sees all that was committed before; answered in [`Output::reads`].
    pub fn read(&mut self, now: Time, ticket: u64) {
        self.wake(now);
        if self.role == Role::Leader {
            // What earlier leaders have committed is known once an entry of this term is.
            self.reads.push(Read { ticket, round: self.round + 1, index: self.commit.max(self.first) });
            self.round_wanted = true;
        } else {
            self.output.reads.push((ticket, Err(self.not_leader())));
        }
    }

    /// The state machine's whole state as of all commands taken so far. Entries up to there are dropped.
    pub fn snapshot(&mut self, now: Time, state: Bytes) {
        self.wake(now);
        self.compact_asked = false;
        let index = self.applied;
        self.state_wanted = false;
        if index == self.snapshot.index {
            // The disk has it.
            let Snapshot { term, ref group, .. } = *self.snapshot;
            self.snapshot = Arc::new(Snapshot { index, term, group: group.clone(), state });
            self.has_state = true;
            return;
        }
        let Some(term) = self.log.term(index) else { return };
        let group = self.log.group_at(index).after.clone();
        self.weight = 0;
        self.snapshot = Arc::new(Snapshot { index, term, group, state });
        self.has_state = true;
        self.rewrite();
    }

    pub fn take(&mut self) -> Output {
        self.advance();
        if self.role == Role::Leader {
            if std::mem::take(&mut self.round_wanted) {
                self.round += 1;
                self.beat = true;
            }
            self.flush();
        }
        while self.applied < self.commit
            && let Some(entry) = self.log.get(self.applied + 1)
        {
            self.applied += 1;
            self.weight += entry.weight();
            if entry.kind == Kind::Command {
                self.output.committed.push((self.applied, entry.data.clone()));
            }
        }
        if self.role == Role::Leader && !self.reads.is_empty() {
            let confirmed = self.reached_by_quorums(|progress| progress.round, self.round);
            let applied = self.applied;
            let answered = |read: &mut Read| read.round <= confirmed && read.index <= applied;
            self.output.reads.extend(self.reads.extract_if(.., answered).map(|read| (read.ticket, Ok(()))));
        }
        if !self.compact_asked
            && self.weight > self.settings.compact_bytes
            && self.applied > self.snapshot.index
        {
            self.compact_asked = true;
            self.output.compact = true;
        }
        if std::mem::take(&mut self.state_wanted) && !self.compact_asked {
            self.compact_asked = true;
            self.output.compact = true;
        }
        self.trim();
        let observe = self.observe();
        self.output.changed |= observe != self.seen;
        self.seen = observe;
        std::mem::take(&mut self.output)
    }

    pub fn me(&self) -> &Member {
        &self.me
    }
    pub fn leader(&self) -> Option<&Member> {
        self.leader.as_ref()
    }
    /// Was elected, and may change the group; whether it may serve is told by [`Replica::leads`].
    pub fn is_elected(&self) -> bool {
        self.role == Role::Leader
    }
    /// Leads, and has committed an entry of its own term.
    pub fn leads(&self) -> bool {
        self.role == Role::Leader && self.commit >= self.first
    }
    pub fn term(&self) -> Term {
        self.term
    }
    /// The newest group that it knows, and whether that is committed.
    pub fn members(&self) -> (&[Member], bool) {
        (&self.log.group().after, self.is_settled())
    }
    /// The leader's knowledge of who is behind: entries that each other member lacks on its disk.
    pub fn behind(&self) -> Vec<(MemberId, u64)> {
        let last = self.log.last();
        self.progress.iter().map(|(&id, progress)| (id, last.saturating_sub(progress.matched))).collect()
    }
}

/// Memory.
impl Replica {
    /// Drops from memory what has been handed out and followers have; the disk holds it. Of what they lack a leader keeps
    /// `lag_bytes`: who is further behind gets a snapshot.
    fn trim(&mut self) {
        // Now and then: each time walks over what is kept.
        if self.log.weight() <= 2 * self.settings.most_bytes && !self.has_state {
            return;
        }
        let lacking = self.progress.values().map(|p| p.matched).min().unwrap_or(Index::MAX);
        let had = if self.role == Role::Leader { self.applied.min(lacking) } else { self.applied };
        self.log.compact(had, self.settings.most_bytes);
        self.log.compact(self.applied, self.settings.lag_bytes);
        let sends = self.progress.values().any(|p| matches!(p.flow, Flow::Snapshot { .. }));
        // What is to be restored or written is in the output.
        if self.has_state && !sends {
            self.has_state = false;
            let Snapshot { index, term, ref group, .. } = *self.snapshot;
            let group = group.clone();
            self.snapshot = Arc::new(Snapshot { index, term, group, state: Bytes::new() });
        }
    }
}

/// Time and elections.
impl Replica {
    fn wake(&mut self, now: Time) {
        let now = now.max(self.now);
        let jumped = now - self.now > self.settings.election;
        self.now = now;
        if self.role == Role::Leader {
            if now >= self.quorum_due {
                let heard = self.reached_by_quorums(|progress| progress.heard, now);
                self.quorum_due = heard + self.settings.election;
                if now >= self.quorum_due {
                    self.step_down();
                }
            }
        } else if jumped {
            // It stood still: messages that wait are heard first.
            self.restart_timer();
        }
    }

    fn draw(&mut self, least: Time) -> Time {
        let least = least.max(1);
        self.now + self.chance.random_range(least..2 * least)
    }
    fn restart_timer(&mut self) {
        self.deadline = self.draw(self.settings.election);
    }

    /// The groups of which each must agree.
    fn groups(&self) -> impl Iterator<Item = &[Member]> {
        let group = self.log.group();
        let before = (!self.is_settled() && !group.before.is_empty()).then_some(&*group.before);
        std::iter::once(&*group.after).chain(before)
    }
    fn is_settled(&self) -> bool {
        self.log.group().index <= self.commit.max(self.settled)
    }
    /// How many of a group must have saved an entry before it is committed, while no change of the group is under way.
    fn copies(&self, group: usize) -> usize {
        (group / 2 + 1).max(self.settings.copies.min(group))
    }
    /// A figure of each follower, and this member's own.
    fn figure<T: Default>(&self, member: &Member, of: impl Fn(&Progress) -> T, own: T) -> T {
        if member.id == self.me.id {
            return own;
        }
        self.progress.get(&member.id).map_or_else(T::default, of)
    }
    /// What a quorum of each group that must agree has reached; of this member it is `own`.
    fn reached_by_quorums<T: Ord + Default + Copy>(&self, of: impl Fn(&Progress) -> T, own: T) -> T {
        let reached =
            |group| Quorums::new(group, &self.fenced).reached(|member| self.figure(member, &of, own));
        self.groups().map(reached).min().unwrap_or_default()
    }
    /// The newest entry that is on the disks of enough members to be committed.
    fn saved_by_enough(&self) -> Index {
        let figure = |member: &Member| self.figure(member, |progress| progress.matched, self.stable);
        let group = self.log.group();
        if self.is_settled() {
            return nth_greatest(group.after.iter().map(figure), self.copies(group.after.len()));
        }
        // While the group changes: quorums of both groups know of it, and it is on as many disks as must hold it, of either.
        let mut either: Vec<&Member> = group.after.iter().chain(&group.before).collect();
        either.sort_unstable_by_key(|member| member.id);
        either.dedup_by_key(|member| member.id);
        let copies = self.settings.copies.min(group.after.len());
        let known = self.reached_by_quorums(|progress| progress.matched, self.stable);
        known.min(nth_greatest(either.into_iter().map(figure), copies))
    }
    /// Whether so many members of the newest group as an entry needs to be committed hold all up to its change on their disks,
    /// and know there that it is committed. What was committed before, and the group itself, then rest on no member that has left.
    pub fn is_handed_over(&self) -> bool {
        let group = self.log.group();
        let own = if self.has_saved_settled() { self.stable } else { 0 };
        let figure = |member: &Member| self.figure(member, |p| p.matched.min(p.settled), own);
        self.is_settled()
            && nth_greatest(group.after.iter().map(figure), self.copies(group.after.len())) >= group.index
    }
    /// All but this member.
    fn others(&self) -> Vec<Member> {
        let mut others: Vec<Member> =
            self.groups().flatten().filter(|member| member.id != self.me.id).cloned().collect();
        others.sort_unstable();
        others.dedup_by_key(|member| member.id);
        others
    }

    fn has_seat(&self) -> bool {
        self.groups().flatten().any(|member| member.id == self.me.id)
    }
    fn stand(&mut self) {
        self.restart_timer();
        if !self.has_seat() {
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        // To ask disturbs nobody, so it asks again soon.
        self.deadline = self.draw(self.settings.election / 4);
        self.votes = BTreeSet::from([self.me.id]);
        for member in self.others() {
            let body = self.vote_request(true);
            self.send(&member, body, &[]);
        }
        self.count_votes();
    }
    fn vote_request(&self, pre: bool) -> Body {
        Body::RequestVote {
            pre: u8::from(pre),
            for_term: self.term + u64::from(pre),
            last_index: self.log.last(),
            last_term: self.log.last_term(),
        }
    }
    fn count_votes(&mut self) {
        let elected = self.has_seat()
            && self
                .groups()
                .all(|group| Quorums::new(group, &self.fenced).is_met(|id| self.votes.contains(&id)));
        match self.role {
            Role::PreCandidate if elected => {
                let me = self.me.id;
                self.set_term(self.term + 1, Some(me));
                self.role = Role::Candidate;
                self.votes.clear();
                for member in self.others() {
                    self.hold(self.hard_ticket, &member, self.vote_request(false));
                }
            }
            Role::Candidate if elected => self.lead(),
            _ => {}
        }
    }
    fn lead(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.me.clone());
        self.first = self.log.last() + 1;
        let new = |member: Member| {
            let flow = Flow::Replicate { in_flight: VecDeque::new() };
            (member.id, Progress::new(member, self.first, flow, self.now))
        };
        self.progress = self.others().into_iter().map(new).collect();
        self.heartbeat_due = self.now + self.settings.heartbeat.max(1);
        self.quorum_due = self.now + self.settings.election;
        self.beat = true;
        self.append(Kind::Noop, Bytes::new());
    }
    fn step_down(&mut self) {
        if self.role == Role::Leader {
            self.leader_heard = None;
        }
        self.role = Role::Follower;
        self.leader = None;
        self.progress.clear();
        self.votes.clear();
        self.beat = false;
        self.round_wanted = false;
        let refused = self.not_leader();
        self.output.reads.extend(self.reads.drain(..).map(|read| (read.ticket, Err(refused.clone()))));
        self.restart_timer();
    }
    /// Takes a newer term, or votes in this one.
    fn set_term(&mut self, term: Term, voted: Option<MemberId>) {
        if term > self.term {
            self.step_down();
            self.leader_heard = None;
            self.incoming = None;
        }
        self.term = term;
        self.voted = voted;
        let record = wire::hard_state_record(term, voted);
        self.hard_ticket = self.save(record);
    }
    /// A leader of this term is alive.
    fn follow(&mut self, leader: &Member) {
        self.role = Role::Follower;
        self.leader_heard = Some(self.now);
        if self.leader.as_ref() != Some(leader) {
            self.leader = Some(leader.clone());
        }
        self.restart_timer();
    }
    fn not_leader(&self) -> Refused {
        Refused::NotLeader(self.leader.clone().filter(|leader| leader.id != self.me.id))
    }

    fn vote_requested(&mut self, from: &Member, pre: bool, term: Term, for_term: Term, last: (Term, Index)) {
        let has_leader = self.role == Role::Leader
            || self.leader_heard.is_some_and(|heard| self.now - heard < self.settings.election);
        if !has_leader && term > self.term {
            self.set_term(term, None);
        }
        let complete = last >= (self.log.last_term(), self.log.last());
        let granted = !has_leader
            && complete
            && if pre {
                for_term > self.term
            } else {
                for_term == self.term && self.voted.is_none_or(|voted| voted == from.id)
            };
        if granted && !pre {
            if self.voted.is_none() {
                self.set_term(for_term, Some(from.id));
            }
            self.role = Role::Follower;
            self.restart_timer();
        }
        let group = self.log.group().index;
        let settled = if self.is_settled() { self.log.term(group) } else { None };
        let body = Body::Vote {
            pre: u8::from(pre),
            for_term,
            granted: u8::from(granted),
            settled_index: settled.map_or(0, |_| group),
            settled_term: settled.unwrap_or_default(),
        };
        self.hold(self.hard_ticket, from, body);
    }
}

/// The log.
impl Replica {
    fn save(&mut self, record: Bytes) -> u64 {
        if !std::mem::replace(&mut self.founded, true) && !self.snapshot.group.is_empty() {
            self.ticket += 1;
            let founding = wire::snapshot_record(0, 0, &self.snapshot.group, &[]);
            self.output.save.push((self.ticket, founding));
        }
        self.ticket += 1;
        self.output.save.push((self.ticket, record));
        self.ticket
    }
    fn push(&mut self, entry: Entry) -> Index {
        let index = self.log.last() + 1;
        let record = wire::entry_record(index, &entry);
        self.log.push(entry);
        let ticket = self.save(record);
        self.unsaved.push_back((ticket, index));
        index
    }
    fn append(&mut self, kind: Kind, data: Bytes) -> Index {
        self.push(Entry { term: self.term, kind, data })
    }
    fn truncate(&mut self, index: Index) {
        self.log.truncate(index);
        self.stable = self.stable.min(index);
        for (_, last) in &mut self.unsaved {
            *last = (*last).min(index);
        }
    }
    fn rewrite(&mut self) {
        let snapshot = &self.snapshot;
        let mut records = vec![
            wire::snapshot_record(snapshot.index, snapshot.term, &snapshot.group, &snapshot.state),
            wire::hard_state_record(self.term, self.voted),
        ];
        for index in snapshot.index + 1..=self.log.last() {
            records.extend(self.log.get(index).map(|entry| wire::entry_record(index, entry)));
        }
        if self.settled > snapshot.index {
            records.push(wire::settled_record(self.settled));
        }
        self.founded = true;
        self.ticket += 1;
        self.output.save.clear();
        self.output.rewrite = Some((self.ticket, records));
        self.unsaved.push_back((self.ticket, self.log.last()));
    }
    /// A group entry is known to be committed.
    fn settle(&mut self, index: Index) {
        if self.settled < index {
            self.settled = index;
            self.settled_ticket = self.save(wire::settled_record(index));
        }
    }

    /// Whether the newest group is known to be committed, on the disk too.
    fn has_saved_settled(&self) -> bool {
        self.is_settled() && self.settled_ticket <= self.saved
    }
    fn appended(&self, round: u64, matched: Index) -> Body {
        Body::Appended { round, matched, settled: u8::from(self.has_saved_settled()) }
    }

    fn advance(&mut self) {
        while self.role == Role::Leader {
            let commit = self.saved_by_enough();
            if commit <= self.commit || self.log.term(commit) != Some(self.term) {
                break;
            }
            self.commit_to(commit);
        }
    }
    fn commit_to(&mut self, commit: Index) {
        self.commit = self.commit.max(commit.min(self.log.last()));
        let group = self.log.group().index;
        if group <= self.settled || group > self.commit || group <= self.snapshot.index {
            return;
        }
        self.settle(group);
        if self.role != Role::Leader {
            return;
        }
        // Who leaves learns of it now or never.
        self.beat = true;
        self.flush();
        let members = &self.log.group().after;
        self.progress.retain(|id, _| members.iter().any(|member| member.id == *id));
        if members.iter().all(|member| member.id != self.me.id) {
            self.step_down();
        }
    }

    fn append_requested(
        &mut self,
        from: &Member,
        round: u64,
        prev: (Index, Term),
        commit: Index,
        entries: Vec<Entry>,
    ) {
        let (prev_index, prev_term) = prev;
        // What is committed is the same everywhere.
        if prev_index > self.commit && self.log.term(prev_index) != Some(prev_term) {
            let hint_index = self.log.common(prev_index, prev_term).max(self.commit);
            let hint_term = self.log.term(hint_index).unwrap_or_default();
            let body = Body::Rejected { round, prev_index, hint_index, hint_term };
            self.hold(self.hard_ticket, from, body);
            return;
        }
        let bulky = !entries.is_empty();
        let last = prev_index + entries.len() as u64;
        for (index, entry) in (prev_index + 1..).zip(entries) {
            if index <= self.commit || self.log.term(index) == Some(entry.term) {
                continue;
            }
            if index <= self.log.last() {
                self.truncate(index - 1);
            }
            self.push(entry);
        }
        self.commit_to(commit.min(last));
        let last = last.max(self.commit);
        if bulky && self.stable < last {
            self.hold(self.ticket, from, self.appended(round, last));
        } else {
            self.hold(self.hard_ticket, from, self.appended(round, last.min(self.stable)));
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    fn install_requested(
        &mut self,
        from: &Member,
        round: u64,
        at: (Index, Term),
        total: u64,
        offset: u64,
        group: Vec<Member>,
        chunk: &[u8],
    ) {
        let (index, term) = at;
        if index > self.commit && self.log.term(index) == Some(term) {
            self.commit_to(index);
        }
        if index <= self.commit {
            self.incoming = None;
            let matched = self.stable.min(self.commit);
            self.hold(self.hard_ticket, from, self.appended(round, matched));
            return;
        }
        let same = |incoming: &Incoming| {
            (incoming.leader, incoming.term, incoming.index, incoming.total)
                == (from.id, self.term, index, total)
        };
        let mut incoming = self.incoming.take().filter(same).unwrap_or_else(|| Incoming {
            leader: from.id,
            term: self.term,
            index,
            total,
            bytes: vec![],
        });
        if offset == incoming.bytes.len() as u64 {
            incoming.bytes.extend_from_slice(chunk);
        }
        let wanted = incoming.bytes.len() as u64;
        if wanted < total {
            self.incoming = Some(incoming);
            self.hold(self.hard_ticket, from, Body::SnapshotWanted { round, index, wanted });
            return;
        }
        let state = Bytes::from(incoming.bytes);
        // What was committed and saved here still is, until the disk has the snapshot.
        self.stable = self.stable.min(self.commit);
        self.unsaved.clear();
        self.log = Log::new(index, term, group.clone());
        self.snapshot = Arc::new(Snapshot { index, term, group, state: state.clone() });
        self.has_state = true;
        self.weight = 0;
        self.compact_asked = false;
        self.commit = index;
        self.applied = index;
        self.output.committed.clear();
        self.output.restore = Some((index, state));
        self.rewrite();
        self.hold(self.ticket, from, self.appended(round, index));
    }
}

/// Messages.
impl Replica {
    fn encode(&self, to: &Member, body: Body, bulk: &[&[u8]]) -> (Member, Bytes) {
        (to.clone(), wire::message(to.id, &self.me, self.term, body, bulk))
    }
    fn send(&mut self, to: &Member, body: Body, bulk: &[&[u8]]) {
        let message = self.encode(to, body, bulk);
        self.output.messages.push(message);
    }
    /// Sends it once the ticket is saved.
    fn hold(&mut self, ticket: u64, to: &Member, body: Body) {
        let (to, bytes) = self.encode(to, body, &[]);
        if ticket <= self.saved {
            self.output.messages.push((to, bytes));
        } else {
            let place = self.held.partition_point(|(earlier, _, _)| *earlier <= ticket);
            self.held.insert(place, (ticket, to, bytes));
        }
    }
    /// A follower has answered: a sign of life, and what it says.
    fn answered(
        &mut self,
        current: bool,
        from: &Member,
        round: u64,
        then: impl FnOnce(&mut Progress, Index),
    ) {
        if !current || self.role != Role::Leader {
            return;
        }
        let last = self.log.last();
        if let Some(progress) = self.progress.get_mut(&from.id) {
            progress.heard = self.now;
            progress.round = progress.round.max(round.min(self.round));
            then(progress, last);
        }
    }

    /// Sends every follower what it lacks, as far as what is on its way allows.
    fn flush(&mut self) {
        let beat = std::mem::take(&mut self.beat);
        let mut messages = std::mem::take(&mut self.output.messages);
        let mut all = std::mem::take(&mut self.progress);
        let whole = self.has_state && self.snapshot.index >= self.log.base();
        let lacks = |p: &Progress| !matches!(p.flow, Flow::Snapshot { .. }) && p.next <= self.log.base();
        self.state_wanted |= !whole && all.values().any(lacks);
        for progress in all.values_mut() {
            self.feed(progress, beat, &mut messages);
        }
        self.progress = all;
        self.output.messages = messages;
    }
    fn feed(&self, progress: &mut Progress, beat: bool, messages: &mut Vec<(Member, Bytes)>) {
        let before = messages.len();
        if !matches!(progress.flow, Flow::Snapshot { .. }) && progress.next <= self.log.base() {
            if !self.has_state || self.snapshot.index < self.log.base() {
                // The state is asked for; until it is there this follower has signs of life.
                if beat && let Some(term) = self.log.term(self.log.base()) {
                    messages.push(self.empty_message(&progress.member, self.log.base(), term));
                }
                return;
            }
            progress.flow =
                Flow::Snapshot { snapshot: self.snapshot.clone(), offset: 0, sent: false, moved: false };
        }
        let mut at = None;
        match &mut progress.flow {
            Flow::Probe { asked } => {
                if !std::mem::replace(asked, true) {
                    at = Some(progress.next - 1);
                }
            }
            Flow::Replicate { in_flight } => {
                while in_flight.len() < MOST_IN_FLIGHT && progress.next <= self.log.last() {
                    let prev = progress.next - 1;
                    let (message, last) = self.entries_message(&progress.member, prev);
                    messages.push(message);
                    progress.commit_sent = progress.commit_sent.max(self.commit.min(last));
                    progress.next = last + 1;
                    in_flight.push_back(last);
                }
                if progress.commit_sent < self.commit.min(progress.next - 1) {
                    at = Some(progress.next - 1);
                }
            }
            Flow::Snapshot { snapshot, offset, sent, .. } => {
                // Bulk goes to those who live.
                if self.now - progress.heard <= self.settings.election && !std::mem::replace(sent, true) {
                    messages.push(self.chunk_message(&progress.member, snapshot, *offset));
                }
                // What is not installed yet is no ground to stand on: this one only gives a sign of life.
                if beat {
                    let (index, term) = (snapshot.index, snapshot.term);
                    messages.push(self.empty_message(&progress.member, index, term));
                }
                return;
            }
        }
        if at.is_none() && beat && messages.len() == before {
            at = Some(progress.next - 1);
        }
        if let Some(prev) = at
            && let Some(term) = self.log.term(prev)
        {
            messages.push(self.empty_message(&progress.member, prev, term));
            progress.commit_sent = progress.commit_sent.max(self.commit.min(prev));
        }
    }
    fn empty_message(&self, to: &Member, prev_index: Index, prev_term: Term) -> (Member, Bytes) {
        let body = Body::AppendEntries {
            round: self.round,
            prev_index,
            prev_term,
            commit: self.commit,
            count: 0,
            heads: vec![],
        };
        self.encode(to, body, &[])
    }
    /// With as many entries as fit, but one at least; and the last one's index.
    fn entries_message(&self, to: &Member, prev_index: Index) -> ((Member, Bytes), Index) {
        let mut last = prev_index;
        let mut bytes = 0;
        let mut heads = vec![];
        let mut bulk: Vec<&[u8]> = vec![];
        while let Some(entry) = self.log.get(last + 1)
            && (heads.is_empty()
                || heads.len() < MOST_ENTRIES && bytes + entry.data.len() <= self.settings.most_bytes)
        {
            last += 1;
            bytes += entry.data.len();
            heads.push(wire::entry_head(entry));
            bulk.push(&entry.data);
        }
        let body = Body::AppendEntries {
            round: self.round,
            prev_index,
            prev_term: self.log.term(prev_index).unwrap_or_default(),
            commit: self.commit,
            count: u16::try_from(heads.len()).unwrap_or(u16::MAX),
            heads,
        };
        (self.encode(to, body, &bulk), last)
    }
    fn chunk_message(&self, to: &Member, snapshot: &Snapshot, offset: u64) -> (Member, Bytes) {
        let group = wire::group(&[], &snapshot.group);
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(snapshot.state.len());
        let end = start.saturating_add(self.settings.most_bytes.max(1)).min(snapshot.state.len());
        let chunk = snapshot.state.get(start..end).unwrap_or_default();
        let body = Body::InstallSnapshot {
            round: self.round,
            index: snapshot.index,
            last_term: snapshot.term,
            total: snapshot.state.len() as u64,
            offset,
            group_len: u32::try_from(group.len()).unwrap_or(u32::MAX),
        };
        self.encode(to, body, &[&group, chunk])
    }

    fn observe(&self) -> Observed {
        Observed {
            leader: self.leader.as_ref().map(|leader| leader.id),
            leads: self.leads(),
            group: self.log.group().index,
            settled: self.is_settled(),
        }
    }
}
