//! JSON texts: a strict check before a lenient reader sees them, and their writing.

use std::fmt::Write;

/// Finds that a text is one JSON value (RFC 8259), at any depth. `nanoserde` must not be given another: it panics on some and
/// never ends on others.
///
/// # Errors
/// The offset in bytes at which it is not.
pub fn check(text: &str) -> Result<(), usize> {
    let mut scan = Scan { bytes: text.as_bytes(), at: 0 };
    scan.value().ok_or(scan.at)
}

struct Scan<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Scan<'_> {
    fn value(&mut self) -> Option<()> {
        // The closing bracket of each that is open.
        let mut open = Vec::new();
        loop {
            self.space();
            match self.peek()? {
                b'{' => {
                    self.at += 1;
                    self.space();
                    if !self.is_past(b'}') {
                        open.push(b'}');
                        self.key()?;
                        continue;
                    }
                }
                b'[' => {
                    self.at += 1;
                    self.space();
                    if !self.is_past(b']') {
                        open.push(b']');
                        continue;
                    }
                }
                b'"' => self.string()?,
                b't' => self.word(b"true")?,
                b'f' => self.word(b"false")?,
                b'n' => self.word(b"null")?,
                _ => self.number()?,
            }
            loop {
                self.space();
                let Some(&close) = open.last() else {
                    return (self.at == self.bytes.len()).then_some(());
                };
                if self.is_past(close) {
                    open.pop();
                } else if self.is_past(b',') {
                    if close == b'}' {
                        self.key()?;
                    }
                    break;
                } else {
                    return None;
                }
            }
        }
    }

    fn peek(&self) -> Option<u8> {
        self.bytes.get(self.at).copied()
    }

    fn is_past(&mut self, byte: u8) -> bool {
        let is_here = self.peek() == Some(byte);
        self.at += usize::from(is_here);
        is_here
    }

    fn space(&mut self) {
        while matches!(self.peek(), Some(b' ' | b'\t' | b'\n' | b'\r')) {
            self.at += 1;
        }
    }

    fn key(&mut self) -> Option<()> {
        self.space();
        self.string()?;
        self.space();
        self.is_past(b':').then_some(())
    }

    fn word(&mut self, word: &[u8]) -> Option<()> {
        self.bytes.get(self.at..)?.starts_with(word).then(|| self.at += word.len())
    }

    fn string(&mut self) -> Option<()> {
        self.is_past(b'"').then_some(())?;
        loop {
            let byte = self.peek()?;
            if byte < b' ' {
                return None;
            }
            self.at += 1;
            match byte {
                b'"' => return Some(()),
                b'\\' => {
                    let escape = self.peek()?;
                    self.at += 1;
                    match escape {
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            digits.iter().all(u8::is_ascii_hexdigit).then(|| self.at += 4)?;
                        }
                        b'"' | b'\\' | b'/' | b'b' | b'f' | b'n' | b'r' | b't' => {}
                        _ => return None,
                    }
                }
                _ => {}
            }
        }
    }

    fn number(&mut self) -> Option<()> {
        self.is_past(b'-');
        if !self.is_past(b'0') {
            self.digits()?;
        }
        if self.is_past(b'.') {
            self.digits()?;
        }
        if self.is_past(b'e') || self.is_past(b'E') {
            let _ = self.is_past(b'+') || self.is_past(b'-');
            self.digits()?;
        }
        Some(())
    }

    fn digits(&mut self) -> Option<()> {
        let from = self.at;
        while matches!(self.peek(), Some(b'0'..=b'9')) {
            self.at += 1;
        }
        (self.at > from).then_some(())
    }
}

/// Puts a text in quotes, escaped.
pub fn push_string(out: &mut String, text: &str) {
    out.push('"');
    let mut plain = 0;
    for (at, byte) in text.bytes().enumerate() {
        if byte >= b' ' && byte != b'"' && byte != b'\\' && byte != 0x7f {
            continue;
        }
        out.push_str(&text[plain..at]);
        plain = at + 1;
        match byte {
            b'"' => out.push_str("\\\""),
            b'\\' => out.push_str("\\\\"),
            b'\n' => out.push_str("\\n"),
            b'\r' => out.push_str("\\r"),
            b'\t' => out.push_str("\\t"),
            _ => write!(out, "\\u{byte:04x}").expect("a string takes all"),
        }
    }
    out.push_str(&text[plain..]);
    out.push('"');
}
