//! A target that this VM holds: its runs, its lease, and the schedule of its polls.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use filbertpitch_dispatch::entity::VmIndex;
use filbertpitch_types::lease::{
    CallOptions, PollReport, PollRequest, RunRequest, StartAnswer, StartRefusal, StopRequest,
};
use filbertpitch_types::prelude::*;

use crate::health::{HealthSettings, TargetHealth};
use crate::lease_limits::LeaseLimits;
use crate::ledger::{CapacityLedger, ListedCapacity, ListedRun, RunPhase, RunPlace, TargetRun};
use crate::registry::TargetInstance;
use crate::response_timeout::{RttEstimator, TimeoutBounds};
use crate::target_clock::{TargetClock, longest_lease_within, max_lease_duration};

/// How long a target may take to end its runs after their lease has expired: as long as it may take for
/// a stop.
pub const EXPIRY_TIME: Duration = Duration::from_millis(50);

/// The consecutive failed polls after which a target may count as unreachable.
const UNREACHABLE_POLLS: u32 = 2;

/// How long a target without responses still counts as reachable while calls time out: leaves time
/// for several polls when responses get lost.
const SILENCE_LIMIT: Duration = Duration::from_millis(350);

/// The shortest time for which a target may hold a poll open: bounds the polls of a target whose
/// lease cannot be renewed.
const MIN_POLL_WAIT: Duration = Duration::from_millis(50);

/// How often a start request is sent before the holder stops retrying; further retries would come
/// too late for most jobs.
const MAX_START_SENDS: u32 = 6;

/// Timing of the calls to a held target.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldSettings {
    /// The lease that each poll and each start grants; targets shorten a longer one.
    pub lease: Duration,
    /// How long a target may hold a poll open while no run ends. Two polls may get lost before the
    /// lease ends. Targets without runs are polled as well, because the broken connection shows a
    /// restart of the target.
    pub poll_wait: Duration,
    /// The time in addition to the wait after which a poll times out.
    pub poll_margin: Duration,
    /// The time between polls of an unreachable target.
    pub unreachable_poll_interval: Duration,
    /// The time after which a start request expires.
    pub start_window: Duration,
    /// How long runs may go on after the latest sign of life of their coordinator. It must be shorter
    /// than the time after which a client whose VM has failed sends its job again, and leave a holder
    /// time to stop the runs after it has marked the coordinator lost: the lease of the target limits
    /// the runs of other coordinators as well.
    pub coordinator_timeout: Duration,
    /// How long a run of a task that may crash its target has the target to itself.
    pub trial_period: Duration,
    /// The time between stop requests for the same run.
    pub stop_retry_interval: Duration,
    /// How long a target may hold a poll open while responses get lost.
    pub hedged_poll_wait: Duration,
    /// Bounds of the response time-out.
    pub response_timeout: TimeoutBounds,
    /// Settings of the circuit breaker.
    pub health: HealthSettings,
}

impl Default for HeldSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(1),
            poll_wait: Duration::from_millis(400),
            poll_margin: Duration::from_millis(250),
            unreachable_poll_interval: Duration::from_millis(150),
            start_window: Duration::from_millis(250),
            coordinator_timeout: Duration::from_millis(1200),
            trial_period: Duration::from_millis(500),
            stop_retry_interval: Duration::from_millis(100),
            hedged_poll_wait: Duration::from_millis(100),
            response_timeout: TimeoutBounds::default(),
            health: HealthSettings::default(),
        }
    }
}

/// Whether the target has confirmed this VM as its holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldPhase {
    /// The target has not confirmed this VM yet.
    Claiming,
    /// The target accepts requests of this VM.
    Confirmed,
}

/// Identifies a poll among those of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PollNumber(pub u32);

/// A poll to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollPlan {
    /// Identifies the poll in its result.
    pub number: PollNumber,
    /// The request to send.
    pub request: PollRequest,
    /// Time-out and connection of the call.
    pub options: CallOptions,
}

/// A start request to send.
#[derive(Clone, Debug, PartialEq)]
pub struct StartPlan {
    /// The request to send.
    pub request: RunRequest,
    /// Time-out and connection of the call.
    pub options: CallOptions,
}

/// A start request that has not been answered yet.
#[derive(Clone, Debug)]
struct PendingStart {
    request: RunRequest,
    sends: u32,
    sent_at: TimePoint,
}

#[derive(Clone, Copy, Debug)]
struct PendingPoll {
    number: PollNumber,
    sent_at: TimePoint,
    wait: Duration,
}

/// Which of the polls that may be open at a time is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollSlot {
    Regular,
    Hedge,
    Immediate,
}

/// Who wants a run that was found on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunOwner {
    /// The coordinator of the job.
    pub coordinator: VmIndex,
    /// The process of the VM that has forwarded the job, if one has.
    pub origin: Option<IncarnationId>,
}

/// A run that has ended on the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// The task of the run.
    pub task: TaskName,
    /// What the ledger knew of the run.
    pub run: TargetRun,
    /// How the run ended.
    pub end: RunEnd,
}

/// A run that counted as over without a statement of the target: its lease had expired, its start
/// request had, or a report had not listed it.
#[derive(Clone, Copy, Debug)]
struct InferredEnd {
    run: RunName,
    concluded_at: TimePoint,
    /// Whether the target had certainly started the run.
    started: bool,
}

/// A run that a target has although it had counted as over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutlivedRun {
    /// The run.
    pub run: RunName,
    /// When the run had counted as over.
    pub concluded_at: TimePoint,
}

/// A crash of a target that had runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetCrash {
    /// The fencing token under which the runs were known.
    pub token: FencingToken,
    /// The instance that has crashed, if it is known.
    pub boot: Option<TargetBoot>,
    /// The tasks whose runs were on the target, or may have been.
    pub tasks: Vec<TaskName>,
    /// The task, if it was the only one and the target had confirmed its run. A start without a response
    /// may never have reached the target, so that the crash does not show that the task is its cause.
    pub alone: Option<TaskName>,
    /// Those of the tasks whose runs the target had not confirmed.
    pub unconfirmed: BTreeSet<TaskName>,
    /// The coordinators of these runs; `None` stands for one that is not known.
    pub coordinators: BTreeSet<Option<VmIndex>>,
}

impl TargetCrash {
    /// The crash without the tasks that the next instance has started; `None` if no other is left.
    fn without_runs_of(mut self, report: &PollReport) -> Option<Self> {
        let running = report.running.iter().map(|entry| entry.run.task);
        let started = running.chain(report.ended.iter().map(|entry| entry.run.task));
        let started = started.collect::<BTreeSet<_>>();
        self.tasks.retain(|task| !started.contains(task));
        self.alone = sole_task(&self.tasks, &self.unconfirmed);
        (!self.tasks.is_empty()).then_some(self)
    }

    /// The crash without the tasks whose runs the target had not confirmed; `None` if no other is left. A
    /// silent target may have been down, or out of reach, when these runs were requested.
    fn without_unconfirmed(mut self) -> Option<Self> {
        let unconfirmed = std::mem::take(&mut self.unconfirmed);
        self.tasks.retain(|task| !unconfirmed.contains(task));
        (!self.tasks.is_empty()).then_some(self)
    }
}

/// The task, if it is the only one and its run is confirmed.
fn sole_task(tasks: &[TaskName], unconfirmed: &BTreeSet<TaskName>) -> Option<TaskName> {
    match tasks {
        [task] if !unconfirmed.contains(task) => Some(*task),
        _ => None,
    }
}

/// What a poll report changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PollOutcome {
    /// Runs that have ended.
    pub ended: Vec<EndedRun>,
    /// Start requests that certainly started nothing.
    pub never_started: Vec<(TaskName, TargetRun)>,
    /// Start requests without a response whose runs the target does not list.
    pub missing_starts: Vec<TaskName>,
    /// Ends of runs that the ledger did not have.
    pub unknown_ends: Vec<(RunName, RunEnd)>,
    /// Runs that the ledger did not have; the report has added them.
    pub unknown_runs: Vec<RunName>,
    /// Known runs that the next instance of the target lists and that may be those of other coordinators, with
    /// their former coordinators.
    pub unclear_runs: Vec<(RunName, VmIndex)>,
    /// Runs of tasks of which the ledger has another run, to be stopped now.
    pub duplicate_runs: Vec<RunName>,
    /// Runs that the target has although they had counted as over.
    pub outlived: Vec<OutlivedRun>,
    /// Whether the target has restarted.
    pub restarted: bool,
    /// The crash that the restart shows, unless it was noticed before.
    pub crash: Option<TargetCrash>,
    /// Whether the target was unreachable before.
    pub reachable_again: bool,
}

/// What the response to a start request changes.
#[derive(Clone, Debug, PartialEq)]
pub enum StartOutcome {
    /// The run has started.
    Started,
    /// The run has not started, and its capacity is free again.
    NotStarted(StartRefusal),
    /// The request must be sent again. A target starts a run only once, however often it is
    /// requested.
    Retry(StartPlan),
    /// The request was not sent, and its capacity is free again.
    NotSent,
    /// The run may have started.
    Uncertain,
    /// The outcome of the request is known already; nothing changes.
    Ignored,
}

/// A target that this VM holds.
#[derive(Clone, Debug)]
pub struct HeldTarget {
    settings: HeldSettings,
    token: FencingToken,
    /// When the current claim, or its latest reconfirmation, began.
    claimed_at: TimePoint,
    phase: HoldPhase,
    boot: Option<TargetBoot>,
    /// The instance whose entry states the capacity in the ledger.
    listed_instance: TargetInstance,
    /// Whether the crash of the instance in `boot` has been noticed, unless it has responded since.
    crash_noticed: bool,
    /// The crash that is reported if another instance responds next: the runs whose leases have expired
    /// while the target was unreachable.
    silent_crash: Option<TargetCrash>,
    clock: TargetClock,
    acked_through: u64,
    ledger: CapacityLedger,
    /// Runs that a poll which has waited at the target has shown, and that were not known before. The
    /// target may have had another holder by the time of the response.
    unconfirmed_runs: Vec<RunName>,
    /// The runs that the latest report lists beside the run of their task in the ledger, and when the last stop
    /// request for each was sent.
    duplicate_runs: BTreeMap<RunName, TimePoint>,
    /// The runs of the instance in `boot` that count as over without a statement of the target, until the
    /// report to a poll sent later has shown whether they are.
    inferred_ends: Vec<InferredEnd>,
    /// Whether further runs wait until one was tried.
    reserved_for_trial: bool,
    health: TargetHealth,
    /// The regular long poll.
    pending_poll: Option<PendingPoll>,
    /// A second long poll while responses get lost.
    hedge_poll: Option<PendingPoll>,
    /// A poll that returns at once while the regular one is open.
    immediate_poll: Option<PendingPoll>,
    immediate_wanted: bool,
    /// The target's time in the latest report.
    reported_at: TargetTime,
    next_number: PollNumber,
    poll_due: TimePoint,
    failed_polls: u32,
    /// When the latest failed poll was noticed.
    last_failure_at: TimePoint,
    /// When a connection to the target was last broken or refused, or another instance responded, unless the
    /// same instance has answered a later poll. The target may have restarted since.
    doubted_at: Option<TimePoint>,
    reachable: bool,
    /// Round-trip times of the calls that the target answers without waiting.
    round_trips: RttEstimator,
    /// Whether a call has timed out since the last response.
    response_missing: bool,
    /// Whether a response was lost although the target is up.
    response_lost: bool,
    /// When the hedge poll may be sent.
    hedge_due: TimePoint,
    /// When the last response arrived.
    last_response_at: TimePoint,
    pending_starts: BTreeMap<TaskName, PendingStart>,
    /// When the lease has certainly expired that the start request of a run has granted, should another
    /// instance have carried it out. An instance whose clock has begun anew shortens the end that the request
    /// names to a whole lease. Kept until a report of the present instance lists the run.
    first_leases: BTreeMap<TaskName, TimePoint>,
    /// When all leases granted to the target have certainly expired, on the local clock. The target may
    /// take `EXPIRY_TIME` more to end the runs.
    leases_expired_at: TimePoint,
    /// When runs without a coordinator are to be stopped.
    adoption_due: Option<TimePoint>,
}

impl HeldTarget {
    /// Starts holding a target; the first poll claims the target.
    pub fn claim(
        settings: HeldSettings,
        token: FencingToken,
        listed: ListedCapacity,
        now: TimePoint,
    ) -> Self {
        let mut ledger = CapacityLedger::default();
        ledger.set_capacity(listed.usable);
        Self {
            health: TargetHealth::new(settings.health.clone()),
            token,
            claimed_at: now,
            phase: HoldPhase::Claiming,
            boot: None,
            listed_instance: listed.instance,
            crash_noticed: false,
            silent_crash: None,
            clock: TargetClock::default(),
            acked_through: 0,
            ledger,
            unconfirmed_runs: Vec::new(),
            duplicate_runs: BTreeMap::new(),
            inferred_ends: Vec::new(),
            reserved_for_trial: false,
            pending_poll: None,
            hedge_poll: None,
            immediate_poll: None,
            immediate_wanted: false,
            reported_at: TargetTime(0),
            next_number: PollNumber(0),
            poll_due: now,
            failed_polls: 0,
            last_failure_at: now,
            doubted_at: None,
            reachable: true,
            round_trips: RttEstimator::default(),
            response_missing: false,
            response_lost: false,
            hedge_due: now,
            last_response_at: now,
            pending_starts: BTreeMap::new(),
            first_leases: BTreeMap::new(),
            // A former holder may have granted a whole lease until now.
            leases_expired_at: now + max_lease_duration(settings.lease),
            adoption_due: None,
            settings,
        }
    }

    /// The fencing token of the current claim.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Whether the target has confirmed the holder.
    pub fn phase(&self) -> HoldPhase {
        self.phase
    }

    /// The instance that has answered last.
    pub fn instance(&self) -> TargetInstance {
        TargetInstance(self.boot)
    }

    /// Sets the capacity that the list states. An entry of another instance than the one that has answered
    /// last may be that of the next one, so the target is polled at once.
    pub fn set_listed_capacity(&mut self, now: TimePoint, listed: ListedCapacity) {
        self.ledger.set_capacity(listed.usable);
        let former = std::mem::replace(&mut self.listed_instance, listed.instance);
        if former != listed.instance && !self.is_described_by_list() {
            self.record_connection_failure(now);
        }
    }

    /// Whether the capacity in the ledger is that of the instance that has answered last.
    fn is_described_by_list(&self) -> bool {
        self.instance().may_be(self.listed_instance)
    }

    /// The capacity and the runs of the target.
    pub fn ledger(&self) -> &CapacityLedger {
        &self.ledger
    }

    /// The capacity and the runs of the target, for changes.
    pub fn ledger_mut(&mut self) -> &mut CapacityLedger {
        &mut self.ledger
    }

    /// The health of the target, judged by its runs.
    pub fn health(&self) -> &TargetHealth {
        &self.health
    }

    /// The health of the target, for changes.
    pub fn health_mut(&mut self) -> &mut TargetHealth {
        &mut self.health
    }

    /// Whether the target answers polls.
    pub fn is_reachable(&self) -> bool {
        self.reachable
    }

    /// Returns whether a response was lost since the last call of this method although the target
    /// is up, and resets the flag.
    pub fn take_lost_response(&mut self) -> bool {
        std::mem::take(&mut self.response_lost)
    }

    fn record_response(&mut self, now: TimePoint) {
        self.last_response_at = now;
        self.response_lost |= std::mem::take(&mut self.response_missing);
    }

    /// Records that the connection of a start or stop request was broken or refused, and polls the target
    /// at once.
    pub fn record_connection_failure(&mut self, now: TimePoint) {
        self.doubted_at = Some(now);
        if self.reachable {
            self.poll_now(now);
        }
    }

    fn record_timeout(&mut self) {
        self.round_trips.record_timeout();
        self.response_missing = true;
    }

    /// The capacity for further runs; nothing while the target accepts no requests, has a run on
    /// trial or is reserved for one, or while the list describes another instance of it. After a failed poll the target may have restarted and may have
    /// another holder.
    pub fn free_capacity(&mut self, now: TimePoint) -> ResourceVector {
        match self.reserved_for_trial {
            true => ResourceVector::default(),
            false => self.usable_capacity(now),
        }
    }

    /// The capacity for a run on trial, which needs an idle target.
    pub fn trial_capacity(&mut self, now: TimePoint) -> ResourceVector {
        match self.ledger.is_empty() {
            true => self.usable_capacity(now),
            false => ResourceVector::default(),
        }
    }

    fn usable_capacity(&mut self, now: TimePoint) -> ResourceVector {
        let usable = self.is_steady()
            && self.is_described_by_list()
            && self.admits_start(now)
            && self.ledger.trial(now).is_none()
            && self.health.admits(now, self.ledger.len());
        match usable {
            true => self.ledger.free(),
            false => ResourceVector::default(),
        }
    }

    /// Whether the target takes no further runs until one is tried there.
    pub fn is_reserved_for_trial(&self) -> bool {
        self.reserved_for_trial
    }

    /// Reserves the target for a run on trial, or ends the reservation.
    pub fn reserve_for_trial(&mut self, reserved: bool) {
        self.reserved_for_trial = reserved;
    }

    /// When the target will be idle, as far as the expected ends of its runs show; `None` while it accepts
    /// no requests or has a run on trial. A run that is overdue is expected to take as long again as it
    /// is overdue.
    pub fn trial_expected_at(&self, now: TimePoint) -> Option<TimePoint> {
        let accepts = self.is_steady() && self.is_described_by_list();
        if !accepts || self.ledger.trial(now).is_some() {
            return None;
        }
        let ends = self.ledger.runs().map(|(_, run)| run.since + run.expected);
        let ends = ends.map(|end| end.max(now + now.since(end)));
        Some(ends.max().unwrap_or(now))
    }

    /// Polls the target at once, also while the regular poll is open.
    pub fn poll_now(&mut self, now: TimePoint) {
        self.poll_due = now;
        self.immediate_wanted = self.pending_poll.is_some();
    }

    /// Stops sending requests until the target has confirmed this VM as its holder again.
    pub fn reconfirm(&mut self, now: TimePoint) {
        self.phase = HoldPhase::Claiming;
        self.claimed_at = now;
        self.pending_poll = None;
        self.hedge_poll = None;
        self.immediate_poll = None;
        self.immediate_wanted = false;
        self.poll_due = now;
    }

    /// Whether the claim has been unconfirmed for so long that another VM may have held the target
    /// since.
    pub fn is_claim_stale(&self, now: TimePoint) -> bool {
        self.phase == HoldPhase::Claiming
            && self.pending_poll.is_none()
            && now.since(self.claimed_at) >= self.settings.lease
    }

    /// Claims the target again under a higher token, for example after a restart of the target.
    /// The restart resets the clock of the target, so requests that were sent to the former
    /// instance do not expire in time; only their lower token makes the target reject them.
    pub fn reclaim(&mut self, now: TimePoint, token: FencingToken) {
        self.token = token;
        self.reconfirm(now);
        self.pending_starts.clear();
        // Another VM may have held the target meanwhile. The target refuses a run number that has been
        // started there before, but not one of which only a request was lost.
        self.inferred_ends.retain(|end| end.started);
        let open = self
            .ledger
            .runs()
            .filter_map(|(task, run)| match run.phase {
                RunPhase::Requested { expires_at } => Some((*task, expires_at)),
                _ => None,
            });
        for (task, expires_at) in open.collect::<Vec<_>>() {
            if let Some(run) = self.ledger.get_mut(&task) {
                // Responses to requests under the former token are ignored.
                run.phase = RunPhase::Uncertain {
                    expires_at,
                    timed_out_at: now,
                };
            }
        }
    }

    /// When [`Self::plan_poll`], [`Self::advance`] or [`Self::take_unadopted`] must be called next.
    pub fn next_due(&self) -> TimePoint {
        let poll = match self.pending_poll {
            Some(_) => TimePoint(u64::MAX),
            None => self.poll_due,
        };
        let expiry = match self.is_reachable() {
            true => None,
            false => self.ledger.runs().map(|(task, _)| self.over_by(task)).min(),
        };
        let expiry = expiry.unwrap_or(TimePoint(u64::MAX));
        let adoption = self.adoption_due.unwrap_or(TimePoint(u64::MAX));
        poll.min(expiry).min(adoption)
    }

    /// The next poll, if one is due; the caller must send it. With `hedged`, responses get lost:
    /// two polls then wait for the end of a run, each for a shorter time.
    pub fn plan_poll(
        &mut self,
        now: TimePoint,
        hedged: bool,
        limits: &LeaseLimits<'_>,
    ) -> Option<PollPlan> {
        let slot = self.due_poll(now, hedged)?;
        self.ledger.advance_lease_limits(limits);
        let lease = self.renewed_lease(now);
        let wait = match slot {
            PollSlot::Immediate => Duration::ZERO,
            PollSlot::Regular | PollSlot::Hedge => self.poll_wait(hedged, lease),
        };
        let poll = self.new_poll(now, wait);
        match slot {
            PollSlot::Immediate => {
                self.immediate_wanted = false;
                self.immediate_poll = Some(poll);
            }
            PollSlot::Regular => self.pending_poll = Some(poll),
            PollSlot::Hedge => self.hedge_poll = Some(poll),
        }
        Some(self.build_poll(now, poll, lease, hedged))
    }

    fn due_poll(&self, now: TimePoint, hedged: bool) -> Option<PollSlot> {
        let is_open = self.pending_poll.is_some();
        if self.immediate_wanted && self.immediate_poll.is_none() && is_open {
            return Some(PollSlot::Immediate);
        }
        if !is_open && self.poll_due <= now {
            return Some(PollSlot::Regular);
        }
        let hedge = hedged && self.is_steady() && is_open && !self.ledger.is_empty();
        let due = self.hedge_poll.is_none() && self.hedge_due <= now;
        (hedge && due).then_some(PollSlot::Hedge)
    }

    /// Whether the target has confirmed this VM and answers, and no connection has failed since.
    fn is_steady(&self) -> bool {
        let confirmed = self.phase == HoldPhase::Confirmed;
        confirmed && self.failed_polls == 0 && self.doubted_at.is_none()
    }

    /// Whether no run on the target waits for the next report.
    fn has_settled_runs(&self) -> bool {
        self.unconfirmed_runs.is_empty() && self.duplicate_runs.is_empty()
    }

    /// How long the target may hold a poll open that grants `lease`. A shorter lease needs more polls
    /// to be renewed in time.
    fn poll_wait(&self, hedged: bool, lease: Option<Duration>) -> Duration {
        let steady = self.is_steady() && self.has_settled_runs();
        let wait = match (steady, hedged) {
            (true, false) => self.settings.poll_wait,
            (true, true) => self.settings.hedged_poll_wait,
            (false, _) => return Duration::ZERO,
        };
        let limit = lease.map_or(wait, |lease| (lease / 2).max(MIN_POLL_WAIT));
        wait.min(limit)
    }

    fn new_poll(&mut self, now: TimePoint, wait: Duration) -> PendingPoll {
        let number = self.next_number;
        self.next_number = PollNumber(number.0.wrapping_add(1));
        PendingPoll {
            number,
            sent_at: now,
            wait,
        }
    }

    fn build_poll(
        &mut self,
        now: TimePoint,
        poll: PendingPoll,
        lease: Option<Duration>,
        hedged: bool,
    ) -> PollPlan {
        // Once the limit has passed, the poll is short but renews nothing.
        let lease = lease.filter(|lease| !lease.is_zero());
        let lease_end = lease.map(|lease| self.lease_end(now, lease));
        let fresh_connection = self.failed_polls > 0 || self.phase == HoldPhase::Claiming;
        let timeout = self.round_trips.timeout(&self.settings.response_timeout);
        let margin = match (hedged, fresh_connection) {
            (false, _) => self.settings.poll_margin,
            (true, false) => timeout,
            // A new connection takes another round trip.
            (true, true) => timeout * 2,
        };
        PollPlan {
            number: poll.number,
            request: PollRequest {
                token: self.token,
                acked_through: self.acknowledged_ends(),
                lease_end: lease_end.flatten(),
                wait: poll.wait,
            },
            options: CallOptions {
                timeout: poll.wait + margin,
                fresh_connection,
            },
        }
    }

    /// The number through which a poll acknowledges ends. Another instance numbers its ends anew, so none are
    /// acknowledged while the target may have restarted: it would forget ends that were not read.
    fn acknowledged_ends(&self) -> u64 {
        match self.is_steady() {
            true => self.acked_through,
            false => 0,
        }
    }

    /// The lease that a poll grants now. A poll that is to confirm a claim grants none: the target may
    /// have runs that this VM does not know. Nor does one after a failed connection until the same instance
    /// has answered: another one may have another holder's runs, and counts the end of the lease on another
    /// clock. The lease of an unreachable target is not extended, so that
    /// the runs on the target end in bounded time. Nor is it extended while the coordinator of a run
    /// is unknown, or beyond the lease limit of a run, because the coordinator relies on that.
    fn renewed_lease(&self, now: TimePoint) -> Option<Duration> {
        let confirmed = self.phase == HoldPhase::Confirmed && self.doubted_at.is_none();
        (confirmed && self.is_reachable() && self.knows_coordinators()).then(|| {
            let limit = self.ledger.lease_limit();
            let lease = self.settings.lease;
            limit.map_or(lease, |limit| {
                longest_lease_within(limit.since(now)).min(lease)
            })
        })
    }

    /// Whether the coordinators of all runs are known. The lease limits of a run whose coordinator was
    /// replaced by another process stay as they were.
    fn knows_coordinators(&self) -> bool {
        let mut runs = self.ledger.runs();
        let known = runs.all(|(_, run)| run.coordinator.is_some() || run.coordinator_replaced);
        known && self.duplicate_runs.is_empty()
    }

    /// Whether a start request, which extends the lease, respects the lease limits of all runs.
    fn admits_start(&self, now: TimePoint) -> bool {
        let limit = self.ledger.lease_limit();
        let in_time = limit.is_none_or(|limit| limit >= self.start_expires_at(now));
        in_time && self.knows_coordinators()
    }

    /// When the target certainly no longer accepts a start request that is planned now.
    fn start_expires_at(&self, now: TimePoint) -> TimePoint {
        now + max_lease_duration(self.settings.start_window)
    }

    /// Whether a run that starts now has ended by `limit` unless the lease is renewed: it may use the lease
    /// that the target has, and the start request extends a shorter one.
    pub fn lease_ends_by(&self, now: TimePoint, limit: TimePoint) -> bool {
        self.leases_expired_at.max(self.start_expires_at(now)) <= limit
    }

    /// Time-out and connection of a start or stop request.
    pub fn request_options(&self, fresh_connection: bool) -> CallOptions {
        CallOptions {
            timeout: self.round_trips.timeout(&self.settings.response_timeout),
            fresh_connection,
        }
    }

    fn take_poll(&mut self, number: PollNumber) -> Option<PendingPoll> {
        let regular = self.pending_poll.take_if(|poll| poll.number == number);
        regular
            .or_else(|| self.hedge_poll.take_if(|poll| poll.number == number))
            .or_else(|| self.immediate_poll.take_if(|poll| poll.number == number))
    }

    /// The end of a lease that is granted now, as a time on the target's clock; `None` while nothing is
    /// known of this clock.
    fn lease_end(&mut self, now: TimePoint, lease: Duration) -> Option<TargetTime> {
        let time = self.clock.at(now)?;
        self.extend_leases(now, lease);
        Some(TargetTime(time.0.saturating_add(whole_millis(lease))))
    }

    /// When a run on an unreachable target has certainly ended.
    fn over_by(&self, task: &TaskName) -> TimePoint {
        let first_lease = self.first_leases.get(task).copied().unwrap_or_default();
        self.leases_expired_at.max(first_lease) + EXPIRY_TIME
    }

    /// Records that a target may carry out the start request of a run until `arrives_by`.
    fn extend_first_lease(&mut self, task: TaskName, arrives_by: TimePoint) {
        let expired_at = arrives_by + max_lease_duration(self.settings.lease);
        let first_lease = self.first_leases.entry(task).or_default();
        *first_lease = (*first_lease).max(expired_at);
    }

    /// Records that a lease was granted by `now`.
    fn extend_leases(&mut self, now: TimePoint, lease: Duration) {
        let expired_at = now + max_lease_duration(lease);
        self.leases_expired_at = self.leases_expired_at.max(expired_at);
    }

    /// Adds a run and returns its start request; `None` while the target's clock is unknown.
    pub fn start_run(
        &mut self,
        now: TimePoint,
        task: TaskName,
        mut run: TargetRun,
        payload: std::rc::Rc<str>,
    ) -> Option<StartPlan> {
        let window = self.settings.start_window;
        let lease_end = self.lease_end(now, window)?;
        run.since = now;
        run.place = RunPlace::requested(self.instance());
        run.phase = RunPhase::Requested {
            expires_at: self.start_expires_at(now),
        };
        self.ledger.insert(task, run);
        let request = RunRequest {
            run: RunName { task, run: run.run },
            payload,
            lease_end,
            token: self.token,
        };
        let open = PendingStart {
            request: request.clone(),
            sends: 1,
            sent_at: now,
        };
        self.pending_starts.insert(task, open);
        self.first_leases.remove(&task);
        self.extend_first_lease(task, self.start_expires_at(now));
        self.inferred_ends.retain(|end| end.run != request.run);
        Some(StartPlan {
            request,
            options: self.request_options(false),
        })
    }

    /// Sends a start request again that got no response, if the target accepts requests.
    fn retry_start(&mut self, now: TimePoint, name: RunName) -> Option<StartPlan> {
        let accepts_requests = self.is_steady() && self.admits_start(now);
        let open = self.pending_starts.get(&name.task)?;
        if !accepts_requests || open.sends >= MAX_START_SENDS || open.request.run != name {
            return None;
        }
        let window = self.settings.start_window;
        let lease_end = self.lease_end(now, window)?;
        let expires_at = self.start_expires_at(now);
        let run = self.ledger.get_mut(&name.task)?;
        run.phase = RunPhase::Requested { expires_at };
        run.place.repeat();
        let options = self.request_options(true);
        let open = self.pending_starts.get_mut(&name.task)?;
        open.sends += 1;
        open.sent_at = now;
        open.request.lease_end = lease_end;
        let request = open.request.clone();
        self.extend_first_lease(name.task, expires_at);
        Some(StartPlan { request, options })
    }

    /// Ends the repetition of the start request of a task, as after the last repetition.
    pub fn stop_repeating(&mut self, task: &TaskName) {
        if let Some(open) = self.pending_starts.get_mut(task) {
            open.sends = MAX_START_SENDS;
        }
    }

    /// Applies the response to a start request.
    pub fn handle_start_response(
        &mut self,
        now: TimePoint,
        name: RunName,
        answer: StartAnswer,
    ) -> StartOutcome {
        let open = self.pending_starts.get(&name.task);
        let open = open.filter(|open| open.request.run == name);
        let sent_at = open.map(|open| open.sent_at);
        let repeated = open.is_some_and(|open| open.sends > 1);
        let lease_end = open.map(|open| open.request.lease_end);
        let requested = self.ledger.get(&name.task).filter(|run| {
            // A poll report may have shown the outcome already.
            run.run == name.run && matches!(run.phase, RunPhase::Requested { .. })
        });
        let Some(sent_at) = requested.map(|run| sent_at.unwrap_or(run.since)) else {
            if open.is_some() {
                self.pending_starts.remove(&name.task);
            }
            return StartOutcome::Ignored;
        };
        if let StartAnswer::Accepted(time) | StartAnswer::Refused(_, time) = answer {
            self.record_response(now);
            self.round_trips.observe(now.since(sent_at));
            // Another instance states the time of its own clock.
            let other = matches!(answer, StartAnswer::Refused(StartRefusal::OtherInstance, _));
            if let Some(time) = time.filter(|_| !other) {
                if self.clock.is_behind(sent_at, time) {
                    // The next instance of the target has carried out the request.
                    self.record_connection_failure(now);
                }
                self.clock.observe(now, time);
            }
        }
        if answer == StartAnswer::TimedOut {
            self.record_timeout();
            if let Some(plan) = self.retry_start(now, name) {
                return StartOutcome::Retry(plan);
            }
        }
        if let StartAnswer::ConnectionLost | StartAnswer::NotSent = answer {
            self.record_connection_failure(now);
        }
        self.pending_starts.remove(&name.task);
        let Some(run) = self.ledger.get_mut(&name.task) else {
            return StartOutcome::Ignored;
        };
        match answer {
            StartAnswer::Accepted(time) => {
                if !repeated {
                    let window = whole_millis(self.settings.start_window);
                    let in_window = time
                        .zip(lease_end)
                        .is_some_and(|(time, end)| time.0 + window >= end.0);
                    match in_window {
                        // Whichever instance has answered, its clock is not behind the one that was known.
                        true => self.first_leases.remove(&name.task),
                        false => self
                            .first_leases
                            .insert(name.task, now + max_lease_duration(self.settings.lease)),
                    };
                }
                run.phase = RunPhase::Running { confirmed_at: now };
                StartOutcome::Started
            }
            StartAnswer::Refused(refusal, _) if !repeated => {
                self.ledger.remove(&name.task);
                StartOutcome::NotStarted(refusal)
            }
            StartAnswer::NotSent if !repeated => {
                self.ledger.remove(&name.task);
                StartOutcome::NotSent
            }
            // An earlier attempt of the request may have started the run.
            StartAnswer::Refused(..)
            | StartAnswer::NotSent
            | StartAnswer::TimedOut
            | StartAnswer::ConnectionLost => {
                if let RunPhase::Requested { expires_at } = run.phase {
                    run.phase = RunPhase::Uncertain {
                        expires_at,
                        timed_out_at: now,
                    };
                }
                StartOutcome::Uncertain
            }
        }
    }

    /// Marks a run as to be stopped and returns the stop request, unless one was sent within the
    /// retry interval.
    pub fn stop_run(&mut self, now: TimePoint, task: &TaskName) -> Option<StopRequest> {
        let interval = self.settings.stop_retry_interval;
        let run = self.ledger.get(task)?;
        if let RunPhase::Stopping { requested_at, .. } = run.phase
            && now.since(requested_at) < interval
        {
            return None;
        }
        self.retry_stop(now, task)
    }

    /// Returns a stop request regardless of the retry interval; for use when the latest stop
    /// request got no response.
    pub fn retry_stop(&mut self, now: TimePoint, task: &TaskName) -> Option<StopRequest> {
        let run = self.ledger.get_mut(task)?;
        if !matches!(run.phase, RunPhase::Stopping { .. }) {
            // Nothing else limits a run whose coordinator is not known.
            let limit = now + self.settings.coordinator_timeout;
            run.lease_limit = run.lease_limit.min(limit);
        }
        run.phase = RunPhase::Stopping {
            requested_at: now,
            accepted_at: None,
            confirmed: run.has_started(),
        };
        self.pending_starts.remove(task);
        Some(StopRequest {
            run: RunName {
                task: *task,
                run: run.run,
            },
            token: self.token,
        })
    }

    /// The runs whose stop request was not accepted in time.
    pub fn overdue_stops(&self, now: TimePoint) -> Vec<TaskName> {
        let interval = self.settings.stop_retry_interval;
        let overdue = self.ledger.runs().filter(|(_, run)| {
            matches!(run.phase, RunPhase::Stopping { requested_at, accepted_at: None, .. }
                if now.since(requested_at) >= interval)
        });
        overdue.map(|(task, _)| *task).collect()
    }

    /// Records that the target has accepted a stop request: the run will not start, or will end.
    pub fn handle_stop_accepted(&mut self, now: TimePoint, name: RunName) {
        if let Some(run) = self.ledger.get_mut(&name.task)
            && run.run == name.run
            && let RunPhase::Stopping { accepted_at, .. } = &mut run.phase
        {
            *accepted_at = Some(now);
            self.poll_now(now);
        }
    }

    /// The tasks whose start request got no response and whose run a later report does not list.
    /// The request may still arrive; a stop request makes certain that the run will not start.
    fn missing_starts(&self, sent_at: TimePoint, report: &PollReport) -> Vec<TaskName> {
        let absent = self.ledger.runs().filter(|(task, run)| {
            let timed_out = matches!(run.phase, RunPhase::Uncertain { timed_out_at, .. }
                if timed_out_at <= sent_at);
            let name = RunName {
                task: **task,
                run: run.run,
            };
            timed_out && !report.running.iter().any(|entry| entry.run == name)
        });
        absent.map(|(task, _)| *task).collect()
    }

    /// Applies a poll report.
    pub fn handle_poll_report(
        &mut self,
        now: TimePoint,
        number: PollNumber,
        report: &PollReport,
    ) -> PollOutcome {
        let mut outcome = PollOutcome::default();
        let hedge = self.hedge_poll.is_some_and(|poll| poll.number == number);
        let Some(poll) = self.take_poll(number) else {
            return outcome;
        };
        outcome.reachable_again = !self.is_reachable();
        self.failed_polls = 0;
        self.reachable = true;
        self.record_response(now);
        if poll.wait.is_zero() {
            self.round_trips.observe(now.since(poll.sent_at));
        }
        if self.phase == HoldPhase::Claiming || report.boot != self.boot {
            // A former holder, or a request that another instance has carried out, may have granted a whole
            // lease until now.
            self.extend_leases(now, self.settings.lease);
        }
        self.phase = HoldPhase::Confirmed;
        if report.boot != self.boot {
            outcome.restarted = self.boot.is_some();
            let silent_crash = self.silent_crash.take();
            if outcome.restarted {
                self.health.restart();
                let crash = self.notice_crash();
                let silent_crash = silent_crash.and_then(|it| it.without_runs_of(report));
                let silent_crash = silent_crash.and_then(TargetCrash::without_unconfirmed);
                outcome.crash = match crash {
                    Some(crash) => crash.without_runs_of(report),
                    None => silent_crash,
                };
            }
            self.boot = report.boot;
            self.acked_through = 0;
            self.reported_at = TargetTime(0);
            self.clock.reset();
            self.inferred_ends.clear();
        }
        self.crash_noticed = false;
        self.silent_crash = None;
        self.doubted_at.take_if(|doubted| poll.sent_at >= *doubted);
        if let Some(time) = report.time {
            self.clock.observe(now, time);
        }
        outcome.outlived = self.find_outlived(&poll, report);
        self.apply_ends(report, &mut outcome);
        // A report that arrives after a more recent one may list runs that have ended since.
        if report.time.is_none_or(|time| time >= self.reported_at) {
            self.reported_at = report.time.unwrap_or_default();
            self.apply_running(now, report, &mut outcome);
            self.confirm_unknown_runs(now, poll.wait, &mut outcome);
            self.remove_missing(now, poll.sent_at, report, &mut outcome);
            outcome.missing_starts = self.missing_starts(poll.sent_at, report);
        }
        // A target that answers without waiting although no run has ended is not polled again at
        // once.
        let steady = self.has_settled_runs() && self.doubted_at.is_none();
        let waits = report.ended.is_empty() && steady;
        let early = waits && now.since(poll.sent_at) < poll.wait / 2;
        let due = match early {
            true => poll.sent_at + poll.wait,
            false => now,
        };
        match hedge {
            true => self.hedge_due = due,
            false => self.poll_due = due,
        }
        outcome
    }

    /// The runs that the target lists although they had counted as over when the poll was sent. The report
    /// to a poll that has waited may list runs of another holder, which may have the number of a run that
    /// was never started.
    fn find_outlived(&mut self, poll: &PendingPoll, report: &PollReport) -> Vec<OutlivedRun> {
        let mut outlived = Vec::new();
        self.inferred_ends.retain(|end| {
            if end.concluded_at > poll.sent_at {
                return true;
            }
            if !report.running.iter().any(|entry| entry.run == end.run) {
                return false;
            }
            let certain = end.started || poll.wait.is_zero();
            if certain {
                outlived.push(OutlivedRun {
                    run: end.run,
                    concluded_at: end.concluded_at,
                });
            }
            !certain
        });
        outlived
    }

    /// Records that a run counts as over. A run that an earlier instance may have started proves nothing
    /// about the present one.
    fn record_inferred_end(&mut self, now: TimePoint, task: TaskName, run: &TargetRun) {
        if !run.place.is_of_former_instance(self.instance()) {
            self.inferred_ends.push(InferredEnd {
                run: RunName { task, run: run.run },
                concluded_at: now,
                started: run.has_started(),
            });
        }
    }

    fn apply_ends(&mut self, report: &PollReport, outcome: &mut PollOutcome) {
        for entry in &report.ended {
            if entry.number <= self.acked_through {
                continue;
            }
            self.acked_through = entry.number;
            let task = entry.run.task;
            let known = self
                .ledger
                .get(&task)
                .is_some_and(|run| run.run == entry.run.run);
            match known.then(|| self.ledger.remove(&task)).flatten() {
                Some(run) => outcome.ended.push(EndedRun {
                    task,
                    run,
                    end: entry.end,
                }),
                None => outcome.unknown_ends.push((entry.run, entry.end)),
            }
        }
    }

    fn apply_running(&mut self, now: TimePoint, report: &PollReport, outcome: &mut PollOutcome) {
        let former = std::mem::take(&mut self.duplicate_runs);
        for entry in &report.running {
            let RunName { task, run: number } = entry.run;
            if self.is_duplicate(entry.run, report) {
                let requested_at = former.get(&entry.run).copied();
                let interval = self.settings.stop_retry_interval;
                let due = requested_at.is_none_or(|requested| now.since(requested) >= interval);
                if due {
                    outcome.duplicate_runs.push(entry.run);
                }
                let requested_at = if due {
                    now
                } else {
                    requested_at.unwrap_or(now)
                };
                self.duplicate_runs.insert(entry.run, requested_at);
                continue;
            }
            let instance = TargetInstance(self.boot);
            match self.ledger.get_mut(&task) {
                Some(run)
                    if run.run == number && run.place.identify(instance) != ListedRun::Other =>
                {
                    self.first_leases.remove(&task);
                    let unclear = run.place.identify(instance) == ListedRun::Unclear;
                    run.place.record_listing(instance);
                    let stopping = matches!(run.phase, RunPhase::Stopping { .. });
                    if unclear && !stopping {
                        // Another VM may have held the target meanwhile and have started the run for
                        // another coordinator, so the coordinators are asked.
                        if let Some(coordinator) = run.coordinator.take() {
                            outcome.unclear_runs.push((entry.run, coordinator));
                        }
                        run.place = RunPlace::found(instance);
                        outcome.unknown_runs.push(entry.run);
                    }
                    if let RunPhase::Requested { .. } | RunPhase::Uncertain { .. } = run.phase {
                        run.phase = RunPhase::Running { confirmed_at: now };
                    }
                }
                known => {
                    // Another VM has held the target meanwhile and has started a later run of the
                    // task, or one with the same number after a restart: the only request for the known
                    // run was carried out by the former instance, which has listed the run.
                    if known.is_some()
                        && let Some(run) = self.ledger.remove(&task)
                    {
                        let end = RunEnd::LeaseExpired;
                        outcome.ended.push(EndedRun { task, run, end });
                    }
                    let run = TargetRun {
                        run: number,
                        resources: None,
                        coordinator: None,
                        coordinator_replaced: false,
                        queue: None,
                        expected: Duration::ZERO,
                        since: now,
                        lease_limit: TimePoint(u64::MAX),
                        origin: None,
                        origin_limit: TimePoint(u64::MAX),
                        place: RunPlace::found(instance),
                        trial_until: None,
                        phase: RunPhase::Running { confirmed_at: now },
                    };
                    self.ledger.insert(task, run);
                    self.first_leases.remove(&task);
                    outcome.unknown_runs.push(entry.run);
                }
            }
        }
    }

    /// Whether the target has a listed run beside another one of the same task: the run in the ledger, which
    /// the target may also be about to start.
    fn is_duplicate(&self, listed: RunName, report: &PollReport) -> bool {
        let Some(run) = self.ledger.get(&listed.task) else {
            return false;
        };
        let known = RunName {
            task: listed.task,
            run: run.run,
        };
        let is_listed = || report.running.iter().any(|entry| entry.run == known);
        known != listed && (known.run > listed.run || !run.has_started() || is_listed())
    }

    /// Withholds unknown runs until a poll that the target answers at once has shown that this VM still
    /// holds the target: the token of a poll is checked when the poll arrives, so that a former holder
    /// whose poll waits is shown the runs of the next one.
    fn confirm_unknown_runs(&mut self, now: TimePoint, wait: Duration, outcome: &mut PollOutcome) {
        self.unconfirmed_runs.append(&mut outcome.unknown_runs);
        let ledger = &self.ledger;
        self.unconfirmed_runs.retain(|name| {
            let run = ledger.get(&name.task);
            run.is_some_and(|run| run.run == name.run && run.coordinator.is_none())
        });
        if wait.is_zero() {
            outcome.unknown_runs = std::mem::take(&mut self.unconfirmed_runs);
        } else if !self.unconfirmed_runs.is_empty() {
            self.poll_now(now);
        }
    }

    /// Removes the runs that the report does not list although the target had them, or could no
    /// longer accept their start request, when the poll was sent. A report that shows a restart does not
    /// show that the new instance carries out no delayed copy of a start request: the clock on which the
    /// request expires has begun anew, and the target refuses the copy only once it has seen the token of
    /// the next claim.
    fn remove_missing(
        &mut self,
        now: TimePoint,
        sent_at: TimePoint,
        report: &PollReport,
        outcome: &mut PollOutcome,
    ) {
        let listed = |task: &TaskName, run: &TargetRun| {
            let name = RunName {
                task: *task,
                run: run.run,
            };
            report.running.iter().any(|entry| entry.run == name)
        };
        let ledger = &self.ledger;
        self.first_leases
            .retain(|task, _| ledger.get(task).is_some());
        let missing = self.ledger.runs().filter(|(task, run)| {
            if outcome.restarted && (!run.has_started() || run.place.is_repeated()) {
                return false;
            }
            let was_known = match run.phase {
                RunPhase::Requested { .. } => false,
                RunPhase::Uncertain { expires_at, .. } => sent_at >= expires_at,
                // A run confirmed after the poll was sent may belong to the new instance of the
                // target.
                RunPhase::Running { confirmed_at } => {
                    sent_at > confirmed_at || (outcome.restarted && sent_at == confirmed_at)
                }
                RunPhase::Stopping { accepted_at, .. } => {
                    accepted_at.is_some_and(|accepted| sent_at >= accepted)
                }
            };
            was_known && !listed(task, run)
        });
        let missing = missing.map(|(task, _)| *task).collect::<Vec<_>>();
        for task in missing {
            let Some(run) = self.ledger.remove(&task) else {
                continue;
            };
            self.record_inferred_end(now, task, &run);
            let former = run.place.is_of_former_instance(self.instance());
            match run.phase {
                // The run may have started before the restart.
                RunPhase::Uncertain { .. } if !former => {
                    outcome.never_started.push((task, run));
                }
                _ => outcome.ended.push(EndedRun {
                    task,
                    run,
                    end: RunEnd::LeaseExpired,
                }),
            }
        }
    }

    /// Records that a poll got no response; `silent` if the poll timed out without a failure of the
    /// connection. Returns whether this failure makes the target count as unreachable.
    pub fn handle_poll_failure(
        &mut self,
        now: TimePoint,
        number: PollNumber,
        silent: bool,
    ) -> bool {
        if !silent {
            self.doubted_at = Some(now);
        }
        let Some(poll) = self.take_poll(number) else {
            return false;
        };
        if silent && self.last_response_at > poll.sent_at {
            // The target has responded to another request since this poll was sent, so only the
            // response to this poll was lost.
            self.record_timeout();
            self.response_lost = true;
            self.poll_due = now;
            return false;
        }
        if silent {
            self.record_timeout();
        }
        if self.failed_polls > 0 && poll.sent_at < self.last_failure_at {
            // The poll was sent before the latest counted failure; one fault may have caused both.
            return false;
        }
        self.failed_polls += 1;
        self.last_failure_at = now;
        let was_reachable = self.reachable;
        let silence = now.since(self.last_response_at);
        if self.failed_polls >= UNREACHABLE_POLLS && (!silent || silence >= SILENCE_LIMIT) {
            self.reachable = false;
        }
        self.poll_due = match self.reachable {
            true => now,
            false => now + self.settings.unreachable_poll_interval,
        };
        was_reachable && !self.reachable
    }

    /// Records that the target's process has ended, because nothing listens at its address or because
    /// another instance responds. Returns the crash, unless it was noticed before or the target had
    /// no runs.
    pub fn notice_crash(&mut self) -> Option<TargetCrash> {
        if self.crash_noticed {
            return None;
        }
        let crash = self.possible_crash()?;
        self.crash_noticed = true;
        Some(crash)
    }

    /// The crash of the target, should its process have ended by now; `None` if it had no runs. The runs
    /// that an earlier instance may have started count for the crash of that instance only.
    fn possible_crash(&self) -> Option<TargetCrash> {
        let present = self.instance();
        let runs = self.ledger.runs();
        let runs = runs.filter(|(_, run)| !run.place.is_of_former_instance(present));
        let runs = runs.collect::<Vec<_>>();
        let tasks = runs.iter().map(|(task, _)| **task).collect::<Vec<_>>();
        let unconfirmed = runs.iter().filter(|(_, run)| !run.has_started());
        let unconfirmed = unconfirmed.map(|(task, _)| **task).collect();
        (!tasks.is_empty()).then(|| TargetCrash {
            token: self.token,
            boot: self.boot,
            alone: sole_task(&tasks, &unconfirmed),
            unconfirmed,
            coordinators: runs.iter().map(|(_, run)| run.coordinator).collect(),
            tasks,
        })
    }

    /// Removes and returns the runs that have ended with their lease while the target was unreachable.
    pub fn advance(&mut self, now: TimePoint) -> Vec<EndedRun> {
        if self.is_reachable() {
            return Vec::new();
        }
        let tasks = self.ledger.runs().map(|(task, _)| *task);
        let over = tasks.filter(|task| self.over_by(task) <= now);
        let over = over.collect::<Vec<_>>();
        if !over.is_empty() && !self.crash_noticed && self.silent_crash.is_none() {
            self.silent_crash = self.possible_crash();
        }
        let mut ended = Vec::with_capacity(over.len());
        for task in over {
            if let Some(run) = self.ledger.remove(&task) {
                self.record_inferred_end(now, task, &run);
                let end = RunEnd::LeaseExpired;
                ended.push(EndedRun { task, run, end });
            }
        }
        ended
    }

    /// Sets when runs that no coordinator has adopted are stopped.
    pub fn begin_adoption(&mut self, due: TimePoint) {
        self.adoption_due = Some(due);
    }

    /// The runs that no coordinator has adopted, once the time for adoption is over.
    pub fn take_unadopted(&mut self, now: TimePoint) -> Vec<TaskName> {
        if self.adoption_due.take_if(|due| *due <= now).is_none() {
            return Vec::new();
        }
        let unadopted = self
            .ledger
            .runs()
            .filter(|(_, run)| run.coordinator.is_none());
        unadopted.map(|(task, _)| *task).collect()
    }

    /// Assigns a run that was found on the target to the coordinator that still wants the run, whose
    /// contact limits the lease from then on. Returns false if the run is not in the ledger, is being stopped
    /// or has another coordinator, which would not learn that it was replaced.
    pub fn adopt_run(
        &mut self,
        name: RunName,
        owner: RunOwner,
        resources: ResourceVector,
        expected: Duration,
        limits: &LeaseLimits<'_>,
    ) -> bool {
        let Some(run) = self.ledger.get_mut(&name.task) else {
            return false;
        };
        let stopping = matches!(run.phase, RunPhase::Stopping { .. });
        let contested = run.is_coordinated_by_other(owner.coordinator);
        if run.run != name.run || stopping || contested {
            return false;
        }
        run.coordinator = Some(owner.coordinator);
        run.origin = owner.origin;
        run.resources = Some(resources);
        run.expected = expected;
        run.advance_limits(limits);
        true
    }
}

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
