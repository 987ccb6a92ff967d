//! The thread of a [`Writer`](super::Writer): merges appends, and retries what the disk refuses.

use std::collections::VecDeque;
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use super::{Command, Operation, Synced, WriterEvent};
use crate::{CompactionOutcome, DiskSpace, Error, FileSystem, Wal};

/// The delay before a first retry; it doubles with each one up to the maximum.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(320);
/// Bytes of waiting appends that are written as one, at most: each of them waits for the last byte, and they need space at once.
const MAX_MERGED_BYTES: u64 = 1 << 20;

/// A log, or how to open it.
pub(super) enum Log<F: FileSystem> {
    Open(Wal<F>),
    Unopened(Box<dyn Fn() -> Result<Wal<F>, Error>>),
}

impl<F: FileSystem> Log<F> {
    /// The log, opened now if it is not yet.
    fn wal(&mut self) -> Result<&mut Wal<F>, Error> {
        let wal = match self {
            Log::Open(wal) => return Ok(wal),
            Log::Unopened(open) => open()?,
        };
        *self = Log::Open(wal);
        self.wal()
    }
}

pub(super) struct WriterThread<F: FileSystem, E: Fn(WriterEvent)> {
    log: Log<F>,
    disk_space: Arc<DiskSpace>,
    commands: mpsc::Receiver<Command>,
    pending: VecDeque<Operation>,
    /// The delay after the next failure; none while the disk takes all.
    retry_delay: Option<Duration>,
    /// Bytes of appends that are attempted as one now: nothing (a single append) after a failure, then twice what was written
    /// last, up to [`MAX_MERGED_BYTES`].
    merge_limit: u64,
    is_removed: bool,
    on_event: E,
}

impl<F: FileSystem, E: Fn(WriterEvent)> WriterThread<F, E> {
    pub(super) fn new(
        log: Log<F>,
        disk_space: Arc<DiskSpace>,
        commands: mpsc::Receiver<Command>,
        on_event: E,
    ) -> Self {
        WriterThread {
            log,
            disk_space,
            commands,
            pending: VecDeque::new(),
            retry_delay: None,
            merge_limit: MAX_MERGED_BYTES,
            is_removed: false,
            on_event,
        }
    }

    /// Runs until the handle is dropped and its queue is written or given up.
    pub(super) fn run(mut self) {
        while let Ok(command) = self.commands.recv() {
            self.enqueue(command);
            if !self.write_pending() {
                break;
            }
        }
        if self.is_removed
            && let Log::Open(wal) = self.log
        {
            // If that fails, the file is removed when the disk is next opened.
            let _ = wal.remove();
        }
    }

    /// Writes all that is pending; false where the log is removed, or the disk refuses and the handle is gone.
    fn write_pending(&mut self) -> bool {
        loop {
            let is_orphaned = self.drain_commands();
            if self.is_removed {
                return false;
            }
            match self.attempt() {
                Ok(None) => return true,
                Ok(Some(synced)) => self.handle_success(synced),
                Err(_) if is_orphaned => return false,
                Err(error) => self.handle_failure(error),
            }
        }
    }

    /// Enqueues what has been sent meanwhile; whether the handle is gone and nothing more can come.
    fn drain_commands(&mut self) -> bool {
        loop {
            match self.commands.try_recv() {
                Ok(command) => self.enqueue(command),
                Err(error) => return error == mpsc::TryRecvError::Disconnected,
            }
        }
    }

    fn enqueue(&mut self, command: Command) {
        match command {
            Command::Remove => self.is_removed = true,
            Command::Write(operation) => self.pending.push_back(operation),
        }
    }

    /// Attempts the first pending operation, if there is one. Where the disk has refused before, the last pending compaction comes
    /// first: it stands for all before it, and may free space.
    fn attempt(&mut self) -> Result<Option<Synced>, Error> {
        let started = Instant::now();
        let wal = self.log.wal()?;
        let last_compaction = self.pending.iter().rposition(|next| matches!(next, Operation::Compact { .. }));
        if self.retry_delay.is_some()
            && let Some(position) = last_compaction
            && let Some(Operation::Compact { ticket, records, .. }) = self.pending.get(position)
            && wal.rewrite(&**records).is_ok()
        {
            let synced = Synced::new(*ticket, wal, started, Some(CompactionOutcome::Rewritten));
            self.pending.drain(..=position);
            return Ok(Some(synced));
        }
        match self.pending.front() {
            Some(Operation::Append { .. }) => self.append_first().map(Some),
            Some(Operation::Compact { ticket, records, implied }) => {
                let outcome = wal.compact(&**records, *implied)?;
                let synced = Synced::new(*ticket, wal, started, Some(outcome));
                self.pending.pop_front();
                Ok(Some(synced))
            }
            None => Ok(None),
        }
    }

    /// Writes the appends at the front as one; where that fails, the first one alone, as a disk that is almost full may take it.
    fn append_first(&mut self) -> Result<Synced, Error> {
        let count = self.mergeable();
        match self.append_merged(count) {
            Err(_) if count > 1 => self.append_merged(1),
            result => result,
        }
    }

    /// How many appends at the front are attempted as one: at least one, if there is one.
    fn mergeable(&self) -> usize {
        let mut total = 0_u64;
        let mut count = 0;
        for operation in &self.pending {
            let Operation::Append { bytes, .. } = operation else { break };
            total = total.saturating_add(*bytes);
            if count > 0 && total > self.merge_limit {
                break;
            }
            count += 1;
        }
        count
    }

    /// Writes the first `count` pending operations, which are appends, as one.
    fn append_merged(&mut self, count: usize) -> Result<Synced, Error> {
        let started = Instant::now();
        let (mut merged, mut merged_bytes, mut last_ticket) = (Vec::new(), 0_u64, 0);
        for operation in self.pending.iter().take(count) {
            if let Operation::Append { ticket, records, bytes } = operation {
                merged.extend_from_slice(records);
                merged_bytes = merged_bytes.saturating_add(*bytes);
                last_ticket = *ticket;
            }
        }
        let wal = self.log.wal()?;
        if let Err(error) = wal.append(&merged) {
            self.merge_limit = 0;
            return Err(error);
        }
        let synced = Synced::new(last_ticket, wal, started, None);
        self.merge_limit = self.merge_limit.max(merged_bytes.saturating_mul(2)).min(MAX_MERGED_BYTES);
        self.pending.drain(..count);
        Ok(synced)
    }

    fn handle_success(&mut self, synced: Synced) {
        if self.retry_delay.take().is_some() {
            (self.on_event)(WriterEvent::Recovered);
        }
        (self.on_event)(WriterEvent::Synced(synced));
    }

    /// Reports a first failure, and waits for the next attempt: for the delay, or until space is released.
    fn handle_failure(&mut self, error: Error) {
        let delay = self.retry_delay.unwrap_or(MIN_RETRY_DELAY);
        if self.retry_delay.is_none() {
            (self.on_event)(WriterEvent::Failing(error));
        }
        self.retry_delay = Some((delay * 2).min(MAX_RETRY_DELAY));
        self.disk_space.wait_for_release(delay);
    }
}

impl Synced {
    fn new<F: FileSystem>(
        ticket: u64,
        wal: &Wal<F>,
        started: Instant,
        compaction: Option<CompactionOutcome>,
    ) -> Self {
        Synced { ticket, length: wal.length(), duration: started.elapsed(), compaction }
    }
}
