//! Whether a job is accepted, given the queue, the slots, the quota and the deadline.

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

/// A rejection with the time after which another attempt may succeed.
pub(super) struct JobRejection {
    pub(super) reason: NotRunReason,
    pub(super) retry_after: Option<Duration>,
}

impl DispatchEngine {
    /// Decides about a job as a whole.
    pub(super) fn check_admission(
        &mut self,
        request: &JobRequest,
        resolved: &ResolvedJob,
    ) -> Result<(), JobRejection> {
        let now = self.clock.time;
        let parts = self.job_parts(request, resolved);
        let demand = JobDemand {
            team: resolved.team,
            tasks: request.tasks.len(),
            deadline: now + request.deadline,
            pools: &parts,
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

    /// Spreads retry hints, so that clients that were rejected together do not return together.
    fn add_jitter(&mut self, hint: Duration) -> Duration {
        hint.mul_f64(self.rng.random_range(0.75..1.5))
    }

    /// The job's tasks by the targets they compete for.
    fn job_parts(&self, request: &JobRequest, resolved: &ResolvedJob) -> Vec<PoolDemand> {
        let mut parts: Vec<(KindIndex, PoolDemand)> = Vec::new();
        for (task, &kind) in request.tasks.iter().zip(&resolved.kinds) {
            let known = parts
                .iter_mut()
                .find(|(other, _)| self.targets.same_pool(*other, kind));
            let part = match known {
                Some((_, part)) => part,
                None => {
                    parts.push((kind, self.empty_part(kind)));
                    &mut parts.last_mut().expect("a part was added").1
                }
            };
            part.add(&self.estimator.predict(kind, task.declared));
        }
        for (kind, part) in &mut parts {
            self.add_queue_state(*kind, part, resolved);
        }
        parts.into_iter().map(|(_, part)| part).collect()
    }

    fn empty_part(&self, kind: KindIndex) -> PoolDemand {
        let view = self.targets.capacity(kind);
        PoolDemand {
            capacity: SlotCapacity {
                slots: view.slots,
                free: view.slots.saturating_sub(view.running),
            },
            ..PoolDemand::default()
        }
    }

    fn add_queue_state(&self, kind: KindIndex, part: &mut PoolDemand, resolved: &ResolvedJob) {
        if self.queue.is_empty() {
            return;
        }
        let competes = |other: KindIndex| self.targets.same_pool(other, kind);
        let now = self.clock.time;
        part.work_ahead = self
            .queue
            .work_ahead_among(resolved.team, part.work, competes);
        part.load = self.queue.team_load(now, resolved.team, competes);
    }

    /// Takes over the limits in force.
    pub(super) fn configure_admission(&mut self) {
        let limits = &self.catalog.configuration().limits;
        self.admission.configure(AdmissionSettings {
            queued_tasks: usize::try_from(limits.queued_tasks).unwrap_or(usize::MAX),
            ..self.settings.admission
        });
    }
}
