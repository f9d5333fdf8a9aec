//! Decides when a target is asked about this VM's attempts on it.
//!
//! A check covers all attempts on a target, and only overdue attempts and leases that need renewal
//! cause one, so the number of checks does not grow with the number of tasks.

use std::time::Duration;

use filbertpitch_types::prelude::*;
use smallvec::SmallVec;
use typed_index_collections::TiVec;

use crate::entity::TargetIndex;
use crate::timer::{TargetTimer, TimerQueue};

/// The parameters of checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckSettings {
    /// The time to the next check of an overdue attempt that still runs; doubles up to
    /// `repeat_limit`.
    pub repeat: Duration,
    /// The longest time between checks of an overdue attempt.
    pub repeat_limit: Duration,
    /// The time to the next check after a failed one; doubles up to `retry_limit`.
    pub retry: Duration,
    /// The longest time between checks of a target that does not answer. It must be much shorter
    /// than a lease, so that a lease survives a few failed checks.
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

/// One attempt that the schedule watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptWatch<Key> {
    /// Identifies the attempt.
    pub key: Key,
    /// When it is overdue.
    pub overdue_at: TimePoint,
    /// When half of its lease has passed.
    pub renew_at: TimePoint,
}

/// How a check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckResult {
    /// The target answered and renewed the leases.
    Answered {
        /// When half of the renewed leases has passed.
        renew_at: TimePoint,
    },
    /// The target did not answer.
    Failed,
}

#[derive(Clone, Debug)]
struct WatchState<Key> {
    watch: AttemptWatch<Key>,
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
    in_flight: bool,
    requested: bool,
    /// No check before this time, after failed ones.
    not_before: TimePoint,
    retry: Duration,
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

/// When each target is checked.
#[derive(Debug)]
pub struct CheckSchedule<Key> {
    settings: CheckSettings,
    targets: TiVec<TargetIndex, TargetChecks<Key>>,
    timers: TimerQueue<TargetTimer>,
}

impl<Key> CheckSchedule<Key>
where
    Key: Copy + Eq,
{
    /// A schedule without attempts.
    pub fn new(settings: CheckSettings) -> Self {
        Self {
            settings,
            targets: TiVec::new(),
            timers: TimerQueue::default(),
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

    /// Makes a target due for a check without an overdue attempt, to learn its load.
    pub fn request(&mut self, target: TargetIndex) {
        self.checks_mut(target).requested = true;
        self.schedule(target);
    }

    /// Takes one target that is due for a check. It is not due again before
    /// [`Self::check_ended`].
    pub fn check_due(&mut self, now: TimePoint) -> Option<TargetIndex> {
        while let Some(TargetTimer { target, due: wake }) = self.timers.pop_due(now) {
            let checks = &mut self.targets[target];
            // Otherwise an earlier timer has replaced this one.
            if checks.timer_due != Some(wake) {
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

    /// The attempts that a check of `target` asks about.
    pub fn watched(&self, target: TargetIndex) -> impl Iterator<Item = Key> {
        let checks = self.targets.get(target);
        let watches = checks.into_iter().flat_map(|checks| &checks.watches);
        watches.map(|state| state.watch.key)
    }

    /// Records how the check of `target` ended. Call [`Self::unwatch`] first for attempts that the
    /// answer reports as ended.
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

    /// When [`Self::check_due`] may have something to do.
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

    /// Keeps one timer per target, at or before the time at which it is due.
    fn schedule(&mut self, target: TargetIndex) {
        let checks = &mut self.targets[target];
        if let Some(due) = checks.due()
            && checks.timer_due.is_none_or(|wake| due < wake)
        {
            checks.timer_due = Some(due);
            let timer = TargetTimer { target, due };
            self.timers.schedule(due, timer);
        }
    }
}
