//! A queue of timers.
//!
//! The current time is passed in, so that tests and simulated runs control it. Timers cannot be
//! cancelled: the owner of the queue ignores the events that no longer apply. Entries are small and
//! short-lived.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use filbertpitch_types::prelude::*;

use crate::entity::TargetIndex;

/// Timers ordered by due time. Timers that are due at the same time fire in the order in which they
/// were scheduled.
#[derive(Debug)]
pub struct TimerQueue<Event> {
    heap: BinaryHeap<Reverse<TimerEntry<Event>>>,
    next_sequence: u64,
}

/// The event of a target's timer, for owners that have at most one valid timer per target.
///
/// The owner stores the due time of the valid timer. A timer with another `due` has been replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TargetTimer {
    pub target: TargetIndex,
    pub due: TimePoint,
}

#[derive(Debug)]
struct TimerEntry<Event> {
    due: TimePoint,
    sequence: u64,
    event: Event,
}

impl<Event> PartialEq for TimerEntry<Event> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<Event> Eq for TimerEntry<Event> {}

impl<Event> PartialOrd for TimerEntry<Event> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<Event> Ord for TimerEntry<Event> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due, self.sequence).cmp(&(other.due, other.sequence))
    }
}

impl<Event> Default for TimerQueue<Event> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            next_sequence: 0,
        }
    }
}

impl<Event> TimerQueue<Event> {
    /// Schedules `event` for the time `due`.
    pub fn schedule(&mut self, due: TimePoint, event: Event) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.heap.push(Reverse(TimerEntry {
            due,
            sequence,
            event,
        }));
    }

    /// The due time of the next timer.
    pub fn next_due(&self) -> Option<TimePoint> {
        self.heap.peek().map(|Reverse(entry)| entry.due)
    }

    /// Takes the event of the earliest timer, if that timer is due at `now`.
    pub fn pop_due(&mut self, now: TimePoint) -> Option<Event> {
        let Reverse(entry) = self.heap.peek()?;
        if entry.due > now {
            return None;
        }
        self.heap.pop().map(|Reverse(entry)| entry.event)
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
