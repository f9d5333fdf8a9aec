//! Metrics in the statsd format over UDP.
//!
//! They are read from counters once per interval; a task costs no metric of its own. The table
//! here is the source of docs/METRICS.md.

mod delays;
mod page;
mod process;
mod report;
mod table;
mod values;

pub use delays::{DelaySummary, DelayWindow};
pub use page::metrics_page;
pub use process::ProcessUsage;
pub use report::{MetricsReporter, ReportError};
pub use table::{MetricKind, MetricName, MetricSpec};
pub use values::MetricValues;
