//! How the items and outputs of a batch job are grouped into the records of a snapshot.
//!
//! A snapshot is taken between two commands, so its cost must not grow with the items. Therefore each batch job groups its items and
//! outputs as they arrive: a [`Group`] becomes one record, and records are laid out by their lengths alone.

use std::ops::Range;

use crate::wire::COUNT_LEN;

/// Bytes of a snapshot's chunk at most, unless it holds a single item or output that is longer.
pub const CHUNK_BYTES: usize = 64 << 10;

/// Bytes of a chunk besides its records: its number, and their count.
pub(crate) const CHUNK_HEADER_LEN: usize = 2 * COUNT_LEN;
/// Bytes of a record's tag.
pub(crate) const TAG_LEN: usize = 1;

/// Bytes of a record of items or outputs besides these: tag, id of the batch job, and their count.
pub(crate) fn group_header_len(id_len: usize) -> usize {
    TAG_LEN + COUNT_LEN + id_len + COUNT_LEN
}

/// Bytes that a group of several items or outputs may have, so that its record fits into a chunk.
pub(crate) fn max_group_bytes(id_len: usize) -> usize {
    CHUNK_BYTES.saturating_sub(CHUNK_HEADER_LEN + group_header_len(id_len))
}

/// Items or outputs that follow each other and go into the same record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Group {
    /// Index behind the last member.
    end: usize,
    /// Bytes of all members' encodings.
    encoded_len: usize,
}

/// The groups of a batch job's items, or of its outputs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Groups(Vec<Group>);

impl Groups {
    /// Adds the next member: to the last group where it fits, else as the first of a new one.
    pub(crate) fn push(&mut self, encoded_len: usize, max_bytes: usize) {
        let end = self.end() + 1;
        match self.0.last_mut() {
            Some(group) if group.encoded_len + encoded_len <= max_bytes => {
                group.end = end;
                group.encoded_len += encoded_len;
            }
            _ => self.0.push(Group { end, encoded_len }),
        }
    }

    /// Adds a group of the next members.
    pub(crate) fn push_group(&mut self, members: usize, encoded_len: usize) {
        self.0.push(Group { end: self.end() + members, encoded_len });
    }

    /// A member's encoding has become shorter.
    pub(crate) fn shrink(&mut self, member: usize, bytes: usize) {
        let index = self.0.partition_point(|group| group.end <= member);
        if let Some(group) = self.0.get_mut(index) {
            group.encoded_len -= bytes;
        }
    }

    /// How many groups there are.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Indices of a group's members.
    pub(crate) fn members(&self, group: usize) -> Range<usize> {
        let start = group.checked_sub(1).map_or(0, |previous| self.0[previous].end);
        start..self.0[group].end
    }

    /// Bytes of all encodings of a group's members.
    pub(crate) fn encoded_len(&self, group: usize) -> usize {
        self.0[group].encoded_len
    }

    fn end(&self) -> usize {
        self.0.last().map_or(0, |group| group.end)
    }
}
