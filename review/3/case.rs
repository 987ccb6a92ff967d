//! Case 3: a leader of batch jobs that loses its post and is elected again takes the end of a run that it began before for the end of
//! the run that it began since.

#[path = "../stand-in/lib.rs"]
mod standin;

use std::collections::BTreeSet;
use std::time::Instant;

use standin::*;

const LOTS: usize = 12;
const ITEMS: usize = 6;
/// `sync_s` of the settings, and a second more.
const SYNC_S: f64 = 6.0;
/// How long a store is frozen.
const FROZEN_S: f64 = 1.2;
/// How long results are waited for: `retain_s`, and some more.
const READ_S: f64 = 50.0;

fn main() {
    require_root();
    begin_record();
    let events = 35;
    let _ = OUTPUT.set(Output { events, gap_s: 0.2 });
    let mut tier = Tier::plan(3, 3, 3);
    tier.start();
    tier.configure(0, CONFIGURATION);
    let workers: Vec<_> = (1..=6).map(|n| Worker::start(&tier, n, "model", 48, run_item)).collect();
    tier.wait_until_ready();
    sleep(2.0);
    // Planned work: one of three stores is emptied and taken away.
    retire(&mut tier, 2);
    sleep(SYNC_S);
    let lots = lot_names(LOTS);
    lots.iter().for_each(|lot| submit(&tier, lot, ITEMS));
    sleep(2.0);
    if has_trouble() {
        workers[0].crash();
        sleep(0.5);
        tier.stores[0].freeze();
        sleep(FROZEN_S);
        tier.stores[0].thaw();
    }
    let begun = Instant::now();
    let (mut seen, mut complete, mut broken) = (BTreeSet::new(), 0, Vec::new());
    for n in 0.. {
        for lot in &lots {
            for LotResult { id, state, text } in read_lot(&tier, lot, n).unwrap_or_default() {
                if !seen.insert(id.clone()) {
                    continue;
                }
                let count = text.lines().count();
                note(&format!("result {id}: {state}, {count} of {events} events"));
                complete += usize::from(state == "complete");
                if state == "complete" && text != whole_text(&id) {
                    let first = text.lines().next().unwrap_or_default();
                    broken.push(format!("{id} is complete with {count} of {events} events, from {first} on"));
                }
            }
        }
        if seen.len() == LOTS * ITEMS || begun.elapsed() > seconds(READ_S) {
            break;
        }
        sleep(0.5);
    }
    say(&format!("{} items, {} results, {complete} complete", LOTS * ITEMS, seen.len()));
    if let Some(first) = broken.first() {
        finish(1, &format!("ORDER is broken: {} texts lack events; the first: {first}", broken.len()));
    }
    if complete == 0 {
        finish(2, "no results came");
    }
    finish(0, "the rule held");
}
