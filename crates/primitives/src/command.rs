//! Commands of a shard's log. Their encoding is replicated and stored, so it stays as it is; a test pins it.

use bytes::Bytes;
use deku::prelude::*;
use rainlug_codec::{DecodeError, Text, join, split};

/// A change of the shard's [`Primitives`](crate::Primitives).
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "little")]
pub enum Command {
    /// Grants a lock where it is free, held by the same holder, or held by a hold that has ended.
    #[deku(id = "0")]
    Acquire {
        /// The lock's name.
        lock: Text,
        /// Who asks for it.
        holder: Text,
        /// How long the hold lasts, in milliseconds.
        hold_ms: u32,
        /// The last entry of the hold that the leader saw end; 0 where there is none.
        expired_entry: u64,
    },
    /// Makes a hold last longer.
    #[deku(id = "1")]
    Renew {
        /// The lock's name.
        lock: Text,
        /// Who holds it.
        holder: Text,
        /// The fencing token that the holder was given.
        fence: u64,
        /// How long the hold lasts from now on, in milliseconds.
        hold_ms: u32,
    },
    /// Frees a lock at its holder's request.
    #[deku(id = "2")]
    Release {
        /// The lock's name.
        lock: Text,
        /// Who holds it.
        holder: Text,
        /// The fencing token of the hold that ends.
        fence: u64,
    },
    /// Forgets a hold that has ended and that nobody has taken over.
    #[deku(id = "3")]
    Expire {
        /// The lock's name.
        lock: Text,
        /// The last entry of the hold that the leader saw end.
        expired_entry: u64,
    },
    /// Hands out the next number of a name.
    #[deku(id = "4")]
    NextNumber {
        /// The name.
        name: Text,
    },
    /// Puts a value to a key.
    #[deku(id = "5")]
    Put {
        /// The key.
        key: Text,
        /// The value.
        value: Text,
        /// Not 0 where the key must have the revision `expected_revision`.
        is_conditional: u8,
        /// The revision that the key must have; 0: there must be no such key.
        expected_revision: u64,
    },
}

impl Command {
    /// The bytes that [`Command::decode`] reads.
    pub fn encode(&self) -> Bytes {
        join(self, &[])
    }

    /// Decodes a command.
    ///
    /// # Errors
    /// Where the bytes are not one command.
    pub fn decode(bytes: &Bytes) -> Result<Self, DecodeError> {
        let (command, rest) = split(bytes)?;
        if rest.is_empty() { Ok(command) } else { Err(DecodeError::Malformed) }
    }
}
