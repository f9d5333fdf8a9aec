//! The process's clocks.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use filbertpitch_types::prelude::*;
use filbertpitch_types::time::ClockReading;

/// Reads both clocks; monotonic time counts from the creation of the clock.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    started: Instant,
}

impl SystemClock {
    /// A clock whose monotonic time starts at zero now.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Reads both clocks.
    pub fn read(&self) -> ClockReading {
        let micros = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let millis = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        ClockReading {
            time: TimePoint(micros),
            wall: WallTime(millis),
        }
    }

    /// The instant at which the monotonic time reaches `time`.
    pub fn instant(&self, time: TimePoint) -> Instant {
        self.started + std::time::Duration::from_micros(time.0)
    }
}
