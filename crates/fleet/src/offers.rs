//! Offers of free capacity to the coordinators of waiting tasks.
//!
//! Under load all targets are full, and the end of a run frees capacity for only one of many
//! waiting tasks. If all coordinators competed for it, most of their requests would be refused.
//! Instead the holder offers the free capacity to the coordinator with the most urgent waiting
//! task, one coordinator at a time.

use std::collections::BTreeMap;
use std::time::Duration;

use filbertpitch_dispatch::entity::{TargetIndex, VmIndex};
use filbertpitch_dispatch::work_rate::WorkRate;
use filbertpitch_types::fleet::{
    DENSITY_CLASSES, DensityTable, OfferNumber, PRIORITY_CLASSES, priority_class,
};
use filbertpitch_types::prelude::*;

use crate::shedding::DensityClass;

/// How long capacity is reserved for a coordinator: covers a few round trips between availability
/// zones and a few scheduling delays on a busy VM.
pub const OFFER_LIFETIME: Duration = Duration::from_millis(40);

/// Free capacity offered to a coordinator that has not responded yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityOffer {
    /// The coordinator that may use the capacity.
    pub coordinator: VmIndex,
    /// The target that has the capacity.
    pub target: TargetIndex,
    /// When the capacity is available to others again.
    pub expires_at: TimePoint,
}

/// The open offers of a holder. A target is offered to one coordinator at a time.
#[derive(Clone, Debug, Default)]
pub struct OfferTable {
    offers: BTreeMap<OfferNumber, CapacityOffer>,
    next: OfferNumber,
}

impl OfferTable {
    /// Offers the free capacity of a target to a coordinator.
    pub fn open(
        &mut self,
        now: TimePoint,
        coordinator: VmIndex,
        target: TargetIndex,
    ) -> OfferNumber {
        let number = self.next;
        self.next = self.next.wrapping_add(1);
        let offer = CapacityOffer {
            coordinator,
            target,
            expires_at: now + OFFER_LIFETIME,
        };
        self.offers.insert(number, offer);
        number
    }

    /// Closes an offer that its coordinator has responded to.
    pub fn close(&mut self, coordinator: VmIndex, number: OfferNumber) -> Option<CapacityOffer> {
        match self.offers.get(&number) {
            Some(offer) if offer.coordinator == coordinator => self.offers.remove(&number),
            _ => None,
        }
    }

    /// Whether the free capacity of a target is reserved by an offer.
    pub fn is_offered(&self, target: TargetIndex) -> bool {
        self.offers.values().any(|offer| offer.target == target)
    }

    /// Removes the offers that got no response in time. Returns whether there were any.
    pub fn expire(&mut self, now: TimePoint) -> bool {
        let before = self.offers.len();
        self.offers.retain(|_, offer| offer.expires_at > now);
        self.offers.len() < before
    }

    /// Removes the offers to a coordinator that is lost.
    pub fn drop_coordinator(&mut self, coordinator: VmIndex) {
        self.offers
            .retain(|_, offer| offer.coordinator != coordinator);
    }

    /// Closes the offers of targets that do not satisfy `condition`.
    pub fn retain_targets<F>(&mut self, condition: F)
    where
        F: Fn(TargetIndex) -> bool,
    {
        self.offers.retain(|_, offer| condition(offer.target));
    }

    /// When the next offer expires.
    pub fn next_due(&self) -> Option<TimePoint> {
        self.offers.values().map(|offer| offer.expires_at).min()
    }
}

/// The work that clients submitted during the last second, by priority and density.
#[derive(Clone, Debug, Default)]
pub struct OfferedRates([[WorkRate; DENSITY_CLASSES]; PRIORITY_CLASSES]);

impl OfferedRates {
    /// Adds the work of a job in core-milliseconds.
    pub fn record(&mut self, now: TimePoint, priority: u8, density: DensityClass, work: u64) {
        let rates = &mut self.0[priority_class(priority)];
        rates[density.index()].record(now, Duration::from_millis(work));
    }

    /// The submitted work per second at `now`, in tenths of cores.
    pub fn report(&self, now: TimePoint) -> DensityTable {
        DensityTable(self.0.map(|rates| {
            rates.map(|mut rate| {
                rate.advance(now);
                u32::try_from(rate.per_second().as_millis() / 100).unwrap_or(u32::MAX)
            })
        }))
    }
}
