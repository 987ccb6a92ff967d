//! The lines between processes, when one of them ends in the middle of a frame and another comes at its address.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use rainlug_tier::peers::{Frame, Peers, decode_frame};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// Mark and address, which a connection begins with.
const HELLO: usize = 10;
/// Frames of different sizes: small ones go together, tails of large ones by themselves.
const SIZES: [usize; 4] = [10, 20_000, 300, 200_000];

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async { timeout(Duration::from_secs(15), test).await.unwrap() });
}

fn frame(number: u64) -> Frame {
    let mut head = BytesMut::new();
    head.put_u64_le(number);
    let size = SIZES[number as usize % SIZES.len()];
    Frame { head: head.freeze(), tail: Bytes::from(vec![number as u8; size]) }
}

/// The number of a frame that is whole and as it was sent.
fn number_of(bytes: &[u8]) -> u64 {
    let number = u64::from_le_bytes(bytes[..8].try_into().unwrap());
    let Frame { head, tail } = frame(number);
    assert_eq!(bytes, [&head[..], &tail[..]].concat(), "{number}");
    number
}

/// Whole frames out of so many bytes of a connection; it is then reset.
async fn some_of(mut stream: TcpStream, most: usize) -> Vec<u64> {
    let mut buffer = BytesMut::new();
    let mut received_bytes = 0;
    while received_bytes < most {
        let read = timeout(Duration::from_millis(300), stream.read_buf(&mut buffer)).await;
        let Ok(Ok(read @ 1..)) = read else { break };
        received_bytes += read;
    }
    stream.set_zero_linger().unwrap();
    let mut frames = buffer.split_off(HELLO);
    let mut numbers = Vec::new();
    while let Some(bytes) = decode_frame(&mut frames).unwrap() {
        numbers.push(number_of(&bytes));
    }
    numbers
}

#[test]
fn given_broken_connections_when_frames_are_sent_then_each_arrives_complete_and_at_most_once() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let to = listener.local_addr().unwrap();
        let me: SocketAddr = "127.0.0.1:9".parse().unwrap();
        let peers = Peers::new(me);
        let sender = peers.clone();
        spawn_local(async move {
            for number in 0.. {
                sender.send(to, frame(number));
                sleep(Duration::from_millis(1)).await;
            }
        });
        let mut all = Vec::new();
        for most in [15, 1000, 150_000, 400_000, 700_000] {
            let (stream, _) = listener.accept().await.unwrap();
            all.extend(some_of(stream, most).await);
        }
        assert!(all.len() > 3, "{all:?}");
        assert!(all.is_sorted_by(|a, b| a < b), "one came twice, or late: {all:?}");
    });
}

#[test]
fn given_frames_when_received_then_they_come_with_the_senders_listening_address() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let to = listener.local_addr().unwrap();
        let me: SocketAddr = "127.0.0.1:9".parse().unwrap();
        let (channel, mut received) = tokio::sync::mpsc::unbounded_channel();
        let handler = Rc::new(move |from, bytes: Bytes| {
            let _ = channel.send((from, number_of(&bytes)));
        });
        spawn_local(Peers::new(to).listen(listener, handler));
        let peers = Peers::new(me);
        for number in 0..4 {
            peers.send(to, frame(number));
        }
        for number in 0..4 {
            assert_eq!(received.recv().await.unwrap(), (me, number));
        }
    });
}

#[test]
fn given_the_longest_frame_when_sent_beside_others_then_none_is_dropped() {
    const LONGEST: usize = 16 << 20;
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let to = listener.local_addr().unwrap();
        let lengths = Rc::new(std::cell::RefCell::new(Vec::new()));
        let recorded = lengths.clone();
        let receiver = Peers::new(to);
        spawn_local(receiver.listen(
            listener,
            Rc::new(move |_: SocketAddr, bytes: Bytes| recorded.borrow_mut().push(bytes.len())),
        ));
        let sending = Peers::new("127.0.0.1:1".parse().unwrap());
        for length in [100_000, LONGEST - 8, 100_000] {
            sending.send(to, Frame { head: Bytes::from_static(&[0; 8]), tail: Bytes::from(vec![1; length]) });
        }
        while lengths.borrow().len() < 3 {
            sleep(Duration::from_millis(5)).await;
            assert_eq!(sending.dropped_frames(), 0);
        }
        assert_eq!(*lengths.borrow(), [100_008, LONGEST, 100_008]);
    });
}

/// What may be queued for all peers together.
const MOST_QUEUED: usize = 32 << 20;

#[test]
fn given_many_peers_that_do_not_read_when_large_frames_are_sent_then_they_are_bounded_together_and_small_ones_pass()
 {
    run(async {
        let peers = Peers::new("127.0.0.1:9".parse().unwrap());
        let mut silent = Vec::new();
        for _ in 0..12 {
            silent.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
        }
        let large = Bytes::from(vec![1; 4 << 20]);
        for _ in 0..4 {
            for peer in &silent {
                let to = peer.local_addr().unwrap();
                peers.send(to, Frame { head: Bytes::from_static(b"large"), tail: large.clone() });
            }
            sleep(Duration::from_millis(20)).await;
        }
        let queued = peers.queued_bytes();
        assert!(queued <= MOST_QUEUED && queued > MOST_QUEUED / 2, "{queued}");
        assert!(peers.dropped_frames() > 0);
        // Another peer reads, and gets what is small at once.
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (to, dropped) = (listener.local_addr().unwrap(), peers.dropped_frames());
        for number in [0, 2, 4] {
            peers.send(to, frame(number));
        }
        assert_eq!(peers.dropped_frames(), dropped);
        let (stream, _) = listener.accept().await.unwrap();
        assert_eq!(some_of(stream, 10_000).await, [0, 2, 4]);
        // As connections to the silent ones break there is room again.
        drop(silent);
        while peers.queued_bytes() > MOST_QUEUED / 4 {
            sleep(Duration::from_millis(50)).await;
        }
        let dropped = peers.dropped_frames();
        peers.send(to, Frame { head: Bytes::from_static(b"large"), tail: large });
        assert_eq!(peers.dropped_frames(), dropped);
    });
}
