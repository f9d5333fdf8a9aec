//! Chooses the target of each attempt and keeps the books on slots and connections.
//!
//! The entry VMs of a zone divide its targets' slots by position, so they do not collide on stale
//! load reports. A VM uses its own share first, borrows slots that reports show to be free, and
//! spills over to other zones when waiting takes longer than the extra network time.

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

use self::pool::OpenKind;
use crate::entity::{KindIndex, TargetIndex};

pub use self::settings::PlacementSettings;
pub use self::share::{ShareDealer, SharePosition, TargetShare, long_slots, remote_connections};
pub use self::table::TargetTable;

/// Whether an attempt is expected to hold its slot for long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SlotClass {
    /// It may use any slot.
    Short,
    /// It must leave slots free for short attempts.
    Long,
}

impl SlotClass {
    fn own(self) -> OpenKind {
        match self {
            Self::Short => OpenKind::OwnShort,
            Self::Long => OpenKind::OwnLong,
        }
    }

    fn borrow(self) -> OpenKind {
        match self {
            Self::Short => OpenKind::BorrowShort,
            Self::Long => OpenKind::BorrowLong,
        }
    }

    fn spill(self) -> OpenKind {
        match self {
            Self::Short => OpenKind::SpillShort,
            Self::Long => OpenKind::SpillLong,
        }
    }
}

/// Which work a target takes, by its health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetGate {
    /// Any.
    #[default]
    Open,
    /// None.
    Closed,
    /// One repeatable task at a time.
    Probe,
}

/// Asks for a target for one attempt.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The kind of work.
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

/// Where an attempt goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Start it on this target.
    Start(TargetIndex),
    /// No slot is free at present.
    Wait,
    /// No target in the configuration can run this kind.
    Impossible,
}

/// The slots that this VM can use for a kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CapacityView {
    /// The slots of this VM's shares on targets that take work; borrowed ones are not included.
    pub slots: u32,
    /// This VM's attempts that run on targets that can run the kind.
    pub running: u32,
}

/// How an attempt's use of its target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldEnd {
    /// It ran, for whatever result.
    Ran,
    /// The target refused it because all slots were in use.
    RefusedBusy,
    /// The target refused it because it is leaving.
    RefusedLeaving,
    /// It ended without a sign about the target's slots.
    Other,
}

impl From<&AttemptOutcome> for HoldEnd {
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

/// What entitles an attempt to its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldSource {
    /// The VM's own share.
    Own,
    /// A slot of another VM of the zone.
    Borrowed,
    /// A slot in another zone.
    Spilled,
    /// A probe of an ejected target.
    Probe,
}

/// One attempt's use of a target. [`TargetTable::ended`] takes it back.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "the slot stays in use until the hold is passed to `TargetTable::ended`"]
pub struct SlotHold {
    target: TargetIndex,
    class: SlotClass,
    source: HoldSource,
    expected: Duration,
    expected_end: TimePoint,
    parked: bool,
}

impl SlotHold {
    /// The target.
    pub fn target(&self) -> TargetIndex {
        self.target
    }

    /// What entitles the attempt to its slot.
    pub fn source(&self) -> HoldSource {
        self.source
    }

    /// Whether the attempt is throttled and uses no slot.
    pub fn is_parked(&self) -> bool {
        self.parked
    }

    /// When the attempt is expected to end.
    pub fn expected_end(&self) -> TimePoint {
        self.expected_end
    }
}
