//! Case 1: a store dies for good, and the operator has another one emptied before the death is noticed. Each shard then waits for the
//! dead store for ever, though two of its three members live.

#[path = "../stand-in/lib.rs"]
mod standin;

use std::time::Instant;

use standin::*;

const LOTS: usize = 12;
const ITEMS: usize = 4;
/// How long the store has been dead when the order comes, and when its successor starts after that.
const DEAD_S: f64 = 0.8;
const SUCCESSOR_S: f64 = 1.0;
/// How long lots are asked for: several times `recovery_s`, which is 12.
const READ_S: f64 = 45.0;

fn main() {
    require_root();
    begin_record();
    let _ = OUTPUT.set(Output { events: 5, gap_s: 0.1 });
    let mut tier = Tier::plan(1, 3, 3);
    tier.start();
    tier.configure(0, CONFIGURATION);
    let _workers: Vec<_> = (1..=4).map(|n| Worker::start(&tier, n, "model", 48, run_item)).collect();
    tier.wait_until_ready();
    sleep(2.0);
    let lots = lot_names(LOTS);
    lots.iter().for_each(|lot| submit(&tier, lot, ITEMS));
    let begun = Instant::now();
    while !lots.iter().all(|lot| is_lot_whole(&tier, lot, ITEMS)) {
        if begun.elapsed() > seconds(15.0) {
            finish(2, "the lots were not run");
        }
        sleep(0.5);
    }
    note(&format!("all {LOTS} lots are done, and were read"));

    if has_trouble() {
        tier.stores[1].kill();
        note("store-2 is lost for good");
        sleep(DEAD_S);
    }
    let status = order_retirement(&tier, 2);
    if status != 200 {
        finish(2, &format!("the order was answered {status}: this case shows nothing"));
    }
    if has_trouble() {
        sleep(SUCCESSOR_S);
        tier.add_store();
        note("the successor of store-2 has started, at another address, with an empty disk");
    }
    let begun = Instant::now();
    let unread = unreadable_lots(&tier, &lots, ITEMS, READ_S);
    if unread.is_empty() {
        let took = begun.elapsed().as_secs_f64();
        finish(0, &format!("the rule held: all {LOTS} lots were read again within {took:.1} s"));
    }
    let lost = unread.len();
    finish(
        1,
        &format!(
            "LOST is broken: {lost} of {LOTS} lots, which were accepted and read before, cannot be read for {READ_S} s"
        ),
    )
}
