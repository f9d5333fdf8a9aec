//! The decision logic of the dispatcher, without I/O.
//!
//! The caller passes events and the current time and carries out the returned actions. The serve
//! loop and the seeded fault runs drive the same code, so a fault found by one is a fault of the
//! other.

pub mod admission;
pub mod attempt;
pub mod catalog;
pub mod check;
pub mod claim;
pub mod engine;
pub mod entity;
pub mod estimate;
pub mod handover;
pub mod health;
pub mod histogram;
pub mod job;
mod lane;
pub mod membership;
pub mod placement;
pub mod queue;
pub mod quota;
pub mod retry;
mod round;
pub mod route;
pub mod submission;
pub mod timer;
pub mod virtual_time;
pub mod work_rate;
