//! The objects of a configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use filbertpitch_types::prelude::*;
use filbertpitch_types::units::DurationText;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

/// A kind of work within a service.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindSpec {
    /// The typical run time; a prior until run times have been measured.
    #[serde_as(as = "DurationText")]
    pub typical: Duration,
}

/// A service: kinds of work and the rules for retrying them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The kinds of work.
    pub kinds: BTreeMap<KindName, KindSpec>,
    /// The maximum number of attempts of one repeatable task.
    #[serde(default = "ServiceSpec::default_max_attempts")]
    pub max_attempts: u8,
    /// Retries allowed as a percentage of starts.
    #[serde(default = "ServiceSpec::default_retry_percent")]
    pub retry_percent: u8,
}

impl ServiceSpec {
    pub(crate) fn default_max_attempts() -> u8 {
        3
    }

    pub(crate) fn default_retry_percent() -> u8 {
        10
    }
}

/// A target and the kinds of work that it can run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// The availability zone of the target.
    pub zone: ZoneName,
    /// The address on which the target listens.
    pub address: SocketAddr,
    /// The number of tasks that the target runs concurrently.
    #[serde(default = "TargetSpec::default_slots")]
    pub slots: u16,
    /// The number of connections that the target accepts.
    #[serde(default = "TargetSpec::default_connections")]
    pub connections: u16,
    /// The kinds of work that the target can run, by service.
    pub takes: BTreeMap<ServiceName, BTreeSet<KindName>>,
}

impl TargetSpec {
    pub(crate) fn default_slots() -> u16 {
        8
    }

    pub(crate) fn default_connections() -> u16 {
        64
    }
}

/// A team and its quota over all entry VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// The team's weight in fair queueing.
    #[serde(default)]
    pub weight: TeamWeight,
    /// The maximum number of running tasks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_running: Option<u32>,
    /// The maximum number of queued tasks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_queued: Option<u32>,
    /// The maximum rate of task starts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub start_rate: Option<TaskRate>,
}

/// Limits that apply to all services and teams.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSpec {
    /// The maximum number of tasks in one job.
    pub job_tasks: u16,
    /// The maximum deadline of a job.
    #[serde_as(as = "DurationText")]
    pub job_deadline: Duration,
    /// The maximum number of queued tasks on one VM.
    pub queued_tasks: u32,
}

impl Default for LimitSpec {
    fn default() -> Self {
        Self {
            job_tasks: 1024,
            job_deadline: Duration::from_secs(600),
            queued_tasks: 100_000,
        }
    }
}

/// The configuration in force on a VM.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The services.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// The targets.
    pub targets: BTreeMap<TargetName, TargetSpec>,
    /// The teams.
    pub teams: BTreeMap<TeamName, TeamSpec>,
    /// The limits.
    pub limits: LimitSpec,
}
