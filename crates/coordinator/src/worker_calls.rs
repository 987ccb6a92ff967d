//! Calls of workers: beats and their end.

use rainlug::SECOND;
use rainlug_registry::{Phase, Worker};

use crate::dissemination::{Held, News};
use crate::{Answer, Coordinator, MAX_SPREAD_WAIT, Origin};

impl Coordinator {
    pub(crate) fn heartbeat(&mut self, ticket: u64, worker: Worker) {
        let (id, service, phase) = (worker.id.clone(), worker.service.clone(), worker.phase);
        self.enter(worker);
        if self.is_isolated(self.now) {
            return self.answer(ticket, Answer::retry_after(503, SECOND / 5));
        }
        let registrar = self.registrar(&service);
        let elsewhere = registrar.filter(|at| *at != self.info.at);
        let control = elsewhere.and_then(|at| self.peers.live.get(&at)).and_then(|peer| peer.control);
        if elsewhere.is_none() {
            self.heartbeats.insert(id.clone(), self.now.steady);
        }
        let body = control.map_or("{}".to_owned(), |at| format!("{{\"beat_addr\":\"{at}\"}}"));
        let answer = Answer::json(200, body);
        if phase >= Phase::Draining {
            self.heartbeats.remove(&id);
        }
        if phase >= Phase::Draining {
            self.hold(ticket, answer, id);
        } else {
            self.answer(ticket, answer);
        }
    }

    /// A worker's end is entered also where nothing is known of it: others may know it.
    pub(crate) fn deregister(&mut self, ticket: u64, id: String) {
        let known = self.gossip.workers().find(|w| w.id == id).cloned();
        let gone = match known {
            Some(worker) => Worker { phase: Phase::Gone, call_seq: worker.call_seq + 1, ..worker },
            None => Worker::tombstone(id.clone()),
        };
        self.enter(gone);
        self.heartbeats.remove(&id);
        if self.is_isolated(self.now) {
            return self.answer(ticket, Answer::retry_after(503, SECOND / 5));
        }
        self.hold(ticket, Answer::json(200, "{}"), id);
    }

    /// Whoever is told that a worker's end is known may count on all knowing it. What is said again waits as the first word did, until
    /// that has spread; what came from others is known to them.
    pub(crate) fn hold(&mut self, ticket: u64, answer: Answer, worker: String) {
        if !self.gossip.is_worker_propagating(&worker) && self.is_known_to_core(&worker) {
            return self.answer(ticket, answer);
        }
        let (origin, until) = (Origin::Caller(ticket), self.now.steady + MAX_SPREAD_WAIT);
        self.pending_acknowledgements.push(Held { origin, answer, until, news: News::Worker(worker) });
    }
}
