//! Checks a fleet configuration before it is published, and compares it with another one.
//!
//! All of this is computed from values in memory; the command reads the files and asks the VM.

mod difference;
mod finding;
mod rules;

pub use difference::{EntryChange, EntryDifference, FieldChange, compare_configurations};
pub use finding::{ConfigurationFinding, FindingKind, FindingSeverity};
pub use rules::{check_base, check_configuration, check_targets};
