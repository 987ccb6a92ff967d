//! How long an idle connection is trusted.

use std::cell::RefCell;
use std::time::Duration;

use tokio::time::Instant;

/// Spans of idle time, each twice as long as the one before; the first is a millisecond.
const SPANS: usize = 20;
/// Breaks that show something, and the part of the uses that they must be: single connections break for any reason.
const BREAKS: u32 = 2;
const BROKEN: u32 = 8;

/// Learns up to which idle time a connection to a worker can be used again. What ends idle connections without a word,
/// sooner than was agreed, mostly stands between all workers and this process: what some of them show holds for all.
pub struct Trust {
    most: Duration,
    seen: RefCell<Seen>,
}

struct Seen {
    /// For each span of idle time: how often a connection was used again after it, and how often it broke then.
    spans: [(u32, u32); SPANS],
    halved: Instant,
}

fn span(idle: Duration) -> usize {
    (idle.as_millis().max(1).ilog2() as usize).min(SPANS - 1)
}

impl Trust {
    pub fn up_to(most: Duration) -> Self {
        Trust { most, seen: RefCell::new(Seen { spans: [(0, 0); SPANS], halved: Instant::now() }) }
    }

    /// Where those that idled for a span or more broke too often, none that has is to be used.
    pub fn time(&self) -> Duration {
        let seen = self.seen.borrow();
        let (mut used, mut broke, mut time) = (0, 0, self.most);
        for (n, (uses, breaks)) in seen.spans.iter().enumerate().rev() {
            (used, broke) = (used + uses, broke + breaks);
            if *breaks > 0 && broke >= BREAKS && broke * BROKEN > used {
                time = time.min(Duration::from_millis(1 << n));
            }
        }
        time
    }

    /// A connection was used again after so long; it may have broken before a word had come.
    pub fn used(&self, idle: Duration, broke: bool) {
        let mut seen = self.seen.borrow_mut();
        // What is not tried any more is forgotten, and so tried again.
        if seen.halved.elapsed() >= self.most {
            seen.spans.iter_mut().for_each(|(uses, breaks)| (*uses, *breaks) = (*uses / 2, *breaks / 2));
            seen.halved = Instant::now();
        }
        let (uses, breaks) = &mut seen.spans[span(idle)];
        *uses += 1;
        *breaks += u32::from(broke);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(start_paused = true)]
    async fn what_idled_as_long_as_those_that_broke_is_not_used_until_that_is_forgotten() {
        let ms = Duration::from_millis;
        let trust = Trust::up_to(ms(16_000));
        (0..50).for_each(|_| trust.used(ms(20), false));
        // Single ones break for any reason.
        (0..5).for_each(|_| trust.used(ms(20), true));
        trust.used(ms(900), true);
        assert_eq!(trust.time(), ms(16_000));
        trust.used(ms(300), true);
        assert_eq!(trust.time(), ms(256));
        trust.used(ms(200), false);
        assert_eq!(trust.time(), ms(256));
        for _ in 0..2 {
            tokio::time::advance(ms(16_000)).await;
            trust.used(ms(20), false);
        }
        assert_eq!(trust.time(), ms(16_000));
    }
}
