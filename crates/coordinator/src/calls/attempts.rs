//! Attempts of a call: whom each goes to, when it is retried, and when the call is given up.

use std::net::SocketAddr;

use bytes::Bytes;
use rainlug::{SECOND, Time};

use super::{ATTEMPT_TIMEOUT, NO_LEADER_PAUSE, PendingCall};
use crate::frame::{Head, Request, join, split};
use crate::{CONTROL, Coordinator, Effect, Origin};

/// As [`ATTEMPT_TIMEOUT`], for the question who leads, which is answered at once.
const LOCATE_TIMEOUT: Time = SECOND / 4;
/// A longer tail is sent only to a process that has just said that it leads.
const MAX_UNLOCATED_TAIL: usize = 4 << 10;
/// Once so many members in a row have not answered, the caller is better served by another process: either this process cannot reach
/// the members, or they cannot reach it. Where only the leader is lost, the others answer that they do not lead.
const MAX_UNANSWERED_ATTEMPTS: usize = 2;

impl PendingCall {
    /// Whether its caller had better call another process: nobody answers here, and nothing was sent that may still take effect.
    fn is_hopeless_here(&self) -> bool {
        let may_take_effect = self.is_unrepeatable() && self.is_sent;
        self.is_from_caller() && self.unanswered_attempts >= MAX_UNANSWERED_ATTEMPTS && !may_take_effect
    }

    /// Whom the next attempt goes to: who is known to lead, or else the members in turn.
    fn next_target(
        &self,
        own_leader: Option<SocketAddr>,
        hint: Option<SocketAddr>,
        members: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let is_hint_due = self.attempts == 0 || self.redirects > 0;
        let in_turn = (!members.is_empty()).then(|| members[self.attempts % members.len()]);
        own_leader.or(self.confirmed_leader).or(hint.filter(|_| is_hint_due)).or(in_turn)
    }
}

impl Coordinator {
    /// Makes the next attempt of a call.
    pub(super) fn send_attempt(&mut self, nonce: u64) {
        let now = self.now.steady;
        if self.send_relayed(nonce) {
            return;
        }
        let Some(pending) = self.calls.pending.get(&nonce) else { return };
        let (shard, unresponsive) = (pending.call.shard, pending.unresponsive);
        let is_led_here = self.shards.get(&shard).is_some_and(|led| led.replica.is_serving_leader());
        let own_leader = is_led_here.then_some(self.info.peer_address);
        let members = self.attempt_candidates(shard, unresponsive);
        let hint = self.calls.leader_hint(shard).filter(|hint| Some(*hint) != unresponsive);

        let Some(pending) = self.calls.pending.get_mut(&nonce) else { return };
        let target = pending.next_target(own_leader, hint, &members);
        pending.is_locating = own_leader.is_none()
            && pending.confirmed_leader.is_none()
            && pending.call.tail.len() > MAX_UNLOCATED_TAIL;
        pending.attempts += 1;
        let Some(target) = target else {
            pending.next_attempt_at = now + NO_LEADER_PAUSE;
            return;
        };
        pending.target = Some(target);
        let (timeout, request, tail) = if pending.is_locating {
            (LOCATE_TIMEOUT, join(&Request::Locate, &[]), Bytes::new())
        } else {
            pending.is_sent = true;
            let call = &pending.call;
            (ATTEMPT_TIMEOUT + call.leader_wait, call.request.clone(), call.tail.clone())
        };
        pending.next_attempt_at = now + timeout;
        if target == self.info.peer_address {
            if let Ok((request, _)) = split(&request) {
                self.handle_request(Origin::Own(nonce), shard, request, tail);
            }
        } else {
            let head = join(&Head::Call { nonce, shard }, &request);
            self.effects.push(Effect::Frame { to: target, head, tail });
        }
    }

    /// Members that an attempt may go to. Those that are known to be gone, or have just not answered, are among them only where
    /// nobody else is left.
    fn attempt_candidates(&self, shard: u16, unresponsive: Option<SocketAddr>) -> Vec<SocketAddr> {
        let all = self.member_addresses(shard);
        let is_reachable = |at: &SocketAddr| {
            *at == self.info.peer_address || self.peers.live.contains_key(at) && Some(*at) != unresponsive
        };
        let reachable: Vec<SocketAddr> = all.iter().copied().filter(is_reachable).collect();
        if reachable.is_empty() { all } else { reachable }
    }

    /// Where a shard's members hear their peers, as far as this process knows.
    fn member_addresses(&self, shard: u16) -> Vec<SocketAddr> {
        let members = if shard == CONTROL {
            self.topology.configuration_members.as_slice()
        } else {
            self.topology.replica_set(shard).map_or(&[][..], |group| &group.members)
        };
        if members.is_empty() && shard == CONTROL {
            return self.info.seeds.clone();
        }
        members.iter().map(|member| member.at.into()).collect()
    }

    /// Attempts again what has waited long enough, and gives up what has no time left.
    pub(crate) fn retry_due_calls(&mut self) {
        let now = self.now.steady;
        let is_due = |(nonce, call): (&u64, &PendingCall)| (call.next_timeout() <= now).then_some(*nonce);
        let due: Vec<u64> = self.calls.pending.iter().filter_map(is_due).collect();
        for nonce in due {
            let Some(pending) = self.calls.pending.get_mut(&nonce) else { continue };
            pending.unanswered_attempts += usize::from(pending.target.is_some());
            if pending.deadline <= now || pending.is_hopeless_here() {
                let answer = pending.timeout_answer();
                self.complete_call(nonce, answer);
                continue;
            }
            (pending.redirects, pending.confirmed_leader) = (0, None);
            if let Some(target) = pending.target {
                pending.is_unresolved |= !pending.is_locating;
                pending.unresponsive = Some(target);
                let shard = pending.call.shard;
                self.calls.forget_leader(shard, target);
            }
            self.send_attempt(nonce);
        }
    }

    /// A peer cannot be reached: calls that wait for it go to another member, after a pause in which one can be elected.
    pub(crate) fn retry_unreachable(&mut self, peer: SocketAddr) {
        let soon = self.now.steady + NO_LEADER_PAUSE;
        self.calls.leader_hints.retain(|_, hint| *hint != peer);
        for pending in self.calls.pending.values_mut().filter(|call| call.target == Some(peer)) {
            pending.is_unresolved |= !pending.is_locating;
            (pending.target, pending.redirects, pending.confirmed_leader) = (None, 0, None);
            pending.next_attempt_at = pending.next_attempt_at.min(soon);
        }
    }
}
