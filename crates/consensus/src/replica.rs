//! Raft's rules, for one replica.

mod election;
mod entries;
mod group;
mod handing_out;
mod install;
mod memory;
mod receiving;
mod recovery;
mod sending;
mod vacating;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub use self::handing_out::{MAX_APPLY_BYTES, MAX_APPLY_ENTRIES};
use crate::log::{EntryKind, Log, Snapshot, Source};
use crate::records::ChunkRecords;
use crate::state::{RestoreStep, SnapshotSource};
use crate::{Index, Member, MemberId, ProposeError, Ready, ReplicationLag, Settings, Term, Time, wire};

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
    /// The newest index of each message on its way, and its bytes.
    Replicate { in_flight: VecDeque<(Index, usize)> },
    /// A piece at a time: when the one under way was sent, and how long it may take before it is sent again.
    Snapshot { snapshot: Arc<Snapshot>, source: Source, number: usize, sent: Option<Time>, patience: Time },
}

/// A piece of a snapshot is sent again after this many times what the one before has taken.
const PATIENCE_FACTOR: Time = 4;
/// A piece of a snapshot is sent again after this many election times at the latest.
const MOST_PATIENCE: Time = 16;

impl Settings {
    /// The longest wait for the answer to a piece of a snapshot before it is sent again.
    fn most_patience(&self) -> Time {
        MOST_PATIENCE * self.election_timeout
    }
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
    /// Bytes of entries kept for it beside `lag_bytes`: what may come while a snapshot is on its way, until it has those too.
    allowance: usize,
}

impl Progress {
    fn new(member: Member, next: Index, flow: Flow, now: Time) -> Self {
        Self {
            member,
            matched: 0,
            settled: 0,
            next,
            flow,
            heard: now,
            round: 0,
            commit_sent: 0,
            allowance: 0,
        }
    }
}

#[derive(Clone)]
struct Read {
    ticket: u64,
    round: u64,
    index: Index,
}

/// A snapshot that comes in pieces.
#[derive(Clone)]
struct Incoming {
    leader: MemberId,
    term: Term,
    index: Index,
    /// Which of the leader's states it is.
    source: u64,
    chunks: u32,
    /// The records of the pieces so far: the bytes that came, which the state machine has been handed too.
    records: Vec<Bytes>,
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
    rng: ChaCha8Rng,
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
    /// Term and index of the end of a log that it gave up; it votes for none that ends before.
    vote_floor: (Term, Index),
    /// Of the newest record of term and vote.
    hard_ticket: u64,
    log: Log,
    snapshot: Arc<Snapshot>,
    commit: Index,
    /// Given to the state machine, up to here; where something is to be restored, once it has that.
    applied: Index,
    /// To be given to the state machine first.
    restoring: VecDeque<RestoreStep>,
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
    /// States that were to be sent, so far.
    sources: u64,
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
    broadcast_pending: bool,
    round: u64,
    round_wanted: bool,
    reads: Vec<Read>,
    incoming: Option<Incoming>,
    /// Messages that must not go before a ticket is saved.
    held: VecDeque<(u64, Member, Bytes)>,
    output: Ready,
    seen: Observed,
}

impl Replica {
    /// A member with nothing saved. `founding` is the first group, the same for all its members; empty for one that waits to be
    /// taken in.
    pub fn new(me: Member, founding: Vec<Member>, settings: Settings, seed: u64, now: Time) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed ^ me.id.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let snapshot = Snapshot { index: 0, term: 0, group: founding.clone(), state: None };
        let mut replica = Self {
            me,
            settings,
            rng,
            now,
            role: Role::Follower,
            leader: None,
            leader_heard: None,
            deadline: now,
            term: 0,
            voted: None,
            vote_floor: (0, 0),
            hard_ticket: 0,
            log: Log::new(0, 0, founding),
            snapshot: Arc::new(snapshot),
            commit: 0,
            applied: 0,
            restoring: VecDeque::new(),
            settled: 0,
            settled_ticket: 0,
            stable: 0,
            unsaved: VecDeque::new(),
            ticket: 0,
            saved: 0,
            founded: false,
            weight: 0,
            compact_asked: false,
            sources: 0,
            state_wanted: false,
            votes: BTreeSet::new(),
            fenced: BTreeSet::new(),
            progress: BTreeMap::new(),
            first: 0,
            heartbeat_due: now,
            quorum_due: now,
            broadcast_pending: false,
            round: 0,
            round_wanted: false,
            reads: vec![],
            incoming: None,
            held: VecDeque::new(),
            output: Ready::default(),
            seen: Observed { leader: None, leads: false, group: 0, settled: true },
        };
        // Nobody is known to lead: all may have just started. Pre-votes harm no leader that does.
        replica.deadline = replica.draw(replica.settings.election_timeout / 4);
        replica
    }

    /// When `due` is to be called, at the latest.
    pub fn next_timeout(&self) -> Time {
        if self.has_unapplied_entries() {
            return self.now;
        }
        if self.role == Role::Leader {
            self.heartbeat_due.min(self.quorum_due)
        } else {
            // More often than it would stand: so a gap between calls tells that the process stood still.
            self.deadline.min(self.now + (self.settings.election_timeout / 2).max(1))
        }
    }

    pub fn handle_timeout(&mut self, now: Time) {
        self.wake(now);
        if self.role == Role::Leader {
            if self.now >= self.heartbeat_due {
                self.heartbeat_due = self.now + self.settings.heartbeat_interval.max(1);
                self.broadcast_pending = true;
                for progress in self.progress.values_mut() {
                    match &mut progress.flow {
                        Flow::Probe { asked } => *asked = false,
                        Flow::Snapshot { sent, patience, .. } => {
                            // Over a link that others fill a piece takes long: repeated sooner it would fill the link itself.
                            if sent.is_some_and(|at| self.now - at >= *patience) {
                                *sent = None;
                                *patience = (2 * *patience).min(self.settings.most_patience());
                            }
                        }
                        Flow::Replicate { .. } => {}
                    }
                }
            }
        } else if self.now >= self.deadline {
            self.stand();
        }
    }

    /// All records up to this ticket are on the disk.
    pub fn persisted(&mut self, now: Time, ticket: u64) {
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
    pub fn propose(&mut self, now: Time, command: Bytes) -> Result<(Index, Term), ProposeError> {
        self.wake(now);
        if self.role != Role::Leader {
            return Err(self.not_leader());
        }
        let index = self.append(EntryKind::Command, command);
        Ok((index, self.term))
    }

    /// Proposes another group, which differs by one member or swaps one for another.
    ///
    /// # Errors
    /// Not the leader; or not now, also where the groups differ by more, or an id is there twice.
    pub fn change_replica_set(&mut self, now: Time, members: Vec<Member>) -> Result<Index, ProposeError> {
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
        if !self.is_replica_set_committed() || new.is_empty() || new.len() != members.len() || !by_one {
            return Err(ProposeError::ChangeInProgress);
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
        Ok(self.append(EntryKind::ReplicaSet, data))
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
    pub fn read_index(&mut self, now: Time, ticket: u64) {
        self.wake(now);
        if self.role == Role::Leader {
            // What earlier leaders have committed is known once an entry of this term is.
            self.reads.push(Read { ticket, round: self.round + 1, index: self.commit.max(self.first) });
            self.round_wanted = true;
        } else {
            self.output.reads.push((ticket, Err(self.not_leader())));
        }
    }

    /// The state machine's whole state as of all that was taken so far. Entries up to there are dropped.
    pub fn compact(&mut self, now: Time, state: Arc<dyn SnapshotSource>) {
        self.wake(now);
        self.compact_asked = false;
        if !self.restoring.is_empty() {
            // It is of an index that the state machine has not reached or has left.
            return;
        }
        let index = self.applied;
        self.state_wanted = false;
        self.sources += 1;
        let source = Some(Source { number: self.sources, state: state.clone() });
        if index == self.snapshot.index {
            // The disk has it.
            self.snapshot = Arc::new(Snapshot { state: source, ..Snapshot::clone(&self.snapshot) });
            return;
        }
        let Some(term) = self.log.term(index) else { return };
        let group = self.log.group_at(index).after.clone();
        self.weight = 0;
        self.snapshot = Arc::new(Snapshot { index, term, group, state: source });
        self.rewrite(ChunkRecords::Encoded(state), true);
    }

    /// The snapshot that was asked for does not pay now; it is asked for again after as many bytes.
    pub fn postpone_compaction(&mut self) {
        self.compact_asked = false;
        self.weight = 0;
    }

    /// What it wants done. Of what the state machine has to do it hands out [`MOST_HANDED_BYTES`] and [`MOST_HANDED_ENTRIES`] at
    /// most; where that is not all, [`Replica::next_timeout`] is now, and [`Replica::has_backlog`] holds.
    pub fn take_ready(&mut self) -> Ready {
        self.advance();
        if self.role == Role::Leader {
            if std::mem::take(&mut self.round_wanted) {
                self.round += 1;
                self.broadcast_pending = true;
            }
            self.flush();
        }
        self.hand_out();
        if self.role == Role::Leader && !self.reads.is_empty() {
            let confirmed = self.reached_by_quorums(|progress| progress.round, self.round);
            let applied = self.applied;
            let answered = |read: &mut Read| read.round <= confirmed && read.index <= applied;
            self.output.reads.extend(self.reads.extract_if(.., answered).map(|read| (read.ticket, Ok(()))));
        }
        if !self.compact_asked
            && self.weight > self.settings.compaction_threshold_bytes
            && self.applied > self.snapshot.index
        {
            self.compact_asked = true;
            self.output.needs_compaction = true;
        }
        if self.restoring.is_empty() && std::mem::take(&mut self.state_wanted) && !self.compact_asked {
            self.compact_asked = true;
            self.output.needs_compaction = true;
            self.output.needs_snapshot = true;
        }
        self.trim();
        let observe = self.observe();
        self.output.has_status_changed |= observe != self.seen;
        self.seen = observe;
        std::mem::take(&mut self.output)
    }

    pub fn local_member(&self) -> &Member {
        &self.me
    }
    pub fn leader(&self) -> Option<&Member> {
        self.leader.as_ref()
    }
    /// Was elected, and may change the group; whether it may serve is told by [`Replica::is_serving_leader`].
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }
    /// Leads, has committed an entry of its own term, and has handed out all that earlier leaders committed.
    pub fn is_serving_leader(&self) -> bool {
        self.role == Role::Leader && self.restoring.is_empty() && self.applied >= self.first
    }
    pub fn term(&self) -> Term {
        self.term
    }
    /// The newest replica set that it knows; [`Replica::is_replica_set_committed`] says whether that is committed.
    pub fn members(&self) -> &[Member] {
        &self.log.group().after
    }
    /// The index of the entry that names the newest group that it knows, or of a snapshot that does.
    pub fn replica_set_index(&self) -> Index {
        self.log.group().index
    }
    /// Bytes of the entries that are in its log and not known to be committed.
    pub fn uncommitted_bytes(&self) -> usize {
        self.log.weight_after(self.commit)
    }
    /// Entries that are in its log and not known to be committed.
    pub fn uncommitted_entries(&self) -> u64 {
        self.log.last().saturating_sub(self.commit)
    }
    /// How far each other member is behind, as the leader knows it; empty where this member does not lead.
    pub fn replication_lag(&self) -> Vec<ReplicationLag> {
        let last = self.log.last();
        let lag = |(&member, progress): (&MemberId, &Progress)| ReplicationLag {
            member,
            entries: last.saturating_sub(progress.matched),
        };
        self.progress.iter().map(lag).collect()
    }
}
