//! What a link does beyond one whole message at a time.

use std::cell::Cell;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use rainlug_transport::{Body, Bounds, End, Link, Messages, Piece, Pool, Sizes, head};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::codec::Decoder;

const SIZES: Sizes = Sizes { head: 1 << 10, body: 1 << 10, buffer: 2 << 10 };

/// A link that was connected, and the plain socket at its other end.
async fn ends() -> (Link, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (room, pool) = (Bounds::within(1024, 64 << 20, SIZES, false).workers, Pool::within(64 << 20, SIZES));
    let (to, until) = (listener.local_addr().unwrap(), Instant::now() + Duration::from_secs(20));
    let link = Link::connect(to, until, head::answer_body, &pool, room.seat().unwrap()).await.unwrap();
    (link, listener.accept().await.unwrap().0)
}

#[tokio::test]
async fn parts_are_written_in_order_and_counted() {
    let (mut link, mut peer) = ends().await;
    let parts: Vec<Vec<u8>> = (0..20u8).map(|n| vec![b'a' + n; usize::from(n) * 10_000]).collect();
    let slices: Vec<&[u8]> = parts.iter().map(|part| &part[..]).collect();
    let (written, all) = (Cell::new(0), parts.concat());
    let mut came = vec![0; all.len()];
    let (sent, read) = tokio::join!(link.write(&slices, &written), peer.read_exact(&mut came));
    assert!(sent == Ok(()) && read.is_ok() && written.get() == all.len() && came == all);
    peer.set_zero_linger().unwrap();
    drop(peer);
    sleep(Duration::from_millis(10)).await;
    let more = vec![0; 64 << 20];
    assert_eq!(link.write(&[&more], &Cell::new(0)).await, Err(End::Unwritten));
}

#[tokio::test]
async fn a_body_comes_in_parts_where_that_is_wanted() {
    let (mut link, mut peer) = ends().await;
    link.in_parts();
    let body = vec![b'x'; 50_000];
    let sends = async {
        peer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n").await.unwrap();
        for part in body.chunks(7000) {
            peer.write_all(part).await.unwrap();
        }
    };
    let reads = async {
        assert!(matches!(link.next().await, Ok(Piece::Head(_))));
        let (mut came, mut parts) = (BytesMut::new(), 0);
        loop {
            match link.next().await.unwrap() {
                Piece::Body(part) => (came.extend_from_slice(&part), parts += 1).1,
                Piece::Last => return (came, parts),
                Piece::Head(_) => panic!("a second head"),
            }
        }
    };
    let ((), (came, parts)) = tokio::join!(sends, reads);
    assert!(came == body && parts > 1);
    assert!(link.sound() && link.untouched());
    peer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhal").await.unwrap();
    assert!(matches!(link.next().await, Ok(Piece::Head(_))));
    assert_eq!(link.next().await, Ok(Piece::Body(Bytes::from_static(b"hal"))));
    drop(peer);
    assert_eq!(link.next().await, Err(End::Broken));
}

#[tokio::test]
async fn a_connection_is_sound_until_its_peer_ends_it_or_speaks() {
    for speaks in [false, true] {
        let (mut link, mut peer) = ends().await;
        assert!(link.sound());
        if speaks {
            peer.write_all(b"x").await.unwrap();
        } else {
            peer.shutdown().await.unwrap();
        }
        std::thread::sleep(Duration::from_millis(10));
        assert!(!link.sound(), "the process has not been told yet, but the system knows");
    }
}

#[tokio::test]
async fn who_parts_waits_for_the_peer_but_not_once_more_has_come() {
    let (mut link, mut peer) = ends().await;
    let crossed = Duration::from_millis(50);
    assert!(timeout(Duration::from_millis(200), link.part(crossed)).await.is_err());
    assert_eq!(peer.read(&mut [0]).await.unwrap(), 0);
    peer.write_all(b"crosses").await.unwrap();
    timeout(Duration::from_secs(5), link.part(crossed)).await.unwrap();
}

#[test]
fn an_answer_to_a_question_for_the_head_alone_has_no_body() {
    let mut codec = Messages::new(head::answer_body, SIZES);
    let mut bytes = BytesMut::from(
        &b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"[..],
    );
    codec.bodiless(true);
    assert!(matches!(codec.decode(&mut bytes), Ok(Some(Piece::Head(_)))));
    assert_eq!(codec.decode(&mut bytes), Ok(Some(Piece::Last)));
    codec.bodiless(false);
    assert!(matches!(codec.decode(&mut bytes), Ok(Some(Piece::Head(_)))));
    assert_eq!(codec.decode(&mut bytes), Ok(Some(Piece::Body(Bytes::from_static(b"ok")))));
}

#[test]
fn sizes_bound_heads_and_whole_bodies() {
    let answer = |fields: &str| BytesMut::from(&format!("HTTP/1.1 200 OK\r\n{fields}\r\n\r\n")[..]);
    let mut codec = Messages::new(head::answer_body, SIZES);
    assert_eq!(codec.decode(&mut answer("Content-Length: 1025")), Err(End::TooLarge));
    let mut codec = Messages::new(head::answer_body, SIZES);
    codec.resize(Sizes { body: 1025, ..SIZES });
    assert!(matches!(codec.decode(&mut answer("Content-Length: 1025")), Ok(Some(Piece::Head(_)))));
    let long = format!("X: {}", "y".repeat(1100));
    let mut codec = Messages::new(head::answer_body, SIZES);
    assert_eq!(codec.decode(&mut answer(&long)), Err(End::TooLarge));
    let mut codec = Messages::new(head::answer_body, SIZES);
    codec.resize(Sizes { head: 2 << 10, ..SIZES });
    assert!(matches!(codec.decode(&mut answer(&long)), Ok(Some(Piece::Head(_)))));
    assert_eq!(
        head::answer_body(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
        Ok(Body::Chunked)
    );
}
