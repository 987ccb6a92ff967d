//! Takes a stream of bytes apart into the heads and bodies of HTTP/1.1 messages.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

use super::end::End;
use super::pool::Sizes;

/// The longest line that opens a chunk.
const MOST_CHUNK_LINE: usize = 256;

/// How the body after a head is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    Length(usize),
    Chunked,
    UntilEnd,
}

/// A piece of a message. A body of a stated length is one piece, unless [`Messages::in_parts`] says otherwise; others come as
/// they arrive.
#[derive(Debug, PartialEq, Eq)]
pub enum Piece {
    Head(Bytes),
    Body(Bytes),
    Last,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum At {
    Head,
    Whole(usize),
    Part(usize),
    ChunkLine,
    Chunk(usize),
    ChunkEnd,
    Trailer,
    UntilEnd,
    Last,
}

/// The codec of one connection; `body_of` reads from a head how its body is framed.
pub struct Messages {
    at: At,
    searched: usize,
    body_of: fn(&[u8]) -> Result<Body, End>,
    sizes: Sizes,
    in_parts: bool,
    bodiless: bool,
    reset: bool,
}

impl Messages {
    /// Heads and whole bodies are no larger than `sizes` says.
    pub fn new(body_of: fn(&[u8]) -> Result<Body, End>, sizes: Sizes) -> Self {
        Messages { at: At::Head, searched: 0, body_of, sizes, in_parts: false, bodiless: false, reset: false }
    }

    /// Other sizes from now on.
    pub fn resize(&mut self, sizes: Sizes) {
        self.sizes = sizes;
    }

    /// Bodies of a stated length come as they arrive too, and may be of any length.
    pub fn in_parts(&mut self) {
        self.in_parts = true;
    }

    /// Whether heads are followed by no body, whatever they say: answers to `HEAD`.
    pub fn bodiless(&mut self, bodiless: bool) {
        self.bodiless = bodiless;
    }

    /// The connection was reset: an end that is read from now on is no orderly one. The system tells of a reset once, and to who
    /// writes if that comes first; who reads then finds an end.
    pub fn reset(&mut self) {
        self.reset = true;
    }

    /// True between two messages.
    pub fn between(&self) -> bool {
        self.at == At::Head && self.searched == 0
    }

    fn head(&mut self, from: &mut BytesMut) -> Result<Option<Bytes>, End> {
        while self.searched == 0 && from.starts_with(b"\r\n") {
            from.advance(2);
        }
        if from[..] == b"\r"[..] {
            return Ok(None);
        }
        let begin = self.searched.saturating_sub(3);
        let found = from[begin..].windows(4).position(|w| w == b"\r\n\r\n");
        self.searched = from.len();
        let length = found.map_or(from.len(), |at| begin + at + 4);
        if length > self.sizes.head {
            return Err(End::TooLarge);
        }
        if found.is_none() {
            return Ok(None);
        }
        self.searched = 0;
        Ok(Some(from.split_to(length).freeze()))
    }
}

/// Takes a line off the front, without its end.
fn line(from: &mut BytesMut, most: usize) -> Result<Option<BytesMut>, End> {
    match from.windows(2).take(most).position(|w| w == b"\r\n") {
        Some(at) => {
            let line = from.split_to(at);
            from.advance(2);
            Ok(Some(line))
        }
        None if from.len() > most => Err(End::Malformed),
        None => Ok(None),
    }
}

/// The size in the line that opens a chunk; what follows a semicolon is not for us.
fn chunk_size(line: &[u8]) -> Result<usize, End> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii();
    let digits = str::from_utf8(digits).map_err(|_| End::Malformed)?;
    let plain = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_hexdigit());
    let size = plain.then(|| u32::from_str_radix(digits, 16).ok()).flatten();
    size.map(|s| s as usize).ok_or(End::Malformed)
}

impl Decoder for Messages {
    type Item = Piece;
    type Error = End;

    fn decode(&mut self, from: &mut BytesMut) -> Result<Option<Piece>, End> {
        loop {
            match self.at {
                At::Head => {
                    let Some(head) = self.head(from)? else { return Ok(None) };
                    self.at = match (self.body_of)(&head)? {
                        _ if self.bodiless => At::Last,
                        Body::Length(0) => At::Last,
                        Body::Length(n) if self.in_parts => At::Part(n),
                        Body::Length(n) if n > self.sizes.body => return Err(End::TooLarge),
                        Body::Length(n) => At::Whole(n),
                        Body::Chunked => At::ChunkLine,
                        Body::UntilEnd => At::UntilEnd,
                    };
                    return Ok(Some(Piece::Head(head)));
                }
                At::Whole(n) if from.len() < n => return Ok(None),
                At::Whole(n) => {
                    self.at = At::Last;
                    return Ok(Some(Piece::Body(from.split_to(n).freeze())));
                }
                At::Part(0) => self.at = At::Last,
                At::Part(_) if from.is_empty() => return Ok(None),
                At::Part(n) => {
                    let part = from.split_to(n.min(from.len())).freeze();
                    self.at = At::Part(n - part.len());
                    return Ok(Some(Piece::Body(part)));
                }
                At::ChunkLine => {
                    let Some(line) = line(from, MOST_CHUNK_LINE)? else { return Ok(None) };
                    let size = chunk_size(&line)?;
                    self.at = if size == 0 { At::Trailer } else { At::Chunk(size) };
                }
                At::Chunk(0) => self.at = At::ChunkEnd,
                At::Chunk(_) | At::UntilEnd if from.is_empty() => return Ok(None),
                At::Chunk(n) => {
                    let part = from.split_to(n.min(from.len())).freeze();
                    self.at = At::Chunk(n - part.len());
                    return Ok(Some(Piece::Body(part)));
                }
                At::ChunkEnd if from.len() < 2 => return Ok(None),
                At::ChunkEnd if !from.starts_with(b"\r\n") => return Err(End::Malformed),
                At::ChunkEnd => {
                    from.advance(2);
                    self.at = At::ChunkLine;
                }
                At::Trailer => {
                    let Some(line) = line(from, self.sizes.head)? else { return Ok(None) };
                    if line.is_empty() {
                        self.at = At::Last;
                    }
                }
                At::UntilEnd => return Ok(Some(Piece::Body(from.split().freeze()))),
                At::Last => {
                    self.at = At::Head;
                    return Ok(Some(Piece::Last));
                }
            }
        }
    }

    fn decode_eof(&mut self, from: &mut BytesMut) -> Result<Option<Piece>, End> {
        match self.decode(from)? {
            Some(piece) => Ok(Some(piece)),
            None if self.at == At::UntilEnd && !self.reset => {
                self.at = At::Head;
                Ok(Some(Piece::Last))
            }
            None if self.at == At::Head && from.is_empty() => Ok(None),
            None => Err(End::Broken),
        }
    }
}

impl Encoder<(&[u8], &[u8])> for Messages {
    type Error = End;

    fn encode(&mut self, (head, body): (&[u8], &[u8]), to: &mut BytesMut) -> Result<(), End> {
        to.put_slice(head);
        to.put_slice(body);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    const MOST_HEAD: usize = 8 << 10;
    const MOST_BODY: usize = 64 << 10;
    const SIZES: Sizes = Sizes { head: MOST_HEAD, body: MOST_BODY, buffer: MOST_HEAD + MOST_BODY };

    fn by_first_byte(head: &[u8]) -> Result<Body, End> {
        match head[0] {
            b'c' => Ok(Body::Chunked),
            b'u' => Ok(Body::UntilEnd),
            b'x' => Err(End::Malformed),
            n => Ok(Body::Length(usize::from(n.saturating_sub(b'0')) * MOST_BODY / 4)),
        }
    }

    /// All pieces of `bytes`, handed over `step` at a time, the body's joined; and how it ended.
    fn pieces(bytes: &[u8], step: usize) -> (Vec<Piece>, Result<(), End>) {
        parts(bytes.chunks(step))
    }

    /// The same, handed over in these parts.
    fn parts<'a>(bytes: impl Iterator<Item = &'a [u8]>) -> (Vec<Piece>, Result<(), End>) {
        let (mut codec, mut buffer, mut found) =
            (Messages::new(by_first_byte, SIZES), BytesMut::new(), Vec::<Piece>::new());
        let mut take = |piece| match (found.last_mut(), piece) {
            (Some(Piece::Body(had)), Piece::Body(more)) => *had = [&had[..], &more[..]].concat().into(),
            (_, piece) => found.push(piece),
        };
        for part in bytes {
            buffer.extend_from_slice(part);
            loop {
                match codec.decode(&mut buffer) {
                    Ok(Some(piece)) => take(piece),
                    Ok(None) => break,
                    Err(end) => return (found, Err(end)),
                }
            }
        }
        loop {
            match codec.decode_eof(&mut buffer) {
                Ok(Some(piece)) => take(piece),
                Ok(None) => return (found, Ok(())),
                Err(end) => return (found, Err(end)),
            }
        }
    }

    #[test]
    fn messages_are_the_same_however_their_bytes_arrive() {
        let body = vec![b'b'; MOST_BODY / 4];
        let bytes = [
            b"0 head\r\n\r\n\r\n1 head\r\na: b\r\n\r\n",
            &body[..],
            b"c\r\n\r\n5;x=y\r\nhello\r\nA\r\n, you two.\r\n0\r\nt: u\r\n\r\nu\r\n\r\nto the end",
        ]
        .concat();
        let head = |text: &'static str| Piece::Head(Bytes::from_static(text.as_bytes()));
        let expected = [
            head("0 head\r\n\r\n"),
            Piece::Last,
            head("1 head\r\na: b\r\n\r\n"),
            Piece::Body(body.into()),
            Piece::Last,
            head("c\r\n\r\n"),
            Piece::Body(Bytes::from_static(b"hello, you two.")),
            Piece::Last,
            head("u\r\n\r\n"),
            Piece::Body(Bytes::from_static(b"to the end")),
            Piece::Last,
        ];
        for step in [1, 2, 3, 7, 1000, bytes.len()] {
            let (found, ended) = pieces(&bytes, step);
            assert!(found == expected && ended == Ok(()), "{step}: {found:?}");
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None,
            rng_seed: proptest::test_runner::RngSeed::Fixed(8), ..ProptestConfig::default() })]

        /// Sound and unsound streams alike: what is read does not hang on where the bytes are cut.
        #[test]
        fn any_cut_of_any_bytes_reads_the_same(
            messages in prop::collection::vec(prop::sample::select(vec![
                "0 head\r\n\r\n", "\r\n", "c\r\n\r\n", "5;x=y\r\nhello\r\n", "0\r\n\r\n", "A\r\n, you two.\r\n",
                "c\r\n\r\n3\r\nabc\r\n0\r\nt: u\r\n\r\n", "zz\r\n", "x\r\n\r\n", "\r", "u\r\n\r\n", "rest",
            ]), 1..12),
            cuts in prop::collection::btree_set(1..200usize, 0..12),
        ) {
            let bytes = messages.concat().into_bytes();
            let ends: Vec<usize> = cuts.into_iter().filter(|c| *c < bytes.len()).chain([bytes.len()]).collect();
            let begins = [0].into_iter().chain(ends.iter().copied());
            let cut = begins.zip(&ends).map(|(from, to)| &bytes[from..*to]);
            let whole = pieces(&bytes, bytes.len().max(1));
            prop_assert_eq!(&parts(cut), &whole);
            prop_assert_eq!(&pieces(&bytes, 1), &whole);
        }
    }

    #[test]
    fn what_cannot_be_trusted_ends_the_connection() {
        let cases: [(&[u8], End); 9] = [
            (b"x\r\n\r\n", End::Malformed),
            (b"5\r\n\r\n", End::TooLarge),
            (&[b'0'; MOST_HEAD + 1], End::TooLarge),
            (b"c\r\n\r\n-1\r\n", End::Malformed),
            (b"c\r\n\r\nfffffffff\r\n", End::Malformed),
            (b"c\r\n\r\n1\r\nabc", End::Malformed),
            (b"c\r\n\r\n5\r\nhel", End::Broken),
            (b"1\r\n\r\nshort", End::Broken),
            (b"0 he", End::Broken),
        ];
        for (bytes, end) in cases {
            assert_eq!(pieces(bytes, 3).1, Err(end), "{:?}", String::from_utf8_lossy(bytes));
        }
    }
}
