//! The lanes of one team. A lane is a linked list of queued tasks; lanes are ordered by the age of
//! their first tasks.

use std::collections::BTreeMap;
use std::time::Duration;

use filbertpitch_types::prelude::*;
use slotmap::SecondaryMap;

use crate::entity::{KindIndex, TaskKey};
use crate::queue::{LaneKey, QueueNode, TeamLoad};
use crate::work_rate::WorkRate;

pub(crate) type NodeMap = SecondaryMap<TaskKey, QueueNode>;

/// The position of a task among the queued tasks of its team. Requeued tasks precede those that were
/// not popped before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    fresh: bool,
    number: u64,
}

impl QueuePosition {
    pub(crate) fn fresh(number: u64) -> Self {
        Self {
            fresh: true,
            number,
        }
    }

    pub(crate) fn requeued(number: u64) -> Self {
        Self {
            fresh: false,
            number,
        }
    }

    pub(crate) fn is_requeued(self) -> bool {
        !self.fresh
    }
}

/// A doubly linked list whose links are in the nodes of a [`NodeMap`].
#[derive(Clone, Copy, Debug, Default)]
struct TaskList {
    /// The first and the last task of the list.
    ends: Option<(TaskKey, TaskKey)>,
}

impl TaskList {
    fn append(&mut self, nodes: &mut NodeMap, task: TaskKey) {
        let Some((head, tail)) = self.ends else {
            self.ends = Some((task, task));
            return;
        };
        nodes[tail].next = Some(task);
        nodes[task].previous = Some(tail);
        self.ends = Some((head, task));
    }

    fn unlink(&mut self, nodes: &mut NodeMap, node: &QueueNode) {
        if let Some(previous) = node.previous {
            nodes[previous].next = node.next;
        }
        if let Some(next) = node.next {
            nodes[next].previous = node.previous;
        }
        self.ends = self.ends.and_then(|(head, tail)| {
            let head = if node.previous.is_none() {
                node.next?
            } else {
                head
            };
            let tail = if node.next.is_none() {
                node.previous?
            } else {
                tail
            };
            Some((head, tail))
        });
    }

    fn head(&self) -> Option<TaskKey> {
        self.ends.map(|(head, _)| head)
    }
}

#[derive(Clone, Debug, Default)]
struct TaskLane {
    requeued: TaskList,
    fresh: TaskList,
    /// The sum of the predicted run times of the queued tasks.
    work: Duration,
    /// The time at which the lane last became non-empty, if it is not empty.
    since: Option<TimePoint>,
    /// The rate of popped work, in predicted run time per second.
    rate: WorkRate,
}

impl TaskLane {
    fn list(&mut self, position: QueuePosition) -> &mut TaskList {
        if position.is_requeued() {
            &mut self.requeued
        } else {
            &mut self.fresh
        }
    }

    fn head(&self) -> Option<TaskKey> {
        self.requeued.head().or(self.fresh.head())
    }
}

/// The lanes of a team.
#[derive(Debug, Default)]
pub(crate) struct LaneTable {
    lanes: BTreeMap<LaneKey, TaskLane>,
    /// The lanes with tasks, by the position of their first task.
    heads: BTreeMap<QueuePosition, (LaneKey, TaskKey)>,
}

impl LaneTable {
    /// Adds a task to its lane. Returns whether the lane was empty before.
    pub(crate) fn append(&mut self, now: TimePoint, nodes: &mut NodeMap, task: TaskKey) -> bool {
        let node = nodes[task];
        let key = node.entry().lane;
        let lane = self.lanes.entry(key).or_default();
        let before = lane.head();
        lane.list(node.position()).append(nodes, task);
        lane.work += node.entry().predicted;
        lane.since = lane.since.or(Some(now));
        let after = lane.head();
        self.replace_head(nodes, key, before, after);
        before.is_none()
    }

    /// Removes a task from its lane. Returns whether the lane is empty afterwards.
    pub(crate) fn unlink(&mut self, nodes: &mut NodeMap, node: &QueueNode) -> bool {
        let key = node.entry().lane;
        let lane = self.lanes.get_mut(&key).expect("a queued task has a lane");
        let before = lane.head();
        lane.list(node.position()).unlink(nodes, node);
        lane.work -= node.entry().predicted;
        let after = lane.head();
        if after.is_none() {
            lane.since = None;
        }
        self.replace_head(nodes, key, before, after);
        after.is_none()
    }

    fn replace_head(
        &mut self,
        nodes: &NodeMap,
        key: LaneKey,
        before: Option<TaskKey>,
        after: Option<TaskKey>,
    ) {
        if before == after {
            return;
        }
        if let Some(task) = before {
            self.heads.remove(&nodes[task].position());
        }
        if let Some(task) = after {
            self.heads.insert(nodes[task].position(), (key, task));
        }
    }

    /// The lanes with tasks and their first tasks, oldest first.
    pub(crate) fn heads(&self) -> impl Iterator<Item = (LaneKey, TaskKey)> {
        self.heads.values().copied()
    }

    /// Adds popped work to the service rate of a lane.
    pub(crate) fn record_served(&mut self, now: TimePoint, key: LaneKey, work: Duration) {
        if let Some(lane) = self.lanes.get_mut(&key) {
            lane.rate.record(now, work);
        }
    }

    /// The backlog and the service rate of the kinds that `competes` selects.
    pub(crate) fn load_among<F>(&self, now: TimePoint, competes: F) -> TeamLoad
    where
        F: Fn(KindIndex) -> bool,
    {
        let mut load = TeamLoad::default();
        for (_, lane) in self.lanes.iter().filter(|(key, _)| competes(key.kind)) {
            let mut rate = lane.rate;
            rate.advance(now);
            load.work += lane.work;
            load.served_per_second += rate.per_second();
            load.samples += rate.samples();
            let waiting = lane.since.map_or(Duration::ZERO, |since| now.since(since));
            load.backlogged_for = load.backlogged_for.max(waiting);
        }
        load
    }

    /// The queued work of the kinds that `competes` selects.
    pub(crate) fn work_among<F>(&self, competes: F) -> Duration
    where
        F: Fn(KindIndex) -> bool,
    {
        let lanes = self.lanes.iter().filter(|(key, _)| competes(key.kind));
        lanes.map(|(_, lane)| lane.work).sum()
    }
}
