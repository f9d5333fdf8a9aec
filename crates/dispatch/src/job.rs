//! Live jobs and their tasks.
//!
//! A job is answered as a whole once each of its tasks has an outcome. It is complete if all tasks
//! are done; otherwise it has failed, was not run, or its outcome is unknown. A job that will fail
//! starts no more tasks.

use std::rc::Rc;
use std::time::Duration;

use filbertpitch_types::caller::{JobAnswer, JobRequest, TaskAnswer, TaskSpec};
use filbertpitch_types::prelude::*;
use smallvec::SmallVec;

use crate::attempt::{AbandonReason, AttemptPhase};
use crate::entity::{KindIndex, ServiceIndex, TargetIndex, TaskKey, TeamIndex};
use crate::estimate::RunPrediction;
use crate::placement::SlotAllocation;

/// Identifies a caller's request that is waiting for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerToken(pub u64);

/// The state of a task.
#[derive(Debug)]
pub enum TaskState {
    /// The task is in the queue.
    Queued,
    /// The task is in back-off before it is queued again.
    Delayed,
    /// An attempt of the task may be running.
    Running(AttemptPhase),
    /// The outcome of the task is final.
    Ended(TaskOutcome),
}

/// One task of a live job.
#[derive(Debug)]
pub struct LiveTask {
    /// The task as the caller specified it.
    pub spec: TaskSpec,
    /// The kind of work.
    pub kind: KindIndex,
    /// The key of the task in the queue.
    pub key: TaskKey,
    /// The state of the task.
    pub state: TaskState,
    /// The number of the next attempt.
    pub next_attempt: AttemptNumber,
    /// The number of attempts that may have started.
    pub starts: u8,
    /// The number of attempts that were refused since the last one that may have started.
    pub refusals: u8,
    /// The targets that the next placements avoid, oldest first.
    pub excluded: SmallVec<[TargetIndex; 4]>,
    /// The checkpoint to resume from, if an attempt saved one.
    pub resume_from: Option<Box<str>>,
    /// The target of the latest attempt.
    pub target: Option<TargetIndex>,
    /// The run time that the target measured.
    pub run_time: Duration,
    /// The outcome of the latest attempt that may have run. It is the task's outcome unless the task
    /// is started again.
    pub last_outcome: Option<TaskOutcome>,
    /// Whether the queue has charged the task to its team.
    pub charged: bool,
    /// The total time of the task's attempts so far.
    pub attempt_time: Duration,
    /// The slot that the running attempt holds.
    pub allocation: Option<SlotAllocation>,
    /// The time at which the task was first queued.
    pub first_queued_at: TimePoint,
    /// The time at which the task was last queued.
    pub last_queued_at: TimePoint,
    /// The run time that was predicted when the task was queued.
    pub prediction: RunPrediction,
}

impl LiveTask {
    /// The largest number of excluded targets.
    const EXCLUDED_LIMIT: usize = 4;

    /// Creates a task that is about to be queued.
    pub fn new(
        spec: TaskSpec,
        kind: KindIndex,
        key: TaskKey,
        prediction: RunPrediction,
        now: TimePoint,
    ) -> Self {
        Self {
            spec,
            kind,
            key,
            state: TaskState::Queued,
            next_attempt: AttemptNumber(0),
            starts: 0,
            refusals: 0,
            excluded: SmallVec::new(),
            resume_from: None,
            target: None,
            run_time: Duration::ZERO,
            last_outcome: None,
            charged: false,
            attempt_time: Duration::ZERO,
            allocation: None,
            first_queued_at: now,
            last_queued_at: now,
            prediction,
        }
    }

    /// Whether the outcome of the task is final.
    pub fn is_ended(&self) -> bool {
        matches!(self.state, TaskState::Ended(_))
    }

    /// The attempt that may be running, if any.
    pub fn attempt(&self) -> Option<&AttemptPhase> {
        match &self.state {
            TaskState::Running(phase) => Some(phase),
            _ => None,
        }
    }

    /// The attempt that may be running, if any, mutable.
    pub fn attempt_mut(&mut self) -> Option<&mut AttemptPhase> {
        match &mut self.state {
            TaskState::Running(phase) => Some(phase),
            _ => None,
        }
    }

    /// Excludes `target` from the next placements. Beyond the limit, the oldest exclusion is dropped.
    pub fn exclude(&mut self, target: TargetIndex) {
        if self.excluded.contains(&target) {
            return;
        }
        if self.excluded.len() == Self::EXCLUDED_LIMIT {
            self.excluded.remove(0);
        }
        self.excluded.push(target);
    }

    /// Sets the outcome of the task.
    ///
    /// # Panics
    /// If the task already has an outcome.
    pub fn end(&mut self, outcome: TaskOutcome) {
        assert!(!self.is_ended(), "the task already has an outcome");
        self.state = TaskState::Ended(outcome);
    }
}

/// Whether a job can still become complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobPhase {
    /// The job's tasks are started as slots become free.
    Running,
    /// The job will fail for this reason; no more of its tasks are started.
    Failing(AbandonReason),
}

/// A job that has no answer yet.
#[derive(Debug)]
pub struct LiveJob {
    /// The number of the job within this incarnation.
    pub number: JobNumber,
    /// The id of the submission that created the job.
    pub submission: SubmissionId,
    /// The team that submitted the job.
    pub team: TeamIndex,
    /// The service that runs the job.
    pub service: ServiceIndex,
    /// The name of the service, for start requests.
    pub service_name: ServiceName,
    /// The time at which the caller stops waiting.
    pub deadline: TimePoint,
    /// The time at which the job was accepted.
    pub accepted_at: TimePoint,
    /// The requests that are waiting for the answer.
    pub waiters: SmallVec<[CallerToken; 2]>,
    /// The tasks of the job, in the order of the request.
    pub tasks: Vec<LiveTask>,
    /// The number of tasks without an outcome.
    pub unfinished: usize,
    /// Whether the job can still become complete.
    pub phase: JobPhase,
    /// The W3C `traceparent` of the request, if the job is traced.
    pub traceparent: Option<Box<str>>,
}

/// The fields of a new job that are not in the request.
#[derive(Debug)]
pub struct NewJob {
    /// The number of the job within this incarnation.
    pub number: JobNumber,
    /// The team that submitted the job.
    pub team: TeamIndex,
    /// The service that runs the job.
    pub service: ServiceIndex,
    /// The tasks of the job, in the order of the request.
    pub tasks: Vec<LiveTask>,
    /// The W3C `traceparent` of the request, if the job is traced.
    pub traceparent: Option<Box<str>>,
}

impl LiveJob {
    /// Creates a job that is accepted at `now`.
    pub fn new(request: &JobRequest, job: NewJob, caller: CallerToken, now: TimePoint) -> Self {
        Self {
            number: job.number,
            submission: request.submission.clone(),
            team: job.team,
            service: job.service,
            service_name: request.service.clone(),
            deadline: now + request.deadline,
            accepted_at: now,
            waiters: SmallVec::from_slice(&[caller]),
            unfinished: job.tasks.len(),
            tasks: job.tasks,
            phase: JobPhase::Running,
            traceparent: job.traceparent,
        }
    }

    /// Whether the job will fail, so that no more of its tasks are started.
    pub fn is_failing(&self) -> bool {
        matches!(self.phase, JobPhase::Failing(_))
    }

    /// The latest time at which a task with this prediction is worth starting. Predictions may be far
    /// off, so at most half of the time from acceptance to the deadline is reserved for the run.
    pub fn latest_start(&self, prediction: &RunPrediction) -> TimePoint {
        let half = self.deadline.since(self.accepted_at) / 2;
        self.deadline - prediction.expected.min(half)
    }

    /// Sets the outcome of a task.
    ///
    /// # Panics
    /// If the task already has an outcome.
    pub fn end_task(&mut self, index: TaskIndex, outcome: TaskOutcome) {
        self.tasks[usize::from(index.0)].end(outcome);
        self.unfinished -= 1;
    }

    /// The answer to the submission.
    ///
    /// # Panics
    /// If a task has no outcome yet; a job is answered as a whole.
    pub fn answer<NameOf>(&self, target_name: NameOf) -> JobAnswer
    where
        NameOf: Fn(TargetIndex) -> TargetName,
    {
        assert_eq!(
            self.unfinished, 0,
            "a job is answered before all its tasks have outcomes"
        );
        let outcome = self.outcome();
        let complete = outcome == JobOutcome::Complete;
        let tasks = self.tasks.iter().enumerate().map(|(index, task)| {
            let TaskState::Ended(outcome) = &task.state else {
                unreachable!("every task has an outcome")
            };
            TaskAnswer {
                task: TaskIndex(u16::try_from(index).expect("jobs have fewer than 2^16 tasks")),
                outcome: reported_outcome(outcome, complete),
                attempts: task.starts,
                target: task.target.map(&target_name),
                run_time: task.run_time,
            }
        });
        JobAnswer {
            submission: self.submission.clone(),
            outcome,
            tasks: tasks.collect(),
            not_run: self
                .not_run_reason()
                .filter(|_| outcome == JobOutcome::NotRun),
            unknown: None,
            retry_after: None,
            prefix: None,
        }
    }

    /// Why the job was not run: the reason of the task that made the job fail, rather than of tasks
    /// that were not run because of that.
    fn not_run_reason(&self) -> Option<NotRunReason> {
        let reasons = self.tasks.iter().filter_map(|task| match &task.state {
            TaskState::Ended(TaskOutcome::NotRun { reason }) => Some(*reason),
            _ => None,
        });
        reasons.min_by_key(|reason| *reason == NotRunReason::JobFailed)
    }

    fn outcome(&self) -> JobOutcome {
        let outcomes = || {
            self.tasks.iter().map(|task| match &task.state {
                TaskState::Ended(outcome) => outcome,
                _ => unreachable!("every task has an outcome"),
            })
        };
        if outcomes().all(|outcome| matches!(outcome, TaskOutcome::Done { .. })) {
            JobOutcome::Complete
        } else if outcomes().any(|outcome| matches!(outcome, TaskOutcome::Unknown { .. })) {
            JobOutcome::Unknown
        } else if self.tasks.iter().all(|task| task.starts == 0) {
            JobOutcome::NotRun
        } else {
            JobOutcome::Failed
        }
    }
}

/// The outcome of a task as reported to callers. Outputs are reported only for complete jobs, so that
/// a caller cannot mistake the outputs of a failed job for its full result.
fn reported_outcome(outcome: &TaskOutcome, complete: bool) -> TaskOutcome {
    match outcome {
        TaskOutcome::Done { .. } if !complete => TaskOutcome::Done { output: "".into() },
        outcome => outcome.clone(),
    }
}

/// Creates the answer to a job that was rejected before any of its tasks was queued.
pub fn rejected_answer(
    submission: SubmissionId,
    reason: NotRunReason,
    retry_after: Option<Duration>,
) -> Rc<JobAnswer> {
    Rc::new(JobAnswer {
        submission,
        outcome: JobOutcome::NotRun,
        tasks: Vec::new(),
        not_run: Some(reason),
        unknown: None,
        retry_after,
        prefix: None,
    })
}

/// Creates the answer to a submission whose outcome is not known to any process.
pub fn unknown_answer(submission: SubmissionId, reason: UnknownReason) -> Rc<JobAnswer> {
    Rc::new(JobAnswer {
        submission,
        outcome: JobOutcome::Unknown,
        tasks: Vec::new(),
        not_run: None,
        unknown: Some(reason),
        retry_after: None,
        prefix: None,
    })
}
