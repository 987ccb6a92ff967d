//! Passing a listening socket from one process of a dispatcher to the next, by `SCM_RIGHTS` over a Unix datagram socket in
//! the directory that they share.
//!
//! Closing a listening socket resets the connections that wait in its queue, and handshakes that complete meanwhile. Two
//! processes that have the same socket accept from one queue, so the end of either closes nothing.

use std::fs::{self, File};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, AsRawFd, OwnedFd};
use std::os::unix::net::UnixDatagram;
use std::path::{Path, PathBuf};

use rustix::net::sockopt::socket_acceptconn;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};

/// What a datagram carries beside the socket: one without data would carry no descriptor.
const PAYLOAD: [u8; 1] = [1];

/// Which socket a listener is: two descriptors of one socket have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SocketId(u64);

impl SocketId {
    /// The socket's inode.
    ///
    /// # Errors
    ///
    /// Where the descriptor cannot be asked.
    pub fn of(socket: impl AsFd) -> io::Result<Self> {
        Ok(SocketId(rustix::fs::fstat(socket)?.st_ino))
    }
}

/// Where a process receives the listening sockets that others of its dispatcher pass to it.
#[derive(Debug)]
pub struct ListenerInbox {
    socket: UnixDatagram,
}

impl ListenerInbox {
    /// Opens it at that path, in place of one that an ended process left.
    ///
    /// # Errors
    ///
    /// Where the file cannot be made, or its name (without the directory) is longer than a socket's may be.
    pub fn bind(path: &Path) -> io::Result<Self> {
        match fs::remove_file(path) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        let (_directory, short) = short_path(path)?;
        let socket = UnixDatagram::bind(short)?;
        socket.set_nonblocking(true)?;
        Ok(ListenerInbox { socket })
    }

    /// The next listener at `address` that has been passed; nothing where none is waiting. Other sockets are closed.
    ///
    /// # Errors
    ///
    /// Where the inbox cannot be read.
    pub fn receive(&self, address: SocketAddr) -> io::Result<Option<TcpListener>> {
        loop {
            match self.receive_descriptor() {
                Ok(descriptor) => {
                    let listener = descriptor.and_then(|descriptor| listener_at(descriptor, address));
                    if listener.is_some() {
                        return Ok(listener);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(error) => return Err(error),
            }
        }
    }

    /// The descriptor in the next datagram, if it has one.
    fn receive_descriptor(&self) -> io::Result<Option<OwnedFd>> {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let mut payload = PAYLOAD;
        let flags = RecvFlags::DONTWAIT | RecvFlags::CMSG_CLOEXEC;
        recvmsg(&self.socket, &mut [IoSliceMut::new(&mut payload)], &mut control, flags)?;
        let descriptors = control.drain().filter_map(|message| match message {
            RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
            _ => None,
        });
        Ok(descriptors.flatten().next())
    }
}

/// The socket, if it listens for TCP connections at that address.
fn listener_at(descriptor: OwnedFd, address: SocketAddr) -> Option<TcpListener> {
    let listens = socket_acceptconn(&descriptor).unwrap_or(false);
    let listener = TcpListener::from(descriptor);
    (listens && listener.local_addr().is_ok_and(|local| local == address)).then_some(listener)
}

/// Passes a listener to the process whose inbox is at that path.
///
/// # Errors
///
/// Where nobody has an inbox there, or it is full.
pub fn pass_listener(listener: impl AsFd, inbox: &Path) -> io::Result<()> {
    let socket = UnixDatagram::unbound()?;
    let (_directory, short) = short_path(inbox)?;
    socket.connect(short)?;
    let descriptors = [listener.as_fd()];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    control.push(SendAncillaryMessage::ScmRights(&descriptors));
    sendmsg(&socket, &[IoSlice::new(&PAYLOAD)], &mut control, SendFlags::DONTWAIT)?;
    Ok(())
}

/// A path to the same file through its open directory: a socket's path has 107 bytes at most. It holds while the
/// directory is open.
fn short_path(path: &Path) -> io::Result<(File, PathBuf)> {
    let (Some(directory), Some(name)) = (path.parent(), path.file_name()) else {
        return Err(io::ErrorKind::InvalidInput.into());
    };
    let directory = File::open(directory)?;
    let short = Path::new("/proc/self/fd").join(directory.as_raw_fd().to_string()).join(name);
    Ok((directory, short))
}
