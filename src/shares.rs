//! Shares of the work for workers, solved by the M/G/1 model: docs/design.md tells where that is from.

pub use crate::station::Station;

impl Station {
    /// ψ: the marginal response time of the first task sent here (Eq. 14).
    fn psi(&self) -> f64 {
        let a = 1.0 - self.rho;
        self.rho / self.theta * self.omega / (2.0 * a * a) + self.theta / a
    }

    /// Tasks a second at which the marginal response time is z (Eq. 7).
    fn rate(&self, z: f64) -> f64 {
        let (a, w) = (1.0 - self.rho, self.omega);
        let below = 2.0 * self.theta * a * z + (w - 2.0 * self.theta * self.theta);
        let kept = if below > 0.0 { (a * (w * a + self.rho * w) / below).sqrt() } else { a };
        ((a - kept) / self.theta).max(0.0)
    }
}

/// Algorithm 1 (PAP): shares of `rate` tasks a second, or nothing where it has no solution.
pub fn shares(stations: &[Station], rate: f64) -> Option<Vec<f64>> {
    let sound = |s: &Station| s.theta > 0.0 && s.omega > 0.0 && (0.0..1.0).contains(&s.rho);
    let most: f64 = stations.iter().map(|s| (1.0 - s.rho) / s.theta).sum();
    if !stations.iter().all(sound) || rate.is_nan() || rate <= 0.0 || rate >= most {
        return None;
    }
    let carried = |z: f64, among: &[usize]| among.iter().map(|&j| stations[j].rate(z)).sum::<f64>();
    let mut order: Vec<usize> = (0..stations.len()).collect();
    order.sort_by(|&i, &j| stations[i].psi().total_cmp(&stations[j].psi()).then(i.cmp(&j)));
    // Eq. 15, the largest k: at ψk the first k carry no more than there is.
    let fits = |k: &usize| carried(stations[order[k - 1]].psi(), &order[..*k]) <= rate;
    let k = (1..=order.len()).rev().find(fits)?;
    let admitted = &order[..k];
    let mut low = stations[admitted[k - 1]].psi();
    let mut high = 2.0 * low;
    while carried(high, admitted) < rate && high.is_finite() {
        high *= 2.0;
    }
    // Relative as well: reports of next to no rate make z so large that its halves are no finer than 0.001.
    while high - low > (1e-9 * high).max(0.001) {
        let z = (low + high) / 2.0;
        if carried(z, admitted) <= rate { low = z } else { high = z }
    }
    let mut found = vec![0.0; stations.len()];
    admitted.iter().for_each(|&j| found[j] = stations[j].rate(high));
    let sum: f64 = found.iter().sum();
    (sum > 0.0).then(|| found.iter().map(|r| r / sum).collect())
}
