//! Creates queue entries and pops tasks without placement, for the tests of the queue.

use std::time::Duration;

use filbertpitch_dispatch::entity::{KindIndex, TaskKey, TeamIndex};
use filbertpitch_dispatch::estimate::SizeClass;
use filbertpitch_dispatch::queue::{FairQueue, LaneDecision, LaneKey, QueueEntry, SchedulingRound};
use filbertpitch_types::prelude::*;
use slotmap::SlotMap;

pub fn team(index: usize) -> TeamIndex {
    TeamIndex::from(index)
}

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[derive(Default)]
pub struct TaskSource(SlotMap<TaskKey, ()>);

impl TaskSource {
    pub fn entry(&mut self, owner: usize, kind: usize, predicted: Duration) -> QueueEntry {
        QueueEntry {
            task: self.0.insert(()),
            team: team(owner),
            lane: LaneKey {
                kind: KindIndex::from(kind),
                size: SizeClass::Short,
            },
            predicted,
            deadline: TimePoint(u64::MAX),
            repeatable: true,
        }
    }
}

pub fn pop(queue: &mut FairQueue, now: TimePoint) -> Option<QueueEntry> {
    let mut round = SchedulingRound::default();
    let popped = queue.pop_next(now, &mut round, |_| LaneDecision::Start(()));
    popped.map(|(entry, ())| entry)
}
