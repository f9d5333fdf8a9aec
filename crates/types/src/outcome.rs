//! Outcomes of tasks and jobs. Each variant states what is known for certain about the execution.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Why a task did not run. A value of this type asserts that the task certainly never started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// No configured target can run this kind of work.
    NoCapableTarget,
    /// The service does not exist.
    UnknownService,
    /// The team does not exist.
    UnknownTeam,
    /// The deadline could not be met.
    DeadlineUnreachable,
    /// The team's queue or quota is full.
    QuotaExceeded,
    /// The VM's queue is full.
    QueueFull,
    /// The VM is shutting down.
    Draining,
    /// The caller cancelled before the start.
    Cancelled,
    /// Another task of the job failed first.
    JobFailed,
}

impl NotRunReason {
    /// All reasons, in the order of the variants.
    pub const ALL: [Self; 9] = [
        Self::NoCapableTarget,
        Self::UnknownService,
        Self::UnknownTeam,
        Self::DeadlineUnreachable,
        Self::QuotaExceeded,
        Self::QueueFull,
        Self::Draining,
        Self::Cancelled,
        Self::JobFailed,
    ];
}

/// Why a task failed after it had started.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    /// The target reported an error.
    TargetError(Box<str>),
    /// The caller cancelled after the start.
    Cancelled,
    /// Another task of the job failed, so this one was stopped.
    JobFailed,
    /// The deadline passed while the task was running.
    DeadlinePassed,
    /// The target stopped the task because its lease expired.
    #[serde(rename = "lease_lapsed")]
    LeaseExpired,
    /// The entry VM shut down before the task ended.
    VmStopping,
}

/// Why it is unknown whether a task ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// The target was unreachable after the start request had been sent.
    TargetUnreachable,
    /// The process that owned the submission no longer exists.
    OwnerGone,
    /// The outcome is no longer stored.
    Expired,
}

/// The outcome of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum TaskOutcome {
    /// The task ran and returned this output.
    Done {
        /// What the target returned.
        output: Box<str>,
    },
    /// The task started and did not complete.
    Failed {
        /// Why.
        reason: FailureReason,
    },
    /// The task certainly never started.
    NotRun {
        /// Why.
        reason: NotRunReason,
    },
    /// The task may or may not have run.
    Unknown {
        /// Why.
        reason: UnknownReason,
    },
}

/// The outcome of a job: complete or failed, never partial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobOutcome {
    /// Every task is done, and the answer contains their outputs.
    Complete,
    /// At least one task ran and the job did not complete; for each task it is known whether it ran.
    Failed,
    /// No task of the job ever started.
    NotRun,
    /// The job failed, and for at least one task it is unknown whether it ran.
    Unknown,
}

macro_rules! display_as_serialized {
    ($($name:ident),+) => {$(
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.serialize(f)
            }
        }
    )+};
}

display_as_serialized!(NotRunReason, UnknownReason, JobOutcome);

impl fmt::Display for FailureReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TargetError(text) => write!(f, "target_error: {text}"),
            Self::Cancelled => f.write_str("cancelled"),
            Self::JobFailed => f.write_str("job_failed"),
            Self::DeadlinePassed => f.write_str("deadline_passed"),
            Self::LeaseExpired => f.write_str("lease_lapsed"),
            Self::VmStopping => f.write_str("vm_stopping"),
        }
    }
}
