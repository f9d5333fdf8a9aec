//! How long targets take to answer, and whether their answers get lost.
//!
//! Answers an interference in which a part of all calls gets no answer. An answer is missed after a
//! few round trips instead of a fixed time that fits the slowest target, and while answers get lost
//! more than one look is open at each target, so that the end of a run is hardly ever seen late.

use std::time::Duration;

use filbertpitch_types::prelude::*;

/// The share of the latest round trip in the mean, and of its distance in the deviation, as in the
/// retransmission timer of TCP (RFC 6298).
const MEAN_GAIN: f64 = 1.0 / 8.0;
const DEVIATION_GAIN: f64 = 1.0 / 4.0;

/// How many deviations an answer may take longer than the mean (RFC 6298).
const DEVIATION_FACTOR: f64 = 4.0;

/// How many answers in a row are taken to be lost before the target is taken to be slow: half of all
/// answers may get lost, and several calls are open at a time.
const TIMEOUTS_BEFORE_BACKOFF: u32 = 4;

/// How long after an answer was missed further ones are expected to get lost: as long as the users'
/// shortest interference that matters.
const LOSS_WINDOW: Duration = Duration::from_secs(2);

/// Bounds of the time for an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimeoutBounds {
    /// The least time: a few round trips between availability zones, of which one is for a new
    /// connection, and a turn of a busy VM.
    pub min: Duration,
    /// The most time, and the time while no round trip was measured. A target that takes longer
    /// counts as not answering.
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

/// Learns from round trips how long an answer may take.
#[derive(Clone, Debug, Default)]
pub struct RttEstimator {
    /// Seconds; none before the first round trip.
    mean: Option<f64>,
    /// Seconds.
    deviation: f64,
    /// The answers that were missed since the last one.
    timeouts: u32,
}

impl RttEstimator {
    /// Takes over the round trip of a call that was answered at once.
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

    /// Records that a call got no answer in time. The next ones get more time, in case that the target
    /// has become slow.
    pub fn record_timeout(&mut self) {
        self.timeouts = self.timeouts.saturating_add(1);
    }

    /// The time for an answer.
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

/// Whether answers get lost at the moment, judged by all targets of a holder.
#[derive(Clone, Copy, Debug, Default)]
pub struct LossDetector {
    lossy_until: Option<TimePoint>,
}

impl LossDetector {
    /// Records that an answer was missed.
    pub fn record_loss(&mut self, now: TimePoint) {
        self.lossy_until = Some(now + LOSS_WINDOW);
    }

    /// Whether answers are expected to get lost.
    pub fn is_lossy(&self, now: TimePoint) -> bool {
        self.lossy_until.is_some_and(|until| now < until)
    }
}
