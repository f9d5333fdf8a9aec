//! Decides when a target is checked: asked for the state of this VM's attempts on the target.
//!
//! One check covers all attempts on a target and renews their leases. Only overdue attempts, leases
//! that need renewal and explicit requests cause a check, so the number of checks does not grow
//! with the number of tasks.

use std::time::Duration;

use filbertpitch_types::prelude::*;
use smallvec::SmallVec;
use typed_index_collections::TiVec;

use crate::entity::TargetIndex;
use crate::timer::{TargetTimer, TimerService};

/// The intervals between checks of one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckSettings {
    /// The time from a check that finds an overdue attempt running to the next check of that
    /// attempt. This interval doubles with each such check, up to `repeat_limit`.
    pub repeat: Duration,
    /// The upper bound of `repeat`.
    pub repeat_limit: Duration,
    /// The time from a failed check to the next check of the target. This interval doubles with
    /// each failure, up to `retry_limit`.
    pub retry: Duration,
    /// The upper bound of `retry`. The bound must be much shorter than a lease, so that a lease
    /// survives a few failed checks.
    pub retry_limit: Duration,
}

impl Default for CheckSettings {
    fn default() -> Self {
        Self {
            repeat: Duration::from_millis(250),
            repeat_limit: Duration::from_secs(4),
            retry: Duration::from_millis(100),
            retry_limit: Duration::from_secs(1),
        }
    }
}

/// An attempt that is watched by a [`CheckSchedule`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptWatch<Key> {
    /// Identifies the attempt.
    pub key: Key,
    /// The time from which the attempt is overdue.
    pub overdue_at: TimePoint,
    /// The time at which half of the attempt's lease has passed.
    pub renew_at: TimePoint,
}

/// The result of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckResult {
    /// The target responded and renewed the leases.
    Answered {
        /// The time at which half of the renewed leases has passed.
        renew_at: TimePoint,
    },
    /// The target did not respond.
    Failed,
}

#[derive(Clone, Debug)]
struct WatchState<Key> {
    watch: AttemptWatch<Key>,
    /// The time to the next check if the attempt is found running while overdue.
    interval: Duration,
}

impl<Key> WatchState<Key> {
    fn due(&self) -> TimePoint {
        self.watch.overdue_at.min(self.watch.renew_at)
    }
}

#[derive(Clone, Debug)]
struct TargetChecks<Key> {
    watches: SmallVec<[WatchState<Key>; 8]>,
    /// Whether a check was started and has not ended.
    in_flight: bool,
    /// Whether the next check is due at once, without an overdue attempt.
    requested: bool,
    /// The earliest time of the next check, which failed checks postpone.
    not_before: TimePoint,
    /// The current back-off after failed checks; zero if the last check succeeded.
    retry: Duration,
    /// The due time of the target's valid timer, if any. Its other timers have been replaced and
    /// are ignored.
    timer_due: Option<TimePoint>,
}

impl<Key> Default for TargetChecks<Key> {
    fn default() -> Self {
        Self {
            watches: SmallVec::new(),
            in_flight: false,
            requested: false,
            not_before: TimePoint(0),
            retry: Duration::ZERO,
            timer_due: None,
        }
    }
}

impl<Key> TargetChecks<Key> {
    fn due(&self) -> Option<TimePoint> {
        if self.in_flight {
            return None;
        }
        let overdue = self.watches.iter().map(WatchState::due).min();
        let due = match self.requested {
            true => Some(TimePoint(0)),
            false => overdue,
        };
        due.map(|due| due.max(self.not_before))
    }
}

/// Schedules the checks of all targets.
#[derive(Debug)]
pub struct CheckSchedule<Key> {
    settings: CheckSettings,
    targets: TiVec<TargetIndex, TargetChecks<Key>>,
    timers: TimerService<TargetTimer>,
}

impl<Key> CheckSchedule<Key>
where
    Key: Copy + Eq,
{
    /// Creates a schedule without attempts.
    pub fn new(settings: CheckSettings) -> Self {
        Self {
            settings,
            targets: TiVec::new(),
            timers: TimerService::default(),
        }
    }

    /// Watches an attempt on `target` until [`Self::unwatch`].
    pub fn watch(&mut self, target: TargetIndex, watch: AttemptWatch<Key>) {
        let interval = self.settings.repeat;
        let checks = self.checks_mut(target);
        checks.watches.push(WatchState { watch, interval });
        self.schedule(target);
    }

    /// Stops watching an attempt.
    pub fn unwatch(&mut self, target: TargetIndex, key: Key) {
        let checks = self.checks_mut(target);
        let found = checks
            .watches
            .iter()
            .position(|state| state.watch.key == key);
        if let Some(found) = found {
            checks.watches.swap_remove(found);
        }
    }

    /// Makes a target due for a check although no attempt on it is due, so that the target reports
    /// its load.
    pub fn request(&mut self, target: TargetIndex) {
        self.checks_mut(target).requested = true;
        self.schedule(target);
    }

    /// Takes one target that is due for a check and marks its check as in flight. The target is not
    /// due again before [`Self::check_ended`].
    pub fn check_due(&mut self, now: TimePoint) -> Option<TargetIndex> {
        while let Some(TargetTimer { target, due }) = self.timers.pop_due(now) {
            let checks = &mut self.targets[target];
            // An earlier timer has replaced this one.
            if checks.timer_due != Some(due) {
                continue;
            }
            checks.timer_due = None;
            if checks.due().is_some_and(|due| due <= now) {
                checks.in_flight = true;
                checks.requested = false;
                return Some(target);
            }
            self.schedule(target);
        }
        None
    }

    /// The attempts that a check of `target` covers.
    pub fn watched(&self, target: TargetIndex) -> impl Iterator<Item = Key> {
        let checks = self.targets.get(target);
        let watches = checks.into_iter().flat_map(|checks| &checks.watches);
        watches.map(|state| state.watch.key)
    }

    /// Records the result of the check of `target` and schedules the next check. Call
    /// [`Self::unwatch`] first for attempts that the response reports as ended.
    pub fn check_ended(&mut self, now: TimePoint, target: TargetIndex, result: CheckResult) {
        let settings = self.settings.clone();
        let checks = self.checks_mut(target);
        checks.in_flight = false;
        match result {
            CheckResult::Answered { renew_at } => {
                checks.retry = Duration::ZERO;
                checks.not_before = now;
                for state in &mut checks.watches {
                    state.watch.renew_at = renew_at;
                    if state.watch.overdue_at <= now {
                        state.watch.overdue_at = now + state.interval;
                        state.interval = (state.interval * 2).min(settings.repeat_limit);
                    }
                }
            }
            CheckResult::Failed => {
                checks.retry = (checks.retry * 2).clamp(settings.retry, settings.retry_limit);
                checks.not_before = now + checks.retry;
            }
        }
        self.schedule(target);
    }

    /// The next time at which [`Self::check_due`] may return a target.
    pub fn next_due(&self) -> Option<TimePoint> {
        self.timers.next_due()
    }

    fn checks_mut(&mut self, target: TargetIndex) -> &mut TargetChecks<Key> {
        let length = usize::from(target) + 1;
        if self.targets.len() < length {
            self.targets.resize_with(length, TargetChecks::default);
        }
        &mut self.targets[target]
    }

    /// Ensures that the target has a timer at or before the time of its next check.
    fn schedule(&mut self, target: TargetIndex) {
        let checks = &mut self.targets[target];
        if let Some(due) = checks.due()
            && checks.timer_due.is_none_or(|pending| due < pending)
        {
            checks.timer_due = Some(due);
            let timer = TargetTimer { target, due };
            self.timers.subscribe(due, timer);
        }
    }
}
