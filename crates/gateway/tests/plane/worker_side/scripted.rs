//! A worker that plays a script, byte by byte, and records what it was written.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use proptest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::recording::{EVENTS, Recording, Run, write_event};
use crate::common::field;

/// Connections take this much before they are read.
const RECEIVE_BUFFER: u32 = 16 << 10;
/// A body larger than what is buffered of an answer before it goes on.
const LARGE_ANSWER: usize = 100_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length,
    Chunked,
    UntilEnd,
}

/// Which id an answer bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Echo {
    Own,
    Other,
    Missing,
}

/// What a worker answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Success,
    /// A status, and whether it says that the request has not run.
    Status(u16, bool),
    Garbage(&'static str),
    Silence,
}

/// How an exchange ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    Keep,
    Fin,
    Reset,
}

/// An answer too many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Extra {
    None,
    /// Right behind the answer.
    AtOnce,
    Later,
    /// In the place of the next one.
    BeforeNext,
}

/// What a worker does with one request.
#[derive(Clone, Debug)]
pub struct Play {
    /// It answers when the head is read, and reads on later.
    pub early: bool,
    pub pause_ms: u64,
    pub reply: Reply,
    pub framing: Framing,
    pub echo: Echo,
    pub sealed: bool,
    pub large: bool,
    /// After so many of 256 parts of the answer's bytes it comes to the end.
    pub cut: Option<u8>,
    /// Writes that the answer comes in.
    pub pieces: usize,
    pub extra: Extra,
    pub finish: Finish,
}

pub fn plays() -> impl Strategy<Value = Play> {
    let reply = prop_oneof![
        8 => Just(Reply::Success),
        2 => Just(Reply::Status(503, true)),
        1 => Just(Reply::Status(421, true)),
        2 => prop::sample::select(vec![408, 422, 429, 500, 503, 504]).prop_map(|s| Reply::Status(s, false)),
        1 => prop::sample::select(vec![
            "HTTP/1.1 999 Eh\r\n\r\n", "\0\0\0", "hello\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
        ]).prop_map(Reply::Garbage),
        1 => Just(Reply::Silence),
    ];
    let framing = prop_oneof![
        3 => Just(Framing::Length), 3 => Just(Framing::Chunked), 1 => Just(Framing::UntilEnd)
    ];
    let echo = prop_oneof![10 => Just(Echo::Own), 1 => Just(Echo::Other), 1 => Just(Echo::Missing)];
    let extra = prop_oneof![
        6 => Just(Extra::None), 1 => Just(Extra::AtOnce), 1 => Just(Extra::Later), 2 => Just(Extra::BeforeNext)
    ];
    let finish = prop_oneof![6 => Just(Finish::Keep), 1 => Just(Finish::Fin), 1 => Just(Finish::Reset)];
    let shape = (prop::bool::weighted(0.3), prop::sample::select(vec![0u64, 0, 3, 20]), 1..4usize);
    let flags = (prop::bool::weighted(0.9), prop::bool::weighted(0.2));
    let cut = prop::option::weighted(0.25, prop_oneof![any::<u8>(), 160..250u8]);
    (shape, reply, framing, echo, flags, cut, extra, finish).prop_map(
        |((early, pause_ms, pieces), reply, framing, echo, (sealed, large), cut, extra, finish)| Play {
            early,
            pause_ms,
            reply,
            framing,
            echo,
            sealed,
            large,
            cut,
            pieces,
            extra,
            finish,
        },
    )
}

impl Play {
    /// Whether what it writes can be known to be whole.
    fn has_end(&self) -> bool {
        self.framing != Framing::UntilEnd || (self.cut.is_none() && self.finish() != Finish::Reset)
    }

    /// A worker that breaks off an answer without length resets the connection, and one that ends it ends the connection.
    fn finish(&self) -> Finish {
        match (self.framing, self.cut) {
            (Framing::UntilEnd, Some(_)) => Finish::Reset,
            (Framing::UntilEnd, None) if self.finish == Finish::Keep => Finish::Fin,
            _ => self.finish,
        }
    }

    /// An answer too many has a right one before it; else it would be the answer.
    fn extra(&self) -> Extra {
        if self.echo == Echo::Own { self.extra } else { Extra::None }
    }

    fn status(&self) -> u16 {
        if let Reply::Status(status, _) = self.reply { status } else { 200 }
    }

    fn turned_away(&self) -> bool {
        matches!(self.reply, Reply::Status(_, true))
    }

    /// The parts of the body of the answer of this run.
    fn body(&self, number: usize, streams: bool, last_event: u64) -> Vec<Vec<u8>> {
        if streams && self.reply == Reply::Success {
            return (last_event + 1..=EVENTS).map(|event| write_event(event, number).into_bytes()).collect();
        }
        let size = if self.large { LARGE_ANSWER } else { 0 };
        vec![format!("run {number} {}", "z".repeat(size)).into_bytes()]
    }

    /// The answer's bytes.
    fn answer(&self, id: &str, number: usize, streams: bool, body: &[Vec<u8>]) -> Vec<u8> {
        let mut head = match self.reply {
            Reply::Garbage(text) => return text.as_bytes().to_vec(),
            Reply::Silence => return Vec::new(),
            _ => format!("HTTP/1.1 {} Status\r\n", self.status()),
        };
        match self.echo {
            Echo::Own => head += &format!("X-Rainlug-Attempt-Id: {id}\r\n"),
            Echo::Other => head += "X-Rainlug-Attempt-Id: other\r\n",
            Echo::Missing => {}
        }
        if self.sealed {
            head += &format!("X-Rainlug-Server-Seal: s.{number}\r\n");
        }
        if self.turned_away() {
            head += "X-Rainlug-Not-Run: 1\r\n";
        }
        if streams && self.reply == Reply::Success {
            head += "Content-Type: text/event-stream\r\n";
        }
        let length: usize = body.iter().map(Vec::len).sum();
        match self.framing {
            Framing::Length => head += &format!("Content-Length: {length}\r\n"),
            Framing::Chunked => head += "Transfer-Encoding: chunked\r\n",
            Framing::UntilEnd => {}
        }
        let mut bytes = (head + "\r\n").into_bytes();
        for part in body {
            if self.framing == Framing::Chunked {
                bytes.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
            }
            bytes.extend_from_slice(part);
            if self.framing == Framing::Chunked {
                bytes.extend_from_slice(b"\r\n");
            }
        }
        if self.framing == Framing::Chunked {
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
        bytes
    }
}

/// An answer too many to this request; whoever gets it has got what is not its own.
fn extra_answer(id: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nX-Rainlug-Attempt-Id: {id}\r\nX-Rainlug-Server-Seal: x\r\nContent-Length: 5\r\n\r\nextra")
        .into_bytes()
}

/// A worker of this id that plays these one after the other, request by request, and then from the start.
pub async fn scripted(
    id: String,
    plays: Vec<Play>,
    recording: Rc<RefCell<Recording>>,
) -> std::net::SocketAddr {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(64).unwrap();
    let at = listener.local_addr().unwrap();
    let scripted = Rc::new(Scripted { id, plays, next: RefCell::new(0), recording });
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).unwrap();
            let connection = Connection { stream, buffer: Vec::new(), worker: scripted.clone() };
            spawn_local(connection.serve());
        }
    });
    at
}

struct Scripted {
    id: String,
    plays: Vec<Play>,
    next: RefCell<usize>,
    recording: Rc<RefCell<Recording>>,
}

impl Scripted {
    fn play(&self) -> Play {
        let mut next = self.next.borrow_mut();
        *next += 1;
        self.plays[(*next - 1) % self.plays.len()].clone()
    }
}

struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    worker: Rc<Scripted>,
}

impl Connection {
    /// Serves until the connection ends; nothing where it does.
    async fn serve(mut self) -> Option<()> {
        let mut owed_extra: Option<String> = None;
        loop {
            let head = self.head().await?;
            let play = self.worker.play();
            let id = field(&head, "X-Rainlug-Attempt-Id").unwrap_or_default();
            let number = self.record(&head, &id, &play);
            let mut left = field(&head, "Content-Length").map_or(0, |n| n.parse().unwrap());
            if !play.early {
                self.body(number, &mut left).await?;
            }
            sleep(Duration::from_millis(play.pause_ms)).await;
            if let Some(extra) = owed_extra.take() {
                self.write(&extra_answer(&extra), 1).await?;
            }
            self.answer(&play, &id, number).await?;
            match play.extra() {
                Extra::None => {}
                Extra::AtOnce => self.write(&extra_answer(&id), 1).await?,
                Extra::Later => {
                    sleep(Duration::from_millis(5)).await;
                    self.write(&extra_answer(&id), 1).await?;
                }
                Extra::BeforeNext => owed_extra = Some(id),
            }
            self.body(number, &mut left).await?;
        }
    }

    /// Writes the answer; nothing where the connection ends with it.
    async fn answer(&mut self, play: &Play, id: &str, number: usize) -> Option<()> {
        let (streams, body) = {
            let recording = self.worker.recording.borrow();
            let run = &recording.runs[number];
            let streams = recording.sent.get(id).is_some_and(|sent| sent.kind.streams());
            (streams, play.body(number, streams, run.last_event()))
        };
        let mut bytes = play.answer(id, number, streams, &body);
        if let Some(part) = play.cut {
            bytes.truncate(bytes.len() * usize::from(part) / 256);
        }
        self.write(&bytes, play.pieces).await?;
        match play.finish() {
            Finish::Keep
                if play.cut.is_some() || matches!(play.reply, Reply::Garbage(_) | Reply::Silence) =>
            {
                // Silence until the other side goes.
                while self.read().await? {}
                None
            }
            Finish::Keep => Some(()),
            Finish::Fin => {
                // All that was sent is read first, so that the end is no reset.
                let _ = self.stream.shutdown().await;
                while self.read().await? {}
                None
            }
            Finish::Reset => {
                self.stream.set_zero_linger().unwrap();
                None
            }
        }
    }

    fn record(&self, head: &str, id: &str, play: &Play) -> usize {
        let mut recording = self.worker.recording.borrow_mut();
        let number = recording.runs.len();
        let streams = recording.sent.get(id).is_some_and(|sent| sent.kind.streams());
        let mut run = Run {
            worker: self.worker.id.clone(),
            id: id.to_owned(),
            head: head.to_owned(),
            body: Vec::new(),
            turned_away: play.turned_away(),
            status: play.status(),
            answer: Vec::new(),
            has_end: play.has_end(),
        };
        run.answer = play.body(number, streams, run.last_event()).concat();
        recording.runs.push(run);
        number
    }

    async fn head(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..end + 4]).into_owned();
                self.buffer.drain(..end + 4);
                if head.starts_with("POST /") {
                    return Some(head);
                }
                self.worker.recording.borrow_mut().misplaced.extend_from_slice(head.as_bytes());
                return None;
            }
            if !self.read().await? {
                // What began a request and did not go on is one all the same.
                let begun = std::mem::take(&mut self.buffer);
                if !begun.is_empty() && !b"POST /".starts_with(&begun[..begun.len().min(6)]) {
                    self.worker.recording.borrow_mut().misplaced.extend_from_slice(&begun);
                }
                return None;
            }
        }
    }

    /// Reads on until `left` bytes of the run's body have come.
    async fn body(&mut self, number: usize, left: &mut usize) -> Option<()> {
        while *left > 0 {
            let take = self.buffer.len().min(*left);
            let part: Vec<u8> = self.buffer.drain(..take).collect();
            *left -= take;
            self.worker.recording.borrow_mut().runs[number].body.extend_from_slice(&part);
            if *left > 0 && !self.read().await? {
                return None;
            }
        }
        Some(())
    }

    /// False at the end of the connection.
    async fn read(&mut self) -> Option<bool> {
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(read) => Some(read > 0),
            Err(_) => None,
        }
    }

    async fn write(&mut self, bytes: &[u8], pieces: usize) -> Option<()> {
        let size = bytes.len().div_ceil(pieces.max(1)).max(1);
        for piece in bytes.chunks(size) {
            self.stream.write_all(piece).await.ok()?;
            if pieces > 1 {
                sleep(Duration::from_millis(1)).await;
            }
        }
        Some(())
    }
}
