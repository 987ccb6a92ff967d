//! What stands round a datagram between dispatchers: a mark, a version, the fleet, and a checksum over it all. It tells strangers
//! and damage apart from the fleet's own; it does not tell who is honest.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const MARK: [u8; 3] = *b"rlf";
/// Of the payload's form. A datagram of another one is dropped.
const VERSION: u8 = 1;
/// Bytes before the payload.
const HEAD: usize = rainlug_fleet::ENVELOPE;
/// The longest datagram that is read, in bytes.
pub const MOST: usize = HEAD + rainlug_fleet::MOST;

/// Why a datagram is none of this fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stranger {
    Unmarked,
    Version,
    Fleet,
    Damaged,
    TooLong,
}

/// The envelope of one fleet.
pub struct Envelope {
    fleet: [u8; 4],
}

impl Envelope {
    pub fn of(fleet: &str) -> Self {
        let [a, b, c, d, ..] = xxh3_64(fleet.as_bytes()).to_be_bytes();
        Envelope { fleet: [a, b, c, d] }
    }

    fn sum(&self, payload: &[u8]) -> [u8; 8] {
        xxh3_64_with_seed(payload, u64::from(u32::from_be_bytes(self.fleet)) << 8 | u64::from(VERSION))
            .to_be_bytes()
    }

    /// The datagram of a payload.
    pub fn seal(&self, payload: &[u8]) -> Vec<u8> {
        [&MARK[..], &[VERSION], &self.fleet, &self.sum(payload), payload].concat()
    }

    /// The payload of a datagram.
    pub fn open<'a>(&self, datagram: &'a [u8]) -> Result<&'a [u8], Stranger> {
        let (head, payload) = datagram.split_at_checked(HEAD).ok_or(Stranger::Unmarked)?;
        match head {
            _ if datagram.len() > MOST => Err(Stranger::TooLong),
            _ if head[..3] != MARK => Err(Stranger::Unmarked),
            _ if head[3] != VERSION => Err(Stranger::Version),
            _ if head[4..8] != self.fleet => Err(Stranger::Fleet),
            _ if head[8..] != self.sum(payload) => Err(Stranger::Damaged),
            _ => Ok(payload),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn only_this_fleets_whole_datagrams_are_opened() {
        let (own, other) = (Envelope::of("tenders"), Envelope::of("notices"));
        let sealed = own.seal(b"payload");
        assert_eq!(own.open(&sealed), Ok(&b"payload"[..]));
        assert_eq!(other.open(&sealed), Err(Stranger::Fleet));
        for n in 0..sealed.len() {
            assert!(own.open(&sealed[..n]).is_err(), "cut at {n}");
            let mut bent = sealed.clone();
            bent[n] ^= 1;
            assert!(own.open(&bent).is_err(), "bent at {n}");
        }
        assert_eq!(own.open(&own.seal(&[0; MOST])), Err(Stranger::TooLong));
        let mut next = own.seal(b"");
        next[3] += 1;
        assert_eq!(own.open(&next), Err(Stranger::Version));
    }

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(28), ..Default::default() })]
        #[test]
        fn random_bytes_are_none(bytes in proptest::collection::vec(any::<u8>(), 0..3000)) {
            prop_assert!(Envelope::of("f").open(&bytes).is_err());
        }
    }
}
