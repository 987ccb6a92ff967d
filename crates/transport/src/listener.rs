//! The end of a listening socket.

use std::iter;

use tokio::net::{TcpListener, TcpStream};

/// Closes a listener; gives the connections that stood in its queue, which would be reset with it.
///
/// The queue is read by system calls: the runtime knows only of connections that came before it last looked at its sockets.
/// A handshake that completes between the last look into the queue and the close is reset all the same.
pub fn close_listener(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else { return Vec::new() };
    let next = || {
        let (stream, _) = listener.accept()?;
        stream.set_nonblocking(true)?;
        TcpStream::from_std(stream)
    };
    iter::from_fn(|| next().ok()).collect()
}
