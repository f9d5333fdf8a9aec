//! Predicts the run times of tasks from measurements, for each kind of work.
//!
//! Declared run times may be wrong by two orders of magnitude in either direction. They are used
//! only until run times have been measured, or if they prove to predict the measured ones.

use std::collections::HashMap;
use std::time::Duration;

use typed_index_collections::TiVec;

use crate::entity::{KindIndex, ServiceIndex};
use crate::histogram::{DecayingHistogram, Log2Value};

/// The weight of the prior, in samples.
const PRIOR_SAMPLES: f64 = 2.0;

/// The number of samples from which a prediction counts as learned.
const LEARNED_SAMPLES: u64 = 8;

/// The weight of the latest sample in the exponential moving average of the prediction error.
const ERROR_SMOOTHING: f64 = 0.05;

/// The upper bound of a prediction error, in doublings (a factor of 128). Without a bound, a single
/// straggler would decide which predictor is used.
const ERROR_CAP: f64 = 7.0;

/// Declared run times are used if the prediction error with them is below this fraction of the
/// error without them.
const DECLARED_ADVANTAGE: f64 = 0.8;

/// The quantile of run times that an attempt is not expected to exceed by much.
const UPPER_QUANTILE: f64 = 0.95;

/// The prior of the upper quantile, as a multiple of the median.
const UPPER_PRIOR: f64 = 2.0;

/// The interval at which the typical run time of a service is recomputed, in tasks of the service.
const TYPICAL_REFRESH_TASKS: u32 = 32;

/// The time constant with which the weights of a service's past tasks decay, in tasks.
const SERVICE_DECAY_TASKS: f64 = 1000.0;

/// The weight of one task from which all weights of the service are scaled down. It is far below
/// overflow.
const SERVICE_WEIGHT_LIMIT: f64 = 1e12;

/// Whether a task is expected to run much longer than its service's typical task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SizeClass {
    /// The task is expected to run about as long as the service's typical task, or less.
    #[default]
    Short,
    /// The task is expected to run much longer. Long tasks must not occupy all slots of a target.
    Long,
}

/// The parameters by which run times are classified.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EstimateSettings {
    /// A task is long if its expected run time exceeds the service's typical run time by this
    /// factor.
    pub long_factor: f64,
    /// An attempt is overdue when its run time exceeds the expected run time by this factor and the
    /// upper quantile by half of this factor.
    pub overdue_factor: f64,
    /// The shortest run time after which an attempt is overdue.
    pub overdue_floor: Duration,
    /// The share of the declared run time in the prediction before the first measurement; the rest
    /// is the configured run time of the kind. Both are combined on a logarithmic scale.
    pub declared_share: f64,
}

impl Default for EstimateSettings {
    fn default() -> Self {
        Self {
            long_factor: 4.0,
            overdue_factor: 4.0,
            overdue_floor: Duration::from_millis(20),
            declared_share: 0.5,
        }
    }
}

/// The predicted run time of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunPrediction {
    /// The expected run time.
    pub expected: Duration,
    /// Whether the expected run time is long for the service.
    pub size: SizeClass,
    /// The run time after which an attempt is overdue and its target is checked.
    pub overdue_after: Duration,
    /// Whether the prediction rests on measurements rather than on declared or configured values.
    pub learned: bool,
}

/// A predictor of log-scaled run times, or of their ratios to the declared ones.
#[derive(Clone, Debug)]
struct RunPredictor {
    histogram: DecayingHistogram,
    median: Option<Log2Value>,
    upper: Option<Log2Value>,
    /// The moving average of the distance between median and sample, in doublings.
    error: f64,
}

impl RunPredictor {
    fn new(histogram: DecayingHistogram) -> Self {
        Self {
            histogram,
            median: None,
            upper: None,
            error: 0.0,
        }
    }

    fn observe(&mut self, value: Log2Value) {
        if let Some(median) = self.median {
            let error = median.distance(value).min(ERROR_CAP);
            self.error += (error - self.error) * ERROR_SMOOTHING;
        }
        self.histogram.record(value);
        self.median = self.histogram.quantile(0.5);
        self.upper = self.histogram.quantile(UPPER_QUANTILE);
    }
}

#[derive(Clone, Debug)]
struct KindModel {
    service: ServiceIndex,
    /// The configured typical run time.
    typical: Log2Value,
    /// Predicts the run time without use of the declared one.
    absolute: RunPredictor,
    /// Predicts the ratio of the measured to the declared run time.
    relative: RunPredictor,
    /// The decaying number of the kind's tasks, relative to the other kinds of the service.
    weight: f64,
}

impl KindModel {
    fn new(service: ServiceIndex, typical: Log2Value) -> Self {
        Self {
            service,
            typical,
            absolute: RunPredictor::new(DecayingHistogram::for_durations()),
            relative: RunPredictor::new(DecayingHistogram::for_ratios()),
            weight: 0.0,
        }
    }

    /// The median and the upper quantile of the run time, as weighted means of prior and
    /// measurements.
    fn predict(&self, declared: Log2Value, declared_share: f64) -> (Log2Value, Log2Value) {
        let prior = self.typical.weighted_mean(declared, declared_share);
        let upper_factor = Log2Value::from_factor(UPPER_PRIOR);
        let (Some(median), Some(upper)) = self.learned(declared) else {
            return (prior, prior.times(upper_factor));
        };
        let samples = self.absolute.histogram.samples() as f64;
        let share = samples / (samples + PRIOR_SAMPLES);
        (
            prior.weighted_mean(median, share),
            prior.times(upper_factor).weighted_mean(upper, share),
        )
    }

    /// The median and the upper quantile from measurements: those of the run times or, if they predict
    /// better, those of the ratios to the declared run time, multiplied by the declared one.
    fn learned(&self, declared: Log2Value) -> (Option<Log2Value>, Option<Log2Value>) {
        let informative = self.relative.error < self.absolute.error * DECLARED_ADVANTAGE;
        if !informative {
            return (self.absolute.median, self.absolute.upper);
        }
        let scale = |ratio: Log2Value| ratio.times(declared);
        (
            self.relative.median.map(scale),
            self.relative.upper.map(scale),
        )
    }

    /// The run time that represents the kind in the typical run time of its service.
    fn representative(&self) -> Log2Value {
        let Some(median) = self.absolute.median else {
            return self.typical;
        };
        let samples = self.absolute.histogram.samples() as f64;
        self.typical
            .weighted_mean(median, samples / (samples + PRIOR_SAMPLES))
    }
}

#[derive(Clone, Debug)]
struct ServiceModel {
    kinds: Vec<KindIndex>,
    typical: Log2Value,
    /// The weight of the next task. It grows with each task, so that the weights of earlier tasks need
    /// no update.
    next_weight: f64,
    /// The number of tasks until `typical` is recomputed.
    until_refresh: u32,
}

impl Default for ServiceModel {
    fn default() -> Self {
        Self {
            kinds: Vec::new(),
            typical: Log2Value::from_duration(Duration::ZERO),
            next_weight: 1.0,
            until_refresh: 0,
        }
    }
}

/// Predicts the run times of all kinds of work.
#[derive(Clone, Debug, Default)]
pub struct RunEstimator {
    settings: EstimateSettings,
    kinds: TiVec<KindIndex, Option<KindModel>>,
    services: HashMap<ServiceIndex, ServiceModel>,
}

impl RunEstimator {
    /// Creates an estimator without kinds.
    pub fn new(settings: EstimateSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Adds a kind, or changes its configured typical run time. Measurements of the kind are kept.
    pub fn configure(&mut self, kind: KindIndex, service: ServiceIndex, typical: Duration) {
        let needed = usize::from(kind) + 1;
        if self.kinds.len() < needed {
            self.kinds.resize(needed, None);
        }
        let typical = Log2Value::from_duration(typical);
        match &mut self.kinds[kind] {
            Some(model) => model.typical = typical,
            empty => {
                *empty = Some(KindModel::new(service, typical));
                self.services.entry(service).or_default().kinds.push(kind);
            }
        }
        self.refresh_typical(service);
    }

    /// Predicts the run time of one task. For a kind that is not configured, the declared run time
    /// is the prediction.
    pub fn predict(&self, kind: KindIndex, declared: Duration) -> RunPrediction {
        let declared = Log2Value::from_duration(declared);
        let model = self.kinds.get(kind).and_then(Option::as_ref);
        let (expected, upper) = model.map_or((declared, declared), |model| {
            model.predict(declared, self.settings.declared_share)
        });
        let expected = expected.to_duration();
        let size = match model {
            Some(model) if self.is_long(model.service, expected) => SizeClass::Long,
            _ => SizeClass::Short,
        };
        RunPrediction {
            expected,
            size,
            overdue_after: self.overdue_after(expected, upper.to_duration()),
            learned: model
                .is_some_and(|model| model.absolute.histogram.samples() >= LEARNED_SAMPLES),
        }
    }

    /// Updates the model of a kind with the measured run time of a completed task.
    pub fn observe(&mut self, kind: KindIndex, declared: Duration, measured: Duration) {
        let Some(model) = self.kinds.get_mut(kind).and_then(Option::as_mut) else {
            return;
        };
        let measured = Log2Value::from_duration(measured);
        model.absolute.observe(measured);
        model
            .relative
            .observe(measured.ratio(Log2Value::from_duration(declared)));
        let service = model.service;
        self.add_task_weight(kind, service);
    }

    /// The typical run time of a service: the median over its kinds, weighted by their tasks.
    pub fn typical(&self, service: ServiceIndex) -> Option<Duration> {
        self.services
            .get(&service)
            .map(|model| model.typical.to_duration())
    }

    fn is_long(&self, service: ServiceIndex, expected: Duration) -> bool {
        self.typical(service)
            .is_some_and(|typical| expected > typical.mul_f64(self.settings.long_factor))
    }

    fn overdue_after(&self, expected: Duration, upper: Duration) -> Duration {
        let factor = self.settings.overdue_factor;
        let overdue = expected.mul_f64(factor).max(upper.mul_f64(factor / 2.0));
        overdue.max(self.settings.overdue_floor)
    }

    fn add_task_weight(&mut self, kind: KindIndex, service: ServiceIndex) {
        let Some(service_model) = self.services.get_mut(&service) else {
            return;
        };
        if let Some(model) = &mut self.kinds[kind] {
            model.weight += service_model.next_weight;
        }
        service_model.next_weight *= 1.0 + 1.0 / SERVICE_DECAY_TASKS;
        if service_model.next_weight > SERVICE_WEIGHT_LIMIT {
            let factor = service_model.next_weight.recip();
            service_model.next_weight = 1.0;
            for &kind in &service_model.kinds {
                if let Some(model) = &mut self.kinds[kind] {
                    model.weight *= factor;
                }
            }
        }
        if service_model.until_refresh == 0 {
            self.refresh_typical(service);
        } else {
            service_model.until_refresh -= 1;
        }
    }

    fn refresh_typical(&mut self, service: ServiceIndex) {
        let Some(service_model) = self.services.get_mut(&service) else {
            return;
        };
        let models = service_model
            .kinds
            .iter()
            .filter_map(|&kind| self.kinds[kind].as_ref());
        // A kind without tasks has the weight of one task, so that configured values apply at first.
        let mut run_times = models
            .map(|model| {
                (
                    model.representative(),
                    model.weight.max(service_model.next_weight),
                )
            })
            .collect::<Vec<_>>();
        if let Some(typical) = weighted_median(&mut run_times) {
            service_model.typical = typical;
        }
        service_model.until_refresh = TYPICAL_REFRESH_TASKS;
    }
}

/// The lower weighted median.
fn weighted_median(values: &mut [(Log2Value, f64)]) -> Option<Log2Value> {
    values.sort_by(|(left, _), (right, _)| left.total_cmp(*right));
    let half = values.iter().map(|(_, weight)| weight).sum::<f64>() / 2.0;
    let mut sum = 0.0;
    let found = values.iter().find(|(_, weight)| {
        sum += weight;
        sum >= half
    });
    found.map(|&(value, _)| value)
}
