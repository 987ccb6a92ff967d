//! Load reports: in an object of a line or a body, or as text in a field of a head.

use rainlug::Report;
use rainlug_setup::set_report as set;
use serde_json::Value;

/// From an object.
pub fn object(from: Option<&Value>) -> Report {
    let mut report = Report::default();
    for (name, value) in from.and_then(Value::as_object).into_iter().flatten() {
        set(&mut report, name, value.as_f64().unwrap_or(f64::NAN));
    }
    report
}

/// From `TEXT name=value, name=value`.
pub fn text(from: Option<&str>) -> Report {
    let mut report = Report::default();
    let pairs = from.and_then(|t| t.trim().strip_prefix("TEXT ")).unwrap_or_default().split(',');
    for (name, value) in pairs.filter_map(|pair| pair.split_once('=')) {
        set(&mut report, name.trim(), value.trim().parse().unwrap_or(f64::NAN));
    }
    report
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn both_forms_say_the_same() {
        let by_text = text(Some("TEXT tps=7, load_share=0.61, err_ps=0, x0=-2"));
        let value = serde_json::json!({"tps": 7, "load_share": 0.61, "err_ps": 0, "x0": -2});
        let by_object = object(Some(&value));
        for report in [by_text, by_object] {
            assert_eq!(
                (report.rate, report.utilisation, report.free_slots),
                (Some(7.0), Some(0.61), Some(-2.0))
            );
        }
        let odd = text(Some("TEXT tps=NaN, load_share"));
        assert_eq!((odd.rate, odd.utilisation), (None, None));
        assert!(text(Some("tps=1")).rate.is_none() && object(Some(&serde_json::json!([1]))).rate.is_none());
    }
}
