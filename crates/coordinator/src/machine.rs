//! The state machine of a part: what it is handed by the part's replica, and its state, read and restored piece by piece.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use quick_error::quick_error;
use rainlug_batch::{Register, RegisterRestore, RegisterSnapshot};
use rainlug_consensus::{StateSource, WholeState};

use crate::control::Control;

/// Bytes of a piece of the configuration part's snapshot: as much as a message of a group has.
const PIECE_BYTES: usize = 128 << 10;

quick_error! {
    /// Why a state could not be restored.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RestoreError {
        /// No state was begun.
        NotBegun { display("no state was begun") }
        /// The pieces are none of such a state machine's.
        Malformed { display("not a snapshot of this state machine") }
    }
}

/// The state machine in force.
pub(crate) enum Machine {
    Control(Control),
    Lots(Register),
}

/// A state that is built beside the one in force.
pub(crate) enum Restoring {
    /// Small enough to be read at once, when all of it is there.
    Control(BytesMut),
    Lots(RegisterRestore),
}

/// A register's snapshot as the replica reads it.
struct RegisterSource(RegisterSnapshot);

impl StateSource for RegisterSource {
    fn pieces(&self) -> usize {
        self.0.pieces()
    }

    fn piece(&self, number: usize) -> Bytes {
        self.0.piece(number)
    }

    fn size(&self) -> u64 {
        self.0.size()
    }
}

impl Machine {
    /// Its state as of now, to be read piece by piece later on.
    pub fn snapshot_source(&self) -> Arc<dyn StateSource> {
        match self {
            Machine::Control(control) => Arc::new(WholeState::new(control.snapshot(), PIECE_BYTES)),
            Machine::Lots(register) => Arc::new(RegisterSource(register.snapshot())),
        }
    }

    /// Another state, empty, to be built beside this one.
    pub fn restore_begin(&self) -> Restoring {
        match self {
            Machine::Control(_) => Restoring::Control(BytesMut::new()),
            Machine::Lots(_) => Restoring::Lots(RegisterRestore::default()),
        }
    }

    /// Puts a state that was built in place of this one.
    ///
    /// # Errors
    /// Where it is none of such a state machine's; this one stands then.
    pub fn restore_finish(&mut self, restoring: Restoring) -> Result<(), RestoreError> {
        *self = match restoring {
            Restoring::Control(bytes) => {
                let state = bytes.freeze();
                Machine::Control(Control::restore(&state).map_err(|_| RestoreError::Malformed)?)
            }
            Restoring::Lots(restore) => Machine::Lots(restore.finish().map_err(|_| RestoreError::Malformed)?),
        };
        Ok(())
    }
}

impl Restoring {
    /// Takes the next piece.
    ///
    /// # Errors
    /// Where it cannot be one.
    pub fn take(&mut self, piece: &Bytes) -> Result<(), RestoreError> {
        match self {
            Restoring::Control(bytes) => bytes.extend_from_slice(piece),
            Restoring::Lots(restore) => restore.take(piece).map_err(|_| RestoreError::Malformed)?,
        }
        Ok(())
    }
}
