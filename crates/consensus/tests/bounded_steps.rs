//! No step of a replica grows with the state: a long log is applied in bounded steps between messages and heartbeats, and a snapshot
//! is transferred chunk by chunk, whatever happens in between.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use common::{Cluster, MILLIS, Network, SECOND, is_more_than_bounded, member, members, settings};
use rainlug_consensus::{
    InMemoryState, Index, MAX_APPLY_BYTES, MAX_APPLY_ENTRIES, MemberId, Ready, Replica, RestoreStep,
    Settings, SnapshotSource, Time,
};

/// Bytes of a change beside its number.
const PADDING_BYTES: usize = 50;
const ENTRIES: usize = 5_000;

/// Figures of the tier.
fn wide() -> Settings {
    Settings {
        max_message_bytes: 128 << 10,
        compaction_threshold_bytes: 64 << 20,
        max_lag_bytes: 4 << 20,
        ..settings(2)
    }
}

fn others(leader: MemberId) -> Vec<MemberId> {
    (1..=3).filter(|&id| id != leader).collect()
}

/// The records of a member of three that has persisted so many entries.
fn long_log(entries: usize, padding: usize) -> Vec<Bytes> {
    let mut cluster = Cluster::new(1, &[1, 2, 3], wide());
    let leader = cluster.wait_for_leader();
    for n in 0..entries {
        cluster.propose(leader, padding);
        if n % 100 == 0 {
            cluster.run_for(10 * MILLIS);
        }
    }
    cluster.run_for(SECOND);
    cluster.assert_sound();
    cluster.nodes[&others(leader)[0]].disk.clone()
}

/// Two of three that have lost power and come back with the same long log; each step of theirs is one call.
struct RestartedCluster {
    now: Time,
    replicas: Vec<Replica>,
    applied: Vec<usize>,
    apply_steps: Vec<usize>,
    /// Messages that each was sent while its state machine was still behind.
    received_while_behind: usize,
    sent_while_behind: usize,
    steps_above_bound: usize,
}

impl RestartedCluster {
    fn new(records: &[Bytes]) -> Self {
        let replicas = [1, 2].map(|id| {
            Replica::recover(member(id), vec![], wide(), records, id, 0).expect("its own records are read")
        });
        Self {
            now: 0,
            replicas: replicas.into(),
            applied: vec![0; 2],
            apply_steps: vec![0; 2],
            received_while_behind: 0,
            sent_while_behind: 0,
            steps_above_bound: 0,
        }
    }

    /// One turn of a shell's loop: what is due, one take, and what that sends arrives.
    fn step(&mut self, position: usize) {
        let now = self.now;
        if self.replicas[position].next_timeout() <= now {
            self.replicas[position].handle_timeout(now);
        }
        let output = self.replicas[position].take_ready();
        self.steps_above_bound += usize::from(is_more_than_bounded(&output));
        self.apply_steps[position] += usize::from(!output.committed.is_empty());
        self.applied[position] += output.committed.len();
        let was_behind = self.replicas[position].has_unapplied_entries();
        assert!(
            !was_behind || self.replicas[position].next_timeout() <= now,
            "more is to be done, and it does not say so"
        );
        if let Some((ticket, _)) = output.records.last() {
            self.replicas[position].persisted(now, *ticket);
        }
        for (to, bytes) in output.messages {
            let Some(at) = self.replicas.iter().position(|replica| replica.local_member().id == to.id) else {
                continue;
            };
            self.sent_while_behind += usize::from(was_behind);
            self.received_while_behind += usize::from(self.replicas[at].has_unapplied_entries());
            self.replicas[at].receive(now, &bytes).expect("it can be read");
        }
    }
}

#[test]
fn given_a_long_log_when_all_restart_then_it_is_applied_in_bounded_steps_under_one_leader() {
    const STEP: Time = 20 * MILLIS;
    let records = long_log(ENTRIES, PADDING_BYTES);
    let mut cluster = RestartedCluster::new(&records);
    let mut leader_terms = vec![];
    while cluster.applied.iter().any(|&applied| applied < ENTRIES) && cluster.now < 20 * SECOND {
        // Given that each step takes a tenth of the election timeout.
        cluster.now += STEP;
        for position in 0..2 {
            cluster.step(position);
            let replica = &cluster.replicas[position];
            if replica.is_leader() {
                leader_terms.push(replica.term());
            }
            // Then it does not serve before its state machine has all of the earlier terms.
            assert!(!replica.is_serving_leader() || cluster.applied[position] >= ENTRIES);
        }
    }
    leader_terms.dedup();
    println!("{:?} takes, leaders of terms {leader_terms:?}", cluster.apply_steps);
    assert_eq!(cluster.applied, [ENTRIES, ENTRIES]);
    assert_eq!(cluster.steps_above_bound, 0);
    assert!(
        cluster.apply_steps.iter().all(|&apply_steps| apply_steps >= ENTRIES / MAX_APPLY_ENTRIES),
        "{:?}",
        cluster.apply_steps
    );
    // Then who was elected first stays leader: heartbeats go both ways while both are behind.
    assert_eq!(leader_terms.len(), 1, "{leader_terms:?}");
    assert!(cluster.sent_while_behind >= 5 && cluster.received_while_behind >= 5);
    for _ in 0..3 {
        cluster.now += STEP;
        (0..2).for_each(|position| cluster.step(position));
    }
    assert!(cluster.replicas.iter().any(Replica::is_serving_leader));
}

#[test]
fn given_a_member_that_applies_a_long_log_when_a_vote_is_requested_then_it_answers() {
    let records = long_log(ENTRIES, PADDING_BYTES);
    let mut cluster = RestartedCluster::new(&records);
    let behind = |cluster: &RestartedCluster| cluster.replicas.iter().any(Replica::has_unapplied_entries);
    while !behind(&cluster) {
        cluster.now += MILLIS;
        (0..2).for_each(|position| cluster.step(position));
        assert!(cluster.now < 10 * SECOND);
    }
    let position = cluster.replicas.iter().position(Replica::has_unapplied_entries).expect("one is behind");
    // When it has had no contact to a leader for long, and the other one campaigns.
    cluster.now += SECOND;
    let now = cluster.now;
    let mut third = Replica::recover(member(3), vec![], wide(), &records, 3, now).expect("its own records");
    let mut votes = 0;
    cluster.replicas[position].handle_timeout(now);
    for _ in 0..200 {
        let later = third.next_timeout();
        third.handle_timeout(later);
        for (to, bytes) in third.take_ready().messages {
            if to.id == cluster.replicas[position].local_member().id {
                cluster.replicas[position].receive(later.max(now), &bytes).expect("it can be read");
                let answers = cluster.replicas[position].take_ready();
                assert!(!is_more_than_bounded(&answers));
                votes += answers.messages.iter().filter(|(to, _)| to.id == 3).count();
            }
        }
        if votes > 0 && cluster.replicas[position].has_unapplied_entries() {
            return;
        }
    }
    panic!("it answered {votes} times before it was done");
}

#[test]
fn given_entries_of_many_sizes_when_they_are_applied_then_one_longer_than_the_bound_is_applied_alone() {
    let sizes = [10, MAX_APPLY_BYTES + 100, MAX_APPLY_BYTES / 2, MAX_APPLY_BYTES / 2, 30, MAX_APPLY_BYTES];
    let mut cluster = Cluster::new(2, &[1, 2, 3], wide());
    let leader = cluster.wait_for_leader();
    for size in sizes.repeat(5) {
        cluster.propose(leader, size);
    }
    cluster.run_for(SECOND);
    // Then the harness found no take above the bound.
    cluster.assert_sound();
    for id in 1..=3 {
        cluster.power_off(id);
    }
    for id in 1..=3 {
        cluster.start(id);
    }
    let leader = cluster.wait_for_leader();
    assert_eq!(cluster.nodes[&leader].applied.len(), sizes.len() * 5);
    cluster.assert_sound();
}

#[test]
fn given_a_ready_above_the_bound_when_it_is_checked_then_the_checker_finds_it() {
    let command = |bytes: usize| (1, Bytes::from(vec![0; bytes]));
    let output = |committed: Vec<(Index, Bytes)>| Ready { committed, ..Ready::default() };
    assert!(!is_more_than_bounded(&output(vec![command(MAX_APPLY_BYTES + 1)])));
    assert!(is_more_than_bounded(&output(vec![command(MAX_APPLY_BYTES), command(1)])));
    assert!(is_more_than_bounded(&output(vec![command(0); MAX_APPLY_ENTRIES + 1])));
    let restore =
        vec![RestoreStep::Chunk(Bytes::from(vec![0; MAX_APPLY_BYTES])), RestoreStep::Chunk(Bytes::from("a"))];
    assert!(is_more_than_bounded(&Ready { restore, ..Ready::default() }));
}

/// A state of many chunks that counts how many of them were encoded.
struct CountingSource {
    chunks: usize,
    made: AtomicUsize,
}

const COUNTED_CHUNK_BYTES: usize = 1_000;

impl CountingSource {
    fn new(chunks: usize) -> Arc<Self> {
        Arc::new(Self { chunks, made: AtomicUsize::new(0) })
    }
    fn made(&self) -> usize {
        self.made.load(Ordering::Relaxed)
    }
}

impl SnapshotSource for CountingSource {
    fn chunks(&self) -> usize {
        self.chunks
    }
    fn chunk(&self, number: usize) -> Bytes {
        self.made.fetch_add(1, Ordering::Relaxed);
        Bytes::from(vec![(number % 251) as u8; COUNTED_CHUNK_BYTES])
    }
    fn size(&self) -> u64 {
        (self.chunks * COUNTED_CHUNK_BYTES) as u64
    }
}

/// The only member of a replica set, which has committed some commands.
fn single_leader() -> Replica {
    let mut replica = Replica::new(member(1), members(&[1]), wide(), 1, 0);
    let mut now = 0;
    while !replica.is_serving_leader() {
        now = replica.next_timeout().max(now);
        replica.handle_timeout(now);
        save(&mut replica, now);
    }
    for command in ["one", "two", "three"] {
        replica.propose(now, Bytes::from(command)).expect("it leads");
        save(&mut replica, now);
    }
    replica
}

fn save(replica: &mut Replica, now: Time) {
    while let Some((ticket, _)) = replica.take_ready().records.last() {
        replica.persisted(now, *ticket);
    }
}

#[test]
fn given_a_large_state_when_it_is_compacted_then_no_chunk_is_encoded_before_the_disk_writes_it() {
    const CHUNKS: usize = 2_000;
    let mut replica = single_leader();
    let state = CountingSource::new(CHUNKS);
    replica.compact(0, state.clone());
    replica.propose(0, Bytes::from("four")).expect("it leads");
    let output = replica.take_ready();
    let records = output.rewrite.expect("it is compacted").records;
    assert_eq!(state.made(), 0);
    // When its size is asked for, which is needed first: that encodes no chunk.
    let size = records.size();
    assert_eq!((state.made(), records.snapshot_count()), (0, 1 + CHUNKS));
    // When the records are iterated over twice, as where the disk failed: they are the same, encoded one at a time.
    let mut walk = records.iter();
    assert!(walk.next().is_some() && walk.next().is_some());
    assert_eq!(state.made(), 1);
    let (one, two): (Vec<Bytes>, Vec<Bytes>) = (records.iter().collect(), records.iter().collect());
    assert_eq!(one, two);
    assert_eq!(one.iter().map(|record| record.len() as u64).sum::<u64>(), size);
    assert_eq!(one.len(), records.count());
    assert_eq!(records.record(records.count()), None);
    // Then who has them restores it in bounded parts, with bytes that are the records' own.
    let mut again = Replica::recover(member(1), vec![], wide(), &one, 2, 0).expect("its own records");
    let (mut chunks, mut apply_steps) = (0, 0);
    while again.has_unapplied_entries() {
        assert!(!again.is_serving_leader() && again.next_timeout() == 0);
        let output = again.take_ready();
        assert!(!is_more_than_bounded(&output));
        apply_steps += 1;
        for step in output.restore {
            if let RestoreStep::Chunk(chunk) = step {
                assert_eq!(chunk, state.chunk(chunks));
                let record = &one[1 + chunks];
                assert!(record.as_ptr_range().contains(&chunk.as_ptr()), "chunk {chunks} is a copy");
                chunks += 1;
            }
        }
    }
    assert_eq!(chunks, CHUNKS);
    assert!(apply_steps >= CHUNKS * COUNTED_CHUNK_BYTES / MAX_APPLY_BYTES, "{apply_steps}");
}

#[test]
fn given_records_with_a_chunk_missing_repeated_or_out_of_order_when_they_are_recovered_then_that_is_an_error()
{
    let mut replica = single_leader();
    replica.compact(0, CountingSource::new(4));
    let whole: Vec<Bytes> = replica.take_ready().rewrite.expect("it is compacted").records.iter().collect();
    let read = |records: &[Bytes]| Replica::recover(member(1), vec![], wide(), records, 1, 0).is_ok();
    assert!(read(&whole));
    for position in 1..=4 {
        let (mut without, mut twice, mut swapped) = (whole.clone(), whole.clone(), whole.clone());
        without.remove(position);
        twice.insert(position, whole[position].clone());
        swapped.swap(position, position % 4 + 1);
        assert!(!read(&without) && !read(&twice) && !read(&swapped), "{position}");
        assert!(!read(&whole[..position]), "{position}");
    }
    // A snapshot in one record, as files had it earlier: index, term, length of the replica set, replica set, state.
    let earlier = Bytes::from([&[3][..], &[1; 8], &[1; 8], &[4, 0, 0, 0], &[0; 4], b"state"].concat());
    assert!(!read(&[earlier]));
}

#[test]
fn given_a_snapshot_without_chunks_when_it_is_recovered_then_an_empty_state_is_restored() {
    let mut leader = single_leader();
    leader.compact(0, Arc::new(InMemoryState::new(Bytes::new(), 10)));
    let records = leader.take_ready().rewrite.expect("it is compacted").records;
    let records: Vec<Bytes> = records.iter().collect();
    let mut again = Replica::recover(member(1), vec![], wide(), &records, 1, 0).expect("its own records");
    assert!(matches!(again.take_ready().restore[..], [RestoreStep::Begin, RestoreStep::Finish(_)]));
}

/// A member that was away for so many changes gets a snapshot of many chunks over bad links, while the leader changes and
/// compacts again; in the middle of it, this happens.
fn transfer(seed: u64, what: impl Fn(&mut Cluster, MemberId, MemberId)) {
    let mut cluster =
        Cluster::new(seed, &[1, 2, 3], Settings { compaction_threshold_bytes: 2_000, ..settings(2) });
    let leader = cluster.wait_for_leader();
    let far = others(leader)[0];
    cluster.power_off(far);
    for _ in 0..1_500 {
        cluster.propose(leader, PADDING_BYTES);
        cluster.run_for(2 * MILLIS);
    }
    cluster.run_for(SECOND);
    cluster.network = Network { loss: 0.05, duplication: 0.05, delay: 0.1 };
    cluster.start(far);
    let begun =
        |cluster: &Cluster| cluster.traffic.get(&far).is_some_and(|traffic| traffic.snapshot_bytes > 8_000);
    assert!(cluster.run_until(20 * SECOND, begun), "seed {seed}");
    assert!(cluster.nodes[&far].applied.is_empty(), "seed {seed}: the transfer is in progress");
    what(&mut cluster, leader, far);
    cluster.network = Network { loss: 0.0, duplication: 0.0, delay: 0.0 };
    let whole = |cluster: &Cluster| cluster.nodes[&far].applied.len() == cluster.history.len();
    let done = cluster.run_until(20 * SECOND, |cluster| cluster.leader().is_some() && whole(cluster));
    cluster.assert_sound();
    assert!(done, "seed {seed}: {} of {}", cluster.nodes[&far].applied.len(), cluster.history.len());
}

#[test]
fn given_a_transfer_of_many_chunks_over_bad_links_when_the_leader_changes_then_the_next_one_completes_it() {
    for seed in 0..10 {
        transfer(seed, |cluster, leader, _| cluster.power_off(leader));
    }
}

#[test]
fn given_a_transfer_in_progress_when_its_leader_is_replaced_then_the_unfinished_state_is_dropped_at_once() {
    for seed in 0..10 {
        transfer(seed, |cluster, leader, far| {
            assert!(cluster.nodes[&far].unfinished_state.is_some(), "seed {seed}");
            let term = cluster.replica(far).term();
            cluster.power_off(leader);
            let is_replaced = |cluster: &Cluster| cluster.replica(far).term() > term;
            assert!(cluster.run_until(5 * SECOND, is_replaced), "seed {seed}");
            assert!(cluster.nodes[&far].unfinished_state.is_none(), "seed {seed}");
        });
    }
}

#[test]
fn given_a_transfer_of_many_chunks_over_bad_links_when_a_new_snapshot_is_made_then_it_completes() {
    for seed in 0..10 {
        transfer(seed, |cluster, _, _| {
            for _ in 0..300 {
                if let Some(leader) = cluster.leader() {
                    cluster.propose(leader, PADDING_BYTES);
                }
                cluster.run_for(2 * MILLIS);
            }
        });
    }
}

#[test]
fn given_a_snapshot_that_was_received_completely_when_the_disk_has_not_written_it_then_it_is_not_acknowledged()
 {
    const CHANGES: u64 = 500;
    for seed in 0..10 {
        let mut cluster =
            Cluster::new(seed, &[1, 2, 3], Settings { compaction_threshold_bytes: 2_000, ..settings(2) });
        let leader = cluster.wait_for_leader();
        let (far, near) = (others(leader)[0], others(leader)[1]);
        cluster.power_off(far);
        for _ in 0..CHANGES {
            cluster.propose(leader, PADDING_BYTES);
            cluster.run_for(2 * MILLIS);
        }
        cluster.run_for(SECOND);
        let lacks = |cluster: &Cluster| {
            let behind = cluster.replica(leader).replication_lag();
            behind.iter().find(|lag| lag.member == far).map_or(0, |lag| lag.entries)
        };
        // Given a disk that takes very long.
        cluster.nodes.get_mut(&far).expect("a member").disk_delay = 10_000 * SECOND;
        cluster.start(far);
        assert!(cluster.run_until(10 * SECOND, |cluster| cluster.nodes[&far].restores == 1), "seed {seed}");
        cluster.run_for(SECOND);
        assert!(
            cluster.unsynced_writes(far) > 0 && lacks(&cluster) >= CHANGES,
            "seed {seed}: {}",
            lacks(&cluster)
        );
        // Then it is none of a majority: nothing is committed with it alone.
        cluster.power_off(near);
        let command = cluster.propose(leader, PADDING_BYTES).expect("it leads");
        cluster.run_for(100 * MILLIS);
        assert!(!cluster.is_committed(command), "seed {seed}");
        // When it loses power, then it has what it had before.
        cluster.power_off(far);
        cluster.nodes.get_mut(&far).expect("a member").disk_delay = MILLIS;
        cluster.start(far);
        cluster.start(near);
        let whole = |cluster: &Cluster| cluster.nodes[&far].applied.len() == cluster.history.len();
        assert!(cluster.run_until(10 * SECOND, |cluster| cluster.leader().is_some() && whole(cluster)));
        cluster.assert_sound();
    }
}

#[test]
fn given_a_transfer_of_many_chunks_when_the_member_crashes_in_the_middle_then_it_restarts_and_completes() {
    for seed in 0..10 {
        transfer(seed, |cluster, _, far| {
            cluster.crash(far);
            cluster.run_for(SECOND);
            cluster.start(far);
        });
    }
}

#[test]
fn given_a_transfer_of_many_chunks_when_the_leader_freezes_in_the_middle_then_it_completes() {
    for seed in 0..10 {
        transfer(seed, |cluster, leader, _| {
            cluster.freeze(leader, 2 * SECOND);
            cluster.run_for(3 * SECOND);
        });
    }
}
