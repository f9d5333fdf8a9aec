//! A histogram over logarithmic buckets that forgets old samples.

use std::cmp::Ordering;
use std::time::Duration;

/// Buckets per doubling; a quantile is accurate to about 9%.
const BUCKETS_PER_DOUBLING: f64 = 8.0;

/// Covers a factor of 2^34, from 1 us to about 4.7 hours when it counts microseconds.
const BUCKET_COUNT: usize = 34 * BUCKETS_PER_DOUBLING as usize;

/// How many of the latest samples dominate.
const DECAY_SAMPLES: f64 = 300.0;

/// The weight at which all weights are scaled down, far below overflow.
const WEIGHT_LIMIT: f64 = 1e12;

/// A positive quantity as its base-2 logarithm, which makes errors by a factor symmetric.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Log2Value(f64);

impl Log2Value {
    /// A duration, at least 1 us.
    pub fn from_duration(duration: Duration) -> Self {
        Self((duration.as_micros().max(1) as f64).log2())
    }

    /// A plain factor above zero.
    pub fn from_factor(factor: f64) -> Self {
        Self(factor.log2())
    }

    /// The duration, limited to a range that cannot overflow.
    pub fn to_duration(self) -> Duration {
        Duration::from_micros(self.0.clamp(0.0, 50.0).exp2() as u64)
    }

    /// The quotient of two quantities.
    pub fn ratio(self, other: Self) -> Self {
        Self(self.0 - other.0)
    }

    /// The product of two quantities.
    pub fn times(self, other: Self) -> Self {
        Self(self.0 + other.0)
    }

    /// The geometric mean, with weight `share` on `other`.
    pub fn weighted_mean(self, other: Self, share: f64) -> Self {
        Self(self.0 + (other.0 - self.0) * share)
    }

    /// A total order, for sorting.
    pub fn total_cmp(self, other: Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }

    /// By how many doublings two quantities differ.
    pub fn distance(self, other: Self) -> f64 {
        (self.0 - other.0).abs()
    }
}

/// Decaying counts of log values.
#[derive(Clone, Debug)]
pub struct DecayingHistogram {
    /// The log value of the lowest bucket.
    lowest: f64,
    counts: Box<[f64; BUCKET_COUNT]>,
    total: f64,
    /// The weight of the next sample; it grows instead of shrinking all older weights.
    next_weight: f64,
    samples: u64,
}

impl DecayingHistogram {
    /// For run times from 1 us on.
    pub fn for_durations() -> Self {
        Self::with_lowest(0.0)
    }

    /// For ratios from 2^-17 to 2^17.
    pub fn for_ratios() -> Self {
        Self::with_lowest(-17.0)
    }

    fn with_lowest(lowest: f64) -> Self {
        Self {
            lowest,
            counts: Box::new([0.0; BUCKET_COUNT]),
            total: 0.0,
            next_weight: 1.0,
            samples: 0,
        }
    }

    /// Adds a sample.
    pub fn record(&mut self, value: Log2Value) {
        let position = (value.0 - self.lowest) * BUCKETS_PER_DOUBLING;
        let bucket = (position.max(0.0) as usize).min(BUCKET_COUNT - 1);
        self.counts[bucket] += self.next_weight;
        self.total += self.next_weight;
        self.next_weight *= 1.0 + 1.0 / DECAY_SAMPLES;
        self.samples += 1;
        if self.next_weight > WEIGHT_LIMIT {
            self.scale_down();
        }
    }

    fn scale_down(&mut self) {
        let factor = self.next_weight.recip();
        for count in self.counts.iter_mut() {
            *count *= factor;
        }
        self.total = self.counts.iter().sum();
        self.next_weight = 1.0;
    }

    /// How many samples were added.
    pub fn samples(&self) -> u64 {
        self.samples
    }

    /// The value below which the fraction `quantile` of the recent samples lies.
    pub fn quantile(&self, quantile: f64) -> Option<Log2Value> {
        let rank = self.total * quantile;
        let mut sum = 0.0;
        let bucket = self.counts.iter().position(|count| {
            sum += count;
            *count > 0.0 && sum >= rank
        })?;
        Some(Log2Value(
            self.lowest + (bucket as f64 + 0.5) / BUCKETS_PER_DOUBLING,
        ))
    }
}
