//! Who lives, whose duty a service's workers are, and whether this process is cut off from the others.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rainlug::{SECOND, Time};
use rainlug_fleet::Standing;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::dissemination::Sink;
use crate::{CONTROL, Coordinator, Effect, LivePeer, Now};

/// Who has others, and has heard nothing of them for so long, is cut off.
const CUT_OFF: Time = 12 * SECOND / 10;
/// How long a process that was cut off, or stood still, compares what it knows with others before it takes clients again.
pub(crate) const COMPARING: Time = 3 * SECOND / 10;

impl Coordinator {
    pub(crate) fn members(&mut self) {
        let now = self.now.steady;
        let mut living = BTreeMap::new();
        let mut zones: BTreeMap<String, Vec<SocketAddr>> = BTreeMap::new();
        self.peers.has_gateways = false;
        for member in self.peers.view.members() {
            for (card, standing, _) in member.processes {
                if card.at == self.info.at || standing == Standing::Left {
                    continue;
                }
                let (role, port) = match card.figures[..] {
                    [role, high, low, ..] => (role == 1, u16::from_be_bytes([high, low])),
                    _ => continue,
                };
                self.peers.has_gateways |= role;
                if standing > Standing::Suspect {
                    continue;
                }
                zones.entry(card.zone.clone()).or_default().push(card.at);
                let control = (port != 0).then(|| SocketAddr::new(card.at.ip(), port));
                living.insert(card.at, LivePeer { is_gateway: role, control });
            }
        }
        for at in self.peers.live.keys().filter(|at| !living.contains_key(at)) {
            self.peers.absent_since.insert(*at, now);
        }
        let newcomers: BTreeSet<SocketAddr> =
            living.keys().filter(|at| !self.peers.live.contains_key(at)).copied().collect();
        self.peers.absent_since.retain(|at, since| !living.contains_key(at) && now - *since < 600 * SECOND);
        let gateways = living.values().filter(|peer| peer.is_gateway).count();
        let before = self.peers.live.values().filter(|peer| peer.is_gateway).count();
        self.peers.live = living;
        self.reports.members(&self.info.zone, self.info.at, zones);
        self.peers.registrars.borrow_mut().clear();
        let peers: Vec<SocketAddr> = self.peers.live.keys().copied().collect();
        self.gossip.set_peers(now, &peers);
        if gateways != before || self.contact.caught_up_at.is_none() {
            self.effects.push(Effect::PeerCount(gateways));
        }
        // Who meets others again, after its start or a cut, compares with them at once.
        let due = self.contact.caught_up_at.is_none_or(|at| now - at > SECOND / 4)
            || now < self.contact.catching_up_until;
        if !newcomers.is_empty() && due {
            self.contact.caught_up_at = Some(now);
            self.catch_up();
        }
    }

    /// Where the beats of a service's workers go: who takes requests and lives, by rendezvous hash.
    pub(crate) fn registrar(&self, service: &str) -> Option<SocketAddr> {
        if let Some(known) = self.peers.registrars.borrow().get(service) {
            return *known;
        }
        let weigh = |at: &SocketAddr| {
            xxh3_64_with_seed(service.as_bytes(), xxh3_64_with_seed(at.to_string().as_bytes(), 1))
        };
        let others = self.peers.live.iter().filter(|(_, peer)| peer.is_gateway && peer.control.is_some());
        let all = others.map(|(at, _)| *at).chain(self.info.gateway.then_some(self.info.at));
        let found = all.max_by_key(weigh);
        self.peers.registrars.borrow_mut().insert(service.to_owned(), found);
        found
    }

    /// A peer is heard. After a cut what was missed is asked for at once.
    pub(crate) fn hear(&mut self, now: Now) {
        let was_isolated = self.is_isolated(now);
        (self.now, self.contact.last_received) = (now, now.steady);
        if was_isolated {
            self.contact.catching_up_until = now.steady + COMPARING;
            self.catch_up();
        }
    }

    /// Compares what it knows with several others.
    pub(crate) fn catch_up(&mut self) {
        let mut sink = Sink::new(&mut self.effects);
        self.gossip.catch_up(self.now.steady, &mut sink);
        let (workers, texts) = (sink.workers, sink.texts);
        self.told_news(workers, texts);
    }

    /// Whether it knows of fellows and has heard nothing of anybody for a while: it is cut off, or the only one left. Who still leads
    /// the configuration's part then is a quorum by itself.
    pub(crate) fn is_isolated(&self, now: Now) -> bool {
        let silent = self.peers.has_gateways && now.steady - self.contact.last_received > CUT_OFF;
        silent && !self.shards.get(&CONTROL).is_some_and(|shard| shard.replica.is_serving_leader())
    }

    /// Whether it may be given clients: it knows a configuration, has heard of others or is alone, and is not cut off: who lives
    /// among others hears of them several times a second. After a cut it has compared what it knows with others first.
    pub fn ready(&self, now: Now) -> bool {
        if self.is_isolated(now) || now.steady < self.contact.catching_up_until {
            return false;
        }
        let now = now.steady;
        let met = self.contact.caught_up_at.is_some_and(|at| now - at > SECOND / 10)
            || now - self.contact.started_at > 3 * SECOND;
        self.configuration.is_some() && met
    }
}
