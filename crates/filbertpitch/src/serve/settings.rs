//! The settings of a running entry VM, derived from the settings file.

use std::net::SocketAddr;
use std::time::Duration;

use filbertpitch_dispatch::claim::ClaimSettings;
use filbertpitch_dispatch::engine::EngineSettings;
use filbertpitch_dispatch::membership::MembershipSettings;
use filbertpitch_types::prelude::*;
use filbertpitch_wire::server::ServerLimits;

use super::targets::TargetClientSettings;
use crate::settings::SampleRatio;

/// Everything that a node needs to run.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Where to listen.
    pub listen: SocketAddr,
    /// The address by which callers and peers reach this VM.
    pub advertise: SocketAddr,
    /// The VM's availability zone.
    pub zone: ZoneName,
    /// The platform's log service.
    pub log: SocketAddr,
    /// The platform's VM list.
    pub vm_list: Option<SocketAddr>,
    /// Peers known from the settings file, in case the VM list is not available.
    pub peers: Vec<SocketAddr>,
    /// How long a planned stop waits for work in progress.
    pub drain_timeout: Duration,
    /// How long a stopping VM keeps serving after its peers and the balancer could learn of it.
    pub drain_notice: Duration,
    /// The most connections to one peer or platform service.
    pub peer_connections: usize,
    /// The time for a heartbeat or another short request to a peer or the platform.
    pub peer_timeout: Duration,
    /// How often the VM list is read.
    pub vm_list_interval: Duration,
    /// Bounds of the HTTP server.
    pub server: ServerLimits,
    /// Bounds on requests to targets.
    pub targets: TargetClientSettings,
    /// The engine.
    pub engine: EngineSettings,
    /// Heartbeats between entry VMs.
    pub membership: MembershipSettings,
    /// Bare submission keys.
    pub claims: ClaimSettings,
    /// Where metrics are sent over UDP; nowhere if absent.
    pub metrics: Option<SocketAddr>,
    /// How often metrics are sent and changes of peers and load are looked for.
    pub metrics_interval: Duration,
    /// The share of jobs that are traced when the caller does not decide it.
    pub trace_sampling: SampleRatio,
    /// The memory for finished spans.
    pub trace_bytes: ByteSize,
}

impl NodeSettings {
    /// Settings with defaults for all but the identity of the VM.
    pub fn new(listen: SocketAddr, zone: ZoneName, log: SocketAddr) -> Self {
        Self {
            listen,
            advertise: listen,
            zone,
            log,
            vm_list: None,
            peers: Vec::new(),
            drain_timeout: Duration::from_secs(30),
            drain_notice: Duration::from_secs(1),
            peer_connections: 256,
            peer_timeout: Duration::from_secs(1),
            vm_list_interval: Duration::from_secs(1),
            server: ServerLimits::default(),
            targets: TargetClientSettings::default(),
            engine: EngineSettings::default(),
            membership: MembershipSettings::default(),
            claims: ClaimSettings::default(),
            metrics: None,
            metrics_interval: Duration::from_secs(1),
            trace_sampling: SampleRatio::default(),
            trace_bytes: ByteSize::mib(4),
        }
    }
}
