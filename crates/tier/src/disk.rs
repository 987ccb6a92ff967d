//! The process's disk: its identity, and a log for each part that it has a replica of, each written by a thread of its own.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use bytes::Bytes;
use rainlug_coordinator::{CONTROL, PARTS};
use rainlug_wal::{Error, Report, Room, SystemFiles, Wal, Writer};
use tokio::sync::mpsc;

/// What the thread of a part's log tells of.
pub type Told = (u16, Report);

/// A part's records, in order.
pub type PartLog = (u16, Vec<Bytes>);

pub struct Disk {
    dir: PathBuf,
    room: Arc<Room>,
    writers: BTreeMap<u16, Writer>,
    told: mpsc::UnboundedSender<Told>,
}

fn name(part: u16) -> String {
    format!("part-{part}")
}

/// Makes the folder if it is missing, and makes its name last. The folder above may be none of this process's: only where the
/// folder was made just now does a failed sync of that count.
fn make_folder(dir: &Path) -> Result<(), Error> {
    let is_new = !dir.exists();
    fs::create_dir_all(dir).map_err(|e| Error::Io(dir.to_owned(), e))?;
    let Some(above) = dir.parent() else { return Ok(()) };
    let synced: io::Result<()> = File::open(above).and_then(|folder| folder.sync_all());
    match synced {
        Err(error) if is_new => Err(Error::Io(above.to_owned(), error)),
        _ => Ok(()),
    }
}

/// The identity that the disk has, or is given now; it is on the disk when this returns.
fn identity(dir: &Path, drawn: u64) -> Result<u64, Error> {
    let (mut wal, records) = Wal::open(dir, "identity")?;
    let known = records.first().and_then(|r| r.get(..8)?.try_into().ok()).map(u64::from_le_bytes);
    if let Some(id) = known {
        return Ok(id);
    }
    wal.append(&[Bytes::copy_from_slice(&drawn.to_le_bytes())])?;
    Ok(drawn)
}

impl Disk {
    /// The identity that a disk of so many bytes has, or is given now; and the records of the parts that are there.
    ///
    /// # Errors
    /// Where files cannot be used, or are damaged.
    pub fn open(
        dir: &Path,
        capacity: u64,
        drawn: u64,
        told: mpsc::UnboundedSender<Told>,
    ) -> Result<(Self, u64, Vec<PartLog>), Error> {
        make_folder(dir)?;
        let id = identity(dir, drawn)?;
        let room = Arc::new(Room::new(capacity));
        let mut disk = Disk { dir: dir.to_owned(), room, writers: BTreeMap::new(), told };
        let mut logs = Vec::new();
        for part in CONTROL..=PARTS {
            if dir.join(name(part)).exists() {
                let (wal, records) = Wal::open_in(SystemFiles, disk.room.clone(), dir, &name(part))?;
                disk.writers.insert(part, Writer::start(wal, disk.reports(part)));
                logs.push((part, records));
            }
        }
        Ok((disk, id, logs))
    }

    fn reports(&self, part: u16) -> impl Fn(Report) + Send + 'static {
        let told = self.told.clone();
        move |report| {
            let _ = told.send((part, report));
        }
    }

    /// The thread of a part's log; it makes the log if there is none.
    fn writer(&mut self, part: u16) -> &Writer {
        let (dir, room) = (self.dir.clone(), self.room.clone());
        let reports = self.reports(part);
        self.writers.entry(part).or_insert_with(|| {
            let shared = room.clone();
            let open = move || Ok(Wal::open_in(SystemFiles, shared.clone(), &dir, &name(part))?.0);
            Writer::open(room, open, reports)
        })
    }

    /// Appends records; told through the channel when they are synced.
    pub fn save(&mut self, part: u16, ticket: u64, records: Vec<Bytes>) {
        self.writer(part).append(ticket, records);
    }

    /// Puts records in place of all that are there, or, without the first `implied` of them, behind.
    pub fn compact(&mut self, part: u16, ticket: u64, records: Vec<Bytes>, implied: usize) {
        self.writer(part).compact(ticket, records, implied);
    }
}
