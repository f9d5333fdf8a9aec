//! The parameters of placement.

use std::time::Duration;

/// The parameters of placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementSettings {
    /// The extra network time of a target in another zone; work spills over only when its expected
    /// wait exceeds this.
    pub spill_latency: Duration,
    /// A target in another zone gives this VM one slot in so many.
    pub spill_divisor: u16,
    /// How long a load report counts.
    pub report_ttl: Duration,
    /// Slots left free for the other VMs of the zone beyond their recent use when borrowing.
    pub borrow_margin: u16,
    /// Slots left free for the VMs of another zone beyond their recent use when spilling over.
    pub spill_margin: u16,
    /// The time after which the remembered peak use of the other VMs falls by one slot.
    pub peak_decay: Duration,
    /// The pause of a target's own share after a busy refusal; doubles up to `own_pause_limit`.
    pub own_backoff: Duration,
    /// The longest pause of the own share.
    pub own_backoff_limit: Duration,
    /// The pause of borrowing from a target after a busy refusal; doubles up to
    /// `borrow_pause_limit`.
    pub borrow_backoff: Duration,
    /// The longest pause of borrowing.
    pub borrow_backoff_limit: Duration,
    /// How long signs that a leaving target is back are ignored, because older messages that were
    /// delayed may still arrive.
    pub return_delay: Duration,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            spill_latency: Duration::from_millis(2),
            spill_divisor: 4,
            report_ttl: Duration::from_millis(250),
            borrow_margin: 1,
            spill_margin: 2,
            peak_decay: Duration::from_millis(100),
            own_backoff: Duration::from_millis(2),
            own_backoff_limit: Duration::from_millis(100),
            borrow_backoff: Duration::from_millis(50),
            borrow_backoff_limit: Duration::from_secs(2),
            return_delay: Duration::from_secs(3),
        }
    }
}
