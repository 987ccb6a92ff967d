//! A process that is about to end gives up its places in replica sets first, where the others bear it.
//!
//! A member that is gone for good and has no successor makes a replica set that bears no further loss: of three members with one gone and one
//! lost, the one that is left is no majority, and no tie that a fence breaks. So a process that is told to end asks the leader of each
//! shard that it is a member of to be left out, and waits for that, for a bounded time. A set of stores goes on with one member less
//! where it may; a member of the configuration's shard leaves where another gateway can take its place. A process that is only
//! restarted is added again as soon as it is back: its disk lacks little.

use std::collections::{BTreeMap, BTreeSet};

use rainlug::{SECOND, Time};
use rainlug_consensus::{Member, MemberId};

use crate::calls::{CallCompletion, CallRequest};
use crate::frame::Request;
use crate::maintenance::ANNOUNCE_INTERVAL;
use crate::{Answer, CONTROL, Coordinator, Now, Origin};

/// How long a leader has to answer one request to be left out, in microseconds.
const REQUEST_TIMEOUT: Time = SECOND / 2;
/// A member that has asked to be left out is about to end for so long after it asked last, in microseconds: it asks until it ends, and others
/// then need some time to see that it has.
const ABOUT_TO_END: Time = 2 * SECOND;
/// A store that has ended is expected back for so long, in microseconds: no other one is filled in its place meanwhile.
const EXPECTED_BACK: Time = 4 * SECOND;

/// Gateways that could join the configuration's shard have asked its leader to once it has led for so long, in microseconds.
const CANDIDATES_KNOWN_AFTER: Time = ANNOUNCE_INTERVAL + ANNOUNCE_INTERVAL / 4;

/// A process that is to end waits no longer than this for a leader that does not answer, in microseconds.
const LEADER_TIMEOUT: Time = 2 * SECOND;

/// The status where the replica set is committed without the member, and its members know.
const LEFT_OUT: u16 = 200;
/// The status where the member is to be left out, and is not yet.
const UNDER_WAY: u16 = 202;
/// The status where the member stays: the others would be too few.
const STAYS: u16 = 409;

/// This process's own departure.
#[derive(Default)]
pub(crate) struct Departure {
    /// The shards that this process was a member of when it was told to end.
    shards: BTreeSet<u16>,
    /// Those of them whose leader has not answered finally.
    undecided: BTreeSet<u16>,
    /// Those of them whose leader has been asked and has not answered.
    asked: BTreeSet<u16>,
    /// When a leader last answered, or the process was told to end (steady clock).
    last_answer: Time,
}

/// Members that have asked to be left out or have left replica sets that are led here, and when (steady clock).
#[derive(Default)]
pub(crate) struct Departures {
    /// When each asked last.
    asked: BTreeMap<MemberId, Time>,
    /// When each was last there: those that left because they were away or about to end.
    left: BTreeMap<MemberId, Time>,
}

impl Departures {
    /// Whether a member is about to end.
    pub(crate) fn is_departing(&self, member: MemberId, now: Time) -> bool {
        self.asked.get(&member).is_some_and(|asked_at| now - asked_at < ABOUT_TO_END)
    }

    /// Whether a store has left of late and is expected back.
    pub(crate) fn is_expected_back(&self, member: MemberId) -> bool {
        self.left.contains_key(&member)
    }

    /// A member asks to be left out.
    fn record_asked(&mut self, member: MemberId, now: Time) {
        self.asked.insert(member, now);
        self.left.insert(member, now);
    }

    /// A member's process has ended and another one has begun: it is not about to end any more.
    pub(crate) fn record_back(&mut self, member: MemberId) {
        self.asked.remove(&member);
    }

    /// A member leaves, which was last there at this time.
    pub(crate) fn record_left(&mut self, member: MemberId, last_there: Time) {
        self.left.insert(member, last_there);
    }

    /// Forgets those that are not expected back any more.
    pub(crate) fn drop_old(&mut self, now: Time) {
        self.asked.retain(|_, asked_at| now - *asked_at < ABOUT_TO_END);
        self.left.retain(|_, last_there| now - *last_there < EXPECTED_BACK);
    }
}

impl Coordinator {
    /// The process is about to end: asks to be left out of the replica sets that it is a member of, until
    /// [`Coordinator::is_departing`] does not hold any more.
    pub fn depart(&mut self, now: Now) {
        self.now = now;
        let seated = self.shards.keys().copied().filter(|number| self.is_seated(*number));
        let shards: BTreeSet<u16> = seated.collect();
        let undecided = shards.clone();
        self.departure = Departure { shards, undecided, asked: BTreeSet::new(), last_answer: now.steady };
        self.request_departure();
        self.run_deferred_work();
    }

    /// Whether a leader has still to say whether a replica set goes on without this process, and answers. While it is needed it had better
    /// not end: its successor may be the only other one that has everything.
    pub fn is_departing(&self, now: Now) -> bool {
        let Departure { undecided, last_answer, .. } = &self.departure;
        !undecided.is_empty() && now.steady - last_answer < LEADER_TIMEOUT
    }

    /// Whether this disk is a member of a shard's replica set, as far as its replica knows.
    fn is_seated(&self, number: u16) -> bool {
        let own = self.info.disk;
        self.shards
            .get(&number)
            .is_some_and(|shard| shard.replica.replica_sets().flatten().any(|member| Some(member.id) == own))
    }

    /// Asks the leaders, also those that have left it out: they would add it again. Part of the periodic maintenance.
    pub(crate) fn request_departure(&mut self) {
        let Some(member) = self.info.disk else { return };
        let due: Vec<u16> = self.departure.shards.difference(&self.departure.asked).copied().collect();
        for number in due {
            self.departure.asked.insert(number);
            let completion = CallCompletion::Departure { shard: number };
            let request = Request::Depart { member };
            self.call_shard(CallRequest::new(number, &request, completion, REQUEST_TIMEOUT));
        }
    }

    /// A leader has answered, or has not in time.
    pub(crate) fn finish_departure_request(&mut self, number: u16, answer: &Answer) {
        self.departure.asked.remove(&number);
        if matches!(answer.status, LEFT_OUT | STAYS) {
            self.departure.undecided.remove(&number);
        }
        if matches!(answer.status, LEFT_OUT | STAYS | UNDER_WAY) {
            self.departure.last_answer = self.now.steady;
        }
    }

    /// As the leader of a shard: a member asks to be left out. Its shard is handed over first where it leads it itself.
    pub(crate) fn receive_departure(&mut self, number: u16, origin: Origin, member: MemberId) {
        self.departures.record_asked(member, self.now.steady);
        if number == CONTROL {
            self.place_configuration_members();
        } else {
            self.place_store_members(number);
        }
        let status = self.departure_status(number, member);
        self.reply(origin, Answer::with_status(status));
    }

    /// Whether a shard that is led here goes on without a member.
    fn departure_status(&self, number: u16, member: MemberId) -> u16 {
        let Some(shard) = self.shards.get(&number) else { return UNDER_WAY };
        let (replica, members) = (&shard.replica, shard.replica.members());
        if members.iter().all(|other| other.id != member) {
            return if replica.is_replica_set_durable() { LEFT_OUT } else { UNDER_WAY };
        }
        let may_leave = match number {
            CONTROL => {
                let are_candidates_known = self.now.steady - shard.led_since >= CANDIDATES_KNOWN_AFTER;
                !are_candidates_known || self.has_join_candidate(members)
            }
            _ => {
                let now = self.now.steady;
                // Others that are to end as well, as where the whole tier is, do not stay.
                let is_other_ending =
                    |other: &&Member| other.id != member && self.departures.is_departing(other.id, now);
                let ending = members.iter().filter(is_other_ending).count();
                members.len() - ending > self.info.min_members()
            }
        };
        if may_leave { UNDER_WAY } else { STAYS }
    }

    /// Whether a live gateway could join these members of the configuration's shard.
    fn has_join_candidate(&self, members: &[Member]) -> bool {
        let mut candidates = self.join_candidates.values().map(|candidate| &candidate.member);
        candidates.any(|candidate| {
            members.iter().all(|member| member.id != candidate.id && member.address != candidate.address)
                && self.peers.live.contains_key(&candidate.address)
        })
    }
}
