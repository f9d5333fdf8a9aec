//! Estimates of the clocks of other processes.
//!
//! Requests to a target carry deadlines on the target's clock, so a holder estimates this clock.
//! For messages of peers, only the delay is estimated: a message that was held up in the network or
//! by a paused process may be out of date.

use std::collections::VecDeque;
use std::time::Duration;

use filbertpitch_types::prelude::*;

/// How long a sample is kept when later samples have longer round trips. A drift of 2% adds 40 ms
/// to the error of the estimate in two seconds.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(2);

/// The assumed maximum by which a target's clock runs slower than real time, in percent.
const CLOCK_DRIFT_PERCENT: u32 = 2;

/// The real time after which a lease counts as expired on a target whose clock runs slow.
pub fn max_lease_duration(lease: Duration) -> Duration {
    lease * 100 / (100 - CLOCK_DRIFT_PERCENT)
}

/// Estimates the clock of a target from the response with the shortest recent round trip.
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
    /// Records the target's time from a response. The response replaces the sample if its round
    /// trip is not longer, because a short round trip makes the estimate precise, or if the sample
    /// is older than `SAMPLE_LIFETIME`.
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

    /// Discards the sample. Must be called when the target has restarted, because the clock of the
    /// new process has another origin.
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

/// The number of recent messages whose minimum difference is the reference for later messages.
const DELAY_SAMPLES: usize = 64;

/// Estimates by how much the delay of a message exceeds the minimum delay of the sender's recent
/// messages.
///
/// The clocks of sender and receiver have different origins, so the delay itself is unknown. The
/// difference between receive time and send time contains the same clock offset in all messages, so
/// the offset cancels out when the minimum of recent messages is subtracted.
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

    /// By how much the delay from `issued`, a time on the sender's clock, to `received` exceeds the
    /// minimum delay of recent messages. Zero if the delay is shorter, and before the first
    /// message.
    pub fn excess_delay(&self, issued: TimePoint, received: TimePoint) -> Duration {
        let Some(minimum) = self.differences.iter().min() else {
            return Duration::ZERO;
        };
        let excess = difference(issued, received) - minimum;
        Duration::from_micros(u64::try_from(excess).unwrap_or(0))
    }
}

/// Receive time minus send time in microseconds, including the offset between the two clocks.
fn difference(sent: TimePoint, received: TimePoint) -> i64 {
    let micros = |time: TimePoint| i64::try_from(time.0).unwrap_or(i64::MAX);
    micros(received) - micros(sent)
}
