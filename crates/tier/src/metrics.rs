//! The process's own figures as text, at a port of their own: a store listens at no other address that is known outside.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use rainlug_coordinator::Answer;
use rainlug_transport::{End, Link, Piece, Pool, Room, Sizes, head};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::control;
use crate::log;
use crate::node::Node;

/// Where figures are told, as `metrics` of each role in the deploy file says.
pub const PORT: u16 = 9464;
pub const PATH: &str = "/metrics";

const SIZES: Sizes = Sizes { head: 4 << 10, body: 0, buffer: 1 << 10 };
/// Connections that are open at once, at most.
const CALLERS: usize = 4;
const REQUEST: Duration = Duration::from_secs(5);
const FAREWELL: Duration = Duration::from_secs(1);
/// Between two tries to accept where the first one failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves a process's figures for good. A process that finds the port taken goes on without them.
pub async fn start(node: Rc<Node>, ip: IpAddr) {
    let at = SocketAddr::new(ip, PORT);
    match TcpListener::bind(at).await {
        Ok(listener) => serve(listener, Rc::new(move || node.metrics())).await,
        Err(error) => log::event("metrics", &format!("none at {at}: {error}")),
    }
}

/// Serves what `figures` tells, for good.
pub async fn serve(listener: TcpListener, metrics: Rc<dyn Fn() -> String>) {
    let (room, pool) = (Room::of(CALLERS), Pool::within(0, SIZES));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Some(seat) = room.seat() else { continue };
        let (metrics, mut link) = (metrics.clone(), Link::over(stream, head::request_body, &pool, seat));
        spawn_local(async move {
            let _ = tell(metrics.as_ref(), &mut link).await;
        });
    }
}

/// Answers one request, and ends its connection.
async fn tell(metrics: &dyn Fn() -> String, link: &mut Link) -> Result<(), End> {
    let Piece::Head(head) = timeout(REQUEST, link.next()).await.unwrap_or(Err(End::TimedOut))? else {
        return Err(End::Malformed);
    };
    let is_known =
        head::request(&head, |method, target, _| method == "GET" && target.split('?').next() == Some(PATH))?;
    let told = match is_known {
        true => Answer { body: metrics().into(), ..Answer::with_status(200) },
        false => Answer::with_status(404),
    };
    timeout(REQUEST, control::answer(link, &told, true)).await.unwrap_or(Err(End::TimedOut))?;
    let _ = timeout(FAREWELL, link.finish()).await;
    Ok(())
}
