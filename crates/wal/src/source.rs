//! Records that are to replace a log's, made one at a time while they are written.

use bytes::Bytes;

use crate::record::HEADER;

/// Records to be walked over in order, again where the disk refused them. The same ones each time.
pub trait RecordSource: Send {
    /// How many there are.
    fn count(&self) -> usize;
    /// One of them; made now where it is not in memory.
    fn record(&self, number: usize) -> Bytes;
    /// Bytes of all of them together: the room that is reserved before they are written.
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

/// The records from a number on.
pub fn records_from<S: RecordSource + ?Sized>(source: &S, first: usize) -> impl Iterator<Item = Bytes> {
    (first..source.count()).map(|number| source.record(number))
}

/// Bytes that these records take in a file.
pub fn encoded_length<S: RecordSource + ?Sized>(source: &S) -> u64 {
    source.payload_bytes() + (HEADER * source.count()) as u64
}
