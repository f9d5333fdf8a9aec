//! Load tests of fleets of 44 and of 147 VMs, with processing time for each event.

mod support;

use std::time::Duration;

use filbertpitch_types::prelude::*;
use support::{ALLOWANCE_MS, LoadResult, STRETCH, SimFleet, SimOptions, run_load};

/// The mean cores of a task.
const CORES: f64 = 32.0;

/// The processing time of an event on a whole core.
const EVENT_COST: Duration = Duration::from_micros(72);

/// A fleet of 44 VMs in four zones with 350 targets of two sizes and three speeds.
fn large_fleet(event_cost: Duration) -> SimFleet {
    // Each zone has two large VMs and some small ones.
    let processors = std::iter::repeat_n(MilliCores(500), 2);
    let processors = processors.chain(std::iter::repeat_n(MilliCores(120), 11));
    let processors = processors.collect::<Vec<_>>();
    zoned_fleet(
        event_cost,
        vec![13, 11, 11, 9],
        vec![88, 88, 87, 87],
        processors,
    )
}

/// A fleet of 147 VMs in six zones with 1,100 targets.
fn very_large_fleet(event_cost: Duration) -> SimFleet {
    let processors = std::iter::repeat_n(MilliCores(500), 3);
    let processors = processors.chain(std::iter::repeat_n(MilliCores(120), 26));
    let vms = vec![22, 23, 26, 29, 24, 23];
    let targets = vec![184, 184, 183, 183, 183, 183];
    zoned_fleet(event_cost, vms, targets, processors.collect())
}

/// A fleet with targets of two sizes and three speeds.
fn zoned_fleet(
    event_cost: Duration,
    vms: Vec<usize>,
    targets: Vec<usize>,
    processors: Vec<MilliCores>,
) -> SimFleet {
    let queue = (STRETCH, Duration::from_secs_f64(ALLOWANCE_MS / 1000.0));
    let mut fleet = SimFleet::new(SimOptions {
        seed: 0,
        vms,
        targets,
        cores: 64,
        queues: vec![queue; 3],
        event_cost,
        processors,
        ..SimOptions::default()
    });
    for (index, target) in fleet.targets.iter_mut().enumerate() {
        if index % 3 == 2 {
            target.capacity = ResourceVector::from((96_000, 131_072, 0));
        }
        target.speed_percent = [80, 100, 125][index / 3 % 3];
    }
    fleet.run_for(Duration::from_secs(3));
    fleet
}

/// Applies a load in jobs per second, after a second of 600 jobs per second in which the fleet
/// learns run times.
fn load(fleet: &mut SimFleet, rate: f64) -> LoadResult {
    let weights = vec![1.0; fleet.vm_count()];
    run_load(fleet, 1.0, CORES, &weights, |_| 600.0);
    run_load(fleet, 3.0, CORES, &weights, |_| rate)
}

/// Guards against VMs that spend too much time on each other to serve the usual load.
#[test]
fn the_usual_load_of_a_large_fleet_is_served_in_time() {
    let result = load(&mut large_fleet(EVENT_COST), 800.0);
    assert!(result.value_share() >= 0.97, "{result:?}");
}

/// Guards, under a peak load, against targets that are idle while other VMs are asked whether they
/// need the capacity, against envelopes that use up the time of the VMs, and against small VMs that
/// hold as many targets as large ones.
#[test]
fn a_peak_is_served_with_event_processing_time() {
    let ideal = load(&mut large_fleet(Duration::ZERO), 1300.0);
    let real = load(&mut large_fleet(EVENT_COST), 1300.0);
    let (ideal, real) = (ideal.value_share(), real.value_share());
    assert!(real >= 0.95 * ideal, "{real} of {ideal}");
}

/// Guards against VMs whose work for peers grows with the size of the fleet.
#[test]
fn hundreds_of_vms_serve_their_usual_load() {
    let mut fleet = very_large_fleet(EVENT_COST);
    let weights = vec![1.0; fleet.vm_count()];
    run_load(&mut fleet, 1.0, CORES, &weights, |_| 800.0);
    let (envelopes, since) = (fleet.envelopes(), fleet.now);
    let result = run_load(&mut fleet, 2.0, CORES, &weights, |_| 1100.0);
    let seconds = (fleet.now - since) as f64 / 1e6;
    let rate = (fleet.envelopes() - envelopes) as f64 / seconds / fleet.vm_count() as f64;
    println!(
        "envelopes per VM and second {rate}, worth {}",
        result.value_share()
    );
    assert!(result.value_share() >= 0.97, "{result:?}");
}
