//! A member that drops its log and state: what it keeps on its disk.

mod common;

use bytes::Bytes;
use common::{MILLIS, member, members, settings};
use rainlug_consensus::{Member, Replica, Time};

/// A replica with a disk that syncs at once.
struct Node {
    replica: Replica,
    disk: Vec<Bytes>,
}

impl Node {
    fn new(id: u64, founding: &[u64]) -> Self {
        Node { replica: Replica::new(member(id), members(founding), settings(1), id, 0), disk: Vec::new() }
    }

    /// Carries out what it wants; its messages.
    fn process_ready(&mut self, now: Time) -> Vec<(Member, Bytes)> {
        let output = self.replica.take_ready();
        let mut ticket = None;
        if let Some(rewrite) = output.rewrite {
            self.disk = rewrite.records.iter().collect();
            ticket = Some(rewrite.ticket);
        }
        for (saved, record) in output.records {
            self.disk.push(record);
            ticket = Some(saved);
        }
        if let Some(ticket) = ticket {
            self.replica.persisted(now, ticket);
        }
        output.messages
    }

    /// Its process starts again with what the disk holds.
    fn restart(&mut self, founding: &[u64], now: Time) {
        let me = self.replica.local_member().clone();
        self.replica = Replica::recover(me, members(founding), settings(1), &self.disk, 9, now).unwrap();
    }
}

/// Time passes for these nodes; messages to others are lost.
fn run(nodes: &mut [&mut Node], now: &mut Time, time: Time) {
    let end = *now + time;
    while *now < end {
        *now += 5 * MILLIS;
        for node in nodes.iter_mut() {
            node.replica.handle_timeout(*now);
        }
        loop {
            let sent: Vec<(Member, Bytes)> =
                nodes.iter_mut().flat_map(|node| node.process_ready(*now)).collect();
            if sent.is_empty() {
                break;
            }
            for (to, bytes) in sent {
                if let Some(node) = nodes.iter_mut().find(|node| node.replica.local_member().id == to.id) {
                    node.replica.receive(*now, &bytes).unwrap();
                }
            }
        }
    }
}

const FOUNDING: [u64; 3] = [1, 2, 3];

/// A replica set of three, of which the last one has missed what the others have committed.
fn with_one_left_behind(now: &mut Time) -> [Node; 3] {
    let [mut first, mut second, third] = FOUNDING.map(|id| Node::new(id, &FOUNDING));
    run(&mut [&mut first, &mut second], now, 2_000 * MILLIS);
    let leader = if first.replica.is_serving_leader() { &mut first } else { &mut second };
    leader.replica.propose(*now, Bytes::from_static(&[7; 100])).unwrap();
    run(&mut [&mut first, &mut second], now, 500 * MILLIS);
    [first, second, third]
}

/// The follower of the first two becomes a tombstone.
fn tombstone_records(first: Node, second: Node, now: Time) -> Node {
    let mut follower = if first.replica.is_serving_leader() { second } else { first };
    assert!(follower.replica.become_tombstone(now));
    follower.process_ready(now);
    follower
}

#[test]
fn given_a_tombstone_when_a_member_that_lacks_its_log_campaigns_then_that_one_is_not_elected() {
    for restarts in [false, true] {
        let mut now = 0;
        let [first, second, mut third] = with_one_left_behind(&mut now);
        let mut vacant = tombstone_records(first, second, now);
        if restarts {
            vacant.restart(&FOUNDING, now);
        }
        run(&mut [&mut vacant, &mut third], &mut now, 10_000 * MILLIS);
        assert!(!third.replica.is_leader(), "restarted: {restarts}");
    }
}

#[test]
fn given_a_founding_member_that_became_a_tombstone_when_it_restarts_then_it_founds_nothing_again() {
    let mut now = 0;
    let [first, second, _] = with_one_left_behind(&mut now);
    let mut vacant = tombstone_records(first, second, now);
    vacant.restart(&FOUNDING, now);
    assert!(vacant.replica.is_tombstone());
    run(&mut [&mut vacant], &mut now, 5_000 * MILLIS);
    assert!(vacant.replica.members().is_empty());
}

#[test]
fn given_a_tombstone_when_it_restarts_then_it_has_its_term_and_a_short_file() {
    let mut now = 0;
    let [first, second, _] = with_one_left_behind(&mut now);
    let term = first.replica.term();
    let mut vacant = tombstone_records(first, second, now);
    vacant.restart(&FOUNDING, now);
    assert_eq!(vacant.replica.term(), term);
    let length: usize = vacant.disk.iter().map(Bytes::len).sum();
    assert!(length < 100, "{length} bytes");
}

#[test]
fn given_a_leader_when_it_is_to_become_a_tombstone_then_it_keeps_everything() {
    let mut now = 0;
    let [first, second, _] = with_one_left_behind(&mut now);
    let mut leader = if first.replica.is_serving_leader() { first } else { second };
    assert!(!leader.replica.become_tombstone(now));
    assert!(leader.replica.is_serving_leader());
}

#[test]
fn given_a_tombstone_when_it_joins_again_then_it_catches_up() {
    let mut now = 0;
    let [first, second, _] = with_one_left_behind(&mut now);
    let (mut leader, follower) =
        if first.replica.is_serving_leader() { (first, second) } else { (second, first) };
    let mut third = Node::new(3, &FOUNDING);
    run(&mut [&mut leader, &mut third], &mut now, 500 * MILLIS);
    let id = follower.replica.local_member().id;
    let rest: Vec<u64> = FOUNDING.into_iter().filter(|other| *other != id).collect();
    leader.replica.change_replica_set(now, members(&rest)).unwrap();
    run(&mut [&mut leader, &mut third], &mut now, 500 * MILLIS);
    let mut vacant = follower;
    assert!(vacant.replica.become_tombstone(now));
    vacant.process_ready(now);

    leader.replica.change_replica_set(now, members(&[rest[0], rest[1], id])).unwrap();
    run(&mut [&mut leader, &mut third, &mut vacant], &mut now, 500 * MILLIS);

    assert_eq!(vacant.replica.members(), leader.replica.members());
    assert_eq!(vacant.replica.is_replica_set_committed(), leader.replica.is_replica_set_committed());
    assert_eq!(vacant.replica.uncommitted_entries(), 0);
    assert!(!vacant.replica.is_tombstone());
}
