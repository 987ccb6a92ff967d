//! A client and a server that ends idle connections.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;

use http_body_util::{BodyExt, Empty};
use hyper::body::Bytes;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rainlug_load::connector::EndAwareConnector;

/// Answers the next request on that connection.
fn answer(stream: &TcpStream) {
    let mut lines = BufReader::new(stream).lines().map(Result::unwrap);
    assert!(lines.any(|line| line.is_empty()), "a head");
    let mut writer = stream;
    writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
}

/// Answers one request on each of two connections. It ends the first one when it is told to, and tells when it has.
fn server(end: Receiver<()>) -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (has_ended, ended) = channel();
    thread::spawn(move || {
        let first = listener.accept().unwrap().0;
        answer(&first);
        end.recv().unwrap();
        drop(first);
        has_ended.send(()).unwrap();
        answer(&listener.accept().unwrap().0);
    });
    (address, ended)
}

/// The rig counted a task as lost where a dispatcher had ended the connection before it was sent (2026-12-03, in CI).
#[tokio::test]
async fn given_a_connection_that_ended_since_the_runtime_last_looked_when_a_request_is_sent_then_it_goes_on_another_one()
 {
    let (end, told) = channel();
    let (address, ended) = server(told);
    let client: Client<_, Empty<Bytes>> =
        Client::builder(TokioExecutor::new()).build(EndAwareConnector::new());
    let ask = || async {
        let answer = client.get(format!("http://{address}/").parse().unwrap()).await?;
        let status = answer.status();
        answer.into_body().collect().await.unwrap();
        Ok::<_, hyper_util::client::legacy::Error>(status)
    };
    assert_eq!(ask().await.unwrap(), 200);
    // The connection's task puts it back for the next request.
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    end.send(()).unwrap();
    // Blocks the runtime: it cannot look at its sockets in between.
    ended.recv().unwrap();
    assert_eq!(ask().await.unwrap(), 200);
}
