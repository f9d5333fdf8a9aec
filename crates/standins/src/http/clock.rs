//! The clock of the HTTP processes.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use filbertpitch_types::prelude::*;
use filbertpitch_types::time::ClockReading;

/// A clock that starts at the wall-clock time and then advances monotonically.
///
/// Time points count from the Unix epoch, so the ledgers of several processes of one machine can
/// be compared.
#[derive(Clone, Copy, Debug)]
pub struct HostClock {
    started: Instant,
    epoch: Duration,
}

impl HostClock {
    /// A clock that agrees with the wall clock now.
    ///
    /// # Panics
    /// When the wall clock is before 1970.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
            epoch: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .expect("the wall clock is after 1970"),
        }
    }

    /// Both clocks.
    pub fn now(&self) -> ClockReading {
        let since_epoch = self.epoch + self.started.elapsed();
        ClockReading {
            time: TimePoint(since_epoch.as_micros() as u64),
            wall: WallTime(since_epoch.as_millis() as u64),
        }
    }

    /// The instant of a time point; now if it has passed.
    pub fn instant(&self, time: TimePoint) -> Instant {
        let epoch = TimePoint(self.epoch.as_micros() as u64);
        self.started + time.since(epoch)
    }
}
