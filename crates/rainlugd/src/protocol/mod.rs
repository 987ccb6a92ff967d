//! The protocols: heads of HTTP messages, the lines of workers and of the list, load reports; datagrams between dispatchers.

pub mod envelope;
pub mod head;
pub mod lines;
pub mod report;
pub mod words;
