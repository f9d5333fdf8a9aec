//! Offers of free capacity on this VM's targets to other coordinators.

use filbertpitch_dispatch::entity::{TargetIndex, VmIndex};
use filbertpitch_types::fleet::{FleetMessage, OfferNumber, PeerState};
use filbertpitch_types::prelude::*;
use rand::Rng;

use super::FleetEngine;
use super::placement::peer_demand_rank;
use crate::heartbeat::PeerLocality;
use crate::link::PeerLink;

/// How many offers all holders together make for each waiting task: some offers come too late or do
/// not fit.
const OFFER_OVERCOMMIT: f64 = 1.5;

impl FleetEngine {
    /// Offers free capacity to the coordinators with the most urgent waiting tasks, one target at a
    /// time.
    pub(super) fn offer_capacity(&mut self) {
        let any_demand = self.links.iter().flatten().any(PeerLink::has_offer_quota);
        if !any_demand || self.state == PeerState::Leaving {
            return;
        }
        let now = self.now();
        let mut free = Vec::new();
        for (target, held) in &mut self.held {
            let usable = self.closed_zones.may_start(&self.registry, *target)
                && !self.offers.is_offered(*target);
            let capacity = held.free_capacity(now);
            if usable && capacity.cpu.0 > 0 {
                free.push((*target, capacity));
            }
        }
        for (target, capacity) in free {
            if let Some(coordinator) = self.most_urgent_coordinator(&capacity) {
                self.open_offer(coordinator, target, capacity);
            }
        }
    }

    /// The number of tasks waiting at a peer for which this VM may make offers, rounded at random.
    /// All holders see the same report; without shares, most of their offers would be declined and
    /// the capacity would be idle in the meantime.
    pub(super) fn draw_offer_quota(&mut self, peer: VmIndex) -> u32 {
        let counts = self.peer_counts();
        let Some(link) = &self.links[peer] else {
            return 0;
        };
        let holders = match link.heartbeat().locality() {
            PeerLocality::SameZone => counts.same_zone,
            PeerLocality::OtherZone => counts.same_zone + counts.other_zone,
        };
        let share = f64::from(link.demand().tasks) * OFFER_OVERCOMMIT / f64::from(holders.max(1));
        let whole = share.floor();
        let more = self.rng.random_bool(share - whole);
        whole as u32 + u32::from(more)
    }

    /// The coordinator with the most urgent waiting task that may fit.
    fn most_urgent_coordinator(&self, capacity: &ResourceVector) -> Option<VmIndex> {
        let coordinators = self.links.iter_enumerated().filter_map(|(vm, link)| {
            let link = link.as_ref().filter(|link| link.has_offer_quota())?;
            let fits = link.demand().min_resources.fits(capacity);
            fits.then_some((peer_demand_rank(link), vm))
        });
        coordinators.min().map(|(_, vm)| vm)
    }

    fn open_offer(&mut self, coordinator: VmIndex, target: TargetIndex, capacity: ResourceVector) {
        let now = self.now();
        let offer = self.offers.open(now, coordinator, target);
        self.counters.offers_sent += 1;
        if let Some(link) = &mut self.links[coordinator] {
            link.use_offer_quota();
        }
        let target = self.registry.name(target).clone();
        self.send(
            coordinator,
            FleetMessage::Offer {
                offer,
                target,
                resources: capacity,
            },
        );
    }

    /// Handles a coordinator's answer that it cannot use an offer.
    pub(super) fn receive_decline(&mut self, coordinator: VmIndex, offer: OfferNumber) {
        if self.offers.close(coordinator, offer).is_some() {
            self.placement_due = true;
            if let Some(link) = &mut self.links[coordinator] {
                link.clear_offer_quota();
            }
        }
    }
}
