//! Passing an idle connection between two processes' ends.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;

use rainlug_handover::{ConnectionInbox, pass_descriptor as pass_connection};

/// A directory, the path of an inbox in it, and the two ends of a connection to an address.
struct Given {
    directory: tempfile::TempDir,
    inbox: PathBuf,
    address: SocketAddr,
    client: TcpStream,
    server: TcpStream,
}

fn given() -> Given {
    let directory = tempfile::tempdir().unwrap();
    let inbox = directory.path().join("n0.connections.sock");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let client = TcpStream::connect(address).unwrap();
    let server = listener.accept().unwrap().0;
    Given { directory, inbox, address, client, server }
}

/// A request on its way was lost when the process that had its connection closed it.
#[test]
fn given_a_request_on_its_way_when_its_connection_is_passed_then_the_other_process_reads_it() {
    let Given { directory: _directory, inbox: path, address, mut client, server, .. } = given();
    let inbox = ConnectionInbox::bind(&path).unwrap();
    client.write_all(b"request").unwrap();
    pass_connection(&server, &path).unwrap();
    drop(server);
    assert!(!inbox.is_empty());
    let mut received = inbox.receive(address).unwrap().expect("a connection");
    assert!(inbox.is_empty());
    let mut request = [0; 7];
    received.read_exact(&mut request).unwrap();
    received.write_all(b"x").unwrap();
    client.read_exact(&mut [0]).unwrap();
    assert_eq!(&request, b"request");
}

#[test]
fn given_what_is_no_connection_to_the_address_when_it_is_received_then_it_is_closed_and_the_next_taken() {
    let Given { directory, inbox: path, address, server, .. } = given();
    let inbox = ConnectionInbox::bind(&path).unwrap();
    let elsewhere = given();
    pass_connection(&elsewhere.server, &path).unwrap();
    pass_connection(TcpListener::bind("127.0.0.1:0").unwrap(), &path).unwrap();
    pass_connection(fs::File::open(directory.path()).unwrap(), &path).unwrap();
    pass_connection(&server, &path).unwrap();
    let received = inbox.receive(address).unwrap().expect("a connection");
    assert_eq!(received.peer_addr().unwrap(), server.peer_addr().unwrap());
    assert!(inbox.receive(address).unwrap().is_none());
}

#[test]
fn given_an_address_without_a_host_when_a_connection_to_its_port_is_received_then_it_is_taken() {
    let Given { directory: _directory, inbox: path, address, server, .. } = given();
    let inbox = ConnectionInbox::bind(&path).unwrap();
    pass_connection(&server, &path).unwrap();
    let everywhere = SocketAddr::new("0.0.0.0".parse().unwrap(), address.port());
    assert!(inbox.receive(everywhere).unwrap().is_some());
}

#[test]
fn given_nobody_or_a_full_inbox_when_a_connection_is_passed_then_the_sender_is_told_and_not_held_up() {
    let Given { directory: _directory, inbox: path, server, .. } = given();
    assert_eq!(pass_connection(&server, &path).unwrap_err().kind(), std::io::ErrorKind::NotFound);
    let _inbox = ConnectionInbox::bind(&path).unwrap();
    let error = (0..10_000).find_map(|_| pass_connection(&server, &path).err()).expect("a full inbox");
    assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock);
}
