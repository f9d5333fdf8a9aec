//! Decides when a read whose response may be large is given up.
//!
//! While no byte arrives, a store that is busy cannot be told from a response that is lost, and a read that
//! is abandoned makes a busy store slower. So a read without a byte is not limited by a time-out: a probe, a
//! small read on another connection, shows whether the store answers. A store that answers a later probe
//! without having sent a byte of the read will not answer the read.

use std::time::Duration;

use filbertpitch_types::prelude::*;

use crate::store_reads::ReadSchedule;

/// Limits of one read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchSettings {
    /// The time-out of the read while its bytes arrive.
    pub timeout: Duration,
    /// The time without a byte after which a probe is sent.
    pub quiet_limit: Duration,
}

/// What to do about a read in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchStep {
    /// Look again after this time.
    Wait(Duration),
    /// Send a probe with this time-out.
    Probe(Duration),
    /// Give up the read, which takes too long although its bytes arrive.
    GiveUp,
}

/// Watches one read from its start on. The caller reports the number of bytes that have arrived.
#[derive(Clone, Debug)]
pub struct StallWatch {
    settings: WatchSettings,
    started_at: TimePoint,
    received: u64,
    /// Whether a probe was sent since the latest byte.
    probing: bool,
    probe_at: TimePoint,
    probes: ReadSchedule,
}

impl StallWatch {
    /// Watches a read that starts now.
    pub fn new(now: TimePoint, settings: WatchSettings) -> Self {
        Self {
            settings,
            started_at: now,
            received: 0,
            probing: false,
            probe_at: now + settings.quiet_limit,
            probes: ReadSchedule::default(),
        }
    }

    /// What to do now that `received` bytes have arrived in total.
    pub fn next_step(&mut self, now: TimePoint, received: u64) -> WatchStep {
        self.record_bytes(now, received);
        if now >= self.probe_at {
            self.probing = true;
            return WatchStep::Probe(self.probes.timeout());
        }
        let mut next = self.probe_at;
        if self.received > 0 && !self.probing {
            let deadline = self.started_at + self.settings.timeout;
            if now >= deadline {
                return WatchStep::GiveUp;
            }
            next = next.min(deadline);
        }
        WatchStep::Wait(next.since(now))
    }

    /// Records whether a probe was answered; `received` bytes have arrived in total, and `random` is a number
    /// from 0 to 1. Returns whether the response of the read is lost.
    pub fn record_probe(
        &mut self,
        now: TimePoint,
        answered: bool,
        received: u64,
        random: f64,
    ) -> bool {
        if self.record_bytes(now, received) {
            return false;
        }
        if !answered {
            self.probe_at = now + self.probes.record_failure(random);
        }
        answered
    }

    /// Returns whether bytes have arrived since the last report.
    fn record_bytes(&mut self, now: TimePoint, received: u64) -> bool {
        if received <= self.received {
            return false;
        }
        self.received = received;
        self.probing = false;
        self.probe_at = now + self.settings.quiet_limit;
        self.probes = ReadSchedule::default();
        true
    }
}
