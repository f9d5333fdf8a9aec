//! The engine's notices as log events.

use std::time::Duration;

use filbertpitch_fleet::engine::{FleetNotice, ZoneSource};
use filbertpitch_types::fleet::{JobReply, PlaceRefusal, ZoneChange};
use slog::b;

use crate::events::{EventLog, LogEvent};

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn outcome(reply: &JobReply) -> &'static str {
    match reply {
        JobReply::Completed => "completed",
        JobReply::Failed => "failed",
        JobReply::Rejected { reason, .. } => reason.as_str(),
        JobReply::Unknown => "unknown",
        JobReply::Cancelled => "cancelled",
    }
}

fn refusal_word(refusal: PlaceRefusal) -> &'static str {
    match refusal {
        PlaceRefusal::NoCapacity => "no_room",
        PlaceRefusal::Stale => "stale",
        PlaceRefusal::RefusedByTarget => "refused_by_target",
        PlaceRefusal::OldRun => "old_run",
        PlaceRefusal::StillRunning => "still_running",
        PlaceRefusal::NeverStarted => "never_started",
        PlaceRefusal::ZoneClosed => "zone_closed",
        PlaceRefusal::SpreadLimit => "spread_limit",
    }
}

/// Logs a notice.
pub(super) fn record_notice(log: &EventLog, notice: &FleetNotice) {
    match notice {
        FleetNotice::ConfigurationApplied(version) => {
            log.record(LogEvent::ConfigurationApplied, b!("version" => version.0))
        }
        FleetNotice::JobAccepted {
            job,
            queue,
            tasks,
            estimate,
            client_timeout: patience,
            version,
        } => log.record(
            LogEvent::JobAccepted,
            b!(
                "job" => %job,
                "queue" => queue.as_str(),
                "tasks" => tasks,
                "objective_ms" => millis(estimate.objective),
                "run_ms" => millis(estimate.run_time),
                "work" => estimate.work,
                "patience_ms" => millis(*patience),
                "version" => version.map(|version| version.0)
            ),
        ),
        FleetNotice::JobAnswered {
            job,
            reply,
            took,
            objective,
        } => log.record(
            LogEvent::JobAnswered,
            b!(
                "job" => %job,
                "outcome" => outcome(reply),
                "took_ms" => millis(*took),
                "objective_ms" => millis(*objective)
            ),
        ),
        FleetNotice::JobRejected {
            job,
            queue,
            reason,
            wait,
            estimate,
        } => log.record(
            LogEvent::JobRejected,
            b!(
                "job" => %job,
                "queue" => queue.as_str(),
                "reason" => reason.as_str(),
                "wait_ms" => millis(*wait),
                "objective_ms" => millis(estimate.objective),
                "run_ms" => millis(estimate.run_time),
                "density" => %estimate.density,
                "work" => estimate.work
            ),
        ),
        FleetNotice::JobShed {
            job,
            queue,
            priority,
            density,
            work,
            reason,
            waited,
        } => log.record(
            LogEvent::JobShed,
            b!(
                "job" => %job,
                "queue" => queue.as_str(),
                "priority" => priority,
                "density" => %density,
                "work" => work,
                "reason" => reason.as_str(),
                "waited_ms" => millis(*waited)
            ),
        ),
        FleetNotice::JobAbandoned { job, took, .. } => log.record(
            LogEvent::JobAbandoned,
            b!("job" => %job, "took_ms" => millis(*took)),
        ),
        FleetNotice::JobForwarded {
            job,
            receiver,
            lateness,
        } => log.record(
            LogEvent::JobForwarded,
            b!(
                "job" => %job,
                "receiver" => receiver.as_str(),
                "lateness_ms" => millis(*lateness)
            ),
        ),
        FleetNotice::ForwardingFailed { job, receiver, end } => log.record(
            LogEvent::ForwardingFailed,
            b!("job" => %job, "receiver" => receiver.as_str(), "end" => end.as_str()),
        ),
        FleetNotice::TaskPlaced {
            run,
            holder,
            target,
            waited,
        } => log.record(
            LogEvent::TaskPlaced,
            b!(
                "run" => %run,
                "holder" => holder.as_str(),
                "target" => target.as_str(),
                "waited_ms" => millis(*waited)
            ),
        ),
        FleetNotice::RunEnded { run, target, end } => log.record(
            LogEvent::RunEnded,
            b!("run" => %run, "target" => target.as_str(), "end" => %end),
        ),
        FleetNotice::RunOutlived {
            run,
            target,
            over_for,
        } => log.record(
            LogEvent::RunOutlived,
            b!(
                "run" => %run,
                "target" => target.as_str(),
                "over_for_ms" => millis(*over_for)
            ),
        ),
        FleetNotice::DuplicateRun { run, target } => log.record(
            LogEvent::DuplicateRun,
            b!("run" => %run, "target" => target.as_str()),
        ),
        FleetNotice::RunOrphaned {
            run,
            holder,
            target,
            reason,
            over_in,
        } => log.record(
            LogEvent::RunOrphaned,
            b!(
                "run" => %run,
                "holder" => holder.as_str(),
                "target" => target.as_str(),
                "reason" => reason,
                "over_in_ms" => millis(*over_in)
            ),
        ),
        FleetNotice::RunReassigned {
            run,
            target,
            former,
            holder,
        } => log.record(
            LogEvent::RunReassigned,
            b!(
                "run" => %run,
                "target" => target.as_str(),
                "former" => former.as_str(),
                "holder" => holder.as_str()
            ),
        ),
        FleetNotice::PlaceRefused {
            task,
            holder,
            refusal,
        } => log.record(
            LogEvent::PlaceRefused,
            b!(
                "task" => %task,
                "holder" => holder.as_str(),
                "reason" => refusal_word(*refusal)
            ),
        ),
        FleetNotice::TaskSuspected {
            task,
            target,
            crashes,
            given_up,
        } => log.record(
            LogEvent::TaskSuspected,
            b!(
                "task" => %task,
                "target" => target.as_str(),
                "crashes" => crashes,
                "given_up" => given_up
            ),
        ),
        FleetNotice::StartRefused {
            run,
            target,
            reason,
        } => log.record(
            LogEvent::StartRefused,
            b!("run" => %run, "target" => target.as_str(), "reason" => reason),
        ),
        _ => record_state(log, notice),
    }
}

/// Logs a change of what this VM believes of targets and other VMs.
fn record_state(log: &EventLog, notice: &FleetNotice) {
    match notice {
        FleetNotice::TargetClaimed {
            target,
            token,
            found_runs,
        } => log.record(
            LogEvent::TargetClaimed,
            b!("target" => target.as_str(), "token" => token.0, "found_runs" => found_runs),
        ),
        FleetNotice::TargetReleased {
            target,
            reason,
            runs,
        } => log.record(
            LogEvent::TargetReleased,
            b!("target" => target.as_str(), "reason" => reason, "runs" => runs),
        ),
        FleetNotice::TargetUnreachable { target, runs } => log.record(
            LogEvent::TargetUnreachable,
            b!("target" => target.as_str(), "runs" => runs),
        ),
        FleetNotice::TargetCrashed { target, runs } => log.record(
            LogEvent::TargetCrashed,
            b!("target" => target.as_str(), "runs" => runs),
        ),
        FleetNotice::TargetReachable(target) => {
            log.record(LogEvent::TargetReachable, b!("target" => target.as_str()))
        }
        FleetNotice::TargetRestarted(target) => {
            log.record(LogEvent::TargetRestarted, b!("target" => target.as_str()))
        }
        FleetNotice::TargetEjected(target) => {
            log.record(LogEvent::TargetEjected, b!("target" => target.as_str()))
        }
        FleetNotice::TargetUnlisted { target, draining } => log.record(
            LogEvent::TargetUnlisted,
            b!("target" => target.as_str(), "draining" => draining),
        ),
        FleetNotice::ZoneChanged {
            change,
            source,
            age,
        } => record_zone(log, change, source, *age),
        FleetNotice::PeerLive(peer) => {
            log.record(LogEvent::PeerLive, b!("peer" => peer.as_str()));
        }
        FleetNotice::PeerLost {
            peer,
            silence: quiet,
            refused,
        } => log.record(
            LogEvent::PeerSilent,
            b!("peer" => peer.as_str(), "quiet_ms" => millis(*quiet), "refused" => refused),
        ),
        FleetNotice::LoadSampled {
            targets,
            capacity,
            free,
            open,
            runs,
            waiting,
            closed_zones,
        } => log.record(
            LogEvent::LoadSampled,
            b!(
                "targets" => targets,
                "cores_m" => capacity.cpu.0,
                "free_m" => free.cpu.0,
                "open_m" => open.cpu.0,
                "runs" => runs,
                "waiting" => waiting,
                "closed_zones" => closed_zones
            ),
        ),
        FleetNotice::KindSpeedLearned {
            kind,
            factor,
            weight,
        } => log.record(
            LogEvent::KindSpeedLearned,
            b!(
                "kind" => &**kind,
                "factor_percent" => (factor * 100.0).round() as u32,
                "runs" => weight.round() as u32
            ),
        ),
        FleetNotice::CapacityLearned {
            target,
            peer,
            capacity,
            age,
        } => log.record(
            LogEvent::CapacityLearned,
            b!(
                "target" => target.as_str(),
                "peer" => peer.as_str(),
                "cores_m" => capacity.cpu.0,
                "age_ms" => millis(*age)
            ),
        ),
        FleetNotice::ProcessPaused(gap) => {
            log.record(LogEvent::ProcessPaused, b!("gap_ms" => millis(*gap)));
        }
        _ => {}
    }
}

fn record_zone(log: &EventLog, change: &ZoneChange, source: &ZoneSource, age: Duration) {
    let event = match change.closed {
        true => LogEvent::ZoneClosed,
        false => LogEvent::ZoneOpened,
    };
    let (source, peer) = match source {
        ZoneSource::Store => ("store", None),
        ZoneSource::Peer(peer) => ("peer", Some(peer.as_str())),
    };
    log.record(
        event,
        b!(
            "zone" => change.zone.as_str(),
            "offset" => change.offset.0,
            "source" => source,
            "peer" => peer,
            "age_ms" => millis(age)
        ),
    );
}
