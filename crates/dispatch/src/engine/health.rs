//! Derives the health of targets from the results of attempts and checks.

use filbertpitch_types::target::RefusalReason;

use super::{DispatchEngine, EngineAction, EngineNotice};
use crate::attempt::{AttemptEnd, StopCause};
use crate::entity::{ServiceIndex, TargetIndex};
use crate::health::{HealthEvent, HealthResult, ResultRecord};

/// Maps the end of an attempt to a health result of its target.
pub(super) fn health_result(end: &AttemptEnd, stop: Option<StopCause>) -> HealthResult {
    match end {
        AttemptEnd::Done { .. } => HealthResult::Succeeded,
        AttemptEnd::Failed { .. } => HealthResult::Failed,
        AttemptEnd::Stopped if stop.is_none() => HealthResult::Failed,
        AttemptEnd::NotStarted {
            refusal: Some(RefusalReason::UnknownKind),
        } => HealthResult::Failed,
        // A lease also expires when this VM was paused, and unanswered checks are recorded
        // separately.
        AttemptEnd::LeaseExpired
        | AttemptEnd::Indeterminate
        | AttemptEnd::Stopped
        | AttemptEnd::NotStarted { .. }
        | AttemptEnd::Checkpointed { .. } => HealthResult::Neutral,
    }
}

impl DispatchEngine {
    /// Records that the target could not be reached.
    pub(super) fn record_unreachable(&mut self, target: TargetIndex) {
        if !std::mem::replace(&mut self.endpoints[target].unreachable, true) {
            let notice = EngineNotice::Unreachable(target);
            self.actions.push(EngineAction::Notice(notice));
        }
        let services = self.services_of(target);
        let Some(&service) = services.first() else {
            return;
        };
        let record = ResultRecord {
            target,
            service,
            result: HealthResult::Unreachable,
            probe: false,
        };
        self.health.record(self.clock.time, record);
        self.apply_health();
    }

    fn services_of(&self, target: TargetIndex) -> Vec<ServiceIndex> {
        let Some(entry) = self.catalog.target(target) else {
            return Vec::new();
        };
        let names = entry.spec.takes.keys();
        names
            .filter_map(|name| self.catalog.service_index(name))
            .collect()
    }

    /// Applies changes of health to placement and reports them for the log.
    pub(super) fn apply_health(&mut self) {
        for event in self.health.take_events() {
            let target = match event {
                HealthEvent::Ejected { target, .. }
                | HealthEvent::Probing { target }
                | HealthEvent::Reinstated { target }
                | HealthEvent::Leaving { target } => target,
            };
            let gate = self.health.gate(target);
            self.targets.set_gate(self.clock.time, target, gate);
            let notice = EngineNotice::Health(event);
            self.actions.push(EngineAction::Notice(notice));
        }
    }
}
