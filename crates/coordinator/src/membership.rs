//! Which peers are alive, which gateway is the registrar of a service's workers, and whether this process is isolated.
//!
//! The failure detector (SWIM, in `rainlug-fleet`) decides who is alive; here its view becomes what the rest of the coordinator
//! asks for. An isolated process stops acting on what it knows: it refuses clients and workers' last calls until it is in touch
//! with a peer again and has compared its state with others.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rainlug::{SECOND, Time};
use rainlug_consensus::MemberId;
use rainlug_fleet::Standing;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::dissemination::Outbox;
use crate::topology::StoreRecord;
use crate::{CONTROL, Coordinator, Effect, NodeInfo, Now};

/// A process that knows peers and has received nothing from any of them for so long is isolated, in microseconds.
const ISOLATION_TIMEOUT: Time = 12 * SECOND / 10;
/// So many of its probes in a row must have had no answer, neither of their target nor of the helpers. Where one datagram in ten is
/// lost each way, one probe that three helpers repeat goes unanswered once in some eight hundred times.
const MAX_UNANSWERED_PROBES: u32 = 3;
/// How long a process that was isolated, or whose own clock stood still, compares its state with others before it takes clients
/// again, in microseconds.
pub(crate) const COMPARING_PERIOD: Time = 3 * SECOND / 10;
/// Between two comparisons that are started because peers appeared, in microseconds.
const CATCH_UP_INTERVAL: Time = SECOND / 4;
/// How long a comparison gets before this process counts as ready, in microseconds.
const CATCH_UP_PERIOD: Time = SECOND / 10;
/// A process that has met no peer for so long after its start counts as the only one, in microseconds.
const ALONE_AFTER: Time = 3 * SECOND;
/// How long it is remembered since when a peer is absent, in microseconds.
const ABSENCE_RETENTION: Time = 600 * SECOND;

/// A peer that the failure detector does not count as gone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LivePeer {
    /// Whether it takes clients' requests.
    pub is_gateway: bool,
    /// Where it serves workers and operators, if it does.
    pub control_address: Option<SocketAddr>,
    /// A store that has no room for more batch jobs.
    pub is_full: bool,
}

/// The application bytes of a process's membership card: its role, the port where it serves workers (big-endian; 0: none), and a last
/// one where it has no room for more batch jobs.
pub(crate) fn member_payload(info: &NodeInfo, is_full: bool) -> Vec<u8> {
    let mut payload = vec![u8::from(info.role.is_gateway())];
    payload.extend(info.control_address.map_or(0, |c| c.port()).to_be_bytes());
    payload.extend(is_full.then_some(1));
    payload
}

/// The peers that the failure detector's view lists.
struct KnownPeers {
    live: BTreeMap<SocketAddr, LivePeer>,
    /// Peer addresses of the live ones, by zone.
    zones: BTreeMap<String, Vec<SocketAddr>>,
    /// Another gateway is known that has not left, be it alive or not.
    has_gateways: bool,
}

impl Coordinator {
    /// Takes over a changed view of the failure detector.
    pub(crate) fn update_membership(&mut self) {
        let now = self.now.steady;
        let KnownPeers { live, zones, has_gateways } = self.known_peers();
        self.peers.has_gateways = has_gateways;
        for address in self.peers.live.keys().filter(|address| !live.contains_key(address)) {
            self.peers.absent_since.insert(*address, now);
        }
        let newcomers: BTreeSet<SocketAddr> =
            live.keys().filter(|address| !self.peers.live.contains_key(address)).copied().collect();
        self.peers
            .absent_since
            .retain(|address, since| !live.contains_key(address) && now - *since < ABSENCE_RETENTION);
        let is_back = |store: &&StoreRecord| newcomers.contains(&store.member.at.into());
        let back: Vec<MemberId> = self.topology.stores.iter().filter(is_back).map(|s| s.member.id).collect();
        back.into_iter().for_each(|member| self.departures.record_back(member));
        let gateways = live.values().filter(|peer| peer.is_gateway).count();
        let gateways_before = self.peers.live.values().filter(|peer| peer.is_gateway).count();
        self.peers.live = live;
        self.reports.set_members(&self.info.zone, self.info.peer_address, zones);
        self.peers.registrars.borrow_mut().clear();
        let peers: Vec<SocketAddr> = self.peers.live.keys().copied().collect();
        self.gossip.set_peers(now, &peers);
        if gateways != gateways_before || self.contact.caught_up_at.is_none() {
            self.effects.push(Effect::PeerCount(gateways));
        }
        // Whoever meets others again, after its start or a partition, compares with them at once.
        let is_due = self.contact.caught_up_at.is_none_or(|at| now - at > CATCH_UP_INTERVAL)
            || now < self.contact.comparing_until;
        if !newcomers.is_empty() && is_due {
            self.contact.caught_up_at = Some(now);
            self.catch_up();
        }
    }

    /// The peers in the failure detector's view, without this process and those that left.
    fn known_peers(&self) -> KnownPeers {
        let mut known = KnownPeers { live: BTreeMap::new(), zones: BTreeMap::new(), has_gateways: false };
        for member in self.peers.view.members() {
            for (card, standing, _) in member.processes {
                if card.at == self.info.peer_address || standing == Standing::Left {
                    continue;
                }
                let (is_gateway, port, rest) = match &card.figures[..] {
                    [role, high, low, rest @ ..] => (*role == 1, u16::from_be_bytes([*high, *low]), rest),
                    _ => continue,
                };
                let is_full = rest.first() == Some(&1);
                known.has_gateways |= is_gateway;
                if standing > Standing::Suspect {
                    continue;
                }
                known.zones.entry(card.zone.clone()).or_default().push(card.at);
                let control_address = (port != 0).then(|| SocketAddr::new(card.at.ip(), port));
                known.live.insert(card.at, LivePeer { is_gateway, control_address, is_full });
            }
        }
        known
    }

    /// The gateway that takes the heartbeats of a service's workers: the highest by rendezvous hash among those alive.
    pub(crate) fn registrar(&self, service: &str) -> Option<SocketAddr> {
        if let Some(known) = self.peers.registrars.borrow().get(service) {
            return *known;
        }
        let weigh = |address: &SocketAddr| {
            xxh3_64_with_seed(service.as_bytes(), xxh3_64_with_seed(address.to_string().as_bytes(), 1))
        };
        let others =
            self.peers.live.iter().filter(|(_, peer)| peer.is_gateway && peer.control_address.is_some());
        let own = self.info.role.is_gateway().then_some(self.info.peer_address);
        let found = others.map(|(address, _)| *address).chain(own).max_by_key(weigh);
        self.peers.registrars.borrow_mut().insert(service.to_owned(), found);
        found
    }

    /// Something came from a peer. Where that ends an isolation, what was missed is asked for at once.
    pub(crate) fn record_received(&mut self, now: Now) {
        let was_isolated = self.is_isolated(now);
        (self.now, self.contact.last_received) = (now, now.steady);
        self.end_isolation(was_isolated);
    }

    /// A peer answered what this process had sent.
    pub(crate) fn record_answered(&mut self, was_out_of_touch: bool) {
        self.contact.last_answered = self.now.steady;
        self.end_isolation(was_out_of_touch);
    }

    /// Where this process was isolated and is not any more, it compares what it knows with others before it takes clients.
    fn end_isolation(&mut self, was_isolated: bool) {
        if was_isolated && !self.is_isolated(self.now) {
            self.contact.comparing_until = self.now.steady + COMPARING_PERIOD;
            self.catch_up();
        }
    }

    /// Compares what it knows with several others (anti-entropy).
    pub(crate) fn catch_up(&mut self) {
        let mut outbox = Outbox::new(&mut self.effects);
        self.gossip.catch_up(self.now.steady, &mut outbox);
        let updates = outbox.into_updates();
        self.apply_updates(updates);
    }

    /// Whether it is out of touch with the other gateways. A process that still leads the configuration's shard then is a quorum by
    /// itself, and not isolated.
    pub(crate) fn is_isolated(&self, now: Now) -> bool {
        self.is_out_of_touch(now)
            && !self.shards.get(&CONTROL).is_some_and(|shard| shard.replica.is_serving_leader())
    }

    /// Whether it knows other gateways and a partition has cut it off from them, be it in one direction only, or it is the only one
    /// left.
    pub(crate) fn is_out_of_touch(&self, now: Now) -> bool {
        self.peers.has_gateways && (self.hears_nobody(now) || self.reaches_nobody(now))
    }

    /// Whether nothing has come from anybody for a while: among live peers something arrives several times a second.
    fn hears_nobody(&self, now: Now) -> bool {
        now.steady - self.contact.last_received > ISOLATION_TIMEOUT
    }

    /// Whether nobody has answered this gateway for a while. It may receive all the same, where the partition is one-way: what it
    /// knows is then current, and what it acknowledges is known to nobody else. A store is not asked: its datagrams are lost while
    /// batch jobs fill its link.
    fn reaches_nobody(&self, now: Now) -> bool {
        self.info.role.is_gateway()
            && self.peers.view.unanswered_probes() >= MAX_UNANSWERED_PROBES
            && now.steady - self.contact.last_answered > ISOLATION_TIMEOUT
    }

    /// Whether it may be given clients: it has a configuration, has met others or is alone, and is not isolated (among live
    /// peers something arrives several times a second). After an isolation it has compared its state with others first.
    pub fn is_ready(&self, now: Now) -> bool {
        if self.is_isolated(now) || now.steady < self.contact.comparing_until {
            return false;
        }
        let now = now.steady;
        let has_met_peers = self.contact.caught_up_at.is_some_and(|at| now - at > CATCH_UP_PERIOD);
        self.configuration.is_some() && (has_met_peers || now - self.contact.started_at > ALONE_AFTER)
    }
}
