//! Free room of this VM's targets for the waiting tasks of other homes.

use filbertpitch_dispatch::entity::{TargetIndex, VmIndex};
use filbertpitch_types::fleet::{FleetMessage, OfferNumber, PeerState};
use filbertpitch_types::prelude::*;
use rand::Rng;

use super::FleetEngine;
use super::placement::distant_rank;
use crate::link::PeerLink;
use crate::pace::PeerDistance;

/// How many offers all holders together make for each task that waits: some of them come too late, or
/// do not fit.
const OFFER_SURPLUS: f64 = 1.5;

impl FleetEngine {
    /// Offers free room to the homes with the most urgent waiting tasks.
    pub(super) fn offer_room(&mut self) {
        let any_demand = self.links.iter().flatten().any(PeerLink::may_be_offered);
        if !any_demand || self.state == PeerState::Leaving {
            return;
        }
        let now = self.now();
        let mut free = Vec::new();
        for (target, held) in &mut self.held {
            let usable = self.registry.is_ready(*target) && !self.offers.holds(*target);
            let room = held.open_room(now);
            if usable && room.cpu.0 > 0 {
                free.push((*target, room));
            }
        }
        for (target, room) in free {
            if let Some(home) = self.neediest_home(&room) {
                self.open_offer(home, target, room);
            }
        }
    }

    /// This VM's share of the tasks that wait at a peer. All holders see the same report; without
    /// shares, most of their offers would be in vain, and the room would stand idle meanwhile.
    pub(super) fn draw_quota(&mut self, peer: VmIndex) -> u32 {
        let counts = self.peer_counts();
        let Some(link) = &self.links[peer] else {
            return 0;
        };
        let holders = match link.pace().distance() {
            PeerDistance::Near => counts.near,
            PeerDistance::Far => counts.near + counts.far,
        };
        let share = f64::from(link.demand().tasks) * OFFER_SURPLUS / f64::from(holders.max(1));
        let whole = share.floor();
        let more = self.rng.random_bool(share - whole);
        whole as u32 + u32::from(more)
    }

    /// The home with the most urgent waiting task that may fit.
    fn neediest_home(&self, room: &ResourceVector) -> Option<VmIndex> {
        let homes = self.links.iter_enumerated().filter_map(|(vm, link)| {
            let link = link.as_ref().filter(|link| link.may_be_offered())?;
            let fits = link.demand().min_resources.fits(room);
            fits.then_some((distant_rank(link), vm))
        });
        homes.min().map(|(_, vm)| vm)
    }

    fn open_offer(&mut self, home: VmIndex, target: TargetIndex, room: ResourceVector) {
        let now = self.now();
        let offer = self.offers.open(now, home, target);
        self.counters.offers_sent += 1;
        if let Some(link) = &mut self.links[home] {
            link.serve_demand();
        }
        let target = self.registry.name(target).clone();
        self.send(
            home,
            FleetMessage::Offer {
                offer,
                target,
                resources: room,
            },
        );
    }

    /// A home does not need what it was offered.
    pub(super) fn receive_decline(&mut self, home: VmIndex, offer: OfferNumber) {
        if self.offers.close(home, offer).is_some() {
            self.room_changed = true;
            if let Some(link) = &mut self.links[home] {
                link.clear_demand();
            }
        }
    }
}
