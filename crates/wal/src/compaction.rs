//! When a log is worth rewriting, by lengths in bytes alone: one rule for the writer of logs and for admission control, which
//! predicts the space that the logs will take.

/// One part in so many of a disk's capacity is reserved for the appends that arrive during a rewrite.
const APPEND_RESERVE_SHARE: u64 = 32;
/// A rewrite has to shorten a log by one part in so many to be worth its writes.
const MIN_GAIN_SHARE: u64 = 5;

/// Bytes of a disk with this capacity that rewrites leave to appends.
pub fn reserved_for_appends(capacity: u64) -> u64 {
    capacity / APPEND_RESERVE_SHARE
}

/// Whether rewriting a log of `length` bytes to `rewritten` bytes is worth its writes while space is short.
pub fn is_worthwhile(length: u64, rewritten: u64) -> bool {
    length.saturating_sub(rewritten) >= length / MIN_GAIN_SHARE
}

/// Whether a log of `length` bytes should be rewritten to `rewritten` bytes: if that halves it; or, if more than half of the disk
/// is in use, so that there may soon be no space for a second file, if it [is worthwhile](is_worthwhile).
pub fn should_compact(length: u64, rewritten: u64, is_disk_half_full: bool) -> bool {
    length.saturating_sub(rewritten) >= rewritten || is_disk_half_full && is_worthwhile(length, rewritten)
}
