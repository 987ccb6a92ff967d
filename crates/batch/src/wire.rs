//! Readers and writers for `deku` attributes, and whole values encoded and decoded by them.
//!
//! A text, bytes, a list or a map is a count (`u32`, little-endian) and what is counted. Bytes are read as slices of the buffer that is
//! decoded, not copied. Lists grow as their contents arrive, so a forged count does not reserve memory.

use std::collections::BTreeMap;
use std::io::{Cursor, Read, Seek, SeekFrom, Write};
use std::sync::Arc;

use bytes::Bytes;
use deku::ctx::Endian;
use deku::prelude::*;

/// Bytes of a count.
pub(crate) const COUNT_LEN: usize = 4;

/// The buffer that is decoded, for readers that slice it. Writers have none.
#[derive(Clone, Copy, Default)]
pub struct Source<'a>(Option<&'a Bytes>);

/// Encodes a value, into a buffer of `capacity` bytes where that is enough.
pub(crate) fn encode(value: &impl DekuWriter, capacity: usize) -> Bytes {
    let mut buffer = Cursor::new(Vec::with_capacity(capacity));
    value.to_writer(&mut Writer::new(&mut buffer), ()).expect("memory takes all, and no length is over 4 GB");
    buffer.into_inner().into()
}

/// Decodes all of the bytes as one value.
///
/// # Errors
/// Where they are none, or more than one.
pub(crate) fn decode<'a, T: for<'r> DekuReader<'r, Source<'a>>>(bytes: &'a Bytes) -> Result<T, DekuError> {
    let mut reader = Reader::new(Cursor::new(&bytes[..]));
    let value = T::from_reader_with_ctx(&mut reader, Source(Some(bytes)))?;
    if reader.end() { Ok(value) } else { Err(malformed("more bytes than one")) }
}

/// An error that says what was not found.
pub(crate) fn malformed(expected: &'static str) -> DekuError {
    DekuError::Parse(expected.into())
}

fn read_count<R: Read + Seek>(reader: &mut Reader<R>) -> Result<usize, DekuError> {
    let count = u32::from_reader_with_ctx(reader, Endian::Little)?;
    usize::try_from(count).map_err(|_| malformed("a count"))
}

fn write_count<W: Write + Seek>(writer: &mut Writer<W>, count: usize) -> Result<(), DekuError> {
    u32::try_from(count).map_err(|_| malformed("a count"))?.to_writer(writer, Endian::Little)
}

/// Reads bytes as a slice of the source.
pub(crate) fn read_bytes<R: Read + Seek>(reader: &mut Reader<R>, source: Source) -> Result<Bytes, DekuError> {
    let count = read_count(reader)?;
    let Source(Some(source)) = source else { return Err(malformed("bytes of no source")) };
    let start = reader.bits_read / 8;
    let end = start.checked_add(count).filter(|end| *end <= source.len());
    let end = end.ok_or_else(|| malformed("a length beyond the bytes"))?;
    let step = i64::try_from(count).map_err(|_| malformed("a length"))?;
    reader.seek(SeekFrom::Current(step)).map_err(|_| malformed("a length"))?;
    Ok(source.slice(start..end))
}

/// Writes what [`read_bytes`] reads.
pub(crate) fn write_bytes<W: Write + Seek>(writer: &mut Writer<W>, bytes: &[u8]) -> Result<(), DekuError> {
    write_count(writer, bytes.len())?;
    writer.write_bytes(bytes)
}

/// Reads a text as a copy, so that it does not keep the source in memory.
pub(crate) fn read_text<R: Read + Seek>(reader: &mut Reader<R>, source: Source) -> Result<String, DekuError> {
    let bytes = read_bytes(reader, source)?;
    let text = str::from_utf8(&bytes).map_err(|_| malformed("a text that is not UTF-8"))?;
    Ok(text.to_owned())
}

/// As [`read_text`], reference-counted.
pub(crate) fn read_shared_text<R: Read + Seek>(
    reader: &mut Reader<R>,
    source: Source,
) -> Result<Arc<str>, DekuError> {
    read_text(reader, source).map(Arc::from)
}

/// Writes what [`read_text`] reads.
pub(crate) fn write_text<W: Write + Seek>(
    writer: &mut Writer<W>,
    text: &impl AsRef<str>,
) -> Result<(), DekuError> {
    write_bytes(writer, text.as_ref().as_bytes())
}

/// Reads a list.
pub(crate) fn read_list<'a, R: Read + Seek, T: for<'r> DekuReader<'r, Source<'a>>>(
    reader: &mut Reader<R>,
    source: Source<'a>,
) -> Result<Vec<T>, DekuError> {
    read_each(reader, |reader| T::from_reader_with_ctx(reader, source))
}

/// Writes what [`read_list`] reads.
pub(crate) fn write_list<W: Write + Seek>(
    writer: &mut Writer<W>,
    list: &[impl DekuWriter],
) -> Result<(), DekuError> {
    write_count(writer, list.len())?;
    list.iter().try_for_each(|value| value.to_writer(writer, ()))
}

/// Reads a list of pairs of texts.
pub(crate) fn read_text_pairs<R: Read + Seek>(
    reader: &mut Reader<R>,
    source: Source,
) -> Result<Vec<(String, String)>, DekuError> {
    read_each(reader, |reader| Ok((read_text(reader, source)?, read_text(reader, source)?)))
}

/// Writes what [`read_text_pairs`] reads.
pub(crate) fn write_text_pairs<W: Write + Seek>(
    writer: &mut Writer<W>,
    pairs: &[(String, String)],
) -> Result<(), DekuError> {
    write_count(writer, pairs.len())?;
    pairs.iter().try_for_each(|(name, value)| {
        write_text(writer, name)?;
        write_text(writer, value)
    })
}

/// Reads a map: each key by `read_key`, followed by its value. Of equal keys the last one counts.
pub(crate) fn read_map<'a, R: Read + Seek, K: Ord, V: for<'r> DekuReader<'r, Source<'a>>>(
    reader: &mut Reader<R>,
    source: Source<'a>,
    read_key: impl Fn(&mut Reader<R>, Source<'a>) -> Result<K, DekuError>,
) -> Result<BTreeMap<K, V>, DekuError> {
    let entries = read_each(reader, |reader| {
        Ok((read_key(reader, source)?, V::from_reader_with_ctx(reader, source)?))
    })?;
    Ok(entries.into_iter().collect())
}

/// Writes what [`read_map`] reads.
pub(crate) fn write_map<W: Write + Seek, K>(
    writer: &mut Writer<W>,
    map: &BTreeMap<K, impl DekuWriter>,
    write_key: impl Fn(&mut Writer<W>, &K) -> Result<(), DekuError>,
) -> Result<(), DekuError> {
    write_count(writer, map.len())?;
    map.iter().try_for_each(|(key, value)| {
        write_key(writer, key)?;
        value.to_writer(writer, ())
    })
}

fn read_each<R: Read + Seek, T>(
    reader: &mut Reader<R>,
    read: impl Fn(&mut Reader<R>) -> Result<T, DekuError>,
) -> Result<Vec<T>, DekuError> {
    let count = read_count(reader)?;
    let mut values = Vec::new();
    for _ in 0..count {
        values.push(read(reader)?);
    }
    Ok(values)
}
