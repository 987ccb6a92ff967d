//! The serving tier's processes: settings, sockets, disk and command line round the cores.

pub mod clock;
pub mod control;
pub mod disk;
pub mod log;
pub mod node;
pub mod peers;
pub mod settings;
