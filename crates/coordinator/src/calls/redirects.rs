//! "Not leader": what it means for a call of this process, and how this process says it of itself.

use std::net::SocketAddr;

use bytes::Bytes;

use super::{NO_LEADER_PAUSE, RETRY_AFTER};
use crate::frame::{Head, PeerAddress, join};
use crate::{Answer, Coordinator, Effect, Origin};

/// Redirects that a call follows in a row before it pauses: during an election, processes may name one another in a circle.
const MAX_REDIRECTS: usize = 3;

impl Coordinator {
    /// The target of a call's attempt says that it does not lead, and who does as far as it knows. A target that was only asked
    /// whether it leads names itself if so. `is_proposed`: it had proposed the call while it led.
    pub(crate) fn handle_not_leader(
        &mut self,
        nonce: u64,
        from: SocketAddr,
        leader: Option<SocketAddr>,
        is_proposed: bool,
    ) {
        if is_proposed {
            self.calls.mark_unresolved(nonce);
        }
        let now = self.now.steady;
        let Some(pending) = self.calls.pending.get_mut(&nonce) else { return };
        if pending.target != Some(from) {
            return;
        }
        pending.unanswered_attempts = 0;
        pending.redirects += 1;
        let shard = pending.call.shard;
        let is_confirmed = pending.is_locating && leader == Some(from);
        pending.confirmed_leader = leader.filter(|_| is_confirmed);
        let is_worth_following = |leader: &SocketAddr| {
            *leader != from && Some(*leader) != pending.unresponsive && pending.redirects <= MAX_REDIRECTS
        };
        if let Some(leader) = leader.filter(|leader| is_confirmed || is_worth_following(leader)) {
            self.calls.leader_hints.insert(shard, leader);
            self.send_attempt(nonce);
        } else {
            pending.redirects = 0;
            pending.next_attempt_at = now + NO_LEADER_PAUSE;
            pending.target = None;
            self.calls.forget_leader(shard, from);
        }
    }

    /// Redirects a call that was proposed here by this process as a leader that was replaced since: it may still be committed.
    pub(crate) fn redirect_proposed(&mut self, shard: u16, origin: Origin) {
        self.send_not_leader(shard, origin, true);
    }

    /// Redirects a call of which nothing was proposed here.
    pub(crate) fn redirect(&mut self, shard: u16, origin: Origin) {
        self.send_not_leader(shard, origin, false);
    }

    fn send_not_leader(&mut self, shard: u16, origin: Origin, is_proposed: bool) {
        // One that is elected and may not serve yet does not name itself, nor does one that hands its post over.
        let replica = self.shards.get(&shard).map(|shard| &shard.replica);
        let leader = replica
            .filter(|r| r.is_serving_leader() && !r.is_transferring_leadership() || !r.is_leader())
            .and_then(|r| r.leader())
            .map(|m| m.address);
        match origin {
            Origin::Own(nonce) => self.handle_not_leader(nonce, self.info.peer_address, leader, is_proposed),
            Origin::Remote { to, nonce } => {
                let leader = leader.map_or(PeerAddress::NONE, PeerAddress::from);
                let head = Head::NotLeader { nonce, proposed: u8::from(is_proposed), leader };
                self.effects.push(Effect::Frame { to, head: join(&head, &[]), tail: Bytes::new() });
            }
            Origin::Caller(ticket) => self.answer(ticket, Answer::retry_after(503, RETRY_AFTER)),
        }
    }
}
