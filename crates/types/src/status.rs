//! What an entry VM reports about itself to operators, as JSON.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::prelude::*;
use crate::units::DurationText;

/// The stage of an entry VM's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LifecycleState {
    /// It has not loaded a configuration yet.
    Starting,
    /// It takes new work.
    Ready,
    /// It finishes work in progress and takes no new work.
    Draining,
    /// It has handed over its outcomes and is about to exit.
    Stopped,
}

/// The configuration that a VM applies.
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

/// How a VM sees another entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerState {
    /// Its heartbeats arrive.
    Live,
    /// It has announced that it stops.
    Leaving,
    /// Its heartbeats do not arrive.
    Silent,
}

/// One other entry VM.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Its address.
    pub address: SocketAddr,
    /// Its incarnation, once it has responded.
    pub incarnation: Option<IncarnationId>,
    /// Its availability zone, once known.
    pub zone: Option<ZoneName>,
    /// How this VM sees it.
    pub state: PeerState,
    /// The time since its last heartbeat.
    #[serde_as(as = "Option<DurationText>")]
    pub heartbeat_age: Option<Duration>,
}

/// Whether a VM starts tasks on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// It gets tasks.
    Available,
    /// It gets no tasks because it is leaving.
    Leaving,
    /// It gets no tasks because it fails more often than its peers.
    Ejected,
    /// It gets one task at a time to find out whether it works again.
    Probing,
    /// It gets no tasks because it does not respond.
    Unreachable,
}

/// One target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Its name.
    pub target: TargetName,
    /// Whether it gets tasks.
    pub state: TargetState,
    /// Why it is not available.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<Box<str>>,
    /// Tasks that this VM runs on it.
    pub running: u16,
    /// Slots that belong to this VM.
    pub share: u16,
}

/// The queue of one team.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueStatus {
    /// The team.
    pub team: TeamName,
    /// Tasks waiting.
    pub depth: u32,
    /// The expected run time of these tasks together.
    #[serde_as(as = "DurationText")]
    pub work: Duration,
}

/// The answer to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmStatus {
    /// The process that answers.
    pub incarnation: IncarnationId,
    /// Its advertised address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The stage of its life.
    pub state: LifecycleState,
    /// The configuration that it applies.
    pub config: ConfigStatus,
    /// The other entry VMs.
    pub peers: Vec<PeerStatus>,
    /// The targets.
    pub targets: Vec<TargetStatus>,
    /// The queues, for teams that have tasks waiting.
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
