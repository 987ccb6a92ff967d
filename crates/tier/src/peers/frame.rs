//! Frames of a connection between two processes: the length of the payload (4 bytes), a checksum of it (4 bytes), the payload.
//! Numbers are little-endian.

use std::io;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use xxhash_rust::xxh3::Xxh3Default;

/// Length and checksum before each payload, in bytes.
const HEADER_BYTES: usize = 8;
/// The longest payload that is sent or accepted, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
/// A tail of this many bytes is written as it is, without a copy.
const MIN_UNCOPIED_TAIL: usize = 16 << 10;

/// A frame to be sent, its payload in two pieces so that a large one is not copied behind its head.
#[derive(Clone, Debug)]
pub struct Frame {
    /// The payload's beginning.
    pub head: Bytes,
    /// The rest of the payload; may be empty.
    pub tail: Bytes,
}

impl Frame {
    /// The payload's length in bytes.
    pub(super) fn payload_bytes(&self) -> usize {
        self.head.len() + self.tail.len()
    }

    /// The tail where [`Frame::encode`] leaves it out; empty otherwise.
    pub(super) fn uncopied_tail(&self) -> &[u8] {
        if self.tail.len() < MIN_UNCOPIED_TAIL { &[] } else { &self.tail }
    }

    /// Appends the frame to `out`, all but [`Frame::uncopied_tail`]: the caller writes that next.
    pub(super) fn encode(&self, out: &mut BytesMut) {
        let copied = self.tail.len() - self.uncopied_tail().len();
        out.reserve(HEADER_BYTES + self.head.len() + copied);
        out.put_u32_le(self.payload_bytes() as u32);
        out.put_u32_le(checksum(&self.head, &self.tail));
        out.put_slice(&self.head);
        out.put_slice(&self.tail[..copied]);
    }
}

/// The lower half of the XXH3 hash of a payload in two pieces.
fn checksum(head: &[u8], tail: &[u8]) -> u32 {
    let mut hash = Xxh3Default::new();
    hash.update(head);
    hash.update(tail);
    hash.digest() as u32
}

/// Takes the payload of the first frame out of `buffer`; `None` where the frame is not complete yet.
///
/// # Errors
/// [`io::ErrorKind::InvalidData`] where the frame is too long, or its checksum is wrong.
pub fn decode_frame(buffer: &mut BytesMut) -> io::Result<Option<Bytes>> {
    if buffer.len() < HEADER_BYTES {
        return Ok(None);
    }
    let mut header = &buffer[..HEADER_BYTES];
    let (length, expected) = (header.get_u32_le() as usize, header.get_u32_le());
    if length > MAX_FRAME_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    if buffer.len() < HEADER_BYTES + length {
        buffer.reserve(HEADER_BYTES + length - buffer.len());
        return Ok(None);
    }
    buffer.advance(HEADER_BYTES);
    let payload = buffer.split_to(length).freeze();
    if checksum(&payload, &[]) != expected {
        return Err(io::ErrorKind::InvalidData.into());
    }
    Ok(Some(payload))
}
