//! The tier's service registry: what operators configure, which workers there are, and how every process comes to know both.
//!
//! - [`Configuration`]: an operator's document, parsed, validated, and looked up by host and path.
//! - [`Worker`]: a worker as it registers itself by heartbeats.
//! - [`Gossip`]: the replicated view of workers and of versioned documents.
//! - [`WorkerReport`]: what processes report to one another of workers' load and failures.
//!
//! There is no I/O here: times and seeds are arguments, and what is to be sent is handed to the caller. Given the same calls, the
//! results are the same.

#![warn(missing_docs)]

pub mod configuration;
mod findings;
pub mod gossip;
pub mod json;
pub mod report;
mod wire;
pub mod worker;

pub use configuration::{Configuration, Limits, Route, RouteKind, Service};
pub use findings::{Finding, Findings};
pub use gossip::Gossip;
pub use json::is_json;
pub use report::WorkerReport;
pub use worker::{Phase, Worker};
