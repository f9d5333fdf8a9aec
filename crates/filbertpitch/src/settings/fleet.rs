//! The settings of an entry VM of a fleet whose targets run tasks under leases.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use filbertpitch_types::prelude::*;
use filbertpitch_types::units::DurationText;
use serde::Deserialize;
use serde_with::serde_as;

use super::findings::{SettingsFinding, SettingsFindings};
use super::load::{parse_fields, read_text};
use super::rules::{RuleCheck, require_fields};
use super::units::LogLevel;

/// A lease below this would end between two looks at a target.
const SHORTEST_LEASE: Duration = Duration::from_millis(500);

/// No client can tell sooner than this that its VM has failed.
const MIN_RESEND_DELAY: Duration = Duration::from_millis(500);

/// The least time for a planned stop: what the balancer needs to learn of it, and a job.
const SHORTEST_GRACE: Duration = Duration::from_secs(3);

/// The bounds of the processor time of a VM, in cores: what a thousandth of a core can count, and more
/// than a machine has.
const SMALLEST_SHARE: f64 = 0.001;
const LARGEST_SHARE: f64 = 1024.0;

/// A VM that is later than this is marked lost by its peers.
const LONGEST_LATENESS: Duration = Duration::from_secs(1);

/// Where an entry VM of a fleet listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetListen {
    /// For clients.
    pub callers: SocketAddr,
    /// For the balancer's question whether the VM takes new connections.
    pub ready: SocketAddr,
    /// For other entry VMs.
    pub peers: SocketAddr,
    /// For readers of metrics; nowhere if absent.
    pub metrics: Option<SocketAddr>,
}

/// The settings of one entry VM of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetNodeSettings {
    /// The VM's name.
    pub vm: VmName,
    /// The availability zone that the VM is in.
    pub availability_zone: ZoneName,
    /// Where it listens.
    pub listen: FleetListen,
    /// The platform's store.
    pub store: SocketAddr,
    /// Where other entry VMs may listen, in case the store is not available.
    pub seed_peers: Vec<SocketAddr>,
    /// The longest lease that targets grant.
    pub lease: Duration,
    /// The time after which clients send a job again whose VM has failed. Its runs must have ended by
    /// then.
    pub resend_delay: Duration,
    /// How long a planned stop may take.
    pub stop_grace: Duration,
    /// How much longer tasks run away from their data.
    pub far_factor: f64,
    /// The part of a core that the VM has; VMs with more hold more targets.
    pub processor_share: f64,
    /// Whether jobs are forwarded to other VMs of the zone while this VM handles its events late.
    pub forward_jobs: bool,
    /// How late this VM must handle its events before it forwards jobs. With zero, it forwards all
    /// jobs that another VM takes.
    pub forward_lateness: Duration,
    /// The least severe events that are logged.
    pub log_level: LogLevel,
}

/// Settings as they are in a file, where required values may be absent.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct FleetFile {
    vm: Option<VmName>,
    availability_zone: Option<ZoneName>,
    listen: ListenFile,
    store: Option<SocketAddr>,
    /// An element is absent if it is null or was not valid.
    seed_peers: Option<Vec<Option<SocketAddr>>>,
    #[serde_as(as = "DurationText")]
    lease: Duration,
    #[serde_as(as = "DurationText")]
    resend_delay: Duration,
    #[serde_as(as = "DurationText")]
    stop_grace: Duration,
    far_factor: f64,
    processor_share: f64,
    forward_jobs: bool,
    #[serde_as(as = "DurationText")]
    forward_lateness: Duration,
    log_level: LogLevel,
}

impl FleetNodeSettings {
    /// The processor time that the VM has.
    pub fn processor(&self) -> MilliCores {
        MilliCores((self.processor_share * 1000.0).round() as u32)
    }
}

impl Default for FleetFile {
    fn default() -> Self {
        Self {
            vm: None,
            availability_zone: None,
            listen: ListenFile::default(),
            store: None,
            seed_peers: None,
            lease: Duration::from_secs(1),
            resend_delay: Duration::from_millis(1300),
            stop_grace: Duration::from_secs(6),
            far_factor: 1.0,
            processor_share: 1.0,
            forward_jobs: true,
            forward_lateness: Duration::from_millis(8),
            log_level: LogLevel::default(),
        }
    }
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ListenFile {
    callers: Option<SocketAddr>,
    ready: Option<SocketAddr>,
    peers: Option<SocketAddr>,
    metrics: Option<SocketAddr>,
}

/// Reads the settings file of an entry VM of a fleet.
///
/// # Errors
/// Everything that is wrong with the file.
pub fn load_fleet_settings(path: &Path) -> Result<FleetNodeSettings, SettingsFindings> {
    let file = path.display().to_string();
    parse_fleet_settings(&file, &read_text(path)?)
}

/// Reads settings from text; `file` is its name in findings.
///
/// # Errors
/// Everything that is wrong with the text.
pub fn parse_fleet_settings(file: &str, text: &str) -> Result<FleetNodeSettings, SettingsFindings> {
    let mut findings = Vec::new();
    let parsed = parse_fields::<FleetFile>(file, text, &mut findings)?;
    check_rules(text, &parsed, &mut findings);
    match complete(parsed, &mut findings) {
        Some(settings) if findings.is_empty() => Ok(settings),
        _ => Err(SettingsFindings::new(file, findings)),
    }
}

fn check_rules(text: &str, file: &FleetFile, findings: &mut Vec<SettingsFinding>) {
    let mut check = RuleCheck { text, findings };
    let reachable = |address: &SocketAddr| !address.ip().is_unspecified() && address.port() != 0;
    let message = "it has no specific IP address and port";
    for (field, address) in [("listen.peers", file.listen.peers), ("store", file.store)] {
        check.require(address.as_ref().is_none_or(reachable), field, message);
    }
    check.at_least(file.lease, SHORTEST_LEASE, "lease");
    check.at_least(file.resend_delay, MIN_RESEND_DELAY, "resend_delay");
    check.at_least(file.stop_grace, SHORTEST_GRACE, "stop_grace");
    let valid = file.far_factor.is_finite() && file.far_factor >= 1.0;
    check.require(valid, "far_factor", "it is less than 1");
    let share = file.processor_share;
    let valid = (SMALLEST_SHARE..=LARGEST_SHARE).contains(&share);
    check.require(valid, "processor_share", "it is not between 0.001 and 1024");
    let valid = file.forward_lateness <= LONGEST_LATENESS;
    check.require(valid, "forward_lateness", "it is longer than 1s");
}

fn complete(file: FleetFile, findings: &mut Vec<SettingsFinding>) -> Option<FleetNodeSettings> {
    let required = [
        ("vm", file.vm.is_some()),
        ("availability_zone", file.availability_zone.is_some()),
        ("listen.callers", file.listen.callers.is_some()),
        ("listen.ready", file.listen.ready.is_some()),
        ("listen.peers", file.listen.peers.is_some()),
        ("store", file.store.is_some()),
    ];
    require_fields(&required, findings);
    Some(FleetNodeSettings {
        vm: file.vm?,
        availability_zone: file.availability_zone?,
        listen: FleetListen {
            callers: file.listen.callers?,
            ready: file.listen.ready?,
            peers: file.listen.peers?,
            metrics: file.listen.metrics,
        },
        store: file.store?,
        seed_peers: file.seed_peers.into_iter().flatten().flatten().collect(),
        lease: file.lease,
        resend_delay: file.resend_delay,
        stop_grace: file.stop_grace,
        far_factor: file.far_factor,
        processor_share: file.processor_share,
        forward_jobs: file.forward_jobs,
        forward_lateness: file.forward_lateness,
        log_level: file.log_level,
    })
}
