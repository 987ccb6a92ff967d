//! Connections of clients that see their end as soon as the system has it.
//!
//! The runtime knows of a connection's end only after its next look at its sockets. A request that is written before that look
//! is lost, although its client could have sent it on another connection: the HTTP client does so where it finds the end first.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::Uri;
use hyper::rt::ReadBufCursor;
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::TokioIo;
use rustix::io::Errno;
use rustix::net::{RecvFlags, recv};
use tokio::net::TcpStream;
use tower_service::Service;

type Connecting =
    Pin<Box<dyn Future<Output = Result<EndAwareStream, <HttpConnector as Service<Uri>>::Error>> + Send>>;

/// Opens TCP connections whose end is found by a system call.
#[derive(Clone)]
pub struct EndAwareConnector {
    tcp: HttpConnector,
}

impl EndAwareConnector {
    /// One that sends small messages at once.
    #[must_use]
    pub fn new() -> Self {
        let mut tcp = HttpConnector::new();
        tcp.set_nodelay(true);
        EndAwareConnector { tcp }
    }
}

impl Default for EndAwareConnector {
    fn default() -> Self {
        Self::new()
    }
}

impl Service<Uri> for EndAwareConnector {
    type Response = EndAwareStream;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Connecting;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Service::<Uri>::poll_ready(&mut self.tcp, context)
    }

    fn call(&mut self, to: Uri) -> Self::Future {
        let connecting = self.tcp.call(to);
        Box::pin(async move { Ok(EndAwareStream { tcp: connecting.await? }) })
    }
}

/// A TCP connection whose end is found by a system call.
pub struct EndAwareStream {
    tcp: TokioIo<TcpStream>,
}

impl EndAwareStream {
    /// Whether the peer has ended the connection and nothing is left to read.
    fn has_ended(&self) -> bool {
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        !matches!(recv(self.tcp.inner(), &mut [0_u8; 1][..], flags), Ok((1.., _)) | Err(Errno::WOULDBLOCK))
    }

    fn tcp(self: Pin<&mut Self>) -> Pin<&mut TokioIo<TcpStream>> {
        Pin::new(&mut self.get_mut().tcp)
    }
}

impl hyper::rt::Read for EndAwareStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        match self.as_mut().tcp().poll_read(context, buffer) {
            // Nothing is put into the buffer: the end.
            Poll::Pending if self.has_ended() => Poll::Ready(Ok(())),
            polled => polled,
        }
    }
}

impl hyper::rt::Write for EndAwareStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.tcp().poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.tcp().poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.tcp().poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.tcp().poll_write_vectored(context, parts)
    }
}

impl Connection for EndAwareStream {
    fn connected(&self) -> Connected {
        self.tcp.connected()
    }
}
