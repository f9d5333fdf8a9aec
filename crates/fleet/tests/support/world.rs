//! Discrete-event simulation of a fleet: events, network, faults and invariant checks. Times are in
//! microseconds of simulated time.

mod departures;
mod forwarding;
mod perturbation;
mod routes;
mod slowness;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_dispatch::entity::{KindIndex, TargetIndex, VmIndex};
use filbertpitch_dispatch::job::CallerToken;
use filbertpitch_fleet::cancellation::{CancelOutcome, CancelToken};
use filbertpitch_fleet::engine::{
    FleetAction, FleetEngine, FleetEvent, FleetNotice, FleetSettings,
};
use filbertpitch_fleet::held::PollPlan;
use filbertpitch_types::fleet::{
    EnvelopeAck, FleetConfiguration, FleetMessage, JobReply, PeerEnvelope, PeerIdentity,
    PeerObservation, PeerRecord, QueueSpec, ServicePolicy, TargetChange, TargetEntry, TargetState,
    ZoneChange, ZoneRead,
};
use filbertpitch_types::lease::{PollResult, RunRequest, StartAnswer, StopRequest, StopResult};
use filbertpitch_types::prelude::*;
use filbertpitch_types::time::ClockReading;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::departures::Departures;
pub use self::departures::NoticeDelay;
use self::forwarding::{ExchangeEvent, SimExchange};
use self::perturbation::{FaultPlan, PlanEvent};
pub use self::perturbation::{LateCalls, LinkEnd, MessageKind, PlannedFault, SentMessage};
use self::routes::RouteAudit;
pub use self::routes::{TargetKind, UnawareStarts};
pub use self::slowness::CallDelay;
use self::slowness::Slowness;
use super::client::{ClientJob, JobShape};
use super::crash::{CrashStage, TaskCrash, TaskRecord, TaskStart};
use super::target::{FORMER_CAPACITY_US, SimTarget, TargetFault};

/// The time after which an unacknowledged envelope counts as lost, as in the process.
const ENVELOPE_TIMEOUT: u64 = 250_000;
/// The interval between reads of the list of targets.
const LISTING_INTERVAL: u64 = 500_000;
/// The longest time between reads of the operator's records: that of a read which waits for a change and
/// gets no response.
const OPERATOR_INTERVAL: u64 = 2_000_000;
/// The duration of such a read if the store responds.
const OPERATOR_DELAY: u64 = 3_000;
/// How long after the operator has closed a zone tasks may still start there.
const CLOSURE_LIMIT: u64 = 5_000_000;
/// The delay after which a client sends an unanswered job again.
const RESEND_DELAY: u64 = 1_300_000;
/// The maximum number of sends of a job.
const SEND_LIMIT: u32 = 3;
/// The run time of a deadly task unless it crashes its target.
const DEADLY_WORK: u64 = 1_000_000_000;
/// The number of starts of a task that are allowed after it has crashed three targets.
const START_LIMIT: usize = 2;
/// The number of crashes under a task without which it is not given up.
const CRASH_MINIMUM: usize = 2;
/// How long after the end of a cut or a freeze a VM counts as in touch with its peers again.
const TOUCH_DELAY: u64 = 2_000_000;

/// The size and the settings of a simulated fleet.
#[derive(Clone, Debug)]
pub struct SimOptions {
    pub seed: u64,
    /// The number of VMs in each zone.
    pub vms: Vec<usize>,
    /// The number of targets in each zone.
    pub targets: Vec<usize>,
    /// The cores of each target.
    pub cores: u32,
    /// The stretch and the allowance of each queue's objective.
    pub queues: Vec<(f64, Duration)>,
    pub settings: FleetSettings,
    /// The processing time of one event on a VM with a whole core.
    pub event_cost: Duration,
    /// The processor time of the VMs of each zone, in order; a whole core for the rest.
    pub processors: Vec<MilliCores>,
    /// How long after the start of a deadly task its target crashes.
    pub crash_delay: Duration,
    /// How long after such a crash the next instance of the target starts.
    pub restart_delay: Duration,
    /// How long starts may still use a larger capacity that a target had before.
    pub former_capacity: Duration,
    /// The time between heartbeats of a target, which show its capacity; zero if it shows each change
    /// at once.
    pub target_heartbeat: Duration,
    /// Whether VMs forward jobs. Those listed are set to forward each job that another VM takes.
    pub forwarding: Option<Vec<usize>>,
}

impl Default for SimOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            vms: vec![2, 1],
            targets: vec![4, 2],
            cores: 64,
            queues: vec![(1.6, Duration::from_millis(60))],
            settings: FleetSettings::default(),
            event_cost: Duration::ZERO,
            processors: Vec::new(),
            crash_delay: Duration::from_millis(8),
            restart_delay: Duration::from_secs(3),
            former_capacity: Duration::from_micros(FORMER_CAPACITY_US),
            target_heartbeat: Duration::ZERO,
            forwarding: None,
        }
    }
}

/// Network faults other than partitions.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetFault {
    /// The share of the responses of targets that are lost.
    pub response_loss: f64,
    /// The share of the calls to targets that get no response and are executed seconds later.
    pub delayed_calls: f64,
}

/// A start request on its way to a target.
#[derive(Debug)]
struct StartArrival {
    call: u64,
    vm: usize,
    index: TargetIndex,
    target: usize,
    request: RunRequest,
    sent_at: u64,
    /// For a delayed call, the instance of the target that executes it.
    late_instance: Option<u64>,
}

#[derive(Debug)]
enum SimEvent {
    Wake(usize, u64),
    Start(usize),
    Unfreeze(usize),
    StallEnds(usize, u64),
    Listing(usize, u64),
    Store(usize, u64),
    Operator(usize, u64),
    OperatorRead {
        vm: usize,
        generation: u64,
        end: usize,
        requested_at: u64,
    },
    Envelope {
        call: u64,
        from: usize,
        to: usize,
        peer: Option<(VmIndex, EnvelopeNumber)>,
        envelope: Box<PeerEnvelope>,
    },
    Ack {
        call: u64,
        from: usize,
        peer: (VmIndex, EnvelopeNumber),
        ack: EnvelopeAck,
    },
    EnvelopeLost {
        call: u64,
        from: usize,
        peer: (VmIndex, EnvelopeNumber),
        refused: bool,
    },
    StartArrives(StartArrival),
    StopArrives {
        call: u64,
        vm: usize,
        index: TargetIndex,
        target: usize,
        request: StopRequest,
        late_instance: Option<u64>,
    },
    PollArrives {
        call: u64,
        vm: usize,
        index: TargetIndex,
        target: usize,
        plan: PollPlan,
        late_instance: Option<u64>,
    },
    Answer {
        call: u64,
        vm: usize,
        event: Box<FleetEvent>,
    },
    TargetChanges(usize),
    /// A run of a deadly task crashes the instance of the target on which it started.
    DeadlyRun {
        target: usize,
        instance: u64,
        run: RunName,
    },
    /// The next instance of a target starts, unless the crashed one was replaced before.
    TargetStarts {
        target: usize,
        crashed_instance: u64,
    },
    Submit(JobId),
    ClientDisconnects(JobId, u64),
    EndNoticed(usize, CallerToken),
    ExchangeEndNoticed(usize, JobId, u64),
    Exchange(usize, ExchangeEvent),
    Plan(PlanEvent),
}

struct ScheduledEvent {
    at: u64,
    sequence: u64,
    event: SimEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A record by which the operator closes or opens a zone. Its position in the log is its offset.
struct OperatorRecord {
    at: u64,
    zone: ZoneName,
    closed: bool,
}

struct SimVm {
    name: VmName,
    zone: ZoneName,
    processor: MilliCores,
    engine: Option<FleetEngine>,
    /// The number of processes that have run on the VM.
    generation: u64,
    unresponsive: bool,
    /// How far its wall clock is ahead.
    clock_offset_ms: i64,
    frozen_until: u64,
    /// When a link of it last broke or healed, or when its last freeze ends.
    disrupted_at: u64,
    /// When it was last unable to read the store.
    store_cut_at: u64,
    /// The offset at which it continues to read the operator's records.
    operator_next: usize,
    /// When it finishes handling the events so far.
    busy_until: u64,
    wake_at: Option<u64>,
    callers: BTreeMap<CallerToken, (JobId, u64)>,
    known_targets: Vec<bool>,
    /// Until when it stands still after an event whose actions it has not sent.
    stalled_until: Option<u64>,
    stalled_actions: Vec<FleetAction>,
}

struct WaitingPoll {
    call: u64,
    vm: usize,
    index: TargetIndex,
    target: usize,
    plan: PollPlan,
    until: u64,
    /// Whether the token was valid when the poll arrived.
    admitted: bool,
}

/// A fleet in simulated time.
pub struct SimFleet {
    pub now: u64,
    pub net: NetFault,
    pub jobs: BTreeMap<JobId, ClientJob>,
    pub targets: Vec<SimTarget>,
    pub notices: Vec<(u64, usize, FleetNotice)>,
    /// The starts and the crashes of each task.
    pub tasks: BTreeMap<TaskName, TaskRecord>,
    options: SimOptions,
    configuration: Rc<FleetConfiguration>,
    vms: Vec<SimVm>,
    exchanges: Vec<SimExchange>,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    next_sequence: u64,
    next_call: u64,
    open_calls: HashSet<u64>,
    polls: Vec<WaitingPoll>,
    vm_cuts: HashSet<(usize, usize)>,
    /// By how much messages from one VM to another one are delayed, in microseconds.
    pub slow_links: BTreeMap<(usize, usize), u64>,
    target_cuts: HashSet<(usize, usize)>,
    store_cuts: HashSet<usize>,
    /// The VMs that cannot read the list of targets.
    list_cuts: HashSet<usize>,
    operator_log: Vec<OperatorRecord>,
    /// The generation and the revision of each VM's record in the store.
    revisions: BTreeMap<usize, (u64, u64)>,
    next_revision: u64,
    next_caller: u64,
    next_job: u64,
    /// The racks that the jobs of some queues prefer.
    pub queue_racks: BTreeMap<usize, u16>,
    /// Recent calls to targets, printed when a check fails.
    history: VecDeque<String>,
    pub rng: ChaCha8Rng,
    slowness: Slowness,
    departures: Departures,
    plan: FaultPlan,
    routes: RouteAudit,
    /// The answers to cancels.
    pub cancel_answers: BTreeMap<CancelToken, CancelOutcome>,
    /// The VM to which clients send jobs again; any VM if there is none.
    pub resend_vm: Option<usize>,
    /// Reads the processor time of this thread, if the time of the engines is measured.
    pub processor_clock: Option<fn() -> Duration>,
    /// The processor time that the engines have spent.
    pub engine_time: Duration,
    /// Returns the size of an envelope, if envelopes are measured.
    pub envelope_size: Option<fn(&PeerEnvelope) -> usize>,
    /// The bytes of all envelopes, as measured.
    pub envelope_bytes: usize,
}

impl SimFleet {
    /// A fleet whose processes start within the next 0.3 s.
    pub fn new(options: SimOptions) -> Self {
        let zones = (0..options.vms.len())
            .map(|zone| format!("zone-{zone}").parse::<ZoneName>().unwrap())
            .collect::<Vec<_>>();
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
        let mut targets = Vec::new();
        for (zone, count) in zones.iter().zip(&options.targets) {
            for _ in 0..*count {
                let name = format!("target-{}", targets.len());
                let drift = rng.random_range(0..=2);
                let mut target = SimTarget::new(&name, zone, options.cores, 0, drift);
                // The protocol permits both.
                target.reports_to_former_holder = targets.len() % 2 == 1;
                targets.push(target);
            }
        }
        let mut vms = Vec::new();
        for (zone, count) in zones.iter().zip(&options.vms) {
            for place in 0..*count {
                let processor = options.processors.get(place).copied();
                vms.push(SimVm {
                    processor: processor.unwrap_or(MilliCores(1000)),
                    name: format!("vm-{}", vms.len()).parse().unwrap(),
                    zone: zone.clone(),
                    engine: None,
                    generation: 0,
                    unresponsive: false,
                    clock_offset_ms: 0,
                    frozen_until: 0,
                    disrupted_at: 0,
                    store_cut_at: 0,
                    operator_next: 0,
                    busy_until: 0,
                    wake_at: None,
                    callers: BTreeMap::new(),
                    known_targets: Vec::new(),
                    stalled_until: None,
                    stalled_actions: Vec::new(),
                });
            }
        }
        let queues = options.queues.iter().enumerate();
        let queues = queues.map(|(queue, (stretch, allowance))| QueueSpec {
            name: format!("queue-{queue}").parse().unwrap(),
            host: "host".into(),
            path_prefix: format!("/queue-{queue}/").into(),
            service: "desk".parse().unwrap(),
            priority: queue_priority(queue),
            attempt_limit: 3,
            stretch: *stretch,
            allowance: *allowance,
            requires_advisory: false,
        });
        let configuration = Rc::new(FleetConfiguration {
            version: ConfigVersion(1),
            queues: queues.collect(),
            services: BTreeMap::from([("desk".parse().unwrap(), ServicePolicy::default())]),
            bounds: None,
        });
        let count = vms.len();
        let seed = options.seed;
        let mut fleet = Self {
            now: 1_000_000,
            net: NetFault::default(),
            jobs: BTreeMap::new(),
            targets,
            notices: Vec::new(),
            tasks: BTreeMap::new(),
            options,
            configuration,
            vms,
            exchanges: Vec::new(),
            events: BinaryHeap::new(),
            next_sequence: 0,
            next_call: 0,
            open_calls: HashSet::new(),
            polls: Vec::new(),
            vm_cuts: HashSet::new(),
            slow_links: BTreeMap::new(),
            target_cuts: HashSet::new(),
            store_cuts: HashSet::new(),
            list_cuts: HashSet::new(),
            operator_log: Vec::new(),
            revisions: BTreeMap::new(),
            next_revision: 0,
            next_caller: 0,
            next_job: 1,
            queue_racks: BTreeMap::new(),
            history: VecDeque::new(),
            slowness: Slowness::new(seed),
            departures: Departures::default(),
            plan: FaultPlan::default(),
            routes: RouteAudit::default(),
            cancel_answers: BTreeMap::new(),
            resend_vm: None,
            rng,
            processor_clock: None,
            engine_time: Duration::ZERO,
            envelope_size: None,
            envelope_bytes: 0,
        };
        for vm in 0..count {
            let at = fleet.now + fleet.rng.random_range(0..300_000);
            fleet.schedule(at, SimEvent::Start(vm));
        }
        fleet
    }

    /// The seed of the simulation.
    pub fn seed(&self) -> u64 {
        self.options.seed
    }

    /// The number of VMs.
    pub fn vm_count(&self) -> usize {
        self.vms.len()
    }

    /// The engine of a VM whose process runs.
    pub fn engine(&self, vm: usize) -> &FleetEngine {
        self.vms[vm].engine.as_ref().expect("the process runs")
    }

    /// The number of held targets that have confirmed one of these VMs as their holder.
    pub fn confirmed_targets(&self, vms: &[usize]) -> usize {
        let engines = vms.iter().map(|vm| self.engine(*vm));
        engines.map(|engine| engine.view().confirmed_targets).sum()
    }

    /// The number of envelopes sent by the processes that run now.
    pub fn envelopes(&self) -> u64 {
        let engines = self.vms.iter().filter_map(|vm| vm.engine.as_ref());
        engines.map(|engine| engine.counters().envelopes_sent).sum()
    }

    /// Whether a VM's process runs and is not frozen.
    pub fn is_up(&self, vm: usize) -> bool {
        self.vms[vm].engine.is_some() && self.vms[vm].frozen_until <= self.now
    }

    /// Schedules an event unless it is a message that is lost by plan.
    fn schedule(&mut self, at: u64, event: SimEvent) {
        if let Some((at, event)) = self.apply_plan(at, event) {
            self.push_event(at, event);
        }
    }

    fn push_event(&mut self, at: u64, event: SimEvent) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.events.push(Reverse(ScheduledEvent {
            at,
            sequence,
            event,
        }));
    }

    /// Runs the simulation for some time.
    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration.as_micros() as u64;
        while let Some(Reverse(next)) = self.events.peek()
            && next.at <= end
        {
            let Some(Reverse(next)) = self.events.pop() else {
                break;
            };
            self.now = next.at;
            self.process_event(next.event);
        }
        self.now = end;
    }

    /// Sends a job to a VM.
    pub fn submit(&mut self, vm: usize, shape: JobShape) -> JobId {
        let id = JobId(self.next_job);
        self.next_job += 1;
        let job = ClientJob {
            shape,
            rack: self.queue_racks.get(&shape.queue).copied(),
            sent_at: self.now,
            vm,
            reply: None,
            answered_at: 0,
            sends: 0,
            current: 0,
            started: false,
            all_rejected: true,
            done: Vec::new(),
        };
        self.jobs.insert(id, job);
        self.schedule(self.now + 3_000, SimEvent::Submit(id));
        id
    }

    /// Closes the connection of a job's client, which does not send the job again.
    pub fn leave(&mut self, id: JobId) {
        let current = self.jobs[&id].current;
        self.schedule(self.now, SimEvent::ClientDisconnects(id, current));
        self.jobs.get_mut(&id).unwrap().sends = SEND_LIMIT;
    }

    /// A client cancels a job at a VM. Returns by what the answer is found in `cancel_answers`.
    pub fn cancel(&mut self, vm: usize, job: JobId) -> CancelToken {
        self.next_caller += 1;
        let token = CancelToken(self.next_caller);
        self.feed(vm, FleetEvent::CancelRequested { token, job });
        token
    }

    /// Closes the connection of a job's client, which sends the job again to a VM of its choice after
    /// the usual delay.
    pub fn send_again(&mut self, id: JobId, vm: usize) {
        let current = self.jobs[&id].current;
        self.process_event(SimEvent::ClientDisconnects(id, current));
        let job = self.jobs.get_mut(&id).expect("the job was submitted");
        job.vm = vm;
        job.reply = None;
        self.schedule(self.now + RESEND_DELAY, SimEvent::Submit(id));
    }

    /// Ends a VM's process, which starts again after `down_for`. An unresponsive VM does not refuse
    /// connections in the meantime.
    pub fn kill_vm(&mut self, vm: usize, down_for: Duration, unresponsive: bool) {
        let state = &mut self.vms[vm];
        if state.engine.take().is_none() {
            return;
        }
        state.unresponsive = unresponsive;
        state.frozen_until = 0;
        state.busy_until = 0;
        state.stalled_until = None;
        state.stalled_actions.clear();
        state.wake_at = None;
        state.known_targets.clear();
        let broken = std::mem::take(&mut state.callers);
        for (id, send) in broken.into_values() {
            self.schedule_resend(id, send);
        }
        self.break_exchanges(vm);
        let at = self.now + down_for.as_micros() as u64;
        self.record_fault(format!("vm-{vm} is killed until {at}"));
        self.schedule(at, SimEvent::Start(vm));
    }

    /// Pauses a VM's process for a while.
    pub fn freeze_vm(&mut self, vm: usize, duration: Duration) {
        let until = self.now + duration.as_micros() as u64;
        self.vms[vm].frozen_until = self.vms[vm].frozen_until.max(until);
        self.vms[vm].disrupted_at = self.vms[vm].disrupted_at.max(until);
        self.record_fault(format!("vm-{vm} is frozen until {until}"));
        self.schedule(until, SimEvent::Unfreeze(vm));
    }

    /// Starts to drain a VM, which waits for its jobs for up to `grace`.
    pub fn drain_vm(&mut self, vm: usize, grace: Duration) {
        if self.is_up(vm) {
            let ends_at = self.clock().time + grace;
            self.feed(vm, FleetEvent::DrainStarted { ends_at });
        }
    }

    /// Partitions or reconnects the network between two VMs.
    pub fn cut_vms(&mut self, left: usize, right: usize, cut: bool) {
        for (from, to) in [(left, right), (right, left)] {
            self.cut_direction(from, to, cut);
        }
    }

    /// Cuts or restores one direction of the network between two VMs.
    pub fn cut_direction(&mut self, from: usize, to: usize, cut: bool) {
        for vm in [from, to] {
            self.vms[vm].disrupted_at = self.vms[vm].disrupted_at.max(self.now);
        }
        match cut {
            true => self.vm_cuts.insert((from, to)),
            false => self.vm_cuts.remove(&(from, to)),
        };
        let state = if cut { "cut" } else { "restored" };
        self.record_fault(format!("vm-{from} to vm-{to}: {state}"));
        self.release_messages();
    }

    /// Partitions or reconnects the network between a VM and a target.
    pub fn cut_target(&mut self, vm: usize, target: usize, cut: bool) {
        match cut {
            true => self.target_cuts.insert((vm, target)),
            false => self.target_cuts.remove(&(vm, target)),
        };
        let state = if cut { "cut" } else { "restored" };
        self.record_fault(format!("vm-{vm} to target-{target}: {state}"));
    }

    /// Ends a target's process and breaks its connections; it is down until it is restarted.
    pub fn crash_target(&mut self, target: usize) {
        self.record_crash(target, None);
        self.targets[target].crash(TargetFault::Down);
        self.fail_open_polls(target);
    }

    /// Ends a target's process: its connections break, and its address refuses new ones until the
    /// next instance starts after the restart delay.
    pub fn crash_process(&mut self, target: usize, cause: Option<RunName>) {
        self.record_crash(target, cause);
        let crashed_instance = self.targets[target].instance;
        let fault = TargetFault::Crashed {
            crashed_at: self.now,
        };
        self.targets[target].crash(fault);
        self.fail_open_polls(target);
        let at = self.now + self.options.restart_delay.as_micros() as u64;
        self.schedule(
            at,
            SimEvent::TargetStarts {
                target,
                crashed_instance,
            },
        );
    }

    /// Breaks the open connections to a target, whose process is not affected.
    pub fn break_connections(&mut self, target: usize) {
        self.fail_open_polls(target);
    }

    /// Records that an instance of a target ends with its runs.
    fn record_crash(&mut self, target: usize, cause: Option<RunName>) {
        self.targets[target].close_spans(self.now);
        let place = &self.targets[target];
        let tasks = place.runs.keys().map(|name| name.task);
        let tasks = tasks.collect::<Vec<_>>();
        let alone = tasks.len() == 1;
        if let Some(run) = cause {
            let mut company = String::new();
            for task in tasks.iter().filter(|task| **task != run.task) {
                company = format!("{company} {task}");
            }
            self.record_history(target, format!("crash by {run}, in company:{company}"));
        }
        for task in tasks {
            let is_cause = cause.is_some_and(|run| run.task == task);
            self.record_task_crash(target, task, CrashStage::Running, is_cause, alone);
        }
        for task in self.targets[target].unacknowledged_tasks() {
            self.record_task_crash(target, task, CrashStage::Ended, false, false);
        }
    }

    /// Records that a run of a task may be lost with an instance of a target.
    fn record_task_crash(
        &mut self,
        target: usize,
        task: TaskName,
        stage: CrashStage,
        is_cause: bool,
        alone: bool,
    ) {
        let place = &self.targets[target];
        let record = self.tasks.entry(task).or_default();
        let mut crashes = record.crashes.iter();
        if crashes.any(|crash| crash.target == place.name && crash.instance == place.instance) {
            return;
        }
        let starter = record.starts.last().map(|start| start.vm);
        let zone = &self.vms[self.jobs[&task.job].vm].zone;
        let witnesses = self.vms.iter().enumerate();
        let witnesses = witnesses.filter(|(vm, state)| {
            state.engine.is_some() && (state.zone == *zone || Some(*vm) == starter)
        });
        let witnesses = witnesses.map(|(vm, state)| (vm, state.generation));
        record.crashes.push(TaskCrash {
            at: self.now,
            target: place.name.clone(),
            instance: place.instance,
            stage,
            is_cause,
            alone,
            witnesses: witnesses.collect(),
        });
    }

    /// Crashes a target if a run of a deadly task is still on it.
    fn end_deadly_run(&mut self, target: usize, instance: u64, run: RunName) {
        self.targets[target].advance(self.now);
        let place = &self.targets[target];
        if place.instance == instance && place.runs.contains_key(&run) {
            self.crash_process(target, Some(run));
        }
    }

    /// Restarts a target at once.
    pub fn restart_target(&mut self, target: usize) {
        self.record_crash(target, None);
        let now = self.now;
        self.targets[target].restart(now);
        self.fail_open_polls(target);
    }

    /// Changes the capacity of a target to a share of its usual capacity, in percent. The list shows
    /// it at the next read of each VM.
    pub fn resize_target(&mut self, target: usize, percent: u32) {
        let usual = self.options.cores * 1000;
        let former = self.targets[target].capacity;
        let capacity = ResourceVector {
            cpu: MilliCores(usual * percent / 100),
            ..former
        };
        if capacity != former {
            self.targets[target].set_capacity(self.now, capacity);
            self.record_history(target, format!("capacity {capacity}"));
        }
    }

    /// Makes a VM unable to read the list of targets until its process starts again, or able again.
    pub fn cut_list(&mut self, vm: usize, cut: bool) {
        match cut {
            true => self.list_cuts.insert(vm),
            false => self.list_cuts.remove(&vm),
        };
    }

    /// Fails the polls that wait at a target; their senders notice at once.
    fn fail_open_polls(&mut self, target: usize) {
        let polls = std::mem::take(&mut self.polls).into_iter();
        let (broken, kept): (Vec<WaitingPoll>, _) = polls.partition(|poll| poll.target == target);
        self.polls = kept;
        for poll in broken {
            if self.target_cuts.contains(&(poll.vm, target)) {
                continue;
            }
            let lost = FleetEvent::PollResult {
                target: poll.index,
                token: poll.plan.request.token,
                number: poll.plan.number,
                answer: PollResult::ConnectionLost,
            };
            let at = self.now + self.target_delay(poll.vm, target);
            self.schedule_answer(at, poll.call, poll.vm, lost);
        }
    }

    /// Partitions a zone from the other zones and from the store.
    pub fn cut_zone(&mut self, zone: &ZoneName) {
        for vm in 0..self.vms.len() {
            let inside = self.vms[vm].zone == *zone;
            self.cut_store(vm, inside);
            for other in 0..self.vms.len() {
                if inside != (self.vms[other].zone == *zone) {
                    self.cut_vms(vm, other, true);
                }
            }
            for target in 0..self.targets.len() {
                if inside != (self.targets[target].zone == *zone) {
                    self.cut_target(vm, target, true);
                }
            }
        }
    }

    /// Heals all partitions.
    pub fn heal(&mut self) {
        for (from, to) in &self.vm_cuts {
            for vm in [*from, *to] {
                self.vms[vm].disrupted_at = self.vms[vm].disrupted_at.max(self.now);
            }
        }
        self.vm_cuts.clear();
        self.target_cuts.clear();
        for vm in std::mem::take(&mut self.store_cuts) {
            self.vms[vm].store_cut_at = self.now;
        }
        self.list_cuts.clear();
        self.record_fault("all links are restored".to_owned());
        self.release_messages();
    }

    fn delay(&mut self, same_zone: bool) -> u64 {
        let base = if same_zone { 200 } else { 900 };
        base + self.rng.random_range(0..200)
    }

    fn vm_delay(&mut self, from: usize, to: usize) -> u64 {
        let same = self.vms[from].zone == self.vms[to].zone;
        let slow = self.slow_links.get(&(from, to));
        slow.copied().unwrap_or_default() + self.delay(same)
    }

    fn target_delay(&mut self, vm: usize, target: usize) -> u64 {
        let same = self.vms[vm].zone == self.targets[target].zone;
        self.delay(same)
    }

    fn clock(&self) -> ClockReading {
        ClockReading {
            time: TimePoint(self.now),
            wall: WallTime(1_700_000_000_000 + self.now / 1000),
        }
    }

    /// The clocks of a VM; its wall clock may be wrong.
    fn clock_of(&self, vm: usize) -> ClockReading {
        let clock = self.clock();
        ClockReading {
            wall: WallTime(
                clock
                    .wall
                    .0
                    .saturating_add_signed(self.vms[vm].clock_offset_ms),
            ),
            ..clock
        }
    }

    /// Sets how far the wall clock of a VM is ahead.
    pub fn step_clock(&mut self, vm: usize, ahead_ms: i64) {
        self.vms[vm].clock_offset_ms = ahead_ms;
    }

    /// Whether a call is open and the process that made it still runs.
    fn is_call_live(&mut self, call: u64, vm: usize) -> bool {
        let generation = self.vms[vm].generation;
        self.open_calls.contains(&call)
            && call_generation(call) == generation
            && self.vms[vm].engine.is_some()
    }

    fn open_call(&mut self, vm: usize) -> u64 {
        let number = self.next_call;
        self.next_call += 1;
        let call = (self.vms[vm].generation << 40) | number;
        self.open_calls.insert(call);
        call
    }

    fn process_event(&mut self, event: SimEvent) {
        // A paused or busy process handles nothing; what arrives waits in its sockets.
        let acting = match &event {
            SimEvent::Exchange(exchange, event) => Some(self.exchange_vm(*exchange, event)),
            SimEvent::Plan(event) => event.acting_vm(),
            event => acting_vm(event),
        };
        if let Some(until) = self.stall_of(&event, acting) {
            return self.push_event(until, event);
        }
        if let Some(vm) = acting {
            let state = &self.vms[vm];
            let until = state.frozen_until.max(state.busy_until);
            if until > self.now {
                return self.push_event(until, event);
            }
        }
        match event {
            SimEvent::Wake(vm, generation) => {
                if self.vms[vm].generation == generation
                    && self.vms[vm].wake_at.is_some_and(|at| at <= self.now)
                {
                    let due = self.vms[vm].wake_at.take();
                    self.measure_lateness(vm, due.unwrap_or(self.now));
                    self.feed(vm, FleetEvent::TimeAdvanced);
                }
            }
            SimEvent::Start(vm) => self.start_vm(vm),
            SimEvent::StallEnds(vm, generation) => self.end_stall(vm, generation),
            SimEvent::Unfreeze(vm) => {
                if self.vms[vm].engine.is_some() {
                    self.feed(vm, FleetEvent::TimeAdvanced);
                }
            }
            SimEvent::Listing(vm, generation) => self.list_targets(vm, generation),
            SimEvent::Store(vm, generation) => self.visit_store(vm, generation),
            SimEvent::Operator(vm, generation) => self.request_operator(vm, generation),
            SimEvent::OperatorRead {
                vm,
                generation,
                end,
                requested_at,
            } => self.read_operator(vm, generation, end, requested_at),
            SimEvent::Envelope {
                call,
                from,
                to,
                peer,
                envelope,
            } => self.deliver_envelope(call, from, to, peer, *envelope),
            SimEvent::Ack {
                call,
                from,
                peer: (peer, number),
                ack,
            } => {
                if self.is_call_live(call, from) {
                    self.open_calls.remove(&call);
                    self.feed(from, FleetEvent::EnvelopeAcked { peer, number, ack });
                }
            }
            SimEvent::EnvelopeLost {
                call,
                from,
                peer: (peer, number),
                refused,
            } => {
                if self.is_call_live(call, from) {
                    self.open_calls.remove(&call);
                    let failed = FleetEvent::EnvelopeFailed {
                        peer,
                        number,
                        refused,
                    };
                    self.feed(from, failed);
                }
            }
            SimEvent::StartArrives(arrival) => self.execute_start(arrival),
            SimEvent::StopArrives {
                call,
                vm,
                index,
                target,
                request,
                late_instance,
            } => match late_instance {
                None => self.execute_stop(call, vm, index, target, request),
                Some(instance)
                    if self.takes_late_call(target, instance) && self.reaches(vm, target) =>
                {
                    let answer = self.targets[target].stop(self.now, &request);
                    self.record_history(target, format!("late stop {}: {answer:?}", request.run));
                    self.answer_due_polls(target);
                }
                Some(_) => {}
            },
            SimEvent::PollArrives {
                call,
                vm,
                index,
                target,
                plan,
                late_instance,
            } => match late_instance {
                None => self.execute_poll(call, vm, index, target, plan),
                Some(instance)
                    if self.takes_late_call(target, instance) && self.reaches(vm, target) =>
                {
                    self.targets[target].apply_poll(self.now, &plan.request);
                    self.answer_due_polls(target);
                }
                Some(_) => {}
            },
            SimEvent::Answer { call, vm, event } => {
                if self.is_call_live(call, vm) {
                    self.open_calls.remove(&call);
                    self.record_report(call, vm);
                    self.feed(vm, *event);
                }
            }
            SimEvent::TargetChanges(target) => self.advance_target(target),
            SimEvent::DeadlyRun {
                target,
                instance,
                run,
            } => self.end_deadly_run(target, instance, run),
            SimEvent::TargetStarts {
                target,
                crashed_instance,
            } => {
                let place = &self.targets[target];
                if place.has_crashed() && place.instance == crashed_instance {
                    self.restart_target(target);
                }
            }
            SimEvent::Submit(id) => self.deliver_job(id),
            SimEvent::Exchange(exchange, event) => self.process_exchange(exchange, event),
            SimEvent::ClientDisconnects(id, send) => self.end_connection(id, send),
            SimEvent::EndNoticed(vm, caller) => self.notice_end(vm, caller),
            SimEvent::Plan(event) => self.process_plan(event),
            SimEvent::ExchangeEndNoticed(vm, id, send) => self.notice_exchange_end(vm, id, send),
        }
    }

    /// Tells a VM how late its timer has fired.
    fn measure_lateness(&mut self, vm: usize, due: u64) {
        let clock = self.clock_of(vm);
        let lateness = Duration::from_micros(self.now - due);
        if let (Some(_), Some(engine)) = (&self.options.forwarding, &mut self.vms[vm].engine) {
            engine.record_lateness(clock, lateness);
        }
    }

    fn start_vm(&mut self, vm: usize) {
        if self.vms[vm].engine.is_some() {
            return;
        }
        let clock = self.clock_of(vm);
        let state = &mut self.vms[vm];
        state.generation += 1;
        state.unresponsive = false;
        self.routes.forget_vm(vm);
        self.list_cuts.remove(&vm);
        state.known_targets = vec![false; self.targets.len()];
        let incarnation = incarnation_of(vm, state.generation);
        let identity = identity_of(vm, state, incarnation);
        let mut settings = self.options.settings.clone();
        let forced = self.options.forwarding.as_ref();
        if forced.is_some_and(|vms| vms.contains(&vm)) {
            settings.routing.lateness = Duration::ZERO;
        }
        state.engine = Some(FleetEngine::new(settings, identity, clock, incarnation.0));
        let generation = self.vms[vm].generation;
        self.visit_store(vm, generation);
        self.read_all_zones(vm);
        let next_read = self.now + self.operator_phase(vm);
        self.schedule(next_read, SimEvent::Operator(vm, generation));
        let configuration = Rc::clone(&self.configuration);
        self.feed(vm, FleetEvent::Configured(configuration));
        self.list_targets(vm, generation);
    }

    /// Renews a VM's record in the store if needed, and reads the records of all VMs.
    fn visit_store(&mut self, vm: usize, generation: u64) {
        if self.vms[vm].generation != generation || self.vms[vm].engine.is_none() {
            return;
        }
        let renewing = self.engine(vm).needs_record_renewal();
        if !self.store_cuts.contains(&vm) {
            let known = self
                .revisions
                .get(&vm)
                .is_some_and(|(known, _)| *known == generation);
            if renewing || !known {
                self.next_revision += 1;
                self.revisions.insert(vm, (generation, self.next_revision));
            }
            let records = self
                .revisions
                .iter()
                .map(|(other, (generation, revision))| {
                    let incarnation = incarnation_of(*other, *generation);
                    PeerObservation {
                        record: PeerRecord {
                            identity: identity_of(*other, &self.vms[*other], incarnation),
                            // The records are renewed often enough; the time is that of the writer's
                            // clock.
                            written_at: self.clock_of(*other).wall,
                        },
                        revision: *revision,
                    }
                });
            let records = records.collect();
            self.feed(vm, FleetEvent::PeersFound(records));
        }
        let pause = if renewing { 400_000 } else { 3_000_000 };
        self.schedule(self.now + pause, SimEvent::Store(vm, generation));
    }

    /// Partitions a VM from the store, or ends the partition.
    pub fn cut_store(&mut self, vm: usize, cut: bool) {
        match cut {
            true => self.store_cuts.insert(vm),
            false => self.store_cuts.remove(&vm),
        };
        self.vms[vm].store_cut_at = self.now;
    }

    /// Closes or opens a zone, as the operator does. Each VM reads the record after a while.
    pub fn close_zone(&mut self, zone: &ZoneName, closed: bool) {
        self.operator_log.push(OperatorRecord {
            at: self.now,
            zone: zone.clone(),
            closed,
        });
    }

    /// When the operator closed a zone; `None` if it is open.
    pub fn closed_at(&self, zone: &ZoneName) -> Option<u64> {
        let mut records = self.operator_log.iter().rev();
        let latest = records.find(|record| record.zone == *zone)?;
        latest.closed.then_some(latest.at)
    }

    /// The time from the start of a VM to its second read of the operator's records: differs between VMs.
    fn operator_phase(&self, vm: usize) -> u64 {
        OPERATOR_INTERVAL * (vm as u64 + 1) / self.vms.len() as u64
    }

    /// Reads the newest record of each zone.
    fn read_all_zones(&mut self, vm: usize) {
        let mut newest = BTreeMap::new();
        for (offset, record) in (0..).zip(&self.operator_log) {
            newest.insert(&record.zone, (LogOffset(offset), record.closed));
        }
        let closed = newest.into_iter().filter(|(_, (_, closed))| *closed);
        let changes = closed.map(|(zone, (offset, closed))| ZoneChange {
            zone: zone.clone(),
            offset,
            closed,
        });
        let read = ZoneRead {
            changes: changes.collect(),
            through: LogOffset(self.operator_log.len() as u64),
            complete: true,
            requested_at: TimePoint(self.now),
        };
        self.vms[vm].operator_next = self.operator_log.len();
        self.feed(vm, FleetEvent::ZonesRead(read));
    }

    /// Requests the operator's records since the last read, if the VM reaches the store.
    fn request_operator(&mut self, vm: usize, generation: u64) {
        if self.vms[vm].generation != generation || self.vms[vm].engine.is_none() {
            return;
        }
        if !self.store_cuts.contains(&vm) {
            let read = SimEvent::OperatorRead {
                vm,
                generation,
                end: self.operator_log.len(),
                requested_at: self.now,
            };
            self.schedule(self.now + OPERATOR_DELAY, read);
        }
        let at = self.now + OPERATOR_INTERVAL;
        self.schedule(at, SimEvent::Operator(vm, generation));
    }

    /// Applies the operator's records up to `end`.
    fn read_operator(&mut self, vm: usize, generation: u64, end: usize, requested_at: u64) {
        if self.vms[vm].generation != generation || self.vms[vm].engine.is_none() {
            return;
        }
        let next = self.vms[vm].operator_next;
        let records = self.operator_log[..end].iter().enumerate().skip(next);
        let changes = records.map(|(offset, record)| ZoneChange {
            zone: record.zone.clone(),
            offset: LogOffset(offset as u64),
            closed: record.closed,
        });
        let read = ZoneRead {
            changes: changes.collect(),
            through: LogOffset(end as u64),
            complete: false,
            requested_at: TimePoint(requested_at),
        };
        self.vms[vm].operator_next = end;
        self.feed(vm, FleetEvent::ZonesRead(read));
    }

    /// Since when a VM has been able to learn of the operator's records without interruption, from the
    /// store or from another VM that reads it; `None` while it cannot.
    fn informed_since(&self, vm: usize) -> Option<u64> {
        let reads_since =
            |vm: usize| (!self.store_cuts.contains(&vm)).then_some(self.vms[vm].store_cut_at);
        let linked = |other: usize| {
            self.is_up(other)
                && !self.vm_cuts.contains(&(vm, other))
                && !self.vm_cuts.contains(&(other, vm))
        };
        let others = (0..self.vms.len()).filter(|other| *other != vm && linked(*other));
        let told_since = others.filter_map(|other| {
            let steady_since = self.vms[vm].disrupted_at.max(self.vms[other].disrupted_at);
            Some(reads_since(other)?.max(steady_since))
        });
        told_since.chain(reads_since(vm)).min()
    }

    /// Checks that a start is not in a zone that was closed longer ago than the limit.
    fn check_zone(&self, vm: usize, target: usize, task: TaskName) {
        let place = &self.targets[target];
        let (Some(closed_at), Some(informed_since)) =
            (self.closed_at(&place.zone), self.informed_since(vm))
        else {
            return;
        };
        if self.now > closed_at.max(informed_since) + CLOSURE_LIMIT {
            self.print_job(task.job);
            panic!(
                "seed {}: vm-{vm} started {task} on {} at {} us; {} was closed at {closed_at} us",
                self.seed(),
                place.name,
                self.now,
                place.zone
            );
        }
    }

    /// The availability zone of a VM.
    pub fn zone_of(&self, vm: usize) -> &ZoneName {
        &self.vms[vm].zone
    }

    fn list_targets(&mut self, vm: usize, generation: u64) {
        if self.vms[vm].generation != generation || self.vms[vm].engine.is_none() {
            return;
        }
        if self.list_cuts.contains(&vm) {
            let at = self.now + LISTING_INTERVAL;
            return self.schedule(at, SimEvent::Listing(vm, generation));
        }
        let heartbeat_us = self.options.target_heartbeat.as_micros() as u64;
        let mut notices = Vec::new();
        for (index, target) in self.targets.iter().enumerate() {
            if target.listed && !target.is_down() {
                let capacity = target.listed_capacity(self.now, heartbeat_us);
                let entry = entry_of(index, target);
                notices.push(TargetChange::Listed(TargetEntry { capacity, ..entry }));
                self.vms[vm].known_targets[index] = true;
            } else if std::mem::take(&mut self.vms[vm].known_targets[index]) {
                notices.push(TargetChange::Removed(target.name.clone()));
            }
        }
        self.feed(vm, FleetEvent::TargetsChanged(notices));
        self.feed(vm, FleetEvent::TargetsListed);
        self.schedule(
            self.now + LISTING_INTERVAL,
            SimEvent::Listing(vm, generation),
        );
    }

    fn feed(&mut self, vm: usize, event: FleetEvent) {
        let clock = self.clock_of(vm);
        let Some(engine) = &mut self.vms[vm].engine else {
            return;
        };
        let begun = self.processor_clock.map(|clock| clock());
        engine.handle(clock, event);
        self.record_engine_time(begun);
        self.charge_event_cost(vm);
        self.perform_actions(vm);
    }

    fn record_engine_time(&mut self, begun: Option<Duration>) {
        if let (Some(begun), Some(clock)) = (begun, self.processor_clock) {
            self.engine_time += clock().saturating_sub(begun);
        }
    }

    fn charge_event_cost(&mut self, vm: usize) {
        let state = &mut self.vms[vm];
        let event_cost =
            self.options.event_cost.as_micros() as u64 * 1000 / u64::from(state.processor.0);
        state.busy_until = state.busy_until.max(self.now) + event_cost;
    }

    fn perform_actions(&mut self, vm: usize) {
        let Some(engine) = &mut self.vms[vm].engine else {
            return;
        };
        let begun = self.processor_clock.map(|clock| clock());
        let request = engine.request_examination();
        let examination = request.map(|request| request.complete(self.examine_clients(vm)));
        let Some(engine) = &mut self.vms[vm].engine else {
            return;
        };
        let actions = engine.take_actions(examination);
        let due = engine.next_due();
        self.record_engine_time(begun);
        self.send_actions(vm, actions);
        if let Some(due) = due {
            let at = due.0.max(self.now + 1);
            if self.vms[vm].wake_at.is_none_or(|armed| at < armed) {
                self.vms[vm].wake_at = Some(at);
                let generation = self.vms[vm].generation;
                self.schedule(at, SimEvent::Wake(vm, generation));
            }
        }
    }

    fn perform(&mut self, vm: usize, action: FleetAction) {
        match action {
            FleetAction::Reply { caller, reply } => self.reply(vm, caller, reply),
            FleetAction::SendEnvelope {
                peer,
                address,
                envelope,
            } => {
                let to = usize::from(address.port()) - 1000;
                let call = self.open_call(vm);
                let at = self.now + self.vm_delay(vm, to);
                let at = self.slowness.link_arrival(vm, to, at);
                if let Some(size) = self.envelope_size {
                    self.envelope_bytes += size(&envelope);
                }
                self.schedule(
                    at,
                    SimEvent::Envelope {
                        call,
                        from: vm,
                        to,
                        peer,
                        envelope,
                    },
                );
                if let Some(peer) = peer {
                    self.schedule(
                        self.now + ENVELOPE_TIMEOUT,
                        SimEvent::EnvelopeLost {
                            call,
                            from: vm,
                            peer,
                            refused: false,
                        },
                    );
                }
            }
            FleetAction::Start {
                target: index,
                name,
                request,
                options,
                ..
            } => {
                let target = self.find_target(&name);
                let call = self.open_call(vm);
                let (at, late_instance) = self.plan_arrival(call, vm, target);
                let lost = FleetEvent::StartResult {
                    target: index,
                    token: request.token,
                    run: request.run,
                    answer: StartAnswer::TimedOut,
                };
                let timeout = options.timeout.as_micros() as u64;
                self.schedule_answer(self.now + timeout, call, vm, lost);
                self.schedule(
                    at,
                    SimEvent::StartArrives(StartArrival {
                        call,
                        vm,
                        index,
                        target,
                        request,
                        sent_at: self.now,
                        late_instance,
                    }),
                );
            }
            FleetAction::Stop {
                target: index,
                name,
                request,
                options,
                ..
            } => {
                let target = self.find_target(&name);
                let call = self.open_call(vm);
                let (at, late_instance) = self.plan_arrival(call, vm, target);
                let lost = FleetEvent::StopResult {
                    target: index,
                    token: request.token,
                    run: request.run,
                    answer: StopResult::TimedOut,
                };
                let timeout = options.timeout.as_micros() as u64;
                self.schedule_answer(self.now + timeout, call, vm, lost);
                if self.departures.loses_stops {
                    return;
                }
                self.schedule(
                    at,
                    SimEvent::StopArrives {
                        call,
                        vm,
                        index,
                        target,
                        request,
                        late_instance,
                    },
                );
            }
            FleetAction::Poll {
                target: index,
                name,
                plan,
                ..
            } => {
                let target = self.find_target(&name);
                let call = self.open_call(vm);
                let (at, late_instance) = self.plan_arrival(call, vm, target);
                let lost = FleetEvent::PollResult {
                    target: index,
                    token: plan.request.token,
                    number: plan.number,
                    answer: PollResult::TimedOut,
                };
                let timeout = plan.options.timeout.as_micros() as u64;
                self.schedule_answer(self.now + timeout, call, vm, lost);
                self.schedule(
                    at,
                    SimEvent::PollArrives {
                        call,
                        vm,
                        index,
                        target,
                        plan,
                        late_instance,
                    },
                );
            }
            FleetAction::Probe {
                target: index,
                name,
                ..
            } => {
                let target = self.find_target(&name);
                let call = self.open_call(vm);
                let reached = self.reaches(vm, target);
                let answered = reached || self.refuses(vm, target);
                let at = match answered {
                    true => self.now + 2 * self.target_delay(vm, target),
                    false => self.now + 200_000,
                };
                let event = FleetEvent::ProbeResult {
                    target: index,
                    reached,
                };
                self.schedule_answer(at, call, vm, event);
            }
            FleetAction::AnswerCancel { token, outcome } => {
                self.cancel_answers.insert(token, outcome);
            }
            FleetAction::EndForwarding(job) => self.give_up_exchange(vm, job),
            FleetAction::Disconnect(_) => {}
            FleetAction::Notice(notice) => self.record_notice(vm, notice),
        }
    }

    /// When a call arrives and, if it is delayed, the target instance that executes it.
    fn plan_arrival(&mut self, call: u64, vm: usize, target: usize) -> (u64, Option<u64>) {
        let plan = self.slowness.plan_call(call, vm, target);
        let at = self.now + self.target_delay(vm, target) + plan.request;
        if plan.unanswered {
            return (at, Some(self.targets[target].instance));
        }
        if !self.rng.random_bool(self.net.delayed_calls) {
            return (at, None);
        }
        let late_instance = at + self.rng.random_range(2_000_000..12_000_000);
        (late_instance, Some(self.targets[target].instance))
    }

    /// When the response to a call arrives that a target sends now.
    fn answer_arrival(&mut self, call: u64, vm: usize, target: usize) -> u64 {
        self.now + self.target_delay(vm, target) + self.slowness.response_delay(call)
    }

    fn schedule_answer(&mut self, at: u64, call: u64, vm: usize, event: FleetEvent) {
        let event = Box::new(event);
        self.schedule(at, SimEvent::Answer { call, vm, event });
    }

    fn find_target(&self, name: &TargetName) -> usize {
        let found = self.targets.iter().position(|target| target.name == *name);
        found.expect("the target exists")
    }

    fn deliver_envelope(
        &mut self,
        call: u64,
        from: usize,
        to: usize,
        peer: Option<(VmIndex, EnvelopeNumber)>,
        envelope: PeerEnvelope,
    ) {
        if self.vm_cuts.contains(&(from, to)) {
            let event = SimEvent::Envelope {
                call,
                from,
                to,
                peer,
                envelope: Box::new(envelope),
            };
            return self.slowness.hold(from, to, event);
        }
        self.record_requests(from, to, &envelope);
        if self.vms[to].engine.is_none() {
            if let (false, Some(peer)) = (self.vms[to].unresponsive, peer) {
                let at = self.now + self.vm_delay(to, from);
                self.schedule(
                    at,
                    SimEvent::EnvelopeLost {
                        call,
                        from,
                        peer,
                        refused: true,
                    },
                );
            }
            return;
        }
        let clock = self.clock_of(to);
        let engine = self.vms[to].engine.as_mut().expect("the process runs");
        let begun = self.processor_clock.map(|clock| clock());
        let ack = engine.receive_envelope(clock, envelope);
        self.record_engine_time(begun);
        self.charge_event_cost(to);
        self.perform_actions(to);
        if let Some(peer) = peer
            && !self.vm_cuts.contains(&(to, from))
        {
            let leaves_at = self.vms[to].stalled_until.unwrap_or(self.now);
            let at = leaves_at + self.vm_delay(to, from);
            let at = self.slowness.link_arrival(to, from, at);
            self.schedule(
                at,
                SimEvent::Ack {
                    call,
                    from,
                    peer,
                    ack,
                },
            );
        }
    }

    /// Whether a VM and a target can communicate.
    fn reaches(&self, vm: usize, target: usize) -> bool {
        !self.targets[target].is_down() && !self.target_cuts.contains(&(vm, target))
    }

    /// Whether a target's address refuses the connections of a VM.
    fn refuses(&self, vm: usize, target: usize) -> bool {
        self.targets[target].has_crashed() && !self.target_cuts.contains(&(vm, target))
    }

    /// Answers a call that a VM made to a target whose process has crashed.
    fn refuse(&mut self, call: u64, vm: usize, target: usize, event: FleetEvent) {
        let at = self.answer_arrival(call, vm, target);
        self.schedule_answer(at, call, vm, event);
    }

    /// Whether a target carries out a late call to one of its instances.
    fn takes_late_call(&self, target: usize, instance: u64) -> bool {
        instance == self.targets[target].instance || self.plan.new_instances_take_calls
    }

    fn execute_start(&mut self, arrival: StartArrival) {
        let StartArrival {
            call,
            vm,
            index,
            target,
            request,
            sent_at,
            late_instance,
        } = arrival;
        // A request that waits at a target is lost when the target ends.
        let gone = late_instance.is_some_and(|instance| !self.takes_late_call(target, instance));
        if self.refuses(vm, target) && late_instance.is_none() {
            let event = FleetEvent::StartResult {
                target: index,
                token: request.token,
                run: request.run,
                answer: self.targets[target].absent_start_answer(self.now),
            };
            self.refuse(call, vm, target, event);
        }
        if self.targets[target].may_have_started(self.now) && !gone {
            let task = request.run.task;
            self.record_task_crash(target, task, CrashStage::Requested, false, false);
        }
        if !self.reaches(vm, target) || gone {
            return;
        }
        let task = request.run.task;
        let job = &self.jobs[&task.job];
        let resources = ResourceVector::from((job.shape.cores * 1000, 64, 0));
        let deadly = task.index < job.shape.deadly;
        let work = match deadly {
            // A deadly run ends by its crash or with its lease, never as done.
            true => DEADLY_WORK,
            false => job.work_on(&self.targets[target].labels).as_micros() as u64,
        };
        let before = self.targets[target].runs.contains_key(&request.run);
        self.targets[target].start_requests += 1;
        let answer = self.targets[target].start(self.now, &request, resources, work);
        self.record_history(
            target,
            format!(
                "start vm-{vm} {} token {} {resources} lease end {}: {answer:?}",
                request.run, request.token, request.lease_end.0
            ),
        );
        self.collect_target_log(target);
        if let StartAnswer::Accepted(_) = answer
            && !before
        {
            let place = &self.targets[target];
            let known = self.routes.knows_instance(vm, target, place, sent_at);
            self.check_start_invariants(target, request.run, known);
            self.check_route(vm, target, request.run, sent_at);
            self.check_zone(vm, target, task);
            self.jobs.get_mut(&task.job).unwrap().started = true;
            self.record_start(vm, target, request.run, late_instance.is_some());
            if deadly {
                let at = self.now + self.options.crash_delay.as_micros() as u64;
                let instance = self.targets[target].instance;
                self.schedule(
                    at,
                    SimEvent::DeadlyRun {
                        target,
                        instance,
                        run: request.run,
                    },
                );
            }
        }
        self.answer_due_polls(target);
        if late_instance.is_some() || self.rng.random_bool(self.net.response_loss) {
            return;
        }
        let event = FleetEvent::StartResult {
            target: index,
            token: request.token,
            run: request.run,
            answer,
        };
        let at = self.answer_arrival(call, vm, target);
        self.schedule_answer(at, call, vm, event);
    }

    /// Records a start, and checks that no task is started for a third time, by VMs in touch, after
    /// it has crashed three targets. A start that a target executed late does not count.
    fn record_start(&mut self, vm: usize, target: usize, run: RunName, late: bool) {
        let in_touch = self.is_in_touch(vm) && !late;
        let place = &self.targets[target];
        let start = TaskStart {
            at: self.now,
            vm,
            target: place.name.clone(),
            instance: place.instance,
            in_touch,
            fails: place.fault == Some(TargetFault::Failing),
        };
        let record = self.tasks.entry(run.task).or_default();
        record.starts.push(start);
        let vms = &self.vms;
        let is_known = |crash: &TaskCrash| {
            let mut witnesses = crash.witnesses.iter();
            witnesses.any(|(vm, generation)| {
                vms[*vm].engine.is_some() && vms[*vm].generation == *generation
            })
        };
        let starts = record.starts_beyond_limit(is_known);
        if in_touch && starts > START_LIMIT {
            println!("{record:#?}");
            self.print_job(run.task.job);
            panic!(
                "{} was started {starts} times after it crashed three targets, at {} us",
                run.task, self.now
            );
        }
    }

    /// Whether a VM runs and has had links to all other VMs for a while.
    fn is_in_touch(&self, vm: usize) -> bool {
        let cut = self
            .vm_cuts
            .iter()
            .any(|(from, to)| [*from, *to].contains(&vm));
        !cut && self.vms[vm].disrupted_at + TOUCH_DELAY <= self.now
    }

    fn record_history(&mut self, target: usize, line: String) {
        let name = &self.targets[target].name;
        self.push_history(format!("{} {name} {line}", self.now));
    }

    fn push_history(&mut self, line: String) {
        if self.history.len() == 40_000 {
            self.history.pop_front();
        }
        self.history.push_back(line);
    }

    /// Adds the requests for tasks in an envelope to the history.
    fn record_requests(&mut self, from: usize, to: usize, envelope: &PeerEnvelope) {
        for message in &envelope.messages {
            if let FleetMessage::Place(request) = message {
                for order in &request.tasks {
                    let sent_at = envelope.sent_at.0;
                    self.push_history(format!(
                        "{} vm-{to} is asked by vm-{from} to run {}.{}, issued at {}, sent at {sent_at}",
                        self.now, order.task, order.run.0, request.issued_at.0
                    ));
                }
            }
        }
    }

    /// Moves what has happened at a target to the history.
    fn collect_target_log(&mut self, target: usize) {
        let name = self.targets[target].name.clone();
        for (at, line) in std::mem::take(&mut self.targets[target].log) {
            self.push_history(format!("{at} {name} {line}"));
        }
    }

    fn record_notice(&mut self, vm: usize, notice: FleetNotice) {
        self.notices.push((self.now, vm, notice.clone()));
        if let (FleetNotice::RunOutlived { run, target, .. }, false) =
            (&notice, self.plan.is_active())
        {
            self.print_job(run.task.job);
            panic!(
                "seed {}: vm-{vm} has counted {run} on {target} as over at {} us: {notice:?}",
                self.seed(),
                self.now
            );
        }
    }

    /// Prints the notices and the calls of a job in order of time.
    pub fn print_job(&self, id: JobId) {
        let name = format!("JobId({})", id.0);
        let marker = format!(" {id}.");
        let notices = self.notices.iter();
        let notices = notices.map(|(at, vm, notice)| (*at, format!("vm-{vm} {notice:?}")));
        let general = |line: &str| {
            !line.contains("JobId(") && (line.contains("Peer") || line.contains("Target"))
        };
        let notices = notices.filter(|(_, line)| line.contains(&name) || general(line));
        let calls = self.history.iter();
        let records = self.records(id);
        let starts = records.iter().flat_map(|(_, record)| &record.starts);
        let leases = starts.map(|start| format!(" {} lease", start.target));
        let leases = leases.collect::<BTreeSet<_>>();
        let calls = calls.filter(|line| {
            line.contains(&marker)
                || line.contains(&name)
                || line.contains(" fault: ")
                || leases.iter().any(|lease| line.contains(lease))
        });
        let calls = calls.map(|line| {
            let (at, line) = line.split_once(' ').unwrap();
            (at.parse().unwrap(), line.to_owned())
        });
        let mut lines = notices.chain(calls).collect::<Vec<(u64, String)>>();
        lines.sort_by_key(|(at, _)| *at);
        let sent_at = self.jobs[&id].sent_at;
        for (at, line) in lines.iter().filter(|(at, _)| *at >= sent_at) {
            println!("{at} {line}");
        }
    }

    /// Prints the recent calls to a target.
    fn print_history(&self, target: &TargetName) {
        let marker = format!(" {target} ");
        let lines = self.history.iter().filter(|line| line.contains(&marker));
        let lines = lines.collect::<Vec<_>>();
        for line in &lines[lines.len().saturating_sub(60)..] {
            println!("{line}");
        }
        for (at, vm, notice) in self.notices.iter().rev().take(60).rev() {
            println!("{at} vm-{vm} {notice:?}");
        }
    }

    /// Checks the invariants that must hold at each start: capacity, and one run per task.
    /// A VM that has heard the target's present instance has no excuse to use a capacity of an earlier one.
    fn check_start_invariants(&self, target: usize, run: RunName, knows_instance: bool) {
        let started = &self.targets[target];
        let allocated = started.allocated();
        let former_us = self.options.former_capacity.as_micros() as u64;
        if !started.is_within_capacity(self.now, former_us, !knows_instance) {
            self.print_history(&started.name);
            panic!(
                "{} exceeds its capacity at {} us: {allocated}",
                started.name, self.now
            );
        }
        for (other, place) in self.targets.iter().enumerate() {
            let mut runs = place.runs.keys().filter(|name| name.task == run.task);
            let earlier = runs.find(|name| other != target || **name != run);
            let collected = self.plan.is_active();
            if let (Some(earlier), false, false) = (earlier, place.is_down(), collected) {
                self.print_job(run.task.job);
                let lease_end = place.lease_end_us();
                println!("the lease of {} ends at {lease_end} us", place.name);
                panic!(
                    "seed {}: {run} starts on {} while {earlier} runs on {} at {} us",
                    self.seed(),
                    started.name,
                    place.name,
                    self.now
                );
            }
        }
    }

    fn execute_stop(
        &mut self,
        call: u64,
        vm: usize,
        index: TargetIndex,
        target: usize,
        request: StopRequest,
    ) {
        if self.refuses(vm, target) {
            let event = FleetEvent::StopResult {
                target: index,
                token: request.token,
                run: request.run,
                answer: self.targets[target].absent_stop_result(),
            };
            self.refuse(call, vm, target, event);
        }
        if !self.reaches(vm, target) {
            return;
        }
        let answer = self.targets[target].stop(self.now, &request);
        self.record_history(
            target,
            format!(
                "stop vm-{vm} {} token {}: {answer:?}",
                request.run, request.token
            ),
        );
        self.answer_due_polls(target);
        if self.rng.random_bool(self.net.response_loss) {
            return;
        }
        let event = FleetEvent::StopResult {
            target: index,
            token: request.token,
            run: request.run,
            answer,
        };
        let at = self.answer_arrival(call, vm, target);
        self.schedule_answer(at, call, vm, event);
    }

    fn execute_poll(
        &mut self,
        call: u64,
        vm: usize,
        index: TargetIndex,
        target: usize,
        plan: PollPlan,
    ) {
        if self.refuses(vm, target) {
            let event = FleetEvent::PollResult {
                target: index,
                token: plan.request.token,
                number: plan.number,
                answer: self.targets[target].absent_poll_result(self.now),
            };
            self.refuse(call, vm, target, event);
        }
        if !self.reaches(vm, target) {
            return;
        }
        let admitted = self.targets[target].apply_poll(self.now, &plan.request);
        let until = match admitted {
            true => self.now + plan.request.wait.as_micros() as u64,
            false => self.now,
        };
        self.polls.push(WaitingPoll {
            call,
            vm,
            index,
            target,
            plan,
            until,
            admitted,
        });
        self.schedule(until, SimEvent::TargetChanges(target));
        self.answer_due_polls(target);
    }

    fn advance_target(&mut self, target: usize) {
        let now = self.now;
        self.targets[target].advance(now);
        self.answer_due_polls(target);
    }

    /// Answers the polls that are due, and schedules the target's next change.
    fn answer_due_polls(&mut self, target: usize) {
        let now = self.now;
        self.collect_target_log(target);
        let polls = std::mem::take(&mut self.polls);
        for poll in polls {
            let due = poll.target == target
                && (poll.until <= now
                    || self.targets[target].answers_at_once(now, &poll.plan.request));
            if !due {
                self.polls.push(poll);
                continue;
            }
            if !self.reaches(poll.vm, target) || self.rng.random_bool(self.net.response_loss) {
                continue;
            }
            let answer = self.targets[target].poll_response(now, &poll.plan.request, poll.admitted);
            self.record_history(
                target,
                format!("poll vm-{} {:?}: {answer:?}", poll.vm, poll.plan.request),
            );
            let event = FleetEvent::PollResult {
                target: poll.index,
                token: poll.plan.request.token,
                number: poll.plan.number,
                answer,
            };
            let instance = self.targets[target].instance;
            self.routes.record_answer(poll.call, target, instance);
            let at = self.answer_arrival(poll.call, poll.vm, target);
            self.schedule_answer(at, poll.call, poll.vm, event);
        }
        if let Some(at) = self.targets[target].next_change()
            && at < u64::MAX
        {
            self.schedule(at.max(now + 1), SimEvent::TargetChanges(target));
        }
    }

    fn deliver_job(&mut self, id: JobId) {
        let job = self.jobs.get_mut(&id).expect("the job was submitted");
        job.sends += 1;
        job.current += 1;
        let (vm, send) = (job.vm, job.current);
        if self.vms[vm].engine.is_none() {
            return self.schedule_resend(id, send);
        }
        if self.options.forwarding.is_none() || !self.forward_job(vm, id, send) {
            self.submit_here(vm, id, send);
        }
    }

    /// Submits a job to a VM, which coordinates it.
    fn submit_here(&mut self, vm: usize, id: JobId, send: u64) {
        let caller = CallerToken(self.next_caller);
        self.next_caller += 1;
        self.vms[vm].callers.insert(caller, (id, send));
        let job = &self.jobs[&id];
        let event = FleetEvent::JobSubmitted {
            caller,
            queue: KindIndex::from(job.shape.queue),
            spec: job.order(id),
            client_timeout: job.shape.client_timeout.into(),
        };
        self.feed(vm, event);
    }

    /// Sends a job without an answer again, to another VM.
    fn schedule_resend(&mut self, id: JobId, send: u64) {
        let count = self.vms.len();
        let next = self.rng.random_range(0..count);
        let next = self.resend_vm.unwrap_or(next);
        let job = self.jobs.get_mut(&id).expect("the job was submitted");
        if job.current != send || job.sends >= SEND_LIMIT {
            return;
        }
        job.all_rejected = false;
        job.vm = next;
        self.schedule(self.now + RESEND_DELAY, SimEvent::Submit(id));
    }

    fn reply(&mut self, vm: usize, caller: CallerToken, reply: JobReply) {
        match self.vms[vm].callers.remove(&caller) {
            Some(_) if self.departures.take(vm, caller) => {}
            Some((id, send)) => self.answer_client(id, send, reply),
            None => {
                self.reply_to_vm(vm, caller, reply);
            }
        }
    }

    fn answer_client(&mut self, id: JobId, send: u64, reply: JobReply) {
        let job = self.jobs.get_mut(&id).expect("the job was submitted");
        if job.current != send {
            return;
        }
        job.reply = Some(reply);
        job.answered_at = self.now + 3_000;
        match reply {
            JobReply::Rejected { .. } => {}
            JobReply::Unknown => self.schedule_resend(id, send),
            _ => job.all_rejected = false,
        }
    }

    /// Checks that no job whose sends were all rejected has run.
    pub fn check_rejections(&self) {
        for (id, job) in &self.jobs {
            let rejected = matches!(job.reply, Some(JobReply::Rejected { .. }));
            let falsely_rejected = rejected && job.all_rejected && job.started;
            if falsely_rejected {
                self.print_job(*id);
                panic!("job {id} was rejected but has run: {job:?}");
            }
        }
    }

    /// Checks that no job with a deadly task was answered as completed, and that a job without one
    /// was answered as failed only if two targets have crashed with one of its tasks, or if a task
    /// has failed as often as its queue allows.
    pub fn check_failures(&self) {
        for (id, job) in &self.jobs {
            let valid = match job.reply {
                Some(JobReply::Completed) => job.shape.deadly == 0,
                Some(JobReply::Failed) => job.shape.deadly > 0 || self.may_give_up(*id),
                _ => true,
            };
            if !valid {
                println!("{:#?}", self.records(*id));
                self.print_job(*id);
                panic!(
                    "seed {}: job {id} has the wrong answer: {job:?}",
                    self.seed()
                );
            }
        }
    }

    /// Whether a task of a job has lost two runs to crashes, or failed as often as allowed.
    fn may_give_up(&self, id: JobId) -> bool {
        let queue = self.jobs[&id].shape.queue;
        let attempt_limit = self.configuration.queues[queue].attempt_limit;
        self.records(id).iter().any(|(_, record)| {
            let failed = record.starts.iter().filter(|start| start.fails).count();
            record.crashes.len() >= CRASH_MINIMUM || failed >= attempt_limit as usize
        })
    }

    /// The records of the tasks of a job that have started.
    pub fn records(&self, id: JobId) -> Vec<(TaskName, &TaskRecord)> {
        let records = self.tasks.range(task_range(id));
        records.map(|(task, record)| (*task, record)).collect()
    }

    /// The highest number of targets that a task of a job has crashed.
    pub fn most_crashes(&self, id: JobId) -> usize {
        let crashes = self.records(id).into_iter();
        let crashes = crashes.map(|(_, record)| record.caused_crashes());
        crashes.max().unwrap_or(0)
    }

    /// The number of targets that the tasks of a job have crashed.
    pub fn crashes_of(&self, id: JobId) -> usize {
        let crashes = self.records(id).into_iter();
        crashes.map(|(_, record)| record.caused_crashes()).sum()
    }

    /// The number of starts of the tasks of a job.
    pub fn starts_of(&self, id: JobId) -> usize {
        let records = self.records(id).into_iter();
        records.map(|(_, record)| record.starts.len()).sum()
    }

    /// The number of jobs that were answered as completed.
    pub fn completed(&self) -> usize {
        let replies = self.jobs.values().map(|job| job.reply);
        replies
            .filter(|reply| *reply == Some(JobReply::Completed))
            .count()
    }
}

/// The names of the tasks of a job.
fn task_range(job: JobId) -> std::ops::RangeInclusive<TaskName> {
    let name = |occurrence, step, index| TaskName {
        job,
        occurrence,
        step,
        index,
    };
    name(0, 0, 0)..=name(u32::MAX, u16::MAX, u16::MAX)
}

/// The priority of a queue.
fn queue_priority(queue: usize) -> u8 {
    [0, 2, 1].get(queue).copied().unwrap_or(0)
}

fn incarnation_of(vm: usize, generation: u64) -> IncarnationId {
    IncarnationId((vm as u64) << 32 | generation << 12 | vm as u64)
}

fn call_generation(call: u64) -> u64 {
    call >> 40
}

/// The VM whose process handles an event, if it is one that waits for the process.
fn acting_vm(event: &SimEvent) -> Option<usize> {
    match event {
        SimEvent::Wake(vm, _)
        | SimEvent::Listing(vm, _)
        | SimEvent::Store(vm, _)
        | SimEvent::Operator(vm, _) => Some(*vm),
        SimEvent::OperatorRead { vm, .. } => Some(*vm),
        SimEvent::Envelope { to, .. } => Some(*to),
        SimEvent::Ack { from, .. } | SimEvent::EnvelopeLost { from, .. } => Some(*from),
        SimEvent::Answer { vm, .. } => Some(*vm),
        SimEvent::EndNoticed(vm, _) | SimEvent::ExchangeEndNoticed(vm, ..) => Some(*vm),
        _ => None,
    }
}

fn identity_of(vm: usize, state: &SimVm, incarnation: IncarnationId) -> PeerIdentity {
    PeerIdentity {
        vm: state.name.clone(),
        incarnation,
        address: SocketAddr::from(([10, 0, 0, 1], 1000 + vm as u16)),
        zone: state.zone.clone(),
        processor: state.processor,
    }
}

fn entry_of(index: usize, target: &SimTarget) -> TargetEntry {
    TargetEntry {
        name: target.name.clone(),
        service: target.service.clone(),
        address: SocketAddr::from(([10, 1, 0, 1], 2000 + index as u16)),
        zone: target.zone.clone(),
        state: match target.draining {
            true => TargetState::Draining,
            false => TargetState::Ready,
        },
        capacity: target.capacity,
        labels: target.labels.clone(),
        boot: Some(TargetBoot(target.instance)),
        cold_remaining: Duration::ZERO,
        remaining: None,
    }
}
