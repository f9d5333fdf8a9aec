//! Messages between callers and entry VMs, as JSON.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::outcome::{JobOutcome, TaskOutcome};
use crate::prelude::*;
use crate::units::DurationText;

/// The most tasks that one job may have.
pub const JOB_TASK_LIMIT: usize = 1024;

/// One task of a job.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// The kind of work, which decides the targets that can run it.
    pub kind: KindName,
    /// The run time that the caller expects; only a prior for the learned one.
    #[serde_as(as = "DurationText")]
    pub declared: Duration,
    /// Whether a second run does no harm.
    #[serde(default)]
    pub repeatable: bool,
    /// Passed to the target unchanged.
    #[serde(default)]
    pub input: Box<str>,
}

/// A job: tasks that complete or fail together.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRequest {
    /// The same on every resubmission.
    pub submission: SubmissionId,
    /// The team whose quota the job uses.
    pub team: TeamName,
    /// The service that all tasks belong to.
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
    /// The task.
    pub task: TaskIndex,
    /// What became of it. `Done` has an empty output when the job failed.
    #[serde(flatten)]
    pub outcome: TaskOutcome,
    /// How often it was started.
    pub attempts: u8,
    /// The target of the last start.
    pub target: Option<TargetName>,
    /// The run time that the target measured.
    #[serde_as(as = "DurationText")]
    pub run_time: Duration,
}

/// The answer to a job.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobAnswer {
    /// The submission that this answers.
    pub submission: SubmissionId,
    /// What became of the job.
    pub outcome: JobOutcome,
    /// One answer per task, in order; empty when the job was refused as a whole.
    pub tasks: Vec<TaskAnswer>,
    /// Why the job as a whole was not run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub not_run: Option<NotRunReason>,
    /// Why the outcome of the job as a whole is unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unknown: Option<UnknownReason>,
    /// When a job that was not run may be tried again.
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
    /// A stable word for scripts, for example `bad_request` or `unreachable`.
    pub error: Box<str>,
    /// What is wrong, naming the field where there is one.
    pub message: Box<str>,
}
