//! Stored data, pinned: the folders that a store and a gateway of the core keep after a day on which the configuration was changed
//! twice, batch jobs came, a store was retired and a log was rewritten to a snapshot. The same day gives the same files, and
//! processes that start with the committed ones have all that was kept.

mod common;
#[path = "../../../tests/common/fixture.rs"]
mod fixture;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use bytes::Bytes;
use common::{Disk, Fleet, configuration, figure, jobs_of, submit};
use rainlug::{SECOND, Time};
use rainlug_coordinator::{BATCH_SHARDS, CONTROL, Call, Coordinator, shard_of_route};
use rainlug_wal::Wal;

/// Gateways come first; the last store is retired.
const GATEWAYS: usize = 3;
const RETIRED: usize = 6;
const MACHINES: usize = 7;
/// Whose logs are committed: one gateway's for all gateways, and one store's for all stores that stay. A group's members have the
/// same entries, and each store has a seat in each part.
const GATEWAY: usize = 0;
const STORE: usize = 3;
/// The least bytes of entries after which a log may be rewritten.
const LOG_BYTES: usize = 4 << 20;
/// When processes start with what is committed: after all that was stored.
const LATER: Time = 70 * SECOND;
const NEVER: Time = 3_600 * SECOND;
/// The codes of records of a group's log.
const ENTRY: u8 = 2;
const SNAPSHOT: u8 = 5;
/// Batch jobs of one item that were done before the snapshot.
const FILLERS: usize = 80;
/// Three items of 100 tokens each are still to be run.
const TOKENS: f64 = 300.0;

/// The folder of what a machine stores.
fn folder(machine: usize) -> PathBuf {
    fixture::folder().join(format!("machine-{machine}"))
}

/// A batch job with one item that has a body of so many bytes.
fn heavy(id: &str, bytes: usize) -> Call {
    let body = "A".repeat(bytes.div_ceil(3) * 4);
    let json = format!(
        r#"{{"requests":[{{"id":"{id}-0","path":"/l/0","headers":{{}},"body":"{body}","token_count":100}}]}}"#
    );
    Call::Submit { job: id.to_owned(), route: "lots".to_owned(), body: Bytes::from(json) }
}

fn accept(fleet: &mut Fleet, call: Call) {
    let status = fleet.ask(1, call, 4.0).map(|answer| answer.status);
    assert!(matches!(status, Some(200 | 202)), "{status:?}");
}

/// Bytes that the store keeps of the part of the ledger.
fn log_bytes(fleet: &Fleet) -> usize {
    let disk = fleet.machines[STORE].disk.as_ref().expect("a disk");
    disk.synced[&ledger_part()].iter().map(Bytes::len).sum()
}

fn ledger_part() -> u16 {
    shard_of_route("lots")
}

/// Batch jobs come and are done until the log of their part is rewritten to a snapshot: of the last ones there is little.
fn fill_until_a_snapshot(fleet: &mut Fleet, names: &[String]) {
    let mut before = 0;
    for name in names {
        let now = log_bytes(fleet);
        if now < before {
            return;
        }
        before = now;
        let is_near = before + 150_000 > LOG_BYTES;
        accept(fleet, heavy(name, if is_near { 3_000 } else { 90_000 }));
        fleet.pass(0.6);
    }
    panic!("no snapshot: {} bytes", log_bytes(fleet));
}

/// Names of batch jobs by what becomes of them, all in the part of the ledger.
struct Jobs {
    complete: String,
    open: String,
    ended: String,
    fillers: Vec<String>,
}

fn jobs() -> Jobs {
    let mut names = jobs_of(ledger_part(), 200);
    let fillers = names.split_off(3);
    let [complete, open, ended] = names.try_into().expect("three names");
    Jobs { complete, open, ended, fillers }
}

/// The last store is retired, and ends once nothing rests on it.
fn retire_a_store(fleet: &mut Fleet) {
    let store = fleet.machines[RETIRED].name.clone();
    accept(fleet, Call::Retire { store: store.clone() });
    let is_gone = |fleet: &mut Fleet| {
        fleet.pass(0.2);
        let answer = fleet.ask(0, Call::RetirementStatus { store: store.clone() }, 2.0);
        answer.is_some_and(|answer| answer.body == "{\"state\":\"complete\"}")
    };
    assert!((0..100).any(|_| is_gone(fleet)), "it may go");
    fleet.kill(RETIRED, true);
}

/// What the machines store after the day.
fn day() -> Fleet {
    let mut fleet = Fleet::new(GATEWAYS, 0, MACHINES - GATEWAYS, 11);
    fleet.rewrites_put_off = 0.0;
    fleet.disk_bytes = 64 << 20;
    common::settle(&mut fleet);
    accept(&mut fleet, Call::Configure { base: 5, text: configuration(8, "notary") });
    fleet.pass(2.0);
    retire_a_store(&mut fleet);
    let jobs = jobs();
    fill_until_a_snapshot(&mut fleet, &jobs.fillers);
    accept(&mut fleet, submit(&jobs.complete, 2));
    fleet.pass(2.0);
    fleet.run_time = NEVER;
    accept(&mut fleet, submit(&jobs.open, 3));
    accept(&mut fleet, submit(&jobs.ended, 4));
    accept(&mut fleet, Call::End { job: jobs.ended });
    fleet.pass(3.0);
    assert!(fleet.now < LATER);
    fleet
}

fn identity(disk: &Disk) -> Vec<Bytes> {
    vec![Bytes::copy_from_slice(&disk.id.to_le_bytes())]
}

/// The logs that a machine stores, by the names of their files.
fn logs(fleet: &Fleet, machine: usize) -> BTreeMap<String, Vec<Bytes>> {
    let disk = fleet.machines[machine].disk.as_ref().expect("a disk");
    let mut logs = BTreeMap::from([("identity".to_owned(), identity(disk))]);
    if [GATEWAY, STORE].contains(&machine) {
        logs.extend(disk.synced.iter().map(|(shard, records)| (format!("part-{shard}"), records.clone())));
    }
    logs
}

/// Writes logs to the files of an empty folder.
fn write(folder: &Path, logs: &BTreeMap<String, Vec<Bytes>>) {
    let _ = std::fs::remove_dir_all(folder);
    std::fs::create_dir_all(folder).expect("a folder");
    for (name, records) in logs {
        let (mut wal, _) = Wal::open(folder, name).expect("a log");
        wal.append(records).expect("it is kept");
    }
}

fn files(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = std::fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("an entry"));
    entries
        .map(|entry| {
            let name = entry.file_name().into_string().expect("a name");
            (name, std::fs::read(entry.path()).expect("a file"))
        })
        .collect()
}

/// A folder of the build for one machine.
fn scratch(test: &str, machine: usize) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("stored-{test}-{machine}"))
}

/// The records that a committed folder holds, read as a process does: from a copy, for opening may write.
fn committed_logs(test: &str, machine: usize) -> BTreeMap<String, Vec<Bytes>> {
    let copy = scratch(test, machine);
    let _ = std::fs::remove_dir_all(&copy);
    std::fs::create_dir_all(&copy).expect("a folder");
    for (name, bytes) in files(&folder(machine)) {
        std::fs::write(copy.join(name), bytes).expect("a copy");
    }
    let open = |name: String| {
        let (_, records) = Wal::open(&copy, &name).expect("a log");
        (name, records)
    };
    files(&copy).into_keys().map(open).collect()
}

/// A machine's disk by the committed folders.
fn committed_disk(test: &str, machine: usize) -> Disk {
    let own = committed_logs(test, machine);
    let logs = committed_logs(test, if machine < GATEWAYS { GATEWAY } else { STORE });
    let id = u64::from_le_bytes(own["identity"][0][..].try_into().expect("eight bytes"));
    let mut disk = Disk::default();
    disk.id = id;
    for shard in CONTROL..=BATCH_SHARDS {
        if let Some(records) = logs.get(&format!("part-{shard}")) {
            disk.synced.insert(shard, records.clone());
        }
    }
    disk
}

/// All machines but the retired one start with what is committed.
fn started_again(test: &str) -> Fleet {
    let mut fleet = Fleet::new(GATEWAYS, 0, MACHINES - GATEWAYS, 12);
    fleet.disk_bytes = 64 << 20;
    fleet.run_time = NEVER;
    fleet.now = LATER;
    for machine in (0..MACHINES).filter(|machine| *machine != RETIRED) {
        fleet.machines[machine].disk = Some(committed_disk(test, machine));
        fleet.start(machine, false);
    }
    fleet.pass(5.0);
    fleet
}

fn read(fleet: &mut Fleet, job: &str) -> String {
    let answer = fleet.ask(1, Call::Read { job: job.to_owned(), since: 0, wait: 0 }, 4.0).expect("an answer");
    String::from_utf8(answer.body.to_vec()).expect("text")
}

/// The answer to a read of a batch job whose items were all run.
fn complete(job: &str, items: usize) -> String {
    let output = |n| {
        let id = format!("{job}-{n}");
        format!(r#"{{"id":"{id}","state":"complete","prompt":"{id} 1\n{id} 2\n{id} 3"}}"#)
    };
    let outputs: Vec<String> = (0..items).map(output).collect();
    format!(r#"{{"grand_total":{items},"next_token":{items},"outputs":[{}]}}"#, outputs.join(","))
}

/// Name, whether it retires, and parts of each store.
fn stores_with_parts(coordinator: &Coordinator) -> Vec<(String, bool, Vec<u16>)> {
    let stores = coordinator.list_stores().into_iter();
    stores.map(|store| (store.name, store.is_retiring, store.shards)).collect()
}

fn expected_stores() -> Vec<(String, bool, Vec<u16>)> {
    let store = |n: usize| {
        let shards = if n == RETIRED { vec![] } else { (1..=BATCH_SHARDS).collect() };
        (format!("storage-{n}"), n == RETIRED, shards)
    };
    (GATEWAYS..MACHINES).map(store).collect()
}

/// The names of a part's members.
fn group_of(coordinator: &Coordinator, shard: u16) -> Vec<String> {
    let shards = coordinator.list_shards();
    let mut members = shards.into_iter().find(|line| line.number == shard).expect("a part").members;
    members.sort();
    members
}

#[test]
fn given_the_same_day_then_what_machines_store_is_what_is_committed() {
    let fleet = day();
    for machine in (0..MACHINES).filter(|machine| *machine != RETIRED) {
        let (made, committed) = (scratch("day", machine), folder(machine));
        write(&made, &logs(&fleet, machine));
        if fixture::is_writing() {
            write(&committed, &logs(&fleet, machine));
        }
        let (made, committed) = (files(&made), files(&committed));
        assert_eq!(made.keys().collect::<Vec<_>>(), committed.keys().collect::<Vec<_>>(), "of {machine}");
        for (name, bytes) in made {
            assert!(bytes == committed[&name], "{name} of machine {machine} is not the committed one");
        }
    }
}

#[test]
fn given_committed_folders_when_processes_start_with_them_then_configuration_and_members_are_there() {
    let mut fleet = started_again("members");
    let answer = fleet.ask(1, Call::Configuration, 4.0).expect("an answer");
    assert_eq!(answer.body, configuration(8, "notary"));
    for machine in 0..RETIRED {
        let coordinator = fleet.machines[machine].coordinator.as_ref().expect("it runs");
        assert_eq!(coordinator.configuration().map(|c| c.version), Some(8), "at {machine}");
        assert_eq!(stores_with_parts(coordinator), expected_stores(), "at {machine}");
        assert_eq!(group_of(coordinator, CONTROL), ["edge-0", "edge-1", "edge-2"], "at {machine}");
        for shard in 1..=BATCH_SHARDS {
            assert_eq!(group_of(coordinator, shard), ["storage-3", "storage-4", "storage-5"], "at {machine}");
        }
    }
}

#[test]
fn given_the_committed_log_of_a_part_then_a_snapshot_has_entries_behind_it() {
    let logs = committed_logs("log", STORE);
    let log = &logs[&format!("part-{}", ledger_part())];
    let snapshot = log.iter().position(|record| record[0] == SNAPSHOT).expect("a snapshot");
    let entries = log[snapshot..].iter().filter(|record| record[0] == ENTRY).count();
    assert!(entries >= 5, "{entries}: three that submit, two that list");
}

#[test]
fn given_committed_folders_when_processes_start_with_them_then_batch_jobs_and_quota_are_there() {
    let mut fleet = started_again("jobs");
    let jobs = jobs();
    assert_eq!(read(&mut fleet, &jobs.complete), complete(&jobs.complete, 2), "behind the snapshot");
    assert_eq!(read(&mut fleet, &jobs.open), r#"{"grand_total":3,"next_token":0,"outputs":[]}"#);
    assert_eq!(read(&mut fleet, &jobs.ended), r#"{"grand_total":4,"next_token":0,"outputs":[]}"#);
    for (nth, name) in jobs.fillers.iter().enumerate() {
        let expected = if nth < FILLERS { complete(name, 1) } else { String::new() };
        assert_eq!(read(&mut fleet, name), expected, "{nth}: {name}");
    }
    let leader = fleet.leader(ledger_part()).expect("a leader");
    let counted = figure(&fleet, leader, &format!("part_{}_tokens_counted", ledger_part()));
    assert_eq!(counted, Some(TOKENS));
}
