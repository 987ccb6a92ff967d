//! The built program over sockets, between stand-ins for clients, workers and the list.

#[path = "../../../tests/common/mod.rs"]
mod common;

use std::net::SocketAddr;
use std::process::Command;
use std::time::Instant;

use common::sockets::*;

const PROGRAM: &str = env!("CARGO_BIN_EXE_rainlugd");

/// A dispatcher with these workers, which has opened its watch.
fn start(workers: &[(&str, SocketAddr)]) -> (Program, List) {
    start_with(workers, |text| text)
}

fn start_with(workers: &[(&str, SocketAddr)], change: impl FnOnce(String) -> String) -> (Program, List) {
    let list = List::start();
    let program = Program::start(Command::new(PROGRAM), &change(configuration(&list, workers)));
    assert_eq!(list.asked.recv_timeout(LONG).unwrap(), "GET /v1/endpoints?watch=1&from=1 HTTP/1.1");
    (program, list)
}

/// A configuration under which the list comes only when it is asked for, at least every so many milliseconds.
fn must_ask(configuration: String, within_ms: u32) -> String {
    let within = format!("\"mustAskInMs\":{within_ms}.0,\"fallMs\"");
    configuration.replace("\"automatic\"", "\"subscribe\"").replace("\"fallMs\"", &within)
}

/// A dispatcher with up to four workers that all do the same.
fn start_alike(count: usize, act: Act) -> (Vec<Worker>, Program, List) {
    let workers: Vec<Worker> = (0..count).map(|_| Worker::start(move |_| act)).collect();
    let listed: Vec<_> = ["w1", "w2", "w3", "w4"].into_iter().zip(workers.iter().map(|w| w.at)).collect();
    let (program, list) = start(&listed);
    (workers, program, list)
}

#[test]
fn a_task_goes_to_a_worker_as_it_came_and_its_result_back() {
    let worker = Worker::start(|_| Act::Finish);
    let (program, _list) = start(&[("w1", worker.at)]);
    let mut client = Client::of(&program);
    assert_eq!(client.ready(), 200);
    for id in ["00000000000000a1", "00000000000000a2"] {
        let (status, _, body) = client.ask("/register/now?x=1", id, "4000m");
        assert_eq!((status, body), (200, format!("result of {id}")));
        let (head, body) = worker.tasks.recv_timeout(LONG).unwrap();
        assert!(head.starts_with("POST /register/now?x=1 HTTP/1.1\r\n"), "{head}");
        assert_eq!(field(&head, "X-Call-Id"), Some(id));
        assert_eq!(field(&head, "Idempotency-Key"), Some(&*format!("key-{id}")));
        let budget = field(&head, "X-Budget").and_then(|b| b.strip_suffix('u')).unwrap();
        assert!((1..=4_000_000).contains(&budget.parse::<u64>().unwrap()), "{budget}");
        assert_eq!(body, "body");
    }
}

#[test]
fn requests_written_together_are_answered_in_turn() {
    let worker = Worker::start(|_| Act::Finish);
    let (program, _list) = start(&[("w1", worker.at)]);
    let mut client = Client::of(&program);
    let ids = ["a1", "a2", "a3"];
    ids.iter().for_each(|id| client.hand_in("/search", id, "4000m"));
    ids.iter().for_each(|id| assert_eq!(client.hear().unwrap().2, format!("result of {id}")));
}

#[test]
fn what_cannot_have_run_goes_to_another_worker() {
    // One refuses the connection, one turns tasks away: neither can have run a side-effecting task.
    let busy = Worker::start(|_| Act::Return);
    let worker = Worker::start(|_| Act::Finish);
    let (program, _list) = start(&[("w1", nobody()), ("w2", busy.at), ("w3", worker.at)]);
    let mut client = Client::of(&program);
    for n in 0..6 {
        assert_eq!(client.ask("/bid", &format!("b{n}"), "4000m").0, 200);
        assert_eq!(worker.next(), format!("b{n}"));
    }
}

#[test]
fn a_side_effecting_task_that_may_have_run_is_abandoned_and_never_sent_again() {
    for act in [Act::Cut, Act::Lose, Act::Fail, Act::Misname] {
        let workers = [Worker::start(move |_| act), Worker::start(move |_| act)];
        let (program, _list) = start(&[("w1", workers[0].at), ("w2", workers[1].at)]);
        let (status, ..) = Client::of(&program).ask("/bid", "b1", "4000m");
        assert_eq!(status, 500);
        assert_eq!(workers.iter().map(|w| w.tasks.try_iter().count()).sum::<usize>(), 1);
    }
}

#[test]
fn an_idempotent_task_that_may_have_run_is_sent_again() {
    for act in [Act::Cut, Act::Lose, Act::Fail, Act::Misname] {
        let bad = Worker::start(move |_| act);
        let good = Worker::start(|_| Act::Finish);
        let (program, _list) = start(&[("w1", bad.at), ("w2", good.at)]);
        let mut client = Client::of(&program);
        for id in ["s1", "s2", "s3"] {
            let (status, _, body) = client.ask("/search", id, "4000m");
            assert_eq!((status, body), (200, format!("result of {id}")));
        }
    }
}

#[test]
fn connections_that_break_when_used_again_are_no_longer_used_again() {
    let (_workers, program, _list) = start_alike(3, Act::FinishOnce);
    let mut client = Client::of(&program);
    let mut well = 0;
    until("eight finished in a row", |n| {
        let finished = client.ask("/bid", &format!("b{n}"), "5000m").0 == 200;
        well = if finished { well + 1 } else { 0 };
        well == 8
    });
}

#[test]
fn a_task_that_no_worker_takes_is_bounced_with_a_pause() {
    let busy = Worker::start(|_| Act::Return);
    let (program, _list) = start(&[("w1", busy.at)]);
    let (status, head, _) = Client::of(&program).ask("/bid", "b1", "4000m");
    assert_eq!((status, field(&head, "Retry-After")), (503, Some("0.250")));
}

#[test]
fn a_task_is_answered_by_its_expiry_and_given_up() {
    let worker = Worker::start(|_| Act::Stall);
    let (program, _list) = start(&[("w1", worker.at)]);
    let begun = Instant::now();
    // What may have run is not bounced.
    assert_eq!(Client::of(&program).ask("/bid", "b1", "300m").0, 500);
    let taken = begun.elapsed().as_millis();
    assert!((250..2000).contains(&taken), "{taken}");
    assert_eq!(worker.given_up.recv_timeout(LONG).unwrap(), "b1");
}

#[test]
fn a_log_that_nobody_reads_ends_nothing() {
    let (_workers, mut program, _list) = start_alike(4, Act::Fail);
    // The next line finds its reader gone; each failure writes one.
    program.log = std::sync::mpsc::channel().1;
    let mut client = Client::of(&program);
    for n in 0..5 {
        let begun = Instant::now();
        assert_eq!(client.ask("/bid", &format!("b{n}"), "5000m").0, 500);
        assert!(begun.elapsed().as_millis() < 3000, "b{n} was answered at its expiry alone");
    }
}

#[test]
fn a_client_that_leaves_takes_its_task_along() {
    let worker = Worker::start(|_| Act::Stall);
    let (program, _list) = start(&[("w1", worker.at)]);
    let mut client = Client::of(&program);
    client.hand_in("/search", "s1", "5000m");
    assert_eq!(worker.next(), "s1");
    drop(client);
    assert_eq!(worker.given_up.recv_timeout(LONG).unwrap(), "s1");
}

#[test]
fn a_second_task_of_the_same_id_does_not_disturb_the_first() {
    let worker = Worker::start(|_| Act::OnWord);
    let (program, _list) = start(&[("w1", worker.at)]);
    let mut first = Client::of(&program);
    first.hand_in("/bid", "b1", "5000m");
    assert_eq!(worker.next(), "b1");
    assert_eq!(Client::of(&program).ask("/bid", "b1", "5000m").0, 409);
    worker.word.send(()).unwrap();
    assert_eq!(first.hear().unwrap().2, "result of b1");
    assert!(worker.tasks.try_recv().is_err());
}

#[test]
fn a_worker_that_drains_gets_nothing_new() {
    let (old, new) = (Worker::start(|_| Act::Finish), Worker::start(|_| Act::Finish));
    let (program, list) = start(&[("w1", old.at)]);
    let mut client = Client::of(&program);
    assert_eq!(client.ask("/search", "s0", "4000m").0, 200);
    let change = [("w1", old.at, "a", "terminating"), ("w2", new.at, "a", "in_service")];
    list.tell.send(Some(line(2, false, &change))).unwrap();
    // The first task at the new worker shows that the change has been read.
    until("a task at the new worker", |n| {
        assert_eq!(client.ask("/search", &format!("s{n}"), "4000m").0, 200);
        new.tasks.try_recv().is_ok()
    });
    old.tasks.try_iter().for_each(drop);
    for n in 0..10 {
        assert_eq!(client.ask("/search", &format!("t{n}"), "4000m").0, 200);
    }
    assert_eq!((old.tasks.try_iter().count(), new.tasks.try_iter().count()), (0, 10));
}

#[test]
fn a_list_that_is_lost_is_followed_again_and_the_old_one_holds() {
    let (old, new) = (Worker::start(|_| Act::Finish), Worker::start(|_| Act::Finish));
    let (program, list) = start(&[("w1", old.at)]);
    list.tell.send(Some(line(7, false, &[("w1", old.at, "a", "in_service")]))).unwrap();
    list.tell.send(Some("{\"rev\":".to_owned())).unwrap();
    list.tell.send(None).unwrap();
    let mut client = Client::of(&program);
    assert_eq!(client.ask("/search", "s1", "4000m").0, 200);
    assert_eq!(list.asked.recv_timeout(LONG).unwrap(), "GET /v1/endpoints?watch=1&from=7 HTTP/1.1");
    // A whole list without the old worker, of a version that went back.
    list.tell.send(Some(line(3, true, &[("w2", new.at, "a", "in_service")]))).unwrap();
    until("a task at the new worker", |n| {
        client.ask("/search", &format!("t{n}"), "4000m");
        new.tasks.try_recv().is_ok()
    });
    old.tasks.try_iter().for_each(drop);
    assert_eq!(client.ask("/search", "u1", "4000m").2, "result of u1");
    assert!(old.tasks.try_recv().is_err());
    list.tell.send(None).unwrap();
    assert_eq!(list.asked.recv_timeout(LONG).unwrap(), "GET /v1/endpoints?watch=1&from=3 HTTP/1.1");
}

#[test]
fn where_the_list_must_be_asked_for_the_module_asks_again() {
    let worker = Worker::start(|_| Act::Finish);
    let (program, list) = start_with(&[("w1", worker.at)], |t| must_ask(t, 10_000));
    for _ in 0..2 {
        list.tell.send(None).unwrap();
        assert!(list.asked.recv_timeout(LONG).is_ok());
    }
    assert_eq!(Client::of(&program).ask("/bid", "b1", "4000m").0, 200);
}

/// Watches held open for weights that change all the time took all that an overbooked list can send.
#[test]
fn a_watch_for_live_weights_is_ended_by_its_first_news_and_opened_again_later() {
    let worker = Worker::start(|_| Act::Finish);
    let (_program, list) = start_with(&[("w1", worker.at)], |t| {
        must_ask(t, 1000).replace("\"subscribe\"", "\"subscribe\",\"weightSource\":\"live\"")
    });
    for rev in [7, 8] {
        list.tell.send(Some(line(rev, false, &[("w1", worker.at, "a", "in_service")]))).unwrap();
        let asked = list.asked.recv_timeout(LONG).unwrap();
        assert_eq!(asked, format!("GET /v1/endpoints?watch=1&from={rev} HTTP/1.1"));
    }
}

#[test]
fn where_load_comes_by_probe_workers_are_asked_for_it() {
    let worker = Worker::start(|_| Act::Finish);
    let (program, _list) = start_with(&[("w1", worker.at), ("w2", worker.at)], |t| {
        t.replace("\"piggyback\"", "\"pull\"").replace("\"retryAfter\"", "\"probes\":true,\"retryAfter\"")
    });
    let mut client = Client::of(&program);
    (0..8).for_each(|n| assert_eq!(client.ask("/search", &format!("s{n}"), "4000m").0, 200));
    let mut heads = std::iter::from_fn(|| Some(worker.tasks.recv_timeout(LONG).expect("a probe").0));
    assert!(heads.any(|h| h.starts_with("GET /status/load HTTP/1.1")));
    assert_eq!(client.ask("/bid", "b1", "4000m").0, 200);
}

#[test]
fn after_the_word_to_stop_all_is_answered_and_the_program_ends() {
    let worker = Worker::start(|path| if path == "/register" { Act::OnWord } else { Act::Stall });
    let other = Worker::start(|path| if path == "/register" { Act::OnWord } else { Act::Stall });
    let (mut program, _list) = start(&[("w1", worker.at), ("w2", other.at)]);
    let mut clients: Vec<Client> = (0..3).map(|_| Client::of(&program)).collect();
    let mut idle = Client::of(&program);
    assert_eq!(idle.ready(), 200);
    for (client, path) in clients.iter_mut().zip(["/search", "/bid", "/register"]) {
        client.hand_in(path, &path[1..], "5000m");
    }
    let mut silent = Client::of(&program);
    let begun = Instant::now();
    program.terminate();
    assert!(idle.hear().is_none(), "an idle connection is closed");
    // A client that connects now is served, also when it takes its time: the later one has been seen by then.
    let (mut late, mut later) = (Client::of(&program), Client::of(&program));
    assert_eq!(later.ready(), 503);
    assert_eq!(late.ready(), 503);
    [&worker, &other].iter().for_each(|w| w.word.send(()).unwrap());
    let (status, head, body) = clients[2].hear().unwrap();
    assert_eq!((status, &*body, field(&head, "Connection")), (200, "result of register", Some("close")));
    // What is idempotent may be asked again, what may have run may not; both before the process can be killed.
    assert_eq!(clients[0].hear().unwrap().0, 503);
    assert_eq!(clients[1].hear().unwrap().0, 500);
    assert!(begun.elapsed().as_millis() < 3700);
    drop((clients, late, later));
    // One that never wrote anything does not keep the process.
    assert!(silent.hear().is_none());
    assert!(program.ended().success());
}

#[test]
fn more_clients_than_there_is_room_for_are_told_so() {
    let worker = Worker::start(|_| Act::Finish);
    let (program, _list) =
        start_with(&[("w1", worker.at)], |t| t.replace("\"sockets\":256", "\"sockets\":36"));
    let mut busy: Vec<Client> = (0..10).map(|_| Client::of(&program)).collect();
    // All seats are taken by those whose requests are coming.
    for (n, client) in busy.iter_mut().enumerate() {
        client.write(&format!("POST /search HTTP/1.1\r\nX-Call-Id: s{n}\r\nContent-Length: 1\r\n\r\n"));
    }
    // All of them are there before the first one speaks, and none makes room for another.
    let mut more: Vec<Client> = (0..4).map(|_| Client::of(&program)).collect();
    for client in &mut more {
        let (status, head, _) = client.ask("/register", "one too many", "5000m");
        assert_eq!((status, field(&head, "Connection")), (503, Some("close")));
        assert!(client.hear().is_none());
    }
    // One of them that speaks when there is room again is served.
    let mut patient = Client::of(&program);
    for client in &mut busy {
        client.write("x");
        assert_eq!(client.hear().unwrap().0, 200);
    }
    busy.clear();
    assert_eq!(patient.ask("/register", "room again", "5000m").0, 200);
}

#[test]
fn idle_clients_make_room_for_new_ones() {
    let worker = Worker::start(|_| Act::Finish);
    let (program, _list) =
        start_with(&[("w1", worker.at)], |t| t.replace("\"sockets\":256", "\"sockets\":36"));
    let mut clients: Vec<Client> = Vec::new();
    for n in 0..40 {
        let mut client = Client::of(&program);
        let answer = client.ask("/search", &format!("s{n}"), "4000m").0;
        assert!([200, 503].contains(&answer), "{answer}");
        clients.push(client);
    }
    assert!(clients.iter_mut().take(20).any(|c| c.hear().is_none()));
}

#[test]
fn a_process_out_of_descriptors_goes_on_when_there_are_some() {
    let worker = Worker::start(|_| Act::Finish);
    let list = List::start();
    let mut shell = Command::new("sh");
    shell.args(["-c", "ulimit -n 40; exec \"$0\"", PROGRAM]);
    let known = configuration(&list, &[("w1", worker.at)]);
    let program = Program::start(shell, &known.replace("\"sockets\":256", "\"sockets\":1024"));
    let many: Vec<Client> = (0..60).map(|_| Client::of(&program)).collect();
    program.logged("cannot accept a client");
    drop(many);
    assert_eq!(Client::of(&program).ask("/bid", "b1", "4000m").0, 200);
}

#[test]
fn odd_requests_are_refused_without_harm() {
    let worker = Worker::start(|_| Act::Finish);
    let customers = r#""settings":{"customers":[{"name":"acme","quotaPerS":9.0}],"#;
    let (program, _list) = start_with(&[("w1", worker.at)], |t| t.replace("\"settings\":{", customers));
    let post = |rest: &str| format!("POST /search HTTP/1.1\r\n{rest}\r\n");
    let long = "x".repeat(9000);
    let cases = [
        (400, "nonsense\r\n\r\n".to_owned()),
        (400, post("X-Budget: 100m\r\n")),
        (400, post("X-Call-Id: a\r\nX-Budget: soon\r\n")),
        (400, post("X-Call-Id: a\r\nX-Caller: nobody\r\n")),
        (400, post("X-Call-Id: a\r\nContent-Length: 4\r\nContent-Length: 5\r\n")),
        (400, post("X-Call-Id: a\r\nContent-Length: -4\r\n")),
        (400, post("X-Call-Id: a\r\nTransfer-Encoding: gzip\r\n")),
        (413, post("X-Call-Id: a\r\nContent-Length: 65537\r\n")),
        (413, post(&format!("X-Call-Id: {long}\r\n"))),
        (404, "POST /nothing HTTP/1.1\r\nX-Call-Id: a\r\n\r\n".to_owned()),
        (405, "GET /search HTTP/1.1\r\nX-Call-Id: a\r\n\r\n".to_owned()),
    ];
    for (status, text) in cases {
        let mut client = Client::of(&program);
        client.write(&text);
        assert_eq!(client.hear().expect(&text).0, status, "{text}");
    }
    assert!(worker.tasks.try_recv().is_err());
    let mut client = Client::of(&program);
    client.write(
        "POST /search HTTP/1.1\r\nX-Call-Id: a\r\nX-Caller: acme\r\nTransfer-Encoding: chunked\r\n\r\n",
    );
    client.write("3\r\nbod\r\n1\r\ny\r\n0\r\n\r\n");
    assert_eq!(client.hear().unwrap().0, 200);
    assert_eq!(worker.tasks.recv_timeout(LONG).unwrap().1, "body");
}

#[test]
fn a_client_that_never_says_what_it_wants_is_let_go_in_time() {
    let worker = Worker::start(|_| Act::Finish);
    let (program, _list) = start(&[("w1", worker.at)]);
    let mut kept = Client::of(&program);
    assert_eq!(kept.ask("/search", "s1", "4000m").0, 200);
    let begun = Instant::now();
    let whole = "POST /search HTTP/1.1\r\nX-Call-Id: a\r\nContent-Length: 4\r\n\r\nbod";
    let mut bad: Vec<Client> = ["", "POST /sea", whole]
        .map(|text| {
            let mut client = Client::of(&program);
            client.write(text);
            client
        })
        .into();
    assert!(bad[0].hear().is_none());
    for client in &mut bad[1..] {
        assert_eq!(client.hear().unwrap().0, 408);
        assert!(client.hear().is_none());
    }
    assert!(begun.elapsed().as_millis() < 3000);
    assert_eq!(kept.ask("/search", "s2", "4000m").0, 200, "who is idle between tasks stays");
}

#[test]
fn silent_clients_cost_the_others_nothing() {
    let worker = Worker::start(|_| Act::Finish);
    let (program, _list) =
        start_with(&[("w1", worker.at)], |t| t.replace("\"sockets\":256", "\"sockets\":64"));
    let mut kept = Client::of(&program);
    assert_eq!(kept.ask("/search", "s0", "4000m").0, 200);
    // Many times the seats that there are.
    let silent: Vec<Client> = (0..200).map(|_| Client::of(&program)).collect();
    let begun = Instant::now();
    for n in 1..8 {
        assert_eq!(kept.ask("/search", &format!("s{n}"), "4000m").0, 200, "one that has been served stays");
        assert_eq!(Client::of(&program).ask("/search", &format!("t{n}"), "4000m").0, 200);
    }
    assert!(begun.elapsed().as_millis() < 1500, "they waited until silent clients were let go");
    drop(silent);
}

#[test]
fn what_a_head_alone_condemns_is_answered_before_its_body_and_ends_the_connection() {
    let worker = Worker::start(|_| Act::Finish);
    let (program, _list) = start(&[("w1", worker.at)]);
    let length = "Content-Length: 60000\r\n\r\n";
    for (status, head) in [
        (404, format!("POST /nothing HTTP/1.1\r\nX-Call-Id: a\r\n{length}")),
        (400, format!("POST /search HTTP/1.1\r\n{length}")),
        (400, format!("POST /search HTTP/1.1\r\nX-Call-Id: a\r\nX-Budget: soon\r\n{length}")),
        (400, format!("POST /search HTTP/1.1\r\nX-Call-Id: a\r\nTransfer-Encoding: chunked\r\n{length}")),
        (413, "POST /search HTTP/1.1\r\nX-Call-Id: a\r\nContent-Length: 60000000\r\n\r\n".to_owned()),
    ] {
        let mut client = Client::of(&program);
        client.write(&head);
        assert_eq!(client.hear().expect(&head).0, status, "{head}");
        // A whole one behind it may have been hidden in its body.
        client.write("POST /search HTTP/1.1\r\nX-Call-Id: b\r\nX-Budget: 4000m\r\n\r\n");
        assert!(client.hear().is_none(), "{head}");
    }
    assert!(worker.tasks.try_recv().is_err());
}

#[test]
fn a_huge_body_is_answered_while_it_comes() {
    let (program, _list) = start(&[]);
    let mut client = Client::of(&program);
    client.write("POST /search HTTP/1.1\r\nX-Call-Id: a\r\nContent-Length: 60000000\r\n\r\n");
    let part = "x".repeat(1 << 16);
    (0..64).for_each(|_| client.write(&part));
    // Closed with all that unread, the connection would be reset and the answer lost.
    assert_eq!(client.hear().unwrap().0, 413);
}

#[test]
fn with_little_memory_clients_take_turns() {
    let worker = Worker::start(|_| Act::Finish);
    let (program, _list) =
        start_with(&[("w1", worker.at)], |t| t.replace("\"memory_mb\":64", "\"memory_mb\":1"));
    let mut clients: Vec<Client> = (0..8).map(|_| Client::of(&program)).collect();
    for (n, client) in clients.iter_mut().rev().take(3).enumerate() {
        assert_eq!(client.ask("/search", &format!("s{n}"), "4000m").0, 200);
    }
    drop(clients);
    assert_eq!(Client::of(&program).ask("/search", "one more", "4000m").0, 200);
}

#[test]
fn at_the_word_to_reload_the_list_is_followed_where_the_file_says() {
    let (old, new) = (Worker::start(|_| Act::Finish), Worker::start(|_| Act::Finish));
    let (program, list) = start(&[("w1", old.at)]);
    list.tell.send(Some(line(7, false, &[("w1", old.at, "a", "in_service")]))).unwrap();
    let mut client = Client::of(&program);
    assert_eq!(client.ask("/search", "s0", "4000m").0, 200);
    let moved = List::start();
    let good = configuration(&moved, &[("w1", old.at)]);
    // A file that cannot be used changes nothing, however often.
    for (bad, said) in [("{", "is not JSON"), (&*good.replace("\"once\"", "1"), "/workloads/1/idempotency")] {
        program.reload(bad);
        let words = program.logged("not reloaded");
        assert!(words.contains(said), "{words}");
    }
    assert!(moved.asked.try_recv().is_err());
    program.reload(&good.replace("\"memory_mb\":64", "\"memory_mb\":65"));
    let words = program.logged("reloaded");
    assert!(words.ends_with("only after a restart: limits"), "{words}");
    let asked = moved.asked.recv_timeout(LONG).unwrap();
    assert_eq!(asked, "GET /v1/endpoints?watch=1&from=7 HTTP/1.1");
    let change = [("w1", old.at, "a", "terminating"), ("w2", new.at, "a", "in_service")];
    moved.tell.send(Some(line(8, false, &change))).unwrap();
    until("a task at the new worker", |n| {
        assert_eq!(client.ask("/search", &format!("t{n}"), "4000m").0, 200);
        new.tasks.try_recv().is_ok()
    });
}

#[test]
fn a_faulty_configuration_is_one_line_that_names_the_key() {
    let list = List::start();
    let good = configuration(&list, &[("w1", nobody())]);
    let cases = [
        ("{", "is not JSON"),
        (&*good.replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":7"), "/listen"),
        (&good.replace("\"sockets\":256", "\"sockets\":-1"), "/limits/sockets"),
        (&good.replace("\"memory_mb\":64", "\"memory_mb\":\"64\""), "/limits/memory_mb"),
        (&good.replace("\"seed\":\"8c", "\"seed\":\"zz"), "/seed"),
        (&good.replace("\"targets\"", "\"others\""), "/known"),
        (&good.replace("\"dialTimeoutMs\":400.0", "\"dialTimeoutMs\":-400.0"), "/limits/dialTimeoutMs"),
        (&good.replace("\"groupSize\":1,", ""), "/groupSize"),
        (&good.replace("\"once\"", "\"sometimes\""), "/workloads/1/idempotency"),
        (&good.replace("\"cancel\":true", "\"cancel\":1"), "/limits/cancel"),
        (&good.replace("\"listen\":", "\"management\":7,\"listen\":"), "/management"),
        (&good.replace("127.0.0.1:0\"", "127.0.0.1:9\",\"management\":\"127.0.0.1:9\""), "/management"),
        (&good.replace("\"listen\":", &format!("\"management\":\"{}\",\"listen\":", list.at)), "/management"),
    ];
    for (text, key) in cases {
        let path = written(text);
        let output = Command::new(PROGRAM).env("RELAY_CONFIG", &path).output().unwrap();
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success() && message.lines().count() == 1, "{message}");
        assert!(message.contains(key) && message.contains(&path), "{key}: {message}");
    }
    let output = Command::new(PROGRAM).env("RELAY_CONFIG", "/nowhere/at all").output().unwrap();
    assert!(String::from_utf8(output.stderr).unwrap().contains("/nowhere/at all"));
}

/// One build, either shape: what the settings of a fleet without second copies say is in force, and a mix is refused.
#[test]
fn a_fleet_without_second_copies_is_served_and_a_mix_is_refused_by_its_key() {
    let with = |text: String, copies: bool| {
        let even =
            r#""scoreParts":{"whole":0.7,"slowEnd":0.2,"missAllowed":0.01},"limits":{"parallelTries":"#;
        text.replace("\"limits\":{\"mostAssignments\"", &format!("{even}{copies},\"mostAssignments\""))
    };
    let (busy, free) = (Worker::start(|_| Act::Return), Worker::start(|_| Act::Finish));
    let (program, list) = start_with(&[("w1", busy.at), ("w2", free.at)], |t| with(t, false));
    let mut client = Client::of(&program);
    // What a worker handed back unstarted has not run: it may go to the other one, one assignment at a time.
    (0..6).for_each(|n| assert_eq!(client.ask("/bid", &format!("b{n}"), "4000m").0, 200));
    let alone: Vec<String> = free.tasks.try_iter().map(|(head, _)| head).collect();
    assert_eq!(alone.len(), 6, "{alone:?}");
    let mixed = with(configuration(&list, &[("w1", busy.at)]), true);
    let output = Command::new(PROGRAM).env("RELAY_CONFIG", written(&mixed)).output().unwrap();
    let message = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success() && message.contains("/limits/parallelTries"), "{message}");
    assert_eq!(message.trim_end().lines().count(), 1, "{message}");
}
