//! Events out of the pieces of a body (`text/event-stream`).

use bytes::{Bytes, BytesMut};
use rainlug_transport::End;

/// The largest event, in bytes.
const MOST_EVENT: usize = 1 << 20;

/// One whole event, with the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    pub bytes: Bytes,
    pub id: Option<u64>,
}

impl Event {
    /// The values of its `data` lines, joined by line feeds.
    pub fn data(&self) -> Bytes {
        let mut values = lines(&self.bytes).filter_map(|line| value(line, b"data"));
        let Some(first) = values.next() else { return Bytes::new() };
        let mut rest = values.peekable();
        if rest.peek().is_none() {
            return self.bytes.slice_ref(first);
        }
        let mut all = BytesMut::from(first);
        for value in rest {
            all.extend_from_slice(b"\n");
            all.extend_from_slice(value);
        }
        all.freeze()
    }
}

fn lines(bytes: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
    bytes.split(|b| *b == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

/// The value of a line that begins with this name.
fn value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

fn id(bytes: &[u8]) -> Option<u64> {
    let value = lines(bytes).filter_map(|line| value(line, b"id")).next_back()?;
    str::from_utf8(value.trim_ascii()).ok()?.parse().ok()
}

/// Where the first event ends, looked for from `from` on.
fn boundary(bytes: &[u8], from: usize) -> Option<usize> {
    if from == 0 {
        if bytes.starts_with(b"\n") {
            return Some(1);
        }
        if bytes.starts_with(b"\r\n") {
            return Some(2);
        }
    }
    let mut at = from;
    loop {
        at += bytes.get(at..)?.iter().position(|b| *b == b'\n')? + 1;
        let rest = bytes.get(at..)?;
        if rest.starts_with(b"\n") {
            return Some(at + 1);
        }
        if rest.starts_with(b"\r\n") {
            return Some(at + 2);
        }
    }
}

/// Takes pieces in and gives whole events out, without copying those that come in one piece.
#[derive(Default)]
pub struct Events {
    piece: Bytes,
    rest: BytesMut,
    searched: usize,
}

impl Events {
    /// Adds a piece; all events of the one before have been taken.
    pub fn push(&mut self, piece: Bytes) {
        if self.rest.is_empty() && self.piece.is_empty() {
            self.piece = piece;
        } else {
            self.keep();
            self.rest.extend_from_slice(&piece);
        }
    }

    fn keep(&mut self) {
        if !self.piece.is_empty() {
            self.rest.extend_from_slice(&std::mem::take(&mut self.piece));
        }
    }

    /// The next whole event.
    ///
    /// # Errors
    /// `TooLarge` where one does not end.
    pub fn take(&mut self) -> Result<Option<Event>, End> {
        let bytes = if !self.piece.is_empty() {
            match boundary(&self.piece, 0) {
                Some(end) => self.piece.split_to(end),
                None => {
                    self.keep();
                    self.searched = self.rest.len();
                    return Ok(None);
                }
            }
        } else {
            match boundary(&self.rest, self.searched.saturating_sub(3)) {
                Some(end) => {
                    self.searched = 0;
                    self.rest.split_to(end).freeze()
                }
                None if self.rest.len() > MOST_EVENT => return Err(End::TooLarge),
                None => {
                    self.searched = self.rest.len();
                    return Ok(None);
                }
            }
        };
        let id = id(&bytes);
        Ok(Some(Event { bytes, id }))
    }

    /// What has come of an event that is not whole.
    pub fn rest(&mut self) -> Bytes {
        self.keep();
        self.searched = 0;
        self.rest.split().freeze()
    }
}
