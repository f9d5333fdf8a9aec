//! Targets that fail, die, leave or stop responding on established connections.

use std::time::{Duration, Instant};

use filbertpitch_dispatch::engine::EngineSettings;
use filbertpitch_standins::http::target_control::TargetControl;
use filbertpitch_types::prelude::*;
use filbertpitch_types::status::TargetState;
use rustix::process::Signal;
use test_case::test_case;

use crate::support::load::{LoadRecord, assert_complete};
use crate::support::{
    EntryClient, JobDraft, LoadPlan, LoadRun, SystemPlan, TaskDraft, TestSystem, run_test, sleep,
    wait_for,
};

/// A leaving target gets no new work after this time.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);
/// Allowance for round trips and for the shared machine, on top of the check interval.
const NOISE: Duration = Duration::from_millis(500);

fn short_load(callers: usize) -> LoadPlan {
    let jobs = [
        vec![TaskDraft::repeatable(3, 50)],
        vec![TaskDraft::once(2, 50)],
    ];
    LoadPlan {
        jobs: jobs.iter().map(|tasks| JobDraft::new(tasks)).collect(),
        callers,
    }
}

async fn await_answers(load: &LoadRun, count: usize) {
    wait_for("jobs are answered", async || {
        (load.answered() >= count).then_some(())
    })
    .await;
}

async fn silence(system: &TestSystem) {
    for target in 0..4 {
        let fault = TargetControl::SilenceOpenConnections {};
        system.control_target(target, fault).await;
    }
}

/// Stops the process of all targets for a moment, so that their tasks run longer than usual.
async fn stall_targets(system: &mut TestSystem) {
    system.signal_targets(Signal::STOP);
    sleep(Duration::from_millis(900)).await;
    system.signal_targets(Signal::CONT);
}

/// Guards against jobs that wait for connections that will never respond again, and against a
/// second start of what ran on them. After a burst most connections are idle when they fail, so
/// that a task can meet one at every target that it is placed on. A few runs that took long before
/// must not delay the checks.
#[test_case(false, false; "in use")]
#[test_case(true, false; "idle after a burst")]
#[test_case(true, true; "idle after a burst with a stall")]
fn silent_connections_delay_by_one_check_at_most(idle: bool, stalled: bool) {
    let plan = SystemPlan {
        entries: vec!["biratnagar", "itahari"],
        ..SystemPlan::default()
    };
    run_test(&format!("silent_{idle}_{stalled}"), plan, async |system| {
        // The load is below the 32 slots, without a burst even with every slot held until a check:
        // otherwise jobs also wait for slots, or are refused because the queue is full, when the
        // machine stalls the targets. A job has at most three tasks.
        let callers = if idle { 10 } else { 6 };
        let burst = LoadRun::start(short_load(callers), &system.clients());
        await_answers(&burst, 100).await;
        if stalled {
            stall_targets(system).await;
            await_answers(&burst, burst.answered() + 20).await;
        }
        let (mut records, load) = match idle {
            true => {
                let records = burst.finish().await;
                silence(system).await;
                (records, LoadRun::start(short_load(3), &system.clients()))
            }
            false => {
                silence(system).await;
                (Vec::new(), burst)
            }
        };
        let silenced_at = Instant::now();
        sleep(Duration::from_secs(4)).await;
        records.extend(load.finish().await);
        let evidence = system.evidence().await;
        evidence.assert_no_doubled_start();
        for record in &records {
            evidence.assert_truthful(&record.job, record.answer());
        }
        assert_complete(&records);
        let settings = EngineSettings::default();
        let limit = Duration::from_millis(50) + settings.check_floor + settings.checks.repeat;
        let late = records.iter();
        let late = late.filter(|record| record.response_time > limit + NOISE);
        let late = late.map(|record| {
            let (answered, took) = (record.answered_at, record.response_time);
            let before = (silenced_at + took).saturating_duration_since(answered);
            let after = answered.saturating_duration_since(silenced_at + took);
            format!("{took:?}, begun {before:?} before or {after:?} after the silence: {record:?}")
        });
        let late = late.collect::<Vec<_>>();
        assert!(late.is_empty(), "of {} jobs: {late:#?}", records.len());
    });
}

async fn await_state(clients: &[EntryClient], target: &str, states: &[TargetState]) {
    for client in clients {
        wait_for(&format!("{target} is {states:?}"), async || {
            let status = client.status().await?;
            let mut targets = status.targets.iter();
            let found = targets.find(|found| found.target.as_str() == target)?;
            states.contains(&found.state).then_some(())
        })
        .await;
    }
}

fn is_once(record: &LoadRecord) -> bool {
    !record.job.tasks[0].repeatable
}

/// Guards against a target that attracts work because it fails quickly, and against a restart of
/// failed tasks that may run once only.
#[test]
fn fast_failing_target_is_ejected_and_returns() {
    let plan = SystemPlan {
        // In one zone, because a VM learns nothing about targets that it does not use.
        entries: vec!["biratnagar", "biratnagar"],
        targets: 8,
        ..SystemPlan::default()
    };
    run_test("fast_failing", plan, async |system| {
        let clients = system.clients();
        let load = LoadRun::start(short_load(12), &clients);
        await_answers(&load, 60).await;
        let failing = "target-0000";
        let fault = TargetControl::FailFast { enabled: true };
        system.control_target(0, fault).await;
        let out = [TargetState::Ejected, TargetState::Probing];
        await_state(&clients, failing, &out).await;
        let ejected = Instant::now();
        await_answers(&load, load.answered() + 60).await;
        let fault = TargetControl::FailFast { enabled: false };
        system.control_target(0, fault).await;
        await_state(&clients, failing, &[TargetState::Available]).await;
        let records = load.finish().await;

        let evidence = system.evidence().await;
        evidence.assert_no_doubled_start();
        for record in &records {
            evidence.assert_truthful(&record.job, record.answer());
        }
        // Probes are repeatable tasks, so the others do not meet the target any more.
        let begun = |record: &LoadRecord| record.answered_at - record.response_time;
        let later = records.iter().filter(|record| begun(record) > ejected);
        let later = later.filter(|record| is_once(record)).collect::<Vec<_>>();
        assert!(!later.is_empty());
        for record in later {
            let outcome = record.answer().outcome;
            assert_eq!(outcome, JobOutcome::Complete, "{record:?}");
        }
    });
}

/// Guards against trusting a target that restarted empty: its statement that it does not know an
/// attempt must not lead to a second start.
#[test]
fn restarted_target_leaves_unknown_outcomes() {
    let plan = SystemPlan {
        entries: vec!["biratnagar", "itahari"],
        targets: 1,
        settings: "leases: {duration: 1s, safety_margin: 200ms}\n",
    };
    run_test("restarted_target", plan, async |system| {
        let client = system.client(0);
        let prefix = client.prefix().await.unwrap();
        let once = JobDraft::new(&[TaskDraft::once(3, 1500)]).owned_by(&prefix);
        let repeatable = JobDraft::new(&[TaskDraft::repeatable(2, 1500)]).owned_by(&prefix);
        let callers = [&once, &repeatable].map(|job| {
            let (client, job) = (client.clone(), job.clone());
            monoio::spawn(async move { client.submit(&job).await })
        });
        wait_for("the tasks run", async || {
            let evidence = system.evidence().await;
            (evidence.starts() == 5).then_some(())
        })
        .await;
        let down = Some(Duration::from_millis(200));
        system.control_target(0, TargetControl::Die { down }).await;
        let [once_reply, repeatable_reply] = callers;
        let (once_reply, repeatable_reply) = (once_reply.await, repeatable_reply.await);

        let answer = once_reply.answer();
        assert_eq!(answer.outcome, JobOutcome::Unknown, "{answer:?}");
        for task in &answer.tasks {
            let reason = UnknownReason::TargetUnreachable;
            assert_eq!(task.outcome, TaskOutcome::Unknown { reason });
        }
        assert_eq!(
            repeatable_reply.answer().outcome,
            JobOutcome::Complete,
            "{repeatable_reply:?}"
        );
        for client in system.clients() {
            let again = client.submit(&once).await;
            assert_eq!(again.decided(), once_reply.decided());
        }
        // Longer than the leases and their margin.
        sleep(Duration::from_secs(2)).await;
        let evidence = system.evidence().await;
        evidence.assert_no_doubled_start();
        evidence.assert_truthful(&once, answer);
        evidence.assert_truthful(&repeatable, repeatable_reply.answer());
        for task in &once.tasks {
            assert_eq!(evidence.starts_of(task).len(), 1);
        }
    });
}

/// Guards against new work on a target that is about to be taken away.
#[test]
fn leaving_target_gets_no_new_work() {
    run_test("leaving_target", SystemPlan::default(), async |system| {
        let load = LoadRun::start(short_load(8), &system.clients());
        wait_for("the target has work", async || {
            (system.evidence_of(1).await.starts() > 10).then_some(())
        })
        .await;
        system.list_leaving("target-0001").await;
        sleep(LEAVE_LIMIT).await;
        let at_limit = system.evidence_of(1).await.starts();
        let others = system.evidence().await.starts() - at_limit;
        sleep(Duration::from_secs(2)).await;
        let later = system.evidence_of(1).await.starts();
        assert_eq!(later, at_limit, "a leaving target got new work");
        let records = load.finish().await;
        let evidence = system.evidence().await;
        assert!(evidence.starts() - at_limit > others, "the load went on");
        evidence.assert_no_doubled_start();
        for record in &records {
            evidence.assert_truthful(&record.job, record.answer());
        }
        assert_complete(&records);
    });
}
