//! The life cycle of an attempt: one start of a task on a target.
//!
//! The typestate limits what may be concluded: a task can be started again only when its attempt
//! is proven not to have started or to be over.

use std::marker::PhantomData;
use std::time::Duration;

use filbertpitch_types::prelude::*;
use filbertpitch_types::target::{AttemptOutcome, RefusalReason};

use crate::entity::TargetIndex;

/// State of an attempt whose start request was written, or may have been, to a connection that is
/// not known to have failed.
#[derive(Clone, Copy, Debug)]
pub struct Sent;

/// State of an attempt whose connection failed or is unresponsive. Only a check of the target can
/// tell what became of the attempt.
#[derive(Clone, Copy, Debug)]
pub struct Uncertain;

/// The data of an attempt in any state.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// The id of the attempt.
    pub id: AttemptId,
    /// The target that the start request went to.
    pub target: TargetIndex,
    /// The time at which the start request was sent.
    pub sent_at: TimePoint,
    /// The predicted run time.
    pub predicted: Duration,
    /// The latest time until which the target may hold a lease for the attempt.
    pub lease_until: WallTime,
    /// The instance of the target process that was known before the start, if any.
    pub boot: Option<u64>,
    /// Why the target was asked to stop the attempt; `None` if it was not asked.
    pub stop: Option<StopCause>,
    /// Whether the target was asked to throttle the attempt, which then runs on without a slot.
    pub throttled: bool,
}

/// An attempt in the state `State`, which is [`Sent`] or [`Uncertain`].
#[derive(Clone, Debug)]
pub struct TaskAttempt<State> {
    record: AttemptRecord,
    state: PhantomData<State>,
}

/// Why a target is asked to stop an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopCause {
    /// The outcome is no longer needed; the task fails with this reason.
    Abandon(AbandonReason),
    /// The target reported that it does not know the attempt. The stop fences the attempt, so that
    /// a delayed start request cannot start it later.
    Fence,
}

/// Why a task is abandoned, whether or not it is running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbandonReason {
    /// The caller cancelled the job.
    Cancelled,
    /// Another task of the job failed.
    JobFailed,
    /// The deadline of the job passed.
    DeadlinePassed,
    /// The drain timeout of a stopping VM passed.
    VmStopping,
}

impl AbandonReason {
    /// The outcome of a task that was stopped for this reason after an attempt had started.
    pub fn started_outcome(self) -> TaskOutcome {
        let reason = match self {
            Self::Cancelled => FailureReason::Cancelled,
            Self::JobFailed => FailureReason::JobFailed,
            Self::DeadlinePassed => FailureReason::DeadlinePassed,
            Self::VmStopping => FailureReason::VmStopping,
        };
        TaskOutcome::Failed { reason }
    }

    /// The outcome of a task that was abandoned for this reason before any attempt started.
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

/// The kind of request that a target's response about an attempt belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseSource {
    /// The start request of the attempt.
    Start,
    /// A later check, stop, throttle or checkpoint request.
    State,
}

/// How an attempt ended, as far as that is certain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The attempt ran to completion.
    Done {
        /// The result of the task.
        output: Box<str>,
        /// The run time that the target measured.
        run_time: Duration,
    },
    /// The attempt started and ended with an error.
    Failed {
        /// The error that the target reported.
        reason: Box<str>,
        /// The run time that the target measured.
        run_time: Duration,
    },
    /// The attempt did not start and cannot start any more.
    NotStarted {
        /// Why the target refused the attempt; `None` if the start request was never sent.
        refusal: Option<RefusalReason>,
    },
    /// The attempt was stopped on request after it had started.
    Stopped,
    /// The attempt ended with a checkpoint.
    Checkpointed {
        /// Identifies the checkpoint to resume from.
        token: Box<str>,
    },
    /// The attempt started, and the target ended it because its lease expired.
    LeaseExpired,
    /// The attempt is over but may have run, even to completion: its lease expired while the
    /// target was unreachable, or the target restarted.
    Indeterminate,
}

/// An attempt with its state known only at run time.
#[derive(Clone, Debug)]
pub enum AttemptPhase {
    /// The start request is on a connection that is not known to have failed; see [`Sent`].
    Sent(TaskAttempt<Sent>),
    /// The connection failed or is unresponsive; see [`Uncertain`].
    Uncertain(TaskAttempt<Uncertain>),
}

impl AttemptEnd {
    /// The name of this end in traces. These names are part of the trace format.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Done { .. } => "done",
            Self::Failed { .. } => "failed",
            Self::NotStarted { .. } => "not_started",
            Self::Stopped => "stopped",
            Self::Checkpointed { .. } => "checkpointed",
            Self::LeaseExpired => "lapsed",
            Self::Indeterminate => "vanished",
        }
    }
}

impl AttemptRecord {
    /// Concludes how this attempt ended from a target's response.
    ///
    /// `boot` is the instance of the target process that responded, and `source` the kind of
    /// request that it responded to. A fence by a restarted target only proves that the new
    /// process did not start the attempt; the previous process may have started it.
    pub fn conclude(
        &self,
        verdict: AttemptOutcome,
        boot: u64,
        source: ResponseSource,
    ) -> AttemptEnd {
        match verdict {
            AttemptOutcome::Done { output, run_time } => AttemptEnd::Done { output, run_time },
            AttemptOutcome::Failed { reason, run_time } => AttemptEnd::Failed { reason, run_time },
            AttemptOutcome::Stopped => AttemptEnd::Stopped,
            AttemptOutcome::LeaseExpired => AttemptEnd::LeaseExpired,
            AttemptOutcome::Checkpointed { token } => AttemptEnd::Checkpointed { token },
            AttemptOutcome::Refused { reason } => {
                let certain = source == ResponseSource::Start
                    || reason != RefusalReason::Fenced
                    || self.boot == Some(boot);
                if certain {
                    let refusal = Some(reason);
                    AttemptEnd::NotStarted { refusal }
                } else {
                    AttemptEnd::Indeterminate
                }
            }
        }
    }

    /// Whether the lease has certainly expired at the target, whose clock may deviate by up to
    /// `margin`.
    pub fn lease_expired(&self, wall: WallTime, margin: Duration) -> bool {
        wall > self.lease_until + margin
    }

    /// Extends the time until which the target may hold a lease. An earlier time has no effect.
    pub fn extend_lease(&mut self, until: WallTime) {
        self.lease_until = until.max(self.lease_until);
    }

    /// Records that a stop was requested. An abandonment is not replaced by a fence.
    pub fn request_stop(&mut self, cause: StopCause) {
        if !matches!(self.stop, Some(StopCause::Abandon(_))) {
            self.stop = Some(cause);
        }
    }
}

impl TaskAttempt<Sent> {
    /// Creates an attempt whose start request is about to be written.
    pub fn sent(record: AttemptRecord) -> Self {
        Self {
            record,
            state: PhantomData,
        }
    }

    /// Makes the attempt uncertain: its connection failed after the start request may have been
    /// written.
    pub fn into_uncertain(self) -> TaskAttempt<Uncertain> {
        TaskAttempt {
            record: self.record,
            state: PhantomData,
        }
    }

    /// Ends the attempt as not started: no part of the start request was written.
    pub fn not_sent(self) -> AttemptEnd {
        AttemptEnd::NotStarted { refusal: None }
    }
}

impl AttemptPhase {
    /// The data of the attempt.
    pub fn record(&self) -> &AttemptRecord {
        match self {
            Self::Sent(attempt) => &attempt.record,
            Self::Uncertain(attempt) => &attempt.record,
        }
    }

    /// The data of the attempt, mutable.
    pub fn record_mut(&mut self) -> &mut AttemptRecord {
        match self {
            Self::Sent(attempt) => &mut attempt.record,
            Self::Uncertain(attempt) => &mut attempt.record,
        }
    }

    /// Whether only a check of the target can tell what became of the attempt.
    pub fn is_uncertain(&self) -> bool {
        matches!(self, Self::Uncertain(_))
    }
}
