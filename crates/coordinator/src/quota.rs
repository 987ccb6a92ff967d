//! Quotas over all shards of batch jobs.
//!
//! A route's waiting tokens are counted by the quota ledger in one shard, [`crate::shard_of_route`]. The leader of a job's shard
//! reserves the job's tokens there before it proposes the job, and reports which tokens still wait. A reservation that later reports
//! do not name is released after a grace period ([`rainlug_batch::RESERVATION_GRACE`]): a job that came to nothing holds no tokens
//! for long.
//!
//! - [`reservations`]: a job's leader asks for its tokens, and proposes the job once they are reserved;
//! - [`usage_reports`]: a job's leader reports which tokens wait;
//! - [`ledger`]: what a ledger's leader does with both.

mod ledger;
mod reservations;
mod usage_reports;

use rainlug::{SECOND, Time};

pub(crate) use self::reservations::{ReservationAnswer, Submission};
pub(crate) use self::usage_reports::UsageReports;

/// How long a ledger's leader may wait for its replica set.
const LEDGER_LEADER_WAIT: Time = SECOND / 5;
/// When to come back with a batch job that is over the quota.
const OVER_QUOTA_RETRY: Time = SECOND / 2;
