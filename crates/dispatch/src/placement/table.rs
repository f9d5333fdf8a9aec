//! The table of all targets: chooses targets and updates their state incrementally.

use std::collections::HashMap;
use std::time::Duration;

use filbertpitch_types::prelude::*;
use filbertpitch_types::target::LoadReport;
use rand::Rng;
use typed_index_collections::TiVec;

use super::load::RefusalBackoff;
use super::pool::{CandidateTier, PoolIndex, PoolMap};
use super::search::{CANDIDATE_LIMIT, CandidateSearch};
use super::settings::PlacementSettings;
use super::share::{SharePosition, TargetShare};
use super::state::{LeavingMark, TargetLocality, TargetState, micros};
use super::{
    AllocationEnd, AllocationSource, CapacityView, Placement, PlacementRequest, SlotAllocation,
    SlotClass, TargetGate,
};
use crate::entity::{KindIndex, TargetIndex, ZoneIndex};
use crate::timer::{TargetTimer, TimerService};

/// This VM's position among the entry VMs of all zones, which decides its shares of targets in
/// other zones.
#[derive(Clone, Debug)]
pub(super) struct FleetShare {
    pub position: SharePosition,
    /// The zones that have a live, ready entry VM.
    pub populated: Vec<ZoneIndex>,
}

/// The targets and the slots in use on them. Chooses the target of each attempt.
#[derive(Debug)]
pub struct TargetTable {
    pub(super) settings: PlacementSettings,
    pub(super) targets: TiVec<TargetIndex, TargetState>,
    /// The configured targets in the order of their names, which is the same on every VM.
    pub(super) order: Vec<TargetIndex>,
    pub(super) pools: PoolMap,
    /// The back-off of spilling over to each zone, after refusals there.
    pub(super) zones: HashMap<ZoneIndex, RefusalBackoff>,
    pub(super) local_zone: Option<ZoneIndex>,
    pub(super) share: SharePosition,
    pub(super) fleet: FleetShare,
    pub(super) timers: TimerService<TargetTimer>,
}

impl TargetTable {
    /// Creates a table without targets. Until [`Self::set_share`] and [`Self::set_fleet`] are
    /// called, this VM is taken to be the only entry VM.
    pub fn new(settings: PlacementSettings) -> Self {
        let alone = SharePosition {
            position: 0,
            vms: 1,
        };
        Self {
            settings,
            targets: TiVec::new(),
            order: Vec::new(),
            pools: PoolMap::default(),
            zones: HashMap::new(),
            local_zone: None,
            share: alone,
            fleet: FleetShare {
                position: alone,
                populated: Vec::new(),
            },
            timers: TimerService::default(),
        }
    }

    /// Chooses the target of an attempt.
    ///
    /// If the attempt starts, [`Self::record_start`] must be called before the next placement.
    pub fn place<R>(&mut self, now: TimePoint, request: &PlacementRequest, rng: &mut R) -> Placement
    where
        R: Rng,
    {
        self.advance(now);
        let Some(pool) = self.pools.pool_of(request.kind) else {
            return Placement::Impossible;
        };
        if self.pools.pools[pool].targets.is_empty() {
            return Placement::Impossible;
        }
        let mut search = CandidateSearch {
            now,
            pool,
            request,
            draws_left: CANDIDATE_LIMIT,
            rng,
        };
        for tier in self.tiers(pool, request) {
            if let Some(target) = self.choose(tier, &mut search) {
                return Placement::Start(target);
            }
        }
        Placement::Wait
    }

    /// The candidate tiers to try, in order.
    fn tiers(
        &self,
        pool: PoolIndex,
        request: &PlacementRequest,
    ) -> impl Iterator<Item = CandidateTier> + use<> {
        let waits_longer = request.wait_estimate > self.settings.spill_latency;
        let spills = waits_longer || self.pools.pools[pool].local_slots == 0;
        [
            request.repeatable.then_some(CandidateTier::Probe),
            Some(request.class.own_tier()),
            Some(request.class.borrow_tier()),
            spills.then_some(request.class.spill_tier()),
        ]
        .into_iter()
        .flatten()
    }

    /// Returns the sampled target of a tier that has the least expected work.
    fn choose<R>(
        &mut self,
        tier: CandidateTier,
        search: &mut CandidateSearch<'_, R>,
    ) -> Option<TargetIndex>
    where
        R: Rng,
    {
        let pool = &self.pools.pools[search.pool];
        let (now, request) = (search.now, search.request);
        let mut best = None;
        let mut stale = None;
        for index in search.sample(pool.candidates(tier)) {
            let target = pool.targets[index as usize];
            if request.exclude.contains(&target) {
                continue;
            }
            let state = &self.targets[target];
            if !self.is_current(now, state, tier, request.class) {
                stale = Some(target);
                continue;
            }
            let work = state.expected_work(now, request.expected, &self.settings);
            if best.is_none_or(|(least, _)| work < least) {
                best = Some((work, target));
            }
        }
        // Updating one target per call bounds the cost; later calls update the others.
        if let Some(target) = stale {
            self.refresh(now, target);
        }
        best.map(|(_, target)| target)
    }

    /// Checks the conditions that membership in a tier does not cover: those that change with time
    /// alone, and the slot class of a probe.
    fn is_current(
        &self,
        now: TimePoint,
        state: &TargetState,
        tier: CandidateTier,
        class: SlotClass,
    ) -> bool {
        match tier {
            CandidateTier::BorrowShort | CandidateTier::BorrowLong => {
                state.may_borrow(now, class, &self.settings)
            }
            CandidateTier::SpillShort | CandidateTier::SpillLong
                if state.locality == TargetLocality::Remote =>
            {
                state.may_spill(now, class, &self.settings) && !self.is_zone_backing_off(now, state)
            }
            CandidateTier::Probe => state.allows_probe(class),
            _ => true,
        }
    }

    /// Whether spill-over to the target's zone backs off after a refusal. A fresh load report of the
    /// target overrides the back-off.
    fn is_zone_backing_off(&self, now: TimePoint, state: &TargetState) -> bool {
        let until = self.zone_backoff_until(state);
        !state.load.is_fresh(now, self.settings.report_ttl)
            && until.is_some_and(|until| now < until)
    }

    fn zone_backoff_until(&self, state: &TargetState) -> Option<TimePoint> {
        let zone = state
            .zone
            .filter(|_| state.locality == TargetLocality::Remote)?;
        self.zones.get(&zone).map(RefusalBackoff::until)
    }

    /// Records that an attempt starts on `target`.
    pub fn record_start(
        &mut self,
        now: TimePoint,
        target: TargetIndex,
        class: SlotClass,
        expected: Duration,
    ) -> SlotAllocation {
        let state = &mut self.targets[target];
        let source = match (state.gate, state.locality) {
            (TargetGate::ProbeOnly, _) => AllocationSource::Probe,
            (_, TargetLocality::Remote) => AllocationSource::Spilled,
            _ if state.starts_on_share(class) => AllocationSource::Own,
            _ => AllocationSource::Borrowed,
        };
        let allocation = SlotAllocation {
            target,
            class,
            source,
            expected,
            expected_end: now + expected,
            throttled: false,
        };
        state.running += 1;
        state.running_long += u16::from(class == SlotClass::Long);
        state.probes += u16::from(source == AllocationSource::Probe);
        state.expected_sum += micros(expected);
        state.expected_end_sum += allocation.expected_end.0;
        for member in &state.memberships {
            self.pools.pools[member.pool].running += 1;
        }
        if source == AllocationSource::Spilled {
            self.probe_zone(now, target);
        }
        self.refresh(now, target);
        allocation
    }

    /// Extends the back-off of the target's zone, so that after a refusal only one attempt at a time
    /// goes to that zone until one succeeds. Otherwise all waiting tasks would try at the end of
    /// each back-off, and most of them would be refused.
    fn probe_zone(&mut self, now: TimePoint, target: TargetIndex) {
        let zone = self.targets[target].zone;
        if let Some(backoff) = zone.and_then(|zone| self.zones.get_mut(&zone)) {
            backoff.extend(now);
        }
    }

    /// Records that an attempt was throttled. The attempt keeps its connection and releases its
    /// slot.
    pub fn record_throttle(&mut self, now: TimePoint, allocation: &mut SlotAllocation) {
        if !allocation.throttled {
            allocation.throttled = true;
            self.release_slot(allocation);
            self.targets[allocation.target].throttled += 1;
            self.refresh(now, allocation.target);
        }
    }

    /// Records that an attempt no longer uses its target.
    ///
    /// If the answer that ended the attempt contains a load report, this must be called before
    /// [`Self::report_load`].
    pub fn record_end(&mut self, now: TimePoint, allocation: SlotAllocation, end: AllocationEnd) {
        match allocation.throttled {
            true => self.targets[allocation.target].throttled -= 1,
            false => self.release_slot(&allocation),
        }
        let state = &mut self.targets[allocation.target];
        state.probes -= u16::from(allocation.source == AllocationSource::Probe);
        match end {
            AllocationEnd::Ran => self.record_run(now, &allocation),
            AllocationEnd::RefusedBusy => self.record_busy_refusal(now, &allocation),
            AllocationEnd::RefusedLeaving => self.mark_leaving(now, allocation.target),
            AllocationEnd::Other => {}
        }
        self.refresh(now, allocation.target);
    }

    fn release_slot(&mut self, allocation: &SlotAllocation) {
        let state = &mut self.targets[allocation.target];
        state.running -= 1;
        state.running_long -= u16::from(allocation.class == SlotClass::Long);
        state.expected_sum -= micros(allocation.expected);
        state.expected_end_sum -= allocation.expected_end.0;
        for member in &state.memberships {
            self.pools.pools[member.pool].running -= 1;
        }
    }

    fn record_run(&mut self, now: TimePoint, allocation: &SlotAllocation) {
        let state = &mut self.targets[allocation.target];
        state.own_backoff.record_success();
        if matches!(
            allocation.source,
            AllocationSource::Borrowed | AllocationSource::Spilled
        ) {
            state.borrow_backoff.record_success();
        }
        if allocation.source == AllocationSource::Spilled
            && let Some(backoff) = state.zone.and_then(|zone| self.zones.get_mut(&zone))
        {
            backoff.end_early(now);
        }
    }

    fn record_busy_refusal(&mut self, now: TimePoint, allocation: &SlotAllocation) {
        let settings = &self.settings;
        let state = &mut self.targets[allocation.target];
        let (first, limit) = (settings.borrow_backoff, settings.borrow_backoff_limit);
        state.borrow_backoff.record_refusal(now, first, limit);
        if allocation.source != AllocationSource::Spilled {
            let (first, limit) = (settings.own_backoff, settings.own_backoff_limit);
            state.own_backoff.record_refusal(now, first, limit);
        } else if let Some(zone) = state.zone {
            let backoff = self.zones.entry(zone).or_default();
            backoff.record_refusal(now, first, limit);
        }
    }

    /// Applies a target's load report.
    pub fn report_load(&mut self, now: TimePoint, target: TargetIndex, load: &LoadReport) {
        let decay = self.settings.peak_decay;
        let state = &mut self.targets[target];
        state.load.report(now, load, state.running, decay);
        if load.leaving {
            self.mark_leaving(now, target);
        } else {
            self.record_return_sign(now, target, |mark| mark.reported_live = true);
            self.refresh(now, target);
        }
    }

    /// Records that a target is leaving, according to the VM list, its load report or its refusal.
    /// No attempts start on the target until it returns.
    pub fn mark_leaving(&mut self, now: TimePoint, target: TargetIndex) {
        self.targets[target].leaving = Some(LeavingMark {
            since: now,
            listed_live: false,
            reported_live: false,
        });
        self.refresh(now, target);
    }

    /// Records that the VM list shows a target as live. A leaving target returns only when its own
    /// load report agrees.
    pub fn mark_live(&mut self, now: TimePoint, target: TargetIndex) {
        self.record_return_sign(now, target, |mark| mark.listed_live = true);
        self.refresh(now, target);
    }

    fn record_return_sign<F>(&mut self, now: TimePoint, target: TargetIndex, note: F)
    where
        F: FnOnce(&mut LeavingMark),
    {
        let state = &mut self.targets[target];
        let Some(mark) = &mut state.leaving else {
            return;
        };
        if now.since(mark.since) < self.settings.return_delay {
            return;
        }
        note(mark);
        if mark.listed_live && mark.reported_live {
            state.leaving = None;
        }
    }

    /// Whether a target is leaving.
    pub fn is_leaving(&self, target: TargetIndex) -> bool {
        self.targets
            .get(target)
            .is_some_and(|state| state.leaving.is_some())
    }

    /// Whether a leaving target is listed as live, so that only a load report is missing for its
    /// return. The answer to a check contains one.
    pub fn awaits_report(&self, target: TargetIndex) -> bool {
        let mark = self.targets.get(target).and_then(|state| state.leaving);
        mark.is_some_and(|mark| mark.listed_live)
    }

    /// Sets which attempts may start on a target, according to its health.
    pub fn set_gate(&mut self, now: TimePoint, target: TargetIndex, gate: TargetGate) {
        self.targets[target].gate = gate;
        self.refresh(now, target);
    }

    /// Whether two kinds can run on exactly the same targets and compete for the same slots.
    pub fn same_pool(&self, left: KindIndex, right: KindIndex) -> bool {
        let pool = self.pools.pool_of(left);
        pool.is_some() && pool == self.pools.pool_of(right)
    }

    /// The slots for a kind of task. They are zero if no target can run the kind.
    pub fn capacity(&self, kind: KindIndex) -> CapacityView {
        let pool = self.pools.pool_of(kind);
        pool.map_or_else(CapacityView::default, |pool| {
            let pool = &self.pools.pools[pool];
            CapacityView {
                slots: pool.slots,
                running: pool.running,
            }
        })
    }

    /// This VM's share of a target.
    pub fn share(&self, target: TargetIndex) -> TargetShare {
        self.targets[target].share
    }

    /// The number of this VM's attempts that occupy a slot of a target.
    pub fn running(&self, target: TargetIndex) -> u16 {
        self.targets[target].running
    }

    /// The number of long attempts among [`Self::running`].
    pub fn running_long(&self, target: TargetIndex) -> u16 {
        self.targets[target].running_long
    }

    /// The number of connections to a target that this VM's attempts use.
    pub fn connections(&self, target: TargetIndex) -> u16 {
        let state = &self.targets[target];
        state.running + state.throttled
    }

    /// The expected work on a target, as run time. `typical` is the assumed run time of the attempts
    /// of other VMs, of which half is taken to remain.
    pub fn expected_work(
        &self,
        now: TimePoint,
        target: TargetIndex,
        typical: Duration,
    ) -> Duration {
        let state = &self.targets[target];
        Duration::from_micros(state.expected_work(now, typical, &self.settings))
    }

    /// When a waiting task may become placeable without any other event.
    pub fn next_due(&self) -> Option<TimePoint> {
        self.timers.next_due()
    }

    /// Updates the targets whose timers are due. [`Self::place`] does this as well.
    pub fn advance(&mut self, now: TimePoint) {
        while let Some(TargetTimer { target, due: wake }) = self.timers.pop_due(now) {
            // If the times differ, an earlier timer has replaced this one.
            if self.targets[target].wake == Some(wake) {
                self.targets[target].wake = None;
                self.refresh(now, target);
            }
        }
    }

    /// Updates the candidate sets and slot sums of the target's pools, and the target's timer.
    pub(super) fn refresh(&mut self, now: TimePoint, target: TargetIndex) {
        let zone_backoff = self.zone_backoff_until(&self.targets[target]);
        let state = &mut self.targets[target];
        let tiers = state.tier_mask(now, &self.settings);
        let counted_share = state.usable_share();
        if tiers != state.tiers || counted_share != state.counted_share {
            // Whether a target is in the local zone changes only in `install`, which resets
            // `counted_share`.
            let is_local = state.locality == TargetLocality::Local;
            for member in &state.memberships {
                let pool = &mut self.pools.pools[member.pool];
                pool.update(member.index, state.tiers, tiers);
                pool.slots = pool.slots - u32::from(state.counted_share) + u32::from(counted_share);
                if is_local {
                    pool.local_slots = pool.local_slots - u32::from(state.counted_share)
                        + u32::from(counted_share);
                }
            }
            state.tiers = tiers;
            state.counted_share = counted_share;
        }
        let zone_wakeup = zone_backoff.filter(|&until| until > now);
        let wake = state.next_wake(now, &self.settings).into_iter();
        if let Some(wake) = wake.chain(zone_wakeup).min()
            && state.wake.is_none_or(|pending| wake < pending)
        {
            state.wake = Some(wake);
            self.timers
                .subscribe(wake, TargetTimer { target, due: wake });
        }
    }
}
