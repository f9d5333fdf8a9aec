//! The clocks of an entry VM of a fleet.

use filbertpitch_types::prelude::*;
use filbertpitch_types::time::ClockReading;
use rustix::time::{ClockId, clock_gettime};

/// Reads both clocks. The monotonic time goes on while the VM is suspended, so that a lease or a
/// wait that ended meanwhile is seen to have ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetClock {
    origin_us: u64,
}

impl FleetClock {
    /// A clock whose monotonic time starts shortly after zero now: zero means never.
    pub(super) fn start() -> Self {
        Self {
            origin_us: read_us(ClockId::Boottime).saturating_sub(1_000_000),
        }
    }

    /// Reads both clocks.
    pub(super) fn read(&self) -> ClockReading {
        ClockReading {
            time: TimePoint(read_us(ClockId::Boottime).saturating_sub(self.origin_us)),
            wall: WallTime(read_us(ClockId::Realtime) / 1000),
        }
    }
}

fn read_us(clock: ClockId) -> u64 {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * 1_000_000 + nanos / 1000
}
