//! Relative speeds of the kinds of targets, learned from the runs that end.
//!
//! The logarithm of a run time over its reference (the declared or expected run time) is the sum of
//! an offset of its queue, the speed of the target's kind, and noise. Only comparisons within a
//! queue show the speed of a kind: a queue whose tasks run on one kind alone shows nothing. The
//! speeds are normalised so that the mean of their logarithms over the listed targets is 0.

use std::time::Duration;

use filbertpitch_dispatch::entity::{KindIndex, TargetIndex};
use filbertpitch_types::fleet::{KIND_LIMIT, KindId, KindSpeedReport, KindSpeedTable};
use filbertpitch_types::prelude::*;
use typed_index_collections::TiVec;

/// The most queues, counted for each role, whose runs are compared.
const ROW_LIMIT: usize = 32;

/// The weight limit of the runs of one queue on one kind.
const CELL_WEIGHT_LIMIT: f64 = 100.0;

/// The limit of one run's distance from the mean, as a natural logarithm: 3% of the runs take seven
/// times as long.
const MAX_RUN_DISTANCE: f64 = 1.0;

/// `MAX_RUN_DISTANCE` for the first `FIRST_RUNS` runs of a cell, whose mean is still inaccurate.
const MAX_FIRST_DISTANCE: f64 = 2.5;
const FIRST_RUNS: f64 = 4.0;

/// The weight, in runs, of the assumption that a kind has the mean speed.
const PRIOR_RUNS: f64 = 1.0;

/// The time in which the weight of a run halves.
const HALF_LIFE: Duration = Duration::from_secs(60);

/// The rounds in which the offsets of queues and the speeds of kinds are fitted in turn.
const FIT_ROUNDS: usize = 16;

/// The weight, in runs, from which a speed counts as known. With a spread of 0.57 per run, the
/// standard error is 0.2, a quarter of the difference between kinds at a ratio of 2.43.
const KNOWN_WEIGHT: f64 = 8.0;

/// The largest weight that one VM's report has, in runs.
const REPORT_WEIGHT_LIMIT: f64 = 64.0;

/// The limit of a speed, as a natural logarithm (a factor of 8).
const MAX_LOG_FACTOR: f64 = 2.08;

/// The change of a known speed, as a natural logarithm, that is announced: a quarter.
const ANNOUNCED_CHANGE: f64 = 0.223;

/// The ratio of two speeds from which one counts as slow compared with the other.
const UNEVEN_RATIO: f64 = 1.25;

/// The cost of a millisecond beyond the objective, in milliseconds of run time.
const LATENESS_WEIGHT: f64 = 4.0;

/// The cost, in milliseconds, of using a fast target for a task that a slow one could run in time.
const FAST_TARGET_COST_MS: f64 = 2.0;

/// The share of the fast targets' cores in use from which tasks that can run elsewhere in time make
/// room, and the range over which their preference changes.
const FAST_SCARCITY_START: f64 = 0.5;
const FAST_SCARCITY_RANGE: f64 = 0.3;

/// The cost of a scarce fast target relative to the time that it saves; above 1, a slow target that
/// is in time is preferred.
const SCARCE_COST_FACTOR: f64 = 1.1;

/// How long a task may wait for a fast target while more work waits than the targets can start
/// within `accept_all_backlog`, counted from the arrival of its job.
const OVERLOAD_WAIT_LIMIT: Duration = Duration::from_millis(30);

/// The longest time without a start or an end of a run on a fast target after which tasks still
/// wait for one.
const FAST_FREE_INTERVAL: Duration = Duration::from_millis(100);

/// The time for the request to a holder that a task must have left when it waits for a fast target.
const REQUEST_MARGIN_MS: f64 = 25.0;

/// Which VM's expectation a run is compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunRole {
    /// This VM coordinates the job; the run is compared with the declared run time.
    Coordinator,
    /// This VM holds the target; the run is compared with the coordinator's expectation.
    Holder,
}

/// The runs of one queue on one kind.
#[derive(Clone, Copy, Debug, Default)]
struct RunCell {
    /// The mean of the natural logarithm of run time over reference.
    mean: f64,
    weight: f64,
}

impl RunCell {
    fn observe(&mut self, log_ratio: f64) {
        self.weight = (self.weight + 1.0).min(CELL_WEIGHT_LIMIT);
        let limit = match self.weight <= FIRST_RUNS {
            true => MAX_FIRST_DISTANCE,
            false => MAX_RUN_DISTANCE,
        };
        let distance = (log_ratio - self.mean).clamp(-limit, limit);
        self.mean += distance / self.weight.max(1.0);
    }
}

/// The runs of one queue, by kind.
#[derive(Clone, Debug)]
struct QueueRow {
    queue: KindIndex,
    role: RunRole,
    cells: [RunCell; KIND_LIMIT],
}

/// A kind of targets.
#[derive(Clone, Debug)]
struct KindState {
    label: Box<str>,
    id: KindId,
    /// The number of listed targets.
    listed: u32,
    /// The natural logarithm of the factor on run times, learned by this VM.
    own: KindEstimate,
    /// The same, with what peers have learned.
    pooled: KindEstimate,
    /// The factor on run times by the pooled estimate.
    factor: f64,
    /// The change of the pooled estimate with the last update.
    log_change: f64,
    /// The speed that was last announced.
    announced: Option<f64>,
}

/// The natural logarithm of a factor on run times, and its weight in runs.
#[derive(Clone, Copy, Debug, Default)]
struct KindEstimate {
    log_factor: f64,
    weight: f64,
}

/// The learned speed of a kind.
#[derive(Clone, Debug, PartialEq)]
pub struct KindSpeed {
    /// The kind.
    pub label: Box<str>,
    /// The factor on run times; 1 is the mean speed.
    pub factor: f64,
    /// The weight of the estimate, in runs.
    pub weight: f64,
}

/// The learned speeds of all kinds.
#[derive(Clone, Debug, Default)]
pub struct KindSpeeds {
    kinds: Vec<KindState>,
    rows: Vec<QueueRow>,
    /// The position of each listed target's kind.
    targets: TiVec<TargetIndex, Option<usize>>,
    updated_at: Option<TimePoint>,
    /// When a run last started or ended on a fast target.
    fast_used_at: Option<TimePoint>,
}

impl KindSpeeds {
    /// Records the kind of a target; `None` if the target is not listed or has no kind. Kinds beyond
    /// [`KIND_LIMIT`] have no speed.
    pub fn set_kind(&mut self, target: TargetIndex, label: Option<&str>) {
        let needed = usize::from(target) + 1;
        if self.targets.len() < needed {
            self.targets.resize(needed, None);
        }
        let kind = label.and_then(|label| self.intern(label));
        let former = std::mem::replace(&mut self.targets[target], kind);
        if let Some(former) = former {
            self.kinds[former].listed -= 1;
        }
        if let Some(kind) = kind {
            self.kinds[kind].listed += 1;
        }
    }

    fn intern(&mut self, label: &str) -> Option<usize> {
        let found = self.kinds.iter().position(|kind| *kind.label == *label);
        if found.is_some() || self.kinds.len() == KIND_LIMIT {
            return found;
        }
        self.kinds.push(KindState {
            label: label.into(),
            id: KindId::of_label(label),
            listed: 0,
            own: KindEstimate::default(),
            pooled: KindEstimate::default(),
            factor: 1.0,
            log_change: 0.0,
            announced: None,
        });
        Some(self.kinds.len() - 1)
    }

    fn kind_of(&self, target: TargetIndex) -> Option<usize> {
        self.targets.get(target).copied().flatten()
    }

    /// The factor on run times of a target's kind; 1 if it is not known.
    pub fn factor_of(&self, target: TargetIndex) -> f64 {
        let kind = self.kind_of(target);
        kind.map_or(1.0, |kind| self.kinds[kind].factor)
    }

    /// The change of `factor_of` with the last update, as a natural logarithm.
    pub fn log_change_of(&self, target: TargetIndex) -> f64 {
        let kind = self.kind_of(target);
        kind.map_or(0.0, |kind| self.kinds[kind].log_change)
    }

    /// Learns from a completed run. The speeds change with the next [`Self::update`].
    pub fn observe(
        &mut self,
        (queue, role): (KindIndex, RunRole),
        target: TargetIndex,
        took: Duration,
        reference: Duration,
    ) {
        let Some(kind) = self.kind_of(target) else {
            return;
        };
        if took.is_zero() || reference.is_zero() {
            return;
        }
        let log_ratio = (took.as_secs_f64() / reference.as_secs_f64()).ln();
        let mut rows = self.rows.iter();
        let found = rows.position(|row| (row.queue, row.role) == (queue, role));
        let position = match found {
            Some(position) => position,
            None if self.rows.len() == ROW_LIMIT => return,
            None => {
                self.rows.push(QueueRow {
                    queue,
                    role,
                    cells: [RunCell::default(); KIND_LIMIT],
                });
                self.rows.len() - 1
            }
        };
        self.rows[position].cells[kind].observe(log_ratio);
    }

    /// Computes the speeds anew from the runs so far and from the reports of peers, and returns the
    /// speeds that are known for the first time or have changed by a quarter.
    pub fn update<I>(&mut self, now: TimePoint, reports: I) -> Vec<KindSpeed>
    where
        I: Iterator<Item = KindSpeedTable>,
    {
        self.decay(now);
        self.fit();
        self.pool(reports)
    }

    fn decay(&mut self, now: TimePoint) {
        let elapsed = now.since(self.updated_at.replace(now).unwrap_or(now));
        let factor = 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        for cell in self.rows.iter_mut().flat_map(|row| &mut row.cells) {
            cell.weight *= factor;
        }
    }

    /// Fits the offsets of queues and the speeds of kinds in turn.
    fn fit(&mut self) {
        let count = self.kinds.len();
        let mut factors = [0.0; KIND_LIMIT];
        for _ in 0..FIT_ROUNDS {
            let mut sums = [(0.0, PRIOR_RUNS); KIND_LIMIT];
            for row in &self.rows {
                let weight = row.cells.iter().map(|cell| cell.weight).sum::<f64>();
                if weight <= f64::EPSILON {
                    continue;
                }
                let cells = row.cells.iter().zip(&factors);
                let offset = cells.map(|(cell, factor)| cell.weight * (cell.mean - factor));
                let offset = offset.sum::<f64>() / weight;
                for (sum, cell) in sums.iter_mut().zip(&row.cells) {
                    sum.0 += cell.weight * (cell.mean - offset);
                    sum.1 += cell.weight;
                }
            }
            factors = sums.map(|(sum, weight)| sum / weight);
        }
        for (position, kind) in self.kinds.iter_mut().enumerate() {
            kind.own = KindEstimate {
                log_factor: factors[position],
                weight: contrast_weight(&self.rows, position, count),
            };
        }
        self.normalise(|kind| &mut kind.own);
    }

    /// Shifts the estimates so that their mean over the listed targets is 0. Kinds without an
    /// estimate are left out.
    fn normalise<F>(&mut self, estimate: F)
    where
        F: Fn(&mut KindState) -> &mut KindEstimate,
    {
        let (mut sum, mut targets) = (0.0, 0.0);
        for kind in &mut self.kinds {
            let listed = f64::from(kind.listed);
            let estimate = estimate(kind);
            if estimate.weight > 0.0 {
                sum += estimate.log_factor * listed;
                targets += listed;
            }
        }
        let mean = if targets > 0.0 { sum / targets } else { 0.0 };
        for kind in &mut self.kinds {
            let estimate = estimate(kind);
            estimate.log_factor = match estimate.weight > 0.0 {
                true => (estimate.log_factor - mean).clamp(-MAX_LOG_FACTOR, MAX_LOG_FACTOR),
                false => 0.0,
            };
        }
    }

    fn pool<I>(&mut self, reports: I) -> Vec<KindSpeed>
    where
        I: Iterator<Item = KindSpeedTable>,
    {
        let mut sums = [(0.0, 0.0); KIND_LIMIT];
        for (sum, kind) in sums.iter_mut().zip(&self.kinds) {
            let weight = kind.own.weight.min(REPORT_WEIGHT_LIMIT);
            *sum = (kind.own.log_factor * weight, weight);
        }
        for report in reports.flat_map(KindSpeedTable::into_reports) {
            let position = self.kinds.iter().position(|kind| kind.id == report.kind);
            if let Some(position) = position {
                let weight = f64::from(report.weight).min(REPORT_WEIGHT_LIMIT);
                let log_factor = report.log_factor();
                sums[position].0 += weight * log_factor.clamp(-MAX_LOG_FACTOR, MAX_LOG_FACTOR);
                sums[position].1 += weight;
            }
        }
        for (kind, (sum, weight)) in self.kinds.iter_mut().zip(sums) {
            kind.log_change = -kind.pooled.log_factor;
            // A speed is not used before it is known.
            kind.pooled = match weight >= KNOWN_WEIGHT {
                true => KindEstimate {
                    log_factor: sum / weight,
                    weight,
                },
                false => KindEstimate::default(),
            };
        }
        self.normalise(|kind| &mut kind.pooled);
        for kind in &mut self.kinds {
            kind.log_change += kind.pooled.log_factor;
            kind.factor = kind.pooled.log_factor.exp();
        }
        let kinds = self.kinds.iter_mut();
        kinds.filter_map(KindState::announce).collect()
    }

    /// What this VM has learned itself, for its peers.
    pub fn report(&self) -> KindSpeedTable {
        let kinds = self.kinds.iter().filter(|kind| kind.own.weight >= 1.0);
        let reports = kinds.map(|kind| {
            let weight = kind.own.weight.min(REPORT_WEIGHT_LIMIT) as u8;
            KindSpeedReport::new(kind.id, kind.own.log_factor, weight)
        });
        reports.collect::<Vec<_>>().into()
    }

    /// The known speeds.
    pub fn known(&self) -> impl Iterator<Item = (&str, f64)> {
        let kinds = self.kinds.iter();
        let known = kinds.filter(|kind| kind.pooled.weight > 0.0);
        known.map(|kind| (&*kind.label, kind.pooled.log_factor.exp()))
    }

    /// The fastest and the slowest known speed of a listed kind, if they differ enough to matter.
    pub fn spread(&self) -> Option<SpeedSpread> {
        let listed = self.kinds.iter().filter(|kind| kind.listed > 0);
        let known = listed.filter(|kind| kind.pooled.weight > 0.0);
        let factors = known.map(|kind| kind.pooled.log_factor.exp());
        let (fastest, slowest) = factors.fold((f64::MAX, 0.0_f64), |(least, most), factor| {
            (least.min(factor), most.max(factor))
        });
        (slowest >= fastest * UNEVEN_RATIO).then_some(SpeedSpread { fastest, slowest })
    }

    /// Records that a run has started or ended on a target.
    pub fn record_use(&mut self, now: TimePoint, target: TargetIndex) {
        if let Some(spread) = self.spread()
            && spread.is_fast(self.factor_of(target))
        {
            self.fast_used_at = Some(now);
        }
    }

    /// Whether fast targets have lately become free.
    pub fn fast_targets_free_up(&self, now: TimePoint) -> bool {
        let used_at = self.fast_used_at;
        used_at.is_some_and(|at| now.since(at) <= FAST_FREE_INTERVAL)
    }
}

impl KindState {
    /// The speed, if it is to be announced.
    fn announce(&mut self) -> Option<KindSpeed> {
        let KindEstimate { log_factor, weight } = self.pooled;
        let changed = self
            .announced
            .is_none_or(|last| (log_factor - last).abs() >= ANNOUNCED_CHANGE);
        (weight > 0.0 && changed).then(|| {
            self.announced = Some(log_factor);
            KindSpeed {
                label: self.label.clone(),
                factor: log_factor.exp(),
                weight,
            }
        })
    }
}

/// The number of runs on a kind that can be compared with runs of the same queue on other kinds.
fn contrast_weight(rows: &[QueueRow], kind: usize, count: usize) -> f64 {
    let weights = rows.iter().map(|row| {
        let own = row.cells[kind].weight;
        let cells = row.cells[..count].iter();
        let others = cells.map(|cell| cell.weight).sum::<f64>() - own;
        own.min(others.max(0.0))
    });
    weights.sum()
}

/// The speeds of the fastest and of the slowest kind, as factors on run times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedSpread {
    /// The factor of the fastest kind.
    pub fastest: f64,
    /// The factor of the slowest kind.
    pub slowest: f64,
}

impl SpeedSpread {
    /// Whether a kind with this factor is fast compared with the slowest one.
    pub fn is_fast(&self, factor: f64) -> bool {
        factor * UNEVEN_RATIO <= self.slowest
    }
}

/// Whether a task that is expected to take `nominal` misses an objective at the speed `factor` and
/// meets it at the speed `other`.
pub fn is_late_only_on(nominal: Duration, objective: Duration, factor: f64, other: f64) -> bool {
    let in_time = |factor| nominal.mul_f64(factor) <= objective;
    factor >= other * UNEVEN_RATIO && !in_time(factor) && in_time(other)
}

/// The time that a task has, and its nominal run time, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskBudget {
    /// The time until the task must end for its job to meet its objective; negative once it has
    /// passed.
    pub left_ms: f64,
    /// The expected run time on a target of mean speed.
    pub nominal_ms: f64,
    /// The time since the arrival of the job.
    pub waited: Duration,
}

impl TaskBudget {
    /// How late the task would end if it took this long from now on, in milliseconds.
    fn lateness_ms(&self, time_ms: f64) -> f64 {
        (time_ms - self.left_ms).max(0.0)
    }
}

/// A target as a task sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetSpeed {
    /// The factor on run times.
    pub factor: f64,
    /// The expected run time of the task on the target, in milliseconds.
    pub run_ms: f64,
    /// The delay of the request, in milliseconds.
    pub delay_ms: f64,
}

/// What one placement pass knows of targets of different speeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedContext {
    spread: SpeedSpread,
    fast_cores: f64,
    fast_free: f64,
    /// Whether fast targets have lately become free.
    pub fast_free_up: bool,
    /// Whether more work waits than the targets can start soon.
    pub overloaded: bool,
}

impl SpeedContext {
    /// A context without any target.
    pub fn new(spread: SpeedSpread) -> Self {
        Self {
            spread,
            fast_cores: 0.0,
            fast_free: 0.0,
            fast_free_up: false,
            overloaded: false,
        }
    }

    /// Adds a usable target.
    pub fn add_target(&mut self, factor: f64, capacity: &ResourceVector, free: &ResourceVector) {
        if self.spread.is_fast(factor) {
            self.fast_cores += f64::from(capacity.cpu.0);
            self.fast_free += f64::from(free.cpu.0);
        }
    }

    /// How scarce fast targets are, from 0 to 1. Under overload they are not reserved: tasks that run
    /// longer on slow targets would delay those that wait.
    fn scarcity(&self) -> f64 {
        if self.fast_cores <= 0.0 || self.overloaded {
            return 0.0;
        }
        let used = 1.0 - self.fast_free / self.fast_cores;
        ((used - FAST_SCARCITY_START) / FAST_SCARCITY_RANGE).clamp(0.0, 1.0)
    }

    /// The cost of a target for a task beyond its run time, in milliseconds.
    pub fn extra_cost_ms(&self, task: &TaskBudget, target: &TargetSpeed) -> f64 {
        let lateness = task.lateness_ms(target.run_ms + target.delay_ms);
        let slow_run = task.nominal_ms * self.spread.slowest;
        let needs_fast = task.lateness_ms(slow_run + REQUEST_MARGIN_MS) > 0.0;
        let reserve = match self.spread.is_fast(target.factor) && !needs_fast {
            true => {
                let saved = (slow_run - target.run_ms).max(0.0);
                FAST_TARGET_COST_MS + saved * SCARCE_COST_FACTOR * self.scarcity()
            }
            false => 0.0,
        };
        LATENESS_WEIGHT * lateness + reserve
    }

    /// Whether a task would run late on this target, the best of those with free capacity, and could
    /// still be in time on a fast one. Tasks that are in time on this target go before it.
    pub fn prefers_fast(&self, task: &TaskBudget, target: &TargetSpeed) -> bool {
        let late = task.lateness_ms(target.run_ms + target.delay_ms) > 0.0;
        let fast_run = task.nominal_ms * self.spread.fastest + REQUEST_MARGIN_MS;
        late && !self.spread.is_fast(target.factor)
            && task.lateness_ms(fast_run) <= 0.0
            && self.fast_cores > 0.0
    }

    /// Whether a task that prefers a fast target may wait for one although slow ones are free.
    pub fn permits_waiting(&self, task: &TaskBudget) -> bool {
        self.fast_free_up && (!self.overloaded || task.waited <= OVERLOAD_WAIT_LIMIT)
    }
}
