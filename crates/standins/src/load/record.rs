//! What the load generator remembers about each job.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The result of a job as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobResult {
    /// Complete and correct.
    Complete,
    /// At least one task ran and the job did not complete.
    Failed,
    /// No task of the job started.
    NotRun,
    /// It is unknown whether a task ran.
    Unknown,
    /// No answer arrived, or only errors of the transport.
    NoAnswer,
    /// The answer belongs to another submission, or an output is not that of the task.
    Wrong,
    /// The answer is complete without all outputs, or not complete with some.
    Partial,
    /// The load generator itself had too many jobs in flight and did not send the job.
    NotSent,
}

/// One job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobRecord {
    /// When it was scheduled, from the start of the schedule.
    pub at: Duration,
    /// From the scheduled arrival to the answer.
    pub latency: Duration,
    /// The longest planned run time of its tasks.
    pub ideal: Duration,
    /// The longest run time of its tasks as the targets measured it; zero if unknown.
    pub measured: Duration,
    /// The planned run time of all tasks.
    pub work: Duration,
    /// The tasks.
    pub tasks: u16,
    /// The team, by position in the profile.
    pub team: usize,
    /// Whether it contains long work.
    pub long: bool,
    /// The result.
    pub result: JobResult,
    /// The answer arrived after the job's deadline.
    pub late: bool,
    /// How often it was submitted.
    pub submissions: u8,
}

/// What the answers claim about the tasks, to be compared with the start ledgers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskClaims {
    /// The digests of the keys of tasks that are reported as done.
    pub done: Vec<u64>,
    /// The digests of the keys of tasks that are reported as not run.
    pub not_run: Vec<u64>,
}

impl TaskClaims {
    /// Adds the claims of another thread.
    pub fn extend(&mut self, other: Self) {
        self.done.extend(other.done);
        self.not_run.extend(other.not_run);
    }
}
