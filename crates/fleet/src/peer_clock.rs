//! Bounds on the clocks of peers.
//!
//! The clocks of two VMs have different origins, and the transit time of a message is unknown. What an
//! exchange shows is an order: the peer had received a message of this VM when its clock showed a
//! certain time, so the clock did not show that time before the message was sent. This bounds the age
//! of each message of the peer, however slow the link or either VM is and has been.

use filbertpitch_types::prelude::*;

/// The assumed maximum by which the steady clocks of two VMs differ in speed, in per mille: both go on
/// while a VM is suspended, and time synchronization changes the speed of a clock by at most 0.05%.
const MAX_DRIFT_PER_MILLE: u64 = 1;

/// The clocks are read in whole microseconds.
const CLOCK_RESOLUTION_US: u64 = 1;

/// Bounds when the process of a peer has sent its messages, from exchanges with the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerClock {
    bound: Option<ClockBound>,
}

/// The peer's clock did not show `remote` before the local time `local`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ClockBound {
    local: TimePoint,
    remote: TimePoint,
}

impl ClockBound {
    /// The earliest local time, in microseconds, at which the peer's clock can have shown `time`.
    fn not_before(self, time: TimePoint) -> i128 {
        let distance = time.0.abs_diff(self.remote.0);
        let error = (distance / 1000 * MAX_DRIFT_PER_MILLE)
            .saturating_add(MAX_DRIFT_PER_MILLE + CLOCK_RESOLUTION_US);
        i128::from(self.local.0) + i128::from(time.0)
            - i128::from(self.remote.0)
            - i128::from(error)
    }
}

impl PeerClock {
    /// Records an exchange: a message was sent at local time `sent` or later, and the process had
    /// received it when its clock showed `remote`. Keeps the bound that is best for messages from now
    /// on.
    pub fn observe(&mut self, sent: TimePoint, remote: TimePoint) {
        let observed = ClockBound {
            local: sent,
            remote,
        };
        let improves = self.bound.is_none_or(|bound| {
            let latest = remote.max(bound.remote);
            observed.not_before(latest) >= bound.not_before(latest)
        });
        if improves {
            self.bound = Some(observed);
        }
    }

    /// The earliest local time at which the clock of the process can have shown `time`; `None` before
    /// the first exchange.
    pub fn not_before(&self, time: TimePoint) -> Option<TimePoint> {
        let earliest = self.bound?.not_before(time).max(0);
        Some(TimePoint(u64::try_from(earliest).unwrap_or(u64::MAX)))
    }
}
