//! Chooses the target of each attempt and accounts for slots and connections.
//!
//! The entry VMs of an availability zone partition the slots of its targets by position, so that
//! they do not choose the same slot on the basis of stale load reports. A VM uses its own share
//! first, then borrows slots that load reports show as free. It spills over to other zones when the
//! expected wait exceeds the additional network time.

mod install;
mod load;
mod pool;
mod search;
mod settings;
mod share;
mod state;
mod table;

use std::time::Duration;

use filbertpitch_types::prelude::*;
use filbertpitch_types::target::{AttemptOutcome, RefusalReason};
use smallvec::SmallVec;

use self::pool::CandidateTier;
use crate::entity::{KindIndex, TargetIndex};

pub use self::settings::PlacementSettings;
pub use self::share::{
    SharePartitioner, SharePosition, TargetShare, long_slots, remote_connections,
};
pub use self::table::TargetTable;

/// Whether an attempt is expected to hold its slot for long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SlotClass {
    /// May use any slot.
    Short,
    /// Must leave slots free for short attempts.
    Long,
}

impl SlotClass {
    fn own_tier(self) -> CandidateTier {
        match self {
            Self::Short => CandidateTier::OwnShort,
            Self::Long => CandidateTier::OwnLong,
        }
    }

    fn borrow_tier(self) -> CandidateTier {
        match self {
            Self::Short => CandidateTier::BorrowShort,
            Self::Long => CandidateTier::BorrowLong,
        }
    }

    fn spill_tier(self) -> CandidateTier {
        match self {
            Self::Short => CandidateTier::SpillShort,
            Self::Long => CandidateTier::SpillLong,
        }
    }
}

/// Which attempts may start on a target, according to its health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetGate {
    /// The target is healthy and takes any attempt.
    #[default]
    AllAttempts,
    /// The target is ejected.
    NoAttempts,
    /// One attempt of a repeatable task at a time, to test whether the target has recovered.
    ProbeOnly,
}

/// A request for a target for one attempt.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The kind of the task.
    pub kind: KindIndex,
    /// Whether it is expected to run long.
    pub class: SlotClass,
    /// The expected run time.
    pub expected: Duration,
    /// Targets that must not be chosen, for example because an earlier attempt failed there.
    pub exclude: SmallVec<[TargetIndex; 4]>,
    /// Whether the task may run more than once; only such tasks probe ejected targets.
    pub repeatable: bool,
    /// How long the task is expected to wait for a slot in its own zone.
    pub wait_estimate: Duration,
}

/// The result of a placement request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Start the attempt on this target.
    Start(TargetIndex),
    /// No slot is currently free.
    Wait,
    /// No target in the configuration can run this kind.
    Impossible,
}

/// The slots that this VM can use for a kind of task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CapacityView {
    /// The slots of this VM's shares on usable targets, without borrowed slots.
    pub slots: u32,
    /// This VM's running attempts on targets that can run the kind.
    pub running: u32,
}

/// Why an allocation is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllocationEnd {
    /// The attempt ran, with any result.
    Ran,
    /// The target refused the attempt because all slots were in use.
    RefusedBusy,
    /// The target refused the attempt because the target is leaving.
    RefusedLeaving,
    /// The attempt ended without information about the target's slots.
    Other,
}

impl From<&AttemptOutcome> for AllocationEnd {
    fn from(verdict: &AttemptOutcome) -> Self {
        match verdict {
            AttemptOutcome::Refused { reason } => match reason {
                RefusalReason::Busy => Self::RefusedBusy,
                RefusalReason::Leaving => Self::RefusedLeaving,
                RefusalReason::UnknownKind | RefusalReason::Fenced | RefusalReason::Expired => {
                    Self::Other
                }
            },
            _ => Self::Ran,
        }
    }
}

/// The share that an allocated slot comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllocationSource {
    /// This VM's own share.
    Own,
    /// The share of another entry VM of the zone.
    Borrowed,
    /// A target in another zone.
    Spilled,
    /// A probe of an ejected target.
    Probe,
}

/// The slot and connection of a target that one attempt uses, until
/// [`TargetTable::record_end`] releases them.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "the slot stays in use until the allocation is passed to `TargetTable::record_end`"]
pub struct SlotAllocation {
    target: TargetIndex,
    class: SlotClass,
    source: AllocationSource,
    expected: Duration,
    expected_end: TimePoint,
    throttled: bool,
}

impl SlotAllocation {
    /// The target that the slot belongs to.
    pub fn target(&self) -> TargetIndex {
        self.target
    }

    /// The share that the slot comes from.
    pub fn source(&self) -> AllocationSource {
        self.source
    }

    /// Whether the attempt is throttled and no longer occupies a slot.
    pub fn is_throttled(&self) -> bool {
        self.throttled
    }

    /// When the attempt is expected to end.
    pub fn expected_end(&self) -> TimePoint {
        self.expected_end
    }
}
