//! Faults that can be injected into a target.

use filbertpitch_types::prelude::*;
use filbertpitch_types::time::ClockReading;
use serde::{Deserialize, Serialize};

use super::TargetModel;
use crate::ledger::RunEnd;

/// A change of a target's condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum TargetFault {
    /// Every new run fails after 1 ms, or with `enabled: false` runs as its input says.
    FailFast {
        /// Whether the fault is present.
        enabled: bool,
    },
    /// Runs take `factor` times as long, present ones included; 1 is normal.
    Straggle {
        /// The factor, at least 1.
        factor: u32,
    },
    /// The process stops: it makes no progress and answers nothing.
    Freeze,
    /// The process continues after a freeze. Leases that ran out meanwhile end their runs.
    Thaw,
    /// The process dies and all runs end with it.
    Die,
    /// The process starts again and remembers nothing.
    Restart,
    /// The target is leaving and refuses new work.
    Leave,
    /// The target is no longer leaving.
    Stay,
}

/// Whether the target processes requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reachability {
    /// It processes requests.
    #[default]
    Open,
    /// It is frozen; requests wait until it thaws.
    Frozen,
    /// It is dead; connections are closed and new ones refused.
    Dead,
}

/// The faults in effect.
#[derive(Clone, Copy, Debug)]
pub(super) struct FaultState {
    pub(super) fail_fast: bool,
    pub(super) straggle: u32,
    pub(super) leaving: bool,
    reachability: Reachability,
}

impl Default for FaultState {
    fn default() -> Self {
        Self {
            fail_fast: false,
            straggle: 1,
            leaving: false,
            reachability: Reachability::Open,
        }
    }
}

impl TargetModel {
    /// Whether the target processes requests.
    pub fn reachability(&self) -> Reachability {
        self.faults.reachability
    }

    /// Changes the target's condition.
    pub fn inject(&mut self, clock: ClockReading, fault: TargetFault) {
        self.advance(clock);
        match fault {
            TargetFault::FailFast { enabled } => self.faults.fail_fast = enabled,
            TargetFault::Straggle { factor } => self.straggle(clock.time, factor.max(1)),
            TargetFault::Freeze => self.freeze(clock.time),
            TargetFault::Thaw => self.thaw(clock),
            TargetFault::Die => self.die(clock.time),
            TargetFault::Restart => self.restart(clock.time),
            TargetFault::Leave => self.faults.leaving = true,
            TargetFault::Stay => self.faults.leaving = false,
        }
    }

    fn straggle(&mut self, now: TimePoint, factor: u32) {
        self.faults.straggle = factor;
        if self.reachability() == Reachability::Open {
            self.settle_runs(now);
        }
    }

    fn settle_runs(&mut self, now: TimePoint) {
        let mut attempts = self.runs.keys().copied().collect::<Vec<_>>();
        attempts.sort();
        for attempt in attempts {
            if let Some(run) = self.runs.get_mut(&attempt) {
                run.settle(now, self.faults.straggle);
            }
            self.schedule(attempt);
        }
    }

    fn freeze(&mut self, now: TimePoint) {
        if self.reachability() == Reachability::Open {
            self.settle_runs(now);
            self.faults.reachability = Reachability::Frozen;
        }
    }

    fn thaw(&mut self, clock: ClockReading) {
        if self.reachability() != Reachability::Frozen {
            return;
        }
        self.faults.reachability = Reachability::Open;
        let runs = self.runs.values_mut();
        runs.for_each(|run| run.resume_at(clock.time));
        self.settle_runs(clock.time);
        self.advance(clock);
    }

    fn die(&mut self, now: TimePoint) {
        for (_, run) in self.runs.drain() {
            self.ledger.record_end(now, run.ledger_index, RunEnd::Died);
        }
        self.due.clear();
        self.parked = 0;
        self.memory = Default::default();
        self.ended.clear();
        self.faults.reachability = Reachability::Dead;
    }

    fn restart(&mut self, now: TimePoint) {
        self.die(now);
        self.boot += 1;
        self.faults = FaultState::default();
    }
}
