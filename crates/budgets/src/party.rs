//! All of it for one process: its voice if it is a voter's, its office if it is elected, its share of each budget, and the
//! datagrams between them. When something is said is decided here; who may have how much by the parts.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::BufMut;
use rainlug_fleet::Reader;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::wire;
use crate::{Amount, Ask, Divider, Holder, Key, Kind, Odd, Outgoing, Terms, Time, UNIT, Voter, Ways};

/// Parts of a grant after which a holder asks again; sooner, where what it did not want before is wanted now.
const ASKS: Time = 4;
const SOON: Time = 32;
/// Parts of its lease after which a divider asks for it again, and by which candidates keep apart.
const RENEWS: Time = 3;
const APART: Time = 8;
/// Asks without an answer after which a divider is looked for.
const DEAF: u32 = 1;
/// Grants' lengths after which a thing that nobody speaks of is forgotten.
const GONE: Time = 2;

/// A name's place on the roster.
fn on(terms: &Terms, name: &str) -> Option<usize> {
    terms.roster.iter().position(|n| n == name)
}

pub struct Party {
    terms: Terms,
    frame: u64,
    digest: u64,
    ways: Ways,
    /// Of its dispatcher, on the roster and among the voters; and its own.
    me: u16,
    place: Option<u16>,
    id: u64,
    chance: ChaCha8Rng,
    /// Since when it is the only process of its dispatcher that may use its part and vote.
    sole: Option<Time>,
    voter: Option<Voter>,
    divider: Divider,
    /// Was in office when it was last looked; has asked for voices, and has no majority yet.
    divides: bool,
    stands: bool,
    shares: BTreeMap<Key, Holder>,
    /// When things that come and go were last spoken of.
    spoken: BTreeMap<Key, Time>,
    /// Where other processes of each dispatcher on the roster are thought to be; the voters' places on it, and whether each
    /// has the same frame, as far as it said.
    others: Vec<Vec<SocketAddr>>,
    voters: Vec<(usize, Option<bool>)>,
    confirmed: bool,
    /// Who divides, as far as known, in which epoch, and asks to it that have no answer.
    leader: Option<SocketAddr>,
    known: u32,
    deaf: u32,
    asked: Time,
    next_ask: Time,
    next_stand: Time,
}

impl Party {
    /// A process of the dispatcher in that place of the roster, which begins now. It holds nothing and votes for nobody until
    /// it is told that it is the only one.
    pub fn new(mut terms: Terms, me: u16, id: u64, ways: Ways, seed: u64, now: Time) -> Self {
        if !ways.drift {
            terms.drift = 0;
        }
        let place = terms.voters.iter().position(|v| *v == terms.roster[usize::from(me)]);
        let shares = terms.budgets.iter().zip(0..).filter(|(b, _)| b.kind != Kind::Parts);
        let shares = shares.map(|(_, nth)| ((nth, 0), Holder::new(usize::from(nth), now))).collect();
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        // Processes that begin together ask apart.
        let next_ask = now + chance.random_range(0..=terms.grant / ASKS);
        Party {
            frame: terms.frame(),
            digest: terms.digest(),
            ways,
            me,
            place: place.map(|p| p as u16),
            id,
            chance,
            sole: None,
            voter: None,
            divider: Divider::new(),
            divides: false,
            stands: false,
            shares,
            spoken: BTreeMap::new(),
            others: vec![Vec::new(); terms.roster.len()],
            voters: terms.voters.iter().filter_map(|v| Some((on(&terms, v)?, None))).collect(),
            confirmed: false,
            leader: None,
            known: 0,
            deaf: 0,
            asked: now,
            next_ask,
            next_stand: Time::MAX,
            terms,
        }
    }

    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// Where the other processes of dispatchers are, by their names, as far as anybody knows. A hint: a wrong one costs use,
    /// never the sum.
    pub fn there(&mut self, mut found: BTreeMap<&str, Vec<SocketAddr>>) {
        let of = |name: &String| found.remove(name.as_str()).unwrap_or_default();
        self.others = self.terms.roster.iter().map(of).collect();
    }

    /// From now on no other process of its dispatcher lives that uses its part or votes.
    pub fn alone(&mut self, now: Time) {
        if self.sole.is_some() {
            return;
        }
        self.sole = Some(now);
        if self.place.is_some() {
            let since = if self.ways.voters_wait { now } else { now - 2 * self.terms.over(self.terms.lease) };
            self.voter = Some(Voter::new(&self.terms, since));
            self.next_stand = now + self.terms.over(self.terms.lease) + self.apart();
        }
        self.confirm(now, self.place, true);
        self.owned(now);
    }

    /// Takes other terms, if nothing but wholes differs from those before; whether it did.
    pub fn reload(&mut self, now: Time, mut terms: Terms) -> bool {
        if !self.ways.drift {
            terms.drift = 0;
        }
        if terms.frame() != self.frame {
            return false;
        }
        if terms.digest() != self.digest {
            // What it lent goes on where it is, and is waited out by whoever divides next.
            self.divider.resign();
            (self.digest, self.terms) = (terms.digest(), terms);
            self.leader = None;
            self.next_ask = self.next_ask.min(now);
        }
        true
    }

    /// How far apart candidates stand, so that mostly one wins at once.
    fn apart(&mut self) -> Time {
        let part = self.terms.lease / APART;
        let rank = self.place.map_or(0, |p| {
            self.voters[..usize::from(p)].iter().filter(|v| !self.others[v.0].is_empty()).count()
        });
        part * rank as Time + self.chance.random_range(0..=part)
    }

    /// A voter said whether its frame is this one's.
    fn confirm(&mut self, now: Time, voter: Option<u16>, same: bool) {
        let Some(voter) = voter.and_then(|v| self.voters.get_mut(usize::from(v))) else { return };
        voter.1 = Some(same);
        let (all, before) = (self.voters.len(), self.confirmed);
        let said = |what: bool| 2 * self.voters.iter().filter(|v| v.1 == Some(what)).count() > all;
        self.confirmed = (before || said(true)) && !said(false);
        if before && !self.confirmed {
            self.shares.values_mut().for_each(|share| share.nothing(&self.terms, now));
            self.divider.resign();
        } else if !before && self.confirmed {
            self.owned(now);
        }
    }

    /// Its own parts count from here on, if it is the only process and a majority of the voters was told the same.
    fn owned(&mut self, now: Time) {
        let Some(sole) = self.sole.filter(|_| self.confirmed) else { return };
        let before = if self.ways.dead_expire { sole } else { Time::MIN / 2 };
        self.shares.values_mut().for_each(|share| share.owns(&self.terms, now, before));
    }

    /// When it has something to do.
    pub fn next(&self) -> Time {
        self.next_ask.min(self.next_stand)
    }

    /// Does what is due.
    pub fn due(&mut self, now: Time, out: &mut dyn Outgoing) {
        self.looks(now, out);
        if now >= self.next_stand {
            self.stand(now, out);
        }
        if now >= self.next_ask {
            self.ask(now, out);
        }
    }

    /// Tells of an office that has begun or ended.
    fn looks(&mut self, now: Time, out: &mut dyn Outgoing) {
        let divides = self.divider.holds(now);
        if divides && !self.divides {
            (self.known, self.leader, self.deaf) = (self.divider.epoch(), None, 0);
            out.divides(None, self.known);
            self.next_ask = now;
            // Who holds a grant of the one before goes on with it only if it asks while it holds it.
            let words = self.hail();
            self.others.iter().flatten().for_each(|at| out.send(*at, &words));
        }
        self.divides = divides;
    }

    /// That it divides.
    fn hail(&self) -> Vec<u8> {
        let mut words = wire::head(wire::HAIL, self.frame, self.digest);
        words.put_u32(self.divider.epoch());
        words
    }

    fn stand(&mut self, now: Time, out: &mut dyn Outgoing) {
        let (Some(voter), Some(place)) = (self.voter.as_mut(), self.place) else {
            self.next_stand = Time::MAX;
            return;
        };
        let holds = self.divider.holds(now);
        if !holds && std::mem::take(&mut self.stands) {
            // Candidates that each keep their own voice would stand against one another for good.
            voter.released(now, self.id);
            self.divider.resign();
            self.next_stand = now + self.apart() + self.chance.random_range(0..=self.terms.lease / RENEWS);
            return;
        }
        let promised = voter.bound(now, self.id);
        if !holds && (promised > now || !self.confirmed) {
            // It has promised its voice to another one, or has just begun.
            self.next_stand = promised.max(now) + self.apart() + 1;
            return;
        }
        let epoch = self.divider.stand(now);
        match voter.asked(&self.terms, now, self.id, epoch) {
            Ok(()) => self.divider.voiced(&self.terms, self.ways, now, place, epoch, now),
            Err(highest) => self.divider.outbid(now, highest),
        }
        let mut words = wire::head(wire::STAND, self.frame, self.digest);
        words.put_u64(self.id);
        words.put_u32(epoch);
        words.put_i64(now);
        self.to_voters(&words, out);
        self.stands = true;
        self.next_stand = now + self.terms.lease / RENEWS;
        self.looks(now, out);
    }

    /// To all other processes of voters.
    fn to_voters(&self, words: &[u8], out: &mut dyn Outgoing) {
        self.voters.iter().flat_map(|v| &self.others[v.0]).for_each(|at| out.send(*at, words));
    }

    /// Asks for all that is of concern: itself if it divides, who divides if that is known, else all voters.
    fn ask(&mut self, now: Time, out: &mut dyn Outgoing) {
        self.next_ask = now + self.terms.grant / ASKS;
        let gone = now - GONE * self.terms.grant;
        self.spoken.retain(|_, at| *at > gone);
        let spoken = &self.spoken;
        self.shares.retain(|key, _| {
            spoken.contains_key(key) || self.terms.budgets[usize::from(key.0)].kind != Kind::Parts
        });
        self.divider.tidy(now);
        let since = (now - self.asked).max(1);
        self.asked = now;
        let (terms, says) = (&self.terms, self.ways.shrinks_first);
        let ask = |(key, share): (&Key, &mut Holder)| {
            let ask = share.ask(terms, now, since);
            (*key, Ask { keeps: if says { ask.keeps } else { 0 }, ..ask })
        };
        let concerned = self.shares.iter_mut().filter(|(_, share)| share.concerned(terms, now));
        let asks: Vec<(Key, Ask)> = concerned.map(ask).collect();
        if self.divider.holds(now) {
            for (key, ask) in asks {
                let epoch = self.divider.epoch();
                let lent = self.divider.lend(&self.terms, now, key, (self.me, self.id), epoch, ask);
                if let (Some((number, amount)), Some(share)) = (lent, self.shares.get_mut(&key)) {
                    share.lent(&self.terms, now, epoch, ask.number, number, amount);
                }
            }
            return out.changed();
        }
        if asks.is_empty() && self.confirmed {
            return;
        }
        self.deaf += 1;
        if self.deaf > DEAF {
            self.leader = None;
        }
        // Who asks for nothing asks whether its terms are the voters'.
        for part in asks.chunks(wire::ENTRIES).chain(asks.is_empty().then_some(&asks[..])) {
            let mut words = wire::head(wire::ASK, self.frame, self.digest);
            words.put_u16(self.me);
            words.put_u64(self.id);
            words.put_u32(self.known);
            part.iter().for_each(|(key, ask)| wire::put_ask(&mut words, *key, ask));
            match self.leader.filter(|_| self.confirmed) {
                Some(at) => out.send(at, &words),
                None => self.to_voters(&words, out),
            }
        }
    }

    /// A datagram has come.
    ///
    /// # Errors
    /// Where it is none.
    pub fn heard(
        &mut self,
        now: Time,
        from: SocketAddr,
        payload: &[u8],
        out: &mut dyn Outgoing,
    ) -> Result<(), Odd> {
        let mut read = Reader(payload);
        let (kind, frame, digest) = (read.byte()?, read.long()?, read.long()?);
        if !(wire::ASK..=wire::NO).contains(&kind) {
            return Err(Odd::Malformed);
        }
        let voter = self.voters.iter().position(|v| self.others[v.0].contains(&from)).map(|v| v as u16);
        if (frame, digest) != (self.frame, self.digest) {
            out.differs(from, frame == self.frame);
            self.confirm(
                now,
                voter.filter(|_| kind != wire::ASK && kind != wire::STAND),
                frame == self.frame,
            );
            let answer = if frame == self.frame { wire::AWAY } else { wire::OTHER };
            if kind == wire::ASK || kind == wire::STAND {
                out.send(from, &wire::head(answer, self.frame, self.digest));
            }
            return Ok(());
        }
        self.looks(now, out);
        match kind {
            wire::ASK => self.asked(now, from, read, out),
            wire::LEND => {
                let (epoch, id) = (read.number()?, read.long()?);
                self.confirm(now, voter, true);
                if id == self.id {
                    self.leads(now, from, epoch, out);
                    while !read.0.is_empty() {
                        let (key, ask) = (wire::key(&mut read)?, read.number()?);
                        let (number, amount) = (read.number()?, read.long()?);
                        if let Some(share) = self.shares.get_mut(&key) {
                            share.lent(&self.terms, now, epoch, ask, number, amount);
                        }
                    }
                    out.changed();
                }
                Ok(())
            }
            wire::HAIL => {
                let epoch = read.number()?;
                self.confirm(now, voter, true);
                if self.leads(now, from, epoch, out) {
                    self.ask(now, out);
                }
                Ok(())
            }
            wire::STAND => {
                let (candidate, epoch, asked) = (read.long()?, read.number()?, read.long()?);
                self.confirm(now, voter, true);
                let (Some(own), Some(place)) = (self.voter.as_mut(), self.place) else { return Ok(()) };
                let said = own.asked(&self.terms, now, candidate, epoch);
                let mut words =
                    wire::head(if said.is_ok() { wire::VOICE } else { wire::NO }, self.frame, self.digest);
                match said {
                    Ok(()) => {
                        words.put_u16(place);
                        words.put_u32(epoch);
                        words.put_u64(asked);
                    }
                    Err(highest) => words.put_u32(highest),
                }
                // Whoever asks may divide, or is about to: it is not bid against while it asks.
                if !self.divider.holds(now) && !self.stands {
                    let free = own.bound(now, self.id).max(now + self.terms.lease);
                    self.next_stand = free + self.apart() + 1;
                }
                out.send(from, &words);
                Ok(())
            }
            wire::VOICE => {
                let (place, epoch, asked) = (read.short()?, read.number()?, read.long()?);
                self.confirm(now, voter, true);
                // Only a voter stands.
                if self.voter.is_some() && self.confirmed {
                    self.divider.voiced(&self.terms, self.ways, now, place, epoch, asked as Time);
                    self.looks(now, out);
                }
                Ok(())
            }
            wire::NO => {
                let epoch = read.number()?;
                self.confirm(now, voter, true);
                self.divider.outbid(now, epoch);
                Ok(())
            }
            _ => {
                self.confirm(now, voter, true);
                if self.leader == Some(from) {
                    self.leader = None;
                }
                Ok(())
            }
        }
    }

    /// A holder asks.
    fn asked(
        &mut self,
        now: Time,
        from: SocketAddr,
        mut read: Reader,
        out: &mut dyn Outgoing,
    ) -> Result<(), Odd> {
        let (name, id, known) = (read.short()?, read.long()?, read.number()?);
        let epoch = self.divider.epoch();
        if !self.divider.holds(now) {
            if self.place.is_some() {
                out.send(from, &wire::head(wire::AWAY, self.frame, self.digest));
            }
            return Ok(());
        }
        // It has to have heard of this office when it asks: what it kept before may be another one's by now.
        if known != epoch && self.ways.known {
            out.send(from, &self.hail());
            return Ok(());
        }
        let mut words = wire::head(wire::LEND, self.frame, self.digest);
        words.put_u32(epoch);
        words.put_u64(id);
        while !read.0.is_empty() {
            let (key, ask) = (wire::key(&mut read)?, wire::ask(&mut read)?);
            if let Some((number, amount)) = self.divider.lend(&self.terms, now, key, (name, id), epoch, ask) {
                words.put_u16(key.0);
                words.put_u64(key.1);
                words.put_u32(ask.number);
                words.put_u32(number);
                words.put_u64(amount);
            }
        }
        out.send(from, &words);
        Ok(())
    }

    /// Whoever is there divides, in that epoch; whether that is news.
    fn leads(&mut self, now: Time, at: SocketAddr, epoch: u32, out: &mut dyn Outgoing) -> bool {
        if epoch < self.known || self.divider.holds(now) {
            return false;
        }
        let news = epoch > self.known;
        (self.leader, self.known, self.deaf) = (Some(at), epoch, 0);
        if news {
            out.divides(Some(at), epoch);
        }
        news
    }

    /// The holder of a budget; of a thing that comes and goes it begins here.
    fn share(&mut self, key: Key, now: Time) -> Option<&mut Holder> {
        let nth = usize::from(key.0);
        if self.terms.budgets.get(nth)?.kind == Kind::Parts && self.spoken.insert(key, now).is_none() {
            let mut share = Holder::new(nth, now);
            if self.sole.is_some() && self.confirmed {
                share.owns(&self.terms, now, now);
            }
            self.shares.insert(key, share);
            self.next_ask = self.next_ask.min(now + self.terms.grant / SOON);
        }
        self.shares.get_mut(&key)
    }

    /// Whether one more of a budget may go now, and until when it may be begun; if not, when it is worth asking again, where so
    /// many wait for it already.
    ///
    /// # Errors
    /// That moment.
    pub fn may(&mut self, nth: usize, now: Time, waiting: usize) -> Result<Time, Time> {
        let share = self.shares.get_mut(&(nth as u16, 0));
        share.map_or(Ok(Time::MAX), |share| share.may(&self.terms, now, waiting))
    }

    /// One more goes, as [`Party::may`] has just said.
    pub fn take(&mut self, nth: usize) {
        if let Some(share) = self.shares.get_mut(&(nth as u16, 0)) {
            share.take(&self.terms);
        }
    }

    /// One could not go.
    pub fn refuse(&mut self, nth: usize, now: Time) {
        let Some(share) = self.shares.get_mut(&(nth as u16, 0)) else { return };
        // Where more was asked for already, it comes with the next answer.
        let news = !share.hungry() && share.demand() == 0;
        share.refuse();
        if news {
            self.next_ask =
                self.next_ask.min(self.asked.max(now - self.terms.grant) + self.terms.grant / SOON).max(now);
        }
    }

    /// One of an occupancy is no longer in use, after so long.
    pub fn back(&mut self, nth: usize, after: Time) {
        self.shares.get_mut(&(nth as u16, 0)).into_iter().for_each(|share| share.back(after));
    }

    /// This process's part of a thing that comes and goes, of which so large a part would be of use; from 0 to 1.
    pub fn part(&mut self, nth: usize, of: u64, wants: f64, now: Time) -> f64 {
        let key = (nth as u16, of);
        let wants = (wants.clamp(0.0, 1.0) * UNIT as f64) as Amount;
        let Some(share) = self.share(key, now) else { return 0.0 };
        share.want(wants);
        self.shares.get(&key).map_or(0.0, |s| s.share(&self.terms, now) as f64 / UNIT as f64)
    }

    /// What it may use of a budget now, what of an occupancy is in use, and what it would use if it had it, as last asked.
    pub fn has(&self, nth: usize, now: Time) -> (Amount, Amount, Amount) {
        let share = self.shares.get(&(nth as u16, 0));
        share.map_or((0, 0, 0), |share| (share.share(&self.terms, now), share.in_use(), share.demand()))
    }

    /// How many things of a budget of parts are spoken of here.
    pub fn things(&self, nth: usize) -> usize {
        self.spoken.keys().filter(|key| usize::from(key.0) == nth).count()
    }

    /// Whether it divides, and in which epoch; else the last one that it has heard of.
    pub fn office(&self, now: Time) -> (bool, u32) {
        (self.divider.holds(now), if self.divider.holds(now) { self.divider.epoch() } else { self.known })
    }

    /// What it lent of a budget, by the dispatchers' places on the roster.
    pub fn division(&self, nth: usize) -> BTreeMap<u16, Amount> {
        self.divider.division((nth as u16, 0))
    }
}
