//! What stands round a datagram: only a fleet's own whole ones are opened.

use proptest::prelude::*;
use rainlug_fleet::envelope::{Envelope, MOST, Stranger};

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
