//! The checks at the end of a run.

use std::collections::BTreeSet;
use std::time::Duration;

use filbertpitch_types::caller::JobAnswer;
use filbertpitch_types::peer::HandoverNotice;
use filbertpitch_types::platform::HANDOVER_STREAM;
use filbertpitch_types::prelude::*;

use super::client::JobRecord;
use super::message::CallerAnswer;
use super::settings::FaultClass;
use super::sim::Simulation;
use crate::audit::audit_starts;
use crate::ledger::{LedgerEntry, RunEnd};
use crate::log_model::ReadResult;
use crate::plan::{expected_output, text_digest};

/// How long a target may get new work after the list showed that it is leaving.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);
/// How often the engine of a VM without work may be woken within a second: by housekeeping twice,
/// by back-offs of targets a few times.
const IDLE_WAKES: u64 = 10;

/// Faults in which other VMs may be out of reach.
const PEER_FAULTS: [FaultClass; 6] = [
    FaultClass::Kill,
    FaultClass::Freeze,
    FaultClass::ZoneCut,
    FaultClass::OneWayCut,
    FaultClass::Silent,
    FaultClass::Loss,
];
/// How long before the end of a process its handover may have been: the time for draining, and
/// some seconds in which peers may still be suspected.
const HANDOVER_RECOVERY: Duration = Duration::from_secs(40);

/// The digest under which the ledgers know a task.
fn task_digest(submission: &SubmissionId, task: usize) -> u64 {
    text_digest(&format!("{submission}/{task}"))
}

/// The answers about a job that contain an outcome.
fn job_answers(record: &JobRecord) -> impl Iterator<Item = &JobAnswer> {
    record.answers.iter().filter_map(|given| match given {
        CallerAnswer::Job(answer) => Some(&**answer),
        _ => None,
    })
}

impl Simulation {
    /// Checks everything that can only be known at the end.
    pub fn verify(&mut self) {
        let entries = self.ledger_entries();
        self.verify_single_starts(&entries);
        let started = entries.iter().map(|entry| entry.task).collect();
        let done = entries
            .iter()
            .filter(|entry| matches!(entry.ended, Some((_, RunEnd::Done))))
            .map(|entry| entry.task)
            .collect();
        let jobs = std::mem::take(&mut self.clients.jobs);
        for record in &jobs {
            self.verify_answers(record, &started, &done);
            self.verify_agreement(record);
            self.verify_final(record);
        }
        self.clients.jobs = jobs;
        self.verify_leaving();
    }

    /// All entries of all ledgers. A run that lapsed while its target was frozen made no progress
    /// after the freeze began, so it ended then.
    fn ledger_entries(&self) -> Vec<LedgerEntry> {
        let mut entries = Vec::new();
        for target in &self.targets {
            for entry in target.model.ledger().entries() {
                let mut entry = *entry;
                if let Some((ended, RunEnd::Lapsed | RunEnd::Died | RunEnd::Stopped)) = entry.ended
                {
                    let pause = target.pauses.iter().find(|(_, until)| *until == ended);
                    if let Some(&(since, _)) = pause
                        && let Some((at, _)) = &mut entry.ended
                    {
                        *at = since.max(entry.started);
                    }
                }
                entries.push(entry);
            }
        }
        entries
    }

    fn verify_single_starts(&mut self, entries: &[LedgerEntry]) {
        let audit = audit_starts(entries.iter().copied());
        for doubled in audit.doubled {
            let entry = entries.iter().find(|entry| entry.attempt == doubled.second);
            let task = entry.map_or(0, |entry| entry.task);
            let job = self.clients.jobs.iter().find(|record| {
                let tasks = 0..record.request.tasks.len();
                let submission = &record.request.submission;
                tasks
                    .into_iter()
                    .any(|index| task_digest(submission, index) == task)
            });
            let submission = job.map(|record| record.request.submission.to_string());
            self.violate(format!(
                "a task of {} started twice: {:?}, {} and {}",
                submission.unwrap_or_default(),
                doubled.reason,
                doubled.first,
                doubled.second
            ));
        }
    }

    fn verify_answers(
        &mut self,
        record: &JobRecord,
        started: &BTreeSet<u64>,
        done: &BTreeSet<u64>,
    ) {
        let submission = &record.request.submission;
        for answer in job_answers(record) {
            if answer.submission != *submission {
                self.violate(format!("{submission} got an answer for another submission"));
            }
            self.verify_outputs(record, answer, done);
            let whole = answer.outcome == JobOutcome::NotRun;
            for task in 0..record.request.tasks.len() {
                let said = answer.tasks.get(task).map(|task| &task.outcome);
                let said = matches!(said, Some(TaskOutcome::NotRun { .. }));
                if (whole || said) && started.contains(&task_digest(submission, task)) {
                    self.violate(format!(
                        "task {task} of {submission} ran but is called not run"
                    ));
                }
            }
        }
    }

    fn verify_outputs(&mut self, record: &JobRecord, answer: &JobAnswer, done: &BTreeSet<u64>) {
        let submission = &record.request.submission;
        let complete = answer.outcome == JobOutcome::Complete;
        if complete && answer.tasks.len() != record.request.tasks.len() {
            self.violate(format!("the answer to {submission} is not complete"));
        }
        for (index, task) in answer.tasks.iter().enumerate() {
            let spec = &record.request.tasks[index];
            let TaskOutcome::Done { output } = &task.outcome else {
                if complete {
                    self.violate(format!("task {index} of {submission} has no output"));
                }
                continue;
            };
            let expected = match complete {
                true => expected_output(&spec.input),
                false => "".into(),
            };
            if *output != expected || usize::from(task.task.0) != index {
                self.violate(format!("task {index} of {submission} has a wrong output"));
            }
            if !done.contains(&task_digest(submission, index)) {
                self.violate(format!(
                    "task {index} of {submission} is done but never ran"
                ));
            }
        }
    }

    /// All answers of the owner are the same; answers of VMs that lost the owner say so.
    fn verify_agreement(&mut self, record: &JobRecord) {
        let submission = &record.request.submission;
        let decided = job_answers(record).filter(|answer| answer.unknown.is_none());
        let plain = decided.map(|answer| JobAnswer {
            prefix: None,
            ..answer.clone()
        });
        let plain = plain.collect::<Vec<_>>();
        if plain.windows(2).any(|pair| pair[0] != pair[1]) {
            let outcomes = plain.iter().map(|answer| answer.outcome.to_string());
            let outcomes = outcomes.collect::<Vec<_>>().join(", ");
            self.violate(format!("the answers to {submission} differ: {outcomes}"));
        }
    }

    fn verify_final(&mut self, record: &JobRecord) {
        let submission = &record.request.submission;
        let Some(CallerAnswer::Job(last)) = &record.final_answer else {
            let last = record.answers.last();
            let last = last.map(|given| format!("{given:?}"));
            self.violate(format!(
                "{submission} has no answer after the faults; the last one was {}",
                last.unwrap_or_default()
            ));
            return;
        };
        let earlier = job_answers(record).find(|answer| answer.unknown.is_none());
        if let (Some(earlier), Some(reason)) = (earlier, last.unknown)
            && earlier.not_run != Some(NotRunReason::Draining)
            && self.is_kept(submission)
        {
            let outcome = earlier.outcome;
            self.violate(format!(
                "{submission} was {outcome} and is now unknown: {reason}"
            ));
        }
    }

    /// Whether every VM must still know the outcome of a prefixed submission: its owner, or the
    /// process that took over from it as announced in the log, has neither been killed nor
    /// forgotten it by its bounds. Of an announcement that did not reach the log, VMs that started
    /// after the successor ended learn nothing; they are VMs that lost the owner. A rejection
    /// because of the stop itself may be younger than the handover; it only expires.
    fn is_kept(&self, submission: &SubmissionId) -> bool {
        let Some(prefix) = submission.prefix() else {
            return false;
        };
        if !self.keeps_everything() {
            return false;
        }
        let announced = self.announced_handovers();
        let mut keeper = prefix.incarnation;
        while let Some(&next) = self.evidence.handed.get(&keeper) {
            if !announced.contains(&(keeper, next)) {
                return false;
            }
            keeper = next;
        }
        let host = self.vms.iter().find(|host| host.incarnation == keeper);
        host.is_some_and(|host| host.process.is_some())
    }

    /// The handovers that the log announces.
    fn announced_handovers(&self) -> BTreeSet<(IncarnationId, IncarnationId)> {
        let mut log = self.platform.log.clone();
        let read = log.read(self.platform_clock(), HANDOVER_STREAM, LogOffset(0), 1000);
        let ReadResult::Records(answer) = read else {
            return BTreeSet::new();
        };
        let records = answer.records.iter();
        let notices = records.filter_map(|record| serde_json::from_str(&record.body).ok());
        notices
            .map(|notice: HandoverNotice| (notice.from, notice.to))
            .collect()
    }

    /// Whether the windows and the memory of this run's VMs exceed what happens in it.
    fn keeps_everything(&self) -> bool {
        let submissions = &self.vm_settings.engine.submissions;
        submissions.epoch_length >= Duration::from_secs(60)
            && submissions.byte_limit >= ByteSize::mib(32)
    }

    fn verify_leaving(&mut self) {
        let mut late = Vec::new();
        for (number, target) in self.targets.iter().enumerate() {
            for entry in target.model.ledger().entries() {
                let Some(&(vm, sent)) = self.evidence.sent.get(&entry.attempt) else {
                    continue;
                };
                if self.is_late_for_leaving(number, vm, sent) {
                    late.push(format!(
                        "target-{number} got {} from vm {vm} while it was leaving",
                        entry.attempt
                    ));
                }
            }
        }
        for text in late {
            self.violate(text);
        }
    }

    fn is_late_for_leaving(&self, target: usize, vm: usize, sent: TimePoint) -> bool {
        let windows = self.evidence.leaving.iter();
        let mut windows = windows.filter(|window| {
            let open = window.from + LEAVING_LIMIT < sent && sent < window.until;
            window.target == target && open
        });
        windows.any(|window| {
            let since = window.from.max(self.vms[vm].born);
            let seen = self
                .evidence
                .seen_leaving
                .iter()
                .find(|seen| seen.vm == vm && seen.target == target && seen.at >= window.from);
            if let Some(seen) = seen {
                return sent > seen.at + LEAVING_LIMIT;
            }
            let cut = self.evidence.list_failures.iter();
            let cut = cut
                .clone()
                .any(|&(failed, at)| failed == vm && since <= at && at <= sent);
            let paused = self.evidence.pauses.iter();
            let paused = paused
                .clone()
                .any(|&(paused, from, until)| paused == vm && from <= sent && since <= until);
            !cut && !paused && sent > since + LEAVING_LIMIT
        })
    }

    /// A planned stop without a handover is allowed only if no other VM could be reached.
    pub fn check_missing_handover(&mut self, vm: usize) {
        let disturbed = self.is_disturbed(&PEER_FAULTS, HANDOVER_RECOVERY);
        let ready = self.ready_vms().into_iter();
        let mut old = ready.filter(|&peer| self.now.since(self.vms[peer].born) > HANDOVER_RECOVERY);
        if !disturbed && old.next().is_some() {
            self.violate(format!("vm {vm} stopped as planned and kept its outcomes"));
        }
    }

    /// Checks that nothing is left over in a world without work.
    pub fn check_books(&mut self) {
        let mut problems = Vec::new();
        for (vm, host) in self.vms.iter().enumerate() {
            let Some(process) = &host.process else {
                continue;
            };
            let view = process.engine().view();
            let held = view.targets.iter().map(|target| u32::from(target.running));
            let held = held.sum::<u32>();
            if !process.engine().is_idle() || view.queued_tasks > 0 || held > 0 {
                problems.push(format!(
                    "vm {vm} has {} jobs, {} queued tasks and {held} held slots left",
                    view.live_jobs, view.queued_tasks
                ));
            }
            let open = process.open_calls().len();
            if open > 0 {
                problems.push(format!("vm {vm} has {open} open requests left"));
            }
            let wakes = self.recent_wakes(vm);
            if wakes > IDLE_WAKES {
                problems.push(format!("vm {vm} without work was woken {wakes} times"));
            }
        }
        for (number, target) in self.targets.iter().enumerate() {
            let load = target.model.load();
            if load.running + load.throttled > 0 {
                problems.push(format!("target-{number} still runs tasks"));
            }
        }
        for problem in problems {
            self.violate(problem);
        }
    }
}
