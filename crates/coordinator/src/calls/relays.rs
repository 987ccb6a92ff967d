//! Calls by way of another process: a caller is served also where a partition separates its process from the leader, as long as a
//! third process reaches both.

use std::net::SocketAddr;

use bytes::Bytes;
use rainlug::{SECOND, Time};
use rand::seq::IndexedRandom;

use super::{ATTEMPT_TIMEOUT, CallCompletion, CallRequest, PendingCall};
use crate::frame::{Head, join};
use crate::{CONTROL, Coordinator, Effect};

/// How long another process's call is attempted here, at most.
const MAX_RELAYED_TIMEOUT: Time = 4 * SECOND;

impl PendingCall {
    /// Whether another process should attempt the call: the last target did not answer.
    fn wants_relay(&self) -> bool {
        self.is_from_caller() && self.unanswered_attempts > 0
    }
}

/// A duration on the wire.
fn to_milliseconds(time: Time) -> u32 {
    u32::try_from(time.max(0) / 1_000).unwrap_or(u32::MAX)
}

fn from_milliseconds(milliseconds: u32) -> Time {
    Time::from(milliseconds) * 1_000
}

impl Coordinator {
    /// A random gateway that is not a member of the configuration's shard: those members may be cut off together.
    fn choose_relay(&mut self, shard: u16) -> Option<SocketAddr> {
        let core: Vec<SocketAddr> =
            self.topology.configuration_members.iter().map(|member| member.at.into()).collect();
        let gateways = self.peers.live.iter().filter(|(at, peer)| peer.is_gateway && !core.contains(at));
        let gateways: Vec<SocketAddr> = gateways.map(|(at, _)| *at).collect();
        gateways.choose(&mut self.rng).copied().filter(|_| shard != CONTROL && self.info.relays_enabled)
    }

    /// Makes the next attempt by way of another process, if nobody answered the last one and there is such a process; whether it did.
    pub(super) fn send_relayed(&mut self, nonce: u64) -> bool {
        let now = self.now.steady;
        let waiting = self.calls.pending.get(&nonce).filter(|pending| pending.wants_relay());
        let Some(shard) = waiting.map(|pending| pending.call.shard) else { return false };
        let Some(relay) = self.choose_relay(shard) else { return false };
        let Some(pending) = self.calls.pending.get_mut(&nonce) else { return false };
        pending.target = Some(relay);
        pending.next_attempt_at = now + ATTEMPT_TIMEOUT + pending.call.leader_wait;
        (pending.is_sent, pending.is_locating) = (true, false);
        pending.attempts += 1;
        let head = Head::Relay {
            nonce,
            shard,
            within_ms: to_milliseconds(pending.deadline - now),
            slack_ms: to_milliseconds(pending.call.leader_wait),
            unclear: pending.call.unclear_status,
        };
        let (head, tail) = (join(&head, &pending.call.request), pending.call.tail.clone());
        self.effects.push(Effect::Frame { to: relay, head, tail });
        true
    }

    /// Another process's call, which is attempted from here; `head` is a [`Head::Relay`].
    pub(crate) fn receive_relayed_call(
        &mut self,
        from: SocketAddr,
        head: &Head,
        request: Bytes,
        tail: Bytes,
    ) {
        let Head::Relay { nonce, shard, within_ms, slack_ms, unclear } = *head else { return };
        let timeout = from_milliseconds(within_ms).min(MAX_RELAYED_TIMEOUT);
        self.call_shard(CallRequest {
            shard,
            request,
            tail,
            completion: CallCompletion::Relayed { to: from, nonce },
            timeout,
            leader_wait: from_milliseconds(slack_ms).min(timeout),
            unclear_status: unclear,
        });
    }
}
