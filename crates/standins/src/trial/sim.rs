//! The simulated world and its main loop.

use std::collections::BTreeMap;
use std::fmt::Arguments;
use std::net::SocketAddr;
use std::time::Duration;

use filbertpitch_types::platform::VmEntry;
use filbertpitch_types::prelude::*;
use filbertpitch_types::status::LifecycleState;
use filbertpitch_types::time::ClockReading;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::client::{ClientEvent, ClientFleet};
use super::evidence::Evidence;
use super::fault_plan::{FaultPlan, PlannedFault};
use super::message::{Call, ExchangeId, Failure, Party, Request, Response, VmCall};
use super::network::Network;
use super::operator::{OperatorDesk, TicketEvent};
use super::platform::PlatformHost;
use super::report::TrialReport;
use super::settings::TrialSettings;
use super::target_host::TargetHost;
use super::trace::EventTrace;
use super::vm::{EntryVm, VmOutput, VmSettings, VmTimer};
use super::wiring::StalledMessage;
use super::world_setup::{
    VMS_PER_ZONE, ZONES, list_address, log_address, target_entry, vm_address, vm_entry, zone_name,
};
use crate::log_model::{LogModel, LogSettings};
use crate::vm_model::VmModel;

/// After the faults, the time in which gone VMs are recognized: the list's drop margin, the list's
/// largest lag and a few reads.
const SETTLE_TIME: Duration = Duration::from_secs(50);
/// After that, the time in which every submission is asked about once more.
const FINAL_TIME: Duration = Duration::from_secs(45);
/// How often the limits of the network and the pools are looked at.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// How far each wall clock may be off. Two of them differ by less than the lease margin of 1 s.
const SKEW_LIMIT_MS: i64 = 450;

/// Something that happens.
#[derive(Debug)]
pub enum SimEvent {
    /// A request arrives.
    Arrive {
        /// The exchange.
        exchange: ExchangeId,
        /// Where it arrives.
        host: Party,
        /// The run of the host's process that accepted the connection.
        generation: u64,
        /// The request.
        request: Box<Request>,
    },
    /// A service answers.
    Respond {
        /// The exchange.
        exchange: ExchangeId,
        /// The answer.
        response: Box<Response>,
    },
    /// An answer arrives.
    Answer {
        /// The exchange.
        exchange: ExchangeId,
        /// The answer.
        response: Box<Response>,
    },
    /// An exchange fails.
    Fail {
        /// The exchange.
        exchange: ExchangeId,
        /// How.
        failure: Failure,
    },
    /// The time of an exchange is over.
    Timeout {
        /// The exchange.
        exchange: ExchangeId,
    },
    /// A timer of a VM is due.
    Wake(usize, VmTimer),
    /// A run of a target may be due.
    TargetDue(usize),
    /// Reads of the log may have something to return.
    LogVisible,
    /// A client acts.
    Client(ClientEvent),
    /// An operator acts, or a ticket must be in force.
    Ticket(TicketEvent),
    /// A fault begins.
    FaultBegins(usize),
    /// A fault ends.
    FaultEnds(usize),
    /// A process starts in place of another.
    StartVm {
        /// The zone.
        zone: usize,
        /// Where it listens.
        address: SocketAddr,
    },
    /// The limits are looked at.
    Sample,
    /// All faults have ended.
    Quiet,
    /// Every submission is asked about once more.
    FinalQuestions,
    /// The books of the engines must be empty.
    FinalBooks,
}

/// A VM process, live or ended.
pub struct VmHost {
    /// The process, unless it has ended.
    pub process: Option<EntryVm>,
    /// Its zone.
    pub zone: usize,
    /// Where it listens.
    pub address: SocketAddr,
    /// The incarnation.
    pub incarnation: IncarnationId,
    /// When it started.
    pub born: TimePoint,
    /// Whether it is frozen.
    pub frozen: bool,
    /// Whether it reads no more requests.
    pub closing: bool,
    skew: i64,
    held: Vec<SimEvent>,
    wakes_at_sample: u64,
}

/// The world.
pub struct Simulation {
    pub(super) settings: TrialSettings,
    pub(super) now: TimePoint,
    pub(super) end: TimePoint,
    pub(super) fault_end: TimePoint,
    pub(super) queue: super::queue::EventQueue<SimEvent>,
    pub(super) rng: ChaCha8Rng,
    pub(super) network: Network,
    pub(super) stalled: Vec<StalledMessage>,
    pub(super) addresses: BTreeMap<SocketAddr, Party>,
    pub(super) vms: Vec<VmHost>,
    pub(super) targets: Vec<TargetHost>,
    pub(super) platform: PlatformHost,
    pub(super) clients: ClientFleet,
    pub(super) faults: Vec<PlannedFault>,
    pub(super) evidence: Evidence,
    pub(super) pool_full: u64,
    pub(super) operators: OperatorDesk,
    vm_numbers: Vec<u8>,
    pub(super) vm_settings: VmSettings,
    open_starts: BTreeMap<(usize, AttemptId), ExchangeId>,
    trace: EventTrace,
    plan: Box<str>,
}

impl Simulation {
    /// The world that a seed describes.
    pub fn new(settings: &TrialSettings) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let plan = FaultPlan::draw(settings, &mut rng);
        let target_count = rng.random_range(6..=8);
        let fault_end = TimePoint::default() + settings.fault_time;
        let mut vms = Vec::<VmEntry>::new();
        for zone in 0..ZONES {
            for number in 1..=VMS_PER_ZONE {
                vms.push(vm_entry(zone, vm_address(zone, number as u8)));
            }
        }
        vms.extend((0..target_count).map(target_entry));
        let lag = Duration::from_millis(rng.random_range(100..3000));
        let log = LogModel::new(LogSettings {
            seed: rng.random(),
            ..LogSettings::default()
        });
        let targets = (0..target_count)
            .map(|number| TargetHost::new(number, rng.random_range(-SKEW_LIMIT_MS..=SKEW_LIMIT_MS)))
            .collect();
        let vm_settings = draw_vm_settings(&mut rng);
        let addresses = [(log_address(), Party::Log), (list_address(), Party::List)];
        let targets_at = (0..target_count).map(|number| {
            let address = super::world_setup::target_address(number);
            (address, Party::Target(number))
        });
        let mut simulation = Self {
            settings: settings.clone(),
            now: TimePoint::default(),
            end: fault_end + SETTLE_TIME + FINAL_TIME,
            fault_end,
            queue: Default::default(),
            network: Network::default(),
            stalled: Vec::new(),
            addresses: addresses.into_iter().chain(targets_at).collect(),
            vms: Vec::new(),
            targets,
            platform: PlatformHost::new(log, VmModel::new(vms, lag)),
            clients: ClientFleet::draw(&plan, &mut rng),
            faults: plan.faults,
            evidence: Evidence::default(),
            pool_full: 0,
            vm_numbers: vec![VMS_PER_ZONE as u8; ZONES],
            vm_settings,
            operators: OperatorDesk::default(),
            open_starts: BTreeMap::new(),
            trace: EventTrace::new(settings.trace),
            plan: plan.text,
            rng,
        };
        simulation.schedule_start();
        simulation
    }

    fn schedule_start(&mut self) {
        self.append_first_ticket();
        for zone in 0..ZONES {
            for number in 1..=VMS_PER_ZONE {
                let address = vm_address(zone, number as u8);
                let event = SimEvent::StartVm { zone, address };
                self.queue.push(self.now, event);
            }
        }
        for (index, fault) in self.faults.iter().enumerate() {
            self.queue.push(fault.begin, SimEvent::FaultBegins(index));
        }
        self.start_clients();
        self.queue.push(self.now, SimEvent::Sample);
        self.queue.push(self.fault_end, SimEvent::Quiet);
        let settled = self.fault_end + SETTLE_TIME;
        self.queue.push(settled, SimEvent::FinalQuestions);
        self.queue
            .push(self.end - Duration::from_secs(5), SimEvent::FinalBooks);
    }

    /// Runs to the end and checks what happened.
    pub fn run(mut self) -> TrialReport {
        let plan = self.plan.clone();
        let seed = self.settings.seed;
        self.note(format_args!("seed {seed} plan {plan}"));
        while let Some((at, event)) = self.queue.pop(self.end) {
            self.now = at;
            self.dispatch(event);
        }
        self.now = self.end;
        self.verify();
        let counts = self.counts();
        self.note(format_args!("{counts:?}"));
        TrialReport {
            seed: self.settings.seed,
            plan,
            digest: self.trace.digest(),
            trace_lines: self.trace.lines(),
            virtual_time: self.end.since(TimePoint::default()),
            counts,
            violations: self.evidence.violations,
        }
    }

    fn dispatch(&mut self, event: SimEvent) {
        if let Some(vm) = self.vm_concerned(&event)
            && self.vms[vm].frozen
        {
            self.vms[vm].held.push(event);
            return;
        }
        match event {
            SimEvent::Arrive {
                exchange,
                host,
                generation,
                request,
            } => {
                // A connection ends with the process that accepted it.
                if generation == self.generation_of(host) {
                    self.arrive(exchange, host, *request);
                }
            }
            SimEvent::Respond { exchange, response } => self.respond(exchange, *response),
            SimEvent::Answer { exchange, response } => self.end_exchange(exchange, Ok(*response)),
            SimEvent::Fail { exchange, failure } => self.end_exchange(exchange, Err(failure)),
            SimEvent::Timeout { exchange } => {
                let maybe_sent = self.network.exchange(exchange);
                let maybe_sent = maybe_sent.is_some_and(|known| known.connection.is_some());
                self.end_exchange(exchange, Err(Failure { maybe_sent }));
            }
            SimEvent::Wake(vm, timer) => self.with_vm(vm, |process| process.on_timer(timer)),
            SimEvent::TargetDue(target) => self.advance_target(target),
            SimEvent::LogVisible => self.answer_reads(),
            SimEvent::Client(event) => self.act_client(event),
            SimEvent::Ticket(event) => self.act_operator(event),
            SimEvent::FaultBegins(index) => self.begin_fault(index),
            SimEvent::FaultEnds(index) => self.end_fault(index),
            SimEvent::StartVm { zone, address } => self.start_vm(zone, address),
            SimEvent::Sample => self.sample(),
            SimEvent::Quiet => self.note(format_args!("faults have ended")),
            SimEvent::FinalQuestions => self.ask_finally(),
            SimEvent::FinalBooks => self.check_books(),
        }
    }

    /// The VM that acts on an event.
    fn vm_concerned(&self, event: &SimEvent) -> Option<usize> {
        let party = match event {
            SimEvent::Arrive { host, .. } => *host,
            SimEvent::Answer { exchange, .. }
            | SimEvent::Fail { exchange, .. }
            | SimEvent::Timeout { exchange } => self.network.exchange(*exchange)?.from,
            SimEvent::Wake(vm, _) => Party::Vm(*vm),
            _ => return None,
        };
        match party {
            Party::Vm(vm) => Some(vm),
            _ => None,
        }
    }

    fn arrive(&mut self, exchange: ExchangeId, host: Party, request: Request) {
        if self.is_closing(host) {
            // The server closed the connection before it read the request.
            let failure = Failure { maybe_sent: true };
            return self.end_exchange(exchange, Err(failure));
        }
        let word = request.word();
        if !matches!(word, "hello" | "read" | "list") {
            self.note(format_args!("{word} #{} at {host:?}", exchange.0));
        }
        if let (Party::Vm(vm), Request::Handover(handover)) = (host, &request)
            && handover.last
            && self.vms[vm].process.is_some()
        {
            let to = self.vms[vm].incarnation;
            self.evidence.handed.insert(handover.from, to);
        }
        match host {
            Party::Vm(vm) => self.with_vm(vm, |process| process.on_request(exchange, request)),
            Party::Target(target) => {
                if self.targets[target].model.reachability()
                    != crate::target_model::Reachability::Dead
                {
                    self.serve_target(target, exchange, request);
                }
            }
            Party::Log | Party::List => self.serve_platform(exchange, request),
            Party::Clients | Party::Operators => unreachable!("nobody asks them"),
        }
    }

    /// Whether the exchange is on a connection to a VM that reads no more requests.
    fn is_host_closing(&self, exchange: ExchangeId) -> bool {
        let connection = self.network.connection_of(exchange);
        connection.is_some_and(|known| self.is_closing(known.host))
    }

    fn is_closing(&self, party: Party) -> bool {
        matches!(party, Party::Vm(vm) if self.vms[vm].closing)
    }

    fn end_exchange(&mut self, exchange: ExchangeId, result: Result<Response, Failure>) {
        let keep = result.is_ok() && !self.is_host_closing(exchange);
        let Some(known) = self.network.end(self.now, exchange, keep) else {
            return;
        };
        match (known.from, known.call) {
            (Party::Vm(vm), Call::Vm(call)) => {
                if let VmCall::Start { attempt, .. } = call {
                    self.open_starts.remove(&(vm, attempt));
                }
                if let VmCall::VmList = call {
                    self.witness_list(vm, &result);
                }
                self.with_vm(vm, |process| process.on_answer(call, result));
            }
            (_, Call::Ticket(ticket)) => self.end_append(ticket, result.is_ok()),
            (_, Call::Client(call)) => self.end_client_call(call, result),
            (_, Call::Vm(_)) => unreachable!("only VMs make their calls"),
        }
    }

    fn vm_clock(&self, vm: usize) -> ClockReading {
        let host = &self.vms[vm];
        let clock = self.clock_with_skew(host.skew);
        ClockReading {
            time: TimePoint(self.now.0 - host.born.0),
            wall: clock.wall,
        }
    }

    /// Lets a process do something and carries out what it asks for.
    pub fn with_vm<F>(&mut self, vm: usize, act: F)
    where
        F: FnOnce(&mut EntryVm),
    {
        let clock = self.vm_clock(vm);
        let Some(process) = self.vms[vm].process.as_mut() else {
            return;
        };
        process.set_clock(clock);
        act(process);
        let outputs = process.take_outputs();
        for output in outputs {
            self.perform(vm, output);
        }
        self.witness_configuration(vm);
    }

    fn perform(&mut self, vm: usize, output: VmOutput) {
        let from = Party::Vm(vm);
        match output {
            VmOutput::Send {
                address,
                request,
                options,
                call,
            } => {
                let start = match &call {
                    VmCall::Start { attempt, .. } => Some(*attempt),
                    _ => None,
                };
                let exchange = self.send(from, address, request, options, Call::Vm(call));
                if let Some(attempt) = start {
                    self.evidence.sent.insert(attempt, (vm, self.now));
                    self.open_starts.insert((vm, attempt), exchange);
                }
            }
            VmOutput::Reply(exchange, response) => self.respond(exchange, response),
            VmOutput::Wake(due, timer) => {
                let born = self.vms[vm].born;
                let at = TimePoint(born.0 + due.0).max(self.now);
                self.queue.push(at, SimEvent::Wake(vm, timer));
            }
            VmOutput::CloseStart(attempt) => {
                if let Some(exchange) = self.open_starts.remove(&(vm, attempt)) {
                    self.network.close_idle_beside(exchange);
                    self.network.end(self.now, exchange, false);
                }
            }
            VmOutput::StopListening => {
                self.vms[vm].closing = true;
                self.network.close_idle(from);
                let address = self.vms[vm].address;
                if self.addresses.get(&address) == Some(&from) {
                    self.addresses.remove(&address);
                }
            }
            VmOutput::Exit => self.exit_vm(vm),
        }
    }

    /// Starts a process at an address.
    fn start_vm(&mut self, zone: usize, address: SocketAddr) {
        let vm = self.vms.len();
        let incarnation = IncarnationId(self.rng.random());
        let skew = self.rng.random_range(-SKEW_LIMIT_MS..=SKEW_LIMIT_MS);
        self.vms.push(VmHost {
            process: None,
            zone,
            address,
            incarnation,
            born: self.now,
            frozen: false,
            closing: false,
            skew,
            held: Vec::new(),
            wakes_at_sample: 0,
        });
        let settings = VmSettings {
            address,
            zone: zone_name(zone),
            ..self.vm_settings.clone()
        };
        let clock = self.vm_clock(vm);
        self.vms[vm].process = Some(EntryVm::new(settings, incarnation, clock));
        self.addresses.insert(address, Party::Vm(vm));
        self.note(format_args!("vm {vm} starts at {address} as {incarnation}"));
        self.with_vm(vm, |_| {});
    }

    /// An address at which no VM of the zone was before.
    pub fn new_vm_address(&mut self, zone: usize) -> SocketAddr {
        self.vm_numbers[zone] += 1;
        vm_address(zone, self.vm_numbers[zone])
    }

    /// Ends a process at once.
    pub fn kill_vm(&mut self, vm: usize) {
        if self.vms[vm].process.take().is_none() {
            return;
        }
        self.note(format_args!("vm {vm} is killed"));
        self.remove_process(vm);
    }

    fn exit_vm(&mut self, vm: usize) {
        let Some(process) = self.vms[vm].process.take() else {
            return;
        };
        let open = process.open_calls().len();
        self.note(format_args!("vm {vm} exits with {open} open requests"));
        if open > 0 {
            self.violate(format!(
                "vm {vm} stopped as planned with {open} requests unanswered"
            ));
        }
        let keeps = process.engine().submissions().answers().next().is_some();
        if keeps && !self.evidence.handed.contains_key(&self.vms[vm].incarnation) {
            self.check_missing_handover(vm);
        }
        self.remove_process(vm);
    }

    fn remove_process(&mut self, vm: usize) {
        let party = Party::Vm(vm);
        let address = self.vms[vm].address;
        if self.addresses.get(&address) == Some(&party) {
            self.addresses.remove(&address);
        }
        self.vms[vm].frozen = false;
        self.vms[vm].held.clear();
        self.reset_connections(party);
        self.forget_exchanges(party);
        self.open_starts.retain(|&(owner, _), _| owner != vm);
    }

    /// Stops a process without ending it.
    pub fn freeze_vm(&mut self, vm: usize) {
        self.vms[vm].frozen = true;
        self.note(format_args!("vm {vm} freezes"));
    }

    /// Lets a frozen process continue; it sees everything that happened meanwhile, in any order.
    pub fn thaw_vm(&mut self, vm: usize) {
        if !self.vms[vm].frozen {
            return;
        }
        self.vms[vm].frozen = false;
        self.note(format_args!("vm {vm} continues"));
        let mut held = std::mem::take(&mut self.vms[vm].held);
        while !held.is_empty() {
            let next = self.rng.random_range(0..held.len());
            let event = held.swap_remove(next);
            self.queue.push(self.now, event);
        }
    }

    /// The processes that run and are not frozen.
    pub fn live_vms(&self) -> Vec<usize> {
        let vms = self.vms.iter().enumerate();
        let live = vms.filter(|(_, host)| host.process.is_some() && !host.frozen);
        live.map(|(vm, _)| vm).collect()
    }

    /// The processes that take new work.
    pub fn ready_vms(&self) -> Vec<usize> {
        let mut live = self.live_vms();
        live.retain(|&vm| {
            let process = self.vms[vm].process.as_ref();
            process.is_some_and(|process| process.life() == LifecycleState::Ready)
        });
        live
    }

    fn sample(&mut self) {
        self.network.prune(self.now);
        for host in &mut self.vms {
            let wakes = host.process.as_ref().map_or(0, EntryVm::engine_wakes);
            host.wakes_at_sample = wakes;
        }
        let next = self.now + SAMPLE_INTERVAL;
        self.queue.push(next, SimEvent::Sample);
    }

    /// Adds a line to the trace.
    pub fn note(&mut self, text: Arguments<'_>) {
        self.trace.write(self.now, text);
    }

    /// Records that something happened that must not.
    pub fn violate(&mut self, text: String) {
        self.note(format_args!("VIOLATION {text}"));
        let seconds = self.now.0 as f64 / 1e6;
        let text = format!("{seconds:.6} {text}");
        self.evidence.violations.push(text.into());
    }

    /// How often the engine of a process was woken since the last sample.
    pub fn recent_wakes(&self, vm: usize) -> u64 {
        let host = &self.vms[vm];
        let wakes = host.process.as_ref().map_or(0, EntryVm::engine_wakes);
        wakes - host.wakes_at_sample
    }
}

/// Settings of all VMs of a run. Some runs use short windows and little memory, because the
/// defaults hardly forget anything in the time of a run.
fn draw_vm_settings(rng: &mut ChaCha8Rng) -> VmSettings {
    let mut engine = filbertpitch_dispatch::engine::EngineSettings::default();
    let mut claims = filbertpitch_dispatch::claim::ClaimSettings::default();
    if rng.random_bool(0.3) {
        engine.submissions.epoch_length = Duration::from_secs(6);
        engine.submissions.acceptance_window = Duration::from_secs(60);
        engine.submissions.bare_key_margin = Duration::from_secs(4);
        claims.key_window = Duration::from_secs(60);
        claims.clock_margin = Duration::from_secs(2);
    }
    if rng.random_bool(0.2) {
        engine.submissions.byte_limit = ByteSize::kib(64);
        engine.submissions.epoch_byte_limit = ByteSize::kib(8);
    }
    let all = (0..ZONES)
        .flat_map(|zone| (1..=VMS_PER_ZONE).map(move |number| vm_address(zone, number as u8)));
    let seeds = match rng.random_bool(0.5) {
        true => all.collect(),
        false => Vec::new(),
    };
    VmSettings {
        address: log_address(),
        zone: zone_name(0),
        seeds,
        log: log_address(),
        list: list_address(),
        engine,
        membership: Default::default(),
        claims,
        drain_timeout: Duration::from_secs(30),
    }
}
