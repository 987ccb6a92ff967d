//! Which worker is next: the newest route, the choice among its workers, and whether a choice still holds.

use std::rc::Rc;
use std::time::Duration;

use rainlug_placement::Ask;
use rainlug_registry::Route;
use tokio::time::Instant;

use super::{Exchange, Stop};
use crate::millis;
use crate::routing::{Picked, class, services};

/// For a pick that none can take now, it is waited for this part of the target, and for so long at most.
const WAIT_PART: u64 = 8;
const MOST_WAIT: Duration = Duration::from_millis(50);

impl Exchange<'_> {
    pub fn ask(&mut self, route: &Route, tried: &[String]) -> &Ask {
        self.ask.class = class(&route.name);
        let target = i64::try_from(route.target_ms).unwrap_or(i64::MAX / 2000).saturating_mul(1000);
        let elapsed = i64::try_from(self.request.arrived.elapsed().as_micros()).unwrap_or(i64::MAX);
        self.ask.aim = target.saturating_sub(elapsed).max(0);
        self.ask.tried.extend_from_slice(tried);
        &self.ask
    }

    /// This request's turn among those of its route, which chooses between the route's services; it takes one only once.
    pub fn turn(&mut self, route: &Route) -> f64 {
        let gateway = self.gateway;
        *self.turn.get_or_insert_with(|| gateway.split_turn(route))
    }

    /// The newest route of the request.
    pub(super) fn route(&mut self) -> Option<Rc<Route>> {
        let configuration = self.gateway.configuration()?;
        let route = configuration.route(&self.request.host, self.request.path()).cloned();
        self.configuration = Some(configuration);
        route
    }

    /// Whether what was decided still holds: the worker takes requests, and the route still has its service.
    pub(super) fn holds(&self, picked: &Picked) -> bool {
        if !self.gateway.sendable(&picked.worker.id) {
            return false;
        }
        let (Some(then), Some(now)) = (&self.configuration, self.gateway.configuration()) else {
            return true;
        };
        Rc::ptr_eq(then, &now)
            || now
                .route(&self.request.host, self.request.path())
                .is_some_and(|route| services(route, 0.0).any(|name| name == picked.worker.service))
    }

    /// A worker, for which it is waited a little.
    pub(super) async fn picked(&mut self, route: &Route, until: Instant) -> Result<Option<Picked>, Stop> {
        let (gateway, turn) = (self.gateway, self.turn(route));
        let most = if self.began {
            millis(route.gap_target_ms).max(MOST_WAIT)
        } else {
            MOST_WAIT.min(millis(route.target_ms / WAIT_PART))
        };
        let patience = until.min(Instant::now() + most);
        loop {
            if let Some(picked) = gateway.pick(route, turn, self.ask(route, &[])) {
                return Ok(Some(picked));
            }
            let mut waits =
                services(route, turn).filter_map(|name| gateway.services.borrow().get(name).cloned());
            let Some(service) = waits.next() else { return Ok(None) };
            match self.wait(service.room(route.priority), patience).await {
                Ok(()) => {}
                Err(Stop::Over) if patience < until => return Ok(None),
                Err(stop) => return Err(stop),
            }
        }
    }

    /// Another worker than the one that is silent, where one may be tried.
    pub(super) fn other(&mut self, picked: &Picked, route: &Route) -> Option<Picked> {
        if self.sent >= route.max_attempts {
            return None;
        }
        let (gateway, turn) = (self.gateway, self.turn(route));
        let ask = self.ask(route, std::slice::from_ref(&picked.worker.id));
        let other = gateway.pick(route, turn, ask);
        self.ask.tried.pop();
        other
    }
}
