//! Reports on workers: what is written is read again, and what is none is not.

use proptest::prelude::*;
use rainlug_registry::WorkerReport;
use rainlug_registry::report::{
    ReportedLoad, Scope, decode_reports, encode_reports, is_report_datagram, worker_key,
};

fn report(worker: u32, load: Option<(u8, u8, u16)>, failed: u8, ended: u8) -> WorkerReport {
    let load = load.map(|(running, waiting, age_ms)| ReportedLoad { running, waiting, age_ms });
    WorkerReport { worker, load, failed, ended }
}

/// Given more reports than a datagram holds, then several carry them, none too long, and all are read again.
#[test]
fn many_reports_go_in_several_datagrams() {
    let reports: Vec<WorkerReport> = (0..300).map(|n| report(n, Some((3, 1, 20)), 0, 2)).collect();
    let payloads = encode_reports(Scope::Zone, &reports, 1_000);
    assert!(payloads.len() > 1 && payloads.iter().all(|payload| payload.len() <= 1_000));
    let read: Vec<WorkerReport> = payloads
        .iter()
        .flat_map(|payload| {
            let (scope, reports) = decode_reports(payload).expect("a batch");
            assert_eq!(scope, Scope::Zone);
            reports
        })
        .collect();
    assert_eq!(read, reports);
}

/// Given nothing to report, then nothing is sent.
#[test]
fn no_reports_take_no_datagram() {
    assert!(encode_reports(Scope::Process, &[], 1_000).is_empty());
}

/// Given what two processes saw of one worker, when it is merged, then the newer load stands and outcomes add up.
#[test]
fn merged_reports_keep_the_newer_load() {
    let mut one = report(7, Some((9, 4, 300)), 1, 2);
    one.merge(&report(7, Some((2, 0, 50)), 2, 250));
    assert_eq!(one, report(7, Some((2, 0, 50)), 3, 252));
    one.merge(&report(7, None, 0, 250));
    assert_eq!(one, report(7, Some((2, 0, 50)), 3, 255));
    assert_eq!(one.aged(100).load.map(|load| load.age_ms), Some(150));
}

/// Given a report of any age, when it gets older, then its load stays one that is known.
#[test]
fn an_old_load_does_not_become_unknown() {
    let old = report(7, Some((9, 4, 65_000)), 0, 0).aged(60_000);
    let payload = encode_reports(Scope::Tier, &[old], 1_000).remove(0);
    assert_eq!(decode_reports(&payload), Some((Scope::Tier, vec![old])));
    assert!(old.load.is_some());
}

/// Given different ids, then their names differ.
#[test]
fn names_tell_workers_apart() {
    assert_ne!(worker_key("i-1"), worker_key("i-2"));
}

proptest! {
    /// Given any bytes, when they are read, then nothing fails, and a cut batch is none.
    #[test]
    fn garbage_is_no_batch(bytes in prop::collection::vec(any::<u8>(), 0..200), cut in 1usize..10) {
        let _ = decode_reports(&bytes);
        let whole = encode_reports(Scope::Process, &[report(1, Some((1, 2, 3)), 4, 5)], 1_000).remove(0);
        prop_assert!(is_report_datagram(&whole));
        prop_assert_eq!(decode_reports(&whole[..whole.len() - cut]), None);
        let longer = [&whole[..], &bytes[..]].concat();
        prop_assert_eq!(decode_reports(&longer).is_some(), bytes.is_empty());
    }
}
