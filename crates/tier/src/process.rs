//! A gateway or store from its start to its end.

pub use rainlug_coordinator::ProcessRole;
