//! The bytes of a payload: its kind, the sums over the sender's terms, and what belongs to the kind. Numbers are big-endian. A
//! change here is another version of the envelope.

use bytes::BufMut;
use rainlug_fleet::Reader;

use crate::{Ask, Key, MOST, Odd};

/// Kinds begin here: the view's are below, and both go over one socket.
pub const FIRST: u8 = 33;

/// A holder asks, an answer each of a divider, of one that it has not heard of yet, of a voter that does not divide, and of
/// one whose terms differ.
pub const ASK: u8 = FIRST;
pub const LEND: u8 = FIRST + 1;
pub const HAIL: u8 = FIRST + 2;
pub const AWAY: u8 = FIRST + 3;
pub const OTHER: u8 = FIRST + 4;
/// A candidate asks for a voice, and the answers.
pub const STAND: u8 = FIRST + 5;
pub const VOICE: u8 = FIRST + 6;
pub const NO: u8 = FIRST + 7;

/// Kind, frame and digest.
const HEAD: usize = 17;
/// What an ask says before its entries, and an entry.
const ASKS: usize = 14;
const ENTRY: usize = 38;
/// So many fit into one datagram.
pub const ENTRIES: usize = (MOST - HEAD - ASKS) / ENTRY;

pub fn head(kind: u8, frame: u64, digest: u64) -> Vec<u8> {
    let mut to = Vec::with_capacity(HEAD + ASKS);
    to.put_u8(kind);
    to.put_u64(frame);
    to.put_u64(digest);
    to
}

pub fn put_ask(to: &mut Vec<u8>, key: Key, ask: &Ask) {
    to.put_u16(key.0);
    to.put_u64(key.1);
    to.put_u32(ask.number);
    to.put_u64(ask.wants);
    to.put_u32(ask.epoch);
    to.put_u32(ask.seen);
    to.put_u64(ask.keeps);
}

pub fn key(read: &mut Reader) -> Result<Key, Odd> {
    Ok((read.short()?, read.long()?))
}

pub fn ask(read: &mut Reader) -> Result<Ask, Odd> {
    let (number, wants) = (read.number()?, read.long()?);
    Ok(Ask { number, wants, epoch: read.number()?, seen: read.number()?, keeps: read.long()? })
}
