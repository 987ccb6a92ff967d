//! Sockets: connections that carry framed messages, the buffers and the room they take, and how they end.

mod codec;
mod end;
mod limits;
mod link;
mod pool;
mod trust;

pub use codec::{Body, MOST_BODY, Piece};
pub use end::End;
pub use limits::{Bounds, Room};
pub use link::Link;
pub use pool::Pool;
pub use trust::Trust;
