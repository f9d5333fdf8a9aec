//! Decides when a VM publishes a snapshot.
//!
//! Every VM applies the same rule, so snapshots are published even if only one VM is left. A random
//! delay per VM usually lets one VM publish before the others are due.

use std::time::Duration;

use filbertpitch_types::prelude::*;

/// The oldest record that a new reader needs, as far as the VM knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OldestNeeded {
    /// The stream has no records.
    Nothing,
    /// The log accepted the record at or after this time.
    Since(WallTime),
    /// The state came from a peer, and no snapshot has been read since.
    Unknown,
}

/// The retention of the log and the oldest record that must not expire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionView {
    /// The log's clock at the last read.
    pub log_now: WallTime,
    /// How long the log keeps records.
    pub retention: Duration,
    /// The oldest record that a new reader needs.
    pub oldest: OldestNeeded,
}

/// Decides when one VM publishes a snapshot.
#[derive(Clone, Debug)]
pub struct SnapshotPolicy {
    jitter: u16,
    unknown_since: Option<WallTime>,
    last_attempt: Option<TimePoint>,
}

impl SnapshotPolicy {
    /// The maximum jitter. Reading a snapshot takes a few seconds at most, so a jitter of up to ten
    /// minutes is enough to keep VMs from publishing at the same time.
    pub const JITTER_LIMIT: Duration = Duration::from_secs(600);
    /// The maximum pause after an attempt whose snapshot has not been read back.
    pub const RETRY_LIMIT: Duration = Duration::from_secs(60);

    /// Creates the policy of one VM. `jitter` is a random number, chosen once per VM.
    pub fn new(jitter: u16) -> Self {
        Self {
            jitter,
            unknown_since: None,
            last_attempt: None,
        }
    }

    /// Whether the VM should publish a snapshot now.
    pub fn is_due(&mut self, now: TimePoint, view: &RetentionView) -> bool {
        if view.retention.is_zero() || self.attempted_recently(now, view.retention) {
            return false;
        }
        let delay = self.delay(view.retention);
        match view.oldest {
            OldestNeeded::Nothing => false,
            OldestNeeded::Since(since) => {
                self.unknown_since = None;
                view.log_now.since(since) >= view.retention / 2 + delay
            }
            // The record may be about to expire, so only the jitter delays the snapshot.
            OldestNeeded::Unknown => {
                let since = *self.unknown_since.get_or_insert(view.log_now);
                view.log_now.since(since) >= delay
            }
        }
    }

    /// Records that a snapshot is being appended.
    pub fn attempted(&mut self, now: TimePoint) {
        self.last_attempt = Some(now);
    }

    fn attempted_recently(&self, now: TimePoint, retention: Duration) -> bool {
        let pause = Self::RETRY_LIMIT.min(retention / 16);
        self.last_attempt
            .is_some_and(|attempt| now.since(attempt) < pause)
    }

    fn delay(&self, retention: Duration) -> Duration {
        let window = Self::JITTER_LIMIT.min(retention / 8);
        window * u32::from(self.jitter) / u32::from(u16::MAX)
    }
}
