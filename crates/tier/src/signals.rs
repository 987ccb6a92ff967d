//! Signals to a process: SIGTERM and SIGINT ask it to end in order, SIGHUP has its settings checked.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::log;
use crate::settings::Settings;

/// The handlers of a process's signals. A signal that comes while nobody waits is kept until somebody does.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// Where the system refuses one.
    pub(crate) fn install() -> io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT. At SIGHUP the settings are checked; the process goes on with those that it has.
    pub(crate) async fn stop(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => match Settings::from_environment() {
                    Ok(_) => log::event("settings", "read again"),
                    Err(error) => log::error("settings", &error.to_string()),
                },
            }
        }
    }
}
