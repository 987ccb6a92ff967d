//! Many processes on one virtual clock, with links between them that lose, delay, repeat and cut. One seed is one course of
//! events: nothing here reads a clock or a machine's chance.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use rainlug::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{Card, ENVELOPE, MOST, Odd, Outgoing, Process, Standing, View, Ways};

/// Datagrams that wait for a process which stands still, as a socket's buffer holds them.
const BUFFER: usize = 256;

/// One way between two processes. Delays in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    /// The part of datagrams lost.
    pub loss: f64,
    pub delay: Time,
    /// Up to this is added to the delay, evenly; so datagrams overtake one another.
    pub spread: Time,
    /// The part of datagrams that arrive twice.
    pub twice: f64,
    pub cut: bool,
}

/// What watches the fleet: the view, or what it is compared with.
pub trait Watcher {
    fn next(&self) -> Time;
    fn due(&mut self, now: Time, out: &mut dyn Outgoing);
    /// # Errors
    /// Where the datagram is none.
    fn heard(
        &mut self,
        now: Time,
        from: SocketAddr,
        payload: &[u8],
        out: &mut dyn Outgoing,
    ) -> Result<(), Odd>;
    /// How many it holds for alive, itself among them.
    fn living(&self) -> usize;
    /// Equal where two hold the same for alive.
    fn digest(&self) -> u64;
}

impl Watcher for View {
    fn next(&self) -> Time {
        View::next(self)
    }

    fn due(&mut self, now: Time, out: &mut dyn Outgoing) {
        View::due(self, now, out);
    }

    fn heard(
        &mut self,
        now: Time,
        from: SocketAddr,
        payload: &[u8],
        out: &mut dyn Outgoing,
    ) -> Result<(), Odd> {
        View::heard(self, now, from, payload, out)
    }

    fn living(&self) -> usize {
        self.processes_living()
    }

    fn digest(&self) -> u64 {
        View::digest(self)
    }
}

/// A place at which one process after another runs.
struct Place<W> {
    watcher: Option<W>,
    id: u64,
    stopped: bool,
    waiting: VecDeque<(SocketAddr, Rc<[u8]>)>,
    wake: Time,
}

/// A change that a process saw: when, who, whom, how it stands now.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Time,
    pub by: usize,
    pub of: u64,
    pub standing: Standing,
}

enum Event {
    Arrives(usize, SocketAddr, Rc<[u8]>),
    Wakes(usize),
}

/// Collects what a watcher does in one call.
#[derive(Default)]
struct Sink {
    sent: Vec<(SocketAddr, Vec<u8>)>,
    changed: Vec<(u64, Standing)>,
}

impl Outgoing for Sink {
    fn send(&mut self, to: SocketAddr, payload: &[u8]) {
        self.sent.push((to, payload.to_vec()));
    }

    fn changed(&mut self, process: &Process) {
        self.changed.push((process.card.id, process.standing));
    }
}

pub struct Emulator<W> {
    pub now: Time,
    pub link: Link,
    links: BTreeMap<(usize, usize), Link>,
    places: Vec<Place<W>>,
    events: BinaryHeap<Reverse<(Time, u64, usize)>>,
    parked: Vec<Option<Event>>,
    free: Vec<usize>,
    count: u64,
    pub chance: ChaCha8Rng,
    pub seen: Vec<Seen>,
    /// Bytes and datagrams sent by all, envelopes counted.
    pub bytes: u64,
    pub datagrams: u64,
    /// The longest datagram, and those that were not taken.
    pub longest: usize,
    pub odd: u64,
    /// Keeps a copy of every so-manieth datagram, to send it again later.
    pub keep_each: u64,
    pub kept: Vec<(usize, SocketAddr, Rc<[u8]>)>,
}

/// The address of a place.
pub fn address(place: usize) -> SocketAddr {
    let [_, a, b, c] = (place as u32).to_be_bytes();
    SocketAddr::from(([10, a, b, c], 7000))
}

fn place(at: SocketAddr) -> Option<usize> {
    match at {
        SocketAddr::V4(v4) if v4.ip().octets()[0] == 10 => {
            let [_, a, b, c] = v4.ip().octets();
            Some(u32::from_be_bytes([0, a, b, c]) as usize)
        }
        _ => None,
    }
}

impl<W: Watcher> Emulator<W> {
    pub fn new(places: usize, link: Link, seed: u64) -> Self {
        let empty =
            || Place { watcher: None, id: 0, stopped: false, waiting: VecDeque::new(), wake: Time::MAX };
        Emulator {
            now: 1_000_000_000,
            link,
            links: BTreeMap::new(),
            places: (0..places).map(|_| empty()).collect(),
            events: BinaryHeap::new(),
            parked: Vec::new(),
            free: Vec::new(),
            count: 0,
            chance: ChaCha8Rng::seed_from_u64(seed),
            seen: Vec::new(),
            bytes: 0,
            datagrams: 0,
            longest: 0,
            odd: 0,
            keep_each: 0,
            kept: Vec::new(),
        }
    }

    /// A process begins at a place, in place of the one before.
    pub fn start(&mut self, at: usize, id: u64, watcher: W) {
        self.places[at] =
            Place { watcher: Some(watcher), id, stopped: false, waiting: VecDeque::new(), wake: Time::MAX };
        self.schedule(at);
    }

    /// It is killed.
    pub fn kill(&mut self, at: usize) {
        self.places[at].watcher = None;
    }

    /// It stands still, or goes on.
    pub fn stop(&mut self, at: usize, stopped: bool) {
        self.places[at].stopped = stopped;
        if !stopped {
            self.call(at, |w, now, out| {
                w.due(now, out);
                Ok(())
            });
            while let Some((from, payload)) = self.places[at].waiting.pop_front() {
                self.call(at, |w, now, out| w.heard(now, from, &payload, out));
            }
            self.schedule(at);
        }
    }

    /// The way from one place to another from now on.
    pub fn way(&mut self, from: usize, to: usize, link: Link) {
        self.links.insert((from, to), link);
    }

    /// All ways are as at first.
    pub fn heal(&mut self) {
        self.links.clear();
    }

    /// Cuts all ways between places for which `apart` holds, in both directions.
    pub fn split(&mut self, apart: impl Fn(usize, usize) -> bool) {
        for from in 0..self.places.len() {
            for to in 0..self.places.len() {
                if apart(from, to) || apart(to, from) {
                    self.way(from, to, Link { cut: true, ..self.link });
                }
            }
        }
    }

    pub fn get(&self, at: usize) -> Option<&W> {
        self.places[at].watcher.as_ref()
    }

    pub fn id(&self, at: usize) -> u64 {
        self.places[at].id
    }

    /// Places with a process that runs.
    pub fn running(&self) -> impl Iterator<Item = (usize, &W)> {
        self.places
            .iter()
            .enumerate()
            .filter(|(_, p)| !p.stopped)
            .filter_map(|(n, p)| Some((n, p.watcher.as_ref()?)))
    }

    /// Whether all that run hold just each other for alive.
    pub fn agreed(&self) -> bool {
        let count = self.running().count();
        let mut all = self.running().map(|(_, w)| (w.living(), w.digest()));
        let Some(first) = all.next() else { return true };
        first.0 == count && all.all(|next| next == first)
    }

    /// Does something to the process at a place.
    pub fn with<R>(
        &mut self,
        at: usize,
        does: impl FnOnce(&mut W, Time, &mut dyn Outgoing) -> R,
    ) -> Option<R> {
        let mut done = None;
        self.call(at, |w, now, out| {
            done = Some(does(w, now, out));
            Ok(())
        });
        self.schedule(at);
        done
    }

    /// A datagram arrives there now, whatever the ways are.
    pub fn arrive(&mut self, at: usize, from: SocketAddr, payload: Rc<[u8]>) {
        self.push(self.now, Event::Arrives(at, from, payload));
    }

    /// Lets so much time pass.
    pub fn pass(&mut self, time: Time) {
        let end = self.now + time;
        while let Some(Reverse((at, _, nth))) = self.events.peek().copied().filter(|Reverse(e)| e.0 <= end) {
            self.events.pop();
            self.now = at;
            self.free.push(nth);
            match self.parked[nth].take() {
                Some(Event::Arrives(to, from, payload)) => {
                    let place = &mut self.places[to];
                    if place.stopped && place.waiting.len() < BUFFER {
                        place.waiting.push_back((from, payload));
                    } else if !place.stopped {
                        self.call(to, |w, now, out| w.heard(now, from, &payload, out));
                        self.schedule(to);
                    }
                }
                Some(Event::Wakes(n)) if self.places[n].wake == at && !self.places[n].stopped => {
                    self.places[n].wake = Time::MAX;
                    self.call(n, |w, now, out| {
                        w.due(now, out);
                        Ok(())
                    });
                    self.schedule(n);
                }
                _ => {}
            }
        }
        self.now = end;
    }

    /// Lets time pass in steps until something holds; the time that took, or nothing where `most` was not enough.
    pub fn until(&mut self, step: Time, most: Time, mut holds: impl FnMut(&Self) -> bool) -> Option<Time> {
        let begun = self.now;
        while !holds(self) {
            if self.now - begun >= most {
                return None;
            }
            self.pass(step);
        }
        Some(self.now - begun)
    }

    fn call(&mut self, at: usize, does: impl FnOnce(&mut W, Time, &mut dyn Outgoing) -> Result<(), Odd>) {
        let Some(watcher) = &mut self.places[at].watcher else { return };
        let mut sink = Sink::default();
        self.odd += u64::from(does(watcher, self.now, &mut sink).is_err());
        let now = self.now;
        self.seen.extend(sink.changed.into_iter().map(|(of, standing)| Seen {
            at: now,
            by: at,
            of,
            standing,
        }));
        for (to, payload) in sink.sent {
            self.carry(at, to, payload.into());
        }
    }

    fn carry(&mut self, from: usize, to: SocketAddr, payload: Rc<[u8]>) {
        let length = payload.len() + ENVELOPE;
        assert!(payload.len() <= MOST, "a datagram of {length} bytes");
        self.bytes += length as u64;
        self.datagrams += 1;
        self.longest = self.longest.max(length);
        let Some(to) = place(to).filter(|to| *to < self.places.len()) else { return };
        if self.keep_each > 0 && self.datagrams.is_multiple_of(self.keep_each) {
            self.kept.push((to, address(from), payload.clone()));
        }
        let link = self.links.get(&(from, to)).copied().unwrap_or(self.link);
        let times = 1 + usize::from(link.twice > 0.0 && self.chance.random_bool(link.twice));
        for _ in 0..times {
            if link.cut || link.loss > 0.0 && self.chance.random_bool(link.loss) {
                continue;
            }
            let delay = link.delay + self.chance.random_range(0..=link.spread);
            self.push(self.now + delay, Event::Arrives(to, address(from), payload.clone()));
        }
    }

    fn push(&mut self, at: Time, event: Event) {
        let nth = self.free.pop().unwrap_or_else(|| {
            self.parked.push(None);
            self.parked.len() - 1
        });
        self.parked[nth] = Some(event);
        self.count += 1;
        self.events.push(Reverse((at, self.count, nth)));
    }

    fn schedule(&mut self, at: usize) {
        let Some(next) = self.places[at].watcher.as_ref().map(Watcher::next) else { return };
        let next = next.max(self.now);
        if next < Time::MAX && next != self.places[at].wake {
            self.places[at].wake = next;
            self.push(next, Event::Wakes(at));
        }
    }
}

/// A fleet of views, a dispatcher a place.
pub struct Fleet {
    pub emulator: Emulator<View>,
    pub period: Time,
    pub ways: Ways,
    pub seeds: Vec<usize>,
    /// What a process at a place attaches to itself.
    pub figures: fn(usize) -> Vec<u8>,
    drawn: u64,
}

impl Fleet {
    /// Nobody runs yet; the first three places are the seeds.
    pub fn new(places: usize, link: Link, ways: Ways, period: Time, seed: u64) -> Self {
        Fleet {
            emulator: Emulator::new(places, link, seed),
            period,
            ways,
            seeds: (0..places.min(3)).collect(),
            figures: |_| Vec::new(),
            drawn: 0,
        }
    }

    /// A process of the dispatcher `name` begins at a place.
    pub fn start_as(&mut self, at: usize, name: &str) {
        let card = self.card(at, name);
        let (id, view) = (card.id, self.view(card));
        self.emulator.start(at, id, view);
    }

    fn card(&mut self, at: usize, name: &str) -> Card {
        self.drawn += 1;
        let id = self.emulator.chance.random::<u64>().max(1);
        // Clocks may go back: a later process says that it began earlier.
        let start = -(self.drawn as Time);
        let (name, zone) = (name.to_owned(), format!("z{}", at % 3));
        Card { id, name, zone, at: address(at), start, edition: 0, figures: (self.figures)(at) }
    }

    fn view(&mut self, card: Card) -> View {
        let seeds = self.seeds.iter().map(|s| address(*s)).collect();
        View::new(card, seeds, self.period, self.ways, self.emulator.chance.random(), self.emulator.now)
    }

    pub fn start(&mut self, at: usize) {
        self.start_as(at, &format!("d{at}"));
    }

    /// A fleet that has long settled.
    pub fn settled(places: usize, link: Link, ways: Ways, period: Time, seed: u64) -> Self {
        let mut fleet = Fleet::new(places, link, ways, period, seed);
        let cards: Vec<Rc<Card>> = (0..places).map(|at| Rc::new(fleet.card(at, &format!("d{at}")))).collect();
        for (at, card) in cards.iter().enumerate() {
            let mut view = fleet.view(Card::clone(card));
            for other in cards.iter().filter(|other| other.id != card.id) {
                view.meet(other.clone(), fleet.emulator.now);
            }
            fleet.emulator.start(at, card.id, view);
        }
        // Each has its own turn among the others, and has begun to try them.
        fleet.emulator.pass(4 * period);
        (fleet.emulator.seen, fleet.emulator.bytes, fleet.emulator.datagrams) = (Vec::new(), 0, 0);
        fleet
    }

    /// The time until all that run agree, in periods.
    pub fn agrees_in(&mut self, most: f64) -> Option<f64> {
        let most = (most * self.period as f64) as Time;
        let took = self.emulator.until(self.period / 10, most, Emulator::agreed);
        took.map(|t| t as f64 / self.period as f64)
    }

    /// How the process at `by` has the one of that id.
    pub fn standing(&self, by: usize, id: u64) -> Option<Standing> {
        self.emulator.get(by)?.get(id).map(|p| p.standing)
    }
}

/// Heartbeats from each to all, the plainest way: gone is who has said nothing for some periods. For comparison.
pub struct Beats {
    me: u64,
    period: Time,
    tick: Time,
    others: BTreeMap<u64, (SocketAddr, Time, bool)>,
    digest: u64,
    living: usize,
}

impl Beats {
    /// Periods of silence after which a process is gone.
    const SILENT: Time = 5;

    pub fn new(
        me: u64,
        others: impl Iterator<Item = (u64, SocketAddr)>,
        period: Time,
        now: Time,
        first: Time,
    ) -> Self {
        let others: BTreeMap<_, _> =
            others.filter(|(id, _)| *id != me).map(|(id, at)| (id, (at, now, true))).collect();
        let digest = others.keys().fold(me, |d, id| d ^ id);
        Beats { me, period, tick: first, living: others.len() + 1, others, digest }
    }
}

impl Watcher for Beats {
    fn next(&self) -> Time {
        self.tick
    }

    fn due(&mut self, now: Time, out: &mut dyn Outgoing) {
        if now < self.tick {
            return;
        }
        self.tick = now + self.period;
        for (id, (at, last, lives)) in &mut self.others {
            out.send(*at, &self.me.to_be_bytes());
            if *lives && now - *last > Self::SILENT * self.period {
                *lives = false;
                self.digest ^= id;
                self.living -= 1;
                out.changed(&Process::stand_in(*id, *at, Standing::Gone, now));
            }
        }
    }

    fn heard(&mut self, now: Time, _: SocketAddr, payload: &[u8], _: &mut dyn Outgoing) -> Result<(), Odd> {
        let id = payload.try_into().map(u64::from_be_bytes).map_err(|_| Odd::Malformed)?;
        let (_, last, lives) = self.others.get_mut(&id).ok_or(Odd::Elsewhere)?;
        *last = now;
        if !*lives {
            *lives = true;
            self.digest ^= id;
            self.living += 1;
        }
        Ok(())
    }

    fn living(&self) -> usize {
        self.living
    }

    fn digest(&self) -> u64 {
        self.digest
    }
}
