//! The regular look at the node: changes of peers and load, left-out lines, and metrics.

use std::rc::Rc;

use filbertpitch_dispatch::engine::{DispatchEngine, EngineCounters};
use filbertpitch_types::prelude::*;
use slog::b;

use super::{OverloadChange, OverloadWatch, PeerChange, PeerWatch};
use crate::events::{EventLog, LogEvent};
use crate::metrics::{MetricsReporter, ReportError};
use crate::serve::node::EntryNode;

/// What the last look saw.
#[derive(Default)]
struct LastLook {
    peers: PeerWatch,
    overload: OverloadWatch,
    shortened_epochs: u64,
    metrics_failing: bool,
}

impl EntryNode {
    /// Looks at the node at the interval of the metrics. Runs forever.
    pub(in crate::serve) async fn run_observation(self: Rc<Self>) {
        let mut last = LastLook::default();
        let mut reporter = self.metrics_reporter();
        loop {
            monoio::time::sleep(self.settings().metrics_interval).await;
            self.look(&mut last);
            if let Some(reporter) = &mut reporter {
                let result = reporter.report(&self.metric_values());
                self.note_report(&mut last, result);
            }
        }
    }

    fn look(&self, last: &mut LastLook) {
        let log = &self.observer().log;
        for change in last.peers.look(&self.peer_statuses()) {
            record_peer(log, change);
        }
        let (counters, shortened) = self.driver().inspect(|engine: &DispatchEngine| {
            let submissions = engine.submissions();
            (engine.counters(), submissions.evictions())
        });
        match last.overload.look(overload_rejections(&counters)) {
            Some(OverloadChange::Started) => log.record(LogEvent::OverloadStarted, b!()),
            Some(OverloadChange::Ended) => log.record(LogEvent::OverloadEnded, b!()),
            None => {}
        }
        if shortened > last.shortened_epochs {
            let epochs = shortened - last.shortened_epochs;
            log.record(LogEvent::OutcomesDiscarded, b!("epochs" => epochs));
        }
        last.shortened_epochs = shortened;
        log.report_suppressed();
    }

    fn metrics_reporter(&self) -> Option<MetricsReporter> {
        let address = self.settings().metrics?;
        match MetricsReporter::new(address, self.settings().advertise) {
            Ok(reporter) => Some(reporter),
            Err(error) => {
                record_failure(&self.observer().log, &error);
                None
            }
        }
    }

    fn note_report(&self, last: &mut LastLook, result: Result<(), ReportError>) {
        match result {
            Ok(()) => last.metrics_failing = false,
            Err(error) => {
                if !std::mem::replace(&mut last.metrics_failing, true) {
                    record_failure(&self.observer().log, &error);
                }
            }
        }
    }
}

/// The jobs that were rejected because there was too much work. A full quota is a limit of one
/// team and says nothing about the VM.
fn overload_rejections(counters: &EngineCounters) -> u64 {
    let reasons = [NotRunReason::QueueFull, NotRunReason::DeadlineUnreachable];
    let counts = reasons.map(|reason| counters.rejections.of(reason));
    counts.iter().sum()
}

fn record_peer(log: &EventLog, change: PeerChange) {
    let (event, address) = match change {
        PeerChange::Live(address) => (LogEvent::PeerLive, address),
        PeerChange::Silent(address) => (LogEvent::PeerSilent, address),
        PeerChange::Leaving(address) => (LogEvent::PeerLeaving, address),
        PeerChange::Replaced(address) => (LogEvent::PeerReplaced, address),
    };
    let address = address.to_string();
    log.record(event, b!("peer" => &address));
}

fn record_failure(log: &EventLog, error: &ReportError) {
    let error = error.to_string();
    log.record(LogEvent::MetricsFailed, b!("error" => &error));
}
