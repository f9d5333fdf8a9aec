//! Starts systems of processes, talks to them and judges what they did.

pub mod client;
pub mod evidence;
pub mod jobs;
pub mod load;
pub mod system;

pub use client::{EntryClient, Reply};
pub use evidence::Evidence;
pub use filbertpitch_standins::children::wait::{sleep, wait_for};
pub use jobs::{JobDraft, TaskDraft};
pub use load::{LoadPlan, LoadRun};
pub use system::{SystemPlan, TestSystem, run_test};
