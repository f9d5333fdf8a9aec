//! Takes tasks from the queue and starts attempts on targets.

use filbertpitch_types::prelude::*;
use filbertpitch_types::target::StartRequest;

use super::{DispatchEngine, EngineAction, TaskRef, TimerTopic};
use crate::attempt::{AbandonReason, AttemptPhase, AttemptRecord, TaskAttempt};
use crate::check::AttemptWatch;
use crate::entity::{TargetIndex, TaskKey};
use crate::estimate::SizeClass;
use crate::job::TaskState;
use crate::placement::{AllocationSource, Placement, PlacementRequest, SlotClass};
use crate::queue::{LaneDecision, LaneKey, QueueEntry};

/// Where a task enters the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueueEnd {
    /// After the other tasks of its lane.
    Back,
    /// Before them, for a task that was taken from the queue before.
    Front,
}

impl DispatchEngine {
    pub(super) fn enqueue(&mut self, task_ref: TaskRef, end: QueueEnd) {
        let now = self.clock.time;
        let job = self.jobs.get_mut(&task_ref.job).expect("the job is live");
        let task = &mut job.tasks[task_ref.position()];
        task.state = TaskState::Queued;
        task.last_queued_at = now;
        let task = &job.tasks[task_ref.position()];
        let entry = QueueEntry {
            task: task.key,
            team: job.team,
            lane: LaneKey {
                kind: task.kind,
                size: task.prediction.size,
            },
            predicted: task.prediction.expected,
            deadline: job.latest_start(&task.prediction),
            repeatable: task.spec.repeatable,
        };
        match end {
            QueueEnd::Back => self.queue.push(now, entry),
            QueueEnd::Front => self.queue.requeue(now, entry),
        }
    }

    /// Requeues a task after a delay.
    pub(super) fn delay(&mut self, task_ref: TaskRef, delay: std::time::Duration) {
        let job = self.jobs.get_mut(&task_ref.job).expect("the job is live");
        let task = &mut job.tasks[task_ref.position()];
        task.state = TaskState::Delayed;
        let due = self.clock.time + delay;
        self.timers
            .subscribe(due, TimerTopic::TaskRequeue(task.key));
    }

    pub(super) fn requeue_delayed(&mut self, key: TaskKey) {
        let Some(&task_ref) = self.task_refs.get(key) else {
            return;
        };
        let job = &self.jobs[&task_ref.job];
        if matches!(job.tasks[task_ref.position()].state, TaskState::Delayed) {
            self.enqueue(task_ref, QueueEnd::Front);
        }
    }

    /// Starts queued tasks while slots are free.
    pub(super) fn schedule(&mut self) {
        if self.queue.is_empty() {
            return;
        }
        self.fail_expired_jobs();
        self.round.reset();
        while let Some((entry, target)) = self.pop_placeable() {
            self.start_attempt(self.task_refs[entry.task], target);
        }
        self.arm_queue_retry();
    }

    /// Fails the jobs that have queued tasks which can no longer meet the deadline.
    fn fail_expired_jobs(&mut self) {
        for entry in self.queue.take_expired(self.clock.time) {
            if let Some(task_ref) = self.task_refs.get(entry.task) {
                self.fail_job(task_ref.job, AbandonReason::DeadlinePassed);
            }
        }
    }

    fn pop_placeable(&mut self) -> Option<(QueueEntry, TargetIndex)> {
        let now = self.clock.time;
        let (jobs, task_refs) = (&self.jobs, &self.task_refs);
        let (targets, rng) = (&mut self.targets, &mut self.rng);
        let quota = &self.quota;
        let try_place = |entry: &QueueEntry| {
            if !quota.may_start(now, entry.team) {
                return LaneDecision::Skip;
            }
            let task_ref = task_refs[entry.task];
            let task = &jobs[&task_ref.job].tasks[task_ref.position()];
            let request = PlacementRequest {
                kind: task.kind,
                class: slot_class(entry.lane.size),
                expected: entry.predicted,
                exclude: task.excluded.clone(),
                repeatable: entry.repeatable,
                wait_estimate: now.since(task.first_queued_at),
            };
            match targets.place(now, &request, rng) {
                Placement::Start(target) => LaneDecision::Start(target),
                Placement::Wait if task.excluded.is_empty() => LaneDecision::Blocked,
                Placement::Wait | Placement::Impossible => LaneDecision::Skip,
            }
        };
        self.queue.pop_next(now, &mut self.round, try_place)
    }

    /// Arms the timer for another round of placement. This VM gets no message when other VMs free
    /// slots, so queued tasks are offered at regular intervals.
    fn arm_queue_retry(&mut self) {
        if self.queue.is_empty() || self.queue_retry_due.is_some() {
            return;
        }
        let due = self.clock.time + self.settings.queue_retry_interval;
        self.queue_retry_due = Some(due);
        self.timers.subscribe(due, TimerTopic::QueueRetry);
    }

    fn start_attempt(&mut self, task_ref: TaskRef, target: TargetIndex) {
        let clock = self.clock;
        let job = self.jobs.get_mut(&task_ref.job).expect("the job is live");
        let task = &mut job.tasks[task_ref.position()];
        let id = AttemptId {
            incarnation: self.incarnation,
            job: task_ref.job,
            task: task_ref.task,
            attempt: task.next_attempt,
        };
        task.next_attempt = task.next_attempt.next();
        task.starts = task.starts.saturating_add(1);
        task.target = Some(target);
        task.charged = true;
        let expected = task.prediction.expected;
        let lease = (expected * self.settings.lease_factor).max(self.settings.lease_floor);
        let record = AttemptRecord {
            id,
            target,
            sent_at: clock.time,
            predicted: expected,
            lease_until: clock.wall + lease,
            boot: self.endpoints[target].boot,
            stop: None,
            throttled: false,
        };
        let request = StartRequest {
            attempt: id,
            service: job.service_name.clone(),
            kind: task.spec.kind.clone(),
            input: task.spec.input.clone(),
            lease_until: record.lease_until,
            resume_from: task.resume_from.clone(),
        };
        let class = slot_class(task.prediction.size);
        let allocation = self
            .targets
            .record_start(clock.time, target, class, expected);
        self.counters.starts_borrowed +=
            u64::from(allocation.source() == AllocationSource::Borrowed);
        self.counters.starts_spilled += u64::from(allocation.source() == AllocationSource::Spilled);
        task.allocation = Some(allocation);
        task.state = TaskState::Running(AttemptPhase::Sent(TaskAttempt::sent(record)));
        let overdue = clock.time + task.prediction.overdue_after;
        let queued_for = clock.time.since(task.last_queued_at);
        let traceparent = job.traceparent.clone();
        let (team, service) = (job.team, job.service);
        self.timers
            .subscribe(overdue, TimerTopic::AttemptOverdue(id));
        self.endpoints[target].attempts.insert(id);
        let check_after = overdue.max(clock.time + self.settings.check_floor);
        let watch = AttemptWatch {
            key: id,
            overdue_at: check_after,
            renew_at: clock.time + lease / 2,
        };
        self.checks.watch(target, watch);
        self.counters.starts += 1;
        self.quota.record_start(clock.time, team);
        if id.attempt == AttemptNumber(0) {
            self.retries.record_start(service);
        }
        let entry = self
            .catalog
            .target(target)
            .expect("placement chooses configured targets");
        self.actions.push(EngineAction::Start {
            target,
            address: entry.spec.address,
            request,
            traceparent,
            queued_for,
        });
    }
}

/// Maps a size class to a slot class. Long attempts may not occupy every slot of a target.
fn slot_class(size: SizeClass) -> SlotClass {
    match size {
        SizeClass::Short => SlotClass::Short,
        SizeClass::Long => SlotClass::Long,
    }
}
