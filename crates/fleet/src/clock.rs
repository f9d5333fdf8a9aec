//! Estimates of the clocks of other processes.
//!
//! The deadlines in requests to a target are times on its clock. The age of a message of a peer
//! shows whether the network or a paused process delayed the message.

use std::collections::VecDeque;
use std::time::Duration;

use filbertpitch_types::prelude::*;

/// How long a sample of a remote clock is preferred for its short round trip. Clocks drift by up to
/// 2%, which is 40 ms in this time.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(2);

/// How much slower than real time the clock of a target may run, in percent.
const CLOCK_DRIFT_PERCENT: u32 = 2;

/// The longest real time for which a lease lasts on a target with a slow clock.
pub fn max_lease_duration(lease: Duration) -> Duration {
    lease + lease * CLOCK_DRIFT_PERCENT / 100
}

/// Estimates the time on the clock of a target from the times in its responses.
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
    /// Adds the time from a response. A sample with a shorter round trip is more precise and is
    /// kept until it is older than `SAMPLE_LIFETIME`.
    pub fn observe(&mut self, sent: TimePoint, received: TimePoint, remote: TargetTime) {
        let round_trip = received.since(sent);
        let replaces = self.sample.is_none_or(|sample| {
            round_trip <= sample.round_trip || received.since(sample.local) > SAMPLE_LIFETIME
        });
        if replaces {
            self.sample = Some(ClockSample {
                local: sent + round_trip / 2,
                remote,
                round_trip,
            });
        }
    }

    /// Discards the sample when another process answers, whose clock has another origin.
    pub fn reset(&mut self) {
        self.sample = None;
    }

    /// The estimated remote time at local time `now`; `None` before the first sample.
    pub fn at(&self, now: TimePoint) -> Option<TargetTime> {
        let sample = self.sample?;
        let elapsed = now.since(sample.local).as_millis();
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
        Some(TargetTime(sample.remote.0.saturating_add(elapsed)))
    }
}

/// Number of the latest messages over which the minimum delay is taken.
const DELAY_SAMPLES: usize = 64;

/// Estimates how long the messages of one sender are delayed beyond the minimum delay of its recent
/// messages.
///
/// The clocks of sender and receiver have different origins, which cancel out in the comparison.
#[derive(Clone, Debug, Default)]
pub struct DelayEstimator {
    /// Receive time minus send time of recent messages, in microseconds.
    differences: VecDeque<i64>,
}

impl DelayEstimator {
    /// Adds a message that was sent at `sent` on the sender's clock.
    pub fn observe(&mut self, sent: TimePoint, received: TimePoint) {
        if self.differences.len() == DELAY_SAMPLES {
            self.differences.pop_front();
        }
        self.differences.push_back(difference(sent, received));
    }

    /// The time from `issued`, on the sender's clock, to `received`, beyond the minimum delay; zero
    /// before the first message.
    pub fn excess_delay(&self, issued: TimePoint, received: TimePoint) -> Duration {
        let Some(minimum) = self.differences.iter().min() else {
            return Duration::ZERO;
        };
        let excess = difference(issued, received) - minimum;
        Duration::from_micros(u64::try_from(excess).unwrap_or(0))
    }
}

fn difference(sent: TimePoint, received: TimePoint) -> i64 {
    let micros = |time: TimePoint| i64::try_from(time.0).unwrap_or(i64::MAX);
    micros(received) - micros(sent)
}
