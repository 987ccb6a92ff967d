//! Callers beside the operators: clients that submit, end and read batch jobs, and workers that beat and say goodbye. Every call
//! without a clear answer is sent again, and at times one that was acknowledged too; what was acknowledged must hold.

use rainlug::Time;
use rainlug_coordinator::Call;
use rainlug_registry::Phase;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::common::{Fleet, MS, heartbeat, job};
use crate::history::CALLER_TIMEOUT;

const ITEMS: usize = 3;
/// Pause between two calls of one caller, at most.
const PAUSE: Time = 300 * MS;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Submit,
    Read,
    End,
    Heartbeat,
    Deregister,
}

/// One batch job and one worker, and how far each has come.
struct Caller {
    name: String,
    step: Step,
    submitted: bool,
    ended: bool,
    gone: bool,
    call_seq: u64,
    pending: Option<(u64, Step, Time)>,
    resume: Time,
}

/// A batch job was answered as if an acknowledged call had not been.
#[derive(Debug, PartialEq, Eq)]
pub struct Broken {
    caller: String,
    step: &'static str,
    status: u16,
}

pub struct Requests {
    callers: Vec<Caller>,
    pub broken: Vec<Broken>,
}

impl Caller {
    fn new(nth: usize, now: Time) -> Self {
        Caller {
            name: format!("job{nth}"),
            step: Step::Submit,
            submitted: false,
            ended: false,
            gone: false,
            call_seq: 0,
            pending: None,
            resume: now,
        }
    }

    fn worker(&self) -> String {
        format!("worker-{}", self.name)
    }

    fn call(&mut self, step: Step) -> Call {
        let name = self.name.clone();
        match step {
            Step::Submit => Call::Submit { body: job(&name, ITEMS), job: name, route: "lots".to_owned() },
            Step::Read => Call::Read { job: name, since: 0, wait: 0 },
            Step::End => Call::End { job: name },
            Step::Heartbeat => {
                self.call_seq += 1;
                heartbeat(&self.worker(), "notary", "ready", self.call_seq)
            }
            Step::Deregister => Call::Deregister(self.worker()),
        }
    }

    /// Whether a status is one that the call may have, by what was acknowledged before it was sent.
    fn may(&self, step: Step, status: u16) -> bool {
        match step {
            _ if status >= 500 => true,
            Step::Submit => status == 202,
            Step::Read | Step::End => status == 200 || (status == 404 && !self.submitted),
            Step::Heartbeat | Step::Deregister => status == 200,
        }
    }

    fn acknowledged(&mut self, step: Step) {
        match step {
            Step::Submit => self.submitted = true,
            Step::End => self.ended = true,
            Step::Deregister => self.gone = true,
            Step::Read | Step::Heartbeat => {}
        }
    }

    /// What comes after an acknowledged call.
    fn next(&self, rng: &mut ChaCha8Rng) -> Step {
        let steps = match (self.submitted, self.gone) {
            (false, _) => [Step::Submit, Step::Heartbeat, Step::Heartbeat],
            (true, false) => [Step::Read, Step::Heartbeat, Step::Deregister],
            // Also a late beat.
            (true, true) => [Step::Submit, Step::End, Step::Heartbeat],
        };
        *steps.choose(rng).unwrap_or(&Step::Read)
    }
}

impl Requests {
    pub fn new(callers: usize, now: Time) -> Self {
        Requests { callers: (0..callers).map(|nth| Caller::new(nth, now)).collect(), broken: Vec::new() }
    }

    /// Takes answers and makes the next calls at machines that run.
    pub fn step(&mut self, fleet: &mut Fleet, running: &[usize], rng: &mut ChaCha8Rng) {
        for caller in &mut self.callers {
            if let Some((ticket, step, invoked)) = caller.pending {
                let answer = fleet.answers.get(&ticket).map(|(_, answer)| answer.status);
                if answer.is_none() && fleet.now - invoked < 4 * CALLER_TIMEOUT {
                    continue;
                }
                caller.pending = None;
                caller.resume = fleet.now + rng.random_range(0..PAUSE);
                let status = answer.unwrap_or(0);
                if status > 0 && !caller.may(step, status) {
                    let name = caller.name.clone();
                    self.broken.push(Broken { caller: name, step: step.name(), status });
                }
                if (200..300).contains(&status) {
                    caller.acknowledged(step);
                    caller.step = caller.next(rng);
                }
            }
            if caller.resume <= fleet.now
                && let Some(at) = running.choose(rng)
            {
                let step = caller.step;
                let call = caller.call(step);
                caller.pending = Some((fleet.call(*at, call), step, fleet.now));
            }
        }
    }

    /// All is well again: what was acknowledged is there, at every machine.
    pub fn judge(&mut self, fleet: &mut Fleet, running: &[usize]) {
        assert_eq!(self.broken, []);
        for caller in &mut self.callers {
            let checks =
                [(caller.submitted, Step::Read), (caller.submitted, Step::Submit), (caller.ended, Step::End)];
            for at in running {
                for (_, step) in checks.iter().filter(|(acknowledged, _)| *acknowledged) {
                    let call = caller.call(*step);
                    let status = fleet.ask(*at, call, 4.0).map(|answer| answer.status).unwrap_or(0);
                    assert!((200..300).contains(&status), "{}: {step:?} at {at}: {status}", caller.name);
                }
                let phase = fleet.machines[*at].workers.get(&caller.worker()).map(|worker| worker.phase);
                assert!(!caller.gone || phase == Some(Phase::Gone), "{}: {phase:?} at {at}", caller.worker());
            }
        }
    }
}

impl Step {
    fn name(self) -> &'static str {
        match self {
            Step::Submit => "submit",
            Step::Read => "read",
            Step::End => "end",
            Step::Heartbeat => "beat",
            Step::Deregister => "goodbye",
        }
    }
}
