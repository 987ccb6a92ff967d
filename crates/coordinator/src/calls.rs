//! Calls: from callers of this process to the leaders of parts, asked again of the next leader until there is an answer or no
//! time; and, where this process leads, from others.

use std::net::SocketAddr;

use bytes::Bytes;
use rainlug::{SECOND, Time};
use rainlug_registry::Configuration;
use rand::seq::IndexedRandom;

use crate::frame::{Head, PeerAddress, Request, join, split};
use crate::quota::Reserved;
use crate::{Answer, CONTROL, Call, Coordinator, Effect, Now, Origin, shard_of_job};

/// A try at a leader that is not answered in this time goes to another member.
const TRY: Time = 4 * SECOND / 10;
/// The same for a question that takes no time, as who leads.
const LOCATE_TRY: Time = SECOND / 4;
/// A pause between tries where nobody leads.
const PAUSE: Time = SECOND / 20;
/// How long a part's leader may take over a batch job: it waits for its tokens, and for its group.
const SUBMIT_SLACK: Time = 8 * SECOND / 10;
/// Callers of `control` move on after a second.
const PATIENCE: Time = 8 * SECOND / 10;
/// How long a process that is cut off tries: its callers are better served elsewhere.
const ISOLATED_PATIENCE: Time = SECOND / 4;
/// A caller of a process that so many members of a part in a row did not answer is better served by another process: this one cannot
/// reach them, or not be reached by them. Where it is a leader that is lost, the others answer that they do not lead.
const SILENT_TRIES: usize = 2;
/// How long another process's call is asked on, at most.
const RELAYED_WITHIN: Time = 4 * SECOND;
/// Statuses that promise that a call has no effect.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// The answer to a call that cannot be repeated and may take effect yet.
const MAYBE: u16 = 504;
/// A longer tail is sent only to who has just said that it leads.
const LONG_TAIL: usize = 4 << 10;

/// Whom the answer of a call to a part goes to.
#[derive(Clone, Debug)]
pub(crate) enum Goal {
    Caller(u64),
    /// A batch job of this part, which is proposed once its tokens are reserved.
    Reservation {
        shard: u16,
        job: String,
    },
    /// This part's leader, which reports the tokens of a route.
    Report {
        shard: u16,
        route: String,
    },
    /// Another process, which cannot reach the leader itself.
    Relayed {
        to: SocketAddr,
        nonce: u64,
    },
    /// Nobody: it is this process's own duty, which is done again until its effect is seen.
    Nobody,
}

/// A call that a part's leader has not answered yet.
pub(crate) struct Ask {
    pub shard: u16,
    request: Bytes,
    tail: Bytes,
    goal: Goal,
    /// How long the leader itself may wait.
    slack: Time,
    begun: Time,
    deadline: Time,
    try_at: Time,
    tries: usize,
    to: Option<SocketAddr>,
    /// Who was tried last and did not answer in time: others may still name it as the leader.
    silent: Option<SocketAddr>,
    /// Tries in a row that nobody answered.
    silent_tries: usize,
    hops: usize,
    /// Who was asked last was asked only whether it leads.
    is_locating: bool,
    /// The call itself was sent to somebody.
    is_sent: bool,
    /// Who has said that it leads.
    confirmed: Option<SocketAddr>,
    /// An earlier try may take effect yet: it had no answer, or its leader was replaced.
    is_unresolved: bool,
    /// What is answered where no time is left and it may have taken effect, or was never heard by a leader.
    unclear: u16,
}

impl Ask {
    pub fn next(&self) -> Time {
        self.try_at.min(self.deadline)
    }

    /// Whether another process is to ask in this one's place: who was asked last did not answer.
    fn wants_relay(&self) -> bool {
        matches!(self.goal, Goal::Caller(_)) && self.silent_tries > 0
    }

    /// Whether its caller had better ask another process: nobody answers here, and nothing was sent that may take effect yet.
    fn is_unheard(&self) -> bool {
        let may_take_effect = self.unclear == MAYBE && self.is_sent;
        matches!(self.goal, Goal::Caller(_)) && self.silent_tries >= SILENT_TRIES && !may_take_effect
    }
}

impl Coordinator {
    /// A call of a client, worker or operator, answered by [`Effect::Answer`] with this ticket.
    pub fn call(&mut self, now: Now, ticket: u64, call: Call) {
        self.now = now;
        match call {
            Call::Heartbeat(worker) => self.heartbeat(ticket, worker),
            Call::Deregister(id) => self.deregister(ticket, id),
            Call::Configure { base, text } => match Configuration::parse(&text) {
                Err(findings) => {
                    let error = findings.to_string().replace('\\', "\\\\").replace('"', "\\\"");
                    self.answer(ticket, Answer::json(400, format!("{{\"error\":\"{error}\"}}")));
                }
                Ok(_) => self.ask(
                    CONTROL,
                    &Request::Configure { base },
                    text,
                    Goal::Caller(ticket),
                    PATIENCE,
                    0,
                    503,
                ),
            },
            Call::Configuration => {
                self.ask(
                    CONTROL,
                    &Request::Configuration,
                    Bytes::new(),
                    Goal::Caller(ticket),
                    PATIENCE,
                    0,
                    503,
                );
            }
            Call::Retire { store } => {
                let request = Request::Retire { store: store.as_str().into() };
                self.ask(CONTROL, &request, Bytes::new(), Goal::Caller(ticket), PATIENCE, 0, 503);
            }
            Call::Retiring { store } => {
                let request = Request::Retiring { store: store.as_str().into() };
                self.ask(CONTROL, &request, Bytes::new(), Goal::Caller(ticket), PATIENCE, 0, 503);
            }
            Call::Submit { job, route, body } => {
                let request = Request::Submit { job: job.as_str().into(), route: route.as_str().into() };
                let shard = shard_of_job(&job);
                self.ask(shard, &request, body, Goal::Caller(ticket), 3 * SECOND, SUBMIT_SLACK, MAYBE);
            }
            Call::Read { job, since, wait } => {
                let wait = wait.clamp(0, 2 * SECOND);
                let request =
                    Request::Read { job: job.as_str().into(), since, wait_ms: (wait / 1000) as u32 };
                self.call_batch_shard(ticket, &job, &request, wait);
            }
            Call::Body { job, item } => {
                let request = Request::Body { job: job.as_str().into(), item: item.as_str().into() };
                self.call_batch_shard(ticket, &job, &request, 0);
            }
            Call::End { job } => {
                let request = Request::End { job: job.as_str().into() };
                self.call_batch_shard(ticket, &job, &request, 0);
            }
        }
        self.run_deferred_work();
    }

    pub(crate) fn answer(&mut self, ticket: u64, answer: Answer) {
        self.effects.push(Effect::Answer { ticket, answer });
    }

    /// A call about a batch job goes to the part that it is in.
    fn call_batch_shard(&mut self, ticket: u64, job: &str, request: &Request, wait: Time) {
        let (shard, goal) = (shard_of_job(job), Goal::Caller(ticket));
        self.ask(shard, request, Bytes::new(), goal, 2 * SECOND + wait, wait, 503);
    }

    /// Asks a part's leader; one try after the other until the deadline.
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn ask(
        &mut self,
        shard: u16,
        request: &Request,
        tail: Bytes,
        goal: Goal,
        within: Time,
        slack: Time,
        unclear: u16,
    ) {
        self.ask_encoded(shard, join(request, &[]), tail, goal, within, slack, unclear);
    }

    #[allow(clippy::too_many_arguments)]
    fn ask_encoded(
        &mut self,
        shard: u16,
        request: Bytes,
        tail: Bytes,
        goal: Goal,
        within: Time,
        slack: Time,
        unclear: u16,
    ) {
        self.nonce += 1;
        let nonce = self.nonce;
        let leads = self.shards.get(&shard).is_some_and(|p| p.replica.is_serving_leader());
        let within =
            if self.is_isolated(self.now) && !leads { within.min(ISOLATED_PATIENCE) } else { within };
        let ask = Ask {
            shard,
            request,
            tail,
            goal,
            slack,
            begun: self.now.steady,
            deadline: self.now.steady + within,
            try_at: 0,
            tries: 0,
            to: None,
            silent: None,
            silent_tries: 0,
            hops: 0,
            is_locating: false,
            is_sent: false,
            confirmed: None,
            is_unresolved: false,
            unclear,
        };
        self.asks.insert(nonce, ask);
        self.attempt(nonce);
    }

    /// Where a part's members hear their peers, as far as this process knows.
    fn seats(&self, number: u16) -> Vec<SocketAddr> {
        let known: Vec<SocketAddr> = if number == CONTROL {
            self.topology.configuration_members.iter().map(|s| s.at.into()).collect()
        } else {
            let group = self.topology.replica_sets.iter().find(|g| g.shard == number);
            group.map(|g| g.members.iter().map(|s| s.at.into()).collect()).unwrap_or_default()
        };
        if known.is_empty() && number == CONTROL { self.info.seeds.clone() } else { known }
    }

    /// A process that another one's calls may go by: it takes requests, and is none of the core, which may be cut off together.
    fn relay_for(&mut self, shard: u16) -> Option<SocketAddr> {
        let core: Vec<SocketAddr> =
            self.topology.configuration_members.iter().map(|seat| seat.at.into()).collect();
        let living = self.live_peers.iter().filter(|(at, peer)| peer.is_gateway && !core.contains(at));
        let gateways: Vec<SocketAddr> = living.map(|(at, _)| *at).collect();
        gateways.choose(&mut self.rng).copied().filter(|_| shard != CONTROL && self.info.relays_enabled)
    }

    /// Sends a call that nobody answered by way of another process, where there is one.
    fn relay(&mut self, nonce: u64) -> bool {
        let now = self.now.steady;
        let Some(shard) = self.asks.get(&nonce).filter(|ask| ask.wants_relay()).map(|ask| ask.shard) else {
            return false;
        };
        let Some(relay) = self.relay_for(shard) else { return false };
        let Some(ask) = self.asks.get_mut(&nonce) else { return false };
        let milliseconds = |time: Time| u32::try_from(time.max(0) / 1_000).unwrap_or(u32::MAX);
        let (within, slack, unclear) = (ask.deadline - now, ask.slack, ask.unclear);
        let (within_ms, slack_ms) = (milliseconds(within), milliseconds(slack));
        (ask.to, ask.try_at) = (Some(relay), now + TRY + slack);
        (ask.is_sent, ask.is_locating) = (true, false);
        ask.tries += 1;
        let head = Head::Relay { nonce, shard, within_ms, slack_ms, unclear };
        let (head, tail) = (join(&head, &ask.request), ask.tail.clone());
        self.effects.push(Effect::Frame { to: relay, head, tail });
        true
    }

    /// Another process's call, which is asked on here.
    pub(crate) fn relayed(&mut self, from: SocketAddr, head: &Head, request: Bytes, tail: Bytes) {
        let Head::Relay { nonce, shard, within_ms, slack_ms, unclear } = *head else { return };
        let time = |milliseconds: u32| Time::from(milliseconds) * 1_000;
        let within = time(within_ms).min(RELAYED_WITHIN);
        let goal = Goal::Relayed { to: from, nonce };
        self.ask_encoded(shard, request, tail, goal, within, time(slack_ms).min(within), unclear);
    }

    fn attempt(&mut self, nonce: u64) {
        let now = self.now.steady;
        if self.relay(nonce) {
            return;
        }
        let Some(number) = self.asks.get(&nonce).map(|a| a.shard) else { return };
        let led = self
            .shards
            .get(&number)
            .filter(|p| p.replica.is_serving_leader())
            .map(|_| self.info.peer_address);
        let silent = self.asks.get(&nonce).and_then(|a| a.silent);
        // Who is known to be gone, or has just not answered, is asked only where nobody else is left.
        let (mut seats, all) = (self.seats(number), self.seats(number));
        seats.retain(|at| {
            *at == self.info.peer_address || self.live_peers.contains_key(at) && Some(*at) != silent
        });
        let seats = if seats.is_empty() { all } else { seats };
        let hint = self.hints.get(&number).copied().filter(|hint| Some(*hint) != silent);
        let Some(ask) = self.asks.get_mut(&nonce) else { return };
        let turn = ask.tries;
        let next = (!seats.is_empty()).then(|| seats[turn % seats.len()]);
        let to = led.or(ask.confirmed).or(hint.filter(|_| turn == 0 || ask.hops > 0)).or(next);
        ask.is_locating = led.is_none() && ask.confirmed.is_none() && ask.tail.len() > LONG_TAIL;
        ask.tries += 1;
        let Some(to) = to else {
            ask.try_at = now + PAUSE;
            return;
        };
        ask.is_sent |= !ask.is_locating;
        let slack = ask.slack;
        let patience = if ask.is_locating { LOCATE_TRY } else { TRY + slack };
        (ask.to, ask.try_at) = (Some(to), now + patience);
        let (request, tail) = match ask.is_locating {
            true => (join(&Request::Locate, &[]), Bytes::new()),
            false => (ask.request.clone(), ask.tail.clone()),
        };
        if to == self.info.peer_address {
            if let Ok((request, _)) = split(&request) {
                self.serve(Origin::Own(nonce), number, request, tail);
            }
        } else {
            let head = join(&Head::Ask { nonce, shard: number }, &request);
            self.effects.push(Effect::Frame { to, head, tail });
        }
    }

    /// Tries again what has waited long enough, and gives up what has no time.
    pub(crate) fn retry(&mut self) {
        let now = self.now.steady;
        let due: Vec<u64> = self.asks.iter().filter(|(_, a)| a.next() <= now).map(|(n, _)| *n).collect();
        for nonce in due {
            let Some(ask) = self.asks.get_mut(&nonce) else { continue };
            ask.silent_tries += usize::from(ask.to.is_some());
            if ask.deadline <= now || ask.is_unheard() {
                let status = if ask.is_sent { ask.unclear } else { 503 };
                let answer = Answer { retry: (status == 503).then_some(SECOND / 5), ..Answer::of(status) };
                self.answered(nonce, answer);
                continue;
            }
            // Who was tried and is silent is no good hint.
            if ask.to.is_some() && self.hints.get(&ask.shard) == ask.to.as_ref() {
                self.hints.remove(&ask.shard);
            }
            (ask.hops, ask.confirmed) = (0, None);
            ask.is_unresolved |= ask.to.is_some() && !ask.is_locating;
            ask.silent = ask.to.or(ask.silent);
            self.attempt(nonce);
        }
    }

    /// The answer to a call of this process.
    pub(crate) fn answered(&mut self, nonce: u64, answer: Answer) {
        let Some(ask) = self.asks.remove(&nonce) else { return };
        // A later try's refusal would promise that the call never takes effect.
        let breaks_promise = ask.is_unresolved && PROMISES.contains(&answer.status);
        let answer = if breaks_promise && ask.unclear == MAYBE { Answer::of(MAYBE) } else { answer };
        if let Some(to) = ask.to.filter(|_| answer.status != ask.unclear) {
            self.hints.insert(ask.shard, to);
        }
        if ask.unclear == MAYBE && !matches!(answer.status, 200..300 | 429) {
            let waited = (self.now.steady - ask.begun) / 1_000;
            let text = format!("{} of part {}, {} tries, {waited} ms", answer.status, ask.shard, ask.tries);
            self.effects.push(Effect::Log("job not taken", text));
        }
        match ask.goal {
            Goal::Caller(ticket) => self.answer(ticket, answer),
            Goal::Relayed { to, nonce } => self.reply(Origin::Remote { to, nonce }, answer),
            Goal::Nobody => {}
            Goal::Reservation { shard, job } => {
                // This process may have stood still: its reservation may be released by now.
                let is_late = self.now.steady > ask.deadline;
                let answer = if is_late { Answer::later(503, SECOND / 5) } else { answer };
                self.reservations.push_back(Reserved { shard, job, answer });
            }
            Goal::Report { shard, route } => self.reported(shard, &route, answer.status == 200),
        }
    }

    /// Calls that wait for a peer that cannot be reached go to another member, after a pause that lets one be elected.
    pub(crate) fn asked_in_vain(&mut self, at: SocketAddr) {
        let soon = self.now.steady + PAUSE;
        self.hints.retain(|_, hint| *hint != at);
        for ask in self.asks.values_mut().filter(|a| a.to == Some(at)) {
            ask.is_unresolved |= !ask.is_locating;
            (ask.to, ask.hops, ask.confirmed) = (None, 0, None);
            ask.try_at = ask.try_at.min(soon);
        }
    }

    /// Another one leads, says who was asked.
    pub(crate) fn elsewhere(&mut self, nonce: u64, from: SocketAddr, leader: Option<SocketAddr>) {
        let now = self.now.steady;
        let Some(ask) = self.asks.get_mut(&nonce) else { return };
        if ask.to != Some(from) {
            return;
        }
        ask.silent_tries = 0;
        let shard = ask.shard;
        ask.hops += 1;
        let is_found = ask.is_locating && leader == Some(from);
        ask.confirmed = leader.filter(|_| is_found);
        match leader.filter(|l| is_found || *l != from && Some(*l) != ask.silent && ask.hops <= 3) {
            Some(leader) => {
                self.hints.insert(shard, leader);
                self.attempt(nonce);
            }
            None => {
                ask.hops = 0;
                ask.try_at = now + PAUSE;
                ask.to = None;
                if self.hints.get(&shard) == Some(&from) {
                    self.hints.remove(&shard);
                }
            }
        }
    }

    pub(crate) fn reply(&mut self, origin: Origin, answer: Answer) {
        match origin {
            Origin::Own(nonce) => self.answered(nonce, answer),
            Origin::Caller(ticket) => self.answer(ticket, answer),
            Origin::Remote { to, nonce } => {
                let retry_ms = answer.retry.map_or(0, |r| (r / 1000).clamp(1, 60_000) as u32);
                let head =
                    Head::Answer { nonce, status: answer.status, retry_ms, json: u8::from(answer.json) };
                self.effects.push(Effect::Frame { to, head: join(&head, &[]), tail: answer.body });
            }
        }
    }

    /// A call of this process may be committed, though it has no answer.
    pub(crate) fn may_be_committed(&mut self, nonce: u64) {
        if let Some(ask) = self.asks.get_mut(&nonce) {
            ask.is_unresolved = true;
        }
    }

    /// A call that was proposed here, by a leader that was replaced since.
    pub(crate) fn send_proposed_elsewhere(&mut self, number: u16, origin: Origin) {
        if let Origin::Own(nonce) = origin {
            self.may_be_committed(nonce);
        }
        self.send_on(number, origin, true);
    }

    /// A call of which nothing was proposed here.
    pub(crate) fn send_elsewhere(&mut self, number: u16, origin: Origin) {
        self.send_on(number, origin, false);
    }

    fn send_on(&mut self, number: u16, origin: Origin, proposed: bool) {
        // One that is elected and may not serve yet does not name itself.
        let replica = self.shards.get(&number).map(|shard| &shard.replica);
        let leader = replica
            .filter(|r| r.is_serving_leader() || !r.is_leader())
            .and_then(|r| r.leader())
            .map(|m| m.address);
        match origin {
            Origin::Own(nonce) => self.elsewhere(nonce, self.info.peer_address, leader),
            Origin::Remote { to, nonce } => {
                let leader = leader.map_or(PeerAddress { ip: [0; 4], port: 0 }, PeerAddress::from);
                let head = Head::Elsewhere { nonce, proposed: u8::from(proposed), leader };
                self.effects.push(Effect::Frame { to, head: join(&head, &[]), tail: Bytes::new() });
            }
            Origin::Caller(ticket) => self.answer(ticket, Answer::later(503, SECOND / 5)),
        }
    }
}
