//! A gateway or store from its start to its end.

/// The role of a process that holds a part of the tier's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes clients' requests; keeps the configuration and the list of workers.
    Gateway,
    /// Keeps batch jobs and runs their items.
    Store,
}
