//! The messages of all protocols, as values instead of HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use filbertpitch_dispatch::engine::StateCommand;
use filbertpitch_dispatch::entity::TargetIndex;
use filbertpitch_types::caller::JobAnswer;
use filbertpitch_types::peer::{
    ForwardAnswer, ForwardCommand, ForwardRequest, HandoverNotice, HandoverRequest, PeerHeartbeat,
    RecordTransfer, StateTransfer,
};
use filbertpitch_types::platform::{ReadAnswer, VmList};
use filbertpitch_types::prelude::*;
use filbertpitch_types::target::{
    AttemptsRequest, CheckRequest, StartAnswer, StartRequest, StateAnswer,
};

/// A process or service of the simulation. VMs are numbered by process, so a replaced VM has a new
/// number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    /// An entry VM process.
    Vm(usize),
    /// A target.
    Target(usize),
    /// The platform's log.
    Log,
    /// The platform's VM list.
    List,
    /// All clients together.
    Clients,
    /// All operators together.
    Operators,
}

/// A request and its answer, as the sender sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExchangeId(pub u64);

/// A request.
#[derive(Clone, Debug)]
pub enum Request {
    /// `POST /v1/tasks`
    Start(Box<StartRequest>),
    /// `POST /v1/check`
    Check(CheckRequest),
    /// `POST /v1/stop`
    Stop(AttemptsRequest),
    /// `POST /v1/throttle`
    Throttle(AttemptsRequest),
    /// `GET /v1/prefix`
    Prefix,
    /// A caller's request about a submission.
    Caller(Box<ForwardCommand>),
    /// `POST /peer/hello`
    Hello(PeerHeartbeat),
    /// `POST /peer/forward`
    Forward(Box<ForwardRequest>),
    /// `POST /peer/handover`
    Handover(HandoverRequest),
    /// `POST /peer/state`
    State,
    /// `POST /peer/records`
    Records(LogOffset),
    /// An append to a stream of the log.
    Append {
        /// The stream.
        stream: &'static str,
        /// The record.
        body: Box<str>,
    },
    /// A read of a stream of the log.
    Read {
        /// The stream.
        stream: &'static str,
        /// The first offset.
        from: LogOffset,
        /// The most records.
        limit: u32,
        /// How long to wait for records.
        wait: Duration,
    },
    /// `GET /v1/vms`
    List,
}

impl Request {
    /// A stable word for the trace.
    pub fn word(&self) -> &'static str {
        match self {
            Self::Start(_) => "start",
            Self::Check(_) => "check",
            Self::Stop(_) => "stop",
            Self::Throttle(_) => "throttle",
            Self::Prefix => "prefix",
            Self::Caller(command) => match **command {
                ForwardCommand::Submit(_) => "submit",
                ForwardCommand::Lookup(_) => "lookup",
                ForwardCommand::Cancel(_) => "cancel",
            },
            Self::Hello(_) => "hello",
            Self::Forward(_) => "forward",
            Self::Handover(_) => "handover",
            Self::State => "state",
            Self::Records(_) => "records",
            Self::Append { .. } => "append",
            Self::Read { .. } => "read",
            Self::List => "list",
        }
    }
}

/// An answer.
#[derive(Clone, Debug)]
pub enum Response {
    /// To a start.
    Start(Box<StartAnswer>),
    /// To a check, stop or throttle.
    States(Box<StateAnswer>),
    /// To a request for a prefix.
    Prefix(OwnerPrefix),
    /// To a caller.
    Caller(CallerAnswer),
    /// To a heartbeat.
    Hello(PeerHeartbeat),
    /// To a forwarded request.
    Forward(Box<ForwardAnswer>),
    /// To a handover.
    Taken,
    /// To a request for a state.
    State(Box<Option<StateTransfer>>),
    /// To a request for records.
    Records(Box<RecordTransfer>),
    /// To an append.
    Appended,
    /// To a read.
    Read(Box<ReadAnswer>),
    /// To a read of an offset that is no longer kept.
    Gone(Box<ReadAnswer>),
    /// To a read of the VM list.
    List(VmList),
    /// An error status.
    Unavailable,
}

/// What a caller may be told.
#[derive(Clone, Debug)]
pub enum CallerAnswer {
    /// 200 or 429 with a job's answer.
    Job(Box<JobAnswer>),
    /// 202
    Pending,
    /// 404
    NotFound,
    /// 409
    Conflict,
    /// 503 `not_ready`
    NotReady,
    /// 503 `log_unavailable`
    LogUnavailable,
    /// 504 `unreachable`
    Unreachable,
}

/// Why an exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether any byte of the request may have been sent.
    pub maybe_sent: bool,
}

/// Connections that are kept apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PoolKind {
    /// Starts at targets.
    Start,
    /// Checks, stops and throttles at targets.
    State,
    /// Everything else.
    Plain,
}

/// How a request is sent.
#[derive(Clone, Copy, Debug)]
pub struct SendOptions {
    /// The time for the whole exchange.
    pub timeout: Duration,
    /// Whether to open a new connection.
    pub fresh: bool,
    /// Which connections to use.
    pub pool: PoolKind,
    /// The most connections of the pool to one address.
    pub limit: usize,
}

/// What a VM does with an answer.
#[derive(Clone, Debug)]
pub enum VmCall {
    /// A start.
    Start {
        /// The target.
        target: TargetIndex,
        /// The attempt.
        attempt: AttemptId,
    },
    /// A check, stop or throttle.
    States {
        /// The target.
        target: TargetIndex,
        /// Which.
        command: StateCommand,
    },
    /// A heartbeat.
    Heartbeat(SocketAddr),
    /// The records that a peer has read and this VM has not.
    Records(SocketAddr),
    /// The configuration of a peer.
    State,
    /// The ticket stream.
    FollowTickets,
    /// The VM list.
    VmList,
    /// The handover stream.
    FollowHandovers,
    /// The claim stream.
    FollowClaims,
    /// An append to the claim stream.
    AppendClaims,
    /// A forwarded request.
    Forward(Box<ForwardCall>),
    /// A part of a handover.
    Handover,
    /// The announcement of a handover.
    Announce,
}

/// A caller's request that was forwarded.
#[derive(Clone, Debug)]
pub struct ForwardCall {
    /// Who waits for the answer.
    pub caller: ExchangeId,
    /// The only process that may start the submission.
    pub origin: IncarnationId,
    /// The process that was asked last.
    pub asked: IncarnationId,
    /// The request.
    pub command: ForwardCommand,
    /// How many owners may still be asked.
    pub hops: usize,
}

/// What is done with an answer.
#[derive(Clone, Debug)]
pub enum Call {
    /// By the VM that sent the request.
    Vm(VmCall),
    /// By a client.
    Client(ClientCall),
    /// By the operator who appended this ticket.
    Ticket(usize),
}

/// What a client does with an answer.
#[derive(Clone, Copy, Debug)]
pub enum ClientCall {
    /// A prefix for the next job of this client.
    Prefix {
        /// The client.
        client: usize,
    },
    /// An answer about a submission.
    Job {
        /// The job.
        job: usize,
        /// What was asked.
        question: Question,
    },
}

/// What a client asks about a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Question {
    /// Run it, and ask again if there is no answer.
    Submit,
    /// Run it; nobody minds if there is no answer.
    Duplicate,
    /// Cancel it.
    Cancel,
    /// Report its outcome.
    Lookup,
    /// Run it, after all faults have ended: there must be an answer.
    Final,
}

/// The notice that a handover ends with.
pub fn handover_notice(
    from: IncarnationId,
    to: IncarnationId,
    address: SocketAddr,
) -> HandoverNotice {
    HandoverNotice { from, to, address }
}
