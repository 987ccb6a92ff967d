//! The queue of frames to one peer, and the connection that they go over.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use super::frame::{Frame, MAX_FRAME_BYTES};
use super::{Peers, UNRESPONSIVE_TIMEOUT, encode_preamble, wait_while_isolated};

/// Bytes that may be queued for a peer; what comes beyond is dropped, as if lost on the way. The longest frame passes beside
/// others: one that never does, an entry of a shard's log, would hold up its shard for good.
const MAX_QUEUED_BYTES: usize = MAX_FRAME_BYTES + (4 << 20);
/// Bytes that may be queued for all peers together: two of the longest frames, a fifth of the smallest process's memory. Peers that stand
/// still hold theirs until their connections break.
pub(super) const MAX_TOTAL_QUEUED_BYTES: usize = 2 * MAX_FRAME_BYTES;
/// Frames pass whatever is queued for others while no more than this is queued for their own peer: heartbeats, votes, pings and
/// acknowledgements to those that read.
const RESERVED_BYTES: usize = 64 << 10;
/// Bytes of the newest frames that stay queued for a peer that cannot be reached.
const MAX_KEPT_BYTES: usize = 64 << 10;
/// Small frames are written together up to about so many bytes.
const BATCH_BYTES: usize = 64 << 10;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Between the end of a broken connection and the next attempt.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(100);
/// A connection without frames is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// A batch of small frames is written in this time, or the connection counts as broken.
const BATCH_WRITE_TIMEOUT: Duration = UNRESPONSIVE_TIMEOUT.saturating_mul(2);
/// The same for a large tail.
const TAIL_WRITE_TIMEOUT: Duration = UNRESPONSIVE_TIMEOUT.saturating_mul(4);

/// Bytes of the frames that are queued for a peer. They count among those for all peers.
#[derive(Clone)]
struct QueuedBytes {
    peer: Rc<Cell<usize>>,
    total: Rc<Cell<usize>>,
}

impl QueuedBytes {
    /// Whether a frame of this length may be queued too.
    fn admits(&self, length: usize) -> bool {
        let (peer, total) = (self.peer.get() + length, self.total.get() + length);
        length <= MAX_FRAME_BYTES
            && peer <= MAX_QUEUED_BYTES
            && (total <= MAX_TOTAL_QUEUED_BYTES || peer <= RESERVED_BYTES)
    }

    fn add(&self, length: usize) {
        self.peer.update(|n| n + length);
        self.total.update(|n| n + length);
    }

    fn remove(&self, length: usize) {
        self.peer.update(|n| n.saturating_sub(length));
        self.total.update(|n| n.saturating_sub(length));
    }
}

/// The sending end of a queue of frames.
pub(super) struct FrameSender {
    frames: mpsc::UnboundedSender<Frame>,
    queued_bytes: QueuedBytes,
}

/// The receiving end of a queue of frames.
pub(super) struct FrameQueue {
    frames: mpsc::UnboundedReceiver<Frame>,
    queued_bytes: QueuedBytes,
}

/// A queue that is bounded by [`MAX_QUEUED_BYTES`], and by [`MAX_TOTAL_QUEUED_BYTES`] together with the others that count their bytes in
/// `total`.
pub(super) fn frame_queue(total: &Rc<Cell<usize>>) -> (FrameSender, FrameQueue) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let queued_bytes = QueuedBytes { peer: Rc::default(), total: total.clone() };
    (
        FrameSender { frames: sender, queued_bytes: queued_bytes.clone() },
        FrameQueue { frames: receiver, queued_bytes },
    )
}

impl FrameSender {
    /// Queues a frame; false where it is too long, or too much is queued for this peer or for all.
    pub(super) fn try_send(&self, frame: Frame) -> bool {
        let length = frame.payload_bytes();
        let is_admitted = self.queued_bytes.admits(length);
        if is_admitted {
            self.queued_bytes.add(length);
            let _ = self.frames.send(frame);
        }
        is_admitted
    }
}

impl FrameQueue {
    /// Waits for the next frame; `None` once the sender is gone. Cancel safe.
    async fn recv(&mut self) -> Option<Frame> {
        let frame = self.frames.recv().await?;
        self.queued_bytes.remove(frame.payload_bytes());
        Some(frame)
    }

    /// The next frame, if one is queued.
    fn try_recv(&mut self) -> Option<Frame> {
        let frame = self.frames.try_recv().ok()?;
        self.queued_bytes.remove(frame.payload_bytes());
        Some(frame)
    }

    /// Drops the oldest frames until [`MAX_KEPT_BYTES`] are left.
    fn drop_oldest(&mut self) {
        while self.queued_bytes.peer.get() > MAX_KEPT_BYTES && self.try_recv().is_some() {}
    }
}

impl Peers {
    /// Sends the frames of a queue to a peer, over one connection after the other.
    pub(super) async fn run_sender(self: Rc<Self>, to: SocketAddr, mut queue: FrameQueue) {
        while let Some(first) = queue.recv().await {
            if self.send_over_connection(to, first, &mut queue).await.is_err() {
                // The newest frames may reach a peer that comes back meanwhile, such as the answer to its first message; those
                // before them are out of date.
                queue.drop_oldest();
                let handler = self.on_unreachable.borrow().clone();
                if let Some(handler) = handler {
                    handler(to);
                }
                sleep(RECONNECT_BACKOFF).await;
            }
        }
    }

    /// Connects and sends frames until the connection is idle for long or breaks. What was taken from the queue is then lost.
    async fn send_over_connection(
        &self,
        to: SocketAddr,
        first: Frame,
        queue: &mut FrameQueue,
    ) -> io::Result<()> {
        if !self.faults.may_send(to) {
            sleep(CONNECT_TIMEOUT).await;
            return Err(io::ErrorKind::TimedOut.into());
        }
        let mut stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNRESPONSIVE_TIMEOUT))?;
        let mut batch = BytesMut::new();
        encode_preamble(self.local_address, &mut batch);
        let mut next = first;
        loop {
            next.encode(&mut batch);
            while next.uncopied_tail().is_empty() && batch.len() < BATCH_BYTES {
                let Some(more) = queue.try_recv() else { break };
                next = more;
                next.encode(&mut batch);
            }
            wait_while_isolated(|| self.faults.may_send(to)).await?;
            let tail = next.uncopied_tail();
            self.sent_bytes.update(|n| n + (batch.len() + tail.len()) as u64);
            timeout(BATCH_WRITE_TIMEOUT, stream.write_all(&batch)).await??;
            if !tail.is_empty() {
                timeout(TAIL_WRITE_TIMEOUT, stream.write_all(tail)).await??;
            }
            batch.clear();
            if batch.capacity() > BATCH_BYTES {
                batch = BytesMut::new();
            }
            let mut unexpected = [0];
            tokio::select! {
                biased;
                more = queue.recv() => {
                    let Some(more) = more else { return Ok(()) };
                    next = more;
                }
                // A peer sends nothing on this connection: whatever can be read is its end.
                _ = stream.read(&mut unexpected) => return Err(io::ErrorKind::ConnectionReset.into()),
                () = self.faults.wait_for_reset() => return Err(io::ErrorKind::ConnectionReset.into()),
                () = sleep(IDLE_TIMEOUT) => return Ok(()),
            }
        }
    }
}
