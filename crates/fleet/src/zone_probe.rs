//! Whether the targets of an availability zone can be reached while a VM is silent.
//!
//! A VM that is cut off from others must not take over their targets, least of all at the moment
//! when the cut heals: its claim may be the first thing to get through. Targets that have answered
//! for a while, while their holder stayed silent, show that there is no cut.

use std::time::Duration;

use filbertpitch_dispatch::entity::TargetIndex;
use filbertpitch_types::prelude::*;

/// How long targets must have answered before those of a silent VM are taken over. A peer is heard
/// within one beat and a round trip after a cut has healed.
const CONFIRM_TIME: Duration = Duration::from_millis(400);

/// The time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(120);

/// How long a probe proves anything.
const PROBE_VALIDITY: Duration = Duration::from_millis(350);

/// What probes of the targets of one availability zone have shown.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneProber {
    /// Since when all probes were answered.
    since: Option<TimePoint>,
    /// When the last probe was answered.
    latest: Option<TimePoint>,
    in_flight: Option<TargetIndex>,
    due: Option<TimePoint>,
    next_target: usize,
}

impl ZoneProber {
    /// Whether the targets have answered for long enough.
    pub fn is_reachable(&self, now: TimePoint) -> bool {
        let (Some(since), Some(latest)) = (self.since, self.latest) else {
            return false;
        };
        latest.since(since) >= CONFIRM_TIME && now.since(latest) < PROBE_VALIDITY
    }

    /// The next target to probe, of those of the zone, if a probe is due. It must be probed.
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

    /// Takes over the answer to a probe. Another target is asked next when one does not answer.
    pub fn handle_probe_result(&mut self, now: TimePoint, target: TargetIndex, reached: bool) {
        if self.in_flight.take_if(|open| *open == target).is_none() {
            return;
        }
        if !reached {
            self.since = None;
            self.next_target = self.next_target.wrapping_add(1);
            return;
        }
        let stale = self
            .latest
            .is_none_or(|latest| now.since(latest) >= PROBE_VALIDITY);
        if stale || self.since.is_none() {
            self.since = Some(now);
        }
        self.latest = Some(now);
    }

    /// When the next probe is due.
    pub fn next_due(&self) -> Option<TimePoint> {
        match self.in_flight {
            Some(_) => None,
            None => self.due,
        }
    }

    /// Stops probing; what was proved goes.
    pub fn reset(&mut self) {
        *self = Self {
            next_target: self.next_target,
            ..Self::default()
        };
    }
}
