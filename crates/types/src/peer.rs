//! Messages between entry VMs, as MessagePack.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::caller::{JobAnswer, JobRequest};
use crate::platform::LogRecord;
use crate::prelude::*;

/// States that another incarnation now stores the outcomes of a stopped one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverNotice {
    /// The incarnation that stopped.
    pub from: IncarnationId,
    /// The incarnation that stores its outcomes.
    pub to: IncarnationId,
    /// The address on which that incarnation listens.
    pub address: SocketAddr,
}

/// The state that entry VMs exchange once a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// The incarnation of the sender.
    pub incarnation: IncarnationId,
    /// The address on which the sender listens.
    pub address: SocketAddr,
    /// The availability zone of the sender.
    pub zone: ZoneName,
    /// Whether the sender accepts new jobs.
    pub ready: bool,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// The next offset of the ticket stream that the sender needs.
    pub config_next: LogOffset,
    /// The handovers that the sender knows of.
    pub handovers: Vec<HandoverNotice>,
}

/// Forwards a request about a submission to the owner of the submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardRequest {
    /// The incarnation that is expected to own the submission.
    pub owner: IncarnationId,
    /// The W3C `traceparent` of the forwarding hop, if the request is traced.
    pub traceparent: Option<Box<str>>,
    /// The forwarded operation.
    pub command: ForwardCommand,
}

/// The operation that a forwarded request asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardCommand {
    /// Run the job, or attach to the job if it is already running.
    Submit(JobRequest),
    /// Report the outcome without starting anything.
    Lookup(SubmissionId),
    /// Cancel the job.
    Cancel(SubmissionId),
}

impl ForwardCommand {
    /// The submission that the command concerns.
    pub fn submission(&self) -> &SubmissionId {
        match self {
            Self::Submit(request) => &request.submission,
            Self::Lookup(submission) | Self::Cancel(submission) => submission,
        }
    }
}

/// The answer to a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardAnswer {
    /// The job's answer.
    Job(JobAnswer),
    /// The address now belongs to another incarnation, and no handover is known.
    OwnerGone {
        /// The incarnation that now has the address.
        incarnation: IncarnationId,
    },
    /// Another incarnation stores the outcomes.
    HandedOver(HandoverNotice),
    /// The submission is not known and was not started.
    NotFound,
    /// The job is running (answer to a lookup).
    Pending,
    /// The submission was used before for a different job.
    Conflict,
}

/// The finished outcomes of a stopping incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverRequest {
    /// The stopping incarnation.
    pub from: IncarnationId,
    /// The answers of its finished jobs.
    pub answers: Vec<JobAnswer>,
    /// Whether this is the last part.
    pub last: bool,
}

/// The configuration for a VM that cannot read the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateTransfer {
    /// The offset after the last record in `snapshot`.
    pub next: LogOffset,
    /// A configuration snapshot in the format of the ticket stream.
    pub snapshot: Box<str>,
}

/// Ticket records that a lagging VM has not read yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordTransfer {
    /// The records in log order; empty if the sender no longer keeps them.
    pub records: Vec<LogRecord>,
}
