//! Two entry VMs with stand-ins for platform and target: what they log, measure and trace.

mod fleet;
mod watch;

use std::collections::HashSet;
use std::time::Duration;

use filbertpitch::metrics::MetricName;
use filbertpitch::traces::{PlacedSpan, SpanTree, TraceParent};
use filbertpitch_types::caller::{JobAnswer, JobRequest, PrefixAnswer, TaskSpec};
use filbertpitch_types::outcome::JobOutcome;
use filbertpitch_types::prelude::*;
use filbertpitch_types::status::{LifecycleState, TargetState, VmStatus};
use filbertpitch_types::trace::{TraceAnswer, TraceNumber};
use filbertpitch_wire::message::ClientResponse;
use filbertpitch_wire::runtime;
use http::StatusCode;

use fleet::{Fleet, RunningVm, eventually};

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";

fn job(submission: SubmissionId) -> JobRequest {
    let task = TaskSpec {
        kind: "stock-check".parse().unwrap(),
        declared: Duration::from_millis(50),
        repeatable: true,
        input: "sheet".into(),
    };
    JobRequest {
        submission,
        team: "mill-east".parse().unwrap(),
        service: "order-desk".parse().unwrap(),
        deadline: Duration::from_secs(10),
        tasks: vec![task],
    }
}

async fn submission(vm: &RunningVm, key: &str) -> SubmissionId {
    let answer: PrefixAnswer = vm.get("/v1/prefix").await;
    format!("{}~{key}", answer.prefix).parse().unwrap()
}

async fn submit(vm: &RunningVm, job: &JobRequest, flags: Option<&str>) -> ClientResponse {
    let header = flags.map(|flags| format!("00-{TRACE}-b7ad6b7169203331-{flags}"));
    vm.post("/v1/jobs", job, header.as_deref()).await
}

fn outcome(response: &ClientResponse) -> JobOutcome {
    serde_json::from_slice::<JobAnswer>(&response.body)
        .unwrap()
        .outcome
}

async fn spans(vms: &[&RunningVm]) -> SpanTree {
    let trace = TRACE.parse::<TraceNumber>().unwrap();
    let mut placed = Vec::new();
    for vm in vms {
        let answer: TraceAnswer = vm.get(&format!("/v1/traces/{trace}")).await;
        placed.extend(answer.spans.into_iter().map(|span| PlacedSpan {
            process: answer.address.to_string().into(),
            span,
        }));
    }
    SpanTree::new(trace, placed)
}

/// Guards against hops without a span, spans that are not linked, and a target that is not told
/// the span of its attempt.
#[test]
fn forwarded_request_has_a_span_per_hop() {
    runtime::run(async {
        let fleet = Fleet::start(&[]).await;
        let [first, second] = &fleet.vms;
        let job = job(submission(second, "traced").await);
        let response = submit(first, &job, Some("01")).await;
        assert_eq!(outcome(&response), JobOutcome::Complete);
        let tree = spans(&[first, second]).await;
        let names = tree.spans.iter().map(|placed| &*placed.span.name);
        assert_eq!(
            names.collect::<Vec<_>>(),
            ["entry", "forward", "owner", "queue", "attempt", "target"]
        );
        for (position, parent) in [(1, 0), (2, 1), (3, 2), (4, 2), (5, 4)] {
            let span = &tree.spans[position].span;
            assert_eq!(
                span.parent,
                Some(tree.spans[parent].span.span),
                "{}",
                span.name
            );
        }
        let processes = tree.spans.iter().map(|placed| &*placed.process);
        assert_eq!(processes.collect::<HashSet<_>>().len(), 2);
        let seen = fleet.target_parents.borrow().clone();
        let seen = seen[0].as_deref().unwrap().parse::<TraceParent>().unwrap();
        assert_eq!(seen.trace.to_string(), TRACE);
        assert_eq!(seen.span.to_string(), tree.spans[4].span.span.to_string());
        assert!(seen.sampled);
    })
    .unwrap();
}

/// Guards against work for requests that nobody wants to trace, on either VM.
#[test]
fn unsampled_request_leaves_no_spans() {
    runtime::run(async {
        let fleet = Fleet::start(&[]).await;
        let [first, second] = &fleet.vms;
        for (vm, key, flags) in [(first, "a", Some("00")), (second, "b", None)] {
            let job = job(submission(second, key).await);
            let response = submit(vm, &job, flags).await;
            assert_eq!(outcome(&response), JobOutcome::Complete);
        }
        assert!(spans(&[first, second]).await.spans.is_empty());
        assert_eq!(*fleet.target_parents.borrow(), [None, None]);
    })
    .unwrap();
}

/// Guards against an error that does not say what is wrong.
#[test]
fn malformed_trace_id_is_refused() {
    runtime::run(async {
        let fleet = Fleet::start(&[]).await;
        let response = fleet.vms[0].request("/v1/traces/123").await;
        assert_eq!(response.status, StatusCode::BAD_REQUEST);
        let error = response.error_answer();
        assert!(error.message.contains("trace id"), "{}", error.message);
    })
    .unwrap();
}

/// Guards against metrics of the table that the loop never sends.
#[test]
fn every_metric_is_sent() {
    runtime::run(async {
        let fleet = Fleet::start(&[]).await;
        let [first, _] = &fleet.vms;
        let job = job(submission(first, "measured").await);
        assert_eq!(
            outcome(&submit(first, &job, None).await),
            JobOutcome::Complete
        );
        let mut missing = MetricName::ALL.iter().collect::<Vec<_>>();
        let mut starts = 0;
        eventually("all metrics", || {
            for line in fleet.take_metrics() {
                let (name, value) = line.split_once(':').unwrap();
                let (value, _) = value.split_once('|').unwrap();
                if name.ends_with(".starts") {
                    starts += value.parse::<u64>().unwrap();
                }
                missing.retain(|metric| !name.ends_with(&format!(".{}", metric.spec().name)));
            }
            missing.is_empty() && starts == 1
        })
        .await;
    })
    .unwrap();
}

/// Guards against events that are in the catalogue and do not happen.
#[test]
fn platform_events_are_recorded() {
    runtime::run(async {
        let fleet = Fleet::start(&[]).await;
        let [first, second] = &fleet.vms;
        first
            .await_events(&["configuration_loaded", "peer_live"])
            .await;
        fleet.append_ticket(2).await;
        first.await_events(&["ticket_applied"]).await;
        fleet.append_ticket(2).await;
        first.await_events(&["ticket_rejected"]).await;
        fleet.append("not a record").await;
        first.await_events(&["record_malformed"]).await;
        fleet.set_outage(true).await;
        first
            .await_events(&["log_unreachable", "list_unreachable"])
            .await;
        fleet.set_outage(false).await;
        first
            .await_events(&["log_reachable", "list_reachable"])
            .await;
        let stale = first.address_prefix("00000000000000aa");
        let stale = job(format!("{stale}~gone").parse().unwrap());
        assert_eq!(
            outcome(&submit(second, &stale, None).await),
            JobOutcome::Unknown
        );
        second.await_events(&["submission_refused"]).await;
    })
    .unwrap();
}

/// Guards against a target whose failure shows in no log line and no status.
#[test]
fn target_failures_are_recorded() {
    runtime::run(async {
        let fleet = Fleet::start(&["target-down"]).await;
        let [first, _] = &fleet.vms;
        let mut jobs = 0;
        eventually("an ejected target", || {
            let events = first.events();
            jobs += 1;
            let wanted = ["target_unreachable", "target_ejected", "target_probed"];
            wanted
                .iter()
                .all(|name| events.iter().any(|event| event == name))
                || {
                    let vm = first.clone();
                    monoio::spawn(async move {
                        let job = job(submission(&vm, &format!("job-{jobs}")).await);
                        submit(&vm, &job, None).await;
                    });
                    false
                }
        })
        .await;
        let status: VmStatus = first.get("/v1/status").await;
        let down = status.targets.iter();
        let down = down.filter(|target| target.target.as_str() == "target-down");
        let down = down.collect::<Vec<_>>();
        let states = [TargetState::Ejected, TargetState::Probing];
        assert!(states.contains(&down[0].state), "{down:?}");
        assert!(down[0].reason.is_some());
        let others = status
            .targets
            .iter()
            .filter(|target| target.target != down[0].target);
        assert!(
            others
                .clone()
                .all(|target| target.state == TargetState::Available)
        );
        assert!(others.into_iter().all(|target| target.reason.is_none()));
    })
    .unwrap();
}

/// Guards against a planned stop that peers and operators cannot follow.
#[test]
fn stop_is_recorded() {
    runtime::run(async {
        let mut fleet = Fleet::start(&[]).await;
        let job = job(submission(&fleet.vms[1], "kept").await);
        assert_eq!(
            outcome(&submit(&fleet.vms[1], &job, None).await),
            JobOutcome::Complete
        );
        let node = fleet.vms[1].node_status();
        assert_eq!(node.state, LifecycleState::Ready);
        fleet.stop_second().await;
        let [first, second] = &fleet.vms;
        second.await_events(&["handover_sent"]).await;
        first
            .await_events(&["handover_received", "peer_leaving"])
            .await;
    })
    .unwrap();
}
