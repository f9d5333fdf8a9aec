//! What the simulation records about each task: its starts, and the crashes of targets under it.

use filbertpitch_types::prelude::*;

/// A run of a task that a target has started. Times are in microseconds of simulated time.
#[derive(Clone, Debug)]
pub struct TaskStart {
    pub at: u64,
    /// The VM that sent the run request, the holder of the target.
    pub vm: usize,
    pub target: TargetName,
    pub instance: u64,
    /// Whether that VM was in touch with the other VMs, and the request was not delayed.
    pub in_touch: bool,
    /// Whether the target fails what it starts.
    pub fails: bool,
}

/// How far a run was when its target crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashStage {
    /// The run request was on its way, or arrived while the target was down.
    Requested,
    /// The run was active.
    Running,
    /// The run had ended, and the holder had not acknowledged that.
    Ended,
}

/// The end of an instance of a target with which a run of a task may be lost.
#[derive(Clone, Debug)]
pub struct TaskCrash {
    pub at: u64,
    pub target: TargetName,
    pub instance: u64,
    pub stage: CrashStage,
    /// Whether the task caused the crash; otherwise it ran in company of the cause.
    pub is_cause: bool,
    /// Whether the task ran alone on the target.
    pub alone: bool,
    /// The processes that can know of the crash, each with its generation: the holder, and the VMs
    /// in the zone of the VM to which the job was sent. A crash that none of them survives is
    /// forgotten.
    pub witnesses: Vec<(usize, u64)>,
}

/// The starts and the crashes of a task.
#[derive(Clone, Debug, Default)]
pub struct TaskRecord {
    pub starts: Vec<TaskStart>,
    pub crashes: Vec<TaskCrash>,
}

impl TaskRecord {
    /// The number of targets that the task has crashed.
    pub fn caused_crashes(&self) -> usize {
        self.crashes.iter().filter(|crash| crash.is_cause).count()
    }

    /// The number of starts by VMs in touch after the third known crash that the task caused.
    pub fn starts_beyond_limit<Known>(&self, is_known: Known) -> usize
    where
        Known: Fn(&TaskCrash) -> bool,
    {
        let crashes = self.crashes.iter();
        let mut known = crashes.filter(|crash| crash.is_cause && is_known(crash));
        let Some(third) = known.nth(2) else {
            return 0;
        };
        let starts = self.starts.iter();
        starts
            .filter(|start| start.in_touch && start.at >= third.at)
            .count()
    }
}
