//! The command against a stand-in for an entry VM.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use filbertpitch_types::caller::{JobAnswer, JobRequest, PrefixAnswer, TaskAnswer};
use filbertpitch_types::outcome::{FailureReason, JobOutcome};
use filbertpitch_types::prelude::*;
use filbertpitch_types::status::{
    ConfigStatus, LifecycleState, PeerState, PeerStatus, QueueStatus, TargetState, TargetStatus,
    VmStatus,
};
use filbertpitch_types::trace::{SpanNumber, SpanRecord, TraceAnswer, TraceNumber};
use filbertpitch_wire::codec::BodyFormat;
use filbertpitch_wire::message::{ServerRequest, ServerResponse};
use filbertpitch_wire::runtime;
use filbertpitch_wire::server::{HttpServer, RequestHandler, ServerLimits};
use http::StatusCode;
use test_case::test_case;

/// How a stand-in responds to a job.
#[derive(Clone, Copy)]
enum JobBehaviour {
    Answer(JobOutcome),
    Invalid,
    Unreachable,
    OtherSubmission,
}

/// An entry VM that runs no tasks.
struct StandInVm {
    address: SocketAddr,
    behaviour: JobBehaviour,
    submissions: Arc<Mutex<Vec<SubmissionId>>>,
    /// The `traceparent` of the last job.
    parent: Mutex<Option<String>>,
}

impl RequestHandler for StandInVm {
    async fn handle(&self, request: ServerRequest) -> ServerResponse {
        let trace = request.path().strip_prefix("/v1/traces/");
        if let Some(trace) = trace.and_then(|text| text.parse().ok()) {
            return ServerResponse::json(StatusCode::OK, &self.trace(trace));
        }
        match request.path() {
            "/v1/prefix" => ServerResponse::json(StatusCode::OK, &self.prefix()),
            "/v1/configuration" => ServerResponse::json(StatusCode::OK, &fleet_configuration(8)),
            "/v1/status" => ServerResponse::json(StatusCode::OK, &status(self.address)),
            "/v1/jobs" => {
                *self.parent.lock().unwrap() = request.header("traceparent").map(str::to_owned);
                self.answer(request.decode(BodyFormat::Json).unwrap())
            }
            _ => ServerResponse::error(StatusCode::NOT_FOUND, "not_found", "no such path"),
        }
    }
}

impl StandInVm {
    fn prefix(&self) -> PrefixAnswer {
        let prefix = format!("dharan~{}~00000000000000aa~3", self.address);
        PrefixAnswer {
            prefix: prefix.parse().unwrap(),
        }
    }

    /// One span under the one that the client announced, if it belongs to the trace.
    fn trace(&self, trace: TraceNumber) -> TraceAnswer {
        let parent = self.parent.lock().unwrap().clone().unwrap_or_default();
        let parent = parent.strip_prefix(&format!("00-{trace}-"));
        let parent = parent.and_then(|rest| rest.strip_suffix("-01"));
        let span = parent.map(|parent| SpanRecord {
            span: SpanNumber(7),
            parent: Some(parent.parse().unwrap()),
            name: "entry".into(),
            start_us: 1_800_000_000_000_000,
            duration_us: 1_000,
            attributes: Default::default(),
        });
        TraceAnswer {
            trace,
            address: self.address,
            spans: span.into_iter().collect(),
        }
    }

    fn answer(&self, job: JobRequest) -> ServerResponse {
        self.submissions
            .lock()
            .unwrap()
            .push(job.submission.clone());
        match self.behaviour {
            JobBehaviour::Answer(outcome) => {
                let code = if outcome == JobOutcome::NotRun {
                    429
                } else {
                    200
                };
                let status = StatusCode::from_u16(code).unwrap();
                ServerResponse::json(status, &job_answer(job, outcome))
            }
            JobBehaviour::Invalid => {
                ServerResponse::error(StatusCode::BAD_REQUEST, "bad_request", "team: no such team")
            }
            JobBehaviour::Unreachable => {
                ServerResponse::error(StatusCode::GATEWAY_TIMEOUT, "unreachable", "owner")
            }
            JobBehaviour::OtherSubmission => {
                let mut answer = job_answer(job, JobOutcome::Complete);
                answer.submission = "other@1".parse().unwrap();
                ServerResponse::json(StatusCode::OK, &answer)
            }
        }
    }
}

fn job_answer(job: JobRequest, outcome: JobOutcome) -> JobAnswer {
    let task_outcome = match outcome {
        JobOutcome::Complete => TaskOutcome::Done {
            output: "in stock\u{1b}[2J".into(),
        },
        JobOutcome::NotRun => TaskOutcome::NotRun {
            reason: NotRunReason::QueueFull,
        },
        JobOutcome::Unknown => TaskOutcome::Unknown {
            reason: UnknownReason::TargetUnreachable,
        },
        JobOutcome::Failed => TaskOutcome::Failed {
            reason: FailureReason::TargetError("no sheet".into()),
        },
    };
    let tasks = (0..job.tasks.len()).map(|task| TaskAnswer {
        task: TaskIndex(task as u16),
        outcome: task_outcome.clone(),
        attempts: 1,
        target: Some("worker-1".parse().unwrap()),
        run_time: Duration::from_millis(50),
    });
    JobAnswer {
        submission: job.submission,
        outcome,
        tasks: tasks.collect(),
        not_run: (outcome == JobOutcome::NotRun).then_some(NotRunReason::QueueFull),
        unknown: None,
        retry_after: None,
        prefix: None,
    }
}

/// The example configuration with another version.
fn fleet_configuration(version: u64) -> serde_json::Value {
    let text = std::fs::read(example("configurations/glacis.json")).unwrap();
    let mut value: serde_json::Value = serde_json::from_slice(&text).unwrap();
    value["version"] = version.into();
    value
}

fn status(address: SocketAddr) -> VmStatus {
    VmStatus {
        incarnation: IncarnationId(0xaa),
        address,
        zone: "dharan".parse().unwrap(),
        state: LifecycleState::Ready,
        config: ConfigStatus {
            ticket: Some(TicketNumber(7)),
            next: LogOffset(12),
            log_age: Some(Duration::from_millis(250)),
        },
        peers: vec![PeerStatus {
            address,
            incarnation: None,
            zone: None,
            state: PeerState::Silent,
            heartbeat_age: None,
        }],
        targets: vec![TargetStatus {
            target: "worker-1".parse().unwrap(),
            state: TargetState::Ejected,
            reason: Some("9 of 10 attempts failed".into()),
            running: 2,
            share: 3,
        }],
        queues: vec![QueueStatus {
            team: "koshi-mill".parse().unwrap(),
            depth: 5,
            work: Duration::from_secs(2),
        }],
        counters: [("tasks_done".into(), 4)].into(),
    }
}

/// The address and the submissions of a stand-in that runs until the test process ends.
fn start(behaviour: JobBehaviour) -> (String, Arc<Mutex<Vec<SubmissionId>>>) {
    let submissions = Arc::<Mutex<Vec<SubmissionId>>>::default();
    let (sender, receiver) = mpsc::channel();
    let shared = submissions.clone();
    thread::spawn(move || {
        runtime::run(async move {
            let any = "127.0.0.1:0".parse().unwrap();
            let server = HttpServer::bind(any, ServerLimits::default()).unwrap();
            let address = server.local_addr().unwrap();
            sender.send(address).unwrap();
            server
                .run(StandInVm {
                    address,
                    behaviour,
                    submissions: shared,
                    parent: Mutex::default(),
                })
                .await;
        })
    });
    (receiver.recv().unwrap().to_string(), submissions)
}

/// An address on which nothing listens.
fn nobody() -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

fn filbertpitch(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_filbertpitch"));
    command.args(arguments).output().unwrap()
}

fn submit(arguments: &[&str]) -> Output {
    let file = example("jobs/stock-check.yaml");
    filbertpitch(&[&["submit", file.to_str().unwrap()], arguments].concat())
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

/// Guards against exit codes that scripts cannot rely on.
#[test_case(JobBehaviour::Answer(JobOutcome::Complete), 0; "complete")]
#[test_case(JobBehaviour::Answer(JobOutcome::Failed), 1; "failed")]
#[test_case(JobBehaviour::Answer(JobOutcome::NotRun), 4; "not run")]
#[test_case(JobBehaviour::Answer(JobOutcome::Unknown), 5; "unknown")]
#[test_case(JobBehaviour::Invalid, 2; "bad request")]
#[test_case(JobBehaviour::Unreachable, 3; "owner unreachable")]
#[test_case(JobBehaviour::OtherSubmission, 1; "response to another submission")]
fn submit_exit_code(behaviour: JobBehaviour, code: i32) {
    let (address, _) = start(behaviour);
    for output_form in [&["--json"][..], &[]] {
        let output = submit(&[&["--via", &address], output_form].concat());
        assert_eq!(output.status.code(), Some(code), "{output:?}");
        assert!(text(&output.stderr).contains("submission: dharan~"));
    }
}

/// Guards against a table without the times, and against outputs that control the terminal.
#[test]
fn submit_prints_a_table_or_json() {
    let (address, _) = start(JobBehaviour::Answer(JobOutcome::Complete));
    let table = text(&submit(&["--via", &address, "--key", "order-1"]).stdout);
    for word in [
        "~order-1",
        "complete",
        "response time",
        "worker-1",
        "50ms",
        "in stock",
    ] {
        assert!(table.contains(word), "{word} is missing: {table}");
    }
    assert!(!table.contains('\u{1b}'));
    let json = submit(&["--via", &address, "--json"]).stdout;
    let answer: JobAnswer = serde_json::from_slice(&json).unwrap();
    assert_eq!(answer.tasks.len(), 2);
}

/// Guards against a second identifier on a retry, which could start the tasks twice.
#[test]
fn submit_retries_with_the_same_submission() {
    let (first, seen_first) = start(JobBehaviour::Unreachable);
    let (second, seen_second) = start(JobBehaviour::Answer(JobOutcome::Complete));
    let down = nobody();
    let output = submit(&["--via", &down, "--via", &first, "--via", &second]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let (seen_first, seen_second) = (seen_first.lock().unwrap(), seen_second.lock().unwrap());
    assert_eq!(seen_first.len(), 1);
    assert_eq!(*seen_first, *seen_second);
    let submission = seen_first[0].to_string();
    drop((seen_first, seen_second));
    let output = submit(&["--via", &second, "--submission", &submission]);
    assert!(text(&output.stdout).contains(&submission));
}

/// Guards against a missing column, and against a state that scripts cannot parse.
#[test]
fn status_prints_tables_or_json() {
    let (address, _) = start(JobBehaviour::Invalid);
    let table = text(&filbertpitch(&["status", "--via", &address]).stdout);
    for word in [
        "00000000000000aa",
        "dharan",
        "ready",
        "7",
        "12",
        "250ms",
        "silent",
        "worker-1",
        "ejected",
        "9 of 10 attempts failed",
        "koshi-mill",
        "tasks_done",
    ] {
        assert!(table.contains(word), "{word} is missing: {table}");
    }
    let json = filbertpitch(&["status", "--via", &address, "--json"]).stdout;
    let parsed: VmStatus = serde_json::from_slice(&json).unwrap();
    assert_eq!(parsed, status(address.parse().unwrap()));
}

/// Guards against wrong codes for wrong arguments, and against commands without help.
#[test_case(&[], 2; "no command")]
#[test_case(&["sing"], 2; "unknown command")]
#[test_case(&["submit", "/nonexistent", "--via", "127.0.0.1:1"], 2; "no job file")]
#[test_case(&["submit", "Cargo.toml", "--via", "127.0.0.1:1"], 2; "not a job file")]
#[test_case(&["status", "--via", "nowhere"], 2; "invalid address")]
#[test_case(&["check", "--settings", "/nonexistent"], 2; "no settings file")]
#[test_case(&["check"], 2; "check without a file")]
#[test_case(&["check", "/nonexistent"], 2; "no configuration file")]
#[test_case(&["check", "Cargo.toml", "--settings", "Cargo.toml"], 2; "two files to check")]
#[test_case(&["check", "Cargo.toml", "--fleet"], 2; "check of a configuration with fleet")]
#[test_case(&["check", "--settings", "Cargo.toml", "--strict"], 2; "check of settings with strict")]
#[test_case(&["check", "Cargo.toml", "--against", "8"], 2; "version without a VM")]
#[test_case(&["check", "Cargo.toml", "--against", "a.json", "--vm", "127.0.0.1:1"], 2; "file with a VM")]
#[test_case(&["serve", "--settings", "/nonexistent"], 2; "serve without settings")]
#[test_case(&["--help"], 0; "help")]
#[test_case(&["serve", "--help"], 0; "help of serve")]
#[test_case(&["check", "--help"], 0; "help of check")]
#[test_case(&["ticket", "--help"], 0; "help of ticket")]
#[test_case(&["ticket", "apply", "--help"], 0; "help of ticket apply")]
#[test_case(&["ticket", "list", "--help"], 0; "help of ticket list")]
#[test_case(&["ticket", "show", "--help"], 0; "help of ticket show")]
#[test_case(&["submit", "--help"], 0; "help of submit")]
#[test_case(&["status", "--help"], 0; "help of status")]
#[test_case(&["trace", "--help"], 0; "help of trace")]
#[test_case(&["trace", "0af7", "--via", "127.0.0.1:1"], 2; "short trace id")]
#[test_case(&["trace", "0af7651916cd43dd8448eb211c80319c"], 2; "trace without a VM")]
#[test_case(&["trace", "0af7651916cd43dd8448eb211c80319c", "--via", "127.0.0.1:1,"], 2; "invalid list")]
fn usage_exit_code(arguments: &[&str], code: i32) {
    let output = filbertpitch(arguments);
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    let printed = if code == 0 {
        output.stdout
    } else {
        output.stderr
    };
    assert!(!printed.is_empty());
}

/// The values of `field` in the objects of the example tickets.
fn ticket_values(field: &str) -> Vec<serde_norway::Value> {
    let tickets = std::fs::read_dir(example("tickets")).unwrap();
    let tickets = tickets.map(|entry| std::fs::read_to_string(entry.unwrap().path()).unwrap());
    let tickets = tickets.map(|text| serde_norway::from_str::<serde_norway::Value>(&text).unwrap());
    let objects = tickets.flat_map(|ticket| ticket["objects"].as_sequence().unwrap().clone());
    objects
        .filter_map(|object| object.get(field).cloned())
        .collect()
}

/// Guards against example jobs that the command refuses, or that name what the example tickets do
/// not declare.
#[test]
fn example_jobs_are_submitted() {
    let (address, submissions) = start(JobBehaviour::Answer(JobOutcome::Complete));
    let (teams, services) = (ticket_values("team"), ticket_values("service"));
    let kinds = ticket_values("kinds");
    let mut count = 0;
    for entry in std::fs::read_dir(example("jobs")).unwrap() {
        let file = entry.unwrap().path();
        let output = filbertpitch(&["submit", file.to_str().unwrap(), "--via", &address]);
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        let job = std::fs::read_to_string(&file).unwrap();
        let job = serde_norway::from_str::<serde_norway::Value>(&job).unwrap();
        assert!(teams.contains(&job["team"]), "{file:?}");
        let service = services.iter().position(|name| *name == job["service"]);
        let kinds = &kinds[service.unwrap_or_else(|| panic!("{file:?}: no such service"))];
        for task in job["tasks"].as_sequence().unwrap() {
            assert!(kinds.get(&task["kind"]).is_some(), "{file:?}: {task:?}");
        }
        count += 1;
    }
    assert_eq!(submissions.lock().unwrap().len(), count);
    assert!(count > 0, "there are no examples");
}

/// Guards against messages about wrong values that do not say what is expected.
#[test]
fn messages_name_the_expected_form() {
    let output = filbertpitch(&["status", "--via", "localhost:7400"]);
    assert!(text(&output.stderr).contains("expected IP:PORT; host names are not resolved"));
    let job = std::fs::read_to_string(example("jobs/stock-check.yaml")).unwrap();
    let file = std::env::temp_dir().join(format!("filbertpitch-job-{}.yaml", std::process::id()));
    std::fs::write(&file, job.replacen("declared: 50ms", "declared: 50", 1)).unwrap();
    let output = filbertpitch(&["submit", file.to_str().unwrap(), "--via", "127.0.0.1:1"]);
    std::fs::remove_file(&file).unwrap();
    let message = text(&output.stderr);
    assert!(
        message.contains("job: tasks[0].declared: `50` is not a valid duration"),
        "{message}"
    );
}

/// Guards against reporting an unreachable VM as a failure of the job.
#[test]
fn unreachable_vm_has_its_own_exit_code() {
    let down = nobody();
    assert_eq!(submit(&["--via", &down]).status.code(), Some(3));
    assert_eq!(
        filbertpitch(&["status", "--via", &down]).status.code(),
        Some(3)
    );
    assert_eq!(submit(&[]).status.code(), Some(2), "no VM was named");
}

/// Guards against a check whose result a script cannot use.
#[test]
fn check_reports_findings() {
    let valid = example("settings/glacis/mu-north-1.yaml");
    let output = filbertpitch(&["check", "--settings", valid.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let invalid = example("jobs/stock-check.yaml");
    let invalid = invalid.to_str().unwrap();
    let output = filbertpitch(&["check", "--settings", invalid]);
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains(&format!("{invalid}:2: team: unknown field")));
    let output = filbertpitch(&["check", "--settings", invalid, "--json"]);
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(report["valid"], false);
    assert!(report["findings"].as_array().unwrap().len() > 4);
}

/// Guards against a report that a script cannot use, warnings that fail a publication without
/// `--strict`, and a comparison whose failure hides the other findings.
#[test]
fn check_of_a_configuration_reports_findings_and_differences() {
    let (vm, _) = start(JobBehaviour::Invalid);
    let down = nobody();
    let file = |version: u64, priority: u8| {
        let name = format!(
            "filbertpitch-{}-{version}-{priority}.json",
            std::process::id()
        );
        let mut value = fleet_configuration(version);
        value["routes"][1]["priority"] = priority.into();
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, value.to_string()).unwrap();
        path.to_str().unwrap().to_owned()
    };
    let (in_force, changed, warned) = (file(8, 1), file(9, 2), file(9, 7));
    let run = |arguments: &[&str]| {
        let output = filbertpitch(&[&["check", "--json"], arguments].concat());
        let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
        (output.status.code(), report)
    };
    let targets = example("configurations/glacis-targets.json");
    let targets = targets.to_str().unwrap();
    let (code, report) = run(&[&in_force, "--strict", "--targets", targets]);
    assert_eq!(
        (code, &report["findings"]),
        (Some(0), &serde_json::json!([])),
        "example"
    );
    let field = serde_json::json!({ "field": "priority", "from": "1", "to": "2" });
    for base in [
        &["--against", &in_force][..],
        &["--against", "8", "--vm", &vm],
    ] {
        let (code, report) = run(&[&[&*changed], base].concat());
        assert_eq!(code, Some(0), "{report}");
        assert_eq!(report["against"]["version"], 8);
        assert_eq!(report["differences"][0]["name"], "middle");
        assert_eq!(
            report["differences"][0]["fields"],
            serde_json::json!([field])
        );
    }
    let (code, report) = run(&["Cargo.toml", "--against", "7", "--vm", &vm]);
    assert_eq!(
        (code, &report["version"]),
        (Some(2), &serde_json::Value::Null)
    );
    let kinds = report["findings"].as_array().unwrap().iter();
    let kinds = kinds.map(|found| found["kind"].as_str().unwrap());
    assert_eq!(
        kinds.collect::<Vec<_>>(),
        ["invalid", "other_version_in_force"]
    );
    assert_eq!(run(&[&warned]).0, Some(0));
    let (code, report) = run(&[&warned, "--strict"]);
    assert_eq!((code, &report["valid"]), (Some(2), &false.into()));
    assert_eq!(report["findings"][0]["kind"], "priority_without_weight");
    let (code, report) = run(&[&in_force, "--against", "8", "--vm", &vm]);
    assert_eq!(code, Some(2));
    assert_eq!(report["findings"][0]["kind"], "version_not_newer");
    let (code, report) = run(&[&changed, "--against", "7", "--vm", &vm]);
    assert_eq!((code, &report["against"]["version"]), (Some(2), &8.into()));
    assert_eq!(report["findings"][0]["kind"], "other_version_in_force");
    let (code, report) = run(&[&warned, "--against", "8", "--vm", &down]);
    assert_eq!(code, Some(3));
    assert_eq!(report["findings"].as_array().unwrap().len(), 1);
    assert!(report["against_error"].as_str().unwrap().contains(&down));
    let table = filbertpitch(&["check", &changed, "--against", &in_force]);
    assert!(text(&table.stdout).contains("changed  routes  middle  priority  1     2"));
    let error = filbertpitch(&["check", &in_force, "--against", &changed]);
    assert!(text(&error.stderr).contains("error: version: running VMs ignore version 8"));
    for path in [in_force, changed, warned] {
        std::fs::remove_file(path).unwrap();
    }
}

/// Guards against a trace that the client announces and cannot show, and against a response whose
/// fields move when it is traced.
#[test]
fn submit_shows_its_trace() {
    let (address, _) = start(JobBehaviour::Answer(JobOutcome::Complete));
    let output = submit(&["--via", &address, "--trace"]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let (table, errors) = (text(&output.stdout), text(&output.stderr));
    let trace = errors.lines().find_map(|line| line.strip_prefix("trace: "));
    let trace = trace.unwrap();
    assert!(
        table.contains(&format!("trace {trace}: 2 spans")),
        "{table}"
    );
    let line = |name: &str| table.lines().position(|line| line.contains(name)).unwrap();
    assert!(line("  submit ") < line("    entry "), "{table}");
    let listed = filbertpitch(&["trace", trace, "--via", &format!("{address},{address}")]);
    assert_eq!(listed.status.code(), Some(0), "{listed:?}");
    assert!(text(&listed.stdout).contains("1 spans"), "{listed:?}");
    let json = submit(&["--via", &address, "--trace", "--json"]).stdout;
    let value: serde_json::Value = serde_json::from_slice(&json).unwrap();
    assert_eq!(value["trace"]["spans"][0]["process"], "client");
    assert_eq!(value["trace"]["spans"][1]["name"], "entry");
    let answer: JobAnswer = serde_json::from_slice(&json).unwrap();
    assert_eq!(answer.outcome, JobOutcome::Complete);
}

/// Guards against confusing a lost trace with an unreachable VM.
#[test]
fn trace_exit_code() {
    let (address, _) = start(JobBehaviour::Invalid);
    let trace = "0af7651916cd43dd8448eb211c80319c";
    let run = |via: &str| filbertpitch(&["trace", trace, "--via", via]).status.code();
    let down = nobody();
    assert_eq!(run(&down), Some(3));
    assert_eq!(run(&address), Some(1), "no VM keeps the trace");
    assert_eq!(run(&format!("{down},{address}")), Some(1));
}
