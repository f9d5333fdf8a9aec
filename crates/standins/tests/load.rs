//! Guards the load generator: a fault that it does not detect would pass as a good result.

use std::cell::Cell;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use argh::FromArgs;
use filbertpitch_standins::declare::TargetGroup;
use filbertpitch_standins::http::target_pool::TargetServers;
use filbertpitch_standins::load::fairness::{fair_shares, jain_index};
use filbertpitch_standins::load::measure::recovery_time;
use filbertpitch_standins::load::record::{JobRecord, JobResult};
use filbertpitch_standins::load::report::LoadReport;
use filbertpitch_standins::load::run::run_load;
use filbertpitch_standins::load::schedule::{ArrivalSchedule, DemandStep};
use filbertpitch_standins::load::settings::RunArgs;
use filbertpitch_standins::plan::expected_output;
use filbertpitch_standins::world::{StragglerProfile, WorldName, WorldProfile};
use filbertpitch_types::caller::{JobAnswer, JobRequest, PrefixAnswer, TaskAnswer};
use filbertpitch_types::prelude::*;
use filbertpitch_types::target::StartRequest;
use filbertpitch_wire::client::{ConnectionPool, PoolLimits, RequestOptions};
use filbertpitch_wire::codec::BodyFormat;
use filbertpitch_wire::message::{ClientRequest, ServerRequest, ServerResponse};
use filbertpitch_wire::runtime;
use filbertpitch_wire::server::{HttpServer, RequestHandler, ServerLimits};
use http::{Method, StatusCode};
use test_case::test_case;

/// What the simulated entry VM does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntryFault {
    None,
    CrossedAnswer,
    PartialAnswer,
    ForeignOutput,
    StartedTwice,
    NotRunAfterStart,
    DoneWithoutStart,
}

/// An entry VM that sends every task to one target at once.
struct StubEntry {
    fault: EntryFault,
    target: ConnectionPool,
    next_job: Cell<u64>,
}

impl StubEntry {
    fn prefix() -> OwnerPrefix {
        let prefix = "a~127.0.0.1:7000~0000000000000001~0";
        prefix.parse().unwrap()
    }

    async fn start(&self, job: &JobRequest, number: u64, position: usize) {
        let start = StartRequest {
            attempt: AttemptId {
                incarnation: IncarnationId(1),
                job: JobNumber(number),
                task: TaskIndex(position as u16),
                attempt: AttemptNumber(0),
            },
            service: job.service.clone(),
            kind: job.tasks[position].kind.clone(),
            input: job.tasks[position].input.clone(),
            lease_until: WallTime(u64::MAX / 2),
            resume_from: None,
        };
        let path = "/v1/tasks".parse().unwrap();
        let request = ClientRequest::post(path, BodyFormat::Json, &start).unwrap();
        let _ = self
            .target
            .request(&request, &RequestOptions::default())
            .await;
    }

    fn next_job(&self) -> u64 {
        self.next_job.set(self.next_job.get() + 1);
        self.next_job.get()
    }

    async fn run(&self, job: &JobRequest) -> JobAnswer {
        let starts = match self.fault {
            EntryFault::StartedTwice => 2,
            EntryFault::DoneWithoutStart => 0,
            _ => 1,
        };
        for _ in 0..starts {
            let number = self.next_job();
            for position in 0..job.tasks.len() {
                self.start(job, number, position).await;
            }
        }
        self.answer(job)
    }

    fn answer(&self, job: &JobRequest) -> JobAnswer {
        let tasks = job
            .tasks
            .iter()
            .enumerate()
            .map(|(position, spec)| TaskAnswer {
                task: TaskIndex(position as u16),
                outcome: self.outcome(&spec.input),
                attempts: 1,
                target: None,
                run_time: spec.declared,
            });
        let mut answer = JobAnswer {
            submission: job.submission.clone(),
            outcome: JobOutcome::Complete,
            tasks: tasks.collect(),
            not_run: None,
            unknown: None,
            retry_after: None,
            prefix: Some(Self::prefix()),
        };
        match self.fault {
            EntryFault::CrossedAnswer => answer.submission = "other@1".parse().unwrap(),
            EntryFault::PartialAnswer => drop(answer.tasks.pop()),
            EntryFault::NotRunAfterStart => answer.outcome = JobOutcome::NotRun,
            _ => {}
        }
        answer
    }

    fn outcome(&self, input: &str) -> TaskOutcome {
        match self.fault {
            EntryFault::NotRunAfterStart => TaskOutcome::NotRun {
                reason: NotRunReason::Draining,
            },
            EntryFault::ForeignOutput => TaskOutcome::Done {
                output: expected_output("other"),
            },
            _ => TaskOutcome::Done {
                output: expected_output(input),
            },
        }
    }
}

impl RequestHandler for StubEntry {
    async fn handle(&self, request: ServerRequest) -> ServerResponse {
        if request.method == Method::GET {
            let prefix = Self::prefix();
            return ServerResponse::json(StatusCode::OK, &PrefixAnswer { prefix });
        }
        let job = request.decode::<JobRequest>(BodyFormat::Json).unwrap();
        ServerResponse::json(StatusCode::OK, &self.run(&job).await)
    }
}

/// Serves a target and an entry VM until the test process ends.
fn start_system(fault: EntryFault) -> [SocketAddr; 3] {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        runtime::run(async move {
            let world = WorldProfile::named(WorldName::Sajha);
            let group = TargetGroup {
                kinds_per_target: world.kinds.len(),
                world,
                listen: "127.0.0.1:0".parse().unwrap(),
                count: 1,
                first: 0,
                slots: 1_000,
                connections: 1_000,
            };
            let servers = TargetServers::bind(group.served()).unwrap();
            let (target, control) = (servers.addresses()[0], servers.control_addresses()[0]);
            monoio::spawn(servers.serve());
            let limits = PoolLimits {
                connections: 1_000,
                ..PoolLimits::default()
            };
            let entry = StubEntry {
                fault,
                target: ConnectionPool::new(target, limits),
                next_job: Cell::new(0),
            };
            let address = "127.0.0.1:0".parse().unwrap();
            let server = HttpServer::bind(address, ServerLimits::default()).unwrap();
            let _handle = server.stop_handle();
            let entry_address = server.local_addr().unwrap();
            sender.send([entry_address, target, control]).unwrap();
            server.run(entry).await;
        })
        .unwrap();
    });
    receiver.recv().unwrap()
}

fn measure(fault: EntryFault) -> LoadReport {
    let [entry, target, control] = start_system(fault);
    let options = format!(
        "--entry {entry} --targets {target} --control {control} --rate 100 --run-time 5ms \
         --job-tasks 2 --duration 500ms --warmup 0ms"
    );
    let options = options.split_whitespace().collect::<Vec<_>>();
    let args = RunArgs::from_args(&["load"], &options).unwrap();
    run_load(&args).unwrap()
}

/// A correct system must pass with every job measured.
#[test]
fn correct_answers_are_sound() {
    let report = measure(EntryFault::None);
    assert!(report.is_sound(), "{report}");
    assert!(report.load.jobs > 20, "{report}");
    assert_eq!(report.load.results["complete"], report.load.jobs);
    assert_eq!(report.audit.tasks, report.load.tasks);
    assert_eq!(report.messages.wasted_ratio, 0.0);
    assert!(report.ratio.p50 >= 1.0, "{report}");
}

/// Each violation of section 1.2 must be found.
#[test_case(EntryFault::CrossedAnswer, |report| report.load.results["wrong"])]
#[test_case(EntryFault::ForeignOutput, |report| report.load.results["wrong"])]
#[test_case(EntryFault::PartialAnswer, |report| report.load.results["partial"])]
#[test_case(EntryFault::StartedTwice, |report| report.audit.doubled)]
#[test_case(EntryFault::NotRunAfterStart, |report| report.audit.not_run_but_started)]
#[test_case(EntryFault::DoneWithoutStart, |report| report.audit.done_without_start)]
fn fault_is_detected(fault: EntryFault, count: fn(&LoadReport) -> u64) {
    let report = measure(fault);
    assert!(!report.is_sound(), "{report}");
    assert!(count(&report) >= report.load.jobs, "{report}");
}

/// The load must not depend on the run, and steps must change the rate.
#[test]
fn schedule_is_seeded_and_follows_the_steps() {
    let step: DemandStep = "3x@10s+10s".parse().unwrap();
    let schedule = |seed| {
        let world = WorldProfile::named(WorldName::Glacis);
        let arrivals = ArrivalSchedule::new(world, 200.0, vec![step], seed);
        let arrivals = arrivals.take_while(|arrival| arrival.at < Duration::from_secs(30));
        arrivals.collect::<Vec<_>>()
    };
    let arrivals = schedule(1);
    assert_eq!(arrivals, schedule(1));
    assert_ne!(arrivals, schedule(2));
    let during = arrivals
        .iter()
        .filter(|job| (step.start..step.end()).contains(&job.at));
    let during = during.count() as f64;
    let outside = arrivals.len() as f64 - during;
    assert!((during / 6_000.0 - 1.0).abs() < 0.1, "{during}");
    assert!((outside / 4_000.0 - 1.0).abs() < 0.1, "{outside}");
}

/// The share of stragglers is a share of the run time, not of the tasks.
#[test]
fn straggler_share_is_a_share_of_run_time() {
    let mut world = WorldProfile::named(WorldName::Sajha);
    world.stragglers = StragglerProfile {
        share: 0.1,
        factor: 100,
    };
    let arrivals = ArrivalSchedule::new(world, 1_000.0, Vec::new(), 1).take(100_000);
    let tasks = arrivals
        .flat_map(|arrival| arrival.tasks)
        .collect::<Vec<_>>();
    let work = |straggler| {
        let chosen = tasks
            .iter()
            .filter(|task| (task.run > task.declared) == straggler);
        chosen.map(|task| task.run.as_secs_f64()).sum::<f64>()
    };
    let share = work(true) / (work(true) + work(false));
    assert!((0.08..0.12).contains(&share), "{share}");
}

/// A wrong fair share would hide that a team is favoured.
#[test_case(&[1, 1, 10], 6, &[1, 1, 4]; "small demands are met")]
#[test_case(&[5, 5, 5], 6, &[2, 2, 2]; "equal demands share equally")]
#[test_case(&[1, 2, 0], 6, &[1, 2, 0]; "capacity is left")]
fn fair_shares_are_max_min(offered: &[u64], capacity: u64, expected: &[u64]) {
    let seconds = |values: &[u64]| values.iter().copied().map(Duration::from_secs).collect();
    let offered: Vec<Duration> = seconds(offered);
    let expected: Vec<Duration> = seconds(expected);
    assert_eq!(
        fair_shares(&offered, Duration::from_secs(capacity)),
        expected
    );
}

/// The index must be 1 for equality and 1 / n for a monopoly.
#[test]
fn jain_index_has_its_known_values() {
    assert_eq!(jain_index(&[3.0, 3.0, 3.0]), 1.0);
    assert_eq!(jain_index(&[4.0, 0.0, 0.0, 0.0]), 0.25);
}

/// The time to return to normal must include a backlog after the step.
#[test]
fn recovery_time_covers_the_backlog() {
    let step: DemandStep = "3x@10s+10s".parse().unwrap();
    let records = (0..3_000).map(|index| {
        let at = Duration::from_millis(index * 10);
        let delayed = at >= step.start && at < step.end() + Duration::from_millis(1_500);
        JobRecord {
            at,
            latency: Duration::from_millis(if delayed { 500 } else { 51 }),
            ideal: Duration::from_millis(50),
            measured: Duration::from_millis(50),
            work: Duration::from_millis(50),
            tasks: 1,
            team: 0,
            long: false,
            result: JobResult::Complete,
            late: false,
            submissions: 1,
        }
    });
    let records = records.collect::<Vec<_>>();
    let recovery = recovery_time(&records, step, Duration::from_secs(30), Duration::ZERO);
    assert_eq!(recovery, Some(Duration::from_millis(1_500)));
}
