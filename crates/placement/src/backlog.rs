//! How long a prompt waits to be read: a worker reads prompts in the order they come, so whatever is unread there comes first.

use crate::numbers::Faded;
use rainlug::{SECOND, Time};

/// Starts over which the estimate is smoothed, as time.
const SPAN: Time = 10 * SECOND;
/// Starts that an estimate rests on, at least.
const LEAST: f64 = 8.0;
/// One start counts as no longer than so many times what was predicted.
const ODD: f64 = 8.0;

/// The time from sending to start by the tokens that had to be read until then: a line through what was seen.
#[derive(Clone, Debug)]
pub struct Reading {
    /// Starts, their tokens and microseconds, tokens squared, tokens times microseconds.
    seen: Faded<5>,
    line: Option<(f64, f64)>,
}

impl Reading {
    pub fn new(now: Time) -> Self {
        Reading { seen: Faded::new(now, SPAN), line: None }
    }

    /// A prompt started `took` microseconds after it was sent, `tokens` having been unread with it.
    pub fn started(&mut self, now: Time, tokens: f64, took: Time) {
        if tokens <= 0.0 {
            return;
        }
        let took = (took.max(0) as f64).min(self.line.map_or(f64::MAX, |_| ODD * self.wait(tokens)));
        self.seen.add(now, [1.0, tokens, took, tokens * tokens, tokens * took]);
        let [n, t, d, tt, td] = self.seen.sums(now);
        if n < LEAST || t <= 0.0 {
            return;
        }
        let (mean, time) = (t / n, d / n);
        let (spread, both) = (tt / n - mean * mean, td / n - mean * time);
        // Prompts of one length tell no step from a token, and a step is no less than nothing.
        let slope = if spread > 0.01 * mean * mean { (both / spread).max(0.0) } else { f64::MAX };
        let slope = slope.min(time / mean);
        self.line = Some((time - slope * mean, slope));
    }

    /// Microseconds until so many tokens are read; 0 until that was measured.
    pub fn wait(&self, tokens: f64) -> f64 {
        self.line.map_or(0.0, |(step, each)| step + each * tokens)
    }

    /// Tokens that are read in a time; none until that was measured.
    pub fn tokens(&self, time: Time) -> f64 {
        self.line.map_or(0.0, |(_, each)| if each > 0.0 { time.max(0) as f64 / each } else { f64::MAX })
    }

    /// Microseconds that unread tokens alone keep a prompt waiting.
    pub fn ahead(&self, tokens: f64) -> f64 {
        self.line.map_or(0.0, |(_, each)| each * tokens)
    }
}
