//! A stand-in worker and list, so that a dispatcher can be tried without a fleet.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

/// Serves as a worker that takes `work` for each task, and as a list that names it; gives the list's line on it.
pub async fn run(worker: &str, list: &str, work: Duration) -> Result<()> {
    let workers = TcpListener::bind(worker).await.with_context(|| format!("cannot listen on {worker}"))?;
    let lists = TcpListener::bind(list).await.with_context(|| format!("cannot listen on {list}"))?;
    let line = format!(
        r#"{{"rev":1,"all":true,"targets":[{{"uid":"stub","endpoint":"{}","az":"north","model":"plain","pod_group":0,"state":"in_service","capacity_hint":1.0,"boot_ms":0}}]}}"#,
        workers.local_addr()?
    );
    println!("worker {}, list {}; known: {line}", workers.local_addr()?, lists.local_addr()?);
    let serve = async {
        loop {
            tokio::select! {
                Ok((stream, _)) = workers.accept() => {
                    // Two small writes for each task: the second must not wait for the first's acknowledgement.
                    let _ = stream.set_nodelay(true);
                    spawn_local(async move { while_open(stream, work).await.unwrap_or_default() });
                }
                Ok((stream, _)) = lists.accept() => {
                    let line = line.clone();
                    spawn_local(async move { watched(stream, line).await.unwrap_or_default() });
                }
            }
        }
    };
    LocalSet::new().run_until(serve).await
}

/// A request's head and the length of its body, which is read; nothing at the connection's end.
async fn request(from: &mut BufReader<TcpStream>) -> Option<String> {
    let (mut head, mut length) = (String::new(), 0);
    while !head.ends_with("\r\n\r\n") {
        let had = head.len();
        from.read_line(&mut head).await.ok().filter(|n| *n > 0 && had < 8192)?;
        let line = head[had..].to_ascii_lowercase();
        length = line.strip_prefix("content-length:").map_or(Some(length), |l| l.trim().parse().ok())?;
    }
    let mut body = vec![0; Some(length).filter(|n| *n <= 64 << 10)?];
    from.read_exact(&mut body).await.ok()?;
    Some(head)
}

/// The head of an answer that goes on in chunks.
const OPENING: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

async fn while_open(stream: TcpStream, work: Duration) -> Option<()> {
    let mut stream = BufReader::new(stream);
    loop {
        let head = request(&mut stream).await?;
        let id = head
            .lines()
            .find_map(|l| l.to_ascii_lowercase().strip_prefix("x-call-id:").map(|i| i.trim().to_owned()))?;
        let line = |state: &str| chunk(&format!("{{\"id\":\"{id}\",\"from\":\"stub\",{state}}}\n"));
        stream.write_all(format!("{OPENING}{}", line("\"state\":\"started\"")).as_bytes()).await.ok()?;
        sleep(work).await;
        let at = SystemTime::now().duration_since(UNIX_EPOCH).ok()?.as_millis();
        let last = line(&format!("\"state\":\"done\",\"result\":\"at {at}\""));
        stream.write_all(format!("{last}0\r\n\r\n").as_bytes()).await.ok()?;
    }
}

async fn watched(stream: TcpStream, line: String) -> Option<()> {
    let mut stream = BufReader::new(stream);
    request(&mut stream).await?;
    stream.write_all(format!("{OPENING}{}", chunk(&format!("{line}\n"))).as_bytes()).await.ok()?;
    loop {
        sleep(Duration::from_secs(2)).await;
        stream.write_all(chunk("\n").as_bytes()).await.ok()?;
    }
}
