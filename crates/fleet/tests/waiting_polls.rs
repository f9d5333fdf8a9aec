//! Polls that targets hold open while leases decide when a run is over. The simulation checks at each
//! start that the task runs nowhere else.

mod support;

use std::time::Duration;

use support::{JobShape, SimFleet, SimOptions};

/// The coordinator, which holds `OWN_TARGET`.
const COORDINATOR: usize = 0;
/// The holder of the other targets.
const HOLDER: usize = 1;
const OWN_TARGET: usize = 0;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn long_job() -> JobShape {
    JobShape {
        tasks: 1,
        cores: 1,
        work: ms(9000),
        declared: ms(9000),
        client_timeout: ms(30_000),
        ..JobShape::default()
    }
}

/// Submits long jobs to the coordinator for a while.
fn keep_busy(fleet: &mut SimFleet, duration: Duration) {
    let end = fleet.now + duration.as_micros() as u64;
    while fleet.now < end {
        fleet.submit(COORDINATOR, long_job());
        fleet.run_for(ms(20));
    }
}

/// Cuts each of the two VMs off from the targets of the other one.
fn separate_targets(fleet: &mut SimFleet) {
    fleet.cut_target(HOLDER, OWN_TARGET, true);
    for target in OWN_TARGET + 1..fleet.targets.len() {
        fleet.cut_target(COORDINATOR, target, true);
    }
}

/// Guards against a lease that outlasts the limit that its coordinator counts with: the holder takes a
/// poll that the target has held open for a measurement of the target's clock.
#[test]
fn lease_named_after_a_poll_that_has_waited_ends_by_its_limit() {
    for (step, offset) in (0..20).flat_map(|step| (0..10).map(move |offset| (step, offset))) {
        let mut fleet = SimFleet::new(SimOptions {
            seed: 1,
            vms: vec![1, 1],
            targets: vec![1, 2],
            cores: 256,
            ..SimOptions::default()
        });
        fleet.targets[OWN_TARGET].draining = true;
        fleet.run_for(ms(3000));
        keep_busy(&mut fleet, ms(200));
        fleet.run_for(ms(4000 + step * 20));
        fleet.cut_direction(HOLDER, COORDINATOR, true);
        fleet.run_for(ms(200));
        fleet.cut_direction(COORDINATOR, HOLDER, true);
        separate_targets(&mut fleet);
        fleet.targets[OWN_TARGET].draining = false;
        // The last renewals before the limit; the runs are stopped afterwards.
        fleet.run_for(ms(640 + 20 * offset));
        for target in OWN_TARGET + 1..fleet.targets.len() {
            fleet.cut_target(HOLDER, target, true);
        }
        fleet.run_for(ms(3000));
        assert!(fleet.targets[OWN_TARGET].starts > 0);
    }
}
