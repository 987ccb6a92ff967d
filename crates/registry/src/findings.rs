//! What is wrong with a document.

use std::fmt;

/// One thing that is wrong with a JSON document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Where: as a JSON pointer (RFC 6901), such as `/routes/3/timeout_ms`; `/` for the document itself.
    pub path: String,
    /// What was expected there.
    pub expected: String,
}

/// All that is wrong with a JSON document, in the order in which its fields are checked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// A single finding about the document itself.
    pub(crate) fn of_document(expected: String) -> Self {
        Findings(vec![Finding { path: "/".to_owned(), expected }])
    }

    /// Adds a finding at a path.
    pub(crate) fn push(&mut self, path: String, expected: String) {
        self.0.push(Finding { path, expected });
    }

    /// Whether nothing is wrong.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, Finding { path, expected }) in self.0.iter().enumerate() {
            let separator = if n == 0 { "" } else { "; " };
            write!(f, "{separator}{path}: {}", expected.replace(['\n', '\r'], " "))?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
