//! Requests that come to this process as the leader of a shard, from itself and from others.

use std::net::SocketAddr;

use bytes::Bytes;
use rainlug::{SECOND, Time};
use rainlug_batch::Command;
use rainlug_consensus::ProposeError;
use rainlug_registry::Configuration;

use crate::control::{Change, Store};
use crate::frame::{Head, MemberRecord, Request, Text, join};
use crate::replica_placement::JoinCandidate;
use crate::sharding::{ShardContent, content_of};
use crate::waiting::{Poll, ReadQuery};
use crate::watch_list::Watch;
use crate::{Answer, CONTROL, Coordinator, Effect};

/// Reads of batch jobs that wait for a read index round at once, over all shards led here: one round may answer all of them in one
/// step, each with 1 MB at most. Rounds take a few milliseconds, so that this many wait only where rounds or steps are slow.
const MAX_PENDING_JOB_READS: usize = 16;
/// When to repeat a read that was one too many.
const READ_RETRY: Time = SECOND / 5;
/// The longest delay that an answer to another process names, in milliseconds.
const MAX_RETRY_MS: Time = 60_000;

/// Whom a shard's leader answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A call to a shard that this process made itself, by its nonce.
    Own(u64),
    /// Another process's call.
    Remote {
        /// Where that process hears its peers.
        to: SocketAddr,
        /// The call's nonce there.
        nonce: u64,
    },
    /// A caller of this process, by its ticket.
    Caller(u64),
}

/// A name as text; empty where it is not UTF-8.
pub(crate) fn name(text: &Text) -> String {
    text.to_str().map(str::to_owned).unwrap_or_default()
}

impl Coordinator {
    /// Answers whoever waits for a request to a shard.
    pub(crate) fn reply(&mut self, origin: Origin, answer: Answer) {
        match origin {
            Origin::Own(nonce) => self.complete_call(nonce, answer),
            Origin::Caller(ticket) => self.answer(ticket, answer),
            Origin::Remote { to, nonce } => {
                let retry_ms =
                    answer.retry_after.map_or(0, |delay| (delay / 1000).clamp(1, MAX_RETRY_MS) as u32);
                let head =
                    Head::Answer { nonce, status: answer.status, retry_ms, json: u8::from(answer.is_json) };
                self.effects.push(Effect::Frame { to, head: join(&head, &[]), tail: answer.body });
            }
        }
    }

    /// Handles a request to a shard as its leader, or names the leader.
    pub(crate) fn handle_request(&mut self, origin: Origin, number: u16, request: Request, tail: Bytes) {
        if !self.shards.get(&number).is_some_and(|p| p.replica.is_serving_leader()) {
            return self.redirect(number, origin);
        }
        if request == Request::Locate {
            return self.redirect(number, origin);
        }
        if let Request::Depart { member } = request {
            return self.receive_departure(number, origin, member);
        }
        match content_of(number) {
            ShardContent::Configuration => self.handle_control_request(origin, request, tail),
            ShardContent::BatchJobs => self.handle_batch_request(origin, number, request, tail),
            ShardContent::Primitives => self.handle_primitive_request(origin, number, request),
        }
    }

    /// Handles a request to the configuration's shard, which this process leads.
    fn handle_control_request(&mut self, origin: Origin, request: Request, tail: Bytes) {
        match request {
            Request::Configure { base } => self.configure(origin, base, tail),
            Request::Configuration => self.begin_read(CONTROL, origin, ReadQuery::Configuration),
            Request::Retire { store } => self.begin_read(CONTROL, origin, ReadQuery::Retire(name(&store))),
            Request::RetirementStatus { store } => {
                self.begin_read(CONTROL, origin, ReadQuery::RetirementStatus(name(&store)))
            }
            Request::Join { member } => self.take_join_candidate(origin, &member),
            Request::RegisterStore { member } => self.register_store(origin, member),
            Request::ReportReplicaSet { shard, term, index, retirements, member_count, members } => {
                let change = Change::SetReplicaSet { shard, term, index, retirements, member_count, members };
                self.propose(CONTROL, origin, join(&change, &[]));
            }
            Request::ReportTie { shard, index, members, .. } => {
                self.receive_tie(shard, index, &members);
                self.reply(origin, Answer::with_status(200));
            }
            _ => self.reply(origin, Answer::with_status(400)),
        }
    }

    /// A gateway's disk asks to be a member of the configuration's shard.
    fn take_join_candidate(&mut self, origin: Origin, member: &MemberRecord) {
        if let Ok(member) = member.to_member() {
            let candidate = JoinCandidate { member, asked_at: self.now.steady };
            self.join_candidates.insert(candidate.member.id, candidate);
        }
        self.reply(origin, Answer::with_status(200));
    }

    /// A store's disk asks to be listed.
    fn register_store(&mut self, origin: Origin, member: MemberRecord) {
        let is_listed = member.to_member().ok().is_some_and(|member| {
            let control = self.shards.get(&CONTROL).and_then(|shard| shard.control());
            let listed = control.and_then(|control| control.stores.get(&member.name));
            listed.is_some_and(|store| store.member == member)
        });
        if is_listed {
            return self.reply(origin, Answer::with_status(200));
        }
        self.propose(CONTROL, origin, join(&Change::RegisterStore { member }, &[]));
    }

    /// Handles a request to a shard of batch jobs, which this process leads.
    fn handle_batch_request(&mut self, origin: Origin, number: u16, request: Request, tail: Bytes) {
        match request {
            Request::Submit { job, route } => self.submit(number, origin, name(&job), name(&route), tail),
            Request::Read { job, since, wait_ms } => {
                if self.pending_job_reads() >= MAX_PENDING_JOB_READS {
                    return self.reply(origin, Answer::retry_after(503, READ_RETRY));
                }
                let until = self.now.steady + Time::from(wait_ms.min(2000)) * 1000;
                self.begin_read(number, origin, ReadQuery::BatchJob { job: name(&job), since, until });
            }
            Request::Body { job, item } => {
                self.begin_read(number, origin, ReadQuery::Body { job: name(&job), item: name(&item) });
            }
            Request::End { job } => self.end_job(number, origin, name(&job)),
            Request::Reserve { job, route, shard, tokens, most } => {
                let command = Command::Reserve {
                    route: name(&route),
                    job: name(&job),
                    shard,
                    tokens,
                    max_waiting_tokens: most,
                    timestamp: self.now.wall,
                };
                self.receive_reservation(number, origin, command);
            }
            Request::ReportUsage => self.receive_usage_report(number, origin, &tail),
            _ => self.reply(origin, Answer::with_status(400)),
        }
    }

    /// Proposes a command; false where this process does not lead or cannot take it, and the call was redirected.
    pub(crate) fn propose(&mut self, number: u16, origin: Origin, command: Bytes) -> bool {
        let Some(shard) = self.shards.get_mut(&number) else { return false };
        match shard.replica.propose(self.now.steady, command.clone()) {
            Ok((index, _)) => {
                if let Some(lost) = shard.waiting.add_proposal(index, command, origin) {
                    self.redirect_proposed(number, lost);
                }
                self.process_output(number);
                true
            }
            Err(
                ProposeError::NotLeader(_)
                | ProposeError::ChangeInProgress
                | ProposeError::TransferInProgress,
            ) => {
                self.redirect(number, origin);
                false
            }
        }
    }

    /// Reads of batch jobs that wait for a read index round; those that wait for an output are not among them.
    fn pending_job_reads(&self) -> usize {
        self.shards.values().map(|shard| shard.waiting.job_read_count()).sum()
    }

    /// Begins a read: it is answered once a read index round has confirmed that this process leads (Raft 6.4).
    pub(crate) fn begin_read(&mut self, number: u16, origin: Origin, query: ReadQuery) {
        let Some(shard) = self.shards.get_mut(&number) else { return };
        let ticket = shard.waiting.add_read(origin, query);
        shard.replica.read_index(self.now.steady, ticket);
        self.process_output(number);
    }

    /// Proposes a configuration.
    pub(crate) fn configure(&mut self, origin: Origin, base: u64, text: Bytes) {
        let Ok(read) = Configuration::parse(&text) else {
            return self.reply(origin, Answer::with_status(400));
        };
        let Some(control) = self.shards.get(&CONTROL).and_then(|p| p.control()) else { return };
        let version = read.version;
        // What was accepted stays accepted, so this replica may say so. Every refusal is committed first: a leader that was replaced
        // without knowing it has an old state.
        if control.accepted(version, &text) {
            return self.reply(origin, Answer::with_status(200));
        }
        self.propose(CONTROL, origin, join(&Change::Configure { base, version }, &text));
    }

    /// Retires a store, once a read index round has shown that this leader's state is not old.
    pub(crate) fn retire(&mut self, origin: Origin, store: String) {
        let Some(control) = self.shards.get(&CONTROL).and_then(|p| p.control()) else { return };
        let Some(entry) = control.stores.get(&store) else {
            return self.reply(origin, Answer::with_status(404));
        };
        if entry.is_retiring() {
            return self.reply(origin, Answer::with_status(200));
        }
        let stays = |other: &&Store| other.member.name != store && !other.is_retiring();
        let (listed, living) =
            control.stores.values().filter(stays).fold((0, 0), |(listed, living), other| {
                (listed + 1, living + usize::from(self.peers.live.contains_key(&other.member.address)))
            });
        // A replica set must have so many members to survive the losses that are tolerated.
        let least = self.info.min_members();
        if listed < least {
            return self.reply(origin, Answer::with_status(409));
        }
        if living < least {
            // Stores that are not live may be back soon: this is no final answer.
            return self.reply(origin, Answer::retry_after(503, SECOND / 5));
        }
        self.propose(CONTROL, origin, join(&Change::Retire { store: store.as_str().into() }, &[]));
    }

    /// Answers a read whose round has confirmed that this process leads.
    pub(crate) fn answer_read(&mut self, number: u16, origin: Origin, query: ReadQuery) {
        match query {
            ReadQuery::Configuration => {
                let Some(control) = self.shards.get(&number).and_then(|p| p.control()) else { return };
                let text = control.text.clone();
                let none = Answer::with_status(404);
                self.reply(origin, if text.is_empty() { none } else { Answer::json(200, text) });
            }
            ReadQuery::Retire(store) => self.retire(origin, store),
            ReadQuery::RetirementStatus(store) => {
                let Some(control) = self.shards.get(&number).and_then(|p| p.control()) else { return };
                let Some(entry) = control.stores.get(&store) else {
                    return self.reply(origin, Answer::with_status(404));
                };
                let state = if control.may_go(entry) { "complete" } else { "active" };
                self.reply(origin, Answer::json(200, format!("{{\"state\":\"{state}\"}}")));
            }
            ReadQuery::BatchJob { job, since, until } => {
                self.answer_job_read(number, Poll { origin, job, since, until })
            }
            ReadQuery::Key(key) => self.answer_key_read(number, origin, &key),
            ReadQuery::Watch { group, since, until } => {
                self.answer_watch(number, Watch { origin, group, since, until });
            }
            ReadQuery::Body { job, item } => {
                let Some(job_table) = self.shards.get(&number).and_then(|p| p.job_table()) else { return };
                let body = job_table.item_body(&job, &item);
                let answer =
                    body.map_or(Answer::with_status(404), |body| Answer { body, ..Answer::with_status(200) });
                self.reply(origin, answer);
            }
        }
    }
}
