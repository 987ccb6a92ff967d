//! Passing a listening socket between two processes' ends.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixDatagram;
use std::path::PathBuf;

use rainlug_handover::{ListenerInbox, SocketId, pass_descriptor as pass_listener};

/// A directory, the path of an inbox in it, a listener and its address.
fn given() -> (tempfile::TempDir, PathBuf, TcpListener, SocketAddr) {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("n0.sock");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (directory, path, listener, address)
}

/// Connections that waited in the queue were reset when the process that had the listener closed it.
#[test]
fn given_a_listener_that_was_passed_when_the_sender_closes_its_own_then_waiting_connections_are_served() {
    let (_directory, path, listener, address) = given();
    let inbox = ListenerInbox::bind(&path).unwrap();
    pass_listener(&listener, &path).unwrap();
    let mut waiting = TcpStream::connect(address).unwrap();
    let sent = SocketId::of(&listener).unwrap();
    drop(listener);
    let received = inbox.receive(address).unwrap().expect("a listener");
    assert_eq!(SocketId::of(&received).unwrap(), sent);
    received.accept().unwrap().0.write_all(b"x").unwrap();
    waiting.read_exact(&mut [0]).unwrap();
}

#[test]
fn given_nothing_passed_when_it_is_received_then_there_is_nothing() {
    let (_directory, path, _listener, address) = given();
    assert!(ListenerInbox::bind(&path).unwrap().receive(address).unwrap().is_none());
}

#[test]
fn given_what_is_no_listener_at_the_address_when_it_is_received_then_it_is_closed_and_the_next_taken() {
    let (_directory, path, listener, address) = given();
    let inbox = ListenerInbox::bind(&path).unwrap();
    let elsewhere = TcpListener::bind("127.0.0.1:0").unwrap();
    pass_listener(&elsewhere, &path).unwrap();
    pass_listener(TcpStream::connect(address).unwrap(), &path).unwrap();
    pass_listener(fs::File::open(path.with_file_name("")).unwrap(), &path).unwrap();
    // One without a socket.
    UnixDatagram::unbound().unwrap().send_to(b"x", &path).unwrap();
    pass_listener(&listener, &path).unwrap();
    let received = inbox.receive(address).unwrap().expect("a listener");
    assert_eq!(SocketId::of(&received).unwrap(), SocketId::of(&listener).unwrap());
    assert!(inbox.receive(address).unwrap().is_none());
}

#[test]
fn given_an_inbox_of_an_ended_process_when_the_next_binds_there_then_it_takes_its_place() {
    let (_directory, path, listener, address) = given();
    drop(ListenerInbox::bind(&path).unwrap());
    assert!(pass_listener(&listener, &path).is_err(), "nobody is there");
    let inbox = ListenerInbox::bind(&path).unwrap();
    pass_listener(&listener, &path).unwrap();
    assert!(inbox.receive(address).unwrap().is_some());
}

#[test]
fn given_a_deep_directory_when_a_listener_is_passed_there_then_it_arrives() {
    let (directory, _, listener, address) = given();
    let deep = directory.path().join("d".repeat(200));
    fs::create_dir(&deep).unwrap();
    let path = deep.join("n0.sock");
    let inbox = ListenerInbox::bind(&path).unwrap();
    pass_listener(&listener, &path).unwrap();
    assert!(inbox.receive(address).unwrap().is_some());
}

#[test]
fn given_a_name_that_is_too_long_or_no_directory_when_an_inbox_is_bound_then_there_is_an_error() {
    let (directory, ..) = given();
    assert!(ListenerInbox::bind(&directory.path().join("n".repeat(120))).is_err());
    assert!(ListenerInbox::bind(&directory.path().join("none/n0.sock")).is_err());
}

#[test]
fn given_an_inbox_that_nobody_reads_when_it_is_full_then_the_sender_is_told_and_not_held_up() {
    let (_directory, path, listener, _) = given();
    let _inbox = ListenerInbox::bind(&path).unwrap();
    let full = (0..10_000).any(|_| pass_listener(&listener, &path).is_err());
    assert!(full);
}
