//! What a leader knows of a follower, and how it replicates to it (Raft 10.2; the states are those of etcd's `raft`).

use std::collections::VecDeque;
use std::sync::Arc;

use crate::snapshot::{NumberedSource, Snapshot};
use crate::{Index, Member, Settings, Time};

/// Messages with entries in flight to one follower, at most.
const MAX_IN_FLIGHT_MESSAGES: usize = 8;
/// A chunk of a snapshot is sent again after this many times the round trip of the one before.
const CHUNK_TIMEOUT_FACTOR: Time = 4;
/// A chunk of a snapshot is sent again after this many election timeouts at the latest.
const MAX_CHUNK_TIMEOUT_FACTOR: Time = 16;

/// How a leader replicates to a follower.
#[derive(Clone)]
pub(crate) enum ProgressState {
    /// Finds where the logs part, by messages without entries: one at a time.
    Probe {
        /// The message was sent, and not answered since the last heartbeat.
        is_sent: bool,
    },
    /// Sends entries ahead of the follower's answers.
    Replicate {
        /// The messages that are not answered.
        in_flight: InFlight,
    },
    /// Sends a snapshot, a chunk at a time.
    Snapshot(SnapshotTransfer),
}

/// Messages with entries that a follower has not answered yet.
#[derive(Clone, Default)]
pub(crate) struct InFlight(VecDeque<InFlightMessage>);

#[derive(Clone, Copy)]
struct InFlightMessage {
    last_index: Index,
    bytes: usize,
}

impl InFlight {
    /// Whether one more message may go: no more than a few, and few bytes, so that heartbeats do not wait behind them.
    pub(crate) fn has_capacity(&self, max_bytes: usize) -> bool {
        let bytes: usize = self.0.iter().map(|message| message.bytes).sum();
        self.0.len() < MAX_IN_FLIGHT_MESSAGES && bytes < max_bytes
    }

    /// A message of these bytes, with entries up to `last_index`, was sent.
    pub(crate) fn push(&mut self, last_index: Index, bytes: usize) {
        self.0.push_back(InFlightMessage { last_index, bytes });
    }

    /// The follower has all up to this index.
    fn acknowledge(&mut self, matched_index: Index) {
        while self.0.front().is_some_and(|message| message.last_index <= matched_index) {
            self.0.pop_front();
        }
    }
}

/// A snapshot that is being sent.
#[derive(Clone)]
pub(crate) struct SnapshotTransfer {
    pub(crate) snapshot: Arc<Snapshot>,
    /// Its state.
    pub(crate) source: NumberedSource,
    /// The chunk that the follower waits for.
    pub(crate) number: usize,
    /// When that chunk was sent; none where it is to be sent.
    pub(crate) sent_at: Option<Time>,
    /// How long the answer may take before the chunk is sent again.
    pub(crate) chunk_timeout: Time,
}

impl SnapshotTransfer {
    /// A transfer that begins.
    pub(crate) fn new(snapshot: Arc<Snapshot>, source: NumberedSource, settings: &Settings) -> Self {
        Self { snapshot, source, number: 0, sent_at: None, chunk_timeout: settings.election_timeout }
    }

    /// Sends the chunk again where its answer is late. Over a link that others fill a chunk takes long: repeated sooner each time it
    /// would fill the link itself.
    fn handle_heartbeat(&mut self, now: Time, settings: &Settings) {
        if self.sent_at.is_some_and(|sent_at| now - sent_at >= self.chunk_timeout) {
            self.sent_at = None;
            self.chunk_timeout = (2 * self.chunk_timeout).min(max_chunk_timeout(settings));
        }
    }

    /// The follower waits for the chunk `number` of the state `source`.
    fn handle_chunk_wanted(&mut self, source: u64, number: usize, now: Time, settings: &Settings) {
        let is_new =
            self.source.number == source && self.number != number && number < self.source.state.chunks();
        if !is_new {
            return;
        }
        self.number = number;
        if let Some(sent_at) = self.sent_at.take() {
            let by_round_trip = CHUNK_TIMEOUT_FACTOR * (now - sent_at);
            self.chunk_timeout = self.chunk_timeout.max(by_round_trip).min(max_chunk_timeout(settings));
        }
    }
}

/// The longest wait for the answer to a chunk before it is sent again.
fn max_chunk_timeout(settings: &Settings) -> Time {
    MAX_CHUNK_TIMEOUT_FACTOR * settings.election_timeout
}

/// What a leader knows of a follower.
#[derive(Clone)]
pub(crate) struct Progress {
    pub(crate) member: Member,
    /// The follower has persisted all up to here (`matchIndex`, Raft 3.5).
    pub(crate) matched_index: Index,
    /// The entry to be sent next (`nextIndex`, Raft 3.5).
    pub(crate) next_index: Index,
    /// How entries are sent.
    pub(crate) state: ProgressState,
    /// Up to here the follower knows, on its disk, that all changes of the replica set are committed.
    pub(crate) membership_committed_index: Index,
    /// When it last answered.
    pub(crate) last_contact: Time,
    /// The newest read round that it has answered.
    pub(crate) read_round: u64,
    /// The newest commit index that it was sent.
    pub(crate) sent_commit_index: Index,
    /// Bytes of entries kept for it beside [`Settings::max_lag_bytes`]: what may come while a snapshot is being sent, until it has
    /// those too.
    pub(crate) retained_bytes: usize,
}

impl Progress {
    /// A follower of which nothing is known; it counts as in contact now.
    pub(crate) fn new(member: Member, next_index: Index, state: ProgressState, now: Time) -> Self {
        Self {
            member,
            matched_index: 0,
            membership_committed_index: 0,
            next_index,
            state,
            last_contact: now,
            read_round: 0,
            sent_commit_index: 0,
            retained_bytes: 0,
        }
    }

    /// Whether it has answered within an election timeout.
    pub(crate) fn is_active(&self, now: Time, settings: &Settings) -> bool {
        now - self.last_contact <= settings.election_timeout
    }

    /// Whether it is being sent a snapshot.
    pub(crate) fn is_receiving_snapshot(&self) -> bool {
        matches!(self.state, ProgressState::Snapshot(_))
    }

    /// A heartbeat is due: what was not answered may be asked again.
    pub(crate) fn handle_heartbeat(&mut self, now: Time, settings: &Settings) {
        match &mut self.state {
            ProgressState::Probe { is_sent } => *is_sent = false,
            ProgressState::Snapshot(transfer) => transfer.handle_heartbeat(now, settings),
            ProgressState::Replicate { .. } => {}
        }
    }

    /// The follower has answered a message of this read round.
    pub(crate) fn record_contact(&mut self, now: Time, read_round: u64) {
        self.last_contact = now;
        self.read_round = self.read_round.max(read_round);
    }

    /// The follower has persisted all up to `matched_index`.
    pub(crate) fn handle_accepted(&mut self, matched_index: Index, is_replica_set_committed: bool) {
        self.matched_index = self.matched_index.max(matched_index);
        if is_replica_set_committed {
            self.membership_committed_index = self.membership_committed_index.max(matched_index);
        }
        self.next_index = self.next_index.max(self.matched_index + 1);
        match &mut self.state {
            ProgressState::Probe { is_sent } => {
                if matched_index + 1 >= self.next_index {
                    self.state = ProgressState::Replicate { in_flight: InFlight::default() };
                } else {
                    // What precedes is not persisted there yet; it is common, though, or the answer would be a rejection.
                    *is_sent = true;
                }
            }
            ProgressState::Replicate { in_flight } => in_flight.acknowledge(matched_index),
            ProgressState::Snapshot(transfer) => {
                if matched_index >= transfer.snapshot.position.index {
                    self.next_index = self.matched_index + 1;
                    self.state = ProgressState::Replicate { in_flight: InFlight::default() };
                }
            }
        }
    }

    /// The entry at `prev_index` is not in the follower's log; logs agree at `common_index` at the latest.
    pub(crate) fn handle_rejected(&mut self, prev_index: Index, common_index: Index) {
        let is_stale = match self.state {
            ProgressState::Probe { .. } => prev_index + 1 != self.next_index,
            ProgressState::Replicate { .. } => {
                prev_index <= self.matched_index || prev_index >= self.next_index
            }
            ProgressState::Snapshot(_) => true,
        };
        if is_stale {
            return;
        }
        let next_index = (common_index.min(prev_index.saturating_sub(1)) + 1).max(self.matched_index + 1);
        // The same question has the same answer: it is not asked again before the next heartbeat.
        self.state = ProgressState::Probe { is_sent: next_index == self.next_index };
        self.next_index = next_index;
    }

    /// The follower waits for a chunk of the state `source`.
    pub(crate) fn handle_chunk_wanted(&mut self, source: u64, number: usize, settings: &Settings) {
        if let ProgressState::Snapshot(transfer) = &mut self.state {
            transfer.handle_chunk_wanted(source, number, self.last_contact, settings);
        }
    }
}
