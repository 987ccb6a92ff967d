//! A log's writer: a handle whose calls do not wait for the disk, and the events by which it reports what is durable.

mod thread;

use std::sync::{Arc, mpsc};
use std::time::Duration;

use bytes::Bytes;

use crate::record::HEADER_BYTES;
use crate::{CompactionOutcome, DiskSpace, Error, FileSystem, RecordSource, Wal};
use thread::{Log, WriterThread};

/// What a [`Writer`]'s thread reports.
#[derive(Debug)]
pub enum WriterEvent {
    /// More is durable.
    Synced(Synced),
    /// The disk refuses; the thread retries until it does not. Reported once for all retries.
    Failing(Error),
    /// The disk takes what it refused before.
    Recovered,
}

/// All that was queued up to a ticket is synced.
#[derive(Clone, Copy, Debug)]
pub struct Synced {
    /// The ticket of the last call that is covered.
    pub ticket: u64,
    /// Bytes of the file now.
    pub length: u64,
    /// How long writing and syncing took, without earlier attempts.
    pub duration: Duration,
    /// What became of the request to compact, if this was one.
    pub compaction: Option<CompactionOutcome>,
}

enum Command {
    Write(Operation),
    Remove,
}

enum Operation {
    /// `bytes`: of the records in the file, with their headers.
    Append {
        ticket: u64,
        records: Vec<Bytes>,
        bytes: u64,
    },
    Compact {
        ticket: u64,
        records: Box<dyn RecordSource>,
        implied: usize,
    },
}

/// A thread that owns a log. Calls only queue, in order and without a bound; what they ask for is durable once
/// [`WriterEvent::Synced`] reports their ticket or a higher one.
///
/// Appends that wait at the same time are written and synced as one, up to 1 MiB; where they do not fit on the disk together, the
/// first one is attempted alone. What the disk refuses is retried, in order, until it succeeds.
///
/// Once this is dropped, the thread writes what is queued, or gives up where the disk refuses it, and ends.
pub struct Writer {
    commands: mpsc::Sender<Command>,
}

impl Writer {
    /// Starts the thread. It calls `on_event` itself, in the order of the calls, and once for appends that were written as one,
    /// with the last one's ticket.
    pub fn start<F: FileSystem>(wal: Wal<F>, on_event: impl Fn(WriterEvent) + Send + 'static) -> Self {
        let disk_space = wal.disk_space().clone();
        Writer::spawn(move |commands| WriterThread::new(Log::Open(wal), disk_space, commands, on_event).run())
    }

    /// As [`Writer::start`], for a log that is not open yet: the thread opens it, as soon as the disk lets it.
    pub fn open<F: FileSystem>(
        disk_space: Arc<DiskSpace>,
        open: impl Fn() -> Result<Wal<F>, Error> + Send + 'static,
        on_event: impl Fn(WriterEvent) + Send + 'static,
    ) -> Self {
        Writer::spawn(move |commands| {
            WriterThread::new(Log::Unopened(Box::new(open)), disk_space, commands, on_event).run();
        })
    }

    fn spawn(run: impl FnOnce(mpsc::Receiver<Command>) + Send + 'static) -> Self {
        let (commands, queue) = mpsc::channel();
        std::thread::spawn(move || run(queue));
        Writer { commands }
    }

    /// Queues an append as by [`Wal::append`]. Each ticket has to be higher than the one before.
    pub fn append(&self, ticket: u64, records: Vec<Bytes>) {
        let bytes = records.iter().map(|record| (HEADER_BYTES + record.len()) as u64).sum();
        self.send(Command::Write(Operation::Append { ticket, records, bytes }));
    }

    /// Queues a compaction as by [`Wal::compact`], behind all appends queued before. The records have to stand for all of these.
    pub fn compact(&self, ticket: u64, records: impl RecordSource + 'static, implied: usize) {
        self.send(Command::Write(Operation::Compact { ticket, records: Box::new(records), implied }));
    }

    /// Drops what is queued, and removes the file as soon as the thread comes to it; its bytes leave the disk space then. Nothing
    /// is reported any more once the thread has taken this.
    pub fn remove(self) {
        self.send(Command::Remove);
    }

    fn send(&self, command: Command) {
        // The thread ends before its handle only if `on_event` panicked; nobody waits for tickets then.
        let _ = self.commands.send(command);
    }
}
