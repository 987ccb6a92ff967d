//! Shares, solved on their timer from the M/G/1 model (Algorithm 1): docs/design.md of the service tells where it is from.

use crate::server::COLD;
use crate::{Mechanisms, Placement, SOLVE};
use rainlug::Time;
use rainlug::shares::{Station, shares};
use rainlug_registry::Phase;
use rand::Rng;

/// Requests that a worker's θ must rest on, over those of a mean worker, to count as much as the mean θ.
const FEW: f64 = 0.1;
/// Utilisation is taken as no higher, and the workers are asked to carry no more, than this.
const FULL: f64 = 0.95;
/// The squared coefficient of variation counts as no higher: a few odd ones would outweigh all.
const VARIED: f64 = 10.0;
/// Batches of a worker whose slots nobody told are taken as so long.
const ONE: f64 = 1.0;
/// A class unseen for so many times between two solves is forgotten.
const FORGET: Time = 12;

impl Placement {
    pub(crate) fn solve(&mut self, now: Time) {
        (self.solved, self.dirty) = (now, false);
        let (fresh, others) = (self.fresh(now), self.others);
        let common = self.view(now).common;
        for s in &mut self.servers {
            s.load.count(now, s.flying, fresh, others);
            (s.share, s.fastest, s.theta) = (0.0, false, 0.0);
        }
        let usable = |j: &usize| {
            let s = &self.servers[*j];
            s.worker.phase == Phase::Ready && !s.health.away(now) && (common || !s.health.doubted())
        };
        let ready: Vec<usize> = (0..self.servers.len()).filter(usable).collect();
        let own = self.rate(now);
        // θ is drawn to the mean by a few requests: one that ran next to nothing would look fast beyond all.
        let [ran, n, squares] = self.ran.sums(now);
        let mean = if n > 1e-9 { ran / n } else { 1.0 };
        let few = (FEW * n / ready.len().max(1) as f64).max(1e-6);
        let spread =
            if n > 1.0 { (squares / n / (mean * mean).max(1e-12) - 1.0).clamp(0.0, VARIED) } else { 1.0 };
        let mut measured: Vec<(f64, f64)> = Vec::with_capacity(ready.len());
        for &j in &ready {
            let s = &self.servers[j];
            let slots = s.slots(self.slots).max(ONE);
            let [time, count] = s.ran.sums(now);
            let own = (time + few * mean) / (count + few);
            let theta = if s.cold(now) { own.max(COLD * mean) } else { own } / slots;
            // Milliseconds: the bisection ends at a thousandth of its unit.
            measured.push(((theta * 1e3).max(1e-6), s.load.usual() / slots));
        }
        // What all of them do follows from how busy they are, where they tell that (Little's law).
        let tell = 2 * ready.iter().filter(|&&j| self.servers[j].load.tells()).count() > ready.len();
        let told: f64 = measured.iter().map(|(theta, busy)| busy / theta).sum();
        let all = own * (1.0 + others as f64) / 1e3;
        let rate = if tell && told > 0.0 { told.max(own / 1e3) } else { all };
        let before: f64 = ready.iter().map(|&j| self.shares_before(j)).sum();
        let station = |(&j, &(theta, busy)): (&usize, &(f64, f64))| {
            let carried = theta * rate * self.shares_before(j) / before.max(1e-9);
            let rho = if before > 0.0 { (busy - carried).clamp(0.0, FULL) } else { 0.0 };
            Station { theta, omega: theta * theta * (1.0 + spread), rho }
        };
        let stations: Vec<Station> = ready.iter().zip(&measured).map(station).collect();
        let most: f64 = stations.iter().map(|s| FULL * (1.0 - s.rho) / s.theta).sum();
        let equal = || vec![1.0 / ready.len().max(1) as f64; ready.len()];
        let solved = self.uses(Mechanisms::SHARES).then(|| shares(&stations, rate.min(most))).flatten();
        let found = solved.unwrap_or_else(equal);
        let least = (0..ready.len()).min_by(|&a, &b| stations[a].theta.total_cmp(&stations[b].theta));
        for (i, &j) in ready.iter().enumerate() {
            let s = &mut self.servers[j];
            (s.share, s.theta, s.fastest) = (found[i], stations[i].theta, least == Some(i));
        }
        self.before.clear();
        self.before.extend(self.servers.iter().map(|s| s.share));
        self.classes.retain(|_, c| now.saturating_sub(c.seen) < FORGET * SOLVE);
        let count = self.servers.len();
        for class in self.classes.values_mut() {
            class.turns.clear();
            class.turns.extend((0..count).map(|_| self.chance.random::<f64>()));
        }
    }

    fn shares_before(&self, j: usize) -> f64 {
        self.before.get(j).copied().unwrap_or(0.0)
    }
}
