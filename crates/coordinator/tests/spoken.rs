//! What processes of a fleet of a fixed seed say to one another, pinned: frames of every kind that they send, with their tails, and
//! datagrams; among them reservations and reports of quotas, calls that go by way of another process, and their answers.

mod common;
#[path = "../../../tests/common/fixture.rs"]
mod fixture;

use bytes::Bytes;
use common::{Fleet, Trace, configuration, jobs_of, settle, submit};
use rainlug_coordinator::frame::{Head, Request, split};
use rainlug_coordinator::{BATCH_SHARDS, Call};

/// Of each kind, so many different frames are pinned.
const OF_EACH_KIND: usize = 3;
/// The first gateway, and stores of which it is cut off.
const CALLER: usize = 0;
const CUT_OFF: [usize; 2] = [3, 4];
/// What has to be among the frames.
const KINDS: [&str; 10] = [
    "Gossip",
    "Consensus",
    "Answer",
    "Call Configure",
    "NotLeader",
    "Call Submit",
    "Call Read",
    "Call Reserve",
    "Call ReportUsage",
    "Relay",
];

/// The variant's name: what stands before its fields.
fn name(of: &impl std::fmt::Debug) -> String {
    let text = format!("{of:?}");
    text.split([' ', '{']).next().unwrap_or_default().to_owned()
}

fn frame_line(bytes: &Bytes) -> (String, Bytes) {
    let (head, tail): (Head, Bytes) = split(bytes).expect("a frame");
    let kind = match head {
        Head::Call { .. } | Head::Relay { .. } => {
            let (request, _): (Request, Bytes) = split(&tail).expect("a request");
            format!("{} {}", name(&head), name(&request))
        }
        _ => name(&head),
    };
    (kind, bytes.clone())
}

/// A fleet is founded and configured, batch jobs of all parts come and are read, and one process is cut off from some stores.
fn story() -> Trace {
    let mut fleet = Fleet::new(3, 1, 3, 21);
    fleet.trace = Some(Trace::default());
    settle(&mut fleet);
    fleet.ask(2, Call::Configure { base: 5, text: configuration(8, "notary") }, 2.0);
    fleet.ask(1, Call::Configuration, 2.0);
    fleet.partition(&[CALLER], &CUT_OFF);
    for job in (1..=BATCH_SHARDS).flat_map(|shard| jobs_of(shard, 1)) {
        fleet.ask(CALLER, submit(&job, 2), 4.0);
        fleet.pass(1.0);
        fleet.ask(1, Call::Body { job: job.clone(), item: format!("{job}-0") }, 4.0);
        fleet.ask(CALLER, Call::Read { job: job.clone(), since: 0, wait: 0 }, 4.0);
        fleet.ask(2, Call::End { job }, 4.0);
    }
    fleet.heal();
    fleet.ask(1, Call::Retire { store: "storage-9".to_owned() }, 2.0);
    fleet.ask(1, Call::RetirementStatus { store: "storage-4".to_owned() }, 2.0);
    fleet.pass(1.0);
    fleet.trace.take().expect("it was kept")
}

#[test]
fn given_a_fixed_seed_then_frames_of_each_kind_are_the_committed_ones() {
    let all: fixture::Lines = story().frames.iter().map(frame_line).collect();
    let committed = fixture::pin("frames", &fixture::first_of_each_kind(all, OF_EACH_KIND));
    for kind in KINDS {
        assert!(committed.iter().any(|(found, _)| found.starts_with(kind)), "no {kind}");
    }
}

#[test]
fn given_a_fixed_seed_then_datagrams_are_the_committed_ones() {
    let kind = |bytes: &Bytes| format!("datagram {:02x}", bytes.first().copied().unwrap_or_default());
    let all: fixture::Lines = story().datagrams.iter().map(|bytes| (kind(bytes), bytes.clone())).collect();
    fixture::pin("datagrams", &fixture::first_of_each_kind(all, OF_EACH_KIND));
}
