//! Takes over configurations and divides the targets among the entry VMs.
//!
//! These steps are linear in the number of targets; they run only when the environment changes.

use std::collections::HashMap;

use filbertpitch_types::prelude::*;

use super::pool::{PoolIndex, PoolMap, PoolSeat, TargetPool};
use super::settings::PlacementSettings;
use super::share::{
    DealCursor, ShareDealer, SharePosition, TargetShare, long_slots, remote_connections,
};
use super::state::{TargetReach, TargetState};
use super::table::{FleetShare, TargetTable};
use crate::catalog::ConfigCatalog;
use crate::entity::{TargetIndex, ZoneIndex};

impl TargetTable {
    /// Takes over a configuration. Attempts on targets that left it stay in the books.
    pub fn install(&mut self, now: TimePoint, catalog: &ConfigCatalog, home: ZoneIndex) {
        self.home = Some(home);
        self.order.clear();
        for state in &mut self.targets {
            state.reach = TargetReach::Absent;
            state.seats.clear();
            state.open = Default::default();
            state.counted = 0;
        }
        for name in catalog.configuration().targets.keys() {
            if let Some(target) = catalog.target_index(name) {
                self.install_target(catalog, target);
            }
        }
        self.install_pools(catalog);
        self.divide(now);
    }

    fn install_target(&mut self, catalog: &ConfigCatalog, target: TargetIndex) {
        let Some(entry) = catalog.target(target) else {
            return;
        };
        let length = usize::from(target) + 1;
        if self.targets.len() < length {
            self.targets.resize(length, TargetState::default());
        }
        let state = &mut self.targets[target];
        state.zone = Some(entry.zone);
        state.slots = entry.spec.slots;
        state.connections = entry.spec.connections;
        // `divide` replaces this by the reach that follows from the zone.
        state.reach = TargetReach::Remote;
        self.order.push(target);
    }

    fn install_pools(&mut self, catalog: &ConfigCatalog) {
        self.pools = PoolMap::default();
        let mut known: HashMap<Vec<TargetIndex>, PoolIndex> = HashMap::new();
        for (service, spec) in &catalog.configuration().services {
            for kind in spec.kinds.keys() {
                let Some(index) = catalog.kind_index(service, kind) else {
                    continue;
                };
                let Some(entry) = catalog.kind(index) else {
                    continue;
                };
                let pool = match known.get(&entry.targets) {
                    Some(&pool) => pool,
                    None => {
                        let pool = self.add_pool(&entry.targets);
                        known.insert(entry.targets.clone(), pool);
                        pool
                    }
                };
                self.pools.assign(index, pool);
            }
        }
    }

    fn add_pool(&mut self, targets: &[TargetIndex]) -> PoolIndex {
        let pools = &mut self.pools.pools;
        let pool = pools.push_and_get_key(TargetPool::new(targets.to_vec()));
        for (seat, &target) in (0..).zip(targets) {
            let state = &mut self.targets[target];
            state.seats.push(PoolSeat { pool, seat });
            pools[pool].running += u32::from(state.running);
        }
        pool
    }

    /// Sets this VM's place among the live, ready entry VMs of its zone.
    pub fn set_share(&mut self, now: TimePoint, position: u32, zone_vms: u32) {
        let share = SharePosition {
            position,
            vms: zone_vms,
        };
        if self.share != share {
            self.share = share;
            self.divide(now);
        }
    }

    /// Sets this VM's place among the live, ready entry VMs of all zones, and the zones that have
    /// any. The VMs of other zones divide the targets of the remaining zones among themselves.
    pub fn set_fleet(
        &mut self,
        now: TimePoint,
        position: SharePosition,
        populated: Vec<ZoneIndex>,
    ) {
        if self.fleet.position != position || self.fleet.populated != populated {
            self.fleet = FleetShare {
                position,
                populated,
            };
            self.divide(now);
        }
    }

    /// Divides the targets anew; linear in their number, so only for changes of the environment.
    fn divide(&mut self, now: TimePoint) {
        let mut home_dealer = ShareDealer::new(self.share);
        let mut adopted_dealers = HashMap::new();
        let mut spill_cursor = DealCursor::default();
        let order = std::mem::take(&mut self.order);
        for &target in &order {
            let reach = self.reach(self.targets[target].zone);
            let state = &mut self.targets[target];
            // Every VM deals every target, so that all agree on whose turn it is.
            let spill = spill_share(
                state,
                &mut spill_cursor,
                self.fleet.position,
                &self.settings,
            );
            state.reach = reach;
            state.share = match reach {
                TargetReach::Home => home_dealer.deal(state.slots, state.connections),
                TargetReach::Adopted => adopted_dealers
                    .entry(state.zone)
                    .or_insert_with(|| ShareDealer::new(self.fleet.position))
                    .deal(state.slots, state.connections),
                TargetReach::Remote | TargetReach::Absent => spill,
            };
        }
        self.order = order;
        for target in self.targets.keys() {
            self.refresh(now, target);
        }
    }

    fn reach(&self, zone: Option<ZoneIndex>) -> TargetReach {
        match zone {
            None => TargetReach::Absent,
            Some(zone) if Some(zone) == self.home => TargetReach::Home,
            Some(zone) if self.fleet.populated.contains(&zone) => TargetReach::Remote,
            Some(_) => TargetReach::Adopted,
        }
    }
}

/// What this VM may use of a target in a zone with entry VMs of its own.
fn spill_share(
    state: &TargetState,
    cursor: &mut DealCursor,
    position: SharePosition,
    settings: &PlacementSettings,
) -> TargetShare {
    if position.vms == 0 {
        return TargetShare::default();
    }
    let slots = (state.slots / settings.spill_divisor.max(1)).max(1);
    let slots = slots.min(state.slots);
    TargetShare {
        slots,
        long: long_slots(slots),
        connections: cursor.deal(position, remote_connections(state.connections)),
    }
}
