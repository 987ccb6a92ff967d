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
use xxhash_rust::xxh3::xxh3_64;

/// What a connection begins with: the tier, and the version of its frames.
const MARK: [u8; 4] = *b"rlt1";
const HELLO: usize = MARK.len() + 6;
/// Length and check before each frame.
const HEAD: usize = 8;
/// The longest frame that is taken, in bytes.
const MOST_FRAME: usize = 16 << 20;
/// Bytes that may wait for a peer; what comes beyond is dropped, as if lost on the way.
const MOST_WAITING: usize = 12 << 20;
/// Bytes that are written in one go, about.
const BATCH: usize = 128 << 10;
const DIAL: Duration = Duration::from_millis(700);
const PAUSE: Duration = Duration::from_millis(100);
/// A peer that acknowledges nothing for so long is cut off or stands still.
const SILENT: Duration = Duration::from_millis(2500);
/// A connection without frames is closed after this time.
const IDLE: Duration = Duration::from_secs(60);

/// Frames that came: from whom, and the bytes.
pub type Taken = Rc<dyn Fn(SocketAddr, Bytes)>;

struct Line {
    frames: mpsc::UnboundedSender<Bytes>,
    waiting: Rc<Cell<usize>>,
}

pub struct Peers {
    me: SocketAddr,
    lines: RefCell<HashMap<SocketAddr, Line>>,
    /// Bytes sent and taken, frames dropped for want of room.
    pub sent: Cell<u64>,
    pub taken: Cell<u64>,
    pub dropped: Cell<u64>,
}

impl Peers {
    pub fn new(me: SocketAddr) -> Rc<Self> {
        Rc::new(Peers { me, lines: RefCell::default(), sent: Cell::new(0), taken: Cell::new(0), dropped: Cell::new(0) })
    }

    /// Hands a frame to the line to a peer, which is opened where there is none.
    pub fn send(self: &Rc<Self>, to: SocketAddr, frame: Bytes) {
        let mut lines = self.lines.borrow_mut();
        let line = lines.entry(to).or_insert_with(|| {
            let (frames, queue) = mpsc::unbounded_channel();
            let waiting = Rc::new(Cell::new(0));
            spawn_local(self.clone().carry(to, queue, waiting.clone()));
            Line { frames, waiting }
        });
        if line.waiting.get() + frame.len() > MOST_WAITING || frame.len() > MOST_FRAME {
            self.dropped.update(|n| n + 1);
            return;
        }
        line.waiting.update(|n| n + frame.len());
        let _ = line.frames.send(frame);
    }

    /// Carries frames to one peer for good. What waits when a connection breaks is lost with it.
    async fn carry(self: Rc<Self>, to: SocketAddr, mut queue: mpsc::UnboundedReceiver<Bytes>, waiting: Rc<Cell<usize>>) {
        while let Some(first) = queue.recv().await {
            waiting.update(|n| n.saturating_sub(first.len()));
            let broke = self.connected(to, first, &mut queue, &waiting).await;
            if broke.is_err() {
                // Old frames are of no use to a peer that comes back: it is told anew.
                while let Ok(lost) = queue.try_recv() {
                    waiting.update(|n| n.saturating_sub(lost.len()));
                }
                sleep(PAUSE).await;
            }
        }
    }

    async fn connected(
        &self,
        to: SocketAddr,
        first: Bytes,
        queue: &mut mpsc::UnboundedReceiver<Bytes>,
        waiting: &Cell<usize>,
    ) -> io::Result<()> {
        let mut stream = timeout(DIAL, TcpStream::connect(to)).await??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(SILENT))?;
        let mut out = BytesMut::new();
        out.put_slice(&MARK);
        if let SocketAddr::V4(me) = self.me {
            out.put_slice(&me.ip().octets());
            out.put_u16_le(me.port());
        }
        put(&mut out, &first);
        loop {
            while out.len() < BATCH {
                let Ok(next) = queue.try_recv() else { break };
                waiting.update(|n| n.saturating_sub(next.len()));
                put(&mut out, &next);
            }
            self.sent.update(|n| n + out.len() as u64);
            timeout(2 * SILENT, stream.write_all(&out)).await??;
            out.clear();
            if out.capacity() > 4 * BATCH {
                out = BytesMut::new();
            }
            let mut none = [0];
            tokio::select! {
                biased;
                next = queue.recv() => {
                    let Some(next) = next else { return Ok(()) };
                    waiting.update(|n| n.saturating_sub(next.len()));
                    put(&mut out, &next);
                }
                // A peer says nothing here: what can be read is the end.
                _ = stream.read(&mut none) => return Err(io::ErrorKind::ConnectionReset.into()),
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
        let alive = TcpKeepalive::new().with_time(Duration::from_secs(5)).with_interval(Duration::from_secs(1));
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
            let read = stream.read_buf(&mut buffer).await?;
            if read == 0 {
                return Ok(());
            }
            self.taken.update(|n| n + read as u64);
        }
    }
}

fn check(frame: &[u8]) -> u32 {
    xxh3_64(frame) as u32
}

/// Writes a frame behind what is there.
pub fn put(to: &mut BytesMut, frame: &[u8]) {
    to.reserve(HEAD + frame.len());
    to.put_u32_le(frame.len() as u32);
    to.put_u32_le(check(frame));
    to.put_slice(frame);
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
    if check(&frame) != sum {
        return Err(io::ErrorKind::InvalidData.into());
    }
    Ok(Some(frame))
}
