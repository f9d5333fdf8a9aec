//! Whether a job is accepted.
//!
//! A job that would be late is refused at once: the client can go elsewhere, and the jobs that are
//! accepted stay in time. Under overload, accepting everything would make everything late.

use std::time::Duration;

use filbertpitch_dispatch::entity::KindIndex;
use filbertpitch_types::fleet::{
    JobSpec, PeerState, QueueSpec, RejectReason, StepSpec, TargetEntry, WaitingWork,
};
use rand::Rng;

use super::FleetEngine;
use crate::home::{JobPlan, careful, task_work};

/// Bounds of the time after which a rejected client is asked to return.
const RETRY_HINT_MIN: Duration = Duration::from_millis(250);
const RETRY_HINT_MAX: Duration = Duration::from_secs(5);

/// The core-milliseconds of a job.
pub(super) fn job_work(order: &JobSpec, plan: &JobPlan) -> u64 {
    let steps = order.steps.iter().zip(&plan.expected);
    let works =
        steps.map(|(step, expected)| task_work(&step.resources, *expected) * u64::from(step.count));
    works.sum()
}

/// The part of the cores that work of any priority can count on.
const LEAST_SHARE: f64 = 0.1;

/// The load of all VMs, as far as it matters for a job.
struct FleetLoad {
    waiting: WaitingWork,
    /// Work of a higher priority that is offered, in cores.
    offered_above: f64,
}

/// A job that is not accepted.
pub(super) struct Rejection {
    pub(super) reason: RejectReason,
    /// The expected wait for room.
    pub(super) wait: Duration,
}

impl Rejection {
    fn now(reason: RejectReason) -> Self {
        Self {
            reason,
            wait: Duration::ZERO,
        }
    }
}

impl FleetEngine {
    pub(super) fn plan_job(
        &mut self,
        queue: KindIndex,
        order: &JobSpec,
        patience: Duration,
    ) -> Result<JobPlan, Rejection> {
        match self.state {
            PeerState::Starting => return Err(Rejection::now(RejectReason::NotReady)),
            PeerState::Ready | PeerState::Leaving => {}
        }
        let Some(spec) = self.catalog.spec(queue) else {
            return Err(Rejection::now(RejectReason::UnknownQueue));
        };
        if order.check().is_err() {
            return Err(Rejection::now(RejectReason::Invalid));
        }
        let unsupported = order.unsupported.is_some()
            || !order.ephemeral
            || spec.requires_advisory
            || order.steps.iter().any(|step| step.unsupported.is_some());
        if unsupported {
            return Err(Rejection::now(RejectReason::Unsupported));
        }
        if order.steps.iter().any(|step| !self.has_capable(spec, step)) {
            return Err(Rejection::now(RejectReason::NoCapableTarget));
        }
        let plan = self.make_plan(queue, spec, order, patience);
        let ends_at = self.now() + careful(plan.expected.iter().sum());
        if self.drain_ends_at.is_some_and(|limit| ends_at > limit) {
            return Err(Rejection::now(RejectReason::Stopping));
        }
        match self.judge_load(order, &plan) {
            Ok(()) => Ok(plan),
            Err(wait) => Err(Rejection {
                reason: RejectReason::Overloaded,
                wait,
            }),
        }
    }

    /// Whether some listed target could ever run a task of the step.
    fn has_capable(&self, spec: &QueueSpec, step: &StepSpec) -> bool {
        let label = step.required_label.as_ref();
        self.registry.listed().any(|(_, entry)| {
            entry.service == spec.service
                && step.resources.fits(&entry.capacity)
                && label.is_none_or(|label| entry.labels.contains(label))
        })
    }

    fn make_plan(
        &self,
        queue: KindIndex,
        spec: &QueueSpec,
        order: &JobSpec,
        patience: Duration,
    ) -> JobPlan {
        let steps = order.steps.iter();
        let expected = steps
            .map(|step| self.catalog.expect(queue, step.declared, patience))
            .collect::<Vec<_>>();
        let chain = expected.iter().sum::<Duration>();
        let objective = chain.mul_f64(spec.stretch.max(1.0)) + spec.allowance;
        let patience = patience.min(self.settings.patience_limit);
        JobPlan {
            queue,
            priority: spec.priority,
            objective,
            patience,
            expected,
        }
    }

    /// Whether a job is accepted under the load that there is; if not, when there may be room.
    fn judge_load(&mut self, order: &JobSpec, plan: &JobPlan) -> Result<(), Duration> {
        let now = self.now();
        let work = job_work(order, plan);
        self.offered.record(now, plan.priority, work);
        let cores = self.usable_cores();
        if cores <= 0.0 {
            return Err(Duration::MAX);
        }
        let load = self.fleet_load(plan.priority);
        let backlog = Duration::from_secs_f64(load.waiting.total() as f64 / cores / 1000.0);
        if backlog < self.settings.calm_backlog {
            return Ok(());
        }
        // Work of a higher priority goes on to arrive and comes first.
        let cores = (cores - load.offered_above).max(cores * LEAST_SHARE);
        let needed = plan.expected.iter().sum::<Duration>();
        let slack = plan.objective.saturating_sub(careful(needed));
        let excess = load.waiting.excess_ms(plan.priority, slack, work, cores);
        match excess > 0.0 {
            true => Err(Duration::from_secs_f64(excess / 1000.0)),
            false => Ok(()),
        }
    }

    /// What waits at all VMs, and what is offered of a higher priority.
    fn fleet_load(&self, priority: u8) -> FleetLoad {
        let now = self.now();
        let mut load = FleetLoad {
            waiting: self.jobs.waiting_work(now),
            offered_above: self.offered.report(now).above(priority),
        };
        for link in self.links.iter().flatten().filter(|link| link.is_live()) {
            let demand = link.demand();
            load.waiting.merge(&demand.work);
            load.offered_above += demand.offered.above(priority);
        }
        load
    }

    /// The cores of all targets that some VM holds. While VMs come and go, targets without a holder
    /// will have one within moments.
    fn usable_cores(&self) -> f64 {
        let cores = |entry: &TargetEntry| u64::from(entry.capacity.cpu.0);
        let millis = if self.is_settling() {
            self.registry.listed().map(|(_, entry)| cores(entry)).sum()
        } else {
            let peers = self.links.iter().flatten().filter(|link| link.is_live());
            let peers = peers.flat_map(|link| link.holdings().iter().map(|it| it.target));
            let held = self.held.keys().copied().chain(peers);
            let entries = held.filter_map(|target| self.registry.entry(target));
            entries.map(cores).sum::<u64>()
        };
        millis as f64 / 1000.0 * self.settings.usable_share
    }

    fn is_settling(&self) -> bool {
        self.now().since(self.unsettled_at) < self.settings.settling_time
    }

    /// When a rejected client may return; spread, so that clients that were rejected together do
    /// not return together.
    pub(super) fn retry_hint(&mut self, wait: Duration) -> Duration {
        let spread = self.rng.random_range(0.75..1.5);
        wait.min(RETRY_HINT_MAX)
            .mul_f64(spread)
            .clamp(RETRY_HINT_MIN, RETRY_HINT_MAX)
    }
}
