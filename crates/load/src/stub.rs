//! Stand-in workers and a list of them, so that a dispatcher can be tried without a fleet. They keep account of what ran.

use std::cell::{Cell, RefCell};
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

/// A task that came to a stand-in worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub worker: usize,
    /// The path, which names the workload.
    pub path: String,
    /// The first bytes of the body: of a task of the driver's the fingerprint, the same in each of its tries.
    pub mark: String,
    /// As its dispatcher's client called it: the same in each assignment of one task.
    pub id: String,
    pub came: Instant,
    /// It was not begun.
    pub turned_away: bool,
    /// When it ended, whoever still waited for it.
    pub ended: Option<Instant>,
}

/// Stand-ins that serve as long as their `LocalSet` runs.
pub struct Stub {
    pub list: SocketAddr,
    /// The list's line on the workers.
    pub known: String,
    pub workers: Vec<SocketAddr>,
    runs: Rc<RefCell<Vec<Run>>>,
    connections: Rc<Cell<u64>>,
}

/// So much of a body is kept.
const MARK: usize = 32;

impl Stub {
    /// Workers at these addresses, each taking `work` for each task, and a list that names them in turns in the zones. Each turns
    /// away every task of that number, where it is not 0.
    ///
    /// # Errors
    /// Where an address cannot be had.
    pub async fn start(
        workers: &[String],
        list: &str,
        work: Duration,
        zones: &[String],
        turned_away: usize,
    ) -> Result<Self> {
        let lists = TcpListener::bind(list).await.with_context(|| format!("cannot listen on {list}"))?;
        let (runs, connections) = (Rc::<RefCell<Vec<Run>>>::default(), Rc::<Cell<u64>>::default());
        let (mut entries, mut places) = (Vec::new(), Vec::new());
        for (nth, at) in workers.iter().enumerate() {
            let listener = TcpListener::bind(at).await.with_context(|| format!("cannot listen on {at}"))?;
            let at = listener.local_addr()?;
            let name = if workers.len() == 1 { "stub".to_owned() } else { format!("stub{nth}") };
            entries.push(
                serde_json::json!({"uid": name, "endpoint": at.to_string(), "az": zones[nth % zones.len()],
                "model": "plain", "pod_group": 0, "state": "in_service", "capacity_hint": 1.0, "boot_ms": 0}),
            );
            places.push(at);
            let (runs, connections) = (runs.clone(), connections.clone());
            let come = Rc::new(Cell::new(0));
            spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    connections.update(|n| n + 1);
                    // Two small writes for each task: the second must not wait for the first's acknowledgement.
                    let _ = stream.set_nodelay(true);
                    let (runs, come) = (runs.clone(), come.clone());
                    spawn_local(async move {
                        let turn = (&*come, turned_away);
                        while_open(stream, work, nth, turn, &runs).await.unwrap_or_default();
                    });
                }
            });
        }
        let known = serde_json::json!({"rev": 1, "all": true, "targets": entries}).to_string();
        let (line, list) = (known.clone(), lists.local_addr()?);
        spawn_local(async move {
            while let Ok((stream, _)) = lists.accept().await {
                let line = line.clone();
                spawn_local(async move { watched(stream, line).await.unwrap_or_default() });
            }
        });
        Ok(Stub { list, known, workers: places, runs, connections })
    }

    /// All that came, in the order of its coming.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.borrow().clone()
    }

    /// Connections that dispatchers opened to the workers.
    pub fn connections(&self) -> u64 {
        self.connections.get()
    }
}

/// Serves as a worker that takes `work` for each task, and as a list that names it; says where, and the list's line on it.
pub async fn run(worker: &str, list: &str, work: Duration) -> Result<()> {
    let serve = async {
        let stub = Stub::start(&[worker.to_owned()], list, work, &["north".to_owned()], 0).await?;
        println!("worker {}, list {}; known: {}", stub.workers[0], stub.list, stub.known);
        pending().await
    };
    LocalSet::new().run_until(serve).await
}

/// A request's head, and its body, which is read; nothing at the connection's end.
async fn request(from: &mut BufReader<TcpStream>) -> Option<(String, Vec<u8>)> {
    let (mut head, mut length) = (String::new(), 0);
    while !head.ends_with("\r\n\r\n") {
        let had = head.len();
        from.read_line(&mut head).await.ok().filter(|n| *n > 0 && had < 8192)?;
        let line = head[had..].to_ascii_lowercase();
        length = line.strip_prefix("content-length:").map_or(Some(length), |l| l.trim().parse().ok())?;
    }
    let mut body = vec![0; Some(length).filter(|n| *n <= 64 << 10)?];
    from.read_exact(&mut body).await.ok()?;
    Some((head, body))
}

/// The head of an answer that goes on in chunks.
const OPENING: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// An answer that turns a task away.
const AWAY: &str = "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

async fn while_open(
    stream: TcpStream,
    work: Duration,
    worker: usize,
    (come, turned_away): (&Cell<usize>, usize),
    runs: &RefCell<Vec<Run>>,
) -> Option<()> {
    let mut stream = BufReader::new(stream);
    loop {
        let (head, body) = request(&mut stream).await?;
        let path = head.split(' ').nth(1)?.trim_start_matches('/').to_owned();
        let mark = String::from_utf8_lossy(&body[..body.len().min(MARK)]).into_owned();
        let id = head
            .lines()
            .find_map(|l| l.to_ascii_lowercase().strip_prefix("x-call-id:").map(|i| i.trim().to_owned()))?;
        come.update(|n| n + 1);
        let away = turned_away > 0 && come.get().is_multiple_of(turned_away);
        let (came, number) = (Instant::now(), runs.borrow().len());
        let ended = away.then_some(came);
        runs.borrow_mut().push(Run { worker, path, mark, id: id.clone(), came, turned_away: away, ended });
        if away {
            stream.write_all(AWAY.as_bytes()).await.ok()?;
            continue;
        }
        let over = || runs.borrow_mut()[number].ended = Some(Instant::now());
        let line = |state: &str| chunk(&format!("{{\"id\":\"{id}\",\"from\":\"stub\",{state}}}\n"));
        // What has begun runs to its end, also where nobody waits for it any more.
        let began = stream.write_all(format!("{OPENING}{}", line("\"state\":\"started\"")).as_bytes()).await;
        sleep(work).await;
        over();
        began.ok()?;
        let at = SystemTime::now().duration_since(UNIX_EPOCH).ok()?.as_millis();
        let last = line(&format!("\"state\":\"done\",\"result\":\"at {at}\""));
        stream.write_all(format!("{last}0\r\n\r\n").as_bytes()).await.ok()?;
    }
}

async fn watched(stream: TcpStream, line: String) -> Option<()> {
    let mut stream = BufReader::new(stream);
    request(&mut stream).await?;
    stream.write_all(format!("{OPENING}{}", chunk(&format!("{line}\n"))).as_bytes()).await.ok()?;
    loop {
        sleep(Duration::from_secs(2)).await;
        stream.write_all(chunk("\n").as_bytes()).await.ok()?;
    }
}
