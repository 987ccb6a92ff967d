//! A snapshot that a leader sends in pieces.

use std::sync::Arc;

use bytes::Bytes;

use super::{Incoming, Replica};
use crate::log::{Log, Snapshot};
use crate::wire::Body;
use crate::{Index, Member, Term};

impl Replica {
    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(super) fn install_requested(
        &mut self,
        from: &Member,
        round: u64,
        at: (Index, Term),
        total: u64,
        offset: u64,
        group: Vec<Member>,
        chunk: &[u8],
    ) {
        let (index, term) = at;
        if index > self.commit && self.log.term(index) == Some(term) {
            self.commit_to(index);
        }
        if index <= self.commit {
            self.incoming = None;
            let matched = self.stable.min(self.commit);
            self.hold(self.hard_ticket, from, self.appended(round, matched));
            return;
        }
        let same = |incoming: &Incoming| {
            (incoming.leader, incoming.term, incoming.index, incoming.total)
                == (from.id, self.term, index, total)
        };
        let mut incoming = self.incoming.take().filter(same).unwrap_or_else(|| Incoming {
            leader: from.id,
            term: self.term,
            index,
            total,
            bytes: vec![],
        });
        if offset == incoming.bytes.len() as u64 {
            incoming.bytes.extend_from_slice(chunk);
        }
        let wanted = incoming.bytes.len() as u64;
        if wanted < total {
            self.incoming = Some(incoming);
            self.hold(self.hard_ticket, from, Body::SnapshotWanted { round, index, wanted });
            return;
        }
        let state = Bytes::from(incoming.bytes);
        // What was committed and saved here still is, until the disk has the snapshot.
        self.stable = self.stable.min(self.commit);
        self.unsaved.clear();
        self.log = Log::new(index, term, group.clone());
        self.snapshot = Arc::new(Snapshot { index, term, group, state: state.clone() });
        self.has_state = true;
        self.weight = 0;
        self.compact_asked = false;
        self.commit = index;
        self.applied = index;
        self.output.committed.clear();
        self.output.restore = Some((index, state));
        self.rewrite();
        self.hold(self.ticket, from, self.appended(round, index));
    }
}
