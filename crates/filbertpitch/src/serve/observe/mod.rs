//! What happens in the loop, as log events, counters and spans.

mod counts;
mod follower;
mod notices;
mod tick;
mod values;
mod watch;

use std::cell::{Cell, RefCell};
use std::time::Duration;

use filbertpitch_dispatch::engine::{DispatchEngine, EngineAction, EngineEvent, StateCommand};
use filbertpitch_types::caller::JobAnswer;
use filbertpitch_types::prelude::*;
use slog::b;

use super::traffic::ControlTraffic;
use crate::events::{EventLog, LogEvent};
use crate::metrics::DelayWindow;
use crate::settings::SampleRatio;
use crate::traces::TraceRecorder;

pub use self::counts::LoopCounts;
pub(in crate::serve) use self::notices::describe_ejection;
pub use self::watch::{OverloadChange, OverloadWatch, PeerChange, PeerWatch, SeenPeer};

/// Observes one entry VM.
pub struct NodeObserver {
    /// The log events.
    pub log: EventLog,
    /// The spans.
    pub traces: TraceRecorder,
    /// The bytes of heartbeats, log and VM list.
    pub traffic: ControlTraffic,
    counts: Cell<LoopCounts>,
    queue_delays: RefCell<DelayWindow>,
    response_times: RefCell<DelayWindow>,
    log_reachable: Cell<bool>,
    list_reachable: Cell<bool>,
    has_configuration: Cell<bool>,
}

impl NodeObserver {
    /// An observer that has seen nothing.
    pub fn new(log: EventLog, sampling: SampleRatio, trace_bytes: ByteSize) -> Self {
        Self {
            log,
            traces: TraceRecorder::new(sampling, trace_bytes),
            traffic: ControlTraffic::default(),
            counts: Cell::default(),
            queue_delays: RefCell::default(),
            response_times: RefCell::default(),
            log_reachable: Cell::new(true),
            list_reachable: Cell::new(true),
            has_configuration: Cell::new(false),
        }
    }

    /// Counts since the start of the process.
    pub fn counts(&self) -> LoopCounts {
        self.counts.get()
    }

    /// Notes an event that the engine is about to handle.
    pub(super) fn see_event(&self, event: &EngineEvent) {
        if let EngineEvent::StartAnswered { answer, .. } = event {
            self.update_counts(|counts| counts.add_verdict(&answer.verdict));
        }
    }

    /// Notes an action of the engine. `check_answered` says whether it follows from the answer to
    /// a check.
    pub(super) fn see_action(
        &self,
        action: &EngineAction,
        check_answered: bool,
        engine: &DispatchEngine,
        now: TimePoint,
    ) {
        match action {
            EngineAction::Start { queued_for, .. } => {
                self.queue_delays.borrow_mut().record(*queued_for);
            }
            EngineAction::Check { .. } => {
                self.update_counts(|counts| counts.add_request(StateCommand::Check));
            }
            EngineAction::Control { command, .. } => {
                self.update_counts(|counts| counts.add_request(*command));
            }
            // The check reached the target, which had ended the attempt, over a new connection.
            EngineAction::CloseConnection { attempt } if check_answered => {
                let attempt = attempt.to_string();
                self.log
                    .record(LogEvent::ConnectionStalled, b!("attempt" => &attempt));
            }
            EngineAction::Trace(trace) => {
                let target = engine.catalog().target_name(trace.target);
                self.traces.record_attempt(trace, target, now);
            }
            EngineAction::Notice(notice) => self.see_notice(notice, engine, now),
            EngineAction::Reply { .. } | EngineAction::CloseConnection { .. } => {}
        }
    }

    /// Notes how long a submission waited for its answer.
    pub(super) fn see_response(&self, elapsed: Duration) {
        self.response_times.borrow_mut().record(elapsed);
    }

    /// Notes an answer to a caller.
    pub(super) fn see_answer(&self, answer: &JobAnswer) {
        let refused = matches!(
            answer.unknown,
            Some(UnknownReason::Expired | UnknownReason::OwnerGone)
        );
        if let (true, Some(reason)) = (refused, answer.unknown) {
            let (submission, reason) = (answer.submission.to_string(), reason.to_string());
            self.log.record(
                LogEvent::SubmissionRefused,
                b!("submission" => &submission, "reason" => &reason),
            );
        }
    }

    /// Notes whether the log answered.
    pub(super) fn see_log(&self, reachable: bool) {
        if self.log_reachable.replace(reachable) != reachable {
            let event = match reachable {
                true => LogEvent::LogReachable,
                false => LogEvent::LogUnreachable,
            };
            self.log.record(event, b!());
        }
    }

    /// Notes whether the VM list could be read.
    pub(super) fn see_list(&self, reachable: bool) {
        if self.list_reachable.replace(reachable) != reachable {
            let event = match reachable {
                true => LogEvent::ListReachable,
                false => LogEvent::ListUnreachable,
            };
            self.log.record(event, b!());
        }
    }

    fn update_counts<F>(&self, change: F)
    where
        F: FnOnce(&mut LoopCounts),
    {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }
}
