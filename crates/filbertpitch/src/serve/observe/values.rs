//! The values of all metrics of a node.

use filbertpitch_dispatch::engine::{DispatchEngine, EngineCounters, EngineView};
use filbertpitch_dispatch::health::HealthState;
use filbertpitch_types::prelude::*;
use filbertpitch_types::status::PeerState;
use filbertpitch_types::target::RefusalReason;

use super::LoopCounts;
use crate::metrics::{MetricName, MetricValues, ProcessUsage};
use crate::serve::node::EntryNode;
use crate::serve::traffic::TrafficClass;

impl EntryNode {
    /// The values of all metrics. Percentiles cover the time since the last call.
    pub fn metric_values(&self) -> MetricValues {
        let mut values = MetricValues::default();
        self.driver().inspect(|engine: &DispatchEngine| {
            let (counters, view) = (engine.counters(), engine.view());
            set_jobs(&mut values, &counters, &view);
            set_tasks(&mut values, &counters, &view);
            let submissions = engine.submissions();
            values.set(MetricName::SubmissionsKept, submissions.len());
            values.set(MetricName::SubmissionBytes, submissions.bytes().0);
        });
        set_requests(&mut values, &self.observer().counts());
        self.set_delays(&mut values);
        self.set_fleet(&mut values);
        self.set_process(&mut values);
        values
    }

    fn set_delays(&self, values: &mut MetricValues) {
        let queue = self.observer().queue_delays.borrow_mut().take();
        values.set(MetricName::QueueDelayMedian, queue.p50);
        values.set(MetricName::QueueDelayTail, queue.p99);
        values.set(MetricName::QueueDelayMax, queue.max);
        let response = self.observer().response_times.borrow_mut().take();
        values.set(MetricName::ResponseMedian, response.p50);
        values.set(MetricName::ResponseTail, response.p99);
        values.set(MetricName::ResponseMax, response.max);
    }

    fn set_fleet(&self, values: &mut MetricValues) {
        let config = self.config_status();
        let now = self.now().time;
        let log_age = config.log_age.unwrap_or(now.since(TimePoint::default()));
        values.set(MetricName::ConfigOffset, config.next.0);
        let ticket = config.ticket.map_or(0, |ticket| ticket.0);
        values.set(MetricName::ConfigTicket, ticket);
        values.set(MetricName::LogAge, log_age.as_millis());
        let peers = self.peer_statuses();
        let live = peers.iter().filter(|peer| peer.state == PeerState::Live);
        values.set(MetricName::PeersLive, live.count());
        let traffic = [
            (
                TrafficClass::Heartbeat,
                MetricName::HeartbeatSent,
                MetricName::HeartbeatReceived,
            ),
            (
                TrafficClass::Log,
                MetricName::LogSent,
                MetricName::LogReceived,
            ),
            (
                TrafficClass::VmList,
                MetricName::ListSent,
                MetricName::ListReceived,
            ),
        ];
        for (class, sent, received) in traffic {
            let bytes = self.observer().traffic.bytes(class);
            values.set(sent, bytes.sent);
            values.set(received, bytes.received);
        }
    }

    fn set_process(&self, values: &mut MetricValues) {
        let traces = &self.observer().traces;
        let (spans, bytes) = traces.inspect(|ring| (ring.len(), ring.bytes()));
        values.set(MetricName::TraceSpans, spans);
        values.set(MetricName::TraceBytes, bytes.0);
        if let Some(usage) = ProcessUsage::read() {
            values.set(MetricName::CpuTime, usage.cpu_ms);
            values.set(MetricName::ResidentBytes, usage.resident_bytes);
        }
    }
}

fn set_jobs(values: &mut MetricValues, counters: &EngineCounters, view: &EngineView) {
    values.set(MetricName::JobsLive, view.live_jobs);
    values.set(MetricName::JobsAccepted, counters.jobs_accepted);
    values.set(MetricName::JobsRejected, counters.jobs_rejected);
    values.set(MetricName::JobsComplete, counters.jobs_complete);
    values.set(MetricName::JobsFailed, counters.jobs_failed);
    values.set(MetricName::JobsUnknown, counters.jobs_unknown);
    values.set(MetricName::JobsJoined, counters.jobs_joined);
    for reason in NotRunReason::ALL {
        values.set(rejection_name(reason), counters.rejections.of(reason));
    }
}

fn set_tasks(values: &mut MetricValues, counters: &EngineCounters, view: &EngineView) {
    let targets = || view.targets.iter();
    let owned = targets().map(|target| u64::from(target.share)).sum::<u64>();
    let used = targets()
        .map(|target| u64::from(target.running))
        .sum::<u64>();
    let ejected = targets().filter(|target| target.health != HealthState::Healthy);
    values.set(MetricName::TasksQueued, view.queued_tasks);
    values.set(MetricName::TasksRunning, view.running_tasks);
    values.set(MetricName::SlotsOwned, owned);
    values.set(MetricName::SlotsUsed, used);
    values.set(MetricName::TargetsEjected, ejected.count());
    values.set(MetricName::Starts, counters.starts);
    values.set(MetricName::Retries, counters.retries);
    values.set(MetricName::LateAnswers, counters.late_answers);
    values.set(MetricName::Uncertain, counters.uncertain);
    values.set(MetricName::Throttled, counters.throttled);
}

fn set_requests(values: &mut MetricValues, counts: &LoopCounts) {
    values.set(MetricName::Checks, counts.checks);
    values.set(MetricName::Stops, counts.stops);
    values.set(MetricName::Throttles, counts.throttles);
    values.set(MetricName::Ejections, counts.ejections);
    for reason in RefusalReason::ALL {
        values.set(refusal_name(reason), counts.refusals(reason));
    }
}

fn rejection_name(reason: NotRunReason) -> MetricName {
    match reason {
        NotRunReason::NoCapableTarget => MetricName::RejectedNoTarget,
        NotRunReason::UnknownService => MetricName::RejectedService,
        NotRunReason::UnknownTeam => MetricName::RejectedTeam,
        NotRunReason::DeadlineUnreachable => MetricName::RejectedDeadline,
        NotRunReason::QuotaExceeded => MetricName::RejectedQuota,
        NotRunReason::QueueFull => MetricName::RejectedQueue,
        NotRunReason::Draining => MetricName::RejectedDraining,
        NotRunReason::Cancelled => MetricName::RejectedCancelled,
        NotRunReason::JobFailed => MetricName::RejectedJobFailed,
    }
}

fn refusal_name(reason: RefusalReason) -> MetricName {
    match reason {
        RefusalReason::Busy => MetricName::RefusedBusy,
        RefusalReason::Leaving => MetricName::RefusedLeaving,
        RefusalReason::UnknownKind => MetricName::RefusedKind,
        RefusalReason::Fenced => MetricName::RefusedFenced,
        RefusalReason::Expired => MetricName::RefusedExpired,
    }
}
