//! Counts of what passes between the loop and the engine.

use filbertpitch_dispatch::engine::StateCommand;
use filbertpitch_types::target::{AttemptOutcome, RefusalReason};

/// Counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoopCounts {
    /// Check requests.
    pub checks: u64,
    /// Stop requests.
    pub stops: u64,
    /// Throttle requests.
    pub throttles: u64,
    /// Ejections of targets, including those after a failed probe.
    pub ejections: u64,
    refusals: [u64; RefusalReason::ALL.len()],
}

impl LoopCounts {
    /// Starts that targets refused for a reason.
    pub fn refusals(&self, reason: RefusalReason) -> u64 {
        self.refusals[reason as usize]
    }

    pub(super) fn add_verdict(&mut self, verdict: &AttemptOutcome) {
        if let AttemptOutcome::Refused { reason } = verdict {
            self.refusals[*reason as usize] += 1;
        }
    }

    pub(super) fn add_request(&mut self, command: StateCommand) {
        let counter = match command {
            StateCommand::Check => &mut self.checks,
            StateCommand::Stop => &mut self.stops,
            StateCommand::Throttle => &mut self.throttles,
        };
        *counter += 1;
    }
}
