//! The thread that writes a log. It tries again what the disk refuses, for as long as that lasts.

use std::collections::VecDeque;
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::{Compaction, Error, Files, RecordSource, Room, Wal};

/// The pause after a first failure; it doubles with each one up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_millis(320);

/// What the thread tells of.
#[derive(Debug)]
pub enum Report {
    /// All up to a ticket is synced.
    Done(Done),
    /// The disk refuses; tried again until it does not. Told once for all tries.
    Failing(Error),
    /// The disk takes what it refused before.
    Recovered,
}

/// All up to `ticket` is synced.
#[derive(Clone, Copy, Debug)]
pub struct Done {
    pub ticket: u64,
    /// Bytes of the file now.
    pub length: u64,
    /// The time that writing and syncing took, without earlier tries.
    pub took: Duration,
    /// What became of a request to compact, if it was one.
    pub compaction: Option<Compaction>,
}

enum Job {
    Append { ticket: u64, records: Vec<Bytes> },
    Compact { ticket: u64, records: Box<dyn RecordSource>, implied: usize },
}

/// A thread that owns a log: calls do not wait for the disk. Several waiting appends are written and synced as one. Once this is
/// dropped, the thread writes what is queued, or gives up where the disk refuses it, and ends.
pub struct Writer {
    jobs: mpsc::Sender<Job>,
}

impl Writer {
    /// `report` is called on the thread, in the order of the calls; once for appends that went as one, with the last one's ticket.
    pub fn start<F: Files>(wal: Wal<F>, report: impl Fn(Report) + Send + 'static) -> Self {
        let room = wal.room().clone();
        Writer::spawn(move |jobs| Worker::new(Source::Open(wal), room, jobs, report).run())
    }

    /// As [`Writer::start`], for a log that is still to be opened; the thread does it, as soon as the disk lets it.
    pub fn open<F: Files>(
        room: Arc<Room>,
        open: impl Fn() -> Result<Wal<F>, Error> + Send + 'static,
        report: impl Fn(Report) + Send + 'static,
    ) -> Self {
        Writer::spawn(move |jobs| Worker::new(Source::Closed(Box::new(open)), room, jobs, report).run())
    }

    fn spawn(work: impl FnOnce(mpsc::Receiver<Job>) + Send + 'static) -> Self {
        let (jobs, queue) = mpsc::channel();
        std::thread::spawn(move || work(queue));
        Writer { jobs }
    }

    /// Appends as [`Wal::append`] does. Tickets go up.
    pub fn append(&self, ticket: u64, records: Vec<Bytes>) {
        // The thread ends before this only if `report` panicked; nobody hears of tickets then.
        let _ = self.jobs.send(Job::Append { ticket, records });
    }

    /// Compacts as [`Wal::compact`] does, after all appends asked for before. The records have to stand for all of these.
    pub fn compact(&self, ticket: u64, records: impl RecordSource + 'static, implied: usize) {
        let _ = self.jobs.send(Job::Compact { ticket, records: Box::new(records), implied });
    }
}

enum Source<F: Files> {
    Open(Wal<F>),
    Closed(Box<dyn Fn() -> Result<Wal<F>, Error>>),
}

impl<F: Files> Source<F> {
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

struct Worker<F: Files, R: Fn(Report)> {
    source: Source<F>,
    room: Arc<Room>,
    jobs: mpsc::Receiver<Job>,
    pending: VecDeque<Job>,
    /// The pause after the next failure; nothing while the disk takes all.
    pause: Option<Duration>,
    report: R,
}

impl<F: Files, R: Fn(Report)> Worker<F, R> {
    fn new(source: Source<F>, room: Arc<Room>, jobs: mpsc::Receiver<Job>, report: R) -> Self {
        Worker { source, room, jobs, pending: VecDeque::new(), pause: None, report }
    }

    fn run(mut self) {
        while let Ok(first) = self.jobs.recv() {
            self.pending.push_back(first);
            if !self.write_pending() {
                return;
            }
        }
    }

    /// Writes all that waits; false where the disk refuses and nobody waits for it any more.
    fn write_pending(&mut self) -> bool {
        loop {
            let is_orphaned = self.collect();
            self.merge_appends();
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
                Ok(job) => self.pending.push_back(job),
                Err(error) => return error == mpsc::TryRecvError::Disconnected,
            }
        }
    }

    /// Makes one job of the appends at the front.
    fn merge_appends(&mut self) {
        while let [Job::Append { .. }, Job::Append { .. }, ..] = self.pending.make_contiguous()
            && let Some(Job::Append { records: mut all, .. }) = self.pending.pop_front()
            && let Some(Job::Append { records, .. }) = self.pending.front_mut()
        {
            all.append(records);
            *records = all;
        }
    }

    /// Tries the first job, if there is one. Where the disk has refused before, a request to compact further back comes first: it stands for all
    /// before it, and may make room.
    fn attempt(&mut self) -> Result<Option<Done>, Error> {
        let started = Instant::now();
        let wal = self.source.wal()?;
        // The last one stands for the most.
        let place = self.pending.iter().rposition(|job| matches!(job, Job::Compact { .. }));
        if self.pause.is_some()
            && let Some(place) = place
            && let Some(Job::Compact { ticket, records, .. }) = self.pending.get(place)
            && wal.rewrite(&**records).is_ok()
        {
            let done = Done::of(*ticket, wal, started, Some(Compaction::Rewritten));
            self.pending.drain(..=place);
            return Ok(Some(done));
        }
        let done = match self.pending.front() {
            None => return Ok(None),
            Some(Job::Append { ticket, records }) => {
                wal.append(records)?;
                Done::of(*ticket, wal, started, None)
            }
            Some(Job::Compact { ticket, records, implied }) => {
                let compaction = wal.compact(&**records, *implied)?;
                Done::of(*ticket, wal, started, Some(compaction))
            }
        };
        self.pending.pop_front();
        Ok(Some(done))
    }

    fn succeeded(&mut self, done: Done) {
        if self.pause.take().is_some() {
            (self.report)(Report::Recovered);
        }
        (self.report)(Report::Done(done));
    }

    fn failed(&mut self, error: Error) {
        let pause = self.pause.unwrap_or(FIRST_PAUSE);
        if self.pause.is_none() {
            (self.report)(Report::Failing(error));
        }
        self.pause = Some((pause * 2).min(LONGEST_PAUSE));
        self.room.wait(pause);
    }
}

impl Done {
    fn of<F: Files>(ticket: u64, wal: &Wal<F>, started: Instant, compaction: Option<Compaction>) -> Self {
        Done { ticket, length: wal.length(), took: started.elapsed(), compaction }
    }
}
