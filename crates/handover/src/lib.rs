//! What holds for a process of the dispatcher while it is emptied, stopped, or followed by the next one.

mod phase;

pub use phase::{Phase, Stance};
