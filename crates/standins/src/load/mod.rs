//! The load generator: open-loop arrivals, verification of every answer, and measures.

pub mod collect;
pub mod compare;
pub mod driver;
pub mod entry;
pub mod fairness;
pub mod measure;
pub mod record;
pub mod report;
pub mod run;
pub mod schedule;
pub mod settings;
pub mod starts;
mod table;
pub mod verify;
