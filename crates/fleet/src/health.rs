//! Whether a target's work can be trusted, judged by what its runs do.

use std::time::Duration;

use filbertpitch_types::prelude::*;

/// When a target gets no work, and when it is tried again.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthSettings {
    /// The failures in a row, with no success between them, after which a target gets no work.
    /// A task that fails by its own fault is rare, so that three in a row point to the target.
    pub failure_limit: u32,
    /// The time from the first verdict to the first trial; doubles up to `backoff_limit`.
    pub backoff: Duration,
    /// The longest time to a trial.
    pub max_backoff: Duration,
    /// The share of the latest run in the slowdown.
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

/// Whether a target gets work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerState {
    /// It gets work.
    Closed,
    /// It gets no work until then.
    Open {
        /// When it is tried again.
        until: TimePoint,
    },
    /// It gets one task at a time until one is done.
    HalfOpen,
}

/// What the runs of one target say about it.
#[derive(Clone, Debug)]
pub struct TargetHealth {
    settings: HealthSettings,
    breaker: BreakerState,
    failures: u32,
    backoff: Duration,
    /// Run time over expected run time, as a natural logarithm.
    slowdown: f64,
}

impl TargetHealth {
    /// A target that is trusted.
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            backoff: settings.backoff,
            settings,
            breaker: BreakerState::Closed,
            failures: 0,
            slowdown: 0.0,
        }
    }

    /// Records a run that was done, and how its time compares with the expected one.
    pub fn record_success(&mut self, took: Duration, expected: Duration) {
        self.failures = 0;
        self.breaker = BreakerState::Closed;
        self.backoff = self.settings.backoff;
        if expected.is_zero() || took.is_zero() {
            return;
        }
        let ratio = (took.as_secs_f64() / expected.as_secs_f64()).ln();
        self.slowdown += (ratio - self.slowdown) * self.settings.slowdown_gain;
    }

    /// Records a run that failed, or a target that did not do what it was told. Returns whether the
    /// target is shunned from now on.
    pub fn record_failure(&mut self, now: TimePoint) -> bool {
        self.failures += 1;
        let shunned = match self.breaker {
            BreakerState::Closed => self.failures >= self.settings.failure_limit,
            BreakerState::HalfOpen => true,
            BreakerState::Open { .. } => false,
        };
        if shunned {
            let until = now + self.backoff;
            self.breaker = BreakerState::Open { until };
            self.backoff = (self.backoff * 2).min(self.settings.max_backoff);
        }
        shunned
    }

    /// Whether the target gets a task while `running` tasks run there.
    pub fn admits(&mut self, now: TimePoint, running: usize) -> bool {
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

    /// Whether the target gets work.
    pub fn breaker(&self) -> BreakerState {
        self.breaker
    }

    /// How long work takes there, as a multiple of the usual time.
    pub fn slowdown(&self) -> f64 {
        self.slowdown.exp()
    }
}
