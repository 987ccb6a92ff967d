//! Makes a failing script small: takes out faults and processes while it still fails.

use crate::script::{Act, Script};

/// A fault with its undoing, by their places in the timeline.
type Unit = Vec<usize>;

/// Whether one act undoes the other.
fn undoes(act: &Act, before: &Act) -> bool {
    match (before, act) {
        (Act::Kill(a) | Act::Terminate(a), Act::Start(b)) => a == b,
        (Act::Stop(a), Act::Continue(b)) => a == b,
        (Act::Lose(a) | Act::Drain(a), Act::Serve(b)) => a == b,
        (Act::List(a), Act::List(b)) => !a && *b,
        _ => false,
    }
}

/// What goes together: a process that is never killed needs no start. A heal is for all that came before, and stands alone.
fn units(script: &Script) -> Vec<Unit> {
    let mut units: Vec<Unit> = Vec::new();
    for (nth, (_, act)) in script.faults.iter().enumerate() {
        let open = |u: &&mut Unit| u.len() == 1 && undoes(act, &script.faults[u[0]].1);
        match units.iter_mut().find(open) {
            Some(unit) => unit.push(nth),
            None => units.push(vec![nth]),
        }
    }
    units
}

fn with(script: &Script, units: &[Unit]) -> Script {
    let mut kept: Vec<usize> = units.iter().flatten().copied().collect();
    kept.sort_unstable();
    let faults = kept.into_iter().map(|n| script.faults[n].clone()).collect();
    Script { faults, ..script.clone() }
}

/// The dispatchers that an act names.
fn named(act: &Act) -> Vec<usize> {
    match act {
        Act::Start(on) | Act::Kill(on) | Act::Terminate(on) | Act::Stop(on) | Act::Continue(on) => on.clone(),
        Act::Restart(on) | Act::Upgrade(on) | Act::Garbage(on, _) | Act::Tremble(on, _) => on.clone(),
        Act::Reload(on, ..) => on.clone(),
        Act::Link { from, to, .. } => [&from[..], to].concat(),
        Act::Split(sides) => sides.concat(),
        Act::Heal | Act::Lose(_) | Act::Serve(_) | Act::Drain(_) | Act::List(_) => Vec::new(),
    }
}

/// The smallest script found that still fails, as `fails` says; it is asked as often as there is something to try.
pub fn shrink(script: &Script, fails: &mut dyn FnMut(&Script) -> bool) -> Script {
    let mut units = units(script);
    // Large pieces first (Zeller's minimising delta debugging), then smaller ones, down to one at a time.
    let mut size = units.len().div_ceil(2).max(1);
    loop {
        let mut from = 0;
        while from < units.len() {
            let rest: Vec<Unit> = units
                .iter()
                .enumerate()
                .filter(|(n, _)| !(from..from + size).contains(n))
                .map(|u| u.1.clone())
                .collect();
            if fails(&with(script, &rest)) {
                units = rest;
            } else {
                from += size;
            }
        }
        if size == 1 {
            break;
        }
        size = size.div_ceil(2);
    }
    let mut found = with(script, &units);
    // Who is not started has no part in it. The first are seeds and voters.
    let voters = script.budgets.as_ref().map_or(1, |b| b.voters);
    for nth in (voters..script.count).rev().filter(|n| !script.later.contains(n)) {
        if found.faults.iter().any(|(_, act)| named(act).contains(&nth)) {
            continue;
        }
        let fewer = Script { later: [&found.later[..], &[nth]].concat(), ..found.clone() };
        if fails(&fewer) {
            found = fewer;
        }
    }
    found
}

#[cfg(test)]
mod tests {
    use super::*;

    const TEXT: &str = "seconds = 60.0\n[processes]\ncount = 6\n[random]\n\
        kinds = [\"kill\", \"stop\", \"split\", \"lose\", \"list\"]\nevery = 1.0\nfrom = 2.0\nto = 50.0\nlasts = 4.0\n";

    fn script(text: &str) -> Script {
        Script::of(text, "s.toml", "s", Some(9)).unwrap()
    }

    #[test]
    fn what_has_no_part_in_the_failure_goes() {
        let all = script(TEXT);
        assert!(all.faults.len() > 40);
        let stops = |s: &Script, n| s.faults.iter().any(|(_, a)| *a == Act::Stop(vec![n]));
        let kills = |s: &Script| s.faults.iter().any(|(_, a)| matches!(a, Act::Kill(_)));
        let (mut asked, one) = (0, (0..6).find(|n| stops(&all, *n)).unwrap());
        let found = shrink(&all, &mut |s| {
            asked += 1;
            stops(s, one) && kills(s)
        });
        // A stop with its end, a kill with its start; and whoever those name still runs.
        assert_eq!(found.faults.len(), 4, "{:?}", found.faults);
        assert!(stops(&found, one) && kills(&found) && !found.later.contains(&one));
        assert!(found.later.len() >= 3, "{:?}", found.later);
        assert!(asked < 2 * all.faults.len(), "{asked}");
    }

    #[test]
    fn what_fails_without_any_fault_is_left_with_none_and_what_never_fails_as_it_was() {
        let all = script(TEXT);
        assert!(shrink(&all, &mut |_| true).faults.is_empty());
        let same = shrink(&all, &mut |_| false);
        assert_eq!((same.faults, same.later), (all.faults, all.later));
    }

    #[test]
    fn a_script_is_read_back_as_it_was_written() {
        for text in [
            format!("{TEXT}[load]\nrate = 3.0\nfront = true\nparts = [1.0, 2.0, 0.5]\n"),
            "seconds = 9.0\nperiod_ms = 300.0\nhold_ms = 7.0\n[processes]\ncount = 4\nlater = [\"d3\"]\nslots = 2\n\
             expiry_ms = 3000\n[link]\nloss = 0.1\n[budgets]\n[[budgets.divided]]\nname = \"b\"\nwhat = \"tasks\"\n\
             workload = \"bid\"\nwhole = 4.0\nreserve = 1.0\nlongest_ms = 3200.0\n[[fault]]\nat = 1.0\n\
             kind = \"link\"\nfrom = [\"d0\"]\nto = [\"d1\"]\ncut = true\n[[fault]]\nat = 2.0\nkind = \"reload\"\n\
             on = [\"d0\"]\nbudget = \"b\"\nwhole = 2.0\n[[fault]]\nat = 3.0\nkind = \"garbage\"\non = [\"d1\"]\n\
             count = 7\n[[fault]]\nat = 4.0\nkind = \"drain\"\nworkers = [\"w1\"]\n[[check]]\nkind = \"never\"\n\
             whom = [\"d1\"]\nstate = \"gone\"\nby = 8.0\n[[check]]\nkind = \"used\"\nbudget = \"b\"\npart = 0.5\n"
                .to_owned(),
        ] {
            let read = script(&text);
            let again = Script::of(&read.text(), "t.toml", "s", None).unwrap();
            assert_eq!(serde_json::to_value(&again).unwrap(), serde_json::to_value(&read).unwrap());
        }
    }
}
