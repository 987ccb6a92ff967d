//! The process's lines to its peers: datagrams for membership, and a connection each way for frames. A connection begins with a
//! mark and the address where its sender hears its own peers; a frame is its length, a check and its bytes.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::Xxh3Default;

use crate::faults::{self, Faults};

/// What a connection begins with: the tier, and the version of its frames.
const MARK: [u8; 4] = *b"rlt1";
const HELLO: usize = MARK.len() + 6;
/// Length and check before each frame.
const HEAD: usize = 8;
/// The longest frame that is taken, in bytes.
const MOST_FRAME: usize = 16 << 20;
/// Bytes that may wait for a peer; what comes beyond is dropped, as if lost on the way. The longest frame passes beside others: one
/// that never does, an entry of a part's log, would hold up its part for good.
const MOST_WAITING: usize = MOST_FRAME + (4 << 20);
/// Bytes of the newest frames that are kept for a peer that cannot be reached.
const MOST_KEPT: usize = 64 << 10;
/// Bytes that are written in one go, about, and from where on a tail is not copied.
const BATCH: usize = 64 << 10;
const LARGE: usize = 16 << 10;
const DIAL: Duration = Duration::from_millis(300);
const PAUSE: Duration = Duration::from_millis(100);
/// A peer that acknowledges nothing for so long is cut off or stands still.
const SILENT: Duration = Duration::from_millis(2500);
/// A connection without frames is closed after this time.
const IDLE: Duration = Duration::from_secs(60);

/// Frames that came: from whom, and the bytes.
pub type Taken = Rc<dyn Fn(SocketAddr, Bytes)>;

/// A peer that could not be reached, or whose connection broke.
pub type Broke = Rc<dyn Fn(SocketAddr)>;

/// A frame's head and tail.
type Frame = (Bytes, Bytes);

fn length(frame: &Frame) -> usize {
    frame.0.len() + frame.1.len()
}

struct Line {
    frames: mpsc::UnboundedSender<Frame>,
    waiting: Rc<Cell<usize>>,
}

pub struct Peers {
    me: SocketAddr,
    lines: RefCell<HashMap<SocketAddr, Line>>,
    broke: RefCell<Option<Broke>>,
    /// Cuts for drills.
    pub faults: Rc<Faults>,
    /// Bytes sent and taken, frames dropped for want of room.
    pub sent: Cell<u64>,
    pub taken: Cell<u64>,
    pub dropped: Cell<u64>,
}

impl Peers {
    pub fn new(me: SocketAddr) -> Rc<Self> {
        Rc::new(Peers {
            me,
            lines: RefCell::default(),
            broke: RefCell::default(),
            faults: Rc::default(),
            sent: Cell::new(0),
            taken: Cell::new(0),
            dropped: Cell::new(0),
        })
    }

    /// Whom to tell of peers that cannot be reached.
    pub fn when_broke(&self, tell: Broke) {
        *self.broke.borrow_mut() = Some(tell);
    }

    /// Hands a frame to the line to a peer, which is opened where there is none.
    pub fn send(self: &Rc<Self>, to: SocketAddr, head: Bytes, tail: Bytes) {
        let frame = (head, tail);
        let mut lines = self.lines.borrow_mut();
        let line = lines.entry(to).or_insert_with(|| {
            let (frames, queue) = mpsc::unbounded_channel();
            let waiting = Rc::new(Cell::new(0));
            spawn_local(self.clone().carry(to, queue, waiting.clone()));
            Line { frames, waiting }
        });
        if line.waiting.get() + length(&frame) > MOST_WAITING || length(&frame) > MOST_FRAME {
            self.dropped.update(|n| n + 1);
            return;
        }
        line.waiting.update(|n| n + length(&frame));
        let _ = line.frames.send(frame);
    }

    /// Carries frames to one peer for good. What waits when a connection breaks is lost with it.
    async fn carry(
        self: Rc<Self>,
        to: SocketAddr,
        mut queue: mpsc::UnboundedReceiver<Frame>,
        waiting: Rc<Cell<usize>>,
    ) {
        while let Some(first) = queue.recv().await {
            waiting.update(|n| n.saturating_sub(length(&first)));
            let broke = self.connected(to, first, &mut queue, &waiting).await;
            if broke.is_err() {
                // A little waits for a peer that comes back meanwhile, as an answer to its first word; not what is old or much.
                while waiting.get() > MOST_KEPT
                    && let Ok(lost) = queue.try_recv()
                {
                    waiting.update(|n| n.saturating_sub(length(&lost)));
                }
                let tell = self.broke.borrow().clone();
                if let Some(tell) = tell {
                    tell(to);
                }
                sleep(PAUSE).await;
            }
        }
    }

    async fn connected(
        &self,
        to: SocketAddr,
        first: Frame,
        queue: &mut mpsc::UnboundedReceiver<Frame>,
        waiting: &Cell<usize>,
    ) -> io::Result<()> {
        if !self.faults.may_send(to) {
            sleep(DIAL).await;
            return Err(io::ErrorKind::TimedOut.into());
        }
        let mut stream = timeout(DIAL, TcpStream::connect(to)).await??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(SILENT))?;
        let mut out = BytesMut::new();
        out.put_slice(&MARK);
        if let SocketAddr::V4(me) = self.me {
            out.put_slice(&me.ip().octets());
            out.put_u16_le(me.port());
        }
        let mut next = first;
        loop {
            // Small frames go together; a large tail goes as it is, without a copy.
            put(&mut out, &next);
            while next.1.len() < LARGE && out.len() < BATCH {
                let Ok(more) = queue.try_recv() else { break };
                next = more;
                waiting.update(|n| n.saturating_sub(length(&next)));
                put(&mut out, &next);
            }
            passable(|| self.faults.may_send(to)).await?;
            let tail: &[u8] = if next.1.len() < LARGE { &[] } else { &next.1 };
            self.sent.update(|n| n + (out.len() + tail.len()) as u64);
            timeout(2 * SILENT, stream.write_all(&out)).await??;
            if !tail.is_empty() {
                timeout(4 * SILENT, stream.write_all(tail)).await??;
            }
            out.clear();
            if out.capacity() > BATCH {
                out = BytesMut::new();
            }
            let mut none = [0];
            tokio::select! {
                biased;
                more = queue.recv() => {
                    let Some(more) = more else { return Ok(()) };
                    next = more;
                    waiting.update(|n| n.saturating_sub(length(&next)));
                }
                // A peer says nothing here: what can be read is the end.
                _ = stream.read(&mut none) => return Err(io::ErrorKind::ConnectionReset.into()),
                () = self.faults.wait_for_reset() => return Err(io::ErrorKind::ConnectionReset.into()),
                () = sleep(IDLE) => return Ok(()),
            }
        }
    }

    /// Takes connections of peers for good.
    pub async fn listen(self: Rc<Self>, listener: TcpListener, taken: Taken) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let (peers, taken) = (self.clone(), taken.clone());
                    spawn_local(async move {
                        let _ = peers.take(stream, taken).await;
                    });
                }
                Err(_) => sleep(PAUSE).await,
            }
        }
    }

    async fn take(&self, mut stream: TcpStream, taken: Taken) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let alive =
            TcpKeepalive::new().with_time(Duration::from_secs(5)).with_interval(Duration::from_secs(1));
        SockRef::from(&stream).set_tcp_keepalive(&alive.with_retries(3))?;
        let mut hello = [0; HELLO];
        timeout(SILENT, stream.read_exact(&mut hello)).await??;
        if hello[..MARK.len()] != MARK {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let mut rest = &hello[MARK.len()..];
        let ip = [rest.get_u8(), rest.get_u8(), rest.get_u8(), rest.get_u8()];
        let from = SocketAddr::from((ip, rest.get_u16_le()));
        let mut buffer = BytesMut::new();
        loop {
            while let Some(frame) = cut(&mut buffer)? {
                taken(from, frame);
            }
            buffer.reserve(4096);
            let read = tokio::select! {
                read = stream.read_buf(&mut buffer) => read?,
                () = self.faults.wait_for_reset() => return Err(io::ErrorKind::ConnectionReset.into()),
            };
            passable(|| self.faults.may_receive(from)).await?;
            if read == 0 {
                return Ok(());
            }
            self.taken.update(|n| n + read as u64);
        }
    }
}

/// Waits while a drill cuts a peer off, as long as a connection lives without an acknowledgement.
async fn passable(is_open: impl Fn() -> bool) -> io::Result<()> {
    let mut waited = Duration::ZERO;
    while !is_open() {
        if waited >= SILENT {
            return Err(io::ErrorKind::TimedOut.into());
        }
        sleep(faults::POLL_INTERVAL).await;
        waited += faults::POLL_INTERVAL;
    }
    Ok(())
}

fn check(head: &[u8], tail: &[u8]) -> u32 {
    let mut sum = Xxh3Default::new();
    sum.update(head);
    sum.update(tail);
    sum.digest() as u32
}

/// Writes a frame behind what is there; without its tail where that is large.
pub fn put(to: &mut BytesMut, frame: &(Bytes, Bytes)) {
    let (head, tail) = frame;
    let copied = if tail.len() < LARGE { tail.len() } else { 0 };
    to.reserve(HEAD + head.len() + copied);
    to.put_u32_le((head.len() + tail.len()) as u32);
    to.put_u32_le(check(head, tail));
    to.put_slice(head);
    to.put_slice(&tail[..copied]);
}

/// Takes the next whole frame off the front.
///
/// # Errors
/// Where it is too long, or not what was sent.
pub fn cut(from: &mut BytesMut) -> io::Result<Option<Bytes>> {
    if from.len() < HEAD {
        return Ok(None);
    }
    let mut head = &from[..HEAD];
    let (length, sum) = (head.get_u32_le() as usize, head.get_u32_le());
    if length > MOST_FRAME {
        return Err(io::ErrorKind::InvalidData.into());
    }
    if from.len() < HEAD + length {
        from.reserve(HEAD + length - from.len());
        return Ok(None);
    }
    from.advance(HEAD);
    let frame = from.split_to(length).freeze();
    if check(&frame, &[]) != sum {
        return Err(io::ErrorKind::InvalidData.into());
    }
    Ok(Some(frame))
}
