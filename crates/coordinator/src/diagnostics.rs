//! Log events by which an operator can tell why a shard has no leader: elections, terms, and members that lag.

use std::collections::BTreeMap;

use rainlug::{SECOND, Time};
use rainlug_consensus::{MemberId, Term};

use crate::{Coordinator, Effect};

/// Between two log events on members that lag, in microseconds.
const LAG_REPORT_INTERVAL: Time = 5 * SECOND;
/// Entries that a member may lack without being reported.
const MAX_UNREPORTED_LAG: u64 = 256;

/// What was last logged.
#[derive(Default)]
pub(crate) struct Diagnostics {
    elections: BTreeMap<u16, Election>,
    /// When lag was last logged, by the steady clock in microseconds.
    lag_reported_at: Time,
}

/// The state of a shard's election as seen here.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Election {
    term: Term,
    leader: Option<MemberId>,
    is_elected: bool,
}

impl Coordinator {
    /// Logs what has changed since the last call.
    pub(crate) fn diagnose(&mut self) {
        self.report_elections();
        if self.now.steady - self.diagnostics.lag_reported_at >= LAG_REPORT_INTERVAL {
            self.diagnostics.lag_reported_at = self.now.steady;
            self.report_lag();
        }
    }

    fn report_elections(&mut self) {
        for (number, shard) in &self.shards {
            let leader = shard.replica.leader();
            let election = Election {
                term: shard.replica.term(),
                leader: leader.map(|member| member.id),
                is_elected: shard.replica.is_leader(),
            };
            if self.diagnostics.elections.insert(*number, election) == Some(election) {
                continue;
            }
            let leader =
                leader.map_or("nobody".to_owned(), |member| format!("{}@{}", member.name, member.address));
            let uncommitted = shard.replica.uncommitted_entries();
            let text = format!("shard {number}, term {}: {leader}, {uncommitted} uncommitted", election.term);
            self.effects.push(Effect::Log("election", text));
        }
    }

    fn report_lag(&mut self) {
        for (number, shard) in self.shards.iter().filter(|(_, shard)| shard.replica.is_leader()) {
            let behind = shard.replica.replication_lag();
            let lagging: Vec<String> = behind
                .iter()
                .filter(|lag| lag.entries > MAX_UNREPORTED_LAG)
                .map(|lag| format!("{:x} lacks {}", lag.member, lag.entries))
                .collect();
            if !lagging.is_empty() {
                let text = format!("shard {number}: {}", lagging.join(", "));
                self.effects.push(Effect::Log("lag", text));
            }
        }
    }
}
