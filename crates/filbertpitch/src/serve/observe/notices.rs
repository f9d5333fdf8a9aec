//! Notices of the engine as log events.

use filbertpitch_dispatch::engine::{DispatchEngine, EngineNotice};
use filbertpitch_dispatch::health::{EjectionCause, HealthEvent};
use filbertpitch_types::prelude::*;
use filbertpitch_types::units::DurationText;
use slog::b;

use super::NodeObserver;
use crate::events::LogEvent;

impl NodeObserver {
    pub(super) fn see_notice(
        &self,
        notice: &EngineNotice,
        engine: &DispatchEngine,
        now: TimePoint,
    ) {
        let catalog = engine.catalog();
        let record = |event, target| {
            let target = catalog.target_name(target).as_str();
            self.log.record(event, b!("target" => target));
        };
        match notice {
            EngineNotice::Health(event) => self.see_health(event, engine, now),
            EngineNotice::OutcomeUnknown(attempt) => {
                let attempt = attempt.to_string();
                self.log
                    .record(LogEvent::OutcomeUnknown, b!("attempt" => &attempt));
            }
            EngineNotice::ProtocolViolation(target) => {
                record(LogEvent::ProtocolViolated, *target);
            }
            EngineNotice::Unreachable(target) => record(LogEvent::TargetUnreachable, *target),
            EngineNotice::Reachable(target) => record(LogEvent::TargetReachable, *target),
            EngineNotice::RetriesExhausted(service) => {
                let service = catalog.service_name(*service).as_str();
                self.log
                    .record(LogEvent::RetriesExhausted, b!("service" => service));
            }
        }
    }

    fn see_health(&self, event: &HealthEvent, engine: &DispatchEngine, now: TimePoint) {
        let name = |target| engine.catalog().target_name(target).as_str();
        match *event {
            HealthEvent::Ejected {
                target,
                cause,
                probe_at,
            } => {
                self.update_counts(|counts| counts.ejections += 1);
                let reason = describe_ejection(&cause);
                let probe = DurationText(probe_at.since(now)).to_string();
                self.log.record(
                    LogEvent::TargetEjected,
                    b!("target" => name(target), "reason" => &*reason, "probe_in" => &probe),
                );
            }
            HealthEvent::Probing { target } => self
                .log
                .record(LogEvent::TargetProbed, b!("target" => name(target))),
            HealthEvent::Reinstated { target } => self
                .log
                .record(LogEvent::TargetReinstated, b!("target" => name(target))),
            HealthEvent::Leaving { target } => self
                .log
                .record(LogEvent::TargetLeaving, b!("target" => name(target))),
        }
    }
}

/// Why a target was ejected, for people.
pub(in crate::serve) fn describe_ejection(cause: &EjectionCause) -> Box<str> {
    match cause {
        EjectionCause::Outlier { ratio, median } => {
            let (ratio, median) = (ratio * 100.0, median * 100.0);
            format!("fails {ratio:.0}% of its tasks, the median of its peers {median:.0}%").into()
        }
        EjectionCause::Unreachable => "could not be reached several times in a row".into(),
        EjectionCause::ProbeFailed => "failed a probe".into(),
    }
}
