//! What the runs of an item have given so far. The events are those from the first on, without a hole: what is not the next one is not taken.

use bytes::Bytes;

use crate::{ItemOutcome, RunOutcome, StoredText};

/// Bytes of an item's output above which the item is abandoned. A command must pass between processes as one message of 16 MiB at most: one
/// that does not would hold up all that follows it in its shard's log.
pub const MAX_OUTPUT_BYTES: usize = 8 << 20;
/// What runs of an item gave so far.
#[derive(Default)]
pub(crate) struct ItemProgress {
    /// Data of the events, from the first on without a hole.
    events: Vec<Bytes>,
    /// Id of the last event (0: none).
    pub(crate) last_event: u64,
    failed_attempts: u32,
    /// A command that finishes the item was given; it does not run again.
    pub(crate) is_proposed: bool,
}

impl ItemProgress {
    /// Takes events (id, data) as long as each is the next one; those that were had before are passed over.
    ///
    /// # Errors
    /// The id of the first event that is not the next one; it and what follows is not taken.
    pub(crate) fn add_events(&mut self, events: Vec<(u64, Bytes)>) -> Result<(), u64> {
        for (id, data) in events {
            if id <= self.last_event {
                continue;
            }
            if id != self.last_event + 1 {
                return Err(id);
            }
            self.last_event = id;
            self.events.push(data);
        }
        Ok(())
    }

    /// Bytes of the output so far, with what joins the events.
    pub(crate) fn output_bytes(&self) -> usize {
        self.events.iter().map(|data| data.len() + 1).sum()
    }

    /// How the item finishes now that a run ended; nothing where it is to run again.
    pub(crate) fn outcome_after(&mut self, run: &RunOutcome, max_attempts: u32) -> Option<ItemOutcome> {
        if self.output_bytes() > MAX_OUTPUT_BYTES {
            return Some(ItemOutcome::Abandoned);
        }
        match run {
            RunOutcome::Complete => Some(ItemOutcome::Complete),
            RunOutcome::Unprocessable => Some(ItemOutcome::Abandoned),
            RunOutcome::Failed => {
                self.failed_attempts = self.failed_attempts.saturating_add(1);
                (self.failed_attempts >= max_attempts).then_some(ItemOutcome::Abandoned)
            }
            RunOutcome::Interrupted | RunOutcome::NoCapacity => None,
        }
    }

    /// The item's text as it finishes.
    pub(crate) fn take_text(&mut self, outcome: ItemOutcome) -> StoredText {
        match outcome {
            ItemOutcome::Complete => StoredText::new(&std::mem::take(&mut self.events).join(&b'\n')),
            ItemOutcome::Abandoned => {
                self.events.clear();
                StoredText::default()
            }
        }
    }
}
