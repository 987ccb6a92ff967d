//! The text of an output as it is logged, replicated and kept: plain, or compressed by deflate (RFC 1951) where that is shorter.
//!
//! The first byte is a tag that tells which. A plain text follows its tag. Compressed bytes follow a [`DeflatedHeader`], which has a
//! checksum: damage is found when a command or a snapshot is decoded, at a small part of the cost of inflating the text.

use std::borrow::Cow;
use std::io::{Read, Seek, Write};

use adler2::Adler32;
use bytes::Bytes;
use deku::prelude::*;
use miniz_oxide::deflate::core::{
    CompressorOxide, TDEFLFlush, TDEFLStatus, compress, create_comp_flags_from_zip_params,
};
use miniz_oxide::inflate::decompress_slice_iter_to_slice;
use quick_error::quick_error;

use crate::wire::{self, Source};

/// Bytes of the longest text that is compressed; a longer one is kept plain.
pub const MAX_INFLATED_BYTES: usize = 16 << 20;

/// Bytes of the shortest text that is compressed: for less the tables of deflate cost more than they save.
const MIN_DEFLATED_BYTES: usize = 64;
/// Bytes of text that deflate can make of one compressed byte, about (RFC 1951: 258 bytes from two bits).
const MAX_EXPANSION: usize = 1032;
/// Random letters, the common case, have no repetitions to search for: higher levels take longer and gain nothing.
const DEFLATE_LEVEL: i32 = 1;

const PLAIN_TAG: u8 = 0;
const DEFLATED_TAG: u8 = 1;

quick_error! {
    /// Why bytes are no [`StoredText`].
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum StoredTextError {
        /// The first byte names no encoding, or there is none.
        UnknownEncoding { display("stored text: unknown encoding") }
        /// The header of compressed bytes is cut off.
        Truncated { display("stored text: too short") }
        /// The length in the header is over [`MAX_INFLATED_BYTES`], or more than the compressed bytes can inflate to.
        Length { display("stored text: length") }
        /// The checksum is not that of the length and the compressed bytes.
        Checksum { display("stored text: checksum") }
        /// The compressed bytes do not inflate to a text of the length in the header.
        Deflate { display("stored text: compressed bytes") }
    }
}

/// What stands before compressed bytes.
#[derive(DekuRead, DekuWrite)]
#[deku(endian = "little")]
struct DeflatedHeader {
    tag: u8,
    /// Bytes of the text.
    length: u32,
    /// Adler-32 of the length and the compressed bytes.
    checksum: u32,
}

/// Bytes of a [`DeflatedHeader`].
const DEFLATED_HEADER_LEN: usize = 9;

/// A text in its stored encoding. Cheap to clone: the bytes are shared. The default is an empty text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredText(Bytes);

impl Default for StoredText {
    fn default() -> Self {
        StoredText(Bytes::from_static(&[PLAIN_TAG]))
    }
}

impl StoredText {
    /// Encodes a text, compressed where that is shorter.
    pub fn new(text: &[u8]) -> Self {
        Self::deflate(text).unwrap_or_else(|| Self::plain(text))
    }

    /// Encodes a text without compression.
    pub fn plain(text: &[u8]) -> Self {
        StoredText([&[PLAIN_TAG], text].concat().into())
    }

    /// Nothing where the text is not to be compressed, or does not become shorter.
    fn deflate(text: &[u8]) -> Option<Self> {
        if !(MIN_DEFLATED_BYTES..=MAX_INFLATED_BYTES).contains(&text.len()) {
            return None;
        }
        let mut compressor = CompressorOxide::new(create_comp_flags_from_zip_params(DEFLATE_LEVEL, 0, 0));
        // No longer than the text: the compressor stops where compression gains nothing.
        let mut stored = vec![0; text.len()];
        let (status, _, length) =
            compress(&mut compressor, text, &mut stored[DEFLATED_HEADER_LEN..], TDEFLFlush::Finish);
        if status != TDEFLStatus::Done {
            return None;
        }
        stored.truncate(DEFLATED_HEADER_LEN + length);
        let length = u32::try_from(text.len()).ok()?;
        let header = DeflatedHeader {
            tag: DEFLATED_TAG,
            length,
            checksum: checksum(length, &stored[DEFLATED_HEADER_LEN..]),
        };
        stored[..DEFLATED_HEADER_LEN].copy_from_slice(&header.to_bytes().ok()?);
        stored.shrink_to_fit();
        Some(StoredText(stored.into()))
    }

    /// Takes bytes that [`StoredText::stored`] gave.
    ///
    /// # Errors
    /// Where the tag, the length or the checksum is wrong.
    pub fn from_stored(stored: Bytes) -> Result<Self, StoredTextError> {
        match stored.first() {
            Some(&PLAIN_TAG) => {}
            Some(&DEFLATED_TAG) => check_deflated(&stored)?,
            _ => return Err(StoredTextError::UnknownEncoding),
        }
        Ok(StoredText(stored))
    }

    /// The encoding, as it is logged and kept.
    pub fn stored(&self) -> &Bytes {
        &self.0
    }

    /// Bytes of the text, found without inflating it.
    pub fn text_len(&self) -> usize {
        match parse_deflated(&self.0) {
            Ok((header, _)) => header.length as usize,
            Err(_) => self.0.len().saturating_sub(1),
        }
    }

    /// The text, inflated where it is compressed.
    ///
    /// # Errors
    /// Where the compressed bytes are not such, though their checksum is right.
    pub fn text(&self) -> Result<Cow<'_, [u8]>, StoredTextError> {
        if self.0.first() == Some(&PLAIN_TAG) {
            return Ok(Cow::Borrowed(&self.0[1..]));
        }
        let (header, compressed) = parse_deflated(&self.0)?;
        let mut text = vec![0; header.length as usize];
        match decompress_slice_iter_to_slice(&mut text, std::iter::once(compressed), false, true) {
            Ok(length) if length == text.len() => Ok(Cow::Owned(text)),
            _ => Err(StoredTextError::Deflate),
        }
    }
}

/// Reads a text in its stored encoding, as a slice of the source.
pub(crate) fn read_stored_text<R: Read + Seek>(
    reader: &mut Reader<R>,
    source: Source,
) -> Result<StoredText, DekuError> {
    let stored = wire::read_bytes(reader, source)?;
    StoredText::from_stored(stored).map_err(|_| wire::malformed("a stored text"))
}

/// Writes what [`read_stored_text`] reads.
pub(crate) fn write_stored_text<W: Write + Seek>(
    writer: &mut Writer<W>,
    text: &StoredText,
) -> Result<(), DekuError> {
    wire::write_bytes(writer, text.stored())
}

/// Splits header and compressed bytes, and checks the length.
fn parse_deflated(stored: &[u8]) -> Result<(DeflatedHeader, &[u8]), StoredTextError> {
    let ((compressed, _), header) =
        DeflatedHeader::from_bytes((stored, 0)).map_err(|_| StoredTextError::Truncated)?;
    let length = header.length as usize;
    if header.tag != DEFLATED_TAG || length > MAX_INFLATED_BYTES || length > compressed.len() * MAX_EXPANSION
    {
        return Err(StoredTextError::Length);
    }
    Ok((header, compressed))
}

/// Checks length and checksum.
fn check_deflated(stored: &[u8]) -> Result<(), StoredTextError> {
    let (header, compressed) = parse_deflated(stored)?;
    if checksum(header.length, compressed) == header.checksum {
        Ok(())
    } else {
        Err(StoredTextError::Checksum)
    }
}

fn checksum(length: u32, compressed: &[u8]) -> u32 {
    let mut sum = Adler32::new();
    sum.write_slice(&length.to_le_bytes());
    sum.write_slice(compressed);
    sum.checksum()
}
