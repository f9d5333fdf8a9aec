//! Events of the follower of the ticket stream that its caller writes to the log of the VM.

use std::fmt;

use filbertpitch_types::prelude::*;

use crate::snapshot::{SnapshotProblem, StateDigest};
use crate::verdict::RecordVerdict;

/// An event that the caller should log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowerEvent {
    /// A record was applied.
    Verdict {
        /// The offset of the record.
        offset: LogOffset,
        /// The result of applying the record.
        verdict: RecordVerdict,
        /// Whether the VM is still catching up and has never had a complete state.
        replayed: bool,
    },
    /// Records that the follower needs have expired.
    Expired {
        /// The offset of the next record to apply.
        needed: LogOffset,
        /// The oldest offset that the log retains.
        first: LogOffset,
    },
    /// The state was replaced by a snapshot from the log.
    SnapshotInstalled {
        /// The next offset of the snapshot's state.
        next: LogOffset,
    },
    /// The log retains neither a usable snapshot nor the whole history.
    NoUsableSnapshot {
        /// The oldest offset that the log retains.
        first: LogOffset,
    },
    /// A snapshot on the log cannot be used.
    SnapshotUnusable {
        /// The offset of the snapshot record.
        offset: LogOffset,
        /// Why the snapshot cannot be used.
        problem: SnapshotProblem,
    },
    /// A snapshot differs from the state that this VM folded, so one of the two is wrong.
    SnapshotMismatch {
        /// The offset of the snapshot record.
        offset: LogOffset,
        /// The digest of this VM's state.
        ours: StateDigest,
        /// The digest that results from the snapshot.
        theirs: StateDigest,
    },
    /// The state was replaced by that of a peer.
    PeerStateAdopted {
        /// The next offset of that state.
        next: LogOffset,
    },
    /// The log ends before records that this VM has already applied.
    LogBehind {
        /// The end of the log.
        end: LogOffset,
        /// The next offset of this VM's state.
        next: LogOffset,
    },
}

impl fmt::Display for FollowerEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Verdict {
                offset, verdict, ..
            } => write!(f, "record {offset}: {verdict}"),
            Self::Expired { needed, first } => {
                write!(f, "records {needed} to {first} (exclusive) have expired")
            }
            Self::SnapshotInstalled { next } => write!(f, "snapshot for offset {next} installed"),
            Self::NoUsableSnapshot { first } => {
                write!(f, "no usable snapshot in the records from {first} on")
            }
            Self::SnapshotUnusable { offset, problem } => {
                write!(f, "snapshot at offset {offset} cannot be used: {problem}")
            }
            Self::SnapshotMismatch {
                offset,
                ours,
                theirs,
            } => write!(
                f,
                "snapshot at offset {offset} leads to digest {theirs}, but this VM has {ours}"
            ),
            Self::PeerStateAdopted { next } => {
                write!(f, "state of a peer for offset {next} adopted")
            }
            Self::LogBehind { end, next } => {
                write!(f, "the log ends at {end}, before the next offset {next}")
            }
        }
    }
}
