//! Keys without an owner prefix.

use std::time::{SystemTime, UNIX_EPOCH};

use filbertpitch_standins::http::log_host::LogControl;
use filbertpitch_types::prelude::*;
use futures_util::future::join_all;
use test_case::test_case;

use crate::support::{JobDraft, SystemPlan, TaskDraft, run_test};

/// A bare key that was first submitted now.
pub fn bare_submission(key: &str) -> SubmissionId {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    format!("{key}@{}", now.as_millis()).parse().unwrap()
}

/// Guards against a second run of a key that reaches several VMs at once, and against different
/// answers to its submitters, also when the answers to the claims are lost.
#[test_case(0; "log works")]
#[test_case(3; "claims without answers")]
fn simultaneous_submissions_share_one_run(lost_answers: u32) {
    let name = format!("bare_keys_{lost_answers}");
    run_test(&name, SystemPlan::default(), async |system| {
        system
            .control_log(LogControl {
                lose_answers: Some(lost_answers),
                ..LogControl::default()
            })
            .await;
        let clients = system.clients();
        let draft = JobDraft::new(&[TaskDraft::once(2, 150), TaskDraft::repeatable(1, 50)]);
        let jobs = (0..8).map(|number| {
            let submission = bare_submission(&format!("order-{number}"));
            draft.submitted_as(submission)
        });
        let jobs = jobs.collect::<Vec<_>>();
        let submissions = jobs.iter().map(|job| {
            let replies = clients.iter().map(|client| client.submit(job));
            join_all(replies)
        });
        let replies = join_all(submissions).await;

        let evidence = system.evidence().await;
        evidence.assert_no_doubled_start();
        for (job, replies) in jobs.iter().zip(replies) {
            let first = replies[0].decided().expect("an answer");
            assert_eq!(first.outcome, JobOutcome::Complete, "{first:?}");
            for reply in &replies {
                assert_eq!(reply.decided().as_ref(), Some(&first));
            }
            evidence.assert_truthful(job, &first);
            for task in &job.tasks {
                assert_eq!(evidence.starts_of(task).len(), 1);
            }
            for client in &clients {
                assert_eq!(client.submit(job).await.decided().as_ref(), Some(&first));
            }
        }
        let after = system.evidence().await.starts();
        assert_eq!(after, evidence.starts(), "a resubmission started something");
    });
}
