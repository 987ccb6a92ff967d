//! A snapshot that a leader sends in pieces. Each is handed on at once, and what was installed is acknowledged once all of it is on
//! the disk; until then the old state and the old records stand.

use std::sync::Arc;

use bytes::Bytes;

use super::{Incoming, Replica};
use crate::log::{Log, Snapshot};
use crate::records::ChunkRecords;
use crate::state::RestoreStep;
use crate::wire::{Body, CHUNK_RECORD_HEADER};
use crate::{Index, Member, Term};

/// A piece of a leader's snapshot, and which snapshot it is.
pub(super) struct SnapshotChunk {
    pub index: Index,
    pub term: Term,
    pub group: Vec<Member>,
    pub source: u64,
    pub chunks: u32,
    pub number: u32,
    /// None where the state is empty.
    pub record: Option<Bytes>,
}

impl Replica {
    pub(super) fn install_requested(&mut self, from: &Member, round: u64, chunk: SnapshotChunk) {
        let SnapshotChunk { index, term, source, .. } = chunk;
        if index > self.commit && self.log.term(index) == Some(term) {
            self.commit_to(index);
        }
        if index <= self.commit {
            self.abandon_incoming();
            let matched = self.stable.min(self.commit);
            self.hold(self.hard_ticket, from, self.appended(round, matched));
            return;
        }
        let mut incoming = self.incoming_of(from, &chunk);
        if let Some(record) = chunk.record
            && chunk.number as usize == incoming.records.len()
        {
            self.restoring.push_back(RestoreStep::Chunk(record.slice(CHUNK_RECORD_HEADER..)));
            incoming.records.push(record);
        }
        let wanted = u32::try_from(incoming.records.len()).unwrap_or(u32::MAX);
        if wanted < incoming.chunks {
            self.incoming = Some(incoming);
            self.hold(self.hard_ticket, from, Body::SnapshotWanted { round, source, wanted });
            return;
        }
        self.install((index, term), chunk.group, incoming.records);
        self.hold(self.ticket, from, self.appended(round, index));
    }

    /// The transfer that a piece belongs to; a new one where it is none of the one under way.
    fn incoming_of(&mut self, from: &Member, chunk: &SnapshotChunk) -> Incoming {
        let SnapshotChunk { index, source, chunks, .. } = *chunk;
        let same = |incoming: &Incoming| {
            (incoming.leader, incoming.term, incoming.index, incoming.source, incoming.chunks)
                == (from.id, self.term, index, source, chunks)
        };
        if let Some(incoming) = self.incoming.take_if(|incoming| same(incoming)) {
            return incoming;
        }
        self.incoming = None;
        self.begin_restore();
        Incoming { leader: from.id, term: self.term, index, source, chunks, records: vec![] }
    }

    /// All pieces have come.
    fn install(&mut self, at: (Index, Term), group: Vec<Member>, records: Vec<Bytes>) {
        let (index, term) = at;
        // What was committed and saved here still is, until the disk has the snapshot.
        self.stable = self.stable.min(self.commit);
        self.unsaved.clear();
        self.log = Log::new(index, term, group.clone());
        self.snapshot = Arc::new(Snapshot { index, term, group, state: None });
        self.weight = 0;
        self.compact_asked = false;
        self.commit = index;
        self.applied = index;
        self.restoring.push_back(RestoreStep::Finish(index));
        self.rewrite(ChunkRecords::Received(records.into()), false);
    }
}
