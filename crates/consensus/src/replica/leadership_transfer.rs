//! Leadership transfer (Raft 3.10): a leader has another member campaign at once, so that the shard has no leader for a few round
//! trips in place of an election timeout.
//!
//! The leader takes no proposals while the target catches up. Once the target is known to have the whole log on its disk, it is sent
//! one message, on which it campaigns without a pre-vote, and voters do not wait for the old leader to fall silent (Raft 4.2.3).
//! Safety does not rest on any of this: a target that lacks entries gets no votes. A transfer that has not ended after an election
//! timeout is abandoned, and proposals are taken again.

use super::{Replica, Role};
use crate::message::{Body, VoteKind};
use crate::progress::{Progress, ProgressState};
use crate::{Member, MemberId, Term, Time, TransferError};

/// A transfer that a leader has begun.
#[derive(Clone, Copy)]
pub(super) struct LeadershipTransfer {
    target: MemberId,
    /// When it is abandoned.
    deadline: Time,
    /// The target was asked to campaign.
    is_requested: bool,
}

impl Replica {
    /// Begins to hand leadership over to another member, which must lack no more than one message's worth of entries.
    ///
    /// # Errors
    /// Why it cannot begin now; nothing has changed then.
    pub fn transfer_leadership(&mut self, now: Time, target: MemberId) -> Result<(), TransferError> {
        self.advance_clock(now);
        if !self.is_serving_leader() {
            return Err(TransferError::NotLeader);
        }
        if self.transfer.is_some() || !self.is_replica_set_committed() {
            return Err(TransferError::Busy);
        }
        if !self.may_take_over(target) {
            return Err(TransferError::TargetBehind);
        }
        let deadline = self.now + self.settings.election_timeout;
        self.transfer = Some(LeadershipTransfer { target, deadline, is_requested: false });
        Ok(())
    }

    /// The members that leadership can be transferred to now.
    pub fn transfer_targets(&self) -> Vec<Member> {
        let members = self.log.replica_set().members.iter();
        members.filter(|member| self.may_take_over(member.id)).cloned().collect()
    }

    /// Whether leadership is being transferred: no proposals are taken meanwhile.
    pub fn is_transferring_leadership(&self) -> bool {
        self.transfer.is_some()
    }

    /// Whether a member is in contact, gets entries as they come, and lacks few.
    fn may_take_over(&self, target: MemberId) -> bool {
        let is_member = self.log.replica_set().members.iter().any(|member| member.id == target);
        let is_current = |progress: &Progress| {
            let is_replicating = matches!(progress.state, ProgressState::Replicate { .. });
            let lacking_bytes = self.log.bytes_after(progress.matched_index);
            is_replicating
                && progress.is_active(self.now, &self.settings)
                && lacking_bytes <= self.settings.max_message_bytes
        };
        is_member && self.progress.get(&target).is_some_and(is_current)
    }

    /// Asks the target to campaign, once it has the whole log on its disk.
    pub(super) fn advance_transfer(&mut self) {
        let Some(transfer) = self.transfer.filter(|transfer| !transfer.is_requested) else { return };
        let Some(progress) = self.progress.get(&transfer.target) else { return };
        if progress.matched_index < self.log.last_index() {
            return;
        }
        let member = progress.member.clone();
        self.transfer = Some(LeadershipTransfer { is_requested: true, ..transfer });
        self.send(&member, &Body::TimeoutNow);
    }

    /// Takes proposals again where a transfer has taken too long.
    pub(super) fn abandon_late_transfer(&mut self) {
        self.transfer = self.transfer.filter(|transfer| self.now < transfer.deadline);
    }

    /// The leader of this term asks this member to campaign.
    pub(super) fn handle_timeout_now(&mut self, leader: &Member, term: Term) {
        let is_from_leader = self.leader.as_ref().is_some_and(|known| known.id == leader.id);
        if term == self.term && self.role == Role::Follower && is_from_leader && self.is_member() {
            self.leader = None;
            self.start_election(VoteKind::LeadershipTransfer);
        }
    }
}
