//! What the engine reacts to and what it asks the serve loop to do.

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

/// Something that happened.
#[derive(Clone, Debug)]
pub enum EngineEvent {
    /// A caller submitted a job that this incarnation owns.
    JobSubmitted {
        /// Who waits for the answer.
        caller: CallerToken,
        /// The job.
        request: JobRequest,
        /// The W3C `traceparent` to report spans under, when the request is traced.
        traceparent: Option<Box<str>>,
    },
    /// A caller asked for an outcome without starting anything.
    JobLookedUp {
        /// Who waits for the answer.
        caller: CallerToken,
        /// The submission.
        submission: SubmissionId,
    },
    /// A caller cancelled a job.
    JobCancelled {
        /// Who waits for the answer.
        caller: CallerToken,
        /// The submission.
        submission: SubmissionId,
    },
    /// A caller's connection closed; the job goes on, because the caller may resubmit it.
    CallerDisconnected {
        /// Who no longer waits.
        caller: CallerToken,
    },
    /// Another incarnation handed its outcomes over.
    OutcomesImported(Vec<JobAnswer>),
    /// A target answered a start request.
    StartAnswered {
        /// The target.
        target: TargetIndex,
        /// Its answer.
        answer: StartAnswer,
    },
    /// A start request got no answer.
    StartFailed {
        /// The attempt.
        attempt: AttemptId,
        /// Whether any byte of the request may have been written.
        written: bool,
    },
    /// A target answered a check, stop or throttle request.
    StatesAnswered {
        /// The target.
        target: TargetIndex,
        /// What was asked.
        command: StateCommand,
        /// Its answer.
        answer: StateAnswer,
    },
    /// A check, stop or throttle request got no answer.
    StatesFailed {
        /// The target.
        target: TargetIndex,
        /// What was asked.
        command: StateCommand,
    },
    /// A new configuration is in force.
    ConfigurationChanged(Rc<Configuration>),
    /// The platform's list was read.
    VmListRead(VmList),
    /// The set of live entry VMs changed.
    FleetChanged(FleetView),
    /// A planned stop began; nothing new is accepted.
    DrainStarted,
    /// The time for draining passed; what is left is stopped and answered.
    DrainExpired,
    /// Time passed.
    TimeAdvanced,
}

/// The live entry VMs as seen from this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetView {
    /// This VM's place among the ready VMs of its availability zone.
    pub zone: SharePosition,
    /// This VM's place among all ready VMs.
    pub fleet: SharePosition,
    /// How many entry VMs are live in all.
    pub live_vms: u32,
    /// The availability zones that have ready VMs.
    pub populated: Vec<ZoneName>,
}

/// A request about attempts that were started before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateCommand {
    /// Report states and renew leases.
    Check,
    /// Stop or fence.
    Stop,
    /// Run on in the background.
    Throttle,
}

/// Something for the serve loop to do.
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
        /// Where it listens.
        address: SocketAddr,
        /// The request.
        request: StartRequest,
        /// The W3C `traceparent` of the job, when it is traced.
        traceparent: Option<Box<str>>,
        /// How long the task was in the queue.
        queued_for: Duration,
    },
    /// Send a check on a new connection and report its answer or failure.
    Check {
        /// The target.
        target: TargetIndex,
        /// Where it listens.
        address: SocketAddr,
        /// The request.
        request: CheckRequest,
    },
    /// Send a stop or throttle request and report its answer or failure.
    Control {
        /// The target.
        target: TargetIndex,
        /// Where it listens.
        address: SocketAddr,
        /// Which request.
        command: StateCommand,
        /// The request.
        request: AttemptsRequest,
    },
    /// Close the connection that waits for this attempt's answer.
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
    /// The job is still running (reply to a lookup or a cancellation).
    Pending,
    /// The submission was never accepted.
    NotFound,
    /// The submission id was used before for a different job.
    Conflict,
}

/// The times of one attempt, for spans.
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
    /// When it ended.
    pub ended_at: TimePoint,
    /// The run time that the target measured.
    pub run_time: Duration,
    /// How it ended, as a stable word.
    pub end: &'static str,
}

/// Something an operator may want to know.
#[derive(Clone, Debug)]
pub enum EngineNotice {
    /// A target's health changed, or it is leaving.
    Health(HealthEvent),
    /// An attempt's outcome is not known.
    OutcomeUnknown(AttemptId),
    /// A target answered about an attempt in a way the protocol does not allow.
    ProtocolViolation(TargetIndex),
    /// A target could not be reached; it was reachable before.
    Unreachable(TargetIndex),
    /// A target that was unreachable answered.
    Reachable(TargetIndex),
    /// A task was not tried again because the retry budget of its service is used up.
    RetriesExhausted(ServiceIndex),
}

/// Jobs rejected as not run, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RejectionCounters([u64; NotRunReason::ALL.len()]);

impl RejectionCounters {
    /// The jobs rejected for a reason.
    pub fn of(&self, reason: NotRunReason) -> u64 {
        self.0[reason as usize]
    }

    pub(super) fn add(&mut self, reason: NotRunReason) {
        self.0[reason as usize] += 1;
    }
}

/// Counts since the start of the process.
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
    /// Starts beyond the first of a task that may have run before.
    pub retries: u64,
    /// Starts on slots of other VMs of the zone.
    pub starts_borrowed: u64,
    /// Starts in other zones.
    pub starts_spilled: u64,
    /// Starts that targets refused.
    pub refusals: u64,
    /// Refused starts on slots of other VMs of the zone.
    pub refusals_borrowed: u64,
    /// Refused starts in other zones.
    pub refusals_spilled: u64,
    /// Check, stop and throttle requests.
    pub state_requests: u64,
    /// Answers for attempts that were no longer current.
    pub late_answers: u64,
    /// Attempts whose connection was lost or unresponsive.
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
