//! Load shedding: which jobs are refused or dropped when the capacity is insufficient.
//!
//! Refusing a job has a cost that grows with its priority and, less than proportionally, with its
//! work. The least dense work, which costs least per core-millisecond, is refused first. All VMs
//! compute the same shares from the same reports; a class of work that is served in part is served in
//! the same part by each VM.

use std::collections::HashMap;
use std::time::Duration;

use filbertpitch_dispatch::entity::KindIndex;
use filbertpitch_types::fleet::{
    DENSITY_CLASSES, DensityTable, PRIORITY_CLASSES, WaitingWork, priority_class,
};
use filbertpitch_types::prelude::*;

/// The cost of refusing a job of usual size, per core-millisecond, by priority. While all priorities
/// ask for more than they get, they share the capacity in these proportions.
const PRIORITY_WEIGHTS: [f64; PRIORITY_CLASSES] = [8.0, 4.0, 2.0, 1.0];

/// A priority of the last class, whose weight is 1.
const LOWEST_PRIORITY: u8 = u8::MAX;

/// The cost of refusing a job grows with this power of its work.
const COST_EXPONENT: f64 = 0.5;

/// The least dense jobs of the density classes but the last, given by their work relative to the usual
/// work of the queue.
const CLASS_BOUNDS: [f64; DENSITY_CLASSES - 1] = [0.5, 0.8, 1.25, 2.0, 3.2];

/// A typical relative work of each density class, to convert work into a number of jobs.
const CLASS_WORK: [f64; DENSITY_CLASSES] = [0.35, 0.65, 1.0, 1.6, 2.5, 4.5];

/// The least share of each density class that is served, relative to the share of the jobs of its
/// priority that are served. The operators ask for 0.5 for the largest tenth of the jobs; the
/// difference allows for jobs that are accepted and not served, and for the width of the classes.
const LEAST_RELATIVE_SHARE: f64 = 0.9;

/// Jobs are refused by their share only while the offered load exceeds the usable cores by this factor. A
/// load close to the capacity exceeds it now and then: tasks may fill targets better than the usable
/// cores say, and the load is that of the last second only.
const SHORTAGE_RATIO: f64 = 1.25;

/// The number of jobs that dominate the usual work of a queue.
const USUAL_WORK_JOBS: f64 = 100.0;

/// By how many density classes a waiting job must be less dense than an arriving one to be dropped in
/// its favour. A refusal at arrival costs callers less than one after a wait.
const REPLACEMENT_CLASSES: usize = 2;

/// By how much the forecast start of a waiting job must exceed its latest start before it is dropped.
/// Jobs are accepted without such a margin, so that few accepted jobs are dropped a moment later.
const DROP_MARGIN: Duration = Duration::from_millis(100);

/// Work with a similar cost per core-millisecond, relative to its priority; 0 is the densest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DensityClass(u8);

impl Default for DensityClass {
    /// The class of a job of usual size.
    fn default() -> Self {
        Self::of(1, 1.0)
    }
}

impl DensityClass {
    /// The class of a job with this work in a queue with this usual work, both in core-milliseconds.
    pub fn of(work: u64, usual: f64) -> Self {
        let density = refusal_cost(LOWEST_PRIORITY, work, usual) / work as f64;
        let class = CLASS_BOUNDS.partition_point(|bound| density < relative_cost(*bound) / bound);
        Self(u8::try_from(class).unwrap_or(u8::MAX))
    }

    /// The position of the class in a [`DensityTable`].
    pub fn index(self) -> usize {
        usize::from(self.0).min(DENSITY_CLASSES - 1)
    }
}

impl std::fmt::Display for DensityClass {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(formatter)
    }
}

/// The cost of refusing a job, in core-milliseconds of a job of usual size and the lowest priority.
pub fn refusal_cost(priority: u8, work: u64, usual: f64) -> f64 {
    let usual = usual.max(1.0);
    let weight = PRIORITY_WEIGHTS[priority_class(priority)];
    weight * usual * relative_cost(work as f64 / usual)
}

/// The cost of refusing a job with this relative work, relative to that of a job of usual size.
fn relative_cost(work: f64) -> f64 {
    work.powf(COST_EXPONENT)
}

/// Why an accepted job of which nothing has started is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// By the forecast, not all waiting jobs can start in time.
    Forecast,
    /// The job can no longer be in time, and the targets have no capacity left for late jobs.
    Late,
    /// An arriving job gets the capacity.
    Replaced,
}

impl DropReason {
    /// The name of the reason in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Forecast => "forecast",
            Self::Late => "late",
            Self::Replaced => "replaced",
        }
    }
}

/// The geometric mean of the work of a queue's recent jobs.
#[derive(Clone, Copy, Debug, Default)]
struct UsualWork {
    weight: f64,
    mean_log: f64,
}

impl UsualWork {
    fn observe(&mut self, work: u64) {
        self.weight = (self.weight + 1.0).min(USUAL_WORK_JOBS);
        self.mean_log += ((work.max(1) as f64).ln() - self.mean_log) / self.weight;
    }

    fn core_ms(self) -> f64 {
        self.mean_log.exp()
    }
}

/// The state that load shedding keeps between decisions.
#[derive(Clone, Debug, Default)]
pub struct LoadShedder {
    usual_works: HashMap<KindIndex, UsualWork>,
    last_drops: [Option<TimePoint>; PRIORITY_CLASSES],
}

impl LoadShedder {
    /// Learns the work of an arriving job, in core-milliseconds. Returns its density class.
    pub fn classify(&mut self, queue: KindIndex, work: u64) -> DensityClass {
        let usual = self.usual_works.entry(queue).or_default();
        usual.observe(work);
        DensityClass::of(work, usual.core_ms())
    }

    /// The usual work of the jobs of a queue, in core-milliseconds.
    pub fn usual_work(&self, queue: KindIndex) -> f64 {
        let usual = self.usual_works.get(&queue).copied();
        usual.unwrap_or_default().core_ms()
    }

    /// When waiting jobs of a priority class were last dropped because of the forecast.
    pub fn last_drop(&self, class: usize) -> Option<TimePoint> {
        self.last_drops[class]
    }

    /// Records that waiting jobs of a priority class are dropped because of the forecast.
    pub fn record_drop(&mut self, class: usize, now: TimePoint) {
        self.last_drops[class] = Some(now);
    }
}

/// The share of the work of each density class that is served if `capacity` is available for a total
/// of `work`, in the same unit. Denser classes come first, and each class has a least share.
fn served_shares(work: &[u32; DENSITY_CLASSES], capacity: f64) -> [f64; DENSITY_CLASSES] {
    const SEARCH_STEPS: u32 = 24;
    let work = work.map(f64::from);
    if work.iter().sum::<f64>() <= capacity {
        return [1.0; DENSITY_CLASSES];
    }
    let jobs =
        std::array::from_fn::<_, DENSITY_CLASSES, _>(|class| work[class] / CLASS_WORK[class]);
    let shares_at = |cutoff: f64| {
        let shares = std::array::from_fn::<_, DENSITY_CLASSES, _>(|class| {
            (cutoff - class as f64).clamp(0.0, 1.0)
        });
        let served = shares.iter().zip(&jobs).map(|(share, jobs)| share * jobs);
        let least = LEAST_RELATIVE_SHARE * served.sum::<f64>() / jobs.iter().sum::<f64>();
        shares.map(|share| share.max(least))
    };
    let served = |shares: &[f64; DENSITY_CLASSES]| {
        let works = shares.iter().zip(&work).map(|(share, work)| share * work);
        works.sum::<f64>()
    };
    let (mut low, mut high) = (0.0, DENSITY_CLASSES as f64);
    for _ in 0..SEARCH_STEPS {
        let middle = (low + high) / 2.0;
        match served(&shares_at(middle)) <= capacity {
            true => low = middle,
            false => high = middle,
        }
    }
    shares_at(low)
}

/// The capacity that each priority gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityShares {
    cores: f64,
    allotted: [f64; PRIORITY_CLASSES],
    /// What each priority would get at least if it asked for more.
    guaranteed: [f64; PRIORITY_CLASSES],
    served: [[f64; DENSITY_CLASSES]; PRIORITY_CLASSES],
}

impl CapacityShares {
    /// Divides `cores` among the offered load, which is in tenths of cores. Each priority gets what it
    /// asks for, up to its share by weight of what is left by the priorities that ask for less.
    pub fn divide(offered: &DensityTable, cores: f64) -> Self {
        let offered_cores = offered
            .0
            .map(|densities| densities.iter().copied().map(f64::from).sum::<f64>() / 10.0);
        let mut allotted = [0.0; PRIORITY_CLASSES];
        let mut guaranteed = [0.0; PRIORITY_CLASSES];
        let mut open = [true; PRIORITY_CLASSES];
        let mut rest = cores;
        loop {
            let weights = PRIORITY_WEIGHTS.iter().zip(&open);
            let total = weights.map(|(weight, open)| if *open { *weight } else { 0.0 });
            let per_weight = rest / total.sum::<f64>().max(f64::EPSILON);
            for class in (0..PRIORITY_CLASSES).filter(|&class| open[class]) {
                guaranteed[class] = per_weight * PRIORITY_WEIGHTS[class];
            }
            let content = (0..PRIORITY_CLASSES).filter(|&class| {
                open[class] && offered_cores[class] <= per_weight * PRIORITY_WEIGHTS[class]
            });
            let content = content.collect::<Vec<_>>();
            if content.is_empty() {
                for class in (0..PRIORITY_CLASSES).filter(|&class| open[class]) {
                    allotted[class] = per_weight * PRIORITY_WEIGHTS[class];
                }
                break;
            }
            for class in content {
                open[class] = false;
                allotted[class] = offered_cores[class];
                rest -= offered_cores[class];
            }
        }
        let served = std::array::from_fn(|class| {
            served_shares(&offered.0[class], allotted[class].max(0.0) * 10.0)
        });
        Self {
            cores,
            allotted,
            guaranteed,
            served,
        }
    }

    /// The share of the jobs of a priority and a density class that is served.
    pub fn share_of(&self, priority: u8, density: DensityClass) -> f64 {
        self.served[priority_class(priority)][density.index()]
    }

    /// The cores that higher priorities leave to a priority class: at least its share by weight, also if
    /// it has asked for less in the last second. The work of a rare job counts there as if it were spread
    /// over that second, but must start sooner.
    pub fn cores_for(&self, class: usize) -> f64 {
        let above = self.allotted[..class].iter().sum::<f64>();
        (self.cores - above).max(self.guaranteed[class])
    }

    /// Whether some offered work cannot be served.
    pub fn are_short(&self) -> bool {
        self.served.iter().flatten().any(|share| *share < 1.0)
    }
}

/// An arriving job, as far as its admission depends on it.
#[derive(Clone, Copy, Debug)]
pub struct ArrivingJob {
    /// The priority of its queue; 0 is the most important.
    pub priority: u8,
    /// Its density class.
    pub density: DensityClass,
    /// The time until its first task must start.
    pub slack: Duration,
    /// Its work that is to start within the slack, in core-milliseconds.
    pub work: u64,
}

/// What is decided about an arriving job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The job is accepted.
    Accept,
    /// The share of its class is used up.
    OverShare,
    /// The job would start too late by this time. It is refused unless as much work of waiting jobs
    /// that are much less dense is dropped.
    TooLate(Duration),
}

/// The part of the waiting jobs of a priority that is dropped.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DropPlan {
    /// The work that cannot start in time, in core-milliseconds.
    unserved: f64,
    /// The share of the jobs of each density class that is kept.
    kept: [f64; DENSITY_CLASSES],
}

impl DropPlan {
    /// Whether a job is dropped; `draw` is a random number from 0 to 1. The last job to start has its
    /// own work still to do, so that a job with more work than cannot be served is not in the way.
    pub fn drops(&self, density: DensityClass, work: u64, draw: f64) -> bool {
        work as f64 <= self.unserved && draw >= self.kept[density.index()]
    }
}

/// The load and the capacity of all live VMs.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadForecast {
    /// The waiting work.
    pub waiting: WaitingWork,
    /// The offered load, in tenths of cores.
    pub offered: DensityTable,
    /// The work of jobs that can be dropped, in core-milliseconds.
    pub droppable: DensityTable,
    /// The usable cores.
    pub cores: f64,
}

impl LoadForecast {
    /// Adds the report of a VM.
    pub fn add(&mut self, waiting: &WaitingWork, offered: &DensityTable, droppable: &DensityTable) {
        self.waiting.merge(waiting);
        self.offered.merge(offered);
        self.droppable.merge(droppable);
    }

    /// The time that the targets need for the waiting work.
    pub fn backlog(&self) -> Duration {
        duration_ms(self.waiting.total() as f64 / self.cores.max(f64::EPSILON))
    }

    /// The offered load of all priorities, in cores.
    fn offered_cores(&self) -> f64 {
        self.offered
            .0
            .iter()
            .flatten()
            .copied()
            .map(f64::from)
            .sum::<f64>()
            / 10.0
    }

    /// The capacity that each priority gets.
    pub fn shares(&self) -> CapacityShares {
        CapacityShares::divide(&self.offered, self.cores)
    }

    /// Decides about an arriving job; `draw` is a random number from 0 to 1.
    pub fn admit(&self, shares: &CapacityShares, job: &ArrivingJob, draw: f64) -> Admission {
        let is_over = draw >= shares.share_of(job.priority, job.density);
        if is_over && self.offered_cores() > self.cores * SHORTAGE_RATIO {
            return Admission::OverShare;
        }
        let cores = shares.cores_for(priority_class(job.priority));
        let excess = self
            .waiting
            .excess_ms(job.priority, job.slack, job.work, cores, self.cores);
        match excess > 0.0 {
            true => Admission::TooLate(duration_ms(excess)),
            false => Admission::Accept,
        }
    }

    /// Which waiting jobs of a priority class cannot be served; `None` if all can.
    pub fn drop_plan(&self, shares: &CapacityShares, class: usize) -> Option<DropPlan> {
        let cores = shares.cores_for(class);
        let unserved = self.waiting.unserved(class, DROP_MARGIN, cores, self.cores);
        let droppable = &self.droppable.0[class];
        let total = droppable.iter().copied().map(f64::from).sum::<f64>();
        (unserved > 0.0 && total > 0.0).then(|| DropPlan {
            unserved,
            kept: served_shares(droppable, (total - unserved).max(0.0)),
        })
    }

    /// After which time a job of this priority may find capacity: the waiting work that is served
    /// before it is done, and so is the work by which the last second's load exceeds the capacity.
    pub fn time_to_capacity(&self, shares: &CapacityShares, priority: u8) -> Duration {
        let class = priority_class(priority);
        let ahead = self.waiting.total_to(class) as f64;
        let offered = self.offered.0[..=class].iter().flatten().copied();
        let offered = offered.map(f64::from).sum::<f64>() / 10.0;
        let beyond = (offered / self.cores.max(f64::EPSILON) - 1.0).max(0.0);
        duration_ms(ahead / shares.cores_for(class).max(f64::EPSILON) + beyond * 1000.0)
    }
}

/// Whether a waiting job is so much less dense than an arriving one of its priority that it is dropped
/// in its favour.
pub fn is_replaceable(waiting: DensityClass, arriving: DensityClass) -> bool {
    waiting.index() >= arriving.index() + REPLACEMENT_CLASSES
}

fn duration_ms(millis: f64) -> Duration {
    Duration::try_from_secs_f64(millis / 1000.0).unwrap_or(Duration::MAX)
}
