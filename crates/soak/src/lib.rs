//! Soak test: a whole small tier of real processes on loopback addresses, under load, with random faults two or three at once, and
//! a checker of the rules that hold for all machines. See `docs/soak.md`.

pub mod applications;
pub mod checker;
pub mod client;
pub mod losses;
pub mod monitor;
pub mod network;
pub mod operator;
pub mod options;
pub mod primitive_history;
pub mod run;
pub mod settle;
pub mod soak;
pub mod throttle;
pub mod tier;
pub mod trouble;
pub mod verdict;
