//! The life cycle of one start of a task.
//!
//! The typestate decides what may be concluded: only an attempt in a state that proves it did not
//! start, or that it has ended, gives the task back for another start.

use std::marker::PhantomData;
use std::time::Duration;

use filbertpitch_types::prelude::*;
use filbertpitch_types::target::{AttemptOutcome, RefusalReason};

use crate::entity::TargetIndex;

/// The request was written, or may have been, and its connection is believed to work.
#[derive(Clone, Copy, Debug)]
pub struct Sent;

/// The connection failed or is unresponsive; only checks can tell what became of the attempt.
#[derive(Clone, Copy, Debug)]
pub struct Uncertain;

/// The facts about one start of a task, whatever its state.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// Its id.
    pub id: AttemptId,
    /// The target it was sent to.
    pub target: TargetIndex,
    /// When it was sent.
    pub sent_at: TimePoint,
    /// The run time that was expected.
    pub predicted: Duration,
    /// The end of the longest lease that the target may hold.
    pub lease_until: WallTime,
    /// The target process that was known before the start, if any.
    pub boot: Option<u64>,
    /// Whether a stop was requested, and why.
    pub stop: Option<StopCause>,
    /// Whether the target was asked to run it in the background.
    pub throttled: bool,
}

/// One start of a task in state `State`.
#[derive(Clone, Debug)]
pub struct TaskAttempt<State> {
    record: AttemptRecord,
    state: PhantomData<State>,
}

/// Why a running attempt is to be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopCause {
    /// Its outcome is no longer needed; the task fails with this reason.
    Abandon(AbandonReason),
    /// The target did not know it; fencing makes that certain.
    Fence,
}

/// Why a task is given up while it may be running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbandonReason {
    /// The caller cancelled the job.
    Cancelled,
    /// Another task of the job failed.
    JobFailed,
    /// The deadline of the job passed.
    DeadlinePassed,
    /// The time for draining a stopping VM passed.
    VmStopping,
}

impl AbandonReason {
    /// The outcome of a task that was stopped for this reason after it had started.
    pub fn started_outcome(self) -> TaskOutcome {
        let reason = match self {
            Self::Cancelled => FailureReason::Cancelled,
            Self::JobFailed => FailureReason::JobFailed,
            Self::DeadlinePassed => FailureReason::DeadlinePassed,
            Self::VmStopping => FailureReason::VmStopping,
        };
        TaskOutcome::Failed { reason }
    }

    /// The outcome of a task that was given up before it started.
    pub fn not_started_outcome(self) -> TaskOutcome {
        let reason = match self {
            Self::Cancelled => NotRunReason::Cancelled,
            Self::JobFailed => NotRunReason::JobFailed,
            Self::DeadlinePassed => NotRunReason::DeadlineUnreachable,
            Self::VmStopping => NotRunReason::Draining,
        };
        TaskOutcome::NotRun { reason }
    }
}

/// Which request an answer about an attempt belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerSource {
    /// The start request itself.
    Start,
    /// A later check, stop, throttle or checkpoint request.
    State,
}

/// What is certain once an attempt is over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It ran to its end.
    Done {
        /// The result.
        output: Box<str>,
        /// How long it ran.
        run_time: Duration,
    },
    /// It started, reported an error and is over.
    Failed {
        /// The error.
        reason: Box<str>,
        /// How long it ran.
        run_time: Duration,
    },
    /// It certainly never started and never will.
    NotStarted {
        /// Why the target refused it; `None` when nothing was sent.
        refusal: Option<RefusalReason>,
    },
    /// It was stopped after it had started.
    Stopped,
    /// It ended with a state to resume from.
    Checkpointed {
        /// Names the saved state.
        token: Box<str>,
    },
    /// It started and the target ended it because its lease ran out.
    Lapsed,
    /// It may have run, even to its end, and it is certainly over: its lease lapsed while the
    /// target was unreachable, or the target restarted.
    Vanished,
}

/// An attempt in whichever state it is.
#[derive(Clone, Debug)]
pub enum AttemptPhase {
    /// See [`Sent`].
    Sent(TaskAttempt<Sent>),
    /// See [`Uncertain`].
    Uncertain(TaskAttempt<Uncertain>),
}

impl AttemptEnd {
    /// A stable word for traces.
    pub fn word(&self) -> &'static str {
        match self {
            Self::Done { .. } => "done",
            Self::Failed { .. } => "failed",
            Self::NotStarted { .. } => "not_started",
            Self::Stopped => "stopped",
            Self::Checkpointed { .. } => "checkpointed",
            Self::Lapsed => "lapsed",
            Self::Vanished => "vanished",
        }
    }
}

impl AttemptRecord {
    /// Concludes from an answer that names this attempt.
    ///
    /// `boot` is the target process that answered, and `source` says to which request. A fence by
    /// a restarted target only shows that the new process did not start the attempt; the old one
    /// may have.
    pub fn conclude(&self, verdict: AttemptOutcome, boot: u64, source: AnswerSource) -> AttemptEnd {
        match verdict {
            AttemptOutcome::Done { output, run_time } => AttemptEnd::Done { output, run_time },
            AttemptOutcome::Failed { reason, run_time } => AttemptEnd::Failed { reason, run_time },
            AttemptOutcome::Stopped => AttemptEnd::Stopped,
            AttemptOutcome::LeaseExpired => AttemptEnd::Lapsed,
            AttemptOutcome::Checkpointed { token } => AttemptEnd::Checkpointed { token },
            AttemptOutcome::Refused { reason } => {
                let certain = source == AnswerSource::Start
                    || reason != RefusalReason::Fenced
                    || self.boot == Some(boot);
                if certain {
                    let refusal = Some(reason);
                    AttemptEnd::NotStarted { refusal }
                } else {
                    AttemptEnd::Vanished
                }
            }
        }
    }

    /// Whether the lease has certainly lapsed at the target, allowing `margin` for clocks.
    pub fn lease_lapsed(&self, wall: WallTime, margin: Duration) -> bool {
        wall > self.lease_until + margin
    }

    /// Extends the lease that the target may hold; it never becomes shorter.
    pub fn extend_lease(&mut self, until: WallTime) {
        self.lease_until = until.max(self.lease_until);
    }

    /// Records that a stop was requested. Giving the task up takes precedence over fencing.
    pub fn request_stop(&mut self, cause: StopCause) {
        if !matches!(self.stop, Some(StopCause::Abandon(_))) {
            self.stop = Some(cause);
        }
    }
}

impl TaskAttempt<Sent> {
    /// An attempt whose request is about to be written.
    pub fn sent(record: AttemptRecord) -> Self {
        Self {
            record,
            state: PhantomData,
        }
    }

    /// The connection failed after the request may have been written.
    pub fn lose_connection(self) -> TaskAttempt<Uncertain> {
        TaskAttempt {
            record: self.record,
            state: PhantomData,
        }
    }

    /// Nothing was written, so the attempt certainly did not start.
    pub fn not_sent(self) -> AttemptEnd {
        AttemptEnd::NotStarted { refusal: None }
    }
}

impl AttemptPhase {
    /// The facts about the attempt.
    pub fn record(&self) -> &AttemptRecord {
        match self {
            Self::Sent(attempt) => &attempt.record,
            Self::Uncertain(attempt) => &attempt.record,
        }
    }

    /// The facts about the attempt, for changes.
    pub fn record_mut(&mut self) -> &mut AttemptRecord {
        match self {
            Self::Sent(attempt) => &mut attempt.record,
            Self::Uncertain(attempt) => &mut attempt.record,
        }
    }

    /// Whether only checks can tell what became of it.
    pub fn is_uncertain(&self) -> bool {
        matches!(self, Self::Uncertain(_))
    }
}
