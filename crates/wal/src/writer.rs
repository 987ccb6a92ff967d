//! The thread that writes a log. It tries again what the disk refuses, for as long as that lasts.

use std::collections::VecDeque;
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::record::HEADER;
use crate::{CompactionOutcome, DiskSpace, Error, FileSystem, RecordSource, Wal};

/// The pause after a first failure; it doubles with each one up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_millis(320);
/// Bytes of the waiting appends that are written as one, at most: all of them wait for the last byte, and need room at once.
const MOST_MERGED: u64 = 1 << 20;

/// What the thread tells of.
#[derive(Debug)]
pub enum WriterEvent {
    /// All up to a ticket is synced.
    Synced(Synced),
    /// The disk refuses; tried again until it does not. Told once for all tries.
    Failing(Error),
    /// The disk takes what it refused before.
    Recovered,
}

/// All up to `ticket` is synced.
#[derive(Clone, Copy, Debug)]
pub struct Synced {
    pub ticket: u64,
    /// Bytes of the file now.
    pub length: u64,
    /// The time that writing and syncing took, without earlier tries.
    pub duration: Duration,
    /// What became of a request to compact, if it was one.
    pub compaction: Option<CompactionOutcome>,
}

enum Job {
    Append { ticket: u64, records: Vec<Bytes>, bytes: u64 },
    Compact { ticket: u64, records: Box<dyn RecordSource>, implied: usize },
    Remove,
}

/// A thread that owns a log: calls do not wait for the disk. Several waiting appends are written and synced as one, up to 1 MB; where
/// they do not fit together, the first one is tried alone. Once this is
/// dropped, the thread writes what is queued, or gives up where the disk refuses it, and ends.
pub struct Writer {
    jobs: mpsc::Sender<Job>,
}

impl Writer {
    /// `report` is called on the thread, in the order of the calls; once for appends that went as one, with the last one's ticket.
    pub fn start<F: FileSystem>(wal: Wal<F>, report: impl Fn(WriterEvent) + Send + 'static) -> Self {
        let disk_space = wal.disk_space().clone();
        Writer::spawn(move |jobs| Worker::new(Source::Open(wal), disk_space, jobs, report).run())
    }

    /// As [`Writer::start`], for a log that is still to be opened; the thread does it, as soon as the disk lets it.
    pub fn open<F: FileSystem>(
        disk_space: Arc<DiskSpace>,
        open: impl Fn() -> Result<Wal<F>, Error> + Send + 'static,
        report: impl Fn(WriterEvent) + Send + 'static,
    ) -> Self {
        Writer::spawn(move |jobs| Worker::new(Source::Closed(Box::new(open)), disk_space, jobs, report).run())
    }

    fn spawn(work: impl FnOnce(mpsc::Receiver<Job>) + Send + 'static) -> Self {
        let (jobs, queue) = mpsc::channel();
        std::thread::spawn(move || work(queue));
        Writer { jobs }
    }

    /// Appends as [`Wal::append`] does. Tickets go up.
    pub fn append(&self, ticket: u64, records: Vec<Bytes>) {
        // The thread ends before this only if `report` panicked; nobody hears of tickets then.
        let bytes = records.iter().map(|record| (HEADER + record.len()) as u64).sum();
        let _ = self.jobs.send(Job::Append { ticket, records, bytes });
    }

    /// Compacts as [`Wal::compact`] does, after all appends asked for before. The records have to stand for all of these.
    pub fn compact(&self, ticket: u64, records: impl RecordSource + 'static, implied: usize) {
        let _ = self.jobs.send(Job::Compact { ticket, records: Box::new(records), implied });
    }

    /// Gives the log up: what is queued is dropped, its file is removed and its bytes leave the room, as soon as the disk lets the
    /// thread. Nothing more is told of then.
    pub fn remove(self) {
        let _ = self.jobs.send(Job::Remove);
    }
}

enum Source<F: FileSystem> {
    Open(Wal<F>),
    Closed(Box<dyn Fn() -> Result<Wal<F>, Error>>),
}

impl<F: FileSystem> Source<F> {
    /// The log; opened now if it is not yet.
    fn wal(&mut self) -> Result<&mut Wal<F>, Error> {
        let wal = match self {
            Source::Open(wal) => return Ok(wal),
            Source::Closed(open) => open()?,
        };
        *self = Source::Open(wal);
        self.wal()
    }
}

struct Worker<F: FileSystem, R: Fn(WriterEvent)> {
    source: Source<F>,
    disk_space: Arc<DiskSpace>,
    jobs: mpsc::Receiver<Job>,
    pending: VecDeque<Job>,
    /// The pause after the next failure; nothing while the disk takes all.
    pause: Option<Duration>,
    /// Bytes of appends that are tried as one now: grows with what is written up to [`MOST_MERGED`].
    merged: u64,
    is_given_up: bool,
    report: R,
}

impl<F: FileSystem, R: Fn(WriterEvent)> Worker<F, R> {
    fn new(source: Source<F>, disk_space: Arc<DiskSpace>, jobs: mpsc::Receiver<Job>, report: R) -> Self {
        Worker {
            source,
            disk_space,
            jobs,
            pending: VecDeque::new(),
            pause: None,
            merged: MOST_MERGED,
            is_given_up: false,
            report,
        }
    }

    fn run(mut self) {
        while let Ok(first) = self.jobs.recv() {
            self.take(first);
            if !self.write_pending() {
                break;
            }
        }
        if self.is_given_up
            && let Source::Open(wal) = self.source
        {
            // A file that stays is removed when the disk is next opened.
            let _ = wal.remove();
        }
    }

    /// Writes all that waits; false where the log is given up, or the disk refuses and nobody waits for it any more.
    fn write_pending(&mut self) -> bool {
        loop {
            let is_orphaned = self.collect();
            if self.is_given_up {
                return false;
            }
            match self.attempt() {
                Ok(None) => return true,
                Ok(Some(done)) => self.succeeded(done),
                Err(_) if is_orphaned => return false,
                Err(error) => self.failed(error),
            }
        }
    }

    /// Takes what has been asked for meanwhile; whether nothing more can come.
    fn collect(&mut self) -> bool {
        loop {
            match self.jobs.try_recv() {
                Ok(job) => self.take(job),
                Err(error) => return error == mpsc::TryRecvError::Disconnected,
            }
        }
    }

    fn take(&mut self, job: Job) {
        match job {
            Job::Remove => self.is_given_up = true,
            job => self.pending.push_back(job),
        }
    }

    /// How many appends at the front are tried as one: one at least, if there is one.
    fn count_merged(&self) -> usize {
        let mut total = 0_u64;
        let mut count = 0;
        for job in &self.pending {
            let Job::Append { bytes, .. } = job else { break };
            total = total.saturating_add(*bytes);
            if count > 0 && total > self.merged {
                break;
            }
            count += 1;
        }
        count
    }

    /// Writes the appends at the front as one; where that fails, the first one alone, as a disk that is almost full may take it.
    fn append_first(&mut self) -> Result<Synced, Error> {
        let count = self.count_merged();
        match self.append_merged(count) {
            Err(_) if count > 1 => self.append_merged(1),
            result => result,
        }
    }

    fn append_merged(&mut self, count: usize) -> Result<Synced, Error> {
        let started = Instant::now();
        let (mut all, mut written, mut last) = (Vec::new(), 0_u64, 0);
        for job in self.pending.iter().take(count) {
            if let Job::Append { ticket, records, bytes } = job {
                all.extend_from_slice(records);
                written = written.saturating_add(*bytes);
                last = *ticket;
            }
        }
        let wal = self.source.wal()?;
        if let Err(error) = wal.append(&all) {
            self.merged = 0;
            return Err(error);
        }
        let done = Synced::of(last, wal, started, None);
        self.merged = self.merged.max(written.saturating_mul(2)).min(MOST_MERGED);
        self.pending.drain(..count);
        Ok(done)
    }

    /// Tries the first job, if there is one. Where the disk has refused before, a request to compact further back comes first: it stands for all
    /// before it, and may make room.
    fn attempt(&mut self) -> Result<Option<Synced>, Error> {
        let started = Instant::now();
        let wal = self.source.wal()?;
        // The last one stands for the most.
        let place = self.pending.iter().rposition(|job| matches!(job, Job::Compact { .. }));
        if self.pause.is_some()
            && let Some(place) = place
            && let Some(Job::Compact { ticket, records, .. }) = self.pending.get(place)
            && wal.rewrite(&**records).is_ok()
        {
            let done = Synced::of(*ticket, wal, started, Some(CompactionOutcome::Rewritten));
            self.pending.drain(..=place);
            return Ok(Some(done));
        }
        match self.pending.front() {
            Some(Job::Append { .. }) => self.append_first().map(Some),
            Some(Job::Compact { ticket, records, implied }) => {
                let compaction = wal.compact(&**records, *implied)?;
                let done = Synced::of(*ticket, wal, started, Some(compaction));
                self.pending.pop_front();
                Ok(Some(done))
            }
            Some(Job::Remove) | None => Ok(None),
        }
    }

    fn succeeded(&mut self, done: Synced) {
        if self.pause.take().is_some() {
            (self.report)(WriterEvent::Recovered);
        }
        (self.report)(WriterEvent::Synced(done));
    }

    fn failed(&mut self, error: Error) {
        let pause = self.pause.unwrap_or(FIRST_PAUSE);
        if self.pause.is_none() {
            (self.report)(WriterEvent::Failing(error));
        }
        self.pause = Some((pause * 2).min(LONGEST_PAUSE));
        self.disk_space.wait(pause);
    }
}

impl Synced {
    fn of<F: FileSystem>(
        ticket: u64,
        wal: &Wal<F>,
        started: Instant,
        compaction: Option<CompactionOutcome>,
    ) -> Self {
        Synced { ticket, length: wal.length(), duration: started.elapsed(), compaction }
    }
}
