//! Measures the processor time of the engine per task, including the simulated callers and targets
//! of the example, for several numbers of live tasks, targets, teams and tasks per job.
//!
//! Run with `cargo run --release -p filbertpitch-dispatch --example engine_cost`.

mod support;

use filbertpitch_dispatch::engine::EngineEvent;
use filbertpitch_dispatch::job::CallerToken;
use support::fleet::{FleetShape, TestFleet};
use support::{least_and_greatest, processor_ns};

const TASKS: usize = 200_000;

/// Returns the nanoseconds per task and the number of running tasks among the live ones.
fn measure(shape: FleetShape, live: usize) -> (f64, usize) {
    let mut fleet = TestFleet::new(shape);
    fleet.run(live, TASKS / 3);
    let start_ns = processor_ns();
    fleet.run(live, TASKS);
    let cost = (processor_ns() - start_ns) / TASKS as f64;
    (cost, fleet.running())
}

fn print_row(shape: FleetShape, live: usize) {
    let mut running = 0;
    let (least, greatest) = least_and_greatest(|| {
        let (cost, now_running) = measure(shape, live);
        running = now_running;
        cost
    });
    let FleetShape {
        targets,
        teams,
        job_tasks,
    } = shape;
    println!("{live} {running} {targets} {teams} {job_tasks} {least:.0} {greatest:.0}");
}

/// Prints the nanoseconds for the disconnect of one caller whose job is live.
fn print_disconnect(live: usize) {
    const CALLERS: u64 = 200;
    let shape = FleetShape {
        targets: 500,
        teams: 3,
        job_tasks: 1,
    };
    let mut fleet = TestFleet::new(shape);
    (0..live).for_each(|_| fleet.submit());
    let (least, greatest) = least_and_greatest(|| {
        let start_ns = processor_ns();
        for number in 0..CALLERS {
            let caller = CallerToken(number);
            fleet.feed(EngineEvent::CallerDisconnected { caller });
        }
        (processor_ns() - start_ns) / CALLERS as f64
    });
    println!("{live} {least:.0} {greatest:.0}");
}

fn main() {
    println!("live running targets teams tasks/job ns/task(least) ns/task(greatest)");
    let base = FleetShape {
        targets: 500,
        teams: 3,
        job_tasks: 10,
    };
    for live in [1_000, 10_000, 100_000] {
        let job_tasks = 1;
        print_row(FleetShape { job_tasks, ..base }, live);
    }
    for live in [1_000, 10_000, 100_000] {
        print_row(base, live);
    }
    for live in [1_000, 10_000, 100_000] {
        let targets = 12_500;
        print_row(FleetShape { targets, ..base }, live);
    }
    for targets in [50, 500, 3_800] {
        print_row(FleetShape { targets, ..base }, 1_000);
    }
    for teams in [3, 30, 140] {
        print_row(FleetShape { teams, ..base }, 10_000);
    }
    for job_tasks in [1, 10, 100, 730] {
        print_row(FleetShape { job_tasks, ..base }, 7_300);
    }
    println!("live-jobs ns/leaving-caller(least) ns/leaving-caller(greatest)");
    for live in [1_000, 10_000, 100_000] {
        print_disconnect(live);
    }
}
