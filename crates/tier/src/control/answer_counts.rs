//! How calls at the control address were answered: the status's class by kind of call, so that calls that nothing serves, calls that come
//! too late, and refusals are told apart.

use std::cell::RefCell;
use std::collections::BTreeMap;

/// Kinds of calls by the segment of their path behind `/v1/`; all others count as `other`.
const KINDS: [&str; 7] = ["workers", "configuration", "retire", "locks", "numbers", "cells", "watch"];

/// The answers of one kind of call.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    succeeded: u64,
    /// 4xx but 404, 405 and 429.
    refused: u64,
    /// 404 and 405.
    not_found: u64,
    /// 429 and 5xx.
    unavailable: u64,
}

/// Answers since the process began.
#[derive(Debug, Default)]
pub(crate) struct AnswerCounts(RefCell<BTreeMap<&'static str, Counts>>);

fn kind_of(path: &str) -> &'static str {
    let segment = path.strip_prefix("/v1/").and_then(|rest| rest.split(['/', '?']).next());
    KINDS.into_iter().find(|kind| Some(*kind) == segment).unwrap_or("other")
}

impl AnswerCounts {
    /// Counts an answer.
    pub(crate) fn count(&self, path: &str, status: u16) {
        let mut all = self.0.borrow_mut();
        let counts = all.entry(kind_of(path)).or_default();
        let count = match status {
            404 | 405 => &mut counts.not_found,
            429 | 500.. => &mut counts.unavailable,
            400.. => &mut counts.refused,
            _ => &mut counts.succeeded,
        };
        *count += 1;
    }

    /// Metrics as (name, value), of every kind.
    pub(crate) fn metrics(&self) -> Vec<(String, f64)> {
        let all = self.0.borrow();
        let kinds = KINDS.into_iter().chain(["other"]);
        kinds
            .flat_map(|kind| {
                let counts = all.get(kind).copied().unwrap_or_default();
                let of = |what: &str, count: u64| (format!("control_{kind}_{what}"), count as f64);
                [
                    of("succeeded", counts.succeeded),
                    of("refused", counts.refused),
                    of("not_found", counts.not_found),
                    of("unavailable", counts.unavailable),
                ]
            })
            .collect()
    }
}
