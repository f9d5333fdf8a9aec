//! A target that changes its holder while a poll of the former holder waits there. The simulation
//! checks at each start that the task runs nowhere else.

mod support;

use std::time::Duration;

use support::{JobShape, SimFleet, SimOptions};

/// The coordinator, in a zone of its own.
const COORDINATOR: usize = 0;

/// Two VMs of one zone that do not hear each other and claim the same targets.
const HOLDERS: [usize; 2] = [1, 2];

const SEEDS: u64 = 8;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn contested_zone(seed: u64) -> SimFleet {
    let mut fleet = SimFleet::new(SimOptions {
        seed,
        vms: vec![1, 2],
        targets: vec![1, 4],
        cores: 256,
        ..SimOptions::default()
    });
    for target in &mut fleet.targets {
        target.reports_to_former_holder = true;
    }
    fleet.run_for(Duration::from_secs(3));
    fleet
}

fn keep_busy(fleet: &mut SimFleet, duration: Duration) {
    let end = fleet.now + duration.as_micros() as u64;
    while fleet.now < end {
        fleet.submit(
            COORDINATOR,
            JobShape {
                tasks: 1,
                cores: 1,
                work: ms(3000),
                declared: ms(3000),
                client_timeout: ms(20_000),
                ..JobShape::default()
            },
        );
        fleet.run_for(ms(5));
    }
}

/// Guards against a run that is started a second time because a former holder of its target has
/// reported it: the former holder learns of the run from a poll that has waited since before the
/// change, asks the coordinator whether the run is wanted, and learns only then that it does not
/// hold the target any more.
#[test]
fn run_that_a_former_holder_reports_is_not_started_elsewhere() {
    for seed in 1..=SEEDS {
        let mut fleet = contested_zone(seed);
        let [left, right] = HOLDERS;
        for vm in HOLDERS {
            fleet.cut_store(vm, true);
        }
        fleet.cut_vms(left, right, true);
        keep_busy(&mut fleet, ms(2500));
        fleet.heal();
        keep_busy(&mut fleet, ms(1500));
        fleet.run_for(ms(3000));
    }
}
