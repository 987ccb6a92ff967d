//! Records that are to replace a log's, made one at a time while they are written.

use bytes::Bytes;

use crate::record::HEADER_BYTES;

/// A list of records for a rewrite, which need not be in memory. It is read in order, and again from the start where the disk
/// refused a rewrite; it has to give the same records each time.
pub trait RecordSource: Send {
    /// How many records there are.
    fn count(&self) -> usize;
    /// The payload of one record, by its position from 0 on. Only positions below [`count`](Self::count) are asked for.
    fn record(&self, number: usize) -> Bytes;
    /// Bytes of all payloads together: the space that is reserved before they are written. Where that turns out wrong, the space
    /// in use is corrected to what was written.
    fn payload_bytes(&self) -> u64;
}

impl RecordSource for [Bytes] {
    fn count(&self) -> usize {
        self.len()
    }

    fn record(&self, number: usize) -> Bytes {
        self.get(number).cloned().unwrap_or_default()
    }

    fn payload_bytes(&self) -> u64 {
        self.iter().map(|record| record.len() as u64).sum()
    }
}

impl RecordSource for Vec<Bytes> {
    fn count(&self) -> usize {
        self.len()
    }

    fn record(&self, number: usize) -> Bytes {
        self.as_slice().record(number)
    }

    fn payload_bytes(&self) -> u64 {
        self.as_slice().payload_bytes()
    }
}

impl<const COUNT: usize> RecordSource for [Bytes; COUNT] {
    fn count(&self) -> usize {
        COUNT
    }

    fn record(&self, number: usize) -> Bytes {
        self.as_slice().record(number)
    }

    fn payload_bytes(&self) -> u64 {
        self.as_slice().payload_bytes()
    }
}

/// The records from a position on.
pub fn records_from<S: RecordSource + ?Sized>(source: &S, first: usize) -> impl Iterator<Item = Bytes> {
    (first..source.count()).map(|number| source.record(number))
}

/// Bytes that all records take in a file, with their headers.
pub fn encoded_bytes<S: RecordSource + ?Sized>(source: &S) -> u64 {
    source.payload_bytes() + (HEADER_BYTES * source.count()) as u64
}
