//! Requests of batch jobs: only where room is left that live ones will not want, so that none of those waits behind them.

use crate::server::Server;
use crate::turns::{ClusterView, Rank, y};
use crate::{Ask, Class, Placement};
use rainlug::{SECOND, Time, turns};
use rainlug_registry::Phase;

/// Part of a worker's slots that may be taken for one more to go there.
const ROOM: f64 = 0.75;
/// News is still so for this part of the time in which it comes to count by half.
const NEWS: f64 = 0.5;
/// News older than this says nothing of a worker that holds nothing of this dispatcher's.
const STALE: Time = SECOND;
/// Steps in which workers count as equally laden, by part of their slots.
const STEPS: f64 = 10.0;

impl Placement {
    /// Whether a worker has room that live requests do not want. Where it usually has none, only news counts that is still so:
    /// who asks again and again would take each error of an estimate for room. Of a worker that holds nothing of this
    /// dispatcher's there is no news: one request brings some.
    pub(crate) fn spares(&self, now: Time, view: &ClusterView, s: &Server) -> bool {
        let room = ROOM * s.slots(self.slots).max(1.0);
        let told = s.load.usual() < room || s.load.news(now, view.fresh * NEWS);
        s.worker.phase == Phase::Ready
            && s.unstarted == 0
            && !s.load.queue(now, view.fresh)
            && (blind(now, s) || (told && s.occupancy(now, view.fresh, self.others) < room))
    }

    pub(crate) fn spare(
        &self,
        now: Time,
        view: &ClusterView,
        ask: &Ask,
        class: Option<&Class>,
    ) -> Option<usize> {
        let part = self.part(now, class);
        let mut best: Option<((f64, f64), usize)> = None;
        for (j, s) in self.servers.iter().enumerate() {
            let slots = s.slots(self.slots);
            let laden = s.occupancy(now, view.fresh, self.others) / slots.max(1.0);
            let fit = match blind(now, s) {
                // What its rank would rest on is not known.
                true => !self.never(now, view, s, ask) && (view.common || !s.health.grey(now)),
                false => self.rank(now, view, s, ask, f64::from(ask.prompt)) <= Rank::Outside,
            };
            if !fit || !self.spares(now, view, s) {
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

/// Whether nothing recent is known of a worker, and nothing is under way that would tell.
fn blind(now: Time, s: &Server) -> bool {
    s.flying == 0 && !s.load.news(now, STALE as f64)
}
