//! The folder of a tier: locked while the tier runs, and bound to the processes and ports that it was founded with.

use std::fs::{self, File, TryLockError};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

use super::Error;
use super::plan::{MachineRole, Plan};

fn write(path: &Path, text: &str) -> Result<(), Error> {
    fs::write(path, text).map_err(|e| Error::Files(path.to_owned(), e))
}

fn create_dir(dir: &Path) -> Result<(), Error> {
    fs::create_dir_all(dir).map_err(|e| Error::Files(dir.to_owned(), e))
}

impl Plan {
    /// Makes the folder if it is missing, and its path absolute.
    pub(super) fn create_dir(&mut self) -> Result<(), Error> {
        create_dir(&self.dir)?;
        self.dir = self.dir.canonicalize().map_err(|e| Error::Files(self.dir.clone(), e))?;
        Ok(())
    }

    /// Locks the folder for as long as the file is open, and checks that it belongs to a tier of this layout. Whether a tier was
    /// founded in it.
    pub(super) fn lock_dir(&self) -> Result<(File, bool), Error> {
        for name in ["settings", "logs", "data"] {
            create_dir(&self.dir.join(name))?;
        }
        let path = self.dir.join("lock");
        let lock = File::create(&path).map_err(|e| Error::Files(path.clone(), e))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(Error::Locked(self.dir.clone())),
            Err(TryLockError::Error(e)) => return Err(Error::Files(path, e)),
        }
        self.check_layout()?;
        Ok((lock, self.founded_file().exists()))
    }

    /// Checks the layout that the folder has, or gives it this one.
    fn check_layout(&self) -> Result<(), Error> {
        let path = self.dir.join("layout");
        let layout =
            format!("--gateways {} --stores {} --base-port {}", self.gateways, self.stores, self.base_port);
        match fs::read_to_string(&path) {
            Ok(found) if found.trim() == layout => Ok(()),
            Ok(found) => Err(Error::Layout(self.dir.clone(), found.trim().replace(['\n', '\r'], " "))),
            Err(e) if e.kind() == ErrorKind::NotFound => write(&path, &layout),
            Err(e) => Err(Error::Files(path, e)),
        }
    }

    /// Exists once the tier was up.
    fn founded_file(&self) -> PathBuf {
        self.dir.join("founded")
    }

    /// Records that the tier was up.
    pub(super) fn mark_founded(&self) -> Result<(), Error> {
        write(&self.founded_file(), "")
    }

    /// Writes the settings of all gateways and stores.
    pub(super) fn write_settings(&self, first_boot: bool) -> Result<(), Error> {
        for machine in self.machines().iter().filter(|m| m.role != MachineRole::Worker) {
            write(&self.settings_file(&machine.name), &self.settings_text(machine, first_boot))?;
        }
        Ok(())
    }
}
