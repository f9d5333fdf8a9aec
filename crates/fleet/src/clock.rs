//! Estimates of the delay of messages of peers: a message that was held up in the network or by a
//! paused process may be out of date.

use std::collections::VecDeque;
use std::time::Duration;

use filbertpitch_types::prelude::*;

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
