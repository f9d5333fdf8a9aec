//! A lower bound of the clock of a target, and what follows for the end of its leases.
//!
//! Requests to a target name times on the target's clock. At the arrival of a response the clock shows
//! at least the time in the response: how long the request and the response were under way is unknown.
//! From then on it advances at 98% of real time or faster. A lease that is counted from this bound ends
//! no later than [`max_lease_duration`] after the decision to grant it, whatever the transit times are
//! and whenever the request is sent.

use std::time::Duration;

use filbertpitch_types::prelude::*;

/// The lowest rate of a target's clock, in percent of real time: the platform's targets may be 2% slow.
const MIN_CLOCK_RATE_PERCENT: u64 = 98;

/// The real time after which a lease has ended on a target whose clock may run slow; rounded up.
pub fn max_lease_duration(lease: Duration) -> Duration {
    let scaled = whole_micros(lease).saturating_mul(100);
    Duration::from_micros(scaled.div_ceil(MIN_CLOCK_RATE_PERCENT))
}

/// The longest lease that has ended after `duration` of real time on a target whose clock may run slow;
/// rounded down.
pub fn longest_lease_within(duration: Duration) -> Duration {
    Duration::from_micros(least_advance(duration))
}

/// The least time in microseconds by which a target's clock advances in `elapsed` of real time.
fn least_advance(elapsed: Duration) -> u64 {
    whole_micros(elapsed).saturating_mul(MIN_CLOCK_RATE_PERCENT) / 100
}

fn whole_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// The highest lower bound of a target's clock that its responses show.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetClock {
    sample: Option<ClockSample>,
}

#[derive(Clone, Copy, Debug)]
struct ClockSample {
    received: TimePoint,
    remote: TargetTime,
}

impl TargetClock {
    /// Records the target's time from a response that arrived at `received`, which must not be earlier
    /// than the arrival. The response replaces the sample if it raises the bound.
    pub fn observe(&mut self, received: TimePoint, remote: TargetTime) {
        if self.at(received).is_none_or(|bound| remote > bound) {
            self.sample = Some(ClockSample { received, remote });
        }
    }

    /// Discards the sample. Must be called when the target has restarted, because the clock of the
    /// new process has another origin.
    pub fn reset(&mut self) {
        self.sample = None;
    }

    /// Whether the target's time in the response to a request of `sent_at` is earlier than its clock had reached
    /// by then, so that another process with another clock has responded.
    pub fn is_behind(&self, sent_at: TimePoint, remote: TargetTime) -> bool {
        let sample = self.sample.filter(|sample| sample.received <= sent_at);
        sample.is_some() && self.at(sent_at).is_some_and(|reached| remote < reached)
    }

    /// A time that the target's clock has reached at local time `now`, rounded down; `None` before the
    /// first sample.
    pub fn at(&self, now: TimePoint) -> Option<TargetTime> {
        let sample = self.sample?;
        let advance_millis = least_advance(now.since(sample.received)) / 1000;
        Some(TargetTime(sample.remote.0.saturating_add(advance_millis)))
    }
}
