//! The encoding of one record; the crate's documentation describes the format.

use std::io::{self, Read};

use bytes::Bytes;

const MAGIC: [u8; 4] = *b"\xd0RL1";
/// Bytes of a record before its payload.
pub const HEADER_BYTES: usize = 20;

/// The header of a record at an offset of the file.
///
/// # Errors
/// `InvalidInput` where the payload is longer than its length field can say.
pub fn encode_header(offset: u64, batch: u64, payload: &[u8]) -> io::Result<[u8; HEADER_BYTES]> {
    let length = u32::try_from(payload.len()).map_err(|_| io::Error::from(io::ErrorKind::InvalidInput))?;
    let mut header = [0; HEADER_BYTES];
    header[..4].copy_from_slice(&MAGIC);
    header[4..8].copy_from_slice(&length.to_le_bytes());
    header[8..16].copy_from_slice(&batch.to_le_bytes());
    header[16..].copy_from_slice(&checksum(offset, length, batch, payload).to_le_bytes());
    Ok(header)
}

/// The checksum covers the offset too, so that a record that was copied to another offset, such as one inside a payload, is not
/// taken for a record of the log.
fn checksum(offset: u64, length: u32, batch: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&offset.to_le_bytes());
    hasher.update(&length.to_le_bytes());
    hasher.update(&batch.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// A decoded header, behind its magic.
struct Header {
    length: u32,
    batch: u64,
    checksum: u32,
}

impl Header {
    /// Decodes the header of a record at an offset; none where the magic differs or its batch is not in `min_batch..=offset`.
    fn decode(bytes: &[u8], offset: u64, min_batch: u64) -> Option<Self> {
        let rest = bytes.strip_prefix(&MAGIC)?;
        let (length, rest) = rest.split_first_chunk()?;
        let (batch, rest) = rest.split_first_chunk()?;
        let (checksum, _) = rest.split_first_chunk()?;
        let header = Header {
            length: u32::from_le_bytes(*length),
            batch: u64::from_le_bytes(*batch),
            checksum: u32::from_le_bytes(*checksum),
        };
        (min_batch..=offset).contains(&header.batch).then_some(header)
    }

    fn matches(&self, offset: u64, payload: &[u8]) -> bool {
        checksum(offset, self.length, self.batch, payload) == self.checksum
    }
}

/// Reads the record at an offset of a file that has `remaining` bytes from there on; none where no complete, valid one stands
/// there. The reader has then moved by an unspecified number of bytes.
///
/// # Errors
/// Where the file cannot be read.
pub fn read(reader: &mut impl Read, offset: u64, remaining: u64) -> io::Result<Option<Bytes>> {
    let mut header = [0; HEADER_BYTES];
    let Some(remaining) = remaining.checked_sub(HEADER_BYTES as u64) else { return Ok(None) };
    reader.read_exact(&mut header)?;
    let Some(header) = Header::decode(&header, offset, 0) else { return Ok(None) };
    if u64::from(header.length) > remaining {
        return Ok(None);
    }
    let mut payload = vec![0; header.length as usize];
    reader.read_exact(&mut payload)?;
    Ok(header.matches(offset, &payload).then(|| payload.into()))
}

/// Whether a valid record of a later batch stands behind the invalid record at file offset `invalid`, with which `bytes` begin.
/// That batch was begun after the invalid record's batch had been synced.
pub fn is_followed_by_later_batch(bytes: &[u8], invalid: u64) -> bool {
    (1..bytes.len()).any(|at| is_valid_at(bytes, at, invalid + at as u64, invalid + 1))
}

/// Whether a valid record with a batch from `min_batch` on stands at `bytes[at..]`, which is at `offset` in the file.
fn is_valid_at(bytes: &[u8], at: usize, offset: u64, min_batch: u64) -> bool {
    let Some(rest) = bytes.get(at..) else { return false };
    let Some(header) = Header::decode(rest, offset, min_batch) else { return false };
    let payload = rest.get(HEADER_BYTES..).and_then(|rest| rest.get(..header.length as usize));
    payload.is_some_and(|payload| header.matches(offset, payload))
}
