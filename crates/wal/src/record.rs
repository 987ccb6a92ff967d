//! The format of records: a header of 20 bytes (magic, length of the payload, number of its batch, CRC-32; numbers little-endian)
//! and the payload. A batch is what one append wrote; its number is the offset at which it begins, so all before that was synced
//! by then.

use std::io::{self, Read};

use bytes::Bytes;

const MAGIC: [u8; 4] = *b"\xd0RL1";
/// Bytes of a record before its payload.
pub const HEADER: usize = 20;

/// The header of a record at an offset of the file.
pub fn header(offset: u64, batch: u64, payload: &[u8]) -> io::Result<[u8; HEADER]> {
    let length = u32::try_from(payload.len()).map_err(|_| io::Error::from(io::ErrorKind::InvalidInput))?;
    let mut header = [0; HEADER];
    header[..4].copy_from_slice(&MAGIC);
    header[4..8].copy_from_slice(&length.to_le_bytes());
    header[8..16].copy_from_slice(&batch.to_le_bytes());
    header[16..].copy_from_slice(&checksum(offset, length, batch, payload).to_le_bytes());
    Ok(header)
}

/// It covers the offset too: a record's copy in another place is none.
fn checksum(offset: u64, length: u32, batch: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&offset.to_le_bytes());
    hasher.update(&length.to_le_bytes());
    hasher.update(&batch.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// What a header says.
struct Head {
    length: u32,
    batch: u64,
    checksum: u32,
}

impl Head {
    /// Reads the header of a record at an offset, if it is one and its batch is `first` or later.
    fn parse(bytes: &[u8], offset: u64, first: u64) -> Option<Self> {
        let rest = bytes.strip_prefix(&MAGIC)?;
        let (length, rest) = rest.split_first_chunk()?;
        let (batch, rest) = rest.split_first_chunk()?;
        let (checksum, _) = rest.split_first_chunk()?;
        let head = Head {
            length: u32::from_le_bytes(*length),
            batch: u64::from_le_bytes(*batch),
            checksum: u32::from_le_bytes(*checksum),
        };
        (first..=offset).contains(&head.batch).then_some(head)
    }

    fn matches(&self, offset: u64, payload: &[u8]) -> bool {
        checksum(offset, self.length, self.batch, payload) == self.checksum
    }
}

/// Reads the record at an offset of a file with `left` bytes from there on; nothing where none is whole. The reader has then
/// moved by an unknown number of bytes.
///
/// # Errors
/// Where the file cannot be read.
pub fn read(reader: &mut impl Read, offset: u64, left: u64) -> io::Result<Option<Bytes>> {
    let mut header = [0; HEADER];
    let Some(left) = left.checked_sub(HEADER as u64) else { return Ok(None) };
    reader.read_exact(&mut header)?;
    let Some(head) = Head::parse(&header, offset, 0) else { return Ok(None) };
    if u64::from(head.length) > left {
        return Ok(None);
    }
    let mut payload = vec![0; head.length as usize];
    reader.read_exact(&mut payload)?;
    Ok(head.matches(offset, &payload).then(|| payload.into()))
}

/// Whether behind the bad record with which these bytes begin, at an offset of the file, stands a whole one that was written
/// after the bad one's sync.
pub fn is_followed(bytes: &[u8], bad: u64) -> bool {
    (1..bytes.len()).any(|place| is_record(bytes, place, bad + place as u64, bad + 1))
}

fn is_record(bytes: &[u8], place: usize, offset: u64, first: u64) -> bool {
    let Some(rest) = bytes.get(place..) else { return false };
    let Some(head) = Head::parse(rest, offset, first) else { return false };
    let payload = rest.get(HEADER..).and_then(|rest| rest.get(..head.length as usize));
    payload.is_some_and(|payload| head.matches(offset, payload))
}
