//! Reading and writing runs of records in a file.

use std::io::{self, BufReader, Read};

use bytes::Bytes;

use crate::FileSystem;
use crate::record::{self, HEADER_BYTES};

/// Bytes that are collected before they are written, and that are read at once.
const BUFFER_BYTES: usize = 1 << 20;

/// Writes records from an offset on, each with the batch that `batch_at` gives for its offset, and returns the offset behind them.
/// Nothing is synced.
pub fn write_records<F: FileSystem>(
    file_system: &F,
    file: &F::File,
    start: u64,
    records: impl Iterator<Item = Bytes>,
    batch_at: impl Fn(u64) -> u64,
) -> io::Result<u64> {
    let mut written = start;
    let mut offset = start;
    let mut buffer = Vec::new();
    for payload in records {
        if buffer.len() + HEADER_BYTES + payload.len() > BUFFER_BYTES {
            file_system.write_all_at(file, &buffer, written)?;
            written = offset;
            buffer.clear();
        }
        buffer.extend_from_slice(&record::encode_header(offset, batch_at(offset), &payload)?);
        offset += (HEADER_BYTES + payload.len()) as u64;
        if payload.len() < BUFFER_BYTES {
            buffer.extend_from_slice(&payload);
            continue;
        }
        // A payload this long is not worth a copy.
        file_system.write_all_at(file, &buffer, written)?;
        file_system.write_all_at(file, &payload, written + buffer.len() as u64)?;
        written = offset;
        buffer.clear();
    }
    file_system.write_all_at(file, &buffer, written)?;
    Ok(offset)
}

/// The valid records at the start of a file of `size` bytes, and the offset behind them.
pub fn read_records<F: FileSystem>(
    file_system: &F,
    file: &F::File,
    size: u64,
) -> io::Result<(Vec<Bytes>, u64)> {
    let cursor = Cursor { file_system, file, offset: 0 };
    let mut reader = BufReader::with_capacity(BUFFER_BYTES, cursor);
    let mut records = Vec::new();
    let mut offset = 0;
    while let Some(payload) = record::read(&mut reader, offset, size - offset)? {
        offset += (HEADER_BYTES + payload.len()) as u64;
        records.push(payload);
    }
    Ok((records, offset))
}

/// All bytes of a file from an offset on.
pub fn read_tail<F: FileSystem>(file_system: &F, file: &F::File, offset: u64) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    Cursor { file_system, file, offset }.read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// A position in a file, to read from.
struct Cursor<'a, F: FileSystem> {
    file_system: &'a F,
    file: &'a F::File,
    offset: u64,
}

impl<F: FileSystem> Read for Cursor<'_, F> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.file_system.read_at(self.file, buffer, self.offset)?;
        self.offset += count as u64;
        Ok(count)
    }
}
