//! The process's disk: its identity, and a log for each part that it has a replica of, each written by a thread of its own.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use bytes::Bytes;
use rainlug_coordinator::{CONTROL, PARTS};
use rainlug_wal::{Error, Wal, Writer};
use tokio::sync::mpsc;

/// A part's ticket that is on the disk, or why nothing more is.
pub type Saved = (u16, u64, Result<(), Error>);

pub struct Disk {
    dir: PathBuf,
    writers: BTreeMap<u16, Writer>,
    saved: mpsc::UnboundedSender<Saved>,
}

fn name(part: u16) -> String {
    format!("part-{part}")
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
        let known = records.first().and_then(|r| r.get(..8)?.try_into().ok()).map(u64::from_le_bytes);
        let id = match known {
            Some(id) => id,
            None => {
                own.append(&[Bytes::copy_from_slice(&drawn.to_le_bytes())])?;
                drawn
            }
        };
        let mut disk = Disk { dir: dir.to_owned(), writers: BTreeMap::new(), saved };
        let mut logs = Vec::new();
        for part in CONTROL..=PARTS {
            if dir.join(name(part)).exists() {
                let (wal, records) = Wal::open(dir, &name(part))?;
                disk.start(part, wal);
                logs.push((part, records));
            }
        }
        Ok((disk, id, logs))
    }

    fn start(&mut self, part: u16, wal: Wal) {
        let saved = self.saved.clone();
        let writer = Writer::start(wal, move |done| {
            let _ = saved.send((part, done.ticket, done.result));
        });
        self.writers.insert(part, writer);
    }

    fn writer(&mut self, part: u16) -> Result<&Writer, Error> {
        if !self.writers.contains_key(&part) {
            let (wal, _) = Wal::open(&self.dir, &name(part))?;
            self.start(part, wal);
        }
        self.writers
            .get(&part)
            .ok_or_else(|| Error::Io(self.dir.clone(), std::io::ErrorKind::NotFound.into()))
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
