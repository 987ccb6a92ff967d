//! The memory of a process, as the system counts it.

/// What of a process's memory is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Figure {
    /// The most that it has had at once.
    Peak,
    /// What it has now.
    Used,
}

impl Figure {
    /// What its line begins with.
    fn label(self) -> &'static str {
        match self {
            Figure::Peak => "VmHWM:",
            Figure::Used => "VmRSS:",
        }
    }
}

/// A figure in KiB; nothing where the system does not tell. `process` is an id, or `self`.
pub fn kibibytes(process: &str, figure: Figure) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let rest = status.lines().find_map(|line| line.strip_prefix(figure.label()))?;
    rest.trim().strip_suffix("kB")?.trim().parse().ok()
}
