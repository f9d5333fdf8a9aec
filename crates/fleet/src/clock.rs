//! Estimates of another process's clock.
//!
//! Two uses: deadlines of orders are times on the target's clock, and the age of a message shows
//! whether it was held up on its way or by a paused process.

use std::collections::VecDeque;
use std::time::Duration;

use filbertpitch_types::prelude::*;

/// How long a sample of a remote clock is preferred for its short round trip. Clocks drift by up to
/// 2%, which is 40 ms in this time.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(2);

/// How much slower than real time the clock of a target may run, in percent.
const CLOCK_DRIFT_PERCENT: u32 = 2;

/// How long a lease lasts at most on a target whose clock is slow.
pub fn max_lease_duration(lease: Duration) -> Duration {
    lease + lease * CLOCK_DRIFT_PERCENT / 100
}

/// Follows the clock of a target from the time in its answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct RemoteClock {
    sample: Option<ClockSample>,
}

#[derive(Clone, Copy, Debug)]
struct ClockSample {
    /// Local time in the middle of the exchange.
    local: TimePoint,
    remote: TargetTime,
    round_trip: Duration,
}

impl RemoteClock {
    /// Takes over the time in an answer. A sample with a shorter round trip is more precise; it
    /// stays until it is old.
    pub fn observe(&mut self, sent: TimePoint, received: TimePoint, remote: TargetTime) {
        let round_trip = received.since(sent);
        let better = self.sample.is_none_or(|sample| {
            round_trip <= sample.round_trip || received.since(sample.local) > SAMPLE_LIFETIME
        });
        if better {
            self.sample = Some(ClockSample {
                local: sent + round_trip / 2,
                remote,
                round_trip,
            });
        }
    }

    /// Forgets everything, because another process answers.
    pub fn reset(&mut self) {
        self.sample = None;
    }

    /// The remote time at local time `now`; nothing before the first sample.
    pub fn at(&self, now: TimePoint) -> Option<TargetTime> {
        let sample = self.sample?;
        let elapsed = now.since(sample.local).as_millis();
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
        Some(TargetTime(sample.remote.0.saturating_add(elapsed)))
    }
}

/// How many of the latest messages the least delay is taken from.
const DELAY_SAMPLES: usize = 64;

/// Tells how long the messages of one sender have been on their way, beyond the least delay of its
/// recent messages.
///
/// The clocks of sender and receiver have different origins; their difference cancels out.
#[derive(Clone, Debug, Default)]
pub struct DelayEstimator {
    /// Receiver's time minus sender's time, in microseconds.
    differences: VecDeque<i64>,
}

impl DelayEstimator {
    /// Takes over a message that was sent at `sent` on the sender's clock.
    pub fn observe(&mut self, sent: TimePoint, received: TimePoint) {
        if self.differences.len() == DELAY_SAMPLES {
            self.differences.pop_front();
        }
        self.differences.push_back(difference(sent, received));
    }

    /// How much longer than the least delay it took from `issued`, on the sender's clock, to
    /// `received`.
    pub fn age(&self, issued: TimePoint, received: TimePoint) -> Duration {
        let Some(least) = self.differences.iter().min() else {
            return Duration::ZERO;
        };
        let excess = difference(issued, received) - least;
        Duration::from_micros(u64::try_from(excess).unwrap_or(0))
    }
}

fn difference(sent: TimePoint, received: TimePoint) -> i64 {
    let micros = |time: TimePoint| i64::try_from(time.0).unwrap_or(i64::MAX);
    micros(received) - micros(sent)
}
