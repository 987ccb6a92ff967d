//! The scripts of `deploy/rig` with processes of the built program, and the rig's own word on what is wrong.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::{Condvar, LazyLock, Mutex};

const RIG: &str = env!("CARGO_BIN_EXE_rainlug-rig");

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The dispatcher as it is built now, with or without what breaks it on purpose. Both are built before the first rig runs: what
/// is measured is not a machine that compiles.
fn built(broken: bool) -> PathBuf {
    static BUILT: LazyLock<[PathBuf; 2]> = LazyLock::new(|| [false, true].map(build));
    BUILT[usize::from(broken)].clone()
}

fn build(broken: bool) -> PathBuf {
    let target = Path::new(RIG).parent().unwrap().join(if broken { "broken" } else { "whole" });
    let mut build = Command::new(env!("CARGO"));
    build
        .current_dir(root())
        .args(["build", "--locked", "--quiet", "-p", "rainlugd", "--target-dir"])
        .arg(&target);
    if broken {
        build.args(["--features", "broken"]);
    }
    assert!(build.status().unwrap().success());
    target.join("debug/rainlugd")
}

/// So many rigs run at once for each four cores: more would starve one another, and what is measured is not that.
const AT_ONCE: usize = 3;
static RUNNING: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

fn rig(script: &Path, out: &Path, program: &Path) -> Output {
    called(&["run"], script, out, program)
}

fn called(what: &[&str], script: &Path, out: &Path, program: &Path) -> Output {
    let cores = std::thread::available_parallelism().map_or(4, usize::from);
    let full = |running: &mut usize| *running >= AT_ONCE * cores.max(4) / 4;
    *RUNNING.1.wait_while(RUNNING.0.lock().unwrap(), full).unwrap() += 1;
    let mut run = Command::new(RIG);
    run.args(what).arg(script).arg("--out").arg(out).arg("--program").arg(program);
    let done = run.output().unwrap();
    *RUNNING.0.lock().unwrap() -= 1;
    RUNNING.1.notify_one();
    done
}

fn holds(script: &str) {
    let out = tempfile::tempdir().unwrap();
    let run = rig(&root().join("deploy/rig").join(script), out.path(), &built(false));
    let said = String::from_utf8_lossy(&run.stdout).into_owned();
    let report = fs::read_to_string(out.path().join("report.md")).unwrap_or_default();
    assert!(run.status.success(), "{said}\n{}\n{report}", String::from_utf8_lossy(&run.stderr));
    for file in ["views.csv", "views.svg", "record.json"] {
        assert!(out.path().join(file).exists(), "{file}");
    }
}

#[test]
fn members_come_die_come_back_and_leave() {
    holds("members.toml");
}

#[test]
fn halves_and_bridges() {
    holds("partition.toml");
}

#[test]
fn stopped_flooded_disordered_and_upgraded() {
    holds("stopped.toml");
}

#[test]
fn upgraded_one_after_another_over_bad_ways() {
    holds("upgrades.toml");
}

#[test]
fn budgets_are_kept_through_deaths_partitions_stops_and_an_upgrade() {
    holds("budgets.toml");
}

#[test]
fn budgets_are_kept_through_common_starts_reloads_and_other_rosters() {
    holds("budgets-told.toml");
}

/// Where what the dead began is not waited out, the workers see more than the whole.
#[test]
fn a_whole_that_is_gone_over_is_found_at_the_workers() {
    let program = built(true);
    let goes = |part: &str, code: i32| {
        let folder = tempfile::tempdir().unwrap();
        let script = folder.path().join("over.toml");
        let head = format!(
            "seconds = 12.0\n[processes]\ncount = 3\nwork_ms = 1400\nexpiry_ms = 2000\nbroken = \"{part}\"\n\
             [load]\nrate = 20.0\nbudget_ms = 2000\nparts = [0.0, 1.0]\nretries = 0\n[budgets]\n[[budgets.divided]]\n\
             name = \"ledger\"\nwhat = \"tasks\"\nworkload = \"bid\"\nwhole = 9.0\nreserve = 9.0\nlongest_ms = 2200.0\n"
        );
        let restart =
            |at: f64| format!("[[fault]]\nat = {at:.1}\nkind = \"restart\"\non = [\"d0\", \"d1\", \"d2\"]\n");
        fs::write(&script, head + &restart(5.0) + &restart(8.0)).unwrap();
        let run = rig(&script, &folder.path().join("out"), &program);
        let said = String::from_utf8_lossy(&run.stdout).into_owned();
        assert_eq!(run.status.code(), Some(code), "{part}: {said}");
        assert!(code == 0 || said.contains("never over the whole of ledger: over by"), "{said}");
    };
    std::thread::scope(|scope| {
        scope.spawn(|| goes("", 0));
        scope.spawn(|| goes("dead-expire", 1));
    });
}

/// The checks are worth something only if they fail where the view is broken.
#[test]
fn broken_builds_are_found() {
    let program = built(true);
    let breaks = |part: &str, faults: &str, words: &str| {
        let folder = tempfile::tempdir().unwrap();
        let script = folder.path().join("broken.toml");
        let head =
            format!("seconds = 20.0\nperiod_ms = 100.0\n[processes]\ncount = 3\nbroken = \"{part}\"\n");
        fs::write(&script, head + faults).unwrap();
        let run = rig(&script, &folder.path().join("out"), &program);
        let said = String::from_utf8_lossy(&run.stdout).into_owned();
        let whole = part.is_empty();
        assert_eq!(run.status.code(), Some(i32::from(!whole)), "{part}: {said}");
        assert!(said.contains(words), "{part}: {said}");
    };
    let stop = "[[fault]]\nat = 2.0\nkind = \"stop\"\non = [\"d2\"]\n[[fault]]\nat = 9.0\nkind = \"continue\"\non = [\"d2\"]\n\
                [[check]]\nkind = \"agree\"\nfrom = 14.0\nby = 20.0\n";
    // The seeds are all of them, so who is gone would be found by them: the cut is what is left to the retries.
    let split = "[[fault]]\nat = 2.0\nkind = \"kill\"\non = [\"d0\"]\n[[fault]]\nat = 2.0\nkind = \"split\"\n\
                 sides = [[\"d1\"], [\"d2\"]]\n[[fault]]\nat = 9.0\nkind = \"heal\"\n\
                 [[check]]\nkind = \"agree\"\nfrom = 10.0\nby = 20.0\n";
    std::thread::scope(|scope| {
        scope.spawn(|| breaks("", stop, "checks held"));
        scope.spawn(|| breaks("refutes", stop, "failed at 20.0 s: agree from 14 by 20: at odds"));
        scope.spawn(|| breaks("", split, "checks held"));
        scope.spawn(|| breaks("retries", split, "failed at 20.0 s: agree from 10 by 20: at odds"));
    });
}

/// Each of the four rules is found broken at the workers and the clients where a dispatcher breaks it, and by no other.
#[test]
fn broken_rules_are_found_at_workers_and_clients() {
    let program = built(true);
    let breaks = |part: &str, words: &str| {
        let folder = tempfile::tempdir().unwrap();
        let script = folder.path().join("rules.toml");
        let text = format!(
            "seconds = 14.0\n[processes]\ncount = 3\nworkers = 3\nzones = [\"one\"]\nwork_ms = 300\nexpiry_ms = 2000\n\
             broken = \"{part}\"\n[load]\nrate = 20.0\nfront = true\nbudget_ms = 2000\nparts = [2.0, 1.0, 1.0]\n\
             [[fault]]\nat = 3.0\nkind = \"lose\"\nworkers = [\"w0\"]\n[[fault]]\nat = 4.0\nkind = \"serve\"\n\
             workers = [\"w0\"]\n[[fault]]\nat = 4.0\nkind = \"drain\"\nworkers = [\"w1\"]\n"
        );
        fs::write(&script, text).unwrap();
        let run = rig(&script, &folder.path().join("out"), &program);
        let said = String::from_utf8_lossy(&run.stdout).into_owned();
        assert_eq!(run.status.code(), Some(i32::from(!part.is_empty())), "{part}: {said}");
        assert!(said.contains(words), "{part}: {said}");
    };
    std::thread::scope(|scope| {
        scope.spawn(|| breaks("", "checks held"));
        scope.spawn(|| breaks("answers", "each task answered before its expiry: a "));
        scope.spawn(|| breaks("told-repeatable", "nothing takes effect twice: "));
        scope.spawn(|| breaks("drains", "drains are kept: a "));
        scope.spawn(|| breaks("told-warm", "cold workers are not pushed over: "));
    });
}

#[test]
fn a_trial_compares_its_arms_and_a_failing_script_is_made_small() {
    let folder = tempfile::tempdir().unwrap();
    let script = folder.path().join("small.toml");
    let text = |broken: &str| {
        format!(
            "seconds = 8.0\nperiod_ms = 100.0\n[processes]\ncount = 3\nbroken = \"{broken}\"\nexpiry_ms = 1000\n[load]\n\
             rate = 10.0\nfront = true\nbudget_ms = 1000\n[[fault]]\nat = 2.0\nkind = \"stop\"\non = [\"d2\"]\n[[fault]]\n\
             at = 3.0\nkind = \"continue\"\non = [\"d2\"]\n[[fault]]\nat = 3.5\nkind = \"lose\"\nworkers = [\"w1\"]\n\
             [[fault]]\nat = 4.5\nkind = \"serve\"\nworkers = [\"w1\"]\n"
        )
    };
    let rigs = |of: &[&str], program: &Path| {
        let out = folder.path().join(of[0]);
        let done = called(of, &script, &out, program);
        (done.status.code(), String::from_utf8_lossy(&done.stdout).into_owned(), out)
    };
    fs::write(&script, text("")).unwrap();
    let (code, said, out) = rigs(&["trial", "--seeds", "1..1"], &built(false));
    assert_eq!(code, Some(0), "{said}");
    for arm in ["as written", "no fault", "no view, no budgets"] {
        assert!(said.contains(&format!("| small | {arm} | 1 |")), "{arm}: {said}");
    }
    assert_eq!(fs::read_to_string(out.join("trial.csv")).unwrap().lines().count(), 4);
    assert!(out.join("small.svg").exists());
    // What is kept is not played again: there is no such program.
    let again = called(&["trial", "--seeds", "1..1", "--kept"], &script, &out, Path::new("/nowhere"));
    assert_eq!(String::from_utf8_lossy(&again.stdout), said);
    fs::write(&script, text("answers").replace("seconds = 8.0", "seconds = 5.0")).unwrap();
    let (code, said, out) = rigs(&["shrink", "--tries", "1"], &built(true));
    assert!(code == Some(1) && said.contains("small: 0 of 4 faults are left"), "{said}");
    let left = fs::read_to_string(out).unwrap();
    assert!(left.contains("broken = \"answers\"") && !left.contains("[[fault]]"), "{left}");
}

/// More tasks a second than one thread can send: no play keeps its schedule, and the rig neither judges one nor hides one.
#[test]
fn plays_off_schedule_are_played_again_set_aside_and_at_last_marked() {
    let folder = tempfile::tempdir().unwrap();
    let (script, out) = (folder.path().join("rushed.toml"), folder.path().join("out"));
    let text = "seconds = 2.0\n[processes]\ncount = 3\nexpiry_ms = 1000\n[load]\nrate = 4000.0\nfront = true\nbudget_ms = 1000\n";
    fs::write(&script, text).unwrap();
    let run = called(&["trial", "--seeds", "1..1", "--again", "1"], &script, &out, &built(false));
    let said = String::from_utf8_lossy(&run.stdout).into_owned();
    assert_eq!(run.status.code(), Some(3), "{said}");
    assert!(said.contains("| rushed | as written | 1, 1 off schedule |"), "{said}");
    assert!(said.contains("played again: 3 plays did not keep their schedule, and are set aside"), "{said}");
    for arm in ["whole", "calm", "apart"] {
        let aside = |nth: usize| out.join("rushed").join(format!("1-{arm}.off-schedule-{nth}"));
        assert!(aside(1).join("record.json").exists() && !aside(2).exists(), "{arm}");
    }
    let again = called(&["trial", "--seeds", "1..1", "--kept"], &script, &out, Path::new("/nowhere"));
    assert_eq!(String::from_utf8_lossy(&again.stdout), said);
}

#[test]
fn a_wrong_script_starts_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let script = folder.path().join("wrong.toml");
    let out = folder.path().join("out");
    for (text, words) in [
        ("seconds = 5.0\n[processes]\ncount = 3\nsize = 1\n", "line 4: unknown field `size`"),
        (
            "seconds = 5.0\n[processes]\ncount = 3\n[[fault]]\nat = 9.0\nkind = \"heal\"\n",
            "line 5: fault.at is 9, and the run ends at 5",
        ),
        ("seconds = ", "line 1: "),
    ] {
        fs::write(&script, text).unwrap();
        let run = rig(&script, &out, Path::new("/nowhere"));
        let said = String::from_utf8_lossy(&run.stderr).into_owned();
        assert_eq!(run.status.code(), Some(2));
        assert!(
            said.contains("wrong.toml, ") && said.contains(words) && said.trim().lines().count() == 1,
            "{said}"
        );
        assert!(!out.exists());
    }
    let absent = rig(&folder.path().join("none.toml"), &out, Path::new("/nowhere"));
    assert_eq!(absent.status.code(), Some(2));
}
