//! Seeded simulations of a whole fleet under random faults. Checks that the invariants hold
//! throughout and that the fleet serves again after the repair.

mod support;

use std::time::Duration;

use filbertpitch_types::fleet::JobReply;
use filbertpitch_types::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::Rng;
use support::{CallDelay, HEARTBEAT_US, JobShape, SimFleet, SimOptions, TargetFault, TargetKind};

/// The seeds that each test runs.
const SEEDS: std::ops::Range<u64> = 0..24;

/// Seeds that have failed in the past, by cause:
/// - 10_039 to 544_072: two holders after a takeover. The former one still started tasks, or its
///   lease was still renewed.
/// - 10_265: an old record in the store replaced a process that was heard, and the link was never
///   restored.
/// - 10_070: message numbers restarted for a process that had seen the earlier ones.
/// - 10_163: a job was sent again while its holder could not stop an earlier run.
/// - 10_211 and 10_303: runs of a restarted target counted as ended, and runs from before the
///   restart as never started.
const REGRESSION_SEEDS: [u64; 14] = [
    10_039, 10_053, 10_071, 10_090, 10_109, 10_173, 10_278, 10_305, 544_072, 10_265, 10_070,
    10_163, 10_211, 10_303,
];

/// The same for fleets with long heartbeat intervals. The causes were not traced: the first seed failed
/// before coordinators kept the short interval to their holders, the second one while the backlog
/// counted tasks that wait for a trial.
const LARGE_REGRESSION_SEEDS: [u64; 2] = [10_197, 10_395];

/// The same for fleets whose links heal one direction at a time: runs of the next instance of a target
/// were blamed for the crash of the former one.
const ONE_WAY_REGRESSION_SEEDS: [u64; 1] = [10_290];

/// The same for fleets whose capacities change: as before, a start without a response that counted as the
/// only run of a crashed target (10_262), and one seed that was not traced (10_113).
const RESIZING_REGRESSION_SEEDS: [u64; 3] = [10_113, 10_189, 10_262];

/// The same for fleets whose VMs forward jobs: the holder of a run released its target before the
/// receiver of the job had noticed the loss of the first VM (10_219, 10_285), and a job that was answered
/// as failed too early (10_288).
const FORWARDING_REGRESSION_SEEDS: [u64; 3] = [10_219, 10_285, 10_288];

/// The same for fleets whose zones close: a request that a target which was down had swallowed counted as
/// a crash under its task.
const CLOSED_ZONES_REGRESSION_SEEDS: [u64; 1] = [10_340];

/// The share of the jobs with a deadly task in a fleet that has them.
const DEADLY_SHARE: f64 = 0.08;
/// The probability of a crash without a deadly task within 100 ms in such a fleet.
const CRASH_RATE: f64 = 0.02;
/// The probability that a VM is isolated within 100 ms in a fleet with slow calls.
const ISOLATION_RATE: f64 = 0.03;

fn shape(fleet: &mut SimFleet, kind: FleetKind) -> JobShape {
    let rng = &mut fleet.rng;
    if let FleetKind::OneWay | FleetKind::Forwarding | FleetKind::SlowCalls = kind {
        // The run outlasts the time after which its coordinator counts it as ended.
        let work = Duration::from_millis(rng.random_range(1000..5000));
        let most_cores = match kind {
            // What starts again must find free capacity at once.
            FleetKind::SlowCalls => 3,
            _ => 8,
        };
        return JobShape {
            tasks: rng.random_range(1..4),
            cores: rng.random_range(2..most_cores),
            work,
            declared: work,
            client_timeout: Duration::from_millis(9000),
            ..JobShape::default()
        };
    }
    let work = Duration::from_millis(rng.random_range(20..400));
    let shape = JobShape {
        queue: rng.random_range(0..2),
        tasks: rng.random_range(1..6),
        cores: rng.random_range(15..40),
        work,
        declared: work,
        client_timeout: Duration::from_millis(rng.random_range(1500..2800)),
        ..JobShape::default()
    };
    match kind {
        FleetKind::Replacing => JobShape {
            label: [None, Some("kind-a"), Some("kind-b")][rng.random_range(0..3)],
            spread_limit: [None, Some(1), Some(2)][rng.random_range(0..3)],
            ..shape
        },
        FleetKind::Deadly => JobShape {
            deadly: u16::from(rng.random_bool(DEADLY_SHARE)),
            ..shape
        },
        _ => shape,
    }
}

/// Injects one random fault.
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
            let fault = faults[fleet.rng.random_range(0..3)];
            // A crashed process comes back only as another instance.
            if !fleet.targets[target].has_crashed() {
                fleet.targets[target].fault = Some(fault);
            }
        }
        11 => fleet.net.response_loss = 0.2,
        12 => fleet.net.delayed_calls = 0.1,
        13 => {
            let unresponsive = fleet.rng.random_bool(0.5);
            for vm in 0..fleet.vm_count() {
                let spread = Duration::from_millis(fleet.rng.random_range(0..500));
                fleet.kill_vm(vm, Duration::from_millis(500) + spread, unresponsive);
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
    fleet.end_slowness();
    fleet.net = Default::default();
    for vm in 0..fleet.vm_count() {
        let zone = fleet.zone_of(vm).clone();
        if fleet.closed_at(&zone).is_some() {
            fleet.close_zone(&zone, false);
        }
    }
    for target in 0..fleet.targets.len() {
        fleet.resize_target(target, 100);
        if fleet.targets[target].service.as_str() != TargetKind::default().service {
            fleet.replace_target(target, &TargetKind::default());
        }
        fleet.targets[target].draining = false;
        match fleet.targets[target].is_down() {
            true => fleet.restart_target(target),
            false => fleet.targets[target].fault = None,
        }
    }
}

/// The kind of fleet: event cost, heartbeat intervals and clocks.
#[derive(Clone, Copy, Debug)]
enum FleetKind {
    /// Events take no time, and the heartbeat intervals are those of a small fleet.
    Small,
    /// Events take time, and the heartbeat intervals are those of a large fleet.
    Large,
    /// As the small fleet, with wall clocks that jump.
    Stepping,
    /// As the small fleet, with links between VMs that break and heal one direction at a time.
    OneWay,
    /// As the small fleet, with jobs that crash targets and with targets that crash by themselves.
    Deadly,
    /// As the small fleet, with targets whose capacity shrinks and grows.
    Resizing,
    /// As the small fleet, with zones that the operator closes and opens.
    ClosedZones,
    /// As the large fleet, with links that heal one direction at a time and a VM that forwards jobs.
    Forwarding,
    /// As the small fleet, with calls to targets, VMs and links that are slow for less than any time-out.
    SlowCalls,
    /// As the small fleet, with targets that come back as others: of another kind or service, or smaller.
    Replacing,
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
    if let FleetKind::Large | FleetKind::Forwarding = kind {
        options.event_cost = Duration::from_micros(300);
        let pace = &mut options.settings.links.heartbeat;
        pace.same_zone_step = Duration::from_millis(200);
        pace.other_zone_step = Duration::from_millis(400);
    }
    if let FleetKind::Resizing = kind {
        options.target_heartbeat = Duration::from_micros(HEARTBEAT_US);
    }
    if let FleetKind::Forwarding = kind {
        options.vms = vec![3, 1];
        options.forwarding = Some(vec![0]);
    }
    options
}

fn run_with_faults(seed: u64, kind: FleetKind) -> SimFleet {
    let mut fleet = SimFleet::new(options(seed, kind));
    fleet.run_for(Duration::from_secs(3));
    for _ in 0..200 {
        match kind {
            FleetKind::Stepping => step_clocks(&mut fleet),
            FleetKind::OneWay | FleetKind::Forwarding => cut_directions(&mut fleet),
            FleetKind::Deadly => crash_targets(&mut fleet),
            FleetKind::Resizing => resize_targets(&mut fleet),
            FleetKind::ClosedZones => close_zones(&mut fleet),
            FleetKind::SlowCalls => slow_down(&mut fleet),
            FleetKind::Replacing => replace_targets(&mut fleet),
            FleetKind::Small | FleetKind::Large => {}
        }
        if fleet.rng.random_bool(fault_rate(kind)) {
            inject_fault(&mut fleet);
        }
        let jobs = fleet.rng.random_range(0..4);
        for _ in 0..jobs {
            let vm = fleet.rng.random_range(0..fleet.vm_count());
            let shape = shape(&mut fleet, kind);
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

/// The probability of another random fault within 100 ms. Fleets with slow calls have fewer of them: most
/// runs end by them before a lease does.
fn fault_rate(kind: FleetKind) -> f64 {
    match kind {
        FleetKind::SlowCalls => 0.06,
        _ => 0.25,
    }
}

/// Makes the wall clocks of some VMs jump by up to 40 s, or back.
fn step_clocks(fleet: &mut SimFleet) {
    for vm in 0..fleet.vm_count() {
        if fleet.rng.random_bool(0.03) {
            let limit_ms = [2_400, 40_000][fleet.rng.random_range(0..2)];
            let ahead_ms = [0, fleet.rng.random_range(-limit_ms..limit_ms)];
            let ahead_ms = ahead_ms[fleet.rng.random_range(0..2)];
            fleet.step_clock(vm, ahead_ms);
        }
    }
}

/// Cuts or restores single directions of the links between VMs. A direction stays cut for 0.8 s on
/// average, about as long as it takes to mark a peer lost.
fn cut_directions(fleet: &mut SimFleet) {
    for from in 0..fleet.vm_count() {
        for to in (0..fleet.vm_count()).filter(|to| *to != from) {
            if fleet.rng.random_bool(0.125) {
                let cut = fleet.rng.random_bool(0.2);
                fleet.cut_direction(from, to, cut);
            }
        }
    }
}

/// Makes calls, VMs and single directions of links slow now and then, cuts links for about as long as it
/// takes to mark a VM lost or a target unreachable, and isolates VMs, so that leases end while something
/// is slow.
fn slow_down(fleet: &mut SimFleet) {
    fleet.hold_messages(true);
    for vm in 0..fleet.vm_count() {
        if fleet.rng.random_bool(0.08) {
            let share = [0.0, 0.1, 0.4][fleet.rng.random_range(0..3)];
            fleet.slow_calls(vm, share);
        }
        if fleet.rng.random_bool(0.08) {
            let share = [0.0, 0.01, 0.05][fleet.rng.random_range(0..3)];
            fleet.stall_vm(vm, share);
        }
        for target in 0..fleet.targets.len() {
            slow_path(fleet, vm, target);
        }
        for other in (0..fleet.vm_count()).filter(|other| *other != vm) {
            // A slow link stays slow for 10 s on average, longer than the delays of its envelopes are
            // remembered.
            if fleet.rng.random_bool(0.02) {
                let millis = [0, fleet.rng.random_range(100..500)][fleet.rng.random_range(0..2)];
                fleet.slow_link(vm, other, Duration::from_millis(millis));
            }
            if fleet.rng.random_bool(0.1) {
                let cut = fleet.rng.random_bool(0.1);
                fleet.cut_direction(vm, other, cut);
            }
        }
    }
    if fleet.rng.random_bool(ISOLATION_RATE) {
        isolate_vm(fleet);
    }
}

/// Makes the path of a VM to a target slow in one direction, cuts it, or makes it fast again, now and then.
fn slow_path(fleet: &mut SimFleet, vm: usize, target: usize) {
    if !fleet.rng.random_bool(0.06) {
        return;
    }
    let delay = Duration::from_millis(fleet.rng.random_range(50..250));
    let request = CallDelay {
        request: delay,
        ..CallDelay::default()
    };
    let response = CallDelay {
        response: delay,
        ..CallDelay::default()
    };
    match fleet.rng.random_range(0..10) {
        0 => fleet.cut_target(vm, target, true),
        1..=2 => fleet.slow_path(vm, target, Some(request)),
        3 => fleet.slow_path(vm, target, Some(response)),
        _ => {
            fleet.cut_target(vm, target, false);
            fleet.slow_path(vm, target, None);
        }
    }
}

/// Cuts the links of a VM to the other VMs, one direction after the other, and at last its links to the
/// targets, or kills it; then restores the links. The others may reach the targets of its zone or not.
fn isolate_vm(fleet: &mut SimFleet) {
    let vm = fleet.rng.random_range(0..fleet.vm_count());
    let others = (0..fleet.vm_count()).filter(|other| *other != vm);
    let others = others.collect::<Vec<_>>();
    let far =
        (0..fleet.targets.len()).filter(|target| fleet.targets[*target].zone != *fleet.zone_of(vm));
    let far = far.collect::<Vec<_>>();
    let near = (0..fleet.targets.len()).filter(|target| !far.contains(target));
    let near = near.collect::<Vec<_>>();
    let separate = fleet.rng.random_bool(0.7);
    for other in &others {
        for _ in 0..2 {
            let shape = shape(fleet, FleetKind::SlowCalls);
            fleet.submit(*other, shape);
        }
    }
    let pause = fleet.rng.random_range(0..100);
    fleet.run_for(Duration::from_millis(pause));
    for other in &others {
        fleet.cut_direction(vm, *other, true);
        if separate {
            for target in &near {
                fleet.cut_target(*other, *target, true);
            }
        }
    }
    let pause = fleet.rng.random_range(0..500);
    fleet.run_for(Duration::from_millis(pause));
    for other in &others {
        fleet.cut_direction(*other, vm, true);
    }
    let pause = fleet.rng.random_range(0..1000);
    fleet.run_for(Duration::from_millis(pause));
    match fleet.rng.random_bool(0.7) {
        true => {
            for target in near.iter().chain(&far) {
                fleet.cut_target(vm, *target, true);
            }
        }
        false => fleet.kill_vm(vm, Duration::from_millis(1500), true),
    }
    let pause = fleet.rng.random_range(400..1500);
    fleet.run_for(Duration::from_millis(pause));
    for other in &others {
        fleet.cut_vms(vm, *other, false);
        for target in &near {
            fleet.cut_target(*other, *target, false);
        }
    }
    for target in near.iter().chain(&far) {
        fleet.cut_target(vm, *target, false);
    }
}

/// Crashes a target now and then, whatever runs on it.
fn crash_targets(fleet: &mut SimFleet) {
    if fleet.rng.random_bool(CRASH_RATE) {
        let target = fleet.rng.random_range(0..fleet.targets.len());
        if !fleet.targets[target].is_down() {
            fleet.crash_process(target, None);
        }
    }
}

/// Changes the capacity of some targets; every fourth one restarts with its new capacity, as a target
/// of another kind at the same address does.
fn resize_targets(fleet: &mut SimFleet) {
    for target in 0..fleet.targets.len() {
        if fleet.rng.random_bool(0.03) {
            let percent = [0, 25, 50, 75, 100, 100][fleet.rng.random_range(0..6)];
            fleet.resize_target(target, percent);
            if fleet.rng.random_bool(0.25) {
                fleet.restart_target(target);
            }
        }
    }
}

/// Lets some targets come back as others, some twice within moments, while VMs cannot read the list or cannot
/// reach the target.
fn replace_targets(fleet: &mut SimFleet) {
    for target in 0..fleet.targets.len() {
        if !fleet.rng.random_bool(0.06) {
            continue;
        }
        let vm = fleet.rng.random_range(0..fleet.vm_count());
        match fleet.rng.random_range(0..6) {
            0 => fleet.cut_list(vm, true),
            1 => (0..fleet.vm_count()).for_each(|vm| fleet.cut_list(vm, true)),
            2 => fleet.cut_target(vm, target, true),
            3 => fleet.crash_target(target),
            _ => {}
        }
        let pause = [0, 0, 1, 30, 400][fleet.rng.random_range(0..5)];
        fleet.run_for(Duration::from_millis(pause));
        let kind = fleet.draw_kind();
        fleet.replace_target(target, &kind);
        if fleet.rng.random_bool(0.3) {
            let pause = [1, 10, 200][fleet.rng.random_range(0..3)];
            fleet.run_for(Duration::from_millis(pause));
            let kind = fleet.draw_kind();
            fleet.replace_target(target, &kind);
        }
        if fleet.rng.random_bool(0.5) {
            let pause = fleet.rng.random_range(0..300);
            fleet.run_for(Duration::from_millis(pause));
            fleet.cut_target(vm, target, false);
        }
        if fleet.rng.random_bool(0.5) {
            (0..fleet.vm_count()).for_each(|vm| fleet.cut_list(vm, false));
        }
    }
}

/// Closes or opens a zone now and then, and cuts a VM off from the store or reconnects it just then. A zone
/// stays closed for 7 s on average, longer than the limit after which the simulation panics at a start
/// there.
fn close_zones(fleet: &mut SimFleet) {
    for vm in 0..fleet.vm_count() {
        let zone = fleet.zone_of(vm).clone();
        let closed = fleet.closed_at(&zone).is_some();
        if fleet.rng.random_bool(if closed { 0.007 } else { 0.02 }) {
            fleet.close_zone(&zone, !closed);
            let other = fleet.rng.random_range(0..fleet.vm_count());
            let cut = fleet.rng.random_bool(0.5);
            fleet.cut_store(other, cut);
        }
    }
}

/// Guards against targets beyond their capacity, tasks that run twice at a time, and rejected jobs
/// that have run; and against a fleet that does not serve all jobs after the repair.
fn check_invariants(seed: u64, kind: FleetKind) {
    let mut fleet = run_with_faults(seed, kind);
    repair(&mut fleet);
    fleet.run_for(Duration::from_secs(14));
    fleet.check_rejections();
    fleet.check_failures();
    let mut sent = Vec::new();
    for round in 0..20 {
        let vm = round % fleet.vm_count();
        let shape = JobShape {
            tasks: 2,
            ..JobShape::default()
        };
        sent.push(fleet.submit(vm, shape));
        fleet.run_for(Duration::from_millis(150));
    }
    fleet.run_for(Duration::from_secs(5));
    let served = |id: &&JobId| fleet.jobs[*id].reply == Some(JobReply::Completed);
    let served = sent.iter().filter(served).count();
    assert!(
        served == sent.len(),
        "seed {seed}: {served} of {} jobs served after repair",
        sent.len()
    );
}

#[test]
fn invariants_hold_under_faults() {
    for seed in SEEDS {
        check_invariants(seed, FleetKind::Small);
    }
}

/// Guards against two VMs that disagree about the loss of a link when envelopes are rare.
#[test]
fn invariants_hold_in_a_large_fleet() {
    for seed in SEEDS {
        check_invariants(seed, FleetKind::Large);
    }
}

/// Guards against decisions that depend on the wall clock of a VM.
#[test]
fn invariants_hold_while_clocks_jump() {
    for seed in SEEDS {
        check_invariants(seed, FleetKind::Stepping);
    }
}

/// Guards against a run that its coordinator counts as ended while its holder renews the lease,
/// because only one of them has marked the other one lost.
#[test]
fn invariants_hold_while_links_heal_one_direction_at_a_time() {
    for seed in SEEDS {
        check_invariants(seed, FleetKind::OneWay);
    }
}

/// Guards against a task that is started again and again after it has crashed targets, whichever
/// VM counts its crashes, and against innocent jobs that are given up without two crashes.
#[test]
fn invariants_hold_under_deadly_tasks() {
    for seed in SEEDS {
        check_invariants(seed, FleetKind::Deadly);
    }
}

/// Guards against starts on capacity that a target no longer has, and against capacity that stays
/// unused after it has grown.
#[test]
fn invariants_hold_while_capacities_change() {
    for seed in SEEDS {
        check_invariants(seed, FleetKind::Resizing);
    }
}

/// Guards against tasks that start in a closed zone, whichever VMs, links or reads of the store fail as
/// the zone closes.
#[test]
fn invariants_hold_while_zones_close() {
    for seed in SEEDS {
        check_invariants(seed, FleetKind::ClosedZones);
    }
}

/// Guards against a forwarded job that goes on at its receiver while its client sends it again.
#[test]
fn invariants_hold_while_jobs_are_forwarded() {
    for seed in SEEDS {
        check_invariants(seed, FleetKind::Forwarding);
    }
}

/// Guards against a run that goes on after its holder or its coordinator has counted it as over,
/// because an estimate of a target's clock or of the age of a message was wrong.
#[test]
fn invariants_hold_while_calls_are_slow() {
    for seed in SEEDS {
        check_invariants(seed, FleetKind::SlowCalls);
    }
}

/// Guards against tasks that start on a target which has come back as another one, by what is known of a
/// former instance of it, and against tasks of a step beyond the limit on one target.
#[test]
fn invariants_hold_while_targets_come_back_as_others() {
    for seed in SEEDS {
        check_invariants(seed, FleetKind::Replacing);
    }
}

#[test]
fn regression_seeds_pass() {
    for seed in REGRESSION_SEEDS {
        check_invariants(seed, FleetKind::Small);
    }
    for seed in LARGE_REGRESSION_SEEDS {
        check_invariants(seed, FleetKind::Large);
    }
    for seed in ONE_WAY_REGRESSION_SEEDS {
        check_invariants(seed, FleetKind::OneWay);
    }
    for seed in RESIZING_REGRESSION_SEEDS {
        check_invariants(seed, FleetKind::Resizing);
    }
    for seed in CLOSED_ZONES_REGRESSION_SEEDS {
        check_invariants(seed, FleetKind::ClosedZones);
    }
    for seed in FORWARDING_REGRESSION_SEEDS {
        check_invariants(seed, FleetKind::Forwarding);
    }
}

/// To be run by hand: `cargo test --release -p filbertpitch-fleet -- --ignored long_run`.
/// FLEET_SEED selects a single seed, FLEET_KIND a single kind, such as `Resizing`.
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
    let kinds = [
        FleetKind::Small,
        FleetKind::Large,
        FleetKind::Stepping,
        FleetKind::OneWay,
        FleetKind::Deadly,
        FleetKind::Resizing,
        FleetKind::Forwarding,
        FleetKind::ClosedZones,
        FleetKind::SlowCalls,
        FleetKind::Replacing,
    ];
    let chosen = std::env::var("FLEET_KIND").ok();
    let chosen = |kind: &FleetKind| chosen.as_ref().is_none_or(|it| *it == format!("{kind:?}"));
    let kinds = kinds.into_iter().filter(chosen).collect::<Vec<_>>();
    assert!(!kinds.is_empty(), "FLEET_KIND names a kind of fleet");
    let failed = kinds.iter().copied().map(fails).collect::<Vec<_>>();
    assert!(
        failed.iter().all(Vec::is_empty),
        "{kinds:?} failed with seeds {failed:?}"
    );
}

/// Prints how many tasks start on a target that has come back as another one before anything has told their VM, which no
/// rule of the protocol lets it prevent.
#[test]
#[ignore = "prints figures; run by hand"]
fn starts_before_the_notice_of_a_restart() {
    let fleets = (10_000..10_400).map(|seed| run_with_faults(seed, FleetKind::Replacing));
    let starts = fleets.map(|fleet| fleet.unaware_starts());
    let (on_their_way, before_notice) = starts.fold((0, 0), |sum, starts| {
        (sum.0 + starts.on_their_way, sum.1 + starts.before_notice)
    });
    println!("{on_their_way} on their way at the restart, {before_notice} sent later");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 8, failure_persistence: None, rng_seed: RngSeed::Fixed(10), ..ProptestConfig::default() })]

    #[test]
    fn invariants_hold_under_faults_of_fresh_seeds(seed in 1000_u64..1_000_000) {
        check_invariants(seed, FleetKind::Small);
    }
}
