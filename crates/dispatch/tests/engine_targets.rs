//! Tests the engine when targets leave, return or are removed from the configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_config::spec::{Configuration, KindSpec, ServiceSpec, TargetSpec, TeamSpec};
use filbertpitch_dispatch::engine::{
    CallerReply, DispatchEngine, EngineAction, EngineEvent, EngineSettings, FleetView, StateCommand,
};
use filbertpitch_dispatch::entity::TargetIndex;
use filbertpitch_dispatch::job::CallerToken;
use filbertpitch_dispatch::placement::SharePosition;
use filbertpitch_types::caller::{JobRequest, TaskSpec};
use filbertpitch_types::platform::{VmEntry, VmList, VmRole, VmState};
use filbertpitch_types::prelude::*;
use filbertpitch_types::target::{
    AttemptOutcome, AttemptReport, AttemptState, LoadReport, StateAnswer,
};
use filbertpitch_types::time::ClockReading;

const THIS: IncarnationId = IncarnationId(7);

fn at(millis: u64) -> ClockReading {
    ClockReading {
        time: TimePoint(millis * 1000),
        wall: WallTime(1_000_000 + millis),
    }
}

fn target_address() -> SocketAddr {
    ([127, 0, 0, 1], 7500).into()
}

fn configuration(with_target: bool) -> Rc<Configuration> {
    let kind: KindName = "check".parse().unwrap();
    let service: ServiceName = "desk".parse().unwrap();
    let typical = Duration::from_millis(50);
    let target = TargetSpec {
        zone: "dharan".parse().unwrap(),
        address: target_address(),
        slots: 8,
        connections: 64,
        takes: BTreeMap::from([(service.clone(), BTreeSet::from([kind.clone()]))]),
    };
    let spec = ServiceSpec {
        kinds: BTreeMap::from([(kind, KindSpec { typical })]),
        max_attempts: 3,
        retry_percent: 10,
    };
    Rc::new(Configuration {
        services: BTreeMap::from([(service, spec)]),
        targets: with_target
            .then(|| ("target".parse().unwrap(), target))
            .into_iter()
            .collect(),
        teams: BTreeMap::from([("east".parse().unwrap(), TeamSpec::default())]),
        ..Configuration::default()
    })
}

fn request(epoch: EpochNumber) -> JobRequest {
    JobRequest {
        submission: SubmissionId::Prefixed {
            prefix: OwnerPrefix {
                zone: "dharan".parse().unwrap(),
                address: ([127, 0, 0, 1], 7400).into(),
                incarnation: THIS,
                epoch,
            },
            key: "job".into(),
        },
        team: "east".parse().unwrap(),
        service: "desk".parse().unwrap(),
        deadline: Duration::from_secs(10),
        tasks: vec![TaskSpec {
            kind: "check".parse().unwrap(),
            declared: Duration::from_millis(50),
            repeatable: false,
            input: "".into(),
        }],
    }
}

/// Creates an engine of the only entry VM, with one target in its availability zone.
fn engine() -> DispatchEngine {
    let settings = EngineSettings::default();
    let zone = "dharan".parse().unwrap();
    let mut engine = DispatchEngine::new(settings, THIS, zone, at(0), 1);
    engine.handle(
        at(0),
        EngineEvent::ConfigurationChanged(configuration(true)),
    );
    let alone = SharePosition {
        position: 0,
        vms: 1,
    };
    let fleet = FleetView {
        zone: alone,
        fleet: alone,
        live_vms: 1,
        populated: vec!["dharan".parse().unwrap()],
    };
    engine.handle(at(0), EngineEvent::FleetChanged(fleet));
    engine
}

/// Guards against an endless loop of checks: a target that was removed from the configuration with
/// a running attempt was due for another check immediately after each one. Its attempts must be
/// checked at its last address.
#[test]
fn attempts_on_a_target_removed_from_the_configuration_are_checked() {
    let mut engine = engine();
    let submitted = EngineEvent::JobSubmitted {
        caller: CallerToken(1),
        request: request(engine.current_epoch()),
        traceparent: None,
    };
    engine.handle(at(1), submitted);
    let actions = engine.take_actions();
    let started = actions.iter().find_map(|action| match action {
        EngineAction::Start {
            target, request, ..
        } => Some((*target, request.attempt)),
        _ => None,
    });
    let (target, attempt) = started.expect("the task starts");

    let removed = EngineEvent::ConfigurationChanged(configuration(false));
    engine.handle(at(2), removed);
    engine.handle(at(3000), EngineEvent::TimeAdvanced);
    let actions = engine.take_actions();
    let check = actions.iter().find_map(|action| match action {
        EngineAction::Check {
            address, request, ..
        } => Some((*address, request.attempts.clone())),
        _ => None,
    });
    assert_eq!(check, Some((target_address(), vec![attempt])));

    let verdict = AttemptOutcome::Done {
        output: "out".into(),
        run_time: Duration::from_millis(50),
    };
    let answer = StateAnswer {
        reports: vec![AttemptReport {
            attempt,
            state: AttemptState::Ended(verdict),
        }],
        load: LoadReport::default(),
    };
    let answered = EngineEvent::StatesAnswered {
        target,
        command: StateCommand::Check,
        answer,
    };
    engine.handle(at(3001), answered);
    let actions = engine.take_actions();
    let complete = actions.iter().any(|action| match action {
        EngineAction::Reply {
            reply: CallerReply::Job(answer),
            ..
        } => answer.outcome == JobOutcome::Complete,
        _ => false,
    });
    assert!(complete);
    assert!(engine.is_idle());
}

fn submit(engine: &mut DispatchEngine, now: u64, deadline: Duration) -> Vec<EngineAction> {
    let request = JobRequest {
        deadline,
        ..request(engine.current_epoch())
    };
    let submitted = EngineEvent::JobSubmitted {
        caller: CallerToken(1),
        request,
        traceparent: None,
    };
    engine.handle(at(now), submitted);
    engine.take_actions()
}

fn listed(state: VmState) -> EngineEvent {
    EngineEvent::VmListRead(VmList {
        vms: vec![VmEntry {
            name: "target".parse().unwrap(),
            address: target_address(),
            zone: "dharan".parse().unwrap(),
            role: VmRole::Target,
            state,
        }],
    })
}

fn find_check(actions: &[EngineAction]) -> Option<TargetIndex> {
    actions.iter().find_map(|action| match action {
        EngineAction::Check { target, .. } => Some(*target),
        _ => None,
    })
}

/// Guards against a target that is never used again after it was leaving: if no attempt runs on the
/// target, only a check gets the load report that lets it return.
#[test]
fn a_leaving_target_that_is_listed_live_is_checked_and_returns() {
    let mut engine = engine();
    engine.handle(at(1), listed(VmState::Leaving));
    for second in 2..6 {
        engine.handle(at(second * 1000), listed(VmState::Live));
    }
    let target = find_check(&engine.take_actions()).expect("the target is checked");
    let answered = EngineEvent::StatesAnswered {
        target,
        command: StateCommand::Check,
        answer: StateAnswer {
            reports: Vec::new(),
            load: LoadReport {
                slots: 8,
                ..LoadReport::default()
            },
        },
    };
    engine.handle(at(6000), answered);
    let actions = submit(&mut engine, 6001, Duration::from_secs(10));
    let started = actions
        .iter()
        .any(|action| matches!(action, EngineAction::Start { .. }));
    assert!(started);
}

/// Guards against a job that waits until its deadline and is then answered as not run without a
/// reason.
#[test]
fn a_job_that_never_started_is_answered_with_a_reason() {
    let mut engine = engine();
    engine.handle(at(1), listed(VmState::Leaving));
    engine.take_actions();
    let actions = submit(&mut engine, 2, Duration::from_millis(400));
    assert!(actions.is_empty(), "{actions:?}");
    engine.handle(at(500), EngineEvent::TimeAdvanced);
    let actions = engine.take_actions();
    let answer = actions.iter().find_map(|action| match action {
        EngineAction::Reply {
            reply: CallerReply::Job(answer),
            ..
        } => Some(answer),
        _ => None,
    });
    let answer = answer.expect("the job is answered at its deadline");
    assert_eq!(answer.outcome, JobOutcome::NotRun);
    assert_eq!(answer.not_run, Some(NotRunReason::DeadlineUnreachable));
}
