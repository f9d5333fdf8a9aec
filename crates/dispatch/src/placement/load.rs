//! The last reported load of a target, and the back-off after busy refusals.

use std::time::Duration;

use filbertpitch_types::prelude::*;
use filbertpitch_types::target::LoadReport;

/// The slots of a target that other VMs use, according to its latest load report.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadView {
    reported: Option<TimePoint>,
    slots: u16,
    others: u16,
    peak: u16,
    peak_at: TimePoint,
}

impl LoadView {
    /// Updates the view from a load report. `own` is the number of slots that this VM uses on the
    /// target.
    pub fn report(&mut self, now: TimePoint, load: &LoadReport, own: u16, decay: Duration) {
        self.reported = Some(now);
        self.slots = load.slots;
        self.others = load.running.saturating_sub(own);
        let decayed = self.decayed_peak(now, decay);
        if decayed != self.peak || self.others >= decayed {
            self.peak = decayed.max(self.others);
            self.peak_at = now;
        }
    }

    fn decayed_peak(&self, now: TimePoint, decay: Duration) -> u16 {
        let steps = now.since(self.peak_at).as_micros() / decay.as_micros().max(1);
        self.peak
            .saturating_sub(u16::try_from(steps).unwrap_or(u16::MAX))
    }

    pub fn is_fresh(&self, now: TimePoint, ttl: Duration) -> bool {
        self.reported
            .is_some_and(|reported| now.since(reported) < ttl)
    }

    /// When the latest report expires.
    pub fn expires(&self, ttl: Duration) -> Option<TimePoint> {
        self.reported.map(|reported| reported + ttl)
    }

    pub fn others(&self) -> u16 {
        self.others
    }

    /// The recent peak of the slots that the other VMs use.
    pub fn peak(&self) -> u16 {
        self.peak
    }

    /// The lesser of the configured and the reported number of slots.
    pub fn slots(&self, configured: u16) -> u16 {
        match self.slots {
            0 => configured,
            reported => configured.min(reported),
        }
    }
}

/// An exponential back-off that doubles with each refusal and halves with each success.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RefusalBackoff {
    until: TimePoint,
    length: Duration,
}

impl RefusalBackoff {
    pub fn record_refusal(&mut self, now: TimePoint, first: Duration, limit: Duration) {
        self.length = (self.length * 2).clamp(first, limit);
        self.until = now + self.length;
    }

    pub fn record_success(&mut self) {
        self.length /= 2;
    }

    /// Extends the back-off while one attempt tests whether the refusals have ended.
    pub fn extend(&mut self, now: TimePoint) {
        self.until = self.until.max(now + self.length);
    }

    /// Ends the back-off after a successful attempt.
    pub fn end_early(&mut self, now: TimePoint) {
        self.record_success();
        self.until = self.until.min(now);
    }

    pub fn is_active(&self, now: TimePoint) -> bool {
        now < self.until
    }

    pub fn until(&self) -> TimePoint {
        self.until
    }
}
