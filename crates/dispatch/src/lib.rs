//! The dispatcher's decisions, free of I/O.
//!
//! Events and the time go in, actions come out. The serve loop and the seeded fault run drive the
//! same code, so a fault found by one is a fault of the other.

pub mod catalog;
pub mod check;
pub mod entity;
pub mod health;
pub mod membership;
pub mod placement;
pub mod timer;
