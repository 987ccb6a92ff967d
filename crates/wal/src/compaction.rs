//! When a log is rewritten, as far as that rests on lengths: one rule for who writes logs and for who reckons with the room that
//! they will have.

/// Of a disk's bytes, one in so many is kept back from rewrites for the appends that come meanwhile.
const APPEND_RESERVE_SHARE: u64 = 32;
/// A rewrite that shortens a log by less than one part in so many is not worth its writes.
const MIN_GAIN_SHARE: u64 = 5;

/// Bytes that appends have to themselves on a disk of so many.
pub fn reserved_for_appends(capacity: u64) -> u64 {
    capacity / APPEND_RESERVE_SHARE
}

/// Whether a rewrite of so many bytes to fewer shortens the log enough for its writes to pay where room is short.
pub fn is_worthwhile(length: u64, rewritten: u64) -> bool {
    length.saturating_sub(rewritten) >= length / MIN_GAIN_SHARE
}

/// Whether a rewrite is worth its writes: it halves the log; or it shortens it by less while more than half of the disk is in use,
/// and room for the second copy may soon be gone.
pub fn should_compact(length: u64, rewritten: u64, is_disk_half_full: bool) -> bool {
    length.saturating_sub(rewritten) >= rewritten || is_disk_half_full && is_worthwhile(length, rewritten)
}
