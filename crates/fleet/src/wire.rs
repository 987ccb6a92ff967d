//! The bytes of a payload: its kind, the sender's card and digest, what belongs to the kind, and notes up to the end. Numbers
//! are big-endian, texts have their length before them. A change here is another version of the envelope.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use bytes::{Buf, BufMut};

use crate::{Card, MOST_FIGURES, MOST_NAME, Odd};

pub const PING: u8 = 1;
pub const ACK: u8 = 2;
pub const ASK: u8 = 3;
pub const NACK: u8 = 4;
pub const COMPARE: u8 = 5;
pub const NEWS: u8 = 6;

pub const ALIVE: u8 = 1;
pub const SUSPECT: u8 = 2;
pub const GONE: u8 = 3;
pub const LEFT: u8 = 4;

pub fn put_address(to: &mut Vec<u8>, at: SocketAddr) {
    match at.ip() {
        IpAddr::V4(ip) => {
            to.put_u8(4);
            to.put_slice(&ip.octets());
        }
        IpAddr::V6(ip) => {
            to.put_u8(6);
            to.put_slice(&ip.octets());
        }
    }
    to.put_u16(at.port());
}

fn put_text(to: &mut Vec<u8>, text: &[u8]) {
    to.put_u8(text.len() as u8);
    to.put_slice(text);
}

pub fn put_card(to: &mut Vec<u8>, card: &Card, life: u32) {
    to.put_u64(card.id);
    to.put_u32(life);
    put_address(to, card.at);
    put_text(to, card.name.as_bytes());
    put_text(to, card.zone.as_bytes());
    to.put_i64(card.start);
    to.put_u32(card.edition);
    put_text(to, &card.figures);
}

/// What a note says of a process beside its card: suspected or called gone by `by`.
pub fn put_word(to: &mut Vec<u8>, word: u8, id: u64, life: u32, by: u64) {
    to.put_u8(word);
    to.put_u64(id);
    to.put_u32(life);
    if word != LEFT {
        to.put_u64(by);
    }
}

/// Takes a payload apart; what is too short or impossible is malformed.
pub struct Reader<'a>(pub &'a [u8]);

/// A card that has not been taken over yet: most of them say nothing new.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shown<'a> {
    pub id: u64,
    pub at: SocketAddr,
    pub edition: u32,
    name: &'a str,
    zone: &'a str,
    start: i64,
    figures: &'a [u8],
}

impl Shown<'_> {
    pub fn card(&self) -> Card {
        let (name, zone) = (self.name.to_owned(), self.zone.to_owned());
        let (id, at, edition, figures) = (self.id, self.at, self.edition, self.figures.to_vec());
        Card { id, name, zone, at, start: self.start, edition, figures }
    }
}

impl<'a> Reader<'a> {
    pub fn byte(&mut self) -> Result<u8, Odd> {
        self.0.try_get_u8().map_err(|_| Odd::Malformed)
    }

    pub fn short(&mut self) -> Result<u16, Odd> {
        self.0.try_get_u16().map_err(|_| Odd::Malformed)
    }

    pub fn number(&mut self) -> Result<u32, Odd> {
        self.0.try_get_u32().map_err(|_| Odd::Malformed)
    }

    pub fn long(&mut self) -> Result<u64, Odd> {
        self.0.try_get_u64().map_err(|_| Odd::Malformed)
    }

    fn octets<const N: usize>(&mut self) -> Result<[u8; N], Odd> {
        let mut octets = [0; N];
        self.0.try_copy_to_slice(&mut octets).map_err(|_| Odd::Malformed)?;
        Ok(octets)
    }

    pub fn address(&mut self) -> Result<SocketAddr, Odd> {
        let ip: IpAddr = match self.byte()? {
            4 => Ipv4Addr::from(self.octets::<4>()?).into(),
            6 => Ipv6Addr::from(self.octets::<16>()?).into(),
            _ => return Err(Odd::Malformed),
        };
        let at = SocketAddr::new(ip, self.short()?);
        // Nothing can be sent there.
        if ip.is_unspecified() || at.port() == 0 { Err(Odd::Malformed) } else { Ok(at) }
    }

    fn bytes(&mut self, most: usize) -> Result<&'a [u8], Odd> {
        let length = usize::from(self.byte()?);
        if length > most || length > self.0.len() {
            return Err(Odd::Malformed);
        }
        let (text, rest) = self.0.split_at(length);
        self.0 = rest;
        Ok(text)
    }

    fn text(&mut self) -> Result<&'a str, Odd> {
        str::from_utf8(self.bytes(MOST_NAME)?).map_err(|_| Odd::Malformed)
    }

    /// A card, and the life of its process.
    pub fn card(&mut self) -> Result<(Shown<'a>, u32), Odd> {
        let (id, life, at) = (self.long()?, self.number()?, self.address()?);
        let (name, zone) = (self.text()?, self.text()?);
        let start = self.long()? as i64;
        let (edition, figures) = (self.number()?, self.bytes(MOST_FIGURES)?);
        if name.is_empty() || id == 0 {
            return Err(Odd::Malformed);
        }
        Ok((Shown { id, at, edition, name, zone, start, figures }, life))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_card_comes_back_as_it_went_and_cut_ones_are_refused() {
        let card = Card {
            id: 7,
            name: "n".repeat(MOST_NAME),
            zone: "nörd".into(),
            at: "[::1]:99".parse().unwrap(),
            start: -5,
            edition: 3,
            figures: vec![9; MOST_FIGURES],
        };
        let mut bytes = Vec::new();
        put_card(&mut bytes, &card, 11);
        let (shown, life) = Reader(&bytes).card().unwrap();
        assert_eq!((shown.card(), life), (card.clone(), 11));
        assert!((0..bytes.len()).all(|n| Reader(&bytes[..n]).card() == Err(Odd::Malformed)));
        for bad in [Card { id: 0, ..card.clone() }, Card { name: String::new(), ..card.clone() }] {
            let mut bytes = Vec::new();
            put_card(&mut bytes, &bad, 0);
            assert_eq!(Reader(&bytes).card(), Err(Odd::Malformed));
        }
        let mut nowhere = Vec::new();
        put_address(&mut nowhere, "0.0.0.0:9".parse().unwrap());
        assert_eq!(Reader(&nowhere).address(), Err(Odd::Malformed));
    }
}
