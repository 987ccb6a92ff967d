//! Passing a listening socket from one process of a dispatcher to the next.
//!
//! Closing a listening socket resets the connections that wait in its queue, and handshakes that complete meanwhile. Two
//! processes that have the same socket accept from one queue, so the end of either closes nothing.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, OwnedFd};
use std::path::Path;

use rustix::net::sockopt::socket_acceptconn;

use crate::descriptor::DescriptorInbox;

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
    descriptors: DescriptorInbox,
}

impl ListenerInbox {
    /// Opens it at that path, in place of one that an ended process left.
    ///
    /// # Errors
    ///
    /// Where the file cannot be made, or its name (without the directory) is longer than a socket's may be.
    pub fn bind(path: &Path) -> io::Result<Self> {
        Ok(ListenerInbox { descriptors: DescriptorInbox::bind(path)? })
    }

    /// The next listener at `address` that has been passed; nothing where none is waiting. Other sockets are closed.
    ///
    /// # Errors
    ///
    /// Where the inbox cannot be read.
    pub fn receive(&self, address: SocketAddr) -> io::Result<Option<TcpListener>> {
        self.descriptors.receive(|descriptor| listener_at(descriptor, address))
    }
}

/// The socket, if it listens for TCP connections at that address.
fn listener_at(descriptor: OwnedFd, address: SocketAddr) -> Option<TcpListener> {
    let listens = socket_acceptconn(&descriptor).unwrap_or(false);
    let listener = TcpListener::from(descriptor);
    (listens && listener.local_addr().is_ok_and(|local| local == address)).then_some(listener)
}
