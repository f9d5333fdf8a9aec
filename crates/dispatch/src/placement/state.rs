//! The placement state of one target.

use std::time::Duration;

use filbertpitch_types::prelude::*;
use smallvec::SmallVec;

use super::load::{LoadView, RefusalBackoff};
use super::pool::{CandidateTier, PoolMember, TierMask};
use super::settings::PlacementSettings;
use super::share::{TargetShare, long_slots};
use super::{SlotClass, TargetGate};
use crate::entity::ZoneIndex;

/// The location of a target relative to this VM, which decides how this VM may use its slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum TargetLocality {
    /// Not in the configuration.
    #[default]
    Unconfigured,
    /// In this VM's zone.
    Local,
    /// In another zone that has no live entry VM.
    Orphaned,
    /// In another zone with live entry VMs.
    Remote,
}

/// The evidence that a leaving target is back. The target returns only when both the VM list and
/// its own load report show it as live.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeavingMark {
    pub since: TimePoint,
    pub listed_live: bool,
    pub reported_live: bool,
}

/// The placement state of one target.
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
    /// The sum of the expected run times of the running attempts, in microseconds.
    pub expected_sum: u64,
    /// The sum of the expected ends of the running attempts, in microseconds.
    pub expected_end_sum: u64,
    pub load: LoadView,
    pub own_backoff: RefusalBackoff,
    pub borrow_backoff: RefusalBackoff,
    pub memberships: SmallVec<[PoolMember; 4]>,
    pub tiers: TierMask,
    /// The usable part of the share that is included in the sums of the pools.
    pub counted_share: u16,
    /// The earliest pending timer of this target.
    pub wake: Option<TimePoint>,
}

impl TargetState {
    pub fn is_usable(&self) -> bool {
        self.locality != TargetLocality::Unconfigured
            && self.leaving.is_none()
            && self.gate == TargetGate::AllAttempts
    }

    /// The slots of this VM's share that it can currently use.
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

    /// Whether the next attempt uses this VM's own share rather than a borrowed slot.
    pub fn starts_on_share(&self, class: SlotClass) -> bool {
        self.locality != TargetLocality::Remote && self.has_own_slot(class)
    }

    /// Whether a probe of `class` keeps within the limit on long attempts, some of which may still
    /// be running from before the ejection.
    pub fn allows_probe(&self, class: SlotClass) -> bool {
        class == SlotClass::Short
            || self.running_long < long_slots(self.slots.max(1)).min(self.slots)
    }

    /// The limit on the running attempts of all VMs below which an attempt of `class` may start on
    /// a slot outside this VM's share.
    fn class_limit(&self, class: SlotClass) -> u16 {
        let slots = self.load.slots(self.slots);
        match class {
            SlotClass::Short => slots,
            // Load reports do not contain the number of long attempts of other VMs, so all running
            // attempts count towards the limit on long ones.
            SlotClass::Long => long_slots(slots.max(1)).min(slots),
        }
    }

    fn is_contested(&self, now: TimePoint, settings: &PlacementSettings) -> bool {
        self.load.is_fresh(now, settings.report_ttl)
            && self.running + self.load.others() >= self.load.slots(self.slots)
    }

    /// Whether a slot of this VM's own share is free. A slot that other VMs borrowed is not free
    /// until the report that shows this expires.
    fn owns_slot(&self, now: TimePoint, class: SlotClass, settings: &PlacementSettings) -> bool {
        self.has_own_slot(class)
            && !self.own_backoff.is_active(now)
            && !self.is_contested(now, settings)
    }

    /// Whether this VM's share contains no slot for `class`, because there are more VMs than slots.
    fn lacks_share(&self, class: SlotClass) -> bool {
        match class {
            SlotClass::Short => self.share.slots == 0,
            SlotClass::Long => self.share.long == 0,
        }
    }

    /// Whether a fresh report shows a free slot beyond those that the other VMs of the zone may
    /// need.
    ///
    /// A VM without a share would never receive a report, so it may run one attempt at a time
    /// without one.
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

    /// Whether a slot of a target in another zone may be used.
    ///
    /// Without a fresh report, one attempt at a time is allowed; its answer contains a report.
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

    /// The tiers that this target is a candidate of at `now`.
    pub fn tier_mask(&self, now: TimePoint, settings: &PlacementSettings) -> TierMask {
        let mut mask = TierMask::default();
        let present = self.locality != TargetLocality::Unconfigured && self.leaving.is_none();
        if !present || !self.has_connection() || self.running >= self.load.slots(self.slots) {
            return mask;
        }
        if self.gate == TargetGate::ProbeOnly {
            mask.set(CandidateTier::Probe, self.probes == 0);
        }
        if self.gate == TargetGate::AllAttempts {
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

    /// When this target may become a candidate again without any other event, by the end of a
    /// back-off or the expiry of a load report.
    pub fn next_wake(&self, now: TimePoint, settings: &PlacementSettings) -> Option<TimePoint> {
        let backoffs = [self.own_backoff.until(), self.borrow_backoff.until()];
        let awaits_expiry = self.is_contested(now, settings)
            || self.lacks_share(SlotClass::Long)
            || self.locality == TargetLocality::Remote;
        let expiry = self.load.expires(settings.report_ttl);
        backoffs
            .into_iter()
            .chain(expiry.filter(|_| awaits_expiry))
            .filter(|&wake| wake > now)
            .min()
    }

    /// The expected work on the target in microseconds: the remaining run time of this VM's
    /// attempts, plus half of `typical` for every slot that other VMs use.
    ///
    /// This VM's part is at least a quarter of the attempts' expected run time, so that a target
    /// with overdue attempts does not appear lightly loaded.
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
