//! The part of a tier process that has to agree with other processes, as a state machine without I/O.
//!
//! A [`Coordinator`] keeps the membership view and the gossip, hosts the replicas of the shards that this process is a member of,
//! carries calls to the leaders of shards, and runs the periodic maintenance that falls to it. Clock readings, the seed of its random
//! numbers, received bytes and completed disk writes are passed in; what the process has to do in return comes out as a list of
//! [`Effect`]s in the order in which it must be done. The same code therefore runs over sockets and disks (`rainlug-tier`) and in the
//! deterministic in-memory fleet of this crate's tests.
//!
//! The caller's loop: pass each event to its method ([`Coordinator::receive_frame`], [`Coordinator::persisted`], …), carry out
//! [`Coordinator::take_effects`], and call [`Coordinator::handle_timeout`] at [`Coordinator::next_timeout`].

#![warn(missing_docs)]

mod admission;
mod api;
mod batch_shard;
mod calls;
pub mod capacity;
pub mod control;
mod coordinator;
mod departure;
mod diagnostics;
mod disk_fencing;
mod dissemination;
mod founding;
pub mod frame;
mod info;
pub mod invariants;
mod leadership;
pub mod listing;
mod lost_membership;
mod maintenance;
pub mod member_changes;
mod membership;
mod primitive_answers;
mod primitive_calls;
mod primitive_shard;
mod quota;
mod replica_placement;
mod replica_settings;
mod replication;
mod reports;
mod serving;
mod shard;
mod shard_founding;
mod sharding;
mod state_machine;
mod tied_sets;
pub mod topology;
mod waiting;
mod watch_list;
mod worker_calls;

pub use api::{Answer, Call, Effect, Now, ShardStatus};
pub use coordinator::Coordinator;
pub use founding::founding_id;
pub use info::{NodeInfo, ProcessRole, RETENTION_SLACK};
pub use primitive_calls::PrimitiveCall;
pub use sharding::{
    BATCH_SHARDS, CONTROL, LAST_SHARD, PRIMITIVE_SHARDS, shard_of_job, shard_of_primitive, shard_of_route,
};

pub(crate) use coordinator::MAX_SPREAD_WAIT;
pub(crate) use replica_settings::LOGS_PER_DISK;
pub(crate) use serving::Origin;
