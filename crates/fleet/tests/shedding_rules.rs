//! The rules of load shedding: costs, shares, the forecast and the ends of jobs.

use std::time::Duration;

use filbertpitch_dispatch::entity::KindIndex;
use filbertpitch_fleet::shedding::{
    Admission, ArrivingJob, CapacityShares, DensityClass, LoadForecast, LoadShedder, refusal_cost,
};
use filbertpitch_types::fleet::{DENSITY_CLASSES, DensityTable, PRIORITY_CLASSES};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The density class of jobs of usual size.
const USUAL: usize = 2;

fn class(index: usize) -> DensityClass {
    let relative = [0.3, 0.6, 1.0, 1.5, 2.5, 5.0][index];
    DensityClass::of((relative * 1000.0) as u64, 1000.0)
}

/// A load of usual jobs, in cores by priority.
fn usual_load(cores: [u32; 3]) -> DensityTable {
    let mut load = DensityTable::default();
    for (priority, cores) in (0..).zip(cores) {
        load.add(priority, USUAL, cores * 10);
    }
    load
}

fn job(priority: u8, density: DensityClass) -> ArrivingJob {
    ArrivingJob {
        priority,
        density,
        slack: Duration::from_millis(300),
        work: 1000,
    }
}

/// Guards against a cost that ignores the work, or grows as fast as the work.
#[test]
fn cost_grows_with_priority_and_less_than_work() {
    let cost = |priority, work| refusal_cost(priority, work, 1000.0);
    assert!(cost(0, 1000) > cost(1, 1000) && cost(1, 1000) > cost(2, 1000));
    assert!(cost(1, 4000) > cost(1, 1000));
    assert!(cost(1, 4000) < 4.0 * cost(1, 1000));
    // A larger job is less dense, and so is its class.
    assert!(class(3) > class(2));
    assert_eq!(class(2), DensityClass::default());
}

/// Guards against a flood of one queue that takes what others ask for within their shares.
#[test]
fn flood_leaves_the_shares_of_other_priorities() {
    let shares = CapacityShares::divide(&usual_load([100, 5000, 100]), 1000.0);
    assert_eq!(shares.share_of(0, class(USUAL)), 1.0);
    assert_eq!(shares.share_of(2, class(USUAL)), 1.0);
    let middle = shares.share_of(1, class(USUAL));
    assert!((0.15..=0.17).contains(&middle), "{middle}");
    // A flood of the most important queue leaves the others three sevenths of the capacity.
    let shares = CapacityShares::divide(&usual_load([5000, 1000, 1000]), 1400.0);
    assert!((shares.share_of(0, class(USUAL)) - 0.16).abs() < 0.01);
    assert!((shares.share_of(1, class(USUAL)) - 0.4).abs() < 0.01);
    assert!((shares.share_of(2, class(USUAL)) - 0.2).abs() < 0.01);
}

proptest! {
    /// Guards against shares that exceed the capacity or waste it, a refusal while all can be served,
    /// less dense work that comes first, and a starved queue or class.
    #[test]
    fn shares_fit_the_capacity(
        offered in prop::array::uniform4(prop::array::uniform6(0_u32..20_000)),
        cores in 1.0_f64..8000.0,
    ) {
        let load = DensityTable(offered);
        let shares = CapacityShares::divide(&load, cores);
        let mut served = 0.0;
        for (priority, works) in (0_u8..).zip(&offered) {
            let share = |index: usize| shares.share_of(priority, class(index));
            let total = works.iter().copied().map(f64::from).sum::<f64>() / 10.0;
            let here = (0..DENSITY_CLASSES).map(|index| share(index) * f64::from(works[index]) / 10.0);
            let here = here.sum::<f64>();
            served += here;
            for index in 1..DENSITY_CLASSES {
                prop_assert!(share(index) <= share(index - 1));
            }
            // The lowest weight is a fifteenth of all.
            prop_assert!(here >= 0.99 * total.min(cores / 15.0) - 0.1);
            prop_assert!(share(DENSITY_CLASSES - 1) >= 0.5 * here / total.max(0.1));
        }
        let total = offered.iter().flatten().copied().map(f64::from).sum::<f64>() / 10.0;
        prop_assert!(served <= total.min(cores) * 1.001 + 0.1);
        prop_assert!(served >= total.min(cores) * 0.99 - 0.1);
        prop_assert_eq!(PRIORITY_CLASSES, offered.len());
    }

    /// Guards against amounts that change on the wire, and a table without work that takes space.
    #[test]
    fn tables_survive_the_wire(amounts in prop::array::uniform4(prop::array::uniform6(0_u32..3))) {
        let table = DensityTable(amounts);
        prop_assert_eq!(DensityTable::from(Vec::<u32>::from(table)), table);
        prop_assert_eq!(Vec::<u32>::from(DensityTable::default()).len(), 0);
    }
}

/// Many VMs decide on the same reports. Guards against VMs that together drop the whole of a class that
/// can be served in part, or nothing of it.
#[test]
fn vms_drop_a_class_in_part() {
    let mut forecast = LoadForecast {
        cores: 1000.0,
        offered: usual_load([0, 2000, 0]),
        ..LoadForecast::default()
    };
    // A part of the waiting work cannot start within its slack.
    forecast.waiting.add(1, Duration::from_millis(90), 300_000);
    forecast.droppable.add(1, USUAL, 300_000);
    let shares = forecast.shares();
    let kept = forecast.kept_shares(&shares, 1).expect("too much waits");
    assert!((0.5..0.8).contains(&kept[USUAL]), "{kept:?}");
    // The part is the same while nothing changes, and nothing more is dropped once all have done so.
    let mut left = forecast;
    left.droppable = DensityTable::default();
    left.waiting = Default::default();
    let rest = (300_000.0 * kept[USUAL]) as u32;
    left.waiting
        .add(1, Duration::from_millis(90), u64::from(rest));
    left.droppable.add(1, USUAL, rest);
    assert_eq!(left.kept_shares(&shares, 1), None);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let jobs = job(1, class(USUAL));
    let idle = LoadForecast {
        waiting: Default::default(),
        ..forecast
    };
    let accepted = (0..1000).filter(|_| {
        let admission = idle.admit(&shares, &jobs, rng.random());
        admission == Admission::Accept
    });
    let accepted = accepted.count();
    assert!((450..550).contains(&accepted), "{accepted}");
}

/// Guards against a margin that lets a VM drop a job right after it has accepted it.
#[test]
fn accepted_jobs_are_not_dropped_by_the_same_forecast() {
    for waiting in (0..400_000).step_by(10_000) {
        let mut forecast = LoadForecast {
            cores: 1000.0,
            offered: usual_load([0, 900, 0]),
            ..LoadForecast::default()
        };
        forecast.waiting.add(1, Duration::from_millis(300), waiting);
        forecast.droppable.add(1, USUAL, waiting as u32);
        let shares = forecast.shares();
        let jobs = job(1, class(USUAL));
        if forecast.admit(&shares, &jobs, 0.5) == Admission::Accept {
            forecast.waiting.add(1, jobs.slack, jobs.work);
            assert_eq!(forecast.kept_shares(&shares, 1), None, "{waiting}");
        }
    }
}

/// Guards against a retry before there is capacity.
#[test]
fn retry_time_grows_with_the_load() {
    let time = |offered, waiting| {
        let mut forecast = LoadForecast {
            cores: 1000.0,
            offered: usual_load([0, offered, 0]),
            ..LoadForecast::default()
        };
        forecast.waiting.add(1, Duration::from_millis(300), waiting);
        forecast.time_to_capacity(&forecast.shares(), 1)
    };
    assert!(time(900, 100_000) < time(900, 400_000));
    assert!(time(1100, 100_000) < time(3000, 100_000));
    // Work of a lower priority is not ahead.
    let mut forecast = LoadForecast {
        cores: 1000.0,
        ..LoadForecast::default()
    };
    forecast.waiting.add(2, Duration::from_millis(300), 900_000);
    assert_eq!(
        forecast.time_to_capacity(&forecast.shares(), 1),
        Duration::ZERO
    );
}

/// Guards against a size that is judged by the jobs of another queue, and a first job that counts as
/// large.
#[test]
fn size_is_relative_to_the_queue() {
    let mut shedder = LoadShedder::default();
    let (small, large) = (KindIndex::from(0), KindIndex::from(1));
    for _ in 0..50 {
        assert_eq!(shedder.classify(small, 500), DensityClass::default());
        assert_eq!(shedder.classify(large, 50_000), DensityClass::default());
    }
    assert!(shedder.classify(small, 5000) > DensityClass::default());
    assert!(shedder.classify(large, 5000) < DensityClass::default());
}
