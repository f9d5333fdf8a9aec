//! An engine in virtual time, with simulated callers and targets.

use std::collections::VecDeque;
use std::time::Duration;

use filbertpitch_dispatch::admission::AdmissionSettings;
use filbertpitch_dispatch::engine::{
    CallerReply, DispatchEngine, EngineAction, EngineEvent, EngineSettings, FleetView,
};
use filbertpitch_dispatch::entity::TargetIndex;
use filbertpitch_dispatch::job::CallerToken;
use filbertpitch_dispatch::placement::SharePosition;
use filbertpitch_types::caller::{JobRequest, TaskSpec};
use filbertpitch_types::outcome::JobOutcome;
use filbertpitch_types::prelude::*;
use filbertpitch_types::target::{AttemptOutcome, LoadReport, StartAnswer};
use filbertpitch_types::time::ClockReading;

use crate::support::{configuration_of, kind_names, service_name, team_name, zone_name};

const THIS: IncarnationId = IncarnationId(7);
const UNBOUNDED: Duration = Duration::from_secs(1_000_000);
const RUN_TIME: Duration = Duration::from_millis(50);

/// The dimensions of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetShape {
    /// The number of targets, which have 8 slots each.
    pub targets: usize,
    /// The number of teams, which submit in turn.
    pub teams: usize,
    /// The number of tasks per job.
    pub job_tasks: usize,
}

/// An engine with its callers and targets.
pub struct TestFleet {
    shape: FleetShape,
    engine: DispatchEngine,
    now: TimePoint,
    /// The running attempts in the order of their starts. Each ends one run time after its start.
    running: VecDeque<(TargetIndex, AttemptId)>,
    submitted: u64,
    /// The number of jobs that completed.
    pub completed: u64,
}

impl TestFleet {
    /// Creates the engine of the only entry VM, with a configuration and no job. Admission accepts
    /// every job, so that the number of live tasks is the intended one.
    pub fn new(shape: FleetShape) -> Self {
        let settings = EngineSettings {
            admission: accept_all_jobs(),
            ..EngineSettings::default()
        };
        let now = TimePoint(0);
        let clock = reading(now);
        let engine = DispatchEngine::new(settings, THIS, zone_name(), clock, 1);
        let mut fleet = Self {
            shape,
            engine,
            now,
            running: VecDeque::new(),
            submitted: 0,
            completed: 0,
        };
        let configuration = configuration_of(shape.targets, shape.teams);
        fleet.feed(EngineEvent::ConfigurationChanged(configuration));
        fleet.feed(EngineEvent::FleetChanged(fleet_view(0, 1)));
        fleet
    }

    /// The engine under measurement.
    pub fn engine(&self) -> &DispatchEngine {
        &self.engine
    }

    /// Passes an event to the engine and records the attempts that it starts.
    pub fn feed(&mut self, event: EngineEvent) {
        self.engine.handle(reading(self.now), event);
        let mut ended = 0;
        for action in self.engine.take_actions() {
            match action {
                EngineAction::Start {
                    target, request, ..
                } => {
                    self.running.push_back((target, request.attempt));
                }
                EngineAction::Reply { reply, .. } => {
                    assert_complete(&reply);
                    ended += 1;
                }
                _ => {}
            }
        }
        self.completed += ended;
    }

    /// Submits a job of the next team.
    pub fn submit(&mut self) {
        let number = self.submitted;
        self.submitted += 1;
        let [kind, ..] = kind_names();
        let task = TaskSpec {
            kind,
            declared: RUN_TIME,
            repeatable: true,
            input: "0123456789abcdef0123456789abcdef".into(),
        };
        let request = JobRequest {
            submission: SubmissionId::Prefixed {
                prefix: OwnerPrefix {
                    zone: zone_name(),
                    address: ([127, 0, 0, 1], 7400).into(),
                    incarnation: THIS,
                    epoch: self.engine.current_epoch(),
                },
                key: format!("job-{number}").into(),
            },
            team: team_name((number % self.shape.teams as u64) as usize),
            service: service_name(),
            deadline: UNBOUNDED,
            tasks: vec![task; self.shape.job_tasks],
        };
        self.feed(EngineEvent::JobSubmitted {
            caller: CallerToken(number),
            request,
            traceparent: None,
        });
    }

    /// Ends the oldest attempt. Time advances so that every attempt takes its run time.
    pub fn end_oldest(&mut self) {
        let running = self.running.len().max(1) as u64;
        self.now = self.now + RUN_TIME / running as u32;
        let (target, attempt) = self.running.pop_front().expect("an attempt is running");
        let answer = StartAnswer {
            attempt,
            verdict: AttemptOutcome::Done {
                output: "0123456789abcdef".into(),
                run_time: RUN_TIME,
            },
            load: LoadReport {
                slots: 8,
                running: 4,
                boot: 1,
                ..LoadReport::default()
            },
        };
        self.feed(EngineEvent::StartAnswered { target, answer });
    }

    /// The number of running attempts.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Ends `tasks` tasks, while new submissions keep the number of live tasks at `live`.
    pub fn run(&mut self, live: usize, tasks: usize) {
        let jobs = (live / self.shape.job_tasks) as u64;
        for _ in 0..tasks {
            while self.submitted - self.completed < jobs {
                self.submit();
            }
            self.end_oldest();
        }
    }
}

/// A fleet whose entry VMs are all in one zone, seen from the VM at `position`.
pub fn fleet_view(position: u32, vms: u32) -> FleetView {
    let share = SharePosition { position, vms };
    FleetView {
        zone: share,
        fleet: share,
        live_vms: vms,
        populated: vec![zone_name()],
    }
}

fn accept_all_jobs() -> AdmissionSettings {
    AdmissionSettings {
        wait_limit: UNBOUNDED,
        ..AdmissionSettings::default()
    }
}

fn reading(now: TimePoint) -> ClockReading {
    ClockReading {
        time: now,
        wall: WallTime(1_700_000_000_000 + now.0 / 1000),
    }
}

fn assert_complete(reply: &CallerReply) {
    let CallerReply::Job(answer) = reply else {
        panic!("unexpected reply {reply:?}");
    };
    assert_eq!(answer.outcome, JobOutcome::Complete, "{answer:?}");
}
