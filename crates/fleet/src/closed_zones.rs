//! The availability zones that the operator has closed.
//!
//! No task may start on a target of a closed zone; runs that have started before go on. The operator
//! closes and opens zones by records in the platform's store. Each VM reads them, and each envelope
//! repeats them, so that a VM that cannot read the store learns of them from any peer. The offset of
//! a record orders the changes of a zone, whichever way they arrive: the higher offset wins.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use filbertpitch_dispatch::entity::TargetIndex;
use filbertpitch_types::fleet::{ZoneChange, ZoneRead, ZoneReport};
use filbertpitch_types::prelude::*;

use crate::registry::TargetRegistry;

/// How long envelopes repeat that a zone was opened. A peer that reports a former state later is
/// answered again.
const OPENED_REPORT_TIME: Duration = Duration::from_secs(60);

/// The length of a pause of the process after which the closed zones must be read again before anything
/// starts: with a read that takes 2 s, a task would start more than 5 s after its zone was closed.
const STALE_AFTER: Duration = Duration::from_secs(3);

/// How long starts wait for that read: longer than a read that gets no response, so that a VM that reaches
/// the store never starts anything on old knowledge, and one that does not goes on serving.
const READ_WAIT: Duration = Duration::from_millis(1500);

/// The latest known change of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ZoneState {
    /// The offset of the record, or of a read that has shown that there is none.
    offset: LogOffset,
    closed: bool,
    learned_at: TimePoint,
    /// The time from the first read of the change by any VM until this VM has learned of it. The clock of
    /// this VM may have started since that read, so that the time of the read has no place on it.
    age: Duration,
    /// Until when envelopes repeat it although the zone is open.
    reported_until: TimePoint,
}

/// A zone that was closed or opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneTransition {
    /// The change.
    pub change: ZoneChange,
    /// The time since the first VM has read the change.
    pub age: Duration,
}

/// What the zones in an envelope change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneMerge {
    /// The zones that were closed or opened.
    pub transitions: Vec<ZoneTransition>,
    /// Whether this VM knows of a later change than the sender.
    pub sender_is_behind: bool,
}

/// The closed zones as known to a VM.
#[derive(Clone, Debug, Default)]
pub struct ClosedZones {
    /// All zones of which a change is known. Open ones are kept, because a peer may report an earlier
    /// closure at any time.
    zones: BTreeMap<ZoneName, ZoneState>,
    /// The number of closed zones.
    closed: usize,
    /// The offset up to which this VM has read all records itself.
    read_through: LogOffset,
    /// When the process awoke from a long pause, until the records are read again.
    stale_since: Option<TimePoint>,
}

impl ClosedZones {
    /// The number of closed zones.
    pub fn len(&self) -> usize {
        self.closed
    }

    /// Whether no zone is closed.
    pub fn is_empty(&self) -> bool {
        self.closed == 0
    }

    /// Whether a zone is closed.
    pub fn is_closed(&self, zone: &ZoneName) -> bool {
        self.closed > 0 && self.zones.get(zone).is_some_and(|state| state.closed)
    }

    /// Whether a target may start something now: it is listed, does not drain, and its zone is open.
    pub fn may_start(&self, registry: &TargetRegistry, target: TargetIndex) -> bool {
        registry.is_ready(target) && self.may_repeat_start(registry, target)
    }

    /// Whether a start request may be sent to a target again.
    pub fn may_repeat_start(&self, registry: &TargetRegistry, target: TargetIndex) -> bool {
        self.stale_since.is_none() && self.is_in_open_zone(registry, target)
    }

    /// Records that the process was paused for `gap`. After a long pause nothing starts until the records
    /// are read again.
    pub fn resume_from_pause(&mut self, now: TimePoint, gap: Duration) {
        if gap >= STALE_AFTER {
            self.stale_since = Some(now);
        }
    }

    /// Ends the wait for a read that takes too long. Returns whether starts have waited until now.
    pub fn advance(&mut self, now: TimePoint) -> bool {
        let waited_long = |since: &mut TimePoint| now.since(*since) >= READ_WAIT;
        self.stale_since.take_if(waited_long).is_some()
    }

    /// Whether the zone of a target is open; true for a target that is not listed.
    pub fn is_in_open_zone(&self, registry: &TargetRegistry, target: TargetIndex) -> bool {
        let zone = registry.zone(target);
        self.is_empty() || zone.is_none_or(|zone| !self.is_closed(zone))
    }

    /// Applies a read of the operator's records. Returns the zones that were closed or opened.
    pub fn apply_read(&mut self, now: TimePoint, read: ZoneRead) -> Vec<ZoneTransition> {
        let mut transitions = Vec::new();
        if read.complete {
            transitions.extend(self.open_unlisted(now, &read));
        }
        for mut change in read.changes {
            if read.complete {
                change.offset = self.confirmed_offset(&change, read.through);
            }
            transitions.extend(self.apply(now, change, Duration::ZERO));
        }
        self.read_through = self.read_through.max(read.through);
        self.stale_since
            .take_if(|since| *since <= read.requested_at);
        transitions
    }

    /// Opens the closed zones that a complete read does not list, unless they were closed after it.
    fn open_unlisted(&mut self, now: TimePoint, read: &ZoneRead) -> Vec<ZoneTransition> {
        let listed = read.changes.iter().map(|change| &change.zone);
        let listed = listed.collect::<BTreeSet<_>>();
        let gone = self.zones.iter().filter(|(zone, state)| {
            state.closed && state.offset < read.through && !listed.contains(zone)
        });
        let gone = gone.map(|(zone, _)| ZoneChange {
            zone: zone.clone(),
            offset: last_offset_before(read.through),
            closed: false,
        });
        let gone = gone.collect::<Vec<_>>();
        gone.into_iter()
            .filter_map(|change| self.replace(now, change, Duration::ZERO))
            .collect()
    }

    /// The offset of a record in a complete read. The record is the newest one of its zone, so that it is
    /// later than any change that the read covers, even if the store does not state its offset.
    fn confirmed_offset(&self, change: &ZoneChange, through: LogOffset) -> LogOffset {
        let known = self.zones.get(&change.zone);
        let contradicted = known.filter(|state| {
            state.closed != change.closed
                && state.offset >= change.offset
                && state.offset < last_offset_before(through)
        });
        contradicted.map_or(change.offset, |_| last_offset_before(through))
    }

    /// Applies the zones that a peer reports.
    pub fn merge(&mut self, now: TimePoint, reports: &[ZoneReport]) -> ZoneMerge {
        let mut merge = ZoneMerge::default();
        for report in reports {
            let known = self.zones.get(&report.zone);
            let age = Duration::from_millis(report.age_ms.into());
            if known.is_some_and(|known| known.offset >= report.offset) {
                merge.sender_is_behind |= self.refresh_report(now, report);
            } else if report.offset < self.read_through {
                merge.sender_is_behind |= self.contradict(now, report);
            } else {
                let change = ZoneChange {
                    zone: report.zone.clone(),
                    offset: report.offset,
                    closed: report.closed,
                };
                merge.transitions.extend(self.apply(now, change, age));
            }
        }
        merge.sender_is_behind |= self.lacks_closed_zone(reports);
        merge
    }

    /// Reports the state of a zone again if a peer has an earlier and different one. Returns whether it
    /// has.
    fn refresh_report(&mut self, now: TimePoint, report: &ZoneReport) -> bool {
        let Some(state) = self.zones.get_mut(&report.zone) else {
            return false;
        };
        let differs = state.closed != report.closed && state.offset > report.offset;
        if differs {
            state.reported_until = now + OPENED_REPORT_TIME;
        }
        differs
    }

    /// Handles a change that this VM must have read, but that was no longer in the store: the zone was
    /// closed and opened before. Returns whether the peer is to be told.
    fn contradict(&mut self, now: TimePoint, report: &ZoneReport) -> bool {
        if !report.closed || self.is_closed(&report.zone) {
            return false;
        }
        let change = ZoneChange {
            zone: report.zone.clone(),
            offset: last_offset_before(self.read_through),
            closed: false,
        };
        self.replace(now, change, Duration::ZERO);
        true
    }

    /// Whether a peer that reports these zones does not know of a closed one.
    fn lacks_closed_zone(&self, reports: &[ZoneReport]) -> bool {
        let mut closed = self.zones.iter().filter(|(_, state)| state.closed);
        !self.is_empty() && closed.any(|(zone, _)| reports.iter().all(|it| it.zone != *zone))
    }

    /// The zones to report to peers: those that are closed or were opened recently.
    pub fn reports(&self, now: TimePoint) -> Vec<ZoneReport> {
        let zones = self.zones.iter();
        let reported = zones.filter(|(_, state)| state.closed || now < state.reported_until);
        let reports = reported.map(|(zone, state)| ZoneReport {
            zone: zone.clone(),
            offset: state.offset,
            closed: state.closed,
            age_ms: report_age(state, now),
        });
        reports.collect()
    }

    /// Applies a change unless a later one is known.
    fn apply(
        &mut self,
        now: TimePoint,
        change: ZoneChange,
        age: Duration,
    ) -> Option<ZoneTransition> {
        let known = self.zones.get(&change.zone);
        match known.is_some_and(|known| known.offset >= change.offset) {
            true => None,
            false => self.replace(now, change, age),
        }
    }

    fn replace(
        &mut self,
        now: TimePoint,
        change: ZoneChange,
        age: Duration,
    ) -> Option<ZoneTransition> {
        let state = ZoneState {
            offset: change.offset,
            closed: change.closed,
            learned_at: now,
            age,
            reported_until: now + OPENED_REPORT_TIME,
        };
        let former = self.zones.insert(change.zone.clone(), state);
        let was_closed = former.is_some_and(|state| state.closed);
        if was_closed == change.closed {
            return None;
        }
        match change.closed {
            true => self.closed += 1,
            false => self.closed -= 1,
        }
        Some(ZoneTransition { change, age })
    }
}

/// The time since the first read of a change, in whole milliseconds.
fn report_age(state: &ZoneState, now: TimePoint) -> u32 {
    let age = state.age + now.since(state.learned_at);
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

/// The last offset that a read up to `through` covers.
fn last_offset_before(through: LogOffset) -> LogOffset {
    LogOffset(through.0.saturating_sub(1))
}
