//! What every layer uses: the clock and the log.

#[macro_use]
pub mod log;

mod clock;

pub use clock::Clock;
