//! The events that the engine handles and the actions that it requests from the serve loop.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_config::spec::Configuration;
use filbertpitch_types::caller::{JobAnswer, JobRequest};
use filbertpitch_types::platform::VmList;
use filbertpitch_types::prelude::*;
use filbertpitch_types::target::{
    AttemptsRequest, CheckRequest, StartAnswer, StartRequest, StateAnswer,
};

use crate::entity::{ServiceIndex, TargetIndex};
use crate::health::HealthEvent;
use crate::job::CallerToken;
use crate::placement::SharePosition;

/// An input of the engine.
#[derive(Clone, Debug)]
pub enum EngineEvent {
    /// A caller submitted a job that this incarnation owns.
    JobSubmitted {
        /// The caller that waits for the answer.
        caller: CallerToken,
        /// The job.
        request: JobRequest,
        /// The W3C `traceparent` to report spans under, when the request is traced.
        traceparent: Option<Box<str>>,
    },
    /// A caller asked for the outcome of a submission without submitting the job.
    JobLookedUp {
        /// The caller that waits for the answer.
        caller: CallerToken,
        /// The submission.
        submission: SubmissionId,
    },
    /// A caller cancelled a job.
    JobCancelled {
        /// The caller that waits for the answer.
        caller: CallerToken,
        /// The submission.
        submission: SubmissionId,
    },
    /// A caller's connection closed. Its jobs continue, because the caller may resubmit them.
    CallerDisconnected {
        /// The caller that no longer waits.
        caller: CallerToken,
    },
    /// Another incarnation handed over its outcomes.
    OutcomesImported(Vec<JobAnswer>),
    /// A target answered a start request.
    StartAnswered {
        /// The target.
        target: TargetIndex,
        /// The target's answer.
        answer: StartAnswer,
    },
    /// A start request got no answer.
    StartFailed {
        /// The attempt.
        attempt: AttemptId,
        /// Whether any byte of the request may have been written, so that the attempt may run.
        written: bool,
    },
    /// A target answered a check, stop or throttle request.
    StatesAnswered {
        /// The target.
        target: TargetIndex,
        /// The kind of request.
        command: StateCommand,
        /// The target's answer.
        answer: StateAnswer,
    },
    /// A check, stop or throttle request got no answer.
    StatesFailed {
        /// The target.
        target: TargetIndex,
        /// The kind of request.
        command: StateCommand,
    },
    /// A new configuration was installed.
    ConfigurationChanged(Rc<Configuration>),
    /// The platform's VM list was read.
    VmListRead(VmList),
    /// The set of live entry VMs changed.
    FleetChanged(FleetView),
    /// A planned stop began. From now on, new jobs are rejected.
    DrainStarted,
    /// The time for draining passed. The remaining jobs are stopped and answered.
    DrainExpired,
    /// Only time passed; due timers run.
    TimeAdvanced,
}

/// The live entry VMs as seen from this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetView {
    /// This VM's position among the live, ready entry VMs of its availability zone.
    pub zone: SharePosition,
    /// This VM's position among the live, ready entry VMs of all availability zones.
    pub fleet: SharePosition,
    /// The total number of live, ready entry VMs.
    pub live_vms: u32,
    /// The availability zones that have live, ready entry VMs.
    pub populated: Vec<ZoneName>,
}

/// A kind of request about attempts that were started before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateCommand {
    /// Report the states of the attempts and renew their leases.
    Check,
    /// Stop the attempts, and fence those that the target does not know.
    Stop,
    /// Let the attempts run in the background and release their slots.
    Throttle,
}

/// An action that the serve loop carries out.
#[derive(Clone, Debug)]
pub enum EngineAction {
    /// Reply to a caller.
    Reply {
        /// The caller.
        caller: CallerToken,
        /// The reply.
        reply: CallerReply,
    },
    /// Send a start request and report its answer or failure.
    Start {
        /// The target.
        target: TargetIndex,
        /// The address that the target listens on.
        address: SocketAddr,
        /// The request.
        request: StartRequest,
        /// The W3C `traceparent` of the job, when it is traced.
        traceparent: Option<Box<str>>,
        /// The time that the task spent in the queue before this attempt.
        queued_for: Duration,
    },
    /// Send a check on a new connection and report its answer or failure.
    Check {
        /// The target.
        target: TargetIndex,
        /// The address that the target listens on.
        address: SocketAddr,
        /// The request.
        request: CheckRequest,
    },
    /// Send a stop or throttle request and report its answer or failure.
    Control {
        /// The target.
        target: TargetIndex,
        /// The address that the target listens on.
        address: SocketAddr,
        /// The kind of request.
        command: StateCommand,
        /// The request.
        request: AttemptsRequest,
    },
    /// Close the connection on which this attempt's answer is expected.
    CloseConnection {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Record the spans of an ended attempt of a traced job.
    Trace(AttemptTrace),
    /// Write a log event.
    Notice(EngineNotice),
}

/// The reply to a caller.
#[derive(Clone, Debug)]
pub enum CallerReply {
    /// The job's answer.
    Job(Rc<JobAnswer>),
    /// The job is still running; the reply to a lookup or a cancellation.
    Pending,
    /// The submission was never accepted.
    NotFound,
    /// The submission id was used before for a different job.
    Conflict,
}

/// The times of one attempt, for its trace spans.
#[derive(Clone, Debug)]
pub struct AttemptTrace {
    /// The W3C `traceparent` of the job.
    pub traceparent: Box<str>,
    /// The attempt.
    pub attempt: AttemptId,
    /// The target.
    pub target: TargetIndex,
    /// When the task was queued for this attempt.
    pub queued_at: TimePoint,
    /// When the attempt was sent.
    pub sent_at: TimePoint,
    /// When the attempt ended.
    pub ended_at: TimePoint,
    /// The run time that the target measured.
    pub run_time: Duration,
    /// How the attempt ended, as a name that does not change between versions.
    pub end: &'static str,
}

/// An event that the serve loop writes to the log for operators.
#[derive(Clone, Debug)]
pub enum EngineNotice {
    /// A target's health changed, or it is leaving.
    Health(HealthEvent),
    /// An attempt's outcome is not known.
    OutcomeUnknown(AttemptId),
    /// A target answered about an attempt in a way the protocol does not allow.
    ProtocolViolation(TargetIndex),
    /// A target that was reachable could not be reached.
    Unreachable(TargetIndex),
    /// A target that was unreachable answered.
    Reachable(TargetIndex),
    /// A task was not retried because the retry budget of its service is exhausted.
    RetriesExhausted(ServiceIndex),
}

/// Counts of the jobs rejected as not run, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RejectionCounters([u64; NotRunReason::ALL.len()]);

impl RejectionCounters {
    /// The number of jobs rejected for a reason.
    pub fn of(&self, reason: NotRunReason) -> u64 {
        self.0[reason as usize]
    }

    pub(super) fn add(&mut self, reason: NotRunReason) {
        self.0[reason as usize] += 1;
    }
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineCounters {
    /// Jobs accepted.
    pub jobs_accepted: u64,
    /// Jobs rejected as not run.
    pub jobs_rejected: u64,
    /// Jobs that completed.
    pub jobs_complete: u64,
    /// Jobs that failed with certain outcomes.
    pub jobs_failed: u64,
    /// Jobs with an unknown outcome.
    pub jobs_unknown: u64,
    /// Submissions that joined a live or finished job.
    pub jobs_joined: u64,
    /// Start requests.
    pub starts: u64,
    /// Starts of tasks that may have run before.
    pub retries: u64,
    /// Starts on slots borrowed from other entry VMs of the zone.
    pub starts_borrowed: u64,
    /// Starts on targets in other zones.
    pub starts_spilled: u64,
    /// Starts that targets refused.
    pub refusals: u64,
    /// Refused starts on slots borrowed from other entry VMs of the zone.
    pub refusals_borrowed: u64,
    /// Refused starts on targets in other zones.
    pub refusals_spilled: u64,
    /// Check, stop and throttle requests.
    pub state_requests: u64,
    /// Answers for attempts that were no longer current.
    pub late_answers: u64,
    /// Attempts whose connection was lost or unresponsive before the answer arrived.
    pub uncertain: u64,
    /// Attempts that were throttled.
    pub throttled: u64,
    /// The rejected jobs by reason.
    pub rejections: RejectionCounters,
}

impl EngineCounters {
    /// All counters with their names, for status and metrics.
    pub fn named(&self) -> impl Iterator<Item = (&'static str, u64)> {
        [
            ("jobs_accepted", self.jobs_accepted),
            ("jobs_rejected", self.jobs_rejected),
            ("jobs_complete", self.jobs_complete),
            ("jobs_failed", self.jobs_failed),
            ("jobs_unknown", self.jobs_unknown),
            ("jobs_joined", self.jobs_joined),
            ("starts", self.starts),
            ("retries", self.retries),
            ("starts_borrowed", self.starts_borrowed),
            ("starts_spilled", self.starts_spilled),
            ("refusals", self.refusals),
            ("refusals_borrowed", self.refusals_borrowed),
            ("refusals_spilled", self.refusals_spilled),
            ("state_requests", self.state_requests),
            ("late_answers", self.late_answers),
            ("uncertain", self.uncertain),
            ("throttled", self.throttled),
        ]
        .into_iter()
    }
}
