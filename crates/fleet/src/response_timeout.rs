//! Time-outs for responses of targets, and detection of lost responses.
//!
//! Some faults leave a part of all calls without a response. To detect a lost response within a few
//! round trips, the time-out follows the measured round-trip time of the target instead of a fixed
//! value that suits the slowest one. While responses get lost, more than one poll is open at each
//! target, so that the end of a run is rarely reported late.

use std::time::Duration;

use filbertpitch_types::prelude::*;

/// Weights of the latest sample in the mean and in the mean deviation, as in the retransmission
/// timer of TCP (RFC 6298).
const MEAN_GAIN: f64 = 1.0 / 8.0;
const DEVIATION_GAIN: f64 = 1.0 / 4.0;

/// The mean deviations that the time-out adds to the mean round-trip time (RFC 6298).
const DEVIATION_FACTOR: f64 = 4.0;

/// Time-outs in a row that count as losses; further ones double the time-out, because the target
/// may be slow. Up to half of all responses may get lost, and several calls are open at a time.
const TIMEOUTS_BEFORE_BACKOFF: u32 = 4;

/// How long losses are expected after one was detected: the shortest fault that matters to
/// users.
const LOSS_WINDOW: Duration = Duration::from_secs(2);

/// Bounds of the response time-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimeoutBounds {
    /// The lower bound: covers a few round trips between availability zones, one of them for a new
    /// connection, and a scheduling delay on a busy VM.
    pub min: Duration,
    /// The upper bound, also used before the first measurement. A target with a longer response
    /// time counts as not responding.
    pub max: Duration,
}

impl Default for TimeoutBounds {
    fn default() -> Self {
        Self {
            min: Duration::from_millis(25),
            max: Duration::from_millis(80),
        }
    }
}

/// Estimates the round-trip time to a target and derives the response time-out.
#[derive(Clone, Debug, Default)]
pub struct RttEstimator {
    /// Mean round-trip time in seconds; `None` before the first sample.
    mean: Option<f64>,
    /// Mean deviation in seconds.
    deviation: f64,
    /// Time-outs since the last response.
    timeouts: u32,
}

impl RttEstimator {
    /// Adds the round-trip time of a call that the target answers without waiting.
    pub fn observe(&mut self, round_trip: Duration) {
        let sample = round_trip.as_secs_f64();
        self.timeouts = 0;
        match &mut self.mean {
            None => {
                self.mean = Some(sample);
                self.deviation = sample / 2.0;
            }
            Some(mean) => {
                let distance = (sample - *mean).abs();
                self.deviation += (distance - self.deviation) * DEVIATION_GAIN;
                *mean += (sample - *mean) * MEAN_GAIN;
            }
        }
    }

    /// Records that a call timed out. Several time-outs in a row lengthen the time-out, in case the
    /// target has become slow.
    pub fn record_timeout(&mut self) {
        self.timeouts = self.timeouts.saturating_add(1);
    }

    /// The current response time-out.
    pub fn timeout(&self, settings: &TimeoutBounds) -> Duration {
        let Some(mean) = self.mean else {
            return settings.max;
        };
        let learned = Duration::from_secs_f64(mean + self.deviation * DEVIATION_FACTOR);
        let doublings = self
            .timeouts
            .saturating_sub(TIMEOUTS_BEFORE_BACKOFF)
            .min(u32::BITS - 1);
        let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
        let learned = learned.max(settings.min).saturating_mul(factor);
        learned.min(settings.max)
    }
}

/// Detects phases in which responses get lost, from the calls to all targets of a holder.
#[derive(Clone, Copy, Debug, Default)]
pub struct LossDetector {
    lossy_until: Option<TimePoint>,
}

impl LossDetector {
    /// Records a lost response.
    pub fn record_loss(&mut self, now: TimePoint) {
        self.lossy_until = Some(now + LOSS_WINDOW);
    }

    /// Whether further losses are expected.
    pub fn is_lossy(&self, now: TimePoint) -> bool {
        self.lossy_until.is_some_and(|until| now < until)
    }
}
