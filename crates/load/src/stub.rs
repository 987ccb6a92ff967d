//! Stand-in workers and a list of them, so that a dispatcher can be tried without a fleet. They keep account of what ran, die, come
//! back cold and are drained as they are told, and so is the list: it says what changes, or falls silent.

use std::cell::{Cell, RefCell};
use std::future::pending;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

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
    /// When it began: where all slots are taken, it waits.
    pub began: Option<Instant>,
    /// When it ended, whoever still waited for it, or its worker died.
    pub ended: Option<Instant>,
}

/// How stand-in workers are.
#[derive(Clone, Debug)]
pub struct Working {
    /// Time for a task, warm.
    pub work: Duration,
    /// Tasks at once; others wait in their order. 0 is any number.
    pub slots: usize,
    /// Each turns away every task of this number; 0 is none.
    pub turned_away: usize,
    /// A worker that has just started does so much of what a warm one does, and all of it after that time.
    pub cold_from: f64,
    pub warm_within: Duration,
}

impl Working {
    /// Workers that take so long for a task, any number at once, and are always warm.
    pub fn taking(work: Duration) -> Self {
        Working { work, slots: 0, turned_away: 0, cold_from: 1.0, warm_within: Duration::ZERO }
    }

    /// The part of a warm worker's work that one does which started so long ago.
    pub fn can(&self, age: Duration) -> f64 {
        if age >= self.warm_within {
            return 1.0;
        }
        self.cold_from + (1.0 - self.cold_from) * age.as_secs_f64() / self.warm_within.as_secs_f64()
    }
}

struct Worker {
    name: String,
    zone: String,
    at: SocketAddr,
    working: Working,
    /// Counts its processes: whoever serves for an earlier one stops.
    life: watch::Sender<u64>,
    /// When its process started, if it has since this stub did.
    started: Cell<Option<Instant>>,
    boot_ms: Cell<u64>,
    come: Cell<usize>,
    slots: Semaphore,
}

/// What the list says: its changes with their numbers, the last of which counts for each worker.
struct Listing {
    said: RefCell<Vec<(u64, Value)>>,
    rev: watch::Sender<u64>,
    /// Whether it says anything.
    speaks: watch::Sender<bool>,
}

struct Stage {
    workers: Vec<Worker>,
    runs: RefCell<Vec<Run>>,
    connections: Cell<u64>,
    list: Listing,
}

/// Stand-ins that serve as long as their `LocalSet` runs.
pub struct Stub {
    pub list: SocketAddr,
    /// The list's line on the workers, at first.
    pub known: String,
    pub workers: Vec<SocketAddr>,
    stage: Rc<Stage>,
}

/// So much of a body is kept.
const MARK: usize = 32;
/// The list hears so much later that a worker has died.
const NOTICED: Duration = Duration::from_secs(1);
/// Between two tries at an address that is taken.
const AGAIN: Duration = Duration::from_millis(5);
/// An empty line comes this often while nothing changes.
const BEAT: Duration = Duration::from_secs(2);

impl Stub {
    /// Workers at these addresses, and a list that names them in turns in the zones.
    ///
    /// # Errors
    /// Where an address cannot be had.
    pub async fn start(workers: &[String], list: &str, working: &Working, zones: &[String]) -> Result<Self> {
        let lists = TcpListener::bind(list).await.with_context(|| format!("cannot listen on {list}"))?;
        let (mut made, mut listeners) = (Vec::new(), Vec::new());
        for (nth, at) in workers.iter().enumerate() {
            let listener = TcpListener::bind(at).await.with_context(|| format!("cannot listen on {at}"))?;
            made.push(Worker {
                name: if workers.len() == 1 { "stub".to_owned() } else { format!("stub{nth}") },
                zone: zones[nth % zones.len()].clone(),
                at: listener.local_addr()?,
                working: working.clone(),
                life: watch::Sender::new(0),
                started: Cell::default(),
                boot_ms: Cell::default(),
                come: Cell::default(),
                slots: Semaphore::new(if working.slots == 0 {
                    Semaphore::MAX_PERMITS
                } else {
                    working.slots
                }),
            });
            listeners.push(listener);
        }
        let entries: Vec<Value> = made.iter().map(|w| w.entry("in_service")).collect();
        let known = json!({"rev": 1, "all": true, "targets": entries}).to_string();
        let stage = Rc::new(Stage {
            list: Listing {
                said: RefCell::new(entries.into_iter().map(|e| (1, e)).collect()),
                rev: watch::Sender::new(1),
                speaks: watch::Sender::new(true),
            },
            workers: made,
            runs: RefCell::default(),
            connections: Cell::default(),
        });
        for (nth, listener) in listeners.into_iter().enumerate() {
            spawn_local(stage.clone().serve(nth, listener));
        }
        let list = lists.local_addr()?;
        let workers = stage.workers.iter().map(|w| w.at).collect();
        let of = stage.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = lists.accept().await {
                let of = of.clone();
                spawn_local(async move { of.list.watched(stream).await.unwrap_or_default() });
            }
        });
        Ok(Stub { list, known, workers, stage })
    }

    /// All that came, in the order of its coming.
    pub fn runs(&self) -> Vec<Run> {
        self.stage.runs.borrow().clone()
    }

    /// Connections that dispatchers opened to the workers.
    pub fn connections(&self) -> u64 {
        self.stage.connections.get()
    }

    /// A worker dies with all that it runs; the list hears of it a second later.
    pub fn lose(&self, nth: usize) {
        let worker = &self.stage.workers[nth];
        self.stage.dies(nth);
        let (stage, life) = (self.stage.clone(), *worker.life.borrow());
        spawn_local(async move {
            sleep(NOTICED).await;
            if *stage.workers[nth].life.borrow() == life {
                stage.list.says(stage.workers[nth].entry("terminated"));
            }
        });
    }

    /// A new process at a worker, cold; the list says so at once.
    ///
    /// # Errors
    /// Where its address cannot be had again.
    pub async fn serve(&self, nth: usize) -> Result<()> {
        let worker = &self.stage.workers[nth];
        self.stage.dies(nth);
        // The listener of the process before is on its way out.
        let listener = timeout(NOTICED, async {
            loop {
                match TcpListener::bind(worker.at).await {
                    Err(error) if error.kind() == ErrorKind::AddrInUse => sleep(AGAIN).await,
                    found => return found,
                }
            }
        });
        let listener = listener.await?.with_context(|| format!("cannot listen on {}", worker.at))?;
        worker.started.set(Some(Instant::now()));
        worker.boot_ms.set(SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64);
        self.stage.list.says(worker.entry("in_service"));
        spawn_local(self.stage.clone().serve(nth, listener));
        Ok(())
    }

    /// The list says that a worker takes nothing new; it goes on with what it has.
    pub fn drain(&self, nth: usize) {
        self.stage.list.says(self.stage.workers[nth].entry("terminating"));
    }

    /// The list says nothing, to whoever has a watch and whoever opens one; or it speaks again.
    pub fn speaks(&self, on: bool) {
        self.stage.list.speaks.send_replace(on);
    }
}

impl Worker {
    fn entry(&self, state: &str) -> Value {
        json!({"uid": self.name, "endpoint": self.at.to_string(), "az": self.zone, "model": "plain", "pod_group": 0,
            "state": state, "capacity_hint": 1.0, "boot_ms": self.boot_ms.get()})
    }
}

impl Stage {
    /// Whoever serves for a worker stops, and all that it runs is over.
    fn dies(&self, nth: usize) {
        self.workers[nth].life.send_modify(|n| *n += 1);
        for run in self.runs.borrow_mut().iter_mut().filter(|r| r.worker == nth && r.ended.is_none()) {
            run.ended = Some(Instant::now());
        }
    }

    /// Takes in connections for one process of a worker, until it dies.
    async fn serve(self: Rc<Self>, nth: usize, listener: TcpListener) {
        let worker = &self.workers[nth];
        let mut life = worker.life.subscribe();
        let own = *life.borrow_and_update();
        loop {
            let stream = tokio::select! {
                biased;
                _ = life.wait_for(|now| *now != own) => return,
                stream = listener.accept() => stream,
            };
            let Ok((stream, _)) = stream else { return };
            self.connections.update(|n| n + 1);
            // Two small writes for each task: the second must not wait for the first's acknowledgement.
            let _ = stream.set_nodelay(true);
            let (stage, mut life) = (self.clone(), life.clone());
            spawn_local(async move {
                tokio::select! {
                    biased;
                    _ = life.wait_for(|now| *now != own) => {}
                    _ = stage.while_open(stream, nth) => {}
                }
            });
        }
    }

    async fn while_open(&self, stream: TcpStream, nth: usize) -> Option<()> {
        let (worker, mut stream) = (&self.workers[nth], BufReader::new(stream));
        loop {
            let (head, body) = request(&mut stream).await?;
            let path = head.split(' ').nth(1)?.trim_start_matches('/').to_owned();
            let mark = String::from_utf8_lossy(&body[..body.len().min(MARK)]).into_owned();
            let id = head.lines().find_map(|l| {
                l.to_ascii_lowercase().strip_prefix("x-call-id:").map(|i| i.trim().to_owned())
            })?;
            worker.come.update(|n| n + 1);
            let turned_away = worker.working.turned_away;
            let away = turned_away > 0 && worker.come.get().is_multiple_of(turned_away);
            let (came, number) = (Instant::now(), self.runs.borrow().len());
            self.runs.borrow_mut().push(Run {
                worker: nth,
                path,
                mark,
                id: id.clone(),
                came,
                turned_away: away,
                began: None,
                ended: away.then_some(came),
            });
            if away {
                stream.write_all(AWAY.as_bytes()).await.ok()?;
                continue;
            }
            let over = || self.runs.borrow_mut()[number].ended = Some(Instant::now());
            let slot = tokio::select! {
                biased;
                slot = worker.slots.acquire() => slot.ok()?,
                // Given up before it began: it never runs.
                _ = stream.fill_buf() => {
                    over();
                    return None;
                }
            };
            self.runs.borrow_mut()[number].began = Some(Instant::now());
            let line = |state: &str| chunk(&format!("{{\"id\":\"{id}\",\"from\":\"stub\",{state}}}\n"));
            // What has begun runs to its end, also where nobody waits for it any more.
            let opening = format!("{OPENING}{}", line("\"state\":\"started\""));
            let began = stream.write_all(opening.as_bytes()).await;
            let age = worker.started.get().map_or(Duration::MAX, |at| at.elapsed());
            sleep(worker.working.work.div_f64(worker.working.can(age))).await;
            drop(slot);
            over();
            began.ok()?;
            let at = SystemTime::now().duration_since(UNIX_EPOCH).ok()?.as_millis();
            let last = line(&format!("\"state\":\"done\",\"result\":\"at {at}\""));
            stream.write_all(format!("{last}0\r\n\r\n").as_bytes()).await.ok()?;
        }
    }
}

impl Listing {
    /// One more change.
    fn says(&self, entry: Value) {
        let rev = *self.rev.borrow() + 1;
        self.said.borrow_mut().push((rev, entry));
        self.rev.send_replace(rev);
    }

    /// The changes after a number; all of the list where that is 0. Whoever has left is named among changes alone.
    fn line(&self, after: u64) -> String {
        let said = self.said.borrow();
        let last = |n: usize| said[n + 1..].iter().all(|later| later.1["uid"] != said[n].1["uid"]);
        let gone = |e: &Value| e["state"] == "terminated";
        let named = |n: &usize| said[*n].0 > after && last(*n) && !(after == 0 && gone(&said[*n].1));
        let targets: Vec<&Value> = (0..said.len()).filter(named).map(|n| &said[n].1).collect();
        json!({"rev": *self.rev.borrow(), "all": after == 0, "targets": targets}).to_string()
    }

    /// Serves one watch: all of the list, and then its changes.
    async fn watched(&self, stream: TcpStream) -> Option<()> {
        let (mut stream, mut told) = (BufReader::new(stream), 0);
        request(&mut stream).await?;
        let (mut rev, mut speaks) = (self.rev.subscribe(), self.speaks.subscribe());
        speaks.wait_for(|on| *on).await.ok()?;
        stream.write_all(OPENING.as_bytes()).await.ok()?;
        loop {
            let (now, line) = (*rev.borrow_and_update(), self.line(told));
            stream.write_all(chunk(&format!("{line}\n")).as_bytes()).await.ok()?;
            told = now;
            while timeout(BEAT, rev.changed()).await.is_err() || !*speaks.borrow() {
                if *speaks.borrow() {
                    stream.write_all(chunk("\n").as_bytes()).await.ok()?;
                } else {
                    speaks.wait_for(|on| *on).await.ok()?;
                    if *rev.borrow() != told {
                        break;
                    }
                }
            }
        }
    }
}

/// Serves as a worker that takes `work` for each task, and as a list that names it; says where, and the list's line on it.
pub async fn run(worker: &str, list: &str, work: Duration) -> Result<()> {
    let serve = async {
        let working = Working::taking(work);
        let stub = Stub::start(&[worker.to_owned()], list, &working, &["north".to_owned()]).await?;
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
