//! Seeded runs of a whole fleet under faults of every kind that the engine must survive.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::Rng;
use support::{JobShape, SimFleet, SimOptions, TargetFault};

/// The seeds that `cargo test` runs.
const SEEDS: std::ops::Range<u64> = 0..24;

/// Seeds that have failed once.
const REGRESSION_SEEDS: [u64; 14] = [
    // Two holders after a takeover: the former one still served, or its lease went on.
    10_039, 10_053, 10_071, 10_090, 10_109, 10_173, 10_278, 10_305, 544_072,
    // An old record in the store replaced a process that was heard, and the link never returned.
    10_265,
    // Message numbers that began anew for a process that had seen the earlier ones.
    10_070, // A job came again while its holder could not stop an earlier run.
    10_163,
    // Runs of the new life of a target counted as ended, and runs of the former one as never started.
    10_211, 10_303,
];

/// The same for fleets with long intervals. It failed before homes kept the short interval to their holders;
/// the cause was not traced.
const LARGE_REGRESSION_SEEDS: [u64; 1] = [10_197];

fn shape(fleet: &mut SimFleet) -> JobShape {
    let rng = &mut fleet.rng;
    let work = Duration::from_millis(rng.random_range(20..400));
    JobShape {
        queue: rng.random_range(0..2),
        tasks: rng.random_range(1..6),
        cores: rng.random_range(15..40),
        work,
        declared: work,
        patience: Duration::from_millis(rng.random_range(1500..2800)),
    }
}

/// One fault, chosen at random.
fn inject_fault(fleet: &mut SimFleet) {
    let vm = fleet.rng.random_range(0..fleet.vm_count());
    let other = fleet.rng.random_range(0..fleet.vm_count());
    let target = fleet.rng.random_range(0..fleet.targets.len());
    let millis = fleet.rng.random_range(50..4000);
    let duration = Duration::from_millis(millis);
    match fleet.rng.random_range(0..17) {
        0 => fleet.kill_vm(vm, duration, false),
        1 => fleet.kill_vm(vm, duration, true),
        2 => fleet.freeze_vm(vm, duration),
        3 => fleet.cut_vms(vm, other, true),
        4 => {
            for peer in 0..fleet.vm_count() {
                fleet.cut_vms(vm, peer, true);
            }
        }
        5 => fleet.cut_target(vm, target, true),
        6 => {
            for vm in 0..fleet.vm_count() {
                fleet.cut_target(vm, target, true);
            }
        }
        7 => fleet.crash_target(target),
        8 => fleet.restart_target(target),
        9 => fleet.targets[target].draining = true,
        10 => {
            let slow = fleet.rng.random_range(2..7);
            let faults = [
                TargetFault::Failing,
                TargetFault::Hanging,
                TargetFault::Slow(slow),
            ];
            fleet.targets[target].fault = Some(faults[fleet.rng.random_range(0..3)]);
        }
        11 => fleet.net.response_loss = 0.2,
        12 => fleet.net.delayed_calls = 0.1,
        13 => {
            let dark = fleet.rng.random_bool(0.5);
            for vm in 0..fleet.vm_count() {
                let spread = Duration::from_millis(fleet.rng.random_range(0..500));
                fleet.kill_vm(vm, Duration::from_millis(500) + spread, dark);
            }
        }
        14 => {
            let zone = fleet.zone_of(vm).clone();
            fleet.cut_zone(&zone);
        }
        15 => fleet.cut_store(vm, true),
        _ => repair(fleet),
    }
}

fn repair(fleet: &mut SimFleet) {
    fleet.heal();
    fleet.net = Default::default();
    for target in 0..fleet.targets.len() {
        fleet.targets[target].draining = false;
        match fleet.targets[target].fault {
            Some(TargetFault::Down) => fleet.restart_target(target),
            _ => fleet.targets[target].fault = None,
        }
    }
}

/// How fast the VMs of a fleet are, and how often they hear from each other.
#[derive(Clone, Copy, Debug)]
enum FleetKind {
    /// Events take no time, and the intervals are those of a small fleet.
    Small,
    /// Events take time, and the intervals are those of a large fleet.
    Large,
    /// As the small one; besides, the time of day of the VMs jumps.
    Stepping,
}

fn options(seed: u64, kind: FleetKind) -> SimOptions {
    let mut options = SimOptions {
        seed,
        queues: vec![
            (1.6, Duration::from_millis(60)),
            (1.6, Duration::from_millis(60)),
        ],
        ..SimOptions::default()
    };
    if let FleetKind::Large = kind {
        options.event_cost = Duration::from_micros(300);
        let pace = &mut options.settings.links.heartbeat;
        pace.same_zone_step = Duration::from_millis(200);
        pace.other_zone_step = Duration::from_millis(400);
    }
    options
}

fn run_with_faults(seed: u64, kind: FleetKind) -> SimFleet {
    let mut fleet = SimFleet::new(options(seed, kind));
    fleet.run_for(Duration::from_secs(3));
    for _ in 0..200 {
        if let FleetKind::Stepping = kind {
            step_clocks(&mut fleet);
        }
        if fleet.rng.random_bool(0.25) {
            inject_fault(&mut fleet);
        }
        let jobs = fleet.rng.random_range(0..4);
        for _ in 0..jobs {
            let vm = fleet.rng.random_range(0..fleet.vm_count());
            let shape = shape(&mut fleet);
            let job = fleet.submit(vm, shape);
            if fleet.rng.random_bool(0.05) {
                fleet.run_for(Duration::from_millis(40));
                fleet.leave(job);
            }
        }
        fleet.run_for(Duration::from_millis(100));
    }
    fleet
}

/// Lets the time of day of some VMs jump, by up to 40 s, or jump back.
fn step_clocks(fleet: &mut SimFleet) {
    for vm in 0..fleet.vm_count() {
        if fleet.rng.random_bool(0.03) {
            let limit = [2_400, 40_000][fleet.rng.random_range(0..2)];
            let ahead = [0, fleet.rng.random_range(-limit..limit)];
            let ahead = ahead[fleet.rng.random_range(0..2)];
            fleet.step_clock(vm, ahead);
        }
    }
}

/// Guards against overfull targets, double runs and refusals that are not true, which the fleet
/// checks at each start; and against a fleet that does not serve again after the faults.
fn check_invariants(seed: u64, kind: FleetKind) {
    let mut fleet = run_with_faults(seed, kind);
    repair(&mut fleet);
    fleet.run_for(Duration::from_secs(14));
    fleet.check_rejections();
    let before = fleet.completed();
    let mut sent = 0;
    for round in 0..20 {
        let vm = round % fleet.vm_count();
        fleet.submit(
            vm,
            JobShape {
                tasks: 2,
                ..JobShape::default()
            },
        );
        sent += 1;
        fleet.run_for(Duration::from_millis(150));
    }
    fleet.run_for(Duration::from_secs(5));
    let served = fleet.completed() - before;
    assert!(
        served == sent,
        "seed {seed}: {served} of {sent} jobs served after repair"
    );
}

#[test]
fn promises_hold_under_faults() {
    for seed in SEEDS {
        check_invariants(seed, FleetKind::Small);
    }
}

/// Guards against two VMs that judge the silence of a link differently when envelopes are rare.
#[test]
fn promises_hold_in_a_large_fleet() {
    for seed in SEEDS {
        check_invariants(seed, FleetKind::Large);
    }
}

/// Guards against decisions that depend on the time of day of a VM.
#[test]
fn promises_hold_while_clocks_jump() {
    for seed in SEEDS {
        check_invariants(seed, FleetKind::Stepping);
    }
}

#[test]
fn seeds_that_have_failed_pass() {
    for seed in REGRESSION_SEEDS {
        check_invariants(seed, FleetKind::Small);
    }
    for seed in LARGE_REGRESSION_SEEDS {
        check_invariants(seed, FleetKind::Large);
    }
}

/// The long run, by hand: `cargo test --release -p filbertpitch-fleet -- --ignored long_run`.
#[test]
#[ignore = "takes minutes; run by hand"]
fn long_run() {
    let only = std::env::var("FLEET_SEED")
        .ok()
        .and_then(|seed| seed.parse::<u64>().ok());
    let seeds = only.map_or(10_000..10_400, |seed| seed..seed + 1);
    let fails = |kind| {
        let failed = seeds.clone().filter(move |seed| {
            std::panic::catch_unwind(|| check_invariants(*seed, kind)).is_err()
        });
        failed.collect::<Vec<u64>>()
    };
    let kinds = [FleetKind::Small, FleetKind::Large, FleetKind::Stepping];
    let failed = kinds.map(fails);
    assert!(
        failed.iter().all(Vec::is_empty),
        "{kinds:?} failed with seeds {failed:?}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 8, failure_persistence: None, rng_seed: RngSeed::Fixed(10), ..ProptestConfig::default() })]

    #[test]
    fn promises_hold_under_faults_of_fresh_seeds(seed in 1000_u64..1_000_000) {
        check_invariants(seed, FleetKind::Small);
    }
}
