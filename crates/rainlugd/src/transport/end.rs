//! How a connection, or the exchange on it, can end.

use std::io;

/// Every way in which a connection or an exchange on it can end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The peer's machine refused the connection, or cannot be reached.
    Refused,
    /// The connection did not come up in the time it had.
    NeverUp,
    /// There was no room here for the connection, or for word of the task in its worker's mailbox.
    NoRoom,
    /// This side gave up before it had begun to write.
    Unsent,
    /// The connection broke, or time ran out, before the last byte was handed to it.
    Unwritten,
    /// It broke or ended when the peer owed an answer, or more of one.
    Broken,
    /// The peer ended it between two messages.
    Closed,
    /// The peer sent what the protocol does not know.
    Malformed,
    /// The peer sent more than fits.
    TooLarge,
    /// This side stopped waiting, as the time was over.
    TimedOut,
    /// This side gave up what was written whole.
    GivenUp,
    /// The peer answered: done.
    Done,
    /// The peer answered: an error.
    Failed,
    /// The peer answered: turned away or handed back, not begun.
    Returned,
    /// The peer answered: it had begun and was killed.
    Lost,
}

impl From<io::Error> for End {
    fn from(_: io::Error) -> Self {
        End::Broken
    }
}
