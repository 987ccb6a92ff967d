//! The stored encoding of texts.

use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainlug_batch::{MAX_INFLATED_BYTES, StoredText};

/// Of a text's encoding: tag, length, checksum.
const HEAD: usize = 9;

/// Lines as a worker gives them: a few numbers, and about a hundred letters in no order.
fn random_letters(lines: u32) -> String {
    let mut state: u64 = 88_172_645_463_325_252;
    let mut random = move || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state
    };
    let mut line = |number: u32| {
        let letters: String = (0..100).map(|_| char::from(b'a' + (random() % 26) as u8)).collect();
        format!("6.1ef.{number}.{:016x}.{letters}", random())
    };
    (1..=lines).map(&mut line).collect::<Vec<_>>().join("\n")
}

/// With a checksum that is right.
fn deflated(length: u32, compressed: &[u8]) -> Bytes {
    let length = length.to_le_bytes();
    let checksum = adler2::adler32_slice(&[&length, compressed].concat()).to_le_bytes();
    [&[1], &length[..], &checksum[..], compressed].concat().into()
}

#[test]
fn given_random_letters_then_they_are_stored_in_two_thirds() {
    for lines in [10, 25, 40] {
        let text = random_letters(lines);
        let stored = StoredText::new(text.as_bytes());
        let (stored_len, max_len) = (stored.stored().len(), text.len() * 68 / 100);
        assert!(stored_len < max_len, "{stored_len} of {}", text.len());
        assert_eq!(stored.text().unwrap(), text.as_bytes());
    }
}

#[test]
fn given_a_text_that_gets_no_shorter_then_it_is_stored_plain() {
    let bytes: Vec<u8> = (0..=255).collect();
    for text in [&b""[..], b"short", &bytes] {
        let stored = StoredText::new(text);
        assert_eq!(stored, StoredText::plain(text));
        assert_eq!(stored.stored().len(), text.len() + 1);
    }
    assert_eq!(StoredText::default(), StoredText::new(b""));
}

#[test]
fn given_a_text_over_the_limit_then_it_is_stored_plain() {
    let longest = vec![b'x'; MAX_INFLATED_BYTES + 1];
    let stored = StoredText::new(&longest[1..]);
    assert!(stored.stored().len() < MAX_INFLATED_BYTES / 100);
    assert_eq!(stored.text().unwrap(), &longest[1..]);
    assert_eq!(StoredText::new(&longest), StoredText::plain(&longest));
}

#[test]
fn given_an_impossible_length_then_it_is_rejected() {
    let stored = StoredText::new(&vec![b'x'; 1 << 20]).stored().clone();
    let compressed = &stored[HEAD..];
    let of_length = |length: usize| StoredText::from_stored(deflated(length as u32, compressed));
    assert_eq!(of_length(1 << 20).unwrap().stored(), &stored);
    // More than deflate makes of so few bytes.
    assert!(of_length(compressed.len() * 1032).is_ok());
    assert!(of_length(compressed.len() * 1032 + 1).is_err());
    // More than is allowed, of however many bytes.
    let many = vec![0; 1 << 20];
    assert!(StoredText::from_stored(deflated(MAX_INFLATED_BYTES as u32, &many)).is_ok());
    assert!(StoredText::from_stored(deflated(MAX_INFLATED_BYTES as u32 + 1, &many)).is_err());
    assert!(StoredText::from_stored(deflated(u32::MAX, &many)).is_err());
    // A length that could be, but is not: no text.
    for length in [(1 << 20) - 1, (1 << 20) + 1] {
        let wrong = of_length(length).unwrap();
        assert!(wrong.text().is_err());
    }
}

#[test]
fn given_an_unknown_encoding_then_it_is_rejected() {
    for stored in [&b""[..], &[2], &[255, 0, 0], &[1], &[1, 0, 0, 0, 0, 0, 0, 0]] {
        assert!(StoredText::from_stored(Bytes::copy_from_slice(stored)).is_err(), "{stored:?}");
    }
    // No compressed bytes with their right checksum are no text, but do no harm.
    let none = StoredText::from_stored(deflated(0, &[])).unwrap();
    assert!(none.text().is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(28), failure_persistence: None, ..Default::default() })]

    #[test]
    fn given_any_text_then_it_is_read_back(text in prop_oneof![any::<Vec<u8>>(), "[a-e]{0,3000}".prop_map(String::into_bytes)]) {
        let stored = StoredText::new(&text);
        prop_assert!(stored.stored().len() <= text.len() + 1);
        let again = StoredText::from_stored(stored.stored().clone()).unwrap();
        prop_assert_eq!(again.text_len(), text.len());
        prop_assert_eq!(again.text().unwrap(), text);
    }

    /// A changed byte is found by the checksum, or makes the encoding an unknown one.
    #[test]
    fn given_a_changed_byte_then_decoding_fails(text in "[a-e]{200,3000}", at in any::<prop::sample::Index>(), flip in 2_u8..) {
        let mut stored = StoredText::new(text.as_bytes()).stored().to_vec();
        let at = at.index(stored.len());
        stored[at] ^= flip;
        prop_assert!(StoredText::from_stored(stored.into()).is_err());
    }

    #[test]
    fn given_any_compressed_bytes_then_inflating_does_not_panic(length in 0_u32..100_000, compressed in any::<Vec<u8>>()) {
        if let Ok(text) = StoredText::from_stored(deflated(length, &compressed)) {
            prop_assert!(text.text().is_err() || text.text().unwrap().len() == text.text_len());
        }
    }
}
