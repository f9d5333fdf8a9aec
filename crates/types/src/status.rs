//! The status report of an entry VM for operators, as JSON.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::prelude::*;
use crate::units::DurationText;

/// The lifecycle state of an entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LifecycleState {
    /// The VM has not loaded a configuration yet.
    Starting,
    /// The VM accepts new jobs.
    Ready,
    /// The VM finishes jobs in progress and accepts no new ones.
    Draining,
    /// The VM has handed over its outcomes and is about to exit.
    Stopped,
}

/// The configuration in force on a VM.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// The highest ticket number in force.
    pub ticket: Option<TicketNumber>,
    /// The offset of the ticket stream that the VM reads next.
    pub next: LogOffset,
    /// The time since the log was last read successfully.
    #[serde_as(as = "Option<DurationText>")]
    pub log_age: Option<Duration>,
}

/// The state of another entry VM as seen by the reporting VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerState {
    /// The heartbeats of the peer arrive.
    Live,
    /// The peer has announced that it is shutting down.
    Leaving,
    /// The heartbeats of the peer do not arrive.
    Silent,
}

/// The status of one other entry VM.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The address of the peer.
    pub address: SocketAddr,
    /// The incarnation of the peer, once it has responded.
    pub incarnation: Option<IncarnationId>,
    /// The availability zone of the peer, once known.
    pub zone: Option<ZoneName>,
    /// The state of the peer as seen by this VM.
    pub state: PeerState,
    /// The time since the last heartbeat of the peer.
    #[serde_as(as = "Option<DurationText>")]
    pub heartbeat_age: Option<Duration>,
}

/// Whether a VM starts tasks on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// The target gets tasks.
    Available,
    /// The target gets no tasks because it is shutting down.
    Leaving,
    /// The target gets no tasks because it fails more often than other targets.
    Ejected,
    /// The target gets one task at a time, as a probe of whether it works again.
    Probing,
    /// The target gets no tasks because it does not respond.
    Unreachable,
}

/// The status of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The name of the target.
    pub target: TargetName,
    /// Whether the target gets tasks.
    pub state: TargetState,
    /// Why the target is not available.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<Box<str>>,
    /// The number of tasks that this VM runs on the target.
    pub running: u16,
    /// The number of slots of the target that are allocated to this VM.
    pub share: u16,
}

/// The status of the queue of one team.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueStatus {
    /// The team.
    pub team: TeamName,
    /// The number of queued tasks.
    pub depth: u32,
    /// The total expected run time of the queued tasks.
    #[serde_as(as = "DurationText")]
    pub work: Duration,
}

/// The answer to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmStatus {
    /// The incarnation of the process that responds.
    pub incarnation: IncarnationId,
    /// The advertised address of the VM.
    pub address: SocketAddr,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The lifecycle state of the VM.
    pub state: LifecycleState,
    /// The configuration in force on the VM.
    pub config: ConfigStatus,
    /// The other entry VMs.
    pub peers: Vec<PeerStatus>,
    /// The targets.
    pub targets: Vec<TargetStatus>,
    /// The queues of the teams that have queued tasks.
    pub queues: Vec<QueueStatus>,
    /// Counters since the process started.
    pub counters: BTreeMap<Box<str>, u64>,
}

macro_rules! display_as_serialized {
    ($($name:ident),+) => {$(
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.serialize(f)
            }
        }
    )+};
}

display_as_serialized!(LifecycleState, PeerState, TargetState);
