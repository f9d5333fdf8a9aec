//! The names, addresses and configuration of a run.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_config::spec::{Configuration, KindSpec, ServiceSpec, TargetSpec, TeamSpec};
use filbertpitch_types::platform::{VmEntry, VmRole, VmState};
use filbertpitch_types::prelude::*;

/// Availability zones.
pub const ZONES: usize = 2;
/// Entry VMs in each zone at the start.
pub const VMS_PER_ZONE: usize = 2;
/// The wall clock at the start of every run, in milliseconds since the Unix epoch.
pub const EPOCH_MS: u64 = 1_700_000_000_000;

/// The service of all jobs.
pub const SERVICE: &str = "desk";
/// A kind that every target takes.
pub const COMMON_KIND: &str = "check";
/// A kind that every second target takes.
pub const RARE_KIND: &str = "quote";
/// The teams.
pub const TEAMS: [&str; 2] = ["east", "west"];

/// The address of the log.
pub fn log_address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 9, 0, 1), 9000))
}

/// The address of the VM list.
pub fn list_address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 9, 0, 2), 9000))
}

/// The address of the entry VM in `zone` that was the `number`th one there.
pub fn vm_address(zone: usize, number: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, zone as u8, 0, number), 7400))
}

/// The address of a target.
pub fn target_address(target: usize) -> SocketAddr {
    let zone = target_zone(target) as u8;
    SocketAddr::from((Ipv4Addr::new(10, zone, 1, target as u8), 7500))
}

/// The zone of a target.
pub fn target_zone(target: usize) -> usize {
    target % ZONES
}

/// The name of a zone.
pub fn zone_name(zone: usize) -> ZoneName {
    parse(&format!("zone-{zone}"))
}

/// The name of a target.
pub fn target_name(target: usize) -> TargetName {
    parse(&format!("target-{target}"))
}

/// The name of an entry VM in the list.
pub fn vm_name(address: SocketAddr) -> TargetName {
    parse(&address.ip().to_string())
}

/// The list entry of an entry VM.
pub fn vm_entry(zone: usize, address: SocketAddr) -> VmEntry {
    VmEntry {
        name: vm_name(address),
        address,
        zone: zone_name(zone),
        role: VmRole::Entry,
        state: VmState::Live,
    }
}

/// The list entry of a target.
pub fn target_entry(target: usize) -> VmEntry {
    VmEntry {
        name: target_name(target),
        address: target_address(target),
        zone: zone_name(target_zone(target)),
        role: VmRole::Target,
        state: VmState::Live,
    }
}

/// The kinds that a target takes.
pub fn takes(target: usize) -> BTreeMap<ServiceName, BTreeSet<KindName>> {
    let mut kinds = BTreeSet::from([parse(COMMON_KIND)]);
    if (target / ZONES).is_multiple_of(2) {
        kinds.insert(parse(RARE_KIND));
    }
    BTreeMap::from([(parse(SERVICE), kinds)])
}

/// The specification of a target.
pub fn target_spec(target: usize) -> TargetSpec {
    TargetSpec {
        zone: zone_name(target_zone(target)),
        address: target_address(target),
        slots: 8,
        connections: 64,
        takes: takes(target),
    }
}

/// The configuration at the start.
pub fn configuration(targets: usize) -> Rc<Configuration> {
    let kind = |millis| KindSpec {
        typical: Duration::from_millis(millis),
    };
    let service = ServiceSpec {
        kinds: BTreeMap::from([
            (parse(COMMON_KIND), kind(100)),
            (parse(RARE_KIND), kind(300)),
        ]),
        max_attempts: 3,
        retry_percent: 10,
    };
    let targets = (0..targets).map(|target| (target_name(target), target_spec(target)));
    Rc::new(Configuration {
        services: BTreeMap::from([(parse(SERVICE), service)]),
        targets: targets.collect(),
        teams: TEAMS
            .iter()
            .map(|team| (parse(team), TeamSpec::default()))
            .collect(),
        ..Configuration::default()
    })
}

/// Parses a constant or generated name.
pub fn parse<Name>(text: &str) -> Name
where
    Name: std::str::FromStr,
    Name::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}
