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

/// Two processes' lines: the sender, where the other one listens and its lines, and what that has heard.
async fn pair() -> (Rc<Peers>, SocketAddr, Rc<Peers>, mpsc::UnboundedReceiver<Bytes>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let to = listener.local_addr().unwrap();
    let (tell, told) = mpsc::unbounded_channel();
    let taken = Rc::new(move |_, bytes: Bytes| {
        let _ = tell.send(bytes);
    });
    let hears = Peers::new(to);
    spawn_local(hears.clone().listen(listener, taken));
    (Peers::new(me()), to, hears, told)
}

fn me() -> SocketAddr {
    "127.0.0.1:9".parse().unwrap()
}

fn send(peers: &Rc<Peers>, to: SocketAddr, text: &'static str) {
    peers.send(to, Frame { head: Bytes::from_static(text.as_bytes()), tail: Bytes::new() });
}

#[test]
fn a_file_says_to_whom_and_from_whom_nothing_passes() {
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
fn frames_wait_out_a_short_cut_at_either_side() {
    run(async {
        let (peers, to, hears, mut told) = pair().await;
        send(&peers, to, "first");
        assert_eq!(told.recv().await.unwrap(), "first");
        peers.faults().apply(&format!("to {to}"));
        send(&peers, to, "second");
        assert!(timeout(QUIET, told.recv()).await.is_err());
        peers.faults().apply("");
        assert_eq!(told.recv().await.unwrap(), "second");
        hears.faults().apply(&format!("from {}", me()));
        send(&peers, to, "third");
        assert!(timeout(QUIET, told.recv()).await.is_err());
        hears.faults().apply("");
        assert_eq!(told.recv().await.unwrap(), "third");
    });
}

#[test]
fn a_long_cut_and_a_reset_break_the_connection_and_a_new_one_is_made() {
    run(async {
        let (peers, to, _hears, mut told) = pair().await;
        let (broke, mut broken) = mpsc::unbounded_channel();
        peers.on_unreachable(Rc::new(move |at| {
            let _ = broke.send(at);
        }));
        send(&peers, to, "first");
        assert_eq!(told.recv().await.unwrap(), "first");
        peers.faults().apply(&format!("reset 0\nto {to}"));
        send(&peers, to, "second");
        assert_eq!(broken.recv().await.unwrap(), to, "after the time without an acknowledgement");
        peers.faults().apply("reset 0");
        sleep(QUIET).await;
        send(&peers, to, "third");
        assert_eq!(told.recv().await.unwrap(), "third", "what was on its way is lost");
        peers.faults().apply("reset 1");
        assert_eq!(broken.recv().await.unwrap(), to);
        send(&peers, to, "fourth");
        assert_eq!(told.recv().await.unwrap(), "fourth");
    });
}
