//! What a run is told.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;

/// A soak of one or several seeds
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// Decides the troubles, and what clients ask
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Seeds to run, one after the other, from this one on
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    pub seeds: u64,
    /// Seconds of load and troubles; the tier comes up before, and settles after
    #[bpaf(long, argument("S"), fallback(90), display_fallback)]
    pub seconds: u64,
    /// Machines that may be lost at once
    #[bpaf(long("tolerate"), argument("F"), fallback(1), display_fallback)]
    pub tolerate: u8,
    /// Processes that keep batch jobs
    #[bpaf(long, argument("N"), fallback(5), display_fallback)]
    pub stores: u8,
    /// Troubles at once, at most
    #[bpaf(long, argument("N"), fallback(3), display_fallback)]
    pub overlap: u8,
    /// Clients that submit batch jobs, and as many that read them
    #[bpaf(long, argument("N"), fallback(4), display_fallback)]
    pub clients: u16,
    /// Batch jobs that each of the clients submits in a second, about
    #[bpaf(long, argument("N"), fallback(6.0), display_fallback)]
    pub rate: f64,
    /// A disk's room, and the memory that a process may use
    #[bpaf(long, argument("MB"), fallback(32), display_fallback)]
    pub disk_mb: u32,
    #[bpaf(long, argument("MB"), fallback(80), display_fallback)]
    pub memory_mb: u32,
    /// Kill a gateway or store that uses more than its memory, as an out-of-memory killer would, and start it again
    #[bpaf(long)]
    pub kill_over_memory: bool,
    /// Processor share that each gateway and store may use; without this, all there is
    #[bpaf(long, argument("SHARE"))]
    pub cpu_share: Option<f64>,
    /// What each machine's link carries, as the tier is told; nothing holds the loopback to it
    #[bpaf(long, argument("MBPS"))]
    pub link_mbps: Option<u32>,
    /// Seconds that a job can be asked for after it was first sent
    #[bpaf(long, argument("S"), fallback(120), display_fallback)]
    pub status_s: u32,
    /// Seconds in which a wiped disk must be whole again
    #[bpaf(long, argument("S"), fallback(5), display_fallback)]
    pub sync_s: u64,
    /// Seconds after which an item is given up
    #[bpaf(long, argument("S"), fallback(20), display_fallback)]
    pub retain_s: u64,
    /// Words in the text of each token of an answer
    #[bpaf(long, argument("N"), fallback(24), display_fallback)]
    pub words_per_token: u32,
    /// Where settings, disks and logs are
    #[bpaf(long, argument("DIR"), fallback(PathBuf::from("target/soak")), debug_fallback)]
    pub dir: PathBuf,
    /// The program of the tier, in place of this one
    #[bpaf(long, argument("FILE"))]
    pub program: Option<PathBuf>,
}

/// What the processes are told of their room and times.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub memory_mb: u32,
    pub disk_mb: u32,
    pub status_s: u32,
    pub sync_s: u64,
    pub link_mbps: Option<u32>,
    pub tolerate: u8,
    pub words_per_token: u32,
}

impl Options {
    /// Whether there can be such a run: enough machines, few enough processes, and an end.
    pub fn is_sound(&self) -> bool {
        let needed = 2 * u32::from(self.tolerate) + 1;
        let processes = u32::from(self.gateways()) + u32::from(self.stores) + u32::from(WORKERS);
        (1..=2).contains(&self.tolerate)
            && u32::from(self.stores) >= needed
            && processes <= MOST_PROCESSES
            && (1..=MOST_SECONDS).contains(&self.seconds)
            && (1..=MOST_SEEDS).contains(&self.seeds)
            && (1..=4).contains(&self.overlap)
            && self.cpu_share.is_none_or(|share| (0.05..=4.0).contains(&share))
            && (1..=100).contains(&self.clients)
            && self.rate > 0.0
            && self.rate <= 100.0
            && self.sync_s <= MOST_SECONDS
            && self.memory_mb * processes <= MOST_MEMORY_MB
    }

    /// Enough for the group of the configuration.
    pub fn gateways(&self) -> u8 {
        (2 * self.tolerate + 1).max(3)
    }

    pub fn limits(&self) -> Limits {
        Limits {
            memory_mb: self.memory_mb,
            disk_mb: self.disk_mb,
            status_s: self.status_s,
            sync_s: self.sync_s,
            link_mbps: self.link_mbps,
            tolerate: self.tolerate,
            words_per_token: self.words_per_token,
        }
    }

    pub fn keep(&self) -> Duration {
        Duration::from_secs(self.status_s.into())
    }
}

/// Stand-in workers of a run.
pub const WORKERS: u8 = 3;
const MOST_PROCESSES: u32 = 40;
const MOST_SECONDS: u64 = 3600;
const MOST_SEEDS: u64 = 1000;
const MOST_MEMORY_MB: u32 = 8192;
