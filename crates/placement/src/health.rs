//! Which workers are kept from requests for what they did to earlier ones.

use crate::End;
use crate::numbers::Faded;
use rainlug::{SECOND, Time};

/// A worker that could not be reached is left alone for this long, twice as long after each trial that fails, up to the most.
const BAR: Time = SECOND;
const BAR_MOST: Time = 10 * SECOND;
/// Errors are remembered over this time...
const SPAN: Time = 10 * SECOND;
/// ...and turn a worker grey where there are two of them, and this part of its outcomes.
const FEW: f64 = 1.5;
const ERRONEOUS: f64 = 0.25;
/// What all dispatchers report is remembered over this time, and turns a worker grey where so many failed, by the same part. It is
/// tried again by all of them once that has faded, so that a fleet of any size does not try it all the time.
const REPORTED_SPAN: Time = 3 * SECOND;
const REPORTED_FEW: f64 = 2.5;
/// Until the first trial of a grey worker, and twice as long after each that fails, up to the most above.
const TRIAL: Time = SECOND;
/// Another process has its address: it is out until the list says more.
const AWAY: Time = 2 * SECOND;
/// One that was full counts as full until it tells its load, but no longer.
const FULL: Time = SECOND / 10;
/// A silence of so many mean gaps between signs has odds of e^-6; and no shorter one than this counts.
const SILENT: f64 = 6.0;
const SILENCE: Time = SECOND / 2;

#[derive(Clone, Copy, Debug)]
struct Bar {
    until: Time,
    length: Time,
    /// A trial is out.
    tried: bool,
}

#[derive(Clone, Debug)]
pub struct Health {
    bar: Option<Bar>,
    away: Time,
    full: Time,
    /// Errors, and all outcomes.
    errors: Faded<2>,
    /// The same as all dispatchers report it.
    reported: Faded<2>,
    trial_at: Time,
    pace: Time,
    trying: bool,
    /// Microseconds between signs of life while it had something to do, and their number.
    gaps: Faded<2>,
    sign: Time,
}

impl Health {
    pub fn new(now: Time) -> Self {
        Health {
            bar: None,
            away: Time::MIN,
            full: Time::MIN,
            errors: Faded::new(now, SPAN),
            reported: Faded::new(now, REPORTED_SPAN),
            trial_at: now,
            pace: TRIAL,
            trying: false,
            gaps: Faded::new(now, SPAN),
            sign: now,
        }
    }

    /// Something was sent to a worker that had nothing to do.
    pub fn wakes(&mut self, now: Time) {
        self.sign = self.sign.max(now);
    }

    pub fn sign(&mut self, now: Time) {
        self.gaps.add(now, [now.saturating_sub(self.sign).max(0) as f64, 1.0]);
        self.sign = self.sign.max(now);
    }

    /// It has begun to answer: whoever does that can be reached.
    pub fn answers(&mut self, now: Time) {
        self.sign(now);
        self.bar = None;
    }

    /// Whether nothing has come since `sent` and so long that it is no chance.
    pub fn mute(&self, now: Time, sent: Time) -> bool {
        self.sign <= sent && now.saturating_sub(sent) > 2 * SILENCE
    }

    pub fn ended(&mut self, now: Time, end: End) {
        match end {
            End::Finished => {
                self.errors.add(now, [0.0, 1.0]);
                (self.pace, self.trying) = (TRIAL, false);
                self.answers(now);
            }
            End::Failed => {
                self.errors.add(now, [1.0, 1.0]);
                self.sign(now);
                if std::mem::take(&mut self.trying) {
                    self.pace = (2 * self.pace).min(BAR_MOST);
                }
                self.trial_at = self.trial_at.max(now.saturating_add(self.pace));
            }
            End::Full => {
                self.full = now.saturating_add(FULL);
                self.answers(now);
            }
            End::Elsewhere => self.away = now.saturating_add(AWAY),
            End::Unreachable | End::Silent => {
                // What was out together fails together: one bar for all of it, a longer one when a trial fails.
                let length = self.bar.map_or(BAR, |b| (2 * b.length).min(BAR_MOST));
                if !self.barred(now) || self.bar.is_some_and(|b| b.tried) {
                    self.bar = Some(Bar { until: now.saturating_add(length), length, tried: false });
                }
            }
            End::GivenUp => {}
        }
    }

    /// The answer to a request ought to have begun long ago.
    pub fn overdue(&mut self, now: Time) {
        self.errors.add(now, [1.0, 1.0]);
    }

    /// A trial goes out: no other does before its bar would be over again.
    pub fn tries(&mut self, now: Time) {
        self.trial_at = now.saturating_add(self.pace);
        self.trying = true;
        if let Some(bar) = &mut self.bar {
            (bar.until, bar.tried) = (now.saturating_add(bar.length), true);
        }
    }

    /// Kept from all requests now.
    pub fn barred(&self, now: Time) -> bool {
        self.bar.is_some_and(|b| b.until > now)
    }

    /// Not shown to be well since it was barred.
    pub fn doubted(&self) -> bool {
        self.bar.is_some()
    }

    pub fn away(&self, now: Time) -> bool {
        self.away > now
    }

    pub fn full(&self, now: Time) -> bool {
        self.full > now
    }

    pub fn told_load(&mut self) {
        self.full = Time::MIN;
    }

    /// Of requests that ended at the worker, so many failed, by all dispatchers' reports.
    pub fn reported(&mut self, now: Time, failed: f64, ended: f64) {
        if ended > 0.0 {
            self.reported.add(now, [failed, ended]);
        }
    }

    /// Whether it fails often by what this dispatcher saw, or all of them.
    pub fn grey(&self, now: Time) -> bool {
        self.fails_here(now) || self.fails_elsewhere(now)
    }

    fn fails_elsewhere(&self, now: Time) -> bool {
        if self.reported.most(0) < REPORTED_FEW {
            return false;
        }
        let [failed, ended] = self.reported.sums(now);
        failed >= REPORTED_FEW && failed > ERRONEOUS * ended
    }

    fn fails_here(&self, now: Time) -> bool {
        if self.errors.most(0) < FEW {
            return false;
        }
        let [errors, all] = self.errors.sums(now);
        errors >= FEW && errors > ERRONEOUS * all
    }

    /// Whether one request may be risked on it.
    pub fn trial(&self, now: Time) -> bool {
        (self.bar.is_some_and(|b| b.until <= now) || self.fails_here(now) && !self.doubted())
            && self.trial_at <= now
    }

    /// Whether a worker that has something to do is silent beyond chance.
    pub fn silent(&self, now: Time) -> bool {
        let silence = now.saturating_sub(self.sign);
        silence > SILENCE && silence as f64 > SILENT * self.gaps.mean(SILENCE as f64)
    }
}
