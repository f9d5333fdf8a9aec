//! Health of a target, judged by its runs: a circuit breaker and the relative speed.

use std::time::Duration;

use filbertpitch_types::prelude::*;

/// Settings of the circuit breaker and of the speed estimate.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthSettings {
    /// The consecutive failures after which the breaker opens. Tasks that fail by their own fault
    /// are rare, so that three in a row point to the target.
    pub failure_limit: u32,
    /// The time until the first trial; doubles with each failed trial, up to `max_backoff`.
    pub backoff: Duration,
    /// The longest time until a trial.
    pub max_backoff: Duration,
    /// The weight of the latest run in the slowdown estimate.
    pub slowdown_gain: f64,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            failure_limit: 3,
            backoff: Duration::from_millis(500),
            max_backoff: Duration::from_secs(4),
            slowdown_gain: 0.2,
        }
    }
}

/// The limit of the distance of one run from the slowdown so far, as a natural logarithm: three runs
/// in a hundred take seven times as long.
const MAX_RUN_DISTANCE: f64 = 1.0;

/// The state of the circuit breaker of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerState {
    /// The target gets work.
    Closed,
    /// The target is ejected and gets no work.
    Open {
        /// When the target gets a trial task.
        until: TimePoint,
    },
    /// The target gets one task at a time until one succeeds.
    HalfOpen,
}

/// The circuit breaker and the speed of one target.
#[derive(Clone, Debug)]
pub struct TargetHealth {
    settings: HealthSettings,
    breaker: BreakerState,
    failures: u32,
    backoff: Duration,
    /// Mean of the natural logarithm of run time over expected run time.
    slowdown: f64,
    /// Until when the target is slow for a while, and its slowdown in that time.
    cold: Option<ColdPhase>,
    /// When the target was last slow for a while.
    cold_ended_at: Option<TimePoint>,
    /// The total weight of the runs in `slowdown`, between 0 and 1.
    learned: f64,
}

/// A time in which a target is slow, for example because its caches are empty.
#[derive(Clone, Copy, Debug)]
struct ColdPhase {
    since: TimePoint,
    until: TimePoint,
    /// As in [`TargetHealth`].
    slowdown: f64,
}

impl TargetHealth {
    /// The initial health of a target: the breaker is closed and the speed is as expected.
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            backoff: settings.backoff,
            settings,
            breaker: BreakerState::Closed,
            failures: 0,
            slowdown: 0.0,
            cold: None,
            cold_ended_at: None,
            learned: 0.0,
        }
    }

    /// Forgets the failures and the speed of the instance so far, because another one has started. The list states
    /// until when the target is slow, and may have done so before the restart was noticed.
    pub fn restart(&mut self) {
        *self = Self {
            cold: self.cold.map(|cold| ColdPhase {
                slowdown: 0.0,
                ..cold
            }),
            cold_ended_at: self.cold_ended_at,
            ..Self::new(self.settings.clone())
        };
    }

    /// Sets until when the target is slow; `None` if it is not. What is learned in that time is kept
    /// separately and discarded at its end.
    pub fn set_cold_until(&mut self, now: TimePoint, until: Option<TimePoint>) {
        match (until, &mut self.cold) {
            (Some(until), Some(cold)) => cold.until = until,
            (Some(until), None) => {
                let slowdown = self.slowdown;
                self.cold = Some(ColdPhase {
                    since: now,
                    until,
                    slowdown,
                });
            }
            (None, Some(cold)) => cold.until = cold.until.min(now),
            (None, None) => {}
        }
        self.advance(now);
    }

    /// Discards what was learned while the target was slow, once that time is over.
    pub fn advance(&mut self, now: TimePoint) {
        if let Some(cold) = self.cold.take_if(|cold| cold.until <= now) {
            self.cold_ended_at = Some(cold.until);
        }
    }

    /// Whether the target is slow for a while.
    pub fn is_cold(&self) -> bool {
        self.cold.is_some()
    }

    /// Whether a run that has started at `since` and ends now says something about the speed of the
    /// target: not if the target was slow during a part of it only.
    pub fn is_run_typical(&self, since: TimePoint) -> bool {
        let began_at = self.cold.map(|cold| cold.since).or(self.cold_ended_at);
        began_at.is_none_or(|began| began <= since)
    }

    /// Records a completed run and compares its run time with the expected one.
    pub fn record_success(&mut self, took: Duration, expected: Duration) {
        self.failures = 0;
        self.breaker = BreakerState::Closed;
        self.backoff = self.settings.backoff;
        if expected.is_zero() || took.is_zero() {
            return;
        }
        let ratio = (took.as_secs_f64() / expected.as_secs_f64()).ln();
        let slowdown = match &mut self.cold {
            Some(cold) => &mut cold.slowdown,
            None => {
                self.learned += (1.0 - self.learned) * self.settings.slowdown_gain;
                &mut self.slowdown
            }
        };
        let distance = (ratio - *slowdown).clamp(-MAX_RUN_DISTANCE, MAX_RUN_DISTANCE);
        *slowdown += distance * self.settings.slowdown_gain;
    }

    /// Adapts the slowdown to expected run times that change by a factor, given by its natural
    /// logarithm, so that the run times that were measured keep their effect.
    pub fn rebase(&mut self, log_change: f64) {
        let change = log_change * self.learned;
        self.slowdown -= change;
        // The slowdown of a cold target has begun with the usual one.
        if let Some(cold) = &mut self.cold {
            cold.slowdown -= change;
        }
    }

    /// Records a failed run, or a request that the target did not fulfil. Returns whether this
    /// failure ejects the target.
    pub fn record_failure(&mut self, now: TimePoint) -> bool {
        self.failures += 1;
        let ejected = match self.breaker {
            BreakerState::Closed => self.failures >= self.settings.failure_limit,
            BreakerState::HalfOpen => true,
            BreakerState::Open { .. } => false,
        };
        if ejected {
            let until = now + self.backoff;
            self.breaker = BreakerState::Open { until };
            self.backoff = (self.backoff * 2).min(self.settings.max_backoff);
        }
        ejected
    }

    /// Whether the target may get a task while `running` tasks run there.
    pub fn admits(&mut self, now: TimePoint, running: usize) -> bool {
        self.advance(now);
        if let BreakerState::Open { until } = self.breaker
            && until <= now
        {
            self.breaker = BreakerState::HalfOpen;
        }
        match self.breaker {
            BreakerState::Closed => true,
            BreakerState::Open { .. } => false,
            BreakerState::HalfOpen => running == 0,
        }
    }

    /// The state of the circuit breaker.
    pub fn breaker(&self) -> BreakerState {
        self.breaker
    }

    /// The factor by which runs take longer than expected.
    pub fn slowdown(&self) -> f64 {
        let slowdown = self.cold.map_or(self.slowdown, |cold| cold.slowdown);
        slowdown.exp()
    }
}
