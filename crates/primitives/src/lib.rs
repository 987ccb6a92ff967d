//! Coordination primitives for applications, without I/O: locks with fencing tokens, numbers, versioned keys and their history.
//!
//! A shard of primitives is a replicated log of [`Command`]s; [`Primitives`] is the state machine that the log changes. What hands
//! something out (a grant, a renewal, a number, a put) is an entry of the log, so a leader that was replaced without knowing it hands
//! out nothing: it cannot commit.
//!
//! - [`LockTable`]: who holds which lock, and when each hold ends.
//! - [`KeyGroup`]: the keys of a group, its count of revisions, and its recent puts for watches.
//! - [`answer`]: the JSON that callers get.
//!
//! Which commands take effect follows from the log alone, so all replicas decide alike. The ends of holds and the age of the history
//! are counted on each replica's own steady clock from when it applied an entry, and decide only what a leader proposes or answers. The
//! time of day is never used.

#![warn(missing_docs, unreachable_pub)]

pub mod answer;
mod command;
mod key_group;
mod lock_table;
mod remembered_puts;
mod snapshot;
mod state;

pub use command::Command;
pub use key_group::{KeyGroup, Put, PutOutcome, Version, WatchRead, group_of};
pub use lock_table::{Availability, LockTable};
pub use remembered_puts::MAX_REMEMBERED_PUTS;
pub use snapshot::RestoreError;
pub use state::{EntryTime, Outcome, Primitives};
