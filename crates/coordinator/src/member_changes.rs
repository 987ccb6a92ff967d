//! The next change of a shard's replica set, decided from what its leader knows of each member.
//!
//! The rules keep two promises (`docs/control.md`, *Replica sets that change beside a loss*):
//!
//! - A change is begun only where a quorum of the new set has been heard and is up to date, so that it can be committed by members that
//!   are there.
//! - A member that still has everything leaves only where all members that stay are there and up to date. While one of them is absent,
//!   the loss comes first and a retirement waits: until then the retiring member votes.
//!
//! Only one member is exchanged, added or removed at a time (Raft 4.1).

use std::collections::BTreeSet;

use rainlug_consensus::{Member, MemberId, Quorums};

/// What the leader of a shard knows of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberCondition {
    /// It is live and lacks few entries.
    UpToDate,
    /// It is live and lacks entries.
    Lagging,
    /// It has not been heard for a short time.
    Silent,
    /// It has been absent for some time, and may be back soon.
    Away,
    /// It is live and about to end, so that it is to leave.
    Departing,
    /// It has been absent for so long that another disk is to take its place. It may come back.
    Absent,
    /// Its disk holds nothing any more: it is fenced, or another disk has taken its place.
    Lost,
}

/// A member of a replica set as its leader sees it.
#[derive(Clone, Debug)]
pub struct ObservedMember {
    /// The member.
    pub member: Member,
    /// What is known of it.
    pub condition: MemberCondition,
    /// It was ordered to give up its replicas.
    pub is_retiring: bool,
}

/// The sizes of a replica set.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaSetSizes {
    /// The fewest members that it may have.
    pub min: usize,
    /// Its members when nothing is lost.
    pub target: usize,
}

/// A store that has left a replica set of late because its process ended or was away.
pub enum ReturningStore {
    /// It is back.
    Back(Member),
    /// It is not back yet, and may be soon.
    Awaited,
}

/// The disks that could join the other members of a replica set.
pub trait Candidates {
    /// A store that has left of late because its process ended or was away: its disk lacks least.
    fn returning(&self, others: &[Member]) -> Option<ReturningStore>;

    /// The best of the stores that stay.
    fn best_staying(&self, others: &[Member]) -> Option<Member>;

    /// The best of the stores that retire, but may not be taken away yet.
    fn best_retiring(&self, others: &[Member]) -> Option<Member>;
}

/// Why a member is to be replaced.
enum Departure {
    /// It holds nothing any more.
    Lost,
    /// It does not answer, and another disk is to take its place.
    Absent,
    /// It does not answer.
    Away,
    /// Its process is about to end.
    Ends,
    /// It was ordered to.
    Retires,
}

/// The next members of a shard of stores, where they are to change. The first to be replaced are those that hold nothing any more, then
/// those that are about to end, those that are absent, and those that retire.
pub fn next_members(
    observed: &[ObservedMember],
    sizes: ReplicaSetSizes,
    candidates: &impl Candidates,
) -> Option<Vec<Member>> {
    let Some((position, departure)) = next_departure(observed) else {
        return add_member(observed, sizes, candidates);
    };
    let rest: Vec<&ObservedMember> =
        observed.iter().enumerate().filter(|(at, _)| *at != position).map(|(_, other)| other).collect();
    let others: Vec<Member> = rest.iter().map(|other| other.member.clone()).collect();
    let is_rest_up_to_date = rest.iter().all(|other| other.condition == MemberCondition::UpToDate);
    let may_leave = is_rest_up_to_date && others.len() >= sizes.min;
    let staying = || candidates.best_staying(&others);
    let successor = match departure {
        // A retiring store that has everything is better than none: the set could not decide without the lost one.
        Departure::Lost | Departure::Absent => staying().or_else(|| candidates.best_retiring(&others)),
        // It may be back soon. Meanwhile the others are better off without it: their set then bears a further loss.
        Departure::Ends | Departure::Away => None,
        Departure::Retires if is_rest_up_to_date => staying(),
        Departure::Retires => return None,
    };
    if let Some(successor) = successor {
        let next: Vec<Member> = others.into_iter().chain([successor]).collect();
        return has_live_quorum(observed, &next).then_some(next);
    }
    // No store takes its place. It leaves nevertheless: an even set of the others bears a further loss where a store comes that makes a
    // fence possible, while an odd one with a member that is gone does not. What was lost or absent comes back as a new member.
    may_leave.then_some(others)
}

/// Whether a quorum of the next members is there. One that is added is: only live stores are candidates.
fn has_live_quorum(observed: &[ObservedMember], next: &[Member]) -> bool {
    let condition_of =
        |id: MemberId| observed.iter().find(|other| other.member.id == id).map(|other| other.condition);
    let lost = observed.iter().filter(|other| other.condition == MemberCondition::Lost);
    let fenced: BTreeSet<MemberId> = lost.map(|other| other.member.id).collect();
    let is_live = |id| match condition_of(id) {
        None | Some(MemberCondition::UpToDate | MemberCondition::Lagging) => true,
        Some(_) => false,
    };
    Quorums::new(next, &fenced).is_met(is_live)
}

/// Which member is to be replaced next, by its position.
fn next_departure(observed: &[ObservedMember]) -> Option<(usize, Departure)> {
    let in_condition = |condition| observed.iter().position(|other| other.condition == condition);
    let lost = in_condition(MemberCondition::Lost).map(|at| (at, Departure::Lost));
    let ending = || in_condition(MemberCondition::Departing).map(|at| (at, Departure::Ends));
    let absent = || in_condition(MemberCondition::Absent).map(|at| (at, Departure::Absent));
    let away = || in_condition(MemberCondition::Away).map(|at| (at, Departure::Away));
    let retiring = || Some((observed.iter().position(|other| other.is_retiring)?, Departure::Retires));
    lost.or_else(ending).or_else(absent).or_else(away).or_else(retiring)
}

/// These members and one more, where there are too few.
fn add_member(
    observed: &[ObservedMember],
    sizes: ReplicaSetSizes,
    candidates: &impl Candidates,
) -> Option<Vec<Member>> {
    if observed.len() >= sizes.target {
        return None;
    }
    let members: Vec<Member> = observed.iter().map(|other| other.member.clone()).collect();
    let added = match candidates.returning(&members) {
        Some(ReturningStore::Back(store)) => store,
        Some(ReturningStore::Awaited) => return None,
        None => candidates.best_staying(&members)?,
    };
    let next: Vec<Member> = members.into_iter().chain([added]).collect();
    has_live_quorum(observed, &next).then_some(next)
}
