//! Calls from this process to the leaders of shards, for its own callers, for other processes, and for itself.
//!
//! A call is attempted at one member after the other until a leader answers or its deadline passes. An answer is never a promise
//! that does not hold: once an attempt may have been proposed somewhere, a later attempt's "not executed" is not passed on.
//!
//! - [`client`]: the calls of clients, workers and operators, as calls to shards;
//! - [`attempts`]: whom an attempt goes to, retries, and deadlines;
//! - [`redirects`]: what "not leader" means for a call;
//! - [`relays`]: calls by way of another process, where the leader cannot be reached from here.

mod attempts;
mod client;
mod redirects;
mod relays;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use rainlug::{SECOND, Time};

use crate::frame::{Request, join};
use crate::sharding::{ShardContent, content_of};
use crate::{Answer, Coordinator, Effect, Origin};

/// How long an attempt waits for an answer before the next member is tried, beside the time that the leader may wait itself.
const ATTEMPT_TIMEOUT: Time = 4 * SECOND / 10;
/// The pause before the next attempt where nobody is known to lead.
const NO_LEADER_PAUSE: Time = SECOND / 20;
/// The longest that a call of an isolated process is attempted: its callers are better served by another process.
const ISOLATED_TIMEOUT: Time = SECOND / 4;
/// When a caller may come back after an answer without effect.
const RETRY_AFTER: Time = SECOND / 5;
/// The answer where nothing is known to have taken effect.
const UNAVAILABLE: u16 = 503;
/// The answer to a call that must not be repeated and may still take effect.
pub(crate) const MAY_TAKE_EFFECT: u16 = 504;
/// Statuses that promise that a call has no effect.
const NO_EFFECT_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// What becomes of the answer to a call to a shard.
#[derive(Clone, Debug)]
pub(crate) enum CallCompletion {
    /// It answers the caller with this ticket.
    Caller(u64),
    /// It grants or refuses the tokens of a batch job of this shard, which is proposed once they are reserved.
    Reservation { shard: u16, job: String },
    /// It acknowledges this shard's usage report on a route.
    UsageReport { shard: u16, route: String },
    /// It says whether this shard's replica set goes on without this process, which is about to end.
    Departure { shard: u16 },
    /// It goes back to another process, which cannot reach the leader itself.
    Relayed { to: SocketAddr, nonce: u64 },
    /// It is dropped: the call belongs to this process's maintenance, which repeats it until its effect is seen.
    Ignored,
}

/// A call to the leader of a shard.
#[derive(Clone, Debug)]
pub(crate) struct CallRequest {
    pub shard: u16,
    /// The encoded [`Request`].
    pub request: Bytes,
    /// Bytes that are passed on behind the request as they are.
    pub tail: Bytes,
    pub completion: CallCompletion,
    /// How long the call is attempted, in microseconds.
    pub timeout: Time,
    /// How long the leader may wait before it answers, beside the time of an ordinary attempt, in microseconds.
    pub leader_wait: Time,
    /// The status where time ran out and the call may have taken effect.
    pub unclear_status: u16,
}

impl CallRequest {
    /// A call without a tail, which may be repeated and which the leader answers at once.
    pub fn new(shard: u16, request: &Request, completion: CallCompletion, timeout: Time) -> Self {
        let (request, tail) = (join(request, &[]), Bytes::new());
        let unclear_status = UNAVAILABLE;
        CallRequest { shard, request, tail, completion, timeout, leader_wait: 0, unclear_status }
    }

    /// A call of this process's own maintenance.
    pub fn internal(shard: u16, request: &Request, timeout: Time) -> Self {
        CallRequest::new(shard, request, CallCompletion::Ignored, timeout)
    }
}

/// A call that a shard's leader has not answered yet. All times are of the steady clock.
pub(crate) struct PendingCall {
    call: CallRequest,
    started_at: Time,
    deadline: Time,
    next_attempt_at: Time,
    /// Attempts made so far.
    attempts: usize,
    /// Whom the last attempt went to; none once that attempt has failed.
    target: Option<SocketAddr>,
    /// Who did not answer the last attempt in time: others may still name it as the leader.
    unresponsive: Option<SocketAddr>,
    /// Attempts in a row that nobody answered.
    unanswered_attempts: usize,
    /// Redirects followed in a row.
    redirects: usize,
    /// The last attempt only asked its target whether it leads.
    is_locating: bool,
    /// The call itself, not only the question who leads, was sent to somebody.
    is_sent: bool,
    /// Who has said that it leads.
    confirmed_leader: Option<SocketAddr>,
    /// An earlier attempt may still take effect: it had no answer, or its leader was replaced.
    is_unresolved: bool,
}

impl PendingCall {
    fn new(call: CallRequest, now: Time) -> Self {
        PendingCall {
            started_at: now,
            deadline: now + call.timeout,
            next_attempt_at: 0,
            attempts: 0,
            target: None,
            unresponsive: None,
            unanswered_attempts: 0,
            redirects: 0,
            is_locating: false,
            is_sent: false,
            confirmed_leader: None,
            is_unresolved: false,
            call,
        }
    }

    fn next_timeout(&self) -> Time {
        self.next_attempt_at.min(self.deadline)
    }

    fn is_from_caller(&self) -> bool {
        matches!(self.call.completion, CallCompletion::Caller(_))
    }

    /// Whether its caller must not be told that it has no effect once it was sent.
    fn is_unrepeatable(&self) -> bool {
        self.call.unclear_status == MAY_TAKE_EFFECT
    }

    /// What the caller is told when an answer has come: an answer to a later attempt that promises no effect says nothing of the
    /// earlier ones.
    fn final_answer(&self, answer: Answer) -> Answer {
        let breaks_promise = self.is_unresolved && NO_EFFECT_STATUSES.contains(&answer.status);
        if breaks_promise && self.is_unrepeatable() { Answer::with_status(MAY_TAKE_EFFECT) } else { answer }
    }

    /// What the caller is told when time has run out.
    fn timeout_answer(&self) -> Answer {
        let status = if self.is_sent { self.call.unclear_status } else { UNAVAILABLE };
        let retry_after = (status == UNAVAILABLE).then_some(RETRY_AFTER);
        Answer { retry_after, ..Answer::with_status(status) }
    }
}

/// The calls to shards that are under way, and what they have shown of the shards' leaders.
pub(crate) struct Calls {
    /// By the nonce that answers name.
    pending: BTreeMap<u64, PendingCall>,
    last_nonce: u64,
    /// Who last answered for, or was named as the leader of, each shard.
    leader_hints: BTreeMap<u16, SocketAddr>,
}

impl Calls {
    /// No calls; nonces count up from `first_nonce`, which is random so that those of an earlier incarnation do not match.
    pub fn new(first_nonce: u64) -> Self {
        Calls { pending: BTreeMap::new(), last_nonce: first_nonce, leader_hints: BTreeMap::new() }
    }

    /// How many calls are under way.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// A nonce that no other call has.
    pub fn next_nonce(&mut self) -> u64 {
        self.last_nonce += 1;
        self.last_nonce
    }

    /// When a call has to be retried or given up.
    pub fn next_timeout(&self) -> Time {
        self.pending.values().map(PendingCall::next_timeout).min().unwrap_or(Time::MAX)
    }

    /// Where the leader of a shard was when a call last went there.
    pub fn leader_hint(&self, shard: u16) -> Option<SocketAddr> {
        self.leader_hints.get(&shard).copied()
    }

    /// An attempt of this call may be committed, though it was not answered.
    fn mark_unresolved(&mut self, nonce: u64) {
        if let Some(call) = self.pending.get_mut(&nonce) {
            call.is_unresolved = true;
        }
    }

    /// Forgets that this process leads the shard, where it was thought to.
    fn forget_leader(&mut self, shard: u16, leader: SocketAddr) {
        if self.leader_hint(shard) == Some(leader) {
            self.leader_hints.remove(&shard);
        }
    }
}

impl Coordinator {
    /// Calls a shard's leader: attempts follow one another until there is an answer or the call's time is over.
    pub(crate) fn call_shard(&mut self, mut call: CallRequest) {
        let nonce = self.calls.next_nonce();
        let is_led_here = self.shards.get(&call.shard).is_some_and(|shard| shard.replica.is_serving_leader());
        if self.is_isolated(self.now) && !is_led_here {
            call.timeout = call.timeout.min(ISOLATED_TIMEOUT);
        }
        self.calls.pending.insert(nonce, PendingCall::new(call, self.now.steady));
        self.send_attempt(nonce);
    }

    /// A call of this process is answered, by a shard's leader or because its time is over.
    pub(crate) fn complete_call(&mut self, nonce: u64, answer: Answer) {
        let Some(pending) = self.calls.pending.remove(&nonce) else { return };
        let answer = pending.final_answer(answer);
        let PendingCall { call, target, .. } = &pending;
        if let Some(leader) = target.filter(|_| answer.status != call.unclear_status) {
            self.calls.leader_hints.insert(call.shard, leader);
        }
        let is_job = content_of(call.shard) == ShardContent::BatchJobs;
        if is_job && pending.is_unrepeatable() && !matches!(answer.status, 200..300 | 429) {
            let waited = (self.now.steady - pending.started_at) / 1_000;
            let text = format!(
                "{} of shard {}, {} attempts, {waited} ms",
                answer.status, call.shard, pending.attempts
            );
            self.effects.push(Effect::Log("job not taken", text));
        }
        // This process may have stood still: what the answer grants may be released by now.
        let is_late = self.now.steady > pending.deadline;
        self.deliver_answer(pending.call.completion, answer, is_late);
    }

    fn deliver_answer(&mut self, completion: CallCompletion, answer: Answer, is_late: bool) {
        match completion {
            CallCompletion::Caller(ticket) => self.answer(ticket, answer),
            CallCompletion::Relayed { to, nonce } => self.reply(Origin::Remote { to, nonce }, answer),
            CallCompletion::Ignored => {}
            CallCompletion::Reservation { shard, job } => {
                let answer = if is_late { Answer::retry_after(503, RETRY_AFTER) } else { answer };
                self.queue_reservation_answer(shard, job, answer);
            }
            CallCompletion::Departure { shard } => self.finish_departure_request(shard, &answer),
            CallCompletion::UsageReport { shard, route } => {
                self.finish_usage_report(shard, &route, answer.status == 200);
            }
        }
    }

    /// Answers a caller of this process.
    pub(crate) fn answer(&mut self, ticket: u64, answer: Answer) {
        self.effects.push(Effect::Answer { ticket, answer });
    }
}
