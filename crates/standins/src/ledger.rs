//! A record of every real start at a target.
//!
//! It survives simulated crashes of the target and is not used by the protocol, so it shows
//! doubled runs that the code under test does not notice.

use filbertpitch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::plan::{RunPlan, text_digest};

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// It completed.
    Done,
    /// It failed by itself.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// It ended with a checkpoint from which another run may continue.
    Checkpointed,
    /// The target died.
    Died,
}

/// One real start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// The attempt that started.
    pub attempt: AttemptId,
    /// Identifies the task of a submission: the digest of the input's `key`, or of the
    /// incarnation, job and task.
    pub task: u64,
    /// Whether a second run does no harm.
    pub repeatable: bool,
    /// When it started.
    pub started: TimePoint,
    /// When and how it ended.
    pub ended: Option<(TimePoint, RunEnd)>,
}

/// The position of an entry in its ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerIndex(usize);

/// Every real start at one target.
#[derive(Clone, Debug, Default)]
pub struct StartLedger {
    entries: Vec<LedgerEntry>,
}

impl StartLedger {
    /// Records that `attempt` started.
    pub fn record_start(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        plan: &RunPlan,
    ) -> LedgerIndex {
        self.entries.push(LedgerEntry {
            attempt,
            task: plan.key_digest.unwrap_or_else(|| task_digest(attempt)),
            repeatable: plan.repeatable,
            started: now,
            ended: None,
        });
        LedgerIndex(self.entries.len() - 1)
    }

    /// Records that a run ended.
    pub fn record_end(&mut self, now: TimePoint, index: LedgerIndex, end: RunEnd) {
        self.entries[index.0].ended = Some((now, end));
    }

    /// All entries, in order of start.
    pub fn entries(&self) -> &[LedgerEntry] {
        &self.entries
    }
}

fn task_digest(attempt: AttemptId) -> u64 {
    let AttemptId {
        incarnation,
        job,
        task,
        ..
    } = attempt;
    text_digest(&format!("{incarnation}-{job}-{task}"))
}
