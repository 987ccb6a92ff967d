//! Requests that wait at a shard's leader: for a proposal to be committed, for leadership to be confirmed, or for an output.

use std::collections::BTreeMap;

use bytes::Bytes;
use rainlug::Time;
use rainlug_consensus::Index;

use crate::Origin;

/// What is to be done once a read index round has confirmed that this process still leads.
pub(crate) enum ReadQuery {
    /// Read the configuration.
    Configuration,
    /// Judge the order to retire this store.
    Retire(String),
    /// Read whether this store may be taken away.
    RetirementStatus(String),
    /// Read the outputs of a job from position `since`; if there is none yet, wait for one until then (steady clock).
    BatchJob { job: String, since: u64, until: Time },
    /// Read the body of an item's request.
    Body { job: String, item: String },
    /// Read a key.
    Key(String),
    /// Read the puts to a group of keys after revision `since`; if there are none, wait for one until then (steady clock).
    Watch { group: String, since: u64, until: Time },
}

/// A read that waits for its round.
pub(crate) struct PendingRead {
    pub origin: Origin,
    pub query: ReadQuery,
}

/// A read that waits for an output (long poll).
pub(crate) struct Poll {
    pub origin: Origin,
    pub job: String,
    /// The position of the first output that it has not read.
    pub since: u64,
    /// When it is answered without one (steady clock).
    pub until: Time,
}

/// A proposal that waits to be committed.
struct Proposal {
    command: Bytes,
    origin: Origin,
}

/// What became of a proposal that somebody waits for.
pub(crate) enum ProposalFate {
    /// It is committed.
    Committed(Origin),
    /// Another leader's command is committed in its place.
    Replaced(Origin),
}

/// Whoever waited at a leader that was replaced.
pub(crate) struct StrandedRequests {
    /// What they asked for may still be committed.
    pub proposed: Vec<Origin>,
    /// Nothing was proposed of what they asked for.
    pub unproposed: Vec<Origin>,
}

/// The requests that wait at one shard.
#[derive(Default)]
pub(crate) struct WaitingRequests {
    /// By the index of the entry in the log.
    proposals: BTreeMap<Index, Proposal>,
    /// By the ticket that the read index round was asked for with.
    reads: BTreeMap<u64, PendingRead>,
    polls: Vec<Poll>,
    last_ticket: u64,
}

impl WaitingRequests {
    /// A command was proposed at this index; who had waited for another one there, if anybody, does so in vain.
    pub fn add_proposal(&mut self, index: Index, command: Bytes, origin: Origin) -> Option<Origin> {
        self.proposals.insert(index, Proposal { command, origin }).map(|replaced| replaced.origin)
    }

    /// A command is committed at this index; what that means for who waits there, if anybody.
    pub fn take_proposal(&mut self, index: Index, command: &Bytes) -> Option<ProposalFate> {
        let Proposal { command: own, origin } = self.proposals.remove(&index)?;
        Some(if own == command { ProposalFate::Committed(origin) } else { ProposalFate::Replaced(origin) })
    }

    /// A read waits for its round, which is to be asked for with the ticket.
    pub fn add_read(&mut self, origin: Origin, query: ReadQuery) -> u64 {
        self.last_ticket += 1;
        self.reads.insert(self.last_ticket, PendingRead { origin, query });
        self.last_ticket
    }

    /// How many reads wait for a round.
    pub fn read_count(&self) -> usize {
        self.reads.len()
    }

    /// The round with this ticket has ended.
    pub fn take_read(&mut self, ticket: u64) -> Option<PendingRead> {
        self.reads.remove(&ticket)
    }

    /// How many reads of batch jobs wait for a round.
    pub fn job_read_count(&self) -> usize {
        self.reads.values().filter(|read| matches!(read.query, ReadQuery::BatchJob { .. })).count()
    }

    /// A read waits for an output.
    pub fn add_poll(&mut self, poll: Poll) {
        self.polls.push(poll);
    }

    /// The polls for which this holds wait no longer.
    pub fn take_polls(&mut self, is_taken: impl FnMut(&Poll) -> bool) -> Vec<Poll> {
        let (taken, rest) = std::mem::take(&mut self.polls).into_iter().partition(is_taken);
        self.polls = rest;
        taken
    }

    /// When the first poll is to be answered without an output.
    pub fn next_poll_timeout(&self) -> Time {
        self.polls.iter().map(|poll| poll.until).min().unwrap_or(Time::MAX)
    }

    /// All that waits, at a leader that was replaced.
    pub fn take_stranded(&mut self) -> StrandedRequests {
        let proposals = std::mem::take(&mut self.proposals).into_values();
        let reads = std::mem::take(&mut self.reads).into_values().map(|read| read.origin);
        let polls = std::mem::take(&mut self.polls).into_iter().map(|poll| poll.origin);
        StrandedRequests {
            proposed: proposals.map(|proposal| proposal.origin).collect(),
            unproposed: reads.chain(polls).collect(),
        }
    }
}
