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
fn figures_are_told_as_text_again_and_again() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        spawn_local(metrics::serve(listener, Rc::new(|| "requests 7\nclients 2\n".to_owned())));
        for _ in 0..20 {
            let told = ask(at, &format!("GET {PATH}")).await;
            assert!(
                told.starts_with("HTTP/1.1 200 OK\r\n") && told.contains("Connection: close\r\n"),
                "{told}"
            );
            assert!(told.ends_with("\r\n\r\nrequests 7\nclients 2\n"), "{told}");
        }
        for line in ["GET /else".to_owned(), format!("POST {PATH}")] {
            assert!(ask(at, &line).await.starts_with("HTTP/1.1 404 "), "{line}");
        }
    });
}

#[test]
fn the_deploy_file_names_where_each_role_tells_its_figures() {
    let deploy: toml::Table = DEPLOY.parse().unwrap();
    let roles = deploy["roles"].as_table().unwrap();
    assert_eq!(roles.len(), 2);
    for (name, role) in roles {
        assert_eq!(role["metrics"].as_str(), Some(format!("{PORT}{PATH}").as_str()), "{name}");
    }
}
