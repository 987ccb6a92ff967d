//! An in-memory fleet: processes of the tier on a virtual clock, with disks that lose what is not synced, links that can be
//! partitioned, and workers that run items. Nothing sleeps, and a seed decides all chance.
#![allow(dead_code, unused_imports, reason = "each test file uses a part of it")]

mod disk;
mod fleet;
mod inputs;
mod workers;

pub use disk::Disk;
pub use fleet::{Cost, Fleet, MS, Machine, Trace, address, figure, settle, settled, stores};
pub use inputs::{configuration, heartbeat, job, jobs_of, large_configuration, read, submit};
pub use workers::HeartbeatingWorkers;
