//! The phases of a process, by the words that it is given: no clock, no sockets.

use rainlug::{SECOND, Time};

/// An idle connection is closed once it has idled for so long: one that is in use shows it sooner, and ends with an
/// answer.
const LINGER: Time = SECOND / 2;
/// All idle connections are closed by then: what comes 2 s after the word to empty the dispatcher comes too late, and of
/// the 3 s that a stop may take a task must have a part.
const LAST: Time = 3 * SECOND / 2;

/// What has been said to the process.
#[derive(Clone, Debug, Default)]
pub struct Phase {
    emptied: Option<Time>,
    stopping: Option<Time>,
    followed: bool,
}

/// What holds by it, for those who deal with clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stance {
    /// Whether the front is to send clients here.
    pub ready: bool,
    /// Whether connections outlive their answer.
    pub keeps: bool,
    /// Idle connections are closed when they have idled for the first, and all of them at the second.
    pub idle: Option<(Time, Time)>,
    /// Whether new connections are taken here.
    pub listens: bool,
}

impl Phase {
    /// Staff empty the dispatcher. A second word changes nothing.
    pub fn empty(&mut self, now: Time) {
        self.emptied.get_or_insert(now);
    }

    /// Staff let clients in again.
    pub fn fill(&mut self) {
        self.emptied = None;
    }

    pub fn emptied(&self) -> bool {
        self.emptied.is_some()
    }

    /// The process is to end. There is no way back, and a second word changes nothing.
    pub fn stop(&mut self, now: Time) {
        self.stopping.get_or_insert(now);
    }

    /// Whether a newer process of this dispatcher takes its clients.
    pub fn followed(&mut self, followed: bool) {
        self.followed = followed;
    }

    pub fn stance(&self) -> Stance {
        let idle = match (self.stopping, self.followed, self.emptied) {
            // Nobody else takes them: they come again elsewhere, the sooner the better.
            (Some(at), false, _) => Some((0, at)),
            (Some(at), true, _) | (None, _, Some(at)) => Some((LINGER, at + LAST)),
            (None, _, None) => None,
        };
        let ready = self.stopping.is_none() && self.emptied.is_none();
        let listens = self.stopping.is_none() || !self.followed;
        Stance { ready, keeps: ready && !self.followed, idle, listens }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn emptied_it_says_no_lets_idle_ones_go_in_time_and_can_be_filled_at_any_point() {
        let mut phase = Phase::default();
        let serving = phase.stance();
        assert!(serving.ready && serving.keeps && serving.listens && serving.idle.is_none());
        phase.empty(SECOND);
        let emptied = phase.stance();
        assert!(!emptied.ready && !emptied.keeps && emptied.listens);
        assert!(emptied.idle.is_some_and(|(_, by)| by < SECOND + 2 * SECOND));
        phase.empty(5 * SECOND);
        assert_eq!(phase.stance(), emptied, "a second word does not begin it anew");
        phase.fill();
        assert_eq!(phase.stance(), serving);
        phase.fill();
        assert_eq!(phase.stance(), serving);
    }

    #[test]
    fn a_stop_goes_on_to_the_end_whatever_is_said_then() {
        for emptied in [false, true] {
            let mut phase = Phase::default();
            if emptied {
                phase.empty(0);
            }
            phase.stop(SECOND);
            phase.fill();
            phase.stop(2 * SECOND);
            let stance = phase.stance();
            assert!(!stance.ready && !stance.keeps);
            assert_eq!((stance.idle, stance.listens), (Some((0, SECOND)), true));
            // With a process that follows, nobody is hurried, and new ones are its own.
            phase.followed(true);
            let stance = phase.stance();
            assert_eq!((stance.idle, stance.listens), (Some((LINGER, SECOND + LAST)), false));
        }
    }

    #[test]
    fn who_follows_takes_the_clients_over_and_gives_them_back_where_it_dies() {
        let mut phase = Phase::default();
        phase.followed(true);
        assert!(phase.stance().ready && !phase.stance().keeps && phase.stance().idle.is_none());
        phase.followed(false);
        assert_eq!(phase.stance(), Phase::default().stance());
    }

    /// All orders of up to seven words, against a plain reading of them.
    #[test]
    fn every_order_of_words_ends_where_a_plain_reading_does() {
        type Say = fn(&mut Phase, Time);
        let words: [Say; 5] = [
            |p, at| p.empty(at),
            |p, _| p.fill(),
            |p, at| p.stop(at),
            |p, _| p.followed(true),
            |p, _| p.followed(false),
        ];
        for order in 0..5_usize.pow(7) {
            let said: Vec<usize> = (0..7).map(|n| order / 5_usize.pow(n) % 5).collect();
            let mut phase = Phase::default();
            said.iter().enumerate().for_each(|(at, w)| words[*w](&mut phase, at as Time * SECOND));
            let stopped = said.iter().position(|w| *w == 2);
            let emptied = said.iter().rposition(|w| *w == 1).map_or(0, |at| at + 1);
            let emptied = said[emptied..].iter().position(|w| *w == 0).map(|at| emptied + at);
            let followed = said.iter().rev().find(|w| **w > 2) == Some(&3);
            let stance = phase.stance();
            assert_eq!(stance.ready, stopped.is_none() && emptied.is_none(), "{said:?}");
            assert_eq!(stance.keeps, stance.ready && !followed, "{said:?}");
            assert_eq!(stance.listens, stopped.is_none() || !followed, "{said:?}");
            let by = stopped.or(emptied).map(|at| at as Time * SECOND);
            assert_eq!(stance.idle.is_some(), by.is_some(), "{said:?}");
            assert!(
                stance.idle.is_none_or(|(_, end)| by.is_some_and(|by| (by..by + 2 * SECOND).contains(&end)))
            );
        }
    }
}
