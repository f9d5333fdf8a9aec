//! Messages between entry VMs, as MessagePack.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::caller::{JobAnswer, JobRequest};
use crate::platform::LogRecord;
use crate::prelude::*;

/// Says that the outcomes of a stopped incarnation are now kept by another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverNotice {
    /// The incarnation that stopped.
    pub from: IncarnationId,
    /// The incarnation that keeps its outcomes.
    pub to: IncarnationId,
    /// Where that incarnation listens.
    pub address: SocketAddr,
}

/// The state that entry VMs exchange once a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Who speaks.
    pub incarnation: IncarnationId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it takes new work.
    pub ready: bool,
    /// Whether it is stopping.
    pub leaving: bool,
    /// How far it has read the ticket stream: the next offset it needs.
    pub config_next: LogOffset,
    /// Handovers it knows of.
    pub handovers: Vec<HandoverNotice>,
}

/// Passes a resubmission on to its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardRequest {
    /// The incarnation that is expected to own the submission.
    pub owner: IncarnationId,
    /// The W3C `traceparent` of the forwarding hop, if the request is traced.
    pub traceparent: Option<Box<str>>,
    /// What is asked.
    pub command: ForwardCommand,
}

/// What a forwarded request asks of the owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardCommand {
    /// Run the job, or join the run that exists.
    Submit(JobRequest),
    /// Report the outcome without starting anything.
    Lookup(SubmissionId),
    /// Cancel the job.
    Cancel(SubmissionId),
}

impl ForwardCommand {
    /// The submission that it is about.
    pub fn submission(&self) -> &SubmissionId {
        match self {
            Self::Submit(request) => &request.submission,
            Self::Lookup(submission) | Self::Cancel(submission) => submission,
        }
    }
}

/// The owner's reply to a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardAnswer {
    /// The job's answer.
    Job(JobAnswer),
    /// The address now belongs to another incarnation, and no handover is known.
    OwnerGone {
        /// The incarnation that answers.
        incarnation: IncarnationId,
    },
    /// Another incarnation keeps the outcomes.
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
    /// Its finished jobs.
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
    /// The records in log order, or nothing if they are no longer kept here.
    pub records: Vec<LogRecord>,
}
