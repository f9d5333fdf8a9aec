//! Work per second over the last one to two seconds.

use std::time::Duration;

use filbertpitch_types::prelude::*;

/// The length of one counting interval.
const INTERVAL: Duration = Duration::from_secs(1);

/// Counts work in two intervals: the current one and the one before it.
#[derive(Clone, Debug, Default)]
pub struct WorkRate {
    interval_start: TimePoint,
    latest: TimePoint,
    current: Duration,
    previous: Duration,
}

impl WorkRate {
    /// Counts work at `now`.
    pub fn record(&mut self, now: TimePoint, work: Duration) {
        self.advance(now);
        self.current += work;
    }

    /// Moves the measurement to `now`, so that a pause lowers the rate.
    pub fn advance(&mut self, now: TimePoint) {
        self.latest = self.latest.max(now);
        let elapsed = self.latest.since(self.interval_start);
        if elapsed >= INTERVAL * 2 {
            self.previous = Duration::ZERO;
            self.current = Duration::ZERO;
            self.interval_start = self.latest;
        } else if elapsed >= INTERVAL {
            self.previous = std::mem::take(&mut self.current);
            self.interval_start = self.interval_start + INTERVAL;
        }
    }

    /// The work per second as of the latest `record` or `advance`.
    pub fn per_second(&self) -> Duration {
        let elapsed = self.latest.since(self.interval_start).as_secs_f64();
        let remaining = (INTERVAL.as_secs_f64() - elapsed).max(0.0);
        self.current + self.previous.mul_f64(remaining / INTERVAL.as_secs_f64())
    }
}
