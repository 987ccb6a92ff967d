//! Replica sets that must agree and have lost half of their members, as members report them to the leader of the configuration's shard.
//!
//! That leader fences disks by the sets that were reported as committed. A set that is being changed to, or that is committed and not
//! reported yet, may be tied while the reported one is not: with its absent half nobody leads that could report anything. Any
//! member can, from its log. A report is kept in memory for a short time and repeated while the tie lasts.
//!
//! A report that is out of date can do no more than have a disk fenced that is absent anyway; it then comes back as an empty one.
//! Fences are safe in any replica set (see [`rainlug_consensus::Quorums`]).

use rainlug::{SECOND, Time};
use rainlug_consensus::{Index, Member};

use crate::calls::CallRequest;
use crate::frame::{MemberRecord, Request};
use crate::topology::{decode_members, encode_members};
use crate::{CONTROL, Coordinator, Effect};

/// Between two reports of a shard's ties, in microseconds.
const TIE_REPORT_INTERVAL: Time = SECOND / 2;
/// A report counts for so long, in microseconds.
const TIE_REPORT_VALIDITY: Time = 4 * TIE_REPORT_INTERVAL;
/// Reports that are kept at once; a shard has two sets that must agree, and several members that may report them.
const MAX_TIE_REPORTS: usize = 256;

/// A set that a member has reported as tied.
struct TieReport {
    shard: u16,
    members: Vec<Member>,
    /// When it came (steady clock).
    received_at: Time,
}

/// The sets that members have reported as tied of late.
#[derive(Default)]
pub(crate) struct TieReports(Vec<TieReport>);

impl TieReports {
    /// Adds a report, or renews it.
    fn insert(&mut self, shard: u16, members: Vec<Member>, now: Time) {
        let is_same = |report: &&mut TieReport| report.shard == shard && report.members == members;
        if let Some(known) = self.0.iter_mut().find(is_same) {
            known.received_at = now;
        } else if self.0.len() < MAX_TIE_REPORTS {
            self.0.push(TieReport { shard, members, received_at: now });
        }
    }

    /// Drops reports that were not repeated.
    pub(crate) fn drop_old(&mut self, now: Time) {
        self.0.retain(|report| now - report.received_at < TIE_REPORT_VALIDITY);
    }

    /// The sets that are reported.
    pub(crate) fn sets(&self) -> impl Iterator<Item = &[Member]> {
        self.0.iter().map(|report| &*report.members)
    }
}

impl Coordinator {
    /// Reports the replica sets of shards here that must agree and cannot, because half of their members are absent.
    pub(crate) fn report_ties(&mut self) {
        if self.info.role.is_gateway() {
            return;
        }
        for number in 1..=self.info.last_shard() {
            for (index, members) in self.tied_sets(number) {
                self.report_tie(number, index, &members);
            }
        }
    }

    /// The sets of a shard that are tied, where nobody leads it or a change is not committed: each with the index of the newest one.
    fn tied_sets(&mut self, number: u16) -> Vec<(Index, Vec<Member>)> {
        let now = self.now.steady;
        let Some(shard) = self.shards.get(&number) else { return Vec::new() };
        let replica = &shard.replica;
        let is_due = now - shard.tie_reported_at >= TIE_REPORT_INTERVAL;
        let is_blocked = replica.leader().is_none() || !replica.is_replica_set_committed();
        if !is_due || !is_blocked {
            return Vec::new();
        }
        let index = replica.replica_set_index();
        let is_fenced = |disk| self.topology.is_fenced(disk);
        let is_tied = |members: &&[Member]| !self.disks_to_fence(members, is_fenced).is_empty();
        let tied = replica.replica_sets().filter(is_tied);
        let tied: Vec<(Index, Vec<Member>)> = tied.map(|members| (index, members.to_vec())).collect();
        if let Some(shard) = self.shards.get_mut(&number).filter(|_| !tied.is_empty()) {
            shard.tie_reported_at = now;
        }
        tied
    }

    fn report_tie(&mut self, shard: u16, index: Index, members: &[Member]) {
        let names: Vec<&str> = members.iter().map(|member| member.name.as_str()).collect();
        self.effects
            .push(Effect::Log("tied", format!("shard {shard}: half of {} are absent", names.join(" "))));
        let members = encode_members(members);
        let member_count = members.len() as u16;
        let request = Request::ReportTie { shard, index, member_count, members };
        self.call_shard(CallRequest::internal(CONTROL, &request, TIE_REPORT_INTERVAL));
    }

    /// As the leader of the configuration's shard: takes a report, unless a newer replica set of the shard is known.
    pub(crate) fn receive_tie(&mut self, shard: u16, index: Index, members: &[MemberRecord]) {
        let Some(control) = self.shards.get(&CONTROL).and_then(|shard| shard.control()) else { return };
        let is_current = control.replica_sets.get(&shard).is_some_and(|known| known.index <= index);
        if let (true, Ok(members)) = (is_current, decode_members(members)) {
            self.ties.insert(shard, members, self.now.steady);
        }
    }
}
