//! Accounting of the resources of one target and of the runs that use them.
//!
//! A run occupies its resources from the moment its request is sent until its end is known. A run
//! with unknown resources counts as occupying the whole target: a target that does not reject
//! excess work must never be overcommitted.

use std::collections::BTreeMap;
use std::time::Duration;

use filbertpitch_dispatch::entity::{KindIndex, VmIndex};
use filbertpitch_types::prelude::*;

use crate::lease_limits::LeaseLimits;
use crate::registry::TargetInstance;

/// What the holder knows of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// The start request has been sent.
    Requested {
        /// When the target no longer accepts the request.
        expires_at: TimePoint,
    },
    /// The start request got no response. The run may start until the request expires.
    Uncertain {
        /// When the target no longer accepts the request.
        expires_at: TimePoint,
        /// When the holder noticed that there is no response.
        timed_out_at: TimePoint,
    },
    /// The target has confirmed the run.
    Running {
        /// When the confirmation arrived.
        confirmed_at: TimePoint,
    },
    /// The target was told to stop the run.
    Stopping {
        /// When the last stop request was sent.
        requested_at: TimePoint,
        /// When the target accepted a stop request, if it has.
        accepted_at: Option<TimePoint>,
        /// Whether the target had confirmed the run before.
        confirmed: bool,
    },
}

/// What is known of the instance that has a run.
///
/// A start request names the target and not its instance, and neither does the response. Only a report names
/// the instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunPlace {
    /// The instance that had answered last when the run was requested.
    requested_of: TargetInstance,
    /// The latest instance whose report has listed the run.
    listed_by: Option<TargetInstance>,
    /// Whether the request was sent more than once, so that a copy may arrive after the run has started.
    repeated: bool,
}

/// Whose run a report lists under the name of a known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedRun {
    /// The known run.
    Known,
    /// The known run, if the instance has carried out its request, or that of another coordinator.
    Unclear,
    /// A run of another coordinator: an earlier instance has carried out the only request for the known one.
    Other,
}

impl RunPlace {
    /// A run that is requested now of a target whose latest answer was that of `instance`.
    pub fn requested(instance: TargetInstance) -> Self {
        Self {
            requested_of: instance,
            listed_by: None,
            repeated: false,
        }
    }

    /// A run that the report of an instance lists and that was not known before.
    pub fn found(instance: TargetInstance) -> Self {
        Self {
            listed_by: Some(instance),
            ..Self::requested(instance)
        }
    }

    /// Records that the start request is sent once more.
    pub fn repeat(&mut self) {
        self.repeated = true;
    }

    /// Whether the start request was sent more than once.
    pub fn is_repeated(&self) -> bool {
        self.repeated
    }

    /// Whether the run was requested of an earlier instance than `present`, which has not listed it.
    pub fn is_of_former_instance(&self, present: TargetInstance) -> bool {
        self.listed_by.unwrap_or(self.requested_of) != present
    }

    /// Whose run a report of the instance `present` lists under the name of this one.
    pub fn identify(&self, present: TargetInstance) -> ListedRun {
        match self.listed_by {
            _ if !self.is_of_former_instance(present) => ListedRun::Known,
            Some(_) if !self.repeated => ListedRun::Other,
            _ => ListedRun::Unclear,
        }
    }

    /// Records that a report of an instance lists the run.
    pub fn record_listing(&mut self, present: TargetInstance) {
        self.listed_by = Some(present);
    }
}

/// A run on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetRun {
    /// The number of the run among those of the task.
    pub run: RunNumber,
    /// The resources of the run; the whole target if unknown.
    pub resources: Option<ResourceVector>,
    /// The coordinator of the job, if known.
    pub coordinator: Option<VmIndex>,
    /// Whether the coordinator is no longer known because another process has replaced it. The run is to be
    /// stopped and keeps its lease limits.
    pub coordinator_replaced: bool,
    /// The queue of the job, if known.
    pub queue: Option<KindIndex>,
    /// The expected run time.
    pub expected: Duration,
    /// When the run was requested, or found on the target.
    pub since: TimePoint,
    /// The latest time at which a lease may end while the target has the run. It follows the signs
    /// of life of the coordinator until the run is to be stopped.
    pub lease_limit: TimePoint,
    /// The process of the VM that has forwarded the job, if one has.
    pub origin: Option<IncarnationId>,
    /// As `lease_limit`, after the signs of life of the process in `origin`.
    pub origin_limit: TimePoint,
    /// Which instance of the target has the run, or may have it.
    pub place: RunPlace,
    /// Until when the run has the target to itself, because the task may crash it.
    pub trial_until: Option<TimePoint>,
    /// What the holder knows of the run.
    pub phase: RunPhase,
}

impl TargetRun {
    /// Whether the target has confirmed the run. A run that is being stopped counts as confirmed.
    pub fn is_confirmed(&self) -> bool {
        !matches!(
            self.phase,
            RunPhase::Requested { .. } | RunPhase::Uncertain { .. }
        )
    }

    /// Whether the run is known to have a coordinator other than this VM.
    pub fn is_coordinated_by_other(&self, vm: VmIndex) -> bool {
        self.coordinator
            .is_some_and(|coordinator| coordinator != vm)
    }

    /// Sets the lease limits to what the signs of life permit by now.
    pub fn advance_limits(&mut self, limits: &LeaseLimits<'_>) {
        self.lease_limit = limits.coordinator_limit(self);
        self.origin_limit = limits.origin_limit(self.coordinator, self.origin);
    }

    /// Whether the target has certainly started the run.
    pub fn has_started(&self) -> bool {
        match self.phase {
            RunPhase::Requested { .. } | RunPhase::Uncertain { .. } => false,
            RunPhase::Running { .. } => true,
            RunPhase::Stopping { confirmed, .. } => confirmed,
        }
    }
}

/// The usable capacity of a target according to its entry in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListedCapacity {
    /// The instance that the entry describes.
    pub instance: TargetInstance,
    /// The part of its capacity that may be used.
    pub usable: ResourceVector,
}

/// The capacity of a target and its runs.
#[derive(Clone, Debug, Default)]
pub struct CapacityLedger {
    capacity: ResourceVector,
    runs: BTreeMap<TaskName, TargetRun>,
}

impl CapacityLedger {
    /// Sets the capacity of the target.
    pub fn set_capacity(&mut self, capacity: ResourceVector) {
        self.capacity = capacity;
    }

    /// The capacity of the target.
    pub fn capacity(&self) -> ResourceVector {
        self.capacity
    }

    /// The capacity that no run occupies; nothing while the resources of a run are unknown, or while
    /// the runs exceed the capacity in any dimension: a capacity may shrink below what runs occupy.
    pub fn free(&self) -> ResourceVector {
        let mut occupied = ResourceVector::default();
        for run in self.runs.values() {
            match run.resources {
                Some(resources) => occupied += resources,
                None => return ResourceVector::default(),
            }
        }
        match occupied.fits(&self.capacity) {
            true => self.capacity - occupied,
            false => ResourceVector::default(),
        }
    }

    /// The task whose run is on trial, if there is one.
    pub fn trial(&self, now: TimePoint) -> Option<TaskName> {
        let on_trial = |run: &TargetRun| run.trial_until.is_some_and(|until| until > now);
        let mut runs = self.runs.iter();
        runs.find(|(_, run)| on_trial(run)).map(|(task, _)| *task)
    }

    /// Adds a run.
    ///
    /// # Panics
    /// If the ledger has another run of the task: a task has one run at a time.
    pub fn insert(&mut self, task: TaskName, run: TargetRun) {
        let former = self.runs.insert(task, run);
        assert!(former.is_none(), "two runs of {task} on one target");
    }

    /// Removes a run whose end is known.
    pub fn remove(&mut self, task: &TaskName) -> Option<TargetRun> {
        self.runs.remove(task)
    }

    /// The run of a task.
    pub fn get(&self, task: &TaskName) -> Option<&TargetRun> {
        self.runs.get(task)
    }

    /// The run of a task, for changes.
    pub fn get_mut(&mut self, task: &TaskName) -> Option<&mut TargetRun> {
        self.runs.get_mut(task)
    }

    /// All runs, ordered by task.
    pub fn runs(&self) -> impl Iterator<Item = (&TaskName, &TargetRun)> {
        self.runs.iter()
    }

    /// Forgets the coordinator of all runs that it has requested, which must have been told to stop.
    pub fn forget_coordinator(&mut self, coordinator: VmIndex) {
        for run in self.runs.values_mut() {
            if run.coordinator == Some(coordinator) {
                run.coordinator = None;
                run.coordinator_replaced = true;
            }
        }
    }

    /// Advances the lease limits of the runs that are not to be stopped.
    pub fn advance_lease_limits(&mut self, limits: &LeaseLimits<'_>) {
        for run in self.runs.values_mut() {
            if !matches!(run.phase, RunPhase::Stopping { .. }) {
                run.advance_limits(limits);
            }
        }
    }

    /// The latest time at which a lease may end; `None` if no run limits it.
    pub fn lease_limit(&self) -> Option<TimePoint> {
        let runs = self.runs.values();
        runs.map(|run| run.lease_limit.min(run.origin_limit)).min()
    }

    /// The number of runs.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether there are no runs.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Whether the outcome of a start request is unknown.
    pub fn has_pending_start(&self) -> bool {
        self.runs.values().any(|run| !run.is_confirmed())
    }
}
