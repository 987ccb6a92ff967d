//! The leader of a quota ledger's shard: it judges reservations, enters usage reports, and answers both once they are committed.

use bytes::Bytes;
use rainlug_batch::{Command, QuotaOutcome};

use super::OVER_QUOTA_RETRY;
use crate::waiting::ProposalFate;
use crate::{Answer, Coordinator, Origin, shard_of_route};

impl Coordinator {
    /// A reservation, asked of this process as the leader of the quota ledger's shard.
    pub(crate) fn receive_reservation(&mut self, number: u16, origin: Origin, command: Command) {
        let Command::Reserve { route, job, shard, tokens, max_waiting_tokens, .. } = &command else { return };
        let Some(counts) = self.shards.get(&number) else { return };
        if shard_of_route(route) != number {
            return self.reply(origin, Answer::with_status(400));
        }
        // A refusal need not be committed: where this copy is old, the job fits when it comes again.
        if !counts.quota_ledger.can_reserve(route, job, *shard, *tokens, *max_waiting_tokens) {
            return self.reply(origin, Answer::retry_after(429, OVER_QUOTA_RETRY));
        }
        self.propose(number, origin, command.encode());
    }

    /// A report, made to this process as the leader of the quota ledger's shard.
    pub(crate) fn receive_usage_report(&mut self, number: u16, origin: Origin, report: &Bytes) {
        let wall = self.now.wall;
        let Some(counts) = self.shards.get(&number) else { return };
        let Ok(Command::ReportUsage { route, shard, number: nth, usage, .. }) = Command::decode(report)
        else {
            return self.reply(origin, Answer::with_status(400));
        };
        if shard_of_route(&route) != number {
            return self.reply(origin, Answer::with_status(400));
        }
        if !counts.quota_ledger.would_change(&route, shard, nth, &usage, wall) {
            return self.reply(origin, Answer::with_status(200));
        }
        let command = Command::ReportUsage { route, shard, number: nth, timestamp: wall, usage };
        self.propose(number, origin, command.encode());
    }

    /// A command of a ledger is committed; `proposal` is who waits for it.
    pub(crate) fn finish_ledger_command(
        &mut self,
        number: u16,
        booked: QuotaOutcome,
        proposal: Option<ProposalFate>,
    ) {
        let answer = match booked {
            QuotaOutcome::Granted | QuotaOutcome::Reported | QuotaOutcome::Stale => Answer::with_status(200),
            QuotaOutcome::Refused => Answer::retry_after(429, OVER_QUOTA_RETRY),
        };
        match proposal {
            Some(ProposalFate::Committed(origin)) => self.reply(origin, answer),
            Some(ProposalFate::Replaced(origin)) => self.redirect_proposed(number, origin),
            None => {}
        }
    }
}
