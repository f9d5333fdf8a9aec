//! Entry VMs that are killed or paused while they own jobs.

use std::time::{Duration, Instant};

use filbertpitch_types::caller::JobRequest;
use filbertpitch_types::prelude::*;
use filbertpitch_types::status::PeerState;
use filbertpitch_wire::client::SentState;
use rustix::process::Signal;

use crate::support::jobs::with_deadline;
use crate::support::load::assert_complete;
use crate::support::{
    EntryClient, JobDraft, LoadPlan, LoadRun, Reply, SystemPlan, TaskDraft, TestSystem, run_test,
    sleep, wait_for,
};

/// Short, so that pauses can exceed them.
const SHORT_TIMES: &str = "heartbeat: {interval: 200ms}\n\
    leases: {duration: 1s, safety_margin: 100ms}\n";

/// Submits in the background.
fn submit(client: &EntryClient, job: &JobRequest) -> monoio::task::JoinHandle<Reply> {
    let (client, job) = (client.clone(), job.clone());
    monoio::spawn(async move { client.submit(&job).await })
}

async fn await_starts(system: &TestSystem, job: &JobRequest, count: usize) {
    wait_for("the tasks start", async || {
        // Looked up first: a job that is decided now has started all that it will ever start.
        let reply = system.client(0).look_up(&job.submission).await;
        let evidence = system.evidence().await;
        let started = evidence.started_tasks(job) >= count;
        let decided = matches!(reply, Reply::Job(..));
        assert!(started || !decided, "decided before the start: {reply:?}");
        started.then_some(())
    })
    .await;
}

/// Neither a submission nor a lookup may be decided while the owner does not respond.
async fn assert_unreachable(clients: &[EntryClient], jobs: &[&JobRequest]) {
    for job in jobs {
        for client in clients {
            let reply = client.submit(job).await;
            assert!(reply.is_error(504, "unreachable"), "{reply:?}");
            let reply = client.look_up(&job.submission).await;
            assert!(reply.is_error(504, "unreachable"), "{reply:?}");
        }
    }
}

/// Waits until the VMs know that the first one does not respond.
async fn await_silent(system: &TestSystem, clients: &[EntryClient]) {
    let lost = system.client(0).address();
    for client in clients {
        wait_for("the loss is noticed", async || {
            let status = client.status().await?;
            let mut peers = status.peers.iter().filter(|peer| peer.address == lost);
            let silent = peers.any(|peer| peer.state == PeerState::Silent);
            silent.then_some(())
        })
        .await;
    }
}

/// Guards against a second start by another process after the owner was killed, against an
/// outcome that no one can know, and against effects on callers of other VMs.
#[test]
fn killed_owner_leaves_no_second_start() {
    let plan = SystemPlan {
        settings: SHORT_TIMES,
        ..SystemPlan::default()
    };
    run_test("killed_owner", plan, async |system| {
        let owner = system.client(0);
        let others = [system.client(1), system.client(2)];
        let prefix = owner.prefix().await.unwrap();
        let running = JobDraft::new(&[TaskDraft::once(4, 1500)]).owned_by(&prefix);
        let repeatable = JobDraft::new(&[TaskDraft::repeatable(4, 1500)]).owned_by(&prefix);
        let never_sent = JobDraft::new(&[TaskDraft::once(2, 10)]).owned_by(&prefix);
        let load = LoadPlan {
            jobs: vec![JobDraft::new(&[TaskDraft::once(2, 30)])],
            callers: 4,
        };
        let load = LoadRun::start(load, &others);
        let callers = [submit(&owner, &running), submit(&owner, &repeatable)];
        await_starts(system, &running, 4).await;
        await_starts(system, &repeatable, 4).await;
        system.signal(0, Signal::KILL);
        system.entry(0).ended().await;
        for caller in callers {
            let reply = caller.await;
            let lost = matches!(&reply, Reply::Lost(error) if error.sent == SentState::MaybeSent);
            assert!(lost, "{reply:?}");
        }
        let answered = load.answered();

        let jobs = [&running, &repeatable, &never_sent];
        assert_unreachable(&others, &jobs).await;
        await_silent(system, &others).await;
        assert_unreachable(&others, &jobs).await;
        wait_for("the load goes on", async || {
            (load.answered() > answered + 20).then_some(())
        })
        .await;

        system.restart_entry(0);
        // The first decision must be right, even if heartbeats have not told of the new process.
        for other in &others {
            let reply = wait_for("the new process responds", async || {
                let reply = other.submit(&running).await;
                (!reply.is_error(504, "unreachable")).then_some(reply)
            })
            .await;
            assert!(reply.is_owner_gone(), "{reply:?}");
        }
        system.await_ready(0).await;
        for job in jobs {
            for client in others.iter().chain([&owner]) {
                let begun = Instant::now();
                let reply = client.submit(job).await;
                assert!(reply.is_owner_gone(), "{reply:?}");
                assert!(begun.elapsed() < job.deadline, "not at once");
                let reply = client.look_up(&job.submission).await;
                assert!(reply.is_owner_gone(), "{reply:?}");
            }
        }

        // Longer than the runs and their leases, after which a wrong restart would show.
        sleep(Duration::from_secs(3)).await;
        let records = load.finish().await;
        let evidence = system.evidence().await;
        evidence.assert_no_doubled_start();
        for job in [&running, &repeatable] {
            for task in &job.tasks {
                assert_eq!(evidence.starts_of(task).len(), 1, "{task:?}");
            }
        }
        assert_eq!(evidence.started_tasks(&never_sent), 0);
        for record in &records {
            evidence.assert_truthful(&record.job, record.answer());
            assert_eq!(record.replies.len(), 1, "{record:?}");
        }
        assert_complete(&records);
    });
}

/// Resubmits through other VMs while the owner is paused. Nothing may be decided, because the
/// owner may still report any outcome.
async fn resubmit_undecided(clients: &[EntryClient], jobs: &[&JobRequest]) {
    let mut replies = Vec::new();
    for job in jobs {
        let job = with_deadline(job, 1);
        replies.extend(clients.iter().map(|client| submit(client, &job)));
    }
    for reply in replies {
        let reply = reply.await;
        assert!(reply.is_error(504, "unreachable"), "{reply:?}");
    }
}

/// Guards against a second start while or after the owner is paused beyond every time-out, and
/// against answers that contradict each other.
#[test]
fn paused_owner_remains_the_only_owner() {
    let plan = SystemPlan {
        targets: 2,
        settings: SHORT_TIMES,
        ..SystemPlan::default()
    };
    run_test("paused_owner", plan, async |system| {
        let owner = system.client(0);
        let others = [system.client(1), system.client(2)];
        let prefix = owner.prefix().await.unwrap();
        let draft = |task: TaskDraft| JobDraft::new(&[task]).deadline(40).owned_by(&prefix);
        // Ends while the owner is paused.
        let short = draft(TaskDraft::once(3, 2000));
        // Outlive their leases, because nobody renews them.
        let lapsing = draft(TaskDraft::once(2, 9000).declared(300));
        let lapsing_repeatable = draft(TaskDraft::repeatable(2, 4000).declared(300));
        // Partly waits in the owner's queue.
        let queued = draft(TaskDraft::once(24, 700));
        // Reaches the owner only through the others, during the pause.
        let late = draft(TaskDraft::once(2, 10));
        let sent = [&short, &lapsing, &lapsing_repeatable, &queued];
        let mut callers = Vec::new();
        // One after another, because a job that arrives behind a long queue is refused.
        for (job, starts) in sent.into_iter().zip([3, 2, 2, 1]) {
            callers.push(submit(&owner, job));
            await_starts(system, job, starts).await;
        }
        system.signal(0, Signal::STOP);
        let before = system.evidence().await.starts();
        await_silent(system, &others).await;

        let jobs = [&short, &lapsing, &lapsing_repeatable, &queued, &late];
        // Each round lasts longer than a lease, its margin and three heartbeats.
        for _ in 0..2 {
            resubmit_undecided(&others, &jobs).await;
        }
        let evidence = system.evidence().await;
        assert_eq!(
            evidence.starts(),
            before,
            "started while the owner was paused"
        );
        evidence.assert_no_doubled_start();

        system.signal(0, Signal::CONT);
        let mut answers = Vec::new();
        for (job, caller) in sent.into_iter().zip(callers) {
            answers.push((job, caller.await.decided().expect("an answer")));
        }
        let late_answer = owner.submit(&late).await.decided().expect("an answer");
        answers.push((&late, late_answer));
        for (job, answer) in &answers {
            for client in system.clients() {
                let reply = wait_for("the owner is reachable", async || {
                    let reply = client.submit(job).await;
                    (!reply.is_error(504, "unreachable")).then_some(reply)
                })
                .await;
                assert_eq!(
                    reply.decided().as_ref(),
                    Some(answer),
                    "{}",
                    client.address()
                );
            }
        }
        let evidence = system.evidence().await;
        evidence.assert_no_doubled_start();
        for (job, answer) in &answers {
            evidence.assert_truthful(job, answer);
        }
        // The target kept the result of the tasks that ended during the pause.
        assert_eq!(
            answers[0].1.outcome,
            JobOutcome::Complete,
            "{:?}",
            answers[0].1
        );
        let lapsed = &answers[1].1;
        assert!(
            matches!(lapsed.outcome, JobOutcome::Failed | JobOutcome::Unknown),
            "{lapsed:?}"
        );
    });
}
