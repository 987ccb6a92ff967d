//! The view of one process: whom it tries and asks, whom it believes, what it tells.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::BufMut;
use rainlug::Time;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::patience::{ACCUSERS, Health, to_speak_up};
use crate::table::{Process, Standing, Table, mark};
use crate::wire::{self, Reader, Shown};
use crate::{Card, MOST, MOST_FIGURES, Odd, Outgoing};

/// Parts of a period: for an answer on the direct way, and until the asked ones' answers too must be here. Together they
/// leave the last quarter free, so that a death is noticed before the period ends.
const DIRECT: f64 = 0.3;
const DECIDED: f64 = 0.75;
/// Who is asked to try one that did not answer.
const HELPERS: usize = 3;
/// Others' questions that are open at once.
const MOST_HELP: usize = 1024;
/// While there is something to tell it is told so often in a period, to so many at a time.
const TELLINGS: Time = 4;
const LISTENERS: usize = 2;
/// Each thing is told so often by each, times the binary logarithm of the fleet.
const RETELL: u32 = 3;
/// Periods between two tries at who is gone or was never met, and how many are tried while nobody is known.
const KNOCKS: Time = 2;
const FIRST_KNOCKS: usize = 3;
/// Datagrams with unequal digests, one after the other, before two views are compared: less is news on its way.
const UNEQUAL: u32 = 4;
/// After so many with equal ones all that is told is known.
const EQUAL: u32 = 8;
/// Datagrams lent a period to who compares, and sent at once to who says what is known to be old.
const LENT: u32 = 8;
const FIXES: usize = 4;
/// Who leaves tells so many itself.
const FAREWELLS: usize = 64;
/// Seeds, those told later too.
const MOST_SEEDS: usize = 256;
/// An answer to one of so many newest own pings shows that they arrive.
const OWN_NONCES: u32 = 64;
/// A clock that jumped by more than a part of a period: this process stood still, and judges nobody by it.
const JUMP: Time = 2;

/// What of the protocol is on. All of it, but in comparisons, and in builds that are broken to prove a checker.
#[derive(Clone, Copy, Debug)]
pub struct Ways {
    /// Who does not answer is suspected first.
    pub suspicion: bool,
    /// This process distrusts itself.
    pub health: bool,
    /// A suspect speaks up.
    pub refutes: bool,
    /// Who is gone, and seeds that were lost, are tried again.
    pub retries: bool,
}

impl Default for Ways {
    fn default() -> Self {
        Ways { suspicion: true, health: true, refutes: true, retries: true }
    }
}

/// A try at one process.
struct Probe {
    id: u64,
    nonce: u32,
    /// When others are asked, if they have not been, and when it has failed.
    ask: Time,
    end: Time,
    asked: Option<usize>,
    nacks: usize,
}

/// A try on behalf of another process.
struct Help {
    nonce: u32,
    to: SocketAddr,
    theirs: u32,
    until: Time,
}

/// A dispatcher as a view has it: there as long as one of its processes lives, and counted once.
#[derive(Debug)]
pub struct Member<'a> {
    pub name: &'a str,
    /// The best of its processes'.
    pub standing: Standing,
    pub processes: Vec<(&'a Card, Standing, Time)>,
}

/// One process's view of the fleet.
pub struct View {
    me: Card,
    life: u32,
    left: bool,
    begun: Time,
    ways: Ways,
    period: Time,
    seeds: Vec<SocketAddr>,
    table: Table,
    health: Health,
    chance: ChaCha8Rng,
    /// Whom to try, in turn; shuffled after each round.
    ring: Vec<u64>,
    turn: usize,
    tick: Time,
    probe: Option<Probe>,
    telling: Time,
    knock: Time,
    /// When time was last looked at.
    looked: Time,
    helping: VecDeque<Help>,
    nonce: u32,
    /// Probes in a row that nobody answered: neither the process itself nor a helper.
    unanswered: u32,
    /// Datagrams in which this process's own card is news.
    shout: u32,
    unequal: u32,
    equal: u32,
    compared: Time,
    lent: (Time, u32),
    version: u64,
}

impl View {
    /// The view of the process `me`, which begins now, with a `period` in microseconds. It knows nobody and knocks at the
    /// `seeds`.
    pub fn new(me: Card, seeds: Vec<SocketAddr>, period: Time, ways: Ways, seed: u64, now: Time) -> Self {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let first = now + chance.random_range(0..period.max(1));
        View {
            nonce: chance.random(),
            life: 0,
            left: false,
            begun: now,
            ways,
            period,
            seeds: seeds.into_iter().filter(|s| *s != me.at).collect(),
            table: Table::default(),
            health: Health::default(),
            chance,
            ring: Vec::new(),
            turn: 0,
            tick: first,
            probe: None,
            telling: first,
            knock: now,
            looked: now,
            helping: VecDeque::new(),
            unanswered: 0,
            shout: 0,
            unequal: 0,
            equal: 0,
            compared: now,
            lent: (now, 0),
            version: 1,
            me,
        }
    }

    /// Grows with every change of the view, and only grows.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// How far this process distrusts itself, from 0 to 8.
    pub fn distrust(&self) -> u32 {
        self.health.score()
    }

    /// How many probes in a row went without any answer, be it of the process or of a helper that could not reach it either. Where
    /// these are several, what this process sends reaches nobody, though it may still receive.
    pub fn unanswered_probes(&self) -> u32 {
        self.unanswered
    }

    /// All dispatchers by name, this one too, with those that are gone or left as long as they are remembered. A process whose
    /// place another one has taken is not named: a dispatcher restarted daily would else show a year of them.
    pub fn members(&self) -> Vec<Member<'_>> {
        let own = if self.left { Standing::Left } else { Standing::Alive };
        let mut all = BTreeMap::from([(self.me.name.as_str(), vec![(&self.me, own, self.begun)])]);
        let replaced = |p: &&Process| !p.lives() && self.table.at(p.card.at).is_some();
        for p in self.table.all().filter(|p| !replaced(p)) {
            all.entry(p.card.name.as_str()).or_default().push((&p.card, p.standing, p.since));
        }
        let best = |of: &[(&Card, Standing, Time)]| of.iter().map(|(_, s, _)| *s).min().unwrap_or(own);
        all.into_iter().map(|(name, of)| Member { name, standing: best(&of), processes: of }).collect()
    }

    /// Where the other processes of each dispatcher are, but for those that have left: who is thought to be gone may be there all
    /// the same.
    pub fn others(&self) -> BTreeMap<&str, Vec<SocketAddr>> {
        let others = |m: Member<'_>| -> Vec<SocketAddr> {
            let here = m.processes.iter().filter(|p| p.0.id != self.me.id && p.1 != Standing::Left);
            here.map(|p| p.0.at).collect()
        };
        self.members().into_iter().map(|m| (m.name, others(m))).collect()
    }

    /// How many processes it holds for alive, this one among them.
    pub fn processes_living(&self) -> usize {
        self.table.living() + usize::from(!self.left)
    }

    /// Where this process and up to [`FAREWELLS`] others are, by chance, for one that begins.
    pub fn places(&mut self) -> Vec<SocketAddr> {
        let others = self.some(FAREWELLS, 0);
        std::iter::once(self.me.at).chain(others.into_iter().map(|(_, at)| at)).collect()
    }

    /// Further seeds, up to [`MOST_SEEDS`], which are tried now where nobody is known.
    pub fn told(&mut self, now: Time, seeds: &[SocketAddr]) {
        for at in seeds {
            if self.seeds.len() < MOST_SEEDS && *at != self.me.at && !self.seeds.contains(at) {
                self.seeds.push(*at);
            }
        }
        if self.table.living() == 0 {
            self.knock = now;
        }
    }

    /// It has long known a process, for fleets that are to begin settled.
    #[cfg(feature = "emulator")]
    pub(crate) fn meet(&mut self, card: Rc<Card>, now: Time) {
        self.ring.push(card.id);
        // The next turn begins a round in an order of its own.
        self.turn = self.ring.len();
        self.table.set(card, 0, Standing::Alive, now);
        self.table.hush();
    }

    /// Another way from now on, for comparisons.
    #[cfg(feature = "emulator")]
    pub fn go(&mut self, ways: Ways) {
        self.ways = ways;
    }

    /// A process that is not this one.
    pub fn get(&self, id: u64) -> Option<&Process> {
        self.table.get(id)
    }

    /// Of all that live; equal where two views are.
    pub fn digest(&self) -> u64 {
        self.table.digest() ^ mark(&self.me, self.life)
    }

    /// Attaches figures to this process, in place of those before; what is beyond [`MOST_FIGURES`] is cut.
    pub fn attach(&mut self, figures: &[u8]) {
        self.me.figures = figures[..figures.len().min(MOST_FIGURES)].to_vec();
        self.me.edition += 1;
        self.version += 1;
        self.shout = self.limit();
    }

    /// When [`View::due`] wants to be called, at the latest.
    pub fn next(&self) -> Time {
        if self.left {
            return Time::MAX;
        }
        let probe = self.probe.as_ref().map_or(Time::MAX, |p| if p.asked.is_none() { p.ask } else { p.end });
        let suspect = self.table.first().map_or(Time::MAX, |(until, _)| until);
        let help = self.helping.front().map_or(Time::MAX, |h| h.until);
        let telling = if self.talks() { self.telling } else { Time::MAX };
        // What is due since before the last look has waited for nobody but that: it tells of no stop.
        [self.tick, self.knock, probe, suspect, help, telling]
            .into_iter()
            .fold(Time::MAX, Time::min)
            .max(self.looked)
    }

    fn talks(&self) -> bool {
        (self.shout > 0 || self.table.news()) && self.table.living() > 0
    }

    /// Does what its time has come for.
    pub fn due(&mut self, now: Time, out: &mut dyn Outgoing) {
        let late = now - self.next();
        if late < 0 {
            return;
        }
        if self.ways.health && late > self.period / JUMP {
            self.stood_still(now, late);
        }
        self.looked = now;
        while self.helping.front().is_some_and(|h| h.until <= now) {
            let Some(help) = self.helping.pop_front() else { break };
            self.send(out, help.to, wire::NACK, &help.theirs.to_be_bytes(), &[]);
        }
        match &self.probe {
            Some(p) if p.asked.is_none() && p.ask <= now => self.ask(now, out),
            Some(p) if p.asked.is_some() && p.end <= now => self.failed(now, out),
            _ => {}
        }
        while let Some((_, id)) = self.table.first().filter(|(until, _)| *until <= now) {
            let by = self.me.id;
            self.fall(now, id, 0, by, out);
        }
        if self.talks() && self.telling <= now {
            for (_, at) in self.some(LISTENERS, 0) {
                self.send(out, at, wire::NEWS, &[], &[]);
            }
            self.telling = now + self.period / TELLINGS;
        }
        if self.knock <= now {
            self.try_again(now, out);
        }
        if self.tick <= now {
            self.tick = now + self.patient(self.period);
            self.try_next(now, out);
        }
    }

    /// This process was stopped or had no core: what it waited for may have come long ago. It gives up its own try, gives
    /// every suspect the time back, and trusts itself less.
    fn stood_still(&mut self, now: Time, late: Time) {
        self.probe = None;
        self.helping.clear();
        self.table.longer(late);
        self.health.worse(1 + (late / self.period).min(8) as u32);
        self.tick = now + self.period / 2;
    }

    fn patient(&self, wait: Time) -> Time {
        if self.ways.health { self.health.stretch(wait) } else { wait }
    }

    fn part(&self, of: f64) -> Time {
        self.patient((self.period as f64 * of) as Time)
    }

    /// Up to `most` others that are alive, by chance, but not `but`.
    fn some(&mut self, most: usize, but: u64) -> Vec<(u64, SocketAddr)> {
        let alive = |id: &u64| self.table.get(*id).filter(|p| p.standing == Standing::Alive);
        let mut found: Vec<(u64, SocketAddr)> = Vec::new();
        // A ring may hold some that are gone, and some twice.
        for _ in 0..4 * most {
            let Some(id) = self.ring.choose(&mut self.chance).copied() else { break };
            if id != but && found.iter().all(|(f, _)| *f != id) {
                found.extend(alive(&id).map(|p| (id, p.card.at)));
            }
            if found.len() == most {
                break;
            }
        }
        found
    }

    /// Tries the next in turn.
    fn try_next(&mut self, now: Time, out: &mut dyn Outgoing) {
        for _ in 0..=self.ring.len() {
            if self.turn >= self.ring.len() {
                self.ring = self.table.all().filter(|p| p.lives()).map(|p| p.card.id).collect();
                self.ring.shuffle(&mut self.chance);
                self.turn = 0;
            }
            let Some(id) = self.ring.get(self.turn).copied() else { return };
            self.turn += 1;
            let Some(at) = self.table.get(id).filter(|p| p.lives()).map(|p| p.card.at) else { continue };
            let nonce = self.nonce();
            let (ask, end) = (now + self.part(DIRECT), now + self.part(DECIDED));
            self.probe = Some(Probe { id, nonce, ask, end, asked: None, nacks: 0 });
            return self.ping(out, at, nonce, id);
        }
    }

    fn nonce(&mut self) -> u32 {
        self.nonce = self.nonce.wrapping_add(1);
        self.nonce
    }

    /// Tries an address, and says first what is held against the process there: it may speak up.
    fn ping(&mut self, out: &mut dyn Outgoing, at: SocketAddr, nonce: u32, id: u64) {
        let mut body = nonce.to_be_bytes().to_vec();
        body.put_u64(id);
        self.send(out, at, wire::PING, &body, &[id]);
    }

    /// Has others try the one that did not answer.
    fn ask(&mut self, now: Time, out: &mut dyn Outgoing) {
        let Some(Probe { id, nonce, .. }) = self.probe else { return };
        // One who was heard of late can say that it cannot reach it either: then the fault is not here. Where most of a fleet
        // is cut off, three by chance are all beyond the cut, and this process would distrust itself for good.
        let mut helpers = self.some(HELPERS, id);
        if let Some(near) = self.table.last_heard(id).map(|p| (p.card.id, p.card.at))
            && !helpers.contains(&near)
        {
            helpers.truncate(HELPERS - 1);
            helpers.push(near);
        }
        let Some(at) = self.table.get(id).map(|p| p.card.at) else { return };
        let mut body = nonce.to_be_bytes().to_vec();
        body.put_u64(id);
        wire::put_address(&mut body, at);
        for (_, helper) in &helpers {
            self.send(out, *helper, wire::ASK, &body, &[]);
        }
        // They have their time, also where this process comes late.
        let end = now + self.part(DECIDED - DIRECT);
        if let Some(probe) = &mut self.probe {
            (probe.asked, probe.end) = (Some(helpers.len()), probe.end.max(end));
        }
    }

    /// Nobody reached it.
    fn failed(&mut self, now: Time, out: &mut dyn Outgoing) {
        let Some(probe) = self.probe.take() else { return };
        // Helpers who could not reach it either say so; where none speaks, the fault may be here.
        if probe.asked > Some(0) && probe.nacks == 0 {
            self.health.worse(1);
        }
        self.unanswered = if probe.nacks == 0 { self.unanswered.saturating_add(1) } else { 0 };
        if let Some(life) = self.table.get(probe.id).map(|p| p.life) {
            self.suspect(now, probe.id, life, self.me.id, out);
        }
    }

    /// Tries who is gone, or a seed where nobody is known to live; so many in a time whatever their number.
    fn try_again(&mut self, now: Time, out: &mut dyn Outgoing) {
        let alone = self.table.living() == 0;
        let pause = if alone { self.period } else { KNOCKS * self.period };
        // Not all at the same moments.
        self.knock = now + pause / 2 + self.chance.random_range(0..=pause);
        if !self.ways.retries && self.version > 1 {
            return;
        }
        for _ in 0..if alone { FIRST_KNOCKS } else { 1 } {
            let (gone, seeds) = (self.table.gone(), &self.seeds);
            // Neither must starve the other.
            let by_seed = !seeds.is_empty() && (gone.is_empty() || self.chance.random());
            let found = if by_seed {
                seeds.choose(&mut self.chance).map(|at| (0, *at))
            } else {
                let id = self.chance.random_range(0..gone.len().max(1));
                gone.get(id).and_then(|id| self.table.get(*id)).map(|p| (p.card.id, p.card.at))
            };
            if let Some((id, at)) = found.filter(|(_, at)| self.table.at(*at).is_none()) {
                let nonce = self.nonce();
                self.ping(out, at, nonce, id);
            }
        }
    }

    /// How often each thing is told.
    fn limit(&self) -> u32 {
        RETELL * (self.table.living() as u32 + 2).ilog2().max(1)
    }

    /// A datagram: who sends it, what belongs to its kind, what is held against `first`, and news as far as there is room.
    fn send(&mut self, out: &mut dyn Outgoing, to: SocketAddr, kind: u8, body: &[u8], first: &[u64]) {
        let mut bytes = self.begin(kind);
        bytes.put_slice(body);
        for id in first {
            if self.table.get(*id).is_none_or(|p| p.standing != Standing::Alive) {
                self.put(&mut bytes, *id);
            }
        }
        let mut told = Vec::new();
        for process in self.table.untold() {
            let before = bytes.len();
            self.put_known(&mut bytes, process);
            if bytes.len() > MOST {
                bytes.truncate(before);
                break;
            }
            told.push(process.card.id);
        }
        self.table.told(&told, self.limit());
        self.shout = self.shout.saturating_sub(1);
        out.send(to, &bytes);
    }

    fn begin(&self, kind: u8) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(256);
        bytes.put_u8(kind);
        wire::put_card(&mut bytes, &self.me, self.life);
        bytes.put_u64(self.digest());
        bytes.put_u32(self.table.living() as u32 + 1);
        bytes
    }

    /// What is known of a process, if anything is.
    fn put(&self, bytes: &mut Vec<u8>, id: u64) {
        match (self.table.get(id), self.table.buried(id)) {
            (Some(process), _) => self.put_known(bytes, process),
            (None, Some(life)) => wire::put_word(bytes, wire::GONE, id, life, self.me.id),
            _ => {}
        }
    }

    /// A note on a process; of one that is there no more, after who is there for its dispatcher. Word of its end may overtake that
    /// of the next one's beginning, on ways that lose or delay: the dispatcher would be absent for whoever hears it.
    fn put_known(&self, bytes: &mut Vec<u8>, process: &Process) {
        if !process.lives() {
            self.table.beside(&process.card).into_iter().for_each(|next| lend(bytes, next));
        }
        put(bytes, process);
    }

    /// Takes a datagram's payload that came from an address. Time and what is due go first.
    ///
    /// # Errors
    /// Where it is not what a process of this fleet sends: then it has changed nothing, or only what stood before the fault.
    pub fn heard(
        &mut self,
        now: Time,
        from: SocketAddr,
        payload: &[u8],
        out: &mut dyn Outgoing,
    ) -> Result<(), Odd> {
        self.due(now, out);
        self.looked = now;
        let mut read = Reader(payload);
        let kind = read.byte()?;
        let (card, life) = read.card()?;
        let (digest, size) = (read.long()?, read.number()?);
        if card.at != from {
            return Err(Odd::Elsewhere);
        }
        if card.id == self.me.id {
            // A seed list that names this process by another way.
            return Ok(());
        }
        if self.left {
            // A try alone is answered: two that have left would else tell one another so without end.
            if kind != wire::PING {
                return Ok(());
            }
            out.send(from, &self.farewell());
            return Ok(());
        }
        let (mut nonce, mut id, mut place, mut first, mut digests) = (0, 0, from, false, Vec::new());
        match kind {
            wire::PING | wire::ACK => (nonce, id) = (read.number()?, read.long()?),
            wire::ASK => (nonce, id, place) = (read.number()?, read.long()?, read.address()?),
            wire::NACK => nonce = read.number()?,
            wire::COMPARE => {
                first = read.byte()? == 1;
                let parts = read.short()?;
                digests = (0..parts).map(|_| read.number()).collect::<Result<Vec<u32>, Odd>>()?;
            }
            wire::NEWS => {}
            _ => return Err(Odd::Malformed),
        }
        let (mut old, sender) = (Vec::new(), card.id);
        self.alive(now, card, life, &mut old, out)?;
        self.table.heard(sender, now);
        while !read.0.is_empty() {
            self.note(now, &mut read, &mut old, out)?;
        }
        match kind {
            wire::PING => {
                let mut body = nonce.to_be_bytes().to_vec();
                body.put_u64(self.me.id);
                self.send(out, from, wire::ACK, &body, &[]);
            }
            wire::ACK => self.acked(now, nonce, id, out),
            wire::ASK if self.helping.len() < MOST_HELP => {
                let (mine, until) = (self.nonce(), now + self.part(DIRECT));
                self.helping.push_back(Help { nonce: mine, to: from, theirs: nonce, until });
                self.ping(out, place, mine, id);
            }
            wire::NACK => self.probe.iter_mut().filter(|p| p.nonce == nonce).for_each(|p| p.nacks += 1),
            wire::COMPARE if !digests.is_empty() => self.compared(now, from, first, &digests, out),
            _ => {}
        }
        self.put_right(from, &old, out);
        if kind != wire::COMPARE {
            self.weigh(now, from, digest, size as usize, out);
        }
        Ok(())
    }

    /// One note.
    fn note(
        &mut self,
        now: Time,
        read: &mut Reader,
        old: &mut Vec<u64>,
        out: &mut dyn Outgoing,
    ) -> Result<(), Odd> {
        match read.byte()? {
            wire::ALIVE => {
                let (card, life) = read.card()?;
                if card.id != self.me.id {
                    // Whoever tells of more than there is room for has said the rest all the same.
                    let _ = self.alive(now, card, life, old, out);
                }
            }
            wire::SUSPECT => {
                let (id, life, by) = (read.long()?, read.number()?, read.long()?);
                if id == self.me.id {
                    if self.refute(life, old) {
                        self.health.worse(1);
                    }
                } else {
                    self.suspect(now, id, life, by, out);
                }
            }
            wire::GONE => {
                let (id, life, by) = (read.long()?, read.number()?, read.long()?);
                if id == self.me.id {
                    self.refute(life, old);
                } else {
                    self.told_gone(now, id, life, by, out);
                }
            }
            wire::LEFT => {
                let (id, life) = (read.long()?, read.number()?);
                self.told_left(now, id, life, out);
            }
            _ => return Err(Odd::Malformed),
        }
        Ok(())
    }

    /// A process is alive in that life.
    fn alive(
        &mut self,
        now: Time,
        card: Shown,
        life: u32,
        old: &mut Vec<u64>,
        out: &mut dyn Outgoing,
    ) -> Result<(), Odd> {
        let id = card.id;
        let Some(known) = self.table.get(id) else {
            if self.table.buried(id).is_some_and(|last| last >= life) {
                old.push(id);
                return Ok(());
            }
            if self.table.full() {
                return Err(Odd::Full);
            }
            self.there(now, card.card(), life, out);
            return Ok(());
        };
        match known.standing {
            Standing::Left => old.push(id),
            Standing::Gone if life <= known.life => old.push(id),
            Standing::Alive | Standing::Suspect
                if life == known.life && card.edition > known.card.edition =>
            {
                let (standing, since, until, by) =
                    (known.standing, known.since, known.until, known.by.clone());
                self.table.set(Rc::new(card.card()), life, standing, since).by = by;
                if standing == Standing::Suspect {
                    self.table.wait(id, until);
                }
                self.version += 1;
            }
            _ if life > known.life => self.there(now, card.card(), life, out),
            _ => {}
        }
        Ok(())
    }

    /// A process that is new, speaks up, or is back.
    fn there(&mut self, now: Time, card: Card, life: u32, out: &mut dyn Outgoing) {
        let (id, at) = (card.id, card.at);
        let before = self.table.get(id).map(|p| p.standing);
        // Two at one address: who was there before is tried next, and whoever answers then is the one.
        let other = self.table.at(at).filter(|other| *other != id);
        let process = self.table.set(Rc::new(card), life, Standing::Alive, now);
        self.version += 1;
        if before != Some(Standing::Alive) {
            out.changed(process);
        }
        if before.is_none_or(|s| s > Standing::Suspect) {
            let place = self.chance.random_range(0..=self.ring.len());
            self.ring.insert(place, id);
            self.turn += usize::from(place < self.turn);
        }
        if let Some(other) = other {
            self.ring.insert(self.turn.min(self.ring.len()), other);
        }
    }

    /// A process is suspected by another one.
    fn suspect(&mut self, now: Time, id: u64, life: u32, by: u64, out: &mut dyn Outgoing) {
        let Some(known) = self.table.get(id).filter(|p| p.lives() && p.life <= life) else { return };
        if !self.ways.suspicion {
            return self.fall(now, id, life, by, out);
        }
        let size = self.table.living() + 1;
        if known.standing == Standing::Suspect && known.life == life {
            // Lifeguard: each of the first few who confirm it shortens its time, and is passed on.
            if known.by.len() <= ACCUSERS && !known.by.contains(&by) {
                let (since, others) = (known.since, known.by.len());
                self.table.accused(id, by);
                self.table.wait(id, since + to_speak_up(self.period, size, others));
            }
            return;
        }
        let card = known.card.clone();
        let process = self.table.set(card, life, Standing::Suspect, now);
        process.by.push(by);
        out.changed(process);
        self.version += 1;
        self.table.wait(id, now + to_speak_up(self.period, size, 0));
    }

    /// Another one calls a process gone. Who holds it for alive suspects it, for the shortest time: after a partition each
    /// side would else believe the other's word on its own members, who are there to speak up.
    fn told_gone(&mut self, now: Time, id: u64, life: u32, by: u64, out: &mut dyn Outgoing) {
        let Some(known) = self.table.get(id).filter(|p| p.lives() && p.life <= life) else { return };
        let place = known.card.at;
        if known.standing == Standing::Suspect || self.table.at(place) != Some(id) {
            return self.fall(now, id, life, by, out);
        }
        self.suspect(now, id, life, by, out);
        let size = self.table.living() + 1;
        self.table.wait(id, now + to_speak_up(self.period, size, ACCUSERS));
    }

    fn told_left(&mut self, now: Time, id: u64, life: u32, out: &mut dyn Outgoing) {
        let Some(known) = self.table.get(id).filter(|p| p.standing != Standing::Left && p.life <= life)
        else {
            return;
        };
        let card = known.card.clone();
        out.changed(self.table.set(card, life, Standing::Left, now));
        self.version += 1;
    }

    /// A process is gone, in that life or the one known if that is later.
    fn fall(&mut self, now: Time, id: u64, life: u32, by: u64, out: &mut dyn Outgoing) {
        let Some(known) = self.table.get(id).filter(|p| p.lives()) else { return };
        let (card, life) = (known.card.clone(), known.life.max(life));
        let process = self.table.set(card, life, Standing::Gone, now);
        process.by.push(by);
        out.changed(process);
        self.version += 1;
    }

    /// This process is suspected or called gone in a life that it has: it takes the next one, and says so.
    fn refute(&mut self, life: u32, old: &mut Vec<u64>) -> bool {
        if life < self.life || !self.ways.refutes {
            return false;
        }
        self.life = life.saturating_add(1);
        self.shout = self.limit();
        // Who said it hears at once: any datagram bears the new life.
        old.push(self.me.id);
        true
    }

    /// An answer to a try, this one's own or one on behalf of another.
    fn acked(&mut self, now: Time, nonce: u32, of: u64, out: &mut dyn Outgoing) {
        if self.nonce.wrapping_sub(nonce) < OWN_NONCES {
            self.unanswered = 0;
        }
        if let Some(probe) = self.probe.take_if(|p| p.nonce == nonce) {
            self.health.better();
            if of != probe.id {
                // Another process answers at that address: the one before is gone, without a doubt.
                let by = self.me.id;
                self.fall(now, probe.id, 0, by, out);
            }
        } else if let Some(nth) = self.helping.iter().position(|h| h.nonce == nonce)
            && let Some(help) = self.helping.remove(nth)
        {
            let mut body = help.theirs.to_be_bytes().to_vec();
            body.put_u64(of);
            self.send(out, help.to, wire::ACK, &body, &[]);
        }
    }

    /// Tells who said old things what is known.
    fn put_right(&mut self, to: SocketAddr, old: &[u64], out: &mut dyn Outgoing) {
        let mut rest = old;
        for _ in 0..FIXES {
            if rest.is_empty() {
                return;
            }
            let mut bytes = self.begin(wire::NEWS);
            while let Some((id, after)) = rest.split_first() {
                let before = bytes.len();
                self.put(&mut bytes, *id);
                if bytes.len() > MOST {
                    bytes.truncate(before);
                    break;
                }
                rest = after;
            }
            out.send(to, &bytes);
        }
    }

    /// Sees by a digest whether another view is the same, and compares the two where it has not been for some time.
    fn weigh(&mut self, now: Time, with: SocketAddr, digest: u64, size: usize, out: &mut dyn Outgoing) {
        if digest == self.digest() {
            (self.unequal, self.equal) = (0, self.equal + 1);
            if self.equal >= EQUAL {
                (self.equal, self.shout) = (0, 0);
                self.table.hush();
            }
            return;
        }
        (self.unequal, self.equal) = (self.unequal + 1, 0);
        let mine = self.table.living() + 1;
        // Who has just come asks at once.
        let few = 2 * size > 3 * mine && now - self.compared >= self.period / TELLINGS;
        if few || self.unequal >= UNEQUAL && now - self.compared >= self.period {
            (self.unequal, self.compared) = (0, now);
            self.compare(with, true, out);
        }
    }

    fn compare(&mut self, with: SocketAddr, first: bool, out: &mut dyn Outgoing) {
        let parts = (self.table.living() / 8).clamp(8, 256) as u16;
        let mut bytes = self.begin(wire::COMPARE);
        bytes.put_u8(u8::from(first));
        bytes.put_u16(parts);
        self.table.digests(parts, &self.me, self.life).into_iter().for_each(|d| bytes.put_u32(d));
        out.send(with, &bytes);
    }

    /// Lends what another view lacks or has differently, so much in a period; and asks for the same in return.
    fn compared(&mut self, now: Time, with: SocketAddr, first: bool, theirs: &[u32], out: &mut dyn Outgoing) {
        if now - self.lent.0 >= self.period {
            self.lent = (now, 0);
        }
        let parts = theirs.len() as u16;
        let mine = self.table.digests(parts, &self.me, self.life);
        let mut odd: Vec<usize> = (0..theirs.len()).filter(|n| mine[*n] != theirs[*n]).collect();
        // Another part each time, where all of it is too much.
        odd.shuffle(&mut self.chance);
        if first && !odd.is_empty() {
            self.compare(with, false, out);
        }
        let fresh = self.begin(wire::NEWS);
        let mut bytes = fresh.clone();
        let mut full = Vec::new();
        'all: for nth in odd {
            for process in self.table.within(nth, parts) {
                let before = bytes.len();
                lend(&mut bytes, process);
                if bytes.len() > MOST {
                    bytes.truncate(before);
                    self.lent.1 += 1;
                    if self.lent.1 >= LENT {
                        break 'all;
                    }
                    full.push(std::mem::replace(&mut bytes, fresh.clone()));
                    lend(&mut bytes, process);
                }
            }
        }
        if bytes.len() > fresh.len() {
            full.push(bytes);
        }
        full.iter().for_each(|bytes| out.send(with, bytes));
    }

    /// Whether another process of this dispatcher is there: the fleet can be told of it when this one leaves.
    pub fn accompanied(&self) -> bool {
        self.table.beside(&self.me).is_some()
    }

    /// This process ends: it says so, and answers nothing else any more.
    pub fn leave(&mut self, out: &mut dyn Outgoing) {
        let listeners = self.some(FAREWELLS, 0);
        self.left = true;
        self.version += 1;
        let bytes = self.farewell();
        listeners.iter().for_each(|(_, at)| out.send(*at, &bytes));
    }

    fn farewell(&self) -> Vec<u8> {
        let mut bytes = self.begin(wire::NEWS);
        self.table.beside(&self.me).into_iter().for_each(|next| lend(&mut bytes, next));
        wire::put_word(&mut bytes, wire::LEFT, self.me.id, self.life, 0);
        bytes
    }
}

/// All that is known of one that lives, for who may never have heard of it.
fn lend(bytes: &mut Vec<u8>, process: &Process) {
    bytes.put_u8(wire::ALIVE);
    wire::put_card(bytes, &process.card, process.life);
    if process.standing == Standing::Suspect {
        put(bytes, process);
    }
}

/// A note on a process.
fn put(bytes: &mut Vec<u8>, process: &Process) {
    let (id, life) = (process.card.id, process.life);
    let by = process.by.last().copied().unwrap_or(0);
    match process.standing {
        Standing::Alive => {
            bytes.put_u8(wire::ALIVE);
            wire::put_card(bytes, &process.card, life);
        }
        Standing::Suspect => wire::put_word(bytes, wire::SUSPECT, id, life, by),
        Standing::Gone => wire::put_word(bytes, wire::GONE, id, life, by),
        Standing::Left => wire::put_word(bytes, wire::LEFT, id, life, by),
    }
}
