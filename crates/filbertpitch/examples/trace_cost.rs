//! Measures what traces and log lines cost per task, through the engine alone:
//! `cargo run --release -p filbertpitch --example trace_cost`.

use std::rc::Rc;
use std::time::{Duration, Instant};

use filbertpitch::events::{EventLog, LogEvent};
use filbertpitch::settings::{LogLevel, SampleRatio};
use filbertpitch::traces::{OpenSpan, TraceRecorder};
use filbertpitch_config::spec::{Configuration, KindSpec, ServiceSpec, TargetSpec, TeamSpec};
use filbertpitch_dispatch::engine::{
    DispatchEngine, EngineAction, EngineEvent, EngineSettings, FleetView,
};
use filbertpitch_dispatch::job::CallerToken;
use filbertpitch_dispatch::placement::SharePosition;
use filbertpitch_types::caller::{JobRequest, TaskSpec};
use filbertpitch_types::prelude::*;
use filbertpitch_types::target::{AttemptOutcome, LoadReport, StartAnswer};
use filbertpitch_types::time::ClockReading;

const JOBS: u64 = 200_000;
const TARGETS: u16 = 50;
const ROUNDS: usize = 9;
const RATIOS: [&str; 3] = ["0%", "1%", "100%"];

fn main() {
    // The rounds of the ratios alternate, and the shortest counts, because other processes only
    // ever add time.
    let mut shortest = [Duration::MAX; RATIOS.len()];
    for _ in 0..ROUNDS {
        for (shortest, ratio) in shortest.iter_mut().zip(RATIOS) {
            *shortest = run(ratio).min(*shortest);
        }
    }
    println!("{:<24} {:>12} {:>12}", "sampling", "ns/task", "tasks/s");
    for (shortest, ratio) in shortest.into_iter().zip(RATIOS) {
        let nanos = shortest.as_nanos() as f64 / JOBS as f64;
        println!("{ratio:<24} {nanos:>12.0} {:>12.0}", 1e9 / nanos);
    }
    log_cost();
}

/// One job of one task after the other, from the submission to the answer.
fn run(ratio: &str) -> Duration {
    let zone: ZoneName = "dharan".parse().expect("a valid name");
    let incarnation = IncarnationId(1);
    let mut clock = ClockReading {
        time: TimePoint(0),
        wall: WallTime(1_700_000_000_000),
    };
    let settings = EngineSettings::default();
    let mut engine = DispatchEngine::new(settings, incarnation, zone.clone(), clock, 1);
    engine.handle(
        clock,
        EngineEvent::ConfigurationChanged(Rc::new(configuration(&zone))),
    );
    let alone = SharePosition {
        position: 0,
        vms: 1,
    };
    engine.handle(
        clock,
        EngineEvent::FleetChanged(FleetView {
            zone: alone,
            fleet: alone,
            live_vms: 1,
            populated: vec![zone.clone()],
        }),
    );
    engine.take_actions();
    let ratio: SampleRatio = ratio.parse().expect("a valid ratio");
    let traces = TraceRecorder::new(ratio, ByteSize::mib(4));
    let prefix = OwnerPrefix {
        zone,
        address: "127.0.0.1:7400".parse().expect("a valid address"),
        incarnation,
        epoch: EpochNumber(0),
    };
    let requests = (0..JOBS).map(|number| request(&prefix, number));
    let requests = requests.collect::<Vec<_>>();
    let start = Instant::now();
    for (number, request) in requests.into_iter().enumerate() {
        clock.time = TimePoint(number as u64);
        let span = traces.admit("entry", None);
        let event = EngineEvent::JobSubmitted {
            caller: CallerToken(number as u64),
            request,
            traceparent: span.as_ref().map(OpenSpan::traceparent),
        };
        engine.handle(clock, event);
        run_actions(&mut engine, clock, &traces);
        if let Some(span) = span {
            traces.finish(span, Vec::new());
        }
    }
    let elapsed = start.elapsed();
    assert_eq!(engine.counters().jobs_complete, JOBS);
    elapsed
}

fn run_actions(engine: &mut DispatchEngine, clock: ClockReading, traces: &TraceRecorder) {
    loop {
        let actions = engine.take_actions();
        if actions.is_empty() {
            return;
        }
        for action in actions {
            match action {
                EngineAction::Start {
                    target, request, ..
                } => {
                    let answer = answer(request.attempt);
                    engine.handle(clock, EngineEvent::StartAnswered { target, answer });
                }
                EngineAction::Trace(trace) => {
                    let target = engine.catalog().target_name(trace.target);
                    traces.record_attempt(&trace, target, clock.time);
                }
                _ => {}
            }
        }
    }
}

fn answer(attempt: AttemptId) -> StartAnswer {
    StartAnswer {
        attempt,
        verdict: AttemptOutcome::Done {
            output: "done".into(),
            run_time: Duration::from_millis(50),
        },
        load: LoadReport {
            slots: 8,
            boot: 1,
            ..LoadReport::default()
        },
    }
}

fn request(prefix: &OwnerPrefix, number: u64) -> JobRequest {
    let task = TaskSpec {
        kind: "stock-check".parse().expect("a valid name"),
        declared: Duration::from_millis(50),
        repeatable: true,
        input: "sheet".into(),
    };
    JobRequest {
        submission: format!("{prefix}~{number}").parse().expect("a valid id"),
        team: "mill-east".parse().expect("a valid name"),
        service: "order-desk".parse().expect("a valid name"),
        deadline: Duration::from_secs(60),
        tasks: vec![task],
    }
}

fn configuration(zone: &ZoneName) -> Configuration {
    let service: ServiceName = "order-desk".parse().expect("a valid name");
    let kind: KindName = "stock-check".parse().expect("a valid name");
    let typical = Duration::from_millis(50);
    let spec = ServiceSpec {
        kinds: [(kind.clone(), KindSpec { typical })].into(),
        max_attempts: 3,
        retry_percent: 10,
    };
    let targets = (0..TARGETS).map(|number| {
        let name = format!("target-{number}").parse().expect("a valid name");
        let spec = TargetSpec {
            zone: zone.clone(),
            address: ([127, 0, 0, 1], 20_000 + number).into(),
            slots: 8,
            connections: 64,
            takes: [(service.clone(), [kind.clone()].into())].into(),
        };
        (name, spec)
    });
    Configuration {
        targets: targets.collect(),
        services: [(service, spec)].into(),
        teams: [("mill-east".parse().expect("a name"), TeamSpec::default())].into(),
        ..Configuration::default()
    }
}

/// The time of one call that writes a line, and of one that is left out.
fn log_cost() {
    let (log, guard) = EventLog::start(std::io::sink(), LogLevel::Info);
    let record = |count: u32| {
        let start = Instant::now();
        for _ in 0..count {
            log.record(
                LogEvent::TargetUnreachable,
                slog::b!("target" => "worker-1"),
            );
        }
        start.elapsed().as_nanos() / u128::from(count)
    };
    println!("{:<24} {:>12}", "log line", "ns/call");
    println!("{:<24} {:>12}", "written (first 20)", record(20));
    println!("{:<24} {:>12}", "left out", record(1_000_000));
    drop(guard);
}
