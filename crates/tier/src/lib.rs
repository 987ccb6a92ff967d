//! The serving tier's processes: settings, sockets, disk and command line round the cores.

pub mod check;
pub mod clock;
pub mod control;
pub mod disk;
pub mod faults;
pub mod listings;
pub mod local;
pub mod log;
pub mod metrics;
pub mod node;
pub mod operator;
pub mod peers;
pub mod process;
pub mod process_memory;
pub mod roles;
pub mod settings;
mod step_times;
