//! How `deku` reads and writes texts, bytes and lists: a count (`u32`, little-endian) and what is counted.
//! Bytes are read as slices of what is decoded, not copied; memory for a list is taken only as its contents
//! arrive.

use std::io::{Cursor, Read, Seek, SeekFrom, Write};
use std::sync::Arc;

use bytes::Bytes;
use deku::ctx::Endian;
use deku::prelude::*;

/// Bytes of a count.
pub const COUNT_LEN: usize = 4;

/// What is decoded, for readers that slice it. Writers have none.
#[derive(Clone, Copy, Default)]
pub struct Source<'a>(Option<&'a Bytes>);

pub fn encode(what: &impl DekuWriter, about: usize) -> Bytes {
    let mut out = Cursor::new(Vec::with_capacity(about));
    // Only a length over 4 GB or a failing sink makes an error, and there is neither.
    what.to_writer(&mut Writer::new(&mut out), ()).expect("bytes in memory are written");
    out.into_inner().into()
}

/// Reads all of the bytes as one `T`.
pub fn decode<'a, T: for<'r> DekuReader<'r, Source<'a>>>(bytes: &'a Bytes) -> Result<T, DekuError> {
    let mut reader = Reader::new(Cursor::new(&bytes[..]));
    let found = T::from_reader_with_ctx(&mut reader, Source(Some(bytes)))?;
    if reader.end() { Ok(found) } else { Err(malformed("more bytes than one")) }
}

pub fn malformed(what: &'static str) -> DekuError {
    DekuError::Parse(what.into())
}

fn read_count<R: Read + Seek>(reader: &mut Reader<R>) -> Result<usize, DekuError> {
    let count = u32::from_reader_with_ctx(reader, Endian::Little)?;
    usize::try_from(count).map_err(|_| malformed("a count"))
}

fn write_count<W: Write + Seek>(writer: &mut Writer<W>, count: usize) -> Result<(), DekuError> {
    u32::try_from(count).map_err(|_| malformed("a count"))?.to_writer(writer, Endian::Little)
}

/// A slice of the source, past which the reader goes on.
pub fn read_bytes<R: Read + Seek>(reader: &mut Reader<R>, source: Source) -> Result<Bytes, DekuError> {
    let count = read_count(reader)?;
    let Source(Some(source)) = source else { return Err(malformed("bytes of no source")) };
    let start = reader.bits_read / 8;
    let end = start.checked_add(count).filter(|end| *end <= source.len());
    let end = end.ok_or_else(|| malformed("a length beyond the bytes"))?;
    let step = i64::try_from(count).map_err(|_| malformed("a length"))?;
    reader.seek(SeekFrom::Current(step)).map_err(|_| malformed("a length"))?;
    Ok(source.slice(start..end))
}

pub fn write_bytes<W: Write + Seek>(writer: &mut Writer<W>, bytes: &[u8]) -> Result<(), DekuError> {
    write_count(writer, bytes.len())?;
    writer.write_bytes(bytes)
}

/// A copy: a text does not keep the source in memory.
pub fn read_text<R: Read + Seek>(reader: &mut Reader<R>, source: Source) -> Result<String, DekuError> {
    let bytes = read_bytes(reader, source)?;
    let text = str::from_utf8(&bytes).map_err(|_| malformed("a text that is not UTF-8"))?;
    Ok(text.to_owned())
}

/// A copy, as by [`read_text`].
pub fn read_shared_text<R: Read + Seek>(
    reader: &mut Reader<R>,
    source: Source,
) -> Result<Arc<str>, DekuError> {
    read_text(reader, source).map(Arc::from)
}

pub fn read_list<'a, R: Read + Seek, T: for<'r> DekuReader<'r, Source<'a>>>(
    reader: &mut Reader<R>,
    source: Source<'a>,
) -> Result<Vec<T>, DekuError> {
    let count = read_count(reader)?;
    let mut found = Vec::new();
    for _ in 0..count {
        found.push(T::from_reader_with_ctx(reader, source)?);
    }
    Ok(found)
}

pub fn write_list<W: Write + Seek>(
    writer: &mut Writer<W>,
    list: &[impl DekuWriter],
) -> Result<(), DekuError> {
    write_count(writer, list.len())?;
    list.iter().try_for_each(|one| one.to_writer(writer, ()))
}

pub fn read_pairs<R: Read + Seek>(
    reader: &mut Reader<R>,
    source: Source,
) -> Result<Vec<(String, String)>, DekuError> {
    let count = read_count(reader)?;
    let mut found = Vec::new();
    for _ in 0..count {
        found.push((read_text(reader, source)?, read_text(reader, source)?));
    }
    Ok(found)
}

pub fn write_pairs<W: Write + Seek>(
    writer: &mut Writer<W>,
    pairs: &[(String, String)],
) -> Result<(), DekuError> {
    write_count(writer, pairs.len())?;
    for (name, value) in pairs {
        write_bytes(writer, name.as_bytes())?;
        write_bytes(writer, value.as_bytes())?;
    }
    Ok(())
}
