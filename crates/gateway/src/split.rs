//! Turns by which the services of a split get their shares of a route's requests.
//!
//! Independent draws leave the share of a few hundred requests off by some hundredths. Multiples of the golden ratio, modulo one, are
//! spread evenly after any number of turns, so each service is within a request or two of its share at any time. Each dispatcher begins
//! at a point of its own, so that dispatchers with few requests do not all begin with the same service.

use std::cell::RefCell;
use std::collections::HashMap;

use rainlug_registry::Route;

/// What each turn adds: the golden ratio's fraction.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

/// The last turn of each route that has been split, by its name.
#[derive(Default)]
pub(crate) struct SplitTurns(RefCell<HashMap<String, f64>>);

impl SplitTurns {
    /// The route's next turn, from 0 up to 1; its first one is `start`.
    pub fn next(&self, route: &str, start: f64) -> f64 {
        let mut turns = self.0.borrow_mut();
        if let Some(turn) = turns.get_mut(route) {
            *turn = (*turn + GOLDEN_RATIO).fract();
            return *turn;
        }
        turns.insert(route.to_owned(), start);
        start
    }

    /// Forgets all but these routes.
    pub fn keep(&self, routes: &[std::rc::Rc<Route>]) {
        let is_kept = |name: &str| routes.iter().any(|route| route.name == name);
        self.0.borrow_mut().retain(|name, _| is_kept(name));
    }
}
