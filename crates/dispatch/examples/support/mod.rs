//! Measures the processor time and resident memory of this process, and builds a configuration to
//! measure with. Processor time is used because wall time depends on the other load of the machine.

#![allow(dead_code, reason = "each example uses another part")]

pub mod fleet;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_config::spec::{
    Configuration, KindSpec, LimitSpec, ServiceSpec, TargetSpec, TeamSpec,
};
use filbertpitch_types::prelude::*;
use rustix::time::{ClockId, clock_gettime};

/// The number of repetitions of each measurement. The least result is the most accurate, because
/// other load of the machine only adds to it.
pub const REPETITIONS: usize = 3;

/// The processor time (user and system) of this process so far, in nanoseconds.
pub fn processor_ns() -> f64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    time.tv_sec as f64 * 1e9 + time.tv_nsec as f64
}

/// The resident memory of this process, in bytes.
pub fn resident_bytes() -> u64 {
    let process = procfs::process::Process::myself().expect("procfs is mounted");
    let pages = process.statm().expect("statm is readable").resident;
    pages * procfs::page_size()
}

/// Returns the least and the greatest of several measurements.
pub fn least_and_greatest<F>(mut measure: F) -> (f64, f64)
where
    F: FnMut() -> f64,
{
    let results = (0..REPETITIONS).map(|_| measure()).collect::<Vec<_>>();
    let least = results.iter().copied().fold(f64::INFINITY, f64::min);
    let greatest = results.iter().copied().fold(0.0, f64::max);
    (least, greatest)
}

/// The name of the only service of the configuration.
pub fn service_name() -> ServiceName {
    "desk".parse().expect("valid name")
}

/// The kinds of the service. All targets accept the first, two thirds the second and one third the
/// third.
pub fn kind_names() -> [KindName; 3] {
    ["stock", "quote", "confirm"].map(|text| text.parse().expect("valid name"))
}

/// The zone that every target is in.
pub fn zone_name() -> ZoneName {
    "zone0".parse().expect("valid name")
}

/// The name of a team.
pub fn team_name(index: usize) -> TeamName {
    format!("team{index:03}").parse().expect("valid name")
}

fn target_address(index: usize) -> SocketAddr {
    let address = u32::from(Ipv4Addr::new(10, 0, 0, 0)) + index as u32;
    SocketAddr::from((Ipv4Addr::from(address), 7500))
}

/// Builds a configuration of `targets` targets with 8 slots and `teams` teams without quotas.
pub fn configuration_of(targets: usize, teams: usize) -> Rc<Configuration> {
    let (service, kinds) = (service_name(), kind_names());
    let typical = Duration::from_millis(50);
    let spec = |index: usize| TargetSpec {
        zone: zone_name(),
        address: target_address(index),
        slots: 8,
        connections: 64,
        takes: BTreeMap::from([(
            service.clone(),
            kinds[..3 - index % 3]
                .iter()
                .cloned()
                .collect::<BTreeSet<_>>(),
        )]),
    };
    let named = |index: usize| format!("target{index:05}").parse().expect("valid name");
    let service_spec = ServiceSpec {
        kinds: kinds
            .iter()
            .map(|kind| (kind.clone(), KindSpec { typical }))
            .collect(),
        max_attempts: 3,
        retry_percent: 10,
    };
    Rc::new(Configuration {
        services: BTreeMap::from([(service.clone(), service_spec)]),
        targets: (0..targets)
            .map(|index| (named(index), spec(index)))
            .collect(),
        teams: (0..teams)
            .map(|index| (team_name(index), TeamSpec::default()))
            .collect(),
        limits: LimitSpec {
            queued_tasks: 10_000_000,
            ..LimitSpec::default()
        },
    })
}
