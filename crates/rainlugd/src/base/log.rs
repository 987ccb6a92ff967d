//! The log: lines on standard error, so many a second from each place in the code. And the trace, which is off unless
//! asked for: a line for each event, not cut, for counting what many dispatchers did together (docs/on-call.md).

use std::fmt;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

use rainlug::Time;

/// Lines that one place may write in a second.
const MOST: u32 = 5;

/// Counts the lines of one place in the code.
pub struct Gate(Mutex<Option<(Instant, u32)>>);

impl Gate {
    pub const fn new() -> Self {
        Gate(Mutex::new(None))
    }

    /// Whether a line may go out now, and then how many before it could not.
    pub fn pass(&self) -> Option<u32> {
        let mut second = self.0.lock().ok()?;
        let (began, lines) = second.get_or_insert_with(|| (Instant::now(), 0));
        *lines += 1;
        if began.elapsed() >= Duration::from_secs(1) {
            let missed = (*lines - 1).saturating_sub(MOST);
            (*began, *lines) = (Instant::now(), 1);
            return Some(missed);
        }
        (*lines <= MOST).then_some(0)
    }
}

/// Writes a line to standard error. A log that nobody reads any more must not end whoever writes to it, as `eprintln`
/// does where standard error is broken.
pub fn line(words: fmt::Arguments) {
    let _ = catch_unwind(AssertUnwindSafe(|| eprintln!("{words}")));
}

/// Writes a line to standard error, unless this place has written too many of late.
macro_rules! log {
    ($($words:tt)*) => {{
        static GATE: $crate::base::log::Gate = $crate::base::log::Gate::new();
        match GATE.pass() {
            Some(0) => $crate::base::log::line(format_args!($($words)*)),
            Some(missed) => {
                $crate::base::log::line(format_args!("{} ({missed} more like it)", format_args!($($words)*)))
            }
            None => {}
        }
    }};
}

/// Whether every event is written: where `RAINLUG_TRACE` is set.
pub fn traced() -> bool {
    static ON: OnceLock<bool> = OnceLock::new();
    *ON.get_or_init(|| std::env::var_os("RAINLUG_TRACE").is_some())
}

/// Writes an event with its time.
pub fn event(now: Time, words: fmt::Arguments) {
    line(format_args!("@{now} {words}"));
}

/// Writes an event at a time, if events are to be written.
macro_rules! trace {
    ($now:expr, $($words:tt)*) => {
        if $crate::base::log::traced() {
            $crate::base::log::event($now, format_args!($($words)*));
        }
    };
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_is_cut_and_counted() {
        let gate = Gate::new();
        assert_eq!((0..100).filter(|_| gate.pass().is_some()).count(), MOST as usize);
        gate.0.lock().unwrap().as_mut().unwrap().0 -= Duration::from_secs(1);
        assert_eq!(gate.pass(), Some(100 - MOST));
    }
}
