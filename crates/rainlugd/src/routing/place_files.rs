//! The files by which the processes of one dispatcher tell one another, read and written away from the thread that serves: a disk
//! that stalls must not stall tasks.

use std::panic::resume_unwind;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rainlug_handover::Place;
use tokio::task::spawn_blocking;

/// The place of this process, with its files.
pub struct PlaceFiles {
    place: Arc<Mutex<Place>>,
    /// Held by whoever works on the files: one at a time, in the order of the calls.
    turn: tokio::sync::Mutex<()>,
}

impl PlaceFiles {
    pub fn new(place: Place) -> Self {
        PlaceFiles { place: Arc::new(Mutex::new(place)), turn: tokio::sync::Mutex::default() }
    }

    /// Works on the files on another thread; ends when that has been done. Who does not wait for it does not undo it.
    pub async fn run<R: Send + 'static>(&self, work: impl FnOnce(&Place) -> R + Send + 'static) -> R {
        let _turn = self.turn.lock().await;
        let place = self.place.clone();
        match spawn_blocking(move || work(&locked(&place))).await {
            Ok(result) => result,
            Err(error) => resume_unwind(error.into_panic()),
        }
    }

    /// Works on the files on this thread, which serves nobody yet.
    pub fn run_here<R>(&self, work: impl FnOnce(&Place) -> R) -> R {
        work(&locked(&self.place))
    }
}

fn locked(place: &Mutex<Place>) -> MutexGuard<'_, Place> {
    place.lock().unwrap_or_else(PoisonError::into_inner)
}
