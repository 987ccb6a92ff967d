//! The bytes of a replica set, pinned: messages between replicas, and records on their disks, each as replicas of a fixed seed make
//! them; and that replicas read pinned ones.

mod common;
#[path = "../../../tests/common/fixture.rs"]
mod fixture;

use std::net::{Ipv6Addr, SocketAddr, SocketAddrV6};
use std::sync::Arc;

use bytes::Bytes;
use common::{Cluster, MILLIS, SECOND, Trace, body_code, encode, member, members, settings};
use rainlug_consensus::{InMemoryState, Index, Member, MemberId, Ready, Replica, RestoreStep, Time};

const FOUNDING: [MemberId; 3] = [1, 2, 3];
/// Who joins it later.
const JOINING_MEMBER: MemberId = 4;
/// Of each kind, so many different messages or records are pinned.
const MAX_PER_KIND: usize = 6;
/// How long a scenario goes on after each of its events.
const EVENT_INTERVAL: Time = SECOND;

const MESSAGE_KINDS: [&str; 8] = [
    "RequestVote",
    "Vote",
    "AppendEntries",
    "Appended",
    "Rejected",
    "InstallSnapshot",
    "SnapshotWanted",
    TIMEOUT_NOW_KIND,
];
/// Only a transfer of leadership sends it.
const TIMEOUT_NOW_KIND: &str = "TimeoutNow";
/// By id less one; no kind has the id 3.
const RECORD_KINDS: [&str; 7] = ["HardState", "Entry", "", "Settled", "Snapshot", "Piece", "VoteFloor"];

fn message_line(bytes: &Bytes) -> (String, Bytes) {
    (MESSAGE_KINDS[usize::from(body_code(bytes)) - 1].to_owned(), bytes.clone())
}

fn record_line(bytes: &Bytes) -> (String, Bytes) {
    (RECORD_KINDS[usize::from(bytes[0]) - 1].to_owned(), bytes.clone())
}

fn propose(cluster: &mut Cluster, count: usize) {
    for _ in 0..count {
        let leader = cluster.wait_for_leader();
        cluster.propose(leader, 40);
        cluster.run_for(20 * MILLIS);
    }
}

/// An isolated leader has entries that nobody else gets; then it is back, and its log is truncated to that of the others.
fn replace_leader(cluster: &mut Cluster) {
    let old = cluster.wait_for_leader();
    cluster.isolate(old);
    cluster.propose(old, 30);
    cluster.propose(old, 31);
    cluster.run_until(10 * SECOND, |cluster| cluster.leader().is_some_and(|leader| leader != old));
    propose(cluster, 3);
    cluster.blocked_links.clear();
    cluster.run_for(EVENT_INTERVAL);
}

/// A follower is away until what it lacks is only in a snapshot; then it is back.
fn send_snapshot_to_follower(cluster: &mut Cluster) {
    let leader = cluster.wait_for_leader();
    let away = FOUNDING.into_iter().find(|id| *id != leader).expect("a follower");
    cluster.power_off(away);
    propose(cluster, 120);
    cluster.start(away);
    cluster.run_for(EVENT_INTERVAL);
}

/// A fourth member joins, and one of the first leaves.
fn change_replica_set_members(cluster: &mut Cluster) {
    let leader = cluster.wait_for_leader();
    cluster.recording = Some(JOINING_MEMBER);
    cluster.add(JOINING_MEMBER, vec![]);
    cluster.change_replica_set(leader, members(&[1, 2, 3, 4])).expect("no change is in progress");
    cluster.run_for(EVENT_INTERVAL);
    let gone = FOUNDING.into_iter().find(|id| *id != leader).expect("a follower");
    let rest: Vec<MemberId> = [1, 2, 3, 4].into_iter().filter(|id| *id != gone).collect();
    cluster.change_replica_set(leader, members(&rest)).expect("no change is in progress");
    cluster.run_for(EVENT_INTERVAL);
    propose(cluster, 3);
}

/// All that the members of a replica set send and persist through a series of events.
fn scenario() -> (Cluster, Trace) {
    let mut cluster = Cluster::new(7, &FOUNDING, settings(2));
    cluster.trace = Some(Trace::default());
    propose(&mut cluster, 3);
    replace_leader(&mut cluster);
    send_snapshot_to_follower(&mut cluster);
    change_replica_set_members(&mut cluster);
    cluster.assert_sound();
    let trace = cluster.trace.take().expect("it was kept");
    (cluster, trace)
}

/// A replica with a disk that syncs at once, and a state machine that records what it is handed.
struct Node {
    replica: Replica,
    disk: Vec<Bytes>,
    /// All that was ever written to the disk.
    written: Vec<Bytes>,
    state: Vec<u8>,
    committed: Vec<(Index, Bytes)>,
}

impl Node {
    fn new(replica: Replica) -> Self {
        Node { replica, disk: vec![], written: vec![], state: vec![], committed: vec![] }
    }

    fn recover(me: Member, disk: &[Bytes]) -> Self {
        Node::new(Replica::recover(me, vec![], settings(1), disk, 1, 0).expect("records of a replica"))
    }

    /// Carries out all that its replica wants; messages are dropped.
    fn process_ready(&mut self, now: Time) {
        for _ in 0..100 {
            let output = self.replica.take_ready();
            self.keep(&output, now);
            for step in output.restore {
                match step {
                    RestoreStep::Begin => self.state.clear(),
                    RestoreStep::Chunk(chunk) => self.state.extend_from_slice(&chunk),
                    RestoreStep::Abandon | RestoreStep::Finish(_) => {}
                }
            }
            self.committed.extend(output.committed);
        }
    }

    fn keep(&mut self, output: &Ready, now: Time) {
        let mut tickets = vec![];
        if let Some(rewrite) = &output.rewrite {
            self.disk = rewrite.records.iter().collect();
            self.written.extend(rewrite.records.iter());
            tickets.push(rewrite.ticket);
        }
        for (ticket, record) in &output.records {
            self.disk.push(record.clone());
            self.written.push(record.clone());
            tickets.push(*ticket);
        }
        if let Some(ticket) = tickets.into_iter().max() {
            self.replica.persisted(now, ticket);
        }
    }

    /// Time passes until it leads.
    fn lead(&mut self, mut now: Time) -> Time {
        while !self.replica.is_serving_leader() {
            now = now.max(self.replica.next_timeout());
            self.replica.handle_timeout(now);
            self.process_ready(now);
        }
        now
    }

    /// Its state where the commands are those of the harness.
    fn full_state(&self) -> Vec<u8> {
        let number = |command: &Bytes| u64::from_le_bytes(command[..8].try_into().expect("eight bytes"));
        let committed: Vec<(Index, u64)> =
            self.committed.iter().map(|(index, command)| (*index, number(command))).collect();
        [&self.state[..], &encode(&committed)[..]].concat()
    }
}

/// The only member of a replica set, with an IPv6 address.
fn single_member() -> Member {
    let at = SocketAddr::V6(SocketAddrV6::new(Ipv6Addr::LOCALHOST, 4711, 5, 6));
    Member { name: "n\u{e4}me".to_owned(), zone: String::new(), address: at, ..member(9) }
}

/// A member alone in its replica set commits commands before and after a snapshot of two chunks.
fn run_single_member() -> Node {
    let me = single_member();
    let mut node = Node::new(Replica::new(me.clone(), vec![me], settings(1), 1, 0));
    let now = node.lead(0);
    for command in ["one", "two", "three"] {
        node.replica.propose(now, Bytes::from(command)).expect("it leads");
        node.process_ready(now);
        if command == "two" {
            node.replica.compact(now, Arc::new(InMemoryState::new(Bytes::from_static(b"a whole state"), 8)));
            node.process_ready(now);
        }
    }
    node
}

/// It restarts and becomes a tombstone: the records that it then writes.
fn tombstone_records(disk: &[Bytes]) -> Vec<Bytes> {
    let mut node = Node::recover(single_member(), disk);
    node.process_ready(0);
    assert!(node.replica.become_tombstone(0));
    node.process_ready(0);
    node.written
}

#[test]
fn given_a_fixed_seed_then_messages_of_each_kind_are_the_pinned_ones() {
    let all = scenario().1.messages.iter().map(message_line).collect();
    let committed = fixture::pin("messages", &fixture::first_of_each_kind(all, MAX_PER_KIND));
    for kind in MESSAGE_KINDS.into_iter().filter(|kind| *kind != TIMEOUT_NOW_KIND) {
        assert!(!fixture::of_kind(&committed, kind).is_empty(), "no {kind}");
    }
}

#[test]
fn given_a_transfer_of_leadership_then_its_messages_are_the_pinned_ones() {
    let mut cluster = Cluster::new(8, &FOUNDING, settings(2));
    propose(&mut cluster, 3);
    cluster.run_for(EVENT_INTERVAL);
    let leader = cluster.wait_for_leader();
    let target = FOUNDING.into_iter().find(|id| *id != leader).expect("a follower");
    cluster.trace = Some(Trace::default());
    cluster.transfer_leadership(leader, target).expect("the target is up to date");
    cluster.run_for(20 * MILLIS);
    assert_eq!(cluster.leader(), Some(target));
    let trace = cluster.trace.take().expect("it was kept");
    let is_of_transfer =
        |line: &(String, Bytes)| ["RequestVote", "Vote", TIMEOUT_NOW_KIND].contains(&&*line.0);
    let lines: Vec<_> = trace.messages.iter().map(message_line).filter(is_of_transfer).collect();
    // One request to campaign, two requests for votes, two votes.
    assert_eq!(lines.len(), 5, "{lines:?}");
    let committed = fixture::pin("transfer", &lines);
    assert!(committed.iter().any(|(kind, _)| kind == TIMEOUT_NOW_KIND));
}

#[test]
fn given_a_fixed_seed_then_records_of_each_kind_are_the_pinned_ones() {
    let all = scenario().1.records.iter().map(record_line).collect();
    fixture::pin("records", &fixture::first_of_each_kind(all, MAX_PER_KIND));
}

#[test]
fn given_a_single_member_then_its_records_are_the_pinned_ones_and_it_recovers_from_them() {
    let node = run_single_member();
    let disk: fixture::Lines = node.disk.iter().map(record_line).collect();
    let committed = fixture::pin("single_member", &disk);

    let disk: Vec<Bytes> = committed.into_iter().map(|(_, record)| record).collect();
    let mut again = Node::recover(single_member(), &disk);
    again.lead(0);
    assert_eq!(again.replica.members(), &[single_member()][..]);
    assert!(again.replica.is_replica_set_committed());
    assert_eq!(again.state, b"a whole state");
    assert_eq!(again.committed.iter().map(|(_, command)| &command[..]).collect::<Vec<_>>(), [b"three"]);
    assert_eq!(again.committed, node.committed[2..], "at the same index");
}

#[test]
fn given_a_member_that_becomes_a_tombstone_then_its_records_are_the_pinned_ones() {
    let made: fixture::Lines = tombstone_records(&run_single_member().disk).iter().map(record_line).collect();
    let committed = fixture::pin("vacated", &made);
    assert!(!fixture::of_kind(&committed, "VoteFloor").is_empty());
    let disk: Vec<Bytes> = committed.into_iter().map(|(_, record)| record).collect();
    let again = Node::recover(single_member(), &disk);
    assert!(again.replica.is_tombstone());
}

#[test]
fn given_pinned_messages_when_a_replica_receives_them_then_it_reads_each() {
    for (kind, bytes) in ["messages", "transfer"].into_iter().flat_map(fixture::read) {
        let to = MemberId::from_le_bytes(bytes[..8].try_into().expect("a receiver"));
        let mut replica = Replica::new(member(to), members(&FOUNDING), settings(2), 1, 0);
        assert_eq!(replica.receive(1, &bytes), Ok(()), "{kind}");
        assert!(replica.receive(1, &bytes.slice(..20)).is_err(), "{kind} without its end");
    }
}

#[test]
fn given_the_pinned_messages_to_a_joining_member_when_a_replica_receives_them_then_it_has_the_state() {
    let (cluster, _) = scenario();
    let made: fixture::Lines = cluster.recorded.iter().map(message_line).collect();
    let committed = fixture::pin("newcomer", &made);

    let mut node = Node::new(Replica::new(member(JOINING_MEMBER), vec![], settings(2), 1, 0));
    for (kind, bytes) in committed {
        assert_eq!(node.replica.receive(1, &bytes), Ok(()), "{kind}");
        node.process_ready(1);
    }
    assert_eq!(node.replica.term(), cluster.replica(JOINING_MEMBER).term());
    let expected = cluster.replica(JOINING_MEMBER);
    assert_eq!(node.replica.members(), expected.members());
    assert_eq!(node.replica.is_replica_set_committed(), expected.is_replica_set_committed());
    assert!(!node.state.is_empty(), "a snapshot came");
    assert!(!node.committed.is_empty(), "entries came behind it");
    assert_eq!(node.full_state(), encode(&cluster.nodes[&JOINING_MEMBER].applied));
}

#[test]
fn given_the_pinned_disk_of_a_member_when_it_recovers_then_it_has_what_it_persisted() {
    let (cluster, _) = scenario();
    let made: fixture::Lines = cluster.nodes[&JOINING_MEMBER].disk.iter().map(record_line).collect();
    let committed = fixture::pin("disk", &made);

    let disk: Vec<Bytes> = committed.into_iter().map(|(_, record)| record).collect();
    let mut node = Node::recover(member(JOINING_MEMBER), &disk);
    node.process_ready(0);
    let expected = cluster.replica(JOINING_MEMBER);
    assert_eq!(node.replica.term(), expected.term());
    assert_eq!(node.replica.members(), expected.members());
    assert_eq!(node.replica.is_replica_set_committed(), expected.is_replica_set_committed());
    let whole = encode(&cluster.nodes[&JOINING_MEMBER].applied);
    assert!(!node.state.is_empty() && whole.starts_with(&node.state));
}
