//! What goes into the engine and what comes out of it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_dispatch::entity::{KindIndex, TargetIndex, VmIndex};
use filbertpitch_dispatch::job::CallerToken;
use filbertpitch_types::fleet::{
    EnvelopeAck, FleetConfiguration, JobReply, JobSpec, PeerEnvelope, PeerObservation,
    RejectReason, TargetChange,
};
use filbertpitch_types::lease::{
    CallOptions, PollResult, RunRequest, StartAnswer, StopRequest, StopResult,
};
use filbertpitch_types::prelude::*;

use crate::held::{LookNumber, LookPlan};

/// Something that happened.
#[derive(Debug)]
pub enum FleetEvent {
    /// The operator's configuration was read.
    Configured(Rc<FleetConfiguration>),
    /// The list of targets has changed.
    TargetsChanged(Vec<TargetChange>),
    /// The list of targets has been read to its end for the first time.
    TargetsListed,
    /// Other entry VMs were found.
    PeersFound(Vec<PeerObservation>),
    /// Places were found where other entry VMs may listen.
    SeedsFound(Vec<SocketAddr>),
    /// An envelope was confirmed.
    EnvelopeConfirmed {
        /// The peer.
        peer: VmIndex,
        /// The confirmation.
        receipt: EnvelopeAck,
    },
    /// An envelope got no receipt.
    EnvelopeFailed {
        /// The peer.
        peer: VmIndex,
        /// Whether nothing listens there.
        refused: bool,
    },
    /// A client has sent a job.
    JobSubmitted {
        /// Identifies the request.
        caller: CallerToken,
        /// The queue.
        queue: KindIndex,
        /// The job.
        order: JobSpec,
        /// How long the client waits for the answer.
        patience: Duration,
    },
    /// A client does not wait for its answer any more.
    CallerLeft(CallerToken),
    /// A client has cancelled a job.
    JobCancelled(JobId),
    /// A target has answered a start order, or did not.
    StartAnswered {
        /// The target.
        target: TargetIndex,
        /// The token of the order.
        token: FencingToken,
        /// The run.
        run: RunName,
        /// The answer.
        answer: StartAnswer,
    },
    /// A target has answered a stop order, or did not.
    StopAnswered {
        /// The target.
        target: TargetIndex,
        /// The token of the order.
        token: FencingToken,
        /// The run.
        run: RunName,
        /// The answer.
        answer: StopResult,
    },
    /// A target has answered a look, or did not.
    LookAnswered {
        /// The target.
        target: TargetIndex,
        /// The token of the look.
        token: FencingToken,
        /// The look.
        number: LookNumber,
        /// The answer.
        answer: PollResult,
    },
    /// A target of another VM was asked whether it can be reached.
    ProbeAnswered {
        /// The target.
        target: TargetIndex,
        /// Whether it has answered.
        reached: bool,
    },
    /// The process is to stop.
    DrainStarted {
        /// When it will not wait any longer for its jobs.
        ends_at: TimePoint,
    },
    /// The process cannot wait any longer for its jobs.
    DrainExpired,
    /// A timer is due.
    TimeAdvanced,
}

/// Something to be done.
#[derive(Debug, PartialEq)]
pub enum FleetAction {
    /// Answer a client.
    Reply {
        /// Identifies the request.
        caller: CallerToken,
        /// The answer.
        reply: JobReply,
    },
    /// Send an envelope to a peer.
    SendEnvelope {
        /// The peer; nothing for a place where one may listen.
        peer: Option<VmIndex>,
        /// Where it listens.
        address: SocketAddr,
        /// The envelope.
        envelope: Box<PeerEnvelope>,
    },
    /// Send a start order.
    Start {
        /// The target.
        target: TargetIndex,
        /// Its name.
        name: TargetName,
        /// Where it takes orders.
        address: SocketAddr,
        /// The order.
        order: RunRequest,
        /// How it is sent.
        terms: CallOptions,
    },
    /// Send a stop order.
    Stop {
        /// The target.
        target: TargetIndex,
        /// Its name.
        name: TargetName,
        /// Where it takes orders.
        address: SocketAddr,
        /// The order.
        order: StopRequest,
        /// How it is sent.
        terms: CallOptions,
    },
    /// Send a look.
    Look {
        /// The target.
        target: TargetIndex,
        /// Its name.
        name: TargetName,
        /// Where it takes orders.
        address: SocketAddr,
        /// The look.
        plan: LookPlan,
    },
    /// Find out whether a target can be reached, without an effect on it.
    Probe {
        /// The target.
        target: TargetIndex,
        /// Its name.
        name: TargetName,
        /// Where it takes orders.
        address: SocketAddr,
    },
    /// Close the connections to a target that is not held any more.
    Disconnect(SocketAddr),
    /// Log something.
    Notice(FleetNotice),
}

/// A decision or a change of belief, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetNotice {
    /// A configuration is in force.
    ConfigurationApplied(ConfigVersion),
    /// A job was accepted.
    JobAccepted {
        /// The job.
        job: JobId,
        /// Its queue.
        queue: QueueName,
        /// Its tasks.
        tasks: usize,
        /// The time in which it should be answered.
        objective: Duration,
        /// How long its client waits.
        patience: Duration,
        /// The configuration in force.
        version: Option<ConfigVersion>,
    },
    /// A job was answered.
    JobAnswered {
        /// The job.
        job: JobId,
        /// The answer.
        reply: JobReply,
        /// How long it took.
        took: Duration,
        /// The time in which it should have been answered.
        objective: Duration,
    },
    /// A job was not accepted.
    JobRejected {
        /// The job.
        job: JobId,
        /// The queue.
        queue: QueueName,
        /// Why.
        reason: RejectReason,
        /// The expected wait for room.
        wait: Duration,
    },
    /// The client has left before the answer.
    JobAbandoned {
        /// The job.
        job: JobId,
        /// How long it waited.
        took: Duration,
    },
    /// A holder was asked to run a task.
    TaskPlaced {
        /// The run.
        run: RunName,
        /// The holder.
        holder: VmName,
        /// The target.
        target: TargetName,
        /// How long the task waited for room since the job arrived.
        waited: Duration,
    },
    /// A run has ended other than by being done.
    RunEnded {
        /// The run.
        run: RunName,
        /// Where.
        target: TargetName,
        /// How.
        end: RunEnd,
    },
    /// A holder did not run a task.
    PlaceRefused {
        /// The task.
        task: TaskName,
        /// The holder.
        holder: VmName,
        /// Why.
        refusal: filbertpitch_types::fleet::PlaceRefusal,
    },
    /// A target did not start a run.
    StartRefused {
        /// The run.
        run: RunName,
        /// The target.
        target: TargetName,
        /// Why, as a word.
        reason: &'static str,
    },
    /// This VM holds a target.
    TargetClaimed {
        /// The target.
        target: TargetName,
        /// The token.
        token: FencingToken,
        /// Runs of other holders that were found there.
        found_runs: usize,
    },
    /// This VM does not hold a target any more.
    TargetReleased {
        /// The target.
        target: TargetName,
        /// Why, as a word.
        reason: &'static str,
        /// The runs on it.
        runs: usize,
    },
    /// A target does not answer.
    TargetUnreachable {
        /// The target.
        target: TargetName,
        /// The runs on it.
        runs: usize,
    },
    /// A target answers again.
    TargetReachable(TargetName),
    /// A target has started anew.
    TargetReborn(TargetName),
    /// A target gets no work because its runs fail.
    TargetShunned(TargetName),
    /// A target is leaving or no longer listed.
    TargetUnlisted {
        /// The target.
        target: TargetName,
        /// Whether it is draining.
        draining: bool,
    },
    /// Another entry VM is heard.
    PeerLive(VmName),
    /// Another entry VM was given up.
    PeerLost {
        /// The VM.
        peer: VmName,
        /// How long nothing was heard of it.
        quiet: Duration,
        /// Whether nothing listens there.
        refused: bool,
    },
    /// How full the held targets are, once a second.
    LoadSampled {
        /// The targets that this VM holds.
        targets: usize,
        /// Their room.
        capacity: ResourceVector,
        /// What no run takes.
        free: ResourceVector,
        /// What of that may be used now.
        open: ResourceVector,
        /// The runs on them.
        runs: usize,
        /// The tasks of this VM's jobs that wait for room.
        waiting: usize,
    },
    /// This process was paused.
    Paused(Duration),
}
