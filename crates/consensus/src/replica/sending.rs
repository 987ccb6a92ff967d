//! What goes to other members: answers that wait for the disk, and what each follower lacks.

use std::collections::VecDeque;

use bytes::Bytes;

use super::{Flow, MOST_ENTRIES, MOST_IN_FLIGHT, Observed, Progress, Replica, Role};
use crate::log::{Snapshot, Source};
use crate::wire::{self, Body};
use crate::{Index, Member, Term};

/// Whether one more message may go to a follower beside those that it has not acknowledged: no more than a few, and few bytes, so
/// that signs of life do not wait behind them.
fn has_room(in_flight: &VecDeque<(Index, usize)>, max_message_bytes: usize) -> bool {
    let bytes: usize = in_flight.iter().map(|(_, bytes)| bytes).sum();
    in_flight.len() < MOST_IN_FLIGHT && bytes < max_message_bytes
}

impl Replica {
    pub(super) fn encode(&self, to: &Member, body: Body, bulk: &[&[u8]]) -> (Member, Bytes) {
        (to.clone(), wire::message(to.id, &self.me, self.term, body, bulk))
    }
    pub(super) fn send(&mut self, to: &Member, body: Body, bulk: &[&[u8]]) {
        let message = self.encode(to, body, bulk);
        self.output.messages.push(message);
    }
    /// Sends it once the ticket is saved.
    pub(super) fn hold(&mut self, ticket: u64, to: &Member, body: Body) {
        let (to, bytes) = self.encode(to, body, &[]);
        if ticket <= self.saved {
            self.output.messages.push((to, bytes));
        } else {
            let place = self.held.partition_point(|(earlier, _, _)| *earlier <= ticket);
            self.held.insert(place, (ticket, to, bytes));
        }
    }
    /// A follower has answered: a sign of life, and what it says.
    pub(super) fn answered(
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
    pub(super) fn flush(&mut self) {
        let broadcast_pending = std::mem::take(&mut self.broadcast_pending);
        let mut messages = std::mem::take(&mut self.output.messages);
        let mut all = std::mem::take(&mut self.progress);
        let whole = self.snapshot.state.is_some() && self.snapshot.index >= self.log.base();
        let lacks = |p: &Progress| {
            self.is_alive(p) && !matches!(p.flow, Flow::Snapshot { .. }) && p.next <= self.log.base()
        };
        self.state_wanted |= !whole && all.values().any(lacks);
        for progress in all.values_mut() {
            self.feed(progress, broadcast_pending, &mut messages);
        }
        self.progress = all;
        self.output.messages = messages;
    }
    /// Has been heard within an election time.
    pub(super) fn is_alive(&self, progress: &Progress) -> bool {
        self.now - progress.heard <= self.settings.election_timeout
    }
    pub(super) fn feed(
        &self,
        progress: &mut Progress,
        broadcast_pending: bool,
        messages: &mut Vec<(Member, Bytes)>,
    ) {
        let before = messages.len();
        let is_alive = self.is_alive(progress);
        if let Flow::Snapshot { snapshot, .. } = &progress.flow
            && !is_alive
            && snapshot.index < self.log.base()
        {
            // Once it is back it gets the newest one, not one that more would have to follow.
            progress.flow = Flow::Probe { asked: true };
        }
        if !matches!(progress.flow, Flow::Snapshot { .. }) && progress.next <= self.log.base() {
            let source = self.snapshot.state.clone();
            let source = source.filter(|_| is_alive && self.snapshot.index >= self.log.base());
            let Some(source) = source else {
                // The state is asked for; until it is there this follower has signs of life.
                if broadcast_pending && let Some(term) = self.log.term(self.log.base()) {
                    messages.push(self.empty_message(&progress.member, self.log.base(), term));
                }
                return;
            };
            progress.allowance = usize::try_from(source.state.size()).unwrap_or(usize::MAX);
            let snapshot = self.snapshot.clone();
            let patience = self.settings.election_timeout;
            progress.flow = Flow::Snapshot { snapshot, source, number: 0, sent: None, patience };
        }
        let mut at = None;
        match &mut progress.flow {
            Flow::Probe { asked } => {
                if !std::mem::replace(asked, true) {
                    at = Some(progress.next - 1);
                }
            }
            Flow::Replicate { in_flight } => {
                while has_room(in_flight, self.settings.max_message_bytes) && progress.next <= self.log.last()
                {
                    let prev = progress.next - 1;
                    let (message, last) = self.entries_message(&progress.member, prev);
                    in_flight.push_back((last, message.1.len()));
                    messages.push(message);
                    progress.commit_sent = progress.commit_sent.max(self.commit.min(last));
                    progress.next = last + 1;
                }
                if progress.next > self.log.last() {
                    progress.allowance = 0;
                }
                if progress.commit_sent < self.commit.min(progress.next - 1) {
                    at = Some(progress.next - 1);
                }
            }
            Flow::Snapshot { snapshot, source, number, sent, .. } => {
                // Bulk goes to those who live.
                if is_alive && sent.is_none() {
                    *sent = Some(self.now);
                    messages.push(self.chunk_message(&progress.member, snapshot, source, *number));
                }
                // What is not installed yet is no ground to stand on: this one only gives a sign of life.
                if broadcast_pending {
                    let (index, term) = (snapshot.index, snapshot.term);
                    messages.push(self.empty_message(&progress.member, index, term));
                }
                return;
            }
        }
        if at.is_none() && broadcast_pending && messages.len() == before {
            at = Some(progress.next - 1);
        }
        if let Some(prev) = at
            && let Some(term) = self.log.term(prev)
        {
            messages.push(self.empty_message(&progress.member, prev, term));
            progress.commit_sent = progress.commit_sent.max(self.commit.min(prev));
        }
    }
    pub(super) fn empty_message(&self, to: &Member, prev_index: Index, prev_term: Term) -> (Member, Bytes) {
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
    pub(super) fn entries_message(&self, to: &Member, prev_index: Index) -> ((Member, Bytes), Index) {
        let mut last = prev_index;
        let mut bytes = 0;
        let mut heads = vec![];
        let mut bulk: Vec<&[u8]> = vec![];
        while let Some(entry) = self.log.get(last + 1)
            && (heads.is_empty()
                || heads.len() < MOST_ENTRIES && bytes + entry.data.len() <= self.settings.max_message_bytes)
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
    /// With a piece of a snapshot, which is encoded now.
    fn chunk_message(
        &self,
        to: &Member,
        snapshot: &Snapshot,
        source: &Source,
        number: usize,
    ) -> (Member, Bytes) {
        let group = wire::group(&[], &snapshot.group);
        let chunks = source.state.chunks();
        let (head, chunk) = if number < chunks {
            (wire::chunk_header(number), source.state.chunk(number))
        } else {
            (vec![], Bytes::new())
        };
        let narrow = |figure: usize| u32::try_from(figure).unwrap_or(u32::MAX);
        let body = Body::InstallSnapshot {
            round: self.round,
            index: snapshot.index,
            last_term: snapshot.term,
            source: source.number,
            chunks: narrow(chunks),
            number: narrow(number),
            group_len: narrow(group.len()),
        };
        self.encode(to, body, &[&group, &head, &chunk])
    }

    pub(super) fn observe(&self) -> Observed {
        Observed {
            leader: self.leader.as_ref().map(|leader| leader.id),
            leads: self.is_serving_leader(),
            group: self.log.group().index,
            settled: self.is_replica_set_committed(),
        }
    }
}
