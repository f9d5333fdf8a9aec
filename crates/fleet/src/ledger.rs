//! The room of one target and the runs that take it.
//!
//! A run takes its room from the moment its order is sent until its end is known. Whatever else may
//! be running counts as taking all of it: a target that is not guarded must never be overfull.

use std::collections::BTreeMap;
use std::time::Duration;

use filbertpitch_dispatch::entity::{KindIndex, VmIndex};
use filbertpitch_types::prelude::*;

/// What is known of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// The order is on its way.
    Requested {
        /// When the order is void at the target.
        expires_at: TimePoint,
    },
    /// The order got no answer. It may be carried out until it is void.
    Uncertain {
        /// When the order is void at the target.
        expires_at: TimePoint,
        /// When it was found that there is no answer.
        timed_out_at: TimePoint,
    },
    /// The target has confirmed it.
    Running {
        /// When the confirmation arrived.
        confirmed_at: TimePoint,
    },
    /// It was told to stop.
    Stopping {
        /// When the last stop order was sent.
        requested_at: TimePoint,
        /// When the target has accepted a stop order.
        accepted_at: Option<TimePoint>,
    },
}

/// A run on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetRun {
    /// Which start of the task.
    pub run: RunNumber,
    /// What it takes; all of the target if unknown.
    pub resources: Option<ResourceVector>,
    /// The VM that keeps its job, if known.
    pub coordinator: Option<VmIndex>,
    /// The queue, if known.
    pub queue: Option<KindIndex>,
    /// How long it is expected to run.
    pub expected: Duration,
    /// When it was ordered or found.
    pub since: TimePoint,
    /// Whether the target has started anew since.
    pub target_restarted: bool,
    /// What is known of it.
    pub phase: RunPhase,
}

/// The room of a target.
#[derive(Clone, Debug, Default)]
pub struct CapacityLedger {
    capacity: ResourceVector,
    runs: BTreeMap<TaskName, TargetRun>,
}

impl CapacityLedger {
    /// Sets the room that the target has.
    pub fn set_capacity(&mut self, capacity: ResourceVector) {
        self.capacity = capacity;
    }

    /// The room that the target has.
    pub fn capacity(&self) -> ResourceVector {
        self.capacity
    }

    /// The room that no run takes.
    pub fn free(&self) -> ResourceVector {
        let mut taken = ResourceVector::default();
        for run in self.runs.values() {
            match run.resources {
                Some(room) => taken += room,
                None => return ResourceVector::default(),
            }
        }
        self.capacity - taken
    }

    /// Adds a run.
    ///
    /// # Panics
    /// When another run of the task is there: a task has one run at a time.
    pub fn insert(&mut self, task: TaskName, run: TargetRun) {
        let former = self.runs.insert(task, run);
        assert!(former.is_none(), "two runs of {task} on one target");
    }

    /// Removes a run whose end is known.
    pub fn remove(&mut self, task: &TaskName) -> Option<TargetRun> {
        self.runs.remove(task)
    }

    /// A run of a task.
    pub fn get(&self, task: &TaskName) -> Option<&TargetRun> {
        self.runs.get(task)
    }

    /// A run of a task, for changes.
    pub fn get_mut(&mut self, task: &TaskName) -> Option<&mut TargetRun> {
        self.runs.get_mut(task)
    }

    /// All runs, in the order of their tasks.
    pub fn runs(&self) -> impl Iterator<Item = (&TaskName, &TargetRun)> {
        self.runs.iter()
    }

    /// Records that the target has started anew.
    pub fn mark_target_restart(&mut self) {
        for run in self.runs.values_mut() {
            run.target_restarted = true;
        }
    }

    /// Removes all runs.
    pub fn take_runs(&mut self) -> BTreeMap<TaskName, TargetRun> {
        std::mem::take(&mut self.runs)
    }

    /// How many runs there are.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether nothing runs.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Whether an order is on its way whose outcome is not known.
    pub fn has_pending_start(&self) -> bool {
        self.runs.values().any(|run| {
            matches!(
                run.phase,
                RunPhase::Requested { .. } | RunPhase::Uncertain { .. }
            )
        })
    }
}
