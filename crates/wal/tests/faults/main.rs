//! Logs on a disk that loses power, fills up, refuses or stalls.

mod disk;
mod power_loss;
mod refusals;
mod sources;
