//! A connection that carries one message at a time in each direction. While it is idle it holds no buffer.

use std::cell::Cell;
use std::future::poll_fn;
use std::io::{ErrorKind, IoSlice};
use std::net::SocketAddr;
use std::task::Poll;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout_at};
use tokio_util::codec::Framed;

use super::codec::{Body, Messages, Piece};
use super::end::End;
use super::input::has_input;
use super::limits::Seat;
use super::outgoing::Outgoing;
use super::pool::{Pool, Sizes};

/// Parts that one call hands to the system.
const MOST_PARTS: usize = 8;
/// Where nothing more can be read, it is asked again after this time whether the peer has gone.
const LOOK_AGAIN: Duration = Duration::from_millis(200);

pub struct Link {
    framed: Framed<TcpStream, Messages>,
    outgoing: Outgoing,
    pool: Pool,
    seat: Seat,
    most_body: usize,
}

impl Link {
    pub fn over(stream: TcpStream, body_of: fn(&[u8]) -> Result<Body, End>, pool: &Pool, seat: Seat) -> Self {
        // Small messages that wait for an answer gain nothing from waiting for more.
        let _ = stream.set_nodelay(true);
        let mut framed = Framed::new(stream, Messages::new(body_of, pool.sizes()));
        *framed.read_buffer_mut() = Default::default();
        *framed.write_buffer_mut() = Default::default();
        framed.set_backpressure_boundary(usize::MAX);
        Link { framed, outgoing: Outgoing::default(), pool: pool.clone(), seat, most_body: pool.sizes().body }
    }

    pub async fn connect(
        to: SocketAddr,
        until: Instant,
        body_of: fn(&[u8]) -> Result<Body, End>,
        pool: &Pool,
        seat: Seat,
    ) -> Result<Self, End> {
        match timeout_at(until, TcpStream::connect(to)).await {
            Ok(Ok(stream)) => Ok(Link::over(stream, body_of, pool, seat)),
            // ENFILE, EMFILE, EADDRNOTAVAIL: this side's own lack, which says nothing of the peer.
            Ok(Err(error)) if matches!(error.raw_os_error(), Some(23 | 24 | 99)) => Err(End::NoRoom),
            Ok(Err(_)) => Err(End::Refused),
            Err(_) => Err(End::NeverUp),
        }
    }

    /// Ends when there is something to read, be it the connection's end. It takes a buffer only then.
    pub async fn idle(&mut self) {
        if self.framed.read_buffer().is_empty() {
            // Not `readable`, which may say so of a new connection that has carried nothing yet.
            let _ = self.framed.get_ref().peek(&mut [0]).await;
        }
        self.take_buffer();
    }

    fn take_buffer(&mut self) {
        if self.framed.read_buffer().capacity() == 0 {
            *self.framed.read_buffer_mut() = self.pool.take();
        }
    }

    /// The next piece of a message; `Closed` where the peer ended the connection between two messages. What is left of a message
    /// that was posted is written on meanwhile: the peer may answer before it has read all of it.
    pub async fn next(&mut self) -> Result<Piece, End> {
        if self.outgoing.pending() {
            return self.write_and_read().await;
        }
        if self.framed.read_buffer().capacity() == 0 {
            self.idle().await;
        }
        self.framed.next().await.unwrap_or(Err(End::Closed))
    }

    async fn write_and_read(&mut self) -> Result<Piece, End> {
        self.take_buffer();
        let (framed, outgoing) = (&mut self.framed, &mut self.outgoing);
        let piece = poll_fn(|context| {
            // A peer that takes no more may have answered all the same.
            while outgoing.pending() {
                match outgoing.poll_write(framed.get_mut(), context) {
                    Poll::Ready(Ok(_)) => {}
                    Poll::Ready(Err(_)) => framed.codec_mut().reset(),
                    Poll::Pending => break,
                }
            }
            framed.poll_next_unpin(context)
        });
        piece.await.unwrap_or(Err(End::Closed))
    }

    /// Begins to write a message of these parts, and ends when its first bytes are handed over. [`Self::next`] writes on.
    ///
    /// # Errors
    /// `Unwritten` where the connection broke before.
    pub async fn post(&mut self, parts: impl IntoIterator<Item = Bytes>) -> Result<(), End> {
        parts.into_iter().for_each(|part| self.outgoing.push(part));
        let (framed, outgoing) = (&mut self.framed, &mut self.outgoing);
        poll_fn(|context| match outgoing.poll_write(framed.get_mut(), context) {
            Poll::Ready(first) => Poll::Ready(first.map(|_| ())),
            Poll::Pending => Poll::Pending,
        })
        .await
    }

    /// How many bytes of a message that was posted are left to be written.
    pub fn unwritten(&self) -> usize {
        self.outgoing.left()
    }

    /// What is left of a message whose head has been read: its body, whole.
    pub async fn body(&mut self) -> Result<Bytes, End> {
        let (mut first, mut whole) = (Bytes::new(), BytesMut::new());
        loop {
            match self.next().await? {
                Piece::Body(piece) if first.is_empty() => first = piece,
                Piece::Body(piece) if first.len().max(whole.len()) + piece.len() > self.most_body => {
                    return Err(End::TooLarge);
                }
                Piece::Body(piece) => {
                    // Put together once: a body may come in thousands of pieces.
                    if whole.is_empty() {
                        whole.extend_from_slice(&first);
                    }
                    whole.extend_from_slice(&piece);
                }
                Piece::Last => return Ok(if whole.is_empty() { first } else { whole.freeze() }),
                Piece::Head(_) => return Err(End::Malformed),
            }
        }
    }

    /// Writes a message in one go; tells through `written` when the last byte has been handed over.
    pub async fn send(&mut self, head: &[u8], body: &[u8], written: &Cell<bool>) -> Result<(), End> {
        *self.framed.write_buffer_mut() = self.pool.take();
        let sent = self.framed.send((head, body)).await;
        written.set(self.framed.write_buffer().is_empty());
        self.pool.put(std::mem::take(self.framed.write_buffer_mut()));
        sent.map_err(|_| End::Unwritten)
    }

    /// Ends this side's sending and waits for the peer's end: what it still sends must not destroy the last answer.
    pub async fn finish(&mut self) {
        let _ = self.framed.close().await;
        let mut rest = std::mem::take(self.framed.read_buffer_mut());
        loop {
            rest.clear();
            if rest.capacity() < self.pool.sizes().buffer / 2 {
                rest = self.pool.take();
            }
            if !matches!(self.framed.get_mut().read_buf(&mut rest).await, Ok(1..)) {
                break;
            }
        }
        self.pool.put(rest);
    }

    /// Other sizes from now on.
    pub fn resize(&mut self, sizes: Sizes) {
        self.most_body = sizes.body;
        self.framed.codec_mut().resize(sizes);
    }

    /// Bodies of a stated length come as they arrive too, and may be of any length.
    pub fn in_parts(&mut self) {
        self.framed.codec_mut().in_parts();
    }

    /// Whether heads are followed by no body, whatever they say: answers to `HEAD`.
    pub fn bodiless(&mut self, bodiless: bool) {
        self.framed.codec_mut().bodiless(bodiless);
    }

    /// Writes these parts one after the other, without copying them, and adds to `written` how many bytes were handed over.
    ///
    /// # Errors
    /// `Unwritten` where the connection broke before the last byte.
    pub async fn write(&mut self, parts: &[&[u8]], written: &Cell<usize>) -> Result<(), End> {
        for group in parts.chunks(MOST_PARTS) {
            let mut slices = [IoSlice::new(&[]); MOST_PARTS];
            let mut count = 0;
            for (slice, part) in slices.iter_mut().zip(group.iter().filter(|p| !p.is_empty())) {
                *slice = IoSlice::new(part);
                count += 1;
            }
            let mut left = slices.get_mut(..count).unwrap_or_default();
            while !left.is_empty() {
                match self.framed.get_mut().write_vectored(left).await {
                    Ok(n @ 1..) => {
                        written.update(|w| w + n);
                        IoSlice::advance_slices(&mut left, n);
                    }
                    _ => return Err(End::Unwritten),
                }
            }
        }
        Ok(())
    }

    /// True while the peer of an idle connection has neither ended it nor sent anything: asked of the system, not only of what
    /// the process was told last.
    pub fn sound(&mut self) -> bool {
        let quiet = self.framed.read_buffer().is_empty() && self.framed.codec().between();
        quiet && !has_input(self.framed.get_ref())
    }

    /// Whether nothing has been read of a next message, nor is anything of this side's left to be written.
    pub fn untouched(&self) -> bool {
        self.framed.read_buffer().is_empty() && self.framed.codec().between() && self.outgoing.done()
    }

    /// Ends this side's sending and waits for the peer's end; once anything else comes, only for so long.
    pub async fn part(&mut self, crossed: Duration) {
        let _ = self.framed.close().await;
        let (mut rest, mut until) = ([0; 512], None);
        loop {
            let read = self.framed.get_mut().read(&mut rest);
            let read = match until {
                Some(until) => timeout_at(until, read).await.unwrap_or(Ok(0)),
                None => read.await,
            };
            if !matches!(read, Ok(1..)) {
                return;
            }
            until.get_or_insert_with(|| Instant::now() + crossed);
        }
    }

    /// Takes another seat for its own.
    pub fn reseat(&mut self, seat: Seat) {
        self.seat = seat;
    }

    /// Gives its buffer back, unless more has come already.
    pub fn rest(&mut self) {
        if self.framed.read_buffer().is_empty() {
            self.pool.put(std::mem::take(self.framed.read_buffer_mut()));
        }
    }

    /// Ends when the peer has gone. What it sends until then is kept, as far as it fits.
    pub async fn departed(&mut self) {
        loop {
            let Ok(ready) = self.framed.get_ref().ready(Interest::READABLE).await else { return };
            let mut buffer = std::mem::take(self.framed.read_buffer_mut());
            if buffer.capacity() == 0 {
                buffer = self.pool.take();
            }
            let full = buffer.len() == buffer.capacity();
            let read = if full { Ok(1) } else { self.framed.get_ref().try_read_buf(&mut buffer) };
            *self.framed.read_buffer_mut() = buffer;
            match read {
                Ok(0) => return,
                Err(error) if error.kind() != ErrorKind::WouldBlock => return,
                _ if ready.is_read_closed() => return,
                _ if full => sleep(LOOK_AGAIN).await,
                _ => {}
            }
        }
    }

    /// True where the peer has ended an idle connection, or has sent what nobody asked for.
    pub fn spoiled(&mut self) -> bool {
        let mut byte = [0];
        let quiet = self.framed.read_buffer().is_empty() && self.framed.codec().between();
        let read = self.framed.get_ref().try_read(&mut byte);
        !quiet || !matches!(read, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.pool.put(std::mem::take(self.framed.read_buffer_mut()));
        self.pool.put(std::mem::take(self.framed.write_buffer_mut()));
    }
}

#[cfg(test)]
mod tests {
    use tokio::net::TcpListener;
    use tokio::time::timeout;

    use super::super::limits::Bounds;
    use super::*;

    const SIZES: Sizes = Sizes { head: 8 << 10, body: 64 << 10, buffer: 72 << 10 };

    /// The two ends of a new connection: the one that connected, and the one that was accepted.
    async fn ends() -> (Link, Link) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (room, pool) =
            (Bounds::within(1024, 64 << 20, SIZES, false).workers, Pool::within(64 << 20, SIZES));
        let (to, until) = (listener.local_addr().unwrap(), Instant::now() + Duration::from_secs(20));
        let whole = |_: &[u8]| Ok(Body::Length(0));
        let link = Link::connect(to, until, whole, &pool, room.seat().unwrap()).await.unwrap();
        let accepted = listener.accept().await.unwrap().0;
        (link, Link::over(accepted, whole, &pool, room.seat().unwrap()))
    }

    #[tokio::test]
    async fn what_breaks_before_its_last_byte_is_unwritten() {
        let (mut link, mut peer) = ends().await;
        let (written, body) = (Cell::new(false), vec![b'b'; 64 << 20]);
        let leaves = async {
            peer.idle().await;
            drop(peer);
        };
        let (sent, ()) = tokio::join!(link.send(b"head", &body, &written), leaves);
        assert_eq!((sent, written.get()), (Err(End::Unwritten), false));
    }

    #[tokio::test]
    async fn what_breaks_after_its_last_byte_was_written() {
        let (mut link, peer) = ends().await;
        let written = Cell::new(false);
        assert_eq!(link.send(b"head", b"body", &written).await, Ok(()));
        drop(peer);
        assert!(written.get() && matches!(link.next().await, Err(End::Closed | End::Broken)));
        assert!(link.spoiled());
    }

    #[tokio::test]
    async fn idle_is_who_has_been_sent_nothing_and_holds_no_buffer() {
        let (mut peer, mut link) = ends().await;
        assert!(timeout(Duration::from_millis(20), link.idle()).await.is_err(), "a new connection is idle");
        assert!(link.framed.read_buffer().capacity() == 0 && !link.spoiled());
        peer.send(b"stray", b"", &Cell::new(false)).await.unwrap();
        link.idle().await;
        assert!(link.spoiled());
    }
}
