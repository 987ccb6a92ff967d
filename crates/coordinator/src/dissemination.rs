//! News of the gossip: what takes effect here, what is entered, and answers that wait until their news has spread.

use std::net::SocketAddr;

use bytes::Bytes;
use rainlug::{SECOND, Time};
use rainlug_fleet::Process;
use rainlug_registry::{Configuration, Phase, Worker, gossip, gossip::Coverage};

use crate::frame::{Head, join};
use crate::topology::Topology;
use crate::{Answer, Coordinator, Effect, Origin};

/// An answer that waits until its news has spread.
pub(crate) struct Held {
    pub origin: Origin,
    pub answer: Answer,
    pub until: Time,
    pub news: News,
}

pub(crate) enum News {
    Configuration(u64),
    Worker(String),
}

/// Where the effects of view and gossip go.
pub(crate) struct Sink<'a> {
    pub effects: &'a mut Vec<Effect>,
    pub workers: Vec<Worker>,
    pub texts: Vec<(u8, u64, Bytes)>,
}

impl<'a> Sink<'a> {
    pub fn new(effects: &'a mut Vec<Effect>) -> Self {
        Sink { effects, workers: Vec::new(), texts: Vec::new() }
    }
}

impl rainlug_fleet::Outgoing for Sink<'_> {
    fn send(&mut self, to: SocketAddr, payload: &[u8]) {
        self.effects.push(Effect::Datagram { to, bytes: Bytes::copy_from_slice(payload) });
    }

    fn changed(&mut self, process: &Process) {
        let (card, standing) = (&process.card, process.standing);
        self.effects.push(Effect::Log("member", format!("{} at {} is {standing:?}", card.name, card.at)));
    }
}

impl gossip::Outgoing for Sink<'_> {
    fn send(&mut self, to: SocketAddr, bytes: Bytes) {
        self.effects.push(Effect::Frame { to, head: join(&Head::Gossip, &[]), tail: bytes });
    }

    fn worker_changed(&mut self, worker: &Worker) {
        self.workers.push(worker.clone());
    }

    fn document_changed(&mut self, kind: u8, version: u64, text: &Bytes) {
        self.texts.push((kind, version, text.clone()));
    }
}

impl Coordinator {
    /// News of the gossip takes effect here.
    pub(crate) fn told_news(&mut self, workers: Vec<Worker>, texts: Vec<(u8, u64, Bytes)>) {
        for worker in workers {
            if worker.phase >= Phase::Draining {
                self.heartbeats.remove(&worker.id);
            }
            self.effects.push(Effect::Worker(worker));
        }
        for (kind, version, text) in texts {
            match kind {
                gossip::CONFIGURATION => match Configuration::parse(&text) {
                    Ok(read) => {
                        self.configuration = Some(read);
                        self.effects.push(Effect::Configuration { version, text });
                    }
                    Err(findings) => {
                        self.effects
                            .push(Effect::Log("configuration", format!("version {version}: {findings}")));
                    }
                },
                gossip::TOPOLOGY => {
                    if let Ok(topology) = Topology::decode(&text) {
                        (self.topology, self.topology_version) = (topology, version);
                        self.founded();
                        self.fence_shards();
                        self.renew_fenced_disk();
                    }
                }
                _ => {}
            }
        }
    }

    /// Enters a worker's word in the gossip; true where it is news.
    pub(crate) fn enter(&mut self, worker: Worker) -> bool {
        let mut sink = Sink::new(&mut self.effects);
        let news = self.gossip.publish_worker(self.now.steady, worker, &mut sink);
        let (workers, texts) = (sink.workers, sink.texts);
        self.told_news(workers, texts);
        news
    }

    pub(crate) fn enter_text(&mut self, kind: u8, version: u64, text: Bytes) {
        let mut sink = Sink::new(&mut self.effects);
        self.gossip.publish_document(self.now.steady, kind, version, text, &mut sink);
        let (workers, texts) = (sink.workers, sink.texts);
        self.told_news(workers, texts);
    }

    /// Whether a majority of the core has a worker's last news. Each process in contact with the core hears of it then; without this a
    /// side that is cut off could acknowledge a worker's end that the other side does not know.
    pub(crate) fn is_known_to_core(&self, worker: &str) -> bool {
        let core = &self.topology.core;
        let known = core.iter().filter(|seat| {
            let at: SocketAddr = seat.at.into();
            at == self.info.at || self.gossip.is_worker_known_to(worker, at)
        });
        core.is_empty() || 2 * known.count() > core.len()
    }

    /// After each event: what members there are, answers whose news has spread, items to run, tokens to report.
    pub(crate) fn settle(&mut self) {
        if self.peers.view.version() != self.peers.view_version {
            self.peers.view_version = self.peers.view.version();
            self.members();
        }
        let now = self.now.steady;
        let held = std::mem::take(&mut self.pending_acknowledgements);
        for waits in held {
            let (Coverage { acknowledged: has, peers: all }, is_in_core) = match &waits.news {
                News::Configuration(version) => {
                    (self.gossip.document_coverage(gossip::CONFIGURATION, *version), true)
                }
                News::Worker(id) => (self.gossip.worker_coverage(id), self.is_known_to_core(id)),
            };
            if has >= all && is_in_core {
                self.reply(waits.origin, waits.answer);
            } else if now >= waits.until {
                // Of a worker's end nobody else has said to know: it is to be told elsewhere too.
                let alone = has == 0 && all > 0 && matches!(waits.news, News::Worker(_));
                self.reply(
                    waits.origin,
                    if alone || !is_in_core { Answer::retry_after(503, SECOND / 5) } else { waits.answer },
                );
            } else {
                self.pending_acknowledgements.push(waits);
            }
        }
        self.run_items();
        self.send_usage_reports();
        self.finish_reservations();
    }
}
