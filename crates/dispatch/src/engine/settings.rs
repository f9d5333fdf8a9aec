//! The engine's settings.

use std::time::Duration;

use crate::admission::AdmissionSettings;
use crate::check::CheckSettings;
use crate::estimate::EstimateSettings;
use crate::health::HealthSettings;
use crate::placement::PlacementSettings;
use crate::queue::QueueSettings;
use crate::submission::SubmissionSettings;

/// Bounds and intervals of the engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Bounds on remembered outcomes.
    pub submissions: SubmissionSettings,
    /// Placement.
    pub placement: PlacementSettings,
    /// Run-time estimates.
    pub estimates: EstimateSettings,
    /// Fair queueing.
    pub queue: QueueSettings,
    /// Admission; the limit on queued tasks comes from the configuration.
    pub admission: AdmissionSettings,
    /// Ejection of failing targets.
    pub health: HealthSettings,
    /// Checks of targets.
    pub checks: CheckSettings,
    /// The least lease of an attempt. Longer than most tasks run, so that they need no renewal.
    pub lease_floor: Duration,
    /// The lease as a multiple of the expected run time.
    pub lease_factor: u32,
    /// How long after the end of a lease the attempt counts as over: covers the difference
    /// between the clocks and a pause of the target's process.
    pub lease_margin: Duration,
    /// How long a failing job waits for its running attempts to be stopped.
    pub stop_timeout: Duration,
    /// The least age of an attempt before its target is checked.
    pub check_floor: Duration,
    /// The delay before a task that was refused several times in a row is queued again.
    pub refusal_delay: Duration,
    /// How often waiting tasks are offered without any other event.
    pub queue_retry_interval: Duration,
    /// How often epochs and other slow state advance.
    pub housekeeping_interval: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            submissions: SubmissionSettings::default(),
            placement: PlacementSettings::default(),
            // A task of a few milliseconds that is 20 ms late blocks nothing; throttling it cost
            // up to 4% of the messages when the VM itself was busy.
            estimates: EstimateSettings {
                overdue_floor: Duration::from_millis(200),
                ..EstimateSettings::default()
            },
            // Without it, a job of a light team shares the slots with a flooding team from its
            // first task on, which raised the light team's p99 by more than the bound of 1.3.
            queue: QueueSettings {
                resume_allowance: Duration::from_secs(2),
            },
            admission: AdmissionSettings::default(),
            health: HealthSettings::default(),
            checks: CheckSettings::default(),
            lease_floor: Duration::from_secs(5),
            lease_factor: 4,
            lease_margin: Duration::from_secs(1),
            stop_timeout: Duration::from_secs(2),
            check_floor: Duration::from_secs(1),
            refusal_delay: Duration::from_millis(5),
            queue_retry_interval: Duration::from_millis(10),
            housekeeping_interval: Duration::from_millis(500),
        }
    }
}
