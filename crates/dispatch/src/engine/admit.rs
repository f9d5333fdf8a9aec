//! Job admission, based on the queue, the slots, the quota and the deadline.

use std::time::Duration;

use filbertpitch_types::caller::JobRequest;
use filbertpitch_types::prelude::*;
use rand::Rng;

use super::DispatchEngine;
use super::jobs::ResolvedJob;
use crate::admission::{
    AdmissionDecision, AdmissionSettings, JobDemand, PoolDemand, QueueDepth, SlotCapacity,
};
use crate::entity::KindIndex;

/// A rejection, with the time after which a resubmission may be accepted.
pub(super) struct JobRejection {
    pub(super) reason: NotRunReason,
    pub(super) retry_after: Option<Duration>,
}

impl DispatchEngine {
    /// Accepts or rejects a job as a whole.
    pub(super) fn check_admission(
        &mut self,
        request: &JobRequest,
        resolved: &ResolvedJob,
    ) -> Result<(), JobRejection> {
        let now = self.clock.time;
        let pools = self.pool_demands(request, resolved);
        let demand = JobDemand {
            team: resolved.team,
            tasks: request.tasks.len(),
            deadline: now + request.deadline,
            pools: &pools,
        };
        let depth = QueueDepth {
            total: self.queue.len(),
            team: self.queue.depth(resolved.team),
        };
        match self.admission.decide(now, &demand, depth, &self.quota) {
            AdmissionDecision::Accept => Ok(()),
            AdmissionDecision::Reject {
                reason,
                retry_after,
            } => Err(JobRejection {
                reason,
                retry_after: Some(self.add_jitter(retry_after)),
            }),
        }
    }

    /// Adds jitter to a retry hint, so that clients that were rejected at the same time do not retry
    /// at the same time.
    fn add_jitter(&mut self, hint: Duration) -> Duration {
        hint.mul_f64(self.rng.random_range(0.75..1.5))
    }

    /// Groups the demand of a job's tasks by the pool of targets that they compete for.
    fn pool_demands(&self, request: &JobRequest, resolved: &ResolvedJob) -> Vec<PoolDemand> {
        let mut pools: Vec<(KindIndex, PoolDemand)> = Vec::new();
        for (task, &kind) in request.tasks.iter().zip(&resolved.kinds) {
            let known = pools
                .iter_mut()
                .find(|(other, _)| self.targets.same_pool(*other, kind));
            let demand = match known {
                Some((_, demand)) => demand,
                None => {
                    pools.push((kind, self.empty_demand(kind)));
                    &mut pools.last_mut().expect("a demand was added").1
                }
            };
            demand.add(&self.estimator.predict(kind, task.declared));
        }
        for (kind, demand) in &mut pools {
            self.add_queue_state(*kind, demand, resolved);
        }
        pools.into_iter().map(|(_, demand)| demand).collect()
    }

    fn empty_demand(&self, kind: KindIndex) -> PoolDemand {
        let view = self.targets.capacity(kind);
        PoolDemand {
            capacity: SlotCapacity {
                slots: view.slots,
                free: view.slots.saturating_sub(view.running),
            },
            ..PoolDemand::default()
        }
    }

    fn add_queue_state(&self, kind: KindIndex, demand: &mut PoolDemand, resolved: &ResolvedJob) {
        if self.queue.is_empty() {
            return;
        }
        let competes = |other: KindIndex| self.targets.same_pool(other, kind);
        let now = self.clock.time;
        demand.work_ahead = self
            .queue
            .work_ahead_among(resolved.team, demand.work, competes);
        demand.load = self.queue.team_load(now, resolved.team, competes);
    }

    /// Applies the limits of the current configuration.
    pub(super) fn configure_admission(&mut self) {
        let limits = &self.catalog.configuration().limits;
        self.admission.configure(AdmissionSettings {
            queued_tasks: usize::try_from(limits.queued_tasks).unwrap_or(usize::MAX),
            ..self.settings.admission
        });
    }
}
