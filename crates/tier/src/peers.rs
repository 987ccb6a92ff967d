//! Connections between the tier's processes: each process opens one to each peer that it sends frames to.
//!
//! A connection begins with a preamble (the protocol's name and the address where its sender listens for its own peers); after it
//! come [frames](frame). A frame is delivered once at most, complete, and in the order in which it was sent; it is lost where the
//! connection breaks or too much waits. Consensus sends again what it misses, so nothing is acknowledged here.

mod frame;
mod outgoing;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

pub use self::frame::{Frame, MAX_FRAME_BYTES, decode_frame};
use self::outgoing::FrameSender;
use crate::faults::{self, Faults};

/// The protocol and the version of its frames.
const MAGIC: [u8; 4] = *b"rlt1";
/// The magic bytes, then the IPv4 address and the port (little-endian) of the sender.
const PREAMBLE_BYTES: usize = MAGIC.len() + 6;
/// Between two attempts to accept where the first one failed.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);
/// A peer that acknowledges nothing for so long is isolated or stands still.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(2500);
/// A connection without traffic is checked after this time.
const KEEPALIVE_TIME: Duration = Duration::from_secs(5);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 3;
/// Room that is made for each read, in bytes.
const READ_BYTES: usize = 4096;

/// Receives the frames of peers: the address where the sender listens for its peers, and the payload.
pub type FrameHandler = Rc<dyn Fn(SocketAddr, Bytes)>;

/// Is told of a peer that could not be reached, or whose connection broke.
pub type UnreachableHandler = Rc<dyn Fn(SocketAddr)>;

/// The connections of a process to and from its peers.
pub struct Peers {
    local_address: SocketAddr,
    senders: RefCell<HashMap<SocketAddr, FrameSender>>,
    /// Bytes of the frames that are queued for all peers.
    queued_bytes: Rc<Cell<usize>>,
    on_unreachable: RefCell<Option<UnreachableHandler>>,
    faults: Rc<Faults>,
    sent_bytes: Cell<u64>,
    received_bytes: Cell<u64>,
    dropped_frames: Cell<u64>,
}

impl Peers {
    /// Without connections yet; `local_address` is where this process listens for its peers.
    pub fn new(local_address: SocketAddr) -> Rc<Self> {
        Rc::new(Peers {
            local_address,
            senders: RefCell::default(),
            queued_bytes: Rc::default(),
            on_unreachable: RefCell::default(),
            faults: Rc::default(),
            sent_bytes: Cell::new(0),
            received_bytes: Cell::new(0),
            dropped_frames: Cell::new(0),
        })
    }

    /// The network partitions of drills.
    pub fn faults(&self) -> &Rc<Faults> {
        &self.faults
    }

    /// Sets who is told of peers that cannot be reached.
    pub fn on_unreachable(&self, handler: UnreachableHandler) {
        *self.on_unreachable.borrow_mut() = Some(handler);
    }

    /// Queues a frame for a peer; it is dropped where too much waits for that peer already, or for all of them.
    pub fn send(self: &Rc<Self>, to: SocketAddr, frame: Frame) {
        let mut senders = self.senders.borrow_mut();
        let sender = senders.entry(to).or_insert_with(|| {
            let (sender, queue) = outgoing::frame_queue(&self.queued_bytes);
            spawn_local(self.clone().run_sender(to, queue));
            sender
        });
        if !sender.try_send(frame) {
            self.dropped_frames.update(|n| n + 1);
        }
    }

    /// Frames that were dropped since the process began because too much waited.
    pub fn dropped_frames(&self) -> u64 {
        self.dropped_frames.get()
    }

    /// Bytes of the frames that are queued for all peers.
    pub fn queued_bytes(&self) -> usize {
        self.queued_bytes.get()
    }

    /// The metrics as (name, value).
    pub(crate) fn metrics(&self) -> Vec<(String, f64)> {
        vec![
            ("peer_bytes_sent".to_owned(), self.sent_bytes.get() as f64),
            ("peer_bytes_taken".to_owned(), self.received_bytes.get() as f64),
            ("peer_frames_dropped".to_owned(), self.dropped_frames.get() as f64),
        ]
    }

    /// Accepts connections of peers, and never returns.
    pub async fn listen(self: Rc<Self>, listener: TcpListener, handler: FrameHandler) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let (peers, handler) = (self.clone(), handler.clone());
                    spawn_local(async move {
                        let _ = peers.receive_frames(stream, handler).await;
                    });
                }
                Err(_) => sleep(ACCEPT_BACKOFF).await,
            }
        }
    }

    /// Receives the frames of one connection until it ends.
    async fn receive_frames(&self, mut stream: TcpStream, handler: FrameHandler) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_TIME)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_RETRIES);
        SockRef::from(&stream).set_tcp_keepalive(&keepalive)?;
        let mut preamble = [0; PREAMBLE_BYTES];
        timeout(UNRESPONSIVE_TIMEOUT, stream.read_exact(&mut preamble)).await??;
        let from = decode_preamble(&preamble)?;
        let mut buffer = BytesMut::new();
        loop {
            while let Some(payload) = decode_frame(&mut buffer)? {
                handler(from, payload);
            }
            buffer.reserve(READ_BYTES);
            let read = tokio::select! {
                read = stream.read_buf(&mut buffer) => read?,
                () = self.faults.wait_for_reset() => return Err(io::ErrorKind::ConnectionReset.into()),
            };
            wait_while_isolated(|| self.faults.may_receive(from)).await?;
            if read == 0 {
                return Ok(());
            }
            self.received_bytes.update(|n| n + read as u64);
        }
    }
}

/// Appends what a connection begins with.
fn encode_preamble(local_address: SocketAddr, out: &mut BytesMut) {
    out.put_slice(&MAGIC);
    if let SocketAddr::V4(address) = local_address {
        out.put_slice(&address.ip().octets());
        out.put_u16_le(address.port());
    }
}

/// The address where the sender of a connection listens for its peers.
fn decode_preamble(preamble: &[u8; PREAMBLE_BYTES]) -> io::Result<SocketAddr> {
    let Some(mut address) = preamble.strip_prefix(&MAGIC) else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    let ip = [address.get_u8(), address.get_u8(), address.get_u8(), address.get_u8()];
    Ok(SocketAddr::from((ip, address.get_u16_le())))
}

/// Waits while a drill isolates a peer, for as long as a connection lives without an acknowledgement.
async fn wait_while_isolated(is_open: impl Fn() -> bool) -> io::Result<()> {
    let mut waited = Duration::ZERO;
    while !is_open() {
        if waited >= UNRESPONSIVE_TIMEOUT {
            return Err(io::ErrorKind::TimedOut.into());
        }
        sleep(faults::POLL_INTERVAL).await;
        waited += faults::POLL_INTERVAL;
    }
    Ok(())
}
