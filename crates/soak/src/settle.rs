//! The end of a run: troubles are over, all parts must serve again in time, all jobs must come to their end, and all that was accepted
//! is read once more, in bounded time and well before the tier may forget it.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use rainlug_sim_worker::client::Ask;
use rainlug_tier::local::MachineRole;
use rand::rngs::SmallRng;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::applications::read_back;
use crate::client::{HOSTS, host_of, read};
use crate::run::status;
use crate::soak::Soak;

/// All parts must serve in this time beyond that of a refill, once troubles have ended.
const RECOVERY: Duration = Duration::from_secs(10);
/// After all troubles, the tier has this time beyond that of its youngest items to finish all.
const FINISHES: Duration = Duration::from_secs(25);
/// All accepted lots are read once more in this time.
const READ_ALL: Duration = Duration::from_secs(30);
/// Lots that are read at once at the end.
const READERS: u64 = 8;
/// First number of these readers' tasks.
const CLOSING_READERS: u64 = 5000;
/// A lot is tried for so long before it counts as one that cannot be read.
const PATIENCE: Duration = Duration::from_secs(10);
const RETRY: Duration = Duration::from_millis(200);
/// Ids that nobody sends, asked for on each route: jobs are in parts by the hash of their id, so that these are in all four.
const PROBES: u32 = 24;

/// The end of a run takes no longer than this.
pub fn longest(retain: Duration) -> Duration {
    retain + FINISHES + READ_ALL + PATIENCE
}

/// Reads that show whether a part serves: the host and the path of each. The answer is 404 where it does.
pub fn probes() -> Vec<(&'static str, String)> {
    let of_host = |host| (0..PROBES).map(move |n| (host, format!("/v1/lots/none-{n}")));
    HOSTS.into_iter().flat_map(of_host).collect()
}

/// Ends all troubles, waits until all lots are finished, and reads them all; whether all were tried. What is to be read is what could
/// be read when that began: a lot that the tier does not serve any more must not pass because its time is over meanwhile.
pub async fn settle(soak: &Rc<Soak>) -> bool {
    let begun = soak.now();
    let retain = Duration::from_secs(soak.options.retain_s);
    let ids: Vec<String> = soak.checker.borrow().readable(begun).into_iter().map(str::to_owned).collect();
    count_owed(soak, &ids, begun + longest(retain));
    heal(soak);
    let mut random = soak.random(1);
    serves_again(soak, &mut random).await;
    read_back(soak, &mut random).await;
    finishes(soak, &mut random, &ids, begun + retain + FINISHES).await;
    soak.note("all is read once more");
    read_all(soak, ids).await
}

/// Counts the lots that must be there until the end of the reading, whatever it takes; a run without any shows little.
fn count_owed(soak: &Soak, ids: &[String], ends: Duration) {
    let owed = ids.iter().filter(|id| soak.checker.borrow().is_owed(ends, id)).count();
    soak.most("lots kept beyond the reading", owed as u64);
    soak.most("lots read at the end", ids.len() as u64);
    for host in HOSTS {
        if !ids.iter().any(|id| host_of(id) == host) {
            soak.flawed(&format!("{host}: no job was accepted that is still kept when the load ends"));
        }
    }
}

/// Waits until each part serves on each route; that must be within the time of a recovery and of a refill. What is not served then is
/// told once for each route.
async fn serves_again(soak: &Soak, random: &mut SmallRng) {
    let begun = soak.now();
    let until = begun + RECOVERY + Duration::from_secs(soak.options.sync_s);
    let mut told = "";
    for (host, path) in probes() {
        if host == told {
            continue;
        }
        let fields = [("Host", host)];
        let ask = Ask { method: "GET", path: &path, fields: &fields, body: b"" };
        let mut answer = status(soak.any_front(random), ask).await;
        while answer != Some(404) && soak.now() < until {
            sleep(RETRY).await;
            heal(soak);
            answer = status(soak.any_front(random), ask).await;
        }
        if answer != Some(404) {
            let waited = (soak.now() - begun).as_secs_f64();
            soak.violated(format!("{host}{path}: not served {waited:.1} s after troubles ended: {answer:?}"));
            told = host;
        }
    }
    let millis = u64::try_from((soak.now() - begun).as_millis()).unwrap_or(u64::MAX);
    soak.most("ms until all parts served after the closing fault", millis);
}

/// Reads what is unfinished until nothing is, or the time is over. Troubles in hand end by themselves, and what they left is healed.
async fn finishes(soak: &Soak, random: &mut SmallRng, ids: &[String], until: Duration) {
    while soak.now() < until {
        sleep(RETRY).await;
        heal(soak);
        let unfinished: Vec<&String> =
            ids.iter().filter(|id| !soak.checker.borrow().is_finished(id)).collect();
        if unfinished.is_empty() {
            break;
        }
        for id in unfinished {
            let known = soak.checker.borrow().known(id);
            if soak.now() < until {
                read(soak, soak.any_front(random), id, known, "0").await;
            }
        }
    }
}

/// Reads all of these lots from their beginning, the oldest first; each must be there, with all its results. Whether all were tried.
async fn read_all(soak: &Rc<Soak>, ids: Vec<String>) -> bool {
    let until = soak.now() + READ_ALL;
    let left = Rc::new(RefCell::new(VecDeque::from(ids)));
    let unread = Rc::new(Cell::new(0));
    let reader = |task| {
        let (soak, left, unread) = (soak.clone(), left.clone(), unread.clone());
        spawn_local(async move {
            let mut random = soak.random(CLOSING_READERS + task);
            loop {
                let Some(id) = left.borrow_mut().pop_front() else { break };
                if soak.now() < until {
                    read_last(&soak, &mut random, &id).await;
                } else {
                    unread.update(|count| count + 1);
                }
            }
        })
    };
    let mut is_whole = true;
    for task in (0..READERS).map(reader).collect::<Vec<_>>() {
        is_whole &= task.await.is_ok();
    }
    if unread.get() > 0 {
        soak.note(&format!("{} lots were not tried in {} s", unread.get(), READ_ALL.as_secs()));
    }
    soak.most("lots not tried at the end", unread.get());
    is_whole && unread.get() == 0
}

/// Reads one lot for the last time, and judges the answer.
async fn read_last(soak: &Soak, random: &mut SmallRng, id: &str) {
    let status = read_patiently(soak, random, id, soak.now() + PATIENCE).await;
    let is_finished = soak.checker.borrow().is_finished(id);
    match status {
        Some(200) if !is_finished => {
            let known = soak.checker.borrow().known(id);
            soak.violated(format!("lot {id}: accepted, and not finished at the end: {known} results"));
        }
        // Where it is not found, its time is over, or the checker has said so.
        Some(200 | 404) => {}
        _ => soak.violated(format!("lot {id}: accepted, and cannot be read at the end")),
    }
}

/// Reads a lot until there is a page or it is not found, or the time is over.
async fn read_patiently(soak: &Soak, random: &mut SmallRng, id: &str, until: Duration) -> Option<u16> {
    loop {
        let status = read(soak, soak.any_front(random), id, 0, "0").await;
        if matches!(status, Some(200 | 404)) || soak.now() >= until {
            return status;
        }
        sleep(RETRY).await;
    }
}

/// Ends cuts and pauses, and starts what is down and in no trouble's hand.
fn heal(soak: &Soak) {
    let mut tier = soak.tier.borrow_mut();
    tier.network.heal_all();
    let mut failed = tier.write_faults().err();
    for index in tier.of(&[MachineRole::Gateway, MachineRole::Store, MachineRole::Worker]) {
        tier.resume(index);
        if !tier.hosts[index].is_busy {
            failed = failed.or(tier.start(index).err());
        }
    }
    drop(tier);
    if let Some(error) = failed {
        soak.flawed(&error.to_string());
    }
}
