//! Jobs, targets and configuration of fleets whose targets run tasks under leases, and the messages
//! that the entry VMs of such a fleet exchange.
//!
//! Such targets start whatever they are told. Each has one holder at a time, an entry VM that alone
//! gives it orders. The VM that a client has sent a job to is the job's home; it asks the holders
//! to run the job's tasks.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// A queue of jobs and what applies to all of its jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueSpec {
    /// The operator's name for it.
    pub name: QueueName,
    /// The host that its requests name.
    pub host: Box<str>,
    /// What the paths of its requests begin with.
    pub path_prefix: Box<str>,
    /// The service whose targets run its tasks.
    pub service: ServiceName,
    /// 0 is the most important.
    pub priority: u8,
    /// How many runs of one task may fail before its job fails.
    pub attempt_limit: u8,
    /// The objective as a multiple of the longest chain of work of a job.
    pub stretch: f64,
    /// What the objective allows beyond that multiple.
    pub allowance: Duration,
    /// Whether only an advisory service knows which targets may run its tasks.
    pub requires_advisory: bool,
}

/// What applies to all targets of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServicePolicy {
    /// Whether its targets refuse work that exceeds their room.
    pub rejects_overload: bool,
}

/// Bounds on the requests of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientBounds {
    /// The largest request head, in bytes.
    pub head_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The time for a request head.
    pub head_timeout: Duration,
    /// How long a connection may stay open without a request.
    pub idle_timeout: Duration,
}

/// The configuration that the operator has published last.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfiguration {
    /// Its version.
    pub version: ConfigVersion,
    /// The queues.
    pub queues: Vec<QueueSpec>,
    /// The services.
    pub services: BTreeMap<ServiceName, ServicePolicy>,
    /// Bounds on requests, where they are given.
    pub bounds: Option<ClientBounds>,
}

/// Whether a target takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// It takes work.
    Ready,
    /// It is leaving.
    Draining,
}

/// What a target says about itself in the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetEntry {
    /// Its name; another life of the target may have the same.
    pub name: TargetName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it takes work.
    pub state: TargetState,
    /// Its room.
    pub capacity: ResourceVector,
    /// Its kind and its rack.
    pub labels: Vec<Box<str>>,
    /// Which life of the target this is, if it says so.
    pub boot: Option<TargetBoot>,
}

/// A change of the platform's list of targets.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetChange {
    /// A target is listed with these values.
    Listed(TargetEntry),
    /// A target is no longer listed.
    Removed(TargetName),
    /// An entry cannot be read; the target is not to be used until another one follows.
    Unreadable(TargetName),
}

/// A record of the list as the platform stores it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListRecord {
    /// The key.
    pub key: Box<str>,
    /// The value, empty if it is no text; none when the key was removed.
    pub value: Option<Box<str>>,
}

/// A record of the feed: the latest records of the keys whose entries have changed in a range of the
/// list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedRecord {
    /// Where the range begins.
    pub from: LogOffset,
    /// Where it ends.
    pub through: LogOffset,
    /// The changes.
    pub changes: Vec<ListRecord>,
}

/// The tasks of one step of a job.
#[derive(Clone, Debug, PartialEq)]
pub struct StepSpec {
    /// How many tasks.
    pub count: u16,
    /// What each task takes.
    pub resources: ResourceVector,
    /// The run time that the client expects of a task.
    pub declared: Duration,
    /// The steps whose tasks must be done first.
    pub after: Vec<u16>,
    /// A label that the target must have.
    pub required_label: Option<Box<str>>,
    /// The rack on which the tasks run faster.
    pub preferred_rack: Option<Box<str>>,
    /// The most tasks of the step on one target; no limit if absent.
    pub spread_limit: Option<u16>,
    /// What the step asks for that this version cannot do.
    pub unsupported: Option<&'static str>,
}

/// A job as a client has submitted it.
#[derive(Clone, Debug, PartialEq)]
pub struct JobSpec {
    /// The client's name for it.
    pub id: JobId,
    /// Passed to targets unchanged.
    pub payload: Rc<str>,
    /// Its steps.
    pub steps: Vec<StepSpec>,
    /// Whether the answer to the submission is all that the client wants to know of the job.
    pub ephemeral: bool,
    /// What the job asks for that this version cannot do.
    pub unsupported: Option<&'static str>,
}

/// The most tasks of one job: several times the largest jobs that are planned for.
pub const JOB_TASK_LIMIT: usize = 4096;

/// Why the steps of a job make no sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobError {
    /// It has no step, or a step without tasks, and would never be done.
    Empty,
    /// It has more tasks than [`JOB_TASK_LIMIT`].
    TooLarge,
    /// A step waits for itself, for a later step or for one that is not there.
    StepOrder,
}

impl JobSpec {
    /// Checks that the job can be done at all.
    ///
    /// # Errors
    /// When its steps make no sense.
    pub fn check(&self) -> Result<(), JobError> {
        let tasks = self.steps.iter().map(|step| usize::from(step.count));
        if self.steps.is_empty() || tasks.clone().any(|count| count == 0) {
            return Err(JobError::Empty);
        }
        if tasks.sum::<usize>() > JOB_TASK_LIMIT {
            return Err(JobError::TooLarge);
        }
        let mut steps = self.steps.iter().enumerate();
        match steps.all(|(index, step)| step.after.iter().all(|&other| usize::from(other) < index))
        {
            true => Ok(()),
            false => Err(JobError::StepOrder),
        }
    }
}

/// Why a job was not accepted. Nothing of it has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectReason {
    /// This VM has no configuration yet.
    NotReady,
    /// The queue has left the configuration.
    UnknownQueue,
    /// The job's steps make no sense.
    Invalid,
    /// The job asks for something that this version cannot do.
    Unsupported,
    /// No target could ever run one of its tasks.
    NoCapableTarget,
    /// It would be answered too late.
    Overloaded,
    /// It has waited for room in vain.
    TimedOut,
    /// The process stops before the job could start.
    Stopping,
}

impl RejectReason {
    /// The reason as a word for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::UnknownQueue => "unknown_queue",
            Self::Invalid => "invalid",
            Self::Unsupported => "unsupported",
            Self::NoCapableTarget => "no_capable_target",
            Self::Overloaded => "overloaded",
            Self::TimedOut => "timed_out",
            Self::Stopping => "stopping",
        }
    }
}

/// The answer to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobReply {
    /// All tasks are done.
    Completed,
    /// A task has failed as often as it may.
    Failed,
    /// Nothing of the job has run, and nothing will.
    Rejected {
        /// Why.
        reason: RejectReason,
        /// When another attempt may succeed.
        retry_after: Duration,
    },
    /// The job was given up, and parts of it may have run.
    Unknown,
    /// The client has cancelled it.
    Cancelled,
}

/// Who an entry VM is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// The VM.
    pub vm: VmName,
    /// The run of its process.
    pub incarnation: IncarnationId,
    /// Where it listens for other VMs.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The processor time that it has.
    pub processor: MilliCores,
}

/// What an entry VM writes into the platform's store to make itself known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRecord {
    /// The VM.
    pub identity: PeerIdentity,
    /// When it was written, by the clock of the VM.
    pub written_at: WallTime,
}

/// An entry VM as the platform's store knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerObservation {
    /// What the VM has written.
    pub record: PeerRecord,
    /// Rises each time the VM makes itself known.
    pub revision: u64,
}

/// Where an entry VM is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerState {
    /// It has no configuration or no targets yet.
    Starting,
    /// It takes jobs and holds targets.
    Ready,
    /// It is stopping and gives its targets away.
    Leaving,
}

/// A target that the sender holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HoldingReport {
    /// The target.
    pub target: TargetName,
    /// The token under which the sender holds it.
    pub token: FencingToken,
}

/// The state of a held target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacityReport {
    /// The room that is free for further tasks; nothing while the target takes no work.
    pub free: ResourceVector,
    /// How long work takes there, as a percentage of the usual time.
    pub slowdown_percent: u16,
}

/// The classes of waiting work by the time until it must start, in milliseconds; work that must
/// start later is in a last class.
const SLACK_CLASSES_MS: [u32; 6] = [25, 50, 100, 200, 400, 800];

/// How many priorities are told apart; higher numbers count as the last one.
pub const PRIORITY_CLASSES: usize = 4;

/// The class of a priority.
fn priority_class(priority: u8) -> usize {
    usize::from(priority).min(PRIORITY_CLASSES - 1)
}

/// The work of one priority that waits and is not late, by the time until it must start, in
/// core-milliseconds.
type SlackWork = [u64; SLACK_CLASSES_MS.len() + 1];

/// How much work waits that is not late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WaitingWork([SlackWork; PRIORITY_CLASSES]);

impl WaitingWork {
    /// Adds work that must start within `slack`.
    pub fn add(&mut self, priority: u8, slack: Duration, work: u64) {
        self.0[priority_class(priority)][Self::class(slack)] += work;
    }

    /// By how much the work that must start within some time would exceed what `cores` can start in
    /// it, if `work` with this priority and slack were added; in milliseconds, negative while there
    /// is room. Work of a lower priority and more urgent work of the same one are not delayed by it
    /// and do not count.
    pub fn excess_ms(&self, priority: u8, slack: Duration, work: u64, cores: f64) -> f64 {
        let own = Self::class(slack);
        let slack_ms = slack.as_secs_f64() * 1000.0;
        let priority = priority_class(priority);
        let before = self.0[..priority].iter().flatten().sum::<u64>();
        let mut excess = f64::MIN;
        let mut sum = work + before;
        for (class, more) in self.0[priority].iter().enumerate() {
            sum += more;
            if class >= own {
                let bound = SLACK_CLASSES_MS.get(class).copied().unwrap_or(u32::MAX);
                let bound = f64::from(bound).max(slack_ms);
                excess = excess.max(sum as f64 / cores - bound);
            }
        }
        excess
    }

    /// Adds the work of another VM.
    pub fn merge(&mut self, other: &Self) {
        let pairs = self.0.iter_mut().flatten().zip(other.0.iter().flatten());
        for (class, work) in pairs {
            *class += work;
        }
    }

    /// All of it.
    pub fn total(&self) -> u64 {
        self.0.iter().flatten().sum()
    }

    fn class(slack: Duration) -> usize {
        SLACK_CLASSES_MS.partition_point(|bound| slack >= Duration::from_millis((*bound).into()))
    }
}

/// How much work clients have offered lately of each priority, in cores: core-milliseconds per
/// millisecond.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OfferedLoad(pub [u32; PRIORITY_CLASSES]);

impl OfferedLoad {
    /// The cores that work of a higher priority takes.
    pub fn above(&self, priority: u8) -> f64 {
        let above = &self.0[..priority_class(priority)];
        above.iter().copied().map(f64::from).sum()
    }
}

/// Whether a waiting task can still be useful. A class comes before the next one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum TaskTimeliness {
    /// Its job can be answered in time.
    #[default]
    InTime,
    /// Its job will be late.
    Late,
    /// Its job will be so late that the answer is hardly of use.
    TooLate,
}

/// The tasks that wait at the sender because no target has room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// How many.
    pub tasks: u32,
    /// Whether the most urgent one can be answered in time.
    #[serde(rename = "hope")]
    pub timeliness: TaskTimeliness,
    /// Its priority; 0 is the most important.
    pub priority: u8,
    /// The time until it must start, in milliseconds; negative if that has passed.
    pub slack_ms: i32,
    /// In each dimension, the least that any of them takes.
    #[serde(rename = "least")]
    pub min_resources: ResourceVector,
    /// The processor time that those in time are expected to take.
    pub work: WaitingWork,
    /// What the sender's clients have offered lately.
    pub offered: OfferedLoad,
}

/// Orders waiting tasks of all VMs: by hope, by priority, and by the time until they must start.
pub type TaskRank = (TaskTimeliness, u8, i32);

/// The hope and the priority of a task; lower classes are served first.
pub type DemandClass = (TaskTimeliness, u8);

impl DemandReport {
    /// Orders reports by their most urgent task, the most urgent first.
    pub fn rank(&self) -> TaskRank {
        (self.timeliness, self.priority, self.slack_ms)
    }

    /// The class of the most urgent task, if any waits.
    pub fn class(&self) -> Option<DemandClass> {
        (self.tasks > 0).then_some((self.timeliness, self.priority))
    }
}

/// Identifies an offer among those of its sender.
pub type OfferNumber = u32;

/// One task that a home asks a holder to run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskPlacement {
    /// The task.
    pub task: TaskName,
    /// The lowest number for the run.
    pub run: RunNumber,
    /// What it takes.
    #[serde(rename = "room")]
    pub resources: ResourceVector,
    /// The target that the home suggests.
    pub target: TargetName,
    /// Targets that must not run it.
    pub excluded: Vec<TargetName>,
    /// The expected run time, in milliseconds.
    pub expected_ms: u32,
}

/// Asks a holder to run tasks of one job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlaceRequest {
    /// The queue, for what the holder learns from the runs.
    pub queue: QueueName,
    /// The service whose targets may run the tasks.
    pub service: ServiceName,
    /// Passed to targets unchanged.
    pub payload: Rc<str>,
    /// A label that the target must have.
    pub required_label: Option<Box<str>>,
    /// The offer that this answers.
    pub offer: Option<OfferNumber>,
    /// When the home decided it, on its own clock. An old request is refused, because the home may
    /// have decided otherwise since.
    pub issued_at: TimePoint,
    /// The tasks.
    pub tasks: Vec<TaskPlacement>,
}

/// Why a holder does not run a task. The task has certainly not started, and will not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlaceRefusal {
    /// No target that it holds has room.
    #[serde(rename = "no_room")]
    NoCapacity,
    /// An earlier run of the task, for example for a home that was lost, has not ended yet on a
    /// target that it holds.
    StillRunning,
    /// The request has been on its way for too long.
    Stale,
    /// The target refused the order.
    RefusedByTarget,
    /// The target has seen a run of the task with this number or a higher one.
    OldRun,
    /// The order was given, and the target has certainly not carried it out.
    NeverStarted,
}

/// Tells a home how a run has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndNotice {
    /// The run.
    pub run: RunName,
    /// Where it ran.
    pub target: TargetName,
    /// How it ended.
    pub end: RunEnd,
    /// How long it ran, in milliseconds, as far as the holder knows.
    pub took_ms: Option<u32>,
}

/// A run and its room.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeptRun {
    /// The run.
    pub run: RunName,
    /// What it takes.
    #[serde(rename = "room")]
    pub resources: ResourceVector,
    /// The expected run time, in milliseconds.
    pub expected_ms: u32,
}

/// A message between entry VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetMessage {
    /// From a home to a holder: run these tasks.
    Place(PlaceRequest),
    /// From a home to a holder: stop these tasks, or do not start them.
    Withdraw(Vec<TaskName>),
    /// From a holder to a home: a target has room for a waiting task.
    Offer {
        /// The offer.
        offer: OfferNumber,
        /// The target.
        target: TargetName,
        /// Its free room.
        #[serde(rename = "room")]
        resources: ResourceVector,
    },
    /// From a home to a holder: the offer is not needed.
    Decline(OfferNumber),
    /// From a holder to a home: a task was not started.
    Refused {
        /// The run that was not started.
        run: RunName,
        /// Why.
        refusal: PlaceRefusal,
    },
    /// From a holder to a home: how a run has ended.
    Ended(EndNotice),
    /// From a new holder to all VMs: how a run has ended that it did not order.
    FoundEnd(EndNotice),
    /// From a holder to a home: the sender does not hold the target any more. The runs may go on
    /// until their lease ends, or until another holder takes them over.
    Released {
        /// The target.
        target: TargetName,
        /// The runs.
        runs: Vec<RunName>,
    },
    /// From a new holder to all VMs: whose runs are these?
    Inquire {
        /// The target on which they run.
        target: TargetName,
        /// The runs.
        runs: Vec<RunName>,
    },
    /// From a home to a new holder: these runs are mine and still wanted.
    Keep {
        /// The target on which they run.
        target: TargetName,
        /// The runs.
        runs: Vec<KeptRun>,
    },
}

/// What one entry VM sends to another: messages if there are any, and its current state.
///
/// Messages are numbered, so that a repeated envelope has no further effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// The sender.
    pub from: PeerIdentity,
    /// The process that this is meant for; any process if the sender has not heard of one yet.
    pub to: Option<IncarnationId>,
    /// How often the sender has given the receiver up. When the number rises, the sender has
    /// dropped everything that it did for the receiver.
    pub losses: u32,
    /// When it was sent, on the sender's clock.
    pub sent_at: TimePoint,
    /// The longest time to the sender's next envelope to the receiver, in milliseconds.
    #[serde(rename = "beat_ms")]
    pub heartbeat_interval_ms: u32,
    /// Where the sender is in its life.
    pub state: PeerState,
    /// The version of its configuration.
    pub config_version: Option<ConfigVersion>,
    /// The number of the first message.
    pub first_message: u64,
    /// The messages.
    pub messages: Vec<FleetMessage>,
    /// The number of the next message that the sender expects of the receiver.
    pub next_expected: u64,
    /// What waits at the sender.
    pub demand: DemandReport,
    /// Counts the changes of `holdings`.
    pub holdings_version: u32,
    /// The targets that the sender holds; absent if the receiver knows this version.
    pub holdings: Option<Vec<HoldingReport>>,
    /// The state of each held target, in the order of the holdings.
    #[serde(rename = "rooms")]
    pub capacities: Vec<CapacityReport>,
}

/// Confirms an envelope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EnvelopeAck {
    /// The process that answers.
    pub incarnation: IncarnationId,
    /// Whether the envelope was meant for this process and has been taken over.
    pub accepted: bool,
    /// The number of the next message that it expects of the sender.
    pub next_expected: u64,
    /// The version of the sender's holdings that it knows.
    pub holdings_version: u32,
}
