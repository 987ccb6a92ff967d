//! The bytes that processes of the tier send one another and agree on, pinned: frames of every kind, requests of every kind,
//! changes of the configuration's part and its snapshot, the roster; and that committed bytes are read.

mod common;
#[path = "../../../tests/common/fixture.rs"]
mod fixture;

use bytes::Bytes;
use common::{address, configuration};
use deku::{DekuContainerRead, DekuContainerWrite};
use rainlug_consensus::Member;
use rainlug_coordinator::control::{Change, Control, Outcome};
use rainlug_coordinator::frame::{Head, MemberRecord, PeerAddress, Request, join, split};
use rainlug_coordinator::topology::{Topology, decode_members, encode_members};

const TAIL: &[u8] = b"what stands behind the head";

fn member(place: usize) -> Member {
    Member {
        id: 0x0102_0304_0506_0700 + place as u64,
        name: format!("storage-{place}"),
        zone: format!("zone-{place}"),
        address: address(place),
    }
}

fn group(places: &[usize]) -> Vec<Member> {
    places.iter().map(|place| member(*place)).collect()
}

fn place(place: usize) -> PeerAddress {
    address(place).into()
}

fn seat(place: usize) -> MemberRecord {
    (&member(place)).into()
}

fn heads() -> Vec<(&'static str, Head)> {
    let nobody = PeerAddress { ip: [0; 4], port: 0 };
    vec![
        ("Gossip", Head::Gossip),
        ("Group", Head::Consensus { shard: 0x0102 }),
        ("Ask", Head::Call { nonce: 0x0102_0304_0506_0708, shard: 3 }),
        ("Answer", Head::Answer { nonce: 9, status: 202, retry_ms: 0x0102_0304, json: 1 }),
        ("Elsewhere", Head::NotLeader { nonce: 9, proposed: 1, leader: place(4) }),
        ("Elsewhere", Head::NotLeader { nonce: 9, proposed: 0, leader: nobody }),
        ("Relay", Head::Relay { nonce: 9, shard: 4, within_ms: 3_000, slack_ms: 200, unclear: 503 }),
    ]
}

fn seated() -> Request {
    let members = encode_members(&group(&[4, 5, 6]));
    Request::ReportReplicaSet { shard: 2, term: 3, index: 70, retirements: 1, member_count: 3, members }
}

fn tied() -> Request {
    let members = encode_members(&group(&[4, 6]));
    Request::ReportTie { shard: 2, index: 71, member_count: 2, members }
}

fn put_key() -> Request {
    let (key, value) = ("g1.2d".into(), "5c0e7a21d94b36f8".into());
    Request::PutKey { key, value, is_conditional: 1, expected_revision: 907 }
}

fn requests() -> Vec<(&'static str, Request)> {
    let reserve =
        Request::Reserve { job: "job-1".into(), route: "lots".into(), shard: 2, tokens: 300, most: 1 << 40 };
    vec![
        ("Configure", Request::Configure { base: 5 }),
        ("Configuration", Request::Configuration),
        ("Retire", Request::Retire { store: "storage-4".into() }),
        ("Retiring", Request::RetirementStatus { store: "".into() }),
        ("Join", Request::Join { member: seat(1) }),
        ("Shelve", Request::RegisterStore { member: seat(4) }),
        ("Seated", seated()),
        ("Locate", Request::Locate),
        ("Submit", Request::Submit { job: "job-1".into(), route: "lots".into() }),
        ("Read", Request::Read { job: "job-ä".into(), since: 7, wait_ms: 30_000 }),
        ("Body", Request::Body { job: "job-1".into(), item: "job-1-0".into() }),
        ("End", Request::End { job: "job-1".into() }),
        ("Reserve", reserve),
        ("Settle", Request::ReportUsage),
        ("AcquireLock", Request::AcquireLock { lock: "l1f".into(), holder: "a3.7".into(), hold_ms: 3_000 }),
        (
            "RenewLock",
            Request::RenewLock { lock: "l1f".into(), holder: "a3.7".into(), fence: 41, hold_ms: 3_000 },
        ),
        ("ReleaseLock", Request::ReleaseLock { lock: "l1f".into(), holder: "a3.7".into(), fence: 41 }),
        ("NextNumber", Request::NextNumber { name: "n2".into() }),
        ("PutKey", put_key()),
        ("ReadKey", Request::ReadKey { key: "g1.2d".into() }),
        ("Watch", Request::Watch { group: "g1.".into(), since: 930, wait_ms: 2_000 }),
        ("ReportTie", tied()),
        ("Depart", Request::Depart { member: member(5).id }),
    ]
}

/// Changes in an order in which each does something: two configurations, stores, groups, a retirement, a disk that is replaced.
fn changes() -> Vec<(&'static str, Change, Bytes)> {
    let seated = |shard, places: &[usize]| {
        let members = encode_members(&group(places));
        Change::SetReplicaSet {
            shard,
            term: 2,
            index: 40,
            retirements: 1,
            member_count: members.len() as u16,
            members,
        }
    };
    let replaced = MemberRecord { id: 77, ..seat(5) };
    let mut changes = vec![
        ("Configure", Change::Configure { base: 0, version: 5 }, configuration(5, "notary")),
        ("Configure", Change::Configure { base: 5, version: 8 }, configuration(8, "clerk")),
    ];
    let rest = [
        ("Store", Change::RegisterStore { member: seat(4) }),
        ("Store", Change::RegisterStore { member: seat(5) }),
        ("Store", Change::RegisterStore { member: seat(6) }),
        ("Seated", Change::founded(1, &group(&[4, 5, 6]))),
        ("Retire", Change::Retire { store: "storage-4".into() }),
        ("Seated", seated(1, &[5, 6])),
        ("Store", Change::RegisterStore { member: replaced }),
        ("Fence", Change::Fence { disk: member(4).id }),
    ];
    changes.extend(rest.map(|(kind, change)| (kind, change, Bytes::new())));
    changes
}

/// The configuration's part after these changes, as bytes.
fn control(changes: &[Bytes]) -> Control {
    let mut control = Control::default();
    for change in changes {
        assert_eq!(control.apply(change), Ok(Outcome::Done));
    }
    control
}

fn encoded_changes() -> fixture::Lines {
    let encoded = |(kind, change, tail): (&str, Change, Bytes)| (kind.to_owned(), join(&change, &tail));
    changes().into_iter().map(encoded).collect()
}

/// Each head with a tail, as bytes.
fn with_tail<H: DekuContainerWrite>(heads: &[(&'static str, H)]) -> fixture::Lines {
    heads.iter().map(|(kind, head)| ((*kind).to_owned(), join(head, TAIL))).collect()
}

/// Fails unless the committed bytes are those of these heads with a tail, and are read as such.
#[track_caller]
fn pin_heads<H>(name: &str, heads: Vec<(&'static str, H)>)
where
    H: DekuContainerWrite + for<'a> DekuContainerRead<'a> + PartialEq + std::fmt::Debug,
{
    let committed = fixture::pin(name, &with_tail(&heads));
    for ((_, bytes), (kind, head)) in committed.iter().zip(heads) {
        assert_eq!(split(bytes), Ok((head, Bytes::from_static(TAIL))), "{kind}");
    }
}

#[test]
fn given_a_head_of_every_kind_then_its_bytes_are_the_committed_ones_and_are_read_again() {
    pin_heads("heads", heads());
}

#[test]
fn given_a_request_of_every_kind_then_its_bytes_are_the_committed_ones_and_are_read_again() {
    pin_heads("requests", requests());
}

#[test]
fn given_changes_of_every_kind_then_their_bytes_are_the_committed_ones_and_are_carried_out() {
    let committed = fixture::pin("changes", &encoded_changes());
    let bytes: Vec<Bytes> = committed.into_iter().map(|(_, bytes)| bytes).collect();
    let control = control(&bytes);
    assert_eq!((control.version, &control.text), (8, &configuration(8, "clerk")));
    assert_eq!(control.stores.keys().collect::<Vec<_>>(), ["storage-4", "storage-5", "storage-6"]);
    assert_eq!((control.stores["storage-4"].retirement, control.retirements()), (1, 1));
    assert_eq!(control.stores["storage-5"].member.id, 77);
    assert_eq!(control.replica_sets[&1].founding, group(&[4, 5, 6]));
    assert_eq!(control.replica_sets[&1].members, group(&[5, 6]));
    assert!(control.is_fenced(member(4).id) && control.is_fenced(member(5).id));
}

#[test]
fn given_the_configurations_part_then_its_snapshot_is_the_committed_one_and_is_restored() {
    let bytes: Vec<Bytes> = encoded_changes().into_iter().map(|(_, bytes)| bytes).collect();
    let control = control(&bytes);
    let committed = fixture::pin("control", &[("snapshot".to_owned(), control.snapshot())]);
    assert_eq!(Control::restore(&committed[0].1), Ok(control));
}

#[test]
fn given_a_roster_then_its_bytes_are_the_committed_ones_and_are_read_again() {
    let bytes: Vec<Bytes> = encoded_changes().into_iter().map(|(_, bytes)| bytes).collect();
    let topology = control(&bytes).topology(&group(&[0, 1, 2]));
    let committed = fixture::pin("roster", &[("roster".to_owned(), topology.encode())]);
    let read = Topology::decode(&committed[0].1).unwrap();
    assert_eq!(decode_members(&read.configuration_members).unwrap(), group(&[0, 1, 2]));
    assert_eq!(read, topology);
}
