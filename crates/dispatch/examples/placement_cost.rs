//! Measures the cost of one placement, with its accounting, for several numbers of targets.
//!
//! Run with `cargo run --release -p filbertpitch-dispatch --example placement_cost`.

mod support;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_config::spec::{Configuration, KindSpec, ServiceSpec, TargetSpec};
use filbertpitch_dispatch::catalog::ConfigCatalog;
use filbertpitch_dispatch::placement::{
    AllocationEnd, Placement, PlacementRequest, PlacementSettings, SlotClass, TargetTable,
};
use filbertpitch_types::prelude::*;
use filbertpitch_types::target::LoadReport;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;
use support::processor_ns;

const SLOTS: u16 = 8;
const ROUNDS: u32 = 1_000_000;

/// Builds a catalog of `count` targets in one zone and three kinds, each with a different set of
/// targets.
fn catalog_of(count: usize) -> ConfigCatalog {
    let parse = |text: &str| text.parse::<KindName>().expect("valid name");
    let kinds = ["stock", "quote", "confirm"].map(parse);
    let service: ServiceName = "desk".parse().expect("valid name");
    let typical = Duration::from_millis(50);
    let spec = |index: usize| TargetSpec {
        zone: "zone0".parse().expect("valid name"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        slots: SLOTS,
        connections: 64,
        takes: BTreeMap::from([(
            service.clone(),
            kinds[..3 - index % 3]
                .iter()
                .cloned()
                .collect::<BTreeSet<_>>(),
        )]),
    };
    let named = |index: usize| format!("t{index:05}").parse().expect("valid name");
    let configuration = Configuration {
        services: BTreeMap::from([(
            service.clone(),
            ServiceSpec {
                kinds: kinds
                    .iter()
                    .map(|kind| (kind.clone(), KindSpec { typical }))
                    .collect(),
                max_attempts: 3,
                retry_percent: 10,
            },
        )]),
        targets: (0..count)
            .map(|index| (named(index), spec(index)))
            .collect(),
        ..Configuration::default()
    };
    let mut catalog = ConfigCatalog::default();
    catalog.install(Rc::new(configuration));
    catalog
}

fn request_of(catalog: &ConfigCatalog) -> PlacementRequest {
    let service = "desk".parse().expect("valid name");
    let kind = "stock".parse().expect("valid name");
    PlacementRequest {
        kind: catalog.kind_index(&service, &kind).expect("configured"),
        class: SlotClass::Short,
        expected: Duration::from_millis(50),
        exclude: SmallVec::new(),
        repeatable: true,
        wait_estimate: Duration::ZERO,
    }
}

/// Returns the nanoseconds per start, end and load report together at 70% load, and per
/// [`Placement::Wait`] when all slots are in use.
fn measure(count: usize) -> (f64, f64) {
    let mut catalog = catalog_of(count);
    let home = catalog.intern_zone(&"zone0".parse().expect("valid name"));
    let mut table = TargetTable::new(PlacementSettings::default());
    let mut now = TimePoint(0);
    table.install(now, &catalog, home);
    let request = request_of(&catalog);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut allocations = VecDeque::new();
    let live = count * usize::from(SLOTS) * 7 / 10;
    let mut start = |table: &mut TargetTable, now: TimePoint| {
        let Placement::Start(target) = table.place(now, &request, &mut rng) else {
            return None;
        };
        Some(table.record_start(now, target, request.class, request.expected))
    };
    while allocations.len() < live {
        allocations.extend(start(&mut table, now));
    }
    let start_ns = processor_ns();
    for _ in 0..ROUNDS {
        now = now + Duration::from_micros(50_000 / live as u64 + 1);
        let allocation = allocations.pop_front().expect("attempts are live");
        let target = allocation.target();
        table.record_end(now, allocation, AllocationEnd::Ran);
        let running = table.running(target);
        let load = LoadReport {
            slots: SLOTS,
            running,
            throttled: 0,
            leaving: false,
            boot: 0,
        };
        table.report_load(now, target, &load);
        allocations.extend(start(&mut table, now));
    }
    let cycle = (processor_ns() - start_ns) / f64::from(ROUNDS);
    while let Some(allocation) = start(&mut table, now) {
        allocations.push_back(allocation);
    }
    let start_ns = processor_ns();
    for _ in 0..ROUNDS {
        assert!(start(&mut table, now).is_none());
    }
    (cycle, (processor_ns() - start_ns) / f64::from(ROUNDS))
}

fn main() {
    for count in [50, 500, 3_800] {
        let (cycle, wait) = measure(count);
        println!(
            "{count} targets: {cycle:.0} ns per placement with its end and report, {wait:.0} ns per wait"
        );
    }
}
