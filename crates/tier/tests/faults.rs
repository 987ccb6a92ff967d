//! Cuts for drills: what a fault file says, and that frames to and from a peer that is cut off do not pass.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rainlug_tier::faults::Faults;
use rainlug_tier::peers::{Frame, Peers};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// Long enough for a frame to have come, had it passed.
const QUIET: Duration = Duration::from_millis(400);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async { timeout(Duration::from_secs(15), test).await.unwrap() });
}

/// Two processes: the sender, where the receiver listens, the receiver, and the frames that it has received.
async fn pair() -> (Rc<Peers>, SocketAddr, Rc<Peers>, mpsc::UnboundedReceiver<Bytes>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let to = listener.local_addr().unwrap();
    let (sender, received) = mpsc::unbounded_channel();
    let handler = Rc::new(move |_, bytes: Bytes| {
        let _ = sender.send(bytes);
    });
    let receiver = Peers::new(to);
    spawn_local(receiver.clone().listen(listener, handler));
    (Peers::new(me()), to, receiver, received)
}

fn me() -> SocketAddr {
    "127.0.0.1:9".parse().unwrap()
}

fn send(peers: &Rc<Peers>, to: SocketAddr, text: &'static str) {
    peers.send(to, Frame { head: Bytes::from_static(text.as_bytes()), tail: Bytes::new() });
}

#[test]
fn given_a_fault_file_when_applied_then_sending_and_receiving_are_blocked_by_address() {
    let (other, third): (SocketAddr, SocketAddr) =
        ("127.0.0.2:7".parse().unwrap(), "127.0.0.3:7".parse().unwrap());
    let faults = Faults::default();
    assert!(faults.may_send(other) && faults.may_receive(other), "nothing is in the way by itself");
    faults.apply("to 127.0.0.2:7\nfrom 127.0.0.3:7\nto nobody\nnonsense\nreset x\n");
    assert!(!faults.may_send(other) && faults.may_receive(other));
    assert!(faults.may_send(third) && !faults.may_receive(third));
    faults.apply("");
    assert!(faults.may_send(other) && faults.may_receive(third));
}

#[test]
fn given_a_short_partition_at_either_side_when_it_heals_then_frames_arrive() {
    run(async {
        let (peers, to, receiver, mut received) = pair().await;
        send(&peers, to, "first");
        assert_eq!(received.recv().await.unwrap(), "first");
        peers.faults().apply(&format!("to {to}"));
        send(&peers, to, "second");
        assert!(timeout(QUIET, received.recv()).await.is_err());
        peers.faults().apply("");
        assert_eq!(received.recv().await.unwrap(), "second");
        receiver.faults().apply(&format!("from {}", me()));
        send(&peers, to, "third");
        assert!(timeout(QUIET, received.recv()).await.is_err());
        receiver.faults().apply("");
        assert_eq!(received.recv().await.unwrap(), "third");
    });
}

#[test]
fn given_a_long_partition_or_a_reset_when_it_ends_then_a_new_connection_is_made() {
    run(async {
        let (peers, to, _hears, mut received) = pair().await;
        let (broke, mut broken) = mpsc::unbounded_channel();
        peers.on_unreachable(Rc::new(move |at| {
            let _ = broke.send(at);
        }));
        send(&peers, to, "first");
        assert_eq!(received.recv().await.unwrap(), "first");
        peers.faults().apply(&format!("reset 0\nto {to}"));
        send(&peers, to, "second");
        assert_eq!(broken.recv().await.unwrap(), to, "after the time without an acknowledgement");
        peers.faults().apply("reset 0");
        sleep(QUIET).await;
        send(&peers, to, "third");
        assert_eq!(received.recv().await.unwrap(), "third", "what was on its way is lost");
        peers.faults().apply("reset 1");
        assert_eq!(broken.recv().await.unwrap(), to);
        send(&peers, to, "fourth");
        assert_eq!(received.recv().await.unwrap(), "fourth");
    });
}
