//! What staff have said, as all processes of one dispatcher hold it. No files here: texts in, texts out.

use std::collections::BTreeSet;

use anyhow::{Context, Result, ensure};
use serde::{Deserialize, Serialize};

/// Texts of another form are not read.
const FORM: u32 = 1;

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Words {
    /// Grows with each word.
    pub version: u64,
    /// Workers that are out.
    pub out: BTreeSet<String>,
    /// Clients are sent away.
    pub emptied: bool,
}

#[derive(Serialize, Deserialize)]
struct Text {
    form: u32,
    name: String,
    #[serde(flatten)]
    words: Words,
}

impl Words {
    /// From a text of the dispatcher of that name.
    pub fn read(text: &str, name: &str) -> Result<Self> {
        let text: Text = serde_json::from_str(text).context("no whole text of words")?;
        ensure!(text.form == FORM, "of form {}, not {FORM}", text.form);
        ensure!(text.name == name, "of {}, not of {name}", text.name);
        Ok(text.words)
    }

    pub fn text(&self, name: &str) -> String {
        let text = Text { form: FORM, name: name.to_owned(), words: self.clone() };
        serde_json::to_string(&text).unwrap_or_default()
    }

    /// A worker is out, or given back.
    pub fn hand(&mut self, worker: &str, out: bool) {
        if out {
            self.out.insert(worker.to_owned());
        } else {
            self.out.remove(worker);
        }
    }

    /// The workers on which `later` differs, and whether they are out by it.
    pub fn changes<'a>(&'a self, later: &'a Words) -> impl Iterator<Item = (&'a str, bool)> {
        let differ = self.out.symmetric_difference(&later.out);
        differ.map(|worker| (worker.as_str(), later.out.contains(worker)))
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None,
            rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

        #[test]
        fn a_text_is_read_whole_or_not_at_all(
            out in prop::collection::btree_set(".{0,12}", 0..5), version: u64, emptied: bool, cut in 0..100usize,
        ) {
            let words = Words { version, out, emptied };
            let text = words.text("n0");
            prop_assert_eq!(Words::read(&text, "n0").unwrap(), words);
            let cut = (0..text.len()).rev().filter(|i| text.is_char_boundary(*i)).nth(cut % text.len().min(30));
            if let Some(cut) = cut {
                prop_assert!(Words::read(&text[..cut], "n0").is_err());
            }
        }

        #[test]
        fn whoever_applies_the_changes_has_the_later_words(
            a in prop::collection::btree_set("[a-d]", 0..4), b in prop::collection::btree_set("[a-d]", 0..4),
        ) {
            let (mut had, later) =
                (Words { out: a, ..Words::default() }, Words { out: b, ..Words::default() });
            let changes: Vec<(String, bool)> = had.changes(&later).map(|(w, o)| (w.to_owned(), o)).collect();
            changes.iter().for_each(|(worker, out)| had.hand(worker, *out));
            prop_assert_eq!(had.out, later.out);
        }
    }

    #[test]
    fn texts_of_others_are_refused_with_the_reason() {
        let text = Words::default().text("n1");
        assert!(Words::read(&text, "n0").unwrap_err().to_string().contains("of n1, not of n0"));
        let other = text.replace("\"form\":1", "\"form\":2");
        assert!(Words::read(&other, "n1").unwrap_err().to_string().contains("form 2"));
        for bad in ["", "{", "[]", "null", "\0\0\0"] {
            assert!(Words::read(bad, "n1").is_err(), "{bad}");
        }
    }
}
