//! Measures how long a new configuration, a change of the entry VMs and a VM list block the engine,
//! for several numbers of targets.
//!
//! Run with `cargo run --release -p filbertpitch-dispatch --example install_cost`.

mod support;

use std::rc::Rc;

use filbertpitch_config::spec::Configuration;
use filbertpitch_dispatch::catalog::ConfigCatalog;
use filbertpitch_dispatch::engine::EngineEvent;
use filbertpitch_types::platform::{VmEntry, VmList, VmRole, VmState};
use support::fleet::{FleetShape, TestFleet, fleet_view};
use support::{configuration_of, least_and_greatest, processor_ns};

const ROUNDS: u32 = 20;

fn vm_list(configuration: &Configuration) -> VmList {
    let targets = configuration.targets.iter();
    let vms = targets.map(|(name, spec)| VmEntry {
        name: name.clone(),
        address: spec.address,
        zone: spec.zone.clone(),
        role: VmRole::Target,
        state: VmState::Live,
    });
    VmList { vms: vms.collect() }
}

/// Returns the least of several averages over many rounds, in microseconds.
fn micros<F>(mut step: F) -> f64
where
    F: FnMut(u32),
{
    let (least, _) = least_and_greatest(|| {
        let start_ns = processor_ns();
        (0..ROUNDS).for_each(&mut step);
        (processor_ns() - start_ns) / f64::from(ROUNDS) / 1e3
    });
    least
}

fn print_row(targets: usize) {
    let shape = FleetShape {
        targets,
        teams: 140,
        job_tasks: 10,
    };
    let configuration = configuration_of(targets, shape.teams);
    let mut catalog = ConfigCatalog::default();
    let compile = micros(|_| catalog.install(Rc::clone(&configuration)));
    let mut fleet = TestFleet::new(shape);
    fleet.run(1_000, 10_000);
    let install = micros(|_| {
        fleet.feed(EngineEvent::ConfigurationChanged(Rc::clone(&configuration)));
    });
    let share = micros(|round| {
        fleet.feed(EngineEvent::FleetChanged(fleet_view(round % 2, 2)));
    });
    let list = vm_list(&configuration);
    let listed = micros(|_| fleet.feed(EngineEvent::VmListRead(list.clone())));
    println!("{targets} {compile:.0} {install:.0} {share:.0} {listed:.0}");
}

fn main() {
    println!("targets us/catalog us/configuration us/fleet-change us/vm-list");
    for targets in [50, 500, 3_800, 9_900] {
        print_row(targets);
    }
}
