//! The sections of a settings file with their defaults.

use std::net::SocketAddr;
use std::time::Duration;

use filbertpitch_types::prelude::*;
use filbertpitch_types::units::DurationText;
use filbertpitch_wire::server::ServerLimits;
use serde::Deserialize;
use serde_with::serde_as;

use super::units::{LogLevel, SampleRatio};

/// The settings of one entry VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Where the process listens.
    pub listen: SocketAddr,
    /// Where other VMs and callers reach the process; it becomes part of every prefix.
    pub advertised: SocketAddr,
    /// The availability zone that the VM is in.
    pub availability_zone: ZoneName,
    /// The services of the platform.
    pub platform: PlatformSettings,
    /// Entry VMs to contact while the VM list is not available.
    pub seed_peers: Vec<SocketAddr>,
    /// Logs, metrics and traces.
    pub observability: ObservabilitySettings,
    /// Bounds on connections and requests.
    pub server: ServerSettings,
    /// Start and stop.
    pub lifecycle: LifecycleSettings,
    /// How long outcomes are kept.
    pub outcomes: OutcomeSettings,
    /// How long targets may run tasks without hearing from this VM.
    pub leases: LeaseSettings,
    /// Detection of other VMs.
    pub heartbeat: HeartbeatSettings,
}

/// Where the services of the platform listen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The append-only log.
    pub log: SocketAddr,
    /// The list of live and leaving VMs.
    pub vm_list: SocketAddr,
}

/// Settings as they are in a file, where required values may be absent.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct SettingsFile {
    pub(super) listen: Option<SocketAddr>,
    pub(super) advertised: Option<SocketAddr>,
    pub(super) availability_zone: Option<ZoneName>,
    pub(super) platform: PlatformFile,
    /// An element is absent if it is null or was not valid.
    pub(super) seed_peers: Vec<Option<SocketAddr>>,
    pub(super) observability: ObservabilitySettings,
    pub(super) server: ServerSettings,
    pub(super) lifecycle: LifecycleSettings,
    pub(super) outcomes: OutcomeSettings,
    pub(super) leases: LeaseSettings,
    pub(super) heartbeat: HeartbeatSettings,
}

/// The platform section of a file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct PlatformFile {
    pub(super) log: Option<SocketAddr>,
    pub(super) vm_list: Option<SocketAddr>,
}

/// Logs, metrics and traces.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObservabilitySettings {
    /// Where metrics are sent over UDP; nowhere if absent.
    pub metrics: Option<SocketAddr>,
    /// The least severe events that are logged.
    pub log_level: LogLevel,
    /// The share of jobs that are traced when the caller does not decide it.
    pub trace_sampling: SampleRatio,
}

/// Bounds on connections and requests.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServerSettings {
    /// The largest request head.
    pub head_limit: ByteSize,
    /// The largest request body.
    pub body_limit: ByteSize,
    /// The time from the first byte of a head to its last.
    #[serde_as(as = "DurationText")]
    pub head_timeout: Duration,
    /// The time from the end of a head to the end of its body.
    #[serde_as(as = "DurationText")]
    pub body_timeout: Duration,
    /// The time in which a client must take a response.
    #[serde_as(as = "DurationText")]
    pub write_timeout: Duration,
    /// How long a connection may stay open without a request.
    #[serde_as(as = "DurationText")]
    pub idle_timeout: Duration,
    /// The most open connections.
    pub connections: u32,
}

impl ServerSettings {
    /// The bounds in the form that the server takes.
    pub fn limits(&self) -> ServerLimits {
        let bytes = |size: ByteSize| usize::try_from(size.0).unwrap_or(usize::MAX);
        ServerLimits {
            head_bytes: bytes(self.head_limit),
            body_bytes: bytes(self.body_limit),
            head_timeout: self.head_timeout,
            body_timeout: self.body_timeout,
            write_timeout: self.write_timeout,
            idle_timeout: self.idle_timeout,
            connections: self.connections as usize,
        }
    }
}

impl Default for ServerSettings {
    fn default() -> Self {
        let limits = ServerLimits::default();
        Self {
            head_limit: ByteSize(limits.head_bytes as u64),
            body_limit: ByteSize(limits.body_bytes as u64),
            head_timeout: limits.head_timeout,
            body_timeout: limits.body_timeout,
            write_timeout: limits.write_timeout,
            idle_timeout: limits.idle_timeout,
            connections: u32::try_from(limits.connections).unwrap_or(u32::MAX),
        }
    }
}

/// Start and stop.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LifecycleSettings {
    /// How long a stopping VM waits for work in progress.
    #[serde_as(as = "DurationText")]
    pub drain_timeout: Duration,
}

impl Default for LifecycleSettings {
    fn default() -> Self {
        Self {
            drain_timeout: Duration::from_secs(30),
        }
    }
}

/// How long outcomes are kept.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OutcomeSettings {
    /// How long after a prefix was issued its submissions are accepted and their outcomes kept.
    #[serde_as(as = "DurationText")]
    pub epoch_window: Duration,
    /// The most memory for outcomes; the oldest epoch is closed early beyond it.
    pub byte_limit: ByteSize,
}

impl Default for OutcomeSettings {
    fn default() -> Self {
        Self {
            epoch_window: Duration::from_secs(600),
            byte_limit: ByteSize::mib(32),
        }
    }
}

/// How long targets may run tasks without hearing from this VM.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseSettings {
    /// The time for which a lease is granted or renewed.
    #[serde_as(as = "DurationText")]
    pub duration: Duration,
    /// The time after the end of a lease before its task may be started elsewhere. It covers the
    /// difference between the clocks of two VMs and pauses of the target's process.
    #[serde_as(as = "DurationText")]
    pub safety_margin: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(10),
            safety_margin: Duration::from_secs(1),
        }
    }
}

/// Detection of other VMs.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HeartbeatSettings {
    /// The time between two heartbeats to the same peer.
    #[serde_as(as = "DurationText")]
    pub interval: Duration,
}

impl Default for HeartbeatSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(1),
        }
    }
}
