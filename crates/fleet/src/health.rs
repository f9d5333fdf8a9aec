//! Whether a target's work can be trusted, judged by what its runs do.

use std::time::Duration;

use filbertpitch_types::prelude::*;

/// When a target gets no work, and when it is tried again.
#[derive(Clone, Debug, PartialEq)]
pub struct VerdictSettings {
    /// The failures in a row, with no success between them, after which a target gets no work.
    /// A task that fails by its own fault is rare, so that three in a row point to the target.
    pub failure_limit: u32,
    /// The time from the first verdict to the first trial; doubles up to `backoff_limit`.
    pub backoff: Duration,
    /// The longest time to a trial.
    pub backoff_limit: Duration,
    /// The share of the latest run in the slowdown.
    pub slowdown_gain: f64,
}

impl Default for VerdictSettings {
    fn default() -> Self {
        Self {
            failure_limit: 3,
            backoff: Duration::from_millis(500),
            backoff_limit: Duration::from_secs(4),
            slowdown_gain: 0.2,
        }
    }
}

/// Whether a target gets work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetTrust {
    /// It gets work.
    Trusted,
    /// It gets no work until then.
    Shunned {
        /// When it is tried again.
        until: TimePoint,
    },
    /// It gets one task at a time until one is done.
    Trial,
}

/// What the runs of one target say about it.
#[derive(Clone, Debug)]
pub struct TargetVerdict {
    settings: VerdictSettings,
    trust: TargetTrust,
    failures: u32,
    backoff: Duration,
    /// Run time over expected run time, as a natural logarithm.
    slowdown: f64,
}

impl TargetVerdict {
    /// A target that is trusted.
    pub fn new(settings: VerdictSettings) -> Self {
        Self {
            backoff: settings.backoff,
            settings,
            trust: TargetTrust::Trusted,
            failures: 0,
            slowdown: 0.0,
        }
    }

    /// Records a run that was done, and how its time compares with the expected one.
    pub fn done(&mut self, took: Duration, expected: Duration) {
        self.failures = 0;
        self.trust = TargetTrust::Trusted;
        self.backoff = self.settings.backoff;
        if expected.is_zero() || took.is_zero() {
            return;
        }
        let ratio = (took.as_secs_f64() / expected.as_secs_f64()).ln();
        self.slowdown += (ratio - self.slowdown) * self.settings.slowdown_gain;
    }

    /// Records a run that failed, or a target that did not do what it was told. Returns whether the
    /// target is shunned from now on.
    pub fn failed(&mut self, now: TimePoint) -> bool {
        self.failures += 1;
        let shunned = match self.trust {
            TargetTrust::Trusted => self.failures >= self.settings.failure_limit,
            TargetTrust::Trial => true,
            TargetTrust::Shunned { .. } => false,
        };
        if shunned {
            let until = now + self.backoff;
            self.trust = TargetTrust::Shunned { until };
            self.backoff = (self.backoff * 2).min(self.settings.backoff_limit);
        }
        shunned
    }

    /// Whether the target gets a task while `running` tasks run there.
    pub fn admits(&mut self, now: TimePoint, running: usize) -> bool {
        if let TargetTrust::Shunned { until } = self.trust
            && until <= now
        {
            self.trust = TargetTrust::Trial;
        }
        match self.trust {
            TargetTrust::Trusted => true,
            TargetTrust::Shunned { .. } => false,
            TargetTrust::Trial => running == 0,
        }
    }

    /// Whether the target gets work.
    pub fn trust(&self) -> TargetTrust {
        self.trust
    }

    /// How long work takes there, as a multiple of the usual time.
    pub fn slowdown(&self) -> f64 {
        self.slowdown.exp()
    }
}
