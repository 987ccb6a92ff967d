//! The messages of the gossip. Numbers are little-endian; lists and byte strings begin with their length in 4 bytes, names in 2.
//! Both are read chunk by chunk: a length beyond the input is an error and allocates nothing.

use std::net::{IpAddr, SocketAddr};

use bytes::Bytes;
use deku::ctx::{Endian, Order};
use deku::no_std_io::{Read, Seek, Write};
use deku::prelude::*;
use deku::writer::Writer;

use crate::worker::{MAX_NAME_BYTES, Phase, Worker};

/// A message: a byte with the format's version, one with the kind, and the content.
/// A message: a byte with the format's version, one with the message's kind, and its content.
#[derive(Clone, Debug, PartialEq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", magic = b"\x01")]
pub enum Message {
    /// Something new.
    #[deku(id = "1")]
    Update(Update),
    /// The answer to an update.
    #[deku(id = "2")]
    Ack(Ack),
    /// The sender's versions, to be compared.
    #[deku(id = "3")]
    Digest(Digest),
    /// The answer to a digest that differs.
    #[deku(id = "4")]
    Difference(Difference),
}

impl Message {
    /// None where the bytes are not exactly one message.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        match Self::from_bytes((bytes, 0)) {
            Ok((([], _), message)) => Some(message),
            _ => None,
        }
    }

    /// None where something is too long for its length field.
    pub fn encode(&self) -> Option<Bytes> {
        self.to_bytes().ok().map(Bytes::from)
    }
}

/// Who published an update and wants acknowledgements.
#[derive(Clone, Copy, Debug, PartialEq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum Publisher {
    /// The message's sender.
    #[deku(id = "0")]
    Sender,
    /// The process with this address; the sender forwards the update.
    #[deku(id = "1")]
    Other(Address),
    /// No acknowledgements are wanted.
    #[deku(id = "2")]
    Nobody,
}

/// Versions that are new to the sender.
#[derive(Clone, Debug, PartialEq, DekuRead, DekuWrite)]
pub struct Update {
    /// How often it may still be forwarded.
    pub hops: u8,
    /// Who gets the acknowledgements.
    pub publisher: Publisher,
    #[deku(reader = "read_list(deku::reader)", writer = "write_list(deku::writer, &self.documents)")]
    pub documents: Vec<Document>,
    #[deku(reader = "read_list(deku::reader)", writer = "write_list(deku::writer, &self.workers)")]
    pub workers: Vec<WorkerEntry>,
}

/// The versions that the sender has of an update's documents and workers.
#[derive(Clone, Debug, Default, PartialEq, DekuRead, DekuWrite)]
pub struct Ack {
    #[deku(reader = "read_list(deku::reader)", writer = "write_list(deku::writer, &self.documents)")]
    pub documents: Vec<DocumentVersion>,
    #[deku(reader = "read_list(deku::reader)", writer = "write_list(deku::writer, &self.workers)")]
    pub workers: Vec<WorkerVersion>,
}

/// Buckets of workers in a digest, by hash of their ids; a set of them fits the 16 bits of [`Difference::buckets`].
pub const BUCKETS: usize = 16;

/// All versions that the sender has, in short.
#[derive(Clone, Debug, PartialEq, DekuRead, DekuWrite)]
pub struct Digest {
    /// Not 0: answer also where nothing differs.
    pub wants_ack: u8,
    #[deku(reader = "read_list(deku::reader)", writer = "write_list(deku::writer, &self.documents)")]
    pub documents: Vec<DocumentVersion>,
    /// Hashes over the versions of the workers in each bucket. All 0 where only documents are compared.
    #[deku(endian = "little")]
    pub buckets: [u64; BUCKETS],
}

/// What the receiver lacks, by its digest.
#[derive(Clone, Debug, PartialEq, DekuRead, DekuWrite)]
pub struct Difference {
    /// Not 0: the receiver is to send what it has and this message does not.
    pub wants_reply: u8,
    /// Bits of the buckets of which `workers` holds all workers that the sender has.
    #[deku(endian = "little")]
    pub buckets: u16,
    /// Of all documents that the sender has.
    #[deku(reader = "read_list(deku::reader)", writer = "write_list(deku::writer, &self.versions)")]
    pub versions: Vec<DocumentVersion>,
    #[deku(reader = "read_list(deku::reader)", writer = "write_list(deku::writer, &self.documents)")]
    pub documents: Vec<Document>,
    #[deku(reader = "read_list(deku::reader)", writer = "write_list(deku::writer, &self.workers)")]
    pub workers: Vec<WorkerEntry>,
}

/// The version of a document that the sender has.
#[derive(Clone, Copy, Debug, PartialEq, DekuRead, DekuWrite)]
pub struct DocumentVersion {
    /// As in [`Document::kind`].
    pub kind: u8,
    #[deku(endian = "little")]
    pub version: u64,
}

/// The version of a worker that the sender has.
#[derive(Clone, Copy, Debug, PartialEq, DekuRead, DekuWrite)]
pub struct WorkerVersion {
    /// Hash of the worker's id.
    #[deku(endian = "little")]
    pub id_hash: u64,
    /// The worker's `call_seq` at its last change.
    #[deku(endian = "little")]
    pub published_seq: u64,
    /// A [`Phase`] by its number.
    pub phase: u8,
}

/// A document as it is published.
#[derive(Clone, Debug, PartialEq, DekuRead, DekuWrite)]
pub struct Document {
    /// Which document: [`CONFIGURATION`](crate::gossip::CONFIGURATION) or [`TOPOLOGY`](crate::gossip::TOPOLOGY).
    pub kind: u8,
    #[deku(endian = "little")]
    pub version: u64,
    #[deku(reader = "read_bytes(deku::reader)", writer = "write_bytes(deku::writer, &self.content)")]
    pub content: Bytes,
}

/// An address; IPv4 ones are mapped to IPv6.
#[derive(Clone, Copy, Debug, PartialEq, DekuRead, DekuWrite)]
pub struct Address {
    ip: [u8; 16],
    #[deku(endian = "little")]
    port: u16,
}

impl From<SocketAddr> for Address {
    fn from(address: SocketAddr) -> Self {
        let ip = match address.ip() {
            IpAddr::V4(ip) => ip.to_ipv6_mapped(),
            IpAddr::V6(ip) => ip,
        };
        Self { ip: ip.octets(), port: address.port() }
    }
}

impl From<Address> for SocketAddr {
    fn from(address: Address) -> Self {
        Self::new(IpAddr::from(address.ip).to_canonical(), address.port)
    }
}

/// A worker as it is published.
#[derive(Clone, Debug, PartialEq, DekuRead, DekuWrite)]
pub struct WorkerEntry {
    /// The worker's `call_seq` at its last change.
    #[deku(endian = "little")]
    pub published_seq: u64,
    /// That of its last call.
    #[deku(endian = "little")]
    pub call_seq: u64,
    /// A [`Phase`] by its number.
    pub phase: u8,
    /// How long it has been in this phase, in milliseconds.
    #[deku(endian = "little")]
    pub age_ms: u32,
    #[deku(endian = "little")]
    pub slots: u32,
    /// As in [`Worker::warm_up_left_ms`], as of now.
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
    pub fn into_worker(self) -> Option<Worker> {
        Some(Worker {
            phase: decode_phase(self.phase)?,
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

/// The phase with a number on the wire; none where there is none.
pub fn decode_phase(number: u8) -> Option<Phase> {
    let phases = [Phase::Ready, Phase::Unresponsive, Phase::Draining, Phase::Gone];
    phases.into_iter().find(|phase| *phase as u8 == number)
}

/// Bytes that are read at once where a length is not to be trusted.
const CHUNK_BYTES: usize = 4_096;

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
    let mut chunk = [0; CHUNK_BYTES];
    while left > 0 {
        let count = left.min(chunk.len());
        reader.read_bytes(count, &mut chunk, Order::Lsb0)?;
        bytes.extend_from_slice(chunk.get(..count).unwrap_or_default());
        left -= count;
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
