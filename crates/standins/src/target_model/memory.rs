//! The attempts that a target remembers after their end.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use filbertpitch_types::prelude::*;
use filbertpitch_types::target::AttemptOutcome;

/// Ended, refused and fenced attempts with their verdicts.
///
/// A verdict never changes: the first one stands.
#[derive(Clone, Debug, Default)]
pub struct AttemptMemory {
    verdicts: HashMap<AttemptId, AttemptOutcome>,
    order: VecDeque<(TimePoint, AttemptId)>,
}

impl AttemptMemory {
    /// Remembers a verdict.
    pub fn remember(&mut self, now: TimePoint, attempt: AttemptId, verdict: AttemptOutcome) {
        if let Entry::Vacant(entry) = self.verdicts.entry(attempt) {
            entry.insert(verdict);
            self.order.push_back((now, attempt));
        }
    }

    /// The verdict of an attempt.
    pub fn verdict(&self, attempt: AttemptId) -> Option<&AttemptOutcome> {
        self.verdicts.get(&attempt)
    }

    /// How many attempts are remembered.
    pub fn len(&self) -> usize {
        self.verdicts.len()
    }

    /// Forgets attempts that ended more than `period` ago.
    pub fn forget(&mut self, now: TimePoint, period: Duration) {
        while let Some(&(ended, attempt)) = self.order.front() {
            if now.since(ended) <= period {
                break;
            }
            self.order.pop_front();
            self.verdicts.remove(&attempt);
        }
    }
}
