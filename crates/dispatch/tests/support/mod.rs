//! Builds configurations for the placement tests.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_config::spec::{Configuration, KindSpec, ServiceSpec, TargetSpec};
use filbertpitch_dispatch::catalog::ConfigCatalog;
use filbertpitch_types::prelude::*;

pub fn name<N>(text: String) -> N
where
    N: std::str::FromStr,
    N::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

/// Builds a catalog from the zone, slots and connections of each target. Every target accepts the
/// kind `quote` of the service `desk`.
pub fn catalog_of(targets: &[(usize, u16, u16)]) -> ConfigCatalog {
    let service: ServiceName = name("desk".into());
    let kind: KindName = name("quote".into());
    let typical = Duration::from_millis(50);
    let service_spec = ServiceSpec {
        kinds: BTreeMap::from([(kind.clone(), KindSpec { typical })]),
        max_attempts: 3,
        retry_percent: 10,
    };
    let target_spec = |&(zone, slots, connections): &(usize, u16, u16)| TargetSpec {
        zone: name(format!("zone{zone}")),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        slots,
        connections,
        takes: BTreeMap::from([(service.clone(), BTreeSet::from([kind.clone()]))]),
    };
    let configuration = Configuration {
        services: BTreeMap::from([(service.clone(), service_spec)]),
        targets: (0..)
            .zip(targets)
            .map(|(index, target)| (name(format!("target{index:05}")), target_spec(target)))
            .collect(),
        ..Configuration::default()
    };
    let mut catalog = ConfigCatalog::default();
    catalog.install(Rc::new(configuration));
    catalog
}
