//! The timer service that parts of the engine subscribe to.
//!
//! Time is passed in, so a test or a simulated run controls it. A subscriber ignores a timer that
//! no longer concerns it instead of cancelling it; entries are small and live briefly.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use filbertpitch_types::prelude::*;

use crate::entity::TargetIndex;

/// Timers ordered by due time; equal times fire in order of subscription.
#[derive(Debug)]
pub struct TimerQueue<Topic> {
    heap: BinaryHeap<Reverse<TimerEntry<Topic>>>,
    next_sequence: u64,
}

/// The topic of a timer of one target, for subscribers that keep one timer per target.
///
/// A timer whose `wake` is not the one that the subscriber last asked for has been replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TargetTimer {
    pub target: TargetIndex,
    pub due: TimePoint,
}

#[derive(Debug)]
struct TimerEntry<Topic> {
    due: TimePoint,
    sequence: u64,
    topic: Topic,
}

impl<Topic> PartialEq for TimerEntry<Topic> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<Topic> Eq for TimerEntry<Topic> {}

impl<Topic> PartialOrd for TimerEntry<Topic> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<Topic> Ord for TimerEntry<Topic> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due, self.sequence).cmp(&(other.due, other.sequence))
    }
}

impl<Topic> Default for TimerQueue<Topic> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            next_sequence: 0,
        }
    }
}

impl<Topic> TimerQueue<Topic> {
    /// Delivers `topic` once the time reaches `due`.
    pub fn schedule(&mut self, due: TimePoint, topic: Topic) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.heap.push(Reverse(TimerEntry {
            due,
            sequence,
            topic,
        }));
    }

    /// When the next timer is due.
    pub fn next_due(&self) -> Option<TimePoint> {
        self.heap.peek().map(|Reverse(entry)| entry.due)
    }

    /// Takes one timer that is due at `now`.
    pub fn pop_due(&mut self, now: TimePoint) -> Option<Topic> {
        let Reverse(entry) = self.heap.peek()?;
        if entry.due > now {
            return None;
        }
        self.heap.pop().map(|Reverse(entry)| entry.topic)
    }

    /// How many timers are pending.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether no timer is pending.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}
