//! Free room of this VM's targets for the waiting tasks of other homes.

use filbertpitch_dispatch::entity::{TargetIndex, VmIndex};
use filbertpitch_types::fleet::{FleetMessage, OfferNumber, PeerState};
use filbertpitch_types::prelude::*;

use super::FleetEngine;
use super::placement::distant_rank;

impl FleetEngine {
    /// Offers free room to the homes with the most urgent waiting tasks.
    pub(super) fn offer_room(&mut self) {
        let any_demand = self
            .links
            .iter()
            .flatten()
            .any(|link| link.is_live() && link.demand().tasks > 0);
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

    /// The home with the most urgent waiting task that may fit.
    fn neediest_home(&self, room: &RoomSize) -> Option<VmIndex> {
        let homes = self.links.iter_enumerated().filter_map(|(vm, link)| {
            let link = link.as_ref().filter(|link| link.is_live())?;
            let demand = link.demand();
            let fits = demand.tasks > 0 && demand.least.fits(room);
            fits.then_some((distant_rank(link), vm))
        });
        homes.min().map(|(_, vm)| vm)
    }

    fn open_offer(&mut self, home: VmIndex, target: TargetIndex, room: RoomSize) {
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
                room,
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
