//! The timer service that the parts of an engine subscribe to.
//!
//! The current time is passed in, so that tests and simulated runs control it. Timers cannot be
//! cancelled: a subscriber ignores the topics that no longer apply. Entries are small and
//! short-lived.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use filbertpitch_types::prelude::*;

use crate::entity::TargetIndex;

/// Timers ordered by due time. Timers that are due at the same time fire in the order of their
/// subscriptions. `Topic` is the value that a timer delivers to its subscriber.
#[derive(Debug)]
pub struct TimerService<Topic> {
    heap: BinaryHeap<Reverse<TimerEntry<Topic>>>,
    next_sequence: u64,
}

/// The topic of a target's timer, for subscribers that have at most one valid timer per target.
///
/// The subscriber stores the due time of the valid timer. A timer with another `due` has been
/// replaced.
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

impl<Topic> Default for TimerService<Topic> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            next_sequence: 0,
        }
    }
}

impl<Topic> TimerService<Topic> {
    /// Delivers `topic` through [`Self::pop_due`] once the time reaches `due`.
    pub fn subscribe(&mut self, due: TimePoint, topic: Topic) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.heap.push(Reverse(TimerEntry {
            due,
            sequence,
            topic,
        }));
    }

    /// The due time of the next timer.
    pub fn next_due(&self) -> Option<TimePoint> {
        self.heap.peek().map(|Reverse(entry)| entry.due)
    }

    /// Takes the topic of the earliest timer, if that timer is due at `now`.
    pub fn pop_due(&mut self, now: TimePoint) -> Option<Topic> {
        let Reverse(entry) = self.heap.peek()?;
        if entry.due > now {
            return None;
        }
        self.heap.pop().map(|Reverse(entry)| entry.topic)
    }

    /// The number of pending timers.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether no timer is pending.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}
