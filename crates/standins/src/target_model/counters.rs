//! Counts of messages, from which the load tool computes wasted messages.

use std::ops::AddAssign;

use serde::{Deserialize, Serialize};

/// Messages that a target received and what they caused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCounters {
    /// Protocol messages of every type.
    pub messages: u64,
    /// Start requests that started a run.
    pub starts: u64,
    /// Start requests that joined a run or got a stored result.
    pub joins: u64,
    /// Start requests that were refused.
    pub refusals: u64,
    /// Check requests.
    pub checks: u64,
    /// Stop requests.
    pub stops: u64,
    /// Throttle requests.
    pub throttles: u64,
    /// Checkpoint requests.
    pub checkpoints: u64,
    /// Runs that completed.
    pub done: u64,
    /// The run time at full speed of the runs that completed, in microseconds.
    pub done_micros: u64,
}

impl AddAssign for TargetCounters {
    fn add_assign(&mut self, other: Self) {
        self.messages += other.messages;
        self.starts += other.starts;
        self.joins += other.joins;
        self.refusals += other.refusals;
        self.checks += other.checks;
        self.stops += other.stops;
        self.throttles += other.throttles;
        self.checkpoints += other.checkpoints;
        self.done += other.done;
        self.done_micros += other.done_micros;
    }
}
