//! The load generator: open-loop arrivals, verification of every answer, and measures.

pub mod fairness;
pub mod measure;
pub mod record;
pub mod schedule;
pub mod verify;
