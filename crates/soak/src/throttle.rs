//! A processor share for each gateway and store, as a control group's quota gives it: a process that has used its time in a period
//! is stopped until the next one. What it used beyond its time counts in the next period.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use rainlug_tier::local::MachineRole;
use tokio::time::{Instant, sleep};

use crate::soak::{Soak, Stage};
use crate::tier::Running;

const PERIOD: Duration = Duration::from_millis(100);
const LOOK: Duration = Duration::from_millis(4);

/// Processor time that all threads of a process have used.
fn used(process: u32) -> Option<Duration> {
    let mut nanos = 0;
    for thread in std::fs::read_dir(format!("/proc/{process}/task")).ok()?.flatten() {
        let Ok(text) = std::fs::read_to_string(thread.path().join("schedstat")) else { continue };
        nanos += text.split_whitespace().next().and_then(|figure| figure.parse::<u64>().ok()).unwrap_or(0);
    }
    Some(Duration::from_nanos(nanos))
}

/// Holds all gateways and stores to a share until the run is over.
pub async fn throttles(soak: Rc<Soak>, share: f64) {
    let quota = PERIOD.mul_f64(share);
    // By process: the time up to which it may use the processor in this period.
    let mut allowed: BTreeMap<u32, Duration> = BTreeMap::new();
    let mut period_ends = Instant::now();
    while soak.stage() != Stage::Over {
        let is_new_period = Instant::now() >= period_ends;
        if is_new_period {
            period_ends = Instant::now() + PERIOD;
        }
        for host in &mut soak.tier.borrow_mut().hosts {
            if host.machine.role == MachineRole::Worker
                || !matches!(host.running, Running::Up | Running::Paused)
            {
                continue;
            }
            let Some((process, used)) = host.process().and_then(|id| Some((id, used(id)?))) else { continue };
            let most = allowed.entry(process).or_insert(used + quota);
            if is_new_period {
                *most = (*most + quota).min(used + quota);
            }
            host.throttle(used >= *most);
        }
        sleep(LOOK).await;
    }
}
