//! Invalid input from callers and operators.

use bytes::Bytes;
use filbertpitch_types::prelude::*;
use futures_util::future::join_all;
use serde_json::{Value, json};

use crate::support::load::assert_complete;
use crate::support::{
    EntryClient, JobDraft, LoadPlan, LoadRun, Reply, SystemPlan, TaskDraft, TestSystem, run_test,
};
use filbertpitch_standins::children::process::TestProcess;

/// A job body and what the error must name.
struct BadJob {
    body: Vec<u8>,
    status: u16,
    named: &'static str,
}

fn valid_job(prefix: &OwnerPrefix) -> Value {
    let job = JobDraft::new(&[TaskDraft::once(2, 10)]).owned_by(prefix);
    serde_json::to_value(job).unwrap()
}

/// The valid job with one value replaced.
fn changed(prefix: &OwnerPrefix, pointer: &str, value: Value) -> Vec<u8> {
    let mut job = valid_job(prefix);
    *job.pointer_mut(pointer).expect("a field of the job") = value;
    job.to_string().into_bytes()
}

fn bad(body: Vec<u8>, named: &'static str) -> BadJob {
    BadJob {
        body,
        status: 400,
        named,
    }
}

fn bad_fields(prefix: &OwnerPrefix) -> Vec<BadJob> {
    let declared = "/tasks/1/declared";
    let long_name = "x".repeat(65);
    let values = [
        ("/submission", json!("no-prefix-and-no-time"), "submission"),
        ("/submission", json!("a~b~c~d~key"), "submission"),
        ("/submission", json!("key@never"), "submission"),
        ("/team", json!(""), "team"),
        ("/team", json!("mill east"), "team"),
        ("/team", json!(long_name), "team"),
        ("/service", json!(7), "service"),
        ("/deadline", json!("0s"), "deadline"),
        ("/deadline", json!("-1s"), "deadline"),
        ("/deadline", json!("99999999999999999999h"), "deadline"),
        ("/deadline", json!("100000h"), "deadline"),
        ("/deadline", json!(null), "deadline"),
        ("/tasks", json!([]), "tasks"),
        ("/tasks", json!({}), "tasks"),
        ("/tasks/1/kind", json!("\u{0}"), "tasks[1].kind"),
        (declared, json!("0ms"), "tasks[1].declared"),
        (declared, json!("-5ms"), "tasks[1].declared"),
        (declared, json!("1e400s"), "tasks[1].declared"),
        (
            declared,
            json!("99999999999999999999h"),
            "tasks[1].declared",
        ),
        (declared, json!("48h"), "tasks[1].declared"),
        (declared, json!(50), "tasks[1].declared"),
        ("/tasks/1/repeatable", json!("yes"), "tasks[1].repeatable"),
        ("/tasks/1/input", json!(["a"]), "tasks[1].input"),
    ];
    let values = values.into_iter();
    values
        .map(|(pointer, value, named)| bad(changed(prefix, pointer, value), named))
        .collect()
}

fn bad_bodies(prefix: &OwnerPrefix) -> Vec<BadJob> {
    let text = valid_job(prefix).to_string();
    let not_utf8 = |field: &str| {
        let marker = format!("\"{field}\":\"");
        let at = text.find(&marker).expect("a text field") + marker.len();
        let mut body = text.clone().into_bytes();
        body.insert(at, 0xff);
        body
    };
    let mut many = valid_job(prefix);
    let task = many["tasks"][0].clone();
    many["tasks"] = Value::Array(vec![task; 1025]);
    let unknown = text.replacen('{', "{\"colour\":1,", 1);
    let unknown_in_task = text.replacen("\"tasks\":[{", "\"tasks\":[{\"colour\":1,", 1);
    let twice = text.replacen('{', "{\"team\":\"mill-east\",", 1);
    let deep = format!("{{\"submission\":{}", "[".repeat(100_000));
    let mut bodies = vec![
        bad(Vec::new(), "line 1"),
        bad(b"null".to_vec(), "invalid type"),
        bad(b"\xff\xfe{}".to_vec(), "line 1"),
        bad(text.as_bytes()[..text.len() / 2].to_vec(), "line 1"),
        bad(format!("{text}{text}").into_bytes(), "after the message"),
        bad(deep.into_bytes(), "submission"),
        bad(not_utf8("input"), "tasks[0].input"),
        bad(not_utf8("team"), "team"),
        bad(unknown.into_bytes(), "colour"),
        bad(unknown_in_task.into_bytes(), "colour"),
        bad(twice.into_bytes(), "team"),
        bad(many.to_string().into_bytes(), "tasks"),
        bad(b"{}".to_vec(), "submission"),
    ];
    bodies.push(BadJob {
        body: vec![b' '; 5 << 20],
        status: 413,
        named: "limit",
    });
    bodies
}

async fn assert_refused(client: &EntryClient, bad: BadJob) {
    let excerpt = String::from_utf8_lossy(&bad.body[..bad.body.len().min(300)]).into_owned();
    match client.submit_bytes(Bytes::from(bad.body)).await {
        Reply::Other(status, error) => {
            assert_eq!(status.as_u16(), bad.status, "{error:?} for {excerpt}");
            let named = error.message.contains(bad.named);
            assert!(named, "{error:?} does not name {} in {excerpt}", bad.named);
        }
        other => panic!("{other:?} for {excerpt}"),
    }
}

/// Names that do not exist are refused by the owner, as "not run" with the reason.
async fn assert_unknown_names(client: &EntryClient, prefix: &OwnerPrefix) {
    let cases = [
        ("/team", "no-such-team", NotRunReason::UnknownTeam),
        ("/service", "no-such-service", NotRunReason::UnknownService),
        (
            "/tasks/0/kind",
            "no-such-kind",
            NotRunReason::NoCapableTarget,
        ),
    ];
    for (pointer, name, reason) in cases {
        let body = changed(prefix, pointer, json!(name));
        let reply = client.submit_bytes(Bytes::from(body)).await;
        assert!(matches!(&reply, Reply::Job(status, _) if status.as_u16() == 429));
        let answer = reply.answer();
        assert_eq!(answer.not_run, Some(reason), "{answer:?}");
    }
}

/// A submission that was used for one job must not start another one.
async fn assert_conflict(client: &EntryClient, prefix: &OwnerPrefix, system: &TestSystem) {
    let first = JobDraft::new(&[TaskDraft::once(1, 300)]).owned_by(prefix);
    let mut second =
        JobDraft::new(&[TaskDraft::once(2, 10)]).submitted_as(first.submission.clone());
    for task in &mut second.tasks {
        task.input = format!("{}-other", task.input.replace('#', "-")).into();
    }
    let running = {
        let (client, first) = (client.clone(), first.clone());
        monoio::spawn(async move { client.submit(&first).await })
    };
    crate::support::wait_for("the first job runs", async || {
        let started = system.evidence().await.started_tasks(&first);
        (started == 1).then_some(())
    })
    .await;
    let during = client.submit(&second).await;
    assert!(during.is_error(409, "conflict"), "{during:?}");
    assert_eq!(running.await.answer().outcome, JobOutcome::Complete);
    let after = client.submit(&second).await;
    assert!(after.is_error(409, "conflict"), "{after:?}");
    assert_eq!(system.evidence().await.started_tasks(&second), 0);
}

/// Text that is not HTTP, or too much of it. The connection may be closed; the VM must go on.
async fn send_garbage(client: &EntryClient) {
    let long_path = format!("GET /{} HTTP/1.1\r\nhost: a\r\n\r\n", "x".repeat(64 << 10));
    let two_lengths = "POST /v1/jobs HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\
                       content-length: 6\r\n\r\nabcdef";
    let cases = [
        ("\u{0}\u{1}\u{2} nonsense\r\n\r\n", "400"),
        ("GET / HTTP/9.9\r\n\r\n", "400"),
        (
            "POST /v1/jobs HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n",
            "400",
        ),
        (two_lengths, "400"),
        (&long_path, "431"),
    ];
    for (text, status) in cases {
        let response = client.raw_exchange(text.as_bytes()).await;
        let head = response.lines().next().unwrap_or_default();
        let excerpt = &text[..text.len().min(80)];
        assert!(head.contains(status), "{head:?} for {excerpt:?}");
    }
}

/// Guards against invalid requests that are accepted, that are refused without saying why, or
/// that harm the work of others.
#[test]
fn invalid_jobs_are_refused_and_harm_nobody() {
    run_test("bad_jobs", SystemPlan::default(), async |system| {
        let client = system.client(0);
        let prefix = client.prefix().await.unwrap();
        let load = LoadPlan {
            jobs: vec![JobDraft::new(&[TaskDraft::once(2, 40)])],
            callers: 6,
        };
        let load = LoadRun::start(load, &system.clients());
        for round in 0..3 {
            let bad_jobs = bad_fields(&prefix).into_iter().chain(bad_bodies(&prefix));
            let checks = bad_jobs.map(|bad| assert_refused(&client, bad));
            join_all(checks).await;
            assert_unknown_names(&client, &prefix).await;
            // Through a VM that is not the owner as well.
            assert_unknown_names(&system.client(1 + round % 2), &prefix).await;
            send_garbage(&client).await;
        }
        assert_conflict(&client, &prefix, system).await;
        let lookup = client.look_up_text("nonsense").await;
        assert!(lookup.is_error(400, "bad_request"), "{lookup:?}");
        let records = load.finish().await;
        let evidence = system.evidence().await;
        evidence.assert_no_doubled_start();
        for record in &records {
            evidence.assert_truthful(&record.job, record.answer());
            assert_eq!(record.replies.len(), 1, "{record:?}");
        }
        assert!(records.len() > 20);
        assert_complete(&records);
    });
}

/// Ticket texts and what the error must name.
const BAD_TICKETS: &[(&[u8], &str)] = &[
    (b"", "line 1"),
    (b"number: [", "line 2"),
    (b"number: 5\nauthor: a\nobjects: \xff\xfe\n", "UTF-8"),
    (b"number: -5\nauthor: a\nobjects:\n- team: x\n", "line 1"),
    (b"number: 99999999999999999999999\nauthor: a\nobjects:\n- team: x\n", "line 1"),
    (b"number: 5\nauthor: a\ncolour: red\nobjects:\n- team: x\n", "line 3"),
    (b"number: 5\nauthor: a\nobjects: []\n", "line 3"),
    (b"number: 5\nauthor: a\nobjects:\n- team: x\n- team: x\n", "line 5"),
    (b"number: 5\nauthor: a\nobjects:\n- team: x\n  weight: 0\n", "line 5"),
    (b"number: 5\nauthor: a\nobjects:\n- team: x\n  weight: -1\n", "line 5"),
    (b"number: 5\nauthor: a\nobjects:\n- team: x y\n", "line 4"),
    (b"number: 5\nauthor: a\nobjects:\n- service: s\n  kinds: {k: {typical: 0ms}}\n", "line 5"),
    (b"number: 5\nauthor: a\nobjects:\n- service: s\n  kinds: {k: {typical: -1s}}\n", "line 5"),
    (
        b"number: 5\nauthor: a\nobjects:\n- service: s\n  kinds: {k: {typical: 99999999999999h}}\n",
        "line 5",
    ),
    (b"number: 5\nauthor: a\nobjects:\n- limits: global\n  job_deadline: 0s\n", "line 5"),
    (b"number: 5\nauthor: a\nobjects:\n- limits: global\n  job_tasks: 0\n", "line 5"),
    (
        b"number: 5\nauthor: a\nobjects:\n- target: t\n  zone: z\n  address: nowhere\n  takes: {}\n",
        "line 6",
    ),
];

/// Settings texts and what the error must name; each also lacks nothing else.
const BAD_SETTINGS: &[(&[u8], &str)] = &[
    (b"heartbeat: {interval: 0ms}\n", ":4: heartbeat.interval"),
    (b"heartbeat: {interval: -1s}\n", ":4: heartbeat.interval"),
    (b"heartbeat: {interval: 5s}\n", ":4: heartbeat.interval"),
    (
        b"heartbeat: {interval: 99999999999999999h}\n",
        ":4: heartbeat.interval",
    ),
    (b"leases: {duration: 0s}\n", ":4: leases.duration"),
    (b"colour: red\n", ":4: colour"),
    (b"listen: \"127.0.0.1:2\"\n", "listen"),
    (b"server: {body_limit: -4}\n", ":4: server.body_limit"),
    (b"server: {connections: 0}\n", ":4: server.connections"),
    (b"seed_peers: [nowhere]\n", ":4: seed_peers[0]"),
    (b"lifecycle: \xff\n", "UTF-8"),
    (b"lifecycle: [\n", ":5"),
];

/// What is wrong with the refusal of an invalid file: it must end with the code for invalid input
/// and say where the fault is.
async fn refusal_fault(mut command: TestProcess, text: &[u8], named: &str) -> Option<String> {
    let status = command.ended().await;
    let output = command.output_text();
    let text = String::from_utf8_lossy(text);
    let refused = status.code() == Some(2) && output.contains(named);
    (!refused).then(|| format!("{status}: {output}does not name {named:?} in {text:?}"))
}

/// Guards against tickets that reach the log although they are invalid, and against errors that
/// do not lead the operator to the line.
#[test]
fn invalid_tickets_are_refused_with_their_line() {
    let plan = SystemPlan {
        entries: vec!["biratnagar"],
        targets: 2,
        ..SystemPlan::default()
    };
    run_test("bad_tickets", plan, async |system| {
        let load = LoadPlan {
            jobs: vec![JobDraft::new(&[TaskDraft::once(2, 40)])],
            callers: 2,
        };
        let load = LoadRun::start(load, &system.clients());
        let before = system.statuses().await[0].config.next;
        let mut faults = Vec::new();
        for (text, named) in BAD_TICKETS {
            let command = system.apply_ticket_bytes(text);
            faults.extend(refusal_fault(command, text, named).await);
        }
        assert!(faults.is_empty(), "{}", faults.join("\n"));
        assert_eq!(system.statuses().await[0].config.next, before);
        let records = load.finish().await;
        assert_complete(&records);
        system.evidence().await.assert_no_doubled_start();
    });
}

/// Guards against a VM that starts with settings other than those in its file.
#[test]
fn invalid_settings_are_refused_with_their_line() {
    let plan = SystemPlan {
        entries: vec!["biratnagar"],
        targets: 1,
        ..SystemPlan::default()
    };
    run_test("bad_settings", plan, async |system| {
        let valid = "listen: \"127.0.0.1:1\"\navailability_zone: z\n\
                     platform: {log: \"127.0.0.1:1\", vm_list: \"127.0.0.1:1\"}\n";
        let mut faults = Vec::new();
        for (text, named) in BAD_SETTINGS {
            let file = system.write_file("bad.yaml", &[valid.as_bytes(), text].concat());
            for action in ["check", "serve"] {
                let command = system.command(&[action, "--settings", &file]);
                faults.extend(refusal_fault(command, text, named).await);
            }
        }
        assert!(faults.is_empty(), "{}", faults.join("\n"));
        system.evidence().await.assert_no_doubled_start();
    });
}
