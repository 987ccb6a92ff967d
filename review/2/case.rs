//! Case 2: with two stores left, a planned replacement makes each replica set one of three, and the member that has left stays in it.
//! The loss of one disk then leaves each shard without a leader for good, though the successor has all data.

#[path = "../stand-in/lib.rs"]
mod standin;

use std::time::Instant;

use standin::*;

const LOTS: usize = 12;
const ITEMS: usize = 4;
/// `sync_s` of the settings, and a second more.
const SYNC_S: f64 = 6.0;
/// How long lots are asked for once the machine that lost its disk is back: several times `recovery_s`, which is 12.
const READ_S: f64 = 45.0;

fn main() {
    require_root();
    begin_record();
    let _ = OUTPUT.set(Output { events: 5, gap_s: 0.1 });
    let mut tier = Tier::plan(2, 3, 3);
    tier.start();
    tier.configure(0, CONFIGURATION);
    let _workers: Vec<_> = (1..=4).map(|n| Worker::start(&tier, n, "model", 48, run_item)).collect();
    tier.wait_until_ready();
    sleep(2.0);

    // Planned work: one of three stores is emptied and taken away, and one of the two is replaced: its successor starts first, and has
    // `sync_s` before the old one is told to end.
    retire(&mut tier, 2);
    sleep(SYNC_S);
    tier.add_store();
    sleep(SYNC_S);
    tier.stores[1].terminate();
    tier.stores[1].wait();
    note("store-2 has ended, and is taken away");
    sleep(SYNC_S);

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
        tier.wipe_store(0);
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
