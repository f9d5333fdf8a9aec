//! The result of a run.

use std::time::Duration;

use filbertpitch_types::prelude::*;

use super::message::CallerAnswer;
use super::sim::Simulation;

/// How much happened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrialCounts {
    /// Jobs of clients.
    pub jobs: usize,
    /// Answers that clients received.
    pub answers: usize,
    /// Jobs with a complete answer.
    pub complete: usize,
    /// Jobs with a failed answer.
    pub failed: usize,
    /// Jobs with an answer that says "not run".
    pub not_run: usize,
    /// Jobs with an answer that says "unknown".
    pub unknown: usize,
    /// Real starts at targets.
    pub starts: usize,
    /// Starts beyond the first of their task.
    pub restarts: usize,
    /// Processes of entry VMs.
    pub vms: usize,
    /// Requests that found no free connection.
    pub pool_full: u64,
}

/// The result of a run.
#[derive(Clone, Debug)]
pub struct TrialReport {
    /// The seed.
    pub seed: u64,
    /// The faults.
    pub plan: Box<str>,
    /// The digest of the event trace.
    pub digest: u64,
    /// The lines of the event trace.
    pub trace_lines: u64,
    /// The virtual time that passed.
    pub virtual_time: Duration,
    /// How much happened.
    pub counts: TrialCounts,
    /// Broken invariants, in order of time.
    pub violations: Vec<Box<str>>,
}

impl Simulation {
    /// How much happened.
    pub fn counts(&self) -> TrialCounts {
        let jobs = &self.clients.jobs;
        let with = |outcome| {
            let given = |job: &&super::client::JobRecord| {
                job.answers
                    .iter()
                    .any(|given| matches!(given, CallerAnswer::Job(job) if job.outcome == outcome))
            };
            jobs.iter().filter(given).count()
        };
        let ledgers = self.targets.iter().map(|target| target.model.ledger());
        let entries = ledgers.flat_map(|ledger| ledger.entries());
        let mut tasks = entries.map(|entry| entry.task).collect::<Vec<_>>();
        let starts = tasks.len();
        tasks.sort_unstable();
        tasks.dedup();
        TrialCounts {
            jobs: jobs.len(),
            answers: jobs.iter().map(|job| job.answers.len()).sum(),
            complete: with(JobOutcome::Complete),
            failed: with(JobOutcome::Failed),
            not_run: with(JobOutcome::NotRun),
            unknown: with(JobOutcome::Unknown),
            starts,
            restarts: starts - tasks.len(),
            vms: self.vms.len(),
            pool_full: self.pool_full,
        }
    }
}
