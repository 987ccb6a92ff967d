//! Several operators at a fleet whose machines are cut off, killed and restarted: whether the configuration stays a linearizable
//! register with compare-and-set, and orders that are sent again are answered as before.

#[path = "../common/mod.rs"]
mod common;

mod batch_stories;
mod checker_stories;
mod configuration_stories;
mod faults;
mod history;
mod operator;
mod requests;
mod schedules;
mod worker_stories;
