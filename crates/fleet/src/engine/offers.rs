//! Free room of this VM's targets for the waiting tasks of other homes.

use filbertpitch_dispatch::entity::{TargetIndex, VmIndex};
use filbertpitch_types::fleet::{FleetMessage, OfferNumber, PeerState};
use filbertpitch_types::prelude::*;
use rand::Rng;

use super::FleetEngine;
use super::placement::peer_demand_rank;
use crate::heartbeat::PeerLocality;
use crate::link::PeerLink;

/// How many offers all holders together make for each task that waits: some of them come too late, or
/// do not fit.
const OFFER_OVERCOMMIT: f64 = 1.5;

impl FleetEngine {
    /// Offers free room to the homes with the most urgent waiting tasks.
    pub(super) fn offer_capacity(&mut self) {
        let any_demand = self.links.iter().flatten().any(PeerLink::has_offer_quota);
        if !any_demand || self.state == PeerState::Leaving {
            return;
        }
        let now = self.now();
        let mut free = Vec::new();
        for (target, held) in &mut self.held {
            let usable = self.registry.is_ready(*target) && !self.offers.is_offered(*target);
            let room = held.free_capacity(now);
            if usable && room.cpu.0 > 0 {
                free.push((*target, room));
            }
        }
        for (target, room) in free {
            if let Some(home) = self.most_urgent_coordinator(&room) {
                self.open_offer(home, target, room);
            }
        }
    }

    /// This VM's share of the tasks that wait at a peer. All holders see the same report; without
    /// shares, most of their offers would be in vain, and the room would stand idle meanwhile.
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

    /// The home with the most urgent waiting task that may fit.
    fn most_urgent_coordinator(&self, room: &ResourceVector) -> Option<VmIndex> {
        let homes = self.links.iter_enumerated().filter_map(|(vm, link)| {
            let link = link.as_ref().filter(|link| link.has_offer_quota())?;
            let fits = link.demand().least.fits(room);
            fits.then_some((peer_demand_rank(link), vm))
        });
        homes.min().map(|(_, vm)| vm)
    }

    fn open_offer(&mut self, home: VmIndex, target: TargetIndex, room: ResourceVector) {
        let now = self.now();
        let offer = self.offers.open(now, home, target);
        self.counters.offers_sent += 1;
        if let Some(link) = &mut self.links[home] {
            link.use_offer_quota();
        }
        let target = self.registry.name(target).clone();
        self.send(
            home,
            FleetMessage::Offer {
                offer,
                target,
                room,
            },
        );
    }

    /// A home does not need what it was offered.
    pub(super) fn receive_decline(&mut self, home: VmIndex, offer: OfferNumber) {
        if self.offers.close(home, offer).is_some() {
            self.placement_due = true;
            if let Some(link) = &mut self.links[home] {
                link.clear_offer_quota();
            }
        }
    }
}
