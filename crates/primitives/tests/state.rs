//! The state machine of locks, numbers and keys: what commands do, and states that are stored and restored.

use bytes::Bytes;
use proptest::prelude::*;
use rainlug::{SECOND, Time};
use rainlug_primitives::{
    Availability, Command, EntryTime, MAX_REMEMBERED_PUTS, Outcome, Primitives, Put, PutOutcome, Version,
    WatchRead, answer, group_of,
};

const HISTORY: Time = 20 * SECOND;

/// A state machine with its log, whose clock the test moves.
#[derive(Default)]
struct Replica {
    state: Primitives,
    index: u64,
    now: Time,
}

impl Replica {
    fn apply(&mut self, command: &Command) -> Outcome {
        self.index += 1;
        let at = EntryTime { index: self.index, now: self.now };
        self.state.apply(command, at).expect("valid names")
    }

    fn put(&mut self, key: &str, value: &str, expected: Option<u64>) -> PutOutcome {
        let command = Command::Put {
            key: key.into(),
            value: value.into(),
            is_conditional: u8::from(expected.is_some()),
            expected_revision: expected.unwrap_or(0),
        };
        match self.apply(&command) {
            Outcome::Put(outcome) => outcome,
            other => panic!("{other:?}"),
        }
    }
}

fn acquire(holder: &str, hold_ms: u32, expired_entry: u64) -> Command {
    Command::Acquire { lock: "l".into(), holder: holder.into(), hold_ms, expired_entry }
}

fn renew(holder: &str, fence: u64) -> Command {
    Command::Renew { lock: "l".into(), holder: holder.into(), fence, hold_ms: 1000 }
}

#[test]
fn given_a_hold_that_a_leader_saw_end_when_a_renewal_comes_first_in_the_log_then_nobody_else_gets_the_lock() {
    let mut replica = Replica::default();
    assert_eq!(replica.apply(&acquire("a", 1000, 0)), Outcome::Granted { fence: 1 });
    replica.now = 2 * SECOND;
    let seen = replica.state.locks().availability("l", "b", replica.now);
    assert_eq!(seen, Availability::Expired { last_entry: 1 });
    assert_eq!(replica.apply(&renew("a", 1)), Outcome::Renewed);
    assert_eq!(replica.apply(&acquire("b", 1000, 1)), Outcome::Held);
    assert_eq!(replica.apply(&acquire("b", 1000, 2)), Outcome::Granted { fence: 4 });
    assert_eq!(replica.apply(&renew("a", 1)), Outcome::Lost);
}

#[test]
fn given_a_hold_when_less_than_its_time_has_passed_then_it_is_held_also_on_a_clock_that_runs_a_little_fast() {
    let mut replica = Replica::default();
    replica.apply(&acquire("a", 10_000, 0));
    replica.now = 10 * SECOND + SECOND / 10;
    assert_eq!(replica.state.locks().availability("l", "b", replica.now), Availability::Held);
    replica.now = 10 * SECOND + SECOND / 5;
    assert!(matches!(
        replica.state.locks().availability("l", "b", replica.now),
        Availability::Expired { .. }
    ));
}

#[test]
fn given_a_holder_that_asked_twice_when_either_fence_renews_then_it_holds_and_only_the_newest_releases() {
    let mut replica = Replica::default();
    replica.apply(&acquire("a", 1000, 0));
    assert_eq!(replica.apply(&acquire("a", 1000, 0)), Outcome::Granted { fence: 2 });
    assert_eq!(replica.apply(&renew("a", 1)), Outcome::Renewed);
    replica.apply(&Command::Release { lock: "l".into(), holder: "a".into(), fence: 1 });
    assert_eq!(replica.state.locks().len(), 1);
    replica.apply(&Command::Release { lock: "l".into(), holder: "a".into(), fence: 2 });
    assert!(replica.state.locks().is_empty());
}

#[test]
fn given_an_ended_hold_when_it_was_renewed_before_it_is_forgotten_then_it_stays() {
    let mut replica = Replica::default();
    replica.apply(&acquire("a", 1000, 0));
    assert_eq!(replica.state.locks().ended_before(90 * SECOND, 8), [("l".to_owned(), 1)]);
    replica.apply(&renew("a", 1));
    replica.apply(&Command::Expire { lock: "l".into(), expired_entry: 1 });
    assert_eq!(replica.state.locks().len(), 1);
    replica.apply(&Command::Expire { lock: "l".into(), expired_entry: 2 });
    assert!(replica.state.locks().is_empty());
}

#[test]
fn given_more_puts_than_are_remembered_when_the_last_of_them_come_again_then_each_has_its_first_revision() {
    let mut replica = Replica::default();
    let puts = MAX_REMEMBERED_PUTS as u64 + 10;
    for n in 1..=puts {
        assert_eq!(replica.put("g.k", &n.to_string(), None), PutOutcome::Done { revision: n });
    }
    for n in [11, puts / 2, puts] {
        assert_eq!(replica.put("g.k", &n.to_string(), None), PutOutcome::Done { revision: n });
    }
}

#[test]
fn given_puts_of_different_ages_when_a_watch_goes_on_then_only_what_is_forgotten_is_too_old() {
    let mut replica = Replica::default();
    for n in 1..=3 {
        replica.now = n * 15 * SECOND;
        replica.put("g.k", &n.to_string(), None);
    }
    assert_eq!(replica.state.puts_since("g.", 0, 100), WatchRead::Puts { puts: Vec::new(), revision: 3 });
    let WatchRead::Puts { puts, revision: 3 } = replica.state.puts_since("g.", 1, 100_000) else { panic!() };
    assert_eq!(puts.iter().map(|put| put.revision).collect::<Vec<u64>>(), [2, 3]);
    // The first put is forgotten, and nothing is asked for from before it but by who knows none.
    replica.now = 100 * SECOND;
    replica.state.forget_history(replica.now - HISTORY);
    replica.put("g.k", "4", None);
    assert_eq!(replica.state.puts_since("g.", 2, 100), WatchRead::TooOld);
    // A page that would be too long ends earlier, and says so by its revision.
    replica.put("g.k", "5", None);
    let WatchRead::Puts { puts, revision } = replica.state.puts_since("g.", 3, 1) else { panic!() };
    assert_eq!((puts.len(), revision), (1, 4));
}

#[test]
fn groups_end_with_the_first_dot() {
    assert_eq!(["g1.2d", "g1.", "g1.a.b", "plain"].map(group_of), ["g1.", "g1.", "g1.", "plain"]);
}

#[test]
fn commands_are_encoded_as_they_are_stored() {
    let hex =
        |command: &Command| command.encode().iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    assert_eq!(hex(&acquire("a", 3000, 7)), "0001006c010061b80b00000700000000000000");
    assert_eq!(hex(&renew("a", 41)), "0101006c0100612900000000000000e8030000");
    let release = Command::Release { lock: "l".into(), holder: "a".into(), fence: 41 };
    assert_eq!(hex(&release), "0201006c0100612900000000000000");
    assert_eq!(hex(&Command::Expire { lock: "l".into(), expired_entry: 9 }), "0301006c0900000000000000");
    assert_eq!(hex(&Command::NextNumber { name: "n".into() }), "0401006e");
    let put =
        Command::Put { key: "g.k".into(), value: "v".into(), is_conditional: 1, expected_revision: 907 };
    assert_eq!(hex(&put), "050300672e6b010076018b03000000000000");
    for command in [acquire("a", 3000, 7), renew("a", 41), release, put] {
        assert_eq!(Command::decode(&command.encode()), Ok(command.clone()));
        let more = Bytes::from([&command.encode()[..], b"x"].concat());
        assert!(Command::decode(&more).is_err());
    }
}

fn arbitrary_command() -> impl Strategy<Value = Command> {
    let name = || prop::sample::select(vec!["a", "b", "c"]);
    let lock = || prop::sample::select(vec!["l", "m"]);
    let key = prop::sample::select(vec!["g.k", "g.l", "h.k"]);
    prop_oneof![
        (lock(), name(), 1..5000u32, 0..40u64).prop_map(|(lock, holder, hold_ms, expired_entry)| {
            Command::Acquire { lock: lock.into(), holder: holder.into(), hold_ms, expired_entry }
        }),
        (lock(), name(), 0..40u64).prop_map(|(lock, holder, fence)| Command::Renew {
            lock: lock.into(),
            holder: holder.into(),
            fence,
            hold_ms: 1000
        }),
        (lock(), name(), 0..40u64).prop_map(|(lock, holder, fence)| Command::Release {
            lock: lock.into(),
            holder: holder.into(),
            fence
        }),
        (lock(), 0..40u64)
            .prop_map(|(lock, expired_entry)| Command::Expire { lock: lock.into(), expired_entry }),
        Just(Command::NextNumber { name: "n".into() }),
        (key, 0..20u32, any::<bool>(), 0..10u64).prop_map(|(key, value, conditional, expected_revision)| {
            Command::Put {
                key: key.into(),
                value: value.to_string().as_str().into(),
                is_conditional: u8::from(conditional),
                expected_revision,
            }
        }),
    ]
}

proptest! {
    #[test]
    fn given_any_log_when_a_replica_begins_with_a_snapshot_then_it_goes_on_like_the_others(
        before in prop::collection::vec(arbitrary_command(), 0..40),
        after in prop::collection::vec(arbitrary_command(), 0..40),
    ) {
        let mut first = Replica::default();
        for command in &before {
            first.now += SECOND / 10;
            first.apply(command);
        }
        // Its clock has another zero, and its history is as old as the restore.
        let restored_at = 1000 * SECOND;
        let state = Primitives::restore(&first.state.snapshot(), restored_at).expect("its own snapshot");
        prop_assert_eq!(state.snapshot(), first.state.snapshot());
        prop_assert_eq!(state.memory_bytes(), first.state.memory_bytes());
        let mut second = Replica { state, index: first.index, now: restored_at };
        for command in &after {
            first.now += SECOND / 10;
            second.now += SECOND / 10;
            prop_assert_eq!(first.apply(command), second.apply(command));
        }
        prop_assert_eq!(first.state.snapshot(), second.state.snapshot());
    }

    #[test]
    fn given_any_bytes_when_they_are_taken_for_a_snapshot_then_nothing_breaks(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Primitives::restore(&Bytes::from(bytes), 0);
    }

    #[test]
    fn given_any_text_when_it_is_answered_then_the_json_has_it(name in "\\PC*", value in any::<String>()) {
        let put = Put { key: name.clone(), value: value.clone(), revision: 7 };
        let text = answer::watch(WatchRead::Puts { puts: vec![put], revision: 7 }).expect("an answer");
        let json: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        prop_assert_eq!(&json["events"][0]["name"], &name);
        prop_assert_eq!(&json["events"][0]["payload"], &value);
        let json: serde_json::Value =
            serde_json::from_str(&answer::key(&Version { value: value.clone(), revision: 7 })).expect("JSON");
        prop_assert_eq!(&json["payload"], &value);
    }
}
