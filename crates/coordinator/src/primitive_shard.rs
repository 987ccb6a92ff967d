//! A shard of locks, numbers and keys at its leader: calls, committed commands, and watches.
//!
//! What hands something out is proposed and answered once it is committed. A lock that another holds is refused from memory: 409 binds
//! nobody. Keys and watches are read once a read index round has confirmed that this process leads (Raft 6.4). Before something is
//! proposed, a call may be refused with 429; afterwards its caller is told what became of it, or nothing that promises anything.

use bytes::Bytes;
use rainlug::{SECOND, Time};
use rainlug_primitives::{
    Availability, Command, EntryTime, Outcome, Primitives, PutOutcome, WatchRead, answer, group_of,
};

use crate::frame::Request;
use crate::invariants::Invariant;
use crate::primitive_answers::PrimitiveAnswer;
use crate::serving::name;
use crate::shard::{Shard, StateMachine};
use crate::waiting::{ProposalFate, ReadQuery};
use crate::watch_list::Watch;
use crate::{Answer, Coordinator, Origin, shard_of_primitive};

/// Bytes of a shard's keys and their history above which no key is added, and above which no put is taken until the history is
/// shorter. One in so many of the disk's bytes, this many at most.
const KEY_BYTES_DIVISOR: usize = 64;
const MAX_KEY_BYTES: usize = 2 << 20;
/// Locks of a shard that are held at once.
const MAX_LOCKS: usize = 4096;
/// Uncommitted entries of a shard above which no call is taken: disks or links are too slow for more.
const MAX_UNCOMMITTED_ENTRIES: u64 = 512;
/// Reads of a shard that wait for a read index round at once.
const MAX_PENDING_READS: usize = 512;
/// Watches that wait at a shard's leader at once.
const MAX_WATCHES: usize = 4096;
/// Bytes of the texts in a watch's answer; what is beyond comes with the next one.
const MAX_WATCH_BYTES: usize = 256 << 10;
/// When a caller that was refused may come back.
const RETRY: Time = SECOND / 5;
/// Holds that ended so long ago and were not taken over are forgotten.
const ENDED_HOLD_RETENTION: Time = 60 * SECOND;
/// Between two looks for them, and how many are forgotten at once.
const FORGET_HOLDS_INTERVAL: Time = 10 * SECOND;
const MAX_FORGOTTEN_HOLDS: usize = 64;

/// The answer to a command that took effect, or certainly did not.
fn answer_to(outcome: Outcome) -> (PrimitiveAnswer, Answer) {
    match outcome {
        Outcome::Granted { fence } => (PrimitiveAnswer::Granted, Answer::json(200, answer::fence(fence))),
        Outcome::Held => (PrimitiveAnswer::Held, Answer::with_status(409)),
        Outcome::Renewed => (PrimitiveAnswer::Renewed, Answer::json(200, "{}")),
        Outcome::Lost => (PrimitiveAnswer::Lost, Answer::with_status(409)),
        Outcome::Released => (PrimitiveAnswer::Released, Answer::json(200, "{}")),
        Outcome::Number(number) => (PrimitiveAnswer::Number, Answer::json(200, answer::number(number))),
        Outcome::Put(PutOutcome::Done { revision }) => {
            (PrimitiveAnswer::Put, Answer::json(200, answer::revision(revision)))
        }
        Outcome::Put(PutOutcome::Conflict { revision }) => {
            (PrimitiveAnswer::Conflict, Answer::json(412, answer::revision(revision)))
        }
    }
}

/// Whether the state has room for a put to this key; a disk has so many bytes.
fn has_room(primitives: &Primitives, key: &str, disk_bytes: usize) -> bool {
    let (bytes, most) = (primitives.key_bytes(), (disk_bytes / KEY_BYTES_DIVISOR).min(MAX_KEY_BYTES));
    bytes < most / 2 || bytes < most && primitives.key(key).is_some()
}

impl Coordinator {
    /// Handles a request to a shard of primitives, which this process leads.
    pub(crate) fn handle_primitive_request(&mut self, origin: Origin, number: u16, request: Request) {
        match request {
            Request::AcquireLock { lock, holder, hold_ms } => {
                self.acquire_lock(number, origin, &name(&lock), &name(&holder), hold_ms);
            }
            Request::RenewLock { lock, holder, fence, hold_ms } => {
                let key = name(&lock);
                let command = Command::Renew { lock, holder, fence, hold_ms };
                self.propose_primitive(number, origin, &key, &command);
            }
            Request::ReleaseLock { lock, holder, fence } => {
                let key = name(&lock);
                self.propose_primitive(number, origin, &key, &Command::Release { lock, holder, fence });
            }
            Request::NextNumber { name: of } => {
                let key = name(&of);
                self.propose_primitive(number, origin, &key, &Command::NextNumber { name: of });
            }
            Request::PutKey { key, value, is_conditional, expected_revision } => {
                let text = name(&key);
                if self
                    .primitives(number)
                    .is_some_and(|primitives| !has_room(primitives, &text, self.info.disk_bytes))
                {
                    return self.refuse_overloaded(number, origin);
                }
                let command = Command::Put { key, value, is_conditional, expected_revision };
                self.propose_primitive(number, origin, group_of(&text), &command);
            }
            Request::ReadKey { key } => self.read_primitive(number, origin, ReadQuery::Key(name(&key))),
            Request::Watch { group, since, wait_ms } => {
                let (group, until) = (name(&group), self.now.steady + Time::from(wait_ms) * 1000);
                self.read_primitive(number, origin, ReadQuery::Watch { group, since, until });
            }
            _ => self.reply(origin, Answer::with_status(400)),
        }
    }

    fn primitives(&self, number: u16) -> Option<&Primitives> {
        self.shards.get(&number).and_then(Shard::primitives)
    }

    fn count_primitive_answer(&mut self, number: u16, kind: PrimitiveAnswer) {
        if let Some(shard) = self.shards.get_mut(&number) {
            shard.primitive_answers.count(kind);
        }
    }

    /// Refuses a call of which nothing was proposed.
    fn refuse_overloaded(&mut self, number: u16, origin: Origin) {
        self.count_primitive_answer(number, PrimitiveAnswer::Overloaded);
        self.reply(origin, Answer::retry_after(429, RETRY));
    }

    /// Proposes to grant a lock, unless another holds it as far as this replica knows.
    fn acquire_lock(&mut self, number: u16, origin: Origin, lock: &str, holder: &str, hold_ms: u32) {
        let now = self.now.steady;
        let Some(locks) = self.primitives(number).map(Primitives::locks) else { return };
        let expired_entry = match locks.availability(lock, holder, now) {
            Availability::Held => {
                self.count_primitive_answer(number, PrimitiveAnswer::Held);
                return self.reply(origin, Answer::with_status(409));
            }
            Availability::Free if locks.len() >= MAX_LOCKS => return self.refuse_overloaded(number, origin),
            Availability::Free => 0,
            Availability::Expired { last_entry } => last_entry,
        };
        let command = Command::Acquire { lock: lock.into(), holder: holder.into(), hold_ms, expired_entry };
        self.propose_primitive(number, origin, lock, &command);
    }

    /// Proposes a command on what `key` names: a lock, a number or a group of keys. It is refused where that is another shard's.
    fn propose_primitive(&mut self, number: u16, origin: Origin, key: &str, command: &Command) {
        if shard_of_primitive(key) != number {
            return self.reply(origin, Answer::with_status(400));
        }
        let Some(shard) = self.shards.get(&number) else { return };
        if shard.replica.uncommitted_entries() > MAX_UNCOMMITTED_ENTRIES {
            return self.refuse_overloaded(number, origin);
        }
        self.propose(number, origin, command.encode());
    }

    /// Begins a read of a key or a group.
    fn read_primitive(&mut self, number: u16, origin: Origin, query: ReadQuery) {
        let Some(shard) = self.shards.get(&number) else { return };
        if shard.waiting.read_count() >= MAX_PENDING_READS || shard.watches.len() >= MAX_WATCHES {
            return self.refuse_overloaded(number, origin);
        }
        self.begin_read(number, origin, query);
    }

    /// Answers a read of a key whose round has confirmed that this process leads.
    pub(crate) fn answer_key_read(&mut self, number: u16, origin: Origin, key: &str) {
        let Some(primitives) = self.primitives(number) else { return };
        let version = primitives.key(key);
        let answer = version.map_or(Answer::with_status(404), |found| Answer::json(200, answer::key(found)));
        self.count_primitive_answer(number, PrimitiveAnswer::KeyRead);
        self.reply(origin, answer);
    }

    /// Answers a watch whose round has confirmed that this process leads, or lets it wait for the next put.
    pub(crate) fn answer_watch(&mut self, number: u16, watch: Watch) {
        let now = self.now.steady;
        let Some(shard) = self.shards.get_mut(&number) else { return };
        let Some(primitives) = shard.primitives() else { return };
        let read = primitives.puts_since(&watch.group, watch.since, MAX_WATCH_BYTES);
        let has_none = matches!(&read, WatchRead::Puts { puts, .. } if puts.is_empty());
        if has_none && watch.since > 0 && watch.until > now {
            return shard.watches.add(watch);
        }
        self.reply_to_watch(number, watch.origin, answer::watch(read));
    }

    fn reply_to_watch(&mut self, number: u16, origin: Origin, body: Option<String>) {
        let kind = if body.is_some() { PrimitiveAnswer::WatchRead } else { PrimitiveAnswer::WatchTooOld };
        self.count_primitive_answer(number, kind);
        self.reply(origin, body.map_or(Answer::with_status(410), |body| Answer::json(200, body)));
    }

    /// Reads once more for watches that have waited long enough without a put.
    pub(crate) fn expire_watches(&mut self) {
        let now = self.now.steady;
        let is_due = |shard: &Shard| shard.watches.next_timeout() <= now;
        let due = self.shards.iter().filter(|(_, shard)| is_due(shard)).map(|(number, _)| *number);
        for number in due.collect::<Vec<u16>>() {
            let Some(shard) = self.shards.get_mut(&number) else { continue };
            for Watch { origin, group, since, .. } in shard.watches.take_due(now) {
                self.begin_read(number, origin, ReadQuery::Watch { group, since, until: now });
            }
        }
    }

    /// Answers the watches of a group that wait for a put, of which one has been committed.
    fn answer_waiting_watches(&mut self, number: u16, group: &str) {
        let Some(shard) = self.shards.get_mut(&number) else { return };
        for watch in shard.watches.take_group(group) {
            self.answer_watch(number, watch);
        }
    }

    /// Applies a committed command of a shard of primitives; `proposal` is who waits for it.
    pub(crate) fn apply_primitive_command(
        &mut self,
        number: u16,
        index: u64,
        bytes: &Bytes,
        proposal: Option<ProposalFate>,
    ) {
        let at = EntryTime { index, now: self.now.steady };
        let Some(shard) = self.shards.get_mut(&number) else { return };
        let StateMachine::Primitives(primitives) = &mut shard.state_machine else { return };
        let applied =
            Command::decode(bytes).and_then(|command| Ok((primitives.apply(&command, at)?, command)));
        let Ok((outcome, command)) = applied else {
            return self.violated(Invariant::CommandRead, &format_args!("shard {number}"));
        };
        match proposal {
            Some(ProposalFate::Committed(origin)) => {
                let (kind, answer) = answer_to(outcome);
                self.count_primitive_answer(number, kind);
                self.reply(origin, answer);
            }
            Some(ProposalFate::Replaced(origin)) => self.redirect_proposed(number, origin),
            None => {}
        }
        if let (Command::Put { key, .. }, Outcome::Put(PutOutcome::Done { .. })) = (&command, outcome) {
            self.answer_waiting_watches(number, group_of(&name(key)));
        }
    }

    /// Forgets what nobody needs any more. Part of the periodic maintenance.
    pub(crate) fn clean_up_primitives(&mut self) {
        let before = self.now.steady - self.info.watch_history;
        for shard in self.shards.values_mut() {
            if let StateMachine::Primitives(primitives) = &mut shard.state_machine {
                primitives.forget_history(before);
            }
        }
        self.forget_ended_holds();
    }

    /// Where this process leads a shard of primitives, proposes to forget holds that ended long ago.
    fn forget_ended_holds(&mut self) {
        let now = self.now.steady;
        for number in self.shards.keys().copied().collect::<Vec<u16>>() {
            let Some(shard) = self.shards.get_mut(&number).filter(|shard| shard.is_leader) else { continue };
            if now - shard.last_sweep < FORGET_HOLDS_INTERVAL {
                continue;
            }
            let Some(primitives) = shard.primitives() else { continue };
            let ended = primitives.locks().ended_before(now - ENDED_HOLD_RETENTION, MAX_FORGOTTEN_HOLDS);
            shard.last_sweep = now;
            for (lock, expired_entry) in ended {
                let command = Command::Expire { lock: lock.as_str().into(), expired_entry };
                // Where it is refused, the hold is found again with the next look.
                let _ = shard.replica.propose(now, command.encode());
            }
            self.process_output(number);
        }
    }
}
