//! The protocols: heads of HTTP messages, the lines of workers and of the list, load reports; datagrams between dispatchers.

pub use rainlug_fleet::envelope;
pub mod head;
pub mod lines;
pub mod report;
pub mod words;
