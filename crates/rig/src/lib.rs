//! The rig: real processes of the built dispatcher, a relay in front of each fleet address, faults by a script and a seed, and a
//! checker that reads what the processes answer and what relays and stand-ins saw. Scripts: `docs/rig.md`.

pub mod check;
pub mod measure;
mod observe;
pub mod play;
mod process;
mod relay;
pub mod report;
pub mod rules;
pub mod script;
pub mod shares;
pub mod shrink;
pub mod spent;
pub mod trial;
