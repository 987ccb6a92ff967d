//! Batch jobs between the coordinator, which keeps them, and the gateway, which takes clients' calls and runs items at workers.

use std::rc::Rc;

use bytes::Bytes;
use rainlug::Time;
use rainlug_batch::{ItemRun, RunOutcome, RunResult};
use rainlug_coordinator::{Answer, Call};
use rainlug_gateway::{BatchApi, Item, RanEnd, Reply, Replying};
use rainlug_registry::Route;

use super::Node;

fn run_outcome(end: RanEnd) -> RunOutcome {
    match end {
        RanEnd::Complete => RunOutcome::Complete,
        RanEnd::Failed => RunOutcome::Failed,
        RanEnd::Never => RunOutcome::Unprocessable,
        RanEnd::Again => RunOutcome::Interrupted,
        RanEnd::NoRoom => RunOutcome::NoCapacity,
    }
}

impl Node {
    /// Runs an item at a worker and hands the coordinator what came of it. An item whose route is not in the configuration waits for
    /// one that has it.
    pub(super) async fn run_item(self: Rc<Self>, shard: u16, run: ItemRun) {
        let route = {
            let configuration = self.configuration.borrow();
            configuration.as_ref().and_then(|c| c.routes.iter().find(|r| r.name == run.route).cloned())
        };
        let id = run.id;
        let (events, outcome) = match route {
            None => (Vec::new(), RunOutcome::NoCapacity),
            Some(route) => {
                let ran = self.gateway.item(self.gateway_item(route, run)).await;
                (ran.events, run_outcome(ran.end))
            }
        };
        self.step("ran", |coordinator, now| {
            coordinator.item_finished(now, shard, RunResult { run: id, events, outcome })
        });
    }

    /// An item as the gateway takes it.
    fn gateway_item(&self, route: Rc<Route>, run: ItemRun) -> Item {
        let remaining_ms = (run.retain_until - self.clock.now().wall).max(0) / 1000;
        Item {
            id: run.item.id,
            route,
            path: run.item.path,
            headers: run.item.headers,
            body: run.item.body,
            last_event: run.last_event,
            deadline_ms: remaining_ms as u64,
            tried: Vec::new(),
        }
    }
}

/// Takes clients' calls on batch jobs from the gateway to the coordinator.
pub(crate) struct BatchCalls {
    node: Rc<Node>,
}

impl BatchCalls {
    pub(crate) fn new(node: Rc<Node>) -> Self {
        BatchCalls { node }
    }

    fn call(&self, call: Call) -> Replying {
        let node = self.node.clone();
        Box::pin(async move { reply(node.call(call).await) })
    }
}

fn reply(answer: Answer) -> Reply {
    Reply {
        status: answer.status,
        retry_after: answer.retry_after.map(|delay| delay as f64 / 1e6),
        body: answer.body,
        json: answer.is_json,
    }
}

impl BatchApi for BatchCalls {
    fn submit(&self, route: Rc<Route>, id: String, body: Bytes) -> Replying {
        self.call(Call::Submit { job: id, route: route.name.clone(), body })
    }

    fn read(&self, id: String, since_item: u64, wait_ms: u64) -> Replying {
        self.call(Call::Read { job: id, since: since_item, wait: wait_ms as Time * 1000 })
    }

    fn item(&self, id: String, item: String) -> Replying {
        self.call(Call::Body { job: id, item })
    }

    fn end(&self, id: String) -> Replying {
        self.call(Call::End { job: id })
    }
}
