//! The dispatcher of one incarnation, as a state machine that takes events and returns actions.
//!
//! The engine owns the live jobs and combines the queue, placement, health and submission
//! components. It reads no clock and does no I/O; [`DispatchEngine::handle`] gets the time with
//! each event.

mod admit;
mod attempts;
mod checks;
mod event;
mod health;
mod jobs;
mod schedule;
mod settings;
mod view;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use filbertpitch_config::spec::Configuration;
use filbertpitch_types::platform::{VmList, VmRole, VmState};
use filbertpitch_types::prelude::*;
use filbertpitch_types::target::LoadReport;
use filbertpitch_types::time::ClockReading;
use fnv::FnvHashMap;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;
use typed_index_collections::TiVec;

use crate::admission::AdmissionPolicy;
use crate::catalog::ConfigCatalog;
use crate::check::CheckSchedule;
use crate::entity::{TargetIndex, TaskKey};
use crate::estimate::RunEstimator;
use crate::health::HealthTable;
use crate::job::LiveJob;
use crate::placement::TargetTable;
use crate::queue::{FairQueue, SchedulingRound};
use crate::quota::TeamQuota;
use crate::retry::RetryBudget;
use crate::submission::SubmissionTable;
use crate::timer::TimerService;

pub use self::event::{
    AttemptTrace, CallerReply, EngineAction, EngineCounters, EngineEvent, EngineNotice, FleetView,
    RejectionCounters, StateCommand,
};
pub use self::settings::EngineSettings;
pub use self::view::{EngineView, TargetView, TeamView};

/// The purpose of a timer of the engine.
#[derive(Clone, Copy, Debug)]
enum TimerTopic {
    /// The deadline of a job.
    JobDeadline(JobNumber),
    /// The running attempts of a failing job did not stop in time.
    StopTimeout(JobNumber),
    /// An attempt exceeded its expected run time.
    AttemptOverdue(AttemptId),
    /// A delayed task is requeued.
    TaskRequeue(TaskKey),
    /// Queued tasks are offered to targets again.
    QueueRetry,
    /// The epochs advance.
    Housekeeping,
}

/// Identifies a task by its job and its index in the job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TaskRef {
    job: JobNumber,
    task: TaskIndex,
}

impl TaskRef {
    fn of(attempt: AttemptId) -> Self {
        Self {
            job: attempt.job,
            task: attempt.task,
        }
    }

    fn position(self) -> usize {
        usize::from(self.task.0)
    }
}

/// The engine's state of the communication with a target.
#[derive(Debug, Default)]
struct TargetEndpoint {
    /// The address that the target listens on. The address is kept after the target is removed from
    /// the configuration, because the attempts that still run there are checked and stopped.
    address: Option<SocketAddr>,
    /// This VM's attempts that may be running on the target.
    attempts: BTreeSet<AttemptId>,
    /// The boot number of the target process that answered last.
    boot: Option<u64>,
    /// The number of throttled attempts in the latest load report.
    throttled: u16,
    /// Whether the target could not be reached since its last answer.
    unreachable: bool,
}

/// The dispatcher of one incarnation.
#[derive(Debug)]
pub struct DispatchEngine {
    settings: EngineSettings,
    incarnation: IncarnationId,
    zone: ZoneName,
    clock: ClockReading,
    catalog: ConfigCatalog,
    submissions: SubmissionTable,
    jobs: FnvHashMap<JobNumber, LiveJob>,
    task_refs: SlotMap<TaskKey, TaskRef>,
    next_job: JobNumber,
    queue: FairQueue,
    admission: AdmissionPolicy,
    quota: TeamQuota,
    retries: RetryBudget,
    round: SchedulingRound,
    targets: TargetTable,
    endpoints: TiVec<TargetIndex, TargetEndpoint>,
    estimator: RunEstimator,
    health: HealthTable,
    checks: CheckSchedule<AttemptId>,
    timers: TimerService<TimerTopic>,
    queue_retry_due: Option<TimePoint>,
    pending_stops: BTreeMap<TargetIndex, Vec<AttemptId>>,
    pending_throttles: BTreeMap<TargetIndex, Vec<AttemptId>>,
    draining: bool,
    counters: EngineCounters,
    actions: Vec<EngineAction>,
    rng: ChaCha8Rng,
}

impl DispatchEngine {
    /// Creates an engine without configuration. `seed` initializes the random numbers that sample
    /// targets and add jitter.
    pub fn new(
        settings: EngineSettings,
        incarnation: IncarnationId,
        zone: ZoneName,
        clock: ClockReading,
        seed: u64,
    ) -> Self {
        let mut timers = TimerService::default();
        timers.subscribe(clock.time, TimerTopic::Housekeeping);
        Self {
            submissions: SubmissionTable::new(
                incarnation,
                settings.submissions.clone(),
                clock.time,
            ),
            targets: TargetTable::new(settings.placement.clone()),
            estimator: RunEstimator::new(settings.estimates),
            health: HealthTable::new(settings.health.clone()),
            checks: CheckSchedule::new(settings.checks.clone()),
            queue: FairQueue::new(settings.queue),
            admission: AdmissionPolicy::new(settings.admission),
            settings,
            incarnation,
            zone,
            clock,
            catalog: ConfigCatalog::default(),
            jobs: FnvHashMap::default(),
            task_refs: SlotMap::with_key(),
            next_job: JobNumber(0),
            quota: TeamQuota::default(),
            retries: RetryBudget::default(),
            round: SchedulingRound::default(),
            endpoints: TiVec::new(),
            timers,
            queue_retry_due: None,
            pending_stops: BTreeMap::new(),
            pending_throttles: BTreeMap::new(),
            draining: false,
            counters: EngineCounters::default(),
            actions: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Handles an event: runs due timers, applies the event, sends due checks and starts tasks. The
    /// time must not decrease from call to call.
    pub fn handle(&mut self, clock: ClockReading, event: EngineEvent) {
        self.clock = ClockReading {
            time: clock.time.max(self.clock.time),
            wall: clock.wall,
        };
        self.fire_timers();
        self.apply_event(event);
        self.check_targets();
        self.schedule();
    }

    fn apply_event(&mut self, event: EngineEvent) {
        match event {
            EngineEvent::JobSubmitted {
                caller,
                request,
                traceparent,
            } => self.submit_job(caller, request, traceparent),
            EngineEvent::JobLookedUp { caller, submission } => {
                self.look_up_job(caller, &submission);
            }
            EngineEvent::JobCancelled { caller, submission } => {
                self.cancel_job(caller, &submission);
            }
            EngineEvent::CallerDisconnected { caller } => self.remove_caller(caller),
            EngineEvent::OutcomesImported(answers) => self.submissions.import_answers(answers),
            EngineEvent::StartAnswered { target, answer } => {
                self.handle_start_answer(target, answer);
            }
            EngineEvent::StartFailed { attempt, written } => {
                self.handle_start_failure(attempt, written)
            }
            EngineEvent::StatesAnswered {
                target,
                command,
                answer,
            } => self.handle_state_answer(target, command, answer),
            EngineEvent::StatesFailed { target, command } => {
                self.handle_state_failure(target, command)
            }
            EngineEvent::ConfigurationChanged(configuration) => {
                self.install_configuration(configuration);
            }
            EngineEvent::VmListRead(list) => self.apply_vm_list(&list),
            EngineEvent::FleetChanged(fleet) => self.apply_fleet_view(&fleet),
            EngineEvent::DrainStarted => self.draining = true,
            EngineEvent::DrainExpired => self.fail_all_jobs(),
            EngineEvent::TimeAdvanced => {}
        }
    }

    /// Returns the actions that result from the events so far.
    ///
    /// Stops and throttles of one batch of events are combined into one request per target, which
    /// limits the cost of many cancellations at once.
    pub fn take_actions(&mut self) -> Vec<EngineAction> {
        self.flush_control_requests();
        std::mem::take(&mut self.actions)
    }

    /// The latest time of the next call to [`Self::handle`].
    pub fn next_due(&self) -> Option<TimePoint> {
        let dues = [
            self.timers.next_due(),
            self.checks.next_due(),
            self.health.next_due(),
        ];
        dues.into_iter().flatten().min()
    }

    /// Whether no job is live. A draining process can then stop.
    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty()
    }

    /// The epoch for newly issued prefixes.
    pub fn current_epoch(&self) -> EpochNumber {
        self.submissions.current_epoch()
    }

    /// The submissions of this incarnation, for a handover and for status.
    pub fn submissions(&self) -> &SubmissionTable {
        &self.submissions
    }

    /// The compiled configuration.
    pub fn catalog(&self) -> &ConfigCatalog {
        &self.catalog
    }

    /// The counters since the start of the process.
    pub fn counters(&self) -> EngineCounters {
        self.counters
    }

    fn fire_timers(&mut self) {
        self.health.advance(self.clock.time);
        self.apply_health();
        while let Some(topic) = self.timers.pop_due(self.clock.time) {
            match topic {
                TimerTopic::JobDeadline(job) => self.handle_deadline(job),
                TimerTopic::StopTimeout(job) => self.handle_stop_timeout(job),
                TimerTopic::AttemptOverdue(attempt) => self.handle_overdue(attempt),
                TimerTopic::TaskRequeue(key) => self.requeue_delayed(key),
                TimerTopic::QueueRetry => self.queue_retry_due = None,
                TimerTopic::Housekeeping => self.run_housekeeping(),
            }
        }
    }

    fn run_housekeeping(&mut self) {
        self.submissions.advance(self.clock.time);
        let due = self.clock.time + self.settings.housekeeping_interval;
        self.timers.subscribe(due, TimerTopic::Housekeeping);
    }

    fn install_configuration(&mut self, configuration: Rc<Configuration>) {
        self.catalog.install(configuration);
        let home = self.catalog.intern_zone(&self.zone);
        self.targets.install(self.clock.time, &self.catalog, home);
        for (index, entry) in self.catalog.targets() {
            while self.endpoints.len() <= usize::from(index) {
                self.endpoints.push(TargetEndpoint::default());
            }
            self.endpoints[index].address = Some(entry.spec.address);
        }
        self.health.install(&self.catalog);
        self.apply_health();
        for (kind, entry) in self.catalog.kinds() {
            self.estimator.configure(kind, entry.service, entry.typical);
        }
        for (team, spec) in self.catalog.teams() {
            self.queue.set_weight(team, spec.weight);
            self.quota.configure(self.clock.time, team, spec);
        }
        for (service, spec) in self.catalog.services() {
            self.retries.configure(service, spec.retry_percent);
        }
        self.configure_admission();
    }

    fn apply_vm_list(&mut self, list: &VmList) {
        for vm in list.vms.iter().filter(|vm| vm.role == VmRole::Target) {
            let Some(target) = self.catalog.target_index(&vm.name) else {
                continue;
            };
            match vm.state {
                VmState::Leaving => self.mark_leaving(target),
                VmState::Live => {
                    self.targets.mark_live(self.clock.time, target);
                    let leaving = self.targets.is_leaving(target);
                    self.health.set_leaving(target, leaving);
                    if self.targets.awaits_report(target) {
                        // If no attempt runs on the target, only a check gets its load report.
                        self.checks.request(target);
                    }
                }
            }
        }
    }

    fn mark_leaving(&mut self, target: TargetIndex) {
        self.targets.mark_leaving(self.clock.time, target);
        self.health.set_leaving(target, true);
        self.apply_health();
    }

    fn apply_fleet_view(&mut self, fleet: &FleetView) {
        let now = self.clock.time;
        self.quota.set_entry_vms(now, fleet.live_vms);
        let zone = fleet.zone;
        self.targets.set_share(now, zone.position, zone.vms);
        let populated = fleet
            .populated
            .iter()
            .map(|zone| self.catalog.intern_zone(zone))
            .collect();
        self.targets.set_fleet(now, fleet.fleet, populated);
    }

    /// Applies a load report to placement, health and the endpoint.
    fn apply_load_report(&mut self, target: TargetIndex, load: &LoadReport) {
        if load.leaving {
            self.mark_leaving(target);
        }
        self.targets.report_load(self.clock.time, target, load);
        let endpoint = &mut self.endpoints[target];
        endpoint.throttled = load.throttled;
        if std::mem::replace(&mut endpoint.unreachable, false) {
            let notice = EngineNotice::Reachable(target);
            self.actions.push(EngineAction::Notice(notice));
        }
        if endpoint.boot.is_some_and(|boot| boot != load.boot) {
            // The attempts of the former process are lost. A check determines the state of each.
            self.checks.request(target);
        }
        self.endpoints[target].boot = Some(load.boot);
    }
}
