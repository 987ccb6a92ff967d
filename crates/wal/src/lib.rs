//! An append-only file of checksummed records, rewritten when long, and the thread that writes it.
//!
//! A record is a header of 20 bytes (magic, length of the payload, number of its batch, CRC-32; numbers little-endian) and its
//! payload. A batch is what one append wrote; its number is the offset at which it begins, so all before that was synced by then.
//! A bad record with one of a later batch after it is damage; any other is what a loss of power left of the last batch.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::time::Instant;

use bytes::Bytes;
use quick_error::quick_error;

quick_error! {
    /// Why a log cannot be used.
    #[derive(Debug)]
    pub enum Error {
        /// The system refused a call on this file or folder.
        Io(path: PathBuf, source: std::io::Error) {
            source(source)
            display("{}: {}", path.display(), source)
        }
        /// A record that was synced is not what was written.
        Damaged(path: PathBuf, offset: u64) {
            display("{}: the record at byte {} is damaged", path.display(), offset)
        }
    }
}

const MAGIC: [u8; 4] = *b"\xd0RL1";
const HEADER: usize = 20;

/// A file of records, open for appending. One process at a time may have it.
pub struct Wal {
    folder: PathBuf,
    path: PathBuf,
    file: File,
    /// Bytes of whole, synced records.
    length: u64,
    /// Something may stand after `length`: an append failed.
    is_tail_dirty: bool,
    /// The file was renamed into place and the folder could not be synced yet.
    is_folder_dirty: bool,
}

impl Wal {
    /// Opens or creates the log `name` in `dir` and gives its records in order. What a loss of power left of the last append is
    /// cut off, and what it left of a rewrite is removed.
    ///
    /// # Errors
    /// Where files cannot be used, or a synced record is damaged.
    pub fn open(dir: &Path, name: &str) -> Result<(Self, Vec<Bytes>), Error> {
        let path = dir.join(name);
        let at = |source| Error::Io(path.clone(), source);
        match fs::remove_file(fresh_path(&path)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(Error::Io(fresh_path(&path), e)),
            _ => {}
        }
        let mut file =
            OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&path).map_err(at)?;
        let size = file.metadata().map_err(at)?.len();
        let mut bytes = Vec::new();
        (&mut file).take(size).read_to_end(&mut bytes).map_err(at)?;
        if bytes.is_empty() {
            // It may be new, or its maker lost power before it synced.
            file.sync_all().map_err(at)?;
            sync_folder(dir)?;
        }
        let mut records = Vec::new();
        let mut offset = 0;
        while let Some((_, payload)) = record_at(&bytes, offset, 0) {
            records.push(Bytes::copy_from_slice(payload));
            offset += HEADER + payload.len();
        }
        if offset < bytes.len() {
            if is_followed(&bytes, offset) {
                return Err(Error::Damaged(path, offset as u64));
            }
            file.set_len(offset as u64).map_err(at)?;
            file.sync_all().map_err(at)?;
        }
        let wal = Wal {
            folder: dir.to_path_buf(),
            path,
            file,
            length: offset as u64,
            is_tail_dirty: false,
            is_folder_dirty: false,
        };
        Ok((wal, records))
    }

    /// Appends records by one write, and syncs. No records: nothing is done.
    ///
    /// # Errors
    /// Where the file cannot be written; nothing of these records then counts as kept.
    pub fn append(&mut self, records: &[Bytes]) -> Result<(), Error> {
        self.tidy()?;
        if records.is_empty() {
            return Ok(());
        }
        let mut buffer = Vec::with_capacity(records.iter().map(|r| HEADER + r.len()).sum());
        for record in records {
            put_record(&mut buffer, self.length, self.length, record).map_err(|e| self.failed(e))?;
        }
        self.is_tail_dirty = true;
        self.file.write_all_at(&buffer, self.length).map_err(|e| self.failed(e))?;
        self.file.sync_data().map_err(|e| self.failed(e))?;
        self.is_tail_dirty = false;
        self.length += buffer.len() as u64;
        Ok(())
    }

    /// Puts these records in place of all that is there: another file, synced, renamed over this one, the folder synced.
    ///
    /// # Errors
    /// Where that fails; the old file then stands. Only where the folder's sync alone failed, the new one does, and that sync is
    /// tried again before the next append.
    pub fn rewrite(&mut self, records: &[Bytes]) -> Result<(), Error> {
        let fresh = fresh_path(&self.path);
        let at = |source| Error::Io(fresh.clone(), source);
        let mut buffer = Vec::with_capacity(records.iter().map(|r| HEADER + r.len()).sum());
        for record in records {
            // Each a batch of its own: as the file gets its name only once synced, none of them can be torn.
            let batch = buffer.len() as u64;
            put_record(&mut buffer, 0, batch, record).map_err(at)?;
        }
        let file =
            OpenOptions::new().read(true).write(true).create(true).truncate(true).open(&fresh).map_err(at)?;
        file.write_all_at(&buffer, 0).map_err(at)?;
        file.sync_all().map_err(at)?;
        fs::rename(&fresh, &self.path).map_err(at)?;
        self.file = file;
        self.length = buffer.len() as u64;
        self.is_tail_dirty = false;
        self.is_folder_dirty = true;
        self.tidy()
    }

    /// Bytes of the file.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Makes good what an earlier failure left.
    fn tidy(&mut self) -> Result<(), Error> {
        if self.is_folder_dirty {
            sync_folder(&self.folder)?;
            self.is_folder_dirty = false;
        }
        if self.is_tail_dirty {
            self.file.set_len(self.length).map_err(|e| self.failed(e))?;
            self.file.sync_all().map_err(|e| self.failed(e))?;
            self.is_tail_dirty = false;
        }
        Ok(())
    }

    fn failed(&self, source: io::Error) -> Error {
        Error::Io(self.path.clone(), source)
    }
}

/// Where a rewrite is written before it gets the log's name.
fn fresh_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_os_string();
    name.push(".new");
    name.into()
}

fn sync_folder(folder: &Path) -> Result<(), Error> {
    File::open(folder).and_then(|f| f.sync_all()).map_err(|e| Error::Io(folder.to_path_buf(), e))
}

/// Puts a record at the end of what will stand in the file from `start` on.
fn put_record(buffer: &mut Vec<u8>, start: u64, batch: u64, payload: &[u8]) -> io::Result<()> {
    let length = u32::try_from(payload.len()).map_err(|_| io::Error::from(io::ErrorKind::InvalidInput))?;
    let offset = start + buffer.len() as u64;
    buffer.extend_from_slice(&MAGIC);
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(&batch.to_le_bytes());
    buffer.extend_from_slice(&checksum(offset, length, batch, payload).to_le_bytes());
    buffer.extend_from_slice(payload);
    Ok(())
}

/// It covers the offset too: a record's copy in another place is none.
fn checksum(offset: u64, length: u32, batch: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&offset.to_le_bytes());
    hasher.update(&length.to_le_bytes());
    hasher.update(&batch.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// Batch and payload of the whole record at an offset, if there is one and its batch is `first` or later.
fn record_at(bytes: &[u8], offset: usize, first: u64) -> Option<(u64, &[u8])> {
    let rest = bytes.get(offset..)?.strip_prefix(&MAGIC)?;
    let (length, rest) = rest.split_first_chunk()?;
    let (batch, rest) = rest.split_first_chunk()?;
    let (check, rest) = rest.split_first_chunk()?;
    let (length, batch) = (u32::from_le_bytes(*length), u64::from_le_bytes(*batch));
    if !(first..=offset as u64).contains(&batch) {
        return None;
    }
    let payload = rest.get(..usize::try_from(length).ok()?)?;
    (checksum(offset as u64, length, batch, payload) == u32::from_le_bytes(*check))
        .then_some((batch, payload))
}

/// Whether a whole record that was written after the bad one's sync stands somewhere after it.
fn is_followed(bytes: &[u8], bad: usize) -> bool {
    (bad + 1..bytes.len()).any(|offset| record_at(bytes, offset, bad as u64 + 1).is_some())
}

/// What the thread has done: all up to `ticket` is synced, or failed.
#[derive(Debug)]
pub struct Done {
    pub ticket: u64,
    /// Bytes of the file now.
    pub length: u64,
    /// The time that writing and syncing took.
    pub took: std::time::Duration,
    pub result: Result<(), Error>,
}

enum Job {
    Append { ticket: u64, records: Vec<Bytes> },
    Rewrite { ticket: u64, records: Vec<Bytes> },
}

/// A thread that owns a log: calls do not wait for the disk. Several waiting appends are written and synced as one. Once this is
/// dropped, the thread finishes what is queued and ends.
pub struct Writer {
    jobs: mpsc::Sender<Job>,
}

impl Writer {
    /// `done` is called on the thread, in the order of the calls; once for appends that went as one, with the last one's ticket.
    pub fn start(wal: Wal, done: impl Fn(Done) + Send + 'static) -> Self {
        let (jobs, queue) = mpsc::channel();
        std::thread::spawn(move || write_all(wal, &queue, done));
        Writer { jobs }
    }

    /// Appends as [`Wal::append`] does. Tickets go up.
    pub fn append(&self, ticket: u64, records: Vec<Bytes>) {
        // The thread ends before this only if `done` panicked; nobody hears of tickets then.
        let _ = self.jobs.send(Job::Append { ticket, records });
    }

    /// Rewrites as [`Wal::rewrite`] does, after all appends asked for before.
    pub fn rewrite(&self, ticket: u64, records: Vec<Bytes>) {
        let _ = self.jobs.send(Job::Rewrite { ticket, records });
    }
}

fn write_all(mut wal: Wal, queue: &mpsc::Receiver<Job>, done: impl Fn(Done)) {
    while let Ok(first) = queue.recv() {
        let mut waiting = std::iter::once(first).chain(queue.try_iter()).peekable();
        while let Some(job) = waiting.next() {
            let started;
            let (ticket, result) = match job {
                Job::Rewrite { ticket, records } => {
                    started = Instant::now();
                    (ticket, wal.rewrite(&records))
                }
                Job::Append { mut ticket, mut records } => {
                    while let Some(Job::Append { ticket: next, records: more }) =
                        waiting.next_if(|job| matches!(job, Job::Append { .. }))
                    {
                        ticket = ticket.max(next);
                        records.extend(more);
                    }
                    started = Instant::now();
                    (ticket, wal.append(&records))
                }
            };
            done(Done { ticket, length: wal.length(), took: started.elapsed(), result });
        }
    }
}
