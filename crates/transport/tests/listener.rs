//! The end of a listening socket.

use std::future::poll_fn;
use std::net::TcpStream;
use std::task::Poll;

use rainlug_transport::close_listener;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Such connections were reset: an accept of the runtime found nothing, as it had not looked since.
#[tokio::test]
async fn given_connections_that_the_runtime_has_not_seen_when_the_listener_is_closed_then_all_are_given() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    // From here on the runtime takes the queue for empty until it looks at its sockets again.
    let is_empty = poll_fn(|context| Poll::Ready(listener.poll_accept(context).is_pending()));
    assert!(is_empty.await);
    let mut clients: Vec<TcpStream> = (0..3).map(|_| TcpStream::connect(at).unwrap()).collect();
    let waiting = close_listener(listener);
    assert_eq!(waiting.len(), 3);
    for (stream, client) in waiting.into_iter().zip(clients.drain(..)) {
        client.set_nonblocking(true).unwrap();
        let (mut stream, mut client) = (stream, tokio::net::TcpStream::from_std(client).unwrap());
        stream.write_all(b"x").await.unwrap();
        client.read_exact(&mut [0]).await.unwrap();
    }
    assert!(TcpStream::connect(at).is_err());
}

#[tokio::test]
async fn given_nobody_when_the_listener_is_closed_then_there_is_nobody() {
    assert!(close_listener(TcpListener::bind("127.0.0.1:0").await.unwrap()).is_empty());
}
