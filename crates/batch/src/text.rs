//! An output's text as it is logged, replicated and kept: plain, or compressed by deflate where that is
//! shorter.
//!
//! The first byte tells which. Behind [`DEFLATED`] stand the text's length, a checksum and the compressed
//! bytes. The checksum finds damage when a command or a snapshot is decoded, at a small part of the cost of
//! decompression.

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

/// The longest text that is compressed; a longer one is kept plain.
pub const MAX_INFLATED_BYTES: usize = 16 << 20;

/// The shortest text that is compressed: for less the tables of deflate cost more than they save.
const MIN_DEFLATED_BYTES: usize = 64;
/// Deflate makes no more of one byte (RFC 1951: 258 bytes from two bits), about.
const MAX_EXPANSION: usize = 1032;
/// Random letters, the common case, have no repetitions to search for: higher levels take longer and gain
/// nothing.
const LEVEL: i32 = 1;

const PLAIN: u8 = 0;
const DEFLATED: u8 = 1;

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

#[derive(DekuRead, DekuWrite)]
#[deku(endian = "little")]
struct DeflatedHead {
    tag: u8,
    /// Of the text.
    length: u32,
    /// Adler-32 of the length and the compressed bytes.
    checksum: u32,
}

/// Encoded length of [`DeflatedHead`].
const DEFLATED_HEAD: usize = 9;

/// A text in its stored encoding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredText(Bytes);

impl Default for StoredText {
    fn default() -> Self {
        StoredText(Bytes::from_static(&[PLAIN]))
    }
}

impl StoredText {
    /// Compressed where that is shorter.
    pub fn new(text: &[u8]) -> Self {
        Self::deflated(text).unwrap_or_else(|| Self::plain(text))
    }

    /// Not compressed.
    pub fn plain(text: &[u8]) -> Self {
        StoredText([&[PLAIN], text].concat().into())
    }

    fn deflated(text: &[u8]) -> Option<Self> {
        if !(MIN_DEFLATED_BYTES..=MAX_INFLATED_BYTES).contains(&text.len()) {
            return None;
        }
        let mut compressor = CompressorOxide::new(create_comp_flags_from_zip_params(LEVEL, 0, 0));
        // With room for no more than the plain text has.
        let mut stored = vec![0; text.len()];
        let (status, _, length) =
            compress(&mut compressor, text, &mut stored[DEFLATED_HEAD..], TDEFLFlush::Finish);
        if status != TDEFLStatus::Done {
            return None;
        }
        stored.truncate(DEFLATED_HEAD + length);
        let length = u32::try_from(text.len()).ok()?;
        let head =
            DeflatedHead { tag: DEFLATED, length, checksum: checksum(length, &stored[DEFLATED_HEAD..]) };
        stored[..DEFLATED_HEAD].copy_from_slice(&head.to_bytes().ok()?);
        stored.shrink_to_fit();
        Some(StoredText(stored.into()))
    }

    /// # Errors
    /// Where the bytes are no text in its stored encoding.
    pub fn from_stored(stored: Bytes) -> Result<Self, StoredTextError> {
        match stored.first() {
            Some(&PLAIN) => {}
            Some(&DEFLATED) => check_deflated(&stored)?,
            _ => return Err(StoredTextError::UnknownEncoding),
        }
        Ok(StoredText(stored))
    }

    /// The stored encoding.
    pub fn stored(&self) -> &Bytes {
        &self.0
    }

    /// Length of the text.
    pub fn text_len(&self) -> usize {
        match parse_deflated(&self.0) {
            Ok((head, _)) => head.length as usize,
            Err(_) => self.0.len().saturating_sub(1),
        }
    }

    /// The text.
    ///
    /// # Errors
    /// Where the compressed bytes are none, though their checksum is right.
    pub fn text(&self) -> Result<Cow<'_, [u8]>, StoredTextError> {
        if self.0.first() == Some(&PLAIN) {
            return Ok(Cow::Borrowed(&self.0[1..]));
        }
        let (head, compressed) = parse_deflated(&self.0)?;
        let mut text = vec![0; head.length as usize];
        match decompress_slice_iter_to_slice(&mut text, std::iter::once(compressed), false, true) {
            Ok(length) if length == text.len() => Ok(Cow::Owned(text)),
            _ => Err(StoredTextError::Deflate),
        }
    }
}

/// Reads a text in its stored encoding, as a slice of the source.
pub fn read_stored_text<R: Read + Seek>(
    reader: &mut Reader<R>,
    source: Source,
) -> Result<StoredText, DekuError> {
    let stored = wire::read_bytes(reader, source)?;
    StoredText::from_stored(stored).map_err(|_| wire::malformed("a stored text"))
}

/// Writes what [`read_stored_text`] reads.
pub fn write_stored_text<W: Write + Seek>(
    writer: &mut Writer<W>,
    text: &StoredText,
) -> Result<(), DekuError> {
    wire::write_bytes(writer, text.stored())
}

/// Head and compressed bytes, the lengths checked.
fn parse_deflated(stored: &[u8]) -> Result<(DeflatedHead, &[u8]), StoredTextError> {
    let ((compressed, _), head) =
        DeflatedHead::from_bytes((stored, 0)).map_err(|_| StoredTextError::Truncated)?;
    let length = head.length as usize;
    if head.tag != DEFLATED || length > MAX_INFLATED_BYTES || length > compressed.len() * MAX_EXPANSION {
        return Err(StoredTextError::Length);
    }
    Ok((head, compressed))
}

/// As [`parse_deflated`], the checksum checked too.
fn check_deflated(stored: &[u8]) -> Result<(), StoredTextError> {
    let (head, compressed) = parse_deflated(stored)?;
    if checksum(head.length, compressed) == head.checksum { Ok(()) } else { Err(StoredTextError::Checksum) }
}

fn checksum(length: u32, compressed: &[u8]) -> u32 {
    let mut sum = Adler32::new();
    sum.write_slice(&length.to_le_bytes());
    sum.write_slice(compressed);
    sum.checksum()
}
