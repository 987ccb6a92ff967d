//! How long this process waits for others: local health, and the time that a suspect has to speak up.

use rainlug::Time;

/// The worst health: all waits are this many times longer, and one.
const WORST: u32 = 8;
/// A suspect that everybody suspects has so many periods, times the decimal logarithm of the fleet.
const LEAST: f64 = 4.0;
/// One that a single process suspects has so many times as long.
const SPAN: f64 = 6.0;
/// So many further accusers bring the time down to the least.
pub const ACCUSERS: usize = 3;

/// How far this process trusts itself: 0 in full. Lifeguard's awareness; new here is that a clock seen to jump counts.
#[derive(Default)]
pub struct Health(u32);

impl Health {
    pub fn better(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    pub fn worse(&mut self, by: u32) {
        self.0 = (self.0 + by).min(WORST);
    }

    pub fn score(&self) -> u32 {
        self.0
    }

    /// A wait, as long as this process needs it.
    pub fn stretch(&self, wait: Time) -> Time {
        wait * Time::from(self.0 + 1)
    }
}

/// The time from its suspicion in which a process must speak up, with so many `others` suspecting it besides the first,
/// in a fleet of `size` processes.
pub fn to_speak_up(period: Time, size: usize, others: usize) -> Time {
    let least = LEAST * (size as f64).log10().max(1.0) * period as f64;
    let needed = ACCUSERS.min(size.saturating_sub(2));
    let part = if others >= needed { 1.0 } else { ((others + 1) as f64).ln() / ((needed + 1) as f64).ln() };
    (least * (SPAN - (SPAN - 1.0) * part)) as Time
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn accusers_bring_the_time_down_and_the_size_up() {
        let times: Vec<Time> = (0..5).map(|n| to_speak_up(1000, 100, n)).collect();
        assert_eq!((times[0], times[3], times[4]), (48_000, 8_000, 8_000));
        assert!(times.is_sorted_by(|a, b| a >= b) && times[1] < times[0]);
        // Two processes: nobody is left to confirm it. Ten and fewer count as ten.
        assert_eq!(to_speak_up(1000, 2, 0), 4_000);
        assert_eq!(to_speak_up(1000, 5, 0), 24_000);
        assert_eq!(to_speak_up(1000, 1000, 9), 12_000);
    }

    #[test]
    fn health_has_a_floor_and_a_ceiling() {
        let mut health = Health::default();
        health.better();
        assert_eq!(health.stretch(100), 100);
        health.worse(100);
        assert_eq!(health.stretch(100), 900);
        (0..8).for_each(|_| health.better());
        assert_eq!(health.score(), 0);
    }
}
