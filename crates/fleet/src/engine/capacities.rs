//! The capacities of held targets while this VM cannot read the list of targets.

use std::time::Duration;

use filbertpitch_dispatch::entity::VmIndex;
use filbertpitch_types::fleet::{FleetMessage, TargetCapacity};
use filbertpitch_types::prelude::*;
use rand::seq::IndexedRandom;

use super::holding::millis;
use super::{FleetEngine, FleetNotice};
use crate::ledger::ListedCapacity;
use crate::registry::TargetInstance;

impl FleetEngine {
    /// Runs periodically: asks a peer while the list is out of date, and limits what is used of the
    /// capacities that are not confirmed.
    pub(super) fn check_capacities(&mut self) {
        let now = self.now();
        if self.capacity_watch.is_current(now) {
            return;
        }
        if let Some(age) = self.capacity_watch.plan_question(now)
            && let Some(peer) = self.choose_informant()
        {
            let age_ms = millis(age);
            let asked_at = now;
            self.send(peer, FleetMessage::AskCapacities { asked_at, age_ms });
        }
        self.limit_capacities();
    }

    /// A random live peer of this zone, and of any zone if those do not answer.
    fn choose_informant(&mut self) -> Option<VmIndex> {
        let zone = &self.identity.zone;
        let links = self.links.iter_enumerated();
        let live = links.filter_map(|(vm, link)| {
            let link = link.as_ref().filter(|link| link.is_live())?;
            Some((vm, link.identity().zone == *zone))
        });
        let live = live.collect::<Vec<_>>();
        let mut near = live.iter().filter(|(_, near)| *near);
        let any_zone = self.capacity_watch.asks_other_zones() || near.next().is_none();
        let peers = live.iter().filter(|(_, near)| any_zone || *near);
        let peers = peers.map(|(vm, _)| *vm).collect::<Vec<_>>();
        peers.choose(&mut self.rng).copied()
    }

    /// Sets the capacities of the held targets to what may be used of them now.
    pub(super) fn limit_capacities(&mut self) {
        let now = self.now();
        for (target, held) in &mut self.held {
            let Some(entry) = self.registry.entry(*target) else {
                continue;
            };
            let usable = self.capacity_watch.usable(now, *target, entry.capacity);
            if held.ledger().capacity() != usable {
                let instance = TargetInstance(entry.boot);
                held.set_listed_capacity(now, ListedCapacity { instance, usable });
                self.placement_due = true;
            }
        }
    }

    /// Tells a peer that cannot read the list which capacities have changed, if this VM knows.
    pub(super) fn answer_capacities(&mut self, from: VmIndex, asked_at: TimePoint, age_ms: u32) {
        let age = Duration::from_millis(age_ms.into());
        let Some((age, changed)) = self.capacity_watch.answer(self.now(), age) else {
            return;
        };
        let changed = changed
            .into_iter()
            .map(|(target, capacity)| TargetCapacity {
                target: self.registry.name(target).clone(),
                capacity,
            });
        let answer = FleetMessage::Capacities {
            asked_at,
            age_ms: millis(age),
            changed: changed.collect(),
        };
        self.send(from, answer);
    }

    /// Applies what a peer knows about the capacities.
    pub(super) fn receive_capacities(
        &mut self,
        from: VmIndex,
        asked_at: TimePoint,
        age_ms: u32,
        changed: &[TargetCapacity],
    ) {
        let registry = &mut self.registry;
        let changed = changed.iter();
        let changed = changed.map(|change| (registry.intern(&change.target), change.capacity));
        let changed = changed.collect::<Vec<_>>();
        let age = Duration::from_millis(age_ms.into());
        let now = self.now();
        let watch = &mut self.capacity_watch;
        for (target, capacity) in watch.record_answer(now, asked_at, age, changed) {
            self.counters.capacities_learned += 1;
            self.notice(FleetNotice::CapacityLearned {
                target: self.registry.name(target).clone(),
                peer: self.vms.name(from).clone(),
                capacity,
                age,
            });
        }
        self.limit_capacities();
    }
}
