//! A process with its replica, its disk and its state machine.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use rainlug_consensus::{Index, Member, ProposeError, Ready, Records, Replica, RestoreStep, Rewrite, Time};

use super::{MILLIS, decode};
use crate::common::Fault;

/// The id of term and vote among records.
const HARD_STATE: u8 = 1;

/// What the disk was asked to write.
enum Write {
    Append { ticket: u64, record: Bytes },
    Rewrite(Rewrite),
}

/// Writes that were asked for together.
#[derive(Clone, Copy, Default)]
pub struct WriteBatch {
    pub count: usize,
    pub newest_ticket: u64,
}

pub struct Node {
    pub local_member: Member,
    pub founding: Vec<Member>,
    /// None while the process is down.
    pub replica: Option<Replica>,
    pub disk: Vec<Bytes>,
    unsynced: VecDeque<Write>,
    /// Tells events of an earlier start apart.
    pub incarnation: u64,
    pub frozen_until: Time,
    /// The state machine: the index and id of each command so far.
    pub applied: Vec<(Index, u64)>,
    /// A state that is begun beside it.
    pub unfinished_state: Option<Vec<u8>>,
    /// Its state is still being restored from its own disk.
    pub is_recovering: bool,
    pub has_lost_disk: bool,
    /// How long its disk takes, at most and where it is not delayed.
    pub disk_delay: Time,
    pub reads: BTreeMap<u64, Result<(), ProposeError>>,
    pub is_compaction_requested: bool,
    /// Writes that this incarnation has asked for.
    pub requested_writes: usize,
    /// Snapshots that this incarnation has restored, beside the one it began with.
    pub restores: usize,
    /// The disk before its newest rewrite.
    disk_before_rewrite: Vec<Bytes>,
}

impl Node {
    pub fn new(local_member: Member, founding: Vec<Member>) -> Self {
        Self {
            local_member,
            founding,
            replica: None,
            disk: vec![],
            unsynced: VecDeque::new(),
            incarnation: 0,
            frozen_until: 0,
            applied: vec![],
            unfinished_state: None,
            is_recovering: false,
            has_lost_disk: false,
            disk_delay: MILLIS,
            reads: BTreeMap::new(),
            is_compaction_requested: false,
            requested_writes: 0,
            restores: 0,
            disk_before_rewrite: vec![],
        }
    }

    /// Writes that were asked for and are not synced.
    pub fn unsynced_writes(&self) -> usize {
        self.unsynced.len()
    }

    /// All that a start finds is what the disk holds.
    pub fn prepare_start(&mut self, fault: Fault) {
        self.frozen_until = 0;
        self.applied.clear();
        self.unfinished_state = None;
        self.requested_writes = 0;
        self.restores = 0;
        match fault {
            Fault::NoHardState => self.disk.retain(|record| record[0] != HARD_STATE),
            Fault::StaleDisk if !self.disk_before_rewrite.is_empty() => {
                self.disk = self.disk_before_rewrite.clone();
            }
            _ => {}
        }
    }

    /// The process ends, and of what was not synced just so many writes are on the disk.
    pub fn crash(&mut self, kept_writes: usize, fault: Fault) {
        self.replica = None;
        self.incarnation += 1;
        for write in std::mem::take(&mut self.unsynced).into_iter().take(kept_writes) {
            match write {
                Write::Rewrite(rewrite) if fault == Fault::TornRewrite => {
                    self.disk = first_records(&rewrite.records, rewrite.records.snapshot_count());
                    break;
                }
                Write::Rewrite(rewrite) if fault == Fault::TornSnapshot => {
                    self.disk = first_records(&rewrite.records, rewrite.records.snapshot_count() - 1);
                    break;
                }
                write => {
                    self.sync_write(write);
                }
            }
        }
        self.is_compaction_requested = false;
    }

    /// What was not synced is lost.
    pub fn drop_unsynced(&mut self) {
        self.unsynced.clear();
    }

    /// Asks the disk for what the replica wants written.
    pub fn request_writes(&mut self, rewrite: Option<Rewrite>, records: Vec<(u64, Bytes)>) -> WriteBatch {
        let mut batch = WriteBatch::default();
        if let Some(rewrite) = rewrite {
            batch = WriteBatch { count: 1, newest_ticket: rewrite.ticket };
            self.unsynced.push_back(Write::Rewrite(rewrite));
        }
        for (ticket, record) in records {
            assert!(ticket > batch.newest_ticket, "tickets rise");
            batch = WriteBatch { count: batch.count + 1, newest_ticket: ticket };
            self.unsynced.push_back(Write::Append { ticket, record });
        }
        self.requested_writes += batch.count;
        batch
    }

    /// So many writes are on the disk; the newest ticket.
    pub fn sync(&mut self, writes: usize) -> u64 {
        let writes: Vec<Write> = self.unsynced.drain(..writes).collect();
        writes.into_iter().fold(0, |_, write| self.sync_write(write))
    }

    /// A write is on the disk; its ticket.
    fn sync_write(&mut self, write: Write) -> u64 {
        match write {
            Write::Append { ticket, record } => {
                self.disk.push(record);
                ticket
            }
            Write::Rewrite(Rewrite { ticket, records, .. }) => {
                assert_eq!(records.size(), records.iter().map(|record| record.len() as u64).sum::<u64>());
                self.disk_before_rewrite = std::mem::replace(&mut self.disk, records.iter().collect());
                ticket
            }
        }
    }

    /// Takes a step of restoring another state; what is wrong with it and with the state that it ends.
    pub fn restore(&mut self, step: RestoreStep, history: &[(Index, u64)]) -> Vec<String> {
        match (step, &mut self.unfinished_state) {
            (RestoreStep::Begin, state) => *state = Some(vec![]),
            (RestoreStep::Abandon, state) => *state = None,
            (RestoreStep::Chunk(chunk), Some(state)) => state.extend_from_slice(&chunk),
            (RestoreStep::Chunk(_), None) => return vec!["gets a chunk of nothing".to_owned()],
            (RestoreStep::Finish(index), state) => {
                return match state.take() {
                    Some(state) => self.replace_state(&state, index, history),
                    None => vec!["is to finish nothing".to_owned()],
                };
            }
        }
        vec![]
    }

    fn replace_state(&mut self, state: &[u8], index: Index, history: &[(Index, u64)]) -> Vec<String> {
        self.restores += usize::from(!std::mem::take(&mut self.is_recovering));
        let before = std::mem::replace(&mut self.applied, decode(state));
        let goes_back = self.applied.len() < before.len();
        let has_too_much = self.applied.last().is_some_and(|(last, _)| *last > index);
        let is_uncommitted = !history.starts_with(&self.applied);
        let checks = [
            (goes_back, format!("goes back to {index}")),
            (has_too_much, format!("restores more than up to {index}")),
            (is_uncommitted, format!("restores what was not committed, up to {index}")),
        ];
        checks.into_iter().filter(|(is_violated, _)| *is_violated).map(|(_, violation)| violation).collect()
    }
}

fn first_records(records: &Records, count: usize) -> Vec<Bytes> {
    records.iter().take(count).collect()
}
