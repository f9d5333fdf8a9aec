//! Events in the order of time, and of insertion within the same microsecond.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use filbertpitch_types::prelude::*;

/// Pending events.
#[derive(Debug)]
pub struct EventQueue<Event> {
    order: BinaryHeap<Reverse<(TimePoint, u64)>>,
    events: BTreeMap<u64, Event>,
    next_sequence: u64,
}

impl<Event> Default for EventQueue<Event> {
    fn default() -> Self {
        Self {
            order: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_sequence: 0,
        }
    }
}

impl<Event> EventQueue<Event> {
    /// Adds an event that happens at `at`.
    pub fn push(&mut self, at: TimePoint, event: Event) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.order.push(Reverse((at, sequence)));
        self.events.insert(sequence, event);
    }

    /// Takes the next event that happens no later than `end`.
    pub fn pop(&mut self, end: TimePoint) -> Option<(TimePoint, Event)> {
        let &Reverse((at, sequence)) = self.order.peek()?;
        if at > end {
            return None;
        }
        self.order.pop();
        let event = self.events.remove(&sequence);
        Some((at, event.expect("every queued sequence has an event")))
    }
}
