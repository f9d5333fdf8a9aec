//! The platform's log during outages and with lost answers.

use std::time::Duration;

use filbertpitch_types::caller::JobRequest;
use filbertpitch_types::prelude::*;
use filbertpitch_types::units::DurationText;

use crate::bare_keys::bare_submission;
use crate::support::load::assert_complete;
use crate::support::{
    EntryClient, JobDraft, LoadPlan, LoadRun, SystemPlan, TaskDraft, run_test, wait_for,
};

/// An accepted ticket is in effect everywhere within this time.
const FORCE_LIMIT: Duration = Duration::from_secs(2);

async fn run_prefixed(client: &EntryClient) -> (JobRequest, JobOutcome) {
    let prefix = client.prefix().await.unwrap();
    let job = JobDraft::new(&[TaskDraft::once(2, 20), TaskDraft::repeatable(2, 20)]);
    let job = job.owned_by(&prefix);
    let outcome = client.submit(&job).await.answer().outcome;
    (job, outcome)
}

fn team_ticket(number: u64, team: &str) -> String {
    format!("number: {number}\nauthor: test\nobjects:\n- team: {team}\n  weight: 2\n")
}

/// Guards against a dependency of ordinary work on the log, against keys that are run without a
/// claim, and against a configuration that is late after an outage.
#[test]
fn outage_stops_only_tickets_and_bare_keys() {
    run_test("log_outage", SystemPlan::default(), async |system| {
        system.set_log_outage(true).await;
        let load = LoadPlan {
            jobs: vec![JobDraft::new(&[TaskDraft::once(2, 40)])],
            callers: 4,
        };
        let load = LoadRun::start(load, &system.clients());
        let bare = JobDraft::new(&[TaskDraft::once(1, 20)]);
        let bare = bare.submitted_as(bare_submission("order-1"));
        for client in system.clients() {
            let reply = client.submit(&bare).await;
            assert!(reply.is_error(503, "log_unavailable"), "{reply:?}");
        }

        let added = system.add_entry("itahari").await;
        system.await_ready(added).await;
        let states = system.statuses().await;
        for state in &states {
            assert_eq!(state.config.ticket, Some(TicketNumber(1)), "{state:?}");
            assert_eq!(state.targets.len(), 4);
        }
        let mut jobs = Vec::new();
        for client in system.clients() {
            let (job, outcome) = run_prefixed(&client).await;
            assert_eq!(
                outcome,
                JobOutcome::Complete,
                "through {}",
                client.address()
            );
            jobs.push(job);
        }
        assert_eq!(system.evidence().await.started_tasks(&bare), 0);

        system.set_log_outage(false).await;
        let mut command = system.apply_ticket(&team_ticket(2, "mill-north"));
        assert!(command.ended().await.success(), "{}", command.output_text());
        assert_in_force(&command.output_text(), system.clients().len());
        for state in system.statuses().await {
            assert_eq!(state.config.ticket, Some(TicketNumber(2)));
        }
        let reply = wait_for("bare keys work again", async || {
            let reply = system.client(added).submit(&bare).await;
            (!reply.is_error(503, "log_unavailable")).then_some(reply)
        })
        .await;
        assert_eq!(reply.answer().outcome, JobOutcome::Complete);

        let records = load.finish().await;
        let evidence = system.evidence().await;
        evidence.assert_no_doubled_start();
        for record in &records {
            evidence.assert_truthful(&record.job, record.answer());
        }
        assert_complete(&records);
        for task in &bare.tasks {
            assert_eq!(evidence.starts_of(task).len(), 1);
        }
    });
}

/// Checks the report of `ticket apply`: accepted, and in force on `vms` VMs within the limit.
fn assert_in_force(report: &str, vms: usize) {
    let report = serde_json::from_str::<serde_json::Value>(report).expect("a report");
    assert_eq!(report["result"], "accepted", "{report}");
    let states = report["vms"].as_array().expect("a list of VMs");
    assert_eq!(states.len(), vms, "{report}");
    for vm in states {
        assert_eq!(vm["state"], "in_force", "{report}");
        let after = vm["after"].as_str().expect("a duration");
        let DurationText(after) = after.parse().unwrap();
        assert!(after <= FORCE_LIMIT, "{report}");
    }
}
