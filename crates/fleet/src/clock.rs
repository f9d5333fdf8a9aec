//! Estimates of the clocks of targets.
//!
//! Requests to a target carry deadlines on the target's clock, so a holder estimates this clock.

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
