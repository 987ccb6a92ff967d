//! Stand-in workers and clients on real sockets.

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rainlug_gateway::{BatchApi, Gateway, GatewaySettings, Reply, Replying};
use rainlug_placement::Mechanisms;
use rainlug_registry::{Configuration, Phase, Route, Worker};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

pub const SEAL: &str = "X-Rainlug-Server-Seal: s.1\r\n";

/// What a stand-in does when a request has come whole. `ID` is replaced by the request's.
#[derive(Clone, Debug)]
pub enum Act {
    Write(String),
    Sleep(u64),
    Close,
    Reset,
    /// Waits until the peer has gone.
    Hang,
}

/// A request as a worker has seen it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub head: String,
    pub body: Vec<u8>,
    /// The how manieth request on its connection.
    pub nth: usize,
}

impl Seen {
    pub fn field(&self, name: &str) -> Option<String> {
        field(&self.head, name)
    }
}

pub fn field(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (n, value) = line.split_once(':')?;
        n.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}

#[derive(Clone)]
pub struct Stand {
    pub at: SocketAddr,
    pub seen: Rc<RefCell<Vec<Seen>>>,
    /// Connections whose peer went while a request was worked on.
    pub left: Rc<RefCell<usize>>,
    pub connections: Rc<RefCell<usize>>,
}

impl Stand {
    pub fn runs(&self) -> usize {
        self.seen.borrow().len()
    }
}

/// A worker that does what `script` says for each request (how many it has seen before, and the request).
pub async fn stand(script: impl Fn(usize, &Seen) -> Vec<Act> + 'static) -> Stand {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stand = Stand {
        at: listener.local_addr().unwrap(),
        seen: Rc::default(),
        left: Rc::default(),
        connections: Rc::default(),
    };
    let (given, script) = (stand.clone(), Rc::new(script));
    spawn_local(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            *stand.connections.borrow_mut() += 1;
            spawn_local(work(stream, stand.clone(), script.clone()));
        }
    });
    given
}

async fn work(mut stream: TcpStream, stand: Stand, script: Rc<impl Fn(usize, &Seen) -> Vec<Act> + 'static>) {
    stream.set_nodelay(true).unwrap();
    let mut buffer = Vec::new();
    for nth in 0.. {
        let Some(seen) = take_request(&mut stream, &mut buffer, nth).await else { return };
        let before = stand.runs();
        stand.seen.borrow_mut().push(seen.clone());
        let id = seen.field("X-Rainlug-Attempt-Id").unwrap_or_default();
        for act in script(before, &seen) {
            match act {
                Act::Write(text) => {
                    if stream.write_all(text.replace("ID", &id).as_bytes()).await.is_err() {
                        *stand.left.borrow_mut() += 1;
                        return;
                    }
                }
                Act::Sleep(ms) => sleep(Duration::from_millis(ms)).await,
                Act::Close => return,
                Act::Reset => {
                    stream.set_zero_linger().unwrap();
                    return;
                }
                Act::Hang => {
                    let _ = stream.read(&mut [0; 64]).await;
                    *stand.left.borrow_mut() += 1;
                    return;
                }
            }
        }
    }
}

async fn take_request(stream: &mut TcpStream, buffer: &mut Vec<u8>, nth: usize) -> Option<Seen> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end + 4]).into_owned();
            let length: usize = field(&head, "Content-Length").map_or(0, |n| n.parse().unwrap());
            if buffer.len() >= end + 4 + length {
                let body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                return Some(Seen { head, body, nth });
            }
        }
        if !matches!(stream.read_buf(buffer).await, Ok(1..)) {
            return None;
        }
    }
}

/// A whole answer of a worker.
pub fn ok(body: &str) -> Act {
    answer("200 OK", SEAL, body)
}

pub fn answer(status: &str, fields: &str, body: &str) -> Act {
    Act::Write(format!(
        "HTTP/1.1 {status}\r\nX-Rainlug-Attempt-Id: ID\r\n{fields}Content-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

pub fn not_run() -> Act {
    answer("503 Service Unavailable", "X-Rainlug-Not-Run: 1\r\n", "")
}

pub fn stream_head() -> Act {
    Act::Write(format!(
        "HTTP/1.1 200 OK\r\nX-Rainlug-Attempt-Id: ID\r\n{SEAL}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ))
}

pub fn event_text(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

pub fn event(id: u64) -> Act {
    piece(&event_text(id))
}

pub fn piece(text: &str) -> Act {
    Act::Write(format!("{:x}\r\n{text}\r\n", text.len()))
}

pub fn last() -> Act {
    Act::Write("0\r\n\r\n".into())
}

/// Batch jobs that answer what they were asked.
pub struct Echoing;

impl BatchApi for Echoing {
    fn submit(&self, route: Rc<Route>, id: String, body: Bytes) -> Replying {
        let text = format!("submit {} {id} {}", route.name, body.len());
        Box::pin(async move {
            if id == "slow" {
                return std::future::pending().await;
            }
            reply(202, text)
        })
    }
    fn read(&self, id: String, since_item: u64, wait_ms: u64) -> Replying {
        Box::pin(async move { reply(200, format!("read {id} {since_item} {wait_ms}")) })
    }
    fn item(&self, id: String, item: String) -> Replying {
        Box::pin(async move { reply(200, format!("item {id} {item}")) })
    }
    fn end(&self, id: String) -> Replying {
        Box::pin(async move { reply(200, format!("end {id}")) })
    }
}

fn reply(status: u16, text: String) -> Reply {
    Reply { status, retry_after: None, body: text.into(), json: true }
}

/// A dispatcher at work.
pub struct Bench {
    pub gateway: Rc<Gateway>,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

pub const ROUTES: &str = r#"
 {"name":"plain","host":"a.example","path_prefix":"/i/","kind":"idempotent","timeout_ms":3000,"target_ms":400,"priority":1,"service":"s","max_tries":2},
 {"name":"once","host":"a.example","path_prefix":"/m/","kind":"mutating","timeout_ms":3000,"target_ms":400,"priority":1,"service":"s","max_tries":3},
 {"name":"flow","host":"a.example","path_prefix":"/s/","kind":"streaming","timeout_ms":6000,"target_ms":400,"priority":0,"service":"s","max_tries":3,"resumable":true,"gap_aim_ms":250},
 {"name":"flow1","host":"a.example","path_prefix":"/n/","kind":"streaming","timeout_ms":4000,"target_ms":400,"priority":0,"service":"s","max_tries":3,"resumable":false,"gap_aim_ms":250},
 {"name":"jobs","host":"a.example","path_prefix":"/b/","kind":"bulk","timeout_ms":3000,"target_ms":1000,"priority":2,"service":"s","max_tries":2,"run_target_ms":10000,"retain_s":60,"max_queued_tokens":0}
"#;

pub fn configuration(version: u64, routes: &str, limits: &str) -> Rc<Configuration> {
    let text = format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"s","health_path":"/h","max_conns":200,"protocol":"h1","tls":false}},{{"name":"t","health_path":"/h","max_conns":200,"protocol":"h1","tls":false}}],"limits":{limits}}}"#
    );
    Rc::new(Configuration::parse(&Bytes::from(text)).unwrap())
}

pub const LIMITS: &str =
    r#"{"max_header_bytes":4096,"max_body_bytes":300000,"header_timeout_ms":300,"idle_timeout_ms":5000}"#;

/// What a dispatcher is told of itself, as a rule.
pub fn settings() -> GatewaySettings {
    GatewaySettings {
        mechanisms: Mechanisms::all(),
        node: "edge-1".into(),
        zone: "z".into(),
        memory_mb: 200,
        max_fds: 1024,
        grace_s: 6.0,
        pass_ms: 120,
        seed: 7,
    }
}

impl Bench {
    /// A dispatcher with no configuration and no workers.
    pub async fn bare() -> Self {
        Bench::of(settings()).await
    }

    /// A dispatcher that is told this of itself.
    pub async fn of(told: GatewaySettings) -> Self {
        let gateway = Gateway::new(told);
        let (front, ready) = (
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
        );
        let (at, ready_at) = (front.local_addr().unwrap(), ready.local_addr().unwrap());
        spawn_local(gateway.clone().serve(front, Rc::new(Echoing)));
        spawn_local(gateway.clone().readiness(ready, Rc::new(|| true)));
        spawn_local(gateway.clone().run());
        Bench { gateway, front: at, ready: ready_at }
    }

    /// With the usual routes, and these workers of service `s`.
    pub async fn with(stands: &[&Stand]) -> Self {
        let bench = Bench::bare().await;
        bench.gateway.configure(configuration(1, ROUTES, LIMITS));
        for (n, stand) in stands.iter().enumerate() {
            bench.gateway.worker(&worker(&format!("i-{n}"), stand.at));
        }
        bench
    }

    pub async fn client(&self) -> Client {
        let stream = TcpStream::connect(self.front).await.unwrap();
        stream.set_nodelay(true).unwrap();
        Client { stream, buffer: Vec::new() }
    }

    pub fn figure(&self, name: &str) -> f64 {
        self.gateway.metrics().into_iter().find(|(n, _)| n == name).unwrap().1
    }
}

pub fn worker(id: &str, at: SocketAddr) -> Worker {
    Worker {
        id: id.into(),
        service: "s".into(),
        address: at,
        zone: "z".into(),
        slots: 64,
        phase: Phase::Ready,
        warm_up_left_ms: 0,
        call_seq: 1,
    }
}

pub struct Client {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

#[derive(Debug)]
pub struct Got {
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the framing came to its end.
    pub whole: bool,
}

impl Got {
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
    pub fn field(&self, name: &str) -> Option<String> {
        field(&self.head, name)
    }
    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap()
    }
}

pub fn post(path: &str, id: &str, more: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: A.example:80\r\nX-Rainlug-Attempt-Id: {id}\r\n{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

impl Client {
    pub async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads until `done` finds what it wants, or the end.
    async fn until<T>(&mut self, done: impl Fn(&[u8]) -> Option<T>) -> Option<T> {
        loop {
            if let Some(found) = done(&self.buffer) {
                return Some(found);
            }
            let read = timeout(Duration::from_secs(10), self.stream.read_buf(&mut self.buffer)).await;
            if !matches!(read.expect("nothing comes"), Ok(1..)) {
                return None;
            }
        }
    }

    pub async fn head(&mut self) -> Option<String> {
        let end = self.until(|b| b.windows(4).position(|w| w == b"\r\n\r\n")).await? + 4;
        Some(String::from_utf8(self.buffer.drain(..end).collect()).unwrap())
    }

    /// The next chunk: nothing where there is none.
    pub async fn chunk(&mut self) -> Option<String> {
        let line = self.until(|b| b.windows(2).position(|w| w == b"\r\n")).await?;
        let size = usize::from_str_radix(std::str::from_utf8(&self.buffer[..line]).unwrap(), 16).unwrap();
        self.until(|b| (b.len() >= line + 2 + size + 2).then_some(())).await?;
        let text = String::from_utf8(self.buffer[line + 2..line + 2 + size].to_vec()).unwrap();
        self.buffer.drain(..line + 4 + size);
        Some(text)
    }

    /// The next answer, whole or as far as it comes.
    pub async fn got(&mut self) -> Option<Got> {
        let head = self.head().await?;
        let mut body = Vec::new();
        if field(&head, "Transfer-Encoding").is_some() {
            loop {
                match self.chunk().await {
                    Some(text) if text.is_empty() => return Some(Got { head, body, whole: true }),
                    Some(text) => body.extend_from_slice(text.as_bytes()),
                    None => return Some(Got { head, body, whole: false }),
                }
            }
        }
        let length: usize = field(&head, "Content-Length").map_or(0, |n| n.parse().unwrap());
        let whole = self.until(|b| (b.len() >= length).then_some(())).await.is_some();
        body.extend(self.buffer.drain(..length.min(self.buffer.len())));
        Some(Got { head, body, whole })
    }

    pub async fn ask(&mut self, text: &str) -> Got {
        self.send(text).await;
        self.got().await.expect("an answer")
    }

    /// Whether the other side has ended the connection, with nothing more to read.
    pub async fn ended(&mut self) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        let read = timeout(Duration::from_secs(3), self.stream.read_buf(&mut self.buffer)).await;
        matches!(read, Ok(Ok(0) | Err(_)))
    }
}

pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async { timeout(Duration::from_secs(18), test).await.unwrap() });
}
