//! What a coordinator concludes about the end of a run, and what a holder does so that the conclusion
//! is true. One engine, with scripted peers and a scripted target; the table "When a run is over" in
//! `docs/platform.md` names the test of each conclusion.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_dispatch::entity::{KindIndex, TargetIndex, VmIndex};
use filbertpitch_dispatch::job::CallerToken;
use filbertpitch_fleet::engine::{
    EndedClients, FleetAction, FleetEngine, FleetEvent, FleetSettings, ForwardOrigin,
};
use filbertpitch_fleet::held::EXPIRY_TIME;
use filbertpitch_types::fleet::{
    CapacityReport, DemandReport, EndNotice, EnvelopeAck, FleetConfiguration, FleetMessage,
    HoldingReport, JobReply, JobSpec, KeptRun, OriginContact, PeerEnvelope, PeerIdentity,
    PeerObservation, PeerRecord, PeerState, PlaceRefusal, PlaceRequest, QueueSpec, RoutingReport,
    ServicePolicy, StepSpec, TargetChange, TargetEntry, TargetState, TaskPlacement,
};
use filbertpitch_types::lease::{
    PollReport, PollRequest, PollResult, RunningEntry, StartAnswer, StopResult,
};
use filbertpitch_types::prelude::*;
use filbertpitch_types::time::ClockReading;
use test_case::test_case;

const START: TimePoint = TimePoint(60_000_000);

/// The step in which time passes.
const TICK: Duration = Duration::from_millis(5);

/// How often a scripted VM sends an envelope.
const BEAT: Duration = Duration::from_millis(100);

/// When an envelope that is not acknowledged counts as lost.
const ENVELOPE_TIMEOUT: Duration = Duration::from_millis(250);

/// How far the clocks of the scripted VMs are behind that of the engine.
const VM_CLOCK_BEHIND: Duration = Duration::from_secs(5);

/// How far the clock of the scripted target is behind that of the engine.
const TARGET_CLOCK_BEHIND: Duration = Duration::from_secs(40);

/// What the promises about the end of runs rest on: the longest lease, the time after the contact for
/// which a lease may last, the greatest age of a request, and the slowest clock of a target. A target may
/// take `EXPIRY_TIME` more to end the runs.
const LEASE: Duration = Duration::from_millis(1000);
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(1200);
const MAX_REQUEST_AGE: Duration = Duration::from_millis(175);
const SLOW_LEASE: Duration = Duration::from_millis(1020);

/// By when a task whose run is over must run again: the margin of the lease, and some ticks.
const RESTART_TIME: Duration = Duration::from_millis(200);

/// The scripted VMs.
const HOLDER: usize = 0;
const SPARE: usize = 1;
/// The token with which each of them holds its target.
const HOLDER_TOKEN: FencingToken = FencingToken(7);

/// The same as coordinators of an engine that holds the target.
const FIRST: usize = 0;
const SECOND: usize = 1;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn resources() -> ResourceVector {
    ResourceVector::from((4000, 64, 0))
}

fn capacity() -> ResourceVector {
    ResourceVector::from((8000, 1024, 0))
}

fn address_of(vm: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1000 + vm as u16))
}

fn identity_of(vm: usize, incarnation: u64) -> PeerIdentity {
    PeerIdentity {
        vm: format!("vm-{vm}").parse().unwrap(),
        incarnation: IncarnationId(incarnation),
        address: address_of(vm),
        zone: format!("zone-{vm}").parse().unwrap(),
        processor: MilliCores(1000),
    }
}

fn target_name(number: usize) -> TargetName {
    format!("target-{number}").parse().unwrap()
}

fn run_of(job: u64, number: u32) -> RunName {
    RunName {
        task: TaskName {
            job: JobId(job),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run: RunNumber(number),
    }
}

/// An entry VM that does what a test says.
struct ScriptedVm {
    identity: PeerIdentity,
    /// Its index in the engine, known from the engine's first envelope.
    index: Option<VmIndex>,
    /// The latest envelope of the engine.
    latest: EnvelopeNumber,
    /// Whether it sends envelopes, and receives and acknowledges those of the engine.
    sends: bool,
    hears: bool,
    /// The target that it holds, its token for it, and the free capacity that it reports.
    holding: Option<(usize, u64)>,
    /// The instance of this target.
    holding_boot: TargetBoot,
    holdings_version: u32,
    free: ResourceVector,
    losses: LossCount,
    /// A process that has forwarded jobs to the VM, and when the VM has heard it last.
    origin: Option<(IncarnationId, TimePoint)>,
    /// The losses that the engine has declared, as far as the VM has heard.
    engine_losses: LossCount,
    /// The send time of the engine's latest message that has arrived.
    heard_until: Option<TimePoint>,
    /// The number of the next message in each direction.
    next_sent: u64,
    next_expected: u64,
    received: Vec<FleetMessage>,
    /// What the latest envelope of the engine states about VMs that have forwarded jobs to it, and when
    /// the envelope was sent.
    stated: Option<(TimePoint, Vec<OriginContact>)>,
    last_beat: TimePoint,
    /// When its messages have arrived at the engine, by their send time.
    arrivals: BTreeMap<TimePoint, TimePoint>,
    /// When its message has arrived that the engine has named last.
    contact: TimePoint,
}

/// What a scripted target does, and what it has.
#[derive(Default)]
struct ScriptedTarget {
    running: BTreeSet<RunName>,
    lease_end: Option<TargetTime>,
    polls: Vec<(TimePoint, FleetEvent, PollRequest)>,
    starts: usize,
    stops: usize,
    restarts: u64,
    /// Whether stop requests get lost.
    loses_stops: bool,
    /// Whether another VM has claimed it.
    fenced: bool,
    /// When its lease has ended with runs.
    lapsed_at: Option<TimePoint>,
}

struct Rig {
    engine: FleetEngine,
    now: TimePoint,
    vms: Vec<ScriptedVm>,
    target: ScriptedTarget,
    /// The envelopes that were not delivered, and when the engine learns of it.
    lost_envelopes: Vec<(TimePoint, VmIndex, EnvelopeNumber)>,
    /// The envelopes that are acknowledged in the next step.
    acks: Vec<(usize, EnvelopeNumber)>,
    replies: Vec<JobReply>,
    /// The callers whose connections an examination finds ended; `None` if none is made.
    ended: Option<Vec<CallerToken>>,
}

impl Rig {
    /// An engine in the third zone and a scripted VM in each of the first two. The targets of the zones
    /// `listed` are listed.
    fn new(listed: &[usize]) -> Self {
        let own = PeerIdentity {
            vm: "vm-own".parse().unwrap(),
            address: SocketAddr::from(([10, 0, 0, 1], 900)),
            zone: "zone-2".parse().unwrap(),
            ..identity_of(9, 99)
        };
        let clock = ClockReading {
            time: START,
            wall: WallTime(1_700_000_000_000),
        };
        let vms = [0, 1].map(|vm| ScriptedVm {
            identity: identity_of(vm, 10 + vm as u64),
            index: None,
            latest: EnvelopeNumber(0),
            sends: true,
            hears: true,
            holding: None,
            holding_boot: TargetBoot(1),
            holdings_version: 1,
            free: capacity(),
            losses: LossCount(0),
            origin: None,
            engine_losses: LossCount(0),
            heard_until: None,
            next_sent: 0,
            next_expected: 0,
            received: Vec::new(),
            stated: None,
            last_beat: TimePoint(0),
            arrivals: BTreeMap::new(),
            contact: TimePoint(0),
        });
        let mut rig = Self {
            engine: FleetEngine::new(FleetSettings::default(), own, clock, 1),
            now: START,
            vms: vms.into(),
            target: ScriptedTarget::default(),
            lost_envelopes: Vec::new(),
            acks: Vec::new(),
            replies: Vec::new(),
            ended: Some(Vec::new()),
        };
        rig.feed(FleetEvent::Configured(Rc::new(FleetConfiguration {
            version: ConfigVersion(1),
            queues: vec![QueueSpec {
                name: "queue".parse().unwrap(),
                host: "host".into(),
                path_prefix: "/queue/".into(),
                service: "desk".parse().unwrap(),
                priority: 0,
                attempt_limit: 3,
                stretch: 10.0,
                allowance: Duration::from_secs(30),
                requires_advisory: false,
            }],
            services: BTreeMap::from([("desk".parse().unwrap(), ServicePolicy::default())]),
            bounds: None,
        })));
        for number in listed {
            rig.list(*number, |entry| entry);
        }
        rig.feed(FleetEvent::TargetsListed);
        rig.feed(FleetEvent::PeersFound(Vec::new()));
        rig
    }

    /// The list of targets shows an entry, changed by `edit`.
    fn list<F>(&mut self, number: usize, edit: F)
    where
        F: FnOnce(TargetEntry) -> TargetEntry,
    {
        let entry = TargetEntry {
            name: target_name(number),
            service: "desk".parse().unwrap(),
            address: SocketAddr::from(([10, 1, 0, 1], 2000 + number as u16)),
            zone: format!("zone-{number}").parse().unwrap(),
            state: TargetState::Ready,
            capacity: capacity(),
            labels: Vec::new(),
            boot: Some(TargetBoot(1)),
            cold_remaining: Duration::ZERO,
            remaining: None,
        };
        let listed = TargetChange::Listed(edit(entry));
        self.feed(FleetEvent::TargetsChanged(vec![listed]));
    }

    /// The same with the kind of an instance.
    fn list_instance(&mut self, number: usize, boot: Option<u64>, kind: &str) {
        self.list(number, |entry| TargetEntry {
            labels: vec![kind.into()],
            boot: boot.map(TargetBoot),
            ..entry
        });
    }

    /// The target of a holder starts again under its name.
    fn restart_target(&mut self) {
        self.target.restarts += 1;
        self.target.running.clear();
    }

    /// A coordinator with a long run of job 1 on the target of `HOLDER`; `SPARE` has capacity from then
    /// on.
    fn coordinator() -> Self {
        let mut rig = Self::idle_coordinator();
        rig.submit(1);
        rig.run_for(ms(2000));
        assert_eq!(rig.placed_at(HOLDER, 1), 1);
        rig.vms[HOLDER].free = ResourceVector::default();
        rig.vms[SPARE].free = capacity();
        rig.run_for(ms(300));
        rig
    }

    fn idle_coordinator() -> Self {
        let mut rig = Self::new(&[HOLDER, SPARE]);
        rig.vms[HOLDER].holding = Some((HOLDER, HOLDER_TOKEN.0));
        rig.vms[SPARE].holding = Some((SPARE, HOLDER_TOKEN.0));
        rig.vms[SPARE].free = ResourceVector::default();
        rig.run_for(ms(2000));
        rig
    }

    /// A holder of the target of its zone, which runs nothing.
    fn holder() -> Self {
        let mut rig = Self::new(&[2]);
        rig.run_for(ms(3000));
        assert_eq!(rig.engine.view().confirmed_targets, 1);
        rig
    }

    /// A holder with a run of `FIRST`.
    fn holder_with_run() -> Self {
        let mut rig = Self::holder();
        rig.request(FIRST, 1, |request| request);
        rig.run_for(ms(2000));
        assert_eq!(rig.target.running.len(), 1);
        rig
    }

    fn clock(&self) -> ClockReading {
        ClockReading {
            time: self.now,
            wall: WallTime(1_700_000_000_000 + self.now.0 / 1000),
        }
    }

    fn feed(&mut self, event: FleetEvent) {
        self.engine.handle(self.clock(), event);
        self.perform();
    }

    fn perform(&mut self) {
        let request = self.engine.request_examination();
        let ended = self.ended.clone();
        let examination = request.and_then(|request| {
            let ended = EndedClients {
                callers: ended?,
                exchanges: Vec::new(),
            };
            Some(request.complete(ended))
        });
        for action in self.engine.take_actions(examination) {
            match action {
                FleetAction::SendEnvelope {
                    peer: Some((index, number)),
                    address,
                    envelope,
                } => {
                    let vm = usize::from(address.port()) - 1000;
                    self.vms[vm].index = Some(index);
                    self.vms[vm].latest = number;
                    self.deliver(vm, number, *envelope);
                }
                FleetAction::Poll { target, plan, .. } => {
                    let report = FleetEvent::PollResult {
                        target,
                        token: plan.request.token,
                        number: plan.number,
                        answer: PollResult::Fenced,
                    };
                    let due = self.now + plan.request.wait;
                    if !self.target.fenced {
                        let renewed = plan.request.lease_end;
                        self.target.lease_end = self.target.lease_end.max(renewed);
                    }
                    self.target.polls.push((due, report, plan.request));
                }
                FleetAction::Start {
                    target, request, ..
                } => {
                    self.target.starts += 1;
                    self.target.running.insert(request.run);
                    self.target.lease_end = self.target.lease_end.max(Some(request.lease_end));
                    let time = self.target_time();
                    self.feed(FleetEvent::StartResult {
                        target,
                        token: request.token,
                        run: request.run,
                        answer: StartAnswer::Accepted(Some(time)),
                    });
                }
                FleetAction::Stop {
                    target, request, ..
                } => {
                    self.target.stops += 1;
                    if !self.target.loses_stops {
                        self.target.running.remove(&request.run);
                        self.feed(FleetEvent::StopResult {
                            target,
                            token: request.token,
                            run: request.run,
                            answer: StopResult::Accepted,
                        });
                    }
                }
                FleetAction::Reply { reply, .. } => self.replies.push(reply),
                _ => {}
            }
        }
    }

    fn target_time(&self) -> TargetTime {
        TargetTime((self.now - TARGET_CLOCK_BEHIND).0 / 1000)
    }

    /// Ends the runs of the target when its lease has ended.
    fn end_lease(&mut self) {
        let granted = self.target.lease_end;
        let lasts = granted.is_none_or(|end| end > self.target_time());
        if !lasts && !self.target.running.is_empty() {
            self.target.running.clear();
            self.target.lapsed_at = Some(self.now);
        }
    }

    /// Runs until the lease of the target ends; `None` if that takes more than 4 s.
    fn run_until_lapse(&mut self) -> Option<TimePoint> {
        for _ in 0..800 {
            self.run_for(TICK);
            if self.target.lapsed_at.is_some() {
                break;
            }
        }
        self.target.lapsed_at
    }

    /// An envelope of the engine arrives at a VM, unless the VM hears nothing.
    fn deliver(&mut self, vm: usize, number: EnvelopeNumber, envelope: PeerEnvelope) {
        let state = &mut self.vms[vm];
        if let Some(named) = envelope.heard_until {
            state.contact = state.arrivals[&named];
        }
        let other = envelope
            .to
            .is_some_and(|to| to != state.identity.incarnation);
        if !state.hears || other {
            let peer = state.index.expect("the engine has sent an envelope");
            let due = self.now + ENVELOPE_TIMEOUT;
            self.lost_envelopes.push((due, peer, number));
            return;
        }
        state.heard_until = state.heard_until.max(Some(envelope.sent_at));
        state.engine_losses = envelope.losses;
        state.stated = Some((envelope.sent_at, envelope.origins));
        let known = state.next_expected.saturating_sub(envelope.first_message) as usize;
        state.next_expected = state.next_expected.max(envelope.first_message);
        let fresh = envelope.messages.into_iter().skip(known);
        let fresh = fresh.collect::<Vec<_>>();
        state.next_expected += fresh.len() as u64;
        state.received.extend(fresh);
        self.acks.push((vm, number));
    }

    fn acknowledge(&mut self, vm: usize, number: EnvelopeNumber) {
        let sent_at = self.now - VM_CLOCK_BEHIND;
        let now = self.now;
        let state = &mut self.vms[vm];
        state.arrivals.entry(sent_at).or_insert(now);
        let ack = EnvelopeAck {
            incarnation: state.identity.incarnation,
            accepted: true,
            next_expected: state.next_expected,
            holdings_version: 0,
            sent_at,
            clients_until: sent_at,
        };
        let peer = state.index.expect("the engine has sent an envelope");
        self.feed(FleetEvent::EnvelopeAcked { peer, number, ack });
    }

    /// A VM sends messages to the engine, in an envelope that names what it has heard.
    fn send(&mut self, vm: usize, messages: Vec<FleetMessage>) {
        let sent_at = self.now - VM_CLOCK_BEHIND;
        let now = self.now;
        let state = &mut self.vms[vm];
        state.last_beat = now;
        state.arrivals.entry(sent_at).or_insert(now);
        let first_message = state.next_sent;
        state.next_sent += messages.len() as u64;
        let holdings = state.holding.iter().map(|(target, token)| HoldingReport {
            target: target_name(*target),
            token: FencingToken(*token),
            boot: Some(state.holding_boot),
        });
        let holdings = holdings.collect::<Vec<_>>();
        let report = CapacityReport {
            free: state.free,
            slowdown_percent: 100,
        };
        let origins = state.origin.iter().map(|(process, heard)| OriginContact {
            process: *process,
            silence_ms: u32::try_from(now.since(*heard).as_millis()).unwrap(),
        });
        let envelope = PeerEnvelope {
            origins: origins.collect(),
            from: state.identity.clone(),
            to: None,
            losses: state.losses,
            sent_at,
            heard_until: state.heard_until,
            heartbeat_interval_ms: 150,
            state: PeerState::Ready,
            uptime_ms: 60_000,
            config_version: Some(ConfigVersion(1)),
            first_message,
            messages,
            next_expected: state.next_expected,
            demand: DemandReport::default(),
            holdings_version: state.holdings_version,
            capacities: vec![report; holdings.len()],
            holdings: Some(holdings),
            zones: Vec::new(),
            routing: RoutingReport::default(),
        };
        let ack = self.engine.receive_envelope(self.clock(), envelope);
        let state = &mut self.vms[vm];
        if state.hears && ack.accepted {
            state.heard_until = state.heard_until.max(Some(ack.sent_at));
        }
        self.perform();
    }

    fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + TICK;
            self.end_lease();
            self.feed(FleetEvent::TimeAdvanced);
            for (vm, number) in std::mem::take(&mut self.acks) {
                self.acknowledge(vm, number);
            }
            let lost = std::mem::take(&mut self.lost_envelopes).into_iter();
            let (due, open) = lost.partition(|(at, ..)| *at <= self.now);
            self.lost_envelopes = open;
            for (_, peer, number) in due as Vec<(TimePoint, VmIndex, EnvelopeNumber)> {
                self.feed(FleetEvent::EnvelopeFailed {
                    peer,
                    number,
                    refused: false,
                });
            }
            for vm in 0..self.vms.len() {
                let state = &self.vms[vm];
                if state.sends && self.now.since(state.last_beat) >= BEAT {
                    self.send(vm, Vec::new());
                }
            }
            self.answer_polls();
        }
    }

    fn answer_polls(&mut self) {
        let polls = std::mem::take(&mut self.target.polls);
        let (due, open) = polls
            .into_iter()
            .partition(|(at, ..)| *at <= self.now || self.target.fenced);
        self.target.polls = open;
        for (_, mut event, request) in due as Vec<(TimePoint, FleetEvent, PollRequest)> {
            // The time in the response to a poll that has waited is no exact sample of the clock.
            let time = request.wait.is_zero().then(|| self.target_time());
            let running = self.target.running.iter();
            let report = PollReport {
                time,
                boot: Some(TargetBoot(1 + self.target.restarts)),
                running: running
                    .map(|run| RunningEntry {
                        run: *run,
                        load: None,
                    })
                    .collect(),
                ended: Vec::new(),
            };
            if let FleetEvent::PollResult { answer, .. } = &mut event
                && !self.target.fenced
            {
                *answer = PollResult::Report(report);
            }
            self.feed(event);
        }
    }

    /// Submits a job of one task to the engine.
    fn submit(&mut self, job: u64) {
        self.submit_spec(Self::job(job));
    }

    fn submit_spec(&mut self, spec: JobSpec) {
        self.feed(FleetEvent::JobSubmitted {
            caller: CallerToken(spec.id.0),
            queue: KindIndex::from(0),
            spec,
            client_timeout: Duration::from_secs(60).into(),
        });
    }

    /// `SPARE` forwards a job of one task to the engine.
    fn forward(&mut self, job: u64) {
        self.feed(FleetEvent::JobReceived {
            origin: self.vms[SPARE].index.expect("the engine knows the VM"),
            forwarded_at: self.now - VM_CLOCK_BEHIND,
            caller: CallerToken(job),
            queue: KindIndex::from(0),
            spec: Self::job(job),
            client_timeout: Duration::from_secs(60).into(),
        });
    }

    fn job(job: u64) -> JobSpec {
        let step = StepSpec {
            count: 1,
            resources: resources(),
            declared: Duration::from_secs(9),
            after: Vec::new(),
            required_label: None,
            preferred_rack: None,
            spread_limit: None,
            unsupported: None,
        };
        JobSpec {
            id: JobId(job),
            payload: Rc::from("work"),
            steps: vec![step],
            ephemeral: true,
            unsupported: None,
        }
    }

    /// The number of requests for runs of a job that have arrived at a VM.
    fn placed_at(&self, vm: usize, job: u64) -> usize {
        let messages = self.vms[vm].received.iter();
        let places = messages.filter(|message| {
            matches!(message, FleetMessage::Place(request)
                if request.tasks[0].task.job == JobId(job))
        });
        places.count()
    }

    /// Runs until the coordinator starts job 1 at `SPARE`; `None` if that takes more than 3 s.
    fn run_until_restart(&mut self) -> Option<TimePoint> {
        let limit = self.now + ms(3000);
        while self.now < limit {
            if self.placed_at(SPARE, 1) > 0 {
                return Some(self.now);
            }
            self.run_for(TICK);
        }
        None
    }

    /// Asserts that the coordinator starts job 1 again after `over_at`, and soon after it.
    fn assert_restart_after(&mut self, over_at: TimePoint) {
        let restarted = self.run_until_restart().expect("the task is started again");
        assert!(
            restarted >= over_at,
            "started again {:?} before the lease has ended",
            over_at.since(restarted)
        );
        assert!(restarted <= over_at + RESTART_TIME + ms(100), "too late");
    }

    /// The latest envelope to a VM, which is in flight, fails: nothing listens there.
    fn refuse_connection(&mut self, vm: usize) {
        let state = &self.vms[vm];
        self.feed(FleetEvent::EnvelopeFailed {
            peer: state.index.expect("the engine has sent an envelope"),
            number: state.latest,
            refused: true,
        });
    }

    /// A request of a coordinator for a run of job 1, changed by `edit`.
    fn request<F>(&mut self, vm: usize, number: u32, edit: F)
    where
        F: FnOnce(PlaceRequest) -> PlaceRequest,
    {
        let request = PlaceRequest {
            queue: "queue".parse().unwrap(),
            service: "desk".parse().unwrap(),
            payload: Rc::from("work"),
            required_label: None,
            offer: None,
            issued_at: self.now - VM_CLOCK_BEHIND,
            tasks: vec![TaskPlacement {
                task: run_of(1, number).task,
                run: RunNumber(number),
                resources: resources(),
                target: target_name(2),
                excluded: Vec::new(),
                expected_ms: 9000,
                on_trial: false,
            }],
            losses: self.vms[vm].engine_losses,
            origin: None,
            preferred_rack: None,
            spread_limit: None,
        };
        self.send(vm, vec![FleetMessage::Place(edit(request))]);
    }

    fn refusals(&self, vm: usize) -> Vec<PlaceRefusal> {
        let messages = self.vms[vm].received.iter();
        let refusals = messages.filter_map(|message| match message {
            FleetMessage::Refused { refusal, .. } => Some(*refusal),
            _ => None,
        });
        refusals.collect()
    }

    fn releases(&self, vm: usize) -> usize {
        let messages = self.vms[vm].received.iter();
        messages
            .filter(|message| matches!(message, FleetMessage::Released { .. }))
            .count()
    }
}

/// How a coordinator loses the contact with a holder.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// The holder is silent, and acknowledges nothing.
    Silence,
    /// Nothing listens at its address.
    Refused,
    /// An envelope of another process on its VM arrives.
    OtherEnvelope,
    /// Another process acknowledges an envelope.
    OtherAck,
    /// The platform's store has a renewed record of another process.
    OtherRecord,
    /// The holder says that it has dropped the coordinator's work.
    Dropped,
}

impl Loss {
    /// Returns the contact.
    fn apply(self, rig: &mut Rig) -> TimePoint {
        let vm = &mut rig.vms[HOLDER];
        (vm.sends, vm.hears) = (false, false);
        rig.run_for(ms(200));
        let contact = rig.vms[HOLDER].contact;
        let other = identity_of(HOLDER, 77);
        match self {
            Self::Silence => {}
            Self::Refused => rig.refuse_connection(HOLDER),
            Self::OtherEnvelope => {
                let vm = &mut rig.vms[HOLDER];
                (vm.identity, vm.holding, vm.heard_until) = (other, None, None);
                rig.send(HOLDER, Vec::new());
            }
            Self::OtherAck => {
                rig.vms[HOLDER].identity = other;
                rig.acknowledge(HOLDER, rig.vms[HOLDER].latest);
            }
            Self::OtherRecord => {
                let former = rig.vms[HOLDER].identity.clone();
                for (identity, revision) in [(former, 1), (other, 2)] {
                    rig.run_for(ms(200));
                    let record = PeerRecord {
                        identity,
                        written_at: rig.clock().wall,
                    };
                    rig.feed(FleetEvent::PeersFound(vec![PeerObservation {
                        record,
                        revision,
                    }]));
                }
            }
            Self::Dropped => {
                let vm = &mut rig.vms[HOLDER];
                vm.losses = vm.losses.next();
                rig.send(HOLDER, Vec::new());
            }
        }
        contact
    }
}

/// Guards against a second run of a task while the holder of the first one, which has heard the
/// coordinator last at the contact, may still renew its lease.
#[test_case(Loss::Silence; "the holder is silent")]
#[test_case(Loss::Refused; "nothing listens at its address")]
#[test_case(Loss::OtherEnvelope; "another process sends an envelope")]
#[test_case(Loss::OtherAck; "another process acknowledges")]
#[test_case(Loss::OtherRecord; "the store has a record of another process")]
#[test_case(Loss::Dropped; "the holder has dropped the work")]
fn run_of_a_lost_holder_is_over_after_the_contact_and_the_timeout(loss: Loss) {
    let mut rig = Rig::coordinator();
    let contact = loss.apply(&mut rig);
    assert!(rig.now.since(contact) < ms(700), "{loss:?}");
    rig.assert_restart_after(contact + COORDINATOR_TIMEOUT + EXPIRY_TIME);
}

/// Guards against a second run of a task whose request has reached the holder late, and has used the
/// lease of its target.
#[test]
fn run_of_a_new_request_is_over_after_its_delay_and_a_lease() {
    let mut rig = Rig::idle_coordinator();
    let sent = rig.vms[HOLDER].contact;
    while rig.vms[HOLDER].contact == sent {
        rig.run_for(TICK);
    }
    let vm = &mut rig.vms[HOLDER];
    (vm.sends, vm.hears) = (false, false);
    rig.run_for(ms(140));
    let requested_at = rig.now;
    rig.submit(1);
    rig.vms[SPARE].free = capacity();
    assert!(requested_at.since(rig.vms[HOLDER].contact) >= ms(135));
    rig.assert_restart_after(requested_at + MAX_REQUEST_AGE + SLOW_LEASE + EXPIRY_TIME);
}

/// Guards against a second run of a task while the lease that a former holder has granted lasts on a
/// target whose clock is slow.
#[test]
fn run_on_a_released_target_is_over_after_a_lease() {
    let mut rig = Rig::coordinator();
    let released_at = rig.now;
    let released = FleetMessage::Released {
        target: target_name(HOLDER),
        runs: vec![run_of(1, 1)],
        token: HOLDER_TOKEN,
    };
    rig.send(HOLDER, vec![released]);
    rig.assert_restart_after(released_at + SLOW_LEASE + EXPIRY_TIME);
}

/// Guards against a second run of a task because the release by a later holder ends sooner than what
/// the loss of the earlier one requires.
#[test]
fn release_does_not_shorten_what_a_loss_requires() {
    let mut rig = Rig::coordinator();
    let vm = &mut rig.vms[HOLDER];
    (vm.sends, vm.hears) = (false, false);
    let target = target_name(HOLDER);
    let runs = vec![run_of(1, 1)];
    // The engine answers at once, in an envelope that names this message.
    let offer = FleetMessage::Offer {
        offer: 1,
        target: target.clone(),
        resources: capacity(),
    };
    rig.send(HOLDER, vec![offer]);
    let contact = rig.vms[HOLDER].contact;
    assert_eq!(contact, rig.now);
    rig.refuse_connection(HOLDER);
    rig.send(SPARE, vec![inquiry(&target, 9, &runs)]);
    let kept = rig.vms[SPARE].received.iter();
    let kept = kept.filter(|message| matches!(message, FleetMessage::Keep { .. }));
    assert_eq!(kept.count(), 1);
    let token = FencingToken(9);
    let released = FleetMessage::Released {
        target,
        runs,
        token,
    };
    rig.send(SPARE, vec![released]);
    rig.assert_restart_after(contact + COORDINATOR_TIMEOUT + EXPIRY_TIME);
}

/// Guards against a second run of a task when the time is over that the loss of its first holder has
/// required, while the later holder, which is lost too, may still renew the lease.
#[test]
fn loss_of_a_later_holder_requires_its_own_time() {
    let mut rig = Rig::coordinator();
    let target = target_name(HOLDER);
    Loss::Refused.apply(&mut rig);
    rig.vms[SPARE].free = ResourceVector::default();
    rig.send(SPARE, vec![inquiry(&target, 9, &[run_of(1, 1)])]);
    rig.run_for(ms(600));
    let vm = &mut rig.vms[SPARE];
    (vm.sends, vm.hears) = (false, false);
    rig.run_for(ms(200));
    let contact = rig.vms[SPARE].contact;
    rig.refuse_connection(SPARE);
    let vm = &mut rig.vms[HOLDER];
    (vm.sends, vm.hears, vm.free) = (true, true, capacity());
    while rig.placed_at(HOLDER, 1) == 1 {
        assert!(
            rig.now < contact + ms(3000),
            "the task is not started again"
        );
        rig.run_for(TICK);
    }
    assert!(rig.now >= contact + COORDINATOR_TIMEOUT + EXPIRY_TIME);
}

fn inquiry(target: &TargetName, token: u64, runs: &[RunName]) -> FleetMessage {
    FleetMessage::Inquire {
        target: target.clone(),
        token: FencingToken(token),
        runs: runs.to_vec(),
    }
}

fn end_of(run: RunName, target: usize) -> EndNotice {
    EndNotice {
        run,
        target: target_name(target),
        end: RunEnd::Stopped,
        took_ms: None,
    }
}

/// A statement about the run of job 1 by a VM that cannot know, or about another run.
#[derive(Clone, Copy, Debug)]
enum Statement {
    End(u32),
    EndByHolder(u32),
    FoundEnd { run: u32, target: usize },
    Refusal,
    RefusalByHolder(u32),
    Release,
    ReleaseByHolder(u32),
    Question { token: u64, target: usize },
}

impl Statement {
    fn messages(self) -> (usize, Vec<FleetMessage>) {
        let run = |number| run_of(1, number);
        let refusal = PlaceRefusal::NeverStarted;
        let released = |number, token| FleetMessage::Released {
            target: target_name(HOLDER),
            runs: vec![run(number)],
            token,
        };
        match self {
            Self::End(number) => {
                let notice = end_of(run(number), HOLDER);
                (SPARE, vec![FleetMessage::Ended(notice)])
            }
            Self::EndByHolder(number) => {
                let notice = end_of(run(number), HOLDER);
                (HOLDER, vec![FleetMessage::Ended(notice)])
            }
            Self::FoundEnd {
                run: number,
                target,
            } => {
                let notice = end_of(run(number), target);
                (SPARE, vec![FleetMessage::FoundEnd(notice)])
            }
            Self::Refusal => {
                let run = run(1);
                (SPARE, vec![FleetMessage::Refused { run, refusal }])
            }
            Self::RefusalByHolder(number) => {
                let run = run(number);
                (HOLDER, vec![FleetMessage::Refused { run, refusal }])
            }
            Self::Release => (SPARE, vec![released(1, HOLDER_TOKEN)]),
            Self::ReleaseByHolder(number) => (HOLDER, vec![released(number, HOLDER_TOKEN)]),
            Self::Question { token, target } => {
                let question = inquiry(&target_name(target), token, &[run(1)]);
                (SPARE, vec![question, released(1, FencingToken(token))])
            }
        }
    }
}

/// Guards against a second run of a task because of a statement about another run, about another
/// target, or by a VM that is not the holder of the run.
#[test_case(Statement::End(1); "end by another VM")]
#[test_case(Statement::EndByHolder(2); "end of another run")]
#[test_case(Statement::FoundEnd { run: 1, target: SPARE }; "found end on another target")]
#[test_case(Statement::FoundEnd { run: 1, target: HOLDER }; "found end on the suggested target")]
#[test_case(Statement::FoundEnd { run: 2, target: HOLDER }; "found end of another run")]
#[test_case(Statement::Refusal; "refusal by another VM")]
#[test_case(Statement::RefusalByHolder(2); "refusal of another run")]
#[test_case(Statement::Release; "release by another VM")]
#[test_case(Statement::ReleaseByHolder(2); "release with another run")]
#[test_case(Statement::Question { token: 5, target: HOLDER }; "question with a lower token")]
#[test_case(Statement::Question { token: 9, target: SPARE }; "question about another target")]
fn statement_that_is_not_about_the_run_ends_nothing(statement: Statement) {
    let mut rig = Rig::coordinator();
    let (vm, messages) = statement.messages();
    rig.send(vm, messages);
    assert_eq!(rig.run_until_restart(), None, "{statement:?}");
}

/// Guards against a coordinator that takes its run for one on the target which it has suggested, while the holder
/// has chosen another one.
#[test]
fn holder_states_a_target_other_than_the_suggested_one() {
    let mut rig = Rig::holder();
    rig.request(FIRST, 1, |mut request| {
        request.tasks[0].target = target_name(7);
        request
    });
    rig.run_for(ms(50));
    assert_eq!(rig.target.starts, 1);
    let redirected = |message: &FleetMessage| {
        matches!(message, FleetMessage::Redirected { run, target, .. }
            if *run == run_of(1, 1) && *target == target_name(2))
    };
    assert!(rig.vms[FIRST].received.iter().any(redirected));
    rig.vms[FIRST].received.clear();
    rig.request(FIRST, 2, |mut request| {
        request.tasks[0].task = run_of(2, 2).task;
        request
    });
    rig.run_for(ms(50));
    assert_eq!(rig.target.starts, 2);
    assert!(
        !rig.vms[FIRST].received.iter().any(redirected),
        "only where the target differs"
    );
}

/// Guards against a coordinator that adopts the run of another coordinator of its job: it has the same number and
/// was found on the target that the coordinator has suggested, while its holder has started the task on another one.
#[test_case(HOLDER, false; "on the suggested target")]
#[test_case(9, true; "on the target that the holder has chosen")]
fn found_run_is_kept_only_on_the_target_that_the_holder_has_chosen(target: usize, kept: bool) {
    let mut rig = Rig::coordinator();
    let redirected = FleetMessage::Redirected {
        run: run_of(1, 1),
        target: target_name(9),
        token: HOLDER_TOKEN,
    };
    rig.send(HOLDER, vec![redirected]);
    let question = inquiry(&target_name(target), 9, &[run_of(1, 1)]);
    rig.send(SPARE, vec![question]);
    rig.run_for(ms(100));
    let answers = rig.vms[SPARE].received.iter();
    let answers = answers.filter(|message| matches!(message, FleetMessage::Keep { .. }));
    assert_eq!(answers.count(), usize::from(kept));
}

/// Requests run `number` for a target of this kind. Returns whether it has started.
fn starts_on_kind(rig: &mut Rig, number: u32, kind: &str) -> bool {
    let starts = rig.target.starts;
    rig.request(FIRST, number, |request| PlaceRequest {
        required_label: Some(kind.into()),
        ..request
    });
    rig.run_for(ms(50));
    rig.target.starts > starts
}

/// Guards against a task that starts on a target of another kind than it needs: the target has started again
/// and has answered, while the list still has the entry of its former instance.
#[test]
fn entry_of_a_former_instance_is_not_used() {
    let mut rig = Rig::holder();
    rig.list_instance(2, Some(1), "kind-b");
    rig.restart_target();
    rig.run_for(ms(600));
    assert!(
        !starts_on_kind(&mut rig, 1, "kind-b"),
        "by the former entry"
    );
    rig.list_instance(2, Some(2), "kind-a");
    rig.run_for(ms(50));
    assert!(
        !starts_on_kind(&mut rig, 2, "kind-b"),
        "by the present entry"
    );
    assert!(starts_on_kind(&mut rig, 3, "kind-a"));
}

/// Guards against a task that starts on an instance that has not answered yet, or on a target whose instance
/// the list does not state and that is not used therefore.
#[test]
fn entry_of_the_next_instance_is_used_once_it_has_answered() {
    let mut rig = Rig::holder();
    rig.restart_target();
    rig.list_instance(2, Some(2), "kind-a");
    assert_eq!(rig.target.starts, 0);
    rig.request(FIRST, 1, |request| request);
    assert_eq!(
        rig.target.starts, 0,
        "before the next instance has answered"
    );
    rig.run_for(ms(50));
    assert!(starts_on_kind(&mut rig, 2, "kind-a"));
    rig.target.running.clear();
    rig.list_instance(2, None, "kind-c");
    rig.run_for(ms(1000));
    assert!(starts_on_kind(&mut rig, 3, "kind-c"));
}

/// Guards against a request for a target whose holder has confirmed another instance than that of the
/// coordinator's entry, by a capacity report or an offer.
#[test]
fn coordinator_does_not_use_the_entry_of_another_instance() {
    let mut rig = Rig::idle_coordinator();
    rig.vms[HOLDER].holding_boot = TargetBoot(2);
    rig.vms[HOLDER].holdings_version += 1;
    rig.run_for(ms(200));
    rig.submit(1);
    let offer = FleetMessage::Offer {
        offer: 1,
        target: target_name(HOLDER),
        resources: capacity(),
    };
    rig.send(HOLDER, vec![offer]);
    rig.run_for(ms(200));
    assert_eq!(rig.placed_at(HOLDER, 1), 0);
    assert!(rig.vms[HOLDER].received.contains(&FleetMessage::Decline(1)));
    rig.list(HOLDER, |entry| TargetEntry {
        boot: Some(TargetBoot(2)),
        ..entry
    });
    rig.run_for(ms(200));
    assert_eq!(rig.placed_at(HOLDER, 1), 1);
}

/// Guards against a run that is lost for its coordinator because the check of statements is too
/// strict.
#[test_case(Statement::EndByHolder(1); "end by the holder")]
#[test_case(Statement::RefusalByHolder(1); "refusal by the holder")]
#[test_case(Statement::ReleaseByHolder(1); "release by the holder")]
#[test_case(Statement::Question { token: 9, target: HOLDER }; "question with a higher token")]
fn statement_about_the_run_is_applied(statement: Statement) {
    let mut rig = Rig::coordinator();
    let (vm, messages) = statement.messages();
    rig.send(vm, messages);
    assert!(rig.run_until_restart().is_some(), "{statement:?}");
}

/// Guards against a run that goes on, or starts, after another run of its task was done, as a VM has found
/// that claims the target of that run.
#[test_case(1, HOLDER, true; "the present run")]
#[test_case(1, SPARE, true; "run of the same number on another target")]
#[test_case(2, HOLDER, true; "another run")]
#[test_case(1, SPARE, false; "the task waits")]
fn found_run_that_is_done_ends_the_task(number: u32, target: usize, placed: bool) {
    let mut rig = match placed {
        true => Rig::coordinator(),
        false => Rig::idle_coordinator(),
    };
    if !placed {
        rig.vms[HOLDER].free = ResourceVector::default();
        rig.run_for(ms(200));
        rig.submit(1);
    }
    let notice = EndNotice {
        end: RunEnd::Done,
        ..end_of(run_of(1, number), target)
    };
    rig.send(SPARE, vec![FleetMessage::FoundEnd(notice)]);
    assert_eq!(rig.replies, [JobReply::Completed]);
    rig.run_for(ms(300));
    let withdrawn = FleetMessage::Withdraw(vec![run_of(1, 1).task]);
    let received = &rig.vms[HOLDER].received;
    assert_eq!(received.contains(&withdrawn), placed);
    assert_eq!(rig.run_until_restart(), None);
}

/// Guards against a job that is rejected as not started although another coordinator's run of one of its
/// tasks is done.
#[test]
fn job_of_a_found_run_is_not_rejected() {
    let mut rig = Rig::idle_coordinator();
    rig.vms[HOLDER].free = ResourceVector::default();
    rig.run_for(ms(200));
    let mut spec = Rig::job(1);
    spec.steps[0].count = 2;
    rig.submit_spec(spec);
    let notice = EndNotice {
        end: RunEnd::Done,
        ..end_of(run_of(1, 1), SPARE)
    };
    rig.send(SPARE, vec![FleetMessage::FoundEnd(notice)]);
    assert_eq!(rig.replies, []);
    rig.feed(FleetEvent::DrainExpired);
    assert_eq!(rig.replies, [JobReply::Unknown]);
}

/// Guards against a lease that lasts longer than the coordinator counts on, while the stop requests of
/// the holder get lost: the coordinator is silent, or does not hear the holder.
#[test_case(false; "the coordinator is silent")]
#[test_case(true; "the coordinator does not hear the holder")]
fn lease_ends_with_the_message_that_the_coordinator_has_named(sends: bool) {
    let mut rig = Rig::holder_with_run();
    rig.target.loses_stops = true;
    let named = rig.vms[FIRST].heard_until.expect("the engine was heard");
    let vm = &mut rig.vms[FIRST];
    (vm.sends, vm.hears) = (sends, false);
    let lapsed_at = rig.run_until_lapse().expect("the lease ends");
    assert!(rig.target.stops > 0);
    let lasts = lapsed_at.since(named);
    assert!(lasts <= COORDINATOR_TIMEOUT + TICK, "{lasts:?}");
    assert!(lasts >= COORDINATOR_TIMEOUT - ms(300), "{lasts:?}");
}

/// Guards against a new run that outlasts the lease after its request.
#[test]
fn lease_of_a_new_run_ends_with_its_request() {
    let mut rig = Rig::holder();
    rig.target.loses_stops = true;
    let vm = &mut rig.vms[FIRST];
    (vm.sends, vm.hears) = (false, false);
    rig.run_for(ms(400));
    let named = rig.vms[FIRST].heard_until.expect("the engine was heard");
    rig.request(FIRST, 1, |request| request);
    let started_at = rig.now;
    assert_eq!(rig.target.starts, 1);
    let lapsed_at = rig.run_until_lapse().expect("the lease ends");
    let limit = (named + COORDINATOR_TIMEOUT).max(started_at + LEASE);
    assert!(lapsed_at <= limit + TICK, "{lapsed_at} instead of {limit}");
}

/// Guards against a run that goes on after the holder has lost its coordinator, with the target's lease
/// cut short for all other runs.
#[test]
fn runs_of_a_lost_coordinator_are_stopped() {
    let mut rig = Rig::holder_with_run();
    let vm = &mut rig.vms[FIRST];
    (vm.sends, vm.hears) = (false, false);
    rig.run_for(ms(1200));
    assert!(rig.target.running.is_empty());
    assert_eq!(rig.target.lapsed_at, None);
}

/// Guards against a start that the coordinator no longer counts on: the request is too old, or from
/// before the holder has dropped the coordinator's work.
#[test_case(MAX_REQUEST_AGE, 0; "too old")]
#[test_case(ms(0), 1; "other loss count")]
fn outdated_request_is_refused(age: Duration, more_losses: u64) {
    let mut rig = Rig::holder();
    rig.request(FIRST, 1, |request| PlaceRequest {
        issued_at: request.issued_at - age,
        losses: (0..more_losses).fold(request.losses, |count, _| count.next()),
        ..request
    });
    rig.run_for(ms(200));
    assert_eq!(rig.target.starts, 0);
    assert_eq!(rig.refusals(FIRST), [PlaceRefusal::Stale]);
}

/// Guards against a start for a coordinator that the holder has marked lost and whose loss count it
/// has not raised since.
#[test]
fn request_from_before_a_drop_is_refused() {
    let mut rig = Rig::holder_with_run();
    let losses = rig.vms[FIRST].engine_losses;
    let vm = &mut rig.vms[FIRST];
    (vm.sends, vm.hears) = (false, false);
    rig.run_for(ms(2000));
    let starts = rig.target.starts;
    let vm = &mut rig.vms[FIRST];
    (vm.sends, vm.hears) = (true, true);
    for _ in 0..20 {
        rig.run_for(ms(100));
        rig.send(FIRST, Vec::new());
    }
    assert_ne!(rig.vms[FIRST].engine_losses, losses);
    rig.request(FIRST, 2, |request| PlaceRequest { losses, ..request });
    rig.run_for(ms(200));
    assert_eq!(rig.target.starts, starts);
    assert_eq!(rig.refusals(FIRST), [PlaceRefusal::Stale]);
}

/// Guards against a start for a coordinator whose end the holder would not notice.
#[test]
fn request_of_a_coordinator_that_is_not_live_is_refused() {
    let mut rig = Rig::holder();
    let vm = &mut rig.vms[FIRST];
    (vm.sends, vm.hears) = (false, false);
    rig.run_for(ms(2000));
    rig.request(FIRST, 1, |request| PlaceRequest {
        losses: request.losses.next(),
        ..request
    });
    assert_eq!(rig.target.starts, 0);
}

/// A holder that has found a run of job 1 on its target and has asked for the coordinator.
fn holder_with_found_run() -> Rig {
    let mut rig = Rig::new(&[2]);
    rig.target.running.insert(run_of(1, 1));
    let asked = |rig: &Rig| {
        let mut messages = rig.vms[FIRST].received.iter();
        messages.any(|message| matches!(message, FleetMessage::Inquire { .. }))
    };
    while !asked(&rig) {
        assert!(rig.now < START + ms(5000), "the run was not found");
        rig.run_for(TICK);
    }
    rig
}

/// The answer of the coordinator to the question of the holder.
fn answer_with(rig: &Rig, losses: LossCount, origin: Option<IncarnationId>) -> FleetMessage {
    let mut messages = rig.vms[FIRST].received.iter();
    let claim = messages.find_map(|message| match message {
        FleetMessage::Inquire { token, .. } => Some(*token),
        _ => None,
    });
    FleetMessage::Keep {
        target: target_name(2),
        runs: vec![KeptRun {
            run: run_of(1, 1),
            resources: resources(),
            expected_ms: 9000,
            origin,
        }],
        losses,
        claim,
    }
}

/// Guards against adopting a found run for a coordinator that counts it as dropped.
#[test_case(0, 0; "with the loss count of the holder")]
#[test_case(1, 1; "from before a drop")]
fn outdated_answer_adopts_no_run(more_losses: u64, releases: usize) {
    let mut rig = holder_with_found_run();
    let losses = rig.vms[FIRST].engine_losses;
    let losses = (0..more_losses).fold(losses, |count, _| count.next());
    let answer = answer_with(&rig, losses, None);
    rig.send(FIRST, vec![answer]);
    rig.run_for(ms(300));
    assert_eq!(rig.releases(FIRST), releases);
    assert_eq!(rig.target.running.len(), 1 - releases);
}

/// Guards against a run that goes on after its coordinator has withdrawn it, because another VM that
/// coordinates the same job has answered the question of the holder as well, and against a second run that
/// this VM starts meanwhile.
#[test]
fn second_answer_to_a_question_waits_for_the_end_of_the_run() {
    let mut rig = holder_with_found_run();
    for vm in [FIRST, SECOND] {
        let answer = answer_with(&rig, rig.vms[vm].engine_losses, None);
        rig.send(vm, vec![answer]);
    }
    rig.run_for(ms(1500));
    assert_eq!(rig.target.running.len(), 1, "the run is renewed");
    assert_eq!(
        (rig.releases(SECOND), rig.refusals(SECOND)),
        (0, Vec::new())
    );
    rig.send(FIRST, vec![FleetMessage::Withdraw(vec![run_of(1, 1).task])]);
    rig.run_for(ms(600));
    assert!(rig.target.running.is_empty());
    assert_eq!(rig.refusals(SECOND), [PlaceRefusal::StillRunning]);
}

/// The process of a VM that has forwarded a job.
const ORIGIN: IncarnationId = IncarnationId(55);

/// Guards against a run of a forwarded job that lasts longer than its client waits after the VM that has
/// forwarded it has failed, while the stop requests of the holder get lost.
#[test]
fn lease_of_a_forwarded_job_ends_with_the_vm_that_has_forwarded_it() {
    let mut rig = Rig::holder();
    rig.target.loses_stops = true;
    let heard_at = rig.now;
    rig.vms[FIRST].origin = Some((ORIGIN, heard_at));
    rig.request(FIRST, 1, |request| PlaceRequest {
        origin: Some(ORIGIN),
        ..request
    });
    assert_eq!(rig.target.starts, 1);
    let lapsed_at = rig.run_until_lapse().expect("the lease ends");
    assert!(rig.target.stops > 0);
    let lasts = lapsed_at.since(heard_at);
    assert!(lasts <= COORDINATOR_TIMEOUT + TICK, "{lasts:?}");
    assert!(lasts >= COORDINATOR_TIMEOUT - ms(300), "{lasts:?}");
}

/// Guards against the same for a run that the holder has found.
#[test]
fn lease_of_an_adopted_run_ends_with_the_vm_that_has_forwarded_its_job() {
    let mut rig = holder_with_found_run();
    rig.target.loses_stops = true;
    let heard_at = rig.now;
    rig.vms[FIRST].origin = Some((ORIGIN, heard_at));
    let losses = rig.vms[FIRST].engine_losses;
    let answer = answer_with(&rig, losses, Some(ORIGIN));
    rig.send(FIRST, vec![answer]);
    let lapsed_at = rig.run_until_lapse().expect("the lease ends");
    let lasts = lapsed_at.since(heard_at);
    assert!(lasts <= COORDINATOR_TIMEOUT + TICK, "{lasts:?}");
}

/// Guards against a run of a forwarded job that starts with a lease which lasts too long: the VM that
/// has forwarded it is silent, or the coordinator has stated nothing about it.
#[test_case(Some(ms(700)); "silent for a while")]
#[test_case(None; "without a statement")]
fn run_of_a_forwarded_job_starts_only_where_the_lease_ends_in_time(silence: Option<Duration>) {
    let mut rig = Rig::holder();
    rig.vms[FIRST].origin = silence.map(|silence| (ORIGIN, rig.now - silence));
    rig.request(FIRST, 1, |request| PlaceRequest {
        origin: Some(ORIGIN),
        ..request
    });
    rig.run_for(ms(50));
    assert_eq!(rig.target.starts, 0);
    assert_eq!(rig.refusals(FIRST), [PlaceRefusal::NoCapacity]);
}

/// Guards against a statement that makes a VM that has forwarded a job look alive after its end, and
/// against runs that nobody withdraws when it is silent.
#[test]
fn coordinator_states_and_ends_the_silence_of_the_vm_that_has_forwarded_a_job() {
    let mut rig = Rig::idle_coordinator();
    rig.forward(1);
    rig.run_for(ms(300));
    assert_eq!(rig.placed_at(HOLDER, 1), 1);
    let vm = &mut rig.vms[SPARE];
    (vm.sends, vm.hears) = (false, false);
    let silent_since = rig.now;
    rig.run_for(ms(500));
    let (sent_at, stated) = rig.vms[HOLDER].stated.clone().expect("an envelope");
    let [contact] = stated.as_slice() else {
        panic!("{stated:?}");
    };
    let silence = Duration::from_millis(contact.silence_ms.into());
    assert!(sent_at > silent_since + ms(300));
    assert!(sent_at - silence <= silent_since, "{silence:?}");
    rig.run_for(ms(300));
    let messages = &rig.vms[HOLDER].received;
    let withdrawn = FleetMessage::Withdraw(vec![run_of(1, 1).task]);
    assert!(messages.contains(&withdrawn));
}

/// Guards against a run of a forwarded job that starts so late after the last sign of life of the VM
/// that has forwarded it that it lasts too long.
#[test]
fn task_of_a_silent_vm_is_not_placed() {
    let mut rig = Rig::idle_coordinator();
    rig.vms[HOLDER].free = ResourceVector::default();
    rig.run_for(ms(200));
    rig.forward(1);
    let vm = &mut rig.vms[SPARE];
    (vm.sends, vm.hears) = (false, false);
    rig.run_for(ms(200));
    rig.vms[HOLDER].free = capacity();
    rig.run_for(ms(200));
    assert_eq!(rig.placed_at(HOLDER, 1), 0);
    rig.send(SPARE, Vec::new());
    rig.run_for(ms(50));
    assert_eq!(rig.placed_at(HOLDER, 1), 1);
}

/// Guards against coordinating a forwarded job that its VM may have given up, so that its client may have
/// sent it elsewhere.
#[test]
fn outdated_job_of_another_vm_is_not_taken() {
    let mut rig = Rig::idle_coordinator();
    let sender = &rig.vms[SPARE];
    let origin = ForwardOrigin {
        vm: sender.identity.vm.clone(),
        incarnation: sender.identity.incarnation,
        sent_at: rig.now - VM_CLOCK_BEHIND,
        losses: sender.engine_losses,
    };
    let clock = rig.clock();
    let late = ForwardOrigin {
        sent_at: origin.sent_at - MAX_REQUEST_AGE,
        ..origin.clone()
    };
    let other_count = ForwardOrigin {
        losses: origin.losses.next(),
        ..origin.clone()
    };
    let other_process = ForwardOrigin {
        incarnation: IncarnationId(77),
        ..origin.clone()
    };
    for outdated in [late, other_count, other_process] {
        assert_eq!(rig.engine.admit_origin(clock, &outdated), None);
    }
    assert_eq!(rig.engine.admit_origin(clock, &origin), sender.index);
    let vm = &mut rig.vms[SPARE];
    (vm.sends, vm.hears) = (false, false);
    rig.run_for(ms(500));
    let silent = ForwardOrigin {
        sent_at: rig.now - VM_CLOCK_BEHIND,
        ..origin
    };
    let clock = rig.clock();
    assert_eq!(rig.engine.admit_origin(clock, &silent), None);
}

/// Guards against a lease without a limit for a run that is stopped before the first poll after its
/// start.
#[test]
fn lease_of_a_run_that_is_withdrawn_at_once_is_limited() {
    let mut rig = Rig::holder();
    rig.target.loses_stops = true;
    let named = rig.vms[FIRST].heard_until.expect("the engine was heard");
    let started_at = rig.now;
    rig.request(FIRST, 1, |request| request);
    let withdrawn = FleetMessage::Withdraw(vec![run_of(1, 1).task]);
    rig.send(FIRST, vec![withdrawn]);
    let vm = &mut rig.vms[FIRST];
    (vm.sends, vm.hears) = (false, false);
    let lapsed_at = rig.run_until_lapse().expect("the lease ends");
    let limit = (named + COORDINATOR_TIMEOUT).max(started_at + LEASE);
    assert!(
        lapsed_at <= limit + TICK * 2,
        "{lapsed_at} instead of {limit}"
    );
}

/// Guards against a lease that is renewed on the next instance of a target, whose restart has broken the
/// connection of a stop request.
#[test]
fn broken_stop_request_delays_the_renewal_of_the_lease() {
    let mut rig = Rig::holder_with_run();
    rig.target.loses_stops = true;
    let run = run_of(1, 1);
    rig.send(FIRST, vec![FleetMessage::Withdraw(vec![run.task])]);
    let (_, _, open) = rig.target.polls.last().expect("a poll is open");
    let token = open.token;
    rig.feed(FleetEvent::StopResult {
        target: TargetIndex::from(0),
        token,
        run,
        answer: StopResult::ConnectionLost,
    });
    let polls = rig.target.polls.iter().map(|(_, _, request)| request);
    let polls = polls.map(|request| (request.wait.is_zero(), request.lease_end.is_some()));
    assert_eq!(polls.collect::<Vec<_>>(), [(false, true), (true, false)]);
}

/// Another process runs on the coordinator's VM and requests run 1 of the same task. Guards against a
/// second run that starts because the end of the former process's run is taken for that of the new one, and
/// against a lease that the new process extends.
#[test_case(Loss::OtherEnvelope; "another process sends an envelope")]
#[test_case(Loss::OtherAck; "another process acknowledges")]
#[test_case(Loss::OtherRecord; "the store has a record of another process")]
fn new_process_is_not_told_of_the_runs_of_the_former_one(loss: Loss) {
    let mut rig = Rig::holder_with_run();
    rig.target.loses_stops = true;
    let named = rig.vms[FIRST].heard_until.expect("the engine was heard");
    loss.apply(&mut rig);
    let vm = &mut rig.vms[FIRST];
    vm.identity = identity_of(FIRST, 77);
    vm.heard_until = None;
    vm.received.clear();
    (vm.sends, vm.hears) = (true, true);
    rig.run_for(ms(300));
    rig.request(FIRST, 1, |request| request);
    let lapsed_at = rig.run_until_lapse().expect("the lease ends");
    let lasts = lapsed_at.since(named);
    assert!(lasts <= COORDINATOR_TIMEOUT + TICK, "{lasts:?}");
    assert!(lasts >= COORDINATOR_TIMEOUT - ms(300), "{lasts:?}");
    rig.target.loses_stops = false;
    rig.run_for(ms(1000));
    let received = rig.vms[FIRST].received.iter();
    let ends = received.filter(|message| matches!(message, FleetMessage::Ended(_)));
    assert_eq!(ends.collect::<Vec<_>>(), Vec::<&FleetMessage>::new());
    assert_eq!(rig.refusals(FIRST), [PlaceRefusal::StillRunning]);
}

/// Guards against a broken bound that is not counted: the target has a run that the holder has reported as
/// over.
#[test]
fn run_that_outlives_its_reported_end_is_counted() {
    let mut rig = Rig::holder_with_run();
    let running = std::mem::take(&mut rig.target.running);
    rig.run_for(ms(600));
    assert_eq!(rig.engine.counters().runs_not_done, 1);
    assert_eq!(rig.engine.counters().runs_outlived, 0);
    rig.target.running = running;
    rig.run_for(ms(600));
    assert_eq!(rig.engine.counters().runs_outlived, 1);
}

/// Guards against a second run of a task at the request of another coordinator, and against an early
/// answer by which that coordinator would start it elsewhere.
#[test]
fn request_waits_for_the_end_of_an_earlier_run() {
    let mut rig = Rig::holder_with_run();
    rig.request(SECOND, 1, |request| request);
    rig.run_for(ms(1000));
    assert_eq!(rig.target.starts, 1);
    assert_eq!(rig.refusals(SECOND), []);
    rig.target.running.clear();
    rig.run_for(ms(1000));
    assert_eq!(rig.refusals(SECOND), [PlaceRefusal::StillRunning]);
    assert_eq!(rig.target.starts, 1);
}

/// Guards against an early answer to a request that waits for an earlier run, when the holder releases
/// the target on which that run goes on.
#[test]
fn request_that_waits_for_a_run_on_a_released_target_is_not_refused() {
    let mut rig = Rig::holder_with_run();
    rig.request(SECOND, 2, |request| request);
    rig.target.fenced = true;
    rig.run_for(ms(600));
    assert_eq!((rig.releases(FIRST), rig.releases(SECOND)), (1, 1));
    assert_eq!(rig.refusals(SECOND), []);
}

/// Guards against a lease that is renewed after the holder has released the target, here to another VM
/// because it drains.
#[test]
fn lease_of_a_released_target_is_not_renewed() {
    let mut rig = Rig::holder_with_run();
    let ends_at = rig.now + Duration::from_secs(60);
    rig.feed(FleetEvent::DrainStarted { ends_at });
    rig.run_for(TICK);
    let released_at = rig.now;
    assert!(rig.releases(FIRST) > 0);
    let lapsed_at = rig.run_until_lapse().expect("the lease ends");
    assert!(lapsed_at <= released_at + LEASE, "{lapsed_at}");
}

/// Guards against an envelope to a former process that a later one takes for its own contact.
#[test]
fn envelope_to_another_process_is_not_accepted() {
    let mut rig = Rig::holder_with_run();
    rig.target.loses_stops = true;
    let named = rig.vms[FIRST].heard_until.expect("the engine was heard");
    let vm = &mut rig.vms[FIRST];
    (vm.sends, vm.hears) = (false, false);
    let envelope = PeerEnvelope {
        from: rig.vms[FIRST].identity.clone(),
        to: Some(IncarnationId(98)),
        losses: LossCount(0),
        sent_at: rig.now - VM_CLOCK_BEHIND,
        heard_until: Some(rig.now + Duration::from_secs(60)),
        heartbeat_interval_ms: 150,
        state: PeerState::Ready,
        uptime_ms: 60_000,
        config_version: None,
        first_message: 0,
        messages: Vec::new(),
        next_expected: 0,
        demand: DemandReport::default(),
        holdings_version: 1,
        holdings: None,
        capacities: Vec::new(),
        zones: Vec::new(),
        routing: RoutingReport::default(),
        origins: Vec::new(),
    };
    let ack = rig.engine.receive_envelope(rig.clock(), envelope);
    assert!(!ack.accepted);
    let lapsed_at = rig.run_until_lapse().expect("the lease ends");
    assert!(lapsed_at <= named + COORDINATOR_TIMEOUT + TICK);
}

/// Guards against a task that waits for one holder which takes each of its requests for too old, as on a link
/// whose round trip is longer than the greatest age of a request, while another holder has capacity.
#[test]
fn task_that_a_holder_takes_for_too_old_is_placed_elsewhere() {
    let mut rig = Rig::idle_coordinator();
    rig.submit(1);
    rig.vms[SPARE].free = capacity();
    let mut refused = 0;
    for _ in 0..200 {
        rig.run_for(TICK);
        while refused < rig.placed_at(HOLDER, 1) {
            refused += 1;
            let refusal = FleetMessage::Refused {
                run: run_of(1, 1),
                refusal: PlaceRefusal::Stale,
            };
            rig.send(HOLDER, vec![refusal]);
        }
    }
    assert!(rig.placed_at(SPARE, 1) > 0, "refused {refused} times");
}

/// Guards against a run that is requested for a client whose end is known only to its socket: the
/// request would extend the lease, and the withdrawal that follows may be lost.
#[test_case(&[HOLDER, SPARE]; "at another VM")]
#[test_case(&[2]; "on an own target")]
fn no_run_is_requested_for_a_client_that_has_left(listed: &[usize]) {
    let mut rig = match listed {
        [2] => Rig::holder(),
        _ => Rig::idle_coordinator(),
    };
    rig.ended = Some(vec![CallerToken(1)]);
    rig.submit(1);
    rig.run_for(ms(500));
    assert_eq!((rig.placed_at(HOLDER, 1), rig.target.starts), (0, 0));
    assert_eq!(rig.engine.view().live_jobs, 0);
    rig.submit(2);
    rig.run_for(ms(500));
    assert_eq!(rig.placed_at(HOLDER, 2) + rig.target.starts, 1);
}

/// Guards against a new holder that keeps a run of a client whose end is known only to its socket: what
/// is found counts like a new run.
#[test]
fn found_run_of_a_client_that_has_left_is_not_kept() {
    for gone in [false, true] {
        let mut rig = Rig::coordinator();
        rig.ended = Some(gone.then_some(CallerToken(1)).into_iter().collect());
        let question = inquiry(&target_name(HOLDER), HOLDER_TOKEN.0 + 1, &[run_of(1, 1)]);
        rig.send(SPARE, vec![question]);
        rig.run_for(ms(200));
        let mut messages = rig.vms[SPARE].received.iter();
        let kept = messages.any(|message| matches!(message, FleetMessage::Keep { .. }));
        assert_eq!(kept, !gone);
    }
}

/// Guards against an envelope that extends leases although nobody has looked whether the clients have
/// left.
#[test]
fn no_envelope_is_sent_without_an_examination() {
    let mut rig = Rig::coordinator();
    rig.run_for(ms(300));
    let contact = rig.vms[HOLDER].contact;
    rig.ended = None;
    rig.run_for(ms(400));
    assert_eq!(rig.vms[HOLDER].contact, contact);
    rig.ended = Some(Vec::new());
    rig.run_for(ms(400));
    assert!(rig.vms[HOLDER].contact > contact);
}

/// Guards against a run on an own target that goes on although nobody looks whether its client has left,
/// or whose client was found to have left while the stop request is lost.
#[test_case(None; "no examination")]
#[test_case(Some(vec![CallerToken(1)]); "client has left and stops are lost")]
fn lease_of_an_own_run_follows_the_examinations(ended: Option<Vec<CallerToken>>) {
    let mut rig = Rig::holder();
    rig.submit(1);
    rig.run_for(ms(2000));
    assert_eq!(rig.target.running.len(), 1);
    rig.target.loses_stops = true;
    rig.ended = ended;
    let examined_at = rig.now;
    let lapsed = rig.run_until_lapse().expect("the lease ends");
    assert!(lapsed <= examined_at + COORDINATOR_TIMEOUT + TICK);
}

/// Guards against a forwarded job that is coordinated although no client waits for it, and against one
/// that is removed because an earlier exchange of the same job has ended.
#[test_case(true, ms(0) => 0; "after the request")]
#[test_case(false, ms(0) => 0; "before the request")]
#[test_case(true, ms(1) => 1; "of an earlier exchange")]
fn abandoned_job_is_not_coordinated(received: bool, earlier_by: Duration) -> usize {
    let mut rig = Rig::idle_coordinator();
    let abandon = FleetMessage::Abandon {
        job: JobId(1),
        forwarded_at: rig.now - VM_CLOCK_BEHIND - earlier_by,
    };
    if received {
        rig.forward(1);
    }
    rig.send(SPARE, vec![abandon]);
    if !received {
        rig.forward(1);
    }
    rig.run_for(ms(100));
    rig.engine.view().live_jobs
}

/// Guards against a run for a client that has left, requested for an offer that arrives before the end of the
/// client's connection is handled.
#[test]
fn offer_places_nothing_for_a_client_that_has_left() {
    let mut rig = Rig::idle_coordinator();
    rig.vms[HOLDER].free = ResourceVector::default();
    rig.run_for(ms(500));
    rig.submit(1);
    rig.run_for(ms(300));
    assert_eq!(rig.placed_at(HOLDER, 1), 0);
    rig.ended = Some(vec![CallerToken(1)]);
    let offer = FleetMessage::Offer {
        offer: 1,
        target: target_name(HOLDER),
        resources: capacity(),
    };
    rig.send(HOLDER, vec![offer]);
    rig.run_for(ms(50));
    assert_eq!(rig.placed_at(HOLDER, 1), 0);
}

/// Guards against a job that waits until its client's time-out for a run that the next instance of its target
/// lists and that no coordinator adopts.
#[test_case(2; "on the suggested target")]
#[test_case(9; "on another target than the suggested one")]
fn coordinator_learns_of_a_run_that_nobody_adopts(suggested: usize) {
    let mut rig = Rig::holder();
    rig.request(FIRST, 1, |mut request| {
        request.tasks[0].target = target_name(suggested);
        request
    });
    rig.run_for(ms(20));
    assert!(rig.target.running.contains(&run_of(1, 1)));
    // The target restarts; the next instance has carried out the request.
    rig.target.restarts += 1;
    rig.run_for(ms(3000));
    let told = rig.vms[FIRST].received.iter().any(|message| {
        matches!(
            message,
            FleetMessage::Ended(_) | FleetMessage::Refused { .. } | FleetMessage::Released { .. }
        )
    });
    assert!(
        told || !rig.target.running.is_empty(),
        "the coordinator is not told"
    );
}
