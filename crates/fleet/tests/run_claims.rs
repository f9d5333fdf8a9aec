//! Messages between the coordinator of a run and the VMs that claim its target, when they arrive late.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_dispatch::entity::{KindIndex, TargetIndex};
use filbertpitch_dispatch::job::CallerToken;
use filbertpitch_fleet::engine::{
    EndedClients, FleetAction, FleetEngine, FleetEvent, FleetNotice, FleetSettings,
};
use filbertpitch_fleet::held::PollPlan;
use filbertpitch_types::fleet::{
    CapacityReport, CrashReport, DemandReport, EnvelopeAck, FleetConfiguration, FleetMessage,
    HoldingReport, JobSpec, KeptRun, PeerEnvelope, PeerIdentity, PeerState, PlaceRequest,
    QueueSpec, RoutingReport, ServicePolicy, StepSpec, TargetChange, TargetEntry, TargetState,
    TaskPlacement,
};
use filbertpitch_types::lease::{PollReport, PollResult, RunningEntry, StartAnswer, StartRefusal};
use filbertpitch_types::prelude::*;
use filbertpitch_types::time::ClockReading;
use test_case::test_case;

const START: TimePoint = TimePoint(60_000_000);
const OWN_ZONE: &str = "north";
const PEER_ZONE: &str = "south";
const TARGET: &str = "target-1";
const STEP: Duration = Duration::from_millis(50);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn resources() -> ResourceVector {
    ResourceVector::from((1000, 64, 0))
}

fn identity(vm: &str, zone: &str, number: u64) -> PeerIdentity {
    PeerIdentity {
        vm: vm.parse().unwrap(),
        incarnation: IncarnationId(number),
        address: SocketAddr::from(([10, 0, 0, 1], 7000 + number as u16)),
        zone: zone.parse().unwrap(),
        processor: MilliCores(1000),
    }
}

fn run() -> RunName {
    RunName {
        task: TaskName {
            job: JobId(7),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run: RunNumber(1),
    }
}

fn target_name() -> TargetName {
    TARGET.parse().unwrap()
}

/// A peer whose envelopes the test writes.
struct SimPeer {
    identity: PeerIdentity,
    /// The number of its next message.
    next_message: u64,
    /// The number of the next message that it expects.
    next_expected: u64,
    /// When the latest message of the engine was sent that has arrived.
    heard_until: Option<TimePoint>,
    /// Its token for the target, if it holds the target.
    token: Option<FencingToken>,
    silent: bool,
}

/// An engine, its peers, and one target.
struct Bench {
    engine: FleetEngine,
    now: TimePoint,
    peers: Vec<SimPeer>,
    /// The messages of the engine to each peer.
    received: BTreeMap<SocketAddr, Vec<FleetMessage>>,
    /// The latest holdings that the engine has stated.
    stated_holdings: Vec<HoldingReport>,
    notices: Vec<FleetNotice>,
    polls: Vec<(TargetIndex, PollPlan)>,
    /// Whether a start request was sent.
    started: bool,
}

impl Bench {
    /// An engine that is ready, with a target in `zone` and peers in another zone that it hears.
    fn new(zone: &str, peer_count: u64) -> Self {
        let own = identity("vm-a", OWN_ZONE, 1);
        let clock = ClockReading {
            time: START,
            wall: WallTime(1_000_000),
        };
        let peers = (0..peer_count).map(|peer| SimPeer {
            identity: identity(&format!("vm-peer-{peer}"), PEER_ZONE, 2 + peer),
            next_message: 0,
            next_expected: 0,
            heard_until: None,
            token: None,
            silent: false,
        });
        let mut bench = Self {
            engine: FleetEngine::new(FleetSettings::default(), own, clock, 1),
            now: START,
            peers: peers.collect(),
            received: BTreeMap::new(),
            stated_holdings: Vec::new(),
            notices: Vec::new(),
            polls: Vec::new(),
            started: false,
        };
        let queue = QueueSpec {
            name: "queue-0".parse().unwrap(),
            host: "host".into(),
            path_prefix: "/queue-0/".into(),
            service: "desk".parse().unwrap(),
            priority: 0,
            attempt_limit: 3,
            stretch: 50.0,
            allowance: ms(5000),
            requires_advisory: false,
        };
        let configuration = FleetConfiguration {
            version: ConfigVersion(1),
            queues: vec![queue],
            services: BTreeMap::from([("desk".parse().unwrap(), ServicePolicy::default())]),
            bounds: None,
        };
        let entry = TargetEntry {
            name: target_name(),
            service: "desk".parse().unwrap(),
            address: SocketAddr::from(([10, 1, 0, 1], 2000)),
            zone: zone.parse().unwrap(),
            state: TargetState::Ready,
            capacity: ResourceVector::from((8000, 1024, 0)),
            labels: Vec::new(),
            boot: Some(TargetBoot(1)),
            cold_remaining: Duration::ZERO,
            remaining: None,
        };
        bench.handle(FleetEvent::Configured(Rc::new(configuration)));
        bench.handle(FleetEvent::TargetsChanged(vec![TargetChange::Listed(
            entry,
        )]));
        bench.handle(FleetEvent::PeersFound(Vec::new()));
        for peer in 0..bench.peers.len() {
            bench.send(peer, Vec::new());
        }
        bench.handle(FleetEvent::TargetsListed);
        bench
    }

    fn clock(&self) -> ClockReading {
        ClockReading {
            time: self.now,
            wall: WallTime(1_000_000 + self.now.since(START).as_millis() as u64),
        }
    }

    fn handle(&mut self, event: FleetEvent) {
        self.engine.handle(self.clock(), event);
        self.perform_actions();
    }

    /// Records the actions of the engine. Each peer that is not silent acknowledges each envelope.
    fn perform_actions(&mut self) {
        loop {
            let request = self.engine.request_examination();
            let examination = request.map(|request| request.complete(EndedClients::default()));
            let actions = self.engine.take_actions(examination);
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    FleetAction::Notice(notice) => self.notices.push(notice),
                    FleetAction::Poll { target, plan, .. } => self.polls.push((target, plan)),
                    FleetAction::Start { .. } => self.started = true,
                    FleetAction::SendEnvelope {
                        peer: Some((peer, number)),
                        address,
                        envelope,
                    } => {
                        let mut peers = self.peers.iter_mut();
                        let found = peers.find(|it| it.identity.address == address);
                        let found = found.expect("the address of a peer");
                        if found.silent {
                            continue;
                        }
                        found.heard_until = Some(envelope.sent_at);
                        found.next_expected =
                            envelope.first_message + envelope.messages.len() as u64;
                        let ack = EnvelopeAck {
                            incarnation: found.identity.incarnation,
                            accepted: true,
                            next_expected: found.next_expected,
                            holdings_version: envelope.holdings_version,
                            sent_at: self.now,
                            clients_until: self.now,
                        };
                        if let Some(holdings) = envelope.holdings {
                            self.stated_holdings = holdings;
                        }
                        let messages = envelope.messages;
                        self.received.entry(address).or_default().extend(messages);
                        let acked = FleetEvent::EnvelopeAcked { peer, number, ack };
                        let clock = self.clock();
                        self.engine.handle(clock, acked);
                    }
                    _ => {}
                }
            }
        }
    }

    /// Delivers an envelope of a peer.
    fn send(&mut self, peer: usize, messages: Vec<FleetMessage>) {
        let state = &mut self.peers[peer];
        let first_message = state.next_message;
        state.next_message += messages.len() as u64;
        let holdings = state.token.iter().map(|token| HoldingReport {
            target: target_name(),
            token: *token,
            boot: Some(TargetBoot(1)),
        });
        let capacities = state.token.iter().map(|_| CapacityReport {
            free: ResourceVector::from((8000, 1024, 0)),
            slowdown_percent: 100,
        });
        let envelope = PeerEnvelope {
            from: state.identity.clone(),
            to: Some(IncarnationId(1)),
            losses: LossCount(0),
            sent_at: self.now,
            heard_until: state.heard_until,
            heartbeat_interval_ms: 150,
            state: PeerState::Ready,
            uptime_ms: 60_000,
            config_version: None,
            first_message,
            messages,
            next_expected: state.next_expected,
            demand: DemandReport::default(),
            holdings_version: 1 + state.token.map_or(0, |token| token.0 as u32),
            holdings: Some(holdings.collect()),
            capacities: capacities.collect(),
            zones: Vec::new(),
            routing: RoutingReport::default(),
            origins: Vec::new(),
        };
        let clock = self.clock();
        self.engine.receive_envelope(clock, envelope);
        self.perform_actions();
    }

    /// Advances the time; the peers that are not silent send envelopes.
    fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + STEP;
            self.handle(FleetEvent::TimeAdvanced);
            for peer in 0..self.peers.len() {
                if !self.peers[peer].silent {
                    self.send(peer, Vec::new());
                }
            }
        }
    }

    fn token_of_poll(&self) -> FencingToken {
        let (_, plan) = self.polls.last().expect("a poll was sent");
        plan.request.token
    }

    /// Answers the latest poll.
    fn answer_poll(&mut self, answer: PollResult) {
        let (target, plan) = self.polls.last().copied().expect("a poll was sent");
        self.handle(FleetEvent::PollResult {
            target,
            token: plan.request.token,
            number: plan.number,
            answer,
        });
    }

    /// A report that lists the run.
    fn report(&self) -> PollResult {
        PollResult::Report(PollReport {
            time: Some(TargetTime(self.now.0 / 1000)),
            boot: Some(TargetBoot(1)),
            running: vec![RunningEntry {
                run: run(),
                load: None,
            }],
            ended: Vec::new(),
        })
    }

    /// The messages of the engine to a peer since the last call.
    fn take_received(&mut self, peer: usize) -> Vec<FleetMessage> {
        let address = self.peers[peer].identity.address;
        self.received.remove(&address).unwrap_or_default()
    }

    fn inquiries(&mut self, peer: usize) -> usize {
        let messages = self.take_received(peer);
        let inquiries = messages
            .iter()
            .filter(|it| matches!(it, FleetMessage::Inquire { .. }));
        inquiries.count()
    }

    /// Submits the job of the run and lets a peer that holds the target with this token run it.
    fn place(&mut self, holder: usize, token: FencingToken) {
        self.peers[holder].token = Some(token);
        self.run_for(ms(200));
        let step = StepSpec {
            count: 1,
            resources: resources(),
            declared: ms(20_000),
            after: Vec::new(),
            required_label: None,
            preferred_rack: None,
            spread_limit: None,
            unsupported: None,
        };
        self.handle(FleetEvent::JobSubmitted {
            caller: CallerToken(1),
            queue: KindIndex::from(0),
            spec: JobSpec {
                id: run().task.job,
                payload: Rc::from("work"),
                steps: vec![step],
                ephemeral: true,
                unsupported: None,
            },
            client_timeout: ms(60_000).into(),
        });
        let messages = self.take_received(holder);
        let place = |it: &FleetMessage| matches!(it, FleetMessage::Place(_));
        assert!(messages.iter().any(place), "{messages:?}");
    }

    /// The crashes recorded for the task of the run.
    fn recorded_crashes(&self) -> usize {
        let notices = self.notices.iter();
        notices
            .filter(|it| matches!(it, FleetNotice::TaskSuspected { .. }))
            .count()
    }

    fn orphaned(&self) -> usize {
        let notices = self.notices.iter();
        notices
            .filter(|it| matches!(it, FleetNotice::RunOrphaned { .. }))
            .count()
    }
}

fn keep(claim: FencingToken) -> FleetMessage {
    FleetMessage::Keep {
        target: target_name(),
        runs: vec![KeptRun {
            run: run(),
            resources: resources(),
            expected_ms: 1000,
            origin: None,
        }],
        losses: LossCount(0),
        claim: Some(claim),
    }
}

fn inquire(token: FencingToken) -> FleetMessage {
    FleetMessage::Inquire {
        target: target_name(),
        token,
        runs: vec![run()],
    }
}

/// Guards against a run that is renewed for a coordinator which does not know the claim under which it was
/// found: an answer to a question under an earlier claim of the same VM arrives late.
#[test_case(true; "an earlier claim")]
#[test_case(false; "the present claim")]
fn only_an_answer_to_the_present_claim_adopts_a_run(late: bool) {
    let mut bench = Bench::new(OWN_ZONE, 1);
    bench.run_for(STEP);
    let first = bench.token_of_poll();
    bench.answer_poll(bench.report());
    assert_eq!(bench.inquiries(0), 1);
    bench.answer_poll(PollResult::Fenced);
    bench.run_for(ms(1600));
    let second = bench.token_of_poll();
    assert!(second > first);
    bench.answer_poll(bench.report());
    assert_eq!(bench.inquiries(0), 1);
    bench.send(0, vec![keep(if late { first } else { second })]);
    bench.answer_poll(bench.report());
    bench.run_for(ms(500));
    let (_, plan) = bench.polls.last().unwrap();
    assert_eq!(plan.request.token, second);
    assert_eq!(plan.request.lease_end.is_some(), !late, "{plan:?}");
}

/// Guards against a run that a former holder is told to keep after the coordinator has lost the contact with
/// the present one, and has forgotten which targets it holds.
#[test]
fn question_under_a_token_of_before_the_placement_is_ignored() {
    let mut bench = Bench::new(PEER_ZONE, 2);
    bench.place(0, FencingToken(20));
    bench.peers[0].silent = true;
    bench.run_for(ms(1000));
    assert_eq!(bench.orphaned(), 1);
    bench.take_received(1);
    bench.send(1, vec![inquire(FencingToken(10))]);
    let messages = bench.take_received(1);
    let kept = |it: &FleetMessage| matches!(it, FleetMessage::Keep { .. });
    assert!(!messages.iter().any(kept), "{messages:?}");
    bench.send(1, vec![inquire(FencingToken(30))]);
    let messages = bench.take_received(1);
    assert!(messages.iter().any(kept), "{messages:?}");
}

/// Guards against a run that counts as over because of the end of an earlier claim of its holder, which has
/// claimed the target again and renews the run.
#[test]
fn report_about_an_earlier_claim_says_nothing_about_the_run() {
    let mut bench = Bench::new(PEER_ZONE, 1);
    bench.place(0, FencingToken(20));
    bench.send(0, vec![inquire(FencingToken(30))]);
    let released = |token| FleetMessage::Released {
        target: target_name(),
        runs: vec![run()],
        token,
    };
    bench.send(0, vec![released(FencingToken(20))]);
    assert_eq!(bench.orphaned(), 0);
    bench.send(0, vec![released(FencingToken(30))]);
    assert_eq!(bench.orphaned(), 1);
}

fn other_run() -> RunName {
    let task = TaskName {
        job: JobId(8),
        ..run().task
    };
    RunName { task, ..run() }
}

/// Guards against a run that goes on after its coordinator has counted it as over: the holder cannot reach
/// the target for a second, another VM may hold it meanwhile, be told to keep the run and release it, and the
/// holder then claims the target again with a higher token and renews the run without asking.
#[test]
fn run_of_an_earlier_claim_is_not_renewed_before_its_coordinator_is_asked() {
    let mut bench = Bench::new(OWN_ZONE, 1);
    bench.run_for(STEP);
    let first = bench.token_of_poll();
    bench.answer_poll(bench.report());
    assert_eq!(bench.inquiries(0), 1);
    bench.send(0, vec![keep(first)]);
    bench.answer_poll(bench.report());
    bench.run_for(ms(700));
    bench.answer_poll(bench.report());
    let (target, plan) = *bench.polls.last().unwrap();
    assert!(plan.request.lease_end.is_some(), "the run is adopted");
    // The target refuses a start, so that the holder confirms its claim, and is then out of reach.
    bench.send(0, vec![place_other(bench.now)]);
    assert!(bench.started, "the request is carried out");
    bench.handle(FleetEvent::StartResult {
        target,
        token: first,
        run: other_run(),
        answer: StartAnswer::Refused(StartRefusal::Late, None),
    });
    for until_next_poll in [ms(0), ms(0), ms(150)] {
        bench.run_for(until_next_poll);
        bench.run_for(plan.options.timeout - plan.request.wait);
        assert_eq!(bench.token_of_poll(), first);
        bench.answer_poll(PollResult::TimedOut);
    }
    bench.run_for(ms(100));
    assert!(bench.token_of_poll() > first);
    bench.take_received(0);
    bench.answer_poll(bench.report());
    let asked = bench.inquiries(0);
    let (_, plan) = bench.polls.last().unwrap();
    assert_eq!(
        plan.request.lease_end, None,
        "asked {asked} times, {plan:?}"
    );
    assert_eq!(asked, 1);
}

fn place_other(now: TimePoint) -> FleetMessage {
    FleetMessage::Place(PlaceRequest {
        queue: "queue-0".parse().unwrap(),
        service: "desk".parse().unwrap(),
        payload: Rc::from("work"),
        required_label: None,
        offer: None,
        issued_at: now,
        tasks: vec![TaskPlacement {
            task: other_run().task,
            run: other_run().run,
            resources: resources(),
            target: target_name(),
            excluded: Vec::new(),
            expected_ms: 1000,
            on_trial: false,
        }],
        losses: LossCount(0),
        origin: None,
        preferred_rack: None,
        spread_limit: None,
    })
}

/// Guards against a target whose instance is not known to the other VMs after its holder has learned it.
#[test]
fn holdings_state_the_instance_that_has_answered() {
    let mut bench = Bench::new(OWN_ZONE, 1);
    bench.run_for(ms(200));
    let instances = |bench: &Bench| {
        let holdings = bench.stated_holdings.iter();
        holdings.map(|holding| holding.boot).collect::<Vec<_>>()
    };
    assert_eq!(instances(&bench), [None]);
    bench.answer_poll(bench.report());
    bench.run_for(ms(200));
    assert_eq!(instances(&bench), [Some(TargetBoot(1))]);
}

/// Guards against a job that is answered as failed for a crash under a run that the next holder of the target had
/// stopped, and against a crash that is not counted although the run was there.
#[test_case(FencingToken(20), TargetBoot(1), 0; "a former holder")]
#[test_case(FencingToken(30), TargetBoot(1), 1; "the present holder")]
#[test_case(FencingToken(20), TargetBoot(0), 1; "a former holder, of a former instance")]
fn crash_under_a_later_claim_is_not_taken_from_a_former_holder(
    token: FencingToken,
    crashed: TargetBoot,
    recorded: usize,
) {
    let mut bench = Bench::new(PEER_ZONE, 2);
    bench.place(0, FencingToken(20));
    bench.peers[1].token = Some(FencingToken(30));
    bench.run_for(ms(200));
    let report = CrashReport {
        target: target_name(),
        token,
        boot: Some(crashed),
        tasks: vec![run().task],
        alone: Some(run().task),
        unconfirmed: Vec::new(),
    };
    bench.send(0, vec![FleetMessage::Crashed(vec![report])]);
    assert_eq!(bench.recorded_crashes(), recorded);
}
