//! What other dispatchers put on a worker: from the load that it tells with its answers, fading to the usual as that gets old;
//! where it tells none, as much from each other dispatcher as from this one.

use crate::numbers::Faded;
use rainlug::{SECOND, Time};

/// What is usual is smoothed over this time.
const SPAN: Time = 5 * SECOND;

/// `X-Rainlug-Server-Load`, and what this dispatcher had there when it came.
#[derive(Clone, Copy, Debug)]
struct Told {
    at: Time,
    others: f64,
    waiting: f64,
    all_waiting: u32,
}

#[derive(Clone, Debug)]
pub struct Load {
    told: Option<Told>,
    usual: Faded<2>,
    /// Own requests there times seconds, and the seconds.
    own: Faded<2>,
    /// All requests there times seconds, and the seconds.
    all: Faded<2>,
    counted: Time,
}

impl Load {
    pub fn new(now: Time) -> Self {
        let none = Faded::new(now, SPAN);
        Load { told: None, usual: none.clone(), own: none.clone(), all: none, counted: now }
    }

    /// `own` requests of this dispatcher were there, `unread` of them not started.
    pub fn told(&mut self, now: Time, (running, waiting): (u32, u32), own: u32, unread: u32) {
        let others = (f64::from(running) + f64::from(waiting) - f64::from(own)).max(0.0);
        let unread = (f64::from(waiting) - f64::from(unread)).max(0.0);
        self.usual.add(now, [others, 1.0]);
        self.told = Some(Told { at: now, others, waiting: unread, all_waiting: waiting });
    }

    /// What another dispatcher was told `age` ago, unless later news is known; `own` requests of this one are there.
    pub fn heard(&mut self, now: Time, age: Time, (running, waiting): (u32, u32), own: u32, unread: u32) {
        let at = now.saturating_sub(age);
        if self.told.is_some_and(|told| told.at >= at) {
            return;
        }
        self.told(now, (running, waiting), own, unread);
        if let Some(told) = &mut self.told {
            told.at = at;
        }
    }

    pub fn tells(&self) -> bool {
        self.told.is_some()
    }

    /// Requests of others there now; what was told `fresh` ago counts by half.
    pub fn others(&self, now: Time, fresh: f64, dispatchers: usize) -> f64 {
        let Some(told) = self.told else {
            return self.own.mean(0.0) * dispatchers as f64;
        };
        let part = fresh / (fresh + now.saturating_sub(told.at).max(0) as f64);
        told.others * part + self.usual.mean(told.others) * (1.0 - part)
    }

    /// Whether the last news is no older than that.
    pub fn news(&self, now: Time, age: f64) -> bool {
        self.told.is_some_and(|t| now.saturating_sub(t.at) as f64 <= age)
    }

    /// Requests of others there that had not been started when it was told, and how long ago that was.
    pub fn waiting(&self, now: Time) -> (f64, Time) {
        self.told.map_or((0.0, 0), |t| (t.waiting, now.saturating_sub(t.at).max(0)))
    }

    /// Whether requests waited there, whosever they were, when it was last told, not longer than `fresh` ago.
    pub fn queue(&self, now: Time, fresh: f64) -> bool {
        let recent = |t: &Told| (now.saturating_sub(t.at) as f64) < fresh && t.all_waiting > 0;
        self.told.as_ref().is_some_and(recent)
    }

    /// Counts the time since the last call, in which `own` requests and those of others were there.
    pub fn count(&mut self, now: Time, own: u32, fresh: f64, dispatchers: usize) {
        let time = now.saturating_sub(self.counted).max(0) as f64 / 1e6;
        let (own, others) = (f64::from(own), self.others(now, fresh, dispatchers));
        self.own.add(now, [own * time, time]);
        self.all.add(now, [(own + others) * time, time]);
        self.counted = self.counted.max(now);
    }

    /// The usual number of requests there, of all dispatchers.
    pub fn usual(&self) -> f64 {
        self.all.mean(0.0)
    }
}
