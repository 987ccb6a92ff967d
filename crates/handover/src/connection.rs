//! Passing idle connections of clients from a process of a dispatcher that stops to the one that goes on.
//!
//! A server that closes an idle connection cannot know whether a request is on its way: HTTP/1.1 has no word for that (RFC
//! 9112, section 9.6). A connection that is passed on is not closed, and what is on its way is read by the other process.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixDatagram;
use std::path::Path;

use rustix::net::sockopt::socket_acceptconn;

use crate::descriptor::DescriptorInbox;

/// Where a process receives the connections that others of its dispatcher pass to it.
#[derive(Debug)]
pub struct ConnectionInbox {
    descriptors: DescriptorInbox,
}

impl ConnectionInbox {
    /// Opens it at that path, in place of one that an ended process left.
    ///
    /// # Errors
    ///
    /// Where the file cannot be made, or its name (without the directory) is longer than a socket's may be.
    pub fn bind(path: &Path) -> io::Result<Self> {
        Ok(ConnectionInbox { descriptors: DescriptorInbox::bind(path)? })
    }

    /// The next connection to `address` that has been passed; nothing where none is waiting. Other descriptors are closed.
    ///
    /// # Errors
    ///
    /// Where the inbox cannot be read.
    pub fn receive(&self, address: SocketAddr) -> io::Result<Option<TcpStream>> {
        self.descriptors.receive(|descriptor| connection_to(descriptor, address))
    }

    /// Another descriptor of its socket, to wait for connections by; it does not block.
    ///
    /// # Errors
    ///
    /// Where the process has no descriptor left.
    pub fn try_clone_socket(&self) -> io::Result<UnixDatagram> {
        self.descriptors.try_clone_socket()
    }

    /// Whether nothing waits in it.
    pub fn is_empty(&self) -> bool {
        self.descriptors.is_empty()
    }
}

/// The socket, if it is a TCP connection to that address. One that is bound to all addresses has the port alone in common.
fn connection_to(descriptor: OwnedFd, address: SocketAddr) -> Option<TcpStream> {
    let listens = socket_acceptconn(&descriptor).unwrap_or(true);
    let connection = TcpStream::from(descriptor);
    let is_here = |local: SocketAddr| {
        local.port() == address.port() && (address.ip().is_unspecified() || local.ip() == address.ip())
    };
    (!listens && connection.local_addr().is_ok_and(is_here)).then_some(connection)
}
