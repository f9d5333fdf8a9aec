//! Simulated time: the events, the network and the checks.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_dispatch::entity::{KindIndex, TargetIndex, VmIndex};
use filbertpitch_dispatch::job::CallerToken;
use filbertpitch_fleet::engine::{
    FleetAction, FleetEngine, FleetEvent, FleetNotice, FleetSettings,
};
use filbertpitch_fleet::held::LookPlan;
use filbertpitch_types::fleet::{
    EnvelopeAck, FleetConfiguration, JobReply, PeerEnvelope, PeerIdentity, PeerObservation,
    PeerRecord, QueueSpec, ServicePolicy, TargetChange, TargetEntry, TargetState,
};
use filbertpitch_types::lease::{PollResult, RunRequest, StartAnswer, StopRequest, StopResult};
use filbertpitch_types::prelude::*;
use filbertpitch_types::time::ClockReading;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::client::{ClientJob, JobShape};
use super::target::SimTarget;

/// The time after which an envelope counts as lost, as in the process.
const ENVELOPE_TIMEOUT: u64 = 250_000;
/// The time between reads of the list of targets.
const LISTING_INTERVAL: u64 = 500_000;
/// The time after which a client sends a job again that got no answer.
const RESEND_DELAY: u64 = 1_300_000;
/// The most that a client sends a job.
const SEND_LIMIT: u32 = 3;

/// The size of the fleet.
#[derive(Clone, Debug)]
pub struct SimOptions {
    pub seed: u64,
    /// The VMs of each zone.
    pub vms: Vec<usize>,
    /// The targets of each zone.
    pub targets: Vec<usize>,
    /// The cores of a target.
    pub cores: u32,
    /// The queues: stretch and allowance.
    pub queues: Vec<(f64, Duration)>,
    pub settings: FleetSettings,
    /// How long a VM with a whole core takes for each event.
    pub turn: Duration,
    /// The processor time of the VMs of each zone; a whole core if there is none.
    pub processors: Vec<MilliCores>,
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
            turn: Duration::ZERO,
            processors: Vec::new(),
        }
    }
}

/// What is wrong with the network, beside cuts.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetFault {
    /// The part of the answers of targets that are lost.
    pub answers_lost: f64,
    /// The part of the calls to targets that get no answer and are carried out seconds later.
    pub orders_late: f64,
}

/// A start order on its way to a target.
#[derive(Debug)]
struct StartArrival {
    call: u64,
    vm: usize,
    index: TargetIndex,
    target: usize,
    order: RunRequest,
    /// The life of the target that carries the order out late, if it does.
    late: Option<u64>,
}

#[derive(Debug)]
enum Happening {
    Wake(usize, u64),
    Start(usize),
    Thaw(usize),
    Listing(usize, u64),
    Store(usize, u64),
    Envelope {
        call: u64,
        from: usize,
        to: usize,
        peer: Option<VmIndex>,
        envelope: Box<PeerEnvelope>,
    },
    Receipt {
        call: u64,
        from: usize,
        peer: VmIndex,
        receipt: EnvelopeAck,
    },
    EnvelopeLost {
        call: u64,
        from: usize,
        peer: VmIndex,
        refused: bool,
    },
    StartArrives(StartArrival),
    StopArrives {
        call: u64,
        vm: usize,
        index: TargetIndex,
        target: usize,
        order: StopRequest,
        late: Option<u64>,
    },
    LookArrives {
        call: u64,
        vm: usize,
        index: TargetIndex,
        target: usize,
        plan: LookPlan,
        late: Option<u64>,
    },
    Answer {
        call: u64,
        vm: usize,
        event: Box<FleetEvent>,
    },
    TargetChanges(usize),
    Submit(JobId),
    ClientLeaves(JobId, u64),
}

struct Timed {
    at: u64,
    order: u64,
    what: Happening,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

struct SimVm {
    name: VmName,
    zone: ZoneName,
    processor: MilliCores,
    engine: Option<FleetEngine>,
    /// Counts the processes that ran on the VM.
    life: u64,
    dark: bool,
    /// How far its time of day is ahead.
    clock_offset_ms: i64,
    frozen_until: u64,
    /// When it has handled the events so far.
    busy_until: u64,
    armed: Option<u64>,
    callers: BTreeMap<CallerToken, (JobId, u64)>,
    known: Vec<bool>,
}

struct WaitingLook {
    call: u64,
    vm: usize,
    index: TargetIndex,
    target: usize,
    plan: LookPlan,
    until: u64,
}

/// A fleet in simulated time.
pub struct SimFleet {
    pub now: u64,
    pub net: NetFault,
    pub jobs: BTreeMap<JobId, ClientJob>,
    pub targets: Vec<SimTarget>,
    pub notices: Vec<(u64, usize, FleetNotice)>,
    options: SimOptions,
    configuration: Rc<FleetConfiguration>,
    vms: Vec<SimVm>,
    events: BinaryHeap<Reverse<Timed>>,
    next_order: u64,
    next_call: u64,
    open_calls: HashSet<u64>,
    looks: Vec<WaitingLook>,
    vm_cuts: HashSet<(usize, usize)>,
    target_cuts: HashSet<(usize, usize)>,
    store_cuts: HashSet<usize>,
    /// The life and the mark under which each VM is known in the store.
    marks: BTreeMap<usize, (u64, u64)>,
    next_mark: u64,
    next_caller: u64,
    next_job: u64,
    /// What targets were told lately, for failures.
    history: VecDeque<String>,
    pub rng: ChaCha8Rng,
}

impl SimFleet {
    /// A fleet whose processes start now.
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
                targets.push(SimTarget::new(&name, zone, options.cores, 0, drift));
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
                    life: 0,
                    dark: false,
                    clock_offset_ms: 0,
                    frozen_until: 0,
                    busy_until: 0,
                    armed: None,
                    callers: BTreeMap::new(),
                    known: Vec::new(),
                });
            }
        }
        let queues = options.queues.iter().enumerate();
        let queues = queues.map(|(queue, (stretch, allowance))| QueueSpec {
            name: format!("queue-{queue}").parse().unwrap(),
            host: "host".into(),
            path_prefix: format!("/queue-{queue}/").into(),
            service: "desk".parse().unwrap(),
            priority: self_priority(queue),
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
        let mut fleet = Self {
            now: 1_000_000,
            net: NetFault::default(),
            jobs: BTreeMap::new(),
            targets,
            notices: Vec::new(),
            options,
            configuration,
            vms,
            events: BinaryHeap::new(),
            next_order: 0,
            next_call: 0,
            open_calls: HashSet::new(),
            looks: Vec::new(),
            vm_cuts: HashSet::new(),
            target_cuts: HashSet::new(),
            store_cuts: HashSet::new(),
            marks: BTreeMap::new(),
            next_mark: 0,
            next_caller: 0,
            next_job: 1,
            history: VecDeque::new(),
            rng,
        };
        for vm in 0..count {
            let at = fleet.now + fleet.rng.random_range(0..300_000);
            fleet.schedule(at, Happening::Start(vm));
        }
        fleet
    }

    /// The seed of the run.
    pub fn seed(&self) -> u64 {
        self.options.seed
    }

    /// How many VMs there are.
    pub fn vm_count(&self) -> usize {
        self.vms.len()
    }

    /// The engine of a VM whose process runs.
    pub fn engine(&self, vm: usize) -> &FleetEngine {
        self.vms[vm].engine.as_ref().expect("the process runs")
    }

    /// How many targets take orders from one of these VMs.
    pub fn confirmed_targets(&self, vms: &[usize]) -> usize {
        let engines = vms.iter().map(|vm| self.engine(*vm));
        engines.map(|engine| engine.view().confirmed_targets).sum()
    }

    /// How many envelopes the processes that run now have sent.
    pub fn envelopes(&self) -> u64 {
        let engines = self.vms.iter().filter_map(|vm| vm.engine.as_ref());
        engines.map(|engine| engine.counters().envelopes_sent).sum()
    }

    /// Whether a VM's process runs and is not frozen.
    pub fn is_up(&self, vm: usize) -> bool {
        self.vms[vm].engine.is_some() && self.vms[vm].frozen_until <= self.now
    }

    fn schedule(&mut self, at: u64, what: Happening) {
        let order = self.next_order;
        self.next_order += 1;
        self.events.push(Reverse(Timed { at, order, what }));
    }

    /// Runs for some time.
    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration.as_micros() as u64;
        while let Some(Reverse(next)) = self.events.peek()
            && next.at <= end
        {
            let Some(Reverse(next)) = self.events.pop() else {
                break;
            };
            self.now = next.at;
            self.happen(next.what);
        }
        self.now = end;
    }

    /// Sends a job to a VM.
    pub fn submit(&mut self, vm: usize, shape: JobShape) -> JobId {
        let id = JobId(self.next_job);
        self.next_job += 1;
        let job = ClientJob {
            shape,
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
        self.schedule(self.now + 3_000, Happening::Submit(id));
        id
    }

    /// Lets the client of a job close its connection.
    pub fn leave(&mut self, id: JobId) {
        let current = self.jobs[&id].current;
        self.schedule(self.now, Happening::ClientLeaves(id, current));
        self.jobs.get_mut(&id).unwrap().sends = SEND_LIMIT;
    }

    /// Ends a VM's process. It starts again after some time. A dark VM does not answer at all.
    pub fn kill_vm(&mut self, vm: usize, down_for: Duration, dark: bool) {
        let state = &mut self.vms[vm];
        if state.engine.take().is_none() {
            return;
        }
        state.dark = dark;
        state.frozen_until = 0;
        state.busy_until = 0;
        state.armed = None;
        state.known.clear();
        let broken = std::mem::take(&mut state.callers);
        for (id, send) in broken.into_values() {
            self.schedule_resend(id, send);
        }
        let at = self.now + down_for.as_micros() as u64;
        self.schedule(at, Happening::Start(vm));
    }

    /// Stops a VM's process for a while.
    pub fn freeze_vm(&mut self, vm: usize, duration: Duration) {
        let until = self.now + duration.as_micros() as u64;
        self.vms[vm].frozen_until = self.vms[vm].frozen_until.max(until);
        self.schedule(until, Happening::Thaw(vm));
    }

    /// Tells a VM to stop and to wait for its jobs as long as `grace`.
    pub fn drain_vm(&mut self, vm: usize, grace: Duration) {
        if self.is_up(vm) {
            let ends_at = self.clock().time + grace;
            self.feed(vm, FleetEvent::DrainStarted { ends_at });
        }
    }

    /// Cuts or heals the network between two VMs.
    pub fn cut_vms(&mut self, left: usize, right: usize, cut: bool) {
        for pair in [(left, right), (right, left)] {
            match cut {
                true => self.vm_cuts.insert(pair),
                false => self.vm_cuts.remove(&pair),
            };
        }
    }

    /// Cuts or heals the network between a VM and a target.
    pub fn cut_target(&mut self, vm: usize, target: usize, cut: bool) {
        match cut {
            true => self.target_cuts.insert((vm, target)),
            false => self.target_cuts.remove(&(vm, target)),
        };
    }

    /// Ends a target's process; it is down until it is restarted. Its connections break.
    pub fn crash_target(&mut self, target: usize) {
        self.targets[target].crash();
        self.break_looks(target);
    }

    /// Lets a target start anew at once.
    pub fn restart_target(&mut self, target: usize) {
        let now = self.now;
        self.targets[target].restart(now);
        self.break_looks(target);
    }

    /// Looks that wait at a target get no answer, and those who asked notice at once.
    fn break_looks(&mut self, target: usize) {
        let looks = std::mem::take(&mut self.looks).into_iter();
        let (broken, kept): (Vec<WaitingLook>, _) = looks.partition(|look| look.target == target);
        self.looks = kept;
        for look in broken {
            if self.target_cuts.contains(&(look.vm, target)) {
                continue;
            }
            let lost = FleetEvent::LookAnswered {
                target: look.index,
                token: look.plan.order.token,
                number: look.plan.number,
                answer: PollResult::Lost,
            };
            let at = self.now + self.target_delay(look.vm, target);
            self.schedule_answer(at, look.call, look.vm, lost);
        }
    }

    /// Cuts a zone off from the other zones and from the store.
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

    /// Heals all cuts.
    pub fn heal(&mut self) {
        self.vm_cuts.clear();
        self.target_cuts.clear();
        self.store_cuts.clear();
    }

    fn delay(&mut self, same_zone: bool) -> u64 {
        let base = if same_zone { 200 } else { 900 };
        base + self.rng.random_range(0..200)
    }

    fn vm_delay(&mut self, left: usize, right: usize) -> u64 {
        let same = self.vms[left].zone == self.vms[right].zone;
        self.delay(same)
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

    /// What the clocks of a VM say. Its time of day may be wrong.
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

    /// Sets how far the time of day of a VM is ahead.
    pub fn step_clock(&mut self, vm: usize, ahead_ms: i64) {
        self.vms[vm].clock_offset_ms = ahead_ms;
    }

    /// The call's VM process if it still runs, and its events are due now.
    fn caller_of(&mut self, call: u64, vm: usize) -> bool {
        let life = self.vms[vm].life;
        self.open_calls.contains(&call) && call_life(call) == life && self.vms[vm].engine.is_some()
    }

    fn open_call(&mut self, vm: usize) -> u64 {
        let number = self.next_call;
        self.next_call += 1;
        let call = (self.vms[vm].life << 40) | number;
        self.open_calls.insert(call);
        call
    }

    fn happen(&mut self, what: Happening) {
        // A frozen or busy process does nothing; what arrives waits in its sockets.
        if let Some(vm) = acting_vm(&what) {
            let state = &self.vms[vm];
            let until = state.frozen_until.max(state.busy_until);
            if until > self.now {
                return self.schedule(until, what);
            }
        }
        match what {
            Happening::Wake(vm, life) => {
                if self.vms[vm].life == life && self.vms[vm].armed.is_some_and(|at| at <= self.now)
                {
                    self.vms[vm].armed = None;
                    self.feed(vm, FleetEvent::TimeAdvanced);
                }
            }
            Happening::Start(vm) => self.start_vm(vm),
            Happening::Thaw(vm) => {
                if self.vms[vm].engine.is_some() {
                    self.feed(vm, FleetEvent::TimeAdvanced);
                }
            }
            Happening::Listing(vm, life) => self.list_targets(vm, life),
            Happening::Store(vm, life) => self.visit_store(vm, life),
            Happening::Envelope {
                call,
                from,
                to,
                peer,
                envelope,
            } => self.deliver_envelope(call, from, to, peer, *envelope),
            Happening::Receipt {
                call,
                from,
                peer,
                receipt,
            } => {
                if self.caller_of(call, from) {
                    self.open_calls.remove(&call);
                    self.feed(from, FleetEvent::EnvelopeConfirmed { peer, receipt });
                }
            }
            Happening::EnvelopeLost {
                call,
                from,
                peer,
                refused,
            } => {
                if self.caller_of(call, from) {
                    self.open_calls.remove(&call);
                    self.feed(from, FleetEvent::EnvelopeFailed { peer, refused });
                }
            }
            Happening::StartArrives(arrival) => self.carry_out_start(arrival),
            Happening::StopArrives {
                call,
                vm,
                index,
                target,
                order,
                late,
            } => match late {
                None => self.carry_out_stop(call, vm, index, target, order),
                Some(life) if life == self.targets[target].life && self.reaches(vm, target) => {
                    let answer = self.targets[target].stop(self.now, &order);
                    self.remember(target, format!("late stop {}: {answer:?}", order.run));
                    self.settle_target(target);
                }
                Some(_) => {}
            },
            Happening::LookArrives {
                call,
                vm,
                index,
                target,
                plan,
                late,
            } => match late {
                None => self.carry_out_look(call, vm, index, target, plan),
                Some(life) if life == self.targets[target].life && self.reaches(vm, target) => {
                    self.targets[target].hold(self.now, &plan.order);
                    self.settle_target(target);
                }
                Some(_) => {}
            },
            Happening::Answer { call, vm, event } => {
                if self.caller_of(call, vm) {
                    self.open_calls.remove(&call);
                    self.feed(vm, *event);
                }
            }
            Happening::TargetChanges(target) => self.change_target(target),
            Happening::Submit(id) => self.arrive(id),
            Happening::ClientLeaves(id, send) => {
                let vm = self.jobs[&id].vm;
                let callers = self.vms[vm].callers.iter();
                let mut found = callers.filter(|(_, job)| **job == (id, send));
                if let Some((&caller, _)) = found.next() {
                    self.vms[vm].callers.remove(&caller);
                    self.feed(vm, FleetEvent::CallerLeft(caller));
                }
            }
        }
    }

    fn start_vm(&mut self, vm: usize) {
        if self.vms[vm].engine.is_some() {
            return;
        }
        let clock = self.clock_of(vm);
        let state = &mut self.vms[vm];
        state.life += 1;
        state.dark = false;
        state.known = vec![false; self.targets.len()];
        let incarnation = incarnation_of(vm, state.life);
        let identity = identity_of(vm, state, incarnation);
        state.engine = Some(FleetEngine::new(
            self.options.settings.clone(),
            identity,
            clock,
            incarnation.0,
        ));
        let life = self.vms[vm].life;
        self.visit_store(vm, life);
        let configuration = Rc::clone(&self.configuration);
        self.feed(vm, FleetEvent::Configured(configuration));
        self.list_targets(vm, life);
        self.feed(vm, FleetEvent::TargetsListed);
    }

    /// A VM makes itself known in the store if it must, and reads who else is known there.
    fn visit_store(&mut self, vm: usize, life: u64) {
        if self.vms[vm].life != life || self.vms[vm].engine.is_none() {
            return;
        }
        let alarmed = self.engine(vm).wants_witness();
        if !self.store_cuts.contains(&vm) {
            let known = self.marks.get(&vm).is_some_and(|(known, _)| *known == life);
            if alarmed || !known {
                self.next_mark += 1;
                self.marks.insert(vm, (life, self.next_mark));
            }
            let sightings = self.marks.iter().map(|(other, (life, mark))| {
                let incarnation = incarnation_of(*other, *life);
                PeerObservation {
                    record: PeerRecord {
                        identity: identity_of(*other, &self.vms[*other], incarnation),
                        // The records are renewed often enough; the clock is that of their writer.
                        written_at: self.clock_of(*other).wall,
                    },
                    revision: *mark,
                }
            });
            let sightings = sightings.collect();
            self.feed(vm, FleetEvent::PeersFound(sightings));
        }
        let pause = if alarmed { 400_000 } else { 3_000_000 };
        self.schedule(self.now + pause, Happening::Store(vm, life));
    }

    /// Cuts a VM off from the store, or lets it reach the store again.
    pub fn cut_store(&mut self, vm: usize, cut: bool) {
        match cut {
            true => self.store_cuts.insert(vm),
            false => self.store_cuts.remove(&vm),
        };
    }

    /// The availability zone of a VM, by its position.
    pub fn zone_of(&self, vm: usize) -> &ZoneName {
        &self.vms[vm].zone
    }

    fn list_targets(&mut self, vm: usize, life: u64) {
        if self.vms[vm].life != life || self.vms[vm].engine.is_none() {
            return;
        }
        let mut notices = Vec::new();
        for (index, target) in self.targets.iter().enumerate() {
            if target.listed && !target.is_down() {
                notices.push(TargetChange::Listed(entry_of(index, target)));
                self.vms[vm].known[index] = true;
            } else if std::mem::take(&mut self.vms[vm].known[index]) {
                notices.push(TargetChange::Removed(target.name.clone()));
            }
        }
        self.feed(vm, FleetEvent::TargetsChanged(notices));
        self.schedule(self.now + LISTING_INTERVAL, Happening::Listing(vm, life));
    }

    fn feed(&mut self, vm: usize, event: FleetEvent) {
        let clock = self.clock_of(vm);
        let Some(engine) = &mut self.vms[vm].engine else {
            return;
        };
        engine.handle(clock, event);
        self.spend_turn(vm);
        self.perform_actions(vm);
    }

    fn spend_turn(&mut self, vm: usize) {
        let state = &mut self.vms[vm];
        let turn = self.options.turn.as_micros() as u64 * 1000 / u64::from(state.processor.0);
        state.busy_until = state.busy_until.max(self.now) + turn;
    }

    fn perform_actions(&mut self, vm: usize) {
        let Some(engine) = &mut self.vms[vm].engine else {
            return;
        };
        let actions = engine.take_actions();
        let due = engine.next_due();
        for action in actions {
            self.perform(vm, action);
        }
        if let Some(due) = due {
            let at = due.0.max(self.now + 1);
            if self.vms[vm].armed.is_none_or(|armed| at < armed) {
                self.vms[vm].armed = Some(at);
                let life = self.vms[vm].life;
                self.schedule(at, Happening::Wake(vm, life));
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
                self.schedule(
                    at,
                    Happening::Envelope {
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
                        Happening::EnvelopeLost {
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
                order,
                terms,
                ..
            } => {
                let target = self.find_target(&name);
                let call = self.open_call(vm);
                let (at, late) = self.plan_arrival(vm, target);
                let lost = FleetEvent::StartAnswered {
                    target: index,
                    token: order.token,
                    run: order.run,
                    answer: StartAnswer::Silent,
                };
                let timeout = terms.timeout.as_micros() as u64;
                self.schedule_answer(self.now + timeout, call, vm, lost);
                self.schedule(
                    at,
                    Happening::StartArrives(StartArrival {
                        call,
                        vm,
                        index,
                        target,
                        order,
                        late,
                    }),
                );
            }
            FleetAction::Stop {
                target: index,
                name,
                order,
                terms,
                ..
            } => {
                let target = self.find_target(&name);
                let call = self.open_call(vm);
                let (at, late) = self.plan_arrival(vm, target);
                let lost = FleetEvent::StopAnswered {
                    target: index,
                    token: order.token,
                    run: order.run,
                    answer: StopResult::Silent,
                };
                let timeout = terms.timeout.as_micros() as u64;
                self.schedule_answer(self.now + timeout, call, vm, lost);
                self.schedule(
                    at,
                    Happening::StopArrives {
                        call,
                        vm,
                        index,
                        target,
                        order,
                        late,
                    },
                );
            }
            FleetAction::Look {
                target: index,
                name,
                plan,
                ..
            } => {
                let target = self.find_target(&name);
                let call = self.open_call(vm);
                let (at, late) = self.plan_arrival(vm, target);
                let lost = FleetEvent::LookAnswered {
                    target: index,
                    token: plan.order.token,
                    number: plan.number,
                    answer: PollResult::Silent,
                };
                let timeout = plan.terms.timeout.as_micros() as u64;
                self.schedule_answer(self.now + timeout, call, vm, lost);
                self.schedule(
                    at,
                    Happening::LookArrives {
                        call,
                        vm,
                        index,
                        target,
                        plan,
                        late,
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
                let at = match reached {
                    true => self.now + 2 * self.target_delay(vm, target),
                    false => self.now + 200_000,
                };
                let event = FleetEvent::ProbeAnswered {
                    target: index,
                    reached,
                };
                self.schedule_answer(at, call, vm, event);
            }
            FleetAction::Disconnect(_) => {}
            FleetAction::Notice(notice) => self.notices.push((self.now, vm, notice)),
        }
    }

    /// When a call arrives, and the life of the target that carries it out late, if it does.
    fn plan_arrival(&mut self, vm: usize, target: usize) -> (u64, Option<u64>) {
        let at = self.now + self.target_delay(vm, target);
        if !self.rng.random_bool(self.net.orders_late) {
            return (at, None);
        }
        let late = at + self.rng.random_range(2_000_000..12_000_000);
        (late, Some(self.targets[target].life))
    }

    fn schedule_answer(&mut self, at: u64, call: u64, vm: usize, event: FleetEvent) {
        let event = Box::new(event);
        self.schedule(at, Happening::Answer { call, vm, event });
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
        peer: Option<VmIndex>,
        envelope: PeerEnvelope,
    ) {
        if self.vm_cuts.contains(&(from, to)) {
            return;
        }
        if self.vms[to].engine.is_none() {
            if let (false, Some(peer)) = (self.vms[to].dark, peer) {
                let at = self.now + self.vm_delay(to, from);
                self.schedule(
                    at,
                    Happening::EnvelopeLost {
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
        let receipt = engine.receive_envelope(clock, envelope);
        self.spend_turn(to);
        self.perform_actions(to);
        if let Some(peer) = peer
            && !self.vm_cuts.contains(&(to, from))
        {
            let at = self.now + self.vm_delay(to, from);
            self.schedule(
                at,
                Happening::Receipt {
                    call,
                    from,
                    peer,
                    receipt,
                },
            );
        }
    }

    /// Whether an exchange between a VM and a target gets through.
    fn reaches(&self, vm: usize, target: usize) -> bool {
        !self.targets[target].is_down() && !self.target_cuts.contains(&(vm, target))
    }

    fn carry_out_start(&mut self, arrival: StartArrival) {
        let StartArrival {
            call,
            vm,
            index,
            target,
            order,
            late,
        } = arrival;
        // An order that waits at a target ends with it.
        let gone = late.is_some_and(|life| life != self.targets[target].life);
        if !self.reaches(vm, target) || gone {
            return;
        }
        let task = order.run.task;
        let job = &self.jobs[&task.job];
        let room = ResourceVector::from((job.shape.cores * 1000, 64, 0));
        let work = job.shape.work.as_micros() as u64;
        let before = self.targets[target].runs.contains_key(&task);
        let answer = self.targets[target].start(self.now, &order, room, work);
        self.remember(
            target,
            format!(
                "start vm-{vm} {} token {} {room}: {answer:?}",
                order.run, order.token
            ),
        );
        if let StartAnswer::Accepted(_) = answer
            && !before
        {
            self.check_start(target, task);
            self.jobs.get_mut(&task.job).unwrap().started = true;
        }
        self.settle_target(target);
        if late.is_some() || self.rng.random_bool(self.net.answers_lost) {
            return;
        }
        let event = FleetEvent::StartAnswered {
            target: index,
            token: order.token,
            run: order.run,
            answer,
        };
        let at = self.now + self.target_delay(vm, target);
        self.schedule_answer(at, call, vm, event);
    }

    fn remember(&mut self, target: usize, line: String) {
        if self.history.len() == 40_000 {
            self.history.pop_front();
        }
        let name = &self.targets[target].name;
        self.history
            .push_back(format!("{} {name} {line}", self.now));
    }

    /// Prints what became of a job, in the order of time.
    pub fn print_job(&self, id: JobId) {
        let name = format!("JobId({})", id.0);
        let marked = format!(" {id}.");
        let notices = self.notices.iter();
        let notices = notices.map(|(at, vm, notice)| (*at, format!("vm-{vm} {notice:?}")));
        let general = |line: &str| {
            !line.contains("JobId(") && (line.contains("Peer") || line.contains("Target"))
        };
        let notices = notices.filter(|(_, line)| line.contains(&name) || general(line));
        let orders = self.history.iter();
        let orders = orders.filter(|line| line.contains(&marked) || line.contains(&name));
        let orders = orders.map(|line| {
            let (at, line) = line.split_once(' ').unwrap();
            (at.parse().unwrap(), line.to_owned())
        });
        let mut lines = notices.chain(orders).collect::<Vec<(u64, String)>>();
        lines.sort_by_key(|(at, _)| *at);
        let sent_at = self.jobs[&id].sent_at;
        for (at, line) in lines.iter().filter(|(at, _)| *at >= sent_at) {
            println!("{at} {line}");
        }
    }

    /// Prints what a target was told lately.
    fn print_history(&self, target: &TargetName) {
        let marked = format!(" {target} ");
        let lines = self.history.iter().filter(|line| line.contains(&marked));
        let lines = lines.collect::<Vec<_>>();
        for line in &lines[lines.len().saturating_sub(60)..] {
            println!("{line}");
        }
        for (at, vm, notice) in self.notices.iter().rev().take(60).rev() {
            println!("{at} vm-{vm} {notice:?}");
        }
    }

    /// The promises that hold at each start.
    fn check_start(&self, target: usize, task: TaskName) {
        let started = &self.targets[target];
        let taken = started.taken();
        if !taken.fits(&started.capacity) {
            self.print_history(&started.name);
            panic!("{} is overfull at {} us: {taken}", started.name, self.now);
        }
        for (other, place) in self.targets.iter().enumerate() {
            if other != target && !place.is_down() && place.runs.contains_key(&task) {
                self.print_job(task.job);
                panic!(
                    "{task} runs on {} and on {} at {} us",
                    started.name, place.name, self.now
                );
            }
        }
    }

    fn carry_out_stop(
        &mut self,
        call: u64,
        vm: usize,
        index: TargetIndex,
        target: usize,
        order: StopRequest,
    ) {
        if !self.reaches(vm, target) {
            return;
        }
        let answer = self.targets[target].stop(self.now, &order);
        self.remember(
            target,
            format!(
                "stop vm-{vm} {} token {}: {answer:?}",
                order.run, order.token
            ),
        );
        self.settle_target(target);
        if self.rng.random_bool(self.net.answers_lost) {
            return;
        }
        let event = FleetEvent::StopAnswered {
            target: index,
            token: order.token,
            run: order.run,
            answer,
        };
        let at = self.now + self.target_delay(vm, target);
        self.schedule_answer(at, call, vm, event);
    }

    fn carry_out_look(
        &mut self,
        call: u64,
        vm: usize,
        index: TargetIndex,
        target: usize,
        plan: LookPlan,
    ) {
        if !self.reaches(vm, target) {
            return;
        }
        self.targets[target].hold(self.now, &plan.order);
        let until = self.now + plan.order.wait.as_micros() as u64;
        self.looks.push(WaitingLook {
            call,
            vm,
            index,
            target,
            plan,
            until,
        });
        self.schedule(until, Happening::TargetChanges(target));
        self.settle_target(target);
    }

    fn change_target(&mut self, target: usize) {
        let now = self.now;
        self.targets[target].advance(now);
        self.settle_target(target);
    }

    /// Answers the looks that have waited long enough, and schedules the next change.
    fn settle_target(&mut self, target: usize) {
        let now = self.now;
        let looks = std::mem::take(&mut self.looks);
        for look in looks {
            let due = look.target == target
                && (look.until <= now || self.targets[target].has_news(now, &look.plan.order));
            if !due {
                self.looks.push(look);
                continue;
            }
            if !self.reaches(look.vm, target) || self.rng.random_bool(self.net.answers_lost) {
                continue;
            }
            let answer = self.targets[target].report(now, &look.plan.order);
            self.remember(
                target,
                format!("look vm-{} {:?}: {answer:?}", look.vm, look.plan.order),
            );
            let event = FleetEvent::LookAnswered {
                target: look.index,
                token: look.plan.order.token,
                number: look.plan.number,
                answer,
            };
            let at = now + self.target_delay(look.vm, target);
            self.schedule_answer(at, look.call, look.vm, event);
        }
        if let Some(at) = self.targets[target].next_change()
            && at < u64::MAX
        {
            self.schedule(at.max(now + 1), Happening::TargetChanges(target));
        }
    }

    fn arrive(&mut self, id: JobId) {
        let job = self.jobs.get_mut(&id).expect("the job was submitted");
        job.sends += 1;
        job.current += 1;
        let (vm, send) = (job.vm, job.current);
        if self.vms[vm].engine.is_none() {
            return self.schedule_resend(id, send);
        }
        let caller = CallerToken(self.next_caller);
        self.next_caller += 1;
        self.vms[vm].callers.insert(caller, (id, send));
        let job = &self.jobs[&id];
        let event = FleetEvent::JobSubmitted {
            caller,
            queue: KindIndex::from(job.shape.queue),
            order: job.order(id),
            patience: job.shape.patience,
        };
        self.feed(vm, event);
    }

    /// A send without an answer is repeated at another VM.
    fn schedule_resend(&mut self, id: JobId, send: u64) {
        let count = self.vms.len();
        let next = self.rng.random_range(0..count);
        let job = self.jobs.get_mut(&id).expect("the job was submitted");
        if job.current != send || job.sends >= SEND_LIMIT {
            return;
        }
        job.all_rejected = false;
        job.vm = next;
        self.schedule(self.now + RESEND_DELAY, Happening::Submit(id));
    }

    fn reply(&mut self, vm: usize, caller: CallerToken, reply: JobReply) {
        let Some((id, send)) = self.vms[vm].callers.remove(&caller) else {
            return;
        };
        let job = self.jobs.get_mut(&id).expect("the job was submitted");
        job.reply = Some(reply);
        job.answered_at = self.now + 3_000;
        match reply {
            JobReply::Rejected { .. } => {}
            JobReply::Unknown => self.schedule_resend(id, send),
            _ => job.all_rejected = false,
        }
    }

    /// A job whose sends were all rejected must not have run.
    pub fn check_rejections(&self) {
        for (id, job) in &self.jobs {
            let rejected = matches!(job.reply, Some(JobReply::Rejected { .. }));
            let false_word = rejected && job.all_rejected && job.started;
            if false_word {
                self.print_job(*id);
                panic!("job {id} was said not to have run: {job:?}");
            }
        }
    }

    /// How many jobs were answered as completed.
    pub fn completed(&self) -> usize {
        let replies = self.jobs.values().map(|job| job.reply);
        replies
            .filter(|reply| *reply == Some(JobReply::Completed))
            .count()
    }
}

/// The priorities of the queues, in their order.
fn self_priority(queue: usize) -> u8 {
    [0, 2, 1].get(queue).copied().unwrap_or(0)
}

fn incarnation_of(vm: usize, life: u64) -> IncarnationId {
    IncarnationId((vm as u64) << 32 | life << 12 | vm as u64)
}

fn call_life(call: u64) -> u64 {
    call >> 40
}

/// The VM whose process must run for an event to happen.
fn acting_vm(what: &Happening) -> Option<usize> {
    match what {
        Happening::Wake(vm, _) | Happening::Listing(vm, _) | Happening::Store(vm, _) => Some(*vm),
        Happening::Envelope { to, .. } => Some(*to),
        Happening::Receipt { from, .. } | Happening::EnvelopeLost { from, .. } => Some(*from),
        Happening::Answer { vm, .. } => Some(*vm),
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
        service: "desk".parse().unwrap(),
        address: SocketAddr::from(([10, 1, 0, 1], 2000 + index as u16)),
        zone: target.zone.clone(),
        state: match target.draining {
            true => TargetState::Draining,
            false => TargetState::Ready,
        },
        capacity: target.capacity,
        labels: Vec::new(),
        boot: Some(TargetBoot(target.life)),
    }
}
