//! The life cycle of jobs, from submission to answer.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use filbertpitch_types::caller::{JobAnswer, JobRequest};
use filbertpitch_types::prelude::*;

use super::admit::JobRejection;
use super::{CallerReply, DispatchEngine, EngineAction, EngineNotice, TaskRef, TimerTopic};
use crate::attempt::{AbandonReason, StopCause};
use crate::entity::{KindIndex, ServiceIndex, TeamIndex};
use crate::job::{
    CallerToken, JobPhase, LiveJob, LiveTask, NewJob, TaskState, rejected_answer, unknown_answer,
};
use crate::submission::{RequestDigest, SubmissionStatus};

/// The indices of the names that a job refers to, all found in the configuration.
pub(super) struct ResolvedJob {
    pub(super) team: TeamIndex,
    pub(super) service: ServiceIndex,
    pub(super) kinds: Vec<KindIndex>,
}

/// Computes the digest that distinguishes a resubmission from a different job with the same id.
///
/// The digest does not cover the deadline, because a client that resubmits may have less time left.
fn request_digest(request: &JobRequest) -> RequestDigest {
    let mut hasher = DefaultHasher::new();
    request.team.hash(&mut hasher);
    request.service.hash(&mut hasher);
    for task in &request.tasks {
        task.kind.hash(&mut hasher);
        task.repeatable.hash(&mut hasher);
        task.input.hash(&mut hasher);
    }
    RequestDigest(hasher.finish())
}

impl DispatchEngine {
    pub(super) fn submit_job(
        &mut self,
        caller: CallerToken,
        request: JobRequest,
        traceparent: Option<Box<str>>,
    ) {
        let digest = request_digest(&request);
        match self.submissions.lookup(&request.submission) {
            SubmissionStatus::New => self.admit_job(caller, request, digest, traceparent),
            SubmissionStatus::Live {
                digest: accepted_digest,
                ..
            } if accepted_digest != digest => {
                self.reply(caller, CallerReply::Conflict);
            }
            SubmissionStatus::Finished {
                digest: Some(accepted_digest),
                ..
            } if accepted_digest != digest => self.reply(caller, CallerReply::Conflict),
            SubmissionStatus::Live { job, .. } => {
                self.counters.jobs_joined += 1;
                self.job_mut(job).waiters.push(caller);
            }
            SubmissionStatus::Finished { answer, .. } => {
                self.counters.jobs_joined += 1;
                self.reply(caller, CallerReply::Job(answer));
            }
            SubmissionStatus::Expired => {
                let answer = unknown_answer(request.submission, UnknownReason::Expired);
                self.reply(caller, CallerReply::Job(answer));
            }
        }
    }

    pub(super) fn look_up_job(&mut self, caller: CallerToken, submission: &SubmissionId) {
        let reply = match self.submissions.lookup(submission) {
            SubmissionStatus::New => CallerReply::NotFound,
            SubmissionStatus::Live { .. } => CallerReply::Pending,
            SubmissionStatus::Finished { answer, .. } => CallerReply::Job(answer),
            SubmissionStatus::Expired => {
                CallerReply::Job(unknown_answer(submission.clone(), UnknownReason::Expired))
            }
        };
        self.reply(caller, reply);
    }

    pub(super) fn cancel_job(&mut self, caller: CallerToken, submission: &SubmissionId) {
        match self.submissions.lookup(submission) {
            SubmissionStatus::Live { job, .. } => {
                self.job_mut(job).waiters.push(caller);
                self.fail_job(job, AbandonReason::Cancelled);
            }
            // The submission may still be in transit. Recording the cancellation prevents the job
            // from running after the caller was told that it did not run.
            SubmissionStatus::New => {
                let reason = NotRunReason::Cancelled;
                let answer = rejected_answer(submission.clone(), reason, None);
                self.submissions.record_answer(Rc::clone(&answer), None);
                self.reply(caller, CallerReply::Job(answer));
            }
            _ => self.look_up_job(caller, submission),
        }
    }

    pub(super) fn remove_caller(&mut self, caller: CallerToken) {
        for job in self.jobs.values_mut() {
            job.waiters.retain(|waiter| *waiter != caller);
        }
    }

    fn admit_job(
        &mut self,
        caller: CallerToken,
        request: JobRequest,
        digest: RequestDigest,
        traceparent: Option<Box<str>>,
    ) {
        let resolved = match self.resolve_job(&request) {
            Ok(resolved) => resolved,
            Err(reason) => return self.reject_job(caller, request, digest, reason, None),
        };
        if self.draining {
            let reason = NotRunReason::Draining;
            return self.reject_job(caller, request, digest, reason, None);
        }
        if let Err(rejection) = self.check_admission(&request, &resolved) {
            let JobRejection {
                reason,
                retry_after,
            } = rejection;
            return self.reject_job(caller, request, digest, reason, retry_after);
        }
        self.accept_job(caller, &request, digest, resolved, traceparent);
    }

    fn resolve_job(&self, request: &JobRequest) -> Result<ResolvedJob, NotRunReason> {
        let team = self.catalog.team_index(&request.team);
        let team = team.ok_or(NotRunReason::UnknownTeam)?;
        let service = self.catalog.service_index(&request.service);
        let service = service.ok_or(NotRunReason::UnknownService)?;
        let kinds = request.tasks.iter().map(|task| {
            let kind = self.catalog.kind_index(&request.service, &task.kind);
            let kind = kind.ok_or(NotRunReason::NoCapableTarget)?;
            let capable = self
                .catalog
                .kind(kind)
                .is_some_and(|entry| !entry.targets.is_empty());
            capable.then_some(kind).ok_or(NotRunReason::NoCapableTarget)
        });
        Ok(ResolvedJob {
            team,
            service,
            kinds: kinds.collect::<Result<_, _>>()?,
        })
    }

    fn reject_job(
        &mut self,
        caller: CallerToken,
        request: JobRequest,
        digest: RequestDigest,
        reason: NotRunReason,
        retry_after: Option<std::time::Duration>,
    ) {
        self.counters.jobs_rejected += 1;
        self.counters.rejections.add(reason);
        let answer = rejected_answer(request.submission, reason, retry_after);
        self.submissions
            .record_answer(Rc::clone(&answer), Some(digest));
        self.reply(caller, CallerReply::Job(answer));
    }

    fn accept_job(
        &mut self,
        caller: CallerToken,
        request: &JobRequest,
        digest: RequestDigest,
        resolved: ResolvedJob,
        traceparent: Option<Box<str>>,
    ) {
        let number = self.next_job;
        self.next_job = number.next();
        self.submissions.accept(&request.submission, number, digest);
        let new_job = NewJob {
            number,
            team: resolved.team,
            service: resolved.service,
            tasks: self.new_tasks(number, request, &resolved.kinds),
            traceparent,
        };
        let job = LiveJob::new(request, new_job, caller, self.clock.time);
        self.timers
            .subscribe(job.deadline, TimerTopic::JobDeadline(number));
        self.counters.jobs_accepted += 1;
        let tasks = job.tasks.len();
        self.jobs.insert(number, job);
        for task in 0..tasks {
            let task = TaskIndex(u16::try_from(task).expect("job size was checked"));
            self.enqueue(
                TaskRef { job: number, task },
                super::schedule::QueueEnd::Back,
            );
        }
    }

    fn new_tasks(
        &mut self,
        job: JobNumber,
        request: &JobRequest,
        kinds: &[KindIndex],
    ) -> Vec<LiveTask> {
        let now = self.clock.time;
        let specs = request.tasks.iter().zip(kinds).enumerate();
        specs
            .map(|(index, (spec, &kind))| {
                let task = TaskIndex(u16::try_from(index).expect("job size was checked"));
                let key = self.task_refs.insert(TaskRef { job, task });
                let prediction = self.estimator.predict(kind, spec.declared);
                LiveTask::new(spec.clone(), kind, key, prediction, now)
            })
            .collect()
    }

    pub(super) fn handle_deadline(&mut self, job: JobNumber) {
        if self.jobs.contains_key(&job) {
            self.fail_job(job, AbandonReason::DeadlinePassed);
        }
    }

    pub(super) fn fail_all_jobs(&mut self) {
        let mut live = self.jobs.keys().copied().collect::<Vec<_>>();
        live.sort_unstable();
        for job in live {
            self.fail_job(job, AbandonReason::VmStopping);
        }
    }

    /// Makes a job fail: starts none of its remaining tasks and stops its running attempts.
    pub(super) fn fail_job(&mut self, number: JobNumber, reason: AbandonReason) {
        let job = self.jobs.get_mut(&number).expect("the job is live");
        if job.is_failing() {
            return;
        }
        job.phase = JobPhase::Failing(reason);
        let mut ended = Vec::new();
        for (index, task) in job.tasks.iter_mut().enumerate() {
            match &mut task.state {
                TaskState::Queued | TaskState::Delayed => {
                    self.queue.remove(task.key);
                    ended.push(TaskIndex(
                        u16::try_from(index).expect("job size was checked"),
                    ));
                }
                TaskState::Running(phase) => {
                    let record = phase.record_mut();
                    record.request_stop(StopCause::Abandon(reason));
                    let stops = self.pending_stops.entry(record.target).or_default();
                    stops.push(record.id);
                }
                TaskState::Ended(_) => {}
            }
        }
        for task in ended {
            let outcome = abandoned_outcome(&job.tasks[usize::from(task.0)], reason);
            job.end_task(task, outcome);
        }
        let due = self.clock.time + self.settings.stop_timeout;
        self.timers.subscribe(due, TimerTopic::StopTimeout(number));
        self.finish_if_ended(number);
    }

    /// Ends the running attempts of a failing job that did not stop in time, with unknown outcomes.
    pub(super) fn handle_stop_timeout(&mut self, number: JobNumber) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        let running = job.tasks.iter().filter_map(|task| task.attempt());
        let running = running.map(|phase| phase.record().id).collect::<Vec<_>>();
        for attempt in running {
            let notice = EngineNotice::OutcomeUnknown(attempt);
            self.actions.push(EngineAction::Notice(notice));
            self.abandon_attempt(attempt);
        }
        self.finish_if_ended(number);
    }

    /// Answers a job once each of its tasks has an outcome.
    pub(super) fn finish_if_ended(&mut self, number: JobNumber) {
        let ended = self
            .jobs
            .get(&number)
            .is_some_and(|job| job.unfinished == 0);
        if !ended {
            return;
        }
        let job = self.jobs.remove(&number).expect("the job is live");
        for task in &job.tasks {
            self.task_refs.remove(task.key);
        }
        let answer = job.answer(|target| self.catalog.target_name(target).clone());
        self.count_outcome(&answer);
        let answer = Rc::new(answer);
        self.submissions.record_answer(Rc::clone(&answer), None);
        for caller in &job.waiters {
            self.reply(*caller, CallerReply::Job(Rc::clone(&answer)));
        }
    }

    fn count_outcome(&mut self, answer: &JobAnswer) {
        if let Some(reason) = answer.not_run {
            self.counters.rejections.add(reason);
        }
        let counter = match answer.outcome {
            JobOutcome::Complete => &mut self.counters.jobs_complete,
            JobOutcome::Failed => &mut self.counters.jobs_failed,
            JobOutcome::NotRun => &mut self.counters.jobs_rejected,
            JobOutcome::Unknown => &mut self.counters.jobs_unknown,
        };
        *counter += 1;
    }

    pub(super) fn reply(&mut self, caller: CallerToken, reply: CallerReply) {
        self.actions.push(EngineAction::Reply { caller, reply });
    }

    pub(super) fn job_mut(&mut self, number: JobNumber) -> &mut LiveJob {
        self.jobs.get_mut(&number).expect("the job is live")
    }
}

/// The outcome of a task that is abandoned while no attempt of it is running.
///
/// If an earlier attempt ran, the outcome is that of the attempt, because the task cannot be
/// reported as not run.
pub(super) fn abandoned_outcome(task: &LiveTask, reason: AbandonReason) -> TaskOutcome {
    match &task.last_outcome {
        Some(outcome) => outcome.clone(),
        None => reason.not_started_outcome(),
    }
}
