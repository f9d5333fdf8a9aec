//! Installs configurations and partitions the targets among the entry VMs.
//!
//! These operations are linear in the number of targets. They run only when the configuration or
//! the set of entry VMs changes.

use std::collections::HashMap;

use filbertpitch_types::prelude::*;

use super::pool::{PoolIndex, PoolMap, PoolMember, TargetPool};
use super::settings::PlacementSettings;
use super::share::{
    PartitionCursor, SharePartitioner, SharePosition, TargetShare, long_slots, remote_connections,
};
use super::state::{TargetLocality, TargetState};
use super::table::{FleetShare, TargetTable};
use crate::catalog::ConfigCatalog;
use crate::entity::{TargetIndex, ZoneIndex};

impl TargetTable {
    /// Installs a configuration. Attempts on targets that the configuration no longer contains
    /// remain accounted for.
    pub fn install(&mut self, now: TimePoint, catalog: &ConfigCatalog, local_zone: ZoneIndex) {
        self.local_zone = Some(local_zone);
        self.order.clear();
        for state in &mut self.targets {
            state.locality = TargetLocality::Unconfigured;
            state.memberships.clear();
            state.tiers = Default::default();
            state.counted_share = 0;
        }
        for name in catalog.configuration().targets.keys() {
            if let Some(target) = catalog.target_index(name) {
                self.install_target(catalog, target);
            }
        }
        self.install_pools(catalog);
        self.partition(now);
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
        // `partition` replaces this by the locality that follows from the zone.
        state.locality = TargetLocality::Remote;
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
        for (index, &target) in (0..).zip(targets) {
            let state = &mut self.targets[target];
            state.memberships.push(PoolMember { pool, index });
            pools[pool].running += u32::from(state.running);
        }
        pool
    }

    /// Sets this VM's position among the live, ready entry VMs of its zone.
    pub fn set_share(&mut self, now: TimePoint, position: u32, zone_vms: u32) {
        let share = SharePosition {
            position,
            vms: zone_vms,
        };
        if self.share != share {
            self.share = share;
            self.partition(now);
        }
    }

    /// Sets this VM's position among the live, ready entry VMs of all zones, and the zones that have
    /// any. All these VMs together share the targets of zones that have none.
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
            self.partition(now);
        }
    }

    /// Recomputes this VM's shares of all targets.
    fn partition(&mut self, now: TimePoint) {
        let mut local_partitioner = SharePartitioner::new(self.share);
        let mut orphaned_partitioners = HashMap::new();
        let mut spill_cursor = PartitionCursor::default();
        let order = std::mem::take(&mut self.order);
        for &target in &order {
            let locality = self.locality(self.targets[target].zone);
            let state = &mut self.targets[target];
            // Computed for every target, whatever its locality, so that the cursors of all VMs agree.
            let spill = spill_share(
                state,
                &mut spill_cursor,
                self.fleet.position,
                &self.settings,
            );
            state.locality = locality;
            state.share = match locality {
                TargetLocality::Local => {
                    local_partitioner.next_share(state.slots, state.connections)
                }
                TargetLocality::Orphaned => orphaned_partitioners
                    .entry(state.zone)
                    .or_insert_with(|| SharePartitioner::new(self.fleet.position))
                    .next_share(state.slots, state.connections),
                TargetLocality::Remote | TargetLocality::Unconfigured => spill,
            };
        }
        self.order = order;
        for target in self.targets.keys() {
            self.refresh(now, target);
        }
    }

    fn locality(&self, zone: Option<ZoneIndex>) -> TargetLocality {
        match zone {
            None => TargetLocality::Unconfigured,
            Some(zone) if Some(zone) == self.local_zone => TargetLocality::Local,
            Some(zone) if self.fleet.populated.contains(&zone) => TargetLocality::Remote,
            Some(_) => TargetLocality::Orphaned,
        }
    }
}

/// Returns this VM's share of a target in another zone that has live entry VMs.
fn spill_share(
    state: &TargetState,
    cursor: &mut PartitionCursor,
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
        connections: cursor.next_part(position, remote_connections(state.connections)),
    }
}
