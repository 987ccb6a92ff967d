//! What staff need to see of each part to tell why nobody leads it: elections, terms, and members that lag.

use std::collections::BTreeMap;

use rainlug::{SECOND, Time};
use rainlug_consensus::{MemberId, Term};

use crate::{Coordinator, Effect};

/// Between two reports on members that lag.
const LAG_REPORT: Time = 5 * SECOND;
/// Entries that a member may lack before it is reported.
const LAG_WORTH_TELLING: u64 = 256;

/// What was last reported.
#[derive(Default)]
pub(crate) struct Diagnostics {
    elections: BTreeMap<u16, Election>,
    lag_reported: Time,
}

/// The state of a part's election as seen here.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Election {
    term: Term,
    leader: Option<MemberId>,
    is_elected: bool,
}

impl Coordinator {
    /// Reports what has changed since the last call.
    pub(crate) fn diagnose(&mut self) {
        self.report_elections();
        if self.now.steady - self.diagnostics.lag_reported >= LAG_REPORT {
            self.diagnostics.lag_reported = self.now.steady;
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
            let text = format!("part {number}, term {}: {leader}, {uncommitted} uncommitted", election.term);
            self.effects.push(Effect::Log("election", text));
        }
    }

    fn report_lag(&mut self) {
        for (number, shard) in self.shards.iter().filter(|(_, shard)| shard.replica.is_leader()) {
            let behind = shard.replica.replication_lag();
            let lagging: Vec<String> = behind
                .iter()
                .filter(|lag| lag.entries > LAG_WORTH_TELLING)
                .map(|lag| format!("{:x} lacks {}", lag.member, lag.entries))
                .collect();
            if !lagging.is_empty() {
                let text = format!("part {number}: {}", lagging.join(", "));
                self.effects.push(Effect::Log("lag", text));
            }
        }
    }
}
