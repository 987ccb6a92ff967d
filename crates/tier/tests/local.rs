//! A whole tier on this machine, as `rainlug local` starts it: served, struck, and ended in order.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rainlug_sim_worker::client::{self, Ask, Response};
use rainlug_tier::local::{CONFIGURATION, HOST, Plan};
use tokio::time::{Instant, sleep};

/// All of it takes no longer.
const TIMEOUT: Duration = Duration::from_secs(40);
const LOT: &str = include_str!("../../../deploy/local/lot.json");

/// The command, ended with the test whatever way that goes; its processes end with it.
struct Running {
    child: Child,
    /// Names and process numbers, as it shows them.
    processes: Vec<(String, i32)>,
    logs: std::path::PathBuf,
}

impl Drop for Running {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for log in std::fs::read_dir(&self.logs).into_iter().flatten().flatten() {
                let text = std::fs::read_to_string(log.path()).unwrap_or_default();
                let last: Vec<&str> = text.lines().rev().take(8).collect();
                eprintln!("{}:\n{}", log.path().display(), last.join("\n"));
            }
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Running {
    fn start(plan: &Plan) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_rainlug"))
            .args([
                "local",
                "--dir",
                &plan.dir.display().to_string(),
                "--base-port",
                &plan.base_port.to_string(),
            ])
            .args(["--workers", &plan.workers.to_string()])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let mut running = Running { child, processes: Vec::new(), logs: plan.dir.join("logs") };
        for line in lines.by_ref().map_while(Result::ok) {
            let cells: Vec<&str> = line.split_whitespace().collect();
            if let [name, _, process, ..] = cells[..]
                && let (Some(_), Ok(process)) = (name.split_once('-'), process.parse())
            {
                running.processes.push((name.to_owned(), process));
            }
            if line.starts_with("Ctrl-C ends") {
                break;
            }
        }
        std::thread::spawn(move || lines.for_each(drop));
        running
    }

    fn kill(&self, name: &str) {
        let process = self.processes.iter().find(|(of, _)| of == name).expect("a process of that name").1;
        kill(Pid::from_raw(process), Signal::SIGKILL).unwrap();
    }

    fn interrupt(&mut self) -> bool {
        kill(Pid::from_raw(self.child.id() as i32), Signal::SIGINT).unwrap();
        self.child.wait().unwrap().success()
    }
}

/// Asks again until an answer will do.
async fn until(
    what: &str,
    end: Instant,
    at: &[SocketAddr],
    ask: Ask<'_>,
    will_do: impl Fn(&Response) -> bool,
) -> Response {
    let mut last = None;
    for at in at.iter().cycle() {
        let response = client::call(*at, ask, Duration::from_secs(3)).await;
        if let Ok(response) = &response
            && will_do(response)
        {
            return response.clone();
        }
        last = Some(response);
        if Instant::now() >= end {
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    panic!("{what}: not within {TIMEOUT:?}, last {last:?}");
}

async fn request(end: Instant, at: &[SocketAddr], id: &str) {
    let fields = [("Host", HOST), ("X-Rainlug-Attempt-Id", id)];
    let ask = Ask { method: "GET", path: "/ask/me", fields: &fields, body: b"" };
    let response = until("a request", end, at, ask, |response| response.status == 200).await;
    assert!(response.body.starts_with(b"GET /ask/me: 0 bytes taken; done by worker-"));
}

fn rainlug(arguments: &[&str]) -> (bool, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_rainlug")).args(arguments).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8(text).unwrap())
}

/// A subcommand of an operator, given again until it has an answer.
async fn operator(end: Instant, arguments: &[&str]) -> String {
    loop {
        let (done, text) = rainlug(arguments);
        if done {
            return text;
        }
        assert!(Instant::now() < end, "{arguments:?}: {text}");
        sleep(Duration::from_millis(200)).await;
    }
}

async fn job(end: Instant, at: SocketAddr) -> Vec<String> {
    let at = at.to_string();
    let text = operator(end, &["lot", "lot1", "--at", &at, "--host", HOST, "--wait-s", "20"]).await;
    let mut results: Vec<String> = text.lines().skip(1).map(str::to_owned).collect();
    results.sort();
    results
}

fn plan(dir: &Path) -> Plan {
    // Ports that the system gives to nobody by itself, others than those of tests beside this one.
    let base_port = 10_000 + (std::process::id() % 1000) as u16 * 20;
    Plan { dir: dir.to_owned(), gateways: 3, stores: 3, workers: 3, base_port }
}

#[tokio::test]
async fn given_a_tier_when_a_leader_and_a_store_are_killed_then_it_serves_and_keeps_its_state() {
    let dir = tempfile::tempdir().unwrap();
    let plan = plan(dir.path());
    let end = Instant::now() + TIMEOUT;
    let mut running = Running::start(&plan);
    assert_eq!(running.processes.len(), 9, "it came up");
    let (fronts, controls) = (plan.front_addresses(), plan.control_addresses());
    for settings in ["gateway-1", "store-3"] {
        assert!(
            rainlug(&[
                "check",
                &dir.path().join("settings").join(format!("{settings}.toml")).display().to_string()
            ])
            .0
        );
    }

    request(end, &fronts, "r1").await;
    let chat = [
        ("Host", HOST),
        ("X-Rainlug-Attempt-Id", "s1"),
        ("X-Rainlug-Model", "m"),
        ("X-Rainlug-Token-Count", "300,12"),
        ("X-Rainlug-Prompt-Prefix", "a1:200,b1:100"),
    ];
    let ask = Ask { method: "POST", path: "/chat/1", fields: &chat, body: b"hello" };
    let whole = until("a stream", end, &fronts, ask, |response| response.status == 200).await;
    let text = String::from_utf8(whole.body.to_vec()).unwrap();
    let ids: Vec<u64> = text.lines().filter_map(|l| l.strip_prefix("id: ")?.parse().ok()).collect();
    assert_eq!(ids, (1..=12).collect::<Vec<u64>>());
    // Any worker goes on where another one was.
    let later = [&chat[..], &[("Last-Event-Id", "9")]].concat();
    let ask = Ask { fields: &later, ..ask };
    let rest = until("a stream that goes on", end, &fronts, ask, |response| response.status == 200).await;
    assert!(text.ends_with(str::from_utf8(&rest.body).unwrap()) && rest.body.starts_with(b"id: 10\n"));

    let fields = [("Host", HOST), ("X-Rainlug-Attempt-Id", "lot1"), ("Content-Type", "application/json")];
    let ask = Ask { method: "POST", path: "/batch/lot1", fields: &fields, body: LOT.as_bytes() };
    until("a batch job", end, &fronts, ask, |response| response.status == 202).await;
    let results = job(end, fronts[2]).await;
    assert!(results.len() == 3 && results.iter().all(|line| line.contains("complete")), "{results:?}");

    // Who leads the configuration's part is killed, and a store.
    let at: Vec<String> = controls.iter().map(SocketAddr::to_string).collect();
    let shards = operator(end, &["parts", "--at", &at[0]]).await;
    let leader = shards.lines().nth(1).and_then(|line| line.split_whitespace().nth(2)).unwrap_or("-");
    let leader = if leader == "-" { "gateway-1" } else { leader };
    running.kill(leader);
    running.kill("store-1");
    let left: Vec<usize> = (0..3).filter(|n| format!("gateway-{}", n + 1) != leader).collect();
    for (n, at) in left.iter().map(|n| fronts[*n]).enumerate() {
        request(end, &[at], &format!("r{}", n + 2)).await;
    }
    assert_eq!(job(end, fronts[left[0]]).await, results);

    let second = dir.path().join("second.json");
    std::fs::write(&second, CONFIGURATION.replace("\"version\": 1", "\"version\": 3")).unwrap();
    let (file, control) = (second.display().to_string(), &at[left[1]]);
    operator(end, &["configuration", "put", &file, "--if-match", "1", "--at", control]).await;
    let back = operator(end, &["configuration", "get", "--at", &at[left[0]]]).await;
    assert_eq!(back, std::fs::read_to_string(&second).unwrap());
    let refused = rainlug(&["configuration", "put", &file.replace("second", "none"), "--at", control]);
    assert!(!refused.0);

    for what in ["members", "workers", "stores", "figures"] {
        let plain = operator(end, &[what, "--at", control]).await;
        let json = operator(end, &[what, "--at", control, "--json"]).await;
        assert!(
            plain.lines().count() >= 3 && json.starts_with('{') && json.ends_with("}\n"),
            "{what}: {plain}{json}"
        );
    }
    assert!(running.interrupt(), "it ends in order");
    assert!(Instant::now() < end + Duration::from_secs(10));
}

#[test]
fn given_a_folder_of_another_tier_when_started_then_it_is_refused() {
    let dir = tempfile::tempdir().unwrap();
    let at = dir.path().display().to_string();
    std::fs::write(dir.path().join("layout"), "--gateways 3 --stores 3 --base-port 7400").unwrap();
    let (done, text) = rainlug(&["local", "--dir", &at, "--gateways", "4"]);
    assert!(!done && text.contains("--gateways 3 --stores 3") && text.lines().count() == 1, "{text}");
    let (done, text) = rainlug(&["local", "--dir", &at, "--workers", "0"]);
    assert!(!done && text.contains("--workers") && text.lines().count() == 1, "{text}");
    let lock = std::fs::File::create(dir.path().join("lock")).unwrap();
    lock.try_lock().unwrap();
    let (done, text) = rainlug(&["local", "--dir", &at]);
    assert!(!done && text.contains("another `rainlug local` runs here"), "{text}");
}
