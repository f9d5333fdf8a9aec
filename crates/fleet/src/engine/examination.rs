//! When the clients of this VM were last known to wait for their answers.
//!
//! The event that a client has left may come late or never, because it takes another way than the
//! messages of this VM. Whatever lets a run go on therefore needs an examination of the clients'
//! connections that was made after the event which causes it: an envelope, which extends the leases at the
//! holders and is a sign of life for the receivers of forwarded jobs, a forwarded job, a new run, and the
//! answer to a new holder. The leases of this VM's own targets follow the time of the latest examination.

use std::time::Duration;

use filbertpitch_dispatch::job::CallerToken;
use filbertpitch_types::fleet::FleetMessage;
use filbertpitch_types::prelude::*;

use super::{FleetAction, FleetEngine};
use crate::job_routing::ForwardingEnd;

/// The age of an examination from which polls need a new one. The leases of this VM's own runs are then
/// counted from 1.1 s or more ahead, which permits a whole lease of 1 s on a slow clock (1,020.5 ms).
const MAX_EXAMINATION_AGE: Duration = Duration::from_millis(100);

/// Asks the process to examine the connections of its clients.
#[derive(Debug)]
#[must_use]
pub struct ExaminationRequest {
    requested_at: TimePoint,
    /// The number of the latest event.
    event: u64,
}

impl ExaminationRequest {
    /// Completes the examination with what a system call has found that was made after the request.
    pub fn complete(self, ended: EndedClients) -> ClientExamination {
        ClientExamination {
            request: self,
            ended,
        }
    }
}

/// The clients whose connections have ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndedClients {
    /// The callers, which may be other VMs that have forwarded a job.
    pub callers: Vec<CallerToken>,
    /// The forwarded jobs for which no client waits any more.
    pub exchanges: Vec<JobId>,
}

/// An examination of the connections of all clients with unanswered jobs.
#[derive(Debug)]
pub struct ClientExamination {
    request: ExaminationRequest,
    ended: EndedClients,
}

impl ClientExamination {
    /// Whether no client waits for a forwarded job any more.
    pub(super) fn has_ended(&self, job: JobId) -> bool {
        self.ended.exchanges.contains(&job)
    }
}

impl FleetEngine {
    /// Asks for an examination if the engine cannot go on without one: an envelope or a new run is due, a
    /// new holder waits for an answer, or the latest examination is too old for polls.
    pub fn request_examination(&mut self) -> Option<ExaminationRequest> {
        let needed = self.lacks_examination()
            && (self.is_examination_old()
                || !self.inbox.is_empty()
                || self.is_placement_held_back()
                || self.has_due_envelopes());
        needed.then(|| self.new_examination())
    }

    pub(super) fn new_examination(&self) -> ExaminationRequest {
        ExaminationRequest {
            requested_at: self.now(),
            event: self.event,
        }
    }

    /// Removes the clients that have left, and goes on with what has waited for the examination.
    pub(super) fn apply_examination(&mut self, examination: ClientExamination) {
        self.counters.examinations += 1;
        for caller in examination.ended.callers {
            self.remove_caller(caller);
        }
        for job in examination.ended.exchanges {
            self.finish_forwarding(job, ForwardingEnd::Abandoned);
            self.actions.push(FleetAction::EndForwarding(job));
        }
        // The withdrawn runs are stopped before any lease is renewed, so that they keep the limits which
        // the former examination gives.
        self.examined_at = self.examined_at.max(examination.request.requested_at);
        self.examined_event = self.examined_event.max(examination.request.event);
        self.process_pending();
    }

    /// Whether a client may have left before the present event without this VM having looked.
    pub(super) fn lacks_examination(&self) -> bool {
        let has_clients = !self.jobs.is_empty() || self.router.exchanges().next().is_some();
        has_clients && self.examined_event < self.event
    }

    /// Whether polls must wait for an examination.
    pub(super) fn is_examination_old(&self) -> bool {
        let age = self.now().since(self.examined_at);
        self.lacks_examination() && age > MAX_EXAMINATION_AGE
    }

    /// Whether waiting tasks are to be placed once the clients were examined.
    pub(super) fn is_placement_held_back(&self) -> bool {
        self.placement_due && self.jobs.waiting_len() > 0 && self.lacks_examination()
    }

    /// Whether a message must wait for an examination: an offer may be used for a new run, and the answer to
    /// a new holder counts like a request for one.
    pub(super) fn is_held_back(&self, message: &FleetMessage) -> bool {
        let permits_runs = matches!(
            message,
            FleetMessage::Inquire { .. } | FleetMessage::Offer { .. }
        );
        permits_runs && self.lacks_examination()
    }
}
