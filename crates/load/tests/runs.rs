//! The built program against stand-ins on sockets of this machine.

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Command, Output};
use std::sync::{Arc, OnceLock};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use serde_json::Value;

/// Answers each request with `answer`; while `holds` says so, only once its time is over.
fn server(answer: &'static str, holds: fn(Duration) -> Option<Duration>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let first = Arc::new(OnceLock::<Instant>::new());
    spawn(move || {
        for stream in listener.incoming() {
            let first = first.clone();
            spawn(move || {
                serve(stream.unwrap(), answer, || holds(first.get_or_init(Instant::now).elapsed()))
            });
        }
    });
    at
}

fn serve(mut to: TcpStream, answer: &str, hold: impl Fn() -> Option<Duration>) -> Option<()> {
    let mut from = BufReader::new(to.try_clone().ok()?);
    loop {
        let (mut line, mut length) = (String::new(), 0);
        while line != "\r\n" {
            line.clear();
            from.read_line(&mut line).ok().filter(|n| *n > 0)?;
            let stated = line.to_lowercase().strip_prefix("content-length:").map(|l| l.trim().parse());
            length = stated.map_or(length, |l| l.unwrap());
        }
        from.read_exact(&mut vec![0; length]).ok()?;
        hold().into_iter().for_each(sleep);
        if answer.is_empty() {
            return None;
        }
        to.write_all(answer.as_bytes()).ok()?;
    }
}

const DONE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const AWAY: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

fn load(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_rainlug-load")).args(arguments).output().unwrap()
}

fn plan(folder: &Path, target: &str, more: &str) -> String {
    let path = folder.join("plan.toml");
    let text = format!(
        "target = \"{target}\"\nseed = 1\nseconds = 4.0\nconnections = 512\n\
         arrivals = {{ shape = \"constant\", rate = 100.0 }}\n\
         [[workloads]]\nname = \"search\"\npart = 1.0\nbudget_ms = 5000\n{more}"
    );
    fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

fn played(target: &str, more: &str) -> (tempfile::TempDir, Value) {
    let folder = tempfile::tempdir().unwrap();
    let (plan, out) = (plan(folder.path(), target, more), folder.path().join("out"));
    let run = load(&["run", &plan, "--out", out.to_str().unwrap()]);
    assert!(run.status.success(), "{}", String::from_utf8_lossy(&run.stderr));
    let result = serde_json::from_str(&fs::read_to_string(out.join("result.json")).unwrap()).unwrap();
    (folder, result)
}

/// Coordinated omission: who waits for an answer before the next task would count one slow task for 200.
#[test]
fn a_server_that_stands_still_for_two_seconds_is_measured_as_it_was() {
    let pause = |now: Duration| {
        let within = (1.0..3.0).contains(&now.as_secs_f64());
        within.then(|| Duration::from_secs(3) - now)
    };
    let (folder, result) = played(&server(DONE, pause).to_string(), "");
    let load = &result["workloads"][0];
    assert_eq!((&load["tasks"], &load["ends"]["finished"]), (&Value::from(400), &Value::from(400)));
    // Half of the tasks come while it stands still, 10 ms apart. The exact check is in virtual time (record.rs); here the
    // machine may be busy.
    for (nth, truth) in [(1, 1000.0), (2, 1600.0), (3, 1800.0), (4, 1960.0)] {
        let seen = load["percentiles"][nth][1].as_f64().unwrap();
        assert!((seen - truth).abs() < 0.03 * truth + 10.0, "{nth}: {seen} for {truth}");
    }
    let out = folder.path().join("out");
    for (file, words) in [
        ("report.md", "| search | 400 | 0 | 400 finished |"),
        ("workloads.csv", "search,400,finished,400"),
        ("seconds.csv", "search,3,100,100,"),
        ("latency.svg", "<svg"),
        ("throughput.svg", "search"),
    ] {
        assert!(fs::read_to_string(out.join(file)).unwrap().contains(words), "{file}");
    }
    let same = load_compare(&out, &out);
    assert!(same.contains("| search | part finished | 1.00 | 1.00 | 1.000 |"), "{same}");
}

fn load_compare(a: &Path, b: &Path) -> String {
    let found = load(&["compare", a.to_str().unwrap(), b.to_str().unwrap()]);
    assert!(found.status.success());
    String::from_utf8(found.stdout).unwrap()
}

#[test]
fn what_a_target_does_wrong_is_counted_by_its_kind() {
    let gone = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let stalls = |_| Some(Duration::from_secs(60));
    let cases = [
        (gone, "", "refused"),
        (server(AWAY, |_| None), "", "bounced"),
        (server("", |_| None), "", "broken"),
        (server("what is this\r\n\r\n", |_| None), "", "broken"),
        (server("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", |_| None), "", "abandoned"),
        (server("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", |_| None), "", "odd"),
        (server(DONE, stalls), "short", "timed-out"),
    ];
    let all: Vec<_> = cases
        .into_iter()
        .map(|(at, how, end)| {
            spawn(move || {
                let folder = tempfile::tempdir().unwrap();
                let path = plan(folder.path(), &at.to_string(), "");
                let text = fs::read_to_string(&path).unwrap().replace("seconds = 4.0", "seconds = 0.5");
                let text = if how == "short" { text.replace("5000", "200") } else { text };
                fs::write(&path, text).unwrap();
                let out = folder.path().join("out");
                let run = load(&["run", &path, "--out", out.to_str().unwrap()]);
                assert!(run.status.success(), "{end}: {}", String::from_utf8_lossy(&run.stderr));
                let said = fs::read_to_string(out.join("workloads.csv")).unwrap();
                assert!(said.contains(&format!("search,50,{end},50")), "{end}: {said}");
            })
        })
        .collect();
    all.into_iter().for_each(|t| t.join().unwrap());
}

#[test]
fn tries_after_a_bounce_belong_to_the_first() {
    let (_folder, result) = played(&server(AWAY, |_| None).to_string(), "retries = 2\nbackoff_ms = 5\n");
    let load = &result["workloads"][0];
    let counted = (&load["tasks"], &load["again"], &load["ends"]["bounced"]);
    assert_eq!(counted, (&Value::from(400), &Value::from(800), &Value::from(400)));
}

#[test]
fn nothing_is_sent_to_what_is_no_loopback_address_or_by_a_faulty_plan() {
    let folder = tempfile::tempdir().unwrap();
    for (target, words) in [("192.0.2.1:80", "no loopback address"), ("nowhere", "plan.toml")] {
        let run = load(&["run", &plan(folder.path(), target, "")]);
        let said = String::from_utf8_lossy(&run.stderr).into_owned();
        assert!(!run.status.success() && said.contains(words), "{said}");
    }
    let run = load(&["report", folder.path().to_str().unwrap()]);
    assert!(!run.status.success() && String::from_utf8_lossy(&run.stderr).contains("result.json"));
}
