//! No step of a replica grows with the state: a long log is applied in bounded parts between messages and signs of life, and a
//! snapshot goes piece by piece, whatever happens meanwhile.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use common::{MILLIS, Network, SECOND, World, is_more_than_bounded, member, members, settings};
use rainlug_consensus::{
    InMemoryState, Index, MAX_APPLY_BYTES, MAX_APPLY_ENTRIES, MemberId, Ready, Replica, RestoreStep,
    Settings, SnapshotSource, Time,
};

/// Bytes of a change beside its number.
const PADDING: usize = 50;
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

/// The records of a member of three that has saved so many entries.
fn long_log(entries: usize, padding: usize) -> Vec<Bytes> {
    let mut world = World::new(1, &[1, 2, 3], wide());
    let leader = world.elect();
    for n in 0..entries {
        world.propose(leader, padding);
        if n % 100 == 0 {
            world.run_for(10 * MILLIS);
        }
    }
    world.run_for(SECOND);
    world.sound();
    world.nodes[&others(leader)[0]].disk.clone()
}

/// Two of three that have lost power and come back with the same long log; each step of theirs is one call.
struct Restarted {
    now: Time,
    replicas: Vec<Replica>,
    applied: Vec<usize>,
    takes: Vec<usize>,
    /// Messages that each was sent while its state machine was still behind.
    heard_meanwhile: usize,
    sent_meanwhile: usize,
    too_much: usize,
}

impl Restarted {
    fn new(records: &[Bytes]) -> Self {
        let replicas = [1, 2].map(|id| {
            Replica::recover(member(id), vec![], wide(), records, id, 0).expect("its own records are read")
        });
        Self {
            now: 0,
            replicas: replicas.into(),
            applied: vec![0; 2],
            takes: vec![0; 2],
            heard_meanwhile: 0,
            sent_meanwhile: 0,
            too_much: 0,
        }
    }

    /// One turn of a shell's loop: what is due, one take, and what that sends arrives.
    fn turn(&mut self, place: usize) {
        let now = self.now;
        if self.replicas[place].next_timeout() <= now {
            self.replicas[place].handle_timeout(now);
        }
        let output = self.replicas[place].take_ready();
        self.too_much += usize::from(is_more_than_bounded(&output));
        self.takes[place] += usize::from(!output.committed.is_empty());
        self.applied[place] += output.committed.len();
        let was_behind = self.replicas[place].has_unapplied_entries();
        assert!(
            !was_behind || self.replicas[place].next_timeout() <= now,
            "more is to be done, and it does not say so"
        );
        if let Some((ticket, _)) = output.records.last() {
            self.replicas[place].persisted(now, *ticket);
        }
        for (to, bytes) in output.messages {
            let Some(at) = self.replicas.iter().position(|replica| replica.local_member().id == to.id) else {
                continue;
            };
            self.sent_meanwhile += usize::from(was_behind);
            self.heard_meanwhile += usize::from(self.replicas[at].has_unapplied_entries());
            self.replicas[at].receive(now, &bytes).expect("it can be read");
        }
    }
}

#[test]
fn given_a_long_log_when_all_restart_then_it_is_applied_in_bounded_parts_under_one_leader() {
    const TURN: Time = 20 * MILLIS;
    let records = long_log(ENTRIES, PADDING);
    let mut fleet = Restarted::new(&records);
    let mut leader_terms = vec![];
    while fleet.applied.iter().any(|&applied| applied < ENTRIES) && fleet.now < 20 * SECOND {
        // Given that each part that is applied takes a tenth of the time after which a member stands.
        fleet.now += TURN;
        for place in 0..2 {
            fleet.turn(place);
            let replica = &fleet.replicas[place];
            if replica.is_leader() {
                leader_terms.push(replica.term());
            }
            // Then it does not serve before its state machine has all of the earlier terms.
            assert!(!replica.is_serving_leader() || fleet.applied[place] >= ENTRIES);
        }
    }
    leader_terms.dedup();
    println!("{:?} takes, leaders of terms {leader_terms:?}", fleet.takes);
    assert_eq!(fleet.applied, [ENTRIES, ENTRIES]);
    assert_eq!(fleet.too_much, 0);
    assert!(fleet.takes.iter().all(|&takes| takes >= ENTRIES / MAX_APPLY_ENTRIES), "{:?}", fleet.takes);
    // Then who was elected first leads on: signs of life go and come while both are behind.
    assert_eq!(leader_terms.len(), 1, "{leader_terms:?}");
    assert!(fleet.sent_meanwhile >= 5 && fleet.heard_meanwhile >= 5);
    for _ in 0..3 {
        fleet.now += TURN;
        (0..2).for_each(|place| fleet.turn(place));
    }
    assert!(fleet.replicas.iter().any(Replica::is_serving_leader));
}

#[test]
fn given_a_member_that_applies_a_long_log_when_it_is_asked_for_a_vote_then_it_answers() {
    let records = long_log(ENTRIES, PADDING);
    let mut fleet = Restarted::new(&records);
    let behind = |fleet: &Restarted| fleet.replicas.iter().any(Replica::has_unapplied_entries);
    while !behind(&fleet) {
        fleet.now += MILLIS;
        (0..2).for_each(|place| fleet.turn(place));
        assert!(fleet.now < 10 * SECOND);
    }
    let place = fleet.replicas.iter().position(Replica::has_unapplied_entries).expect("one is behind");
    // When it has heard no leader for long, and the other one stands.
    fleet.now += SECOND;
    let now = fleet.now;
    let mut third = Replica::recover(member(3), vec![], wide(), &records, 3, now).expect("its own records");
    let mut votes = 0;
    fleet.replicas[place].handle_timeout(now);
    for _ in 0..200 {
        let later = third.next_timeout();
        third.handle_timeout(later);
        for (to, bytes) in third.take_ready().messages {
            if to.id == fleet.replicas[place].local_member().id {
                fleet.replicas[place].receive(later.max(now), &bytes).expect("it can be read");
                let answers = fleet.replicas[place].take_ready();
                assert!(!is_more_than_bounded(&answers));
                votes += answers.messages.iter().filter(|(to, _)| to.id == 3).count();
            }
        }
        if votes > 0 && fleet.replicas[place].has_unapplied_entries() {
            return;
        }
    }
    panic!("it answered {votes} times before it was done");
}

#[test]
fn given_entries_of_many_sizes_when_they_are_applied_then_one_longer_than_the_bound_goes_alone() {
    let sizes = [10, MAX_APPLY_BYTES + 100, MAX_APPLY_BYTES / 2, MAX_APPLY_BYTES / 2, 30, MAX_APPLY_BYTES];
    let mut world = World::new(2, &[1, 2, 3], wide());
    let leader = world.elect();
    for size in sizes.repeat(5) {
        world.propose(leader, size);
    }
    world.run_for(SECOND);
    // Then the harness found no take above the bound.
    world.sound();
    for id in 1..=3 {
        world.power_off(id);
    }
    for id in 1..=3 {
        world.start(id);
    }
    let leader = world.elect();
    assert_eq!(world.nodes[&leader].applied.len(), sizes.len() * 5);
    world.sound();
}

#[test]
fn the_check_finds_a_take_above_the_bound() {
    let command = |bytes: usize| (1, Bytes::from(vec![0; bytes]));
    let output = |committed: Vec<(Index, Bytes)>| Ready { committed, ..Ready::default() };
    assert!(!is_more_than_bounded(&output(vec![command(MAX_APPLY_BYTES + 1)])));
    assert!(is_more_than_bounded(&output(vec![command(MAX_APPLY_BYTES), command(1)])));
    assert!(is_more_than_bounded(&output(vec![command(0); MAX_APPLY_ENTRIES + 1])));
    let restore =
        vec![RestoreStep::Chunk(Bytes::from(vec![0; MAX_APPLY_BYTES])), RestoreStep::Chunk(Bytes::from("a"))];
    assert!(is_more_than_bounded(&Ready { restore, ..Ready::default() }));
}

/// A state of many pieces that tells how many of them were made.
struct Counted {
    chunks: usize,
    made: AtomicUsize,
}

const COUNTED_CHUNK: usize = 1_000;

impl Counted {
    fn new(chunks: usize) -> Arc<Self> {
        Arc::new(Self { chunks, made: AtomicUsize::new(0) })
    }
    fn made(&self) -> usize {
        self.made.load(Ordering::Relaxed)
    }
}

impl SnapshotSource for Counted {
    fn chunks(&self) -> usize {
        self.chunks
    }
    fn chunk(&self, number: usize) -> Bytes {
        self.made.fetch_add(1, Ordering::Relaxed);
        Bytes::from(vec![(number % 251) as u8; COUNTED_CHUNK])
    }
    fn size(&self) -> u64 {
        (self.chunks * COUNTED_CHUNK) as u64
    }
}

/// One that is alone in its group, and has committed some.
fn alone() -> Replica {
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
fn given_a_big_state_when_it_is_compacted_then_no_piece_is_made_before_the_disk_writes_it() {
    const CHUNKS: usize = 2_000;
    let mut replica = alone();
    let state = Counted::new(CHUNKS);
    replica.compact(0, state.clone());
    replica.propose(0, Bytes::from("four")).expect("it leads");
    let output = replica.take_ready();
    let records = output.rewrite.expect("it is compacted").records;
    assert_eq!(state.made(), 0);
    // When its size is asked for, which is needed first: it is told without making any.
    let size = records.size();
    assert_eq!((state.made(), records.snapshot_count()), (0, 1 + CHUNKS));
    // When it is walked over twice, as where the disk refused it: the same records, one made at a time.
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
    let (mut chunks, mut takes) = (0, 0);
    while again.has_unapplied_entries() {
        assert!(!again.is_serving_leader() && again.next_timeout() == 0);
        let output = again.take_ready();
        assert!(!is_more_than_bounded(&output));
        takes += 1;
        for step in output.restore {
            if let RestoreStep::Chunk(chunk) = step {
                assert_eq!(chunk, state.chunk(chunks));
                let record = &one[1 + chunks];
                assert!(record.as_ptr_range().contains(&chunk.as_ptr()), "piece {chunks} is a copy");
                chunks += 1;
            }
        }
    }
    assert_eq!(chunks, CHUNKS);
    assert!(takes >= CHUNKS * COUNTED_CHUNK / MAX_APPLY_BYTES, "{takes}");
}

#[test]
fn given_records_with_a_piece_missing_twice_or_in_another_place_when_they_are_read_then_that_is_an_error() {
    let mut replica = alone();
    replica.compact(0, Counted::new(4));
    let whole: Vec<Bytes> = replica.take_ready().rewrite.expect("it is compacted").records.iter().collect();
    let read = |records: &[Bytes]| Replica::recover(member(1), vec![], wide(), records, 1, 0).is_ok();
    assert!(read(&whole));
    for place in 1..=4 {
        let (mut without, mut twice, mut swapped) = (whole.clone(), whole.clone(), whole.clone());
        without.remove(place);
        twice.insert(place, whole[place].clone());
        swapped.swap(place, place % 4 + 1);
        assert!(!read(&without) && !read(&twice) && !read(&swapped), "{place}");
        assert!(!read(&whole[..place]), "{place}");
    }
    // A snapshot in one record, as files had it earlier: index, term, length of the group, group, state.
    let earlier = Bytes::from([&[3][..], &[1; 8], &[1; 8], &[4, 0, 0, 0], &[0; 4], b"state"].concat());
    assert!(!read(&[earlier]));
}

#[test]
fn given_a_snapshot_without_any_pieces_when_it_is_read_then_an_empty_state_is_restored() {
    let mut leader = alone();
    leader.compact(0, Arc::new(InMemoryState::new(Bytes::new(), 10)));
    let records = leader.take_ready().rewrite.expect("it is compacted").records;
    let records: Vec<Bytes> = records.iter().collect();
    let mut again = Replica::recover(member(1), vec![], wide(), &records, 1, 0).expect("its own records");
    assert!(matches!(again.take_ready().restore[..], [RestoreStep::Begin, RestoreStep::Finish(_)]));
}

/// A member that was away for so many changes gets a snapshot of many pieces over bad links, while the leader changes and
/// compacts again; in the middle of it, this happens.
fn transfer(seed: u64, what: impl Fn(&mut World, MemberId, MemberId)) {
    let mut world =
        World::new(seed, &[1, 2, 3], Settings { compaction_threshold_bytes: 2_000, ..settings(2) });
    let leader = world.elect();
    let far = others(leader)[0];
    world.power_off(far);
    for _ in 0..1_500 {
        world.propose(leader, PADDING);
        world.run_for(2 * MILLIS);
    }
    world.run_for(SECOND);
    world.network = Network { loss: 0.05, twice: 0.05, slow: 0.1 };
    world.start(far);
    let begun = |world: &World| world.traffic.get(&far).is_some_and(|traffic| traffic.snapshot_bytes > 8_000);
    assert!(world.run_until(20 * SECOND, begun), "seed {seed}");
    assert!(world.nodes[&far].applied.is_empty(), "seed {seed}: it is under way");
    what(&mut world, leader, far);
    world.network = Network { loss: 0.0, twice: 0.0, slow: 0.0 };
    let whole = |world: &World| world.nodes[&far].applied.len() == world.history.len();
    let done = world.run_until(20 * SECOND, |world| world.leader().is_some() && whole(world));
    world.sound();
    assert!(done, "seed {seed}: {} of {}", world.nodes[&far].applied.len(), world.history.len());
}

#[test]
fn given_a_transfer_of_many_pieces_over_bad_links_when_the_leader_changes_then_the_next_one_ends_it() {
    for seed in 0..10 {
        transfer(seed, |world, leader, _| world.power_off(leader));
    }
}

#[test]
fn given_a_transfer_under_way_when_its_leader_is_replaced_then_what_was_begun_is_dropped_at_once() {
    for seed in 0..10 {
        transfer(seed, |world, leader, far| {
            assert!(world.nodes[&far].building.is_some(), "seed {seed}");
            let term = world.replica(far).term();
            world.power_off(leader);
            let is_replaced = |world: &World| world.replica(far).term() > term;
            assert!(world.run_until(5 * SECOND, is_replaced), "seed {seed}");
            assert!(world.nodes[&far].building.is_none(), "seed {seed}");
        });
    }
}

#[test]
fn given_a_transfer_of_many_pieces_over_bad_links_when_a_new_snapshot_is_made_then_it_ends() {
    for seed in 0..10 {
        transfer(seed, |world, _, _| {
            for _ in 0..300 {
                if let Some(leader) = world.leader() {
                    world.propose(leader, PADDING);
                }
                world.run_for(2 * MILLIS);
            }
        });
    }
}

#[test]
fn given_a_snapshot_that_has_come_whole_when_the_disk_has_not_written_it_then_it_counts_for_nothing() {
    const CHANGES: u64 = 500;
    for seed in 0..10 {
        let mut world =
            World::new(seed, &[1, 2, 3], Settings { compaction_threshold_bytes: 2_000, ..settings(2) });
        let leader = world.elect();
        let (far, near) = (others(leader)[0], others(leader)[1]);
        world.power_off(far);
        for _ in 0..CHANGES {
            world.propose(leader, PADDING);
            world.run_for(2 * MILLIS);
        }
        world.run_for(SECOND);
        let lacks = |world: &World| {
            let behind = world.replica(leader).replication_lag();
            behind.iter().find(|lag| lag.member == far).map_or(0, |lag| lag.entries)
        };
        // Given a disk that takes very long.
        world.nodes.get_mut(&far).expect("a member").disk_delay = 10_000 * SECOND;
        world.start(far);
        assert!(world.run_until(10 * SECOND, |world| world.nodes[&far].restores == 1), "seed {seed}");
        world.run_for(SECOND);
        assert!(world.unsynced(far) > 0 && lacks(&world) >= CHANGES, "seed {seed}: {}", lacks(&world));
        // Then it is none of a majority: nothing is committed with it alone.
        world.power_off(near);
        let command = world.propose(leader, PADDING).expect("it leads");
        world.run_for(100 * MILLIS);
        assert!(!world.is_committed(command), "seed {seed}");
        // When it loses power, then it has what it had before.
        world.power_off(far);
        world.nodes.get_mut(&far).expect("a member").disk_delay = MILLIS;
        world.start(far);
        world.start(near);
        let whole = |world: &World| world.nodes[&far].applied.len() == world.history.len();
        assert!(world.run_until(10 * SECOND, |world| world.leader().is_some() && whole(world)));
        world.sound();
    }
}

#[test]
fn given_a_transfer_of_many_pieces_when_the_member_crashes_in_the_middle_then_it_begins_again_and_ends() {
    for seed in 0..10 {
        transfer(seed, |world, _, far| {
            world.crash(far);
            world.run_for(SECOND);
            world.start(far);
        });
    }
}

#[test]
fn given_a_transfer_of_many_pieces_when_the_leader_stands_still_in_the_middle_then_it_ends() {
    for seed in 0..10 {
        transfer(seed, |world, leader, _| {
            world.freeze(leader, 2 * SECOND);
            world.run_for(3 * SECOND);
        });
    }
}
