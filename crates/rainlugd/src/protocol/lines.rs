//! Lines out of the pieces of a body.

use bytes::BytesMut;

use crate::transport::End;

/// Takes pieces in and gives lines out.
pub struct Lines {
    rest: BytesMut,
    searched: usize,
    most: usize,
}

impl Lines {
    /// No line is longer than `most`.
    pub fn within(most: usize) -> Self {
        Lines { rest: BytesMut::new(), searched: 0, most }
    }

    pub fn push(&mut self, piece: &[u8]) {
        self.rest.extend_from_slice(piece);
    }

    /// The next whole line, without its end and the space round it.
    pub fn next(&mut self) -> Result<Option<BytesMut>, End> {
        let found = self.rest[self.searched..].iter().position(|b| *b == b'\n');
        let length = found.map_or(self.rest.len(), |at| self.searched + at);
        if length > self.most {
            return Err(End::TooLarge);
        }
        self.searched = if found.is_some() { 0 } else { length };
        Ok(found.map(|_| {
            let mut line = self.rest.split_to(length + 1);
            line.truncate(line.trim_ascii_end().len());
            line
        }))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_are_the_same_however_their_bytes_arrive() {
        let text = b"{\"a\":1}\r\n\nlast but one\nunfinished";
        for step in [1, 2, 5, text.len()] {
            let (mut lines, mut found) = (Lines::within(20), Vec::new());
            for piece in text.chunks(step) {
                lines.push(piece);
                while let Some(line) = lines.next().unwrap() {
                    found.push(String::from_utf8(line.to_vec()).unwrap());
                }
            }
            assert_eq!(found, ["{\"a\":1}", "", "last but one"]);
        }
        let mut lines = Lines::within(4);
        lines.push(b"12345");
        assert_eq!(lines.next(), Err(End::TooLarge));
    }
}
