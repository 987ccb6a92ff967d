//! What goes to the disk, and what waits for it: votes and answers are sent only once the records that they rest on are synced
//! (Raft 3.8), and an entry counts for this member only from then on.
//!
//! Each write has a ticket; tickets rise, and a later one covers earlier ones.

use std::collections::VecDeque;

use bytes::Bytes;

use super::{Replica, Role};
use crate::entry::{Entry, LogPosition};
use crate::message::Body;
use crate::records::{ChunkRecords, Records};
use crate::snapshot::Snapshot;
use crate::{Index, Member, MemberId, Rewrite, Term, Time, wire};

/// Entries that were handed to the disk.
#[derive(Clone)]
struct PendingWrite {
    ticket: u64,
    /// Once the ticket is persisted the disk has the log up to here.
    last_index: Index,
}

/// A message that waits for the disk.
#[derive(Clone)]
struct PendingMessage {
    ticket: u64,
    to: Member,
    bytes: Bytes,
}

/// What was handed to the disk, what of it is synced, and what waits for that.
#[derive(Clone, Default)]
pub(super) struct Persistence {
    last_ticket: u64,
    persisted_ticket: u64,
    /// The ticket of the newest record of term and vote.
    hard_state_ticket: u64,
    /// The ticket of the newest record of a committed replica set.
    membership_ticket: u64,
    /// The disk has the log up to here.
    persisted_index: Index,
    /// Writes of entries that are not persisted, by ticket.
    pending_writes: VecDeque<PendingWrite>,
    /// Messages that wait, by ticket.
    pending_messages: VecDeque<PendingMessage>,
    /// There are records on the disk, the founding replica set among them unless it was replaced.
    has_records: bool,
}

impl Persistence {
    /// The disk has the log up to here.
    pub(super) fn persisted_index(&self) -> Index {
        self.persisted_index
    }

    /// Term and vote are on the disk.
    pub(super) fn is_hard_state_persisted(&self) -> bool {
        self.is_persisted(self.hard_state_ticket)
    }

    /// It is on the disk that the newest committed replica set is committed.
    pub(super) fn is_membership_persisted(&self) -> bool {
        self.is_persisted(self.membership_ticket)
    }

    fn is_persisted(&self, ticket: u64) -> bool {
        ticket <= self.persisted_ticket
    }

    fn next_ticket(&mut self) -> u64 {
        self.last_ticket += 1;
        self.last_ticket
    }

    fn push_write(&mut self, ticket: u64, last_index: Index) {
        self.pending_writes.push_back(PendingWrite { ticket, last_index });
    }

    fn set_persisted(&mut self, ticket: u64) {
        self.persisted_ticket = self.persisted_ticket.max(ticket.min(self.last_ticket));
        while let Some(write) =
            self.pending_writes.pop_front_if(|write| write.ticket <= self.persisted_ticket)
        {
            self.persisted_index = self.persisted_index.max(write.last_index);
        }
    }

    fn push_message(&mut self, message: PendingMessage) {
        let offset = self.pending_messages.partition_point(|earlier| earlier.ticket <= message.ticket);
        self.pending_messages.insert(offset, message);
    }

    fn pop_persisted_message(&mut self) -> Option<PendingMessage> {
        self.pending_messages.pop_front_if(|message| message.ticket <= self.persisted_ticket)
    }

    /// The log ends at this index now.
    pub(super) fn truncate(&mut self, last_index: Index) {
        self.persisted_index = self.persisted_index.min(last_index);
        for write in &mut self.pending_writes {
            write.last_index = write.last_index.min(last_index);
        }
    }

    /// The log is replaced, up to `commit_index` by what it is already.
    pub(super) fn replace_log(&mut self, commit_index: Index) {
        self.persisted_index = self.persisted_index.min(commit_index);
        self.pending_writes.clear();
    }

    /// The log is dropped, and with it what was to be acknowledged of it.
    pub(super) fn drop_log(&mut self) {
        self.persisted_index = 0;
        self.pending_writes.clear();
        self.pending_messages.clear();
    }

    /// The disk has records.
    pub(super) fn set_has_records(&mut self) {
        self.has_records = true;
    }

    /// The disk has the log up to here, as it is read back.
    pub(super) fn set_persisted_index(&mut self, index: Index) {
        self.persisted_index = index;
    }
}

impl Replica {
    /// All records up to this ticket are on the disk.
    pub fn persisted(&mut self, now: Time, ticket: u64) {
        self.advance_clock(now);
        self.persistence.set_persisted(ticket);
        while let Some(PendingMessage { to, bytes, .. }) = self.persistence.pop_persisted_message() {
            self.ready.messages.push((to, bytes));
        }
        if self.role == Role::Candidate && self.persistence.is_hard_state_persisted() {
            self.votes.insert(self.local_member.id);
            self.count_votes();
        }
        self.advance_commit();
    }

    /// Hands a record to the disk; its ticket. The founding replica set goes before the first one.
    fn persist(&mut self, record: Bytes) -> u64 {
        let is_first = !std::mem::replace(&mut self.persistence.has_records, true);
        if is_first && !self.snapshot.members.is_empty() {
            let ticket = self.persistence.next_ticket();
            let founding = wire::snapshot_record(LogPosition::default(), &self.snapshot.members, 0);
            self.ready.records.push((ticket, founding));
        }
        let ticket = self.persistence.next_ticket();
        self.ready.records.push((ticket, record));
        ticket
    }

    /// Takes this term and vote, and hands them to the disk.
    pub(super) fn persist_hard_state(&mut self, term: Term, voted_for: Option<MemberId>) {
        self.term = term;
        self.voted_for = voted_for;
        self.persistence.hard_state_ticket = self.persist(wire::hard_state_record(term, voted_for));
    }

    /// Hands it to the disk that the replica set entry at this index is committed.
    pub(super) fn persist_membership_committed(&mut self, index: Index) {
        self.persistence.membership_ticket = self.persist(wire::membership_committed_record(index));
    }

    /// Hands an entry to the disk; the entry as it is to be kept in memory.
    pub(super) fn persist_entry(&mut self, index: Index, entry: Entry) -> Entry {
        let record = wire::entry_record(index, &entry);
        // Its content is in memory once: as the end of its record.
        let data = record.slice(wire::ENTRY_RECORD_HEADER_BYTES..);
        let ticket = self.persist(record);
        self.persistence.push_write(ticket, index);
        Entry { data, ..entry }
    }

    /// Replaces all records: by the snapshot with these chunks, and what follows it.
    pub(super) fn rewrite(&mut self, chunks: ChunkRecords, is_implied: bool) {
        let Snapshot { position, members, .. } = &*self.snapshot;
        let first_index = position.index + 1;
        let last_index = self.log.last_index();
        let membership_committed = (self.membership_commit_index > position.index)
            .then(|| wire::membership_committed_record(self.membership_commit_index));
        let has_vote_floor = self.vote_floor > LogPosition::default();
        let records = Records {
            snapshot: wire::snapshot_record(*position, members, chunks.count()),
            chunks,
            hard_state: wire::hard_state_record(self.term, self.voted_for),
            first_index,
            entries: (first_index..=last_index).filter_map(|index| self.log.get(index).cloned()).collect(),
            membership_committed,
            vote_floor: has_vote_floor.then(|| wire::vote_floor_record(self.vote_floor)),
        };
        self.persistence.has_records = true;
        let ticket = self.persistence.next_ticket();
        self.ready.records.clear();
        self.ready.rewrite = Some(Rewrite { ticket, records, is_implied });
        self.persistence.push_write(ticket, last_index);
    }

    /// Sends a message once all that was handed to the disk so far is there.
    pub(super) fn send_after_writes(&mut self, to: &Member, body: &Body) {
        self.send_after(self.persistence.last_ticket, to, body);
    }

    /// Sends a message once term and vote are on the disk.
    pub(super) fn send_after_hard_state(&mut self, to: &Member, body: &Body) {
        self.send_after(self.persistence.hard_state_ticket, to, body);
    }

    fn send_after(&mut self, ticket: u64, to: &Member, body: &Body) {
        let (to, bytes) = self.encode(to, body);
        if self.persistence.is_persisted(ticket) {
            self.ready.messages.push((to, bytes));
        } else {
            self.persistence.push_message(PendingMessage { ticket, to, bytes });
        }
    }
}
