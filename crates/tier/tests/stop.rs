//! The end of a process that has a call in hand, and signals to one that has only just begun.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

const TIMEOUT: Duration = Duration::from_secs(20);

/// A store that is ended with the test.
struct Store {
    child: Child,
    control: SocketAddr,
}

impl Store {
    /// A store whose seeds never answer.
    fn start(dir: &Path) -> Self {
        let port = 31_000 + (std::process::id() % 200) as u16 * 4;
        let control = SocketAddr::from(([127, 0, 0, 9], port));
        let data = dir.join("data").display().to_string();
        let settings = include_str!("outside/store.toml")
            .replace("127.0.0.5", "127.0.0.9")
            .replace("[7410, 7413]", &format!("[{}, {}]", port + 1, port + 3))
            .replace("local/data/store-1", &data)
            .replace("[listen]", &format!("[listen]\ncontrol = \"{control}\""));
        let file = dir.join("store.toml");
        std::fs::write(&file, settings).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_rainlug"));
        let child =
            command.args(["store", "--settings"]).arg(&file).stdout(Stdio::null()).stderr(Stdio::piped());
        Store { child: child.spawn().unwrap(), control }
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }

    /// A connection to its control address, as soon as there is one.
    fn connect(&self) -> TcpStream {
        let begun = Instant::now();
        let connected = std::iter::repeat_with(|| TcpStream::connect(self.control)).find(|connected| {
            assert!(begun.elapsed() < TIMEOUT, "the store does not come up");
            connected.is_ok()
        });
        let stream = connected.unwrap().unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The store ended at once, and the operator's connection with it.
#[test]
fn given_an_order_that_nobody_can_settle_when_the_asked_store_is_stopped_then_its_operator_is_answered() {
    let dir = tempfile::tempdir().unwrap();
    let mut store = Store::start(dir.path());
    let mut operator = store.connect();
    let text = rainlug_tier::local::CONFIGURATION;
    let call = format!(
        "PUT /v1/configuration HTTP/1.1\r\nHost: x\r\nIf-Match: \"0\"\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    );
    operator.write_all(call.as_bytes()).unwrap();
    // One thread reads all calls, so the answer to a later one shows that the order is in hand.
    let mut later = store.connect();
    later.write_all(b"GET /v1/figures HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").unwrap();
    assert!(later.read_to_end(&mut Vec::new()).unwrap() > 0);
    store.signal(Signal::SIGTERM);
    let mut answer = String::new();
    operator.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
    drop(operator);
    assert!(store.child.wait().unwrap().success());
}

/// Handlers were installed when all else had begun, so a signal before that ended the process.
#[test]
fn given_a_store_that_waits_for_its_disk_when_its_settings_are_read_again_then_it_waits_on_until_it_is_stopped()
 {
    let dir = tempfile::tempdir().unwrap();
    std::fs::write(dir.path().join("data"), "no directory").unwrap();
    let mut store = Store::start(dir.path());
    let mut log = BufReader::new(store.child.stderr.take().unwrap()).lines().map_while(Result::ok);
    assert!(log.any(|line| line.contains("waits: ")), "it waits for its disk");
    store.signal(Signal::SIGHUP);
    assert!(log.any(|line| line.contains("settings")), "it has read its settings again");
    store.signal(Signal::SIGTERM);
    assert!(store.child.wait().unwrap().success());
}
