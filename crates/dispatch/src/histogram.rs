//! A histogram over logarithmic buckets in which the weights of old samples decay.

use std::cmp::Ordering;
use std::time::Duration;

/// The number of buckets per doubling, which makes a quantile accurate to about 9%.
const BUCKETS_PER_DOUBLING: f64 = 8.0;

/// The number of buckets. They cover a factor of 2^34: for run times, 1 us to about 4.7 hours.
const BUCKET_COUNT: usize = 34 * BUCKETS_PER_DOUBLING as usize;

/// The time constant with which the weights of samples decay, in samples.
const DECAY_SAMPLES: f64 = 300.0;

/// The weight of one sample from which all weights are scaled down. It is far below overflow.
const WEIGHT_LIMIT: f64 = 1e12;

/// The base-2 logarithm of a positive quantity. On this scale, errors by a factor are symmetric.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Log2Value(f64);

impl Log2Value {
    /// The logarithm of a duration in microseconds. Durations below 1 us count as 1 us.
    pub fn from_duration(duration: Duration) -> Self {
        Self((duration.as_micros().max(1) as f64).log2())
    }

    /// The logarithm of a dimensionless factor, which must be positive.
    pub fn from_factor(factor: f64) -> Self {
        Self(factor.log2())
    }

    /// The duration that this value is the logarithm of, limited to a range that cannot overflow.
    pub fn to_duration(self) -> Duration {
        Duration::from_micros(self.0.clamp(0.0, 50.0).exp2() as u64)
    }

    /// The quotient of the two quantities.
    pub fn ratio(self, other: Self) -> Self {
        Self(self.0 - other.0)
    }

    /// The product of the two quantities.
    pub fn times(self, other: Self) -> Self {
        Self(self.0 + other.0)
    }

    /// The weighted geometric mean of the two quantities; `share` is the weight of `other`.
    pub fn weighted_mean(self, other: Self, share: f64) -> Self {
        Self(self.0 + (other.0 - self.0) * share)
    }

    /// Compares the quantities in a total order, for sorting.
    pub fn total_cmp(self, other: Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }

    /// The difference between the quantities in doublings, without its sign.
    pub fn distance(self, other: Self) -> f64 {
        (self.0 - other.0).abs()
    }
}

/// A histogram whose latest samples have the largest weights.
#[derive(Clone, Debug)]
pub struct DecayingHistogram {
    /// The lower bound of the first bucket, as a base-2 logarithm.
    lowest: f64,
    /// The sum of the weights of the samples in each bucket.
    weights: Box<[f64; BUCKET_COUNT]>,
    total: f64,
    /// The weight of the next sample. It grows with each sample, so that the weights of earlier samples
    /// need no update.
    next_weight: f64,
    samples: u64,
}

impl DecayingHistogram {
    /// Creates a histogram of run times from 1 us.
    pub fn for_durations() -> Self {
        Self::with_lowest(0.0)
    }

    /// Creates a histogram of ratios from 2^-17 to 2^17.
    pub fn for_ratios() -> Self {
        Self::with_lowest(-17.0)
    }

    fn with_lowest(lowest: f64) -> Self {
        Self {
            lowest,
            weights: Box::new([0.0; BUCKET_COUNT]),
            total: 0.0,
            next_weight: 1.0,
            samples: 0,
        }
    }

    /// Adds a sample. A value outside the range counts in the first or the last bucket.
    pub fn record(&mut self, value: Log2Value) {
        let position = (value.0 - self.lowest) * BUCKETS_PER_DOUBLING;
        let bucket = (position.max(0.0) as usize).min(BUCKET_COUNT - 1);
        self.weights[bucket] += self.next_weight;
        self.total += self.next_weight;
        self.next_weight *= 1.0 + 1.0 / DECAY_SAMPLES;
        self.samples += 1;
        if self.next_weight > WEIGHT_LIMIT {
            self.scale_down();
        }
    }

    fn scale_down(&mut self) {
        let factor = self.next_weight.recip();
        for weight in self.weights.iter_mut() {
            *weight *= factor;
        }
        self.total = self.weights.iter().sum();
        self.next_weight = 1.0;
    }

    /// The number of samples that were added, regardless of their weights.
    pub fn samples(&self) -> u64 {
        self.samples
    }

    /// The value below which the fraction `quantile` of the weighted samples lies; `None` without
    /// samples.
    pub fn quantile(&self, quantile: f64) -> Option<Log2Value> {
        let rank = self.total * quantile;
        let mut sum = 0.0;
        let bucket = self.weights.iter().position(|weight| {
            sum += weight;
            *weight > 0.0 && sum >= rank
        })?;
        Some(Log2Value(
            self.lowest + (bucket as f64 + 0.5) / BUCKETS_PER_DOUBLING,
        ))
    }
}
