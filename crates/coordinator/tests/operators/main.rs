//! Several operators at a fleet whose machines are cut off, killed and restarted: whether the configuration stays a linearizable
//! register with compare-and-set, and orders that are sent again are answered as before.

#[path = "../common/mod.rs"]
mod common;

mod batch_stories;
mod checker_stories;
mod courses;
mod errands;
mod history;
mod operator;
mod stories;
mod trouble;
mod worker_stories;
