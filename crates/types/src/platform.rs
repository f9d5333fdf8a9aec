//! Messages of the platform's log service and VM list, as JSON.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The stream of change tickets and configuration snapshots.
pub const TICKET_STREAM: &str = "tickets";
/// The stream of claims of submission keys that have no owner prefix.
pub const CLAIM_STREAM: &str = "claims";
/// The stream of announcements that a VM has taken over the outcomes of a stopped one.
pub const HANDOVER_STREAM: &str = "handovers";

/// Appends one record to a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The content of the record.
    pub body: Box<str>,
}

/// The answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// The offset of the appended record.
    pub offset: LogOffset,
}

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// The position of the record in its stream.
    pub offset: LogOffset,
    /// When the log accepted it, by the log's clock.
    pub appended_at: WallTime,
    /// The content of the record.
    pub body: Box<str>,
}

/// The answer to a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadAnswer {
    /// The oldest offset that the log still retains.
    pub first: LogOffset,
    /// The offset that the next appended record will get.
    pub next: LogOffset,
    /// The current time of the log's clock.
    pub now: WallTime,
    /// How long the log retains records, in milliseconds.
    pub retention_ms: u64,
    /// The records from the requested offset on.
    pub records: Vec<LogRecord>,
}

/// The role of a listed VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// The VM runs filbertpitch.
    Entry,
    /// The VM runs tasks.
    Target,
}

/// The state of a listed VM, as the platform last saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is in use.
    Live,
    /// The platform will remove the VM soon.
    Leaving,
}

/// One VM of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The name of the VM; for a target VM, the name of the target.
    pub name: TargetName,
    /// The address on which the VM listens.
    pub address: SocketAddr,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// Whether the VM is an entry VM or a target.
    pub role: VmRole,
    /// The state of the VM as last seen by the platform.
    pub state: VmState,
}

/// The platform's list of VMs. The list may be out of date.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The VMs.
    pub vms: Vec<VmEntry>,
}
