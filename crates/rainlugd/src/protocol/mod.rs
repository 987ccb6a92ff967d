//! The protocol's text: heads of HTTP messages, the lines of workers and of the list, and load reports.

pub mod head;
pub mod lines;
pub mod report;
pub mod words;
