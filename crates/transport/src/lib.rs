//! Sockets: connections that carry framed HTTP/1.1 messages, the buffers and the room they take, and how they end.

mod codec;
mod end;
pub mod head;
mod input;
mod limits;
mod link;
mod listener;
mod outgoing;
mod pool;
mod trust;

pub use codec::{Body, Messages, Piece};
pub use end::End;
pub use input::has_input;
pub use limits::{Bounds, Room, Seat};
pub use link::Link;
pub use listener::close_listener;
pub use pool::{Pool, Sizes};
pub use trust::Trust;
