//! The coordinator role: the jobs of this VM's clients, from submission to answer.

use std::time::Duration;

use filbertpitch_dispatch::entity::{JobKey, KindIndex, TargetIndex, VmIndex};
use filbertpitch_dispatch::job::CallerToken;
use filbertpitch_types::fleet::{
    ClientTimeout, EndNotice, FleetMessage, JobReply, JobSpec, PlaceRefusal, RejectReason,
};
use filbertpitch_types::prelude::*;

use super::{FleetAction, FleetEngine, FleetNotice, TimerTopic};
use crate::held::HeldTarget;
use crate::job_table::{ActiveJob, JobPlan, PlacedTask, TaskPhase, TaskRef};
use crate::kind_speed::RunRole;
use crate::lease_limits::LEASE_MARGIN;
use crate::link::LostContact;
use crate::target_clock::max_lease_duration;

impl FleetEngine {
    pub(super) fn submit_job(
        &mut self,
        caller: CallerToken,
        queue: KindIndex,
        order: JobSpec,
        client_timeout: ClientTimeout,
    ) {
        if let Some(job) = self.jobs.find(order.id) {
            // The client has sent its job again, for example on a new connection; it waits for the
            // same answer.
            let former = self.origin_of(job);
            let state = self.jobs.get_mut(job).expect("the job is live");
            state.callers.push(caller);
            self.update_run_origins(job, former);
            return;
        }
        if self.cancels.is_cancelled(self.clock.time, order.id) {
            let reply = JobReply::Cancelled;
            self.router.finish_received(caller);
            return self.actions.push(FleetAction::Reply { caller, reply });
        }
        self.router.record_coordinated(self.clock.time);
        let plan = match self.plan_job(queue, &order, client_timeout) {
            Ok(plan) => plan,
            Err(rejection) => {
                self.counters.jobs_rejected += 1;
                match rejection.reason {
                    RejectReason::ZoneClosed => self.counters.jobs_rejected_zone_closed += 1,
                    RejectReason::Overloaded | RejectReason::OverShare => {
                        self.counters.jobs_refused += 1;
                    }
                    _ => {}
                }
                self.notice(FleetNotice::JobRejected {
                    job: order.id,
                    queue: self.catalog.name(queue).clone(),
                    reason: rejection.reason,
                    wait: rejection.wait,
                    estimate: rejection.estimate,
                });
                let reply = JobReply::Rejected {
                    reason: rejection.reason,
                    retry_after: self.retry_hint(rejection.capacity_in),
                };
                self.router.finish_received(caller);
                self.actions.push(FleetAction::Reply { caller, reply });
                return;
            }
        };
        self.accept_job(caller, order, plan);
    }

    fn accept_job(&mut self, caller: CallerToken, order: JobSpec, plan: JobPlan) {
        let now = self.now();
        self.counters.jobs_accepted += 1;
        let (id, estimate, queue) = (order.id, plan.estimate, plan.queue);
        let client_timeout = plan.client_timeout.stated;
        let key = self.jobs.accept(now, caller, order, plan);
        let job = &self.jobs.get(key).expect("the job was accepted");
        let (give_up, tasks) = (job.client_deadline, job.tasks.len());
        let answerable_until = job.answerable_until(now);
        self.timers.subscribe(give_up, TimerTopic::JobDeadline(key));
        self.timers
            .subscribe(answerable_until, TimerTopic::JobTooLate(key));
        self.notice(FleetNotice::JobAccepted {
            job: id,
            queue: self.catalog.name(queue).clone(),
            tasks,
            estimate,
            client_timeout,
            version: self.catalog.version(),
        });
        self.placement_due = true;
        self.give_up_crashing_job(key);
    }

    /// Removes a client that has disconnected. A job without clients is removed, and its tasks are
    /// withdrawn.
    pub(super) fn remove_caller(&mut self, caller: CallerToken) {
        let found = self
            .jobs
            .iter()
            .find(|(_, job)| job.callers.contains(&caller));
        let found = found.map(|(key, _)| (key, self.origin_of(key)));
        self.router.finish_received(caller);
        let Some((key, origin)) = found else {
            return;
        };
        let job = self.jobs.get_mut(key).expect("the job is live");
        job.callers.retain(|other| *other != caller);
        if !job.callers.is_empty() {
            return self.update_run_origins(key, origin);
        }
        let (id, arrived) = (job.id, job.arrived);
        self.counters.jobs_abandoned += 1;
        let took = self.now().since(arrived);
        self.notice(FleetNotice::JobAbandoned {
            job: id,
            took,
            noticed_within: took.min(self.now().since(self.examined_at)),
        });
        self.remove_job(key);
    }

    /// Removes a job and withdraws its placed tasks from their holders.
    fn remove_job(&mut self, key: JobKey) -> Option<ActiveJob> {
        let now = self.now();
        let job = self.jobs.remove(now, key)?;
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
        let Some(job) = self.remove_job(key) else {
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
            self.router.finish_received(caller);
            self.actions.push(FleetAction::Reply { caller, reply });
        }
    }

    /// The number of jobs of a queue of which no task may have started.
    pub fn waiting_jobs(&self, queue: KindIndex) -> usize {
        let jobs = self.jobs.iter();
        jobs.filter(|(_, job)| job.queue == queue && job.possible_starts == 0)
            .count()
    }

    /// Whether a task of a live job may have started; `None` if the job is not known.
    pub fn job_started(&self, id: JobId) -> Option<bool> {
        let job = self.jobs.get(self.jobs.find(id)?)?;
        Some(job.possible_starts > 0)
    }

    /// Answers a job that is not finished: as unknown if a task may have started, otherwise as
    /// rejected.
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

    /// Ends a job whose answer would come too late to be of use even if its tasks ran fast. A job with a
    /// suspect of a crash is not ended: its client would send it again, and the task would crash more
    /// targets before it is given up.
    pub(super) fn end_unanswerable(&mut self, key: JobKey) {
        let now = self.now();
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let mut tasks = (0..job.tasks.len()).map(|position| TaskRef { job: key, position });
        let until = match tasks.any(|task| self.needs_trial(task)) {
            true => now + job.objective,
            false => job.answerable_until(now),
        };
        match until > now {
            true => self.timers.subscribe(until, TimerTopic::JobTooLate(key)),
            false => self.give_up_job(key),
        }
    }

    /// Answers all jobs that are not finished, because the process is about to exit.
    pub(super) fn give_up_all_jobs(&mut self) {
        let keys = self.jobs.iter().map(|(key, _)| key).collect::<Vec<_>>();
        for key in keys {
            self.give_up_job(key);
        }
        self.end_all_forwarding();
    }

    fn current_run(&self, task: TaskRef) -> RunName {
        let state = self.jobs.task(task);
        RunName {
            task: state.name,
            run: state.run,
        }
    }

    /// The holder and the target of a run; `None` unless it is the task's current run and may be in
    /// progress.
    fn placement_of(&self, task: TaskRef, run: RunNumber) -> Option<(VmIndex, TargetIndex)> {
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

    /// Handles a holder's report that it certainly has not started a run.
    pub(super) fn receive_refusal(&mut self, from: VmIndex, run: RunName, refusal: PlaceRefusal) {
        let Some(task) = self.jobs.find_task(&run.task) else {
            return;
        };
        let placement = self.placement_of(task, run.run);
        let Some((holder, target)) = placement.filter(|(vm, _)| *vm == from) else {
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
            PlaceRefusal::SpreadLimit => state.exclude(target),
            PlaceRefusal::NoCapacity
            | PlaceRefusal::Stale
            | PlaceRefusal::StillRunning
            | PlaceRefusal::ZoneClosed => {}
        }
        let now = self.now();
        if refusal == PlaceRefusal::Stale
            && let Some(link) = &mut self.links[from]
        {
            link.record_late_request(now);
        }
        self.requeue_task(task);
        if refusal == PlaceRefusal::ZoneClosed {
            self.reject_if_unservable(task.job);
        }
    }

    fn requeue_task(&mut self, task: TaskRef) {
        let now = self.now();
        self.jobs.set_phase(now, task, TaskPhase::Waiting);
        self.placement_due = true;
    }

    /// Handles the end of a run, if it was reported by the run's holder.
    pub(super) fn receive_end(&mut self, from: VmIndex, notice: &EndNotice) {
        let Some(task) = self.jobs.find_task(&notice.run.task) else {
            return;
        };
        let placement = self.placement_of(task, notice.run.run);
        if placement.is_some_and(|(holder, _)| holder == from) {
            self.apply_end(task, notice);
        }
    }

    /// Handles the end of a run that another VM had started. A task that is done is not started again,
    /// whichever run has done it. Any other end says nothing about the present run: another coordinator may
    /// have given the same number to a run on the same target, and the holder may have chosen another
    /// target than this VM has suggested.
    pub(super) fn receive_found_end(&mut self, notice: &EndNotice) {
        if notice.end != RunEnd::Done {
            return;
        }
        let Some(task) = self.jobs.find_task(&notice.run.task) else {
            return;
        };
        match self.jobs.task(task).phase {
            // Earlier steps run again first, so that the steps of the job stay in order.
            TaskPhase::Blocked | TaskPhase::Done => return,
            TaskPhase::Waiting => {
                // The job has started, though at the request of another coordinator.
                if let Some(job) = self.jobs.get_mut(task.job) {
                    job.possible_starts += 1;
                }
            }
            TaskPhase::Placed { holder, .. } => {
                self.send(holder, FleetMessage::Withdraw(vec![notice.run.task]));
            }
            TaskPhase::Orphaned { .. } => {}
        }
        self.finish_task(task, notice);
    }

    fn apply_end(&mut self, task: TaskRef, notice: &EndNotice) {
        match notice.end {
            RunEnd::Done => self.finish_task(task, notice),
            RunEnd::Failed => self.record_task_failure(task, &notice.target),
            RunEnd::Stopped
            | RunEnd::LeaseExpired
            | RunEnd::GangBroken
            | RunEnd::GangIncomplete => {
                self.jobs.task_mut(task).next_run();
                self.requeue_task(task);
            }
        }
    }

    fn finish_task(&mut self, task: TaskRef, notice: &EndNotice) {
        let now = self.now();
        let job = self.jobs.get(task.job).expect("the job is live");
        let queue = job.queue;
        let step = job.step_of(task.position);
        let declared = step.declared;
        let rack = step.rack();
        let requested_at = match job.tasks[task.position].phase {
            TaskPhase::Placed { requested_at, .. } => requested_at,
            _ => job.arrived,
        };
        if let Some(took) = notice.took_ms {
            let target = self.registry.find(&notice.target);
            let rack_factor = target.map_or(1.0, |target| self.rack_factor(rack, target));
            let took = Duration::from_millis(took.into()).div_f64(rack_factor);
            let factor = target.map_or(1.0, |target| self.kind_speeds.factor_of(target));
            let normalised = took.div_f64(factor);
            let job = self.jobs.get_mut(task.job).expect("the job is live");
            job.longest_run = job.longest_run.max(normalised);
            self.catalog.observe(queue, declared, normalised);
            let cold = |target| self.registry.cold_until(target) > Some(requested_at);
            if let Some(target) = target.filter(|target| !cold(*target)) {
                let row = (queue, RunRole::Coordinator);
                self.kind_speeds.observe(row, target, took, declared);
            }
        }
        if self.jobs.finish_task(now, task) {
            self.record_job_duration(task.job);
            self.answer_job(task.job, JobReply::Completed);
        } else {
            self.placement_due = true;
        }
    }

    fn record_job_duration(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key).filter(|job| job.spec.steps.len() == 1) else {
            return;
        };
        let declared = job.spec.steps[0].declared;
        let (queue, client_timeout, longest) = (job.queue, job.client_timeout, job.longest_run);
        self.catalog
            .observe_job(queue, declared, client_timeout, longest);
    }

    fn record_task_failure(&mut self, task: TaskRef, target: &TargetName) {
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
        self.requeue_task(task);
    }

    /// Records the target that the holder has chosen for a run in place of the suggested one, and its token for
    /// that target. Statements about runs on the suggested target are not about this run.
    pub(super) fn receive_redirection(
        &mut self,
        from: VmIndex,
        run: RunName,
        target: &TargetName,
        token: FencingToken,
    ) {
        let Some(task) = self.jobs.find_task(&run.task) else {
            return;
        };
        let target = self.registry.intern(target);
        let state = self.jobs.task(task);
        match state.phase {
            TaskPhase::Placed {
                holder,
                requested_at,
                ..
            } if holder == from && state.run == run.run => {
                let phase = TaskPhase::Placed {
                    holder,
                    target,
                    requested_at,
                };
                self.jobs.set_phase(self.now(), task, phase);
                self.jobs.task_mut(task).holder_token = Some(token);
            }
            _ => {}
        }
    }

    /// Handles a holder's report that it has released the target of these runs, or has not kept them,
    /// under a claim with this token. They may go on until their lease expires. The report says nothing
    /// about a run that was named under a later claim since.
    pub(super) fn receive_release(
        &mut self,
        from: VmIndex,
        target: &TargetName,
        runs: &[RunName],
        token: FencingToken,
    ) {
        let target = self.registry.intern(target);
        let over_at = self.lease_expiry_after(self.now());
        for run in runs {
            let Some(task) = self.jobs.find_task(&run.task) else {
                continue;
            };
            let placement = self.placement_of(task, run.run);
            let Some((_, placed_on)) = placement.filter(|(holder, _)| *holder == from) else {
                continue;
            };
            // The holder may have started the run on another target, whose tokens are not comparable.
            let superseded = placed_on == target && self.is_superseded(task, token);
            if !superseded {
                self.orphan_task(task, from, target, over_at, "released");
            }
        }
    }

    /// Marks all tasks that were placed with a lost holder as orphaned, because they may still be
    /// running: the holder may not know that it was marked as lost, or may fail to stop them.
    pub(super) fn orphan_tasks_on(
        &mut self,
        holder: VmIndex,
        contact: LostContact,
        reason: &'static str,
    ) {
        let placed = self.jobs.placed();
        let lost = placed
            .filter(|placed| placed.holder == holder)
            .collect::<Vec<_>>();
        for placed in lost {
            let over_at = self.run_expiry_after(placed, contact);
            self.orphan_task(placed.task, holder, placed.target, over_at, reason);
        }
    }

    /// When a run has certainly ended if its holder gets no further sign of life of this VM. The
    /// holder carries out no request that may be older than the maximum delay, and the target may have
    /// had a whole lease when the run started; the holder has renewed it up to the coordinator timeout.
    /// Both are what `LeaseLimits::coordinator_limit` permits, counted from times that are not earlier
    /// than the holder's, and the margin.
    fn run_expiry_after(&self, placed: PlacedTask, contact: LostContact) -> TimePoint {
        let started_by = placed.requested_at + self.settings.links.max_request_delay;
        let renewed = contact.confirmed_at + self.settings.held.coordinator_timeout;
        renewed.max(self.lease_end_after(started_by)) + LEASE_MARGIN
    }

    /// When a run has certainly ended if its lease was not renewed after `renewed`.
    fn lease_expiry_after(&self, renewed: TimePoint) -> TimePoint {
        self.lease_end_after(renewed) + LEASE_MARGIN
    }

    /// When a whole lease that was granted by `granted` has certainly ended.
    fn lease_end_after(&self, granted: TimePoint) -> TimePoint {
        granted + max_lease_duration(self.settings.held.lease)
    }

    fn orphan_task(
        &mut self,
        task: TaskRef,
        holder: VmIndex,
        target: TargetIndex,
        over_at: TimePoint,
        reason: &'static str,
    ) {
        let now = self.now();
        // The report of one VM does not shorten what the loss of another one requires.
        let state = self.jobs.task_mut(task);
        state.over_after = state.over_after.max(over_at);
        let over_at = state.over_after;
        self.notice(FleetNotice::RunOrphaned {
            run: self.current_run(task),
            holder: self.vms.name(holder).clone(),
            target: self.registry.name(target).clone(),
            reason,
            over_in: over_at.since(now),
        });
        let phase = TaskPhase::Orphaned {
            holder,
            target,
            ended_by: over_at,
        };
        self.jobs.set_phase(now, task, phase);
        self.timers
            .subscribe(over_at, TimerTopic::OrphanExpired(task));
    }

    /// Requeues an orphaned task whose last lease has certainly expired.
    pub(super) fn requeue_orphan(&mut self, task: TaskRef) {
        let now = self.now();
        if self.jobs.get(task.job).is_none() {
            return;
        }
        match self.jobs.task(task).phase {
            TaskPhase::Orphaned {
                ended_by: over_at, ..
            } if over_at <= now => {
                self.jobs.task_mut(task).next_run();
                self.requeue_task(task);
            }
            _ => {}
        }
    }

    /// Returns whether a run that a new holder has found is still wanted; if so, assigns it to that
    /// holder. A poll that has waited at the target while the target changed its holder can show the
    /// former holder the runs of the new one, so a VM with a lower token than one that was named for the
    /// run is not a new holder.
    pub(super) fn reassign_run(
        &mut self,
        task: TaskRef,
        run: RunNumber,
        target: TargetIndex,
        (holder, token): (VmIndex, FencingToken),
    ) -> bool {
        let now = self.now();
        let placement = self.placement_of(task, run);
        let Some((former, _)) = placement.filter(|(_, placed_on)| *placed_on == target) else {
            return false;
        };
        if self.is_superseded(task, token) {
            return false;
        }
        if former != holder {
            if self.token_of(former, target) > Some(token) {
                return false;
            }
            self.notice(FleetNotice::RunReassigned {
                run: self.current_run(task),
                target: self.registry.name(target).clone(),
                former: self.vms.name(former).clone(),
                holder: self.vms.name(holder).clone(),
            });
        }
        let phase = TaskPhase::Placed {
            holder,
            target,
            requested_at: now,
        };
        self.jobs.set_phase(now, task, phase);
        self.jobs.task_mut(task).holder_token = Some(token);
        true
    }

    /// Whether a higher token than this one was named for the target of a task's latest run.
    fn is_superseded(&self, task: TaskRef, token: FencingToken) -> bool {
        self.jobs.task(task).holder_token > Some(token)
    }

    /// The token with which a VM holds a target, as far as this VM knows.
    pub(super) fn token_of(&self, holder: VmIndex, target: TargetIndex) -> Option<FencingToken> {
        let Some(link) = &self.links[holder] else {
            return self.held.get(&target).map(HeldTarget::token);
        };
        let mut holdings = link.holdings().iter();
        let holding = holdings.find(|holding| holding.target == target)?;
        Some(holding.token)
    }
}
