//! Calls that have come to this process as a part's leader.

use bytes::Bytes;
use rainlug::{SECOND, Time};
use rainlug_batch::Command;
use rainlug_consensus::ProposeError;
use rainlug_registry::Configuration;

use crate::control::{Change, Store};
use crate::frame::{Request, Text, join};
use crate::replica_placement::JoinCandidate;
use crate::shard::Wanted;
use crate::{Answer, CONTROL, Coordinator, Origin};

/// Reads of batch jobs that wait for a round at once, over all parts led here: one round may answer all of them in one step, each with
/// 1 MB at most. Rounds take a few milliseconds, so that this many wait only where rounds or steps are slow.
const MOST_READS: usize = 16;
/// When to come back with a read that was one too many.
const READ_RETRY: Time = SECOND / 5;

impl Coordinator {
    /// A call that has come to this process as a part's leader.
    pub(crate) fn serve(&mut self, origin: Origin, number: u16, request: Request, tail: Bytes) {
        if !self.shards.get(&number).is_some_and(|p| p.replica.is_serving_leader()) {
            return self.send_elsewhere(number, origin);
        }
        let name = |text: &Text| text.to_str().map(str::to_owned).unwrap_or_default();
        match (number, request) {
            (_, Request::Locate) => self.send_elsewhere(number, origin),
            (CONTROL, Request::Configure { base }) => self.configure(origin, base, tail),
            (CONTROL, Request::Configuration) => self.read(number, origin, Wanted::Configuration),
            (CONTROL, Request::Retire { store }) => self.read(number, origin, Wanted::Retire(name(&store))),
            (CONTROL, Request::Retiring { store }) => {
                self.read(number, origin, Wanted::Retiring(name(&store)))
            }
            (CONTROL, Request::Join { seat }) => {
                if let Ok(member) = seat.member() {
                    self.join_candidates
                        .insert(member.id, JoinCandidate { member, asked_at: self.now.steady });
                }
                self.reply(origin, Answer::of(200));
            }
            (CONTROL, Request::Shelve { seat }) => {
                let known = seat.member().ok().and_then(|m| {
                    let control = self.shards.get(&CONTROL)?.control()?;
                    Some(control.stores.get(&m.name)?.member == m)
                });
                match known {
                    Some(true) => self.reply(origin, Answer::of(200)),
                    _ => {
                        self.propose(number, origin, join(&Change::Store { seat }, &[]));
                    }
                }
            }
            (CONTROL, Request::Seated { shard, term, index, retirements, count, seats }) => {
                let change = Change::Seated { shard, term, index, retirements, count, seats };
                self.propose(number, origin, join(&change, &[]));
            }
            (1.., Request::Submit { job, route }) => {
                self.submit(number, origin, name(&job), name(&route), tail)
            }
            (1.., Request::Read { job, since, wait_ms }) => {
                if self.reads_in_hand() >= MOST_READS {
                    return self.reply(origin, Answer::later(503, READ_RETRY));
                }
                let until = self.now.steady + Time::from(wait_ms.min(2000)) * 1000;
                self.read(number, origin, Wanted::BatchJob { job: name(&job), since, until });
            }
            (1.., Request::Body { job, item }) => {
                self.read(number, origin, Wanted::Body { job: name(&job), item: name(&item) });
            }
            (1.., Request::End { job }) => self.end(number, origin, name(&job)),
            (1.., Request::Reserve { job, route, shard, tokens, most }) => {
                let (route, job, at) = (name(&route), name(&job), self.now.wall);
                self.reserve(
                    number,
                    origin,
                    Command::Reserve { route, job, shard, tokens, max_waiting_tokens: most, timestamp: at },
                );
            }
            (1.., Request::Settle) => self.settle_tokens(number, origin, &tail),
            _ => self.reply(origin, Answer::of(400)),
        }
    }

    /// Proposes a command; false where this process does not lead or cannot take it, and the call has gone elsewhere.
    pub(crate) fn propose(&mut self, number: u16, origin: Origin, command: Bytes) -> bool {
        let Some(shard) = self.shards.get_mut(&number) else { return false };
        match shard.replica.propose(self.now.steady, command.clone()) {
            Ok((index, _)) => {
                if let Some((_, lost)) = shard.waiting.insert(index, (command, origin)) {
                    self.send_proposed_elsewhere(number, lost);
                }
                self.drain(number);
                true
            }
            Err(ProposeError::NotLeader(_) | ProposeError::ChangeInProgress) => {
                self.send_elsewhere(number, origin);
                false
            }
        }
    }

    /// Reads of batch jobs that wait for a round; those that wait for an output are not among them.
    fn reads_in_hand(&self) -> usize {
        let is_of_job = |wanted: &Wanted| matches!(wanted, Wanted::BatchJob { .. });
        let reads = self.shards.values().flat_map(|shard| shard.reads.values());
        reads.filter(|(_, wanted)| is_of_job(wanted)).count()
    }

    pub(crate) fn read(&mut self, number: u16, origin: Origin, wanted: Wanted) {
        let Some(shard) = self.shards.get_mut(&number) else { return };
        shard.tickets += 1;
        shard.reads.insert(shard.tickets, (origin, wanted));
        shard.replica.read_index(self.now.steady, shard.tickets);
        self.drain(number);
    }

    pub(crate) fn configure(&mut self, origin: Origin, base: u64, text: Bytes) {
        let Ok(read) = Configuration::parse(&text) else { return self.reply(origin, Answer::of(400)) };
        let Some(control) = self.shards.get(&CONTROL).and_then(|p| p.control()) else { return };
        let version = read.version;
        // An accepted order stays accepted, so this copy may say so. Every refusal is agreed on first: a leader that was replaced
        // without knowing it has an old copy.
        if control.accepted(version, &text) {
            return self.reply(origin, Answer::of(200));
        }
        self.propose(CONTROL, origin, join(&Change::Configure { base, version }, &text));
    }

    /// Retires a store, once a round has shown that this leader's copy is not old.
    pub(crate) fn retire(&mut self, origin: Origin, store: String) {
        let Some(control) = self.shards.get(&CONTROL).and_then(|p| p.control()) else { return };
        let Some(entry) = control.stores.get(&store) else {
            return self.reply(origin, Answer::of(404));
        };
        if entry.is_retiring() {
            return self.reply(origin, Answer::of(200));
        }
        let stays = |other: &&Store| other.member.name != store && !other.is_retiring();
        let (listed, living) =
            control.stores.values().filter(stays).fold((0, 0), |(listed, living), other| {
                (listed + 1, living + usize::from(self.live_peers.contains_key(&other.member.address)))
            });
        // As many as a group must have for the loss of what is to be borne.
        let least = self.info.min_members();
        if listed < least {
            return self.reply(origin, Answer::of(409));
        }
        if living < least {
            // Those out of sight may be back soon: this is no final answer.
            return self.reply(origin, Answer::later(503, SECOND / 5));
        }
        self.propose(CONTROL, origin, join(&Change::Retire { store: store.as_str().into() }, &[]));
    }

    /// A read whose round has come back is answered.
    pub(crate) fn show(&mut self, number: u16, origin: Origin, wanted: Wanted) {
        match wanted {
            Wanted::Configuration => {
                let Some(control) = self.shards.get(&number).and_then(|p| p.control()) else { return };
                let text = control.text.clone();
                let none = Answer::of(404);
                self.reply(origin, if text.is_empty() { none } else { Answer::json(200, text) });
            }
            Wanted::Retire(store) => self.retire(origin, store),
            Wanted::Retiring(store) => {
                let Some(control) = self.shards.get(&number).and_then(|p| p.control()) else { return };
                let Some(entry) = control.stores.get(&store) else {
                    return self.reply(origin, Answer::of(404));
                };
                let state = if control.may_go(entry) { "complete" } else { "active" };
                self.reply(origin, Answer::json(200, format!("{{\"state\":\"{state}\"}}")));
            }
            Wanted::BatchJob { job, since, until } => self.show_job(number, origin, job, since, until),
            Wanted::Body { job, item } => {
                let Some(register) = self.shards.get(&number).and_then(|p| p.register()) else { return };
                let body = register.item_body(&job, &item);
                let answer = body.map_or(Answer::of(404), |body| Answer { body, ..Answer::of(200) });
                self.reply(origin, answer);
            }
        }
    }
}
