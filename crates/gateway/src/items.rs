//! One run of an item of a batch job at a worker.

use std::time::Duration;

use bytes::Bytes;
use rainlug_placement::End as Ended;
use rainlug_transport::Piece;
use tokio::time::Instant;

use crate::answers::{ATTEMPT, Answer, DEADLINE, TARGET, Then, field};
use crate::connections::Connection;
use crate::forward::{Exchange, Stop, Tried};
use crate::request::Request;
use crate::routing::Picked;
use crate::stream::Events;
use crate::{Gateway, Item, Ran, RanEnd, millis};

/// A run from which nothing comes for so long is given up.
const SILENT: Duration = Duration::from_secs(5);

pub(crate) async fn run(gateway: &Gateway, item: Item) -> Ran {
    let mut ran = Ran { worker: None, events: Vec::new(), end: RanEnd::NoRoom };
    let configuration = gateway.configuration();
    let newest = configuration.and_then(|c| c.routes.iter().find(|r| r.name == item.route.name).cloned());
    let Some(route) = newest else { return ran };
    let Some(request) = request(&item, &route.host) else {
        ran.end = RanEnd::Failed;
        return ran;
    };
    let until = request.arrived + millis(item.deadline_ms);
    let last = Some(item.last_event).filter(|last| *last > 0);
    let mut exchange = Exchange::new(gateway, &request, None, Then::Close);
    exchange.goes_on_after(last);
    let turn = exchange.turn(&route);
    let ask = exchange.ask(&route, &item.tried);
    let Some(picked) = gateway.pick(&route, turn, ask) else { return ran };
    ran.worker = Some(picked.worker.id.clone());
    ran.end = RanEnd::Again;
    match exchange.attempt(&picked, &route, until, Some(SILENT)).await {
        Tried::NotSent(end) | Tried::Lost(end) => picked.ticket.end(end),
        Tried::Silent(_) | Tried::Stopped(_) => picked.ticket.end(Ended::Silent),
        Tried::Answer(answer, connection) => {
            answered(gateway, &mut exchange, *answer, connection, picked, until, &mut ran, last).await;
        }
    }
    ran
}

#[allow(clippy::too_many_arguments)]
async fn answered(
    gateway: &Gateway,
    exchange: &mut Exchange<'_>,
    answer: Answer,
    mut connection: Box<Connection>,
    picked: Picked,
    until: Instant,
    ran: &mut Ran,
    last: Option<u64>,
) {
    if answer.turned_away() {
        let end = exchange.turned_away(&answer, &picked.worker.id);
        picked.ticket.end(end);
        exchange.settle(answer, connection, picked.worker);
        return;
    }
    if !answer.success() || !answer.sealed {
        ran.end = match answer.status {
            500 => RanEnd::Failed,
            422 => RanEnd::Never,
            _ => RanEnd::Again,
        };
        picked.ticket.end(if answer.status == 422 { Ended::Finished } else { Ended::Failed });
        if !answer.success() {
            exchange.settle(answer, connection, picked.worker);
        }
        return;
    }
    let (mut events, mut last) = (Events::default(), last.unwrap_or(0));
    let mut began = false;
    loop {
        let quiet = until.min(Instant::now() + SILENT);
        match exchange.wait(connection.link.next(), quiet).await {
            Ok(Ok(Piece::Body(piece))) => {
                events.push(piece);
                loop {
                    let event = match events.take() {
                        Ok(Some(event)) => event,
                        Ok(None) => break,
                        Err(_) => return picked.ticket.end(Ended::Failed),
                    };
                    let Some(id) = event.id else { continue };
                    if id <= last {
                        if began {
                            return picked.ticket.end(Ended::Failed);
                        }
                        continue;
                    }
                    if id != last + 1 {
                        return picked.ticket.end(Ended::Failed);
                    }
                    last = id;
                    // The piece that it came in is larger than it, and is not to be kept.
                    ran.events.push((id, Bytes::copy_from_slice(&event.data())));
                    if std::mem::replace(&mut began, true) {
                        picked.ticket.progress();
                    } else {
                        picked.ticket.started();
                    }
                }
            }
            Ok(Ok(Piece::Last)) if events.rest().is_empty() => {
                ran.end = RanEnd::Complete;
                picked.ticket.end(Ended::Finished);
                gateway.connections.put(&picked.worker, *connection, answer.keep);
                return;
            }
            Ok(_) => return picked.ticket.end(Ended::Failed),
            Err(Stop::Over) if Instant::now() < until => return picked.ticket.end(Ended::Silent),
            Err(_) => return,
        }
    }
}

/// The request of an item; nothing where it cannot be written as one.
fn request(item: &Item, host: &str) -> Option<Request> {
    let plain = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_graphic());
    if !item.path.starts_with('/') || !plain(&item.path) || !plain(host) || !plain(&item.id) {
        return None;
    }
    let mut text = format!("POST {} HTTP/1.1\r\n", item.path).into_bytes();
    field(&mut text, "Host", host.as_bytes());
    field(&mut text, ATTEMPT, item.id.as_bytes());
    for (name, value) in &item.headers {
        let told =
            name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_') && !name.is_empty();
        let sound = told && value.bytes().all(|b| b == b'\t' || (b >= b' ' && b != 127));
        let ours = [
            "Host",
            ATTEMPT,
            DEADLINE,
            TARGET,
            "Last-Event-Id",
            "Content-Length",
            "Transfer-Encoding",
            "Expect",
        ];
        if sound && !ours.iter().any(|own| name.eq_ignore_ascii_case(own)) {
            field(&mut text, name, value.as_bytes());
        }
    }
    text.extend_from_slice(b"\r\n");
    let mut request = Request::read(&text, Instant::now()).ok()?;
    request.body = item.body.clone();
    Some(request)
}
