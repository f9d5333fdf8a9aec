//! A bound on the lines of each event, so that a burst of failures cannot flood the log.

use std::collections::HashMap;
use std::time::Instant;

use super::LogEvent;

/// How many lines of one event are written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineRate {
    /// Lines in a burst.
    pub burst: f64,
    /// Lines per second in the long run.
    pub per_second: f64,
}

impl Default for LineRate {
    fn default() -> Self {
        Self {
            // One line for each target of two racks that fail together.
            burst: 20.0,
            per_second: 2.0,
        }
    }
}

impl LineRate {
    /// The rate of events that occur for each request: all lines of a VM at its usual load.
    pub const PER_REQUEST: Self = Self {
        burst: 400.0,
        per_second: 200.0,
    };
}

#[derive(Clone, Copy, Debug)]
struct EventBucket {
    lines: f64,
    updated: Instant,
    suppressed: u64,
}

/// Admits lines within the rate of their event and counts the others.
#[derive(Debug, Default)]
pub struct RateGate {
    rate: LineRate,
    buckets: HashMap<LogEvent, EventBucket>,
}

impl RateGate {
    /// A gate that has admitted nothing.
    pub fn new(rate: LineRate) -> Self {
        Self {
            rate,
            buckets: HashMap::new(),
        }
    }

    /// Whether a line may be written.
    pub fn admit(&mut self, now: Instant, event: LogEvent) -> bool {
        let rate = match event.spec().per_request() {
            true => LineRate::PER_REQUEST,
            false => self.rate,
        };
        let bucket = self.buckets.entry(event).or_insert(EventBucket {
            lines: rate.burst,
            updated: now,
            suppressed: 0,
        });
        let elapsed = now.saturating_duration_since(bucket.updated).as_secs_f64();
        bucket.lines = (bucket.lines + elapsed * rate.per_second).min(rate.burst);
        bucket.updated = now;
        let admitted = bucket.lines >= 1.0;
        match admitted {
            true => bucket.lines -= 1.0,
            false => bucket.suppressed += 1,
        }
        admitted
    }

    /// The events with lines that were not written since the last call, and how many.
    pub fn take_suppressed(&mut self) -> Vec<(LogEvent, u64)> {
        let buckets = self.buckets.iter_mut();
        let counts =
            buckets.map(|(event, bucket)| (*event, std::mem::take(&mut bucket.suppressed)));
        let mut counts = counts.filter(|(_, lines)| *lines > 0).collect::<Vec<_>>();
        counts.sort_by_key(|(event, _)| event.spec().number);
        counts
    }
}
