//! What becomes of attempts, and when a task may be started again.

use std::time::Duration;

use filbertpitch_types::prelude::*;
use filbertpitch_types::target::{AttemptOutcome, RefusalReason, StartAnswer};

use super::health::health_result;
use super::schedule::QueueEnd;
use super::{AttemptTrace, DispatchEngine, EngineAction, EngineNotice, TaskRef};
use crate::attempt::{AbandonReason, AnswerSource, AttemptEnd, AttemptPhase, StopCause};
use crate::check::AttemptWatch;
use crate::entity::TargetIndex;
use crate::health::ResultRecord;
use crate::job::{JobPhase, LiveTask, TaskState};
use crate::placement::{HoldEnd, HoldSource, TargetGate};

/// Refusals in a row after which a task waits before it is queued again. Placement pauses a target
/// that refused as busy, so the delay only stops loops of other refusals. Delays after three
/// refusals, doubling up to 320 ms, raised the p99 of light teams under overload to 4 times ideal.
const REFUSALS_BEFORE_DELAY: u8 = 8;
/// The most doublings of that delay.
const DELAY_DOUBLINGS: u32 = 3;
/// Attempt numbers are 8 bits wide; a task that used this many is given up.
const ATTEMPT_NUMBER_LIMIT: AttemptNumber = AttemptNumber(250);

/// An ended attempt with what its task needs to go on.
struct EndedAttempt {
    task_ref: TaskRef,
    target: TargetIndex,
    stop: Option<StopCause>,
    end: AttemptEnd,
}

impl DispatchEngine {
    pub(super) fn receive_start_answer(&mut self, target: TargetIndex, answer: StartAnswer) {
        let id = answer.attempt;
        if self.current_attempt(id).is_none() {
            self.counters.late_answers += 1;
        } else {
            let boot = answer.load.boot;
            self.conclude_attempt(id, answer.verdict, boot, AnswerSource::Start);
        }
        self.note_load(target, &answer.load);
    }

    pub(super) fn fail_start(&mut self, id: AttemptId, written: bool) {
        let Some(phase) = self.current_attempt(id) else {
            self.counters.late_answers += 1;
            return;
        };
        if phase.is_uncertain() {
            return;
        }
        if !written {
            let target = phase.record().target;
            self.note_unreachable(target);
            let end = AttemptEnd::NotStarted { refusal: None };
            return self.end_attempt(id, end, HoldEnd::Other);
        }
        self.lose_connection(id);
    }

    /// The answer can no longer arrive on the connection; checks must tell the outcome.
    fn lose_connection(&mut self, id: AttemptId) {
        self.counters.uncertain += 1;
        let task = self.task_mut(TaskRef::of(id));
        let state = std::mem::replace(&mut task.state, TaskState::Delayed);
        let TaskState::Running(AttemptPhase::Sent(attempt)) = state else {
            unreachable!("only a sent attempt has a connection");
        };
        task.state = TaskState::Running(AttemptPhase::Uncertain(attempt.lose_connection()));
        let target = task.target.expect("a running task has a target");
        // From now on only checks tell the outcome.
        let now = self.clock.time;
        self.checks.unwatch(target, id);
        let watch = AttemptWatch {
            key: id,
            overdue_at: now,
            renew_at: now,
        };
        self.checks.watch(target, watch);
    }

    /// Ends an attempt by what the target says about it.
    pub(super) fn conclude_attempt(
        &mut self,
        id: AttemptId,
        verdict: AttemptOutcome,
        boot: u64,
        source: AnswerSource,
    ) {
        let Some(phase) = self.current_attempt(id) else {
            self.counters.late_answers += 1;
            return;
        };
        let connected = !phase.is_uncertain();
        let hold_end = HoldEnd::from(&verdict);
        let end = phase.record().conclude(verdict, boot, source);
        if connected && source == AnswerSource::State {
            let action = EngineAction::CloseConnection { attempt: id };
            self.actions.push(action);
        }
        self.end_attempt(id, end, hold_end);
    }

    /// The attempt that `id` names, if it is the current one of its task.
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

    /// Ends the current attempt and decides about its task.
    pub(super) fn end_attempt(&mut self, id: AttemptId, end: AttemptEnd, hold_end: HoldEnd) {
        let ended = self.release_attempt(id, end, hold_end);
        let job = ended.task_ref.job;
        self.settle_task(ended);
        self.finish_if_ended(job);
    }

    fn release_attempt(
        &mut self,
        id: AttemptId,
        end: AttemptEnd,
        hold_end: HoldEnd,
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
        let hold = task.hold.take().expect("a running task holds a slot");
        let hold_source = hold.source();
        if let AttemptEnd::NotStarted { refusal: Some(_) } = &end {
            self.counters.refusals_borrowed += u64::from(hold_source == HoldSource::Borrowed);
            self.counters.refusals_spilled += u64::from(hold_source == HoldSource::Spilled);
        }
        self.targets.ended(now, hold, hold_end);
        let probe = hold_source == HoldSource::Probe;
        self.links[record.target].attempts.remove(&id);
        self.checks.unwatch(record.target, id);
        let result = ResultRecord {
            target: record.target,
            service: job.service,
            result: health_result(&end, record.stop),
            probe,
        };
        self.health.record(now, result);
        self.quota.ended(job.team);
        task.used += match &end {
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
                queued_at: task.enqueued_at,
                sent_at: record.sent_at,
                ended_at: now,
                run_time: run_time_of(&end),
                end: end.word(),
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

    fn settle_task(&mut self, ended: EndedAttempt) {
        let task_ref = ended.task_ref;
        match ended.end {
            AttemptEnd::Done { output, run_time } => {
                self.task_mut(task_ref).run_time = run_time;
                self.end_task(task_ref, TaskOutcome::Done { output });
            }
            AttemptEnd::NotStarted { refusal } => {
                self.settle_not_started(task_ref, ended.target, refusal);
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
            AttemptEnd::Lapsed => {
                let outcome = failed(FailureReason::LeaseExpired);
                self.retry_or_end(task_ref, ended.target, outcome);
            }
            AttemptEnd::Vanished => {
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

    /// Places a task again that certainly did not start.
    fn settle_not_started(
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
        self.avoid_target(task_ref, target);
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

    /// Starts a task again whose attempt is over, if that is allowed, and ends it otherwise.
    fn retry_or_end(&mut self, task_ref: TaskRef, target: TargetIndex, outcome: TaskOutcome) {
        if !self.may_retry(task_ref) {
            return self.end_task(task_ref, outcome);
        }
        self.counters.retries += 1;
        let task = self.task_mut(task_ref);
        task.refusals = 0;
        task.last_end = Some(outcome);
        self.avoid_target(task_ref, target);
        self.enqueue(task_ref, QueueEnd::Front);
    }

    /// Excludes a target from the next placements of a task, unless no other one takes its kind.
    /// The task would otherwise wait until its deadline.
    fn avoid_target(&mut self, task_ref: TaskRef, target: TargetIndex) {
        let task = self.task_mut(task_ref);
        task.exclude(target);
        let kind = task.kind;
        let task = &self.jobs[&task_ref.job].tasks[task_ref.position()];
        let takes_work = |other: &TargetIndex| {
            !task.excluded.contains(other)
                && !self.targets.is_leaving(*other)
                && self.health.gate(*other) == TargetGate::Open
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

    /// Decides a task's outcome. The job fails with its first task that is not done.
    fn end_task(&mut self, task_ref: TaskRef, outcome: TaskOutcome) {
        let done = matches!(outcome, TaskOutcome::Done { .. });
        let job = self.jobs.get_mut(&task_ref.job).expect("the job is live");
        job.end_task(task_ref.task, outcome);
        let task = &job.tasks[task_ref.position()];
        if task.charged {
            let predicted = task.prediction.expected;
            self.queue.settle(job.team, predicted, task.used);
        }
        if !done {
            self.fail_job(task_ref.job, AbandonReason::JobFailed);
        }
    }

    /// Gives up waiting for an attempt whose end could not be learned.
    pub(super) fn abandon_attempt(&mut self, id: AttemptId) {
        let Some(phase) = self.current_attempt(id) else {
            return;
        };
        if !phase.is_uncertain() {
            let action = EngineAction::CloseConnection { attempt: id };
            self.actions.push(action);
        }
        let ended = self.release_attempt(id, AttemptEnd::Vanished, HoldEnd::Other);
        let reason = UnknownReason::TargetUnreachable;
        self.end_task(ended.task_ref, TaskOutcome::Unknown { reason });
    }

    /// The lease of an attempt lapsed at a target that cannot be reached.
    pub(super) fn lapse_attempt(&mut self, id: AttemptId) {
        let phase = self.current_attempt(id).expect("the attempt is current");
        if !phase.is_uncertain() {
            let action = EngineAction::CloseConnection { attempt: id };
            self.actions.push(action);
        }
        let notice = EngineNotice::OutcomeUnknown(id);
        self.actions.push(EngineAction::Notice(notice));
        self.end_attempt(id, AttemptEnd::Vanished, HoldEnd::Other);
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
