//! The protocols: heads of HTTP messages, the lines of workers and of the list, load reports; datagrams between dispatchers.

use rainlug_transport::Sizes;

pub use rainlug_fleet::envelope;
pub mod head;
pub mod lines;
pub mod report;
pub mod words;

/// The largest head and body of a message, and buffers with room for both.
pub const SIZES: Sizes = Sizes { head: 8 << 10, body: 64 << 10, buffer: 72 << 10 };
