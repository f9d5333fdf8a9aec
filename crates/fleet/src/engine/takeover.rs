//! When this VM claims targets whose holder is silent.
//!
//! A silent VM may have failed, or may be partitioned from this VM and still working. It counts as
//! failed when nothing listens at its address, or when it does not renew its record in the
//! platform's store while the targets of the zone respond to probes.

use std::collections::BTreeMap;

use filbertpitch_dispatch::entity::{TargetIndex, VmIndex};
use filbertpitch_types::fleet::PeerState;
use filbertpitch_types::prelude::*;

use super::{FleetAction, FleetEngine};
use crate::link::{LinkPhase, PeerLink};

impl FleetEngine {
    /// Claims the targets that are assigned to this VM and that no other VM holds. While a peer may
    /// be alive but unheard, the targets of a zone are claimed only after probes have shown that
    /// the zone is reachable.
    pub(super) fn claim_targets(&mut self) {
        let wanted = match self.state == PeerState::Ready && !self.awaits_peer_list() {
            true => self.claimable_targets(),
            false => Vec::new(),
        };
        let suspects = self.links.iter().flatten().any(PeerLink::is_suspect);
        if !suspects || self.is_fleet_starting() {
            self.zone_probers.clear();
            for target in wanted {
                self.claim_target(target);
            }
            return;
        }
        let mut zones = BTreeMap::<ZoneName, Vec<TargetIndex>>::new();
        for target in wanted {
            if let Some(entry) = self.registry.entry(target) {
                zones.entry(entry.zone.clone()).or_default().push(target);
            }
        }
        self.zone_probers.retain(|zone, _| zones.contains_key(zone));
        let now = self.now();
        for (zone, targets) in zones {
            let prober = self.zone_probers.entry(zone).or_default();
            if prober.is_reachable(now) {
                for target in targets {
                    self.claim_target(target);
                }
            } else if let Some(target) = prober.plan_probe(now, &targets) {
                self.send_probe(target);
            }
        }
    }

    /// Whether this process and those of all live peers have just started: no VM that is not heard
    /// holds a target, because it would be heard by some of them or would have been lost with them.
    fn is_fleet_starting(&self) -> bool {
        let now = self.now();
        let links = self.links.iter().flatten();
        let mut live = links.filter(|link| link.is_live()).peekable();
        let any_live = live.peek().is_some();
        let young = |link: &PeerLink| now.since(link.started_at()) < self.settings.settling_time;
        any_live && self.has_just_started() && live.all(young)
    }

    /// Whether this process started less than the settling time ago.
    pub(super) fn has_just_started(&self) -> bool {
        self.now().since(self.started_at) < self.settings.settling_time
    }

    /// The targets that are assigned to this VM, that no VM is known to hold, and that no silent VM
    /// may be holding. Targets that refused this VM's token recently are left out.
    fn claimable_targets(&self) -> Vec<TargetIndex> {
        let now = self.now();
        let own = self.own_vm();
        let wanted = self.assigned_holders.iter_enumerated();
        let wanted = wanted.filter(|(target, desired)| {
            let paused = self
                .token_refusals
                .get(target)
                .is_some_and(|refusal| now.since(refusal.at) < self.settings.reclaim_delay);
            **desired == Some(own)
                && !paused
                && !self.held.contains_key(target)
                && self.registry.is_ready(*target)
                && !self.is_held_by_peer(*target)
                && !self.may_be_held_by_unheard_vm(*target)
        });
        wanted.map(|(target, _)| target).collect()
    }

    pub(super) fn is_held_by_peer(&self, target: TargetIndex) -> bool {
        let links = self.links.iter().flatten();
        let mut present =
            links.filter(|link| matches!(link.phase(), LinkPhase::Live | LinkPhase::Silent));
        present.any(|link| link.holdings().iter().any(|it| it.target == target))
    }

    /// Whether a VM that is not heard, but alive according to the platform's store, may hold the
    /// target. If the last holder is not known, every such VM in the target's zone counts.
    fn may_be_held_by_unheard_vm(&self, target: TargetIndex) -> bool {
        let now = self.now();
        let zone = self.registry.entry(target).map(|entry| &entry.zone);
        let holder = self.last_holders.get(&target);
        let mut alive = self.links.iter_enumerated().filter(|(_, link)| {
            let link = link.as_ref();
            link.is_some_and(|link| link.is_alive_in_store(now))
        });
        alive.any(|(vm, link)| match holder {
            Some(holder) => *holder == vm,
            None => link.as_ref().map(|link| &link.identity().zone) == zone,
        })
    }

    /// Whether this process started so recently that the list of the other VMs may not have been
    /// read yet.
    fn awaits_peer_list(&self) -> bool {
        !self.peers_listed && self.has_just_started()
    }

    fn send_probe(&mut self, target: TargetIndex) {
        let Some(address) = self.registry.address(target) else {
            return;
        };
        self.counters.probes_sent += 1;
        self.actions.push(FleetAction::Probe {
            target,
            name: self.registry.name(target).clone(),
            address,
        });
    }

    pub(super) fn receive_probe_result(&mut self, target: TargetIndex, reached: bool) {
        let now = self.now();
        let Some(entry) = self.registry.entry(target) else {
            return;
        };
        if let Some(prober) = self.zone_probers.get_mut(&entry.zone) {
            prober.handle_probe_result(now, target, reached);
            self.reconcile_due = true;
        }
    }

    /// Records the holder and the token of each target that a peer holds, for use after the peer
    /// falls silent.
    pub(super) fn record_holders(&mut self, peer: VmIndex) {
        let Some(link) = &self.links[peer] else {
            return;
        };
        for holding in link.holdings() {
            self.last_holders.insert(holding.target, peer);
            let seen = self.seen_tokens.entry(holding.target).or_default();
            *seen = (*seen).max(holding.token);
        }
    }

    /// Whether this VM should renew its record in the platform's store ahead of schedule, because
    /// peers may not hear its envelopes. The record shows them that it is alive.
    pub fn needs_record_renewal(&self) -> bool {
        let mut links = self.links.iter().flatten();
        links.any(|link| match link.phase() {
            LinkPhase::Silent => link.is_partitioned(),
            LinkPhase::Lost { since, dead } => {
                !dead && self.now().since(since) < self.settings.record_renewal_period
            }
            LinkPhase::Live | LinkPhase::NeverHeard { .. } => false,
        })
    }
}
