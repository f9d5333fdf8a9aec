//! The rules of load shedding: costs, shares, the forecast and the ends of jobs.

use std::time::Duration;

use filbertpitch_dispatch::entity::KindIndex;
use filbertpitch_fleet::shedding::{
    Admission, ArrivingJob, CapacityShares, DensityClass, LoadForecast, LoadShedder, refusal_cost,
};
use filbertpitch_types::fleet::{DENSITY_CLASSES, DensityTable, PRIORITY_CLASSES, WaitingWork};
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

proptest! {
    /// Guards against classes in another order than the cost per core-millisecond, and against bounds that
    /// move when the cost is computed in another way.
    #[test]
    fn classes_follow_the_density(works in prop::array::uniform2(0_u64..2_000_000), usual in 0.0_f64..300_000.0) {
        let [lesser, greater] = [works[0].min(works[1]), works[0].max(works[1])];
        prop_assert!(DensityClass::of(lesser, usual) <= DensityClass::of(greater, usual));
        let relative = greater as f64 / usual.max(1.0);
        let bounds = [0.5, 0.8, 1.25, 2.0, 3.2];
        if bounds.iter().all(|bound| (relative / bound - 1.0).abs() > 1e-9) {
            let index = bounds.iter().filter(|bound| relative > **bound).count();
            prop_assert_eq!(DensityClass::of(greater, usual).index(), index);
        }
    }
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

/// Guards against a queue with few jobs whose jobs are all refused in a flood of another one, because the
/// forecast knows only the cores that the queue has asked for in the last second: one job per second asks
/// for its work within a second, which is longer than its slack.
#[test]
fn rare_job_is_served_in_a_flood_of_a_higher_priority() {
    let mut forecast = LoadForecast {
        cores: 1000.0,
        offered: usual_load([5000, 0, 4]),
        ..LoadForecast::default()
    };
    forecast.waiting.add(0, Duration::from_millis(90), 100_000);
    let rare = ArrivingJob {
        work: 4000,
        ..job(2, class(USUAL))
    };
    // The share of the queue by its weight is a ninth of the cores.
    let admission = forecast.admit(&forecast.shares(), &rare, 0.99);
    assert_eq!(admission, Admission::Accept);
    // A second later the queue asks for nothing more, and the job still waits.
    forecast.offered = usual_load([5000, 0, 0]);
    forecast.waiting.add(2, Duration::from_millis(300), 4000);
    forecast.droppable.add(2, USUAL, 4000);
    let shares = forecast.shares();
    assert_eq!(forecast.drop_plan(&shares, 2), None);
    assert!(forecast.time_to_capacity(&shares, 2) < Duration::from_secs(6));
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
    let plan = forecast.drop_plan(&shares, 1).expect("too much waits");
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let kept = (0..1000).filter(|_| !plan.drops(class(USUAL), 1000, rng.random()));
    let kept = kept.count() as u32;
    assert!((500..800).contains(&kept), "{kept}");
    // A job with more work than cannot be served does not wait behind it.
    assert!(!plan.drops(class(USUAL), 250_000, 1.0));
    // Little more is dropped once all VMs have done so.
    let mut left = forecast;
    left.droppable = DensityTable::default();
    left.waiting = Default::default();
    let rest = 300 * kept - 10_000;
    left.waiting
        .add(1, Duration::from_millis(90), u64::from(rest));
    left.droppable.add(1, USUAL, rest);
    assert_eq!(left.drop_plan(&shares, 1), None);
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

/// Guards against dropping jobs that have ample time only because more important work waits: the targets
/// finish that work after 200 ms, long before the jobs must start.
#[test]
fn backlog_of_higher_priorities_drops_no_job_with_enough_slack() {
    let mut forecast = LoadForecast {
        cores: 1000.0,
        offered: usual_load([500, 0, 100]),
        ..LoadForecast::default()
    };
    forecast.waiting.add(0, Duration::from_millis(300), 200_000);
    forecast.waiting.add(2, Duration::from_millis(700), 10_000);
    forecast.droppable.add(2, USUAL, 10_000);
    assert_eq!(forecast.drop_plan(&forecast.shares(), 2), None);
    // Nothing of a class without waiting work is unserved either.
    forecast.waiting = WaitingWork::default();
    forecast.waiting.add(0, Duration::from_millis(300), 200_000);
    assert_eq!(forecast.drop_plan(&forecast.shares(), 2), None);
    // What cannot start after the backlog is unserved, and no more than that.
    forecast.waiting.add(0, Duration::from_millis(300), 800_000);
    forecast.waiting.add(2, Duration::from_millis(700), 10_000);
    let plan = forecast.drop_plan(&forecast.shares(), 2);
    let plan = plan.expect("the backlog lasts longer than the slack");
    assert!(plan.drops(class(USUAL), 10_000, 0.0));
    assert!(!plan.drops(class(USUAL), 10_001, 0.0));
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
            assert_eq!(forecast.drop_plan(&shares, 1), None, "{waiting}");
        }
    }
}

/// A VM of a fluid model of a fleet whose VMs see each other's reports of the last five seconds.
#[derive(Clone, Debug, Default)]
struct ModelVm {
    /// The latest start, in milliseconds, and the work of each waiting job.
    waiting: Vec<(u64, u64)>,
    reported: (WaitingWork, DensityTable),
}

/// Ten VMs take twice the load that the targets can serve, and their reports are up to 5 s old.
/// Guards against VMs that all accept, or all refuse, the excess because they see the same old reports.
#[test]
fn old_reports() {
    const VMS: u64 = 10;
    const CORES: u64 = 1000;
    const STEP_MS: u64 = 10;
    const WORK: u64 = 2000;
    const SLACK_MS: u64 = 300;
    let load = usual_load([0, 2 * CORES as u32 / VMS as u32, 0]);
    let mut vms = vec![ModelVm::default(); VMS as usize];
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let (mut served, mut late, mut offered) = (0, 0, 0);
    for now in (0..30_000_u64).step_by(STEP_MS as usize) {
        for index in 0..vms.len() {
            let before = vms[index].waiting.len();
            vms[index].waiting.retain(|(start_by, _)| *start_by >= now);
            late += WORK * (before - vms[index].waiting.len()) as u64;
            let mut own = WaitingWork::default();
            for (start_by, work) in &vms[index].waiting {
                let slack = start_by.saturating_sub(now);
                own.add(1, Duration::from_millis(slack), *work);
            }
            if (now + index as u64 * 500).is_multiple_of(5000) {
                vms[index].reported = (own, load);
            }
            for _ in 0..2 * CORES * STEP_MS / WORK / VMS {
                let mut forecast = LoadForecast {
                    cores: CORES as f64,
                    ..LoadForecast::default()
                };
                forecast.add(&own, &load, &DensityTable::default());
                for (_, vm) in vms.iter().enumerate().filter(|(other, _)| *other != index) {
                    forecast.add(&vm.reported.0, &load, &DensityTable::default());
                }
                offered += WORK;
                let arriving = ArrivingJob {
                    slack: Duration::from_millis(SLACK_MS),
                    work: WORK,
                    ..job(1, class(USUAL))
                };
                let accepts = forecast.backlog() < Duration::from_millis(40)
                    || forecast.admit(&forecast.shares(), &arriving, rng.random())
                        == Admission::Accept;
                if accepts {
                    own.add(1, arriving.slack, WORK);
                    vms[index].waiting.push((now + SLACK_MS, WORK));
                }
            }
        }
        // The targets serve the most urgent work of all VMs.
        let mut budget = CORES * STEP_MS;
        while budget >= WORK {
            let most_urgent = vms.iter_mut().filter(|vm| !vm.waiting.is_empty());
            let Some(vm) = most_urgent.min_by_key(|vm| vm.waiting[0].0) else {
                break;
            };
            vm.waiting.remove(0);
            served += WORK;
            budget -= WORK;
        }
    }
    println!("{offered} offered, {served} served, {late} late");
    let capacity = 30_000 * CORES;
    assert!(served * 100 >= capacity * 85, "{served} of {capacity}");
    assert!(late * 20 <= served, "{late} late, {served} in time");
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

/// Guards against a refusal of a client that sends one job after the other to a small fleet: the load of
/// the last second is a little above the usable cores, and a report still shows the former job as waiting.
#[test]
fn load_close_to_the_capacity_is_accepted() {
    let mut forecast = LoadForecast {
        cores: 14.0,
        offered: usual_load([16, 0, 0]),
        ..LoadForecast::default()
    };
    forecast.waiting.add(0, Duration::from_millis(500), 900);
    let shares = forecast.shares();
    assert!(shares.share_of(0, class(USUAL)) < 0.95);
    let admission = forecast.admit(&shares, &job(0, class(USUAL)), 0.99);
    assert_eq!(admission, Admission::Accept);
    // Twice the capacity is a shortage.
    forecast.offered = usual_load([28, 0, 0]);
    let shares = forecast.shares();
    let admission = forecast.admit(&shares, &job(0, class(USUAL)), 0.99);
    assert_eq!(admission, Admission::OverShare);
}
