//! Troubles: which ones are drawn, and how each is carried out and ended.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rainlug_tier::local::MachineRole;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use tokio::time::sleep;

use crate::soak::{Soak, Stage};
use crate::tier::Error;

/// Quiet between two troubles of one row, in seconds.
const BETWEEN: std::ops::Range<f64> = 0.5..5.0;
/// All troubles end in this time once no new ones begin.
const CLOSING: Duration = Duration::from_secs(5);
/// Machines that are stopped and started in turn.
const MOST_ROLLED: usize = 3;
/// A process that is asked to end does so in this time: `grace_s` of its settings.
const GRACE: Duration = Duration::from_secs(6);
const LOOK: Duration = Duration::from_millis(100);
/// A store is lost up to so long after the turn of the order beside it, in milliseconds.
const LOSS_DELAY_MS: std::ops::Range<u64> = 0..600;
const KEEPERS: [MachineRole; 2] = [MachineRole::Gateway, MachineRole::Store];

/// What may befall the tier. Machines are told by their index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Killed at once, and started again after a time.
    Kill {
        machines: Vec<usize>,
        down: Duration,
    },
    /// Killed at once, some of them with their disks wiped.
    Wipe {
        machines: Vec<usize>,
        wiped: Vec<usize>,
        down: Duration,
    },
    /// Asked to end and started again, one after the other.
    Roll {
        machines: Vec<usize>,
        is_hung_up: bool,
    },
    Pause {
        machine: usize,
        paused: Duration,
    },
    Cut {
        from: Vec<usize>,
        to: Vec<usize>,
        is_one_way: bool,
        lasts: Duration,
    },
    Reset,
    /// A worker is killed, and shortly after that all stores but one stand still: runs go on elsewhere while leaders lose their posts.
    CrashThenPause {
        worker: usize,
        paused: Vec<usize>,
        gap: Duration,
        lasts: Duration,
    },
}

fn millis(random: &mut SmallRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}

/// Draws a trouble that may begin now; nothing where the one drawn may not.
fn draw(soak: &Soak, random: &mut SmallRng) -> Option<Trouble> {
    let tier = soak.tier.borrow();
    let is_free = |index: &usize| tier.hosts.get(*index).is_some_and(|host| !host.is_busy);
    let free = |roles: &[MachineRole]| -> Vec<usize> { tier.of(roles).into_iter().filter(is_free).collect() };
    let keepers = tier.of(&KEEPERS);
    let is_all_free = keepers.iter().all(is_free);
    let losses = soak.losses.borrow();
    let is_lost = |index: &usize| losses.counts(&tier.name(*index));
    match random.random_range(0..100) {
        0..18 => {
            let machine = *free(&KEEPERS).choose(random)?;
            Some(Trouble::Kill { machines: vec![machine], down: millis(random, 50..4000) })
        }
        18..24 => {
            let mut machines = free(&KEEPERS);
            machines.shuffle(random);
            machines.truncate(random.random_range(2..=3));
            Some(Trouble::Kill { machines, down: millis(random, 50..3000) })
        }
        24..27 => {
            let worker = *free(&[MachineRole::Worker]).choose(random)?;
            let mut paused = free(&[MachineRole::Store]);
            paused.shuffle(random);
            paused.pop();
            let (gap, lasts) = (millis(random, 30..500), millis(random, 500..1500));
            Some(Trouble::CrashThenPause { worker, paused, gap, lasts })
        }
        27..30 => {
            let machine = *free(&[MachineRole::Worker]).choose(random)?;
            Some(Trouble::Kill { machines: vec![machine], down: millis(random, 50..3000) })
        }
        30..48 => {
            let machine = *free(&KEEPERS).choose(random)?;
            Some(Trouble::Pause { machine, paused: millis(random, 1000..8000) })
        }
        48..62 => {
            let away = tier.away().into_iter().filter(|name| !losses.counts(name)).count();
            if losses.allowed() <= away {
                return None;
            }
            let roles = if random.random_bool(0.75) { [MachineRole::Store; 2] } else { KEEPERS };
            let machine = *free(&roles).choose(random)?;
            let machines = vec![machine];
            Some(Trouble::Wipe { wiped: machines.clone(), machines, down: millis(random, 50..2000) })
        }
        62..65 if is_all_free => Some(Trouble::Kill { machines: keepers, down: millis(random, 50..2000) }),
        65..70 if is_all_free && losses.allowed() > 0 => {
            let roles = if random.random_bool(0.75) { [MachineRole::Store; 2] } else { KEEPERS };
            let mut wiped = tier.of(&roles);
            wiped.retain(|index| !is_lost(index));
            wiped.shuffle(random);
            wiped.truncate(random.random_range(1..=losses.allowed()));
            Some(Trouble::Wipe { machines: keepers, wiped, down: millis(random, 50..2000) })
        }
        82..94 => {
            let mut machines = keepers;
            machines.shuffle(random);
            let side = if random.random_bool(0.6) { 1 } else { random.random_range(1..machines.len()) };
            let to = machines.split_off(side);
            let is_one_way = random.random_bool(0.4);
            let (from, to) = if random.random_bool(0.5) { (machines, to) } else { (to, machines) };
            Some(Trouble::Cut { from, to, is_one_way, lasts: millis(random, 500..8000) })
        }
        94..97 => Some(Trouble::Reset),
        97.. | 70..82 => {
            let mut machines = free(&KEEPERS);
            machines.shuffle(random);
            machines.truncate(random.random_range(1..=MOST_ROLLED));
            Some(Trouble::Roll { machines, is_hung_up: random.random_bool(0.5) })
        }
        _ => None,
    }
}

/// One row of troubles, one after the other, as long as there is load.
pub async fn troubles(soak: Rc<Soak>, task: u64) {
    let mut random = soak.random(task);
    while soak.stage() == Stage::Load {
        sleep(Duration::from_secs_f64(random.random_range(BETWEEN))).await;
        if soak.stage() != Stage::Load {
            return;
        }
        let Some(trouble) = draw(&soak, &mut random) else { continue };
        if let Err(error) = carry_out(&soak, trouble).await {
            soak.flawed(&error.to_string());
        }
    }
}

/// A store is lost beside the order to empty another one, just before it or after it: killed, or wiped where a disk may be lost now.
pub async fn store_loss_beside(soak: &Soak, random: &mut SmallRng, retiring: usize) {
    sleep(millis(random, LOSS_DELAY_MS)).await;
    let stores = soak.tier.borrow().of(&[MachineRole::Store]);
    let is_free = |index: &usize| *index != retiring && !soak.tier.borrow().hosts[*index].is_busy;
    let others: Vec<usize> = stores.into_iter().filter(is_free).collect();
    let Some(&machine) = others.choose(random) else { return };
    let away = soak.tier.borrow().away().len();
    let is_wiped = random.random_bool(0.5) && soak.losses.borrow().allowed() > away;
    let (machines, down) = (vec![machine], millis(random, 50..3000));
    let trouble = if is_wiped {
        Trouble::Wipe { wiped: machines.clone(), machines, down }
    } else {
        Trouble::Kill { machines, down }
    };
    soak.count("trouble: a loss beside a retirement");
    if let Err(error) = carry_out(soak, trouble).await {
        soak.flawed(&error.to_string());
    }
}

/// The closing fault, under load: once all earlier losses had their time, all are killed, and as many disks of stores are wiped as
/// may be lost at once.
///
/// # Errors
/// Where disks or processes cannot be handled.
pub async fn closing_fault(soak: &Soak, random: &mut SmallRng) -> Result<(), Error> {
    let until = soak.now() + CLOSING + Duration::from_secs(soak.options.sync_s);
    while soak.now() < until && !is_calm(soak) {
        sleep(LOOK).await;
    }
    let machines = soak.tier.borrow().of(&KEEPERS);
    let mut wiped = soak.tier.borrow().of(&[MachineRole::Store]);
    wiped.retain(|index| !soak.losses.borrow().counts(&soak.tier.borrow().name(*index)));
    wiped.shuffle(random);
    wiped.truncate(soak.losses.borrow().allowed());
    carry_out(soak, Trouble::Wipe { machines, wiped, down: Duration::ZERO }).await
}

/// Whether no trouble is in force, and no disk counts as lost.
fn is_calm(soak: &Soak) -> bool {
    let is_busy = soak.tier.borrow().hosts.iter().any(|host| host.is_busy);
    !is_busy && soak.tier.borrow().away().is_empty() && soak.losses.borrow().is_empty()
}

/// Waits for a time, or until the load is over.
async fn lasts(soak: &Soak, time: Duration) {
    let until = soak.now() + time;
    while soak.now() < until && soak.stage() == Stage::Load {
        sleep(LOOK.min(until.saturating_sub(soak.now()))).await;
    }
}

fn names(soak: &Soak, machines: &[usize]) -> String {
    let tier = soak.tier.borrow();
    if machines.len() == tier.of(&KEEPERS).len() {
        return "all".to_owned();
    }
    machines.iter().map(|index| tier.name(*index)).collect::<Vec<_>>().join(" ")
}

fn busy(soak: &Soak, machines: &[usize], is_busy: bool) {
    let mut tier = soak.tier.borrow_mut();
    for index in machines {
        if let Some(host) = tier.hosts.get_mut(*index) {
            host.is_busy = is_busy;
        }
    }
}

async fn carry_out(soak: &Soak, trouble: Trouble) -> Result<(), Error> {
    match trouble {
        Trouble::Kill { machines, down } => {
            soak.note(&format!("kill {} for {:.1} s", names(soak, &machines), down.as_secs_f64()));
            soak.count(if machines.len() > 3 { "trouble: all killed" } else { "trouble: killed" });
            kill(soak, &machines, &[], down).await
        }
        Trouble::Wipe { machines, wiped, down } => {
            let (of, disks) = (names(soak, &machines), names(soak, &wiped));
            soak.note(&format!("kill {of} for {:.1} s, wipe {disks}", down.as_secs_f64()));
            soak.count(if machines.len() > 3 { "trouble: all killed, wiped" } else { "trouble: wiped" });
            kill(soak, &machines, &wiped, down).await
        }
        Trouble::Roll { machines, is_hung_up } => {
            soak.note(&format!("stop and start {} in turn", names(soak, &machines)));
            soak.count("trouble: rolled");
            roll(soak, &machines, is_hung_up).await
        }
        Trouble::Pause { machine, paused } => {
            soak.note(&format!("pause {} for {:.1} s", names(soak, &[machine]), paused.as_secs_f64()));
            soak.count("trouble: paused");
            busy(soak, &[machine], true);
            soak.tier.borrow_mut().pause(machine);
            lasts(soak, paused).await;
            soak.tier.borrow_mut().resume(machine);
            busy(soak, &[machine], false);
            Ok(())
        }
        Trouble::Cut { from, to, is_one_way, lasts: time } => {
            let way = if is_one_way { "->" } else { "<->" };
            let sides = (names(soak, &from), names(soak, &to));
            soak.note(&format!("cut {} {way} {} for {:.1} s", sides.0, sides.1, time.as_secs_f64()));
            soak.count(if is_one_way { "trouble: cut one way" } else { "trouble: cut" });
            let number = cut(soak, &from, &to, is_one_way)?;
            lasts(soak, time).await;
            let mut tier = soak.tier.borrow_mut();
            tier.network.heal(number);
            tier.write_faults()
        }
        Trouble::CrashThenPause { worker, paused, gap, lasts: time } => {
            let sides = (names(soak, &[worker]), names(soak, &paused));
            soak.note(&format!("kill {}, then pause {} for {:.1} s", sides.0, sides.1, time.as_secs_f64()));
            soak.count("trouble: a crash, then stores paused");
            let machines: Vec<usize> = paused.iter().copied().chain([worker]).collect();
            busy(soak, &machines, true);
            soak.tier.borrow_mut().kill(worker);
            sleep(gap).await;
            paused.iter().for_each(|index| soak.tier.borrow_mut().pause(*index));
            lasts(soak, time).await;
            paused.iter().for_each(|index| soak.tier.borrow_mut().resume(*index));
            soak.tier.borrow_mut().start(worker)?;
            busy(soak, &machines, false);
            Ok(())
        }
        Trouble::Reset => {
            soak.note("reset all connections");
            soak.count("trouble: reset");
            let mut tier = soak.tier.borrow_mut();
            tier.network.reset();
            tier.write_faults()
        }
    }
}

async fn roll(soak: &Soak, machines: &[usize], is_hung_up: bool) -> Result<(), Error> {
    busy(soak, machines, true);
    for index in machines {
        soak.tier.borrow_mut().terminate(*index, is_hung_up);
        let until = soak.now() + GRACE;
        while soak.now() < until && soak.tier.borrow().is_stopping(*index) {
            sleep(LOOK).await;
        }
        if soak.tier.borrow().is_stopping(*index) {
            let name = soak.tier.borrow().name(*index);
            soak.violated(format!("{name}: has not ended {} s after SIGTERM", GRACE.as_secs()));
            soak.tier.borrow_mut().kill(*index);
        }
        soak.tier.borrow_mut().start(*index)?;
    }
    busy(soak, machines, false);
    Ok(())
}

async fn kill(soak: &Soak, machines: &[usize], wiped: &[usize], down: Duration) -> Result<(), Error> {
    busy(soak, machines, true);
    for index in machines {
        soak.tier.borrow_mut().kill(*index);
    }
    for index in wiped {
        let mut tier = soak.tier.borrow_mut();
        tier.wipe(*index)?;
        soak.losses.borrow_mut().wiped(&tier.name(*index));
    }
    lasts(soak, down).await;
    for index in machines {
        soak.tier.borrow_mut().start(*index)?;
    }
    busy(soak, machines, false);
    Ok(())
}

fn cut(soak: &Soak, from: &[usize], to: &[usize], is_one_way: bool) -> Result<u64, Error> {
    let mut tier = soak.tier.borrow_mut();
    let peers = |indices: &[usize]| -> BTreeSet<SocketAddr> {
        let machine =
            |index: &usize| tier.hosts.get(*index).map(|host| tier.plan.peer_address(&host.machine));
        indices.iter().filter_map(machine).collect()
    };
    let (from, to) = (peers(from), peers(to));
    let number = tier.network.cut(from, to, is_one_way);
    tier.write_faults()?;
    Ok(number)
}
