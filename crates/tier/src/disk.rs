//! The process's disk: its identity, and a log for each part that it has a replica of, each written by a thread of its own.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use bytes::Bytes;
use rainlug_coordinator::{CONTROL, PARTS};
use rainlug_wal::{Error, Wal, Writer};
use tokio::sync::mpsc;

/// A part's ticket that is on the disk, or why nothing more is.
pub struct Saved {
    pub part: u16,
    pub ticket: u64,
    pub result: Result<(), Error>,
    /// The identity of the disk that it was meant for.
    pub disk: u64,
}

pub struct Disk {
    dir: PathBuf,
    id: u64,
    /// How often the disk was given another identity.
    renewals: usize,
    identity: Wal,
    writers: BTreeMap<u16, Writer>,
    saved: mpsc::UnboundedSender<Saved>,
}

/// The file of a part. One that the disk had under an earlier identity has another name: its thread may still write it.
fn name(part: u16, renewals: usize) -> String {
    match renewals {
        0 => format!("part-{part}"),
        _ => format!("part-{part}-{renewals}"),
    }
}

fn remove(path: &Path) -> Result<(), Error> {
    match std::fs::remove_file(path) {
        Err(e) if e.kind() != std::io::ErrorKind::NotFound => Err(Error::Io(path.to_owned(), e)),
        _ => Ok(()),
    }
}

impl Disk {
    /// The identity that the disk has, or is given now; and the records of the parts that are there.
    ///
    /// # Errors
    /// Where files cannot be used, or are damaged.
    #[allow(clippy::type_complexity)]
    pub fn open(
        dir: &Path,
        drawn: u64,
        saved: mpsc::UnboundedSender<Saved>,
    ) -> Result<(Self, u64, Vec<(u16, Vec<Bytes>)>), Error> {
        std::fs::create_dir_all(dir).map_err(|e| Error::Io(dir.to_owned(), e))?;
        let (mut own, records) = Wal::open(dir, "identity")?;
        let renewals = records.len().saturating_sub(1);
        let known = records.last().and_then(|r| r.get(..8)?.try_into().ok()).map(u64::from_le_bytes);
        let id = match known {
            Some(id) => id,
            None => {
                own.append(&[Bytes::copy_from_slice(&drawn.to_le_bytes())])?;
                drawn
            }
        };
        let mut disk =
            Disk { dir: dir.to_owned(), id, renewals, identity: own, writers: BTreeMap::new(), saved };
        let mut logs = Vec::new();
        for part in CONTROL..=PARTS {
            for earlier in 0..renewals {
                remove(&dir.join(name(part, earlier)))?;
            }
            let name = name(part, renewals);
            if dir.join(&name).exists() {
                let (wal, records) = Wal::open(dir, &name)?;
                disk.start(part, wal);
                logs.push((part, records));
            }
        }
        Ok((disk, id, logs))
    }

    fn start(&mut self, part: u16, wal: Wal) {
        let (saved, disk) = (self.saved.clone(), self.id);
        let writer = Writer::start(wal, move |done| {
            let _ = saved.send(Saved { part, ticket: done.ticket, result: done.result, disk });
        });
        self.writers.insert(part, writer);
    }

    fn writer(&mut self, part: u16) -> Result<&Writer, Error> {
        if !self.writers.contains_key(&part) {
            let (wal, _) = Wal::open(&self.dir, &name(part, self.renewals))?;
            self.start(part, wal);
        }
        self.writers
            .get(&part)
            .ok_or_else(|| Error::Io(self.dir.clone(), std::io::ErrorKind::NotFound.into()))
    }

    /// The identity that the disk has now.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Gives the disk another identity, and drops the parts that it holds.
    ///
    /// # Errors
    /// Where files cannot be written or removed.
    pub fn renew(&mut self, id: u64) -> Result<(), Error> {
        // The identity first: parts of another disk's name hold nothing that anybody counts on.
        self.identity.append(&[Bytes::copy_from_slice(&id.to_le_bytes())])?;
        self.writers.clear();
        for part in CONTROL..=PARTS {
            remove(&self.dir.join(name(part, self.renewals)))?;
        }
        self.id = id;
        self.renewals += 1;
        Ok(())
    }

    /// Appends records; told through the channel when they are synced.
    ///
    /// # Errors
    /// Where the part's log cannot be begun.
    pub fn save(&mut self, part: u16, ticket: u64, records: Vec<Bytes>) -> Result<(), Error> {
        self.writer(part)?.append(ticket, records);
        Ok(())
    }

    /// Puts records in place of all that are there.
    ///
    /// # Errors
    /// As [`Disk::save`].
    pub fn rewrite(&mut self, part: u16, ticket: u64, records: Vec<Bytes>) -> Result<(), Error> {
        self.writer(part)?.rewrite(ticket, records);
        Ok(())
    }
}
