//! Connections of clients, and of who asks whether this dispatcher is ready.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use rainlug_registry::Limits;
use rainlug_transport::{Body, End, Link, Piece, Pool, Room, Seat, Sizes, close_listener, head};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::answers::Then;
use crate::batch_api::{self, Call};
use crate::forward::{Exchange, Outcome};
use crate::request::{Request, Unfit};
use crate::stopping::{NEWCOMER, Stage};
use crate::{BODIES, BatchApi, Gateway, Reply, SIZES, millis};

/// The pause after a failure to accept that would come again at once.
const BREATH: Duration = Duration::from_millis(10);
/// A connection that this side ends waits for the client's end so long, and only so long once a request has crossed its own.
const FAREWELL: Duration = Duration::from_secs(1);
const CROSSED: Duration = Duration::from_millis(100);
/// An answer that ends a connection, or an own one, must be taken in this time.
const TAKEN: Duration = Duration::from_secs(5);
/// A call on batch jobs without a deadline is waited for so long, beyond what it says itself.
const CALL: Duration = Duration::from_secs(10);
/// Seconds after which a request that there was no room for may come again.
const PAUSE: f64 = 0.5;
/// And where there is no configuration yet: the parts elect leaders, and workers' beats come, in about so long.
const STARTING: f64 = 1.0;
/// Who is to go first where there are no seats left: those who have asked nothing yet, those who have.
const UNPROVEN: u8 = 0;
const KEPT: u8 = 1;
/// Connections that ask whether this dispatcher is ready.
const ASKERS: usize = 8;

/// Takes connections until idle ones are closed.
pub(crate) async fn accept(gateway: Rc<Gateway>, front: TcpListener, batch_api: Rc<dyn BatchApi>) {
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = front.accept() => accepted,
            () = gateway.stopping.reached(Stage::Closing) => break,
        };
        match accepted {
            Ok((stream, _)) => welcome(&gateway, stream, &batch_api),
            Err(_) => sleep(BREATH).await,
        }
    }
    for stream in close_listener(front) {
        welcome(&gateway, stream, &batch_api);
    }
}

fn welcome(gateway: &Rc<Gateway>, stream: TcpStream, batch_api: &Rc<dyn BatchApi>) {
    let (gateway, batch_api) = (gateway.clone(), batch_api.clone());
    let link =
        move |gateway: &Gateway, seat: Seat| Link::over(stream, head::request_body, &gateway.pool, seat);
    if let Some(seat) = gateway.bounds.clients.seat() {
        spawn_local(async move {
            let link = link(&gateway, seat);
            connection(&gateway, link, batch_api.as_ref()).await;
        });
    } else if let Some(spare) = gateway.bounds.turned_away.seat() {
        spawn_local(async move {
            // While others hold seats idly, who has something to ask is not turned away for lack of one.
            if let Some(seat) = gateway.bounds.clients.claim().await {
                drop(spare);
                let link = link(&gateway, seat);
                connection(&gateway, link, batch_api.as_ref()).await;
            } else {
                gateway.metrics.turned_away.up();
                turn_away(link(&gateway, spare)).await;
            }
        });
    }
}

/// Tells one for whom there is no room to come again.
async fn turn_away(mut link: Link) {
    let _ = timeout(FAREWELL, link.next()).await;
    let head = Reply::refused(PAUSE).head(Then::Close);
    let _ = timeout(FAREWELL, link.write(&[&head], &Cell::new(0))).await;
    let _ = timeout(FAREWELL, link.finish()).await;
}

/// Bytes of a body that count until this is dropped.
struct BodyRoom<'a> {
    gateway: &'a Gateway,
    bytes: usize,
}

impl BodyRoom<'_> {
    fn grow(&mut self, bytes: usize) -> bool {
        let all = self.gateway.bodies.get().saturating_add(bytes);
        if all > (self.gateway.told.memory_mb << 20) / BODIES {
            return false;
        }
        self.gateway.bodies.set(all);
        self.bytes += bytes;
        true
    }
}

impl Drop for BodyRoom<'_> {
    fn drop(&mut self) {
        self.gateway.bodies.update(|all| all.saturating_sub(self.bytes));
    }
}

/// Why there is no request to be carried out.
enum Unread {
    Reply(Reply),
    Gone,
}

async fn connection(gateway: &Rc<Gateway>, mut link: Link, batch_api: &dyn BatchApi) {
    let _client = gateway.stopping.client();
    let come = Instant::now();
    let mut rank = UNPROVEN;
    loop {
        let limits = gateway.limits();
        link.resize(Sizes { head: limits.max_header_bytes, ..SIZES });
        let idle = millis(limits.idle_timeout_ms);
        let closing = async {
            gateway.stopping.reached(Stage::Closing).await;
            if rank == UNPROVEN {
                tokio::time::sleep_until(come + NEWCOMER).await;
            }
        };
        let leaves = tokio::select! {
            biased;
            () = link.idle() => false,
            () = closing => true,
            () = gateway.bounds.clients.wanted(rank) => true,
            () = sleep(idle) => true,
        };
        // A request that has come since the runtime last looked at the socket is answered before the connection ends.
        if leaves && link.sound() {
            return leave(link).await;
        }
        rank = KEPT;
        let in_hand = gateway.stopping.request();
        let arrived = Instant::now();
        let mut room = BodyRoom { gateway, bytes: 0 };
        let request = match request(&mut link, &limits, arrived, &mut room).await {
            Ok(request) => request,
            Err(Unread::Gone) => return,
            Err(Unread::Reply(reply)) => {
                gateway.metrics.replied(reply.status);
                let _ = timeout(TAKEN, link.write(&[&reply.head(Then::Close)], &Cell::new(0))).await;
                drop(in_hand);
                let _ = timeout(FAREWELL, link.finish()).await;
                return;
            }
        };
        gateway.metrics.requests.up();
        let keeps = request.keeps && !leaves && gateway.stopping.stage() == Stage::Serving;
        let then = if keeps { Then::Keep(idle) } else { Then::Close };
        let outcome = match gateway.stopping.stage() {
            Stage::Refusing => Outcome::Own(Reply::refused(PAUSE)),
            _ => serve(gateway, &mut link, &request, batch_api, then).await,
        };
        gateway.metrics.ended(&outcome);
        let mut close = !keeps;
        match outcome {
            Outcome::Answered(_) => {}
            Outcome::Own(reply) => {
                // Since it began the process may have been told to stop.
                close |= gateway.stopping.stage() != Stage::Serving;
                let head = reply.head(if close { Then::Close } else { then });
                let body: &[u8] = if request.method == "HEAD" { &[] } else { &reply.body };
                let written = timeout(TAKEN, link.write(&[&head, body], &Cell::new(0))).await;
                if !matches!(written, Ok(Ok(()))) {
                    return;
                }
            }
            Outcome::Cut | Outcome::Left => return,
        }
        drop((request, room, in_hand));
        if close {
            let _ = timeout(FAREWELL, link.finish()).await;
            return;
        }
        link.rest();
    }
}

/// Ends an idle connection. A request that crosses this end has not been read, and is not answered.
async fn leave(mut link: Link) {
    if !link.untouched() {
        return;
    }
    let _ = timeout(FAREWELL, link.part(CROSSED)).await;
}

/// Reads a request whole.
async fn request(
    link: &mut Link,
    limits: &Limits,
    arrived: Instant,
    room: &mut BodyRoom<'_>,
) -> Result<Request, Unread> {
    let no = |status| Err(Unread::Reply(Reply::of(status)));
    let by = arrived + millis(limits.header_timeout_ms);
    let text = match timeout_at(by, link.next()).await {
        Ok(Ok(Piece::Head(text))) => text,
        Ok(Err(End::TooLarge)) => return no(431),
        Ok(Err(End::Closed | End::Broken)) => return Err(Unread::Gone),
        Ok(_) => return no(400),
        Err(_) => return no(408),
    };
    let mut request = match Request::read(&text, arrived) {
        Ok(request) => request,
        Err(Unfit::Malformed) => return no(400),
        Err(Unfit::TooLarge) => return no(413),
        Err(Unfit::Version) => return no(505),
    };
    drop(text);
    match request.framing {
        Body::Length(n) if n > limits.max_body_bytes => return no(413),
        Body::Length(n) if !room.grow(n) => return Err(Unread::Reply(Reply::refused(PAUSE))),
        _ => {}
    }
    if request.expects && request.framing != Body::Length(0) {
        let written = Cell::new(0);
        let go_on = timeout(TAKEN, link.write(&[b"HTTP/1.1 100 Continue\r\n\r\n"], &written)).await;
        if !matches!(go_on, Ok(Ok(()))) {
            return Err(Unread::Gone);
        }
    }
    let by = Instant::now() + millis(limits.idle_timeout_ms);
    match timeout_at(by, body(link, limits, request.framing, room)).await {
        Ok(Ok(body)) => request.body = body,
        Ok(Err(unread)) => return Err(unread),
        Err(_) => return no(408),
    }
    Ok(request)
}

async fn body(
    link: &mut Link,
    limits: &Limits,
    framing: Body,
    room: &mut BodyRoom<'_>,
) -> Result<Bytes, Unread> {
    let (mut first, mut joined) = (Bytes::new(), BytesMut::new());
    loop {
        let piece = match link.next().await {
            Ok(Piece::Body(piece)) => piece,
            Ok(Piece::Last) => return Ok(if joined.is_empty() { first } else { joined.freeze() }),
            Ok(Piece::Head(_)) | Err(End::Malformed) => return Err(Unread::Reply(Reply::of(400))),
            Err(_) => return Err(Unread::Gone),
        };
        if framing == Body::Chunked {
            if first.len().max(joined.len()) + piece.len() > limits.max_body_bytes {
                return Err(Unread::Reply(Reply::of(413)));
            }
            if !room.grow(piece.len()) {
                return Err(Unread::Reply(Reply::refused(PAUSE)));
            }
        }
        if first.is_empty() {
            first = piece;
            continue;
        }
        if joined.is_empty() {
            joined.extend_from_slice(&first);
        }
        joined.extend_from_slice(&piece);
    }
}

/// Carries a request out.
async fn serve(
    gateway: &Rc<Gateway>,
    link: &mut Link,
    request: &Request,
    batch_api: &dyn BatchApi,
    then: Then,
) -> Outcome {
    if let Some(call) = batch_api::call(request, batch_api) {
        let until = request.arrived + request.deadline.unwrap_or(CALL + millis(request.wait_ms));
        return replied(link, call, until).await;
    }
    let Some(configuration) = gateway.configuration() else {
        return Outcome::Own(Reply::refused(STARTING));
    };
    let Some(route) = configuration.route(&request.host, request.path()) else {
        return Outcome::Own(Reply::of(404));
    };
    if let Some(call) = batch_api::submit(request, route, batch_api) {
        let until = request.until(route);
        return replied(link, call, until).await;
    }
    drop(configuration);
    if request.id.is_none() {
        return Outcome::Own(Reply::of(400));
    }
    Exchange::new(gateway, request, Some(link), then).run().await
}

/// Waits for the answer to a call on batch jobs.
async fn replied(link: &mut Link, call: Call, until: Instant) -> Outcome {
    let late = call.late();
    match call {
        Call::Wrong(status) => Outcome::Own(Reply::of(status)),
        Call::Read(reply) => tokio::select! {
            biased;
            reply = timeout_at(until, reply) => Outcome::Own(reply.unwrap_or(late)),
            () = link.departed() => Outcome::Left,
        },
        Call::Submit(reply) => {
            let reply = timeout_at(until, spawn_local(reply)).await;
            Outcome::Own(reply.map_or(late, |done| done.unwrap_or_else(|_| Reply::of(500))))
        }
    }
}

/// Answers whether this dispatcher is ready.
pub(crate) async fn readiness(gateway: Rc<Gateway>, at: TcpListener, ready: Rc<dyn Fn() -> bool>) {
    let room = Room::of(ASKERS);
    let pool = Pool::within(0, Sizes { body: SIZES.buffer, buffer: 1 << 10, ..SIZES });
    loop {
        let Ok((stream, _)) = at.accept().await else {
            sleep(BREATH).await;
            continue;
        };
        let Some(seat) = room.claim().await else { continue };
        let link = Link::over(stream, head::request_body, &pool, seat);
        let (gateway, ready, room) = (gateway.clone(), ready.clone(), room.clone());
        spawn_local(async move {
            let _ = asked(&gateway, link, &room, ready.as_ref()).await;
        });
    }
}

async fn asked(gateway: &Gateway, mut link: Link, room: &Room, ready: &dyn Fn() -> bool) -> Result<(), End> {
    loop {
        tokio::select! {
            biased;
            () = link.idle() => {}
            () = room.wanted(0) => return Ok(()),
        }
        let text = match timeout(TAKEN, link.next()).await {
            Ok(Ok(Piece::Head(text))) => text,
            _ => return Ok(()),
        };
        let (status, keeps) = head::request(&text, |method, target, fields| {
            let path = target.split('?').next();
            let known = path == Some("/v1/readiness") && matches!(method, "GET" | "HEAD");
            let status = match known {
                false => 404,
                true if gateway.stopping.asked() && ready() => 200,
                true => 503,
            };
            (status, fields.keeps())
        })?;
        timeout(TAKEN, link.body()).await.map_err(|_| End::TimedOut)??;
        let then = if keeps { Then::Keep(Duration::ZERO) } else { Then::Close };
        link.write(&[&Reply::of(status).head(then)], &Cell::new(0)).await?;
        if !keeps {
            let _ = timeout(FAREWELL, link.finish()).await;
            return Ok(());
        }
        drop(text);
        link.rest();
    }
}
