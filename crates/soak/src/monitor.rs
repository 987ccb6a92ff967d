//! Looks at the processes: exits by themselves, peak memory, and figures that count broken invariants.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rainlug_sim_worker::client::{self, Ask};
use rainlug_tier::local::MachineRole;
use rainlug_tier::process_memory::{self, MemoryMetric};
use tokio::time::{Instant, sleep};

use crate::soak::{Soak, Stage};
use crate::tier::{Host, Running};

const LOOK: Duration = Duration::from_millis(100);
const ANSWER: Duration = Duration::from_secs(1);
/// Between two looks at all figures.
const FIGURES: Duration = Duration::from_secs(2);
/// Figures whose names contain this count broken invariants.
const INVARIANTS: &str = "invariant_violations";

/// Notes exits, starts again what has ended, and counts the time that lost disks had to be refilled.
pub async fn processes(soak: Rc<Soak>) {
    let mut shown = 0;
    let mut before = Instant::now();
    let mut over_memory = BTreeSet::new();
    while soak.stage() != Stage::Over {
        sleep(LOOK).await;
        exits(&soak);
        memory(&soak, &mut over_memory);
        if soak.options.kill_over_memory {
            kill_over_memory(&soak);
        }
        let passed = before.elapsed();
        before = Instant::now();
        let away = soak.tier.borrow().away();
        soak.losses.borrow_mut().passed(passed, &away);
        shown = soak.show_violations(shown);
    }
    exits(&soak);
    soak.show_violations(shown);
}

fn exits(soak: &Soak) {
    let ended = soak.tier.borrow_mut().ended();
    for (name, status) in ended {
        soak.violated(format!("{name}: ended by itself ({status})"));
    }
    let mut tier = soak.tier.borrow_mut();
    let gone: Vec<usize> = (0..tier.hosts.len())
        .filter(|index| tier.hosts[*index].running == Running::Gone && !tier.hosts[*index].is_busy)
        .collect();
    for index in gone {
        if let Err(error) = tier.start(index) {
            soak.flawed(&error.to_string());
        }
    }
}

fn memory_kib(process: u32, figure: MemoryMetric) -> Option<u64> {
    process_memory::read_kibibytes(&process.to_string(), figure)
}

fn memory(soak: &Soak, over: &mut BTreeSet<u32>) {
    let limit = u64::from(soak.options.memory_mb) * 1024;
    let mut found = Vec::new();
    for host in &soak.tier.borrow().hosts {
        let Some(process) = host.process() else { continue };
        let Some(peak) = memory_kib(process, MemoryMetric::Peak) else { continue };
        soak.most(format!("peak KiB of a {:?}", host.machine.role), peak);
        if host.machine.role != MachineRole::Worker && peak > limit && over.insert(process) {
            found.push(format!("{}: {peak} KiB of memory, {limit} are its limit", host.machine.name));
        }
    }
    found.into_iter().for_each(|what| soak.violated(what));
}

/// Kills gateways and stores that use more than their memory; [`exits`] starts them again.
fn kill_over_memory(soak: &Soak) {
    let limit = u64::from(soak.options.memory_mb) * 1024;
    let mut tier = soak.tier.borrow_mut();
    for index in tier.of(&[MachineRole::Gateway, MachineRole::Store]) {
        let process =
            tier.hosts.get(index).filter(|host| host.running == Running::Up).and_then(Host::process);
        let used = process.and_then(|process| memory_kib(process, MemoryMetric::Resident));
        if used.is_some_and(|used| used > limit) {
            soak.note(&format!("{}: killed over its memory", tier.name(index)));
            soak.count("killed over memory");
            tier.kill_by_limit(index);
        }
    }
}

/// Reads the figures of all gateways and stores until the run is over.
pub async fn metrics(soak: Rc<Soak>) {
    let mut told = BTreeSet::new();
    while soak.stage() != Stage::Over {
        sleep(FIGURES).await;
        let processes: Vec<(String, u32, SocketAddr)> = {
            let tier = soak.tier.borrow();
            let keepers = tier.hosts.iter().filter(|host| host.machine.role != MachineRole::Worker);
            let up = keepers.filter(|host| host.running == Running::Up);
            up.filter_map(|host| {
                Some((host.machine.name.clone(), host.process()?, tier.plan.control_address(&host.machine)))
            })
            .collect()
        };
        for (name, process, at) in processes {
            let Ok(answer) = client::call(at, Ask::get("/v1/figures"), ANSWER).await else { continue };
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            soak.count("figures read");
            for (figure, value) in text.lines().filter_map(|line| line.split_once(' ')) {
                if figure.contains(INVARIANTS)
                    && value.parse::<f64>().is_ok_and(|count| count > 0.0)
                    && told.insert((process, figure.to_owned()))
                {
                    soak.violated(format!("{name}: {figure} {value}"));
                }
            }
        }
    }
}
