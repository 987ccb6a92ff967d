//! The operator's subcommands where something is wrong: one line on standard error, and an exit that is not zero.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::time::{Duration, Instant};

use bytes::Bytes;
use rainlug_registry::Configuration;
use rainlug_tier::local::CONFIGURATION;
use rainlug_tier::operator::{difference, format_table};

fn rainlug(arguments: &[&str]) -> (Option<i32>, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_rainlug")).args(arguments).output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (output.status.code(), text(output.stdout), text(output.stderr))
}

fn fails(code: i32, arguments: &[&str]) -> String {
    let (ended, out, line) = rainlug(arguments);
    assert_eq!(ended, Some(code), "{arguments:?}: {out}{line}");
    assert_eq!((line.lines().count(), out.as_str()), (1, ""), "{arguments:?}: {line}");
    line
}

/// Answers every call with the same bytes, for as long as the test runs.
fn answers(bytes: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(bytes.as_bytes());
        }
    });
    at
}

#[test]
fn given_a_wrong_or_free_address_when_asked_then_the_error_is_one_line() {
    assert!(fails(1, &["members", "--at", "nowhere"]).contains("HOST:PORT expected"));
    assert!(fails(1, &["members", "--at", "127.0.0.1:99999"]).contains("HOST:PORT expected"));
    fails(1, &["members"]);
    let free = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    for call in [
        &["workers"][..],
        &["figures"],
        &["retire", "store-1"],
        &["lot", "x", "--host", "h"],
        &["configuration", "get"],
    ] {
        let line = fails(1, &[call, &["--at", &free]].concat());
        assert!(line.contains("nobody takes the connection"), "{line}");
    }
}

#[test]
fn given_an_unresponsive_process_when_asked_then_the_call_ends_after_three_seconds() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let begun = Instant::now();
    let line = fails(1, &["parts", "--at", &silent.local_addr().unwrap().to_string()]);
    assert!(line.contains("no answer within 3.0 s"), "{line}");
    assert!(begun.elapsed() >= Duration::from_secs(3));
}

#[test]
fn given_answers_of_another_protocol_when_read_then_the_error_is_one_line() {
    let odd = [
        "SSH-2.0-OpenSSH_9.6\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{x",
        "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"parts\": 1}",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n\"\\u1",
        "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 500 Broken\r\nContent-Length: 20\r\n\r\n{\"error\":\"two\\nlines\"",
    ];
    for bytes in odd {
        fails(1, &["parts", "--at", &answers(bytes).to_string()]);
    }
}

#[test]
fn given_a_wrong_file_when_put_or_compared_then_it_is_refused_before_any_call() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("configuration.json");
    std::fs::write(&file, "{\"version\":0}").unwrap();
    let name = file.display().to_string();
    for how in ["put", "diff"] {
        let line = fails(2, &["configuration", how, &name, "--at", "127.0.0.1:1"]);
        assert!(
            line.contains("/version") && line.contains("/routes") && line.contains("/services"),
            "{line}"
        );
        fails(2, &["configuration", how, "/nowhere/none.json", "--at", "127.0.0.1:1"]);
    }
}

#[test]
fn given_two_configurations_when_compared_then_added_removed_and_changed_names_are_listed() {
    let read = |text: &str| Configuration::parse(&Bytes::copy_from_slice(text.as_bytes())).unwrap();
    let changed = CONFIGURATION
        .replace("\"version\": 1", "\"version\": 4")
        .replace("\"name\": \"ask\"", "\"name\": \"asks\"")
        .replace("\"target_ms\": 3000", "\"target_ms\": 3100")
        .replace("\"max_conns\": 64", "\"max_conns\": 65");
    let (old, new) = (read(CONFIGURATION), read(&changed));
    let text = difference(Some(&old), &new).text();
    let expected = "version 1 -> 4\nroute asks: added\nroute ask: removed\nroute batch: changed\nservice model: changed\n";
    assert_eq!(text, expected);
    assert_eq!(difference(None, &new).routes_added.len(), 3);
    assert!(difference(Some(&new), &new).text().contains("no difference"));
}

#[test]
fn given_rows_when_formatted_then_columns_are_as_wide_as_their_widest_cell() {
    let rows = [vec!["gateway-1".to_owned(), "a".to_owned()], vec!["x".to_owned(), "bb".to_owned()]];
    assert_eq!(format_table(&["NAME", "B"], &rows), "NAME       B\ngateway-1  a\nx          bb\n");
}
