//! The state machine of a part: what it is handed by the part's replica, and its state, read and restored piece by piece.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use quick_error::quick_error;
use rainlug_batch::Register;
use rainlug_consensus::{StateSource, WholeState};

use crate::control::Control;

/// Bytes of a piece of a snapshot: as much as a message of a group has.
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
#[derive(Default)]
pub(crate) struct Restoring {
    bytes: BytesMut,
}

impl Machine {
    /// Its state as of now, to be read piece by piece later on.
    pub fn snapshot_source(&self) -> Arc<dyn StateSource> {
        let state = match self {
            Machine::Control(control) => control.snapshot(),
            Machine::Lots(register) => register.snapshot(),
        };
        Arc::new(WholeState::new(state, PIECE_BYTES))
    }

    /// Another state, empty, to be built beside this one.
    pub fn restore_begin(&self) -> Restoring {
        Restoring::default()
    }

    /// Puts a state that was built in place of this one.
    ///
    /// # Errors
    /// Where it is none of such a state machine's; this one stands then.
    pub fn restore_finish(&mut self, restoring: Restoring) -> Result<(), RestoreError> {
        let state = restoring.bytes.freeze();
        match self {
            Machine::Control(control) => {
                *control = Control::restore(&state).map_err(|_| RestoreError::Malformed)?;
            }
            Machine::Lots(register) => register.restore(&state).map_err(|_| RestoreError::Malformed)?,
        }
        Ok(())
    }
}

impl Restoring {
    /// Takes the next piece.
    ///
    /// # Errors
    /// Where it cannot be one.
    pub fn take(&mut self, piece: &Bytes) -> Result<(), RestoreError> {
        self.bytes.extend_from_slice(piece);
        Ok(())
    }
}
