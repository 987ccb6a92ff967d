//! Reports on workers: what is encoded is decoded again, and nothing else is.

use proptest::prelude::*;
use rainlug_registry::WorkerReport;
use rainlug_registry::report::{
    ReportedLoad, Scope, decode_reports, encode_reports, is_report_datagram, worker_key,
};

fn report(worker: u32, load: Option<(u8, u8, u16)>, failed: u8, ended: u8) -> WorkerReport {
    let load = load.map(|(running, waiting, age_ms)| ReportedLoad { running, waiting, age_ms });
    WorkerReport { worker, load, failed, ended }
}

/// None is too long, and all reports are decoded again.
#[test]
fn given_more_reports_than_a_datagram_holds_then_several_carry_them() {
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

#[test]
fn given_no_reports_then_no_datagram_is_sent() {
    assert!(encode_reports(Scope::Process, &[], 1_000).is_empty());
}

/// And outcomes add up.
#[test]
fn given_reports_of_two_processes_when_merged_then_the_newer_load_stands() {
    let mut one = report(7, Some((9, 4, 300)), 1, 2);
    one.merge(&report(7, Some((2, 0, 50)), 2, 250));
    assert_eq!(one, report(7, Some((2, 0, 50)), 3, 252));
    one.merge(&report(7, None, 0, 250));
    assert_eq!(one, report(7, Some((2, 0, 50)), 3, 255));
    assert_eq!(one.aged(100).load.map(|load| load.age_ms), Some(150));
}

#[test]
fn given_a_report_of_any_age_when_it_ages_then_its_load_stays_known() {
    let old = report(7, Some((9, 4, 65_000)), 0, 0).aged(60_000);
    let payload = encode_reports(Scope::Tier, &[old], 1_000).remove(0);
    assert_eq!(decode_reports(&payload), Some((Scope::Tier, vec![old])));
    assert!(old.load.is_some());
}

#[test]
fn given_different_ids_then_their_keys_differ() {
    assert_ne!(worker_key("i-1"), worker_key("i-2"));
}

proptest! {
    /// Nothing panics, and neither a truncated nor an extended batch is decoded.
    #[test]
    fn given_any_bytes_then_only_a_complete_batch_is_decoded(bytes in prop::collection::vec(any::<u8>(), 0..200), missing in 1usize..10) {
        let _ = decode_reports(&bytes);
        let complete = encode_reports(Scope::Process, &[report(1, Some((1, 2, 3)), 4, 5)], 1_000).remove(0);
        prop_assert!(is_report_datagram(&complete));
        prop_assert_eq!(decode_reports(&complete[..complete.len() - missing]), None);
        let longer = [&complete[..], &bytes[..]].concat();
        prop_assert_eq!(decode_reports(&longer).is_some(), bytes.is_empty());
    }
}
