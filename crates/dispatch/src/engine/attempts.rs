//! The end of attempts, and the decision whether a task is started again.

use std::time::Duration;

use filbertpitch_types::prelude::*;
use filbertpitch_types::target::{AttemptOutcome, RefusalReason, StartAnswer};

use super::health::health_result;
use super::schedule::QueueEnd;
use super::{AttemptTrace, DispatchEngine, EngineAction, EngineNotice, TaskRef};
use crate::attempt::{AbandonReason, AttemptEnd, AttemptPhase, ResponseSource, StopCause};
use crate::check::AttemptWatch;
use crate::entity::TargetIndex;
use crate::health::ResultRecord;
use crate::job::{JobPhase, LiveTask, TaskState};
use crate::placement::{AllocationEnd, AllocationSource, TargetGate};

/// The number of consecutive refusals after which a task is requeued with a delay.
///
/// Placement backs off from a target that refused as busy, so the delay is needed only to stop
/// loops of other refusals. Delays after three refusals, doubling up to 320 ms, raised the p99 of
/// teams with little load to 4 times the ideal under overload.
const REFUSALS_BEFORE_DELAY: u8 = 8;
/// The most doublings of the delay after repeated refusals.
const DELAY_DOUBLINGS: u32 = 3;
/// The attempt number from which on a task is not started again, because the numbers are 8 bits
/// wide.
const ATTEMPT_NUMBER_LIMIT: AttemptNumber = AttemptNumber(250);

/// An ended attempt, with the data that decides how its task continues.
struct EndedAttempt {
    task_ref: TaskRef,
    target: TargetIndex,
    stop: Option<StopCause>,
    end: AttemptEnd,
}

impl DispatchEngine {
    pub(super) fn handle_start_answer(&mut self, target: TargetIndex, answer: StartAnswer) {
        let id = answer.attempt;
        if self.current_attempt(id).is_none() {
            self.counters.late_answers += 1;
        } else {
            let boot = answer.load.boot;
            self.conclude_attempt(id, answer.verdict, boot, ResponseSource::Start);
        }
        self.apply_load_report(target, &answer.load);
    }

    pub(super) fn handle_start_failure(&mut self, id: AttemptId, written: bool) {
        let Some(phase) = self.current_attempt(id) else {
            self.counters.late_answers += 1;
            return;
        };
        if phase.is_uncertain() {
            return;
        }
        if !written {
            let target = phase.record().target;
            self.record_unreachable(target);
            let end = AttemptEnd::NotStarted { refusal: None };
            return self.end_attempt(id, end, AllocationEnd::Other);
        }
        self.mark_uncertain(id);
    }

    /// Records that the connection of an attempt was lost. From then on, only checks can determine
    /// the outcome.
    fn mark_uncertain(&mut self, id: AttemptId) {
        self.counters.uncertain += 1;
        let task = self.task_mut(TaskRef::of(id));
        let state = std::mem::replace(&mut task.state, TaskState::Delayed);
        let TaskState::Running(AttemptPhase::Sent(attempt)) = state else {
            unreachable!("only a sent attempt has a connection");
        };
        task.state = TaskState::Running(AttemptPhase::Uncertain(attempt.into_uncertain()));
        let target = task.target.expect("a running task has a target");
        // Watching the attempt as overdue makes a check due at once.
        let now = self.clock.time;
        self.checks.unwatch(target, id);
        let watch = AttemptWatch {
            key: id,
            overdue_at: now,
            renew_at: now,
        };
        self.checks.watch(target, watch);
    }

    /// Ends an attempt with the outcome that the target reported.
    pub(super) fn conclude_attempt(
        &mut self,
        id: AttemptId,
        verdict: AttemptOutcome,
        boot: u64,
        source: ResponseSource,
    ) {
        let Some(phase) = self.current_attempt(id) else {
            self.counters.late_answers += 1;
            return;
        };
        let connected = !phase.is_uncertain();
        let allocation_end = AllocationEnd::from(&verdict);
        let end = phase.record().conclude(verdict, boot, source);
        if connected && source == ResponseSource::State {
            let action = EngineAction::CloseConnection { attempt: id };
            self.actions.push(action);
        }
        self.end_attempt(id, end, allocation_end);
    }

    /// Returns the attempt with this id if it is the current attempt of its task.
    pub(super) fn current_attempt(&self, id: AttemptId) -> Option<&AttemptPhase> {
        if id.incarnation != self.incarnation {
            return None;
        }
        let task_ref = TaskRef::of(id);
        let task = self.jobs.get(&id.job)?.tasks.get(task_ref.position())?;
        task.attempt().filter(|phase| phase.record().id == id)
    }

    pub(super) fn task_mut(&mut self, task_ref: TaskRef) -> &mut LiveTask {
        &mut self.job_mut(task_ref.job).tasks[task_ref.position()]
    }

    /// Ends the current attempt of a task, and requeues the task or ends it.
    pub(super) fn end_attempt(
        &mut self,
        id: AttemptId,
        end: AttemptEnd,
        allocation_end: AllocationEnd,
    ) {
        let ended = self.release_attempt(id, end, allocation_end);
        let job = ended.task_ref.job;
        self.apply_attempt_end(ended);
        self.finish_if_ended(job);
    }

    fn release_attempt(
        &mut self,
        id: AttemptId,
        end: AttemptEnd,
        allocation_end: AllocationEnd,
    ) -> EndedAttempt {
        let now = self.clock.time;
        let task_ref = TaskRef::of(id);
        let job = self.jobs.get_mut(&id.job).expect("the job is live");
        let task = &mut job.tasks[task_ref.position()];
        let state = std::mem::replace(&mut task.state, TaskState::Delayed);
        let TaskState::Running(phase) = state else {
            unreachable!("only a running task has an attempt to end");
        };
        let record = phase.record();
        let allocation = task.allocation.take().expect("a running task holds a slot");
        let source = allocation.source();
        if let AttemptEnd::NotStarted { refusal: Some(_) } = &end {
            self.counters.refusals_borrowed += u64::from(source == AllocationSource::Borrowed);
            self.counters.refusals_spilled += u64::from(source == AllocationSource::Spilled);
        }
        self.targets.record_end(now, allocation, allocation_end);
        let probe = source == AllocationSource::Probe;
        self.endpoints[record.target].attempts.remove(&id);
        self.checks.unwatch(record.target, id);
        let result = ResultRecord {
            target: record.target,
            service: job.service,
            result: health_result(&end, record.stop),
            probe,
        };
        self.health.record(now, result);
        self.quota.record_end(job.team);
        task.attempt_time += match &end {
            AttemptEnd::Done { run_time, .. } => *run_time,
            AttemptEnd::NotStarted { .. } => Duration::ZERO,
            _ => now.since(record.sent_at),
        };
        if let AttemptEnd::Done { run_time, .. } = &end {
            self.estimator
                .observe(task.kind, task.spec.declared, *run_time);
        }
        if let Some(traceparent) = &job.traceparent {
            self.actions.push(EngineAction::Trace(AttemptTrace {
                traceparent: traceparent.clone(),
                attempt: id,
                target: record.target,
                queued_at: task.last_queued_at,
                sent_at: record.sent_at,
                ended_at: now,
                run_time: run_time_of(&end),
                end: end.as_str(),
            }));
        }
        let ended = EndedAttempt {
            task_ref,
            target: record.target,
            stop: record.stop,
            end,
        };
        self.apply_health();
        ended
    }

    fn apply_attempt_end(&mut self, ended: EndedAttempt) {
        let task_ref = ended.task_ref;
        match ended.end {
            AttemptEnd::Done { output, run_time } => {
                self.task_mut(task_ref).run_time = run_time;
                self.end_task(task_ref, TaskOutcome::Done { output });
            }
            AttemptEnd::NotStarted { refusal } => {
                self.handle_not_started(task_ref, ended.target, refusal);
            }
            AttemptEnd::Checkpointed { token } => {
                let task = self.task_mut(task_ref);
                task.resume_from = Some(token);
                let outcome = failed(FailureReason::JobFailed);
                self.retry_or_end(task_ref, ended.target, outcome);
            }
            AttemptEnd::Failed { reason, run_time } => {
                self.task_mut(task_ref).run_time = run_time;
                let outcome = failed(FailureReason::TargetError(reason));
                self.retry_or_end(task_ref, ended.target, outcome);
            }
            AttemptEnd::LeaseExpired => {
                let outcome = failed(FailureReason::LeaseExpired);
                self.retry_or_end(task_ref, ended.target, outcome);
            }
            AttemptEnd::Indeterminate => {
                let reason = UnknownReason::TargetUnreachable;
                self.retry_or_end(task_ref, ended.target, TaskOutcome::Unknown { reason });
            }
            AttemptEnd::Stopped => {
                let outcome = match ended.stop {
                    Some(StopCause::Abandon(reason)) => reason.started_outcome(),
                    _ => failed(FailureReason::TargetError("stopped".into())),
                };
                self.retry_or_end(task_ref, ended.target, outcome);
            }
        }
    }

    /// Requeues a task whose attempt certainly did not start.
    fn handle_not_started(
        &mut self,
        task_ref: TaskRef,
        target: TargetIndex,
        refusal: Option<RefusalReason>,
    ) {
        if refusal.is_some() {
            self.counters.refusals += 1;
        }
        if refusal == Some(RefusalReason::Leaving) {
            self.mark_leaving(target);
        }
        let phase = self.job_mut(task_ref.job).phase;
        let refusal_delay = self.settings.refusal_delay;
        let task = self.task_mut(task_ref);
        task.starts -= 1;
        task.refusals = task.refusals.saturating_add(1);
        let exhausted = task.next_attempt >= ATTEMPT_NUMBER_LIMIT;
        let refusals = task.refusals;
        self.exclude_target(task_ref, target);
        match phase {
            JobPhase::Failing(reason) => self.abandon_task(task_ref, reason),
            JobPhase::Running if exhausted => {
                self.abandon_task(task_ref, AbandonReason::DeadlinePassed);
            }
            JobPhase::Running if refusals < REFUSALS_BEFORE_DELAY => {
                self.enqueue(task_ref, QueueEnd::Front);
            }
            JobPhase::Running => {
                self.task_mut(task_ref).excluded.clear();
                let rounds = u32::from(refusals - REFUSALS_BEFORE_DELAY).min(DELAY_DOUBLINGS);
                self.delay(task_ref, refusal_delay * (1 << rounds));
            }
        }
    }

    /// Requeues a task whose attempt ended, if a retry is allowed; otherwise ends the task with
    /// `outcome`.
    fn retry_or_end(&mut self, task_ref: TaskRef, target: TargetIndex, outcome: TaskOutcome) {
        if !self.may_retry(task_ref) {
            return self.end_task(task_ref, outcome);
        }
        self.counters.retries += 1;
        let task = self.task_mut(task_ref);
        task.refusals = 0;
        task.last_outcome = Some(outcome);
        self.exclude_target(task_ref, target);
        self.enqueue(task_ref, QueueEnd::Front);
    }

    /// Excludes a target from the next placements of a task. If no other target accepts the kind,
    /// clears the exclusions instead, because the task would otherwise wait until its deadline.
    fn exclude_target(&mut self, task_ref: TaskRef, target: TargetIndex) {
        let task = self.task_mut(task_ref);
        task.exclude(target);
        let kind = task.kind;
        let task = &self.jobs[&task_ref.job].tasks[task_ref.position()];
        let takes_work = |other: &TargetIndex| {
            !task.excluded.contains(other)
                && !self.targets.is_leaving(*other)
                && self.health.gate(*other) == TargetGate::AllAttempts
        };
        let capable = self.catalog.kind(kind).map(|entry| &entry.targets);
        let others = capable.is_some_and(|targets| targets.iter().any(takes_work));
        if !others {
            self.task_mut(task_ref).excluded.clear();
        }
    }

    fn may_retry(&mut self, task_ref: TaskRef) -> bool {
        let job = &self.jobs[&task_ref.job];
        let task = &job.tasks[task_ref.position()];
        let Some(service) = self.catalog.service(job.service) else {
            return false;
        };
        let allowed = task.spec.repeatable
            && !job.is_failing()
            && task.starts < service.max_attempts
            && task.next_attempt < ATTEMPT_NUMBER_LIMIT;
        let in_time = self.clock.time < job.deadline;
        if !allowed || !in_time {
            return false;
        }
        let service = job.service;
        let granted = self.retries.try_retry(service);
        if !granted {
            let notice = EngineNotice::RetriesExhausted(service);
            self.actions.push(EngineAction::Notice(notice));
        }
        granted
    }

    fn abandon_task(&mut self, task_ref: TaskRef, reason: AbandonReason) {
        let task = self.task_mut(task_ref);
        let outcome = super::jobs::abandoned_outcome(task, reason);
        self.end_task(task_ref, outcome);
    }

    /// Records the outcome of a task. The job fails with the first task that is not done.
    fn end_task(&mut self, task_ref: TaskRef, outcome: TaskOutcome) {
        let done = matches!(outcome, TaskOutcome::Done { .. });
        let job = self.jobs.get_mut(&task_ref.job).expect("the job is live");
        job.end_task(task_ref.task, outcome);
        let task = &job.tasks[task_ref.position()];
        if task.charged {
            let predicted = task.prediction.expected;
            self.queue.settle(job.team, predicted, task.attempt_time);
        }
        if !done {
            self.fail_job(task_ref.job, AbandonReason::JobFailed);
        }
    }

    /// Ends a task with an unknown outcome, because the end of its attempt could not be determined.
    pub(super) fn abandon_attempt(&mut self, id: AttemptId) {
        let Some(phase) = self.current_attempt(id) else {
            return;
        };
        if !phase.is_uncertain() {
            let action = EngineAction::CloseConnection { attempt: id };
            self.actions.push(action);
        }
        let ended = self.release_attempt(id, AttemptEnd::Indeterminate, AllocationEnd::Other);
        let reason = UnknownReason::TargetUnreachable;
        self.end_task(ended.task_ref, TaskOutcome::Unknown { reason });
    }

    /// Ends an attempt whose lease expired on a target that cannot be reached.
    pub(super) fn expire_attempt(&mut self, id: AttemptId) {
        let phase = self.current_attempt(id).expect("the attempt is current");
        if !phase.is_uncertain() {
            let action = EngineAction::CloseConnection { attempt: id };
            self.actions.push(action);
        }
        let notice = EngineNotice::OutcomeUnknown(id);
        self.actions.push(EngineAction::Notice(notice));
        self.end_attempt(id, AttemptEnd::Indeterminate, AllocationEnd::Other);
    }
}

fn failed(reason: FailureReason) -> TaskOutcome {
    TaskOutcome::Failed { reason }
}

fn run_time_of(end: &AttemptEnd) -> Duration {
    match end {
        AttemptEnd::Done { run_time, .. } | AttemptEnd::Failed { run_time, .. } => *run_time,
        _ => Duration::ZERO,
    }
}
