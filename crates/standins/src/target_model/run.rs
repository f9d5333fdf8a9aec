//! One run on a target: progress at a varying speed, under a lease.

use std::time::Duration;

use filbertpitch_types::prelude::*;
use filbertpitch_types::target::AttemptOutcome;
use filbertpitch_types::time::ClockReading;

use crate::ledger::{LedgerIndex, RunEnd};
use crate::plan::{ProgressToken, RunPlan};

/// A throttled run gets a quarter of full speed.
const PARKED_SLOWDOWN: u32 = 4;

/// A run in progress.
#[derive(Clone, Debug)]
pub struct LiveRun {
    /// What the run does.
    pub plan: RunPlan,
    /// Whether it is throttled.
    pub parked: bool,
    /// The end of its lease.
    pub lease_until: WallTime,
    /// Matches the latest entry of the run in the target's timer queue.
    pub generation: u64,
    /// The run's entry in the ledger.
    pub ledger_index: LedgerIndex,
    started: TimePoint,
    remaining: Duration,
    settled_at: TimePoint,
    slowdown: u32,
    lease_due: TimePoint,
}

impl LiveRun {
    /// A run that starts now and has already made `progress`.
    pub fn start(
        clock: ClockReading,
        plan: RunPlan,
        lease_until: WallTime,
        progress: Duration,
        ledger_index: LedgerIndex,
    ) -> Self {
        let remaining = plan.run_time.saturating_sub(progress);
        let mut run = Self {
            plan,
            parked: false,
            lease_until,
            generation: 0,
            ledger_index,
            started: clock.time,
            remaining,
            settled_at: clock.time,
            slowdown: 1,
            lease_due: clock.time,
        };
        run.renew(clock, lease_until);
        run
    }

    /// Sets the end of the lease.
    pub fn renew(&mut self, clock: ClockReading, lease_until: WallTime) {
        self.lease_until = lease_until;
        // At least 1 ms ahead, the resolution of the wall clock.
        let left = lease_until.since(clock.wall).max(Duration::from_millis(1));
        self.lease_due = clock.time + left;
    }

    /// Accounts for the progress made so far, then continues at a speed of 1 / `slowdown`,
    /// reduced further if the run is throttled. A pause has no progress: settle before it and
    /// call [`Self::resume_at`] after it.
    pub fn settle(&mut self, now: TimePoint, straggle: u32) {
        let progress = now.since(self.settled_at) / self.slowdown;
        self.remaining = self.remaining.saturating_sub(progress);
        self.settled_at = now;
        self.slowdown = match self.parked {
            true => straggle.saturating_mul(PARKED_SLOWDOWN),
            false => straggle,
        };
    }

    /// Continues after a pause in which no progress was made.
    pub fn resume_at(&mut self, now: TimePoint) {
        self.settled_at = now;
    }

    /// When the run completes or its lease ends.
    pub fn due(&self) -> TimePoint {
        self.complete_at().min(self.lease_due)
    }

    fn complete_at(&self) -> TimePoint {
        self.settled_at + self.remaining.saturating_mul(self.slowdown)
    }

    /// When the run completed, if it did so before the end of its lease.
    pub fn completed_by(&self, clock: ClockReading) -> Option<TimePoint> {
        let complete_at = self.complete_at();
        let lapsed_first = self.lapsed_by(clock) && self.lease_due <= complete_at;
        (complete_at <= clock.time && !lapsed_first).then_some(complete_at)
    }

    /// Whether the lease has run out.
    pub fn lapsed_by(&self, clock: ClockReading) -> bool {
        clock.wall >= self.lease_until
    }

    /// The result of a run that completed.
    pub fn result(&self, completed: TimePoint) -> (AttemptOutcome, RunEnd) {
        let run_time = completed.since(self.started);
        match &self.plan.failure {
            Some(reason) => {
                let reason = reason.clone();
                (AttemptOutcome::Failed { reason, run_time }, RunEnd::Failed)
            }
            None => {
                let output = self.plan.output().into();
                (AttemptOutcome::Done { output, run_time }, RunEnd::Done)
            }
        }
    }

    /// A checkpoint of the progress made up to `now`.
    pub fn checkpoint(&mut self, now: TimePoint) -> ProgressToken {
        self.settle(now, self.slowdown);
        ProgressToken(self.plan.run_time.saturating_sub(self.remaining))
    }
}
