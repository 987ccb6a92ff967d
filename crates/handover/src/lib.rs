//! What holds for a process of the dispatcher while it is emptied, stopped, or followed by the next one, and what the
//! processes of one dispatcher tell one another. `phase` and `words` decide and read without files or clocks.

mod connection;
mod descriptor;
mod listener;
mod phase;
mod place;
mod words;

pub use connection::ConnectionInbox;
pub use descriptor::pass_descriptor;
pub use listener::{ListenerInbox, SocketId};
pub use phase::{Follower, IDLE_CLOSED_WITHIN, IDLE_LINGER, Listening, Phase, Stance};
pub use place::{Place, Status};
pub use words::Words;
