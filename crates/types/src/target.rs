//! Messages between entry VMs and targets, as JSON.
//!
//! A target joins a repeated start of an attempt to the first one, and never starts an attempt
//! that was fenced or whose lease has run out. The at-most-once rules depend on this.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::prelude::*;
use crate::units::DurationText;

/// Asks a target to run one attempt and to answer when it has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// The service.
    pub service: ServiceName,
    /// The kind of work.
    pub kind: KindName,
    /// The caller's input.
    pub input: Box<str>,
    /// The target neither starts nor continues the attempt after this time.
    pub lease_until: WallTime,
    /// The checkpoint to resume from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume_from: Option<Box<str>>,
}

/// Why a target refused a start. The attempt certainly did not start and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// All slots are taken.
    Busy,
    /// The target is leaving.
    Leaving,
    /// The target cannot run this kind of work.
    UnknownKind,
    /// A stop arrived before the start.
    Fenced,
    /// The lease had run out when the start arrived.
    Expired,
}

impl RefusalReason {
    /// All reasons, in the order of the variants.
    pub const ALL: [Self; 5] = [
        Self::Busy,
        Self::Leaving,
        Self::UnknownKind,
        Self::Fenced,
        Self::Expired,
    ];
}

/// How an attempt ended.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// It ran to its end.
    Done {
        /// The result.
        output: Box<str>,
        /// How long it ran.
        #[serde_as(as = "DurationText")]
        run_time: Duration,
    },
    /// It ran and reported an error.
    Failed {
        /// The error.
        reason: Box<str>,
        /// How long it ran.
        #[serde_as(as = "DurationText")]
        run_time: Duration,
    },
    /// It did not start and never will.
    Refused {
        /// Why.
        reason: RefusalReason,
    },
    /// It was stopped on request after it had started.
    Stopped,
    /// It was ended because its lease ran out.
    #[serde(rename = "lapsed")]
    LeaseExpired,
    /// It ended with a state from which another attempt may resume.
    Checkpointed {
        /// Names the saved state.
        token: Box<str>,
    },
}

/// What a target reports about itself in every answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Slots in all.
    pub slots: u16,
    /// Slots in use.
    pub running: u16,
    /// Throttled attempts, which use no slot.
    #[serde(rename = "parked")]
    pub throttled: u16,
    /// Whether the target is leaving.
    pub leaving: bool,
    /// Identifies one run of the target process. A changed value means that the target lost its
    /// memory of earlier attempts, so its word on them proves nothing.
    pub boot: u64,
}

/// The answer to a [`StartRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartAnswer {
    /// The attempt that this answers.
    pub attempt: AttemptId,
    /// How it ended.
    #[serde(flatten)]
    pub verdict: AttemptOutcome,
    /// The target's load after it ended.
    pub load: LoadReport,
}

/// Asks about all attempts of one holder on one target and renews their leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckRequest {
    /// The incarnation that holds the leases.
    pub holder: IncarnationId,
    /// The new end of the leases of running attempts.
    pub lease_until: WallTime,
    /// The attempts asked about.
    pub attempts: Vec<AttemptId>,
}

/// What a target knows about an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum AttemptState {
    /// It is running.
    Running,
    /// The target has not seen it; a start may still be on its way.
    Unknown,
    /// It has ended.
    Ended(AttemptOutcome),
}

/// The state of one attempt within a [`StateAnswer`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptReport {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its state.
    #[serde(flatten)]
    pub state: AttemptState,
}

/// The answer to a check, stop, throttle or checkpoint request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateAnswer {
    /// One report per attempt asked about.
    pub reports: Vec<AttemptReport>,
    /// The target's load.
    pub load: LoadReport,
}

/// Names the attempts to stop, throttle or checkpoint.
///
/// A stop fences attempts that the target has not seen, so that they can never start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptsRequest {
    /// The attempts.
    pub attempts: Vec<AttemptId>,
}
