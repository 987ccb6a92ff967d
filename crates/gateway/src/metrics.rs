//! Figures: how requests ended, how workers were picked, and what is held now.

use std::cell::Cell;

use crate::Gateway;
use crate::forward::Outcome;

/// A number that goes up.
#[derive(Default)]
pub(crate) struct Tally(Cell<u64>);

impl Tally {
    pub fn up(&self) {
        self.0.update(|n| n + 1);
    }
}

#[derive(Default)]
pub(crate) struct Figures {
    pub requests: Tally,
    /// Workers' answers that went to clients whole: 2xx, and others.
    succeeded: Tally,
    failed: Tally,
    /// Own answers.
    refused: Tally,
    not_found: Tally,
    unfit: Tally,
    bad_gateway: Tally,
    timed_out: Tally,
    own: Tally,
    cut: Tally,
    left: Tally,
    /// Tries after which nothing was known of the request.
    pub lost: Tally,
    pub retried: Tally,
    pub resumed: Tally,
    /// Answers to other requests than the one that was waited for.
    pub strays: Tally,
    /// Answers without an id.
    pub unnamed: Tally,
    /// Connections of clients for which there was no room.
    pub turned_away: Tally,
}

impl Figures {
    pub fn replied(&self, status: u16) {
        match status {
            503 | 429 => self.refused.up(),
            404 => self.not_found.up(),
            502 => self.bad_gateway.up(),
            504 => self.timed_out.up(),
            400..500 => self.unfit.up(),
            _ => self.own.up(),
        }
    }

    pub fn ended(&self, outcome: &Outcome) {
        match outcome {
            Outcome::Own(reply) => self.replied(reply.status),
            Outcome::Answered(200..300) => self.succeeded.up(),
            Outcome::Answered(_) => self.failed.up(),
            Outcome::Cut => self.cut.up(),
            Outcome::Left => self.left.up(),
        }
    }

    pub fn all(&self, gateway: &Gateway) -> Vec<(String, f64)> {
        let connections = &gateway.connections;
        let (open, idle) = connections.counts();
        let mut picks = [0; 11];
        for service in gateway.services.borrow().values() {
            let counts = service.placement.borrow().counts();
            let parts = [
                counts.turns,
                counts.queued,
                counts.prefix,
                counts.outside,
                counts.late,
                counts.skipped,
                counts.full,
                counts.grey,
                counts.trial,
                counts.bulk,
                counts.none,
            ];
            picks.iter_mut().zip(parts).for_each(|(all, part)| *all += part);
        }
        let [turns, queued, prefix, outside, late, skipped, full, grey, trial, bulk, none] = picks;
        let tallies = [
            ("requests", self.requests.0.get()),
            ("succeeded", self.succeeded.0.get()),
            ("failed", self.failed.0.get()),
            ("refused", self.refused.0.get()),
            ("not_found", self.not_found.0.get()),
            ("unfit", self.unfit.0.get()),
            ("bad_gateway", self.bad_gateway.0.get()),
            ("timed_out", self.timed_out.0.get()),
            ("own", self.own.0.get()),
            ("cut", self.cut.0.get()),
            ("left", self.left.0.get()),
            ("lost", self.lost.0.get()),
            ("retried", self.retried.0.get()),
            ("resumed", self.resumed.0.get()),
            ("strays", self.strays.0.get()),
            ("unnamed", self.unnamed.0.get()),
            ("turned_away", self.turned_away.0.get()),
            ("picks_turns", turns),
            ("picks_queued", queued),
            ("picks_prefix", prefix),
            ("picks_outside", outside),
            ("picks_late", late),
            ("picks_skipped", skipped),
            ("picks_full", full),
            ("picks_grey", grey),
            ("picks_trial", trial),
            ("picks_bulk", bulk),
            ("picks_none", none),
            ("dialled", connections.dialled.get()),
            ("reused", connections.reused.get()),
        ];
        let held = [
            ("in_hand", gateway.stopping.in_hand()),
            ("clients", gateway.stopping.clients()),
            ("bodies_bytes", gateway.bodies.get()),
            ("worker_connections", open),
            ("worker_connections_idle", idle),
        ];
        let tallies = tallies.into_iter().map(|(name, n)| (name.to_owned(), n as f64));
        tallies.chain(held.into_iter().map(|(name, n)| (name.to_owned(), n as f64))).collect()
    }
}
