//! Who is there: a view of the fleet that its dispatchers keep themselves, without I/O. Time, chance and datagrams are
//! handed in; datagrams and changes are handed out. `rainlugd`'s actor `peers` carries them over a socket, the
//! [`emulator`] on a virtual clock. The design, its sources and what it promises: `docs/fleet.md`.
//!
//! SWIM (Das, Gupta, Motivala 2002) with suspicion, and Lifeguard's local health, confirmations and early word to the
//! suspect (Dadgar, Phillips, Currey 2017). What differs is said where it stands.

#[cfg(feature = "emulator")]
pub mod emulator;
pub mod envelope;
mod patience;
pub mod roll;
mod table;
mod view;
mod wire;

use std::net::SocketAddr;

pub use rainlug::Time;
pub use table::{Process, Standing};
pub use view::{Member, View, Ways};
pub use wire::Reader;

/// The longest payload of a datagram, in bytes: with what [`ENVELOPE`] leaves room for it is 1,400.
pub const MOST: usize = 1400 - ENVELOPE;
/// Room for what whoever carries a payload puts round it (fleet, version, checksum), in bytes.
pub const ENVELOPE: usize = 16;
/// Names and zones are no longer than this, in bytes.
pub const MOST_NAME: usize = 64;
/// Figures attached to a process take no more than this, in bytes.
pub const MOST_FIGURES: usize = 32;

/// What a process says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Card {
    /// Drawn at its start: a process that is started again is another one, whatever its clock says.
    pub id: u64,
    /// Of the dispatcher that it is a process of.
    pub name: String,
    pub zone: String,
    /// Where others reach it.
    pub at: SocketAddr,
    /// Its start by its own clock, in microseconds of Unix time; shown to people, and never compared.
    pub start: Time,
    /// Of the figures: higher is newer.
    pub edition: u32,
    pub figures: Vec<u8>,
}

/// Where a view's effects go.
pub trait Outgoing {
    /// A datagram for that address.
    fn send(&mut self, to: SocketAddr, payload: &[u8]);
    /// The standing of a process has changed in this view.
    fn changed(&mut self, process: &Process);
}

/// Why a datagram was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Odd {
    /// It ends too early, or says what no process says.
    Malformed,
    /// It does not come from where its sender says that it is.
    Elsewhere,
    /// As many processes are known as there may be.
    Full,
}
