//! What the gossip brings takes effect here, what this process learns is published through it, and answers wait here until what
//! they acknowledge has spread.
//!
//! A caller that is told "done" may count on every live process knowing it. So the answer to a new configuration, or to a
//! worker's last call, is held back until all live peers have acknowledged the update, or until a short timeout has passed.

use std::net::SocketAddr;

use bytes::Bytes;
use rainlug::{SECOND, Time};
use rainlug_fleet::Process;
use rainlug_registry::gossip::{self, Coverage};
use rainlug_registry::{Configuration, Phase, Worker};

use crate::frame::{Head, join};
use crate::topology::Topology;
use crate::{Answer, Coordinator, Effect, Origin};

/// When a worker is to repeat a last call that could not be acknowledged, in microseconds.
pub(crate) const RETRY_LAST_CALL_AFTER: Time = SECOND / 5;

/// An answer that waits until the update it acknowledges has spread.
pub(crate) struct PendingAcknowledgement {
    /// Whom the answer goes to.
    pub origin: Origin,
    /// What is answered once the update has spread.
    pub answer: Answer,
    /// When it waits no longer, by the steady clock in microseconds.
    pub until: Time,
    /// What has to spread.
    pub update: AwaitedUpdate,
}

/// An update of the gossip that an answer waits for.
pub(crate) enum AwaitedUpdate {
    /// The configuration of this version.
    Configuration(u64),
    /// The last state of the worker with this id.
    Worker(String),
}

/// Updates that the gossip found to be newer than what stood here.
#[derive(Default)]
pub(crate) struct Updates {
    workers: Vec<Worker>,
    documents: Vec<DocumentUpdate>,
}

/// A newer version of one of the documents that the gossip carries.
struct DocumentUpdate {
    /// [`gossip::CONFIGURATION`] or [`gossip::TOPOLOGY`].
    kind: u8,
    version: u64,
    text: Bytes,
}

/// Takes what the failure detector and the gossip send, and collects the updates that they report.
pub(crate) struct Outbox<'a> {
    effects: &'a mut Vec<Effect>,
    updates: Updates,
}

impl<'a> Outbox<'a> {
    /// Sends become effects in this list.
    pub fn new(effects: &'a mut Vec<Effect>) -> Self {
        Outbox { effects, updates: Updates::default() }
    }

    /// What was reported, for [`Coordinator::apply_updates`].
    pub fn into_updates(self) -> Updates {
        self.updates
    }
}

impl rainlug_fleet::Outgoing for Outbox<'_> {
    fn send(&mut self, to: SocketAddr, payload: &[u8]) {
        self.effects.push(Effect::Datagram { to, bytes: Bytes::copy_from_slice(payload) });
    }

    fn changed(&mut self, process: &Process) {
        let (card, standing) = (&process.card, process.standing);
        self.effects.push(Effect::Log("member", format!("{} at {} is {standing:?}", card.name, card.at)));
    }
}

impl gossip::Outgoing for Outbox<'_> {
    fn send(&mut self, to: SocketAddr, bytes: Bytes) {
        self.effects.push(Effect::Frame { to, head: join(&Head::Gossip, &[]), tail: bytes });
    }

    fn worker_changed(&mut self, worker: &Worker) {
        self.updates.workers.push(worker.clone());
    }

    fn document_changed(&mut self, kind: u8, version: u64, text: &Bytes) {
        self.updates.documents.push(DocumentUpdate { kind, version, text: text.clone() });
    }
}

impl Coordinator {
    /// Updates of the gossip take effect here.
    pub(crate) fn apply_updates(&mut self, updates: Updates) {
        for worker in updates.workers {
            if worker.phase >= Phase::Draining {
                self.heartbeats.remove(&worker.id);
            }
            self.effects.push(Effect::Worker(worker));
        }
        for update in updates.documents {
            match update.kind {
                gossip::CONFIGURATION => self.apply_configuration(update.version, update.text),
                gossip::TOPOLOGY => self.apply_topology(update.version, &update.text),
                _ => {}
            }
        }
    }

    fn apply_configuration(&mut self, version: u64, text: Bytes) {
        match Configuration::parse(&text) {
            Ok(configuration) => {
                self.configuration = Some(configuration);
                self.effects.push(Effect::Configuration { version, text });
            }
            Err(findings) => {
                let details = format!("version {version}: {findings}");
                self.effects.push(Effect::Log("configuration", details));
            }
        }
    }

    fn apply_topology(&mut self, version: u64, text: &Bytes) {
        let Ok(topology) = Topology::decode(text) else { return };
        (self.topology, self.topology_version) = (topology, version);
        self.open_founded_shards();
        self.apply_fences();
        self.replace_fenced_disk_identity();
    }

    /// Publishes a worker's state through the gossip; whether it is newer than what stood there.
    pub(crate) fn publish_worker(&mut self, worker: Worker) -> bool {
        let mut outbox = Outbox::new(&mut self.effects);
        let is_newer = self.gossip.publish_worker(self.now.steady, worker, &mut outbox);
        let updates = outbox.into_updates();
        self.apply_updates(updates);
        is_newer
    }

    /// Publishes a version of one of the gossip's documents.
    pub(crate) fn publish_document(&mut self, kind: u8, version: u64, text: Bytes) {
        let mut outbox = Outbox::new(&mut self.effects);
        self.gossip.publish_document(self.now.steady, kind, version, text, &mut outbox);
        let updates = outbox.into_updates();
        self.apply_updates(updates);
    }

    /// Whether a majority of the configuration's members has a worker's latest state. Each process in contact with that majority
    /// learns of it then; without this, an isolated side could acknowledge a worker's end that the other side does not know.
    pub(crate) fn is_known_to_core(&self, worker: &str) -> bool {
        let members = &self.topology.configuration_members;
        let acknowledged = members.iter().filter(|member| {
            let address: SocketAddr = member.at.into();
            address == self.info.peer_address || self.gossip.is_worker_known_to(worker, address)
        });
        members.is_empty() || 2 * acknowledged.count() > members.len()
    }

    /// What may have become possible with any event: a changed membership, answers whose update has spread, items to run, tokens
    /// to report.
    pub(crate) fn run_deferred_work(&mut self) {
        if self.peers.view.version() != self.peers.view_version {
            self.peers.view_version = self.peers.view.version();
            self.update_membership();
        }
        self.send_acknowledgements();
        self.run_items();
        self.send_usage_reports();
        self.finish_reservations();
    }

    /// Sends the answers whose update has spread or whose time is over.
    fn send_acknowledgements(&mut self) {
        let now = self.now.steady;
        for pending in std::mem::take(&mut self.pending_acknowledgements) {
            let (Coverage { acknowledged, peers }, is_in_core) = match &pending.update {
                AwaitedUpdate::Configuration(version) => {
                    (self.gossip.document_coverage(gossip::CONFIGURATION, *version), true)
                }
                AwaitedUpdate::Worker(id) => (self.gossip.worker_coverage(id), self.is_known_to_core(id)),
            };
            if acknowledged >= peers && is_in_core {
                self.reply(pending.origin, pending.answer);
            } else if now >= pending.until {
                // No peer has acknowledged a worker's end: the worker has to repeat it at another process.
                let is_unacknowledged =
                    acknowledged == 0 && peers > 0 && matches!(pending.update, AwaitedUpdate::Worker(_));
                let must_retry = is_unacknowledged || !is_in_core;
                let answer =
                    if must_retry { Answer::retry_after(503, RETRY_LAST_CALL_AFTER) } else { pending.answer };
                self.reply(pending.origin, answer);
            } else {
                self.pending_acknowledgements.push(pending);
            }
        }
    }
}
