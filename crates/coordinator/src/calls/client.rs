//! Calls of clients, workers and operators of this process.

use bytes::Bytes;
use rainlug::{SECOND, Time};
use rainlug_registry::Configuration;

use super::{CallCompletion, CallRequest, MAY_TAKE_EFFECT};
use crate::frame::Request;
use crate::{Answer, CONTROL, Call, Coordinator, Now, shard_of_job};

/// How long an operator's call is attempted: their tools turn to another process after a second.
const OPERATOR_TIMEOUT: Time = 8 * SECOND / 10;
/// How long a submission is attempted.
const SUBMIT_TIMEOUT: Time = 3 * SECOND;
/// How long the leader may take over a submission: it reserves tokens and waits for its replica set.
const SUBMIT_LEADER_WAIT: Time = 8 * SECOND / 10;
/// How long other calls about batch jobs are attempted, beside the time that the caller wants to wait for an output.
const JOB_TIMEOUT: Time = 2 * SECOND;
/// The longest that a read waits for an output.
const MAX_READ_WAIT: Time = 2 * SECOND;

impl Coordinator {
    /// A call of a client, worker or operator, which [`Effect::Answer`](crate::Effect::Answer) answers with the same `ticket`.
    pub fn call(&mut self, now: Now, ticket: u64, call: Call) {
        self.now = now;
        match call {
            Call::Heartbeat(worker) => self.heartbeat(ticket, worker),
            Call::Deregister(id) => self.deregister(ticket, id),
            Call::Configure { base, text } => self.call_configure(ticket, base, text),
            Call::Configuration => self.call_control(ticket, &Request::Configuration),
            Call::Retire { store } => {
                self.call_control(ticket, &Request::Retire { store: store.as_str().into() });
            }
            Call::RetirementStatus { store } => {
                self.call_control(ticket, &Request::RetirementStatus { store: store.as_str().into() });
            }
            Call::Submit { job, route, body } => {
                let request = Request::Submit { job: job.as_str().into(), route: route.as_str().into() };
                let completion = CallCompletion::Caller(ticket);
                self.call_shard(CallRequest {
                    tail: body,
                    leader_wait: SUBMIT_LEADER_WAIT,
                    unclear_status: MAY_TAKE_EFFECT,
                    ..CallRequest::new(shard_of_job(&job), &request, completion, SUBMIT_TIMEOUT)
                });
            }
            Call::Read { job, since, wait } => {
                let wait = wait.clamp(0, MAX_READ_WAIT);
                let wait_ms = (wait / 1000) as u32;
                let request = Request::Read { job: job.as_str().into(), since, wait_ms };
                self.call_batch_shard(ticket, &job, &request, wait);
            }
            Call::Body { job, item } => {
                let request = Request::Body { job: job.as_str().into(), item: item.as_str().into() };
                self.call_batch_shard(ticket, &job, &request, 0);
            }
            Call::Primitive(call) => self.call_primitive(ticket, &call),
            Call::End { job } => {
                let request = Request::End { job: job.as_str().into() };
                self.call_batch_shard(ticket, &job, &request, 0);
            }
        }
        self.run_deferred_work();
    }

    /// Sends a configuration to the leader of its shard, unless it is not valid.
    fn call_configure(&mut self, ticket: u64, base: u64, text: Bytes) {
        if let Err(findings) = Configuration::parse(&text) {
            let error = findings.to_string().replace('\\', "\\\\").replace('"', "\\\"");
            return self.answer(ticket, Answer::json(400, format!("{{\"error\":\"{error}\"}}")));
        }
        let (request, completion) = (Request::Configure { base }, CallCompletion::Caller(ticket));
        self.call_shard(CallRequest {
            tail: text,
            ..CallRequest::new(CONTROL, &request, completion, OPERATOR_TIMEOUT)
        });
    }

    /// An operator's call to the configuration's shard.
    fn call_control(&mut self, ticket: u64, request: &Request) {
        let completion = CallCompletion::Caller(ticket);
        self.call_shard(CallRequest::new(CONTROL, request, completion, OPERATOR_TIMEOUT));
    }

    /// A call about a batch job goes to the shard that holds the job; the leader may wait so long for an output.
    fn call_batch_shard(&mut self, ticket: u64, job: &str, request: &Request, wait: Time) {
        let completion = CallCompletion::Caller(ticket);
        self.call_shard(CallRequest {
            leader_wait: wait,
            ..CallRequest::new(shard_of_job(job), request, completion, JOB_TIMEOUT + wait)
        });
    }
}
