//! Jobs whose tasks can be found again in the start ledgers.

use std::time::Duration;

use filbertpitch_types::caller::{JobRequest, TaskSpec};
use filbertpitch_types::prelude::*;
use filbertpitch_types::units::DurationText;

/// The tasks of one kind in a job.
#[derive(Clone, Copy, Debug)]
pub struct TaskDraft {
    /// How many.
    pub count: usize,
    /// How long each really runs.
    pub run: Duration,
    /// How long each is said to run.
    pub declared: Duration,
    /// Whether a second run does no harm.
    pub repeatable: bool,
}

impl TaskDraft {
    /// Tasks that may be repeated.
    pub fn repeatable(count: usize, run_ms: u64) -> Self {
        let run = Duration::from_millis(run_ms);
        Self {
            count,
            run,
            declared: run.max(Duration::from_millis(1)),
            repeatable: true,
        }
    }

    /// Tasks that may run once at most.
    pub fn once(count: usize, run_ms: u64) -> Self {
        Self {
            repeatable: false,
            ..Self::repeatable(count, run_ms)
        }
    }

    /// Says a wrong run time.
    pub fn declared(self, declared_ms: u64) -> Self {
        Self {
            declared: Duration::from_millis(declared_ms),
            ..self
        }
    }

    fn kind(&self) -> KindName {
        let kind = match self.repeatable {
            true => "stock-check",
            false => "dispatch-confirmation",
        };
        kind.parse().unwrap()
    }
}

/// A job to be submitted.
#[derive(Clone, Debug)]
pub struct JobDraft {
    deadline: Duration,
    tasks: Vec<TaskDraft>,
}

impl JobDraft {
    /// A job of these tasks with a deadline of 10 s.
    pub fn new(tasks: &[TaskDraft]) -> Self {
        Self {
            deadline: Duration::from_secs(10),
            tasks: tasks.to_vec(),
        }
    }

    /// Changes the deadline.
    pub fn deadline(self, seconds: u64) -> Self {
        Self {
            deadline: Duration::from_secs(seconds),
            ..self
        }
    }

    /// The job under a new submission of the owner `prefix`.
    pub fn owned_by(&self, prefix: &OwnerPrefix) -> JobRequest {
        let key = format!("{:016x}", rand::random::<u64>());
        self.submitted_as(SubmissionId::Prefixed {
            prefix: prefix.clone(),
            key: key.into(),
        })
    }

    /// The job under a submission.
    pub fn submitted_as(&self, submission: SubmissionId) -> JobRequest {
        let drafts = self.tasks.iter();
        let drafts = drafts.flat_map(|draft| std::iter::repeat_n(draft, draft.count));
        let tasks = drafts.enumerate().map(|(index, draft)| TaskSpec {
            kind: draft.kind(),
            declared: draft.declared,
            repeatable: draft.repeatable,
            input: task_input(&submission, index, draft),
        });
        let tasks = tasks.collect();
        JobRequest {
            submission,
            team: "mill-east".parse().unwrap(),
            service: "order-desk".parse().unwrap(),
            deadline: self.deadline,
            tasks,
        }
    }
}

/// The key identifies the task in the ledgers, whichever process starts it.
fn task_input(submission: &SubmissionId, index: usize, draft: &TaskDraft) -> Box<str> {
    let run = DurationText(draft.run);
    let once = if draft.repeatable { "" } else { " once" };
    format!("run={run} output=o{index} key={submission}#{index}{once}").into()
}

/// The same job with less time, as a client resubmits it.
pub fn with_deadline(job: &JobRequest, seconds: u64) -> JobRequest {
    JobRequest {
        deadline: Duration::from_secs(seconds),
        ..job.clone()
    }
}
