//! Targets that start again while VMs cannot read the list, which may show them as others.

mod support;

use std::time::Duration;

use filbertpitch_types::fleet::JobReply;
use filbertpitch_types::prelude::*;
use support::{JobShape, SimFleet, SimOptions, TargetKind};

/// The targets that start again: a tenth of all.
const RESTARTED: [usize; 2] = [0, 10];

/// Submits jobs for half of the capacity for a while.
fn serve(fleet: &mut SimFleet, duration: Duration) -> Vec<JobId> {
    let shape = JobShape {
        tasks: 4,
        cores: 16,
        ..JobShape::default()
    };
    let until = fleet.now + duration.as_micros() as u64;
    let mut jobs = Vec::new();
    while fleet.now < until {
        let vm = jobs.len() % fleet.vm_count();
        jobs.push(fleet.submit(vm, shape));
        fleet.run_for(Duration::from_millis(10));
    }
    jobs
}

/// Guards against tasks on an instance that no entry describes, against jobs that wait for such targets while others
/// have capacity, and against targets that stay unused once the list can be read.
#[test]
fn restarted_targets_wait_for_the_list_without_a_loss_of_jobs() {
    let mut fleet = SimFleet::new(SimOptions {
        vms: vec![3, 3],
        targets: vec![10, 10],
        ..SimOptions::default()
    });
    fleet.run_for(Duration::from_secs(3));
    let mut jobs = serve(&mut fleet, Duration::from_secs(2));
    for vm in 0..fleet.vm_count() {
        fleet.cut_list(vm, true);
    }
    for target in RESTARTED {
        fleet.replace_target(target, &TargetKind::default());
    }
    // Requests of the first moments may have been on their way.
    jobs.extend(serve(&mut fleet, Duration::from_millis(100)));
    let starts = RESTARTED.map(|target| fleet.targets[target].starts);
    jobs.extend(serve(&mut fleet, Duration::from_secs(30)));
    assert_eq!(RESTARTED.map(|target| fleet.targets[target].starts), starts);
    for vm in 0..fleet.vm_count() {
        fleet.cut_list(vm, false);
    }
    jobs.extend(serve(&mut fleet, Duration::from_secs(1)));
    for (target, before) in RESTARTED.into_iter().zip(starts) {
        assert!(
            fleet.targets[target].starts > before,
            "target-{target} is used"
        );
    }
    fleet.run_for(Duration::from_secs(3));
    let lost = jobs
        .iter()
        .filter(|id| fleet.jobs[*id].reply != Some(JobReply::Completed));
    assert_eq!(lost.count(), 0);
}
