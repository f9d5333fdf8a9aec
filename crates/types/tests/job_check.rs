//! Jobs that can never be done are found before they are accepted.

use std::rc::Rc;
use std::time::Duration;

use filbertpitch_types::fleet::{JOB_TASK_LIMIT, JobFault, JobOrder, StepOrder};
use filbertpitch_types::prelude::*;
use test_case::test_case;

fn step(count: u16, after: &[u16]) -> StepOrder {
    StepOrder {
        count,
        resources: ResourceVector::from((1000, 64, 0)),
        declared: Duration::from_millis(100),
        after: after.to_vec(),
        required_label: None,
        near_rack: None,
        spread_limit: None,
        unsupported: None,
    }
}

fn order(steps: Vec<StepOrder>) -> JobOrder {
    JobOrder {
        id: JobId(1),
        payload: Rc::from("work"),
        steps,
        ephemeral: true,
        unsupported: None,
    }
}

/// Guards against jobs that wait forever, and against a small request that makes millions of tasks.
#[test_case(vec![], Err(JobFault::Empty); "no step")]
#[test_case(vec![step(0, &[])], Err(JobFault::Empty); "no task")]
#[test_case(vec![step(2, &[]), step(0, &[0])], Err(JobFault::Empty); "a later step without a task")]
#[test_case(vec![step(u16::MAX, &[])], Err(JobFault::TooLarge); "one large step")]
#[test_case(vec![step(JOB_TASK_LIMIT as u16, &[]), step(1, &[])], Err(JobFault::TooLarge); "one task too many")]
#[test_case(vec![step(1, &[0])], Err(JobFault::StepOrder); "a step waits for itself")]
#[test_case(vec![step(1, &[1]), step(1, &[])], Err(JobFault::StepOrder); "a step waits for a later one")]
#[test_case(vec![step(1, &[]), step(1, &[7])], Err(JobFault::StepOrder); "a step waits for none")]
#[test_case(vec![step(1, &[]), step(730, &[0]), step(1, &[0, 1])], Ok(()); "a chain")]
fn jobs_are_checked(steps: Vec<StepOrder>, expected: Result<(), JobFault>) {
    assert_eq!(order(steps).check(), expected);
}
