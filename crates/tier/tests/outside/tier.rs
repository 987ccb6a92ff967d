//! Three gateways, three stores and a worker at loopback addresses of their own, and what they tell: the shapes of all JSON that operators
//! read, and the names of figures.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rainlug_tier::local::{CONFIGURATION, HOST, MachineRole, Plan, spawn};
use rainlug_tier::metrics;
use serde_json::Value;

use super::{PROGRAM, fixture};

const LOT: &str = include_str!("../../../../deploy/local/lot.json");
/// All must be up, and told, in this time.
const MOST: Duration = Duration::from_secs(30);
/// How many tiers this process has started: each has addresses of its own, for two at most.
static STARTED: AtomicU32 = AtomicU32::new(0);
const AGAIN: Duration = Duration::from_millis(200);
/// Keys whose texts are words of the interface; other texts are names, addresses and the like.
const WORDS: [&str; 5] = ["role", "standing", "phase", "holds", "state"];

/// A small tier. All of it ends with this value.
pub struct Tier {
    plan: Plan,
    dir: tempfile::TempDir,
    network: String,
    processes: Vec<Child>,
}

impl Drop for Tier {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Tier {
    /// Starts it, founds it with a configuration, and has a batch job done.
    pub fn start() -> Self {
        let dir = tempfile::tempdir().unwrap();
        // With three stores each shard has a replica at all of them. With fewer, a store that registers late may be left without any,
        // and its listing would then have another shape.
        let plan = Plan { dir: dir.path().to_owned(), gateways: 3, stores: 3, workers: 1, base_port: 7400 };
        // Other loopback addresses than those of tiers beside this one: figures are told at one port.
        let (id, started) = (std::process::id(), STARTED.fetch_add(1, Ordering::Relaxed));
        let network = format!("127.{}.{}.", 100 + id % 50 + 50 * (started % 2), id / 50 % 250);
        let mut tier = Tier { plan, dir, network, processes: Vec::new() };
        tier.spawn_all();
        std::fs::write(tier.file("first.json"), CONFIGURATION).unwrap();
        tier.operator(&["configuration", "put", &tier.file("first.json"), "--json"]);
        tier.submit();
        tier
    }

    fn spawn_all(&mut self) {
        for folder in ["settings", "data", "logs"] {
            std::fs::create_dir(self.plan.dir.join(folder)).unwrap();
        }
        for machine in self.plan.machines() {
            if machine.role != MachineRole::Worker {
                let settings = self.moved(&self.plan.settings_text(&machine, true));
                std::fs::write(self.plan.settings_file(&machine.name), settings).unwrap();
            }
            let arguments: Vec<String> =
                self.plan.arguments(&machine).iter().map(|a| self.moved(a)).collect();
            let log = self.plan.log_file(&machine.name);
            self.processes.push(spawn(PROGRAM.as_ref(), &arguments, &log).unwrap());
        }
    }

    /// A text of the plan with this tier's addresses.
    fn moved(&self, text: &str) -> String {
        text.replace("127.0.0.", &self.network)
    }

    fn address(&self, at: SocketAddr) -> String {
        self.moved(&at.to_string())
    }

    fn file(&self, name: &str) -> String {
        self.dir.path().join(name).display().to_string()
    }

    /// What a subcommand says at the gateway; asked again until it has an answer.
    fn operator(&self, arguments: &[&str]) -> String {
        let at = if arguments[0] == "lot" {
            self.plan.front_addresses()[0]
        } else {
            self.plan.control_addresses()[0]
        };
        let at = self.address(at);
        let until = Instant::now() + MOST;
        loop {
            let output = Command::new(PROGRAM).args(arguments).args(["--at", &at]).output().unwrap();
            if output.status.success() {
                return String::from_utf8(output.stdout).unwrap();
            }
            let said = String::from_utf8_lossy(&output.stderr).into_owned();
            assert!(Instant::now() < until, "{arguments:?}: {said}");
            std::thread::sleep(AGAIN);
        }
    }

    fn submit(&self) {
        let front = self.address(self.plan.front_addresses()[0]);
        let fields = format!("Host: {HOST}\r\nX-Rainlug-Attempt-Id: lot1\r\nContent-Type: application/json");
        let until = Instant::now() + MOST;
        while call(&front, "POST", "/batch/lot1", &fields, LOT).0 != 202 {
            assert!(Instant::now() < until, "no batch job is taken");
            std::thread::sleep(AGAIN);
        }
        self.operator(&["lot", "lot1", "--host", HOST, "--json"]);
    }

    /// What is told that a fixture holds.
    pub fn told(&self, fixture: &str) -> String {
        match fixture {
            "listings.txt" => self.listings(),
            "figures-gateway.txt" => self.figures("gateway"),
            _ => self.figures("store"),
        }
    }

    fn listings(&self) -> String {
        let mut told = String::new();
        for list in ["members", "workers", "parts", "stores"] {
            let json = shape_of(&self.operator(&[list, "--json"]));
            told += &format!("{list}\n  {}  {json}\n", first_line(&self.operator(&[list])));
        }
        std::fs::write(self.file("later.json"), CONFIGURATION.replace("\"version\": 1", "\"version\": 3"))
            .unwrap();
        let difference = self.operator(&["configuration", "diff", &self.file("later.json"), "--json"]);
        let put = self.operator(&["configuration", "put", &self.file("first.json"), "--json"]);
        told += &format!(
            "configuration diff\n  {}\nconfiguration put\n  {}\n",
            shape_of(&difference),
            shape_of(&put)
        );
        let lot = ["lot", "lot1", "--host", HOST];
        let json = self.operator(&[&lot[..], &["--json"]].concat());
        told += &format!("lot\n  {}  {}\n", first_line(&self.operator(&lot)), shape_of(&json));
        told + &self.answers()
    }

    /// Has a store emptied; the last thing that is asked of this tier.
    pub fn retire(&self) -> String {
        let retire = ["retire", "store-2", "--over-s", "1", "--watch", "--wait-s", "25", "--json"];
        shape_of(&self.operator(&retire)) + "\n"
    }

    /// The status of a call at a control address, asked again while it is answered 503.
    pub fn settled_status(&self, method: &str, path: &str, body: &str) -> u16 {
        let control = self.address(self.plan.control_addresses()[0]);
        let until = Instant::now() + MOST;
        loop {
            let (status, _) = call(&control, method, path, "Content-Type: application/json", body);
            if status != 503 || Instant::now() >= until {
                return status;
            }
            std::thread::sleep(AGAIN);
        }
    }

    /// Answers to calls without the program's help.
    fn answers(&self) -> String {
        let (front, ready) =
            (self.address(self.plan.front_addresses()[0]), self.address(self.plan.readiness_addresses()[0]));
        let control = self.address(self.plan.control_addresses()[0]);
        let host = format!("Host: {HOST}");
        let calls = [
            (&front, "GET", "/v1/lots/lot1?since_item=0", ""),
            (&front, "GET", "/v1/lots/none", ""),
            (&ready, "GET", "/v1/readiness", ""),
            (&control, "GET", "/v1/members", ""),
            (&control, "GET", "/v1/workers", ""),
            (&control, "GET", "/v1/parts", ""),
            (&control, "GET", "/v1/stores", ""),
            (&control, "GET", "/v1/configuration", ""),
            (&control, "PUT", "/v1/configuration", "{}"),
            (&control, "PUT", "/v1/workers/w", "{}"),
            (&control, "DELETE", "/v1/workers/none", ""),
            (&control, "POST", "/v1/retire/none", "{\"over_s\":1}"),
            (&control, "GET", "/v1/retire/none", ""),
            (&control, "GET", "/v1/none", ""),
        ];
        let mut told = String::new();
        for (at, method, path, body) in calls {
            let (status, body) = call(at, method, path, &host, body);
            // Of the listings' bodies, which stand above, and the configuration's it is enough that they are there.
            let shape = if at == &control && method == "GET" { String::new() } else { shape_of(&body) };
            told += format!("{method} {path}: {status} {shape}").trim_end();
            told += "\n";
        }
        told
    }

    /// The sorted names of all figures that the processes of a role tell, with `part_N` for all parts.
    fn figures(&self, role: &str) -> String {
        let mut names = BTreeSet::new();
        for machine in self.plan.machines().iter().filter(|m| m.name.starts_with(role)) {
            let at = self.address(SocketAddr::new(machine.ip.into(), metrics::PORT));
            let (status, text) = call(&at, "GET", metrics::PATH, "Host: x", "");
            assert_eq!(status, 200, "{text}");
            names.extend(text.lines().filter_map(|line| line.split(' ').next()).map(without_part));
        }
        names.into_iter().map(|name| name + "\n").collect()
    }
}

fn without_part(name: &str) -> String {
    match name.strip_prefix("part_") {
        Some(rest) => format!("part_N{}", rest.trim_start_matches(|c: char| c.is_ascii_digit())),
        None => name.to_owned(),
    }
}

fn first_line(text: &str) -> String {
    text.lines().next().unwrap_or_default().split_whitespace().collect::<Vec<_>>().join(" ") + "\n"
}

/// Asks again until a fixture's text is told; the last one told where it never is. Where fixtures are written, what is told in the end.
pub fn settled(name: &str, told: impl Fn() -> String) -> String {
    let until = Instant::now() + if fixture::is_writing() { Duration::from_secs(4) } else { MOST };
    loop {
        let told = told();
        if (!fixture::is_writing() && told == fixture::expected(name)) || Instant::now() >= until {
            return told;
        }
        std::thread::sleep(AGAIN);
    }
}

/// A call on a connection of its own: the status and the body.
fn call(at: &str, method: &str, path: &str, fields: &str, body: &str) -> (u16, String) {
    let Ok(mut stream) = TcpStream::connect(at) else { return (0, String::new()) };
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\n{fields}\r\nIf-Match: 9\r\nConnection: close\r\nContent-Length: {length}"
    );
    let mut answer = String::new();
    let asked = stream.write_all(format!("{head}\r\n\r\n{body}").as_bytes());
    let read = asked.and_then(|()| stream.set_read_timeout(Some(Duration::from_secs(5))));
    let _ = read.and_then(|()| stream.read_to_string(&mut answer));
    let status = answer.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    (status, answer.split_once("\r\n\r\n").map_or("", |(_, body)| body).to_owned())
}

/// Keys and types of a JSON text, those of all elements of a list together; the text itself where it is no JSON.
fn shape_of(text: &str) -> String {
    match serde_json::from_str::<Value>(text) {
        Ok(value) => shape("", &value),
        Err(_) => text.trim().to_owned(),
    }
}

fn shape(key: &str, value: &Value) -> String {
    match value {
        Value::Null => "null".to_owned(),
        Value::Bool(_) => "flag".to_owned(),
        Value::Number(_) => "number".to_owned(),
        Value::String(word) if WORDS.contains(&key) => format!("{word:?}"),
        Value::String(_) => "text".to_owned(),
        Value::Array(list) => {
            let shapes: BTreeSet<String> = list.iter().map(|one| shape(key, one)).collect();
            format!("[{}]", shapes.into_iter().collect::<Vec<_>>().join(" | "))
        }
        Value::Object(fields) => {
            let inner = fields.iter().map(|(name, field)| format!("{name}: {}", shape(name, field)));
            format!("{{{}}}", inner.collect::<Vec<_>>().join(", "))
        }
    }
}
