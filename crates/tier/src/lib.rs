//! The serving tier's processes: settings, sockets, disk and command line round the cores, which are crates of their own.
//!
//! [`process`] runs a gateway or a store; its node holds its coordinator and carries its effects out; [`local`] starts a whole tier on
//! one machine; [`operator`] is what the operator's subcommands do.

#![warn(missing_docs)]

pub mod check;
mod clock;
mod control;
pub mod disk;
pub mod faults;
mod http_response;
pub mod listings;
pub mod local;
pub mod log;
pub mod metrics;
mod node;
pub mod operator;
pub mod peers;
pub mod process;
pub mod process_memory;
pub mod roles;
pub mod settings;
mod signals;
mod step_times;
