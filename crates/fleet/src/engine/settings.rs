//! Settings of the engine.

use std::time::Duration;

use crate::held::HeldSettings;
use crate::job_routing::RoutingSettings;
use crate::link::LinkSettings;

/// Limits and intervals of the engine.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Settings of held targets: leases, polls and time-outs.
    pub held: HeldSettings,
    /// Settings of the links to other entry VMs.
    pub links: LinkSettings,
    /// When jobs are forwarded to other VMs of the zone.
    pub routing: RoutingSettings,
    /// The interval of the periodic reconciliation.
    pub reconcile_interval: Duration,
    /// The interval between load samples in the log.
    pub sample_interval: Duration,
    /// How long a new process waits for the list of VMs before it claims targets that they may
    /// hold, and how long after a membership change targets without a holder still count as
    /// capacity.
    pub settling_time: Duration,
    /// The age at which the record of an unknown VM counts as that of a removed VM. VMs
    /// renew their records several times within this time.
    pub record_max_age: Duration,
    /// How long after the loss of a peer this VM renews its record in the platform's store more
    /// often.
    pub record_renewal_period: Duration,
    /// How long this VM does not claim a target again after the target refused its token.
    pub reclaim_delay: Duration,
    /// How long coordinators may take to claim found runs before these are stopped.
    pub adoption_timeout: Duration,
    /// How long a target that is no longer listed stays usable while it responds. Entries that
    /// expired while the platform's list was unavailable return within two seconds.
    pub unlisted_grace: Duration,
    /// The gap between two events from which the process counts as paused and revalidates its
    /// state.
    pub pause_threshold: Duration,
    /// Upper limit of the client timeout.
    pub client_timeout_limit: Duration,
    /// Every job is accepted while the targets could complete the waiting work within this time.
    pub accept_all_backlog: Duration,
    /// The share of the targets' processor time that waiting tasks can use: tasks do not fill a
    /// target exactly.
    pub usable_cpu_share: f64,
    /// The factor by which tasks run longer away from their data.
    pub far_factor: f64,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            held: HeldSettings::default(),
            links: LinkSettings::default(),
            routing: RoutingSettings::default(),
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
