//! Snapshots of the whole state as records on the ticket stream.
//!
//! The log retains records for a limited time. A snapshot lets a reader start without the expired
//! records. The snapshot includes the records before the next offset of its state, not those before
//! its own offset: other records may have been appended after the snapshot was taken and before it
//! was appended.

use std::fmt;

use filbertpitch_types::prelude::*;
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest, Sha256};

use crate::fold::ConfigState;

/// The first 128 bits of the SHA-256 hash of a state; 32 hexadecimal digits in text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, SerializeDisplay, DeserializeFromStr)]
pub struct StateDigest(u128);

impl StateDigest {
    /// The digest of a state.
    pub fn of(state: &ConfigState) -> Self {
        let text = serde_json::to_vec(state).expect("states have text keys only");
        let hash = Sha256::digest(&text);
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hash[..16]);
        Self(u128::from_be_bytes(bytes))
    }
}

impl std::str::FromStr for StateDigest {
    type Err = filbertpitch_types::text::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || Self::Err::new("state digest", text, "it is not 32 hexadecimal digits");
        let hexadecimal = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !hexadecimal {
            return Err(error());
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| error())
    }
}

impl fmt::Display for StateDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// The content of a snapshot record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotRecord {
    /// The digest of `state`.
    pub digest: StateDigest,
    /// The log's clock at a time when the publisher had applied all records of the log. Records that
    /// a reader must apply after the snapshot are not older.
    pub as_of: WallTime,
    /// The state.
    pub state: ConfigState,
}

/// Why a snapshot cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotProblem {
    /// The digest does not match the state: the record is damaged, or was written by a version
    /// with another state format.
    Digest,
    /// The state violates the invariants of the fold.
    InvalidState,
    /// The snapshot includes records after its own record.
    Future,
}

impl fmt::Display for SnapshotProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Digest => "the digest does not match the state",
            Self::InvalidState => "the state is not valid",
            Self::Future => "the snapshot includes records after its own",
        })
    }
}

impl SnapshotRecord {
    /// Takes a snapshot. `as_of` is the log's clock at a read that reached the end of the log.
    pub fn take(state: &ConfigState, as_of: WallTime) -> Self {
        Self {
            digest: state.digest(),
            as_of,
            state: state.clone(),
        }
    }

    /// Checks a snapshot that was read at `offset` of the log, or received from elsewhere if `offset`
    /// is `None`.
    ///
    /// # Errors
    /// Returns the reason why the snapshot cannot be used.
    pub fn verify(&self, offset: Option<LogOffset>) -> Result<(), SnapshotProblem> {
        if offset.is_some_and(|offset| self.state.next_offset() > offset) {
            return Err(SnapshotProblem::Future);
        }
        if self.state.digest() != self.digest {
            return Err(SnapshotProblem::Digest);
        }
        match self.state.is_valid() {
            true => Ok(()),
            false => Err(SnapshotProblem::InvalidState),
        }
    }
}
