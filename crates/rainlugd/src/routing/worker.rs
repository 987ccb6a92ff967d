//! A worker's actor: it keeps the worker's idle connections and starts an exchange for each assignment and probe.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rainlug::{Report, State, Time};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

use super::figures::Figures;
use super::{MAILBOX, Mail, Parcel, ToModule};
use crate::base::Clock;
use crate::protocol::lines::Lines;
use crate::protocol::{head, report, words};
use crate::transport::{End, Link, MOST_BODY, Piece, Pool, Room, Trust};

/// After an answer's last line, the end of its framing comes in this part of the time that a connection may take.
const TAIL: u32 = 4;

/// What every worker's actor needs to reach its worker.
pub struct Reach {
    pub clock: Clock,
    pub pool: Pool,
    pub room: Room,
    pub module: ToModule,
    /// A connection must be up in this time; a probe must be answered in it.
    pub dial: Duration,
    /// An idle connection is closed after its time.
    pub trust: Trust,
    pub figures: Rc<Figures>,
}

/// What a worker's actor is told.
pub enum Order {
    /// To be tried until the expiry, or until `given_up` ends; and to be written by `until`.
    Assign {
        parcel: Rc<Parcel>,
        nth: usize,
        expiry: Time,
        until: Time,
        given_up: oneshot::Receiver<()>,
    },
    Probe,
}

/// What the list says of the worker; a change means that its idle connections are of no use.
pub type Standing = (SocketAddr, State, Option<Time>);

/// Starts a worker's actor; gives its mailbox.
pub fn start(id: String, standing: watch::Receiver<Standing>, reach: Rc<Reach>) -> mpsc::Sender<Order> {
    let (mailbox, orders) = mpsc::channel(MAILBOX);
    spawn_local(run(id, orders, standing, reach));
    mailbox
}

async fn run(
    id: String,
    mut orders: mpsc::Receiver<Order>,
    mut standing: watch::Receiver<Standing>,
    reach: Rc<Reach>,
) {
    let id: Rc<str> = id.into();
    // The longest idle first; the last is used first.
    let mut idle: Vec<(Link, Instant)> = Vec::new();
    let (back, mut returned) = mpsc::channel::<(Link, SocketAddr)>(MAILBOX);
    loop {
        let oldest = idle.first().map_or_else(Instant::now, |(_, since)| *since) + reach.trust.time();
        tokio::select! {
            biased;
            changed = standing.changed() => {
                if changed.is_err() {
                    return;
                }
                idle.clear();
            }
            order = orders.recv() => {
                let Some(order) = order else { return };
                let (trusted, mut last) = (reach.trust.time(), std::iter::from_fn(|| idle.pop()));
                let link = last.find_map(|(link, since)| {
                    (since.elapsed() < trusted && !link.spoiled()).then_some((link, since))
                });
                let (at, ..) = *standing.borrow();
                let (reach, back) = (reach.clone(), back.clone());
                match order {
                    Order::Assign { parcel, nth, expiry, until, given_up } => {
                        let times = (expiry, until);
                        spawn_local(exchange(reach, link, at, parcel, nth, times, given_up, back));
                    }
                    Order::Probe => {
                        spawn_local(probe(reach, link, at, id.clone(), back));
                    }
                }
            }
            Some((link, at)) = returned.recv() => {
                let (now_at, state, _) = *standing.borrow();
                if at == now_at && state != State::Gone {
                    idle.push((link, Instant::now()));
                }
            }
            () = sleep_until(oldest), if !idle.is_empty() => {
                idle.remove(0);
            }
            () = reach.room.wanted(0), if !idle.is_empty() => {
                idle.remove(0);
            }
        }
    }
}

/// One assignment, from its connection to its end, of which the module is told once.
#[allow(clippy::too_many_arguments)]
async fn exchange(
    reach: Rc<Reach>,
    link: Option<(Link, Instant)>,
    at: SocketAddr,
    parcel: Rc<Parcel>,
    nth: usize,
    (expiry, until): (Time, Time),
    given_up: oneshot::Receiver<()>,
    back: mpsc::Sender<(Link, SocketAddr)>,
) {
    let written = Cell::new(false);
    let mut kept = None;
    let told = tokio::select! {
        biased;
        told = assign(&reach, link, at, (&parcel, nth), (expiry, until), &written, &mut kept) => told,
        _ = given_up => Err(if written.get() { End::GivenUp } else { End::Unsent }),
        () = sleep_until(reach.clock.instant(expiry)) => {
            Err(if written.get() { End::TimedOut } else { End::Unwritten })
        }
    };
    let (end, report, result) = told.unwrap_or_else(|end| (end, Report::default(), Bytes::new()));
    if !matches!(end, End::Done | End::GivenUp | End::Unsent | End::Returned) {
        log!("assignment {nth} of {} at {at}: {end:?}", parcel.id);
    }
    let _ = reach.module.send(Mail::Ended { parcel, nth, end, report, result }).await;
    if let Some(link) = kept {
        keep(&reach, link, at, back).await;
    }
}

/// Waits for the end of an answer's framing, and gives the connection back to its worker's actor.
async fn keep(reach: &Reach, mut link: Link, at: SocketAddr, back: mpsc::Sender<(Link, SocketAddr)>) {
    let whole = async {
        while link.next().await? != Piece::Last {}
        Ok::<(), End>(())
    };
    if let Ok(Ok(())) = timeout(reach.dial / TAIL, whole).await {
        give_back(link, at, &back);
    }
}

/// Beyond a full mailbox the connection is closed.
fn give_back(mut link: Link, at: SocketAddr, to: &mpsc::Sender<(Link, SocketAddr)>) {
    link.rest();
    let _ = to.try_send((link, at));
}

/// The link that was idle, or a new one.
async fn open(reach: &Reach, link: Option<(Link, Instant)>, at: SocketAddr) -> Result<Link, End> {
    if let Some((link, _)) = link {
        return Ok(link);
    }
    let until = Instant::now() + reach.dial;
    let seat = timeout_at(until, reach.room.wait()).await.ok().flatten().ok_or(End::NoRoom)?;
    trace!(reach.clock.now(), "dial {at}");
    let made = Link::connect(at, until, head::answer_body, &reach.pool, seat).await;
    made.inspect_err(|end| trace!(reach.clock.now(), "undialled {at} {end:?}"))
}

type Told = (End, Report, Bytes);

async fn assign(
    reach: &Reach,
    link: Option<(Link, Instant)>,
    at: SocketAddr,
    (parcel, nth): (&Rc<Parcel>, usize),
    (expiry, until): (Time, Time),
    written: &Cell<bool>,
    kept: &mut Option<Link>,
) -> Result<Told, End> {
    let rested = link.as_ref().map(|(_, since)| since.elapsed());
    let mut link = open(reach, link, at).await?;
    // A process that stood still since it was decided must not send what is too late by now.
    if reach.clock.now() >= expiry.min(until) {
        return Err(End::Unsent);
    }
    let opening = head::assignment(&parcel.head, parcel.body.len(), at, expiry - reach.clock.now());
    let begun = async {
        link.send(opening.as_bytes(), &parcel.body, written).await?;
        reach.figures.dispatched();
        heard(&mut link).await
    }
    .await;
    // Written to a connection that only looked sound, a task that must not run twice is lost to its client.
    let broke = matches!(begun, Err(End::Unwritten | End::Closed | End::Broken));
    rested.iter().for_each(|idle| reach.trust.used(*idle, broke));
    let (status, close, turned_away, load) = begun?;
    let told = match status {
        200 => words(reach, &mut link, parcel, nth).await?,
        503 | 504 if turned_away => (End::Returned, load, Bytes::new()),
        _ => (End::Failed, load, Bytes::new()),
    };
    *kept = Some(link).filter(|_| !close);
    Ok(told)
}

/// The head of an answer: its status, whether its connection ends with it, whether the task was turned away, and a
/// report.
async fn heard(link: &mut Link) -> Result<(u16, bool, bool, Report), End> {
    loop {
        let Piece::Head(text) = link.next().await? else { return Err(End::Malformed) };
        let found = head::answer(&text, |status, fields| {
            let load = report::text(fields.get("X-Load-Report"));
            (status, fields.says("Connection", "close"), fields.get("X-Rejected") == Some("1"), load)
        })?;
        if found.0 >= 200 {
            return Ok(found);
        }
        link.next().await?; // an interim answer has no body
    }
}

/// Follows a worker's words on a task up to the last one.
async fn words(reach: &Reach, link: &mut Link, parcel: &Rc<Parcel>, nth: usize) -> Result<Told, End> {
    let mut lines = Lines::within(2 * MOST_BODY);
    loop {
        let Piece::Body(piece) = link.next().await? else { return Err(End::Broken) };
        lines.push(&piece);
        while let Some(line) = lines.next()? {
            if line.is_empty() {
                continue;
            }
            if let Some(told) = words::of_worker(&line, &parcel.id)? {
                return Ok(told);
            }
            let _ = reach.module.send(Mail::Sign(parcel.clone(), nth)).await;
        }
    }
}

/// Asks a worker for its load.
async fn probe(
    reach: Rc<Reach>,
    link: Option<(Link, Instant)>,
    at: SocketAddr,
    worker: Rc<str>,
    back: mpsc::Sender<(Link, SocketAddr)>,
) {
    let asked = async {
        let mut link = open(&reach, link, at).await?;
        link.send(head::get("/status/load", at).as_bytes(), &[], &Cell::new(false)).await?;
        let (status, close, _, mut report) = heard(&mut link).await?;
        let body = link.body().await?;
        if !close {
            give_back(link, at, &back);
        }
        if let Ok(load) = serde_json::from_slice(&body) {
            report = report::object(Some(&load));
        }
        Ok((if status == 200 { End::Done } else { End::Failed }, report))
    };
    let told = timeout(reach.dial, asked).await.unwrap_or(Err(End::TimedOut));
    let (end, report) = told.unwrap_or_else(|end| (end, Report::default()));
    let _ = reach.module.send(Mail::Probed { worker: worker.to_string(), end, report }).await;
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::transport::Bounds;
    use tokio::io::AsyncReadExt;
    use tokio::net::TcpListener;
    use tokio::task::LocalSet;
    use tokio::time::sleep;

    /// A process that is stopped after it has decided, and goes on later, wrote the task all the same: after its expiry, or
    /// when its part of a budget was another one's.
    #[test]
    fn what_is_too_late_is_not_written() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let (module, mut letters) = mpsc::channel(8);
            let (pool, clock) = (Pool::within(1 << 20), Clock::start());
            let reach = Rc::new(Reach {
                clock,
                pool,
                room: Bounds::within(64, 64 << 20, false).workers.clone(),
                module,
                dial: Duration::from_secs(5),
                trust: Trust::up_to(Duration::from_secs(5)),
                figures: Rc::new(Figures::of(Vec::new())),
            });
            let at = listener.local_addr().unwrap();
            let later = clock.now() + 60_000_000;
            for (expiry, until, written) in
                [(later, later, true), (later, clock.now(), false), (clock.now(), later, false)]
            {
                let parcel = Rc::new(Parcel { id: "t".into(), head: "POST /t".into(), body: Bytes::new() });
                let (_hold, given_up) = oneshot::channel();
                let (back, _kept) = mpsc::channel(1);
                let one = exchange(reach.clone(), None, at, parcel, 0, (expiry, until), given_up, back);
                let worker = async {
                    let (mut stream, _) = listener.accept().await.unwrap();
                    let mut byte = [0];
                    matches!(stream.read(&mut byte).await, Ok(1))
                };
                let came = tokio::select! {
                    // Its expiry may end it before the connection is up.
                    ((), came) = async { tokio::join!(one, worker) } => came,
                    () = sleep(Duration::from_secs(10)) => panic!("neither came nor ended"),
                };
                assert_eq!(came, written);
                let Some(Mail::Ended { end, .. }) = letters.recv().await else { panic!("it has no end") };
                assert!(written || matches!(end, End::Unsent | End::Unwritten), "{end:?}");
            }
        });
    }
}
