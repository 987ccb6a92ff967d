//! What has come on a socket, asked of the system: the runtime knows only of what came before it last looked.

use std::io::ErrorKind;
use std::mem::MaybeUninit;

use socket2::SockRef;
use tokio::net::TcpStream;

/// Whether there is something to read on a connection, be it its end.
pub fn has_input(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
}
