//! Percentiles of durations over one interval.

use std::time::Duration;

use hdrhistogram::Histogram;

/// The longest duration that is told from longer ones, in microseconds: 1 hour.
const HIGHEST_MICROS: u64 = 3_600_000_000;
/// Two digits keep the error of a percentile below 1%.
const DIGITS: u8 = 2;

/// Percentiles of an interval, in microseconds; zero if nothing was recorded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DelaySummary {
    /// The median.
    pub p50: u64,
    /// The 99th percentile.
    pub p99: u64,
    /// The maximum.
    pub max: u64,
}

/// The durations of the current interval.
#[derive(Clone, Debug)]
pub struct DelayWindow(Histogram<u32>);

impl Default for DelayWindow {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, HIGHEST_MICROS, DIGITS);
        Self(histogram.expect("the bounds are valid"))
    }
}

impl DelayWindow {
    /// Adds a duration.
    pub fn record(&mut self, duration: Duration) {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(micros);
    }

    /// The percentiles since the last call.
    pub fn take(&mut self) -> DelaySummary {
        if self.0.is_empty() {
            return DelaySummary::default();
        }
        let summary = DelaySummary {
            p50: self.0.value_at_quantile(0.5),
            p99: self.0.value_at_quantile(0.99),
            max: self.0.max(),
        };
        self.0.reset();
        summary
    }
}
