//! Numbered log events.
//!
//! Operators search, count and alert by number, so a number keeps its meaning for ever. The table
//! here is the source of docs/EVENTS.md.

mod log;
mod page;
mod rate;
mod table;

pub use log::{EventLog, LogGuard};
pub use page::events_page;
pub use rate::{LineRate, RateGate};
pub use table::{EventSpec, LogEvent};
