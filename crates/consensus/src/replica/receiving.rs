//! Messages of other members.

use std::collections::VecDeque;

use bytes::Bytes;

use super::install::SnapshotChunk;
use super::{Flow, PATIENCE_FACTOR, Progress, Replica, Role};
use crate::wire::{self, Body};
use crate::{DecodeError, Index, Member, Term, Time};

/// Of a follower's refusal: what it was asked, and its newest entry that may be common.
struct Refusal {
    prev_index: Index,
    common: Index,
}

impl Replica {
    /// A message of another member's replica of this part.
    ///
    /// # Errors
    /// Where the bytes cannot be read; nothing has changed then.
    pub fn receive(&mut self, now: Time, bytes: &Bytes) -> Result<(), DecodeError> {
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
        match body {
            Body::RequestVote { .. } => {}
            Body::Vote { pre, for_term, granted, settled_index, settled_term } => {
                self.learn_settled(settled_index, settled_term);
                self.vote_came(&from, pre != 0, for_term, granted != 0);
            }
            Body::AppendEntries { round, prev_index, prev_term, commit, .. } => {
                if self.follows(&from, term, round, prev_index) {
                    self.append_requested(&from, round, (prev_index, prev_term), commit, entries);
                }
            }
            Body::InstallSnapshot { round, index, last_term, source, chunks, number, .. } => {
                if self.follows(&from, term, round, index) {
                    let term = last_term;
                    let chunk = SnapshotChunk { index, term, group, source, chunks, number, record: chunk };
                    self.install_requested(&from, round, chunk);
                }
            }
            Body::Appended { round, matched, settled } => {
                self.answered(term == self.term, &from, round, |progress, last| {
                    progress.appended(matched.min(last), settled != 0);
                });
            }
            Body::Rejected { round, prev_index, hint_index, hint_term } => {
                let common = self.log.common(hint_index, hint_term);
                let refusal = Refusal { prev_index, common };
                self.answered(term == self.term, &from, round, |progress, _| progress.rejected(&refusal));
            }
            Body::SnapshotWanted { round, source, wanted } => {
                let most_patience = self.settings.most_patience();
                self.answered(term == self.term, &from, round, |progress, _| {
                    progress.wants_chunk(source, wanted as usize, most_patience);
                });
            }
        }
        self.advance();
        Ok(())
    }

    /// A voter knows that this member's newest group is committed.
    fn learn_settled(&mut self, index: Index, term: Term) {
        let is_newest = self.log.group().index == index && self.log.term(index) == Some(term);
        if self.role != Role::Leader && is_newest {
            self.settle(index);
        }
    }

    fn vote_came(&mut self, from: &Member, pre: bool, for_term: Term, granted: bool) {
        let wanted = match self.role {
            Role::PreCandidate => pre && for_term == self.term + 1,
            Role::Candidate => !pre && for_term == self.term,
            Role::Follower | Role::Leader => false,
        };
        if !wanted {
            return;
        }
        if granted {
            self.votes.insert(from.id);
        }
        self.count_votes();
    }

    /// Whether it follows who says to lead this term; one of an earlier term is told of this one.
    fn follows(&mut self, from: &Member, term: Term, round: u64, prev_index: Index) -> bool {
        if term != self.term {
            let body = Body::Rejected { round, prev_index, hint_index: 0, hint_term: 0 };
            self.hold(self.hard_ticket, from, body);
            return false;
        }
        if self.role == Role::Leader {
            return false;
        }
        self.follow(from);
        true
    }
}

impl Progress {
    /// The follower has all up to `matched` on its disk.
    fn appended(&mut self, matched: Index, settled: bool) {
        self.matched = self.matched.max(matched);
        if settled {
            self.settled = self.settled.max(matched);
        }
        self.next = self.next.max(self.matched + 1);
        match &mut self.flow {
            Flow::Probe { asked } => {
                if matched + 1 >= self.next {
                    self.flow = Flow::Replicate { in_flight: VecDeque::new() };
                } else {
                    // What precedes is not saved there yet; it is common, though, or the answer were another.
                    *asked = true;
                }
            }
            Flow::Replicate { in_flight } => {
                while in_flight.front().is_some_and(|&(index, _)| index <= matched) {
                    in_flight.pop_front();
                }
            }
            Flow::Snapshot { snapshot, .. } => {
                if matched >= snapshot.index {
                    self.next = self.matched + 1;
                    self.flow = Flow::Replicate { in_flight: VecDeque::new() };
                }
            }
        }
    }

    /// What precedes the entries that were sent is not there.
    fn rejected(&mut self, refusal: &Refusal) {
        let prev_index = refusal.prev_index;
        let stale = match self.flow {
            Flow::Probe { .. } => prev_index + 1 != self.next,
            Flow::Replicate { .. } => prev_index <= self.matched || prev_index >= self.next,
            Flow::Snapshot { .. } => true,
        };
        if stale {
            return;
        }
        let next = (refusal.common.min(prev_index.saturating_sub(1)) + 1).max(self.matched + 1);
        // The same question has the same answer: it is not asked again before the next heartbeat.
        self.flow = Flow::Probe { asked: next == self.next };
        self.next = next;
    }

    /// The follower waits for a piece of the snapshot from this source.
    fn wants_chunk(&mut self, asked: u64, wanted: usize, most_patience: Time) {
        let now = self.heard;
        if let Flow::Snapshot { source, number, sent, patience, .. } = &mut self.flow
            && source.number == asked
            && *number != wanted
            && wanted < source.state.chunks()
        {
            *number = wanted;
            if let Some(at) = sent.take() {
                *patience = (*patience).max(PATIENCE_FACTOR * (now - at)).min(most_patience);
            }
        }
    }
}
