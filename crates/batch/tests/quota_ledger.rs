//! What the ledger of a route does with reservations and reports.

use std::collections::BTreeMap;

use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainlug::{SECOND, Time};
use rainlug_batch::{Command, JobUsage, QuotaLedger, QuotaOutcome, RESERVATION_GRACE, UsageReportNumber};

const ROUTE: &str = "bulk";
const MAX_TOKENS: u64 = 1000;
const GRACE_SECONDS: Time = RESERVATION_GRACE / SECOND;

fn reserve(job: &str, shard: u16, tokens: u64, second: Time) -> Command {
    let (route, job, at) = (ROUTE.to_owned(), job.to_owned(), second * SECOND);
    Command::Reserve { route, job, shard, tokens, max_waiting_tokens: MAX_TOKENS, timestamp: at }
}

fn report_usage(shard: u16, term: u64, sequence: u64, second: Time, open: &[(&str, u64)]) -> Command {
    let open =
        open.iter().map(|(job, tokens)| JobUsage { job: (*job).to_owned(), tokens: *tokens }).collect();
    let number = UsageReportNumber { term, sequence };
    Command::ReportUsage { route: ROUTE.to_owned(), shard, number, timestamp: second * SECOND, usage: open }
}

fn after(commands: &[Command]) -> QuotaLedger {
    let mut quota_ledger = QuotaLedger::default();
    commands.iter().for_each(|command| assert!(quota_ledger.apply(command).is_some()));
    quota_ledger
}

#[test]
fn given_reservations_of_all_shards_then_the_quota_is_exact() {
    let mut quota_ledger = after(&[reserve("a", 1, 400, 1), reserve("b", 2, 500, 1)]);
    assert_eq!(quota_ledger.apply(&reserve("c", 3, 101, 1)), Some(QuotaOutcome::Refused));
    assert_eq!(quota_ledger.apply(&reserve("c", 3, 100, 1)), Some(QuotaOutcome::Granted));
    assert_eq!(quota_ledger.route_tokens(ROUTE), MAX_TOKENS);
    assert!(!quota_ledger.can_reserve(ROUTE, "d", 4, 1, MAX_TOKENS));
    assert!(quota_ledger.can_reserve(ROUTE, "d", 4, 1, 0), "no limit");
    assert!(quota_ledger.can_reserve("another", "d", 4, MAX_TOKENS, MAX_TOKENS));
    assert!(!quota_ledger.can_reserve("another", "d", 4, MAX_TOKENS + 1, MAX_TOKENS));
}

#[test]
fn given_a_reserved_job_when_reserved_again_then_it_is_granted_and_counted_once() {
    let mut quota_ledger = after(&[reserve("a", 1, 900, 1)]);
    assert_eq!(quota_ledger.apply(&reserve("a", 1, 900, 2)), Some(QuotaOutcome::Granted));
    assert_eq!(quota_ledger.apply(&reserve("a", 1, 300, 2)), Some(QuotaOutcome::Granted));
    assert_eq!(quota_ledger.route_tokens(ROUTE), 900, "as first reserved");
    assert_eq!(quota_ledger.apply(&reserve("a", 1, 1001, 2)), Some(QuotaOutcome::Refused), "it has grown");
    assert_eq!(quota_ledger.apply(&reserve("a", 1, 1000, 2)), Some(QuotaOutcome::Granted));
    assert_eq!(quota_ledger.route_tokens(ROUTE), MAX_TOKENS);
}

#[test]
fn given_a_report_then_tokens_that_no_longer_wait_are_released() {
    let mut quota_ledger =
        after(&[reserve("a", 1, 400, 1), reserve("b", 1, 100, 1), reserve("c", 2, 100, 1)]);
    quota_ledger.apply(&report_usage(1, 1, 1, 2, &[("a", 300), ("b", 100)]));
    assert_eq!(quota_ledger.route_tokens(ROUTE), 500);
    quota_ledger.apply(&report_usage(1, 1, 2, 3, &[("b", 50)]));
    assert_eq!(quota_ledger.route_tokens(ROUTE), 150, "shard 2 has not reported");
    quota_ledger.apply(&report_usage(1, 1, 3, 4, &[]));
    assert_eq!(quota_ledger.route_tokens(ROUTE), 100);
}

#[test]
fn given_an_unreported_reservation_then_it_is_kept_for_its_grace() {
    let mut quota_ledger = after(&[reserve("a", 1, 400, 1), report_usage(1, 1, 1, GRACE_SECONDS, &[])]);
    assert_eq!(quota_ledger.route_tokens(ROUTE), 400);
    quota_ledger.apply(&report_usage(1, 1, 2, 1 + GRACE_SECONDS, &[]));
    assert_eq!(quota_ledger.route_tokens(ROUTE), 0);
}

#[test]
fn given_a_reservation_whose_job_finished_then_it_is_released_at_once() {
    let quota_ledger = after(&[
        reserve("a", 1, 400, 1),
        reserve("b", 1, 100, 1),
        reserve("c", 2, 10, 1),
        report_usage(1, 1, 1, 1, &[("a", 0)]),
    ]);
    assert_eq!(quota_ledger.route_tokens(ROUTE), 110, "no report has named b");
}

#[test]
fn given_a_repeated_reservation_then_its_grace_begins_anew() {
    let mut quota_ledger = after(&[
        reserve("a", 1, 400, 1),
        report_usage(1, 1, 1, 2, &[("a", 400)]),
        // Its proposal was lost with its leader, whose successor asks again just before its first report is entered.
        reserve("a", 1, 400, 3),
        report_usage(1, 2, 1, 3, &[]),
    ]);
    assert_eq!(quota_ledger.route_tokens(ROUTE), 400);
    quota_ledger.apply(&report_usage(1, 2, 2, 3 + GRACE_SECONDS, &[]));
    assert_eq!(quota_ledger.route_tokens(ROUTE), 0);
}

#[test]
fn given_a_report_of_an_earlier_leader_then_nothing_changes() {
    let mut quota_ledger = after(&[report_usage(1, 2, 1, 1, &[("a", 400)])]);
    for late in
        [report_usage(1, 1, 9, 2, &[]), report_usage(1, 2, 1, 2, &[]), report_usage(1, 2, 0, 2, &[("b", 1)])]
    {
        assert_eq!(quota_ledger.apply(&late), Some(QuotaOutcome::Stale));
    }
    assert_eq!(quota_ledger.route_tokens(ROUTE), 400);
}

#[test]
fn given_timestamps_out_of_order_then_the_clock_does_not_go_back() {
    let mut quota_ledger = after(&[reserve("early", 1, 1, 100), reserve("a", 1, 400, 50)]);
    // By the clock of the later leader, which is behind, 31 s have passed; since the greatest time that was named, 29 have not.
    quota_ledger.apply(&report_usage(1, 1, 1, 81, &[]));
    assert_eq!(quota_ledger.route_tokens(ROUTE), 401);
    quota_ledger.apply(&report_usage(1, 1, 2, 100 + GRACE_SECONDS, &[]));
    assert_eq!(quota_ledger.route_tokens(ROUTE), 0);
}

#[test]
fn given_a_report_then_would_change_tells_whether_it_changes_entries() {
    let quota_ledger = after(&[reserve("a", 1, 400, 1), report_usage(1, 1, 1, 2, &[("a", 400)])]);
    let open = |tokens| [JobUsage { job: "a".to_owned(), tokens }];
    let number = |term, sequence| UsageReportNumber { term, sequence };
    let at = 3 * SECOND;
    assert!(!quota_ledger.would_change(ROUTE, 1, number(1, 2), &open(400), at));
    assert!(quota_ledger.would_change(ROUTE, 1, number(1, 2), &open(300), at));
    assert!(quota_ledger.would_change(ROUTE, 1, number(2, 1), &open(400), at), "a new leader's first");
    assert!(!quota_ledger.would_change(ROUTE, 1, number(1, 1), &open(300), at), "an old one");
    assert!(!quota_ledger.would_change(ROUTE, 2, number(1, 1), &[], at));
    let reserved = after(&[reserve("a", 1, 400, 1)]);
    assert!(!reserved.would_change(ROUTE, 1, number(0, 1), &[], at));
    assert!(reserved.would_change(ROUTE, 1, number(0, 1), &[], SECOND + RESERVATION_GRACE));
}

#[test]
fn given_bytes_that_are_no_snapshot_then_restore_fails() {
    let snapshot = after(&[reserve("a", 1, 400, 1), report_usage(2, 1, 1, 2, &[("b", 7)])]).snapshot();
    for length in 0..snapshot.len() {
        assert!(QuotaLedger::restore(&snapshot.slice(..length)).is_err(), "{length} bytes");
    }
    assert!(QuotaLedger::restore(&Bytes::from([&snapshot[..], &[0]].concat())).is_err());
}

/// The same rules in the plainest way: one list of entries.
#[derive(Default)]
struct Model {
    clock: Time,
    entries: BTreeMap<(String, u16, String), (u64, Time, bool)>,
    reports: BTreeMap<(String, u16), UsageReportNumber>,
}

impl Model {
    fn tokens(&self, of: &str) -> u64 {
        self.entries.iter().filter(|((route, ..), _)| route == of).map(|(_, entry)| entry.0).sum()
    }

    fn apply(&mut self, command: &Command) -> Option<QuotaOutcome> {
        match command {
            Command::Reserve { route, job, shard, tokens, max_waiting_tokens, timestamp } => {
                self.clock = self.clock.max(*timestamp);
                let key = (route.clone(), *shard, job.clone());
                let before = self.entries.get(&key).map_or(0, |entry| entry.0);
                let tokens = before.max(*tokens);
                if tokens > before
                    && *max_waiting_tokens > 0
                    && self.tokens(route) - before + tokens > *max_waiting_tokens
                {
                    return Some(QuotaOutcome::Refused);
                }
                if before == 0
                    && !self.entries.contains_key(&key)
                    && *max_waiting_tokens > 0
                    && self.tokens(route) > *max_waiting_tokens
                {
                    return Some(QuotaOutcome::Refused);
                }
                self.entries.insert(key, (tokens, self.clock, false));
                Some(QuotaOutcome::Granted)
            }
            Command::ReportUsage { route, shard, number, timestamp, usage } => {
                self.clock = self.clock.max(*timestamp);
                let last = self.reports.entry((route.clone(), *shard)).or_default();
                if *last >= *number {
                    return Some(QuotaOutcome::Stale);
                }
                *last = *number;
                let clock = self.clock;
                let before = self.entries.clone();
                self.entries.retain(|(r, p, _), (_, at, named)| {
                    r != route || p != shard || !*named && clock - *at < RESERVATION_GRACE
                });
                for one in usage {
                    if one.tokens == 0 {
                        self.entries.remove(&(route.clone(), *shard, one.job.clone()));
                        continue;
                    }
                    let key = (route.clone(), *shard, one.job.clone());
                    let at = before.get(&key).map_or(clock, |entry| entry.1);
                    self.entries.insert(key, (one.tokens, at, true));
                }
                Some(QuotaOutcome::Reported)
            }
            _ => None,
        }
    }
}

fn commands() -> impl Strategy<Value = Vec<Command>> {
    let route = || prop_oneof![Just("x".to_owned()), Just("y".to_owned())];
    let job = || (0_u8..6).prop_map(|nth| format!("job-{nth}"));
    let at = || (0_i64..120).prop_map(|second| second * SECOND);
    let max_waiting_tokens = prop_oneof![Just(0_u64), Just(300)];
    let reserve = (route(), job(), 1_u16..4, 0_u64..200, max_waiting_tokens, at()).prop_map(
        |(route, job, shard, tokens, max_waiting_tokens, at)| Command::Reserve {
            route,
            job,
            shard,
            tokens,
            max_waiting_tokens,
            timestamp: at,
        },
    );
    let open = prop::collection::btree_map(job(), prop_oneof![1 => Just(0_u64), 3 => 1_u64..200], 0..4);
    let report_usage = (route(), 1_u16..4, (1_u64..4, 0_u64..9), at(), open).prop_map(
        |(route, shard, (term, sequence), at, open)| {
            let open = open.into_iter().map(|(job, tokens)| JobUsage { job, tokens }).collect();
            Command::ReportUsage {
                route,
                shard,
                number: UsageReportNumber { term, sequence },
                timestamp: at,
                usage: open,
            }
        },
    );
    prop::collection::vec(prop_oneof![2 => reserve, 1 => report_usage], 0..60)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn given_any_commands_then_the_ledger_does_as_the_plain_model_also_restored(commands in commands()) {
        let (mut quota_ledger, mut model) = (QuotaLedger::default(), Model::default());
        for command in commands {
            let command = Command::decode(&command.encode()).expect("its own bytes");
            quota_ledger = QuotaLedger::restore(&quota_ledger.snapshot()).expect("its own snapshot");
            if let Command::Reserve { route, job, shard, tokens, max_waiting_tokens, .. } = &command {
                let fits = quota_ledger.can_reserve(route, job, *shard, *tokens, *max_waiting_tokens);
                prop_assert_eq!(quota_ledger.apply(&command) == Some(QuotaOutcome::Granted), fits);
                prop_assert_eq!(model.apply(&command) == Some(QuotaOutcome::Granted), fits, "{:?}", command);
                prop_assert!(!fits || *max_waiting_tokens == 0 || *tokens == 0 || model.tokens(route) == quota_ledger.route_tokens(route));
            } else {
                prop_assert_eq!(quota_ledger.apply(&command), model.apply(&command));
            }
            for route in ["x", "y"] {
                prop_assert_eq!(quota_ledger.route_tokens(route), model.tokens(route), "{:?}", command);
            }
        }
    }

    #[test]
    fn given_any_reservations_then_no_grant_exceeds_the_quota(
        commands in prop::collection::vec((0_u8..20, 1_u16..4, 0_u64..500), 0..80),
    ) {
        let mut quota_ledger = QuotaLedger::default();
        for (job, shard, tokens) in commands {
            let granted = quota_ledger.apply(&reserve(&format!("{shard}-{job}"), shard, tokens, 1));
            let fits_alone = tokens <= MAX_TOKENS;
            prop_assert!(fits_alone || granted == Some(QuotaOutcome::Refused));
            prop_assert!(quota_ledger.route_tokens(ROUTE) <= MAX_TOKENS);
        }
    }
}
