//! The memory of a process, as the system counts it.

/// What of a process's memory is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryMetric {
    /// The most that it has had at once.
    Peak,
    /// What it has now.
    Resident,
}

impl MemoryMetric {
    /// What its line begins with.
    fn label(self) -> &'static str {
        match self {
            MemoryMetric::Peak => "VmHWM:",
            MemoryMetric::Resident => "VmRSS:",
        }
    }
}

/// A figure in KiB; nothing where the system does not tell. `process` is an id, or `self`.
pub fn read_kibibytes(process: &str, figure: MemoryMetric) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let rest = status.lines().find_map(|line| line.strip_prefix(figure.label()))?;
    rest.trim().strip_suffix("kB")?.trim().parse().ok()
}
