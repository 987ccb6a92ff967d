//! A rate limit for each kind of event: a burst of one kind must not hide the others.

use std::collections::HashMap;
use std::sync::{LazyLock, Mutex};
use std::time::{Duration, Instant};

/// Lines of one kind in one period, at most.
const MAX_LINES: u32 = 20;
const PERIOD: Duration = Duration::from_secs(1);

struct Window {
    began: Instant,
    lines: u32,
    suppressed: u64,
}

static WINDOWS: LazyLock<Mutex<HashMap<&'static str, Window>>> = LazyLock::new(Mutex::default);

/// Where a line of this kind may be written now: how many were suppressed in the period before, `None` where it may not.
pub(super) fn admit(kind: &'static str) -> Option<u64> {
    let now = Instant::now();
    let mut windows = WINDOWS.lock().ok()?;
    let window = windows.entry(kind).or_insert(Window { began: now, lines: 0, suppressed: 0 });
    let mut suppressed = 0;
    if now.duration_since(window.began) >= PERIOD {
        suppressed = std::mem::take(&mut window.suppressed);
        window.began = now;
        window.lines = 0;
    }
    if window.lines == MAX_LINES {
        window.suppressed += 1;
        return None;
    }
    window.lines += 1;
    Some(suppressed)
}
