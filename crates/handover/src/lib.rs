//! What holds for a process of the dispatcher while it is emptied, stopped, or followed by the next one, and what the
//! processes of one dispatcher tell one another. `phase` and `words` decide and read without files or clocks.

mod phase;
mod place;
mod words;

pub use phase::{Phase, Stance};
pub use place::{Place, Status};
pub use words::Words;
