//! One member's replica of one shard: Raft's rules. The modules below are Raft's own concerns, one each; this one has the state that
//! they share, and drives them.

mod apply;
mod commit;
mod compaction;
mod election;
mod entries;
mod leadership_transfer;
mod membership;
mod persistence;
mod read_index;
mod receive;
mod recovery;
mod replication;
mod snapshot_transfer;
mod tombstone;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::apply::Application;
pub use self::apply::{MAX_APPLY_BYTES, MAX_APPLY_ENTRIES};
use self::compaction::Compaction;
use self::leadership_transfer::LeadershipTransfer;
use self::persistence::Persistence;
use self::read_index::Reads;
use self::snapshot_transfer::IncomingSnapshot;
use crate::entry::{EntryKind, LogPosition};
use crate::log::Log;
use crate::progress::Progress;
use crate::snapshot::Snapshot;
use crate::{Index, Member, MemberId, ProposeError, Ready, ReplicationLag, Settings, Term, Time};

/// A member's part in an election (Raft 3.3, with the pre-candidate of Raft 9.6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
}

/// What [`Ready::has_status_changed`] is about.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Status {
    leader: Option<MemberId>,
    is_serving_leader: bool,
    replica_set_index: Index,
    is_replica_set_committed: bool,
}

/// One member's replica of one shard.
#[derive(Clone)]
pub struct Replica {
    local_member: Member,
    settings: Settings,
    rng: ChaCha8Rng,
    /// The time of the newest call.
    now: Time,

    /// The newest term that it knows.
    term: Term,
    /// Whom it voted for in that term.
    voted_for: Option<MemberId>,
    /// The end of a log that it dropped; it votes for none that ends before.
    vote_floor: LogPosition,

    role: Role,
    leader: Option<Member>,
    /// When a leader of this term last sent a message.
    last_leader_contact: Option<Time>,
    /// When to campaign.
    election_deadline: Time,
    /// Who voted for it, in the campaign that runs.
    votes: BTreeSet<MemberId>,

    log: Log,
    snapshot: Arc<Snapshot>,
    commit_index: Index,
    /// Replica set entries up to here are known to be committed, also where `commit_index` is not there yet.
    membership_commit_index: Index,
    /// Disks that another shard has decided have no part in breaking a tie; only added to.
    fenced: BTreeSet<MemberId>,
    incoming_snapshot: Option<IncomingSnapshot>,

    persistence: Persistence,
    application: Application,
    compaction: Compaction,

    /// A leader's knowledge of the other members.
    progress: BTreeMap<MemberId, Progress>,
    /// A leader hands its post over.
    transfer: Option<LeadershipTransfer>,
    /// The index of a leader's first entry.
    first_index_of_term: Index,
    /// When a leader sends its next heartbeat.
    heartbeat_deadline: Time,
    /// When a leader steps down unless it has contact with a quorum.
    quorum_deadline: Time,
    /// Every follower gets a message at the next [`Replica::take_ready`].
    is_broadcast_pending: bool,
    reads: Reads,

    ready: Ready,
    /// As of the newest [`Replica::take_ready`].
    last_status: Status,
}

impl Replica {
    /// A member with nothing on its disk. `founding` is the first replica set, the same for all its members; empty for a member that
    /// waits to be added. Times are in microseconds.
    pub fn new(
        local_member: Member,
        founding: Vec<Member>,
        settings: Settings,
        seed: u64,
        now: Time,
    ) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed ^ local_member.id.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let base = LogPosition::default();
        let snapshot = Snapshot { position: base, members: founding.clone(), source: None };
        let mut replica = Self {
            local_member,
            settings,
            rng,
            now,
            term: 0,
            voted_for: None,
            vote_floor: LogPosition::default(),
            role: Role::Follower,
            leader: None,
            last_leader_contact: None,
            election_deadline: now,
            votes: BTreeSet::new(),
            log: Log::new(base, founding),
            snapshot: Arc::new(snapshot),
            commit_index: 0,
            membership_commit_index: 0,
            fenced: BTreeSet::new(),
            incoming_snapshot: None,
            persistence: Persistence::default(),
            application: Application::default(),
            compaction: Compaction::default(),
            progress: BTreeMap::new(),
            transfer: None,
            first_index_of_term: 0,
            heartbeat_deadline: now,
            quorum_deadline: now,
            is_broadcast_pending: false,
            reads: Reads::default(),
            ready: Ready::default(),
            last_status: Status {
                leader: None,
                is_serving_leader: false,
                replica_set_index: 0,
                is_replica_set_committed: true,
            },
        };
        // Nobody is known to lead: all may have just started. Pre-votes harm no leader that does.
        replica.election_deadline = replica.random_deadline(replica.settings.election_timeout / 4);
        replica
    }

    /// When [`Replica::handle_timeout`] is to be called, at the latest.
    pub fn next_timeout(&self) -> Time {
        if self.has_unapplied_entries() {
            return self.now;
        }
        if self.role == Role::Leader {
            self.heartbeat_deadline.min(self.quorum_deadline)
        } else {
            // More often than it would campaign: so a gap between calls shows that the process stood still.
            self.election_deadline.min(self.now + (self.settings.election_timeout / 2).max(1))
        }
    }

    /// Does what is due by this time: heartbeats of a leader, a campaign of others.
    pub fn handle_timeout(&mut self, now: Time) {
        self.advance_clock(now);
        if self.role == Role::Leader {
            if self.now >= self.heartbeat_deadline {
                self.heartbeat_deadline = self.now + self.settings.heartbeat_interval.max(1);
                self.is_broadcast_pending = true;
                for progress in self.progress.values_mut() {
                    progress.handle_heartbeat(self.now, &self.settings);
                }
            }
        } else if self.now >= self.election_deadline {
            self.campaign();
        }
    }

    /// Proposes a command: the index and term under which it is committed, unless this leader is replaced first.
    ///
    /// # Errors
    /// [`ProposeError::NotLeader`]; or [`ProposeError::TransferInProgress`].
    pub fn propose(&mut self, now: Time, command: Bytes) -> Result<(Index, Term), ProposeError> {
        self.advance_clock(now);
        if self.role != Role::Leader {
            return Err(self.not_leader());
        }
        if self.is_transferring_leadership() {
            return Err(ProposeError::TransferInProgress);
        }
        let index = self.append(EntryKind::Command, command);
        Ok((index, self.term))
    }

    /// What it wants done. Of what the state machine has to do it has [`MAX_APPLY_BYTES`] and [`MAX_APPLY_ENTRIES`] at most; where
    /// that is not all, [`Replica::next_timeout`] is now, and [`Replica::has_unapplied_entries`] holds.
    pub fn take_ready(&mut self) -> Ready {
        self.advance_commit();
        if self.role == Role::Leader {
            self.is_broadcast_pending |= self.reads.begin_round();
            self.replicate();
            self.advance_transfer();
        }
        self.apply();
        self.answer_reads();
        self.request_compaction();
        self.drop_unneeded();
        let status = self.status();
        self.ready.has_status_changed |= status != self.last_status;
        self.last_status = status;
        std::mem::take(&mut self.ready)
    }

    /// The member whose replica this is.
    pub fn local_member(&self) -> &Member {
        &self.local_member
    }

    /// Who leads, as far as it knows; this member where it leads.
    pub fn leader(&self) -> Option<&Member> {
        self.leader.as_ref()
    }

    /// Was elected, and may change the replica set; [`Replica::is_serving_leader`] says whether it may serve.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// Leads, has committed an entry of its own term, and has handed the state machine all that earlier leaders committed.
    pub fn is_serving_leader(&self) -> bool {
        self.role == Role::Leader
            && !self.application.is_restoring()
            && self.application.applied_index() >= self.first_index_of_term
    }

    /// The newest term that it knows.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Bytes in memory of the entries that are in its log and not known to be committed.
    pub fn uncommitted_bytes(&self) -> usize {
        self.log.bytes_after(self.commit_index)
    }

    /// Entries that are in its log and not known to be committed.
    pub fn uncommitted_entries(&self) -> u64 {
        self.log.last_index().saturating_sub(self.commit_index)
    }

    /// How far each other member is behind, as the leader knows it; empty where this member does not lead.
    pub fn replication_lag(&self) -> Vec<ReplicationLag> {
        let last_index = self.log.last_index();
        let lag = |(&member, progress): (&MemberId, &Progress)| ReplicationLag {
            member,
            entries: last_index.saturating_sub(progress.matched_index),
        };
        self.progress.iter().map(lag).collect()
    }

    fn status(&self) -> Status {
        Status {
            leader: self.leader.as_ref().map(|leader| leader.id),
            is_serving_leader: self.is_serving_leader(),
            replica_set_index: self.replica_set_index(),
            is_replica_set_committed: self.is_replica_set_committed(),
        }
    }
}
