//! A disk in memory that loses power after any operation, fills up, refuses or stalls.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};

use rainlug_wal::FileSystem;

/// A sync that a broken disk layer leaves out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// Directories are never synced.
    NoDirectorySync,
    /// A file that is to be renamed is not synced before.
    NoReplacementSync,
    /// Files are not synced when they are opened, nor their directory.
    NoSyncOnOpen,
}

#[derive(Clone, Default)]
struct Inode {
    bytes: Vec<u8>,
    synced: Vec<u8>,
}

#[derive(Clone, Default)]
struct State {
    inodes: Vec<Inode>,
    /// Names as processes see them, and those that a loss of power leaves.
    names: BTreeMap<PathBuf, usize>,
    synced_names: BTreeMap<PathBuf, usize>,
    capacity: Option<usize>,
    is_refusing: bool,
    is_stalled: bool,
    operations: usize,
    /// The operation at which power goes; it and all later ones fail.
    power_loss_at: Option<usize>,
    fault: Fault,
    is_opening: bool,
}

/// Handles of one disk.
#[derive(Clone, Default)]
pub struct TestDisk(Arc<(Mutex<State>, Condvar)>);

/// What a loss of power keeps of the writes after a file's last sync.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tail {
    Lost,
    Torn,
    Kept,
}

pub const TAILS: [Tail; 3] = [Tail::Lost, Tail::Torn, Tail::Kept];

fn full() -> io::Error {
    io::ErrorKind::StorageFull.into()
}

impl State {
    /// Counts an operation; false once power is gone.
    fn step(&mut self) -> bool {
        self.operations += 1;
        self.power_loss_at.is_none_or(|at| self.operations <= at)
    }

    /// Bytes of all files that have a name.
    fn used(&self) -> usize {
        self.names.values().map(|inode| self.inodes[*inode].bytes.len()).sum()
    }
}

impl TestDisk {
    pub fn with_fault(fault: Fault) -> Self {
        let disk = TestDisk::default();
        disk.state().fault = fault;
        disk
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.0.lock().expect("no test panics with it")
    }

    /// The state, once the disk does not stall; an error where it refuses or has no power.
    fn begin_operation(&self) -> io::Result<MutexGuard<'_, State>> {
        let mut state = self.0.1.wait_while(self.state(), |s| s.is_stalled).expect("no test panics with it");
        let has_power = state.step();
        if !has_power || state.is_refusing {
            return Err(io::Error::other(if has_power { "refused" } else { "no power" }));
        }
        Ok(state)
    }

    pub fn set_capacity(&self, capacity: Option<usize>) {
        self.state().capacity = capacity;
    }

    pub fn set_refusing(&self, is_refusing: bool) {
        self.state().is_refusing = is_refusing;
    }

    pub fn set_stalled(&self, is_stalled: bool) {
        self.state().is_stalled = is_stalled;
        self.0.1.notify_all();
    }

    pub fn lose_power_at(&self, operation: usize) {
        self.state().power_loss_at = Some(operation);
    }

    pub fn operations(&self) -> usize {
        self.state().operations
    }

    pub fn used(&self) -> usize {
        self.state().used()
    }

    /// The opening of a log begins or ends; [`Fault::NoSyncOnOpen`] applies in between.
    pub fn set_opening(&self, is_opening: bool) {
        self.state().is_opening = is_opening;
    }

    /// The process ends and the machine goes on.
    pub fn after_kill(&self) -> Self {
        let mut state = self.state().clone();
        state.power_loss_at = None;
        state.operations = 0;
        TestDisk(Arc::new((Mutex::new(state), Condvar::new())))
    }

    /// Names whose fate a loss of power decides.
    fn unsynced_names(&self) -> Vec<PathBuf> {
        let state = self.state();
        let all = state.names.keys().chain(state.synced_names.keys());
        let mut open: Vec<PathBuf> =
            all.filter(|name| state.names.get(*name) != state.synced_names.get(*name)).cloned().collect();
        open.sort();
        open.dedup();
        open
    }

    /// Every state that a loss of power may leave: each name that was not synced kept or lost by itself, and unsynced writes lost,
    /// torn or kept.
    pub fn after_power_loss(&self) -> Vec<Self> {
        let open = self.unsynced_names();
        let mut all = Vec::new();
        for kept_names in 0..1_u32 << open.len() {
            for tail in TAILS {
                let mut state = self.state().clone();
                let mut names = state.synced_names.clone();
                for (_, name) in open.iter().enumerate().filter(|(i, _)| kept_names >> i & 1 == 1) {
                    match state.names.get(name) {
                        Some(inode) => names.insert(name.clone(), *inode),
                        None => names.remove(name),
                    };
                }
                for inode in &mut state.inodes {
                    inode.bytes = surviving_bytes(inode, tail);
                    inode.synced = inode.bytes.clone();
                }
                state.synced_names = names.clone();
                state.names = names;
                state.power_loss_at = None;
                state.is_stalled = false;
                state.operations = 0;
                all.push(TestDisk(Arc::new((Mutex::new(state), Condvar::new()))));
            }
        }
        all
    }
}

/// A file's bytes after a loss of power.
fn surviving_bytes(inode: &Inode, tail: Tail) -> Vec<u8> {
    let Inode { bytes, synced } = inode;
    match tail {
        Tail::Lost => synced.clone(),
        Tail::Kept => bytes.clone(),
        Tail::Torn => {
            let same = bytes.iter().zip(synced).take_while(|(a, b)| a == b).count();
            let middle = same + (bytes.len() - same) / 2;
            let mut torn = bytes[..middle].to_vec();
            torn.extend(synced.get(middle..).unwrap_or_default());
            torn
        }
    }
}

impl FileSystem for TestDisk {
    type File = usize;

    fn open(&self, path: &Path, truncate: bool) -> io::Result<usize> {
        let mut state = self.begin_operation()?;
        let inode = match state.names.get(path) {
            Some(inode) => *inode,
            None => {
                state.inodes.push(Inode::default());
                let inode = state.inodes.len() - 1;
                state.names.insert(path.to_owned(), inode);
                inode
            }
        };
        if truncate {
            state.inodes[inode].bytes.clear();
        }
        Ok(inode)
    }

    fn length(&self, file: &usize) -> io::Result<u64> {
        Ok(self.begin_operation()?.inodes[*file].bytes.len() as u64)
    }

    fn read_at(&self, file: &usize, buffer: &mut [u8], offset: u64) -> io::Result<usize> {
        let state = self.begin_operation()?;
        let bytes = state.inodes[*file].bytes.get(offset as usize..).unwrap_or_default();
        let count = bytes.len().min(buffer.len());
        buffer[..count].copy_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// What fits of a write stands there even if it fails.
    fn write_all_at(&self, file: &usize, bytes: &[u8], offset: u64) -> io::Result<()> {
        let mut state = self.begin_operation()?;
        let free = state.capacity.map_or(usize::MAX, |capacity| capacity.saturating_sub(state.used()));
        let inode = &mut state.inodes[*file].bytes;
        let offset = offset as usize;
        let grows = (offset + bytes.len()).saturating_sub(inode.len());
        let count = bytes.len() - grows.saturating_sub(free).min(bytes.len());
        if inode.len() < offset + count {
            inode.resize(offset + count, 0);
        }
        inode[offset..offset + count].copy_from_slice(&bytes[..count]);
        if count < bytes.len() { Err(full()) } else { Ok(()) }
    }

    fn set_length(&self, file: &usize, length: u64) -> io::Result<()> {
        self.begin_operation()?.inodes[*file].bytes.resize(length as usize, 0);
        Ok(())
    }

    fn sync(&self, file: &usize) -> io::Result<()> {
        let mut state = self.begin_operation()?;
        let is_replacement = state.names.iter().any(|(name, inode)| inode == file && is_replacement(name));
        let is_skipped = match state.fault {
            Fault::NoReplacementSync => is_replacement,
            Fault::NoSyncOnOpen => state.is_opening,
            _ => false,
        };
        if !is_skipped {
            let inode = &mut state.inodes[*file];
            inode.synced = inode.bytes.clone();
        }
        Ok(())
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut state = self.begin_operation()?;
        let inode = state.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.names.insert(to.to_owned(), inode);
        Ok(())
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.begin_operation()?.names.remove(path).map(|_| ()).ok_or(io::ErrorKind::NotFound.into())
    }

    fn sync_directory(&self, _directory: &Path) -> io::Result<()> {
        let mut state = self.begin_operation()?;
        let is_skipped = match state.fault {
            Fault::NoDirectorySync => true,
            Fault::NoSyncOnOpen => state.is_opening,
            _ => false,
        };
        if !is_skipped {
            state.synced_names = state.names.clone();
        }
        Ok(())
    }
}

fn is_replacement(name: &Path) -> bool {
    name.extension().is_some_and(|extension| extension == "new")
}
