//! Cancels of jobs at any VM, in a simulated fleet.

mod support;

use std::time::Duration;

use filbertpitch_fleet::cancellation::CancelOutcome;
use filbertpitch_types::fleet::JobReply;
use filbertpitch_types::prelude::*;
use support::{JobShape, SimFleet, SimOptions};
use test_case::test_case;

/// A job that outlasts each test.
const SHAPE: JobShape = JobShape {
    queue: 0,
    tasks: 3,
    cores: 4,
    work: Duration::from_secs(5),
    declared: Duration::from_secs(5),
    client_timeout: Duration::from_secs(9),
    deadly: 0,
    label: None,
    spread_limit: None,
};

/// The time that a cancel takes, with the stop of the runs.
const CANCEL_TIME: Duration = Duration::from_millis(300);

fn settled_fleet(options: SimOptions) -> SimFleet {
    let mut fleet = SimFleet::new(options);
    fleet.run_for(Duration::from_secs(3));
    fleet
}

fn running(fleet: &SimFleet) -> usize {
    fleet.targets.iter().map(|target| target.runs.len()).sum()
}

/// Guards against a job that goes on after its cancel has reached another VM than its coordinator.
#[test_case(0; "its coordinator")]
#[test_case(1; "a VM of its zone")]
#[test_case(2; "a VM of another zone")]
fn cancel_at_any_vm_ends_the_job(vm: usize) {
    let mut fleet = settled_fleet(SimOptions::default());
    let job = fleet.submit(0, SHAPE);
    fleet.run_for(Duration::from_millis(500));
    assert_eq!(running(&fleet), 3);
    let token = fleet.cancel(vm, job);
    fleet.run_for(CANCEL_TIME);
    assert_eq!(
        fleet.cancel_answers.get(&token),
        Some(&CancelOutcome::Cancelled)
    );
    assert_eq!(fleet.jobs[&job].reply, Some(JobReply::Cancelled));
    assert_eq!(running(&fleet), 0);
    let starts = fleet.starts_of(job);
    fleet.run_for(Duration::from_secs(3));
    assert_eq!(fleet.starts_of(job), starts);
}

/// Guards against a job that goes on at the VM to which it was forwarded.
#[test]
fn cancel_ends_a_forwarded_job() {
    let mut fleet = settled_fleet(SimOptions {
        vms: vec![3, 1],
        forwarding: Some(vec![0]),
        ..SimOptions::default()
    });
    let job = fleet.submit(0, SHAPE);
    fleet.run_for(Duration::from_millis(500));
    assert_eq!(running(&fleet), 3);
    let token = fleet.cancel(3, job);
    fleet.run_for(CANCEL_TIME);
    assert_eq!(
        fleet.cancel_answers.get(&token),
        Some(&CancelOutcome::Cancelled)
    );
    assert_eq!(running(&fleet), 0);
}

/// Guards against a job that starts after its cancel, because its submission arrives later, at any VM.
#[test_case(0; "the VM that was asked")]
#[test_case(2; "another VM")]
fn cancel_before_the_job_holds(vm: usize) {
    let mut fleet = settled_fleet(SimOptions::default());
    let token = fleet.cancel(0, JobId(1));
    fleet.run_for(CANCEL_TIME);
    assert_eq!(
        fleet.cancel_answers.get(&token),
        Some(&CancelOutcome::UnknownJob)
    );
    let job = fleet.submit(vm, SHAPE);
    assert_eq!(job, JobId(1));
    fleet.run_for(Duration::from_secs(1));
    assert_eq!(fleet.jobs[&job].reply, Some(JobReply::Cancelled));
    assert!(!fleet.jobs[&job].started);
}

/// Guards against a cancel that is answered as if no VM had the job, while its coordinator could not be asked.
#[test_case(false; "the link breaks after the cancel")]
#[test_case(true; "the coordinator is lost already")]
fn cancel_that_does_not_reach_a_vm_is_not_confirmed(lost_before: bool) {
    let mut fleet = settled_fleet(SimOptions::default());
    let job = fleet.submit(0, SHAPE);
    fleet.run_for(Duration::from_millis(200));
    fleet.cut_vms(0, 1, true);
    if lost_before {
        fleet.run_for(Duration::from_millis(1500));
    }
    let token = fleet.cancel(1, job);
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(
        fleet.cancel_answers.get(&token),
        Some(&CancelOutcome::Unconfirmed)
    );
}

/// Guards against a cancel that is never answered, or not as unknown, because a VM was stopped long before.
#[test]
fn cancel_of_an_unknown_job_does_not_wait_for_a_vm_that_was_killed() {
    let mut fleet = settled_fleet(SimOptions::default());
    fleet.kill_vm(0, Duration::from_secs(60), false);
    fleet.run_for(Duration::from_secs(2));
    let token = fleet.cancel(1, JobId(99));
    fleet.run_for(CANCEL_TIME);
    assert_eq!(
        fleet.cancel_answers.get(&token),
        Some(&CancelOutcome::UnknownJob)
    );
}
