//! The rate of work over the last second.

use std::time::Duration;

use filbertpitch_types::prelude::*;

/// The length of one counting interval, in microseconds.
const INTERVAL_US: u64 = 1_000_000;

/// The work that was recorded in one interval.
#[derive(Clone, Copy, Debug, Default)]
struct IntervalCount {
    work_us: u64,
    records: u32,
}

/// Measures the work per second with two counting intervals, the current and the previous one. The
/// weight of the previous interval is the fraction of that interval that lies within the last
/// second.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkRate {
    interval_start: TimePoint,
    latest: TimePoint,
    current: IntervalCount,
    previous: IntervalCount,
}

impl WorkRate {
    /// Records work that was done at `now`.
    pub fn record(&mut self, now: TimePoint, work: Duration) {
        self.advance(now);
        let micros = u64::try_from(work.as_micros()).unwrap_or(u64::MAX);
        self.current.work_us = self.current.work_us.saturating_add(micros);
        self.current.records += 1;
    }

    /// Advances the measurement to `now`, so that the rate falls while no work is recorded.
    pub fn advance(&mut self, now: TimePoint) {
        self.latest = self.latest.max(now);
        let elapsed = self.elapsed_us();
        if elapsed >= 2 * INTERVAL_US {
            self.previous = IntervalCount::default();
            self.current = IntervalCount::default();
            self.interval_start = self.latest;
        } else if elapsed >= INTERVAL_US {
            self.previous = std::mem::take(&mut self.current);
            self.interval_start = TimePoint(self.interval_start.0 + INTERVAL_US);
        }
    }

    fn elapsed_us(&self) -> u64 {
        self.latest.0.saturating_sub(self.interval_start.0)
    }

    /// The work per second as of the latest `record` or `advance`.
    pub fn per_second(&self) -> Duration {
        let remaining = INTERVAL_US.saturating_sub(self.elapsed_us());
        let previous = u128::from(self.previous.work_us) * u128::from(remaining);
        let previous = (previous / u128::from(INTERVAL_US)) as u64;
        Duration::from_micros(self.current.work_us.saturating_add(previous))
    }

    /// The number of records in the two intervals.
    pub fn samples(&self) -> u32 {
        self.current.records + self.previous.records
    }
}
