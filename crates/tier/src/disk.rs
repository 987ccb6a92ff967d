//! The process's disk: its identity, and a log for each shard that it has a replica of, each written by a thread of its own.
//!
//! A member of a replica set is a disk: one that comes back empty, or is given another identity, is another member and holds
//! nothing (VR's recovery). Reports of a log's thread therefore carry the identity under which the log was begun.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use bytes::Bytes;
use rainlug_consensus::Records;
use rainlug_coordinator::{CONTROL, LAST_SHARD};
use rainlug_wal::{DiskSpace, Error, OsFileSystem, RecordSource, Wal, Writer, WriterEvent};
use tokio::sync::mpsc;

/// A report of the thread that writes a shard's log.
#[derive(Debug)]
pub struct WriterReport {
    /// The identity that the disk had when the log was begun.
    pub disk: u64,
    /// The shard whose log it is.
    pub shard: u16,
    /// What happened.
    pub event: WriterEvent,
}

/// A shard's number and the records of its log, in order.
pub type ShardLog = (u16, Vec<Bytes>);

/// The open disk.
pub struct Disk {
    dir: PathBuf,
    identity: Identity,
    space: Arc<DiskSpace>,
    writers: BTreeMap<u16, Writer>,
    reports: mpsc::UnboundedSender<WriterReport>,
}

/// Which disk this is, on the disk itself.
struct Identity {
    wal: Wal,
    id: u64,
    /// How often the disk was given another one.
    renewals: usize,
}

impl Identity {
    /// The identity that the disk has, or else `new_id`; it is synced when this returns.
    fn open(dir: &Path, new_id: u64) -> Result<Self, Error> {
        let (mut wal, records) = Wal::open(dir, "identity")?;
        let renewals = records.len().saturating_sub(1);
        let known = records.last().and_then(|r| r.get(..8)?.try_into().ok()).map(u64::from_le_bytes);
        if let Some(id) = known {
            return Ok(Identity { wal, id, renewals });
        }
        wal.append(&[Bytes::copy_from_slice(&new_id.to_le_bytes())])?;
        Ok(Identity { wal, id: new_id, renewals: 0 })
    }

    /// Gives the disk another identity. It is in force also where the disk refuses to store it; what is kept under it is then
    /// lost when the process ends, as with a lost disk.
    fn renew(&mut self, id: u64) -> Result<(), Error> {
        self.id = id;
        self.renewals += 1;
        self.wal.append(&[Bytes::copy_from_slice(&id.to_le_bytes())])
    }
}

/// The file of a shard's log. One that the disk had under an earlier identity has another name: its thread may still write it.
fn log_file_name(shard: u16, renewals: usize) -> String {
    match renewals {
        0 => format!("part-{shard}"),
        _ => format!("part-{shard}-{renewals}"),
    }
}

/// Removes a file if it is there.
fn remove_file(path: &Path) -> Result<(), Error> {
    match fs::remove_file(path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(Error::Io(path.to_owned(), e)),
        _ => Ok(()),
    }
}

/// Makes the folder if it is missing, and syncs its name. The parent may belong to others and refuse the sync: that is an error
/// only where the folder was made just now.
fn create_dir_synced(dir: &Path) -> Result<(), Error> {
    let is_new = !dir.exists();
    fs::create_dir_all(dir).map_err(|e| Error::Io(dir.to_owned(), e))?;
    let Some(parent) = dir.parent() else { return Ok(()) };
    let synced: io::Result<()> = File::open(parent).and_then(|folder| folder.sync_all());
    match synced {
        Err(error) if is_new => Err(Error::Io(parent.to_owned(), error)),
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
    /// Opens the disk in a folder, with room for `capacity` bytes of logs; returns it and the logs that it holds. An empty disk is
    /// given the identity `new_id`. What happens to the logs is sent to `reports`.
    ///
    /// # Errors
    /// Where files cannot be used, or are damaged.
    pub fn open(
        dir: &Path,
        capacity: u64,
        new_id: u64,
        reports: mpsc::UnboundedSender<WriterReport>,
    ) -> Result<(Self, Vec<ShardLog>), Error> {
        create_dir_synced(dir)?;
        let identity = Identity::open(dir, new_id)?;
        let space = Arc::new(DiskSpace::new(capacity));
        let mut disk = Disk { dir: dir.to_owned(), identity, space, writers: BTreeMap::new(), reports };
        let mut logs = Vec::new();
        for shard in CONTROL..=LAST_SHARD {
            disk.remove_earlier_logs(shard)?;
            let name = log_file_name(shard, disk.identity.renewals);
            if dir.join(&name).exists() {
                let (wal, records) = Wal::open_with(OsFileSystem, disk.space.clone(), dir, &name)?;
                disk.writers.insert(shard, Writer::start(wal, disk.reporter(shard)));
                logs.push((shard, records));
            }
        }
        Ok((disk, logs))
    }

    /// The identity that the disk has now.
    pub fn id(&self) -> u64 {
        self.identity.id
    }

    /// The space that the disk's logs share.
    pub fn space(&self) -> &Arc<DiskSpace> {
        &self.space
    }

    /// Gives the disk another identity, and drops all logs that it holds.
    ///
    /// # Errors
    /// Where files cannot be written or removed.
    pub fn renew_identity(&mut self, id: u64) -> Result<(), Error> {
        // The identity first: nobody counts on logs under an earlier one.
        std::mem::take(&mut self.writers).into_values().for_each(Writer::remove);
        self.identity.renew(id)?;
        (CONTROL..=LAST_SHARD).try_for_each(|shard| self.remove_earlier_logs(shard))
    }

    /// Removes the logs that a shard had under earlier identities.
    fn remove_earlier_logs(&self, shard: u16) -> Result<(), Error> {
        (0..self.identity.renewals)
            .try_for_each(|earlier| remove_file(&self.dir.join(log_file_name(shard, earlier))))
    }

    /// What the thread of a shard's log calls with its events.
    fn reporter(&self, shard: u16) -> impl Fn(WriterEvent) + Send + 'static {
        let (reports, disk) = (self.reports.clone(), self.id());
        move |event| {
            let _ = reports.send(WriterReport { disk, shard, event });
        }
    }

    /// The writer of a shard's log; the log is created if there is none.
    fn writer(&mut self, shard: u16) -> &Writer {
        let (dir, space) = (self.dir.clone(), self.space.clone());
        let (reporter, name) = (self.reporter(shard), log_file_name(shard, self.identity.renewals));
        self.writers.entry(shard).or_insert_with(|| {
            let shared = space.clone();
            let open = move || Ok(Wal::open_with(OsFileSystem, shared.clone(), &dir, &name)?.0);
            Writer::open(space, open, reporter)
        })
    }

    /// Appends records to a shard's log; a [`WriterReport`] with this ticket says when they are synced.
    pub fn append(&mut self, shard: u16, ticket: u64, records: Vec<Bytes>) {
        self.writer(shard).append(ticket, records);
    }

    /// Replaces all records of a shard's log, or appends the new ones without the first `implied`, which follow from what the log
    /// holds; a [`WriterReport`] with this ticket says when they are synced. The writer's thread encodes them while it writes.
    pub fn compact(&mut self, shard: u16, ticket: u64, records: Records, implied: usize) {
        self.writer(shard).compact(ticket, ReplicaRecords(records), implied);
    }
}
