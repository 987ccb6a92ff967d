//! What a process is told of itself and the deployment.

use std::net::SocketAddr;

use rainlug::{SECOND, Time};
use rainlug_consensus::MemberId;

/// How long batch jobs are kept beyond the time for which they can be asked for: times of day of two leaders
/// that differ, a read under way, and a margin (`docs/control-bounds.md`, *How long outputs stay*).
pub const RETENTION_SLACK: Time = 20 * SECOND;

/// What the process is told of itself and the deployment.
#[derive(Clone, Debug)]
pub struct NodeInfo {
    pub node: String,
    pub zone: String,
    /// Where it hears its peers, by datagrams and connections.
    pub at: SocketAddr,
    /// Where it serves workers and operators, if it does.
    pub control: Option<SocketAddr>,
    /// It takes requests; otherwise it keeps batch jobs.
    pub gateway: bool,
    /// Its disk's identity; nothing where it has no disk.
    pub disk: Option<MemberId>,
    pub first_boot: bool,
    /// Where the seeds hear their peers.
    pub seeds: Vec<SocketAddr>,
    /// Machines with a disk that may be lost at once.
    pub tolerate: usize,
    /// Between two beats of a worker.
    pub heartbeat: Time,
    /// What its disk holds, in bytes.
    pub disk_bytes: usize,
    /// The memory that it may take, in bytes.
    pub memory_bytes: usize,
    /// What its machine's link carries; all processes of the machine share it.
    pub link_bytes_per_second: u64,
    /// How soon after its start a machine with an empty disk has to have all of its parts again.
    pub sync_time: Time,
    /// Whether calls that nobody answers go by another process; experiments leave that out.
    pub relays: bool,
    /// How long batch jobs are kept after they were sent.
    pub job_retention: Time,
    pub seed: u64,
}

impl NodeInfo {
    /// The members of a group when nothing is lost: a majority is left where `tolerate` of them are.
    pub fn target_members(&self) -> usize {
        2 * self.tolerate + 1
    }

    /// The fewest members that a group may have: half of them are left where `tolerate` are lost, and each entry is on more than
    /// those (`docs/control.md`, *Losses one after the other*).
    pub fn fewest_members(&self) -> usize {
        (2 * self.tolerate).max(self.tolerate + 1)
    }
}
