//! Jobs, targets and configuration of fleets whose targets run tasks under leases, and the messages
//! that the entry VMs of such a fleet exchange.
//!
//! Such targets start every run that they are sent. Each target has at most one lease holder at a
//! time, an entry VM; only the holder sends requests to the target. The VM that accepts a job from a
//! client is the job's coordinator: it asks the holders to run the tasks of the job.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// A queue of jobs and the settings that all of its jobs share.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueSpec {
    /// The name that the operator gave the queue.
    pub name: QueueName,
    /// The value of the `Host` header that selects this queue, in any case.
    pub host: Box<str>,
    /// The path prefix of the requests for this queue.
    pub path_prefix: Box<str>,
    /// The service whose targets run the tasks of this queue.
    pub service: ServiceName,
    /// The priority class; 0 is the highest.
    pub priority: u8,
    /// The number of failed runs of one task after which its job fails.
    pub attempt_limit: u32,
    /// The latency objective as a multiple of the critical path of a job.
    pub stretch: f64,
    /// A fixed time that the latency objective allows in addition to that multiple.
    pub allowance: Duration,
    /// Whether only an advisory service knows which targets may run tasks of this queue.
    pub requires_advisory: bool,
}

impl QueueSpec {
    /// The latency objective of work that takes `run_time` on its critical path, at most [`MAX_OBJECTIVE`].
    pub fn objective(&self, run_time: Duration) -> Duration {
        let scaled = run_time.as_secs_f64() * self.stretch.max(1.0);
        let scaled = Duration::try_from_secs_f64(scaled).unwrap_or(MAX_OBJECTIVE);
        scaled.saturating_add(self.allowance).min(MAX_OBJECTIVE)
    }
}

/// The settings of all targets of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServicePolicy {
    /// Whether the targets refuse runs that exceed their free capacity.
    pub rejects_overload: bool,
}

/// Limits on the size and duration of client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientBounds {
    /// The largest request head, in bytes.
    pub head_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// How long receiving a request head may take.
    pub head_timeout: Duration,
    /// How long a connection may stay open without a request.
    pub idle_timeout: Duration,
}

/// The configuration that the operator published most recently.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfiguration {
    /// The version of this configuration.
    pub version: ConfigVersion,
    /// The queues.
    pub queues: Vec<QueueSpec>,
    /// The settings of each service.
    pub services: BTreeMap<ServiceName, ServicePolicy>,
    /// Limits on client requests; absent if the operator has set none.
    pub bounds: Option<ClientBounds>,
}

/// Whether a target accepts new runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// The target accepts new runs.
    Ready,
    /// The target is shutting down and accepts no new runs.
    Draining,
}

/// The entry of a target in the platform's list of targets.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetEntry {
    /// The name of the target; a restarted instance may have the same name.
    pub name: TargetName,
    /// The service whose tasks the target runs.
    pub service: ServiceName,
    /// The address on which the target accepts requests.
    pub address: SocketAddr,
    /// The availability zone.
    pub zone: ZoneName,
    /// Whether the target accepts new runs.
    pub state: TargetState,
    /// The total resources of the target.
    pub capacity: ResourceVector,
    /// Labels for the kind and the rack of the target, in this order.
    pub labels: Vec<Box<str>>,
    /// Identifies the instance of the target process, if the entry states it.
    pub boot: Option<TargetBoot>,
    /// How long the target remains slow, from the time of the entry on; zero if it is not slow.
    pub cold_remaining: Duration,
    /// How long a draining target remains at least, from the time of the entry on. When it goes away,
    /// its runs end.
    pub remaining: Option<Duration>,
}

impl TargetEntry {
    /// The kind of the target, which is its first label. Targets of one kind have the same speed.
    pub fn kind(&self) -> Option<&str> {
        self.labels.first().map(|label| &**label)
    }
}

/// A change of the platform's list of targets.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetChange {
    /// A target is listed with these values.
    Listed(TargetEntry),
    /// A target is no longer listed.
    Removed(TargetName),
    /// An entry cannot be decoded; the target must not be used until a valid entry follows.
    Unreadable(TargetName),
}

/// A record of the list of targets as the platform stores it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListRecord {
    /// The key of the entry.
    pub key: Box<str>,
    /// The value, empty if it is not valid text; `None` when the key was removed.
    pub value: Option<Box<str>>,
}

/// A record of the change feed: the latest record of each key that changed in a range of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedRecord {
    /// The offset in the list at which the range begins.
    pub from: LogOffset,
    /// The offset in the list at which the range ends.
    pub through: LogOffset,
    /// The latest records of the changed keys.
    pub changes: Vec<ListRecord>,
}

/// A record that closes an availability zone, or opens it again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneChange {
    /// The zone.
    pub zone: ZoneName,
    /// The offset of the record; a later one has a higher offset.
    pub offset: LogOffset,
    /// Whether the record closes the zone: no task may start on its targets.
    pub closed: bool,
}

/// A read of the operator's records, as far as they concern availability zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneRead {
    /// The changes in the order of their offsets.
    pub changes: Vec<ZoneChange>,
    /// The offset up to which all changes are known after the read.
    pub through: LogOffset,
    /// Whether the newest records of all zones were read: zones that are not listed are open.
    pub complete: bool,
    /// When the read was requested.
    pub requested_at: TimePoint,
}

/// An availability zone that is closed or was opened recently, as reported to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// The zone.
    pub zone: ZoneName,
    /// The offset of the record that has closed or opened the zone.
    pub offset: LogOffset,
    /// Whether the zone is closed.
    pub closed: bool,
    /// The time since the first VM has read the record, in milliseconds.
    pub age_ms: u32,
}

/// The tasks of one step of a job.
#[derive(Clone, Debug, PartialEq)]
pub struct StepSpec {
    /// The number of tasks in the step.
    pub count: u16,
    /// The resources that each task needs.
    pub resources: ResourceVector,
    /// The run time of one task as the client estimates it.
    pub declared: Duration,
    /// The indices of the steps that must be done before this one starts.
    pub after: Vec<u16>,
    /// A label that a target must have to run the tasks.
    pub required_label: Option<Box<str>>,
    /// The rack on which the tasks run faster than elsewhere.
    pub preferred_rack: Option<Box<str>>,
    /// The maximum number of tasks of the step on one target; no limit if absent.
    pub spread_limit: Option<u16>,
    /// A feature that the step asks for and this version does not support.
    pub unsupported: Option<&'static str>,
}

impl StepSpec {
    /// The id of the preferred rack.
    pub fn rack(&self) -> Option<RackId> {
        let label = self.preferred_rack.as_ref();
        label.map(|label| RackId::of_label(label))
    }
}

/// A job as submitted by a client.
#[derive(Clone, Debug, PartialEq)]
pub struct JobSpec {
    /// The identifier that the client chose.
    pub id: JobId,
    /// Passed to targets unchanged.
    pub payload: Rc<str>,
    /// The steps; a step can only depend on earlier ones.
    pub steps: Vec<StepSpec>,
    /// Whether the client only needs the response to the submission and does not query the job later.
    pub ephemeral: bool,
    /// A feature that the job asks for and this version does not support.
    pub unsupported: Option<&'static str>,
}

/// The maximum number of tasks in one job, several times the size of the largest planned jobs.
pub const JOB_TASK_LIMIT: usize = 4096;

/// Why the steps of a job are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobError {
    /// The job has no step, or a step without tasks, and would never complete.
    Empty,
    /// The job has more than [`JOB_TASK_LIMIT`] tasks.
    TooLarge,
    /// A step depends on itself, on a later step or on a step that does not exist.
    StepOrder,
}

impl JobSpec {
    /// Checks that the job can complete.
    ///
    /// # Errors
    /// Returns an error if the steps are invalid.
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

/// Why a job was not accepted. None of its tasks has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectReason {
    /// This VM has not received a configuration yet.
    NotReady,
    /// The queue is no longer in the configuration.
    UnknownQueue,
    /// The steps of the job are invalid.
    Invalid,
    /// The job asks for a feature that this version does not support.
    Unsupported,
    /// No target can run one of the tasks, even when idle.
    NoCapableTarget,
    /// The response to the job would come too late.
    Overloaded,
    /// The capacity is insufficient, and other jobs cost their callers more when they are refused.
    OverShare,
    /// The job was accepted, and dropped before any of its tasks was started, because the capacity
    /// has become insufficient.
    Shed,
    /// The job waited too long for free capacity.
    TimedOut,
    /// The process is shutting down and the job has not started.
    Stopping,
    /// Only targets of closed availability zones can run one of the tasks.
    ZoneClosed,
}

impl RejectReason {
    /// The name of the reason in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::UnknownQueue => "unknown_queue",
            Self::Invalid => "invalid",
            Self::Unsupported => "unsupported",
            Self::NoCapableTarget => "no_capable_target",
            Self::Overloaded => "overloaded",
            Self::OverShare => "over_share",
            Self::Shed => "shed",
            Self::TimedOut => "timed_out",
            Self::Stopping => "stopping",
            Self::ZoneClosed => "zone_closed",
        }
    }
}

/// How long a client waits for the answer of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientTimeout {
    /// As the client has stated it. Run times are predicted from it.
    pub stated: Duration,
    /// What is left of it for this VM: less if the job was forwarded, or was taken back.
    pub remaining: Duration,
}

impl ClientTimeout {
    /// Both times, up to `limit`.
    pub fn limited(self, limit: Duration) -> Self {
        Self {
            stated: self.stated.min(limit),
            remaining: self.remaining.min(limit),
        }
    }
}

impl From<Duration> for ClientTimeout {
    fn from(stated: Duration) -> Self {
        Self {
            stated,
            remaining: stated,
        }
    }
}

/// The result of a job as reported to its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobReply {
    /// All tasks are done.
    Completed,
    /// A task reached the limit of failed runs.
    Failed,
    /// No task of the job has run or will run.
    Rejected {
        /// Why.
        reason: RejectReason,
        /// The delay after which the client may submit the job again.
        retry_after: Duration,
    },
    /// The job was abandoned, and some of its tasks may have run.
    Unknown,
    /// The client cancelled the job.
    Cancelled,
}

/// Identifies one process of an entry VM, with its address, zone and processor time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// The name of the VM.
    pub vm: VmName,
    /// The incarnation of the process.
    pub incarnation: IncarnationId,
    /// The address on which the process listens for other entry VMs.
    pub address: SocketAddr,
    /// The availability zone.
    pub zone: ZoneName,
    /// The processor time that is available to the VM.
    pub processor: MilliCores,
}

/// The record through which an entry VM announces itself in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRecord {
    /// The name of the VM.
    pub identity: PeerIdentity,
    /// When the record was written, by the clock of that VM.
    pub written_at: WallTime,
}

/// The record of an entry VM as read from the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerObservation {
    /// The record that the VM wrote.
    pub record: PeerRecord,
    /// Increases with each write of the record.
    pub revision: u64,
}

/// The lifecycle state of an entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerState {
    /// The VM has no configuration or no targets yet.
    Starting,
    /// The VM accepts jobs and holds targets.
    Ready,
    /// The VM is shutting down and releases its targets.
    Leaving,
}

/// A target on which the sender holds the lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HoldingReport {
    /// The name of the target.
    pub target: TargetName,
    /// The fencing token of the sender.
    pub token: FencingToken,
    /// The instance of the target that the sender has confirmed, if it is known.
    pub boot: Option<TargetBoot>,
}

/// The free capacity and the speed of a held target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacityReport {
    /// The resources available to further tasks; zero while the target accepts no runs.
    pub free: ResourceVector,
    /// The run time of tasks on this target as a percentage of their usual run time.
    pub slowdown_percent: u16,
}

/// The longest latency objective that is told apart from longer ones. Sums with times of day and of processes do
/// not overflow.
pub const MAX_OBJECTIVE: Duration = Duration::from_secs(365 * 24 * 60 * 60);

/// Exclusive upper bounds of the slack classes of queued work, in milliseconds. The slack is the time
/// until the work must start. Work with more slack is in a last class without a bound.
const SLACK_CLASS_BOUNDS_MS: [u32; 6] = [25, 50, 100, 200, 400, 800];

/// The number of priority classes; priorities above the last class are counted in it.
pub const PRIORITY_CLASSES: usize = 4;

/// The class in which a priority is counted.
pub fn priority_class(priority: u8) -> usize {
    usize::from(priority).min(PRIORITY_CLASSES - 1)
}

/// The class of work that must start within `slack`.
fn slack_class(slack: Duration) -> usize {
    SLACK_CLASS_BOUNDS_MS.partition_point(|bound| slack >= Duration::from_millis((*bound).into()))
}

/// The queued work of one priority that is not late, by slack class, in core-milliseconds.
type SlackWork = [u64; SLACK_CLASS_BOUNDS_MS.len() + 1];

/// The queued work that is not late, by priority and slack class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WaitingWork([SlackWork; PRIORITY_CLASSES]);

impl WaitingWork {
    /// Adds `work` core-milliseconds that must start within `slack`.
    pub fn add(&mut self, priority: u8, slack: Duration, work: u64) {
        self.0[priority_class(priority)][slack_class(slack)] += work;
    }

    /// How far the targets would be behind schedule if `work` core-milliseconds with this priority and
    /// slack were added: the largest excess, in milliseconds, of the time that all work up to a
    /// slack class takes over the time until that class must start. `all_cores` do the work of higher
    /// priorities that waits now; later they leave `cores` to this priority. The result is negative
    /// while everything can start in time. Work of the same priority with less slack is not delayed by
    /// the added work, and work of a lower priority is not considered, so their start times are not
    /// checked.
    pub fn excess_ms(
        &self,
        priority: u8,
        slack: Duration,
        work: u64,
        cores: f64,
        all_cores: f64,
    ) -> f64 {
        let own_class = slack_class(slack);
        let slack_ms = slack.as_secs_f64() * 1000.0;
        let priority = priority_class(priority);
        let higher_ms = self.higher_work(priority) / all_cores;
        let mut excess = f64::MIN;
        let mut sum = work;
        for (class, queued) in self.0[priority].iter().enumerate() {
            sum += queued;
            if class >= own_class {
                let bound = SLACK_CLASS_BOUNDS_MS
                    .get(class)
                    .copied()
                    .unwrap_or(u32::MAX);
                let bound = f64::from(bound).max(slack_ms);
                excess = excess.max(higher_ms + sum as f64 / cores - bound);
            }
        }
        excess
    }

    fn higher_work(&self, class: usize) -> f64 {
        self.0[..class].iter().flatten().sum::<u64>() as f64
    }

    /// How much of the queued work of a priority class, in core-milliseconds, cannot start until
    /// `margin` after its latest start; `cores` and `all_cores` as for [`Self::excess_ms`].
    pub fn unserved(&self, class: usize, margin: Duration, cores: f64, all_cores: f64) -> f64 {
        let margin_ms = margin.as_secs_f64() * 1000.0 - self.higher_work(class) / all_cores;
        let mut sum = 0.0;
        let mut unserved = 0_f64;
        for (queued, bound) in self.0[class].iter().zip(SLACK_CLASS_BOUNDS_MS) {
            sum += *queued as f64;
            // Higher priorities may leave no time at all, but no more than the queued work is unserved.
            let available_ms = (f64::from(bound) + margin_ms).max(0.0);
            unserved = unserved.max(sum - cores * available_ms);
        }
        unserved
    }

    /// Adds the queued work of another VM.
    pub fn merge(&mut self, other: &Self) {
        let pairs = self.0.iter_mut().flatten().zip(other.0.iter().flatten());
        for (class, work) in pairs {
            *class += work;
        }
    }

    /// The total of a priority class and all higher ones, in core-milliseconds.
    pub fn total_to(&self, class: usize) -> u64 {
        self.0[..=class].iter().flatten().sum()
    }

    /// The total over all priorities and slack classes, in core-milliseconds.
    pub fn total(&self) -> u64 {
        self.0.iter().flatten().sum()
    }
}

/// The number of density classes; work of the last class is the least dense.
pub const DENSITY_CLASSES: usize = 6;

/// Amounts of work or load by priority class and density class.
///
/// On the wire, the amounts follow each other without the zeros at the end, so that a table without
/// work takes one byte.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<u32>", into = "Vec<u32>")]
pub struct DensityTable(pub [[u32; DENSITY_CLASSES]; PRIORITY_CLASSES]);

impl From<Vec<u32>> for DensityTable {
    fn from(amounts: Vec<u32>) -> Self {
        let mut table = Self::default();
        for (cell, amount) in table.0.iter_mut().flatten().zip(amounts) {
            *cell = amount;
        }
        table
    }
}

impl From<DensityTable> for Vec<u32> {
    fn from(table: DensityTable) -> Self {
        let mut amounts = table.0.concat();
        while amounts.last() == Some(&0) {
            amounts.pop();
        }
        amounts
    }
}

impl DensityTable {
    /// Adds an amount of a priority and a density class; the last density class takes all beyond it.
    pub fn add(&mut self, priority: u8, density: usize, amount: u32) {
        let row = &mut self.0[priority_class(priority)];
        let cell = &mut row[density.min(DENSITY_CLASSES - 1)];
        *cell = cell.saturating_add(amount);
    }

    /// Adds the amounts of another VM.
    pub fn merge(&mut self, other: &Self) {
        let pairs = self.0.iter_mut().flatten().zip(other.0.iter().flatten());
        for (cell, amount) in pairs {
            *cell = cell.saturating_add(*amount);
        }
    }
}

/// Whether a queued task can still meet the latency objective of its job. Earlier variants are
/// served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum TaskTimeliness {
    /// The job can still meet its objective.
    #[default]
    InTime,
    /// The job will miss its objective.
    Late,
    /// The job will miss its objective by so much that its result is of little use.
    TooLate,
}

/// The most racks that a VM reports as preferred by its waiting tasks.
pub const RACK_LIMIT: usize = 4;

/// Identifies a rack between VMs: a hash of its label; 0 stands for no rack.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RackId(u32);

impl RackId {
    /// The id of the rack with this label.
    pub fn of_label(label: &str) -> Self {
        Self(KindId::of_label(label).0.max(1))
    }
}

/// Up to [`RACK_LIMIT`] racks that waiting tasks prefer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<RackId>", into = "Vec<RackId>")]
pub struct RackTable([RackId; RACK_LIMIT]);

impl RackTable {
    /// The racks.
    pub fn into_racks(self) -> impl Iterator<Item = RackId> {
        self.0.into_iter().filter(|rack| *rack != RackId::default())
    }
}

impl From<Vec<RackId>> for RackTable {
    fn from(racks: Vec<RackId>) -> Self {
        let mut table = Self::default();
        for (place, rack) in table.0.iter_mut().zip(racks) {
            *place = rack;
        }
        table
    }
}

impl From<RackTable> for Vec<RackId> {
    fn from(table: RackTable) -> Self {
        table.into_racks().collect()
    }
}

/// The most kinds of targets whose speed is learned.
pub const KIND_LIMIT: usize = 8;

/// Identifies a kind of targets between VMs: a hash of its label.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub u32);

impl KindId {
    /// The id of the kind with this label (32-bit FNV-1a).
    pub fn of_label(label: &str) -> Self {
        let hash = label.bytes().fold(0x811c_9dc5_u32, |hash, byte| {
            (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
        });
        Self(hash)
    }
}

/// The speed of a kind of targets as its sender has learned it from runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, i16, u8)", into = "(u32, i16, u8)")]
pub struct KindSpeedReport {
    /// The kind.
    pub kind: KindId,
    /// The natural logarithm of the factor on run times, in thousandths.
    log_permille: i16,
    /// The weight of the estimate, in runs.
    pub weight: u8,
}

impl KindSpeedReport {
    /// The report of a factor on run times, given by its natural logarithm.
    pub fn new(kind: KindId, log_factor: f64, weight: u8) -> Self {
        Self {
            kind,
            // The conversion saturates.
            log_permille: (log_factor * 1000.0).round() as i16,
            weight,
        }
    }

    /// The natural logarithm of the factor on run times.
    pub fn log_factor(&self) -> f64 {
        f64::from(self.log_permille) / 1000.0
    }
}

impl From<(u32, i16, u8)> for KindSpeedReport {
    fn from((kind, log_permille, weight): (u32, i16, u8)) -> Self {
        Self {
            kind: KindId(kind),
            log_permille,
            weight,
        }
    }
}

impl From<KindSpeedReport> for (u32, i16, u8) {
    fn from(report: KindSpeedReport) -> Self {
        (report.kind.0, report.log_permille, report.weight)
    }
}

/// The speeds of up to [`KIND_LIMIT`] kinds of targets. Reports without weight are left out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<KindSpeedReport>", into = "Vec<KindSpeedReport>")]
pub struct KindSpeedTable([KindSpeedReport; KIND_LIMIT]);

impl KindSpeedTable {
    /// The reports.
    pub fn into_reports(self) -> impl Iterator<Item = KindSpeedReport> {
        self.0.into_iter().filter(|report| report.weight > 0)
    }
}

impl From<Vec<KindSpeedReport>> for KindSpeedTable {
    fn from(reports: Vec<KindSpeedReport>) -> Self {
        let mut table = Self::default();
        for (place, report) in table.0.iter_mut().zip(reports) {
            *place = report;
        }
        table
    }
}

impl From<KindSpeedTable> for Vec<KindSpeedReport> {
    fn from(table: KindSpeedTable) -> Self {
        table.into_reports().collect()
    }
}

/// The tasks that are queued at the sender because no target has enough free capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// The number of queued tasks.
    pub tasks: u32,
    /// The timeliness of the most urgent task.
    #[serde(rename = "hope")]
    pub timeliness: TaskTimeliness,
    /// The priority of the most urgent task; 0 is the highest.
    pub priority: u8,
    /// The time until the most urgent task must start, in milliseconds; negative if it is late.
    pub slack_ms: i32,
    /// The minimum of the requested resources over all queued tasks, in each dimension.
    #[serde(rename = "least")]
    pub min_resources: ResourceVector,
    /// The expected processor time of the queued tasks that are not late.
    pub work: WaitingWork,
    /// The recent offered load of the sender's clients, in tenths of cores.
    pub offered: DensityTable,
    /// The work of the waiting jobs of which no task may have started, in core-milliseconds.
    pub droppable: DensityTable,
    /// The speeds of kinds of targets that the sender has learned from runs.
    pub kind_speeds: KindSpeedTable,
    /// The racks that the queued tasks prefer, those of the most urgent tasks first.
    pub racks: RackTable,
}

/// The timeliness, the priority and the slack in milliseconds of a queued task. The queued tasks of
/// all VMs are compared by it; lower ranks are served first.
pub type TaskRank = (TaskTimeliness, u8, i32);

/// The timeliness and the priority of a task; lower classes are served first.
pub type DemandClass = (TaskTimeliness, u8);

impl DemandReport {
    /// The rank of the most urgent task; lower ranks are served first.
    pub fn rank(&self) -> TaskRank {
        (self.timeliness, self.priority, self.slack_ms)
    }

    /// The class of the most urgent task, if any task is queued.
    pub fn class(&self) -> Option<DemandClass> {
        (self.tasks > 0).then_some((self.timeliness, self.priority))
    }
}

/// Identifies an offer among the offers of its sender.
pub type OfferNumber = u32;

/// One task that a coordinator asks a holder to run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskPlacement {
    /// The name of the task.
    pub task: TaskName,
    /// The lowest number that the run may have.
    pub run: RunNumber,
    /// The resources that the run needs.
    #[serde(rename = "room")]
    pub resources: ResourceVector,
    /// The target that the coordinator suggests.
    pub target: TargetName,
    /// Targets that must not run the task.
    pub excluded: Vec<TargetName>,
    /// The expected run time, in milliseconds.
    pub expected_ms: u32,
    /// Whether the run must have an idle target to itself at first, because a target has crashed
    /// while it had the task.
    pub on_trial: bool,
}

/// Asks a holder to run tasks of one job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlaceRequest {
    /// The queue, under which the holder records the measured run times.
    pub queue: QueueName,
    /// The service whose targets may run the tasks.
    pub service: ServiceName,
    /// Passed to targets unchanged.
    pub payload: Rc<str>,
    /// A label that a target must have to run the tasks.
    pub required_label: Option<Box<str>>,
    /// The offer that this request accepts, if any.
    pub offer: Option<OfferNumber>,
    /// When the coordinator made the request, on its own clock. A holder refuses an old request,
    /// because the coordinator may have placed the tasks elsewhere since.
    pub issued_at: TimePoint,
    /// The tasks.
    pub tasks: Vec<TaskPlacement>,
    /// The losses of the coordinator that, as far as it knew, the holder had declared. A holder
    /// refuses a request from before its latest loss: the coordinator counts it as dropped.
    pub losses: LossCount,
    /// The process of the VM that has forwarded the job, if one has. The envelope states until when the
    /// coordinator has heard it.
    pub origin: Option<IncarnationId>,
    /// The rack away from which the tasks run longer.
    pub preferred_rack: Option<RackId>,
    /// How many tasks of the step may run on one target at the same time.
    pub spread_limit: Option<u16>,
}

/// Why a holder does not run a task. The task has certainly not started and will not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlaceRefusal {
    /// No target that the holder holds has enough free capacity.
    #[serde(rename = "no_room")]
    NoCapacity,
    /// An earlier run of the task, for example of a failed coordinator, was on a target that the
    /// holder holds. The holder refuses the request when that run has ended.
    StillRunning,
    /// The request was delayed for too long in transit, or was made before the holder last declared
    /// the coordinator lost.
    Stale,
    /// The target refused to start the run.
    RefusedByTarget,
    /// The target has already seen a run of the task with this number or a higher one.
    OldRun,
    /// The start was requested, and the target has certainly not carried it out.
    NeverStarted,
    /// The availability zone of the target is closed.
    ZoneClosed,
    /// As many tasks of the step as permitted are on the target.
    SpreadLimit,
}

/// Tells a coordinator how a run has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndNotice {
    /// The name of the run.
    pub run: RunName,
    /// The target on which it ran.
    pub target: TargetName,
    /// How the run ended.
    pub end: RunEnd,
    /// The run time in milliseconds, if the holder knows it.
    pub took_ms: Option<u32>,
}

/// The capacity that a target lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCapacity {
    /// The target.
    pub target: TargetName,
    /// Its capacity.
    pub capacity: ResourceVector,
}

/// A crash of a target, and the tasks that the target had.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The target.
    pub target: TargetName,
    /// The fencing token of the holder that has noticed the crash. A holder with a higher one for the same instance
    /// knows better which runs the target had.
    pub token: FencingToken,
    /// The instance that has crashed, if it is known.
    pub boot: Option<TargetBoot>,
    /// The tasks whose runs were on the target, or may have been.
    pub tasks: Vec<TaskName>,
    /// The task, if it was the only one.
    pub alone: Option<TaskName>,
    /// Those of the tasks whose runs the target had not confirmed, so that they may never have started.
    pub unconfirmed: Vec<TaskName>,
}

/// A run that its coordinator still needs, with its resources.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeptRun {
    /// The name of the run.
    pub run: RunName,
    /// The resources that the run needs.
    #[serde(rename = "room")]
    pub resources: ResourceVector,
    /// The expected run time, in milliseconds.
    pub expected_ms: u32,
    /// As in [`PlaceRequest`].
    pub origin: Option<IncarnationId>,
}

/// A message between entry VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetMessage {
    /// From a coordinator to a holder: run these tasks.
    Place(PlaceRequest),
    /// From a coordinator to a holder: stop these tasks, or do not start them.
    Withdraw(Vec<TaskName>),
    /// From a holder to a coordinator: a target has free capacity for a queued task.
    Offer {
        /// The number of the offer.
        offer: OfferNumber,
        /// The name of the target.
        target: TargetName,
        /// The free capacity of the target.
        #[serde(rename = "room")]
        resources: ResourceVector,
    },
    /// From a coordinator to a holder: the offer is declined.
    Decline(OfferNumber),
    /// From a holder to a coordinator: a task was not started.
    Refused {
        /// The run that was not started.
        run: RunName,
        /// Why.
        refusal: PlaceRefusal,
    },
    /// From a holder to a coordinator: how a run has ended.
    Ended(EndNotice),
    /// From a new holder to all VMs: how a run has ended that a previous holder started.
    FoundEnd(EndNotice),
    /// From a holder to a coordinator: the sender no longer holds the target. The runs may continue
    /// until their lease ends, or until another holder takes them over.
    Released {
        /// The name of the target.
        target: TargetName,
        /// The names of the runs.
        runs: Vec<RunName>,
        /// The token of the claim under which the sender had the runs, or was told to keep them: a
        /// coordinator ignores the message if it knows of a later claim.
        token: FencingToken,
    },
    /// From a new holder to all VMs: asks for the coordinators of runs that it found on a target.
    Inquire {
        /// The target on which they run.
        target: TargetName,
        /// The sender's token for the target: a coordinator ignores the question if it knows of a
        /// later holder.
        token: FencingToken,
        /// The names of the runs.
        runs: Vec<RunName>,
    },
    /// From a coordinator to a new holder: these runs belong to the sender and are still needed.
    Keep {
        /// The target on which they run.
        target: TargetName,
        /// The names of the runs.
        runs: Vec<KeptRun>,
        /// As in [`PlaceRequest`].
        losses: LossCount,
        /// The token of the question that this answers; absent if the message changes runs that the
        /// holder has adopted.
        claim: Option<FencingToken>,
    },
    /// From a VM to those that may get the jobs concerned: targets have crashed.
    Crashed(Vec<CrashReport>),
    /// From a VM that cannot read the list of targets: asks for the changes of capacities.
    AskCapacities {
        /// When the question was asked, on the sender's clock; the answer repeats it.
        asked_at: TimePoint,
        /// For how long the sender has not known the changes, in milliseconds.
        age_ms: u32,
    },
    /// Answers `AskCapacities`; sent only by a VM that has read all changes in question.
    Capacities {
        /// When the question was asked, on the receiver's clock.
        asked_at: TimePoint,
        /// How long ago the sender has read the list, in milliseconds.
        age_ms: u32,
        /// The present capacities of the targets whose capacities have changed.
        changed: Vec<TargetCapacity>,
    },
    /// From a VM that has forwarded a job to its receiver: no client of the sender waits for the answer of
    /// this exchange any more.
    Abandon {
        /// The job.
        job: JobId,
        /// When the job was forwarded, on the sender's clock: tells the exchanges of a job apart.
        forwarded_at: TimePoint,
    },
    /// From a holder to a coordinator: a run was requested of another target than the suggested one.
    Redirected {
        /// The run.
        run: RunName,
        /// The target that the holder has chosen.
        target: TargetName,
        /// The sender's token for this target.
        token: FencingToken,
    },
    /// From a VM whose client has cancelled a job which the VM does not have: cancel it.
    Cancel(JobId),
    /// Answers `Cancel`.
    CancelDone {
        /// The job.
        job: JobId,
        /// Whether the sender coordinated the job.
        found: bool,
    },
}

/// What one entry VM sends to another: its pending messages and its current state.
///
/// Messages are numbered, so an envelope that is received twice takes effect once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// The process that sends the envelope.
    pub from: PeerIdentity,
    /// The process that the envelope is addressed to; absent if the sender does not know one yet, and
    /// then any process at the address accepts it. Always present if the envelope names a message.
    pub to: Option<IncarnationId>,
    /// How often the sender has declared the receiver lost. When the number increases, the sender
    /// has dropped all work that it did for the receiver.
    pub losses: LossCount,
    /// When the envelope was sent, on the sender's clock.
    pub sent_at: TimePoint,
    /// When the receiver's latest message that has arrived at the sender was sent, on the receiver's
    /// clock; absent if none has arrived. Shows the receiver that messages pass in both directions.
    pub heard_until: Option<TimePoint>,
    /// The maximum time until the sender's next envelope to the receiver, in milliseconds.
    #[serde(rename = "beat_ms")]
    pub heartbeat_interval_ms: u32,
    /// The lifecycle state of the sender.
    pub state: PeerState,
    /// How long ago the sender's process has started, in milliseconds.
    pub uptime_ms: u32,
    /// The version of the sender's configuration, if it has one.
    pub config_version: Option<ConfigVersion>,
    /// The number of the first message.
    pub first_message: u64,
    /// The messages, numbered consecutively.
    pub messages: Vec<FleetMessage>,
    /// The number of the next message that the sender expects from the receiver.
    pub next_expected: u64,
    /// The tasks that are queued at the sender.
    pub demand: DemandReport,
    /// Increases with each change of `holdings`.
    pub holdings_version: u32,
    /// The targets that the sender holds; absent if the receiver already has this version.
    pub holdings: Option<Vec<HoldingReport>>,
    /// The capacity of each held target, in the order of the holdings.
    #[serde(rename = "rooms")]
    pub capacities: Vec<CapacityReport>,
    /// The availability zones that are closed or were opened recently, as far as the sender knows.
    pub zones: Vec<ZoneReport>,
    /// How busy the sender itself is.
    pub routing: RoutingReport,
    /// The processes that have forwarded jobs to the sender whose runs the receiver may have.
    pub origins: Vec<OriginContact>,
}

/// Until when a coordinator has heard a process that has forwarded jobs to it. The runs of these jobs may
/// go on only for a limited time after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginContact {
    /// The process.
    pub process: IncarnationId,
    /// The time from its last sign of life to the sending of the envelope, in milliseconds.
    pub silence_ms: u32,
}

/// What VMs of a zone report to choose the VM that coordinates a new job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingReport {
    /// Whether the sender takes jobs of other VMs: it is ready and not late.
    pub open: bool,
    /// How late the sender's timers are handled, in milliseconds.
    pub lateness_ms: u16,
    /// The jobs that the sender has begun to coordinate lately, in tenths of a job per second.
    pub job_rate: u16,
}

/// Acknowledges an envelope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EnvelopeAck {
    /// The process that sends the acknowledgement.
    pub incarnation: IncarnationId,
    /// Whether the envelope was addressed to this process and has been processed.
    pub accepted: bool,
    /// The number of the next message that the process expects from the sender.
    pub next_expected: u64,
    /// The version of the sender's holdings that the process has received.
    pub holdings_version: u32,
    /// When the acknowledgement was sent, on the clock of the process that sends it.
    pub sent_at: TimePoint,
    /// Until when, on the same clock, clients have waited for each job that the process has forwarded to
    /// the receiver, apart from those whose end the process has certainly told the receiver.
    pub clients_until: TimePoint,
}
