//! Snapshots that are sent and received, a chunk at a time (Raft 5.1).
//!
//! The receiver hands each chunk on at once, and acknowledges the snapshot once all of it is on the disk; until then the old state
//! and the old records stay in force.

use std::sync::Arc;

use bytes::Bytes;

use super::Replica;
use crate::entry::LogPosition;
use crate::log::Log;
use crate::message::{Body, SnapshotChunk, SnapshotChunkWanted};
use crate::progress::{Progress, ProgressState, SnapshotTransfer};
use crate::records::ChunkRecords;
use crate::snapshot::{RestoreStep, Snapshot};
use crate::{Index, Member, MemberId, Term, wire};

/// Which snapshot a chunk is of.
#[derive(Clone, Copy, PartialEq, Eq)]
struct SnapshotId {
    leader: MemberId,
    /// The leader's term.
    term: Term,
    index: Index,
    /// Which of the leader's states it is.
    source: u64,
    chunk_count: u32,
}

/// A snapshot of which chunks are still to come.
#[derive(Clone)]
pub(super) struct IncomingSnapshot {
    id: SnapshotId,
    /// The records of the chunks so far: the bytes that came, which the state machine has been handed too.
    records: Vec<Bytes>,
}

impl Replica {
    /// A follower that does not answer, and whose snapshot precedes the log by now: once it is back it gets the newest one, not one
    /// that another would have to follow.
    pub(super) fn abandon_old_transfer(&self, progress: &mut Progress, is_active: bool) {
        if let ProgressState::Snapshot(transfer) = &progress.state
            && !is_active
            && transfer.snapshot.position.index < self.log.base_index()
        {
            progress.state = ProgressState::Probe { is_sent: true };
        }
    }

    /// Begins to send the newest snapshot; false where there is none to be sent, or the follower does not answer.
    pub(super) fn start_transfer(&self, progress: &mut Progress, is_active: bool) -> bool {
        let is_sendable = is_active && self.snapshot.position.index >= self.log.base_index();
        let Some(source) = self.snapshot.source.clone().filter(|_| is_sendable) else { return false };
        progress.retained_bytes = usize::try_from(source.state.size()).unwrap_or(usize::MAX);
        let transfer = SnapshotTransfer::new(self.snapshot.clone(), source, &self.settings);
        progress.state = ProgressState::Snapshot(transfer);
        true
    }

    /// A message with the chunk that the follower waits for, which is encoded now.
    pub(super) fn chunk_message(&self, to: &Member, transfer: &SnapshotTransfer) -> (Member, Bytes) {
        let SnapshotTransfer { snapshot, source, number, .. } = transfer;
        let chunk_count = source.state.chunks();
        let chunk = SnapshotChunk {
            read_round: self.reads.round(),
            position: snapshot.position,
            members: snapshot.members.clone(),
            source: source.number,
            chunk_count: u32::try_from(chunk_count).unwrap_or(u32::MAX),
            number: u32::try_from(*number).unwrap_or(u32::MAX),
            record: None,
        };
        if *number >= chunk_count {
            return self.encode(to, &Body::InstallSnapshot(chunk));
        }
        let state = source.state.chunk(*number);
        (to.clone(), wire::encode_snapshot_chunk(&self.envelope(to), &chunk, &state))
    }

    /// Takes a chunk of a leader's snapshot.
    pub(super) fn handle_install_snapshot(&mut self, leader: &Member, chunk: SnapshotChunk) {
        let SnapshotChunk { read_round, position, source, .. } = chunk;
        if position.index > self.commit_index && self.log.term_at(position.index) == Some(position.term) {
            self.commit_to(position.index);
        }
        if position.index <= self.commit_index {
            self.abandon_incoming_snapshot();
            let matched_index = self.persistence.persisted_index().min(self.commit_index);
            self.send_after_hard_state(leader, &self.append_accepted(read_round, matched_index));
            return;
        }
        let mut incoming = self.take_incoming_snapshot(leader, &chunk);
        if let Some(record) = chunk.record
            && chunk.number as usize == incoming.records.len()
        {
            let state = record.slice(wire::CHUNK_RECORD_HEADER_BYTES..);
            self.application.push_restore_step(RestoreStep::Chunk(state));
            incoming.records.push(record);
        }
        let number = u32::try_from(incoming.records.len()).unwrap_or(u32::MAX);
        if number < incoming.id.chunk_count {
            self.incoming_snapshot = Some(incoming);
            let wanted = SnapshotChunkWanted { read_round, source, number };
            self.send_after_hard_state(leader, &Body::SnapshotChunkWanted(wanted));
            return;
        }
        self.install_snapshot(position, chunk.members, incoming.records);
        self.send_after_writes(leader, &self.append_accepted(read_round, position.index));
    }

    /// The snapshot that a chunk is of; a new one where it is not that which is being received.
    fn take_incoming_snapshot(&mut self, leader: &Member, chunk: &SnapshotChunk) -> IncomingSnapshot {
        let id = SnapshotId {
            leader: leader.id,
            term: self.term,
            index: chunk.position.index,
            source: chunk.source,
            chunk_count: chunk.chunk_count,
        };
        if let Some(incoming) = self.incoming_snapshot.take_if(|incoming| incoming.id == id) {
            return incoming;
        }
        self.incoming_snapshot = None;
        self.application.begin_restore();
        IncomingSnapshot { id, records: vec![] }
    }

    /// Drops what has come of a snapshot.
    pub(super) fn abandon_incoming_snapshot(&mut self) {
        if self.incoming_snapshot.take().is_some() {
            self.application.abandon_restore();
        }
    }

    /// All chunks have come: the snapshot replaces log and state.
    fn install_snapshot(&mut self, position: LogPosition, members: Vec<Member>, records: Vec<Bytes>) {
        // What was committed and persisted here still is, until the disk has the snapshot.
        self.persistence.replace_log(self.commit_index);
        self.log = Log::new(position, members.clone());
        self.snapshot = Arc::new(Snapshot { position, members, source: None });
        self.compaction.restart();
        self.commit_index = position.index;
        self.application.finish_restore(position.index);
        self.rewrite(ChunkRecords::Received(records.into()), false);
    }
}
