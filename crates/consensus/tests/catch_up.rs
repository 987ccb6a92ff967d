//! Members that were away while the others went on: how they catch up, what that costs, and that none leads with old state.

mod common;

use common::{
    Fault, MILLIS, Network, SECOND, Traffic, World, leads_with_old_state, member, members, settings,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainlug_consensus::{MemberId, ProposeError, Settings, Time};
use rand::seq::SliceRandom;

/// Between two changes.
const PACE: Time = 5 * MILLIS;
/// Bytes of a change beside its number.
const PADDING: usize = 50;
/// What a change takes on the wire: with its head, alone in a message, and with word of its commit in another one.
const CHANGE_ON_WIRE: usize = 8 + PADDING + 13 + 2 * MESSAGE_HEAD;
/// What a change takes in the snapshot of the harness's state machine.
const CHANGE_IN_STATE: usize = 16;
/// What a message takes beside its entries or its piece of a snapshot, at most, where it names no group.
const MESSAGE_HEAD: usize = 150;
/// The same of a piece of a snapshot, which names a group of three.
const CHUNK_HEADER: usize = 350;
/// Messages with entries that are on their way to one member, at most.
const MOST_IN_FLIGHT: usize = 8;

/// Entries kept for who lacks them stand to one message as they do in the tier.
fn wide() -> Settings {
    Settings { max_lag_bytes: 6_400, compaction_threshold_bytes: 6_400, ..settings(2) }
}

/// How a member comes to be behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Absence {
    Down,
    Frozen,
    Wiped,
}

/// What catching up took.
#[derive(Debug)]
struct CaughtUp {
    time: Time,
    traffic: Traffic,
    restores: usize,
    /// What was committed in the end, and while it caught up.
    changes: usize,
    meanwhile: usize,
}

fn three(seed: u64, settings: Settings) -> (World, MemberId) {
    let mut world = World::new(seed, &[1, 2, 3], settings);
    let leader = world.elect();
    (world, leader)
}

fn others(leader: MemberId) -> Vec<MemberId> {
    (1..=3).filter(|&id| id != leader).collect()
}

/// The leader takes so many changes at the usual pace.
fn change(world: &mut World, changes: usize) {
    for _ in 0..changes {
        if let Some(leader) = world.leader() {
            world.propose(leader, PADDING);
        }
        world.run_for(PACE);
    }
}

fn lacks(world: &World, id: MemberId) -> usize {
    world.history.len().saturating_sub(world.nodes[&id].applied.len())
}

/// Changes go on at their pace until the member lacks none but those on their way; how long that took.
fn change_until_caught_up(world: &mut World, id: MemberId, most: Time) -> Option<Time> {
    const ON_THEIR_WAY: usize = 2;
    let since = world.now;
    while world.now - since < most {
        change(world, 1);
        if world.violation.is_some() || lacks(world, id) <= ON_THEIR_WAY {
            return Some(world.now - since);
        }
    }
    None
}

/// Counts what is sent to a member from now on.
fn count_anew(world: &mut World, id: MemberId) {
    let traffic = world.traffic.entry(id).or_default();
    (traffic.bytes, traffic.snapshot_bytes) = (0, 0);
    traffic.most_in_flight = traffic.in_flight;
}

fn thaw(world: &mut World, id: MemberId) {
    let now = world.now;
    world.nodes.get_mut(&id).expect("a member").frozen_until = now;
}

/// A member is away while so many changes go on, comes back, and catches up while they still do.
fn absent(changes: usize, absence: Absence) -> CaughtUp {
    let (mut world, leader) = three(1, wide());
    let away = others(leader)[0];
    change(&mut world, 5);
    match absence {
        Absence::Down => world.power_off(away),
        Absence::Frozen => world.freeze(away, Time::MAX / 4),
        Absence::Wiped => {}
    }
    let back = if absence == Absence::Wiped { world.wipe(away) } else { away };
    change(&mut world, changes);
    let before = world.history.len();
    count_anew(&mut world, back);
    match absence {
        Absence::Down => world.start(back),
        Absence::Frozen => thaw(&mut world, back),
        Absence::Wiped => {
            let group = members(&[leader, others(leader)[1], back]);
            world.change(leader, group).expect("the group is at rest");
        }
    }
    let time = change_until_caught_up(&mut world, back, 20 * SECOND).expect("it catches up");
    world.sound();
    CaughtUp {
        time,
        traffic: world.traffic[&back],
        restores: world.nodes[&back].restores,
        changes: world.history.len(),
        meanwhile: world.history.len() - before,
    }
}

/// Entries that a leader keeps for who lacks them.
fn kept_entries() -> usize {
    wide().max_lag_bytes / (8 + PADDING + 32)
}

fn max_message_bytes(took: &CaughtUp) -> usize {
    let heartbeats = usize::try_from(took.time / wide().heartbeat_interval).expect("few") + 2;
    let state = took.changes * CHANGE_IN_STATE;
    let chunks = state.div_ceil(wide().max_message_bytes) + 1;
    let entries = kept_entries().min(took.changes) + took.meanwhile;
    state + chunks * (CHUNK_HEADER + MESSAGE_HEAD) + entries * CHANGE_ON_WIRE + heartbeats * MESSAGE_HEAD
}

fn most_time(took: &CaughtUp) -> Time {
    // There and back; the snapshot's rewrite and the entries' records; and until the first word of the leader.
    const ROUND: Time = 2 * MILLIS + MILLIS / 2;
    let chunks = (took.changes * CHANGE_IN_STATE).div_ceil(wide().max_message_bytes);
    2 * wide().heartbeat_interval + ROUND * Time::try_from(chunks + 4).expect("few") + 3 * PACE
}

#[test]
fn given_a_member_that_was_away_when_it_is_back_then_it_catches_up_while_changes_go_on() {
    println!("changes  absence  time (ms)  bytes  of snapshots  most in flight  snapshots restored");
    for absence in [Absence::Down, Absence::Frozen, Absence::Wiped] {
        for changes in [10, 100, 1_000] {
            let took = absent(changes, absence);
            let CaughtUp { time, traffic, restores, .. } = &took;
            println!(
                "{changes}  {absence:?}  {}  {}  {}  {}  {restores}",
                time / MILLIS,
                traffic.bytes,
                traffic.snapshot_bytes,
                traffic.most_in_flight,
            );
            assert!(*time <= most_time(&took), "{absence:?}, {changes}: {took:?}, {}", most_time(&took));
            assert!(traffic.bytes <= max_message_bytes(&took), "{absence:?}, {changes}: {took:?}");
            // While it is frozen, signs of life gather.
            let signs = if absence == Absence::Frozen { changes * MESSAGE_HEAD / 10 } else { 0 };
            let most = MOST_IN_FLIGHT * (wide().max_message_bytes + CHUNK_HEADER) + signs;
            assert!(traffic.most_in_flight <= most, "{absence:?}, {changes}: {took:?}");
            assert!(changes > 2 * kept_entries() || traffic.snapshot_bytes <= max_message_bytes(&took) / 2);
        }
    }
}

#[test]
fn the_check_finds_a_member_that_does_not_catch_up() {
    let (mut world, leader) = three(2, wide());
    let far = others(leader)[0];
    world.isolate(far);
    change(&mut world, 100);
    assert_eq!(change_until_caught_up(&mut world, far, 5 * SECOND), None);
}

/// A snapshot's transfer during changes that are compacted before it ends, over links that double so many of the messages: whether
/// about one transfer was enough.
fn transfers_once_while_changes_compact(twice: f64) -> bool {
    let settings = Settings { compaction_threshold_bytes: 1_000, ..wide() };
    let (mut world, leader) = three(3, settings);
    let far = others(leader)[0];
    world.power_off(far);
    change(&mut world, 2_000);
    let rewrites = world.nodes[&leader].requested;
    count_anew(&mut world, far);
    world.network.twice = twice;
    world.start(far);
    let before = world.history.len();
    let time = change_until_caught_up(&mut world, far, 5 * SECOND).expect("it catches up");
    world.sound();
    let (bytes, restores) = (world.traffic[&far].snapshot_bytes, world.nodes[&far].restores);
    let state = world.history.len() * CHANGE_IN_STATE;
    println!(
        "{} changes during a transfer of {state} bytes that took {} ms: {bytes} bytes of snapshots, {restores} restored, {} writes",
        world.history.len() - before,
        time / MILLIS,
        world.nodes[&leader].requested - rewrites,
    );
    // The one that was begun before it was back may be sent first.
    restores <= 2 && bytes <= 3 * state
}

#[test]
fn given_steady_changes_that_compact_during_a_transfer_when_it_ends_then_the_log_goes_on_from_there() {
    assert!(transfers_once_while_changes_compact(0.0));
}

#[test]
fn the_check_finds_a_transfer_whose_pieces_all_come_twice() {
    assert!(!transfers_once_while_changes_compact(1.0));
}

#[test]
fn given_a_member_that_is_killed_again_and_again_when_it_stays_up_then_it_has_all_and_may_be_needed() {
    for seed in 0..20 {
        let (mut world, leader) = three(seed, wide());
        let far = others(leader)[0];
        world.power_off(far);
        change(&mut world, 400);
        for restart in 0..8 {
            world.start(far);
            change(&mut world, 1 + restart);
            world.crash(far);
            change(&mut world, 10);
        }
        world.start(far);
        assert!(change_until_caught_up(&mut world, far, 2 * SECOND).is_some(), "seed {seed}");
        // Now it is the only way to a majority.
        world.power_off(others(leader)[1]);
        let command = world.propose(leader, PADDING).expect("it leads");
        world.commit(command);
        world.power_off(leader);
        world.start(others(leader)[1]);
        assert_eq!(world.elect(), far, "seed {seed}");
        world.sound();
    }
}

#[test]
fn given_a_transfer_under_way_when_the_leader_loses_power_then_the_next_one_brings_the_member_up_to_date() {
    for seed in 0..20 {
        let (mut world, leader) = three(seed, wide());
        let far = others(leader)[0];
        world.power_off(far);
        change(&mut world, 500);
        world.start(far);
        let begun = |world: &World| world.traffic.get(&far).is_some_and(|t| t.snapshot_bytes > 3_000);
        assert!(world.run_until(SECOND, begun), "seed {seed}");
        world.power_off(leader);
        let since = world.now;
        assert_eq!(world.elect(), others(leader)[1], "seed {seed}");
        assert!(change_until_caught_up(&mut world, far, 2 * SECOND).is_some(), "seed {seed}");
        assert!(world.now - since < 2 * SECOND, "seed {seed}");
        world.sound();
    }
}

/// Two that are up, of which one was away for all changes; what broke, if anything did.
fn elect_among_stale(seed: u64, fault: Fault) -> Option<String> {
    let (mut world, leader) = three(seed, Settings { compaction_threshold_bytes: 1_000, ..wide() });
    world.fault = fault;
    let (stale, complete) = (others(leader)[0], others(leader)[1]);
    world.power_off(stale);
    change(&mut world, 100);
    world.run_for(SECOND);
    world.power_off(leader);
    world.power_off(complete);
    for id in [stale, complete] {
        world.start(id);
    }
    world.run_until(10 * SECOND, |world| {
        let leads = |id| world.replica(id).leader() == Some(&member(id));
        leads(stale) || leads(complete)
    });
    if world.replica(stale).leader() == Some(&member(stale)) {
        return Some("the stale one is elected".to_owned());
    }
    world.run_until(10 * SECOND, |world| world.leader().is_some());
    change(&mut world, 5);
    world.violation.take()
}

#[test]
fn given_a_member_with_a_stale_log_when_one_is_elected_then_it_is_not_that_one() {
    for seed in 0..60 {
        assert_eq!(elect_among_stale(seed, Fault::None), None, "seed {seed}");
    }
}

#[test]
fn the_checker_finds_a_leader_whose_disk_is_an_older_one() {
    let found: Vec<String> = (0..60).filter_map(|seed| elect_among_stale(seed, Fault::OlderDisk)).collect();
    assert!(
        found.iter().any(|what| what.contains("leads term") && what.contains("with old state")),
        "{found:?}"
    );
}

#[test]
fn the_checker_finds_old_state_in_a_history() {
    let history = [(2, 1), (3, 2), (4, 3)];
    assert!(!leads_with_old_state(&history, &history));
    assert!(leads_with_old_state(&history[..2], &history));
    assert!(leads_with_old_state(&[], &history));
}

#[test]
fn given_a_leader_that_has_committed_nothing_when_it_is_asked_then_it_serves_nothing() {
    for seed in 0..20 {
        let (mut world, leader) = three(seed, wide());
        change(&mut world, 50);
        world.power_off(leader);
        let elected = |world: &World| {
            others(leader).into_iter().find(|&id| world.replica(id).leader() == Some(&member(id)))
        };
        assert!(world.run_until(2 * SECOND, |world| elected(world).is_some()), "seed {seed}");
        let next = elected(&world).expect("one is");
        // Given that nobody hears it from now on.
        world.isolate(next);
        let ticket = world.read(next).expect("it is up");
        let command = world.propose(next, PADDING).expect("it takes it");
        assert!(!world.replica(next).is_serving_leader(), "seed {seed}");
        // A change of the group is begun, as it needs a quorum of the old group too; no other one beside it.
        let group: Vec<u64> = others(leader).into_iter().collect();
        assert!(world.change(next, members(&group)).is_ok(), "seed {seed}");
        assert_eq!(
            world.change(next, members(&[1, 2, 3])),
            Err(ProposeError::ChangeInProgress),
            "seed {seed}"
        );
        // When time goes by, then nothing is answered or committed.
        world.run_for(SECOND);
        assert!(
            matches!(world.nodes[&next].reads.get(&ticket), Some(Err(ProposeError::NotLeader(_)))),
            "seed {seed}"
        );
        assert!(!world.is_committed(command), "seed {seed}");
        assert!(
            !world.replica(next).is_replica_set_committed(),
            "seed {seed}: nor is the change of the group"
        );
        world.cuts.clear();
        let next = world.elect();
        let ticket = world.read(next).expect("it is up");
        assert!(world.run_until(SECOND, |world| world.nodes[&next].reads.get(&ticket) == Some(&Ok(()))));
        world.sound();
    }
}

#[test]
fn given_all_lost_power_when_a_leader_begins_with_a_snapshot_then_it_answers_with_the_newest_state() {
    for seed in 0..20 {
        let (mut world, _) = three(seed, Settings { compaction_threshold_bytes: 1_000, ..wide() });
        change(&mut world, 200);
        for id in 1..=3 {
            world.power_off(id);
        }
        let committed = world.history.len();
        for id in 1..=3 {
            world.start(id);
            assert!(!world.nodes[&id].applied.is_empty(), "seed {seed}: it has a snapshot");
        }
        let leader = world.elect();
        assert!(world.nodes[&leader].applied.len() >= committed, "seed {seed}");
        let ticket = world.read(leader).expect("it is up");
        assert!(world.run_until(SECOND, |world| world.nodes[&leader].reads.get(&ticket) == Some(&Ok(()))));
        world.sound();
    }
}

/// A member that was away gets a snapshot from two leaders, in pieces that are lost, doubled and late, and in the end all its
/// messages once more in any order; what broke, if anything did.
fn transfer_over_bad_links(seed: u64, loss: f64, twice: f64, slow: f64, fault: Fault) -> Result<(), String> {
    let (mut world, leader) = three(seed, settings(2));
    world.fault = fault;
    let far = others(leader)[0];
    world.power_off(far);
    change(&mut world, 300);
    world.network = Network { loss, twice, slow };
    world.recording = Some(far);
    world.start(far);
    change(&mut world, 30);
    // The leader stands still with the transfer under way, and goes on with it when another one leads.
    if let Some(first) = world.leader() {
        world.freeze(first, SECOND);
    }
    change(&mut world, 250);
    world.network = Network { loss: 0.0, twice: 0.0, slow: 0.0 };
    world.recording = None;
    world.run_for(SECOND);
    let mut recorded = std::mem::take(&mut world.recorded);
    recorded.shuffle(&mut world.rng);
    for bytes in recorded {
        world.replay(far, bytes);
        world.run_for(MILLIS / 10);
    }
    let whole = world.run_until(10 * SECOND, |world| world.leader().is_some() && lacks(world, far) == 0);
    match world.violation.take() {
        Some(violation) => Err(violation),
        None if !whole => Err(format!("it lacks {}", lacks(&world, far))),
        None => Ok(()),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 40, failure_persistence: None, rng_seed: RngSeed::Fixed(41), ..ProptestConfig::default()
    })]

    #[test]
    fn pieces_that_are_lost_doubled_late_or_of_two_leaders_do_no_harm(
        seed in any::<u64>(),
        loss in 0.0..0.2,
        twice in 0.0..0.3,
        slow in 0.0..0.2,
    ) {
        prop_assert_eq!(transfer_over_bad_links(seed, loss, twice, slow, Fault::None), Ok(()));
    }
}

#[test]
fn the_checker_finds_a_changed_piece() {
    let result = transfer_over_bad_links(1, 0.05, 0.05, 0.05, Fault::FlippedChunk);
    assert!(
        result.as_ref().is_err_and(|what| what.contains("restores what was not committed")),
        "{result:?}"
    );
}
