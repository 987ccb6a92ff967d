//! The state of a shard of primitives as bytes, and the state that is built from them: records one after the other, without a count that
//! could be forged. Times are not in them: a replica that restores a state counts each hold, and the age of each put in the history,
//! from then on.

use bytes::{Bytes, BytesMut};
use deku::prelude::*;
use quick_error::quick_error;
use rainlug::Time;
use rainlug_codec::{DecodeError, Text, join, split};

use crate::Primitives;
use crate::key_group::{KeyGroup, PastPut, Put, Version};
use crate::lock_table::{Hold, expiry};

quick_error! {
    /// Why a state could not be restored.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RestoreError {
        /// The bytes are not a snapshot of [`Primitives`].
        Malformed(cause: DecodeError) { from() display("malformed snapshot of primitives: {}", cause) }
    }
}

/// A part of the state.
#[derive(DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "little")]
enum Record {
    #[deku(id = "0")]
    Hold { lock: Text, holder: Text, first_fence: u64, fence: u64, last_entry: u64, hold_ms: u32 },
    /// A group, to which the keys and past puts behind it belong up to the next group.
    #[deku(id = "1")]
    Group { name: Text, revision: u64, forgotten_revision: u64 },
    #[deku(id = "2")]
    Key { key: Text, value: Text, revision: u64 },
    #[deku(id = "3")]
    PastPut { key: Text, value: Text, revision: u64 },
    #[deku(id = "4")]
    RememberedPut { hash: u128, revision: u64 },
}

fn hold_record(lock: &str, hold: &Hold) -> Record {
    Record::Hold {
        lock: lock.into(),
        holder: hold.holder.as_str().into(),
        first_fence: hold.first_fence,
        fence: hold.fence,
        last_entry: hold.last_entry,
        hold_ms: hold.hold_ms,
    }
}

/// The records of a group.
fn group_records(name: &str, group: &KeyGroup) -> Vec<Record> {
    let KeyGroup { revision, forgotten_revision, .. } = *group;
    let mut records = vec![Record::Group { name: name.into(), revision, forgotten_revision }];
    records.extend(group.keys.iter().map(|(key, version)| Record::Key {
        key: key.as_str().into(),
        value: version.value.as_str().into(),
        revision: version.revision,
    }));
    records.extend(group.history.iter().map(|past| Record::PastPut {
        key: past.put.key.as_str().into(),
        value: past.put.value.as_str().into(),
        revision: past.put.revision,
    }));
    records
}

/// A state that is being restored.
struct Restore {
    state: Primitives,
    /// The group that is restored, and its name.
    group: Option<(String, KeyGroup)>,
    now: Time,
}

impl Restore {
    fn add(&mut self, record: &Record) -> Result<(), DecodeError> {
        match record {
            Record::Hold { lock, holder, first_fence, fence, last_entry, hold_ms } => {
                let hold = Hold {
                    holder: holder.to_str()?.to_owned(),
                    first_fence: *first_fence,
                    fence: *fence,
                    last_entry: *last_entry,
                    hold_ms: *hold_ms,
                    expires_at: expiry(*hold_ms, self.now),
                };
                self.state.locks.holds.insert(lock.to_str()?.to_owned(), hold);
            }
            Record::Group { name, revision, forgotten_revision } => {
                self.finish_group();
                let (revision, forgotten_revision) = (*revision, *forgotten_revision);
                let group = KeyGroup { revision, forgotten_revision, ..KeyGroup::default() };
                self.group = Some((name.to_str()?.to_owned(), group));
            }
            Record::Key { key, value, revision } => {
                let version = Version { value: value.to_str()?.to_owned(), revision: *revision };
                self.group()?.insert_key(key.to_str()?, version);
            }
            Record::PastPut { key, value, revision } => {
                let (key, value) = (key.to_str()?.to_owned(), value.to_str()?.to_owned());
                let past = PastPut { put: Put { key, value, revision: *revision }, applied_at: self.now };
                self.group()?.push_history(past);
            }
            Record::RememberedPut { hash, revision } => self.state.remembered.add(*hash, *revision),
        }
        Ok(())
    }

    /// The group that the present record belongs to.
    fn group(&mut self) -> Result<&mut KeyGroup, DecodeError> {
        self.group.as_mut().map(|(_, group)| group).ok_or(DecodeError::Malformed)
    }

    fn finish_group(&mut self) {
        if let Some((name, group)) = self.group.take() {
            self.state.groups.insert(name, group);
        }
    }
}

impl Primitives {
    /// The state as bytes, for [`Primitives::restore`].
    pub fn snapshot(&self) -> Bytes {
        let holds = self.locks.holds.iter().map(|(lock, hold)| hold_record(lock, hold));
        let groups = self.groups.iter().flat_map(|(name, group)| group_records(name, group));
        let mut bytes = BytesMut::with_capacity(self.memory_bytes());
        let remembered = self.remembered.iter();
        let puts = remembered.map(|(hash, revision)| Record::RememberedPut { hash, revision });
        for record in holds.chain(groups).chain(puts) {
            bytes.extend_from_slice(&join(&record, &[]));
        }
        bytes.freeze()
    }

    /// The state that a snapshot was taken of, with the times of this replica's steady clock.
    ///
    /// # Errors
    /// Where the bytes are not a snapshot.
    pub fn restore(bytes: &Bytes, now: Time) -> Result<Self, RestoreError> {
        let mut restore = Restore { state: Primitives::default(), group: None, now };
        let mut rest = bytes.clone();
        while !rest.is_empty() {
            let (record, behind): (Record, Bytes) = split(&rest)?;
            restore.add(&record)?;
            rest = behind;
        }
        restore.finish_group();
        Ok(restore.state)
    }
}
