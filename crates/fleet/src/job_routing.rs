//! Chooses the VM that coordinates a new job.
//!
//! The balancer gives each VM the same share of the clients, but the VMs of a zone differ in
//! processor time. A VM that handles its events late forwards a part of its new jobs to VMs of its
//! zone with fewer jobs for their processor time. Each VM decides for itself, from its own lateness
//! and from the reports in the envelopes of its peers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use filbertpitch_dispatch::entity::VmIndex;
use filbertpitch_dispatch::job::CallerToken;
use filbertpitch_types::fleet::RoutingReport;
use filbertpitch_types::prelude::*;
use rand::Rng;
use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;

/// When jobs are forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutingSettings {
    /// Whether this VM forwards jobs, and offers itself to VMs that do.
    pub enabled: bool,
    /// The lateness from which jobs are forwarded. With zero, all jobs for which there is a receiver
    /// are forwarded.
    pub lateness: Duration,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            enabled: true,
            lateness: Duration::from_millis(8),
        }
    }
}

/// The time constant with which the lateness is smoothed: a VM that becomes late is recognised within
/// a few hundred milliseconds.
const LATENESS_PERIOD: Duration = Duration::from_millis(500);

/// The longest time for which one sample counts. Timers fire at least ten times a second, so that a
/// longer gap is a pause of the process, and the sample says little about the time in it.
const MAX_SAMPLE_WEIGHT: Duration = Duration::from_millis(100);

/// Samples count up to this multiple of the lateness from which jobs are forwarded, so that a single
/// delay does not make a VM late: one sample of full weight raises the mean by 0.18 of its value.
const MAX_SAMPLE_FACTOR: u32 = 4;

/// The time constant of the rates of jobs.
const RATE_PERIOD: Duration = Duration::from_secs(1);

/// The processor time of a VM that is not available to jobs: what envelopes and polls may cost.
const CONTROL_COST: f64 = 0.025;

/// The least part of a VM's processor time that counts as available to jobs.
const MIN_JOB_SHARE: f64 = 0.25;

/// How far receivers may exceed the mean number of jobs for their processor time. A VM that is late at
/// the mean has less processor time than it reports, or other work.
const RECEIVER_EXCESS: f64 = 1.25;

/// The age from which a report no longer counts. The longest interval between envelopes within a
/// zone is 600 ms at 147 VMs.
const MAX_REPORT_AGE: Duration = Duration::from_millis(700);

/// The least time in which an answer at the client's deadline is passed on, on a VM that is not late.
const MIN_RELAY_TIME: Duration = Duration::from_millis(5);

/// The time in which a late VM passes on an answer, as a multiple of its mean lateness: many events are
/// handled later than the mean.
const RELAY_LATENESS_FACTOR: u32 = 2;

/// How long a job that its receiver has not taken is not forwarded again. Clients wait about two
/// seconds.
const TAKEN_BACK_PERIOD: Duration = Duration::from_secs(5);

/// How the exchange in which a job was forwarded has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardingEnd {
    /// The answer of the receiver was relayed.
    Answered,
    /// The receiver has not taken the job, which has not started there.
    NotTaken,
    /// The receiver could not be reached, and nothing was sent.
    NotSent,
    /// The exchange failed after the job may have been sent.
    Broken,
    /// The client has left or cancelled the job.
    Abandoned,
}

impl ForwardingEnd {
    /// The name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotTaken => "not_taken",
            Self::NotSent => "not_sent",
            Self::Broken => "broken",
            Self::Abandoned => "abandoned",
        }
    }

    /// Whether the job has certainly not started at the receiver, so that this VM coordinates it.
    pub fn is_taken_back(self) -> bool {
        matches!(self, Self::NotTaken | Self::NotSent)
    }
}

/// A job that was forwarded to another VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentJob {
    /// The VM that coordinates the job.
    pub receiver: VmIndex,
    /// When the job was forwarded.
    pub forwarded_at: TimePoint,
}

/// A job that another VM has forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedJob {
    /// The VM that has forwarded the job.
    pub origin: VmIndex,
    /// The job.
    pub job: JobId,
    /// When the job was forwarded, on the clock of that VM.
    pub forwarded_at: TimePoint,
}

/// The recent rate of events, with an exponentially decaying weight.
#[derive(Clone, Copy, Debug, Default)]
struct RecentRate {
    per_second: f64,
    at: TimePoint,
}

impl RecentRate {
    fn at(&self, now: TimePoint) -> f64 {
        let elapsed = now.since(self.at).as_secs_f64();
        self.per_second * (-elapsed / RATE_PERIOD.as_secs_f64()).exp()
    }

    fn record(&mut self, now: TimePoint) {
        self.per_second = self.at(now) + rate_of(1);
        self.at = now;
    }
}

/// The rate by which `jobs` that were just added exceed a report.
fn rate_of(jobs: u32) -> f64 {
    f64::from(jobs) / RATE_PERIOD.as_secs_f64()
}

/// The mean lateness of timers.
#[derive(Clone, Copy, Debug, Default)]
struct LatenessMeter {
    mean: Duration,
    sampled_at: Option<TimePoint>,
}

impl LatenessMeter {
    fn record(&mut self, now: TimePoint, sample: Duration) {
        let former = self.sampled_at.replace(now);
        let weight = former.map_or(Duration::ZERO, |former| {
            now.since(former).min(MAX_SAMPLE_WEIGHT)
        });
        let kept = (-weight.as_secs_f64() / LATENESS_PERIOD.as_secs_f64()).exp();
        self.mean = self.mean.mul_f64(kept) + sample.mul_f64(1.0 - kept);
    }
}

/// What is known of another VM of the zone.
#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    processor: MilliCores,
    report: RoutingReport,
    /// When the report was sent, on the clock of the peer.
    sent_at: TimePoint,
    received_at: TimePoint,
    /// The jobs that were forwarded to the peer since the report.
    forwarded: u32,
    /// Whether the peer has not taken a job, or was not reached, since the report.
    refused: bool,
}

impl PeerLoad {
    /// The jobs per second that the peer coordinates.
    fn job_rate(&self) -> f64 {
        f64::from(self.report.job_rate) / 10.0 + rate_of(self.forwarded)
    }

    fn is_recent(&self, now: TimePoint) -> bool {
        now.since(self.received_at) <= MAX_REPORT_AGE
    }
}

/// The processor time that is available to jobs, in cores.
fn job_cores(processor: MilliCores) -> f64 {
    let cores = f64::from(processor.0) / 1000.0;
    (cores - CONTROL_COST).max(cores * MIN_JOB_SHARE)
}

/// Decides which new jobs are forwarded and to which VM, and remembers the jobs that were forwarded
/// from and to this VM.
#[derive(Clone, Debug)]
pub struct JobRouter {
    settings: RoutingSettings,
    processor: MilliCores,
    lateness: LatenessMeter,
    late: bool,
    /// New jobs of this VM's clients, whether they are forwarded or not.
    arrivals: RecentRate,
    /// New jobs that this VM coordinates.
    coordinated: RecentRate,
    /// The reports of the other VMs of the zone.
    peers: BTreeMap<VmIndex, PeerLoad>,
    /// The receivers of forwarded jobs whose exchange is open.
    exchanges: BTreeMap<JobId, SentJob>,
    /// The VMs that have forwarded jobs to this one, until the job is answered.
    received: BTreeMap<CallerToken, ReceivedJob>,
    /// Jobs whose request has not arrived although the VM that has forwarded them no longer waits, and
    /// when this VM has learned so.
    abandoned: VecDeque<(TimePoint, ReceivedJob)>,
    /// Holders, and the VMs that have forwarded the jobs whose runs the holder may have.
    run_origins: BTreeSet<(VmIndex, VmIndex)>,
    /// Jobs that their receiver has not taken.
    taken_back: VecDeque<(TimePoint, JobId)>,
}

impl JobRouter {
    /// A router of a VM with this processor time.
    pub fn new(settings: RoutingSettings, processor: MilliCores) -> Self {
        Self {
            late: settings.lateness.is_zero(),
            settings,
            processor,
            lateness: LatenessMeter::default(),
            arrivals: RecentRate::default(),
            coordinated: RecentRate::default(),
            peers: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            received: BTreeMap::new(),
            abandoned: VecDeque::new(),
            run_origins: BTreeSet::new(),
            taken_back: VecDeque::new(),
        }
    }

    /// Records how late a timer has fired. A VM becomes late at the lateness of the settings, and
    /// stops being late at half of it.
    pub fn record_lateness(&mut self, now: TimePoint, sample: Duration) {
        let threshold = self.settings.lateness;
        self.lateness
            .record(now, sample.min(threshold * MAX_SAMPLE_FACTOR));
        self.late = match self.late {
            true => self.lateness.mean >= threshold / 2,
            false => self.lateness.mean >= threshold,
        };
    }

    /// The mean lateness of timers. Each sample counts up to four times the lateness from which jobs
    /// are forwarded.
    pub fn lateness(&self) -> Duration {
        self.lateness.mean
    }

    /// The part of a client's time-out that this VM keeps to pass on the answer of a receiver.
    pub fn relay_time(&self) -> Duration {
        MIN_RELAY_TIME.max(self.lateness.mean * RELAY_LATENESS_FACTOR)
    }

    /// Whether this VM may forward jobs.
    pub fn forwards(&self) -> bool {
        self.late && self.settings.enabled
    }

    /// The report for the other VMs of the zone.
    pub fn report(&self, now: TimePoint, ready: bool) -> RoutingReport {
        let lateness = self.lateness.mean.as_millis();
        RoutingReport {
            open: ready && !self.late && self.settings.enabled,
            lateness_ms: u16::try_from(lateness).unwrap_or(u16::MAX),
            // The conversion saturates.
            job_rate: (self.coordinated.at(now) * 10.0).round() as u16,
        }
    }

    /// Records the report of a VM of the same zone, sent at `sent_at` by its own clock.
    pub fn record_report(
        &mut self,
        now: TimePoint,
        peer: VmIndex,
        processor: MilliCores,
        sent_at: TimePoint,
        report: RoutingReport,
    ) {
        let known = self.peers.get(&peer);
        if known.is_some_and(|load| load.sent_at > sent_at) {
            return;
        }
        let load = PeerLoad {
            processor,
            report,
            sent_at,
            received_at: now,
            forwarded: 0,
            refused: false,
        };
        self.peers.insert(peer, load);
    }

    /// Records a new job of a client of this VM.
    pub fn record_arrival(&mut self, now: TimePoint) {
        self.arrivals.record(now);
    }

    /// Records a new job that this VM coordinates.
    pub fn record_coordinated(&mut self, now: TimePoint) {
        self.coordinated.record(now);
    }

    /// Chooses the VM to which a new job is forwarded; `None` if this VM coordinates it. `accepts`
    /// tells whether a peer can be asked. A VM that is late keeps as many jobs as its processor time
    /// permits at the mean of the zone, and fewer the later it is.
    pub fn choose_receiver<F, R>(
        &mut self,
        now: TimePoint,
        job: JobId,
        accepts: F,
        rng: &mut R,
    ) -> Option<VmIndex>
    where
        F: Fn(VmIndex) -> bool,
        R: Rng,
    {
        self.taken_back
            .retain(|(at, _)| now.since(*at) < TAKEN_BACK_PERIOD);
        if !self.forwards() || self.taken_back.iter().any(|(_, known)| *known == job) {
            return None;
        }
        let live = self.peers.iter().filter(|(_, load)| load.is_recent(now));
        let live = live.map(|(peer, load)| (*peer, *load)).collect::<Vec<_>>();
        let mean = self.mean_density(now, &live);
        if !rng.random_bool(self.forwarded_share(now, mean)) {
            return None;
        }
        let open = live
            .into_iter()
            .filter(|(peer, load)| load.report.open && !load.refused && accepts(*peer));
        let receivers = open
            .map(|(peer, load)| (peer, self.receiver_weight(&load, mean)))
            .filter(|(_, weight)| *weight > 0.0)
            .collect::<Vec<_>>();
        let weights = WeightedIndex::new(receivers.iter().map(|(_, weight)| *weight)).ok()?;
        Some(receivers[weights.sample(rng)].0)
    }

    /// The jobs per second for each core that is available to jobs, as a mean of the zone.
    fn mean_density(&self, now: TimePoint, live: &[(VmIndex, PeerLoad)]) -> f64 {
        let rates = live.iter().map(|(_, load)| load.job_rate());
        let cores = live.iter().map(|(_, load)| job_cores(load.processor));
        let rate = rates.sum::<f64>() + self.coordinated.at(now);
        rate / (cores.sum::<f64>() + job_cores(self.processor)).max(f64::EPSILON)
    }

    /// The share of the new jobs that is forwarded.
    fn forwarded_share(&self, now: TimePoint, mean: f64) -> f64 {
        let threshold = self.settings.lateness;
        if threshold.is_zero() {
            return 1.0;
        }
        let lateness = self.lateness.mean.as_secs_f64();
        let kept_part = (threshold.as_secs_f64() / lateness.max(f64::EPSILON)).min(1.0);
        let kept = mean * job_cores(self.processor) * kept_part;
        let arrivals = self.arrivals.at(now).max(f64::EPSILON);
        (1.0 - kept / arrivals).clamp(0.0, 1.0)
    }

    /// The weight of a VM in the choice of a receiver: the jobs per second that it can take before it
    /// exceeds the mean. So VMs that choose independently fill all receivers to the same level.
    fn receiver_weight(&self, load: &PeerLoad, mean: f64) -> f64 {
        let cores = job_cores(load.processor);
        match self.settings.lateness.is_zero() {
            true => cores / (load.job_rate() + 1.0),
            false => RECEIVER_EXCESS * mean * cores - load.job_rate(),
        }
    }

    /// Records that a job is being forwarded.
    pub fn start_exchange(&mut self, now: TimePoint, job: JobId, receiver: VmIndex) {
        let sent = SentJob {
            receiver,
            forwarded_at: now,
        };
        self.exchanges.insert(job, sent);
        if let Some(load) = self.peers.get_mut(&receiver) {
            load.forwarded += 1;
        }
    }

    /// Records the end of an exchange, and returns it.
    pub fn finish_exchange(
        &mut self,
        now: TimePoint,
        job: JobId,
        end: ForwardingEnd,
    ) -> Option<SentJob> {
        let sent = self.exchanges.remove(&job)?;
        if end.is_taken_back() {
            self.taken_back.push_back((now, job));
        }
        if !matches!(end, ForwardingEnd::Answered | ForwardingEnd::Abandoned)
            && let Some(load) = self.peers.get_mut(&sent.receiver)
        {
            load.refused = true;
        }
        Some(sent)
    }

    /// The jobs that are being forwarded, with their receivers.
    pub fn exchanges(&self) -> impl Iterator<Item = (JobId, VmIndex)> {
        self.exchanges
            .iter()
            .map(|(job, sent)| (*job, sent.receiver))
    }

    /// Records that a caller is another VM, which has forwarded a job.
    pub fn start_received(&mut self, caller: CallerToken, job: ReceivedJob) {
        self.received.insert(caller, job);
    }

    /// The caller for which a forwarded job is coordinated.
    pub fn find_received(&self, job: ReceivedJob) -> Option<CallerToken> {
        let mut received = self.received.iter();
        let found = received.find(|(_, known)| **known == job);
        found.map(|(caller, _)| *caller)
    }

    /// Records that the VM which has forwarded a job no longer waits, before the request has arrived. The
    /// request counts as too old after `max_delay`.
    pub fn record_abandoned(&mut self, now: TimePoint, job: ReceivedJob, max_delay: Duration) {
        self.abandoned.retain(|(at, _)| now.since(*at) <= max_delay);
        self.abandoned.push_back((now, job));
    }

    /// Whether the VM that has forwarded a job no longer waits.
    pub fn is_abandoned(&self, job: ReceivedJob) -> bool {
        self.abandoned.iter().any(|(_, known)| *known == job)
    }

    /// Forgets a caller that was answered or has left.
    pub fn finish_received(&mut self, caller: CallerToken) {
        self.received.remove(&caller);
    }

    /// The callers that are other VMs, with these VMs.
    pub fn received(&self) -> impl Iterator<Item = (CallerToken, VmIndex)> {
        self.received
            .iter()
            .map(|(caller, job)| (*caller, job.origin))
    }

    /// The VM that a caller is, unless it is a client.
    pub fn origin_of(&self, caller: CallerToken) -> Option<VmIndex> {
        Some(self.received.get(&caller)?.origin)
    }

    /// Whether a job that a VM has forwarded is not answered yet.
    pub fn has_received_from(&self, origin: VmIndex) -> bool {
        self.received.values().any(|job| job.origin == origin)
    }

    /// Records that a holder gets a run of a job that `origin` has forwarded.
    pub fn record_run_origin(&mut self, holder: VmIndex, origin: VmIndex) {
        self.run_origins.insert((holder, origin));
    }

    /// Replaces what is known of the holders' runs: pairs of a holder and a VM that has forwarded a job.
    pub fn set_run_origins(&mut self, run_origins: BTreeSet<(VmIndex, VmIndex)>) {
        self.run_origins = run_origins;
    }

    /// The VMs that have forwarded the jobs whose runs a holder may have.
    pub fn run_origins_at(&self, holder: VmIndex) -> impl Iterator<Item = VmIndex> {
        let pairs = self.run_origins.range((holder, VmIndex::from(0_usize))..);
        let pairs = pairs.take_while(move |(vm, _)| *vm == holder);
        pairs.map(|(_, origin)| *origin)
    }

    /// The VMs to which this VM has forwarded jobs, and those that have forwarded jobs to it. Their
    /// loss must be noticed soon.
    pub fn partners(&self) -> impl Iterator<Item = VmIndex> {
        let receivers = self.exchanges.values().map(|sent| sent.receiver);
        receivers.chain(self.received.values().map(|job| job.origin))
    }

    /// Forgets the report of a VM that was marked lost or replaced.
    pub fn forget_report(&mut self, peer: VmIndex) {
        self.peers.remove(&peer);
    }
}
