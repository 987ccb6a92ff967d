//! Which worker a request goes to, one [`Placement`] for each service at each dispatcher: shares solved from the M/G/1 model on a
//! timer, per-class billiard turns inside them, the skip at twice the mean; around these, each in its file, what a model worker
//! remembers and what others put on it. No I/O.

mod backlog;
mod bulk;
mod health;
mod load;
mod mechanisms;
mod numbers;
mod prefix;
mod reports;
mod server;
mod solve;
mod turns;

pub use mechanisms::{Mechanisms, UnknownMechanism};

use backlog::Reading;
use numbers::{Faded, Map, ratio};
use prefix::Chain;
use rainlug::{SECOND, Time};
use rainlug_registry::report::worker_key;
use rainlug_registry::{Phase, Worker};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use server::Server;
use std::sync::Arc;
use turns::Rank;

/// Between two solves of the shares.
const SOLVE: Time = 5 * SECOND;
/// Between two solves because the set of usable workers changed.
const CHANGED: Time = SOLVE / 50;
/// Rates and means of all own requests are smoothed over this time.
const SPAN: Time = 10 * SECOND;
/// Part of all turns that an unseen class is given.
const UNSEEN: f64 = 0.01;
/// Part of a worker's memory that is taken to hold what nobody uses just then.
const KEPT: u64 = 2;
/// Bounds of the pause of a request that finds no worker.
const PAUSE: (Time, Time) = (SECOND / 50, SECOND / 2);
/// And where no worker is known at all, as after a start: beats come about once in so long.
const UNLISTED: Time = SECOND;
/// Bounds of the age at which news of load counts by half; between them it is the mean running time.
const FRESH: (f64, f64) = (5e4, 2e6);

/// What is asked of a pick.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    /// The route's name, by its hash: the class whose turns count.
    pub class: u64,
    /// From a batch job: may wait, and is held back from workers that are busy.
    pub bulk: bool,
    /// Tokens of the prompt and the most that come out; zero where not told.
    pub prompt: u32,
    pub out: u32,
    /// The parts of the prompt in order: id and tokens.
    pub prefix: Vec<(u64, u32)>,
    /// Time until the answer (first event) is due, from now.
    pub aim: Time,
    /// Ids of workers that were tried already.
    pub tried: Vec<String>,
}

/// A worker that was picked; `ticket` names this assignment until [`Placement::ended`].
#[derive(Clone, Debug)]
pub struct Pick {
    pub ticket: u64,
    pub worker: Arc<Worker>,
}

/// How an assignment ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Answered whole.
    Finished,
    /// The worker's own failure (5xx that ran), or it broke off or garbled its answer.
    Failed,
    /// Turned away without having run: full.
    Full,
    /// 421: another process has that address now.
    Elsewhere,
    /// No connection came up, or it was refused.
    Unreachable,
    /// Nothing came from it for too long.
    Silent,
    /// This side gave up: the client left, or time was over.
    GivenUp,
}

/// Why a pick was made, for the figures: how many the shares and turns decided, and exceptions by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// By the billiard inside the shares.
    pub turns: u64,
    /// Of these, behind other prompts that were still to be read.
    pub queued: u64,
    /// A worker that has read the prefix, or is to read it for all dispatchers.
    pub prefix: u64,
    /// A worker without a share: those with one were queued beyond the aim, held twice the mean, were full or tried.
    pub outside: u64,
    /// Late by prediction wherever it may go.
    pub late: u64,
    /// All that were in time hold twice the mean; all are full; all others fail or are silent.
    pub skipped: u64,
    pub full: u64,
    pub grey: u64,
    /// Trials of a worker that was barred or fails.
    pub trial: u64,
    /// From batch jobs, to workers with room to spare.
    pub bulk: u64,
    /// Nothing could take it.
    pub none: u64,
}

/// A class of requests: the turns that it had at each worker since the last solve.
#[derive(Clone, Debug)]
struct Class {
    turns: Vec<f64>,
    picks: Faded<1>,
    /// Seconds that its requests ran, and their number.
    ran: Faded<2>,
    seen: Time,
}

/// One assignment that has not ended.
#[derive(Clone, Debug)]
struct Job {
    server: usize,
    class: u64,
    sent: Time,
    started: bool,
    /// It was reported as overdue.
    overdue: bool,
    bulk: bool,
    /// Tokens of its prompt that the worker had not read, and of all that was unread there with it.
    unread: u64,
    ahead: f64,
    /// Memory that it takes.
    held: u64,
    /// The first part that was new there.
    fresh: Option<u64>,
}

pub struct Placement {
    mechanisms: Mechanisms,
    zone: String,
    chance: ChaCha8Rng,
    slots: u64,
    kv: u64,
    others: usize,
    servers: Vec<Server>,
    /// Places in `servers` of workers that are gone.
    vacant: Vec<usize>,
    named: std::collections::HashMap<String, usize>,
    /// The same by the names of reports.
    report_names: Map<u32, usize>,
    classes: Map<u64, Class>,
    jobs: Map<u64, Job>,
    tickets: u64,
    reading: Reading,
    /// Picks; their prompts' tokens; the unread ones of these.
    picks: Faded<3>,
    /// Seconds that own requests ran, their number, their squares.
    ran: Faded<3>,
    solved: Time,
    /// When they are to be solved by the timer.
    timer: Time,
    dirty: bool,
    /// Shares by the solve before.
    before: Vec<f64>,
    counts: Counts,
}

impl Placement {
    /// For a dispatcher in `zone`.
    pub fn new(zone: &str, seed: u64, now: Time) -> Self {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        // Dispatchers that start together must not solve together.
        let timer = now.saturating_add(chance.random_range(0..SOLVE));
        Placement {
            mechanisms: Mechanisms::all(),
            zone: zone.to_owned(),
            chance,
            slots: 0,
            kv: 0,
            others: 0,
            servers: Vec::new(),
            vacant: Vec::new(),
            named: std::collections::HashMap::new(),
            report_names: Map::default(),
            classes: Map::default(),
            jobs: Map::default(),
            tickets: 0,
            reading: Reading::new(now),
            picks: Faded::new(now, SPAN),
            ran: Faded::new(now, SPAN),
            solved: now.saturating_sub(SOLVE),
            timer,
            dirty: false,
            before: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// For experiments: the mechanisms that are on.
    pub fn mechanisms(&mut self, mechanisms: Mechanisms) {
        self.mechanisms = mechanisms;
    }

    fn uses(&self, mechanism: Mechanisms) -> bool {
        self.mechanisms.contains(mechanism)
    }

    /// What the service's configuration tells of each worker: its slots, and tokens that its memory holds; 0 where it tells none.
    pub fn service(&mut self, slots: u64, kv_tokens: u64) {
        (self.slots, self.kv) = (slots, kv_tokens);
    }

    /// A worker of this service is new or changed; `Gone` and `Draining` ones are given nothing more.
    pub fn worker(&mut self, now: Time, worker: &Worker) {
        if let Some(&j) = self.named.get(&worker.id) {
            let before = self.servers[j].worker.phase;
            self.servers[j].told(now, worker, &self.zone);
            self.dirty |= before != worker.phase;
            self.vacate(j);
        } else if worker.phase != Phase::Gone {
            let mut server = Server::new(now, worker, &self.zone);
            // Until the next solve it is no worse than a mean one.
            let with = self.servers.iter().filter(|s| s.share > 0.0).count();
            server.share = 1.0 / (with + 1) as f64;
            let j = self.vacant.pop().unwrap_or(self.servers.len());
            if j == self.servers.len() {
                self.servers.push(server)
            } else {
                self.servers[j] = server
            }
            if let Some(share) = self.before.get_mut(j) {
                *share = 0.0;
            }
            self.named.insert(worker.id.clone(), j);
            self.report_names.insert(worker_key(&worker.id), j);
            self.dirty = true;
        }
    }

    /// How many other dispatchers live: what share of all traffic this one's is, is taken from that.
    pub fn others(&mut self, count: usize) {
        self.others = count;
    }

    /// The worker for a request; nothing where none can take it now.
    pub fn pick(&mut self, now: Time, ask: &Ask) -> Option<Pick> {
        if self.dirty && now.saturating_sub(self.solved) >= CHANGED {
            self.solve(now);
        }
        let view = self.view(now);
        let chain = Chain::of(&ask.prefix);
        let Some(j) = self.choose(now, &view, ask, &chain) else {
            self.counts.none += 1;
            return None;
        };
        Some(self.assign(now, &view, ask, &chain, j))
    }

    fn choose(&mut self, now: Time, view: &turns::ClusterView, ask: &Ask, chain: &Chain) -> Option<usize> {
        if let Some(j) = self.trial(now, view, ask) {
            self.counts.trial += 1;
            self.servers[j].health.tries(now);
            return Some(j);
        }
        let class = self.classes.get(&ask.class);
        if ask.bulk {
            let j = self.spare(now, view, ask, class)?;
            self.counts.bulk += 1;
            return Some(j);
        }
        if self.uses(Mechanisms::PREFIX)
            && chain.long(ask.prompt, self.prompt(now))
            && let Some(j) = self.affine(now, view, ask, chain)
        {
            self.counts.prefix += 1;
            return Some(j);
        }
        let (j, rank) = self.turn(now, view, ask, class)?;
        match rank {
            Rank::Free => self.counts.turns += 1,
            Rank::Queued => {
                (self.counts.turns, self.counts.queued) = (self.counts.turns + 1, self.counts.queued + 1)
            }
            Rank::Outside => self.counts.outside += 1,
            Rank::Late => self.counts.late += 1,
            Rank::Skipped => self.counts.skipped += 1,
            Rank::Full => self.counts.full += 1,
            Rank::Grey | Rank::Lost | Rank::Never => self.counts.grey += 1,
        }
        Some(j)
    }

    /// A worker that was barred, or fails, and may be tried again: by a request that nobody else has had, one at a time.
    fn trial(&self, now: Time, view: &turns::ClusterView, ask: &Ask) -> Option<usize> {
        if view.common || !ask.tried.is_empty() || !self.uses(Mechanisms::HEALTH) {
            return None;
        }
        let due = |s: &Server| {
            s.worker.phase == Phase::Ready
                && !s.health.away(now)
                && s.health.trial(now)
                && (!ask.bulk || self.spares(now, view, s))
        };
        self.servers.iter().position(due)
    }

    fn assign(&mut self, now: Time, view: &turns::ClusterView, ask: &Ask, chain: &Chain, j: usize) -> Pick {
        let (fresh, others) = (view.fresh, self.others);
        let server = &mut self.servers[j];
        let ahead = server.ahead(now, &self.reading, view.unread);
        let unread = u64::from(ask.prompt).saturating_sub(server.memory.kept(chain));
        let new = match self.kv {
            0 => None,
            // What others send there pushes parts out, and keeps those that all of them share: the same room for all of these.
            kv => server.memory.read(chain, kv / KEPT),
        };
        let held = unread + u64::from(ask.out);
        server.load.count(now, server.flying, fresh, others);
        if server.flying == 0 {
            server.health.wakes(now);
        }
        server.flying += 1;
        server.unstarted += 1;
        server.bulk += u32::from(ask.bulk);
        server.unread += unread;
        server.held += held;
        let worker = Arc::clone(&server.worker);
        self.picks.add(now, [1.0, f64::from(ask.prompt), unread as f64]);
        let count = self.servers.len();
        let class = self.classes.entry(ask.class).or_insert_with(|| Class {
            turns: (0..count).map(|_| self.chance.random::<f64>()).collect(),
            picks: Faded::new(now, SPAN),
            ran: Faded::new(now, SPAN),
            seen: now,
        });
        while class.turns.len() < count {
            class.turns.push(self.chance.random::<f64>());
        }
        class.turns[j] += 1.0;
        class.picks.add(now, [1.0]);
        class.seen = now;
        self.tickets += 1;
        let job = Job {
            server: j,
            class: ask.class,
            sent: now,
            started: false,
            overdue: false,
            bulk: ask.bulk,
            unread,
            ahead: if ask.prompt > 0 { ahead + unread as f64 } else { 0.0 },
            held,
            fresh: new,
        };
        self.jobs.insert(self.tickets, job);
        Pick { ticket: self.tickets, worker }
    }

    /// The first event, or the head of the answer, has come.
    pub fn started(&mut self, now: Time, ticket: u64) {
        let Some(job) = self.jobs.get_mut(&ticket).filter(|j| !j.started) else { return };
        job.started = true;
        self.reading.started(now, job.ahead, now.saturating_sub(job.sent));
        let server = &mut self.servers[job.server];
        unread_no_more(server, job);
        let doubted = server.health.doubted();
        server.health.answers(now);
        self.dirty |= doubted;
    }

    /// One more event has come.
    pub fn progress(&mut self, now: Time, ticket: u64) {
        if let Some(job) = self.jobs.get(&ticket) {
            self.servers[job.server].health.sign(now);
        }
    }

    /// `X-Rainlug-Server-Load`: running, waiting, slots.
    pub fn load(&mut self, now: Time, worker: &str, (running, waiting, slots): (u32, u32, u32)) {
        let Some(&j) = self.named.get(worker).filter(|_| self.uses(Mechanisms::TOLD_LOAD)) else { return };
        let (fresh, others) = (self.fresh(now), self.others);
        let server = &mut self.servers[j];
        server.load.count(now, server.flying, fresh, others);
        server.load.told(now, (running, waiting), server.flying, server.unstarted);
        server.seen.loaded(now, (running, waiting));
        server.health.told_load();
        if slots > 0 {
            server.slots = slots;
        }
    }

    pub fn ended(&mut self, now: Time, ticket: u64, end: End) {
        let Some(mut job) = self.jobs.remove(&ticket) else { return };
        let (fresh, others) = (self.fresh(now), self.others);
        let server = &mut self.servers[job.server];
        server.load.count(now, server.flying, fresh, others);
        // Whoever gave up on a worker from which nothing has come may have found a silent one.
        let mute = end == End::GivenUp && !job.started && server.health.mute(now, job.sent);
        let end = if mute { End::Silent } else { end };
        let doubted = server.health.doubted();
        server.health.ended(now, end);
        if !job.overdue {
            server.seen.ended(end);
        }
        self.dirty |= doubted != server.health.doubted();
        if !job.started {
            unread_no_more(server, &job);
            job.fresh.iter().filter(|_| end != End::Finished).for_each(|&part| server.memory.forget(part));
        }
        job.started = true;
        server.flying -= 1;
        server.bulk -= u32::from(job.bulk);
        server.held -= job.held;
        match end {
            End::Finished => {
                let took = now.saturating_sub(job.sent).max(0) as f64 / 1e6;
                self.ran.add(now, [took, 1.0, took * took]);
                let mean = self.ran.mean(took);
                // A request counts as so many mean ones as its class takes: who is given long ones is not slow for that.
                let usual = self.classes.get_mut(&job.class).map_or(mean, |class| {
                    class.ran.add(now, [took, 1.0]);
                    class.ran.mean(mean)
                });
                server.ran.add(now, [took, if mean > 0.0 { usual / mean } else { 1.0 }]);
            }
            // Another process is there, or none: it has read nothing.
            End::Elsewhere | End::Unreachable | End::Silent => {
                server.memory.clear();
                self.dirty |= end == End::Elsewhere;
            }
            End::Failed | End::Full | End::GivenUp => {}
        }
        self.vacate(job.server);
    }

    /// The time that a request that finds no worker should wait before it asks again, for `Retry-After`: until something ends,
    /// by how often that happens.
    pub fn pause(&self, now: Time) -> Time {
        if !self.servers.iter().any(Server::listed) {
            return UNLISTED;
        }
        let ends = self.ran.sums(now)[1] / self.ran.seconds(now);
        if ends > 0.0 { ((1e6 / ends) as Time).clamp(PAUSE.0, PAUSE.1) } else { PAUSE.1 }
    }

    /// When `due` wants to be called.
    pub fn next(&self) -> Time {
        if self.dirty { self.timer.min(self.solved.saturating_add(CHANGED)) } else { self.timer }
    }

    /// Re-solves the shares on their timer.
    pub fn due(&mut self, now: Time) {
        if now >= self.next() {
            self.solve(now);
        }
        if now >= self.timer {
            self.timer = self.timer.saturating_add(SOLVE).max(now.saturating_add(1));
        }
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Own requests in flight.
    pub fn flying(&self) -> usize {
        self.jobs.len()
    }

    /// Own requests in flight at a worker, and tokens of their prompts that it has not read yet.
    pub fn there(&self, worker: &str) -> (u32, u64) {
        self.named.get(worker).map_or((0, 0), |&j| (self.servers[j].flying, self.servers[j].unread))
    }

    /// The share of a worker by the last solve.
    pub fn share(&self, worker: &str) -> f64 {
        self.named.get(worker).map_or(0.0, |&j| self.servers[j].share)
    }

    /// A worker that is gone leaves its place once nothing is out there.
    fn vacate(&mut self, j: usize) {
        let server = &mut self.servers[j];
        if server.worker.phase == Phase::Gone
            && server.flying == 0
            && self.named.remove(&server.worker.id).is_some()
        {
            self.report_names.remove(&worker_key(&server.worker.id));
            server.memory.clear();
            self.vacant.push(j);
        }
    }

    /// Own requests a second.
    fn rate(&self, now: Time) -> f64 {
        self.picks.sums(now)[0] / self.picks.seconds(now)
    }

    /// Tokens of a mean prompt, and those of it that its worker had not read.
    fn prompt(&self, now: Time) -> f64 {
        let [n, tokens, _] = self.picks.sums(now);
        ratio([tokens, n], 0.0)
    }

    fn unread(&self, now: Time) -> f64 {
        let [n, _, unread] = self.picks.sums(now);
        ratio([unread, n], 0.0)
    }

    /// The age at which news of load counts by half, µs: a mean running time.
    fn fresh(&self, now: Time) -> f64 {
        let [ran, n, _] = self.ran.sums(now);
        (ratio([ran, n], 0.0) * 1e6).clamp(FRESH.0, FRESH.1)
    }

    /// A class's part of own requests, with a floor.
    fn part(&self, now: Time, class: Option<&Class>) -> f64 {
        let [all, ..] = self.picks.sums(now);
        class.map_or(0.0, |c| ratio([c.picks.sums(now)[0], all], 0.0)).max(UNSEEN)
    }
}

fn unread_no_more(server: &mut Server, job: &Job) {
    server.unstarted -= 1;
    server.unread -= job.unread;
}
