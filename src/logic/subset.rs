//! The subset of the fleet that a dispatcher keeps to: which it is, its shares, and its lean to near workers.

use super::Dispatcher;
use super::health::ERRONEOUS;
use crate::Time;
use crate::shares::{Station, shares};
use crate::state::Part;

/// Tasks that a θ must rest on, over those of a mean worker, to count as much as the mean θ.
const FEW: f64 = 0.1;
/// How far turns lean to near workers for each part of their time that far ones are busier.
const LEAN: f64 = 4.0;
/// Utilisation is taken as no higher, and the fleet is asked to carry no more, than this.
const FULL: f64 = 0.95;
/// Workers of either side in a part, at least: one may be lost.
const LEAST: usize = 2;

impl Dispatcher {
    /// Solves for the part of the fleet that this dispatcher keeps to: the next workers on the ring from its
    /// own point, so many that each worker has its feeders; as many near ones as far ones.
    pub(super) fn solve(&mut self, now: Time) {
        let (workers, (close, far)) = (&self.fleet.workers, self.fleet.by_zone(self.place.zone));
        let size = (((close.len() + far.len()) as f64 / self.places).ceil() as usize).max(LEAST);
        let mut part: Vec<usize> = Vec::new();
        for (times, among) in [(1, close), (2, far)] {
            let sound = part.iter().filter(|j| !workers[**j].barred(now)).count();
            let from = self.place.index % self.parts * among.len() / self.parts;
            part.extend(among.iter().cycle().skip(from).take((times * size - sound).min(among.len())));
        }
        let common = 2 * part.iter().filter(|j| workers[**j].ill(now, ERRONEOUS)).count() > part.len();
        let usable = |j: &usize| common || !workers[*j].barred(now);
        let ready: Vec<usize> = part.iter().copied().filter(usable).collect();
        let census = self.fleet.census(now, &ready, FEW);
        // Where each has a part of the fleet, own traffic says little of the whole: workers tell their rates.
        let own = self.seen.rate(now) * self.live as f64 / self.places;
        let rate = if self.parts > 1 && census.rate > 0.0 { census.rate * ready.len() as f64 } else { own };
        let spread = 1.0 + self.seen.spread(now);
        let station = |&j: &usize| {
            let (worker, theta) = (&workers[j], census.theta_of(now, &workers[j]));
            let own = theta * worker.share * rate;
            let like = census.utilisation.unwrap_or(own);
            let rho = (worker.utilisation.mean(now, like, 0.001) - own).clamp(0.0, FULL);
            Station { theta, omega: theta * theta * spread, rho }
        };
        let stations: Vec<Station> = ready.iter().map(station).collect();
        // Where more is asked than the fleet can carry the model has no solution: it is given what they can.
        let most: f64 = stations.iter().map(|s| FULL * (1.0 - s.rho) / s.theta.max(1e-9)).sum();
        let found = shares(&stations, rate.min(most)).unwrap_or(vec![1.0 / ready.len() as f64; ready.len()]);
        let least = (0..ready.len()).min_by(|&a, &b| stations[a].theta.total_cmp(&stations[b].theta));
        // Workers that were lost all together have not restarted: a common cause cut them off.
        self.fleet.workers.iter_mut().for_each(|w| w.lost &= !common);
        self.fleet.clear_shares();
        for (i, &j) in ready.iter().enumerate() {
            let (share, theta) = (found[i], stations[i].theta);
            self.fleet.workers[j].take_share(share, theta, least == Some(i), &mut self.chance);
        }
        self.part = Part { workers: part, census, common, lean: 1.0 };
        self.lean(now);
    }

    /// Where a crossing has a price, turns lean to near workers, the more so the busier far ones are: zones
    /// with little traffic keep theirs, and the others cross with what their own workers cannot carry.
    pub(super) fn lean(&mut self, now: Time) {
        if self.known.cross_zone <= 0.0 || self.parts == 1 {
            return;
        }
        let ((near, some), (far, others)) = self.fleet.busy(now, &self.part, self.place.zone);
        if some > 0.0 && others > 0.0 {
            self.part.lean = (LEAN * (near / some - far / others)).clamp(0.05, 1.0);
        }
    }
}
