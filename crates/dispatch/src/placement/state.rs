//! The bookkeeping of one target.

use std::time::Duration;

use filbertpitch_types::prelude::*;
use smallvec::SmallVec;

use super::load::{LoadView, RefusalBackoff};
use super::pool::{CandidateTier, PoolMember, TierMask};
use super::settings::PlacementSettings;
use super::share::{TargetShare, long_slots};
use super::{SlotClass, TargetGate};
use crate::entity::ZoneIndex;

/// How this VM may use a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum TargetLocality {
    /// It is not in the configuration.
    #[default]
    Unconfigured,
    /// It is in this VM's zone.
    Local,
    /// It is in another zone, which has no live entry VM.
    Orphaned,
    /// It is in another zone with entry VMs of its own.
    Remote,
}

/// What is needed for a leaving target to return.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeavingMark {
    pub since: TimePoint,
    pub listed_live: bool,
    pub reported_live: bool,
}

/// The bookkeeping of one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetState {
    pub locality: TargetLocality,
    pub zone: Option<ZoneIndex>,
    pub slots: u16,
    pub connections: u16,
    pub share: TargetShare,
    pub gate: TargetGate,
    pub leaving: Option<LeavingMark>,
    pub running: u16,
    pub running_long: u16,
    pub throttled: u16,
    pub probes: u16,
    /// Sums over running attempts, in microseconds.
    pub expected_sum: u64,
    pub expected_end_sum: u64,
    pub load: LoadView,
    pub own_backoff: RefusalBackoff,
    pub borrow_backoff: RefusalBackoff,
    pub memberships: SmallVec<[PoolMember; 4]>,
    pub tiers: TierMask,
    /// The usable part of the share that the pools count.
    pub counted_share: u16,
    /// The earliest timer that is pending for this target.
    pub wake: Option<TimePoint>,
}

impl TargetState {
    pub fn is_usable(&self) -> bool {
        self.locality != TargetLocality::Unconfigured
            && self.leaving.is_none()
            && self.gate == TargetGate::Open
    }

    /// The slots that this VM's share allows it to use.
    pub fn usable_share(&self) -> u16 {
        if !self.is_usable() || self.locality == TargetLocality::Remote {
            return 0;
        }
        self.share.slots.min(self.share.connections)
    }

    fn has_connection(&self) -> bool {
        self.running + self.throttled < self.share.connections
    }

    fn has_own_slot(&self, class: SlotClass) -> bool {
        let long_fits = class == SlotClass::Short || self.running_long < self.share.long;
        self.running < self.share.slots && long_fits
    }

    /// Whether the next attempt uses this VM's own share, as opposed to a borrowed slot.
    pub fn starts_on_share(&self, class: SlotClass) -> bool {
        self.locality != TargetLocality::Remote && self.has_own_slot(class)
    }

    /// A probe may follow long attempts that still run from before the ejection.
    pub fn allows_probe(&self, class: SlotClass) -> bool {
        class == SlotClass::Short
            || self.running_long < long_slots(self.slots.max(1)).min(self.slots)
    }

    /// The most running attempts that keep `class` within the target's slots.
    fn class_limit(&self, class: SlotClass) -> u16 {
        let slots = self.load.slots(self.slots);
        match class {
            SlotClass::Short => slots,
            // As many running attempts as may be long bounds the long ones of all VMs, whose
            // number is not reported.
            SlotClass::Long => long_slots(slots.max(1)).min(slots),
        }
    }

    fn is_contested(&self, now: TimePoint, settings: &PlacementSettings) -> bool {
        self.load.is_fresh(now, settings.report_ttl)
            && self.running + self.load.others() >= self.load.slots(self.slots)
    }

    /// Whether an own slot is free. A slot that others borrowed is not, until the report expires.
    fn owns_slot(&self, now: TimePoint, class: SlotClass, settings: &PlacementSettings) -> bool {
        self.has_own_slot(class)
            && !self.own_backoff.is_active(now)
            && !self.is_contested(now, settings)
    }

    /// Whether this VM's share has nothing for `class`, because there are more VMs than slots.
    fn lacks_share(&self, class: SlotClass) -> bool {
        match class {
            SlotClass::Short => self.share.slots == 0,
            SlotClass::Long => self.share.long == 0,
        }
    }

    /// Whether a fresh report shows a free slot beyond what the other VMs of the zone may need.
    ///
    /// A VM without a share would never get a report, so it tries one attempt at a time.
    pub fn may_borrow(
        &self,
        now: TimePoint,
        class: SlotClass,
        settings: &PlacementSettings,
    ) -> bool {
        if self.borrow_backoff.is_active(now) {
            return false;
        }
        if !self.load.is_fresh(now, settings.report_ttl) {
            return self.lacks_share(class) && self.running == 0;
        }
        let entitled = self.slots - self.share.slots;
        let needed = (self.load.peak() + settings.borrow_margin).min(entitled);
        let needed = needed.max(self.load.others());
        self.running + needed < self.class_limit(class)
    }

    /// Whether a slot of another zone's target may be used. Without a fresh report one attempt at
    /// a time is tried, which also brings the report.
    pub fn may_spill(
        &self,
        now: TimePoint,
        class: SlotClass,
        settings: &PlacementSettings,
    ) -> bool {
        if self.borrow_backoff.is_active(now) {
            return false;
        }
        if !self.load.is_fresh(now, settings.report_ttl) {
            return self.running == 0;
        }
        self.running + self.load.peak() + settings.spill_margin < self.class_limit(class)
    }

    /// The sets that this target belongs to at `now`.
    pub fn tier_mask(&self, now: TimePoint, settings: &PlacementSettings) -> TierMask {
        let mut mask = TierMask::default();
        let present = self.locality != TargetLocality::Unconfigured && self.leaving.is_none();
        if !present || !self.has_connection() || self.running >= self.load.slots(self.slots) {
            return mask;
        }
        if self.gate == TargetGate::Probe {
            mask.set(CandidateTier::Probe, self.probes == 0);
        }
        if self.gate == TargetGate::Open {
            self.add_class_tiers(now, SlotClass::Short, settings, &mut mask);
            self.add_class_tiers(now, SlotClass::Long, settings, &mut mask);
        }
        mask
    }

    fn add_class_tiers(
        &self,
        now: TimePoint,
        class: SlotClass,
        settings: &PlacementSettings,
        mask: &mut TierMask,
    ) {
        let owns = self.owns_slot(now, class, settings);
        let borrows = !self.has_own_slot(class) && self.may_borrow(now, class, settings);
        match self.locality {
            TargetLocality::Unconfigured => {}
            TargetLocality::Local => {
                mask.set(class.own_tier(), owns);
                mask.set(class.borrow_tier(), borrows);
            }
            TargetLocality::Orphaned => mask.set(class.spill_tier(), owns || borrows),
            TargetLocality::Remote => {
                let spills = self.has_own_slot(class) && self.may_spill(now, class, settings);
                mask.set(class.spill_tier(), spills);
            }
        }
    }

    /// When a set that excludes this target only for a time may include it again.
    pub fn next_wake(&self, now: TimePoint, settings: &PlacementSettings) -> Option<TimePoint> {
        let pauses = [self.own_backoff.until(), self.borrow_backoff.until()];
        let awaits_expiry = self.is_contested(now, settings)
            || self.lacks_share(SlotClass::Long)
            || self.locality == TargetLocality::Remote;
        let expiry = self.load.expires(settings.report_ttl);
        pauses
            .into_iter()
            .chain(expiry.filter(|_| awaits_expiry))
            .filter(|&wake| wake > now)
            .min()
    }

    /// The expected work on the target: this VM's remaining run time, and half of `typical` for
    /// every slot that others use.
    ///
    /// A quarter of the expectation is the least that counts for a running attempt, so that an
    /// overdue one does not make its target attractive.
    pub fn expected_work(
        &self,
        now: TimePoint,
        typical: Duration,
        settings: &PlacementSettings,
    ) -> u64 {
        let elapsed = now.0.saturating_mul(u64::from(self.running));
        let remaining = self.expected_end_sum.saturating_sub(elapsed);
        let own = remaining.clamp(self.expected_sum / 4, self.expected_sum);
        let others = match self.load.is_fresh(now, settings.report_ttl) {
            true => u64::from(self.load.others()),
            false => 0,
        };
        own.saturating_add(others.saturating_mul(micros(typical) / 2))
    }
}

pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
