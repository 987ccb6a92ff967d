//! What operators and workers tell the tier: configurations and their routes, and the list of workers. No I/O: time and chance
//! are handed in, and what is to be sent is handed out.

pub mod configuration;
pub mod gossip;
mod json;
pub mod report;
mod wire;
pub mod worker;

pub use configuration::{Configuration, Finding, Findings, Limits, Route, RouteKind, Service};
pub use gossip::Gossip;
pub use report::WorkerReport;
pub use worker::{Phase, Worker};
