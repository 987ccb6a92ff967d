//! A batch job on its way to its shard's log: its tokens are reserved at its route's quota ledger, then it is proposed.

use bytes::Bytes;
use rainlug::{SECOND, Time};

use super::{LEDGER_LEADER_WAIT, OVER_QUOTA_RETRY};
use crate::calls::{CallCompletion, CallRequest};
use crate::frame::Request;
use crate::{Answer, Coordinator, Origin, shard_of_route};

/// How long a batch job waits for its tokens. Less than its client's process waits for the job's leader, so that a
/// refusal arrives.
const RESERVATION_TIMEOUT: Time = 8 * SECOND / 10;
/// When to come back with a batch job whose quota ledger cannot be reached.
const NO_LEDGER_RETRY: Time = SECOND / 2;

/// A batch job that is not committed yet.
pub(crate) struct Submission {
    /// Bytes that it and its outputs will take on the disk.
    pub bytes: u64,
    /// Who waits for it, except for the one whose proposal it is.
    pub origins: Vec<Origin>,
    pub(super) route: String,
    pub(super) tokens: u64,
    stage: Stage,
}

/// How far a submission has come.
enum Stage {
    /// Its tokens are being reserved; then the command is proposed.
    Reserving {
        command: Bytes,
    },
    Proposed,
}

impl Submission {
    /// A submission whose tokens are to be reserved before `command` is proposed.
    pub fn new(route: String, tokens: u64, bytes: u64, origin: Origin, command: Bytes) -> Self {
        Submission { bytes, origins: vec![origin], route, tokens, stage: Stage::Reserving { command } }
    }

    /// Bytes that it holds until it is proposed.
    pub fn bytes_to_propose(&self) -> usize {
        match &self.stage {
            Stage::Reserving { command } => command.len(),
            Stage::Proposed => 0,
        }
    }

    /// Whether it may be committed yet.
    pub fn is_proposed(&self) -> bool {
        matches!(self.stage, Stage::Proposed)
    }
}

/// A ledger's answer to a reservation.
pub(crate) struct ReservationAnswer {
    /// The shard of the batch job.
    pub shard: u16,
    pub job: String,
    pub answer: Answer,
}

impl Coordinator {
    /// Asks for a batch job's tokens; the job is proposed once they are reserved. At most `most` may wait on the route (0: no
    /// limit, and no need to ask: the shard's reports tell of the job).
    pub(crate) fn reserve_tokens(&mut self, number: u16, job: &str, submission: Submission, most: u64) {
        let Some(shard) = self.shards.get_mut(&number) else { return };
        let (route, tokens) = (submission.route.clone(), submission.tokens);
        shard.submissions.insert(job.to_owned(), submission);
        if let Some(reports) = &mut shard.reports {
            reports.begin_reservation(&route, job);
        }
        if most == 0 {
            let granted =
                ReservationAnswer { shard: number, job: job.to_owned(), answer: Answer::with_status(200) };
            return self.reservation_answers.push_back(granted);
        }
        let request =
            Request::Reserve { job: job.into(), route: route.as_str().into(), shard: number, tokens, most };
        let completion = CallCompletion::Reservation { shard: number, job: job.to_owned() };
        self.call_shard(CallRequest {
            leader_wait: LEDGER_LEADER_WAIT,
            ..CallRequest::new(shard_of_route(&route), &request, completion, RESERVATION_TIMEOUT)
        });
    }

    /// A ledger has answered a reservation, or did not in time.
    pub(crate) fn queue_reservation_answer(&mut self, shard: u16, job: String, answer: Answer) {
        self.reservation_answers.push_back(ReservationAnswer { shard, job, answer });
    }

    /// Acts on the answers of ledgers. Not where they arrive: that may be in the midst of another shard's commands.
    pub(crate) fn finish_reservations(&mut self) {
        while let Some(ReservationAnswer { shard, job, answer }) = self.reservation_answers.pop_front() {
            if answer.status == 200 {
                self.propose_reserved(shard, &job);
            } else {
                let refusal = if answer.status == 429 {
                    Answer::retry_after(429, OVER_QUOTA_RETRY)
                } else {
                    Answer::retry_after(503, NO_LEDGER_RETRY)
                };
                self.refuse_submitting(shard, &job, &refusal);
            }
        }
    }

    fn propose_reserved(&mut self, number: u16, job: &str) {
        let Some(shard) = self.shards.get_mut(&number) else { return };
        let Some(submission) = shard.submissions.get_mut(job) else { return };
        let Stage::Reserving { command } = std::mem::replace(&mut submission.stage, Stage::Proposed) else {
            return;
        };
        let origin = submission.origins.remove(0);
        if !self.propose(number, origin, command) {
            self.send_submitting_elsewhere(number, job);
        }
    }

    /// Nothing was proposed: who waits for the batch job may rely on it.
    fn refuse_submitting(&mut self, number: u16, job: &str, refusal: &Answer) {
        let now = self.now.steady;
        let Some(shard) = self.shards.get_mut(&number) else { return };
        if shard.submissions.get(job).is_none_or(Submission::is_proposed) {
            return;
        }
        let Some(submission) = shard.submissions.remove(job) else { return };
        if refusal.status != 429
            && let Some(reports) = &mut shard.reports
        {
            reports.cancel_reservation(&submission.route, job, now);
        }
        submission.origins.into_iter().for_each(|origin| self.reply(origin, refusal.clone()));
    }

    fn send_submitting_elsewhere(&mut self, number: u16, job: &str) {
        let Some(shard) = self.shards.get_mut(&number) else { return };
        let origins = shard.submissions.remove(job).map_or(Vec::new(), |submission| submission.origins);
        origins.into_iter().for_each(|origin| self.redirect(number, origin));
    }
}
