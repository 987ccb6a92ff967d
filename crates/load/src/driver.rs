//! Sends a schedule to a dispatcher. No answer holds a later task back.

use std::cell::RefCell;
use std::iter::repeat;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::connector::EndAwareConnector;
use crate::plan::{Plan, Workload};
use crate::record::{End, Ended, Recorder};
use crate::schedule::Due;

/// Where a try goes, by a number of chance: the number of the place and its address.
pub type Front = dyn Fn(u64) -> Option<(usize, SocketAddr)>;

type Sender = Client<EndAwareConnector, Full<Bytes>>;

/// Waits longer than a task's budget by this for its answer.
const GRACE: Duration = Duration::from_millis(500);

/// Sends all that is due, and ends when the last task has ended.
pub async fn run(plan: &Plan, schedule: Vec<Due>) -> Recorder {
    let target = plan.target;
    send(plan, schedule, Rc::new(move |_| Some((0, target))), None).await
}

/// The same through a front: each try goes where that says, by a number of chance; nothing where nobody serves. Which it was is
/// kept with each task's end.
pub async fn through(plan: &Plan, schedule: Vec<Due>, front: Rc<Front>) -> Recorder {
    send(plan, schedule, front, Some(Vec::new())).await
}

async fn send(plan: &Plan, schedule: Vec<Due>, front: Rc<Front>, all: Option<Vec<Ended>>) -> Recorder {
    let client: Sender = Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_max_idle_per_host(plan.connections)
        .build(EndAwareConnector::new());
    let mut recorder = Recorder::of(plan.workloads.len());
    recorder.all = all;
    let seen = Rc::new(RefCell::new(recorder));
    let (tasks, began) = (LocalSet::new(), Instant::now());
    let mut ids = ChaCha8Rng::seed_from_u64(!plan.seed);
    let open = Rc::new(());
    let all = async {
        for (due, workload) in schedule {
            sleep_until(began + Duration::from_micros(due)).await;
            let sent = began.elapsed().as_micros() as u64;
            if Rc::strong_count(&open) > plan.connections {
                seen.borrow_mut().ended(workload, (due, sent, sent), End::NotSent, 0, None);
                continue;
            }
            let (load, seed, held) = (plan.workloads[workload].clone(), ids.random(), open.clone());
            let (client, seen, front) = (client.clone(), seen.clone(), front.clone());
            tokio::task::spawn_local(async move {
                let (end, again, by) = task(&client, &*front, &load, seed, began).await;
                let done = began.elapsed().as_micros() as u64;
                seen.borrow_mut().ended(workload, (due, sent, done), end, again, by);
                drop(held);
            });
        }
    };
    tasks.run_until(all).await;
    tasks.await;
    seen.replace(Recorder::of(0))
}

/// One task with its further tries, up to its budget; how it ended, how often it was asked again, and where its last try went, as
/// what and when in microseconds of the run.
async fn task(
    client: &Sender,
    front: &Front,
    load: &Workload,
    seed: u64,
    began: Instant,
) -> (End, u32, Option<(usize, u64, u64)>) {
    let (mut again, mut chance) = (0, ChaCha8Rng::seed_from_u64(seed));
    let until = Instant::now() + Duration::from_millis(load.budget_ms);
    let fingerprint = format!("{:032x}", chance.random::<u128>());
    loop {
        let left = until.saturating_duration_since(Instant::now());
        let Some((place, target)) = front(chance.random()) else { return (End::Refused, again, None) };
        let id: u64 = chance.random();
        let by = Some((place, id, began.elapsed().as_micros() as u64));
        let mut request = Request::post(format!("http://{target}/{}", load.name))
            .header("X-Call-Id", format!("{id:016x}"))
            .header("X-Budget", format!("{}m", left.as_millis().max(1)));
        if load.fingerprint {
            request = request.header("Idempotency-Key", &fingerprint);
        }
        // Bodies begin with the fingerprint, as far as they are long: a stand-in knows a task by it in each try.
        let body: Vec<u8> = fingerprint.bytes().chain(repeat(b'x')).take(load.body_bytes).collect();
        let Ok(request) = request.body(Full::from(body)) else {
            return (End::Odd, again, by);
        };
        let end = timeout(left + GRACE, answer(client, request)).await.unwrap_or(End::TimedOut);
        let wait = Duration::from_millis(load.backoff_ms).mul_f64(0.5 + chance.random::<f64>());
        if end != End::Bounced || again >= load.retries || Instant::now() + wait >= until {
            return (end, again, by);
        }
        again += 1;
        sleep(wait).await;
    }
}

async fn answer(client: &Sender, request: Request<Full<Bytes>>) -> End {
    match client.request(request).await {
        Ok(answer) => {
            let status = answer.status();
            if answer.into_body().collect().await.is_err() {
                return End::Broken;
            }
            match status {
                StatusCode::OK => End::Finished,
                StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => End::Bounced,
                s if s.is_server_error() => End::Abandoned,
                _ => End::Odd,
            }
        }
        Err(error) if error.is_connect() => End::Refused,
        Err(_) => End::Broken,
    }
}
