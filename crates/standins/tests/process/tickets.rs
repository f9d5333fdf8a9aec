//! Tickets whose append answer is lost, and operators who change the same objects.

use bytes::Bytes;
use filbertpitch_standins::http::log_host::LogControl;
use filbertpitch_types::prelude::*;
use serde_json::{Value, json};
use test_case::test_case;

use crate::support::{
    EntryClient, JobDraft, Reply, SystemPlan, TaskDraft, TestSystem, run_test, wait_for,
};

/// A ticket that sets the most tasks in one job, which callers can observe.
fn limit_ticket(number: u64, job_tasks: u16) -> String {
    format!(
        "number: {number}\nauthor: test\nobjects:\n- limits: global\n  job_tasks: {job_tasks}\n"
    )
}

/// Whether a VM accepts jobs of 15 tasks. The team does not exist, so nothing is run.
async fn accepts_15_tasks(client: &EntryClient) -> bool {
    let prefix = client.prefix().await.unwrap();
    let mut job = JobDraft::new(&[TaskDraft::once(15, 10)]).owned_by(&prefix);
    job.team = "no-such-team".parse().unwrap();
    match client.submit(&job).await {
        Reply::Job(_, answer) => {
            assert_eq!(answer.not_run, Some(NotRunReason::UnknownTeam));
            true
        }
        Reply::Other(_, error) => {
            assert!(error.message.contains("tasks"), "{error:?}");
            false
        }
        other => panic!("{other:?}"),
    }
}

/// The verdicts of the tickets with this number, as `ticket list` reports them.
async fn verdicts(system: &mut TestSystem, number: u64) -> Vec<bool> {
    let log = system.log().to_string();
    let mut command = system.command(&["ticket", "list", "--json", "--log", &log]);
    assert!(command.ended().await.success(), "{}", command.output_text());
    let list = serde_json::from_str::<Value>(&command.output_text()).unwrap();
    let tickets = list.as_array().unwrap().iter();
    let tickets = tickets.filter(|ticket| ticket["ticket"] == number);
    tickets
        .map(|ticket| ticket["accepted"].as_bool().unwrap())
        .collect()
}

/// Guards against a ticket that is reported as failed although it took effect, and against one
/// that takes effect twice because its append is repeated.
#[test_case(1; "one lost answer")]
#[test_case(4; "four lost answers")]
fn lost_append_answer(lost: u32) {
    let plan = SystemPlan {
        entries: vec!["biratnagar", "itahari"],
        targets: 2,
        ..SystemPlan::default()
    };
    run_test(&format!("lost_answer_{lost}"), plan, async |system| {
        for number in 2..4 {
            system
                .control_log(LogControl {
                    lose_answers: Some(lost),
                    ..LogControl::default()
                })
                .await;
            let limit = if number == 2 { 10 } else { 20 };
            let mut command = system.apply_ticket(&limit_ticket(number, limit));
            let status = command.ended().await;
            let text = command.output_text();
            assert_eq!(status.code(), Some(0), "{text}");
            let report = serde_json::from_str::<Value>(&text).expect("one report");
            assert_eq!(report["result"], "accepted", "{text}");
            let verdicts = verdicts(system, number).await;
            let accepted = verdicts.iter().filter(|accepted| **accepted).count();
            assert_eq!(accepted, 1, "{verdicts:?}");
            for state in system.statuses().await {
                assert_eq!(state.config.ticket, Some(TicketNumber(number)));
            }
            for client in system.clients() {
                assert_eq!(accepts_15_tasks(&client).await, number == 3);
            }
        }
        system.evidence().await.assert_no_doubled_start();
    });
}

/// Guards against two winners, none, or VMs that disagree, when operators change the same object
/// under the same number.
#[test]
fn concurrent_operators_have_one_winner() {
    run_test("operators", SystemPlan::default(), async |system| {
        for number in 2..7 {
            let limits = [10, 20];
            let mut commands =
                limits.map(|limit| system.apply_ticket(&limit_ticket(number, limit)));
            let mut codes = Vec::new();
            for command in &mut commands {
                codes.push(command.ended().await.code().expect("an exit code"));
            }
            let texts = commands.each_ref().map(|command| command.output_text());
            let mut sorted = codes.clone();
            sorted.sort_unstable();
            assert_eq!(sorted, [0, 1], "{texts:?}");
            let loser = usize::from(codes[0] == 0);
            let report = serde_json::from_str::<Value>(&texts[loser]).expect("a report");
            assert_eq!(report["result"], "rejected", "{report}");
            let message = report["message"].as_str().unwrap();
            let reason = format!("limits was already changed by ticket {number}");
            assert!(message.contains(&reason), "{message}");

            let winner_limit = limits[1 - loser];
            for client in system.clients() {
                wait_for("the VM has read both tickets", async || {
                    let next = client.status().await?.config.next;
                    (next >= LogOffset(2 * number - 1)).then_some(())
                })
                .await;
                let accepts = accepts_15_tasks(&client).await;
                assert_eq!(accepts, winner_limit == 20, "{}", client.address());
            }
            let mut verdicts = verdicts(system, number).await;
            verdicts.sort_unstable();
            assert_eq!(verdicts, [false, true]);
        }
        system.evidence().await.assert_no_doubled_start();
    });
}

/// Guards against a VM that stops reading tickets at a record that is none.
#[test]
fn foreign_records_are_passed_over() {
    let plan = SystemPlan {
        entries: vec!["biratnagar"],
        targets: 2,
        ..SystemPlan::default()
    };
    run_test("foreign_records", plan, async |system| {
        let log = EntryClient::new(system.log());
        let bodies = ["", "nonsense", "{\"number\": -1}", "\u{0}\u{fffd}", "[[[["];
        for body in bodies {
            let body = Bytes::from(json!({ "body": body }).to_string());
            let path = "/v1/streams/tickets/records";
            let response = log.post_bytes(path, body).await;
            assert_eq!(response.unwrap().status, http::StatusCode::OK);
        }
        let mut command = system.apply_ticket(&limit_ticket(2, 10));
        assert!(command.ended().await.success(), "{}", command.output_text());
        let client = system.client(0);
        assert!(!accepts_15_tasks(&client).await);
        let prefix = client.prefix().await.unwrap();
        let job = JobDraft::new(&[TaskDraft::once(2, 10)]).owned_by(&prefix);
        assert_eq!(
            client.submit(&job).await.answer().outcome,
            JobOutcome::Complete
        );
        system.evidence().await.assert_no_doubled_start();
    });
}
