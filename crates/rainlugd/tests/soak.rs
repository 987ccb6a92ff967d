//! Soak of one dispatcher: clients use open connections until the process behind them is gone, while upgrades, restarts, kills, pauses,
//! reloads and words of operators follow one another and overlap. `docs/soak.md` says how to run it for longer.

#[path = "../../../tests/common/mod.rs"]
mod common;

use std::collections::{HashMap, VecDeque};
use std::fmt::{self, Debug, Display, Formatter};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::str::FromStr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::sockets::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const PROGRAM: &str = env!("CARGO_BIN_EXE_rainlugd");
/// Processes of one dispatcher that run beside each other, at most.
const MAX_PROCESSES: usize = 4;
/// Between two actions of the operator at the second address.
const OPERATOR_PAUSE: Duration = Duration::from_millis(15);
/// A call at the second address is due in a second; a paused process has its pause more.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// The longest that a process stands still.
const MAX_PAUSE_MS: u64 = 800;
/// A stopped process has this time to end: the longest expiry of a task, and some for the machine that it runs on.
const END_TIMEOUT: Duration = Duration::from_secs(15);

/// What a run is told by its environment.
struct Options {
    first_seed: u64,
    seeds: u64,
    seconds: u64,
    /// Dispatchers of one run, each with up to four processes.
    dispatchers: u8,
    clients: usize,
}

fn option<T: FromStr>(name: &str, default: T) -> T {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

impl Options {
    fn from_environment() -> Self {
        Options {
            first_seed: option("RAINLUG_SOAK_SEED", 1),
            seeds: option("RAINLUG_SOAK_SEEDS", 2),
            seconds: option("RAINLUG_SOAK_SECONDS", 12),
            dispatchers: option("RAINLUG_SOAK_DISPATCHERS", 1),
            clients: option("RAINLUG_SOAK_CLIENTS", 6),
        }
    }
}

/// How an exchange came to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Connect,
    Write,
    Read,
}

#[derive(Debug)]
struct Loss {
    step: Step,
    kind: ErrorKind,
    /// Answers that the connection had brought before.
    answers: usize,
    /// The client's address, where it had one.
    from: Option<SocketAddr>,
    opened: Instant,
    /// When the last tasks were written, where any were.
    written: Option<Instant>,
    at: Instant,
}

impl Display for Loss {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {:?} after {} answers", self.step, self.kind, self.answers)?;
        write!(f, ", opened {:?} before", self.at - self.opened)?;
        if let Some(written) = self.written {
            write!(f, ", last written {:?} before", self.at - written)?;
        }
        self.from.map_or(Ok(()), |from| write!(f, " of {from}"))
    }
}

/// When connections may be lost.
#[derive(Default)]
struct Excuses {
    /// A process was killed: its connections end.
    kills: Vec<Instant>,
    /// A dispatcher without a next process: from its stop until it serves again.
    gaps: Vec<(Instant, Option<Instant>)>,
}

impl Excuses {
    fn cover(&self, loss: &Loss) -> bool {
        let was_open = |at: &Instant| (loss.opened..=loss.at).contains(at);
        let overlaps = |(begin, end): &(Instant, Option<Instant>)| {
            *begin <= loss.at && end.is_none_or(|end| loss.opened <= end)
        };
        self.kills.iter().any(was_open) || self.gaps.iter().any(overlaps)
    }
}

/// Logs that are kept whole: a client may tell of a task after the process that answered it has ended.
const KEPT_LOGS: usize = 3;

/// What ended processes have logged.
#[derive(Default)]
struct EndedLogs {
    recent: VecDeque<Vec<String>>,
    /// Of earlier ones, the lines on what was violated.
    earlier: Vec<String>,
}

impl EndedLogs {
    fn add(&mut self, log: Vec<String>, violations: &[String]) {
        self.recent.push_back(log);
        if self.recent.len() > KEPT_LOGS {
            let oldest = self.recent.pop_front().unwrap_or_default();
            self.earlier.extend(oldest.into_iter().filter(|line| is_named(line, violations)));
        }
    }

    fn lines_on(&self, violations: &[String]) -> Vec<&str> {
        let recent = self.recent.iter().flatten().filter(|line| is_named(line, violations));
        self.earlier.iter().chain(recent).map(String::as_str).collect()
    }
}

/// Whether a line of a log has the id of a task or the address of a client that a violation names.
fn is_named(line: &str, violations: &[String]) -> bool {
    let words = violations.iter().flat_map(|violation| violation.split([' ', ',']));
    let mut names = words.map(|word| word.trim_end_matches(':')).filter(|word| {
        word.parse::<SocketAddr>().is_ok() || word.strip_prefix('c').is_some_and(|rest| rest.contains('-'))
    });
    names.any(|name| line.split(' ').any(|word| word == name))
}

/// What all threads of a dispatcher's run share.
struct Shared {
    seed: u64,
    begun: Instant,
    is_over: AtomicBool,
    excuses: Mutex<Excuses>,
    losses: Mutex<Vec<Loss>>,
    violations: Mutex<Vec<String>>,
    journal: Mutex<Vec<String>>,
    logs: Mutex<EndedLogs>,
    answered: AtomicUsize,
    rejected: AtomicUsize,
    calls: AtomicUsize,
}

impl Shared {
    fn new(seed: u64) -> Self {
        Shared {
            seed,
            begun: Instant::now(),
            is_over: AtomicBool::new(false),
            excuses: Mutex::default(),
            losses: Mutex::default(),
            violations: Mutex::default(),
            journal: Mutex::default(),
            logs: Mutex::default(),
            answered: AtomicUsize::new(0),
            rejected: AtomicUsize::new(0),
            calls: AtomicUsize::new(0),
        }
    }

    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    fn note(&self, text: impl Display) {
        let line = format!("{:8.3} {text}", self.begun.elapsed().as_secs_f64());
        if std::env::var_os("RAINLUG_SOAK_LIVE").is_some() {
            println!("{line}");
        }
        self.journal.lock().unwrap().push(line);
    }

    fn violated(&self, what: impl Display) {
        self.note(format!("VIOLATION {what}"));
        self.violations.lock().unwrap().push(format!("seed {}: {what}", self.seed));
    }

    /// Keeps what a process has logged that has ended, or is about to be killed.
    fn ended(&self, log: impl Iterator<Item = String>) {
        let log = log.collect();
        self.logs.lock().unwrap().add(log, &self.violations.lock().unwrap());
    }

    fn killed(&self) {
        self.excuses.lock().unwrap().kills.push(Instant::now());
    }

    fn gap_begins(&self) {
        self.note("gap begins");
        self.excuses.lock().unwrap().gaps.push((Instant::now(), None));
    }

    fn gap_ends(&self) {
        self.note("gap ends");
        let mut excuses = self.excuses.lock().unwrap();
        excuses.gaps.last_mut().expect("a gap that has begun").1 = Some(Instant::now());
    }

    fn random(&self, task: u64) -> SmallRng {
        SmallRng::seed_from_u64(self.seed.wrapping_mul(1_000_003).wrapping_add(task))
    }
}

/// How a client uses its connections.
#[derive(Clone, Copy, Debug)]
enum Habit {
    /// A connection for each task.
    Fresh,
    /// One until the dispatcher ends it, at once again.
    Busy,
    /// One until the dispatcher ends it, with pauses.
    Paused,
    /// One, and several tasks written together.
    Pipelined,
}

const HABITS: [Habit; 4] = [Habit::Fresh, Habit::Busy, Habit::Paused, Habit::Pipelined];
/// Tasks that are written together.
const PIPELINED: usize = 3;
/// The longest pause of a client: shorter than an idle connection is kept while the process stops.
const MAX_CLIENT_PAUSE_MS: u64 = 60;

/// A client's connection.
struct Connection {
    stream: TcpStream,
    from: BufReader<TcpStream>,
    address: Option<SocketAddr>,
    opened: Instant,
    written: Option<Instant>,
    answers: usize,
}

impl Connection {
    fn open(at: SocketAddr) -> Result<Self, Loss> {
        let opened = Instant::now();
        let refused = |error: std::io::Error| Loss {
            step: Step::Connect,
            kind: error.kind(),
            answers: 0,
            from: None,
            opened,
            written: None,
            at: Instant::now(),
        };
        let stream = TcpStream::connect(at).map_err(refused)?;
        let timed = stream.set_read_timeout(Some(LONG)).and_then(|()| stream.set_nodelay(true));
        let from = timed.and_then(|()| stream.try_clone()).map_err(refused)?;
        let address = stream.local_addr().ok();
        Ok(Connection { stream, from: BufReader::new(from), address, opened, written: None, answers: 0 })
    }

    fn write(&mut self, text: &str) -> Result<(), Loss> {
        self.written = Some(Instant::now());
        self.stream.write_all(text.as_bytes()).map_err(|error| self.lost(Step::Write, &error))
    }

    fn lost(&self, step: Step, error: &std::io::Error) -> Loss {
        let Connection { answers, address: from, opened, written, .. } = *self;
        Loss { step, kind: error.kind(), answers, from, opened, written, at: Instant::now() }
    }

    /// The next answer: status, head and body.
    fn read(&mut self) -> Result<(u16, String, String), Loss> {
        let answer = read_answer(&mut self.from).map_err(|error| self.lost(Step::Read, &error))?;
        self.answers += 1;
        Ok(answer)
    }
}

fn read_answer(from: &mut impl std::io::BufRead) -> std::io::Result<(u16, String, String)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if from.read_line(&mut head)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
    }
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    let length = field(&head, "Content-Length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    from.read_exact(&mut body)?;
    let body = String::from_utf8(body).map_err(|_| ErrorKind::InvalidData)?;
    Ok((status.ok_or(ErrorKind::InvalidData)?, head, body))
}

/// A client until the run is over.
fn client(shared: &Shared, number: usize, at: SocketAddr) {
    let mut random = shared.random(1000 + number as u64);
    let habit = HABITS[number % HABITS.len()];
    let mut open: Option<Connection> = None;
    let mut task = 0;
    while !shared.is_over() {
        let connection = open.take().map_or_else(|| Connection::open(at), Ok);
        let asked = connection.and_then(|connection| {
            let count = if matches!(habit, Habit::Pipelined) { PIPELINED } else { 1 };
            let ids: Vec<String> = (task..task + count).map(|n| format!("c{number}-{n}")).collect();
            task += count;
            ask(shared, &mut random, connection, &ids)
        });
        match asked {
            Ok(connection) => open = connection.filter(|_| !matches!(habit, Habit::Fresh)),
            Err(loss) => {
                shared.losses.lock().unwrap().push(loss);
                // Not as fast as a gap refuses.
                thread::sleep(Duration::from_millis(5));
            }
        }
        if matches!(habit, Habit::Paused) {
            thread::sleep(Duration::from_millis(random.random_range(0..MAX_CLIENT_PAUSE_MS)));
        }
    }
}

/// Asks for tasks written together, and checks their answers; the connection, if it may be used again.
fn ask(
    shared: &Shared,
    random: &mut SmallRng,
    mut connection: Connection,
    ids: &[String],
) -> Result<Option<Connection>, Loss> {
    let tasks = ids.iter().map(|id| {
        let path = ["/search", "/bid"][usize::from(random.random_bool(0.4))];
        format!(
            "POST {path} HTTP/1.1\r\nHost: x\r\nX-Call-Id: {id}\r\nX-Budget: 4000m\r\nContent-Length: 4\r\n\r\nbody"
        )
    });
    connection.write(&tasks.collect::<String>())?;
    for id in ids {
        let (status, head, body) = connection.read()?;
        match status {
            200 if body == format!("result of {id}") => shared.answered.fetch_add(1, Ordering::Relaxed),
            503 => shared.rejected.fetch_add(1, Ordering::Relaxed),
            _ => {
                shared.violated(format!("{id}: {status}, {body:?}"));
                0
            }
        };
        // What was written behind an answer that ends the connection has not been read.
        if field(&head, "Connection") == Some("close") {
            return Ok(None);
        }
    }
    Ok(Some(connection))
}

/// The processes of the dispatcher, the newest last.
struct Driver<'a> {
    shared: &'a Shared,
    directory: tempfile::TempDir,
    list: List,
    workers: Vec<(&'static str, SocketAddr)>,
    at: SocketAddr,
    processes: Vec<Program>,
    /// Where calls at the second address go; those that are told to end are not among them.
    managed: &'a Mutex<Vec<SocketAddr>>,
}

impl Driver<'_> {
    fn text(&self) -> String {
        let listens = format!("\"management\":\"127.0.0.1:0\",\"listen\":\"{}\"", self.at);
        configuration(&self.list, &self.workers).replace("\"listen\":\"127.0.0.1:0\"", &listens)
    }

    fn begin(&self) -> Program {
        let mut command = Command::new(PROGRAM);
        command.env("TMPDIR", self.directory.path());
        Program::begin(command, &self.text())
    }

    /// Starts the next process, and waits until it serves.
    fn start(&mut self) {
        let program = self.begin();
        self.serve(program);
    }

    /// Waits until a process that has begun serves.
    fn serve(&mut self, mut program: Program) {
        program.opens();
        self.at = program.at;
        self.managed.lock().unwrap().extend(program.management);
        self.processes.push(program);
        self.shared.note(format!("started: {} processes", self.processes.len()));
    }

    /// From now on no call at the second address of that process has to be answered.
    fn unmanage(&self, index: usize) {
        let at = self.processes[index].management;
        self.managed.lock().unwrap().retain(|managed| Some(*managed) != at);
    }

    fn terminate(&self, index: usize) {
        self.unmanage(index);
        self.processes[index].terminate();
        self.shared.note(format!("SIGTERM at {index} of {}", self.processes.len()));
    }

    fn wait(&mut self, index: usize) {
        let mut process = self.processes.remove(index);
        let begun = Instant::now();
        if !process.ended().success() {
            self.shared.violated("a stopped process did not end in order");
        }
        self.shared.ended(process.log.iter());
        if begun.elapsed() > END_TIMEOUT {
            self.shared.violated(format!("a stopped process took {:?}", begun.elapsed()));
        }
    }

    fn kill(&mut self, index: usize) {
        self.unmanage(index);
        self.shared.note(format!("SIGKILL at {index} of {}", self.processes.len()));
        self.shared.killed();
        let process = self.processes.remove(index);
        self.shared.ended(process.log.try_iter());
        drop(process);
    }

    /// An upgrade: the next process serves, then the ones before are stopped, and waited for or not.
    fn upgrade(&mut self, random: &mut SmallRng) {
        while self.processes.len() >= MAX_PROCESSES {
            self.terminate(0);
            self.wait(0);
        }
        self.start();
        let old = self.processes.len() - 1;
        (0..old).for_each(|index| self.terminate(index));
        if random.random_bool(0.3) && self.processes.len() < MAX_PROCESSES {
            // A second upgrade during the first.
            self.start();
            self.terminate(old);
            self.wait(old);
        }
        (0..old).for_each(|_| self.wait(0));
    }

    /// A process beside the others, which stays.
    fn add(&mut self) {
        if self.processes.len() < MAX_PROCESSES {
            self.start();
        }
    }

    /// A next process that dies before or after it serves.
    fn failed_upgrade(&mut self, random: &mut SmallRng) {
        if self.processes.len() == MAX_PROCESSES {
            return;
        }
        if random.random_bool(0.5) {
            self.start();
            self.kill(self.processes.len() - 1);
            return;
        }
        let program = self.begin();
        program.logged("managed on ");
        thread::sleep(Duration::from_millis(random.random_range(0..300)));
        self.shared.note("SIGKILL at one that begins");
        self.shared.killed();
        drop(program);
    }

    /// The old process of an upgrade is stopped, and the new one killed before it has ended.
    fn follower_killed(&mut self) {
        if self.processes.len() == MAX_PROCESSES {
            return;
        }
        self.start();
        let old = self.processes.len() - 2;
        self.terminate(old);
        if old == 0 {
            // Nobody follows any more once the signal has gone out, which is before the killed process has been waited for: the
            // old one may have ended already.
            self.shared.gap_begins();
        }
        self.kill(old + 1);
        if old == 0 {
            self.wait(0);
            self.start();
            self.shared.gap_ends();
        } else {
            self.wait(old);
        }
    }

    /// An old process is killed where a newer one serves.
    fn old_killed(&mut self) {
        if self.processes.len() < MAX_PROCESSES {
            self.start();
        }
        self.kill(0);
    }

    /// All stop, and one starts.
    fn restart(&mut self) {
        self.shared.gap_begins();
        (0..self.processes.len()).for_each(|index| self.terminate(index));
        (0..self.processes.len()).for_each(|_| self.wait(0));
        self.start();
        self.shared.gap_ends();
    }

    /// One stands still for a while, and a next process may begin meanwhile.
    fn pause(&mut self, random: &mut SmallRng) {
        let index = random.random_range(0..self.processes.len());
        self.shared.note(format!("SIGSTOP at {index}"));
        self.processes[index].stop();
        let is_joined = random.random_bool(0.5) && self.processes.len() < MAX_PROCESSES;
        let next = is_joined.then(|| self.begin());
        thread::sleep(Duration::from_millis(random.random_range(10..MAX_PAUSE_MS)));
        self.processes[index].resume();
        self.shared.note(format!("SIGCONT at {index}"));
        if let Some(next) = next {
            self.serve(next);
        }
    }

    fn reload(&mut self, random: &mut SmallRng) {
        let index = random.random_range(0..self.processes.len());
        let text = if random.random_bool(0.3) { "{".to_owned() } else { self.text() };
        self.shared.note(format!("SIGHUP at {index}"));
        self.processes[index].reload(&text);
    }

    /// Actions until the time is over; then all processes are stopped.
    fn drive(&mut self, until: Instant) {
        let mut random = self.shared.random(1);
        while Instant::now() < until {
            match random.random_range(0..100) {
                0..30 => self.upgrade(&mut random),
                30..40 => self.add(),
                40..50 => self.failed_upgrade(&mut random),
                50..60 => self.follower_killed(),
                60..68 => self.old_killed(),
                68..76 => self.restart(),
                76..88 => self.pause(&mut random),
                _ => self.reload(&mut random),
            }
            thread::sleep(Duration::from_millis(random.random_range(0..150)));
        }
    }
}

/// Calls at the second addresses, one after the other: those of a process that nobody has told to end are answered.
fn operator(shared: &Shared, managed: &Mutex<Vec<SocketAddr>>) {
    let mut random = shared.random(2);
    while !shared.is_over() {
        thread::sleep(OPERATOR_PAUSE);
        let at = {
            let managed = managed.lock().unwrap();
            if managed.is_empty() {
                continue;
            }
            managed[random.random_range(0..managed.len())]
        };
        let calls = ["GET /stats", "GET /healthcheck", "POST /workers/w2/maint", "POST /workers/w2/ready"];
        let call = calls[random.random_range(0..calls.len())];
        let answer = call_at(at, call);
        shared.calls.fetch_add(1, Ordering::Relaxed);
        let is_managed = managed.lock().unwrap().contains(&at);
        match answer {
            Ok(200) => {}
            Ok(status) => shared.violated(format!("{call}: {status}")),
            Err(error) if is_managed => shared.violated(format!("{call}: {error}")),
            Err(_) => {}
        }
    }
}

fn call_at(at: SocketAddr, call: &str) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect(at)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    stream.write_all(format!("{call} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok());
    status.ok_or_else(|| ErrorKind::UnexpectedEof.into())
}

/// One dispatcher under all of it; what was violated, each with its journal. It has a loopback address of its own: while it has no
/// process, no other socket of this run may be given its port.
fn soak(seed: u64, number: u8, options: &Options) -> Vec<String> {
    let shared = Shared::new(seed);
    let workers = [Worker::start(|_| Act::Finish), Worker::start(|_| Act::Finish)];
    let managed = Mutex::default();
    let mut driver = Driver {
        shared: &shared,
        directory: tempfile::tempdir().unwrap(),
        list: List::start(),
        workers: ["w1", "w2"].into_iter().zip(workers.iter().map(|worker| worker.at)).collect(),
        at: SocketAddr::from(([127, 77, number, 1], 0)),
        processes: Vec::new(),
        managed: &managed,
    };
    driver.start();
    let at = driver.at;
    thread::scope(|scope| {
        let shared = &shared;
        (0..options.clients).for_each(|number| drop(scope.spawn(move || client(shared, number, at))));
        scope.spawn(|| operator(shared, &managed));
        driver.drive(shared.begun + Duration::from_secs(options.seconds));
        shared.is_over.store(true, Ordering::Relaxed);
    });
    (0..driver.processes.len()).for_each(|index| driver.terminate(index));
    (0..driver.processes.len()).for_each(|_| driver.wait(0));
    let runs = workers.iter().flat_map(|worker| worker.tasks.try_iter()).collect::<Vec<_>>();
    check(&shared, &runs);
    let violations = shared.violations.into_inner().unwrap();
    if !violations.is_empty() {
        println!("{}", shared.journal.into_inner().unwrap().join("\n"));
        println!("{}", shared.logs.into_inner().unwrap().lines_on(&violations).join("\n"));
    }
    violations
}

/// Losses that nothing excuses, and tasks that may not be repeated and have been.
fn check(shared: &Shared, runs: &[(String, String)]) {
    let excuses = shared.excuses.lock().unwrap();
    let losses = shared.losses.lock().unwrap();
    for loss in losses.iter().filter(|loss| !excuses.cover(loss)) {
        let at = loss.at.duration_since(shared.begun).as_secs_f64();
        shared.violated(format!("at {at:.3} s a connection is lost, {loss}"));
    }
    let mut bids = HashMap::<&str, usize>::new();
    for (head, _) in runs.iter().filter(|(head, _)| head.starts_with("POST /bid")) {
        *bids.entry(field(head, "X-Call-Id").unwrap_or_default()).or_default() += 1;
    }
    for (id, count) in bids.iter().filter(|(_, count)| **count > 1) {
        shared.violated(format!("{id} has run {count} times"));
    }
    let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
    println!(
        "seed {}: {} answered, {} rejected, {} bids run, {} calls, {} connections lost to kills and gaps",
        shared.seed,
        count(&shared.answered),
        count(&shared.rejected),
        bids.len(),
        count(&shared.calls),
        losses.iter().filter(|loss| excuses.cover(loss)).count(),
    );
    if count(&shared.answered) == 0 {
        shared.violated("nothing was answered");
    }
}

/// Runs all seeds; what was violated.
fn soak_all(options: &Options) -> Vec<String> {
    let mut violations = Vec::new();
    for seed in options.first_seed..options.first_seed + options.seeds {
        thread::scope(|scope| {
            let beside = |number: u8| seed.wrapping_add(u64::from(number) * 1_000_000);
            let runs: Vec<_> = (0..options.dispatchers)
                .map(|number| scope.spawn(move || soak(beside(number), number, options)))
                .collect();
            runs.into_iter().for_each(|run| violations.extend(run.join().unwrap()));
        });
    }
    violations
}

/// Guards against connections and calls that are lost without a kill or a gap, answers of others, and effects that happen twice.
#[test]
fn given_signals_restarts_and_changes_that_overlap_when_clients_use_open_connections_then_none_is_lost() {
    let violations = soak_all(&Options::from_environment());
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against the same where the processes of forty dispatchers, up to 160, share one machine.
#[test]
fn given_as_many_processes_as_the_machine_bears_when_signals_overlap_then_no_connection_is_lost() {
    let options = Options { first_seed: 900, seeds: 2, seconds: 20, dispatchers: 40, clients: 3 };
    let violations = soak_all(&options);
    assert!(violations.is_empty(), "{violations:#?}");
}
