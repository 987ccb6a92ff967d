//! The ordinary path: the billiard inside the shares (Algorithm 2), and in what order it may fall on workers where some are
//! queued, late or ill.

use crate::numbers::mix;
use crate::prefix::{Chain, weight};
use crate::server::Server;
use crate::{Ask, Class, Mechanisms, Placement};
use rainlug::{Time, turns};
use rainlug_registry::Phase;

/// A worker with so few own requests in flight is never skipped for holding twice the mean.
const SKIP_FLOOR: f64 = 3.0;
/// What is unread there is a queue once it takes one in so many of the time until the answer is due.
const QUEUE: f64 = 4.0;
/// Live requests wait at a worker for a slot, up to one in so many of its slots.
const WAIT: f64 = 2.0;
/// A prefix goes past a worker that has more requests by its slots than so many times the mean one, and so many more (consistent
/// hashing with bounded loads).
const BOUND: f64 = 2.0;
const BOUND_FLOOR: f64 = 5.0;

/// How well a worker suits a request, the best first; the billiard decides inside each of the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// Inside the shares, and next to nothing is unread there.
    Free,
    /// Inside the shares, in time, but behind other prompts.
    Queued,
    /// Outside the shares, in time.
    Outside,
    /// Predicted to be late, or its memory is full.
    Late,
    /// Holds twice the mean.
    Skipped,
    /// No slot is free there.
    Full,
    /// Fails often, or is silent.
    Grey,
    /// Its beats have stopped.
    Lost,
    Never,
}

/// What a pick sees of all workers together.
#[derive(Clone, Copy, Debug)]
pub struct ClusterView {
    /// Own requests in flight at which a worker is skipped.
    pub skip: f64,
    /// So many are barred or fail that the cause must be a common one.
    pub common: bool,
    /// Age at which news of load counts by half, µs.
    pub fresh: f64,
    /// Mean tokens that a request leaves to be read.
    pub unread: f64,
}

impl Placement {
    pub(crate) fn view(&self, now: Time) -> ClusterView {
        let (mut ready, mut ill, mut weight) = (0usize, 0usize, 0.0);
        for s in self.servers.iter().filter(|s| s.worker.phase == Phase::Ready) {
            ready += 1;
            ill += usize::from(s.health.doubted() || s.health.grey(now));
            weight += s.weight(now);
        }
        let mean = weight / ready.max(1) as f64;
        let is_skipping = self.uses(Mechanisms::SKIP);
        ClusterView {
            skip: if is_skipping { turns::skip_at(mean, SKIP_FLOOR) } else { f64::INFINITY },
            common: 2 * ill > ready,
            fresh: self.fresh(now),
            unread: self.unread(now),
        }
    }

    /// Microseconds until the first event there, were it sent now.
    fn wait(&self, now: Time, view: &ClusterView, s: &Server, tokens: f64) -> f64 {
        self.reading.wait(s.ahead(now, &self.reading, view.unread) + tokens)
    }

    /// Whether a worker is out of the question, whatever else.
    pub(crate) fn never(&self, now: Time, view: &ClusterView, s: &Server, ask: &Ask) -> bool {
        !s.listed()
            || s.health.away(now)
            || (s.health.doubted() && !view.common && self.uses(Mechanisms::HEALTH))
            || ask.tried.iter().any(|t| *t == s.worker.id)
    }

    /// `tokens` of the prompt are unread there.
    pub(crate) fn rank(&self, now: Time, view: &ClusterView, s: &Server, ask: &Ask, tokens: f64) -> Rank {
        if self.never(now, view, s, ask) {
            return Rank::Never;
        }
        let avoids_ill = self.uses(Mechanisms::HEALTH);
        let slots = s.slots(self.slots);
        let there =
            if s.load.tells() { s.occupancy(now, view.fresh, self.others) } else { f64::from(s.flying) };
        if s.health.full(now) || (slots > 0.0 && there - slots >= (slots / WAIT).max(1.0)) {
            return Rank::Never;
        }
        if s.worker.phase == Phase::Unresponsive {
            return Rank::Lost;
        }
        if avoids_ill && (!view.common && s.health.grey(now) || s.silent(now)) {
            return Rank::Grey;
        }
        if slots > 0.0 && there >= slots {
            return Rank::Full;
        }
        if s.weight(now) >= view.skip {
            return Rank::Skipped;
        }
        let ahead = s.ahead(now, &self.reading, view.unread);
        let is_aimed = ask.aim > 0 && self.uses(Mechanisms::BACKLOG);
        let aim = if is_aimed { ask.aim as f64 } else { f64::MAX };
        if self.reading.wait(ahead + tokens) > aim || self.crammed(s, ask, there, tokens) {
            return Rank::Late;
        }
        match s.share > 0.0 {
            false => Rank::Outside,
            true if self.reading.ahead(ahead) > aim / QUEUE => Rank::Queued,
            true => Rank::Free,
        }
    }

    /// Whether its memory has no room for what all `there` hold and this.
    fn crammed(&self, s: &Server, ask: &Ask, there: f64, tokens: f64) -> bool {
        let all = s.held as f64 * (there / f64::from(s.flying.max(1))).max(1.0) + tokens + f64::from(ask.out);
        self.kv > 0 && all > self.kv as f64
    }

    /// The least level in the best rank; of equals a near one.
    pub(crate) fn turn(
        &self,
        now: Time,
        view: &ClusterView,
        ask: &Ask,
        class: Option<&Class>,
    ) -> Option<(usize, Rank)> {
        let part = self.part(now, class);
        let mut best: Option<((Rank, f64, bool), usize)> = None;
        for (j, s) in self.servers.iter().enumerate() {
            let rank = self.rank(now, view, s, ask, f64::from(ask.prompt));
            let level = match rank {
                Rank::Never => continue,
                Rank::Free | Rank::Queued if !self.uses(Mechanisms::TURNS) => self.draw(j),
                Rank::Free | Rank::Queued => turns::level(y(class, j), s.fastest, s.share * part),
                Rank::Outside => s.theta * (1.0 + f64::from(s.flying)),
                Rank::Late => self.wait(now, view, s, 0.0),
                _ => s.occupancy(now, view.fresh, self.others) / s.slots(self.slots).max(1.0),
            };
            let key = (rank, level, self.uses(Mechanisms::NEAR) && !s.near);
            if best.is_none_or(|(b, _)| key < b) {
                best = Some((key, j));
            }
        }
        best.map(|((rank, ..), j)| (j, rank))
    }

    /// A number by chance for a worker, another one for each pick.
    fn draw(&self, j: usize) -> f64 {
        mix(self.tickets ^ mix(j as u64)) as f64
    }

    /// For a long prefix: the least laden of those that kept most of it; where none has it, the first in the prefix's own order
    /// of workers, so that all dispatchers take the same one, unless that is laden far beyond the others.
    pub(crate) fn affine(&self, now: Time, view: &ClusterView, ask: &Ask, chain: &Chain) -> Option<usize> {
        let bound = self.bound(now, view);
        let (mut keeper, mut first) = (None::<((u64, f64), usize)>, None::<((bool, bool, bool, u64), usize)>);
        for (j, s) in self.servers.iter().enumerate() {
            let kept = s.memory.kept(chain).min(u64::from(ask.prompt));
            let unread = (u64::from(ask.prompt) - kept) as f64;
            let rank = self.rank(now, view, s, ask, unread);
            // Waiting behind others is no worse than reading the whole where nothing is unread.
            let late = rank == Rank::Late
                && self.wait(now, view, s, unread) > self.reading.wait(f64::from(ask.prompt));
            if rank > Rank::Late {
                continue;
            }
            if kept * 2 > chain.shared && !late {
                let key = (u64::MAX - kept, self.laden(now, view, s));
                if keeper.is_none_or(|(k, _)| key < k) {
                    keeper = Some((key, j));
                }
            }
            // Who waits there for less than the shared part takes to read gains if others have had it read.
            let soon = s.ahead(now, &self.reading, view.unread) <= chain.shared as f64;
            let there = s.occupancy(now, view.fresh, self.others);
            let room = there <= bound * s.slots(self.slots).max(1.0) + BOUND_FLOOR;
            let place = ((!self.crammed(s, ask, there, unread), soon, room, weight(chain.key, s.id)), j);
            if first.is_none_or(|f| place > f) {
                first = Some(place);
            }
        }
        keeper.map(|(_, j)| j).or(first.map(|(_, j)| j))
    }

    /// The part of its slots that a worker may have taken, the floor besides, for a prefix to go there by its order.
    fn bound(&self, now: Time, view: &ClusterView) -> f64 {
        let ready = || self.servers.iter().filter(|s| s.worker.phase == Phase::Ready);
        let there: f64 = ready().map(|s| s.occupancy(now, view.fresh, self.others)).sum();
        let slots: f64 = ready().map(|s| s.slots(self.slots).max(1.0)).sum();
        BOUND * there / slots.max(1.0)
    }

    /// How laden a worker is: its requests by its slots, and what is unread there by what it may hold of that.
    fn laden(&self, now: Time, view: &ClusterView, s: &Server) -> f64 {
        let unread = s.ahead(now, &self.reading, view.unread) / view.unread.max(1.0);
        (s.occupancy(now, view.fresh, self.others) + unread) / s.slots(self.slots).max(1.0)
    }
}

/// A class's turns at a worker; it had none where it is new.
pub(crate) fn y(class: Option<&Class>, j: usize) -> f64 {
    class.and_then(|c| c.turns.get(j)).copied().unwrap_or(0.0)
}
