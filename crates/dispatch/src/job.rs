//! Live jobs and their tasks.
//!
//! A job is the unit of the answer: it completes when every task is done, and otherwise fails as a
//! whole once every task has an outcome. A failing job starts nothing more.

use std::rc::Rc;
use std::time::Duration;

use filbertpitch_types::caller::{JobAnswer, JobRequest, TaskAnswer, TaskSpec};
use filbertpitch_types::prelude::*;
use smallvec::SmallVec;

use crate::attempt::{AbandonReason, AttemptPhase};
use crate::entity::{KindIndex, ServiceIndex, TargetIndex, TaskKey, TeamIndex};
use crate::estimate::RunPrediction;
use crate::placement::SlotAllocation;

/// Identifies a caller's request that waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerToken(pub u64);

/// Where a task is in its life.
#[derive(Debug)]
pub enum TaskState {
    /// It waits in the queue.
    Queued,
    /// It waits for a moment before it is queued again.
    Delayed,
    /// One attempt may be running.
    Running(AttemptPhase),
    /// Its outcome is decided.
    Ended(TaskOutcome),
}

/// One task of a live job.
#[derive(Debug)]
pub struct LiveTask {
    /// What the caller asked for.
    pub spec: TaskSpec,
    /// The kind of work.
    pub kind: KindIndex,
    /// The key under which it is queued.
    pub key: TaskKey,
    /// Where it is in its life.
    pub state: TaskState,
    /// The number of the next attempt.
    pub next_attempt: AttemptNumber,
    /// How many attempts may have started.
    pub starts: u8,
    /// How many attempts were refused since the last start.
    pub refusals: u8,
    /// Targets not to try again soon.
    pub excluded: SmallVec<[TargetIndex; 4]>,
    /// The checkpoint to resume from.
    pub resume_from: Option<Box<str>>,
    /// The target of the last attempt.
    pub target: Option<TargetIndex>,
    /// The run time that the target measured.
    pub run_time: Duration,
    /// The outcome if the task is not started again, when an earlier attempt ran.
    pub last_outcome: Option<TaskOutcome>,
    /// Whether it was taken out of the queue and charged to its team.
    pub charged: bool,
    /// The time that its attempts took so far.
    pub attempt_time: Duration,
    /// The slot that the running attempt holds.
    pub hold: Option<SlotAllocation>,
    /// When it was queued first.
    pub first_queued_at: TimePoint,
    /// When it last entered the queue.
    pub last_queued_at: TimePoint,
    /// The run time that was expected when it was queued.
    pub prediction: RunPrediction,
}

impl LiveTask {
    /// How many excluded targets are remembered.
    const EXCLUDED_LIMIT: usize = 4;

    /// A task that is about to be queued.
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
            hold: None,
            first_queued_at: now,
            last_queued_at: now,
            prediction,
        }
    }

    /// Whether its outcome is decided.
    pub fn is_ended(&self) -> bool {
        matches!(self.state, TaskState::Ended(_))
    }

    /// The attempt that may be running.
    pub fn attempt(&self) -> Option<&AttemptPhase> {
        match &self.state {
            TaskState::Running(phase) => Some(phase),
            _ => None,
        }
    }

    /// The attempt that may be running, for changes.
    pub fn attempt_mut(&mut self) -> Option<&mut AttemptPhase> {
        match &mut self.state {
            TaskState::Running(phase) => Some(phase),
            _ => None,
        }
    }

    /// Avoids `target` for the next placements; the oldest exclusion is dropped when too many.
    pub fn exclude(&mut self, target: TargetIndex) {
        if self.excluded.contains(&target) {
            return;
        }
        if self.excluded.len() == Self::EXCLUDED_LIMIT {
            self.excluded.remove(0);
        }
        self.excluded.push(target);
    }

    /// Decides the outcome.
    ///
    /// # Panics
    /// When the outcome was decided before; a task has one outcome.
    pub fn end(&mut self, outcome: TaskOutcome) {
        assert!(!self.is_ended(), "a task ended twice");
        self.state = TaskState::Ended(outcome);
    }
}

/// Whether a job may still complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobPhase {
    /// Its tasks are started as slots allow.
    Running,
    /// It will fail; nothing more is started.
    Failing(AbandonReason),
}

/// A job that has no answer yet.
#[derive(Debug)]
pub struct LiveJob {
    /// Its number within this incarnation.
    pub number: JobNumber,
    /// The submission that it answers.
    pub submission: SubmissionId,
    /// The team.
    pub team: TeamIndex,
    /// The service.
    pub service: ServiceIndex,
    /// The names for start requests.
    pub service_name: ServiceName,
    /// When the caller stops waiting.
    pub deadline: TimePoint,
    /// When it was accepted.
    pub accepted_at: TimePoint,
    /// The requests that wait for the answer.
    pub waiters: SmallVec<[CallerToken; 2]>,
    /// Its tasks.
    pub tasks: Vec<LiveTask>,
    /// How many tasks have no outcome yet.
    pub unfinished: usize,
    /// Whether it may still complete.
    pub phase: JobPhase,
    /// The W3C `traceparent` of the request, when it is traced.
    pub traceparent: Option<Box<str>>,
}

/// The parts of a new job that are looked up before it is accepted.
#[derive(Debug)]
pub struct NewJob {
    /// Its number.
    pub number: JobNumber,
    /// The team.
    pub team: TeamIndex,
    /// The service.
    pub service: ServiceIndex,
    /// Its tasks.
    pub tasks: Vec<LiveTask>,
    /// The W3C `traceparent` of the request, when it is traced.
    pub traceparent: Option<Box<str>>,
}

impl LiveJob {
    /// A job accepted at `now`.
    pub fn new(request: &JobRequest, parts: NewJob, caller: CallerToken, now: TimePoint) -> Self {
        Self {
            number: parts.number,
            submission: request.submission.clone(),
            team: parts.team,
            service: parts.service,
            service_name: request.service.clone(),
            deadline: now + request.deadline,
            accepted_at: now,
            waiters: SmallVec::from_slice(&[caller]),
            unfinished: parts.tasks.len(),
            tasks: parts.tasks,
            phase: JobPhase::Running,
            traceparent: parts.traceparent,
        }
    }

    /// Whether nothing more is started.
    pub fn is_failing(&self) -> bool {
        matches!(self.phase, JobPhase::Failing(_))
    }

    /// When a task must start at the latest. Predictions may be far off, so at most half of the
    /// job's time is reserved for the run.
    pub fn latest_start(&self, prediction: &RunPrediction) -> TimePoint {
        let half = self.deadline.since(self.accepted_at) / 2;
        self.deadline - prediction.expected.min(half)
    }

    /// Decides the outcome of a task.
    pub fn end_task(&mut self, index: TaskIndex, outcome: TaskOutcome) {
        self.tasks[usize::from(index.0)].end(outcome);
        self.unfinished -= 1;
    }

    /// The answer, once every task has an outcome.
    ///
    /// # Panics
    /// When a task has no outcome; a job is answered whole.
    pub fn answer<NameOf>(&self, target_name: NameOf) -> JobAnswer
    where
        NameOf: Fn(TargetIndex) -> TargetName,
    {
        assert_eq!(self.unfinished, 0, "answered a job before its tasks ended");
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

    /// Why the job was not run: the reason of the task that made it fail.
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

/// Outputs are only part of a complete answer, so that no caller can mistake a failed job's
/// outputs for a whole result.
fn reported_outcome(outcome: &TaskOutcome, complete: bool) -> TaskOutcome {
    match outcome {
        TaskOutcome::Done { .. } if !complete => TaskOutcome::Done { output: "".into() },
        outcome => outcome.clone(),
    }
}

/// The answer to a job that was rejected before any of its tasks was queued.
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

/// The answer to a submission whose outcome nobody knows.
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
