//! A worker on sockets: what it promises, and its word to the tier.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rainlug_sim_worker::client::{self, Ask, Response as Answered};
use rainlug_sim_worker::engine::Shape;
use rainlug_sim_worker::{SimWorker, WorkerSettings, beat_addr};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

const LONG: Duration = Duration::from_secs(20);

/// Somebody who is told of workers: every call, and what is answered.
async fn control(answer: &'static str) -> (SocketAddr, Rc<RefCell<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (at, calls) = (listener.local_addr().unwrap(), Rc::new(RefCell::new(Vec::new())));
    let heard = calls.clone();
    spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut bytes = vec![0; 4096];
            let mut length = 0;
            // Its calls are short and come in one or two pieces.
            while let Ok(Ok(more @ 1..)) =
                timeout(Duration::from_millis(100), stream.read(&mut bytes[length..])).await
            {
                length += more;
            }
            heard.borrow_mut().push(String::from_utf8_lossy(&bytes[..length]).into_owned());
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    (at, calls)
}

struct Running {
    at: SocketAddr,
    stop: oneshot::Sender<()>,
    ended: JoinHandle<()>,
}

async fn worker(controls: Vec<SocketAddr>, shape: Shape) -> Running {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    let told = WorkerSettings {
        id: "w-1".to_owned(),
        service: "model".to_owned(),
        zone: "north".to_owned(),
        at,
        controls,
        beat: Duration::from_millis(200),
        drain: Duration::from_millis(300),
        max_conns: 64,
        health_path: "/liveness".to_owned(),
        shape,
    };
    let (stop, stopped) = oneshot::channel();
    let ended = spawn_local(SimWorker::serve(told, listener, async {
        let _ = stopped.await;
    }));
    Running { at, stop, ended }
}

async fn post(at: SocketAddr, fields: &[(&str, &str)]) -> Result<Answered, client::Error> {
    client::call(at, Ask { method: "POST", path: "/c/1", fields, body: b"hello" }, LONG).await
}

async fn until(what: &str, holds: impl Fn() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < LONG, "{what}");
        sleep(Duration::from_millis(20)).await;
    }
}

const ID: (&str, &str) = ("X-Rainlug-Attempt-Id", "a1");
const COUNT: (&str, &str) = ("X-Rainlug-Token-Count", "10,6");

#[tokio::test]
async fn streams_have_rising_ids_and_go_on_anywhere() {
    LocalSet::new()
        .run_until(async {
            let (one, two) = (worker(vec![], Shape::default()).await, worker(vec![], Shape::default()).await);
            let whole = post(one.at, &[ID, COUNT]).await.unwrap();
            let text = String::from_utf8(whole.body.to_vec()).unwrap();
            let ids: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("id: ")).collect();
            assert_eq!((whole.status, ids), (200, vec!["1", "2", "3", "4", "5", "6"]));
            let rest = post(two.at, &[ID, COUNT, ("Last-Event-Id", "4")]).await.unwrap();
            let rest = String::from_utf8(rest.body.to_vec()).unwrap();
            assert!(rest.starts_with("id: 5\n") && text.ends_with(&rest));
        })
        .await;
}

#[tokio::test]
async fn what_it_does_not_run_it_says_so() {
    LocalSet::new()
        .run_until(async {
            let slow = Shape { slots: 1, queue: 1, step: 1_000_000, ..Shape::default() };
            let at = worker(vec![], slow).await.at;
            let status = async |fields: &[(&str, &str)]| post(at, fields).await.unwrap().status;
            assert_eq!(status(&[]).await, 400);
            assert_eq!(status(&[ID, ("X-Rainlug-Target-Instance", "w-2")]).await, 421);
            assert_eq!(status(&[ID, ("Expect-Version", "2")]).await, 421);
            assert_eq!(status(&[ID, ("X-Rainlug-Token-Count", "60000,1")]).await, 503);
            // Of four at once, one runs, one waits, and there is no room for the others.
            let fields = [ID, ("X-Rainlug-Token-Count", "0,2")];
            let (a, b, c, d) =
                tokio::join!(status(&fields), status(&fields), status(&fields), status(&fields));
            let mut all = [a, b, c, d];
            all.sort_unstable();
            assert_eq!(all, [200, 200, 503, 503]);
            assert_eq!(status(&[ID, ("X-Rainlug-Deadline-Ms", "50")]).await, 504);
            let report = client::call(at, Ask::get("/v1/report"), LONG).await.unwrap();
            let report = String::from_utf8(report.body.to_vec()).unwrap();
            assert!(
                report.contains("\"kv_total\":60000") && report.contains("\"phase\":\"both\""),
                "{report}"
            );
        })
        .await;
}

#[tokio::test]
async fn it_beats_elsewhere_when_nobody_answers_drains_and_says_goodbye() {
    LocalSet::new()
        .run_until(async {
            let dead = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
            let (at, calls) = control("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}").await;
            let running = worker(vec![dead, at], Shape::default()).await;
            let count = |what: &str| calls.borrow().iter().filter(|c| c.contains(what)).count();
            until("beats", || count("\"state\":\"ready\"") >= 2).await;
            assert!(calls.borrow()[0].starts_with("PUT /v1/workers/w-1 HTTP/1.1\r\n"));
            running.stop.send(()).unwrap();
            until("a drain", || count("\"state\":\"draining\"") >= 1).await;
            let health = client::call(running.at, Ask::get("/liveness"), LONG).await;
            assert_eq!(health.map(|h| h.status), Ok(503));
            assert_eq!(post(running.at, &[ID]).await.map(|a| a.status), Ok(200), "it serves on");
            timeout(LONG, running.ended).await.unwrap().unwrap();
            let last = calls.borrow().last().cloned().unwrap();
            assert!(last.starts_with("DELETE /v1/workers/w-1 HTTP/1.1\r\n"), "{last}");
        })
        .await;
}

#[test]
fn the_address_for_later_beats_is_read_out_of_an_acknowledgement() {
    let at = Some("10.0.0.4:8080".parse().unwrap());
    assert_eq!(beat_addr(br#"{"beat_addr":"10.0.0.4:8080"}"#), at);
    assert_eq!(beat_addr(br#"{ "x": 1, "beat_addr" : "10.0.0.4:8080" }"#), at);
    for none in
        [&b""[..], b"{}", b"{\"beat_addr\":", b"{\"beat_addr\":3}", b"{\"beat_addr\":\"here\"}", b"\xff\xfe"]
    {
        assert_eq!(beat_addr(none), None);
    }
}
