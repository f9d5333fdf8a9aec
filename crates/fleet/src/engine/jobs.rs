//! The jobs of this VM's clients, from submission to answer.

use std::time::Duration;

use filbertpitch_dispatch::entity::{JobKey, KindIndex, TargetIndex, VmIndex};
use filbertpitch_dispatch::job::CallerToken;
use filbertpitch_types::fleet::{
    EndNotice, FleetMessage, JobReply, JobSpec, PlaceRefusal, RejectReason,
};
use filbertpitch_types::prelude::*;

use super::{FleetAction, FleetEngine, FleetNotice, TimerTopic};
use crate::clock::longest_lease;
use crate::home::{HomeJob, JobPlan, TaskPhase, TaskRef};

/// What the holder of a lease and the target may disagree about its end, and the time of a message
/// between them.
const LEASE_MARGIN: Duration = Duration::from_millis(100);

/// The time by which the two sides of a link notice its loss differently, beyond one beat: one
/// envelope and one review.
const NOTICE_MARGIN: Duration = Duration::from_millis(100);

/// How long a task waits that a holder refuses because an earlier run has not ended: a stop takes up to
/// 50 ms, and its end must be seen.
const STOP_PAUSE: Duration = Duration::from_millis(60);

impl FleetEngine {
    pub(super) fn submit_job(
        &mut self,
        caller: CallerToken,
        queue: KindIndex,
        order: JobSpec,
        patience: Duration,
    ) {
        if let Some(job) = self.jobs.find(order.id) {
            // The client has sent its job again, for example on a new connection.
            let job = self.jobs.get_mut(job).expect("the job is live");
            job.callers.push(caller);
            return;
        }
        let plan = match self.plan_job(queue, &order, patience) {
            Ok(plan) => plan,
            Err(rejection) => {
                self.counters.jobs_rejected += 1;
                self.notice(FleetNotice::JobRejected {
                    job: order.id,
                    queue: self.catalog.name(queue).clone(),
                    reason: rejection.reason,
                    wait: rejection.wait,
                });
                let reply = JobReply::Rejected {
                    reason: rejection.reason,
                    retry_after: self.retry_hint(rejection.wait),
                };
                self.actions.push(FleetAction::Reply { caller, reply });
                return;
            }
        };
        self.accept_job(caller, order, plan);
    }

    fn accept_job(&mut self, caller: CallerToken, order: JobSpec, plan: JobPlan) {
        let now = self.now();
        self.counters.jobs_accepted += 1;
        let (id, objective, queue) = (order.id, plan.objective, plan.queue);
        let patience = plan.patience;
        let key = self.jobs.accept(now, caller, order, plan);
        let job = &self.jobs.get(key).expect("the job was accepted");
        let (give_up, tasks) = (job.give_up, job.tasks.len());
        let hopeless = job.hopeless_at();
        self.timers.subscribe(give_up, TimerTopic::JobGiveUp(key));
        self.timers
            .subscribe(hopeless, TimerTopic::JobHopeless(key));
        self.notice(FleetNotice::JobAccepted {
            job: id,
            queue: self.catalog.name(queue).clone(),
            tasks,
            objective,
            patience,
            version: self.catalog.version(),
        });
        self.room_changed = true;
    }

    /// A client has closed its connection: nobody waits for the job any more.
    pub(super) fn forget_caller(&mut self, caller: CallerToken) {
        let found = self
            .jobs
            .iter()
            .find(|(_, job)| job.callers.contains(&caller));
        let Some((key, _)) = found else {
            return;
        };
        let job = self.jobs.get_mut(key).expect("the job is live");
        job.callers.retain(|other| *other != caller);
        if !job.callers.is_empty() {
            return;
        }
        let (id, arrived) = (job.id, job.arrived);
        self.counters.jobs_abandoned += 1;
        let took = self.now().since(arrived);
        self.notice(FleetNotice::JobAbandoned { job: id, took });
        self.end_job(key);
    }

    /// Removes a job and withdraws its tasks from their holders.
    fn end_job(&mut self, key: JobKey) -> Option<HomeJob> {
        let job = self.jobs.remove(key)?;
        let mut withdrawn = Vec::<(VmIndex, Vec<TaskName>)>::new();
        for task in &job.tasks {
            let TaskPhase::Placed { holder, .. } = task.phase else {
                continue;
            };
            match withdrawn.iter_mut().find(|(vm, _)| *vm == holder) {
                Some((_, tasks)) => tasks.push(task.name),
                None => withdrawn.push((holder, vec![task.name])),
            }
        }
        for (holder, tasks) in withdrawn {
            self.send(holder, FleetMessage::Withdraw(tasks));
        }
        Some(job)
    }

    pub(super) fn answer_job(&mut self, key: JobKey, reply: JobReply) {
        let Some(job) = self.end_job(key) else {
            return;
        };
        match reply {
            JobReply::Completed => self.counters.jobs_completed += 1,
            JobReply::Failed => self.counters.jobs_failed += 1,
            JobReply::Rejected { .. } => self.counters.jobs_rejected += 1,
            JobReply::Unknown => self.counters.jobs_unknown += 1,
            JobReply::Cancelled => self.counters.jobs_abandoned += 1,
        }
        self.notice(FleetNotice::JobAnswered {
            job: job.id,
            reply,
            took: self.now().since(job.arrived),
            objective: job.objective,
        });
        for caller in job.callers {
            self.actions.push(FleetAction::Reply { caller, reply });
        }
    }

    pub(super) fn cancel_job(&mut self, id: JobId) {
        if let Some(key) = self.jobs.find(id) {
            self.answer_job(key, JobReply::Cancelled);
        }
    }

    /// How many jobs of a queue have no task that may have started.
    pub fn waiting_jobs(&self, queue: KindIndex) -> usize {
        let jobs = self.jobs.iter();
        jobs.filter(|(_, job)| job.queue == queue && job.possible_starts == 0)
            .count()
    }

    /// Whether a task of a live job may have started; nothing if the job is not known.
    pub fn job_started(&self, id: JobId) -> Option<bool> {
        let job = self.jobs.get(self.jobs.find(id)?)?;
        Some(job.possible_starts > 0)
    }

    /// Nobody needs the answer any more.
    pub(super) fn give_up_job(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let reply = match job.possible_starts > 0 {
            true => JobReply::Unknown,
            false => JobReply::Rejected {
                reason: RejectReason::TimedOut,
                retry_after: self.retry_hint(Duration::ZERO),
            },
        };
        self.answer_job(key, reply);
    }

    /// A job cannot be of use any more. Unless a task of it may have started, its client is told so.
    pub(super) fn drop_hopeless(&mut self, key: JobKey) {
        if self
            .jobs
            .get(key)
            .is_some_and(|job| job.possible_starts == 0)
        {
            self.give_up_job(key);
        }
    }

    /// Answers all jobs, because the process ends.
    pub(super) fn give_up_all(&mut self) {
        let keys = self.jobs.iter().map(|(key, _)| key).collect::<Vec<_>>();
        for key in keys {
            self.give_up_job(key);
        }
    }

    /// Where a task runs, or may run, if this is its current run.
    fn place_of(&self, task: TaskRef, run: RunNumber) -> Option<(VmIndex, TargetIndex)> {
        let state = self.jobs.task(task);
        match state.phase {
            TaskPhase::Placed { holder, target, .. }
            | TaskPhase::Orphaned { holder, target, .. }
                if state.run == run =>
            {
                Some((holder, target))
            }
            _ => None,
        }
    }

    /// A holder has certainly not started a task.
    pub(super) fn receive_refusal(&mut self, from: VmIndex, run: RunName, refusal: PlaceRefusal) {
        let Some(task) = self.jobs.find_task(&run.task) else {
            return;
        };
        let place = self.place_of(task, run.run);
        let Some((holder, target)) = place.filter(|(vm, _)| *vm == from) else {
            return;
        };
        self.counters.tasks_refused += 1;
        self.notice(FleetNotice::PlaceRefused {
            task: run.task,
            holder: self.vms.name(holder).clone(),
            refusal,
        });
        if let Some(job) = self.jobs.get_mut(task.job) {
            job.possible_starts = job.possible_starts.saturating_sub(1);
        }
        let state = self.jobs.task_mut(task);
        match refusal {
            PlaceRefusal::OldRun => state.skip_runs(),
            PlaceRefusal::RefusedByTarget | PlaceRefusal::NeverStarted => {
                state.next_run();
                state.exclude(target);
            }
            PlaceRefusal::StillRunning => {
                let over_at = self.now() + STOP_PAUSE;
                return self.orphan_task(task, from, target, over_at);
            }
            PlaceRefusal::NoCapacity | PlaceRefusal::Stale => {}
        }
        self.wait_again(task);
    }

    fn wait_again(&mut self, task: TaskRef) {
        let now = self.now();
        self.jobs.set_phase(now, task, TaskPhase::Waiting);
        self.room_changed = true;
    }

    /// A run has ended.
    pub(super) fn receive_end(&mut self, from: VmIndex, notice: &EndNotice) {
        let Some(task) = self.jobs.find_task(&notice.run.task) else {
            return;
        };
        let place = self.place_of(task, notice.run.run);
        if place.is_some_and(|(holder, _)| holder == from) {
            self.apply_end(task, notice);
        }
    }

    /// A run that another VM had ordered has ended. Another home may have given the same number to a
    /// run of the task elsewhere, so that the target must be the same as well.
    pub(super) fn receive_found_end(&mut self, notice: &EndNotice) {
        let Some(task) = self.jobs.find_task(&notice.run.task) else {
            return;
        };
        let place = self
            .place_of(task, notice.run.run)
            .map(|(_, target)| target);
        if place.is_some() && place == self.registry.find(&notice.target) {
            self.apply_end(task, notice);
        }
    }

    fn apply_end(&mut self, task: TaskRef, notice: &EndNotice) {
        match notice.end {
            RunEnd::Done => self.finish_task(task, notice),
            RunEnd::Failed => self.fail_task(task, &notice.target),
            RunEnd::Stopped
            | RunEnd::LeaseExpired
            | RunEnd::GangBroken
            | RunEnd::GangIncomplete => {
                self.jobs.task_mut(task).next_run();
                self.wait_again(task);
            }
        }
    }

    fn finish_task(&mut self, task: TaskRef, notice: &EndNotice) {
        let now = self.now();
        let job = self.jobs.get_mut(task.job).expect("the job is live");
        let queue = job.queue;
        let declared = job.step_of(task.position).declared;
        if let Some(took) = notice.took_ms {
            let took = Duration::from_millis(took.into());
            job.longest = job.longest.max(took);
            self.catalog.observe(queue, declared, took);
        }
        if self.jobs.finish_task(now, task) {
            self.learn_from_job(task.job);
            self.answer_job(task.job, JobReply::Completed);
        } else {
            self.room_changed = true;
        }
    }

    fn learn_from_job(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key).filter(|job| job.order.steps.len() == 1) else {
            return;
        };
        let declared = job.order.steps[0].declared;
        let (queue, patience, longest) = (job.queue, job.patience, job.longest);
        self.catalog.observe_job(queue, declared, patience, longest);
    }

    fn fail_task(&mut self, task: TaskRef, target: &TargetName) {
        let target = self.registry.intern(target);
        let job = self.jobs.get(task.job).expect("the job is live");
        let limit = self
            .catalog
            .spec(job.queue)
            .map_or(1, |spec| spec.attempt_limit);
        let state = self.jobs.task_mut(task);
        state.failures += 1;
        state.exclude(target);
        if state.failures >= limit {
            return self.answer_job(task.job, JobReply::Failed);
        }
        state.next_run();
        self.wait_again(task);
    }

    /// The holder of these runs does not hold their target any more.
    pub(super) fn receive_release(&mut self, from: VmIndex, target: &TargetName, runs: &[RunName]) {
        let target = self.registry.intern(target);
        let over_at = self.lapse_after(self.now());
        for run in runs {
            let Some(task) = self.jobs.find_task(&run.task) else {
                continue;
            };
            let place = self.place_of(task, run.run);
            if place.is_some_and(|(holder, _)| holder == from) {
                self.orphan_task(task, from, target, over_at);
            }
        }
    }

    /// All tasks that a lost holder was asked to run may still be running. If the holder lives, it
    /// renews their leases until it notices that it does not hear this VM. It may be paused then and
    /// not stop them, so that only the lapse of the last lease is certain.
    pub(super) fn orphan_holder(&mut self, holder: VmIndex, heard: TimePoint) {
        let Some(link) = &self.links[holder] else {
            return;
        };
        let margin = link.pace().own_beat() + NOTICE_MARGIN;
        let missed_after = link.pace().missed_after();
        let noticed = match link.was_lost_unanswered() {
            // It may have heard this VM until now, and may not hear that it was given up.
            true => self.now() + missed_after + margin,
            false => (heard + missed_after + margin).min(self.now() + margin),
        };
        let over_at = self.lapse_after(noticed);
        let placed = self.jobs.placed();
        let lost = placed
            .filter(|(_, vm, _)| *vm == holder)
            .map(|(task, _, target)| (task, target))
            .collect::<Vec<_>>();
        for (task, target) in lost {
            self.orphan_task(task, holder, target, over_at);
        }
    }

    /// When a run has certainly lapsed whose lease was not renewed after `renewed`.
    fn lapse_after(&self, renewed: TimePoint) -> TimePoint {
        let lease = self.settings.held.lease;
        renewed + longest_lease(lease) + LEASE_MARGIN
    }

    fn orphan_task(
        &mut self,
        task: TaskRef,
        holder: VmIndex,
        target: TargetIndex,
        over_at: TimePoint,
    ) {
        let now = self.now();
        let phase = TaskPhase::Orphaned {
            holder,
            target,
            over_at,
        };
        self.jobs.set_phase(now, task, phase);
        self.timers.subscribe(over_at, TimerTopic::OrphanOver(task));
    }

    /// The lease of an orphaned run has ended.
    pub(super) fn recover_orphan(&mut self, task: TaskRef) {
        let now = self.now();
        if self.jobs.get(task.job).is_none() {
            return;
        }
        match self.jobs.task(task).phase {
            TaskPhase::Orphaned { over_at, .. } if over_at <= now => {
                self.jobs.task_mut(task).next_run();
                self.wait_again(task);
            }
            _ => {}
        }
    }

    /// Whether a run that a new holder has found is still wanted; if so, it belongs to that holder
    /// from now on.
    pub(super) fn keep_run(
        &mut self,
        task: TaskRef,
        run: RunNumber,
        target: TargetIndex,
        holder: VmIndex,
    ) -> bool {
        let now = self.now();
        let place = self.place_of(task, run);
        if place.is_none_or(|(_, place)| place != target) {
            return false;
        }
        let phase = TaskPhase::Placed {
            holder,
            target,
            asked_at: now,
        };
        self.jobs.set_phase(now, task, phase);
        true
    }
}
