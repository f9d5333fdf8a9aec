//! Guards against accepting jobs that can never complete.

use std::rc::Rc;
use std::time::Duration;

use filbertpitch_types::fleet::{JOB_TASK_LIMIT, JobError, JobSpec, StepSpec};
use filbertpitch_types::prelude::*;
use test_case::test_case;

fn step(count: u16, after: &[u16]) -> StepSpec {
    StepSpec {
        count,
        resources: ResourceVector::from((1000, 64, 0)),
        declared: Duration::from_millis(100),
        after: after.to_vec(),
        required_label: None,
        preferred_rack: None,
        spread_limit: None,
        unsupported: None,
    }
}

fn job(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        id: JobId(1),
        payload: Rc::from("work"),
        steps,
        ephemeral: true,
        unsupported: None,
    }
}

/// Guards against jobs that wait forever, and against small requests that create millions of tasks.
#[test_case(vec![], Err(JobError::Empty); "no step")]
#[test_case(vec![step(0, &[])], Err(JobError::Empty); "no task")]
#[test_case(vec![step(2, &[]), step(0, &[0])], Err(JobError::Empty); "a later step without a task")]
#[test_case(vec![step(u16::MAX, &[])], Err(JobError::TooLarge); "one large step")]
#[test_case(vec![step(JOB_TASK_LIMIT as u16, &[]), step(1, &[])], Err(JobError::TooLarge); "one task too many")]
#[test_case(vec![step(1, &[0])], Err(JobError::StepOrder); "a step waits for itself")]
#[test_case(vec![step(1, &[1]), step(1, &[])], Err(JobError::StepOrder); "a step waits for a later one")]
#[test_case(vec![step(1, &[]), step(1, &[7])], Err(JobError::StepOrder); "a step waits for none")]
#[test_case(vec![step(1, &[]), step(730, &[0]), step(1, &[0, 1])], Ok(()); "a chain")]
fn job_steps_are_validated(steps: Vec<StepSpec>, expected: Result<(), JobError>) {
    assert_eq!(job(steps).check(), expected);
}
