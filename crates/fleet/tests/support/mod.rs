//! A fleet in simulated time: engines, targets, clients and a network that can fail.
//!
//! Every start is checked against the promises that must hold at any moment: no target is ever
//! overfull, and no task runs twice at the same time.

#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod client;
mod load;
mod target;
mod world;

pub use client::{ClientJob, JobShape};
pub use load::{ALLOWANCE_MS, JOB_KINDS, KindResult, LoadResult, STRETCH, run_load};
pub use target::{SimTarget, TargetFault};
pub use world::{NetFault, SimFleet, SimOptions};
