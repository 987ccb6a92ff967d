//! Reads that see all that was committed before they were asked (read index, Raft 6.4): a quorum has to answer a round of messages
//! that began after the read, so that no other leader can have committed anything before it.

use super::{Replica, Role};
use crate::{Index, ProposeError, Time};

#[derive(Clone)]
struct PendingRead {
    ticket: u64,
    /// The round that a quorum has to answer.
    round: u64,
    /// What has to be applied.
    index: Index,
}

/// The reads that a leader has not answered, and its rounds of messages.
#[derive(Clone, Default)]
pub(super) struct Reads {
    /// The number of the newest round.
    round: u64,
    /// A read waits for another round.
    is_round_needed: bool,
    pending: Vec<PendingRead>,
}

impl Reads {
    /// The number of the newest round.
    pub(super) fn round(&self) -> u64 {
        self.round
    }

    /// Begins another round where a read waits for one; whether it did.
    pub(super) fn begin_round(&mut self) -> bool {
        let begins = std::mem::take(&mut self.is_round_needed);
        self.round += u64::from(begins);
        begins
    }
}

impl Replica {
    /// Asks for a read that sees all that was committed before; answered under this ticket in [`crate::Ready::reads`].
    pub fn read_index(&mut self, now: Time, ticket: u64) {
        self.advance_clock(now);
        if self.role == Role::Leader {
            // What earlier leaders have committed is known once an entry of this term is.
            let index = self.commit_index.max(self.first_index_of_term);
            self.reads.pending.push(PendingRead { ticket, round: self.reads.round + 1, index });
            self.reads.is_round_needed = true;
        } else {
            self.ready.reads.push((ticket, Err(self.not_leader())));
        }
    }

    /// Answers the reads that a quorum has confirmed and the state machine has reached.
    pub(super) fn answer_reads(&mut self) {
        if self.role != Role::Leader || self.reads.pending.is_empty() {
            return;
        }
        let confirmed_round = self.reached_by_quorums(|progress| progress.read_round, self.reads.round);
        let applied_index = self.application.applied_index();
        let is_ready = |read: &mut PendingRead| read.round <= confirmed_round && read.index <= applied_index;
        let answered = self.reads.pending.extract_if(.., is_ready);
        self.ready.reads.extend(answered.map(|read| (read.ticket, Ok(()))));
    }

    /// Fails all reads: this member does not lead any more.
    pub(super) fn fail_reads(&mut self, error: &ProposeError) {
        self.reads.is_round_needed = false;
        let failed = self.reads.pending.drain(..).map(|read| (read.ticket, Err(error.clone())));
        self.ready.reads.extend(failed);
    }
}
