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
#[derive(Clone, Debug, Default)]
pub struct RackDemand {
    racks: Vec<RackId>,
}

impl RackDemand {
    /// Adds the racks that one VM has reported.
    pub fn add(&mut self, report: RackTable) {
        self.racks.extend(report.into_racks());
    }

    /// Whether one of a target's labels is a rack that waiting tasks prefer.
    pub fn includes(&self, labels: &[Box<str>]) -> bool {
        let mut labels = labels.iter().map(|label| RackId::of_label(label));
        !self.racks.is_empty() && labels.any(|label| self.racks.contains(&label))
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
