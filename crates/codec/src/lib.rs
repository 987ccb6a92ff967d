//! Fixed layouts (`deku`, little-endian) followed by plain bytes that are passed on as they are: frames between processes and commands
//! in logs.
//!
//! Processes of two versions read one another's frames during an upgrade, and later versions read what is stored: layouts stay as they
//! are.

#![warn(missing_docs)]

use bytes::{Bytes, BytesMut};
use deku::prelude::*;
use quick_error::quick_error;

quick_error! {
    /// Why bytes could not be decoded.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DecodeError {
        /// They end too early, or are not a layout of this tier.
        Malformed { display("not a frame of this tier") }
    }
}

/// A text in a head: 64 KiB at most.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little", endian = "endian")]
pub struct Text {
    length: u16,
    #[deku(count = "length")]
    bytes: Vec<u8>,
}

impl From<&str> for Text {
    fn from(text: &str) -> Self {
        let bytes = text.as_bytes()[..text.len().min(usize::from(u16::MAX))].to_vec();
        Text { length: bytes.len() as u16, bytes }
    }
}

impl Text {
    /// The text.
    ///
    /// # Errors
    /// Where it is not UTF-8.
    pub fn to_str(&self) -> Result<&str, DecodeError> {
        str::from_utf8(&self.bytes).map_err(|_| DecodeError::Malformed)
    }
}

/// Encodes a head and appends its tail.
pub fn join<H: DekuContainerWrite>(head: &H, tail: &[u8]) -> Bytes {
    // Encoding to memory fails for no head that this program makes.
    let head = head.to_bytes().unwrap_or_default();
    let mut bytes = BytesMut::with_capacity(head.len() + tail.len());
    bytes.extend_from_slice(&head);
    bytes.extend_from_slice(tail);
    bytes.freeze()
}

/// Decodes a head; its tail.
///
/// # Errors
/// Where the bytes do not begin with a head.
pub fn split<H: for<'a> DekuContainerRead<'a>>(bytes: &Bytes) -> Result<(H, Bytes), DecodeError> {
    let ((rest, bit), head) = H::from_bytes((bytes, 0)).map_err(|_| DecodeError::Malformed)?;
    if bit != 0 {
        return Err(DecodeError::Malformed);
    }
    let at = bytes.len() - rest.len();
    Ok((head, bytes.slice(at..)))
}
