//! The engine's settings.

use std::time::Duration;

use crate::held::HeldSettings;
use crate::link::LinkSettings;

/// Bounds and intervals of the engine.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Held targets.
    pub held: HeldSettings,
    /// Other entry VMs.
    pub links: LinkSettings,
    /// How often ownership is reviewed without a change.
    pub reconcile_interval: Duration,
    /// How often the load is logged.
    pub sample_interval: Duration,
    /// How long a new process waits for the list of VMs before it claims targets that they may hold,
    /// and how long after a change of the VMs targets without a holder count as capacity.
    pub settling_time: Duration,
    /// The age at which the record of a VM that is not heard counts as that of a removed VM. VMs
    /// renew their records several times in this time.
    pub record_max_age: Duration,
    /// How long after the loss of a peer this VM makes itself known in the platform's store.
    pub record_renewal_period: Duration,
    /// How long a target is left to another holder that was found there.
    pub reclaim_delay: Duration,
    /// How long homes may take to say whether they want runs that were found.
    pub adoption_timeout: Duration,
    /// How long a target that is not listed any more stays usable while it answers. Entries that
    /// lapsed while the platform's list was not available return within two seconds.
    pub unlisted_grace: Duration,
    /// A process that was not scheduled for this long reviews what it believes.
    pub pause_threshold: Duration,
    /// The longest time that a client may wait.
    pub client_timeout_limit: Duration,
    /// The time in which the targets could do the waiting work up to which every job is accepted.
    pub accept_all_backlog: Duration,
    /// The part of the processor time of the targets that waiting tasks can use: tasks do not fill
    /// a target exactly.
    pub usable_cpu_share: f64,
    /// How much longer tasks run away from their data.
    pub far_factor: f64,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            held: HeldSettings::default(),
            links: LinkSettings::default(),
            reconcile_interval: Duration::from_millis(100),
            sample_interval: Duration::from_secs(1),
            settling_time: Duration::from_millis(1500),
            record_max_age: Duration::from_secs(30),
            record_renewal_period: Duration::from_secs(20),
            reclaim_delay: Duration::from_millis(1500),
            adoption_timeout: Duration::from_millis(60),
            unlisted_grace: Duration::from_millis(2500),
            pause_threshold: Duration::from_millis(350),
            client_timeout_limit: Duration::from_secs(60),
            accept_all_backlog: Duration::from_millis(40),
            usable_cpu_share: 0.88,
            far_factor: 1.5,
        }
    }
}
