//! Messages between bulletins. Numbers are little-endian. Lists and strings are read piece by piece: a length beyond the input is
//! an error and allocates nothing.

use std::net::{IpAddr, SocketAddr};

use bytes::Bytes;
use deku::ctx::{Endian, Order};
use deku::no_std_io::{Read, Seek, Write};
use deku::prelude::*;
use deku::writer::Writer;

use crate::worker::{MAX_NAME_BYTES, Phase, Worker};

#[derive(Clone, Debug, PartialEq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", magic = b"\x01")]
pub enum Message {
    #[deku(id = "1")]
    Update(Update),
    #[deku(id = "2")]
    Ack(Ack),
    #[deku(id = "3")]
    Digest(Digest),
    #[deku(id = "4")]
    Difference(Difference),
}

impl Message {
    pub fn read(bytes: &[u8]) -> Option<Self> {
        match Self::from_bytes((bytes, 0)) {
            Ok((([], _), message)) => Some(message),
            _ => None,
        }
    }

    /// None where something is too long for its length field.
    pub fn write(&self) -> Option<Bytes> {
        self.to_bytes().ok().map(Bytes::from)
    }
}

/// Who told the news first and wants acknowledgements.
#[derive(Clone, Copy, Debug, PartialEq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum Publisher {
    #[deku(id = "0")]
    Sender,
    #[deku(id = "1")]
    Other(Address),
    #[deku(id = "2")]
    Nobody,
}

/// What changed.
#[derive(Clone, Debug, PartialEq, DekuRead, DekuWrite)]
pub struct Update {
    /// How often it may still be passed on.
    pub hops: u8,
    pub publisher: Publisher,
    #[deku(reader = "read_list(deku::reader)", writer = "write_list(deku::writer, &self.texts)")]
    pub texts: Vec<Document>,
    #[deku(reader = "read_list(deku::reader)", writer = "write_list(deku::writer, &self.workers)")]
    pub workers: Vec<WorkerEntry>,
}

/// What the sender has, in answer to news.
#[derive(Clone, Debug, Default, PartialEq, DekuRead, DekuWrite)]
pub struct Ack {
    #[deku(reader = "read_list(deku::reader)", writer = "write_list(deku::writer, &self.texts)")]
    pub texts: Vec<DocumentVersion>,
    #[deku(reader = "read_list(deku::reader)", writer = "write_list(deku::writer, &self.workers)")]
    pub workers: Vec<WorkerVersion>,
}

pub const BUCKETS: usize = 16;

/// What the sender has, in short.
#[derive(Clone, Debug, PartialEq, DekuRead, DekuWrite)]
pub struct Digest {
    /// Not 0: answer also where nothing differs.
    pub ask: u8,
    #[deku(reader = "read_list(deku::reader)", writer = "write_list(deku::writer, &self.texts)")]
    pub texts: Vec<DocumentVersion>,
    /// Hashes over the workers, by hash of their ids. Absent (all 0) where only texts are compared.
    #[deku(endian = "little")]
    pub buckets: [u64; BUCKETS],
}

/// What the other lacks.
#[derive(Clone, Debug, PartialEq, DekuRead, DekuWrite)]
pub struct Difference {
    /// Not 0: what the receiver has and this message doesn't is wanted in return.
    pub reply: u8,
    /// The buckets that `workers` lists whole.
    #[deku(endian = "little")]
    pub buckets: u16,
    #[deku(reader = "read_list(deku::reader)", writer = "write_list(deku::writer, &self.versions)")]
    pub versions: Vec<DocumentVersion>,
    #[deku(reader = "read_list(deku::reader)", writer = "write_list(deku::writer, &self.texts)")]
    pub texts: Vec<Document>,
    #[deku(reader = "read_list(deku::reader)", writer = "write_list(deku::writer, &self.workers)")]
    pub workers: Vec<WorkerEntry>,
}

#[derive(Clone, Copy, Debug, PartialEq, DekuRead, DekuWrite)]
pub struct DocumentVersion {
    pub kind: u8,
    #[deku(endian = "little")]
    pub version: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, DekuRead, DekuWrite)]
pub struct WorkerVersion {
    /// Hash of the id.
    #[deku(endian = "little")]
    pub id: u64,
    #[deku(endian = "little")]
    pub published_seq: u64,
    pub phase: u8,
}

#[derive(Clone, Debug, PartialEq, DekuRead, DekuWrite)]
pub struct Document {
    pub kind: u8,
    #[deku(endian = "little")]
    pub version: u64,
    #[deku(reader = "read_bytes(deku::reader)", writer = "write_bytes(deku::writer, &self.text)")]
    pub text: Bytes,
}

/// An address; IPv4 ones as IPv6 ones that map them.
#[derive(Clone, Copy, Debug, PartialEq, DekuRead, DekuWrite)]
pub struct Address {
    ip: [u8; 16],
    #[deku(endian = "little")]
    port: u16,
}

impl From<SocketAddr> for Address {
    fn from(from: SocketAddr) -> Self {
        let ip = match from.ip() {
            IpAddr::V4(ip) => ip.to_ipv6_mapped(),
            IpAddr::V6(ip) => ip,
        };
        Self { ip: ip.octets(), port: from.port() }
    }
}

impl From<Address> for SocketAddr {
    fn from(from: Address) -> Self {
        Self::new(IpAddr::from(from.ip).to_canonical(), from.port)
    }
}

/// A worker as one gossip tells another of it.
#[derive(Clone, Debug, PartialEq, DekuRead, DekuWrite)]
pub struct WorkerEntry {
    #[deku(endian = "little")]
    pub published_seq: u64,
    #[deku(endian = "little")]
    pub call_seq: u64,
    pub phase: u8,
    /// How long it has been in this phase, in milliseconds.
    #[deku(endian = "little")]
    pub age_ms: u32,
    #[deku(endian = "little")]
    pub slots: u32,
    #[deku(endian = "little")]
    pub warm_up_left_ms: u32,
    pub address: Address,
    #[deku(reader = "read_name(deku::reader)", writer = "write_name(deku::writer, &self.id)")]
    pub id: String,
    #[deku(reader = "read_name(deku::reader)", writer = "write_name(deku::writer, &self.service)")]
    pub service: String,
    #[deku(reader = "read_name(deku::reader)", writer = "write_name(deku::writer, &self.zone)")]
    pub zone: String,
}

impl WorkerEntry {
    /// None where the phase is unknown.
    pub fn worker(self) -> Option<Worker> {
        Some(Worker {
            phase: phase(self.phase)?,
            address: self.address.into(),
            id: self.id,
            service: self.service,
            zone: self.zone,
            slots: self.slots,
            warm_up_left_ms: self.warm_up_left_ms,
            call_seq: self.call_seq,
        })
    }
}

pub fn phase(number: u8) -> Option<Phase> {
    [Phase::Ready, Phase::Unresponsive, Phase::Draining, Phase::Gone].into_iter().find(|p| *p as u8 == number)
}

fn read_list<'a, T: DekuReader<'a>, R: Read + Seek>(reader: &mut Reader<R>) -> Result<Vec<T>, DekuError> {
    let count = u32::from_reader_with_ctx(reader, Endian::Little)?;
    let mut list = Vec::new();
    for _ in 0..count {
        list.push(T::from_reader_with_ctx(reader, ())?);
    }
    Ok(list)
}

fn write_list<T: DekuWriter, W: Write + Seek>(writer: &mut Writer<W>, list: &[T]) -> Result<(), DekuError> {
    let count =
        u32::try_from(list.len()).map_err(|_| DekuError::Io(deku::no_std_io::ErrorKind::InvalidInput))?;
    count.to_writer(writer, Endian::Little)?;
    list.iter().try_for_each(|item| item.to_writer(writer, ()))
}

fn read_raw<R: Read + Seek>(reader: &mut Reader<R>, mut left: usize) -> Result<Vec<u8>, DekuError> {
    let mut bytes = Vec::new();
    let mut piece = [0; 4_096];
    while left > 0 {
        let now = left.min(piece.len());
        reader.read_bytes(now, &mut piece, Order::Lsb0)?;
        bytes.extend_from_slice(piece.get(..now).unwrap_or_default());
        left -= now;
    }
    Ok(bytes)
}

fn read_bytes<R: Read + Seek>(reader: &mut Reader<R>) -> Result<Bytes, DekuError> {
    let length = u32::from_reader_with_ctx(reader, Endian::Little)?;
    read_raw(reader, length as usize).map(Bytes::from)
}

fn write_bytes<W: Write + Seek>(writer: &mut Writer<W>, bytes: &Bytes) -> Result<(), DekuError> {
    let length =
        u32::try_from(bytes.len()).map_err(|_| DekuError::Io(deku::no_std_io::ErrorKind::InvalidInput))?;
    length.to_writer(writer, Endian::Little)?;
    writer.write_bytes(bytes)
}

fn read_name<R: Read + Seek>(reader: &mut Reader<R>) -> Result<String, DekuError> {
    let length = u16::from_reader_with_ctx(reader, Endian::Little)?;
    if usize::from(length) > MAX_NAME_BYTES {
        return Err(DekuError::Io(deku::no_std_io::ErrorKind::InvalidData));
    }
    String::from_utf8(read_raw(reader, length.into())?)
        .map_err(|_| DekuError::Io(deku::no_std_io::ErrorKind::InvalidData))
}

fn write_name<W: Write + Seek>(writer: &mut Writer<W>, name: &str) -> Result<(), DekuError> {
    let length =
        u16::try_from(name.len()).map_err(|_| DekuError::Io(deku::no_std_io::ErrorKind::InvalidInput))?;
    length.to_writer(writer, Endian::Little)?;
    writer.write_bytes(name.as_bytes())
}
