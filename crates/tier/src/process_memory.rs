//! The memory of a process, as the kernel counts it in `/proc/PID/status`.

/// Which count of a process's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryMetric {
    /// The largest resident set since the process began.
    Peak,
    /// The resident set now.
    Resident,
}

impl MemoryMetric {
    /// The label of its line.
    fn label(self) -> &'static str {
        match self {
            MemoryMetric::Peak => "VmHWM:",
            MemoryMetric::Resident => "VmRSS:",
        }
    }
}

/// A count of a process's memory in KiB; `None` where the system does not say. `process` is a process id, or `self`.
pub fn read_kibibytes(process: &str, metric: MemoryMetric) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let value = status.lines().find_map(|line| line.strip_prefix(metric.label()))?;
    value.trim().strip_suffix("kB")?.trim().parse().ok()
}
