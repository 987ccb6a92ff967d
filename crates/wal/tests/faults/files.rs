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
    /// Folders are never synced.
    NoFolderSync,
    /// A file that is to be renamed is not synced before.
    NoFreshSync,
    /// Files are not synced when they are opened, nor their folder.
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
    refuses: bool,
    stalls: bool,
    operations: usize,
    /// The operation at which power goes; it and all later ones fail.
    dies_at: Option<usize>,
    fault: Fault,
    is_opening: bool,
}

/// Handles of one disk.
#[derive(Clone, Default)]
pub struct TestFiles(Arc<(Mutex<State>, Condvar)>);

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
        self.dies_at.is_none_or(|at| self.operations <= at)
    }

    /// Bytes of all files that have a name.
    fn used(&self) -> usize {
        self.names.values().map(|inode| self.inodes[*inode].bytes.len()).sum()
    }
}

impl TestFiles {
    pub fn with_fault(fault: Fault) -> Self {
        let files = TestFiles::default();
        files.state().fault = fault;
        files
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.0.lock().expect("no test panics with it")
    }

    /// The state, once the disk does not stall; an error where it refuses or has no power.
    fn operate(&self) -> io::Result<MutexGuard<'_, State>> {
        let mut state = self.0.1.wait_while(self.state(), |s| s.stalls).expect("no test panics with it");
        let has_power = state.step();
        if !has_power || state.refuses {
            return Err(io::Error::other(if has_power { "refused" } else { "no power" }));
        }
        Ok(state)
    }

    pub fn set_capacity(&self, capacity: Option<usize>) {
        self.state().capacity = capacity;
    }

    pub fn set_refusing(&self, refuses: bool) {
        self.state().refuses = refuses;
    }

    pub fn set_stalled(&self, stalls: bool) {
        self.state().stalls = stalls;
        self.0.1.notify_all();
    }

    pub fn die_at(&self, operation: usize) {
        self.state().dies_at = Some(operation);
    }

    pub fn operations(&self) -> usize {
        self.state().operations
    }

    pub fn used(&self) -> usize {
        self.state().used()
    }

    /// The opening of a log begins or ends; [`Fault::NoSyncOnOpen`] holds in between.
    pub fn set_opening(&self, is_opening: bool) {
        self.state().is_opening = is_opening;
    }

    /// The process ends and the machine goes on.
    pub fn after_kill(&self) -> Self {
        let mut state = self.state().clone();
        state.dies_at = None;
        state.operations = 0;
        TestFiles(Arc::new((Mutex::new(state), Condvar::new())))
    }

    /// Names whose fate a loss of power decides.
    fn open_names(&self) -> Vec<PathBuf> {
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
        let open = self.open_names();
        let mut all = Vec::new();
        for kept in 0..1_u32 << open.len() {
            for tail in TAILS {
                let mut state = self.state().clone();
                let mut names = state.synced_names.clone();
                for (i, name) in open.iter().enumerate().filter(|(i, _)| kept >> i & 1 == 1) {
                    let _ = i;
                    match state.names.get(name) {
                        Some(inode) => names.insert(name.clone(), *inode),
                        None => names.remove(name),
                    };
                }
                for inode in &mut state.inodes {
                    inode.bytes = survivor(inode, tail);
                    inode.synced = inode.bytes.clone();
                }
                state.synced_names = names.clone();
                state.names = names;
                state.dies_at = None;
                state.stalls = false;
                state.operations = 0;
                all.push(TestFiles(Arc::new((Mutex::new(state), Condvar::new()))));
            }
        }
        all
    }
}

/// A file's bytes after a loss of power.
fn survivor(inode: &Inode, tail: Tail) -> Vec<u8> {
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

impl FileSystem for TestFiles {
    type File = usize;

    fn open(&self, path: &Path, truncate: bool) -> io::Result<usize> {
        let mut state = self.operate()?;
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
        Ok(self.operate()?.inodes[*file].bytes.len() as u64)
    }

    fn read_at(&self, file: &usize, buffer: &mut [u8], offset: u64) -> io::Result<usize> {
        let state = self.operate()?;
        let bytes = state.inodes[*file].bytes.get(offset as usize..).unwrap_or_default();
        let count = bytes.len().min(buffer.len());
        buffer[..count].copy_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// What fits of a write stands there even if it fails.
    fn write_all_at(&self, file: &usize, bytes: &[u8], offset: u64) -> io::Result<()> {
        let mut state = self.operate()?;
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
        self.operate()?.inodes[*file].bytes.resize(length as usize, 0);
        Ok(())
    }

    fn sync(&self, file: &usize) -> io::Result<()> {
        let mut state = self.operate()?;
        let is_fresh = state.names.iter().any(|(name, inode)| inode == file && is_fresh(name));
        let is_left_out = match state.fault {
            Fault::NoFreshSync => is_fresh,
            Fault::NoSyncOnOpen => state.is_opening,
            _ => false,
        };
        if !is_left_out {
            let inode = &mut state.inodes[*file];
            inode.synced = inode.bytes.clone();
        }
        Ok(())
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut state = self.operate()?;
        let inode = state.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.names.insert(to.to_owned(), inode);
        Ok(())
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.operate()?.names.remove(path).map(|_| ()).ok_or(io::ErrorKind::NotFound.into())
    }

    fn sync_directory(&self, _folder: &Path) -> io::Result<()> {
        let mut state = self.operate()?;
        let is_left_out = match state.fault {
            Fault::NoFolderSync => true,
            Fault::NoSyncOnOpen => state.is_opening,
            _ => false,
        };
        if !is_left_out {
            state.synced_names = state.names.clone();
        }
        Ok(())
    }
}

fn is_fresh(name: &Path) -> bool {
    name.extension().is_some_and(|extension| extension == "new")
}
