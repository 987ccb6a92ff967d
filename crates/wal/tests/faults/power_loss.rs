//! A loss of power, or the end of the process, at every operation on the disk; each name and unsynced write is kept or lost
//! independently of the others.

use std::path::Path;
use std::sync::Arc;

use crate::disk::{Fault, TestDisk};
use bytes::Bytes;
use rainlug_wal::{CompactionOutcome, DiskSpace, Error, Wal};

type Records = Vec<Bytes>;

/// One step of the script.
#[derive(Clone, Debug)]
enum Step {
    Append(Records),
    Rewrite(Records),
    /// Postponed, or carried out where it is worthwhile.
    Compact(Records, usize),
}

fn records(all: &[&str]) -> Records {
    all.iter().map(|text| Bytes::copy_from_slice(text.as_bytes())).collect()
}

fn open(disk: &TestDisk) -> Result<(Wal<TestDisk>, Records), Error> {
    disk.set_opening(true);
    let opened = Wal::open_with(disk.clone(), Arc::new(DiskSpace::new(1 << 20)), Path::new("/data"), "wal");
    disk.set_opening(false);
    opened
}

fn script() -> Vec<Step> {
    vec![
        Step::Append(records(&["a", "bb"])),
        Step::Append(records(&["ccc"])),
        Step::Rewrite(records(&["abc"])),
        Step::Append(records(&["d", "e"])),
        // Its first record is longer than all that it would replace.
        Step::Compact(records(&["everything so far, told at length", "f"]), 1),
        Step::Append(records(&["g"])),
        Step::Compact(records(&["x", "y"]), 1),
        Step::Append(records(&["h"])),
        Step::Rewrite(records(&[])),
        Step::Append(records(&["i"])),
    ]
}

/// The contents that a log may have if power goes during a step: those before, or up to each record of a batch.
fn during(before: &Records, step: &Step) -> Vec<Records> {
    let appended = |batch: &[Bytes]| -> Vec<Records> {
        (0..=batch.len()).map(|count| [&before[..], &batch[..count]].concat()).collect()
    };
    match step {
        Step::Append(batch) => appended(batch),
        Step::Rewrite(records) => vec![before.clone(), records.clone()],
        Step::Compact(records, implied) => {
            let mut all = appended(&records[*implied..]);
            all.push(records.clone());
            all
        }
    }
}

/// Executes a step; what the log contains after it.
fn execute(wal: &mut Wal<TestDisk>, before: &Records, step: &Step) -> Result<Records, Error> {
    match step {
        Step::Append(batch) => wal.append(batch).map(|()| [&before[..], batch].concat()),
        Step::Rewrite(records) => wal.rewrite(records).map(|()| records.clone()),
        Step::Compact(records, implied) => Ok(match wal.compact(records, *implied)? {
            CompactionOutcome::Rewritten => records.clone(),
            CompactionOutcome::Postponed => [&before[..], &records[*implied..]].concat(),
        }),
    }
}

/// Runs the script until power is lost at an operation. What may be found then; none where the script ended before.
fn run_until_power_loss(disk: &TestDisk, power_loss_at: usize) -> Option<Vec<Records>> {
    disk.lose_power_at(power_loss_at);
    let Ok((mut wal, mut contents)) = open(disk) else { return Some(vec![Vec::new()]) };
    for step in script() {
        match execute(&mut wal, &contents, &step) {
            Ok(after) => contents = after,
            Err(_) => return Some(during(&contents, &step)),
        }
    }
    (disk.operations() > power_loss_at).then(|| vec![contents])
}

/// Opens what is left, and finds one of the allowed contents; then appends, loses power again, and still finds that.
fn check(disk: &TestDisk, allowed: &[Records]) -> Result<(), String> {
    let (mut wal, found) = open(disk).map_err(|e| e.to_string())?;
    if !allowed.contains(&found) {
        return Err(format!("found {found:?}, not one of {allowed:?}"));
    }
    // What was given to the process may have been acted on: it lasts from then on.
    for later in disk.after_power_loss() {
        let again = open(&later).map_err(|e| e.to_string())?.1;
        if again != found {
            return Err(format!("gave {found:?}, and then {again:?}"));
        }
    }
    wal.append(&records(&["next"])).map_err(|e| e.to_string())?;
    let contents = [&found[..], &records(&["next"])].concat();
    for later in disk.after_power_loss() {
        let again = open(&later).map_err(|e| e.to_string())?.1;
        if again != contents {
            return Err(format!("contents {contents:?}, and then {again:?}"));
        }
    }
    Ok(())
}

/// Every operation at which power goes or the process ends, with every outcome: how many were checked, and what went wrong.
fn check_all(fault: Fault) -> (usize, Vec<String>) {
    let (mut checked, mut wrong) = (0, Vec::new());
    for power_loss_at in 0.. {
        let disk = TestDisk::with_fault(fault);
        let Some(allowed) = run_until_power_loss(&disk, power_loss_at) else { break };
        let mut outcomes = disk.after_power_loss();
        outcomes.push(disk.after_kill());
        for outcome in outcomes {
            checked += 1;
            wrong.extend(
                check(&outcome, &allowed).err().map(|e| format!("at operation {power_loss_at}: {e}")),
            );
        }
    }
    (checked, wrong)
}

#[test]
fn given_a_loss_of_power_at_any_operation_then_nothing_acknowledged_is_lost() {
    let (checked, wrong) = check_all(Fault::None);
    assert!(wrong.is_empty(), "{} of {checked}: {}", wrong.len(), wrong[0]);
    assert!(checked > 150, "{checked} outcomes");
}

#[test]
fn given_the_script_then_it_compacts_in_both_ways() {
    let disk = TestDisk::default();
    let (mut wal, mut contents) = open(&disk).unwrap();
    let mut compactions = Vec::new();
    for step in script() {
        if let Step::Compact(records, implied) = &step {
            compactions.push(wal.compact(records, *implied).unwrap());
            contents = open(&disk.after_kill()).unwrap().1;
        } else {
            contents = execute(&mut wal, &contents, &step).unwrap();
        }
    }
    assert_eq!(compactions, [CompactionOutcome::Postponed, CompactionOutcome::Rewritten]);
    assert_eq!(contents, records(&["i"]));
}

#[test]
fn given_a_directory_that_is_not_synced_then_the_checker_finds_it() {
    assert!(!check_all(Fault::NoDirectorySync).1.is_empty());
}

#[test]
fn given_a_file_renamed_before_its_sync_then_the_checker_finds_it() {
    assert!(!check_all(Fault::NoReplacementSync).1.is_empty());
}

#[test]
fn given_records_returned_before_their_sync_then_the_checker_finds_it() {
    assert!(!check_all(Fault::NoSyncOnOpen).1.is_empty());
}
