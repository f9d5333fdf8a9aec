//! Racks that waiting tasks prefer: other tasks leave these targets free, and a task that prefers a
//! rack may wait for it.

use std::time::Duration;

use filbertpitch_types::fleet::{RackId, RackTable};

use crate::kind_speed::TaskBudget;

/// The cost, in milliseconds, of using a target of a rack that waiting tasks prefer for a task that
/// does not prefer it. It exceeds the delay of a request to another VM of the zone.
pub const RACK_IN_DEMAND_COST_MS: f64 = 40.0;

/// How long a task may wait for its rack, as a share of the time that it saves there: when a target of
/// the rack becomes free is not known, and waiting for the whole time would save nothing.
const WAIT_SHARE: f64 = 0.5;

/// How long a task may wait for its rack under overload, counted from the arrival of its job.
const OVERLOAD_WAIT_LIMIT: Duration = Duration::from_millis(30);

/// The racks that waiting tasks of all live VMs prefer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RackDemand {
    /// Sorted, without duplicates.
    racks: Vec<RackId>,
}

impl RackDemand {
    /// Whether one of a target's racks is preferred by waiting tasks.
    pub fn includes(&self, racks: &[RackId]) -> bool {
        let mut racks = racks.iter();
        racks.any(|rack| self.racks.binary_search(rack).is_ok())
    }
}

impl FromIterator<RackTable> for RackDemand {
    /// Collects the racks that VMs have reported.
    fn from_iter<Reports>(reports: Reports) -> Self
    where
        Reports: IntoIterator<Item = RackTable>,
    {
        let racks = reports.into_iter().flat_map(RackTable::into_racks);
        let mut racks = racks.collect::<Vec<_>>();
        racks.sort_unstable();
        racks.dedup();
        Self { racks }
    }
}

/// Whether a task may wait for its preferred rack: waiting is faster than a run elsewhere, which takes
/// `far_factor` times as long, and the task can still be in time in its rack.
pub fn may_await_rack(task: &TaskBudget, far_factor: f64, overloaded: bool) -> bool {
    let saved_ms = task.nominal_ms * (far_factor - 1.0);
    let limit = Duration::from_secs_f64((saved_ms * WAIT_SHARE / 1000.0).max(0.0));
    let limit = match overloaded {
        true => limit.min(OVERLOAD_WAIT_LIMIT),
        false => limit,
    };
    task.waited <= limit && task.left_ms >= task.nominal_ms
}
