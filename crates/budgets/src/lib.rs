//! Budgets of a whole fleet: rates and occupancies that all its dispatchers together may use. A reserve of each is everybody's own for
//! good; the rest is lent in short grants by a divider that a majority of voters elected. The sum never rests on who is thought
//! to be there: only on grants, and on clocks that run true within a bound. The argument: `docs/budgets.md`.
//!
//! No I/O: time and messages are handed in, decisions are handed out. Each part is told its own clock's monotonic time, in
//! microseconds, and no other.

mod divider;
mod fair;
mod holder;
mod terms;
mod voter;

pub use divider::Divider;
pub use holder::{Ask, Holder};
pub use terms::{Budget, Kind, Terms};
pub use voter::Voter;

pub use rainlug::Time;

/// Millionths: of a unit a second for rates, of a unit for occupancies. Sums of whole numbers are exact.
pub type Amount = u64;

/// One unit.
pub const UNIT: Amount = 1_000_000;
