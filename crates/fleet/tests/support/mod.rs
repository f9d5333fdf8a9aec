//! A simulated fleet: engines, targets, clients and a network that can fail, in virtual time.
//!
//! Every start is checked against the invariants that must hold at any time: no target runs more
//! than its capacity, no task runs twice at the same time, and no task is started again and again
//! after it has crashed targets.

#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod client;
mod crash;
mod load;
mod target;
mod world;

pub use client::{ClientJob, FAR_FACTOR, JobShape, rack_label};
pub use crash::{CrashStage, TaskCrash, TaskRecord, TaskStart};
pub use load::{
    ALLOWANCE_MS, CORES, JOB_KINDS, KindResult, LATE_OBJECTIVES, LATE_VALUE, LoadResult, STRETCH,
    WEIGHTS, random_shape, run_load, seven_vm_fleet,
};
pub use target::{HEARTBEAT_US, RunSpan, SimTarget, TargetFault};
pub use world::{
    CallDelay, LateCalls, LinkEnd, MessageKind, NetFault, NoticeDelay, PlannedFault, SentMessage,
    SimFleet, SimOptions, TargetKind, UnawareStarts,
};
