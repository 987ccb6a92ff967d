//! A rate limit for each kind of event: a burst of one kind must not hide the others.

use std::collections::HashMap;
use std::sync::{LazyLock, Mutex};
use std::time::{Duration, Instant};

/// Lines of one kind in one period, at most.
const MOST_LINES: u32 = 20;
const PERIOD: Duration = Duration::from_secs(1);

struct Window {
    began: Instant,
    lines: u32,
    left_out: u64,
}

static WINDOWS: LazyLock<Mutex<HashMap<&'static str, Window>>> = LazyLock::new(Mutex::default);

/// Whether a line of this kind may be written now; with how many were left out since the last period.
pub fn admit(kind: &'static str) -> Option<u64> {
    let now = Instant::now();
    let mut windows = WINDOWS.lock().ok()?;
    let window = windows.entry(kind).or_insert(Window { began: now, lines: 0, left_out: 0 });
    let mut left_out = 0;
    if now.duration_since(window.began) >= PERIOD {
        left_out = std::mem::take(&mut window.left_out);
        window.began = now;
        window.lines = 0;
    }
    if window.lines == MOST_LINES {
        window.left_out += 1;
        return None;
    }
    window.lines += 1;
    Some(left_out)
}
