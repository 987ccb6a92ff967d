//! The process's disk: its identity, and a log for each part that it has a replica of, each written by a thread of its own.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use bytes::Bytes;
use rainlug_consensus::Records;
use rainlug_coordinator::{BATCH_SHARDS, CONTROL};
use rainlug_wal::{DiskSpace, Error, OsFileSystem, RecordSource, Wal, Writer, WriterEvent};
use tokio::sync::mpsc;

/// What the thread of a part's log tells of.
#[derive(Debug)]
pub struct Told {
    /// The identity that the disk had when the log was begun.
    pub disk: u64,
    pub shard: u16,
    pub report: WriterEvent,
}

/// A part's records, in order.
pub type PartLog = (u16, Vec<Bytes>);

pub struct Disk {
    dir: PathBuf,
    identity: Identity,
    room: Arc<DiskSpace>,
    writers: BTreeMap<u16, Writer>,
    told: mpsc::UnboundedSender<Told>,
}

/// Which disk this is, on the disk itself.
struct Identity {
    wal: Wal,
    id: u64,
    /// How often it was given another one.
    renewals: usize,
}

impl Identity {
    /// The identity that the disk has, or is given now; it is on the disk when this returns.
    fn open(dir: &Path, drawn: u64) -> Result<Self, Error> {
        let (mut wal, records) = Wal::open(dir, "identity")?;
        let renewals = records.len().saturating_sub(1);
        let known = records.last().and_then(|r| r.get(..8)?.try_into().ok()).map(u64::from_le_bytes);
        if let Some(id) = known {
            return Ok(Identity { wal, id, renewals });
        }
        wal.append(&[Bytes::copy_from_slice(&drawn.to_le_bytes())])?;
        Ok(Identity { wal, id: drawn, renewals: 0 })
    }

    /// Where the disk refuses it, it holds until the process ends; what was kept under it is then lost, as with a lost disk.
    fn renew(&mut self, id: u64) -> Result<(), Error> {
        self.id = id;
        self.renewals += 1;
        self.wal.append(&[Bytes::copy_from_slice(&id.to_le_bytes())])
    }
}

/// The file of a part. One that the disk had under an earlier identity has another name: its thread may still write it.
fn name(shard: u16, renewals: usize) -> String {
    match renewals {
        0 => format!("part-{shard}"),
        _ => format!("part-{shard}-{renewals}"),
    }
}

fn remove(path: &Path) -> Result<(), Error> {
    match fs::remove_file(path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(Error::Io(path.to_owned(), e)),
        _ => Ok(()),
    }
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

/// The records of a replica, encoded as they are written.
struct ReplicaRecords(Records);

impl RecordSource for ReplicaRecords {
    fn count(&self) -> usize {
        self.0.count()
    }

    fn record(&self, number: usize) -> Bytes {
        self.0.record(number).unwrap_or_default()
    }

    fn payload_bytes(&self) -> u64 {
        self.0.size()
    }
}

impl Disk {
    /// A disk of so many bytes, with the identity that it has or is given now; and the records of the parts that are there.
    ///
    /// # Errors
    /// Where files cannot be used, or are damaged.
    pub fn open(
        dir: &Path,
        capacity: u64,
        drawn: u64,
        told: mpsc::UnboundedSender<Told>,
    ) -> Result<(Self, Vec<PartLog>), Error> {
        make_folder(dir)?;
        let identity = Identity::open(dir, drawn)?;
        let room = Arc::new(DiskSpace::new(capacity));
        let mut disk = Disk { dir: dir.to_owned(), identity, room, writers: BTreeMap::new(), told };
        let mut logs = Vec::new();
        for shard in CONTROL..=BATCH_SHARDS {
            disk.remove_earlier(shard)?;
            let name = name(shard, disk.identity.renewals);
            if dir.join(&name).exists() {
                let (wal, records) = Wal::open_with(OsFileSystem, disk.room.clone(), dir, &name)?;
                disk.writers.insert(shard, Writer::start(wal, disk.reports(shard)));
                logs.push((shard, records));
            }
        }
        Ok((disk, logs))
    }

    /// The identity that the disk has now.
    pub fn id(&self) -> u64 {
        self.identity.id
    }

    /// The room of the disk's logs.
    pub fn room(&self) -> &Arc<DiskSpace> {
        &self.room
    }

    /// Gives the disk another identity, and drops the parts that it holds.
    ///
    /// # Errors
    /// Where files cannot be written or removed.
    pub fn renew(&mut self, id: u64) -> Result<(), Error> {
        // The identity first: nobody counts on parts under an earlier one.
        std::mem::take(&mut self.writers).into_values().for_each(Writer::remove);
        self.identity.renew(id)?;
        (CONTROL..=BATCH_SHARDS).try_for_each(|shard| self.remove_earlier(shard))
    }

    /// Removes what a part had under earlier identities.
    fn remove_earlier(&self, shard: u16) -> Result<(), Error> {
        (0..self.identity.renewals).try_for_each(|earlier| remove(&self.dir.join(name(shard, earlier))))
    }

    fn reports(&self, shard: u16) -> impl Fn(WriterEvent) + Send + 'static {
        let (told, disk) = (self.told.clone(), self.id());
        move |report| {
            let _ = told.send(Told { disk, shard, report });
        }
    }

    /// The thread of a part's log; it makes the log if there is none.
    fn writer(&mut self, shard: u16) -> &Writer {
        let (dir, room) = (self.dir.clone(), self.room.clone());
        let (reports, name) = (self.reports(shard), name(shard, self.identity.renewals));
        self.writers.entry(shard).or_insert_with(|| {
            let shared = room.clone();
            let open = move || Ok(Wal::open_with(OsFileSystem, shared.clone(), &dir, &name)?.0);
            Writer::open(room, open, reports)
        })
    }

    /// Appends records; told through the channel when they are synced.
    pub fn save(&mut self, shard: u16, ticket: u64, records: Vec<Bytes>) {
        self.writer(shard).append(ticket, records);
    }

    /// Puts records in place of all that are there, or, without the first `implied` of them, behind.
    /// The part's thread encodes them while it writes.
    pub fn compact(&mut self, shard: u16, ticket: u64, records: Records, implied: usize) {
        self.writer(shard).compact(ticket, ReplicaRecords(records), implied);
    }
}
