//! The parameters of placement.

use std::time::Duration;

/// The parameters of placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementSettings {
    /// The additional network time to a target in another zone. A task spills over only when its
    /// expected wait for a local slot is longer.
    pub spill_latency: Duration,
    /// This VM may use at most one in `spill_divisor` slots of a target in another zone, but at
    /// least one.
    pub spill_divisor: u16,
    /// How long a load report is valid.
    pub report_ttl: Duration,
    /// When borrowing: the slots left free for the other VMs of the zone, in addition to their
    /// recent peak use.
    pub borrow_margin: u16,
    /// When spilling over: the slots left free for the VMs of the other zone, in addition to their
    /// recent peak use.
    pub spill_margin: u16,
    /// The time in which the peak use of the other VMs decays by one slot.
    pub peak_decay: Duration,
    /// The first back-off of this VM's own share of a target after a busy refusal. Each further
    /// refusal doubles the back-off, up to `own_backoff_limit`.
    pub own_backoff: Duration,
    /// The longest back-off of the own share.
    pub own_backoff_limit: Duration,
    /// The first back-off of borrowing from a target, or of spilling over to it, after a busy
    /// refusal. Each further refusal doubles the back-off, up to `borrow_backoff_limit`.
    pub borrow_backoff: Duration,
    /// The longest back-off of borrowing and spilling over.
    pub borrow_backoff_limit: Duration,
    /// The time after the last sign that a target is leaving during which signs of its return are
    /// ignored, because delayed older messages may still arrive.
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
