//! Any course of events: nothing panics, each assignment ends once, and what is in flight goes back to nothing.

mod sim;

use proptest::prelude::*;
use rainlug::SECOND;
use rainlug::Time;
use rainlug_placement::{Ask, End, Placement};
use rainlug_registry::{Phase, Worker};
use sim::listed;

const ENDS: [End; 7] =
    [End::Finished, End::Failed, End::Full, End::Elsewhere, End::Unreachable, End::Silent, End::GivenUp];
const PHASES: [Phase; 4] = [Phase::Ready, Phase::Unresponsive, Phase::Draining, Phase::Gone];

#[derive(Clone, Debug)]
enum Step {
    Worker(u8, usize, u32, u32),
    Pick(u64, bool, u32, Vec<(u64, u32)>, Time, Option<u8>),
    Started(usize),
    Progress(usize),
    Load(u8, u32, u32, u32),
    Ended(usize, usize),
    Others(usize),
    Service(u64, u64),
    Due,
    Wait(Time),
}

fn step() -> impl Strategy<Value = Step> {
    let tokens = prop_oneof![0u32..2000, Just(17_000), Just(u32::MAX)];
    let prefix = prop::collection::vec((0u64..6, tokens.clone()), 0..10);
    let aim = prop_oneof![Just(0), 1i64..1_000_000, Just(-5), Just(i64::MAX)];
    let wait = prop_oneof![0i64..1000, 0i64..200_000, 0i64..20_000_000, Just(-1000)];
    let number = prop_oneof![0u32..20, Just(u32::MAX)];
    prop_oneof![
        2 => (0u8..8, 0usize..4, number.clone(), prop_oneof![Just(0), Just(5000), Just(u32::MAX)])
            .prop_map(|(w, p, s, c)| Step::Worker(w, p, s, c)),
        8 => (0u64..4, any::<bool>(), tokens, prefix, aim, prop::option::of(0u8..8))
            .prop_map(|(c, b, t, p, a, tried)| Step::Pick(c, b, t, p, a, tried)),
        4 => any::<usize>().prop_map(Step::Started),
        1 => any::<usize>().prop_map(Step::Progress),
        2 => (0u8..9, number.clone(), number.clone(), number).prop_map(|(w, r, q, s)| Step::Load(w, r, q, s)),
        5 => (any::<usize>(), 0usize..7).prop_map(|(n, e)| Step::Ended(n, e)),
        1 => prop_oneof![0usize..20, Just(usize::MAX)].prop_map(Step::Others),
        1 => (prop_oneof![0u64..30, Just(u64::MAX)], prop_oneof![0u64..50_000, Just(u64::MAX)])
            .prop_map(|(s, k)| Step::Service(s, k)),
        2 => Just(Step::Due),
        4 => wait.prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn nothing_breaks(seed: u64, steps in prop::collection::vec(step(), 1..250)) {
        let mut placement = Placement::new("z", seed, 0);
        let mut now: Time = 0;
        let mut out: Vec<(u64, String)> = Vec::new();
        let mut over: Vec<u64> = Vec::new();
        let mut phases = std::collections::HashMap::new();
        for step in steps {
            match step {
                Step::Worker(w, p, slots, warm_up_left_ms) => {
                    let id = format!("w{w}");
                    phases.insert(id.clone(), PHASES[p]);
                    placement.worker(now, &Worker { slots, warm_up_left_ms, ..listed(&id, PHASES[p]) });
                }
                Step::Pick(class, bulk, prompt, prefix, aim, tried) => {
                    let tried: Vec<String> = tried.iter().map(|w| format!("w{w}")).collect();
                    let ask = Ask { class, bulk, prompt, out: 20, prefix, aim, tried };
                    if let Some(pick) = placement.pick(now, &ask) {
                        prop_assert!(!ask.tried.contains(&pick.worker.id));
                        prop_assert!(matches!(phases[&pick.worker.id], Phase::Ready | Phase::Unresponsive));
                        prop_assert!(out.iter().all(|o| o.0 != pick.ticket) && !over.contains(&pick.ticket));
                        out.push((pick.ticket, pick.worker.id.clone()));
                    }
                }
                Step::Started(n) if !out.is_empty() => placement.started(now, out[n % out.len()].0),
                Step::Progress(n) if !out.is_empty() => placement.progress(now, out[n % out.len()].0),
                Step::Load(w, running, waiting, slots) => {
                    placement.load(now, &format!("w{w}"), (running, waiting, slots));
                }
                Step::Ended(n, end) if !out.is_empty() => {
                    let (ticket, _) = out.swap_remove(n % out.len());
                    placement.ended(now, ticket, ENDS[end]);
                    // A second end, or a sign after it, says nothing.
                    placement.ended(now, ticket, End::Failed);
                    placement.started(now, ticket);
                    over.push(ticket);
                }
                Step::Others(count) => placement.others(count),
                Step::Service(slots, kv) => placement.service(slots, kv),
                Step::Due => placement.due(now),
                Step::Wait(time) => now += time,
                _ => {}
            }
            prop_assert_eq!(placement.flying(), out.len());
            let some = phases.values().any(|p| matches!(p, Phase::Ready | Phase::Unresponsive));
            let pauses = if some { 20_000..=500_000 } else { SECOND..=SECOND };
            prop_assert!(pauses.contains(&placement.pause(now)));
            for w in 0..8 {
                let share = placement.share(&format!("w{w}"));
                prop_assert!((0.0..=1.0).contains(&share), "{}", share);
                let there = out.iter().filter(|o| o.1 == format!("w{w}")).count();
                prop_assert_eq!(placement.there(&format!("w{w}")).0 as usize, there);
            }
        }
        for (ticket, _) in out {
            placement.ended(now, ticket, End::Finished);
        }
        prop_assert_eq!(placement.flying(), 0);
        for w in 0..8 {
            prop_assert_eq!(placement.there(&format!("w{w}")), (0, 0));
        }
    }
}
