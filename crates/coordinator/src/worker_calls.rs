//! Calls of workers: heartbeats, and the last ones (draining and deregistration).
//!
//! A worker may call any gateway; the answer names the service's registrar where that is another one, so that later heartbeats
//! go there.

use rainlug_registry::{Phase, Worker};

use crate::dissemination::{AwaitedUpdate, PendingAcknowledgement, RETRY_LAST_CALL_AFTER};
use crate::{Answer, Coordinator, MAX_SPREAD_WAIT, Origin};

impl Coordinator {
    /// Takes a worker's heartbeat. One that says that the worker drains is acknowledged only once that is known.
    pub(crate) fn heartbeat(&mut self, ticket: u64, worker: Worker) {
        let (id, service, phase) = (worker.id.clone(), worker.service.clone(), worker.phase);
        self.publish_worker(worker);
        if self.is_isolated(self.now) {
            return self.answer(ticket, Answer::retry_after(503, RETRY_LAST_CALL_AFTER));
        }
        let other_registrar = self.registrar(&service).filter(|at| *at != self.info.peer_address);
        if other_registrar.is_none() {
            self.heartbeats.insert(id.clone(), self.now.steady);
        }
        let control_address =
            other_registrar.and_then(|at| self.peers.live.get(&at)).and_then(|peer| peer.control_address);
        let body = control_address.map_or("{}".to_owned(), |at| format!("{{\"beat_addr\":\"{at}\"}}"));
        let answer = Answer::json(200, body);
        if phase >= Phase::Draining {
            self.heartbeats.remove(&id);
            self.acknowledge_when_disseminated(ticket, answer, id);
        } else {
            self.answer(ticket, answer);
        }
    }

    /// Takes a worker's last call. Its end is published also where nothing is known of the worker: others may know it.
    pub(crate) fn deregister(&mut self, ticket: u64, id: String) {
        let known = self.gossip.workers().find(|worker| worker.id == id).cloned();
        let gone = match known {
            Some(worker) => Worker { phase: Phase::Gone, call_seq: worker.call_seq + 1, ..worker },
            None => Worker::tombstone(id.clone()),
        };
        self.publish_worker(gone);
        self.heartbeats.remove(&id);
        if self.is_isolated(self.now) {
            return self.answer(ticket, Answer::retry_after(503, RETRY_LAST_CALL_AFTER));
        }
        self.acknowledge_when_disseminated(ticket, Answer::json(200, "{}"), id);
    }

    /// Answers once the worker's end is known to all: whoever receives the answer may count on that. A repeated call waits as the
    /// first one did, until that has spread; what came from other processes is known to them already.
    fn acknowledge_when_disseminated(&mut self, ticket: u64, answer: Answer, worker: String) {
        if !self.gossip.is_worker_propagating(&worker) && self.is_known_to_core(&worker) {
            return self.answer(ticket, answer);
        }
        self.pending_acknowledgements.push(PendingAcknowledgement {
            origin: Origin::Caller(ticket),
            answer,
            until: self.now.steady + MAX_SPREAD_WAIT,
            update: AwaitedUpdate::Worker(worker),
        });
    }
}
