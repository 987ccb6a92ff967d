//! Time and elections: pre-votes, votes, and a leader that steps down when it hears no quorum.

use std::collections::{BTreeSet, VecDeque};

use rand::Rng;

use super::{Flow, Progress, Replica, Role};
use crate::log::EntryKind;
use crate::quorum::Quorums;
use crate::wire::{self, Body};
use crate::{Index, Member, MemberId, ProposeError, Term, Time};
use bytes::Bytes;

impl Replica {
    pub(super) fn wake(&mut self, now: Time) {
        let now = now.max(self.now);
        let jumped = now - self.now > self.settings.election_timeout;
        self.now = now;
        if self.role == Role::Leader {
            if now >= self.quorum_due {
                let heard = self.reached_by_quorums(|progress| progress.heard, now);
                self.quorum_due = heard + self.settings.election_timeout;
                if now >= self.quorum_due {
                    self.step_down();
                }
            }
        } else if jumped {
            // It stood still: messages that wait are heard first.
            self.restart_timer();
        }
    }

    pub(super) fn draw(&mut self, least: Time) -> Time {
        let least = least.max(1);
        self.now + self.rng.random_range(least..2 * least)
    }
    pub(super) fn restart_timer(&mut self) {
        self.deadline = self.draw(self.settings.election_timeout);
    }

    pub(super) fn stand(&mut self) {
        self.restart_timer();
        self.leader = None;
        if !self.has_seat() {
            return;
        }
        self.role = Role::PreCandidate;
        // To ask disturbs nobody, so it asks again soon.
        self.deadline = self.draw(self.settings.election_timeout / 4);
        self.votes = BTreeSet::from([self.me.id]);
        for member in self.others() {
            let body = self.vote_request(true);
            self.send(&member, body, &[]);
        }
        self.count_votes();
    }
    pub(super) fn vote_request(&self, pre: bool) -> Body {
        Body::RequestVote {
            pre: u8::from(pre),
            for_term: self.term + u64::from(pre),
            last_index: self.log.last(),
            last_term: self.log.last_term(),
        }
    }
    pub(super) fn count_votes(&mut self) {
        let elected = self.has_seat()
            && self
                .groups()
                .all(|group| Quorums::new(group, &self.fenced).is_met(|id| self.votes.contains(&id)));
        match self.role {
            Role::PreCandidate if elected => {
                let me = self.me.id;
                self.set_term(self.term + 1, Some(me));
                self.role = Role::Candidate;
                self.votes.clear();
                for member in self.others() {
                    self.hold(self.hard_ticket, &member, self.vote_request(false));
                }
            }
            Role::Candidate if elected => self.lead(),
            _ => {}
        }
    }
    pub(super) fn lead(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.me.clone());
        self.first = self.log.last() + 1;
        let new = |member: Member| {
            let flow = Flow::Replicate { in_flight: VecDeque::new() };
            (member.id, Progress::new(member, self.first, flow, self.now))
        };
        self.progress = self.others().into_iter().map(new).collect();
        self.heartbeat_due = self.now + self.settings.heartbeat_interval.max(1);
        self.quorum_due = self.now + self.settings.election_timeout;
        self.broadcast_pending = true;
        self.append(EntryKind::Noop, Bytes::new());
    }
    pub(super) fn step_down(&mut self) {
        if self.role == Role::Leader {
            self.leader_heard = None;
        }
        self.role = Role::Follower;
        self.leader = None;
        self.progress.clear();
        self.votes.clear();
        self.broadcast_pending = false;
        self.round_wanted = false;
        let refused = self.not_leader();
        self.output.reads.extend(self.reads.drain(..).map(|read| (read.ticket, Err(refused.clone()))));
        self.restart_timer();
    }
    /// Takes a newer term, or votes in this one.
    pub(super) fn set_term(&mut self, term: Term, voted: Option<MemberId>) {
        if term > self.term {
            self.step_down();
            self.leader_heard = None;
            self.abandon_incoming();
        }
        self.term = term;
        self.voted = voted;
        let record = wire::hard_state_record(term, voted);
        self.hard_ticket = self.save(record);
    }
    /// A leader of this term is alive.
    pub(super) fn follow(&mut self, leader: &Member) {
        self.role = Role::Follower;
        self.leader_heard = Some(self.now);
        if self.leader.as_ref() != Some(leader) {
            self.leader = Some(leader.clone());
        }
        self.restart_timer();
    }
    pub(super) fn not_leader(&self) -> ProposeError {
        ProposeError::NotLeader(self.leader.clone().filter(|leader| leader.id != self.me.id))
    }

    pub(super) fn vote_requested(
        &mut self,
        from: &Member,
        pre: bool,
        term: Term,
        for_term: Term,
        last: (Term, Index),
    ) {
        let has_leader = self.role == Role::Leader
            || self.leader_heard.is_some_and(|heard| self.now - heard < self.settings.election_timeout);
        if !has_leader && term > self.term {
            self.set_term(term, None);
        }
        let complete = last >= (self.log.last_term(), self.log.last()).max(self.vote_floor);
        let granted = !has_leader
            && complete
            && if pre {
                for_term > self.term
            } else {
                for_term == self.term && self.voted.is_none_or(|voted| voted == from.id)
            };
        if granted && !pre {
            if self.voted.is_none() {
                self.set_term(for_term, Some(from.id));
            }
            self.role = Role::Follower;
            self.restart_timer();
        }
        let group = self.log.group().index;
        let settled = if self.is_replica_set_committed() { self.log.term(group) } else { None };
        let body = Body::Vote {
            pre: u8::from(pre),
            for_term,
            granted: u8::from(granted),
            settled_index: settled.map_or(0, |_| group),
            settled_term: settled.unwrap_or_default(),
        };
        self.hold(self.hard_ticket, from, body);
    }
}
