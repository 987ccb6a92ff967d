//! Log events by which an operator can tell why a shard has no leader: elections, terms, members that lag, and replica sets without a
//! quorum.

use std::collections::BTreeMap;

use rainlug::{SECOND, Time};
use rainlug_consensus::{Member, MemberId, Quorums, Term};

use crate::{Coordinator, Effect};

/// Between two log events on members that lag, in microseconds.
const LAG_REPORT_INTERVAL: Time = 5 * SECOND;
/// A shard may be without a decision for so long before its replica sets are logged, and between two such log events, in microseconds.
const MISSING_QUORUM_INTERVAL: Time = 2 * SECOND;
/// Entries that a member may lack without being reported.
const MAX_UNREPORTED_LAG: u64 = 256;

/// What was last logged.
#[derive(Default)]
pub(crate) struct Diagnostics {
    elections: BTreeMap<u16, Election>,
    /// When lag was last logged, by the steady clock in microseconds.
    lag_reported_at: Time,
    /// Since when each shard here cannot decide, or when that was last logged, by the steady clock in microseconds.
    undecided_since: BTreeMap<u16, Time>,
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
        self.report_missing_quorums();
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

    /// Logs the replica sets of shards that have had no leader, or a change that is not committed, for some time: the members of each set
    /// that must agree, when they were heard, and whether those that are here are a quorum.
    fn report_missing_quorums(&mut self) {
        let now = self.now.steady;
        let mut texts = Vec::new();
        for (number, shard) in &self.shards {
            let replica = &shard.replica;
            let is_decided = replica.leader().is_some() && replica.is_replica_set_committed();
            if is_decided || replica.is_tombstone() {
                self.diagnostics.undecided_since.remove(number);
                continue;
            }
            let since = self.diagnostics.undecided_since.entry(*number).or_insert(now);
            if now - *since < MISSING_QUORUM_INTERVAL {
                continue;
            }
            *since = now;
            let sets: Vec<String> =
                replica.replica_sets().map(|members| self.describe_set(members)).collect();
            texts.push(format!(
                "shard {number}, entry {}: {}",
                replica.replica_set_index(),
                sets.join("; before: ")
            ));
        }
        self.effects.extend(texts.into_iter().map(|text| Effect::Log("no decision", text)));
    }

    /// The members of a replica set, when each was heard, and whether those that are here are a quorum.
    fn describe_set(&self, members: &[Member]) -> String {
        let fenced = self.topology.fenced.iter().copied().collect();
        let describe = |member: &Member| {
            let absence = self.absence(&member.address);
            let state = match (self.topology.is_fenced(member.id), absence) {
                (true, _) => " fenced".to_owned(),
                (false, 0) => String::new(),
                (false, _) => format!(" absent for {} ms", absence / 1000),
            };
            format!("{}{state}", member.name)
        };
        let is_here = |id| members.iter().any(|m| m.id == id && self.absence(&m.address) == 0);
        let quorum = if Quorums::new(members, &fenced).is_met(is_here) { "a quorum" } else { "no quorum" };
        let members: Vec<String> = members.iter().map(describe).collect();
        format!("{} ({quorum})", members.join(", "))
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
