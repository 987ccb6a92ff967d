//! What a leader sends: to each follower what it lacks, as far as what is in flight allows (Raft 3.5, 10.2).

use bytes::Bytes;

use super::{Replica, Role};
use crate::entry::{Entry, LogPosition};
use crate::message::{AppendEntries, Body};
use crate::progress::{Progress, ProgressState};
use crate::wire::{self, Envelope};
use crate::{Index, Member, Term};

/// Entries in one message, at most.
const MAX_MESSAGE_ENTRIES: usize = 1024;

impl Replica {
    pub(super) fn envelope(&self, to: &Member) -> Envelope<'_> {
        Envelope { to: to.id, from: &self.local_member, term: self.term }
    }

    pub(super) fn encode(&self, to: &Member, body: &Body) -> (Member, Bytes) {
        (to.clone(), wire::encode_message(&self.envelope(to), body))
    }

    /// Sends a message that waits for nothing on the disk.
    pub(super) fn send(&mut self, to: &Member, body: &Body) {
        let message = self.encode(to, body);
        self.ready.messages.push(message);
    }

    /// Sends every follower what it lacks.
    pub(super) fn replicate(&mut self) {
        let is_broadcast = std::mem::take(&mut self.is_broadcast_pending);
        if self.is_snapshot_lacking() {
            self.compaction.need_snapshot();
        }
        let mut messages = std::mem::take(&mut self.ready.messages);
        let mut followers = std::mem::take(&mut self.progress);
        for progress in followers.values_mut() {
            self.replicate_to(progress, is_broadcast, &mut messages);
        }
        self.progress = followers;
        self.ready.messages = messages;
    }

    /// Whether a follower needs a snapshot, and there is none to be sent.
    fn is_snapshot_lacking(&self) -> bool {
        let base_index = self.log.base_index();
        let is_sendable = self.snapshot.source.is_some() && self.snapshot.position.index >= base_index;
        let needs_snapshot = |progress: &Progress| {
            progress.is_active(self.now, &self.settings)
                && !progress.is_receiving_snapshot()
                && progress.next_index <= base_index
        };
        !is_sendable && self.progress.values().any(needs_snapshot)
    }

    fn replicate_to(&self, progress: &mut Progress, is_broadcast: bool, messages: &mut Vec<(Member, Bytes)>) {
        let is_active = progress.is_active(self.now, &self.settings);
        self.abandon_old_transfer(progress, is_active);
        let is_in_log = progress.next_index > self.log.base_index();
        if !progress.is_receiving_snapshot() && !is_in_log && !self.start_transfer(progress, is_active) {
            // The state is asked for; until it is there this follower has heartbeats.
            if is_broadcast && let Some(position) = self.log.position(self.log.base_index()) {
                messages.push(self.heartbeat(&progress.member, position));
            }
            return;
        }
        if let ProgressState::Snapshot(transfer) = &mut progress.state {
            // Bulk goes to those who answer.
            if is_active && transfer.sent_at.is_none() {
                transfer.sent_at = Some(self.now);
                messages.push(self.chunk_message(&progress.member, transfer));
            }
            // The follower's log does not reach the snapshot before it is installed: this is only a heartbeat.
            if is_broadcast {
                messages.push(self.heartbeat(&progress.member, transfer.snapshot.position));
            }
            return;
        }
        let count = messages.len();
        let needs_message = self.send_entries(progress, messages);
        let has_sent = messages.len() > count;
        if (needs_message || is_broadcast && !has_sent)
            && let Some(prev) = self.log.position(progress.next_index - 1)
        {
            messages.push(self.heartbeat(&progress.member, prev));
            progress.sent_commit_index = progress.sent_commit_index.max(self.commit_index.min(prev.index));
        }
    }

    /// Sends entries as far as the follower's state allows; whether it needs a message without entries beside: a probe, or one that
    /// informs it of the commit index.
    fn send_entries(&self, progress: &mut Progress, messages: &mut Vec<(Member, Bytes)>) -> bool {
        match &mut progress.state {
            ProgressState::Probe { is_sent } => !std::mem::replace(is_sent, true),
            ProgressState::Replicate { in_flight } => {
                while in_flight.has_capacity(self.settings.max_message_bytes)
                    && progress.next_index <= self.log.last_index()
                {
                    let append = self.append_entries(progress.next_index - 1);
                    let last_index = progress.next_index - 1 + append.entries.len() as u64;
                    let message = self.encode(&progress.member, &Body::AppendEntries(append));
                    in_flight.push(last_index, message.1.len());
                    messages.push(message);
                    let sent_commit_index = self.commit_index.min(last_index);
                    progress.sent_commit_index = progress.sent_commit_index.max(sent_commit_index);
                    progress.next_index = last_index + 1;
                }
                if progress.next_index > self.log.last_index() {
                    progress.retained_bytes = 0;
                }
                progress.sent_commit_index < self.commit_index.min(progress.next_index - 1)
            }
            ProgressState::Snapshot(_) => false,
        }
    }

    /// A message without entries after this one.
    fn heartbeat(&self, to: &Member, prev: LogPosition) -> (Member, Bytes) {
        let read_round = self.reads.round();
        let commit_index = self.commit_index;
        let append = AppendEntries { read_round, prev, commit_index, entries: vec![] };
        self.encode(to, &Body::AppendEntries(append))
    }

    /// As many entries after `prev_index` as fit into a message, but one at least.
    fn append_entries(&self, prev_index: Index) -> AppendEntries {
        let mut entries: Vec<Entry> = vec![];
        let mut bytes = 0;
        while let Some(entry) = self.log.get(prev_index + 1 + entries.len() as u64)
            && (entries.is_empty()
                || entries.len() < MAX_MESSAGE_ENTRIES
                    && bytes + entry.data.len() <= self.settings.max_message_bytes)
        {
            bytes += entry.data.len();
            entries.push(entry.clone());
        }
        let prev_term = self.log.term_at(prev_index).unwrap_or_default();
        let prev = LogPosition { term: prev_term, index: prev_index };
        AppendEntries { read_round: self.reads.round(), prev, commit_index: self.commit_index, entries }
    }

    /// A follower has answered in this term: a sign of life, and what it says.
    pub(super) fn handle_answer(
        &mut self,
        follower: &Member,
        term: Term,
        read_round: u64,
        update: impl FnOnce(&mut Progress),
    ) {
        if term != self.term || self.role != Role::Leader {
            return;
        }
        if let Some(progress) = self.progress.get_mut(&follower.id) {
            progress.record_contact(self.now, read_round.min(self.reads.round()));
            update(progress);
        }
    }
}
