//! Requests of batch jobs: only where room is left that live ones will not want, so that none of those waits behind them.

use crate::server::Server;
use crate::turns::{Rank, Sight, y};
use crate::{Ask, Award, Class};
use rainlug::{Time, turns};
use rainlug_registry::Phase;

/// Part of a worker's slots that may be taken for one more to go there.
const ROOM: f64 = 0.6;
/// News is still so for this part of the time in which it comes to count by half.
const NEWS: f64 = 0.5;
/// Part of its slots that this dispatcher's own batch jobs may take.
const OWN: f64 = 1.0 / 3.0;
/// Steps in which workers count as equally laden, by part of their slots.
const STEPS: f64 = 10.0;

impl Award {
    /// Whether a worker has room that live requests do not want. Where it usually has none, only news counts that is still so:
    /// who asks again and again would take each error of an estimate for room.
    pub(crate) fn spares(&self, now: Time, sight: &Sight, s: &Server) -> bool {
        let slots = s.slots(self.slots);
        let room = ROOM * slots.max(1.0);
        s.worker.phase == Phase::Ready
            && s.unstarted == 0
            && !s.load.queue(now, sight.fresh)
            && s.occupancy(now, sight.fresh, self.others) < room
            && (s.load.usual() < room || s.load.news(now, sight.fresh * NEWS))
            && f64::from(s.bulk) < (slots * OWN).max(1.0)
    }

    pub(crate) fn spare(&self, now: Time, sight: &Sight, ask: &Ask, class: Option<&Class>) -> Option<usize> {
        let part = self.part(now, class);
        let mut best: Option<((f64, f64), usize)> = None;
        for (j, s) in self.servers.iter().enumerate() {
            let slots = s.slots(self.slots);
            let laden = s.occupancy(now, sight.fresh, self.others) / slots.max(1.0);
            if !self.spares(now, sight, s)
                || self.rank(now, sight, s, ask, f64::from(ask.prompt)) > Rank::Outside
            {
                continue;
            }
            let share = if s.share > 0.0 { s.share } else { 1.0 };
            let key = ((laden * STEPS).floor(), turns::level(y(class, j), s.fastest, share * part));
            if best.is_none_or(|(b, _)| key < b) {
                best = Some((key, j));
            }
        }
        best.map(|(_, j)| j)
    }
}
