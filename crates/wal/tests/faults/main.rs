//! Logs on a disk that loses power, fills up, refuses or stalls.

mod files;
mod power_loss;
mod refusals;
mod sources;
