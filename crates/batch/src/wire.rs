//! How `deku` reads and writes texts, bytes and lists: a count (`u32`, little-endian) and what is counted. Memory for a count is
//! taken only as its contents arrive.

use std::io::{Cursor, Read, Seek, Write};

use bytes::Bytes;
use deku::ctx::{Endian, Order};
use deku::prelude::*;

/// Read by this much at first, then by as much again as is there.
const STEP: usize = 64 << 10;

pub fn encode(what: &impl DekuWriter, about: usize) -> Bytes {
    let mut out = Cursor::new(Vec::with_capacity(about));
    // Only a length over 4 GB or a failing sink makes an error, and there is neither.
    what.to_writer(&mut Writer::new(&mut out), ()).expect("bytes in memory are written");
    out.into_inner().into()
}

/// Reads all of the bytes as one `T`.
pub fn decode<T: for<'a> DekuReader<'a>>(bytes: &[u8]) -> Result<T, DekuError> {
    let mut reader = Reader::new(Cursor::new(bytes));
    let found = T::from_reader_with_ctx(&mut reader, ())?;
    if reader.end() { Ok(found) } else { Err(malformed("more bytes than one")) }
}

fn malformed(what: &'static str) -> DekuError {
    DekuError::Parse(what.into())
}

fn read_count<R: Read + Seek>(reader: &mut Reader<R>) -> Result<usize, DekuError> {
    let count = u32::from_reader_with_ctx(reader, Endian::Little)?;
    usize::try_from(count).map_err(|_| malformed("a count"))
}

pub fn write_count<W: Write + Seek>(writer: &mut Writer<W>, count: usize) -> Result<(), DekuError> {
    u32::try_from(count).map_err(|_| malformed("a count"))?.to_writer(writer, Endian::Little)
}

fn read_vec<R: Read + Seek>(reader: &mut Reader<R>) -> Result<Vec<u8>, DekuError> {
    let mut left = read_count(reader)?;
    let mut found = Vec::new();
    while left > 0 {
        let had = found.len();
        let step = left.min(had.max(STEP));
        found.reserve_exact(step);
        found.resize(had + step, 0);
        reader.read_bytes(step, &mut found[had..], Order::Lsb0)?;
        left -= step;
    }
    Ok(found)
}

pub fn read_bytes<R: Read + Seek>(reader: &mut Reader<R>) -> Result<Bytes, DekuError> {
    Ok(read_vec(reader)?.into())
}

pub fn write_bytes<W: Write + Seek>(writer: &mut Writer<W>, bytes: &[u8]) -> Result<(), DekuError> {
    write_count(writer, bytes.len())?;
    writer.write_bytes(bytes)
}

pub fn read_text<R: Read + Seek>(reader: &mut Reader<R>) -> Result<String, DekuError> {
    String::from_utf8(read_vec(reader)?).map_err(|_| malformed("a text that is not UTF-8"))
}

pub fn read_list<R: Read + Seek, T: for<'a> DekuReader<'a>>(
    reader: &mut Reader<R>,
) -> Result<Vec<T>, DekuError> {
    let count = read_count(reader)?;
    let mut found = Vec::new();
    for _ in 0..count {
        found.push(T::from_reader_with_ctx(reader, ())?);
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

pub fn read_pairs<R: Read + Seek>(reader: &mut Reader<R>) -> Result<Vec<(String, String)>, DekuError> {
    let count = read_count(reader)?;
    let mut found = Vec::new();
    for _ in 0..count {
        found.push((read_text(reader)?, read_text(reader)?));
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
