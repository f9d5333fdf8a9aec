//! Probes whether the targets of an availability zone are reachable while a VM is silent.
//!
//! A VM that is partitioned from others must not take over their targets. The risk is highest when
//! the partition heals, because its claim may be the first message to arrive. If targets have
//! answered probes for a while and their holder stayed silent, there is no partition.

use std::time::Duration;

use filbertpitch_dispatch::entity::TargetIndex;
use filbertpitch_types::prelude::*;

/// How long targets must answer before those of a silent VM are taken over. After a partition has
/// healed, a peer is heard within one heartbeat interval and a round trip.
const CONFIRM_TIME: Duration = Duration::from_millis(400);

/// The time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(120);

/// How long an answered probe counts as evidence.
const PROBE_VALIDITY: Duration = Duration::from_millis(350);

/// Results of the probes of the targets of one availability zone.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneProber {
    /// Since when all probes have been answered.
    since: Option<TimePoint>,
    /// When the last probe was answered.
    latest: Option<TimePoint>,
    in_flight: Option<TargetIndex>,
    due: Option<TimePoint>,
    next_target: usize,
}

impl ZoneProber {
    /// Whether the targets have been answering for `CONFIRM_TIME`.
    pub fn is_reachable(&self, now: TimePoint) -> bool {
        let (Some(since), Some(latest)) = (self.since, self.latest) else {
            return false;
        };
        latest.since(since) >= CONFIRM_TIME && now.since(latest) < PROBE_VALIDITY
    }

    /// The next of the `targets` to probe, if a probe is due. The caller must send the probe.
    pub fn plan_probe(&mut self, now: TimePoint, targets: &[TargetIndex]) -> Option<TargetIndex> {
        let waiting = self.due.is_some_and(|due| due > now);
        if waiting || self.in_flight.is_some() || targets.is_empty() {
            return None;
        }
        let target = targets[self.next_target % targets.len()];
        self.in_flight = Some(target);
        self.due = Some(now + PROBE_INTERVAL);
        Some(target)
    }

    /// Applies the result of a probe. After a failure the next target is probed.
    pub fn handle_probe_result(&mut self, now: TimePoint, target: TargetIndex, reached: bool) {
        if self.in_flight.take_if(|open| *open == target).is_none() {
            return;
        }
        if !reached {
            self.since = None;
            self.next_target = self.next_target.wrapping_add(1);
            return;
        }
        let expired = self
            .latest
            .is_none_or(|latest| now.since(latest) >= PROBE_VALIDITY);
        if expired || self.since.is_none() {
            self.since = Some(now);
        }
        self.latest = Some(now);
    }

    /// When the next probe is due; `None` while one is in flight.
    pub fn next_due(&self) -> Option<TimePoint> {
        match self.in_flight {
            Some(_) => None,
            None => self.due,
        }
    }

    /// Stops probing and discards the results.
    pub fn reset(&mut self) {
        *self = Self {
            next_target: self.next_target,
            ..Self::default()
        };
    }
}
