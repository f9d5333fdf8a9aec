//! The inputs and outputs of the engine.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_dispatch::entity::{KindIndex, TargetIndex, VmIndex};
use filbertpitch_dispatch::job::CallerToken;
use filbertpitch_types::fleet::{
    ClientTimeout, EnvelopeAck, FleetConfiguration, JobReply, JobSpec, PeerEnvelope,
    PeerObservation, RejectReason, TargetChange, ZoneChange, ZoneRead,
};
use filbertpitch_types::lease::{
    CallOptions, PollResult, RunRequest, StartAnswer, StopRequest, StopResult,
};
use filbertpitch_types::prelude::*;

use crate::cancellation::{CancelOutcome, CancelToken};
use crate::held::{PollNumber, PollPlan};
use crate::job_routing::ForwardingEnd;
use crate::job_table::JobEstimate;
use crate::shedding::{DensityClass, DropReason};

/// An input of the engine.
#[derive(Debug)]
pub enum FleetEvent {
    /// A version of the operator's configuration was read.
    Configured(Rc<FleetConfiguration>),
    /// The operator's records of closed availability zones were read.
    ZonesRead(ZoneRead),
    /// Changes of the platform's list of targets.
    TargetsChanged(Vec<TargetChange>),
    /// The list of targets was read to its end; all changes were reported before.
    TargetsListed,
    /// Records of entry VMs were read from the platform's store.
    PeersFound(Vec<PeerObservation>),
    /// Addresses were found where other entry VMs may listen.
    SeedsFound(Vec<SocketAddr>),
    /// A peer has acknowledged an envelope.
    EnvelopeAcked {
        /// The peer that the envelope was sent to.
        peer: VmIndex,
        /// The envelope.
        number: EnvelopeNumber,
        /// The acknowledgement.
        ack: EnvelopeAck,
    },
    /// An envelope was not acknowledged.
    EnvelopeFailed {
        /// The peer that the envelope was sent to.
        peer: VmIndex,
        /// The envelope.
        number: EnvelopeNumber,
        /// Whether the connection was refused, so that no process listens there.
        refused: bool,
    },
    /// A client has submitted a job.
    JobSubmitted {
        /// Identifies the client's request.
        caller: CallerToken,
        /// The queue of the job.
        queue: KindIndex,
        /// The job.
        spec: JobSpec,
        /// How long the client waits for the answer.
        client_timeout: ClientTimeout,
    },
    /// Another VM has forwarded a job of one of its clients to this VM.
    JobReceived {
        /// The VM that has forwarded the job.
        origin: VmIndex,
        /// When the job was forwarded, on the clock of that VM.
        forwarded_at: TimePoint,
        /// Identifies the request of that VM.
        caller: CallerToken,
        /// The queue of the job.
        queue: KindIndex,
        /// The job.
        spec: JobSpec,
        /// How long the client waits for the answer.
        client_timeout: ClientTimeout,
    },
    /// The exchange in which a job was forwarded has ended.
    ForwardingEnded {
        /// The job.
        job: JobId,
        /// How the exchange has ended.
        end: ForwardingEnd,
    },
    /// A client has closed its connection and no longer waits for the answer.
    CallerDisconnected(CallerToken),
    /// A client cancels a job, whichever VM has it.
    CancelRequested {
        /// Identifies the client's request.
        token: CancelToken,
        /// The job.
        job: JobId,
    },
    /// The result of a start request, which may be a time-out or a failed connection.
    StartResult {
        /// The target.
        target: TargetIndex,
        /// The fencing token of the request.
        token: FencingToken,
        /// The run.
        run: RunName,
        /// The answer.
        answer: StartAnswer,
    },
    /// The result of a stop request, which may be a time-out or a failed connection.
    StopResult {
        /// The target.
        target: TargetIndex,
        /// The fencing token of the request.
        token: FencingToken,
        /// The run.
        run: RunName,
        /// The answer.
        answer: StopResult,
    },
    /// The result of a poll, which may be a time-out or a failed connection.
    PollResult {
        /// The target.
        target: TargetIndex,
        /// The fencing token of the poll.
        token: FencingToken,
        /// The poll.
        number: PollNumber,
        /// The answer.
        answer: PollResult,
    },
    /// The result of a probe of a target that this VM does not hold.
    ProbeResult {
        /// The target.
        target: TargetIndex,
        /// Whether the target has responded.
        reached: bool,
    },
    /// The process has begun to drain.
    DrainStarted {
        /// When the process stops waiting for its jobs.
        ends_at: TimePoint,
    },
    /// The process stops waiting for its jobs; those that are not finished are answered.
    DrainExpired,
    /// Time has passed; due work is done.
    TimeAdvanced,
}

/// An output of the engine, to be carried out by the process.
#[derive(Debug, PartialEq)]
pub enum FleetAction {
    /// Answer a client.
    Reply {
        /// Identifies the client's request.
        caller: CallerToken,
        /// The answer.
        reply: JobReply,
    },
    /// Answer the cancel of a client.
    AnswerCancel {
        /// Identifies the client's request.
        token: CancelToken,
        /// The answer.
        outcome: CancelOutcome,
    },
    /// Send an envelope to a peer.
    SendEnvelope {
        /// The peer and the number of the envelope; `None` for a seed address where one may listen.
        peer: Option<(VmIndex, EnvelopeNumber)>,
        /// The address to send to.
        address: SocketAddr,
        /// The envelope.
        envelope: Box<PeerEnvelope>,
    },
    /// Send a start request to a target.
    Start {
        /// The target.
        target: TargetIndex,
        /// The target's name.
        name: TargetName,
        /// The address at which the target takes requests.
        address: SocketAddr,
        /// The request.
        request: RunRequest,
        /// The timeout and the connection to use.
        options: CallOptions,
    },
    /// Send a stop request to a target.
    Stop {
        /// The target.
        target: TargetIndex,
        /// The target's name.
        name: TargetName,
        /// The address at which the target takes requests.
        address: SocketAddr,
        /// The request.
        request: StopRequest,
        /// The timeout and the connection to use.
        options: CallOptions,
    },
    /// Poll a target.
    Poll {
        /// The target.
        target: TargetIndex,
        /// The target's name.
        name: TargetName,
        /// The address at which the target takes requests.
        address: SocketAddr,
        /// The poll.
        plan: PollPlan,
    },
    /// Check whether a target can be reached, without an effect on it.
    Probe {
        /// The target.
        target: TargetIndex,
        /// The target's name.
        name: TargetName,
        /// The address at which the target takes requests.
        address: SocketAddr,
    },
    /// End the exchange in which a job was forwarded: its outcome is unknown.
    EndForwarding(JobId),
    /// Close the connections to a target that is no longer held.
    Disconnect(SocketAddr),
    /// Log a notice.
    Notice(FleetNotice),
}

/// Where a VM has learned that a zone was closed or opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneSource {
    /// The platform's store.
    Store,
    /// An envelope of a peer.
    Peer(VmName),
}

/// A decision or a state change of the engine that is logged.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetNotice {
    /// A configuration is in force.
    ConfigurationApplied(ConfigVersion),
    /// A job was accepted.
    JobAccepted {
        /// The job.
        job: JobId,
        /// The queue of the job.
        queue: QueueName,
        /// The number of its tasks.
        tasks: usize,
        /// What was expected of the job.
        estimate: JobEstimate,
        /// How long the client waits for the answer.
        client_timeout: Duration,
        /// The version of the configuration in force.
        version: Option<ConfigVersion>,
    },
    /// A job was answered.
    JobAnswered {
        /// The job.
        job: JobId,
        /// The answer.
        reply: JobReply,
        /// The time from arrival to answer.
        took: Duration,
        /// The target time from arrival to answer.
        objective: Duration,
    },
    /// A job was rejected by admission control.
    JobRejected {
        /// The job.
        job: JobId,
        /// The queue of the job.
        queue: QueueName,
        /// The reason of the rejection.
        reason: RejectReason,
        /// The time by which the load exceeds what the job's objective permits.
        wait: Duration,
        /// What was expected of the job; zero if the reason was known before.
        estimate: JobEstimate,
    },
    /// An accepted job was dropped before any of its tasks was started.
    JobShed {
        /// The job.
        job: JobId,
        /// The queue of the job.
        queue: QueueName,
        /// The cost class of the job: its priority, and the density class of its work.
        priority: u8,
        /// The density class; 0 is the densest.
        density: DensityClass,
        /// The expected work, in core-milliseconds.
        work: u64,
        /// Why the job was dropped.
        reason: DropReason,
        /// The time from the arrival of the job.
        waited: Duration,
    },
    /// The last client of a job disconnected before the answer.
    JobAbandoned {
        /// The job.
        job: JobId,
        /// The time from the job's arrival to its removal.
        took: Duration,
        /// An upper bound of the time from the disconnection to the removal: the connection was known to be
        /// open, or the job has arrived, so long before.
        noticed_within: Duration,
    },
    /// A job of a client of this VM was forwarded to another VM.
    JobForwarded {
        /// The job.
        job: JobId,
        /// The VM that coordinates the job.
        receiver: VmName,
        /// How late this VM handles its timers.
        lateness: Duration,
    },
    /// A forwarded job has got no answer from its receiver.
    ForwardingFailed {
        /// The job.
        job: JobId,
        /// The VM that was to coordinate the job.
        receiver: VmName,
        /// How the exchange has ended.
        end: ForwardingEnd,
    },
    /// A holder was asked to run a task.
    TaskPlaced {
        /// The run.
        run: RunName,
        /// The holder.
        holder: VmName,
        /// The target.
        target: TargetName,
        /// The time from the arrival of the job to the request.
        waited: Duration,
    },
    /// A run has ended without success.
    RunEnded {
        /// The run.
        run: RunName,
        /// The target that it ran on.
        target: TargetName,
        /// How it ended.
        end: RunEnd,
    },
    /// A target has a run that had counted as over, without a statement of the target.
    RunOutlived {
        /// The run.
        run: RunName,
        /// The target.
        target: TargetName,
        /// The time since the run counts as over.
        over_for: Duration,
    },
    /// A target runs two runs of one task; this one is stopped.
    DuplicateRun {
        /// The run that is not in the ledger.
        run: RunName,
        /// The target.
        target: TargetName,
    },
    /// The coordinator does not know whether a run goes on, and counts it as over after a while.
    RunOrphaned {
        /// The run.
        run: RunName,
        /// The holder of the target.
        holder: VmName,
        /// The target.
        target: TargetName,
        /// The reason, as it is logged.
        reason: &'static str,
        /// After which time the run counts as over.
        over_in: Duration,
    },
    /// The coordinator counts another VM as the holder of a run.
    RunReassigned {
        /// The run.
        run: RunName,
        /// The target.
        target: TargetName,
        /// The former holder.
        former: VmName,
        /// The new holder.
        holder: VmName,
    },
    /// A holder has refused a task or could not start it.
    PlaceRefused {
        /// The task.
        task: TaskName,
        /// The holder.
        holder: VmName,
        /// The reason of the refusal.
        refusal: filbertpitch_types::fleet::PlaceRefusal,
    },
    /// A target has refused to start a run.
    StartRefused {
        /// The run.
        run: RunName,
        /// The target.
        target: TargetName,
        /// The reason, as it is logged.
        reason: &'static str,
    },
    /// A target has confirmed this VM as its holder.
    TargetClaimed {
        /// The target.
        target: TargetName,
        /// The fencing token of the claim.
        token: FencingToken,
        /// The number of runs of former holders that were found on the target.
        found_runs: usize,
    },
    /// This VM has stopped holding a target.
    TargetReleased {
        /// The target.
        target: TargetName,
        /// The reason, as it is logged.
        reason: &'static str,
        /// The number of runs on the target.
        runs: usize,
    },
    /// A held target has stopped responding.
    TargetUnreachable {
        /// The target.
        target: TargetName,
        /// The number of runs on the target.
        runs: usize,
    },
    /// A held target has crashed while it had runs, or seems to have crashed.
    TargetCrashed {
        /// The target.
        target: TargetName,
        /// The number of runs on the target.
        runs: usize,
    },
    /// A crash of a target was recorded for a task of a job of this VM.
    TaskSuspected {
        /// The task.
        task: TaskName,
        /// The target that has crashed.
        target: TargetName,
        /// The number of crashes recorded for the task.
        crashes: usize,
        /// Whether the task is given up as their cause.
        given_up: bool,
    },
    /// A held target responds again.
    TargetReachable(TargetName),
    /// A held target has restarted.
    TargetRestarted(TargetName),
    /// A held target gets no tasks for now, because its runs failed repeatedly.
    TargetEjected(TargetName),
    /// A target is draining or no longer listed.
    TargetUnlisted {
        /// The target.
        target: TargetName,
        /// Whether the target is draining.
        draining: bool,
    },
    /// An availability zone was closed or opened by the operator.
    ZoneChanged {
        /// The change.
        change: ZoneChange,
        /// Where this VM has learned of it.
        source: ZoneSource,
        /// The time since the first VM has read the operator's record.
        age: Duration,
    },
    /// A peer is heard for the first time or again.
    PeerLive(VmName),
    /// A peer was marked as lost.
    PeerLost {
        /// The VM.
        peer: VmName,
        /// How long nothing was heard of the peer.
        silence: Duration,
        /// Whether the connection was refused, so that no process listens there.
        refused: bool,
    },
    /// The periodic sample of the load of the held targets.
    LoadSampled {
        /// The number of targets that this VM holds.
        targets: usize,
        /// Their total capacity.
        capacity: ResourceVector,
        /// The capacity that no run uses.
        free: ResourceVector,
        /// The part of the free capacity that new tasks may use now.
        open: ResourceVector,
        /// The number of runs on these targets.
        runs: usize,
        /// The number of tasks of this VM's jobs that wait for capacity.
        waiting: usize,
        /// The number of closed availability zones.
        closed_zones: usize,
    },
    /// The speed of a kind of targets is known for the first time, or has changed by a quarter.
    KindSpeedLearned {
        /// The kind.
        kind: Box<str>,
        /// The factor on run times; 1 is the mean speed.
        factor: f64,
        /// The weight of the estimate, in runs.
        weight: f64,
    },
    /// A peer has reported a smaller capacity of a target, while this VM cannot read the list.
    CapacityLearned {
        /// The target.
        target: TargetName,
        /// The peer.
        peer: VmName,
        /// The capacity of which this VM uses no more from now on.
        capacity: ResourceVector,
        /// How long before its answer the peer has read the list.
        age: Duration,
    },
    /// The process was not scheduled for this long.
    ProcessPaused(Duration),
}
