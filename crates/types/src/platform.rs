//! Messages of the platform's log service and VM list, as JSON.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The stream of change tickets and configuration snapshots.
pub const TICKET_STREAM: &str = "tickets";
/// The stream of claims of bare submission keys.
pub const CLAIM_STREAM: &str = "claims";
/// The stream that announces which VM took over the outcomes of a stopped one.
pub const HANDOVER_STREAM: &str = "handovers";

/// Appends one record to a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The record's content.
    pub body: Box<str>,
}

/// The answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// Where the record was placed.
    pub offset: LogOffset,
}

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its position.
    pub offset: LogOffset,
    /// When the log accepted it, by the log's clock.
    pub appended_at: WallTime,
    /// Its content.
    pub body: Box<str>,
}

/// The answer to a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadAnswer {
    /// The oldest offset that is still kept.
    pub first: LogOffset,
    /// The offset that the next append will get.
    pub next: LogOffset,
    /// The log's clock.
    pub now: WallTime,
    /// How long records are kept, in milliseconds.
    pub retention_ms: u64,
    /// The records from the requested offset on.
    pub records: Vec<LogRecord>,
}

/// What a listed VM does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// It runs filbertpitch.
    Entry,
    /// It runs tasks.
    Target,
}

/// The state of a listed VM, as the platform last saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It is in use.
    Live,
    /// It will be taken away soon.
    Leaving,
}

/// One VM of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Its name; for a target VM, the target's name.
    pub name: TargetName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// What it does.
    pub role: VmRole,
    /// Its state.
    pub state: VmState,
}

/// The platform's list of VMs, which lags behind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The VMs.
    pub vms: Vec<VmEntry>,
}
