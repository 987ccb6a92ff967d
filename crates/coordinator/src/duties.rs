//! What falls to this process from time to time: to ask for its own seat, to call workers silent, and, where it leads a part, to
//! give the part's seats to those who are there.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rainlug::{SECOND, Time};
use rainlug_consensus::Member;
use rainlug_registry::Phase;

use crate::calls::Goal;
use crate::control::Change;
use crate::frame::{Request, Seat, join};
use crate::part::Machine;
use crate::{CONTROL, Coordinator, Effect, MISSED, Origin, PARTS, gossip};

/// Who has not been there for so long loses a seat, if another one can have it.
const ABSENT: Time = 4 * SECOND;
/// Between two words of a process about itself.
const ANNOUNCE: Time = SECOND;
/// The wait for more stores than are needed at least, before the parts are founded.
const GATHER: Time = 3 * SECOND;

impl Coordinator {
    pub(crate) fn duties(&mut self) {
        self.silent();
        if self.announce_at <= self.now.steady {
            self.announce_at = self.now.steady + ANNOUNCE;
            self.announce();
        }
        if self.parts.get(&CONTROL).is_some_and(|p| p.led) {
            self.post();
            self.seat_core();
            self.found_parts();
        }
        for number in 1..=PARTS {
            if self.parts.get(&number).is_some_and(|p| p.led) {
                self.seat_stores(number);
            }
        }
    }

    /// Workers whose beats are this process's duty, and do not come.
    fn silent(&mut self) {
        let (now, patience) = (self.now.steady, (self.info.beat as f64 * MISSED) as Time);
        if !self.info.gateway {
            return;
        }
        if self.is_isolated(self.now) {
            // Beats go elsewhere meanwhile; at its return they are awaited in full.
            self.beats.clear();
            return;
        }
        let mut quiet = Vec::new();
        let mut mine = BTreeSet::new();
        for worker in self.gossip.workers().filter(|w| w.phase == Phase::Ready) {
            if self.registrar(&worker.service) != Some(self.info.at) {
                continue;
            }
            mine.insert(worker.id.clone());
            if self.beats.get(&worker.id).is_some_and(|at| now - at > patience) {
                quiet.push(worker.clone());
            }
        }
        self.beats.retain(|id, _| mine.contains(id));
        for id in mine {
            // The duty may have just come here: the first beats are awaited in full.
            self.beats.entry(id).or_insert(now);
        }
        for mut worker in quiet {
            self.beats.remove(&worker.id);
            worker.phase = Phase::Silent;
            self.effects.push(Effect::Log("silent", worker.id.clone()));
            self.enter(worker);
        }
    }

    /// Asks for a seat in the core, or to be on the roster of stores.
    fn announce(&mut self) {
        let Some(me) = self.me() else { return };
        let seat = Seat::from(&me);
        if self.info.gateway {
            if !self.roster.core.iter().any(|s| s.id == me.id) {
                self.ask(
                    CONTROL,
                    &Request::Join { seat },
                    bytes::Bytes::new(),
                    Goal::Nobody,
                    ANNOUNCE,
                    0,
                    503,
                );
            }
        } else if !self.roster.stores.iter().any(|s| s.seat == seat) {
            self.ask(CONTROL, &Request::Shelve { seat }, bytes::Bytes::new(), Goal::Nobody, ANNOUNCE, 0, 503);
        }
    }

    fn absent(&self, at: &SocketAddr) -> bool {
        let now = self.now.steady;
        if *at == self.info.at || self.living.contains_key(at) {
            return false;
        }
        now - self.gone.get(at).copied().unwrap_or(self.begun) > ABSENT
    }

    /// Where a member would best be replaced by, or joined by, one of those: in a zone that has the fewest of the others.
    fn best<'a>(&self, others: &[Member], from: impl Iterator<Item = &'a Member>) -> Option<Member> {
        let crowd = |zone: &str| others.iter().filter(|m| m.zone == zone).count();
        from.min_by_key(|m| (crowd(&m.zone), m.id)).cloned()
    }

    /// The seats of the configuration's group.
    fn seat_core(&mut self) {
        let now = self.now.steady;
        self.joiners.retain(|_, (_, heard)| now - *heard < 3 * ANNOUNCE);
        let target = 2 * self.info.tolerate + 1;
        let Some(part) = self.parts.get(&CONTROL) else { return };
        let (members, settled) = part.replica.members();
        if !settled {
            return;
        }
        let members = members.to_vec();
        let fresh: Vec<Member> = self
            .joiners
            .values()
            .map(|(m, _)| m)
            .filter(|m| members.iter().all(|s| s.id != m.id))
            .cloned()
            .collect();
        let without =
            |out: &Member| -> Vec<Member> { members.iter().filter(|m| m.id != out.id).cloned().collect() };
        // The same machine with another disk; then who is gone; then free seats.
        let same =
            fresh.iter().find_map(|f| members.iter().find(|m| m.at == f.at).map(|m| (m.clone(), f.clone())));
        let gone = members.iter().find(|m| self.absent(&m.at)).cloned();
        let next = if let Some((old, new)) = same {
            Some([without(&old), vec![new]].concat())
        } else if let Some(old) = gone {
            let rest = without(&old);
            self.best(&rest, fresh.iter().filter(|f| !self.absent(&f.at)))
                .map(|new| [rest, vec![new]].concat())
        } else if members.len() < target {
            self.best(&members, fresh.iter()).map(|new| [members.clone(), vec![new]].concat())
        } else {
            None
        };
        if let Some(next) = next {
            self.reseat(CONTROL, next);
        }
    }

    fn reseat(&mut self, number: u16, next: Vec<Member>) {
        let Some(part) = self.parts.get_mut(&number) else { return };
        if part.replica.change(self.now.steady, next.clone()).is_ok() {
            let names: Vec<String> = next.iter().map(|m| format!("{}@{}", m.name, m.at)).collect();
            self.effects.push(Effect::Log("seats", format!("part {number}: {}", names.join(" "))));
            self.drain(number);
        }
    }

    /// The first groups of the parts of batch jobs.
    fn found_parts(&mut self) {
        let now = self.now.steady;
        let (least, target) = (self.info.tolerate + 1, 2 * self.info.tolerate + 1);
        let Some(control) = self.parts.get(&CONTROL).and_then(|p| p.control()) else { return };
        let stores: Vec<Member> =
            control.stores.values().filter(|(_, out)| !out).map(|(m, _)| m.clone()).collect();
        let missing: Vec<u16> = (1..=PARTS).filter(|n| !control.groups.contains_key(n)).collect();
        if missing.is_empty() || stores.len() < least {
            return;
        }
        let since = *self.shelves_since.get_or_insert(now);
        if stores.len() < target && now - since < GATHER {
            return;
        }
        for number in missing {
            let mut group: Vec<Member> = Vec::new();
            // Parts begin at different stores, so that their leaders differ.
            let turned: Vec<&Member> =
                (0..stores.len()).map(|i| &stores[(i + usize::from(number)) % stores.len()]).collect();
            while group.len() < target.min(stores.len()) {
                let crowd = |zone: &str| group.iter().filter(|m| m.zone == zone).count();
                let free = turned.iter().filter(|m| group.iter().all(|g| g.id != m.id));
                let Some(next) = free.min_by_key(|m| crowd(&m.zone)).map(|m| Member::clone(m)) else { break };
                group.push(next);
            }
            self.propose_duty(Change::seated(number, 0, &group));
        }
    }

    fn propose_duty(&mut self, change: Change) {
        self.nonce += 1;
        let nonce = self.nonce;
        // Its own nonce is nobody's: whether it took effect is seen in the state.
        self.propose(CONTROL, Origin::Own(nonce), join(&change, &[]));
    }

    /// Parts that were founded with this store among them, and that it does not have, begin here.
    pub(crate) fn founded(&mut self) {
        let Some(me) = self.me().filter(|_| !self.info.gateway) else { return };
        for group in self.roster.groups.clone() {
            if self.parts.contains_key(&group.part) || !group.founding.iter().any(|s| s.id == me.id) {
                continue;
            }
            if let Ok(founding) = crate::control::members(&group.founding) {
                let _ = self.open(group.part, founding, &[]);
            }
        }
    }

    /// The seats of a part of batch jobs that this process leads.
    fn seat_stores(&mut self, number: u16) {
        let target = 2 * self.info.tolerate + 1;
        let Some(part) = self.parts.get(&number) else { return };
        let (members, settled) = part.replica.members();
        if !settled || self.gossip.get(gossip::GROUPS).is_none() {
            return;
        }
        let members = members.to_vec();
        let behind = part.replica.behind();
        let (term, machine) = (part.replica.term(), matches!(part.machine, Machine::Lots(_)));
        if !machine {
            return;
        }
        let listed: Vec<(Member, bool)> =
            self.roster.stores.iter().filter_map(|s| Some((s.seat.member().ok()?, s.retiring > 0))).collect();
        let active = |m: &Member| listed.iter().any(|(l, retiring)| l.id == m.id && !retiring);
        let spare: Vec<&Member> = listed
            .iter()
            .filter(|(l, retiring)| {
                !retiring && members.iter().all(|m| m.id != l.id) && self.living.contains_key(&l.at)
            })
            .map(|(l, _)| l)
            .collect();
        let without =
            |out: &Member| -> Vec<Member> { members.iter().filter(|m| m.id != out.id).cloned().collect() };
        let replaced = members.iter().find(|m| listed.iter().any(|(l, _)| l.id != m.id && l.at == m.at));
        let leaving = members.iter().find(|m| !active(m));
        let gone = members.iter().find(|m| self.absent(&m.at));
        let out = replaced.or(leaving).or(gone);
        let next = match out {
            Some(old) => {
                let rest = without(old);
                match self.best(&rest, spare.iter().copied()) {
                    Some(new) => Some([rest, vec![new]].concat()),
                    // Nobody can have the seat of one that is to go.
                    None if !active(old) && rest.len() > self.info.tolerate => Some(rest),
                    None => None,
                }
            }
            None if members.len() < target => {
                self.best(&members, spare.iter().copied()).map(|new| [members.clone(), vec![new]].concat())
            }
            None => None,
        };
        if let Some(next) = next {
            return self.reseat(number, next);
        }
        // Told to the configuration's part once all that live hold all of it.
        let whole = members.iter().all(|m| {
            m.at == self.info.at
                || behind.iter().any(|(id, lacks)| *id == m.id && *lacks < 64)
                || self.absent(&m.at)
        });
        let info = self.roster.groups.iter().find(|g| g.part == number);
        let same = info.is_some_and(|g| g.members.iter().map(|s| s.id).eq(members.iter().map(|m| m.id)));
        if whole && !same {
            let seats: Vec<Seat> = members.iter().map(Seat::from).collect();
            let request = Request::Seated { part: number, term, count: seats.len() as u16, seats };
            self.ask(CONTROL, &request, bytes::Bytes::new(), Goal::Nobody, SECOND / 2, 0, 503);
        }
    }
}
