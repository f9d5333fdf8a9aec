//! Admission control.
//!
//! A job that would be late is rejected at once: the client can go elsewhere, and the accepted jobs
//! stay in time. Under overload, accepting every job would make all of them late.

use std::ops::Range;
use std::time::Duration;

use filbertpitch_dispatch::entity::KindIndex;
use filbertpitch_types::fleet::{
    ClientTimeout, JobSpec, PeerState, QueueSpec, RejectReason, StepSpec, TargetEntry, TargetState,
    WaitingWork,
};
use rand::Rng;

use super::FleetEngine;
use super::zones::CLOSED_ZONE_RETRY;
use crate::job_table::{JobEstimate, JobPlan, padded_run_time, task_work};
use crate::shedding::{Admission, ArrivingJob, LoadForecast};

/// Bounds of the delay after which a rejected client is asked to return.
const RETRY_HINT_MIN: Duration = Duration::from_millis(250);
const RETRY_HINT_MAX: Duration = Duration::from_secs(5);

/// The range of the random factor of that delay. The delay is limited before, so that clients with the
/// shortest or the longest delay do not return together.
const RETRY_SPREAD: Range<f64> = 0.75..1.5;

/// The most work of a job that is told apart from more, in core-milliseconds: 300 years of one core. Sums over all
/// jobs do not overflow.
const MAX_WORK: u64 = 10_000_000_000_000;

/// The expected work of a job, in core-milliseconds, from the expected run time of the tasks of each
/// step.
fn job_work(spec: &JobSpec, expected: &[Duration]) -> u64 {
    let steps = spec.steps.iter().zip(expected);
    let works = steps.map(|(step, expected)| {
        task_work(&step.resources, *expected).saturating_mul(u64::from(step.count))
    });
    works.fold(0, u64::saturating_add).min(MAX_WORK)
}

/// Why a job is rejected.
pub(super) struct JobRejection {
    pub(super) reason: RejectReason,
    /// How long the job would exceed its objective; zero if the load is not the reason.
    pub(super) wait: Duration,
    /// After which time there may be capacity; zero if the load is not the reason.
    pub(super) capacity_in: Duration,
    /// What was expected of the job; zero if the reason was known before.
    pub(super) estimate: JobEstimate,
}

impl JobRejection {
    fn now(reason: RejectReason) -> Self {
        Self {
            reason,
            wait: Duration::ZERO,
            capacity_in: Duration::ZERO,
            estimate: JobEstimate::default(),
        }
    }
}

impl FleetEngine {
    pub(super) fn plan_job(
        &mut self,
        queue: KindIndex,
        order: &JobSpec,
        client_timeout: ClientTimeout,
    ) -> Result<JobPlan, JobRejection> {
        match self.state {
            PeerState::Starting => return Err(JobRejection::now(RejectReason::NotReady)),
            PeerState::Ready | PeerState::Leaving => {}
        }
        let Some(spec) = self.catalog.spec(queue) else {
            return Err(JobRejection::now(RejectReason::UnknownQueue));
        };
        if order.check().is_err() {
            return Err(JobRejection::now(RejectReason::Invalid));
        }
        let unsupported = order.unsupported.is_some()
            || !order.ephemeral
            || spec.requires_advisory
            || order.steps.iter().any(|step| step.unsupported.is_some());
        if unsupported {
            return Err(JobRejection::now(RejectReason::Unsupported));
        }
        if let Some(reason) = self.missing_target(spec, &order.steps) {
            let capacity_in = match reason {
                RejectReason::ZoneClosed => CLOSED_ZONE_RETRY,
                _ => Duration::ZERO,
            };
            return Err(JobRejection {
                capacity_in,
                ..JobRejection::now(reason)
            });
        }
        let mut plan = self.build_plan(queue, spec, order, client_timeout);
        plan.estimate.density = self.shedder.classify(queue, plan.estimate.work);
        let ends_at = self.now() + padded_run_time(plan.estimate.run_time);
        if self.drain_ends_at.is_some_and(|limit| ends_at > limit) {
            return Err(JobRejection::now(RejectReason::Stopping));
        }
        self.check_load(&plan)?;
        Ok(plan)
    }

    /// Whether some listed target that satisfies `counts` could run a task of the step if it were idle.
    pub(super) fn has_capable_target<F>(&self, spec: &QueueSpec, step: &StepSpec, counts: F) -> bool
    where
        F: Fn(&TargetEntry) -> bool,
    {
        let label = step.required_label.as_ref();
        self.registry.listed().any(|(_, entry)| {
            entry.service == spec.service
                && step.resources.fits(&entry.capacity)
                && label.is_none_or(|label| entry.labels.contains(label))
                && counts(entry)
        })
    }

    fn build_plan(
        &self,
        queue: KindIndex,
        spec: &QueueSpec,
        order: &JobSpec,
        client_timeout: ClientTimeout,
    ) -> JobPlan {
        let steps = order.steps.iter();
        let expected = steps
            .map(|step| {
                self.catalog
                    .predict_run_time(queue, step.declared, client_timeout.stated)
            })
            .collect::<Vec<_>>();
        let run_time = expected.iter().sum::<Duration>();
        // Run times are those on targets of mean speed, as the client expects them, whatever the job
        // gets. A job that needs fast targets runs for a shorter time, but fewer targets are capacity
        // for it: with the shorter time alone, overload makes more of the accepted jobs late.
        let estimate = JobEstimate {
            objective: spec.objective(run_time),
            run_time,
            work: job_work(order, &expected),
            ..JobEstimate::default()
        };
        let client_timeout = client_timeout.limited(self.settings.client_timeout_limit);
        JobPlan {
            queue,
            priority: spec.priority,
            estimate,
            client_timeout,
            expected,
        }
    }

    /// Checks a job against the current load.
    fn check_load(&mut self, plan: &JobPlan) -> Result<(), JobRejection> {
        let now = self.now();
        let estimate = plan.estimate;
        self.offered_rates
            .record(now, plan.priority, estimate.density, estimate.work);
        let forecast = self.fleet_load();
        if forecast.cores <= 0.0 {
            return Err(JobRejection {
                reason: RejectReason::Overloaded,
                wait: Duration::MAX,
                capacity_in: Duration::MAX,
                estimate,
            });
        }
        if forecast.backlog() < self.settings.accept_all_backlog {
            return Ok(());
        }
        let shares = forecast.shares();
        let usual = self.shedder.usual_work(plan.queue) as u64;
        let job = ArrivingJob {
            priority: plan.priority,
            density: estimate.density,
            slack: estimate
                .objective
                .saturating_sub(padded_run_time(estimate.run_time)),
            // Beyond the usual work, the size of a job counts in its density only.
            work: estimate.work.min(usual),
        };
        let (reason, wait) = match forecast.admit(&shares, &job, self.rng.random()) {
            Admission::Accept => return Ok(()),
            Admission::TooLate(_) if self.replace_waiting(&job) => return Ok(()),
            Admission::TooLate(wait) => (RejectReason::Overloaded, wait),
            Admission::OverShare => (RejectReason::OverShare, Duration::ZERO),
        };
        Err(JobRejection {
            reason,
            wait,
            capacity_in: forecast.time_to_capacity(&shares, plan.priority),
            estimate,
        })
    }

    /// The work of this VM's tasks that wait for capacity. Tasks that wait for their trial are not
    /// delayed by the load, and delay no other task.
    pub(super) fn work_waiting_for_capacity(&self) -> WaitingWork {
        let for_capacity = |task| !self.needs_trial(task);
        self.jobs.waiting_work(self.now(), for_capacity)
    }

    /// The load and the usable cores of all live VMs.
    pub(super) fn fleet_load(&self) -> LoadForecast {
        let mut forecast = LoadForecast {
            cores: self.usable_cores(),
            ..LoadForecast::default()
        };
        forecast.add(
            &self.work_waiting_for_capacity(),
            &self.offered_rates.report(self.now()),
            &self.jobs.droppable_work(),
        );
        for link in self.links.iter().flatten().filter(|link| link.is_live()) {
            let demand = link.demand();
            forecast.add(&demand.work, &demand.offered, &demand.droppable);
        }
        forecast
    }

    /// The usable cores of all targets in open zones that a live VM holds and that do not drain. While the
    /// membership changes, all listed targets count, because those without a holder will soon have one.
    pub(super) fn usable_cores(&self) -> f64 {
        let cores = |entry: &TargetEntry| {
            let starts = entry.state == TargetState::Ready;
            match starts && !self.closed_zones.is_closed(&entry.zone) {
                true => u64::from(entry.capacity.cpu.0),
                false => 0,
            }
        };
        let millis = if self.is_settling() {
            self.registry.listed().map(|(_, entry)| cores(entry)).sum()
        } else {
            let peers = self.links.iter().flatten().filter(|link| link.is_live());
            let peers = peers.flat_map(|link| link.holdings().iter().map(|it| it.target));
            let held = self.held.keys().copied().chain(peers);
            let entries = held.filter_map(|target| self.registry.entry(target));
            entries.map(cores).sum::<u64>()
        };
        millis as f64 / 1000.0 * self.settings.usable_cpu_share
    }

    fn is_settling(&self) -> bool {
        self.now().since(self.membership_changed_at) < self.settings.settling_time
    }

    /// The delay after which a rejected client may return, randomized so that clients that were
    /// rejected together do not return together.
    pub(super) fn retry_hint(&mut self, wait: Duration) -> Duration {
        let shortest = RETRY_HINT_MIN.div_f64(RETRY_SPREAD.start);
        let longest = RETRY_HINT_MAX.div_f64(RETRY_SPREAD.end);
        let spread = self.rng.random_range(RETRY_SPREAD);
        wait.clamp(shortest, longest).mul_f64(spread)
    }
}
