//! A service played on a virtual clock: workers that run batches of slots, read prompts a piece at a time between the tokens of
//! others, and keep prefixes; dispatchers that see uneven parts of the traffic. Figures are made up for tests.

#![allow(dead_code)]

use rainlug::{SECOND, Time};
use rainlug_placement::{Ask, Counts, End, Placement};
use rainlug_registry::{Phase, Worker};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

pub const MS: Time = 1000;

pub fn listed(id: &str, phase: Phase) -> Worker {
    Worker {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "z".to_owned(),
        slots: 8,
        phase,
        warm_up_left_ms: 0,
        call_seq: 0,
    }
}

/// A class of requests of the made-up traffic.
#[derive(Clone, Copy)]
pub struct Kind {
    pub rate: f64,
    /// Subjects, each with so many shared tokens; tokens of each request's own.
    pub subjects: u64,
    pub shared: u32,
    pub own: u32,
    pub events: u32,
    pub aim: Time,
    pub bulk: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum By {
    Placement,
    /// The award, but never told of prefixes.
    Blind,
    Chance,
}

#[derive(Clone)]
pub struct Engine {
    pub slots: u32,
    pub kv: u64,
    /// Microseconds of a step, and more for each running request; tokens read in a millisecond, and at once.
    pub step: f64,
    pub each: f64,
    pub reads: f64,
    pub piece: u32,
    pub slow: f64,
    pub refuses: Option<(Time, Time)>,
    pub fails: bool,
    pub tells: bool,
}

impl Default for Engine {
    fn default() -> Self {
        Engine {
            slots: 16,
            kv: 300_000,
            step: 1500.0,
            each: 60.0,
            reads: 130.0,
            piece: 512,
            slow: 1.0,
            refuses: None,
            fails: false,
            tells: true,
        }
    }
}

struct Run {
    dispatcher: usize,
    ticket: u64,
    kind: usize,
    came: Time,
    chain: [(u64, u32); 2],
    unread: Option<u32>,
    left: u32,
    started: bool,
}

struct Machine {
    engine: Engine,
    batch: Vec<Run>,
    queue: VecDeque<Run>,
    kept: HashMap<u64, (u32, u64)>,
    uses: u64,
    stepping: bool,
    served: u64,
}

impl Machine {
    /// Tokens that must be read, after which all of them are kept.
    fn reads(&mut self, chain: &[(u64, u32); 2], figures: &mut Figures) -> u32 {
        let kept: u32 = chain.iter().take_while(|p| self.kept.contains_key(&p.0)).map(|p| p.1).sum();
        if chain[0].1 > 0 && kept == 0 && !figures.seen.insert(chain[0].0) {
            figures.reread += u64::from(chain[0].1);
        }
        for &(id, tokens) in chain.iter().rev() {
            self.uses += 1;
            self.kept.insert(id, (tokens, self.uses));
        }
        while self.kept.values().map(|k| u64::from(k.0)).sum::<u64>() > self.engine.kv / 2 {
            let oldest = *self.kept.iter().min_by_key(|(_, k)| k.1).unwrap().0;
            self.kept.remove(&oldest);
        }
        let unread = chain[0].1 + chain[1].1 - kept;
        figures.read += u64::from(unread);
        unread
    }

    fn load(&self) -> (u32, u32, u32) {
        let running = self.batch.iter().filter(|r| r.started).count() as u32;
        (running, (self.batch.len() + self.queue.len()) as u32 - running, self.engine.slots)
    }
}

#[derive(Default)]
pub struct Figures {
    pub asked: Vec<u64>,
    pub in_time: Vec<u64>,
    pub refused: Vec<u64>,
    /// Times to the first event, of each kind, in microseconds.
    pub waits: Vec<Vec<Time>>,
    pub served: Vec<u64>,
    pub failed: u64,
    pub read: u64,
    /// Shared tokens read though some worker had read them.
    pub reread: u64,
    pub counts: Counts,
    /// Bulk requests that came to a worker with 0.75 of its slots taken, and all bulk requests.
    pub bulk_on_busy: u64,
    pub bulk: u64,
    seen: std::collections::HashSet<u64>,
}

impl Figures {
    pub fn timely(&self, kind: usize) -> f64 {
        self.in_time[kind] as f64 / self.asked[kind].max(1) as f64
    }
    /// The wait that so large a part of a kind's requests does not exceed, in ms.
    pub fn wait(&mut self, kind: usize, part: f64) -> f64 {
        self.waits[kind].sort_unstable();
        let n = self.waits[kind].len();
        if n == 0 { 0.0 } else { self.waits[kind][((n - 1) as f64 * part) as usize] as f64 / 1e3 }
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Due(usize),
    Arrival(usize),
    Step(usize),
    /// A bulk request asks again, or one that was refused by a worker goes elsewhere.
    Again(usize, usize, Time, u64, Vec<usize>),
}

pub struct Play {
    pub by: By,
    pub dispatchers: usize,
    pub kinds: Vec<Kind>,
    pub engines: Vec<Engine>,
    pub seconds: Time,
    pub seed: u64,
}

impl Play {
    pub fn run(&self) -> Figures {
        let mut chance = ChaCha8Rng::seed_from_u64(self.seed);
        let mut figures = Figures::default();
        let n = self.kinds.len();
        figures.asked = vec![0; n];
        figures.in_time = vec![0; n];
        figures.refused = vec![0; n];
        figures.waits = vec![Vec::new(); n];
        let mut awards: Vec<Placement> =
            (0..self.dispatchers).map(|d| Placement::new("z", self.seed * 100 + d as u64, 0)).collect();
        let names: Vec<String> = (0..self.engines.len()).map(|w| format!("w{w}")).collect();
        for placement in &mut awards {
            placement.service(u64::from(self.engines[0].slots), self.engines[0].kv);
            placement.others(self.dispatchers - 1);
            for (w, name) in names.iter().enumerate() {
                placement.worker(0, &Worker { slots: self.engines[w].slots, ..listed(name, Phase::Ready) });
            }
        }
        let mut machines: Vec<Machine> = self
            .engines
            .iter()
            .map(|e| Machine {
                engine: e.clone(),
                batch: vec![],
                queue: VecDeque::new(),
                kept: HashMap::new(),
                uses: 0,
                stepping: false,
                served: 0,
            })
            .collect();
        // Uneven shares: each dispatcher has half as much again as the one before, in turns of four.
        let weights: Vec<f64> = (0..self.dispatchers).map(|d| 1.5f64.powi((d % 4) as i32)).collect();
        let whole: f64 = weights.iter().sum();
        let mut events = BinaryHeap::new();
        let mut count = 0u64;
        let mut push = |events: &mut BinaryHeap<_>, at: Time, event: Event| {
            count += 1;
            events.push(Reverse((at, count, event)));
        };
        for (d, placement) in awards.iter().enumerate() {
            push(&mut events, placement.next(), Event::Due(d));
        }
        for k in 0..n {
            push(&mut events, (chance.random::<f64>() * 1e6 / self.kinds[k].rate) as Time, Event::Arrival(k));
        }
        let mut requests = 0u64;
        while let Some(Reverse((now, _, event))) = events.pop() {
            if now > self.seconds * SECOND {
                break;
            }
            let (d, k, came, subject, tried) = match event {
                Event::Due(d) => {
                    awards[d].due(now);
                    push(&mut events, awards[d].next().max(now + 1), Event::Due(d));
                    continue;
                }
                Event::Step(w) => {
                    if let Some(at) =
                        step(now, &mut machines[w], &names[w], &mut awards, &self.kinds, &mut figures)
                    {
                        push(&mut events, at, Event::Step(w));
                    }
                    continue;
                }
                Event::Arrival(k) => {
                    let gap = -(1.0 - chance.random::<f64>()).ln() * 1e6 / self.kinds[k].rate;
                    push(&mut events, now + gap as Time + 1, Event::Arrival(k));
                    figures.asked[k] += 1;
                    let mut drawn = chance.random::<f64>() * whole;
                    let d = weights.iter().position(|w| {
                        drawn -= w;
                        drawn < 0.0
                    });
                    let subject = chance.random_range(0..self.kinds[k].subjects.max(1));
                    (d.unwrap_or(0), k, now, subject, vec![])
                }
                Event::Again(d, k, came, subject, tried) => (d, k, came, subject, tried),
            };
            let kind = &self.kinds[k];
            requests += 1;
            let chain = [(k as u64 * 1_000_000 + subject + 1, kind.shared), (1 << 40 | requests, kind.own)];
            let ask = Ask {
                class: k as u64,
                bulk: kind.bulk,
                prompt: kind.shared + kind.own,
                out: kind.events,
                prefix: if self.by == By::Blind { vec![] } else { chain.to_vec() },
                aim: kind.aim - (now - came),
                tried: tried.iter().map(|&w| names[w].clone()).collect(),
            };
            let Some(pick) = awards[d].pick(now, &ask) else {
                if kind.bulk {
                    push(&mut events, now + 50 * MS, Event::Again(d, k, came, subject, tried));
                } else {
                    figures.refused[k] += 1;
                }
                continue;
            };
            let w = match self.by {
                By::Chance => chance.random_range(0..names.len()),
                _ => names.iter().position(|name| *name == pick.worker.id).unwrap(),
            };
            let machine = &mut machines[w];
            let engine = &machine.engine;
            let end = if engine.refuses.is_some_and(|(from, to)| (from..to).contains(&now)) {
                Some(End::Unreachable)
            } else if engine.fails {
                Some(End::Failed)
            } else if machine.queue.len() as u32 >= engine.slots {
                Some(End::Full)
            } else {
                None
            };
            if let Some(end) = end {
                awards[d].ended(now, pick.ticket, end);
                machine.served += u64::from(end == End::Failed);
                figures.failed += 1;
                if tried.len() < 3 && end != End::Failed {
                    let tried = tried.into_iter().chain([w]).collect();
                    push(&mut events, now + MS, Event::Again(d, k, came, subject, tried));
                }
                continue;
            }
            if kind.bulk {
                figures.bulk += 1;
                let taken = (machine.batch.len() + machine.queue.len()) as f64;
                figures.bulk_on_busy += u64::from(taken >= 0.75 * f64::from(engine.slots));
            }
            machine.served += 1;
            let (ticket, left) = (pick.ticket, kind.events);
            let run = Run { dispatcher: d, ticket, kind: k, came, chain, unread: None, left, started: false };
            machine.queue.push_back(run);
            if !machine.stepping {
                machine.stepping = true;
                push(&mut events, now + 1, Event::Step(w));
            }
        }
        for placement in &awards {
            let (c, sum) = (placement.counts(), &mut figures.counts);
            sum.turns += c.turns;
            sum.queued += c.queued;
            sum.prefix += c.prefix;
            sum.outside += c.outside;
            sum.late += c.late;
            sum.skipped += c.skipped;
            sum.full += c.full;
            sum.grey += c.grey;
            sum.trial += c.trial;
            sum.bulk += c.bulk;
            sum.none += c.none;
        }
        figures.served = machines.iter().map(|m| m.served).collect();
        figures
    }
}

/// One step of a worker: a token for each that runs, and a piece of the prompts that wait, the first first.
fn step(
    now: Time,
    m: &mut Machine,
    name: &str,
    awards: &mut [Placement],
    kinds: &[Kind],
    figures: &mut Figures,
) -> Option<Time> {
    while m.batch.len() < m.engine.slots as usize
        && let Some(run) = m.queue.pop_front()
    {
        m.batch.push(run);
    }
    if m.batch.is_empty() {
        m.stepping = false;
        return None;
    }
    let running = m.batch.iter().filter(|r| r.started).count() as f64;
    let mut room = m.engine.piece;
    for i in 0..m.batch.len() {
        if m.batch[i].unread.is_none() && room > 0 {
            let chain = m.batch[i].chain;
            m.batch[i].unread = Some(m.reads(&chain, figures));
        }
        if let Some(unread) = &mut m.batch[i].unread {
            let part = room.min(*unread);
            (room, *unread) = (room - part, *unread - part);
        }
    }
    let read = f64::from(m.engine.piece - room);
    let took = (m.engine.step + m.engine.each * running + read / m.engine.reads * 1e3) * m.engine.slow;
    let then = now + took as Time;
    let load = m.load();
    for run in m.batch.iter_mut().filter(|r| r.unread == Some(0)) {
        let placement = &mut awards[run.dispatcher];
        if !run.started {
            run.started = true;
            placement.started(then, run.ticket);
            if m.engine.tells {
                placement.load(then, name, load);
            }
            let wait = then - run.came;
            figures.waits[run.kind].push(wait);
            figures.in_time[run.kind] += u64::from(wait <= kinds[run.kind].aim);
        } else {
            placement.progress(then, run.ticket);
        }
        run.left = run.left.saturating_sub(1);
    }
    m.batch.retain(|run| {
        let over = run.started && run.left == 0;
        if over {
            awards[run.dispatcher].ended(then, run.ticket, End::Finished);
        }
        !over
    });
    Some(then)
}
