//! Messages between callers and entry VMs, as JSON.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::outcome::{JobOutcome, TaskOutcome};
use crate::prelude::*;
use crate::units::DurationText;

/// The maximum number of tasks in one job.
pub const JOB_TASK_LIMIT: usize = 1024;

/// One task of a job.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// The kind of work, which determines the targets that can run the task.
    pub kind: KindName,
    /// The run time that the caller expects; a prior until run times have been measured.
    #[serde_as(as = "DurationText")]
    pub declared: Duration,
    /// Whether the task is idempotent, so that it may run more than once.
    #[serde(default)]
    pub repeatable: bool,
    /// Passed to the target unchanged.
    #[serde(default)]
    pub input: Box<str>,
}

/// A job: a set of tasks that completes or fails as a whole.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRequest {
    /// Identifies the submission; the same on every resubmission.
    pub submission: SubmissionId,
    /// The team whose quota the job counts against.
    pub team: TeamName,
    /// The service of all tasks.
    pub service: ServiceName,
    /// How long the caller waits for the answer.
    #[serde_as(as = "DurationText")]
    pub deadline: Duration,
    /// The tasks, at least one.
    pub tasks: Vec<TaskSpec>,
}

/// The answer to one task of a job.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskAnswer {
    /// The index of the task within its job.
    pub task: TaskIndex,
    /// The outcome of the task. `Done` has an empty output when the job failed.
    #[serde(flatten)]
    pub outcome: TaskOutcome,
    /// The number of attempts that were started.
    pub attempts: u8,
    /// The target of the last attempt.
    pub target: Option<TargetName>,
    /// The run time that the target measured.
    #[serde_as(as = "DurationText")]
    pub run_time: Duration,
}

/// The answer to a job.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobAnswer {
    /// The submission of the job.
    pub submission: SubmissionId,
    /// The outcome of the job.
    pub outcome: JobOutcome,
    /// One answer per task, in order; empty when the job was refused as a whole.
    pub tasks: Vec<TaskAnswer>,
    /// Why the job as a whole did not run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub not_run: Option<NotRunReason>,
    /// Why the outcome of the job as a whole is unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unknown: Option<UnknownReason>,
    /// The delay after which a job that did not run may be submitted again.
    #[serde_as(as = "Option<DurationText>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<Duration>,
    /// A prefix for the caller's next submissions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<OwnerPrefix>,
}

/// The answer to a request for a prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixAnswer {
    /// The prefix to put in front of the caller's own key.
    pub prefix: OwnerPrefix,
}

/// The body of every answer with a status of 400 or above other than a job answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorAnswer {
    /// A stable error code for scripts, for example `bad_request` or `unreachable`.
    pub error: Box<str>,
    /// A description of the error, with the name of the field if the error concerns one.
    pub message: Box<str>,
}
