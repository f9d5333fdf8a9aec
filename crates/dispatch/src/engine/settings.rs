//! The settings of the engine.

use std::time::Duration;

use crate::admission::AdmissionSettings;
use crate::check::CheckSettings;
use crate::estimate::EstimateSettings;
use crate::health::HealthSettings;
use crate::placement::PlacementSettings;
use crate::queue::QueueSettings;
use crate::submission::SubmissionSettings;

/// The settings of the engine and its components.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Limits on the retained outcomes.
    pub submissions: SubmissionSettings,
    /// Placement of attempts on targets.
    pub placement: PlacementSettings,
    /// Run-time estimates.
    pub estimates: EstimateSettings,
    /// Fair queueing.
    pub queue: QueueSettings,
    /// Admission. The configuration overrides the limit on queued tasks.
    pub admission: AdmissionSettings,
    /// Ejection of failing targets.
    pub health: HealthSettings,
    /// Checks of targets.
    pub checks: CheckSettings,
    /// The shortest lease of an attempt; longer than the run time of most tasks, so that they need
    /// no renewal.
    pub lease_floor: Duration,
    /// The lease as a multiple of the expected run time.
    pub lease_factor: u32,
    /// The time after the end of a lease until the attempt counts as ended. Covers clock skew and
    /// a pause of the target's process.
    pub lease_margin: Duration,
    /// How long a failing job waits for its running attempts to be stopped.
    pub stop_timeout: Duration,
    /// The least age of an attempt at which its target is checked.
    pub check_floor: Duration,
    /// The first delay before a task is requeued after repeated consecutive refusals.
    pub refusal_delay: Duration,
    /// The interval at which queued tasks are offered to targets without any other event.
    pub queue_retry_interval: Duration,
    /// The interval of housekeeping, which advances the epochs.
    pub housekeeping_interval: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            submissions: SubmissionSettings::default(),
            placement: PlacementSettings::default(),
            // A task of a few milliseconds that is 20 ms late does not block others. Throttling
            // such tasks added up to 4% of the messages when the VM itself was busy.
            estimates: EstimateSettings {
                overdue_floor: Duration::from_millis(200),
                ..EstimateSettings::default()
            },
            // Without the allowance, a team with little load shares the slots with an overloading
            // team from its first task on, which raised its p99 above the limit of 1.3.
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
