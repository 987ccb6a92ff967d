//! Upgrades in series and with crashes, under clients that open connections without a pause: none of them is reset or refused.

#[path = "../../../tests/common/mod.rs"]
mod common;

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, ScopedJoinHandle};

use common::sockets::*;

const PROGRAM: &str = env!("CARGO_BIN_EXE_rainlugd");
const CLIENTS: usize = 4;
/// Of Linux: an open that does not wait for the other end.
const O_NONBLOCK: i32 = 0o4000;
/// Upgrades in series.
const UPGRADES: usize = 10;

/// What the processes of one dispatcher have in common.
struct Dispatcher {
    directory: tempfile::TempDir,
    name: String,
    list: List,
    worker: Worker,
}

impl Dispatcher {
    fn new(name: &str) -> Self {
        let directory = tempfile::tempdir().unwrap();
        Dispatcher {
            directory,
            name: name.into(),
            list: List::start(),
            worker: Worker::start(|_| Act::Finish),
        }
    }

    fn text(&self, listen: &str) -> String {
        let listens = format!("\"management\":\"127.0.0.1:0\",\"listen\":\"{listen}\"");
        let text = configuration(&self.list, &[("w1", self.worker.at)]);
        let text = text.replace("\"listen\":\"127.0.0.1:0\"", &listens);
        text.replace("\"name\":\"n0\"", &format!("\"name\":\"{}\"", self.name))
    }

    fn command(&self) -> Command {
        let mut command = Command::new(PROGRAM);
        command.env("TMPDIR", self.directory.path());
        command
    }

    fn first(&self) -> Program {
        Program::start(self.command(), &self.text("127.0.0.1:0"))
    }

    /// The next process at that address; it has begun, and need not serve yet.
    fn begin(&self, at: SocketAddr) -> Program {
        Program::begin(self.command(), &self.text(&at.to_string()))
    }

    /// The next process at that address, which serves.
    fn next(&self, at: SocketAddr) -> Program {
        let mut next = self.begin(at);
        next.opens();
        next
    }

    fn directory(&self) -> &Path {
        self.directory.path()
    }
}

/// Clients that open a connection for each task; the count of those that were answered, when it is over.
fn clients<'scope>(
    scope: &'scope thread::Scope<'scope, '_>,
    at: SocketAddr,
    over: &'scope AtomicBool,
) -> Vec<ScopedJoinHandle<'scope, usize>> {
    let client = move |number: usize| {
        let mut asked = 0;
        while !over.load(Ordering::Relaxed) {
            let (status, ..) = Client::at(at).ask("/search", &format!("c{number}-{asked}"), "4000m");
            assert_eq!(status, 200);
            asked += 1;
        }
        asked
    };
    (0..CLIENTS).map(|number| scope.spawn(move || client(number))).collect()
}

fn all_answered(clients: Vec<ScopedJoinHandle<'_, usize>>, over: &AtomicBool) {
    over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| assert!(client.join().unwrap() > 0));
}

/// Each upgrade closed a listener, and reset the connections whose handshake completed in that moment.
#[test]
fn given_connections_without_a_pause_when_upgrades_follow_one_another_then_none_is_lost() {
    let dispatcher = Dispatcher::new("n0");
    let mut old = dispatcher.first();
    let (at, over) = (old.at, AtomicBool::new(false));
    thread::scope(|scope| {
        let clients = clients(scope, at, &over);
        for _ in 0..UPGRADES {
            let new = dispatcher.next(at);
            old.terminate();
            assert!(old.ended().success());
            old = new;
        }
        all_answered(clients, &over);
    });
}

/// The newer process alone had a socket open, so with its death clients were refused until it was started again.
#[test]
fn given_a_stop_that_is_under_way_when_the_follower_is_killed_then_the_older_process_accepts_again() {
    let dispatcher = Dispatcher::new("n0");
    let old = dispatcher.first();
    // Its connection keeps the older process until it is closed.
    let mut open = Client::of(&old);
    open.write("POST /search HTTP/1.1\r\n");
    let new = dispatcher.next(old.at);
    old.terminate();
    old.logged("clients come to another process now, from the same listener");
    drop(new);
    assert_eq!(Client::of(&old).ask("/search", "after", "4000m").0, 200);
    let rest = "X-Call-Id: open\r\nX-Budget: 4000m\r\nContent-Length: 0\r\n\r\n";
    open.write(rest);
    assert_eq!(open.hear().unwrap().0, 200);
}

#[test]
fn given_three_processes_when_the_first_two_end_in_either_order_then_none_is_lost() {
    for first_ends_first in [true, false] {
        let dispatcher = Dispatcher::new("n0");
        let mut first = dispatcher.first();
        let (at, over) = (first.at, AtomicBool::new(false));
        thread::scope(|scope| {
            let clients = clients(scope, at, &over);
            let mut second = dispatcher.next(at);
            let _third = dispatcher.next(at);
            let (one, other) =
                if first_ends_first { (&mut first, &mut second) } else { (&mut second, &mut first) };
            one.terminate();
            other.terminate();
            assert!(one.ended().success() && other.ended().success());
            all_answered(clients, &over);
        });
    }
}

/// More than wait in an inbox at once.
const IDLE_CONNECTIONS: usize = 40;

/// A connection that had idled was closed by the process that stopped, and what its client sent meanwhile was lost.
#[test]
fn given_idle_connections_when_upgrades_follow_one_another_then_each_next_process_answers_on_them() {
    let dispatcher = Dispatcher::new("n0");
    let mut process = dispatcher.first();
    let mut clients: Vec<Client> = (0..IDLE_CONNECTIONS).map(|_| Client::of(&process)).collect();
    for round in 0..3 {
        for (number, client) in clients.iter_mut().enumerate() {
            assert_eq!(client.ask("/search", &format!("c{number}-{round}"), "4000m").0, 200);
        }
        let next = dispatcher.next(process.at);
        process.terminate();
        process.logged(&format!("{IDLE_CONNECTIONS} idle connections passed on"));
        assert!(process.ended().success());
        process = next;
    }
    for (number, client) in clients.iter_mut().enumerate() {
        let (status, head, _) = client.ask("/search", &format!("c{number}-last"), "4000m");
        assert_eq!((status, field(&head, "Connection")), (200, None));
    }
}

/// The next process has no inbox, as one of an older version: idle connections are ended in time.
#[test]
fn given_a_next_process_that_takes_no_connections_when_the_old_one_stops_then_idle_ones_end_in_order() {
    let dispatcher = Dispatcher::new(&"n".repeat(100));
    let mut old = dispatcher.first();
    let mut client = Client::of(&old);
    assert_eq!(client.ask("/search", "s1", "4000m").0, 200);
    let _new = dispatcher.next(old.at);
    old.terminate();
    assert!(client.hear().is_none());
    assert!(old.ended().success());
}

/// A disk that stalled stalled the tasks of every client: the thread that serves read and wrote the files of `TMPDIR`.
#[test]
fn given_a_file_whose_reader_is_held_up_when_tasks_come_then_they_are_answered_and_the_process_ends() {
    let dispatcher = Dispatcher::new("n0");
    let mut process = dispatcher.first();
    let words = dispatcher.directory().join("rainlug-n0.words");
    assert!(Command::new("mkfifo").arg(&words).status().unwrap().success());
    // There is a writer only once it is being read, and the reader waits until this one ends.
    let open = || File::options().write(true).custom_flags(O_NONBLOCK).open(&words).ok();
    let mut writer = None;
    until("the file is read", |_| {
        writer = open();
        writer.is_some()
    });
    let mut client = Client::of(&process);
    for number in 0..CLIENTS {
        assert_eq!(client.ask("/search", &format!("s{number}"), "4000m").0, 200);
    }
    assert_eq!(process.call("GET", "/healthcheck").0, 200);
    assert_eq!(process.call("POST", "/workers/w1/maint").0, 200);
    process.terminate();
    assert!(process.ended().success());
    drop(writer);
}

/// A planned restart whose next process has begun when the old one ends: its listener lives on in the next one.
#[test]
fn given_a_process_that_has_begun_when_the_one_before_ends_first_then_no_connection_is_refused() {
    let dispatcher = Dispatcher::new("n0");
    let mut old = dispatcher.first();
    let at = old.at;
    // No word of the list comes, so it waits for that after it has been passed the listener.
    let mut new = dispatcher.begin(at);
    new.logged("workers as the process before knows them");
    old.terminate();
    assert!(old.ended().success());
    let mut client = Client::at(at);
    assert_eq!(client.ask("/search", "between", "4000m").0, 200);
    new.opens();
}

/// A process without clients ended before it had looked into the queue of its own listener. The name is too long for the path
/// of an inbox: the processes listen beside one another, as older ones do.
#[test]
fn given_listeners_of_their_own_when_the_old_process_stops_without_clients_then_it_empties_its_queue_first() {
    let dispatcher = Dispatcher::new(&"n".repeat(100));
    let mut old = dispatcher.first();
    let new = dispatcher.next(old.at);
    old.terminate();
    assert!(old.logged("clients come to another process now; ").ends_with(" waited here"));
    assert!(old.ended().success());
    assert_eq!(Client::of(&new).ask("/search", "s1", "4000m").0, 200);
    assert!(dispatcher.directory().read_dir().unwrap().all(|file| {
        let name = file.unwrap().file_name();
        !name.to_string_lossy().ends_with(".sock")
    }));
}

/// The newer of two processes with listeners of their own closed its listener with all that waited there.
#[test]
fn given_an_older_process_that_serves_on_when_the_newer_one_is_stopped_then_it_empties_its_queue_first() {
    let dispatcher = Dispatcher::new(&"n".repeat(100));
    let old = dispatcher.first();
    let mut new = dispatcher.next(old.at);
    new.terminate();
    assert!(new.logged("clients come to another process now; ").ends_with(" waited here"));
    assert!(new.ended().success());
    assert_eq!(Client::of(&old).ask("/search", "s1", "4000m").0, 200);
}

/// A process that stands still holds a listener of its own with connections in its queue; from a shared one others take them.
#[test]
fn given_an_older_process_that_is_killed_when_connections_wait_in_the_queue_then_the_newer_one_serves_them() {
    let dispatcher = Dispatcher::new("n0");
    let old = dispatcher.first();
    let (at, over) = (old.at, AtomicBool::new(false));
    let new = dispatcher.next(at);
    old.stop();
    thread::scope(|scope| {
        let clients = clients(scope, at, &over);
        until("twenty tasks at the newer one", |_| {
            let (_, figures) = new.call("GET", "/stats");
            let served = figures.lines().find_map(|line| line.strip_prefix("relay.replies.search.success:"));
            served.and_then(|rest| rest.split('|').next()).is_some_and(|n| n.parse::<usize>().unwrap() > 20)
        });
        drop(old);
        all_answered(clients, &over);
    });
}

/// The process that was asked ended while it waited for the other one, and its caller was told nothing.
#[test]
fn given_a_word_that_waits_for_another_process_when_the_asked_one_is_stopped_then_its_caller_is_told() {
    let dispatcher = Dispatcher::new("n0");
    let mut old = dispatcher.first();
    let new = dispatcher.next(old.at);
    new.stop();
    let mut operator = Client::at(old.management.unwrap());
    operator.write("POST /workers/w1/maint HTTP/1.1\r\nHost: x\r\n\r\n");
    old.logged("worker w1 is out by hand");
    old.terminate();
    assert_eq!(operator.hear().expect("an answer").0, 200);
    drop(operator);
    assert!(old.ended().success());
}

/// Clients that came again and again kept a process without a follower for good, until it was killed with what it held.
#[test]
fn given_clients_that_come_again_and_again_when_the_only_process_is_stopped_then_it_ends() {
    let dispatcher = Dispatcher::new("n0");
    let mut only = dispatcher.first();
    let at = only.at;
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            scope.spawn(move || {
                // Until the address is closed. What is read is answered, be it that there is no room.
                for asked in 0.. {
                    let Ok(stream) = TcpStream::connect(at) else { break };
                    if !is_answered(stream, &format!("c{number}-{asked}")) {
                        break;
                    }
                }
            });
        }
        only.terminate();
        assert!(only.ended().success());
    });
}

/// Whether a task on that connection has an answer.
fn is_answered(mut stream: TcpStream, id: &str) -> bool {
    let task = format!(
        "POST /search HTTP/1.1\r\nX-Call-Id: {id}\r\nX-Budget: 4000m\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    );
    let mut answer = String::new();
    stream.write_all(task.as_bytes()).is_ok()
        && stream.read_to_string(&mut answer).is_ok()
        && !answer.is_empty()
}
