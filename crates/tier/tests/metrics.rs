//! A process's figures at a port of their own.

use std::net::SocketAddr;
use std::rc::Rc;

use rainlug_tier::metrics::{self, PATH, PORT};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

const DEPLOY: &str = include_str!("../../../deploy/system.toml");

async fn ask(at: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(at).await.unwrap();
    stream.write_all(format!("{line} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

#[test]
fn given_a_metrics_server_when_asked_again_and_again_then_it_answers_text() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        spawn_local(metrics::serve(listener, Rc::new(|| "requests 7\nclients 2\n".to_owned())));
        for _ in 0..20 {
            let response = ask(at, &format!("GET {PATH}")).await;
            assert!(
                response.starts_with("HTTP/1.1 200 OK\r\n") && response.contains("Connection: close\r\n"),
                "{response}"
            );
            assert!(response.ends_with("\r\n\r\nrequests 7\nclients 2\n"), "{response}");
        }
        for line in ["GET /else".to_owned(), format!("POST {PATH}")] {
            assert!(ask(at, &line).await.starts_with("HTTP/1.1 404 "), "{line}");
        }
    });
}

#[test]
fn given_the_deploy_file_when_read_then_each_role_has_the_metrics_port_and_path() {
    let deploy: toml::Table = DEPLOY.parse().unwrap();
    let roles = deploy["roles"].as_table().unwrap();
    assert_eq!(roles.len(), 2);
    for (name, role) in roles {
        assert_eq!(role["metrics"].as_str(), Some(format!("{PORT}{PATH}").as_str()), "{name}");
    }
}
