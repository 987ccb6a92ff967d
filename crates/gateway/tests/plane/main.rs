//! The data plane between stand-in workers and clients on real sockets.

mod common;
mod correlation;
mod deadlines;
mod garbage;
mod kept;
mod requests;
mod split;
mod stop;
mod streams;
mod worker_side;
