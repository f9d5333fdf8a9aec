//! Messages between entry VMs and targets, as JSON.
//!
//! A target attaches a repeated start request to the attempt that it already runs, and never starts
//! an attempt that was fenced or whose lease has expired. At-most-once execution depends on this.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::prelude::*;
use crate::units::DurationText;

/// Asks a target to run one attempt and to respond when the attempt has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRequest {
    /// The identifier of the attempt.
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

/// Why a target refused a start request. The attempt certainly did not start and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// All slots are in use.
    Busy,
    /// The target is shutting down.
    Leaving,
    /// The target cannot run this kind of work.
    UnknownKind,
    /// A stop request arrived before the start request.
    Fenced,
    /// The lease had expired when the start request arrived.
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

/// The outcome of an attempt.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// The attempt completed.
    Done {
        /// The result of the task.
        output: Box<str>,
        /// The run time.
        #[serde_as(as = "DurationText")]
        run_time: Duration,
    },
    /// The attempt ran and reported an error.
    Failed {
        /// The reported error.
        reason: Box<str>,
        /// The run time.
        #[serde_as(as = "DurationText")]
        run_time: Duration,
    },
    /// The attempt did not start and never will.
    Refused {
        /// Why.
        reason: RefusalReason,
    },
    /// The attempt was stopped on request after it had started.
    Stopped,
    /// The attempt was stopped because its lease expired.
    #[serde(rename = "lapsed")]
    LeaseExpired,
    /// The attempt ended with a checkpoint from which another attempt may resume.
    Checkpointed {
        /// Identifies the checkpoint.
        token: Box<str>,
    },
}

/// The load of a target, which is part of every response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The total number of slots.
    pub slots: u16,
    /// The number of slots in use.
    pub running: u16,
    /// The number of throttled attempts, which use no slot.
    #[serde(rename = "parked")]
    pub throttled: u16,
    /// Whether the target is shutting down.
    pub leaving: bool,
    /// Identifies an instance of the target process. A changed value means that the target has lost
    /// its records of earlier attempts, so its reports about them are not evidence.
    pub boot: u64,
}

/// The answer to a [`StartRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartAnswer {
    /// The attempt that this answers.
    pub attempt: AttemptId,
    /// The outcome of the attempt.
    #[serde(flatten)]
    pub verdict: AttemptOutcome,
    /// The load of the target after the attempt ended.
    pub load: LoadReport,
}

/// Asks for the state of attempts of one holder on one target and renews their leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckRequest {
    /// The incarnation that holds the leases.
    pub holder: IncarnationId,
    /// The new end of the leases of the running attempts.
    pub lease_until: WallTime,
    /// The attempts whose state is requested.
    pub attempts: Vec<AttemptId>,
}

/// The state of an attempt on a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum AttemptState {
    /// The attempt is running.
    Running,
    /// The target has not seen the attempt; a start request may still be in transit.
    Unknown,
    /// The attempt has ended.
    Ended(AttemptOutcome),
}

/// The state of one attempt within a [`StateAnswer`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptReport {
    /// The identifier of the attempt.
    pub attempt: AttemptId,
    /// The state of the attempt.
    #[serde(flatten)]
    pub state: AttemptState,
}

/// The answer to a check, stop, throttle or checkpoint request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateAnswer {
    /// One report per attempt asked about.
    pub reports: Vec<AttemptReport>,
    /// The load of the target.
    pub load: LoadReport,
}

/// Lists the attempts to stop, throttle or checkpoint.
///
/// A stop also fences attempts that the target has not seen, so that they can never start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptsRequest {
    /// The attempts.
    pub attempts: Vec<AttemptId>,
}
