//! Searches the start ledgers of all targets for doubled runs.

use std::collections::HashMap;

use filbertpitch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::ledger::{LedgerEntry, RunEnd};

/// Why two starts of the same task are a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DoubledReason {
    /// One attempt started twice.
    SameAttempt,
    /// One submission was started as two jobs, or by two processes.
    TwoOwners,
    /// A task that must run at most once started again.
    NotRepeatable,
    /// Two runs of one task overlapped.
    Overlap,
}

/// Two starts of the same task that should not both exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoubledStart {
    /// Why this is a fault.
    pub reason: DoubledReason,
    /// The earlier start.
    pub first: AttemptId,
    /// The later start.
    pub second: AttemptId,
}

/// The result of an audit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartAudit {
    /// Real starts at all targets.
    pub starts: u64,
    /// Tasks that started at least once.
    pub tasks: u64,
    /// The faults found.
    pub doubled: Vec<DoubledStart>,
}

/// Checks the entries of all targets together.
///
/// The entries must use one clock. A task that ended with a checkpoint may start once more.
pub fn audit_starts<Entries>(entries: Entries) -> StartAudit
where
    Entries: IntoIterator<Item = LedgerEntry>,
{
    let mut by_task = HashMap::<u64, Vec<LedgerEntry>>::new();
    let mut audit = StartAudit::default();
    for entry in entries {
        audit.starts += 1;
        by_task.entry(entry.task).or_default().push(entry);
    }
    audit.tasks = by_task.len() as u64;
    let repeated = by_task.into_values().filter(|starts| starts.len() > 1);
    for mut starts in repeated {
        starts.sort_by_key(|entry| (entry.started, entry.attempt));
        audit
            .doubled
            .extend(starts.windows(2).filter_map(check_pair));
    }
    audit
        .doubled
        .sort_by_key(|doubled| (doubled.first, doubled.second));
    audit
}

fn check_pair(pair: &[LedgerEntry]) -> Option<DoubledStart> {
    let (first, second) = (&pair[0], &pair[1]);
    doubled_reason(first, second).map(|reason| DoubledStart {
        reason,
        first: first.attempt,
        second: second.attempt,
    })
}

fn doubled_reason(first: &LedgerEntry, second: &LedgerEntry) -> Option<DoubledReason> {
    let owner = |entry: &LedgerEntry| (entry.attempt.incarnation, entry.attempt.job);
    let continued = matches!(first.ended, Some((_, RunEnd::Checkpointed)));
    let overlaps = first.ended.is_none_or(|(ended, _)| ended > second.started);
    if first.attempt == second.attempt {
        Some(DoubledReason::SameAttempt)
    } else if owner(first) != owner(second) {
        Some(DoubledReason::TwoOwners)
    } else if !first.repeatable && !continued {
        Some(DoubledReason::NotRepeatable)
    } else if overlaps {
        Some(DoubledReason::Overlap)
    } else {
        None
    }
}
