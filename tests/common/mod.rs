//! What the tests share: a dispatcher with plain figures, and a record of what it sends out.
#![allow(dead_code)]

use rainlug::logic::Dispatcher;
use rainlug::*;

#[derive(Clone, Debug, PartialEq)]
pub enum Sent {
    Assign(String, String),
    Bounce(String),
    Abandon(String),
    Follow,
}

#[derive(Default)]
pub struct Record {
    pub now: Time,
    pub sent: Vec<(Time, Sent)>,
    pub wakes: Vec<(Time, u64)>,
    pub withdrawn: Vec<(String, usize)>,
    pub probes: usize,
    /// When those that were bounced are to come back.
    pub pauses: Vec<Time>,
    /// A budget is used up, by workload: it is worth asking again after so long. The last place is for what goes again.
    pub refuses: [Option<Time>; 4],
    /// The task that may go next.
    granted: Option<String>,
    /// This dispatcher's part of cold workers' room, where account is kept of that.
    pub room: Option<f64>,
}

impl Outgoing for Record {
    fn assign(&mut self, task: &str, worker: &str) {
        assert_eq!(self.granted.take().as_deref(), Some(task), "it was not asked whether it may go");
        self.sent.push((self.now, Sent::Assign(task.into(), worker.into())));
    }
    fn withdraw(&mut self, task: &str, assignment: usize) {
        self.withdrawn.push((task.into(), assignment));
    }
    fn bounce(&mut self, task: &str, pause: Time) {
        self.pauses.push(pause);
        self.sent.push((self.now, Sent::Bounce(task.into())));
    }
    fn abandon(&mut self, task: &str) {
        self.sent.push((self.now, Sent::Abandon(task.into())));
    }
    fn wake(&mut self, at: Time, mark: u64) {
        self.wakes.push((at, mark));
    }
    fn may(&mut self, task: &str, mark: u64, workload: usize, again: bool) -> Result<(), Time> {
        let wait = self.refuses[workload].or(self.refuses[3].filter(|_| again));
        self.granted = wait.is_none().then(|| task.to_owned());
        wait.map_or(Ok(()), |wait| {
            self.wake(self.now + wait, mark);
            Err(self.now + wait)
        })
    }
    fn room(&mut self, _: &str, _: f64) -> Option<f64> {
        self.room
    }
    fn probe(&mut self, _: &str) {
        self.probes += 1;
    }
    fn follow(&mut self) {
        self.sent.push((self.now, Sent::Follow));
    }
}

pub struct Bench {
    pub out: Record,
    pub to: Dispatcher,
}

pub const MS: Time = 1000;

pub fn effects() -> [Effect; 3] {
    let marked = Effect::Fingerprinted { group: Group::Zone, window: 3 * SECOND };
    [Effect::Idempotent, Effect::SideEffecting, marked]
}

pub fn allowed() -> Allowed {
    let [withdrawal, copies, probes] = [true; 3];
    Allowed { assignments: 3, withdrawal, copies, probes, pause: 0, must_ask: false }
}

pub fn known() -> Known {
    let [reports_by_probe, live_weights] = [false; 2];
    Known { reports_by_probe, tells_start: true, live_weights, progress: SECOND, cross_zone: 0.0 }
}

pub fn listed(id: &str, zone: usize, state: State, started: Option<Time>) -> Listed {
    Listed { id: id.into(), zone, kind: 0, cell: zone, state, weight: 1.0, started }
}

/// The first of a group.
pub fn place(group_size: usize) -> Place {
    Place { seed: 7, index: 0, group_size, zone: 0 }
}

/// One dispatcher of a group.
pub fn in_group(index: usize, group_size: usize, allowed: Allowed, known: Known) -> Bench {
    Bench::start_as(Place { seed: index as u64, index, group_size, zone: 0 }, allowed, known)
}

/// Workers of one zone, all ready.
pub fn fleet(size: usize, started: Option<Time>) -> Vec<Listed> {
    (0..size).map(|i| listed(&format!("w{i}"), 0, State::Ready, started)).collect()
}

impl Bench {
    pub fn start(group_size: usize, must_ask: bool) -> Self {
        Self::start_as(place(group_size), Allowed { must_ask, ..allowed() }, known())
    }

    pub fn with_workers(group_size: usize, ids: &[&str]) -> Self {
        let mut bench = Self::start(group_size, false);
        bench.ready(ids);
        bench
    }

    pub fn start_as(place: Place, allowed: Allowed, known: Known) -> Self {
        Self::start_for(place, allowed, known, &effects(), 0.5)
    }

    /// With workloads of these effects, whose late answers earn so much.
    pub fn start_for(place: Place, allowed: Allowed, known: Known, of: &[Effect], overdue: f64) -> Self {
        let one =
            |effect| Workload { effect, due: 500 * MS, stretch: 2.0, revenue: 1.0, overdue, kind: None };
        let weights =
            Weights { whole: 1.0, worst_workload: 0.2, slow_end: 0.0, beyond_share: 0.1, by_work: false };
        let obligations = Obligations {
            cold_from: 0.25,
            warm_within: 10 * SECOND,
            overload_factor: 3.0,
            fall: 2 * SECOND,
            must_ask_in: 10 * SECOND,
        };
        let mut out = Record::default();
        let m = &mut Moment { now: 0, out: &mut out };
        let workloads = of.iter().copied().map(one).collect();
        let to = Dispatcher::start(m, place, workloads, Vec::new(), weights, allowed, obligations, known);
        Bench { out, to }
    }

    pub fn with<R>(&mut self, event: impl FnOnce(&mut Dispatcher, &mut Moment) -> R) -> R {
        let now = self.out.now;
        event(&mut self.to, &mut Moment { now, out: &mut self.out })
    }

    pub fn list(&mut self, entries: &[Listed]) {
        self.with(|to, m| to.list(m, false, false, entries));
    }

    pub fn ready(&mut self, ids: &[&str]) {
        let entries: Vec<Listed> = ids.iter().map(|id| listed(id, 0, State::Ready, None)).collect();
        self.list(&entries);
    }

    pub fn task(&mut self, id: &str, workload: usize) {
        self.with(|to, m| to.task(m, id, (workload, None), 5 * SECOND, 1.0));
    }

    pub fn tasks(&mut self, name: &str, n: usize, workload: usize) -> Vec<String> {
        let ids: Vec<String> = (0..n).map(|i| format!("{name}{i}")).collect();
        ids.iter().for_each(|id| self.task(id, workload));
        ids.iter().filter_map(|id| self.worker_of(id)).collect()
    }

    pub fn start_job(&mut self, id: &str, assignment: usize) {
        self.with(|to, m| to.sign(m, id, assignment));
    }

    pub fn end(&mut self, id: &str, assignment: usize, outcome: Outcome) {
        let end = (outcome, outcome == Outcome::Finished);
        self.with(|to, m| to.ended(m, id, assignment, end, Report::default()));
    }

    pub fn run(&mut self, id: &str, assignment: usize) {
        self.start_job(id, assignment);
        self.end(id, assignment, Outcome::Finished);
    }

    pub fn report(&mut self, worker: &str, report: Report) {
        self.with(|to, m| to.probed(m, worker, Outcome::Finished, report));
    }

    pub fn pass(&mut self, length: Time) {
        let until = self.out.now + length;
        while let Some(i) = (0..self.out.wakes.len()).min_by_key(|&i| (self.out.wakes[i], i)) {
            let (at, mark) = self.out.wakes[i];
            if at > until {
                break;
            }
            self.out.wakes.swap_remove(i);
            self.out.now = at.max(self.out.now);
            self.with(|to, m| to.due(m, mark));
        }
        self.out.now = until;
    }

    pub fn worker_of(&self, id: &str) -> Option<String> {
        self.out.sent.iter().rev().find_map(|(_, s)| match s {
            Sent::Assign(task, worker) if task == id => Some(worker.clone()),
            _ => None,
        })
    }
}

/// Stand-ins for what the real dispatcher meets, over sockets of this machine. Each wait is for an event.
pub mod sockets {
    use std::fs;
    use std::io::{BufRead, BufReader, Read, Write};
    use std::net::{SocketAddr, TcpListener, TcpStream};
    use std::process::{Child, Command, ExitStatus, Stdio};
    use std::sync::atomic::{AtomicUsize, Ordering};
    use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
    use std::sync::{Arc, Mutex};
    use std::thread::spawn;
    use std::time::{Duration, Instant};

    /// Whoever waits longer has failed.
    pub const LONG: Duration = Duration::from_secs(30);

    /// Does the numbered thing until it tells that it is done.
    pub fn until(what: &str, mut done: impl FnMut(usize) -> bool) {
        let begun = Instant::now();
        let found = (1..).take_while(|_| begun.elapsed() < LONG).any(&mut done);
        assert!(found, "waited too long: {what}");
    }

    /// An address at which nobody listens.
    pub fn nobody() -> SocketAddr {
        TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
    }

    /// A message's head, and its body by its stated length; nothing where the connection ended.
    fn message(from: &mut impl BufRead) -> Option<(String, String)> {
        let (mut head, mut length) = (String::new(), 0);
        while !head.ends_with("\r\n\r\n") {
            let line = from.read_line(&mut head).ok().filter(|n| *n > 0).map(|n| &head[head.len() - n..])?;
            let stated = line.to_lowercase().strip_prefix("content-length:").map(|l| l.trim().parse());
            length = stated.map_or(length, |l| l.unwrap());
        }
        let mut body = vec![0; length];
        from.read_exact(&mut body).ok()?;
        Some((head, String::from_utf8(body).ok()?))
    }

    /// The value of a field.
    pub fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
        head.lines().find_map(|l| l.split_once(": ").filter(|(n, _)| *n == name).map(|(_, value)| value))
    }

    fn chunk(text: &str) -> String {
        format!("{:x}\r\n{text}\r\n", text.len())
    }

    /// What a worker does with a task that has come whole.
    #[derive(Clone, Copy, PartialEq)]
    pub enum Act {
        Finish,
        /// Finishes, and ends the connection when the next task has come on it.
        FinishOnce,
        /// Finishes when the test says so.
        OnWord,
        Fail,
        Return,
        Lose,
        Misname,
        /// Starts it, and breaks in the middle of a line.
        Cut,
        /// Says nothing until the dispatcher gives up.
        Stall,
    }

    pub struct Worker {
        pub at: SocketAddr,
        /// The heads and bodies of the tasks that have come.
        pub tasks: Receiver<(String, String)>,
        /// The ids of those that were given up.
        pub given_up: Receiver<String>,
        pub word: Sender<()>,
    }

    impl Worker {
        pub fn start(act: impl Fn(&str) -> Act + Send + Sync + 'static) -> Self {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let at = listener.local_addr().unwrap();
            let (task, tasks) = channel();
            let (gone, given_up) = channel();
            let (word, words) = channel();
            let (act, words) = (Arc::new(act), Arc::new(Mutex::new(words)));
            spawn(move || {
                for stream in listener.incoming() {
                    let (task, gone, act, words) = (task.clone(), gone.clone(), act.clone(), words.clone());
                    spawn(move || serve(stream.unwrap(), &*act, &task, &gone, &words));
                }
            });
            Worker { at, tasks, given_up, word }
        }

        /// The id of the next task that comes.
        pub fn next(&self) -> String {
            let (head, _) = self.tasks.recv_timeout(LONG).expect("a task for the worker");
            field(&head, "X-Call-Id").unwrap().to_owned()
        }
    }

    fn serve(
        mut to: TcpStream,
        act: &dyn Fn(&str) -> Act,
        task: &Sender<(String, String)>,
        gone: &Sender<String>,
        words: &Mutex<Receiver<()>>,
    ) -> Option<()> {
        // Two small writes for each task: the second must not wait 40 ms for the first's acknowledgement.
        to.set_nodelay(true).unwrap();
        let mut from = BufReader::new(to.try_clone().unwrap());
        while let Some((head, body)) = message(&mut from) {
            if head.starts_with("GET /status/load ") {
                let load = r#"{"tps":3.0,"load_share":0.2,"x0":2.0}"#;
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{load}", load.len());
                to.write_all(answer.as_bytes()).ok()?;
                let _ = task.send((head, body));
                continue;
            }
            let id = field(&head, "X-Call-Id").unwrap().to_owned();
            let path = head.split(' ').nth(1).unwrap().to_owned();
            let act = act(&path);
            let _ = task.send((head, body));
            if act == Act::Return {
                to.write_all(b"HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n").ok()?;
                continue;
            }
            let line =
                |id: &str, rest: &str| format!("{{\"id\":\"{id}\",\"from\":\"w\",\"state\":{rest}}}\n");
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            if to.write_all((head.to_owned() + &chunk(&line(&id, "\"started\""))).as_bytes()).is_err() {
                let _ = gone.send(id);
                return None;
            }
            let last = match act {
                Act::Finish | Act::FinishOnce => {
                    line(&id, &format!("\"done\",\"result\":\"result of {id}\""))
                }
                Act::OnWord => {
                    words.lock().unwrap().recv().ok()?;
                    line(&id, &format!("\"done\",\"result\":\"result of {id}\""))
                }
                Act::Fail => line(&id, "\"failed\""),
                Act::Lose => line(&id, "\"lost\""),
                Act::Misname => line("another", "\"done\",\"result\":\"stray\""),
                Act::Cut => {
                    to.write_all(b"40\r\n{\"id\":").ok()?;
                    return None;
                }
                Act::Return | Act::Stall => {
                    let _ = from.read_to_end(&mut Vec::new());
                    let _ = gone.send(id);
                    return None;
                }
            };
            to.write_all(
                (chunk(&line(&id, "\"running\",\"share\":0.5")) + &chunk(&last) + "0\r\n\r\n").as_bytes(),
            )
            .ok()?;
            if act == Act::FinishOnce {
                message(&mut from)?;
                return None;
            }
        }
        None
    }

    pub struct List {
        pub at: SocketAddr,
        /// The first lines of the calls that have come.
        pub asked: Receiver<String>,
        /// A line for the watch, or its end.
        pub tell: Sender<Option<String>>,
    }

    impl List {
        pub fn start() -> Self {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let at = listener.local_addr().unwrap();
            let ((call, asked), (tell, told)) = (channel(), channel::<Option<String>>());
            spawn(move || {
                for stream in listener.incoming() {
                    let mut to = stream.unwrap();
                    let Some((head, _)) = message(&mut BufReader::new(to.try_clone().unwrap())) else {
                        continue;
                    };
                    let _ = call.send(head.lines().next().unwrap().to_owned());
                    let _ = to.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    loop {
                        let line = match told.recv_timeout(Duration::from_millis(20)) {
                            Ok(Some(line)) => line + "\n",
                            Err(RecvTimeoutError::Timeout) => "\n".to_owned(),
                            Ok(None) => break,
                            Err(RecvTimeoutError::Disconnected) => return,
                        };
                        if to.write_all(chunk(&line).as_bytes()).is_err() {
                            break;
                        }
                    }
                }
            });
            List { at, asked, tell }
        }
    }

    /// The list's line on workers: name, address, zone and state.
    pub fn line(rev: u64, all: bool, workers: &[(&str, SocketAddr, &str, &str)]) -> String {
        let entry = |(name, at, zone, state): &(&str, SocketAddr, &str, &str)| {
            format!(
                r#"{{"uid":"{name}","endpoint":"{at}","az":"{zone}","model":"plain","pod_group":0,"state":"{state}","capacity_hint":4.0,"boot_ms":0}}"#
            )
        };
        let targets = workers.iter().map(entry).collect::<Vec<_>>().join(",");
        format!(r#"{{"rev":{rev},"all":{all},"targets":[{targets}]}}"#)
    }

    pub struct Program {
        child: Child,
        /// Where its configuration is.
        path: String,
        pub at: SocketAddr,
        /// Its second address, where it has one.
        pub management: Option<SocketAddr>,
        pub log: Receiver<String>,
    }

    /// The configuration of a dispatcher on a port of its own, with workers that are ready in zone a.
    pub fn configuration(list: &List, workers: &[(&str, SocketAddr)]) -> String {
        let workers: Vec<_> = workers.iter().map(|(name, at)| (*name, *at, "a", "in_service")).collect();
        let workload = |name: &str, effect: &str, more: &str| {
            format!(
                r#"{{"name":"{name}","idempotency":"{effect}","dueTimeMs":1000.0,"expiryMs":5000.0,"revenue":1.0{more}}}"#
            )
        };
        let workloads = [
            workload("search", "repeatable", ""),
            workload("bid", "once", ""),
            workload("register", "by_key", r#","keyScope":"zone","windowMs":5000.0"#),
        ];
        format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},"known":{},
            "settings":{{"index":0,"groupSize":1,"zone":0,"discovery":"automatic","zones":["a","b"],
            "hostTypes":["plain"],"limits":{{"mostAssignments":3,"cancel":true,"connIdleMs":30000.0,
            "dialTimeoutMs":400.0,"retryAfter":true,"maxRetryAfterMs":1500.0}},
            "obligations":{{"coldFrom":0.3,"warmWithinMs":9000.0,"overloadFactor":3.0,"fallMs":3000.0,
            "drainGraceMs":1000.0}},"feedback":{{"how":"piggyback"}},
            "specifics":{{"classStretch":[2.5,2.5,2.5],"progressMs":2000.0,"tellsStart":true}},
            "workloads":[{}]}}}}"#,
            list.at,
            line(1, true, &workers),
            workloads.join(",")
        )
    }

    /// Writes a configuration to a file of its own.
    pub fn written(configuration: &str) -> String {
        static FILES: AtomicUsize = AtomicUsize::new(0);
        let n = FILES.fetch_add(1, Ordering::Relaxed);
        let path = format!("{}/{}-{n}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
        fs::write(&path, configuration).unwrap();
        path
    }

    impl Program {
        pub fn start(command: Command, configuration: &str) -> Self {
            let mut program = Self::begin(command, configuration);
            program.opens();
            program
        }

        /// Starts it, and does not wait until it serves.
        pub fn begin(mut command: Command, configuration: &str) -> Self {
            let path = written(configuration);
            let mut child = command.env("RELAY_CONFIG", &path).stderr(Stdio::piped()).spawn().unwrap();
            let errors = BufReader::new(child.stderr.take().unwrap());
            let (line, log) = channel();
            spawn(move || errors.lines().map_while(Result::ok).try_for_each(|l| line.send(l)));
            Program { child, path, at: "0.0.0.0:0".parse().unwrap(), management: None, log }
        }

        /// Waits until it serves.
        pub fn opens(&mut self) {
            while self.at.port() == 0 {
                let line = self.log.recv_timeout(LONG).expect("a start");
                if let Some(at) = line.strip_prefix("managed on ") {
                    self.management = Some(at.parse().unwrap());
                }
                if let Some(at) = line.strip_prefix("listening on ") {
                    self.at = at.parse().unwrap();
                }
            }
        }

        /// A call at the second address: status and text.
        pub fn call(&self, method: &str, path: &str) -> (u16, String) {
            let mut client = Client::at(self.management.expect("a second address"));
            client.write(&format!("{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n"));
            let (status, _, text) = client.hear().expect("an answer");
            (status, text)
        }

        /// What the log says behind these words, when it does.
        pub fn logged(&self, words: &str) -> String {
            loop {
                let line = self.log.recv_timeout(LONG).expect(words);
                if let Some((_, rest)) = line.split_once(words) {
                    return rest.to_owned();
                }
            }
        }

        pub fn terminate(&self) {
            self.signal("-TERM");
        }

        /// It stands still, until it is resumed.
        pub fn stop(&self) {
            self.signal("-STOP");
        }

        pub fn resume(&self) {
            self.signal("-CONT");
        }

        /// Replaces its configuration, and tells it so.
        pub fn reload(&self, configuration: &str) {
            fs::write(&self.path, configuration).unwrap();
            self.signal("-HUP");
        }

        fn signal(&self, name: &str) {
            let id = self.child.id().to_string();
            assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
        }

        pub fn ended(&mut self) -> ExitStatus {
            self.child.wait().unwrap()
        }
    }

    impl Drop for Program {
        fn drop(&mut self) {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }

    pub struct Client {
        to: TcpStream,
        from: BufReader<TcpStream>,
    }

    impl Client {
        pub fn of(program: &Program) -> Self {
            Self::at(program.at)
        }

        pub fn at(address: SocketAddr) -> Self {
            let to = TcpStream::connect(address).unwrap();
            to.set_read_timeout(Some(LONG)).unwrap();
            let from = BufReader::new(to.try_clone().unwrap());
            Client { to, from }
        }

        pub fn write(&mut self, text: &str) {
            self.to.write_all(text.as_bytes()).unwrap();
        }

        /// Hands in a task.
        pub fn hand_in(&mut self, path: &str, id: &str, budget: &str) {
            self.write(&format!(
                "POST {path} HTTP/1.1\r\nHost: x\r\nX-Call-Id: {id}\r\nX-Budget: {budget}\r\n\
                 Idempotency-Key: key-{id}\r\nContent-Length: 4\r\n\r\nbody"
            ));
        }

        /// The next answer: its status, head and body; nothing where the connection has ended.
        pub fn hear(&mut self) -> Option<(u16, String, String)> {
            let (head, body) = message(&mut self.from)?;
            Some((head.split(' ').nth(1)?.parse().ok()?, head, body))
        }

        pub fn ask(&mut self, path: &str, id: &str, budget: &str) -> (u16, String, String) {
            self.hand_in(path, id, budget);
            self.hear().expect("an answer")
        }

        pub fn ready(&mut self) -> u16 {
            self.write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
            self.hear().expect("an answer").0
        }
    }
}
