//! Members that were away while the others went on: how they catch up, what that costs, and that none leads with old state.

mod common;

use common::{
    Cluster, Fault, MILLIS, Network, SECOND, Traffic, leads_with_old_state, member, members, settings,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainlug_consensus::{MemberId, ProposeError, Settings, Time};
use rand::seq::SliceRandom;

/// Between two changes.
const CHANGE_INTERVAL: Time = 5 * MILLIS;
/// Bytes of a change beside its number.
const PADDING_BYTES: usize = 50;
/// What a change takes on the wire: with its header, alone in a message, and with its commit in another one.
const CHANGE_WIRE_BYTES: usize = 8 + PADDING_BYTES + 13 + 2 * MESSAGE_HEADER_BYTES;
/// What a change takes in the snapshot of the harness's state machine.
const CHANGE_STATE_BYTES: usize = 16;
/// What a message takes beside its entries or its chunk of a snapshot, at most, where it names no replica set.
const MESSAGE_HEADER_BYTES: usize = 150;
/// The same of a chunk of a snapshot, which names a replica set of three.
const CHUNK_HEADER_BYTES: usize = 350;
/// Messages with entries in flight to one member, at most.
const MAX_IN_FLIGHT_MESSAGES: usize = 8;

/// The ratio of retained entries to one message is that of the tier.
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
    change_count: usize,
    during_catch_up: usize,
}

fn started_cluster(seed: u64, settings: Settings) -> (Cluster, MemberId) {
    let mut cluster = Cluster::new(seed, &[1, 2, 3], settings);
    let leader = cluster.wait_for_leader();
    (cluster, leader)
}

fn others(leader: MemberId) -> Vec<MemberId> {
    (1..=3).filter(|&id| id != leader).collect()
}

/// The leader takes so many changes at the usual pace.
fn propose_changes(cluster: &mut Cluster, change_count: usize) {
    for _ in 0..change_count {
        if let Some(leader) = cluster.leader() {
            cluster.propose(leader, PADDING_BYTES);
        }
        cluster.run_for(CHANGE_INTERVAL);
    }
}

fn lacks(cluster: &Cluster, id: MemberId) -> usize {
    cluster.history.len().saturating_sub(cluster.nodes[&id].applied.len())
}

/// Changes go on at their pace until the member lacks none but those in flight; how long that took.
fn change_until_caught_up(cluster: &mut Cluster, id: MemberId, max: Time) -> Option<Time> {
    const MAX_IN_FLIGHT_CHANGES: usize = 2;
    let since = cluster.now;
    while cluster.now - since < max {
        propose_changes(cluster, 1);
        if cluster.violation.is_some() || lacks(cluster, id) <= MAX_IN_FLIGHT_CHANGES {
            return Some(cluster.now - since);
        }
    }
    None
}

/// Counts what is sent to a member from now on.
fn reset_traffic(cluster: &mut Cluster, id: MemberId) {
    let traffic = cluster.traffic.entry(id).or_default();
    (traffic.bytes, traffic.snapshot_bytes) = (0, 0);
    traffic.max_in_flight_bytes = traffic.in_flight_bytes;
}

fn thaw(cluster: &mut Cluster, id: MemberId) {
    let now = cluster.now;
    cluster.nodes.get_mut(&id).expect("a member").frozen_until = now;
}

/// A member is away while so many changes go on, comes back, and catches up while they still do.
fn catch_up_after(change_count: usize, absence: Absence) -> CaughtUp {
    let (mut cluster, leader) = started_cluster(1, wide());
    let away = others(leader)[0];
    propose_changes(&mut cluster, 5);
    match absence {
        Absence::Down => cluster.power_off(away),
        Absence::Frozen => cluster.freeze(away, Time::MAX / 4),
        Absence::Wiped => {}
    }
    let back = if absence == Absence::Wiped { cluster.wipe_disk(away) } else { away };
    propose_changes(&mut cluster, change_count);
    let before = cluster.history.len();
    reset_traffic(&mut cluster, back);
    match absence {
        Absence::Down => cluster.start(back),
        Absence::Frozen => thaw(&mut cluster, back),
        Absence::Wiped => {
            let replica_set = members(&[leader, others(leader)[1], back]);
            cluster.change_replica_set(leader, replica_set).expect("no change is in progress");
        }
    }
    let time = change_until_caught_up(&mut cluster, back, 20 * SECOND).expect("it catches up");
    cluster.assert_sound();
    CaughtUp {
        time,
        traffic: cluster.traffic[&back],
        restores: cluster.nodes[&back].restores,
        change_count: cluster.history.len(),
        during_catch_up: cluster.history.len() - before,
    }
}

/// Entries that a leader keeps for who lacks them.
fn retained_entries() -> usize {
    wide().max_lag_bytes / (8 + PADDING_BYTES + 32)
}

fn max_traffic_bytes(result: &CaughtUp) -> usize {
    let heartbeats = usize::try_from(result.time / wide().heartbeat_interval).expect("few") + 2;
    let state = result.change_count * CHANGE_STATE_BYTES;
    let chunks = state.div_ceil(wide().max_message_bytes) + 1;
    let entries = retained_entries().min(result.change_count) + result.during_catch_up;
    state
        + chunks * (CHUNK_HEADER_BYTES + MESSAGE_HEADER_BYTES)
        + entries * CHANGE_WIRE_BYTES
        + heartbeats * MESSAGE_HEADER_BYTES
}

fn max_time(result: &CaughtUp) -> Time {
    // There and back; the snapshot's rewrite and the entries' records; and until the leader's first message.
    const ROUND: Time = 2 * MILLIS + MILLIS / 2;
    let chunks = (result.change_count * CHANGE_STATE_BYTES).div_ceil(wide().max_message_bytes);
    2 * wide().heartbeat_interval + ROUND * Time::try_from(chunks + 4).expect("few") + 3 * CHANGE_INTERVAL
}

#[test]
fn given_a_member_that_was_away_when_it_is_back_then_it_catches_up_while_changes_go_on() {
    println!("changes  absence  time (ms)  bytes  of snapshots  most in flight  snapshots restored");
    for absence in [Absence::Down, Absence::Frozen, Absence::Wiped] {
        for change_count in [10, 100, 1_000] {
            let result = catch_up_after(change_count, absence);
            let CaughtUp { time, traffic, restores, .. } = &result;
            println!(
                "{change_count}  {absence:?}  {}  {}  {}  {}  {restores}",
                time / MILLIS,
                traffic.bytes,
                traffic.snapshot_bytes,
                traffic.max_in_flight_bytes,
            );
            assert!(
                *time <= max_time(&result),
                "{absence:?}, {change_count}: {result:?}, {}",
                max_time(&result)
            );
            assert!(traffic.bytes <= max_traffic_bytes(&result), "{absence:?}, {change_count}: {result:?}");
            // While it is frozen, heartbeats pile up.
            let signs = if absence == Absence::Frozen { change_count * MESSAGE_HEADER_BYTES / 10 } else { 0 };
            let max = MAX_IN_FLIGHT_MESSAGES * (wide().max_message_bytes + CHUNK_HEADER_BYTES) + signs;
            assert!(traffic.max_in_flight_bytes <= max, "{absence:?}, {change_count}: {result:?}");
            assert!(
                change_count > 2 * retained_entries()
                    || traffic.snapshot_bytes <= max_traffic_bytes(&result) / 2
            );
        }
    }
}

#[test]
fn given_an_isolated_member_when_changes_go_on_then_the_check_finds_that_it_does_not_catch_up() {
    let (mut cluster, leader) = started_cluster(2, wide());
    let far = others(leader)[0];
    cluster.isolate(far);
    propose_changes(&mut cluster, 100);
    assert_eq!(change_until_caught_up(&mut cluster, far, 5 * SECOND), None);
}

/// A snapshot's transfer during changes that are compacted before it ends, over links that double so many of the messages: whether
/// about one transfer was enough.
fn transfers_once_while_changes_compact(duplication: f64) -> bool {
    let settings = Settings { compaction_threshold_bytes: 1_000, ..wide() };
    let (mut cluster, leader) = started_cluster(3, settings);
    let far = others(leader)[0];
    cluster.power_off(far);
    propose_changes(&mut cluster, 2_000);
    let rewrites = cluster.nodes[&leader].requested_writes;
    reset_traffic(&mut cluster, far);
    cluster.network.duplication = duplication;
    cluster.start(far);
    let before = cluster.history.len();
    let time = change_until_caught_up(&mut cluster, far, 5 * SECOND).expect("it catches up");
    cluster.assert_sound();
    let (bytes, restores) = (cluster.traffic[&far].snapshot_bytes, cluster.nodes[&far].restores);
    let state = cluster.history.len() * CHANGE_STATE_BYTES;
    println!(
        "{} changes during a transfer of {state} bytes that took {} ms: {bytes} bytes of snapshots, {restores} restored, {} writes",
        cluster.history.len() - before,
        time / MILLIS,
        cluster.nodes[&leader].requested_writes - rewrites,
    );
    // The one that was begun before it was back may be sent first.
    restores <= 2 && bytes <= 3 * state
}

#[test]
fn given_steady_changes_that_compact_during_a_transfer_when_it_ends_then_the_log_continues_from_there() {
    assert!(transfers_once_while_changes_compact(0.0));
}

#[test]
fn given_chunks_that_are_all_duplicated_when_a_snapshot_is_transferred_then_the_check_finds_it() {
    assert!(!transfers_once_while_changes_compact(1.0));
}

#[test]
fn given_a_member_that_crashes_repeatedly_when_it_stays_up_then_it_has_all_and_counts_for_a_majority() {
    for seed in 0..20 {
        let (mut cluster, leader) = started_cluster(seed, wide());
        let far = others(leader)[0];
        cluster.power_off(far);
        propose_changes(&mut cluster, 400);
        for restart in 0..8 {
            cluster.start(far);
            propose_changes(&mut cluster, 1 + restart);
            cluster.crash(far);
            propose_changes(&mut cluster, 10);
        }
        cluster.start(far);
        assert!(change_until_caught_up(&mut cluster, far, 2 * SECOND).is_some(), "seed {seed}");
        // Now there is no majority without it.
        cluster.power_off(others(leader)[1]);
        let command = cluster.propose(leader, PADDING_BYTES).expect("it leads");
        cluster.wait_for_commit(command);
        cluster.power_off(leader);
        cluster.start(others(leader)[1]);
        assert_eq!(cluster.wait_for_leader(), far, "seed {seed}");
        cluster.assert_sound();
    }
}

#[test]
fn given_a_transfer_in_progress_when_the_leader_loses_power_then_the_next_one_brings_the_member_up_to_date() {
    for seed in 0..20 {
        let (mut cluster, leader) = started_cluster(seed, wide());
        let far = others(leader)[0];
        cluster.power_off(far);
        propose_changes(&mut cluster, 500);
        cluster.start(far);
        let begun = |cluster: &Cluster| cluster.traffic.get(&far).is_some_and(|t| t.snapshot_bytes > 3_000);
        assert!(cluster.run_until(SECOND, begun), "seed {seed}");
        cluster.power_off(leader);
        let since = cluster.now;
        assert_eq!(cluster.wait_for_leader(), others(leader)[1], "seed {seed}");
        assert!(change_until_caught_up(&mut cluster, far, 2 * SECOND).is_some(), "seed {seed}");
        assert!(cluster.now - since < 2 * SECOND, "seed {seed}");
        cluster.assert_sound();
    }
}

/// Two that are up, of which one was away for all changes; what broke, if anything did.
fn elect_among_stale(seed: u64, fault: Fault) -> Option<String> {
    let (mut cluster, leader) =
        started_cluster(seed, Settings { compaction_threshold_bytes: 1_000, ..wide() });
    cluster.fault = fault;
    let (stale, complete) = (others(leader)[0], others(leader)[1]);
    cluster.power_off(stale);
    propose_changes(&mut cluster, 100);
    cluster.run_for(SECOND);
    cluster.power_off(leader);
    cluster.power_off(complete);
    for id in [stale, complete] {
        cluster.start(id);
    }
    cluster.run_until(10 * SECOND, |cluster| {
        let leads = |id| cluster.replica(id).leader() == Some(&member(id));
        leads(stale) || leads(complete)
    });
    if cluster.replica(stale).leader() == Some(&member(stale)) {
        return Some("the stale one is elected".to_owned());
    }
    cluster.run_until(10 * SECOND, |cluster| cluster.leader().is_some());
    propose_changes(&mut cluster, 5);
    cluster.violation.take()
}

#[test]
fn given_a_member_with_a_stale_log_when_a_leader_is_elected_then_it_is_another_one() {
    for seed in 0..60 {
        assert_eq!(elect_among_stale(seed, Fault::None), None, "seed {seed}");
    }
}

#[test]
fn given_a_stale_disk_when_its_member_leads_then_the_checker_finds_it() {
    let found: Vec<String> = (0..60).filter_map(|seed| elect_among_stale(seed, Fault::StaleDisk)).collect();
    assert!(
        found.iter().any(|what| what.contains("leads term") && what.contains("with old state")),
        "{found:?}"
    );
}

#[test]
fn given_an_applied_prefix_when_it_is_compared_with_the_history_then_the_checker_finds_old_state() {
    let history = [(2, 1), (3, 2), (4, 3)];
    assert!(!leads_with_old_state(&history, &history));
    assert!(leads_with_old_state(&history[..2], &history));
    assert!(leads_with_old_state(&[], &history));
}

#[test]
fn given_a_leader_that_has_committed_nothing_when_it_is_asked_then_it_serves_nothing() {
    for seed in 0..20 {
        let (mut cluster, leader) = started_cluster(seed, wide());
        propose_changes(&mut cluster, 50);
        cluster.power_off(leader);
        let elected = |cluster: &Cluster| {
            others(leader).into_iter().find(|&id| cluster.replica(id).leader() == Some(&member(id)))
        };
        assert!(cluster.run_until(2 * SECOND, |cluster| elected(cluster).is_some()), "seed {seed}");
        let next = elected(&cluster).expect("one is");
        // Given that nobody receives anything of it from now on.
        cluster.isolate(next);
        let ticket = cluster.read(next).expect("it is up");
        let command = cluster.propose(next, PADDING_BYTES).expect("it takes it");
        assert!(!cluster.replica(next).is_serving_leader(), "seed {seed}");
        // A change of the replica set is begun, as it needs a quorum of the old set too; but no second one.
        let replica_set: Vec<u64> = others(leader).into_iter().collect();
        assert!(cluster.change_replica_set(next, members(&replica_set)).is_ok(), "seed {seed}");
        assert_eq!(
            cluster.change_replica_set(next, members(&[1, 2, 3])),
            Err(ProposeError::ChangeInProgress),
            "seed {seed}"
        );
        // When time goes by, then nothing is answered or committed.
        cluster.run_for(SECOND);
        assert!(
            matches!(cluster.nodes[&next].reads.get(&ticket), Some(Err(ProposeError::NotLeader(_)))),
            "seed {seed}"
        );
        assert!(!cluster.is_committed(command), "seed {seed}");
        assert!(
            !cluster.replica(next).is_replica_set_committed(),
            "seed {seed}: nor is the change of the replica set"
        );
        cluster.blocked_links.clear();
        let next = cluster.wait_for_leader();
        let ticket = cluster.read(next).expect("it is up");
        assert!(
            cluster.run_until(SECOND, |cluster| cluster.nodes[&next].reads.get(&ticket) == Some(&Ok(())))
        );
        cluster.assert_sound();
    }
}

#[test]
fn given_a_power_loss_of_all_when_a_leader_starts_from_a_snapshot_then_it_answers_with_the_newest_state() {
    for seed in 0..20 {
        let (mut cluster, _) =
            started_cluster(seed, Settings { compaction_threshold_bytes: 1_000, ..wide() });
        propose_changes(&mut cluster, 200);
        for id in 1..=3 {
            cluster.power_off(id);
        }
        let committed = cluster.history.len();
        for id in 1..=3 {
            cluster.start(id);
            assert!(!cluster.nodes[&id].applied.is_empty(), "seed {seed}: it has a snapshot");
        }
        let leader = cluster.wait_for_leader();
        assert!(cluster.nodes[&leader].applied.len() >= committed, "seed {seed}");
        let ticket = cluster.read(leader).expect("it is up");
        assert!(
            cluster.run_until(SECOND, |cluster| cluster.nodes[&leader].reads.get(&ticket) == Some(&Ok(())))
        );
        cluster.assert_sound();
    }
}

/// A member that was away gets a snapshot from two leaders, in chunks that are lost, duplicated and late, and in the end all its
/// messages once more in any order; what broke, if anything did.
fn transfer_over_bad_links(
    seed: u64,
    loss: f64,
    duplication: f64,
    delay: f64,
    fault: Fault,
) -> Result<(), String> {
    let (mut cluster, leader) = started_cluster(seed, settings(2));
    cluster.fault = fault;
    let far = others(leader)[0];
    cluster.power_off(far);
    propose_changes(&mut cluster, 300);
    cluster.network = Network { loss, duplication, delay };
    cluster.recording = Some(far);
    cluster.start(far);
    propose_changes(&mut cluster, 30);
    // The leader freezes during the transfer, and goes on with it when another one leads.
    if let Some(first) = cluster.leader() {
        cluster.freeze(first, SECOND);
    }
    propose_changes(&mut cluster, 250);
    cluster.network = Network { loss: 0.0, duplication: 0.0, delay: 0.0 };
    cluster.recording = None;
    cluster.run_for(SECOND);
    let mut recorded = std::mem::take(&mut cluster.recorded);
    recorded.shuffle(&mut cluster.rng);
    for bytes in recorded {
        cluster.replay(far, bytes);
        cluster.run_for(MILLIS / 10);
    }
    let whole =
        cluster.run_until(10 * SECOND, |cluster| cluster.leader().is_some() && lacks(cluster, far) == 0);
    match cluster.violation.take() {
        Some(violation) => Err(violation),
        None if !whole => Err(format!("it lacks {}", lacks(&cluster, far))),
        None => Ok(()),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 40, failure_persistence: None, rng_seed: RngSeed::Fixed(41), ..ProptestConfig::default()
    })]

    #[test]
    fn given_chunks_lost_duplicated_late_or_of_two_leaders_when_a_member_catches_up_then_its_state_is_right(
        seed in any::<u64>(),
        loss in 0.0..0.2,
        twice in 0.0..0.3,
        slow in 0.0..0.2,
    ) {
        prop_assert_eq!(transfer_over_bad_links(seed, loss, twice, slow, Fault::None), Ok(()));
    }
}

#[test]
fn given_a_corrupted_chunk_when_it_is_restored_then_the_checker_finds_it() {
    let result = transfer_over_bad_links(1, 0.05, 0.05, 0.05, Fault::FlippedChunk);
    assert!(
        result.as_ref().is_err_and(|what| what.contains("restores what was not committed")),
        "{result:?}"
    );
}
