//! The names of a load report's fields, as the settings call them. All other keys are pinned through the program, in `rainlugd`.

use rainlug::Report;
use rainlug_setup::set_report;

/// What a report holds after one field was told as 7: use of the cores, rate, errors, free slots, queue.
fn told(name: &str) -> [Option<f64>; 5] {
    let mut report = Report::default();
    set_report(&mut report, name, 7.0);
    [report.utilisation, report.rate, report.errors, report.free_slots, report.queue]
}

#[test]
fn every_field_of_a_load_report_is_taken_by_its_name() {
    for (at, name) in ["load_share", "tps", "err_ps", "x0", "depth"].into_iter().enumerate() {
        let mut expected = [None; 5];
        expected[at] = Some(7.0);
        assert_eq!(told(name), expected, "{name}");
    }
    assert_eq!(told("not_known"), [None; 5]);
}
