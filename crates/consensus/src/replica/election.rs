//! Time and elections (Raft 3.4): pre-votes (9.6), votes, and a leader that steps down without contact to a quorum (6.2).

use std::collections::BTreeSet;

use bytes::Bytes;
use rand::Rng;

use super::{Replica, Role};
use crate::entry::EntryKind;
use crate::message::{Body, VoteKind, VoteRequest, VoteResponse};
use crate::progress::{InFlight, Progress, ProgressState};
use crate::{Member, MemberId, ProposeError, Term, Time};

impl Replica {
    /// Each call begins with this: a leader without contact to a quorum steps down before it does anything else.
    pub(super) fn advance_clock(&mut self, now: Time) {
        let now = now.max(self.now);
        let has_stood_still = now - self.now > self.settings.election_timeout;
        self.now = now;
        self.abandon_late_transfer();
        if self.role == Role::Leader {
            if now >= self.quorum_deadline {
                let quorum_contact = self.reached_by_quorums(|progress| progress.last_contact, now);
                self.quorum_deadline = quorum_contact + self.settings.election_timeout;
                if now >= self.quorum_deadline {
                    self.step_down();
                }
            }
        } else if has_stood_still {
            // Messages that wait are received first.
            self.restart_election_timer();
        }
    }

    /// A time from now, drawn between `min` and twice that.
    pub(super) fn random_deadline(&mut self, min: Time) -> Time {
        let min = min.max(1);
        self.now + self.rng.random_range(min..2 * min)
    }

    fn restart_election_timer(&mut self) {
        self.election_deadline = self.random_deadline(self.settings.election_timeout);
    }

    /// Asks for pre-votes.
    pub(super) fn campaign(&mut self) {
        self.restart_election_timer();
        self.leader = None;
        if !self.is_member() {
            return;
        }
        self.role = Role::PreCandidate;
        // Pre-votes disturb nobody, so it asks again soon.
        self.election_deadline = self.random_deadline(self.settings.election_timeout / 4);
        self.votes = BTreeSet::from([self.local_member.id]);
        for member in self.other_members() {
            let request = self.vote_request(VoteKind::PreVote);
            self.send(&member, &request);
        }
        self.count_votes();
    }

    fn vote_request(&self, kind: VoteKind) -> Body {
        let for_term = self.term + u64::from(kind == VoteKind::PreVote);
        Body::RequestVote(VoteRequest { kind, for_term, last: self.log.last() })
    }

    /// Campaigns in the next term. Its own vote counts once it is on the disk.
    pub(super) fn start_election(&mut self, kind: VoteKind) {
        self.set_term(self.term + 1, Some(self.local_member.id));
        self.role = Role::Candidate;
        self.votes.clear();
        for member in self.other_members() {
            self.send_after_hard_state(&member, &self.vote_request(kind));
        }
    }

    /// Begins the next phase of the campaign, or leads, where the votes are enough.
    pub(super) fn count_votes(&mut self) {
        let is_elected = self.is_member() && self.is_elected_by_quorums();
        match self.role {
            Role::PreCandidate if is_elected => self.start_election(VoteKind::Vote),
            Role::Candidate if is_elected => self.become_leader(),
            _ => {}
        }
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.local_member.clone());
        self.first_index_of_term = self.log.last_index() + 1;
        let progress = |member: Member| {
            let state = ProgressState::Replicate { in_flight: InFlight::default() };
            (member.id, Progress::new(member, self.first_index_of_term, state, self.now))
        };
        self.progress = self.other_members().into_iter().map(progress).collect();
        self.heartbeat_deadline = self.now + self.settings.heartbeat_interval.max(1);
        self.quorum_deadline = self.now + self.settings.election_timeout;
        self.is_broadcast_pending = true;
        self.append(EntryKind::Noop, Bytes::new());
    }

    /// Becomes a follower that knows of no leader.
    pub(super) fn step_down(&mut self) {
        if self.role == Role::Leader {
            self.last_leader_contact = None;
        }
        self.role = Role::Follower;
        self.leader = None;
        self.progress.clear();
        self.transfer = None;
        self.votes.clear();
        self.is_broadcast_pending = false;
        self.fail_reads(&self.not_leader());
        self.restart_election_timer();
    }

    /// Takes a newer term, or votes in this one.
    pub(super) fn set_term(&mut self, term: Term, voted_for: Option<MemberId>) {
        if term > self.term {
            self.step_down();
            self.last_leader_contact = None;
            self.abandon_incoming_snapshot();
        }
        self.persist_hard_state(term, voted_for);
    }

    /// A leader of this term is alive.
    pub(super) fn follow(&mut self, leader: &Member) {
        self.role = Role::Follower;
        self.last_leader_contact = Some(self.now);
        if self.leader.as_ref() != Some(leader) {
            self.leader = Some(leader.clone());
        }
        self.restart_election_timer();
    }

    /// The error of who does not lead: who does, unless that is unknown.
    pub(super) fn not_leader(&self) -> ProposeError {
        ProposeError::NotLeader(self.leader.clone().filter(|leader| leader.id != self.local_member.id))
    }

    /// Leads, or had contact to a leader within an election timeout: it then grants no vote (Raft 4.2.3).
    fn has_active_leader(&self) -> bool {
        let is_recent = |contact: Time| self.now - contact < self.settings.election_timeout;
        self.role == Role::Leader || self.last_leader_contact.is_some_and(is_recent)
    }

    /// Answers a candidate of this term.
    pub(super) fn handle_vote_request(&mut self, candidate: &Member, term: Term, request: &VoteRequest) {
        let VoteRequest { kind, for_term, last } = *request;
        let is_pre_vote = kind == VoteKind::PreVote;
        let has_active_leader = kind != VoteKind::LeadershipTransfer && self.has_active_leader();
        if !has_active_leader && term > self.term {
            self.set_term(term, None);
        }
        let is_up_to_date = last >= self.log.last().max(self.vote_floor);
        let is_free = if is_pre_vote {
            for_term > self.term
        } else {
            for_term == self.term && self.voted_for.is_none_or(|voted_for| voted_for == candidate.id)
        };
        let is_granted = !has_active_leader && is_up_to_date && is_free;
        if is_granted && !is_pre_vote {
            if self.voted_for.is_none() {
                self.set_term(for_term, Some(candidate.id));
            }
            self.role = Role::Follower;
            self.restart_election_timer();
        }
        let is_committed = self.is_replica_set_committed();
        let committed = is_committed.then(|| self.log.position(self.replica_set_index())).flatten();
        let response = VoteResponse {
            is_pre_vote,
            for_term,
            is_granted,
            committed_replica_set: committed.unwrap_or_default(),
        };
        self.send_after_hard_state(candidate, &Body::Vote(response));
    }

    /// Takes a vote, where it is one of the campaign that runs.
    pub(super) fn handle_vote(&mut self, voter: &Member, vote: &VoteResponse) {
        self.learn_membership_committed(vote.committed_replica_set);
        let is_expected = match self.role {
            Role::PreCandidate => vote.is_pre_vote && vote.for_term == self.term + 1,
            Role::Candidate => !vote.is_pre_vote && vote.for_term == self.term,
            Role::Follower | Role::Leader => false,
        };
        if !is_expected {
            return;
        }
        if vote.is_granted {
            self.votes.insert(voter.id);
        }
        self.count_votes();
    }
}
