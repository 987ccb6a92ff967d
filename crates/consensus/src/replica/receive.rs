//! Messages of other members.

use bytes::Bytes;

use super::{Replica, Role};
use crate::entry::LogPosition;
use crate::message::{AppendRejected, Body, Message};
use crate::{DecodeError, Index, Member, Term, Time, wire};

impl Replica {
    /// Takes a message of another member's replica of this shard.
    ///
    /// # Errors
    /// Where the bytes cannot be read; nothing has changed then.
    pub fn receive(&mut self, now: Time, bytes: &Bytes) -> Result<(), DecodeError> {
        let Message { to, from, term, body } = wire::decode_message(bytes)?;
        self.advance_clock(now);
        if to != self.local_member.id || from.id == self.local_member.id {
            return Ok(());
        }
        if let Body::RequestVote(request) = body {
            // Whether a newer term is taken depends on there being a leader.
            self.handle_vote_request(&from, term, &request);
            return Ok(());
        }
        if term > self.term {
            self.set_term(term, None);
        }
        self.handle_body(&from, term, body);
        self.advance_commit();
        Ok(())
    }

    fn handle_body(&mut self, from: &Member, term: Term, body: Body) {
        match body {
            Body::RequestVote(request) => self.handle_vote_request(from, term, &request),
            Body::Vote(vote) => self.handle_vote(from, &vote),
            Body::AppendEntries(append) => {
                if self.follows(from, term, append.read_round, append.prev.index) {
                    self.handle_append_entries(from, append);
                }
            }
            Body::InstallSnapshot(chunk) => {
                if self.follows(from, term, chunk.read_round, chunk.position.index) {
                    self.handle_install_snapshot(from, chunk);
                }
            }
            Body::AppendAccepted(accepted) => {
                let matched_index = accepted.matched_index.min(self.log.last_index());
                self.handle_answer(from, term, accepted.read_round, |progress| {
                    progress.handle_accepted(matched_index, accepted.is_replica_set_committed);
                });
            }
            Body::AppendRejected(rejected) => {
                let common_index = self.log.newest_common_index(rejected.hint);
                self.handle_answer(from, term, rejected.read_round, |progress| {
                    progress.handle_rejected(rejected.prev_index, common_index);
                });
            }
            Body::TimeoutNow => self.handle_timeout_now(from, term),
            Body::SnapshotChunkWanted(wanted) => {
                let settings = self.settings;
                self.handle_answer(from, term, wanted.read_round, |progress| {
                    progress.handle_chunk_wanted(wanted.source, wanted.number as usize, &settings);
                });
            }
        }
    }

    /// Whether it follows the sender, who claims to lead this term; one of an earlier term is answered with this one.
    fn follows(&mut self, sender: &Member, term: Term, read_round: u64, prev_index: Index) -> bool {
        if term != self.term {
            let rejected = AppendRejected { read_round, prev_index, hint: LogPosition::default() };
            self.send_after_hard_state(sender, &Body::AppendRejected(rejected));
            return false;
        }
        if self.role == Role::Leader {
            return false;
        }
        self.follow(sender);
        true
    }
}
