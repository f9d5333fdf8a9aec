//! Whether a job is accepted.
//!
//! A job that would be late is refused at once: the client can go elsewhere, and the jobs that are
//! accepted stay in time. Under overload, accepting everything would make everything late.

use std::time::Duration;

use filbertpitch_dispatch::entity::KindIndex;
use filbertpitch_types::fleet::{
    JobOrder, PeerState, QueueSpec, RejectReason, StepOrder, TargetEntry,
};
use rand::Rng;

use super::FleetEngine;
use crate::home::{JobPlan, careful, task_work};

/// Bounds of the time after which a rejected client is asked to return.
const RETRY_HINT_MIN: Duration = Duration::from_millis(250);
const RETRY_HINT_MAX: Duration = Duration::from_secs(5);

/// The part of the cores that work of any priority can count on.
const LEAST_SHARE: f64 = 0.1;

/// The core-milliseconds of a job.
pub(super) fn job_work(order: &JobOrder, plan: &JobPlan) -> u64 {
    let steps = order.steps.iter().zip(&plan.expected);
    let works =
        steps.map(|(step, expected)| task_work(&step.room, *expected) * u64::from(step.count));
    works.sum()
}

/// A job that is accepted.
pub(super) struct Admission {
    pub(super) plan: JobPlan,
    /// The expected wait for room.
    pub(super) wait: Duration,
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
        &self,
        queue: KindIndex,
        order: &JobOrder,
        patience: Duration,
    ) -> Result<Admission, Rejection> {
        match self.state {
            PeerState::Starting => return Err(Rejection::now(RejectReason::NotReady)),
            PeerState::Ready | PeerState::Leaving => {}
        }
        let Some(spec) = self.catalog.spec(queue) else {
            return Err(Rejection::now(RejectReason::UnknownQueue));
        };
        let unsupported = order.unsupported.is_some()
            || !order.ephemeral
            || spec.advised
            || order.steps.iter().any(|step| step.unsupported.is_some());
        if unsupported {
            return Err(Rejection::now(RejectReason::Unsupported));
        }
        if order.steps.iter().any(|step| !self.has_capable(spec, step)) {
            return Err(Rejection::now(RejectReason::NoCapableTarget));
        }
        let plan = self.make_plan(queue, spec, order, patience);
        let lateness = self.expect_lateness(order, &plan);
        if !lateness.is_zero() {
            return Err(Rejection {
                reason: RejectReason::Overloaded,
                wait: lateness,
            });
        }
        Ok(Admission { plan, wait: lateness })
    }

    /// Whether some listed target could ever run a task of the step.
    fn has_capable(&self, spec: &QueueSpec, step: &StepOrder) -> bool {
        let label = step.required_label.as_ref();
        self.registry.listed().any(|(_, entry)| {
            entry.service == spec.service
                && step.room.fits(&entry.capacity)
                && label.is_none_or(|label| entry.labels.contains(label))
        })
    }

    fn make_plan(
        &self,
        queue: KindIndex,
        spec: &QueueSpec,
        order: &JobOrder,
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
            priority: spec.priority.min(1),
            objective,
            patience,
            expected,
        }
    }

    /// The time by which a job would delay itself, or work that was accepted before, beyond what
    /// its objective allows.
    fn expect_lateness(&self, order: &JobOrder, plan: &JobPlan) -> Duration {
        let mut waiting = self.jobs.waiting_work(self.now());
        let mut above = self.accepted.report(self.now()).above(plan.priority);
        for link in self.links.iter().flatten().filter(|link| link.is_live()) {
            let demand = link.demand();
            waiting.merge(&demand.work);
            above += demand.accepted.above(plan.priority);
        }
        let cores = self.usable_cores();
        if cores <= 0.0 {
            return Duration::MAX;
        }
        if waiting.total() == 0 {
            return Duration::ZERO;
        }
        // Work of a higher priority goes on to arrive and comes first.
        let cores = (cores - above).max(cores * LEAST_SHARE);
        let needed = plan.expected.iter().sum::<Duration>();
        let slack = plan.objective.saturating_sub(careful(needed));
        let excess = waiting.excess_ms(plan.priority, slack, job_work(order, plan), cores);
        Duration::from_secs_f64(excess.max(0.0) / 1000.0)
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
