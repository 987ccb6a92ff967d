//! The process's metrics as text, at a port of their own: a store listens at no other address that is known outside.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use rainlug_coordinator::Answer;
use rainlug_transport::{End, Link, Piece, Pool, Room, Sizes, head};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::http_response::write_response;
use crate::log;

/// Where metrics are read, as `metrics` of each role in the deploy file says.
pub const PORT: u16 = 9464;
/// The path of the metrics.
pub const PATH: &str = "/metrics";

/// Bounds of one connection's buffers, in bytes.
const SIZES: Sizes = Sizes { head: 4 << 10, body: 0, buffer: 1 << 10 };
/// Connections that are open at once, at most.
const MAX_CONNECTIONS: usize = 4;
/// A request must be read, and an answer written, in this time.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a caller may take to close its connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Between two attempts to accept where the first one failed.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Renders the metrics as lines of name and value.
pub type RenderMetrics = Rc<dyn Fn() -> String>;

/// Serves a process's metrics at [`PORT`]. Where the port is taken the process goes on without them, and this returns.
pub(crate) async fn start(ip: IpAddr, render: RenderMetrics) {
    let at = SocketAddr::new(ip, PORT);
    match TcpListener::bind(at).await {
        Ok(listener) => serve(listener, render).await,
        Err(error) => log::event("metrics", &format!("none at {at}: {error}")),
    }
}

/// Serves metrics, and never returns.
pub async fn serve(listener: TcpListener, render: RenderMetrics) {
    let (slots, pool) = (Room::of(MAX_CONNECTIONS), Pool::within(0, SIZES));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let Some(slot) = slots.seat() else { continue };
        let (render, mut link) = (render.clone(), Link::over(stream, head::request_body, &pool, slot));
        spawn_local(async move {
            let _ = serve_request(render.as_ref(), &mut link).await;
        });
    }
}

/// Answers one request, and ends its connection.
async fn serve_request(render: &dyn Fn() -> String, link: &mut Link) -> Result<(), End> {
    let Piece::Head(head) = timeout(REQUEST_TIMEOUT, link.next()).await.unwrap_or(Err(End::TimedOut))? else {
        return Err(End::Malformed);
    };
    let is_known =
        head::request(&head, |method, target, _| method == "GET" && target.split('?').next() == Some(PATH))?;
    let answer = match is_known {
        true => Answer { body: render().into(), ..Answer::with_status(200) },
        false => Answer::with_status(404),
    };
    timeout(REQUEST_TIMEOUT, write_response(link, &answer, true)).await.unwrap_or(Err(End::TimedOut))?;
    let _ = timeout(CLOSE_TIMEOUT, link.finish()).await;
    Ok(())
}
