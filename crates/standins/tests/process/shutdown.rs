//! Planned stops of entry VMs under load.

use std::time::{Duration, Instant};

use filbertpitch_types::caller::JobRequest;
use filbertpitch_types::prelude::*;
use filbertpitch_wire::client::SentState;
use http::StatusCode;
use rustix::process::Signal;
use test_case::test_case;

use crate::support::load::{LoadRecord, count_outcome};
use crate::support::{
    EntryClient, Evidence, JobDraft, LoadPlan, LoadRun, Reply, SystemPlan, TaskDraft, TestSystem,
    run_test, wait_for,
};

const SETTINGS: &str = "lifecycle: {drain_timeout: 15s}\n";
/// A stopping VM gives notice for 1 s before it drains, waits up to 3 s for work that it had to
/// stop, and up to 1 s each for peers, the log and the last connections.
const STOP_LIMIT: Duration = Duration::from_secs(15 + 1 + 3 + 3);

/// Jobs of tasks that may and that may not be repeated.
pub fn mixed_load() -> LoadPlan {
    let jobs = [
        vec![TaskDraft::repeatable(3, 60)],
        vec![TaskDraft::once(2, 120)],
        vec![TaskDraft::once(1, 400), TaskDraft::repeatable(2, 40)],
    ];
    LoadPlan {
        jobs: jobs.iter().map(|tasks| JobDraft::new(tasks)).collect(),
        callers: 9,
    }
}

/// Every submission got a truthful answer, and none was cut: a connection may only have been
/// refused, which is certain to have had no effect.
pub fn assert_answered(records: &[LoadRecord], evidence: &Evidence) {
    for record in records {
        evidence.assert_truthful(&record.job, record.answer());
        let cut = |reply: &Reply| matches!(reply, Reply::Lost(error) if error.sent == SentState::MaybeSent);
        assert!(
            !record.replies.iter().any(cut),
            "a request was cut: {record:?}"
        );
    }
    let answer = |record: &LoadRecord| record.answer().outcome;
    let decided = [JobOutcome::Complete, JobOutcome::NotRun];
    let others = records
        .iter()
        .filter(|record| !decided.contains(&answer(record)));
    let others = others.collect::<Vec<_>>();
    assert!(
        others.is_empty(),
        "neither complete nor refused: {others:?}"
    );
}

/// The outcome as `client` reports it once it knows who keeps it. Until then nothing may be
/// decided.
async fn handed_over(client: &EntryClient, record: &LoadRecord) -> Reply {
    wait_for("the outcome is handed over", async || {
        let reply = client.submit(&record.job).await;
        (!reply.is_error(504, "unreachable")).then_some(reply)
    })
    .await
}

/// `client` reports the answers that the callers got.
pub async fn assert_kept(client: &EntryClient, records: &[&LoadRecord]) {
    for record in records {
        let reply = handed_over(client, record).await;
        let given = record.replies.last().unwrap().decided();
        assert_eq!(reply.decided(), given, "at {}", client.address());
    }
}

fn owned_by<'r>(records: &'r [LoadRecord], prefix: &OwnerPrefix) -> Vec<&'r LoadRecord> {
    let owner = |record: &&LoadRecord| {
        let owner = record.job.submission.prefix();
        owner.is_some_and(|owner| owner.incarnation == prefix.incarnation)
    };
    records.iter().filter(owner).collect()
}

/// Waits until the readiness check fails while the process still responds.
async fn await_unready(client: &EntryClient) {
    wait_for("readiness fails", async || {
        let status = client.readiness().await;
        (status == Some(StatusCode::SERVICE_UNAVAILABLE)).then_some(())
    })
    .await;
}

/// Guards against requests that a planned stop cuts, and against outcomes lost with the process.
#[test_case(false; "log available")]
#[test_case(true; "log down")]
fn planned_stop_loses_nothing(log_down: bool) {
    let plan = SystemPlan {
        settings: SETTINGS,
        ..SystemPlan::default()
    };
    let name = format!("planned_stop_{log_down}");
    run_test(&name, plan, async |system| {
        system.set_log_outage(log_down).await;
        let stopping = system.client(0);
        let prefix = stopping.prefix().await.unwrap();
        let load = LoadRun::start(mixed_load(), &system.clients());
        let long = JobDraft::new(&[TaskDraft::once(2, 3000)]).owned_by(&prefix);
        let running = {
            let (client, job) = (stopping.clone(), long.clone());
            monoio::spawn(async move { client.submit(&job).await })
        };
        wait_for("the load and the long job run", async || {
            let started = system.evidence().await.started_tasks(&long);
            (started == 2 && load.answered() > 40).then_some(())
        })
        .await;

        let begun = Instant::now();
        system.signal(0, Signal::TERM);
        await_unready(&stopping).await;
        let refused = refused_while_draining(system, &stopping).await;
        let status = system.entry(0).ended().await;
        assert!(begun.elapsed() < STOP_LIMIT, "{:?}", begun.elapsed());
        assert_eq!(status.code(), Some(0), "{status}");
        let answered = load.answered();
        wait_for("the load goes on", async || {
            (load.answered() > answered + 20).then_some(())
        })
        .await;
        let records = load.finish().await;
        let long_reply = running.await;
        assert_eq!(long_reply.answer().outcome, JobOutcome::Complete);

        let owned = owned_by(&records, &prefix);
        assert!(!owned.is_empty());
        for index in [1, 2] {
            let client = system.client(index);
            assert_kept(&client, &owned).await;
            let kept = client.look_up(&long.submission).await;
            assert_eq!(kept.decided(), long_reply.decided());
            if let Some((job, given)) = &refused {
                let kept = client.submit(job).await;
                assert_eq!(kept.decided(), given.decided());
            }
        }
        let evidence = system.evidence().await;
        evidence.assert_no_doubled_start();
        assert_answered(&records, &evidence);
        evidence.assert_truthful(&long, long_reply.answer());
        assert!(count_outcome(&records, JobOutcome::Complete) > 40);
    });
}

/// Submits new jobs to a VM that is not ready until one is refused, and returns that one. A
/// submission is never cut: it is complete, refused as not run, or not received at all.
async fn refused_while_draining(
    system: &TestSystem,
    stopping: &EntryClient,
) -> Option<(JobRequest, Reply)> {
    let prefix = stopping.prefix().await?;
    loop {
        let job = JobDraft::new(&[TaskDraft::once(1, 20)]).owned_by(&prefix);
        let reply = stopping.submit(&job).await;
        let evidence = system.evidence().await;
        match &reply {
            Reply::Job(StatusCode::OK, answer) => evidence.assert_truthful(&job, answer),
            Reply::Job(StatusCode::TOO_MANY_REQUESTS, answer) => {
                assert_eq!(answer.not_run, Some(NotRunReason::Draining));
                assert_eq!(evidence.started_tasks(&job), 0);
                return Some((job, reply));
            }
            Reply::Lost(error) if error.sent == SentState::NotSent => return None,
            other => panic!("neither run nor refused: {other:?}"),
        }
    }
}
