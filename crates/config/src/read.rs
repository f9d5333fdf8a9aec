//! Read requests of the state machines, which leave the I/O to their callers.

use std::time::Duration;

use filbertpitch_types::prelude::*;

/// A read of the ticket stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogRead {
    /// The offset of the first record to read.
    pub from: LogOffset,
    /// The maximum number of records to return.
    pub limit: u32,
    /// How long the log may wait for the first record.
    pub wait: Duration,
}
