//! How many connections the process holds, by the descriptors and the memory it is given.

use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

use super::pool::Pool;

/// One part of so many of the descriptors is kept for what is not a peer's: listener, list, log, clock and signals,
/// and those to whom it must be said that there is no room.
const RESERVE: usize = 8;
/// And never fewer than this: some are taken as soon as the process runs.
const LEAST_RESERVE: usize = 16;

/// The bounds for connections of clients and to workers, and of those to be turned away at once.
#[derive(Clone)]
pub struct Bounds {
    pub clients: Room,
    pub workers: Room,
    pub turned_away: Room,
    pub list: Room,
}

impl Bounds {
    /// Half of what is not in reserve is for clients and half for workers; each connection may hold a buffer, and
    /// buffers may take half of the memory.
    pub fn within(descriptors: usize, memory: usize) -> Self {
        let reserve = (descriptors / RESERVE).max(LEAST_RESERVE);
        let each = (descriptors.saturating_sub(reserve) / 2).min(Pool::buffers_in(memory / 2) / 2).max(1);
        Bounds {
            clients: Room::of(each),
            workers: Room::of(each),
            turned_away: Room::of(reserve / 2),
            // The old source is read until a new one speaks.
            list: Room::of(2),
        }
    }
}

/// Room for so many connections.
#[derive(Clone)]
pub struct Room {
    most: usize,
    free: Arc<Semaphore>,
    wanted: Rc<Notify>,
}

/// A connection's place in its room, until it is dropped.
pub struct Seat {
    _permit: OwnedSemaphorePermit,
}

impl Room {
    fn of(most: usize) -> Self {
        Room { most, free: Arc::new(Semaphore::new(most)), wanted: Rc::default() }
    }

    pub fn seat(&self) -> Option<Seat> {
        Some(Seat { _permit: self.free.clone().try_acquire_owned().ok()? })
    }

    /// Waits for a seat, and asks those who hold one idly for theirs.
    pub async fn wait(&self) -> Option<Seat> {
        if let Some(seat) = self.seat() {
            return Some(seat);
        }
        self.ask();
        Some(Seat { _permit: self.free.clone().acquire_owned().await.ok()? })
    }

    /// Asks those who hold a seat idly for one.
    pub fn ask(&self) {
        self.wanted.notify_one();
    }

    pub fn empty(&self) -> bool {
        self.free.available_permits() == self.most
    }

    /// Ends when somebody wants a seat and there is none: one idle connection is to go.
    pub async fn wanted(&self) {
        self.wanted.notified().await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bounds_leave_a_reserve_and_fit_the_memory() {
        for (descriptors, memory) in [(1024, 192 << 20), (64, 192 << 20), (1024, 8 << 20), (1, 0)] {
            let bounds = Bounds::within(descriptors, memory);
            let free = |r: &Room| r.free.available_permits();
            let both = free(&bounds.clients) + free(&bounds.workers);
            assert!(free(&bounds.clients) >= 1 && free(&bounds.workers) >= 1);
            assert!(descriptors < 64 || both + free(&bounds.turned_away) + 8 <= descriptors);
            assert!(memory == 0 || both <= Pool::buffers_in(memory / 2));
        }
    }

    #[tokio::test]
    async fn who_finds_no_seat_asks_for_one() {
        let room = Room::of(1);
        let seat = room.seat().unwrap();
        assert!(room.seat().is_none());
        let holder = async {
            room.wanted().await;
            drop(seat);
        };
        let (waited, ()) = tokio::join!(room.wait(), holder);
        assert!(waited.is_some());
    }
}
