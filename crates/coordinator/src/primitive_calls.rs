//! Calls of applications on locks, numbers and keys, as calls to shards.

use rainlug::{SECOND, Time};
use rainlug_primitives::group_of;

use crate::calls::{CallCompletion, CallRequest, MAY_TAKE_EFFECT};
use crate::frame::Request;
use crate::{Answer, Coordinator, shard_of_primitive};

/// How long a call is attempted, beside the time that a watch waits: callers turn to another process after a second.
const CALL_TIMEOUT: Time = 8 * SECOND / 10;
/// The longest that a watch waits for a put.
const MAX_WATCH_WAIT: Time = 30 * SECOND;
/// The answer where the deployment has no shards of primitives.
const NOT_SERVED: u16 = 501;

/// A call of an application.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PrimitiveCall {
    /// Grant a lock.
    AcquireLock {
        /// The lock's name.
        lock: String,
        /// Who asks for it.
        holder: String,
        /// How long the hold lasts, in milliseconds.
        hold_ms: u32,
    },
    /// Make a hold last longer.
    RenewLock {
        /// The lock's name.
        lock: String,
        /// Who holds it.
        holder: String,
        /// The holder's fencing token.
        fence: u64,
        /// How long the hold lasts from now on, in milliseconds.
        hold_ms: u32,
    },
    /// Free a lock.
    ReleaseLock {
        /// The lock's name.
        lock: String,
        /// Who holds it.
        holder: String,
        /// The holder's fencing token.
        fence: u64,
    },
    /// Hand out the next number of a name.
    NextNumber {
        /// The name.
        name: String,
    },
    /// Put a value to a key.
    PutKey {
        /// The key.
        key: String,
        /// The value, which no other put to the key has.
        value: String,
        /// The revision that the key must have, if any; 0: there must be no such key.
        expected_revision: Option<u64>,
    },
    /// Read a key.
    ReadKey {
        /// The key.
        key: String,
    },
    /// Read the puts to a group of keys after a revision, or wait for the first one.
    Watch {
        /// The group's name.
        group: String,
        /// The last revision that the caller knows; 0 asks for the present one alone.
        since: u64,
        /// How long to wait where there are no such puts, in microseconds.
        wait: Time,
    },
}

impl PrimitiveCall {
    /// What decides which shard answers it.
    fn shard_key(&self) -> &str {
        match self {
            PrimitiveCall::AcquireLock { lock, .. }
            | PrimitiveCall::RenewLock { lock, .. }
            | PrimitiveCall::ReleaseLock { lock, .. } => lock,
            PrimitiveCall::NextNumber { name } => name,
            PrimitiveCall::PutKey { key, .. } | PrimitiveCall::ReadKey { key } => group_of(key),
            PrimitiveCall::Watch { group, .. } => group,
        }
    }

    /// How long the leader may wait before it answers.
    fn leader_wait(&self) -> Time {
        match self {
            PrimitiveCall::Watch { wait, .. } => (*wait).clamp(0, MAX_WATCH_WAIT),
            _ => 0,
        }
    }

    /// Whether it changes nothing, so that a 503 promises nothing that may be broken.
    fn is_read(&self) -> bool {
        matches!(self, PrimitiveCall::ReadKey { .. } | PrimitiveCall::Watch { .. })
    }

    fn request(&self) -> Request {
        match self {
            PrimitiveCall::AcquireLock { lock, holder, hold_ms } => Request::AcquireLock {
                lock: lock.as_str().into(),
                holder: holder.as_str().into(),
                hold_ms: *hold_ms,
            },
            PrimitiveCall::RenewLock { lock, holder, fence, hold_ms } => Request::RenewLock {
                lock: lock.as_str().into(),
                holder: holder.as_str().into(),
                fence: *fence,
                hold_ms: *hold_ms,
            },
            PrimitiveCall::ReleaseLock { lock, holder, fence } => Request::ReleaseLock {
                lock: lock.as_str().into(),
                holder: holder.as_str().into(),
                fence: *fence,
            },
            PrimitiveCall::NextNumber { name } => Request::NextNumber { name: name.as_str().into() },
            PrimitiveCall::PutKey { key, value, expected_revision } => Request::PutKey {
                key: key.as_str().into(),
                value: value.as_str().into(),
                is_conditional: u8::from(expected_revision.is_some()),
                expected_revision: expected_revision.unwrap_or(0),
            },
            PrimitiveCall::ReadKey { key } => Request::ReadKey { key: key.as_str().into() },
            PrimitiveCall::Watch { group, since, .. } => Request::Watch {
                group: group.as_str().into(),
                since: *since,
                wait_ms: (self.leader_wait() / 1000) as u32,
            },
        }
    }
}

impl Coordinator {
    /// Sends a call to the leader of its shard.
    pub(crate) fn call_primitive(&mut self, ticket: u64, call: &PrimitiveCall) {
        if !self.info.serves_primitives {
            return self.answer(ticket, Answer::with_status(NOT_SERVED));
        }
        let (shard, leader_wait) = (shard_of_primitive(call.shard_key()), call.leader_wait());
        let completion = CallCompletion::Caller(ticket);
        let mut request = CallRequest::new(shard, &call.request(), completion, CALL_TIMEOUT + leader_wait);
        request.leader_wait = leader_wait;
        if !call.is_read() {
            request.unclear_status = MAY_TAKE_EFFECT;
        }
        self.call_shard(request);
    }
}
