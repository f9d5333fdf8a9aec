//! What to read from the log, for the state machines that do not read it themselves.

use std::time::Duration;

use filbertpitch_types::prelude::*;

/// A read of the ticket stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogRead {
    /// The first offset.
    pub from: LogOffset,
    /// The most records.
    pub limit: u32,
    /// How long the log may wait for the first record.
    pub wait: Duration,
}
