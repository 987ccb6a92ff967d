//! Strict JSON syntax (RFC 8259): a check of texts before the lenient reader sees them, and the writing of strings.

use std::fmt::Write;

/// Checks that a text is one JSON value, nested to any depth. The memory used is in proportion to the depth; nothing recurses.
///
/// `nanoserde` must be given no other text: it panics on some that are not JSON, and loops for ever on others.
///
/// # Errors
/// The offset in bytes of the first fault.
pub(crate) fn check(text: &str) -> Result<(), usize> {
    let mut scanner = Scanner { bytes: text.as_bytes(), offset: 0 };
    scanner.document().ok_or(scanner.offset)
}

/// Methods advance past what they are named after; nothing where it is not there.
struct Scanner<'a> {
    bytes: &'a [u8],
    offset: usize,
}

impl Scanner<'_> {
    fn document(&mut self) -> Option<()> {
        // The closing brackets of the arrays and objects that are open.
        let mut closers = Vec::new();
        loop {
            if self.value_or_opening(&mut closers)? {
                continue;
            }
            // Behind a value: closing brackets, then a comma or the end.
            loop {
                self.skip_whitespace();
                let Some(&closer) = closers.last() else {
                    return (self.offset == self.bytes.len()).then_some(());
                };
                if self.eat(closer) {
                    closers.pop();
                } else if self.eat(b',') {
                    if closer == b'}' {
                        self.key()?;
                    }
                    break;
                } else {
                    return None;
                }
            }
        }
    }

    /// A scalar or an empty array or object; or else, with `true`, the opening of an array or object up to its first value.
    fn value_or_opening(&mut self, closers: &mut Vec<u8>) -> Option<bool> {
        self.skip_whitespace();
        match self.peek()? {
            b'{' => {
                if !self.opening(b'}') {
                    closers.push(b'}');
                    self.key()?;
                    return Some(true);
                }
            }
            b'[' => {
                if !self.opening(b']') {
                    closers.push(b']');
                    return Some(true);
                }
            }
            b'"' => self.string()?,
            b't' => self.literal(b"true")?,
            b'f' => self.literal(b"false")?,
            b'n' => self.literal(b"null")?,
            _ => self.number()?,
        }
        Some(false)
    }

    /// An opening bracket; with `true`, the closing one right behind it too.
    fn opening(&mut self, closer: u8) -> bool {
        self.offset += 1;
        self.skip_whitespace();
        self.eat(closer)
    }

    fn peek(&self) -> Option<u8> {
        self.bytes.get(self.offset).copied()
    }

    /// Whether the byte was next.
    fn eat(&mut self, byte: u8) -> bool {
        let is_next = self.peek() == Some(byte);
        self.offset += usize::from(is_next);
        is_next
    }

    fn skip_whitespace(&mut self) {
        while matches!(self.peek(), Some(b' ' | b'\t' | b'\n' | b'\r')) {
            self.offset += 1;
        }
    }

    /// The name of an object's member, with its colon.
    fn key(&mut self) -> Option<()> {
        self.skip_whitespace();
        self.string()?;
        self.skip_whitespace();
        self.eat(b':').then_some(())
    }

    fn literal(&mut self, literal: &[u8]) -> Option<()> {
        self.bytes.get(self.offset..)?.starts_with(literal).then(|| self.offset += literal.len())
    }

    fn string(&mut self) -> Option<()> {
        self.eat(b'"').then_some(())?;
        loop {
            let byte = self.peek()?;
            if byte < b' ' {
                return None;
            }
            self.offset += 1;
            match byte {
                b'"' => return Some(()),
                b'\\' => self.escape()?,
                _ => {}
            }
        }
    }

    /// What follows a backslash.
    fn escape(&mut self) -> Option<()> {
        let escaped = self.peek()?;
        self.offset += 1;
        match escaped {
            b'u' => {
                let digits = self.bytes.get(self.offset..self.offset + 4)?;
                digits.iter().all(u8::is_ascii_hexdigit).then(|| self.offset += 4)
            }
            b'"' | b'\\' | b'/' | b'b' | b'f' | b'n' | b'r' | b't' => Some(()),
            _ => None,
        }
    }

    fn number(&mut self) -> Option<()> {
        self.eat(b'-');
        if !self.eat(b'0') {
            self.digits()?;
        }
        if self.eat(b'.') {
            self.digits()?;
        }
        if self.eat(b'e') || self.eat(b'E') {
            let _has_sign = self.eat(b'+') || self.eat(b'-');
            self.digits()?;
        }
        Some(())
    }

    fn digits(&mut self) -> Option<()> {
        let start = self.offset;
        while matches!(self.peek(), Some(b'0'..=b'9')) {
            self.offset += 1;
        }
        (self.offset > start).then_some(())
    }
}

/// Appends a text as a JSON string: in quotes, escaped where it has to be.
pub(crate) fn push_string(json: &mut String, text: &str) {
    const DELETE: u8 = 0x7f;
    json.push('"');
    let mut copied = 0;
    for (index, byte) in text.bytes().enumerate() {
        if byte >= b' ' && byte != b'"' && byte != b'\\' && byte != DELETE {
            continue;
        }
        json.push_str(&text[copied..index]);
        copied = index + 1;
        match byte {
            b'"' => json.push_str("\\\""),
            b'\\' => json.push_str("\\\\"),
            b'\n' => json.push_str("\\n"),
            b'\r' => json.push_str("\\r"),
            b'\t' => json.push_str("\\t"),
            _ => write!(json, "\\u{byte:04x}").expect("a string takes all"),
        }
    }
    json.push_str(&text[copied..]);
    json.push('"');
}
