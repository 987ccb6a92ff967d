//! Budgets of a whole fleet: rates and occupancies that all its dispatchers together may use. A reserve of each is everybody's own for
//! good; the rest is lent in short grants by a divider that a majority of voters elected. The sum never rests on who is thought
//! to be there: only on grants, and on clocks that run true within a bound. The argument: `docs/budgets.md`.
//!
//! No I/O: time, chance and messages are handed in, decisions are handed out. Each part is told its own clock's monotonic time,
//! in microseconds, and no other. [`Party`] is all of it for one process; [`Voter`], [`Divider`] and [`Holder`] are its parts.

mod divider;
#[cfg(feature = "emulator")]
pub mod emulator;
mod fair;
mod holder;
mod party;
mod terms;
mod voter;
mod wire;

use std::net::SocketAddr;

pub use divider::Divider;
pub use holder::{Ask, Holder};
pub use party::Party;
pub use terms::{Budget, Kind, Terms};
pub use voter::Voter;

pub use rainlug::Time;
pub use rainlug_fleet::Odd;

/// Millionths: of a unit a second for rates, of a unit for occupancies and parts. Sums of whole numbers are exact.
pub type Amount = u64;

/// One unit.
pub const UNIT: Amount = 1_000_000;

/// The longest payload of a datagram, in bytes.
pub const MOST: usize = rainlug_fleet::MOST;

/// Whether a payload is one of these, by its kind, and none of the view's.
pub fn concerns(payload: &[u8]) -> bool {
    payload.first().is_some_and(|kind| *kind >= wire::FIRST)
}

/// A budget by its place in the terms, and which of the things it is of, where they come and go; else 0.
pub type Key = (u16, u64);

/// What of the protocol is on: all of it. Without one of these the sum does not hold, which tests and checks are tried on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ways {
    /// Voters that have just begun promise nothing yet.
    pub voters_wait: bool,
    /// A divider that has just come into office lets nothing grow yet.
    pub dividers_wait: bool,
    /// A process that has just begun leaves alone what one before it may have begun.
    pub dead_expire: bool,
    /// Holders say that they keep what they keep.
    pub shrinks_first: bool,
    /// What is counted for others is counted for longer than they count it.
    pub drift: bool,
    /// A divider goes by what was kept before it only where that was said since it came into office.
    pub known: bool,
}

impl Default for Ways {
    fn default() -> Self {
        let on = true;
        Ways { voters_wait: on, dividers_wait: on, dead_expire: on, shrinks_first: on, drift: on, known: on }
    }
}

/// Where a party's effects go.
pub trait Outgoing {
    /// A datagram for that address.
    fn send(&mut self, to: SocketAddr, payload: &[u8]);
    /// Another process divides, as far as this one has heard; nothing where it is this one.
    fn divides(&mut self, at: Option<SocketAddr>, epoch: u32);
    /// A process there has been told other terms: another roster, or only another whole.
    fn differs(&mut self, at: SocketAddr, whole_only: bool);
    /// What may be used has changed.
    fn changed(&mut self);
}
