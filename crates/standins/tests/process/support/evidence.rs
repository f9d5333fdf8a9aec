//! What the targets really did, compared with what callers were told.

use std::collections::HashMap;
use std::net::SocketAddr;

use filbertpitch_standins::audit::audit_starts;
use filbertpitch_standins::http::target_control::{LEDGER_PAGE, LEDGER_PATH, LedgerPage};
use filbertpitch_standins::ledger::{LedgerEntry, RunEnd};
use filbertpitch_standins::load::record::JobResult;
use filbertpitch_standins::load::verify::judge_answer;
use filbertpitch_standins::plan::text_digest;
use filbertpitch_types::caller::{JobAnswer, JobRequest, TaskSpec};
use filbertpitch_types::prelude::*;

use super::client::read;

/// The start ledgers of all targets at one moment.
pub struct Evidence {
    entries: Vec<LedgerEntry>,
    by_task: HashMap<u64, Vec<LedgerEntry>>,
}

impl Evidence {
    /// Reads the ledgers behind these control addresses.
    pub async fn collect(controls: &[SocketAddr]) -> Self {
        let mut entries = Vec::new();
        for &control in controls {
            entries.extend(read_ledger(control).await);
        }
        let mut by_task = HashMap::<u64, Vec<LedgerEntry>>::new();
        for entry in &entries {
            by_task.entry(entry.task).or_default().push(*entry);
        }
        Self { entries, by_task }
    }

    /// All starts.
    pub fn starts(&self) -> usize {
        self.entries.len()
    }

    /// The starts of one task.
    pub fn starts_of(&self, task: &TaskSpec) -> &[LedgerEntry] {
        let starts = self.by_task.get(&task_digest(task));
        starts.map_or(&[], Vec::as_slice)
    }

    /// How many tasks of a job have started.
    pub fn started_tasks(&self, job: &JobRequest) -> usize {
        let started = |task: &&TaskSpec| !self.starts_of(task).is_empty();
        job.tasks.iter().filter(started).count()
    }

    /// Fails on doubled starts.
    pub fn assert_no_doubled_start(&self) {
        let audit = audit_starts(self.entries.iter().copied());
        assert_eq!(audit.doubled, [], "doubled starts");
    }

    /// Fails if an answer is partial, belongs to another request, or contradicts the ledgers.
    pub fn assert_truthful(&self, job: &JobRequest, answer: &JobAnswer) {
        let result = judge_answer(job, answer);
        let wrong = matches!(result, JobResult::Partial | JobResult::Wrong);
        assert!(!wrong, "{result:?}: {answer:?}");
        if answer.outcome == JobOutcome::NotRun {
            let started = self.started_tasks(job);
            assert_eq!(started, 0, "a job that was not run has started: {answer:?}");
        }
        for (spec, task) in job.tasks.iter().zip(&answer.tasks) {
            let starts = self.starts_of(spec);
            let done = starts.iter().any(ended_done);
            let agrees = match &task.outcome {
                TaskOutcome::Done { .. } => done,
                TaskOutcome::NotRun { .. } => starts.is_empty(),
                TaskOutcome::Failed { .. } => !starts.is_empty(),
                TaskOutcome::Unknown { .. } => true,
            };
            assert!(agrees, "{task:?} contradicts {starts:?}");
        }
    }
}

fn ended_done(entry: &LedgerEntry) -> bool {
    matches!(entry.ended, Some((_, RunEnd::Done)))
}

async fn read_ledger(control: SocketAddr) -> Vec<LedgerEntry> {
    let mut entries = Vec::new();
    loop {
        let path = format!("{LEDGER_PATH}?from={}", entries.len());
        let page = read::<LedgerPage>(control, &path).await;
        let last = page.entries.len() < LEDGER_PAGE;
        entries.extend(page.entries);
        if last {
            return entries;
        }
    }
}

fn task_digest(task: &TaskSpec) -> u64 {
    let mut words = task.input.split_ascii_whitespace();
    let key = words.find_map(|word| word.strip_prefix("key="));
    text_digest(key.expect("the tasks of these tests have keys"))
}
