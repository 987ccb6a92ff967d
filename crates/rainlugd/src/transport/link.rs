//! A connection that carries one message at a time in each direction. While it is idle it holds no buffer.

use std::cell::Cell;
use std::future::pending;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd};

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use rainlug_transport::has_input;
use tokio::io::{AsyncReadExt, Interest};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};
use tokio_util::codec::Framed;

use super::codec::{Body, MOST_BODY, Messages, Piece};
use super::end::End;
use super::limits::Seat;
use super::pool::Pool;

pub struct Link {
    framed: Framed<TcpStream, Messages>,
    pool: Pool,
    seat: Seat,
}

impl Link {
    pub fn over(stream: TcpStream, body_of: fn(&[u8]) -> Result<Body, End>, pool: &Pool, seat: Seat) -> Self {
        // Small messages that wait for an answer gain nothing from waiting for more.
        let _ = stream.set_nodelay(true);
        let mut framed = Framed::new(stream, Messages::new(body_of));
        *framed.read_buffer_mut() = Default::default();
        *framed.write_buffer_mut() = Default::default();
        framed.set_backpressure_boundary(usize::MAX);
        Link { framed, pool: pool.clone(), seat }
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
        self.spoken().await;
        self.take_buffer();
    }

    /// Ends when there is something to read, be it the connection's end.
    pub async fn spoken(&self) {
        if self.framed.read_buffer().is_empty() {
            // Not `readable`, which may say so of a new connection that has carried nothing yet.
            let _ = self.framed.get_ref().peek(&mut [0]).await;
        }
    }

    /// Whether there is something to read, be it the connection's end, as the system knows it.
    pub fn has_spoken(&self) -> bool {
        !self.framed.read_buffer().is_empty() || has_input(self.framed.get_ref())
    }

    /// Takes the buffer that messages are read into.
    pub fn take_buffer(&mut self) {
        if self.framed.read_buffer().capacity() == 0 {
            *self.framed.read_buffer_mut() = self.pool.take();
        }
    }

    /// The peer's address, as the trace names the connection.
    pub fn peer(&self) -> String {
        self.framed.get_ref().peer_addr().map_or_else(|_| "gone".to_owned(), |address| address.to_string())
    }

    /// The connection's socket.
    pub fn socket(&self) -> BorrowedFd<'_> {
        self.framed.get_ref().as_fd()
    }

    /// The next piece of a message; `Closed` where the peer ended the connection between two messages.
    pub async fn next(&mut self) -> Result<Piece, End> {
        if self.framed.read_buffer().capacity() == 0 {
            self.idle().await;
        }
        self.framed.next().await.unwrap_or(Err(End::Closed))
    }

    /// What is left of a message whose head has been read: its body, whole.
    pub async fn body(&mut self) -> Result<Bytes, End> {
        let (mut first, mut whole) = (Bytes::new(), BytesMut::new());
        loop {
            match self.next().await? {
                Piece::Body(piece) if first.is_empty() => first = piece,
                Piece::Body(piece) if first.len().max(whole.len()) + piece.len() > MOST_BODY => {
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
        self.finish_counting(&Cell::new(0)).await;
    }

    /// The same; counts in `crossed` the bytes that the peer still sends.
    pub async fn finish_counting(&mut self, crossed: &Cell<usize>) {
        let _ = self.framed.close().await;
        let mut rest = std::mem::take(self.framed.read_buffer_mut());
        loop {
            rest.clear();
            if rest.capacity() < MOST_BODY {
                rest = self.pool.take();
            }
            match self.framed.get_mut().read_buf(&mut rest).await {
                Ok(count @ 1..) => crossed.update(|sum| sum + count),
                _ => break,
            }
        }
        self.pool.put(rest);
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
                Err(error) if error.kind() != std::io::ErrorKind::WouldBlock => return,
                _ if ready.is_read_closed() => return,
                _ if full => pending().await,
                _ => {}
            }
        }
    }

    /// True where the peer has ended an idle connection, or has sent what nobody asked for: asked of the system, not only of
    /// what the runtime saw last.
    pub fn spoiled(&self) -> bool {
        !self.framed.codec().between() || self.has_spoken()
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
    use std::time::Duration;

    use tokio::net::TcpListener;
    use tokio::time::timeout;

    use super::super::limits::Bounds;
    use super::*;

    /// The two ends of a new connection: the one that connected, and the one that was accepted.
    async fn ends() -> (Link, Link) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (room, pool) = (Bounds::within(1024, 64 << 20, false).workers, Pool::within(64 << 20));
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

    /// A request that had come since the runtime last looked was destroyed by the end of its connection.
    #[tokio::test]
    async fn given_a_request_that_the_runtime_has_not_seen_when_the_socket_is_asked_then_it_is_found() {
        let (mut peer, link) = ends().await;
        assert!(!link.has_spoken());
        // No turn of the runtime lies between: `send` ends at once.
        peer.send(b"head", b"", &Cell::new(false)).await.unwrap();
        assert!(link.has_spoken());
    }

    /// An assignment was written to a connection that its worker had ended, and ended as a reset.
    #[tokio::test]
    async fn given_a_peer_that_left_since_the_runtime_last_looked_when_a_link_is_used_again_then_it_is_spoiled()
     {
        let (link, peer) = ends().await;
        assert!(!link.spoiled());
        drop(peer);
        assert!(link.spoiled());
    }

    #[tokio::test]
    async fn given_a_peer_that_sends_after_the_end_when_a_link_is_finished_then_it_is_told() {
        for sends in [false, true] {
            let (mut link, mut peer) = ends().await;
            let crossed = Cell::new(0);
            let leaves = async {
                if sends {
                    peer.send(b"head", b"", &Cell::new(false)).await.unwrap();
                }
                drop(peer);
            };
            tokio::join!(link.finish_counting(&crossed), leaves);
            assert_eq!(crossed.get() > 0, sends);
        }
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
