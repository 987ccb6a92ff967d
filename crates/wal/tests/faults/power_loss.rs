//! Power goes, or the process ends, at every operation on the disk; names and unsynced writes are kept or lost independently.

use std::path::Path;
use std::sync::Arc;

use crate::files::{Fault, TestFiles};
use bytes::Bytes;
use rainlug_wal::{CompactionOutcome, DiskSpace, Error, Wal};

type Records = Vec<Bytes>;

/// One step of a log's life.
#[derive(Clone, Debug)]
enum Step {
    Append(Records),
    Rewrite(Records),
    /// Put off, or made where it pays.
    Compact(Records, usize),
}

fn texts(all: &[&str]) -> Records {
    all.iter().map(|text| Bytes::copy_from_slice(text.as_bytes())).collect()
}

fn open(files: &TestFiles) -> Result<(Wal<TestFiles>, Records), Error> {
    files.set_opening(true);
    let opened = Wal::open_with(files.clone(), Arc::new(DiskSpace::new(1 << 20)), Path::new("/data"), "wal");
    files.set_opening(false);
    opened
}

fn script() -> Vec<Step> {
    vec![
        Step::Append(texts(&["a", "bb"])),
        Step::Append(texts(&["ccc"])),
        Step::Rewrite(texts(&["abc"])),
        Step::Append(texts(&["d", "e"])),
        // Its first record is longer than all that it would replace.
        Step::Compact(texts(&["everything so far, told at length", "f"]), 1),
        Step::Append(texts(&["g"])),
        Step::Compact(texts(&["x", "y"]), 1),
        Step::Append(texts(&["h"])),
        Step::Rewrite(texts(&[])),
        Step::Append(texts(&["i"])),
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

/// Carries a step out; what the log holds after it.
fn carry_out(wal: &mut Wal<TestFiles>, before: &Records, step: &Step) -> Result<Records, Error> {
    match step {
        Step::Append(batch) => wal.append(batch).map(|()| [&before[..], batch].concat()),
        Step::Rewrite(records) => wal.rewrite(records).map(|()| records.clone()),
        Step::Compact(records, implied) => Ok(match wal.compact(records, *implied)? {
            CompactionOutcome::Rewritten => records.clone(),
            CompactionOutcome::Postponed => [&before[..], &records[*implied..]].concat(),
        }),
    }
}

/// Lives until power goes at an operation. What may be found then; nothing where power outlasted the script.
fn live(files: &TestFiles, dies_at: usize) -> Option<Vec<Records>> {
    files.die_at(dies_at);
    let Ok((mut wal, mut held)) = open(files) else { return Some(vec![Vec::new()]) };
    for step in script() {
        match carry_out(&mut wal, &held, &step) {
            Ok(after) => held = after,
            Err(_) => return Some(during(&held, &step)),
        }
    }
    (files.operations() > dies_at).then(|| vec![held])
}

/// Opens what is left, and finds one of the allowed contents; then appends, loses power again, and still finds that.
fn check(files: &TestFiles, allowed: &[Records]) -> Result<(), String> {
    let (mut wal, found) = open(files).map_err(|e| e.to_string())?;
    if !allowed.contains(&found) {
        return Err(format!("found {found:?}, not one of {allowed:?}"));
    }
    // What was given to the process may have been acted on: it lasts from then on.
    for later in files.after_power_loss() {
        let again = open(&later).map_err(|e| e.to_string())?.1;
        if again != found {
            return Err(format!("gave {found:?}, and then {again:?}"));
        }
    }
    wal.append(&texts(&["next"])).map_err(|e| e.to_string())?;
    let held = [&found[..], &texts(&["next"])].concat();
    for later in files.after_power_loss() {
        let again = open(&later).map_err(|e| e.to_string())?.1;
        if again != held {
            return Err(format!("held {held:?}, and then {again:?}"));
        }
    }
    Ok(())
}

/// Every operation at which power goes or the process ends, with every outcome: how many were checked, and what went wrong.
fn check_all(fault: Fault) -> (usize, Vec<String>) {
    let (mut checked, mut wrong) = (0, Vec::new());
    for dies_at in 0.. {
        let files = TestFiles::with_fault(fault);
        let Some(allowed) = live(&files, dies_at) else { break };
        let mut outcomes = files.after_power_loss();
        outcomes.push(files.after_kill());
        for outcome in outcomes {
            checked += 1;
            wrong.extend(check(&outcome, &allowed).err().map(|e| format!("at operation {dies_at}: {e}")));
        }
    }
    (checked, wrong)
}

#[test]
fn nothing_acknowledged_is_lost_wherever_power_goes() {
    let (checked, wrong) = check_all(Fault::None);
    assert!(wrong.is_empty(), "{} of {checked}: {}", wrong.len(), wrong[0]);
    assert!(checked > 150, "{checked} outcomes");
}

#[test]
fn the_script_compacts_in_both_ways() {
    let files = TestFiles::default();
    let (mut wal, mut held) = open(&files).unwrap();
    let mut compactions = Vec::new();
    for step in script() {
        if let Step::Compact(records, implied) = &step {
            compactions.push(wal.compact(records, *implied).unwrap());
            held = open(&files.after_kill()).unwrap().1;
        } else {
            held = carry_out(&mut wal, &held, &step).unwrap();
        }
    }
    assert_eq!(compactions, [CompactionOutcome::Postponed, CompactionOutcome::Rewritten]);
    assert_eq!(held, texts(&["i"]));
}

#[test]
fn the_checker_finds_a_folder_that_is_not_synced() {
    assert!(!check_all(Fault::NoFolderSync).1.is_empty());
}

#[test]
fn the_checker_finds_a_file_renamed_before_its_sync() {
    assert!(!check_all(Fault::NoFreshSync).1.is_empty());
}

#[test]
fn the_checker_finds_records_given_before_their_sync() {
    assert!(!check_all(Fault::NoSyncOnOpen).1.is_empty());
}
