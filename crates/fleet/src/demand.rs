//! Room that this VM offers to the homes of waiting tasks.
//!
//! Under load every target is full, and each end frees room for one of many waiting tasks. If homes
//! tried by themselves, most of their requests would meet a target that is full again. Instead the
//! holder offers free room to the home with the most urgent waiting task, one home at a time.

use std::collections::BTreeMap;
use std::time::Duration;

use filbertpitch_dispatch::entity::{TargetIndex, VmIndex};
use filbertpitch_dispatch::work_rate::WorkRate;
use filbertpitch_types::fleet::{OfferNumber, OfferedLoad, PRIORITY_CLASSES};
use filbertpitch_types::prelude::*;

/// How long room is kept for a home that was offered it: a few round trips between availability
/// zones, and a few turns of a busy VM.
pub const OFFER_LIFE: Duration = Duration::from_millis(40);

/// Room that was offered and not answered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoomOffer {
    /// The home.
    pub home: VmIndex,
    /// The target.
    pub target: TargetIndex,
    /// When the room is free for others again.
    pub until: TimePoint,
}

/// The offers that are not answered yet; a target is offered to one home at a time.
#[derive(Clone, Debug, Default)]
pub struct OfferTable {
    offers: BTreeMap<OfferNumber, RoomOffer>,
    next: OfferNumber,
}

impl OfferTable {
    /// Offers a target's room to a home.
    pub fn open(&mut self, now: TimePoint, home: VmIndex, target: TargetIndex) -> OfferNumber {
        let number = self.next;
        self.next = self.next.wrapping_add(1);
        let offer = RoomOffer {
            home,
            target,
            until: now + OFFER_LIFE,
        };
        self.offers.insert(number, offer);
        number
    }

    /// Ends an offer that its home has answered.
    pub fn close(&mut self, home: VmIndex, number: OfferNumber) -> Option<RoomOffer> {
        match self.offers.get(&number) {
            Some(offer) if offer.home == home => self.offers.remove(&number),
            _ => None,
        }
    }

    /// Whether a target's room is kept for a home.
    pub fn holds(&self, target: TargetIndex) -> bool {
        self.offers.values().any(|offer| offer.target == target)
    }

    /// Ends the offers that were not answered in time. Returns whether there were any.
    pub fn expire(&mut self, now: TimePoint) -> bool {
        let before = self.offers.len();
        self.offers.retain(|_, offer| offer.until > now);
        self.offers.len() < before
    }

    /// Ends the offers to a home that was lost.
    pub fn drop_home(&mut self, home: VmIndex) {
        self.offers.retain(|_, offer| offer.home != home);
    }

    /// When the next offer ends.
    pub fn next_due(&self) -> Option<TimePoint> {
        self.offers.values().map(|offer| offer.until).min()
    }
}

/// How much work of each priority clients have offered in the last second.
#[derive(Clone, Debug, Default)]
pub struct OfferedRates([WorkRate; PRIORITY_CLASSES]);

impl OfferedRates {
    /// Counts the core-milliseconds of a job.
    pub fn record(&mut self, now: TimePoint, priority: u8, work: u64) {
        let class = usize::from(priority).min(PRIORITY_CLASSES - 1);
        self.0[class].record(now, Duration::from_millis(work));
    }

    /// The rates now.
    pub fn report(&self, now: TimePoint) -> OfferedLoad {
        OfferedLoad(std::array::from_fn(|class| {
            let mut rate = self.0[class];
            rate.advance(now);
            u32::try_from(rate.per_second().as_secs()).unwrap_or(u32::MAX)
        }))
    }
}
