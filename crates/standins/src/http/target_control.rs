//! Messages of the control endpoint of a target, which has a port of its own.

use std::time::Duration;

use filbertpitch_types::target::LoadReport;
use filbertpitch_types::units::DurationText;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::ledger::LedgerEntry;
use crate::target_model::TargetCounters;

/// The path that takes a [`TargetControl`] as `POST`.
pub const CONTROL_PATH: &str = "/control";
/// The path of the ledger.
pub const LEDGER_PATH: &str = "/control/ledger";
/// The path of the counters.
pub const COUNTERS_PATH: &str = "/control/counters";
/// The most ledger entries in one page.
pub const LEDGER_PAGE: usize = 10_000;

/// A fault to inject over HTTP; JSON such as `{"fault": "straggle", "factor": 10}`.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum TargetControl {
    /// Every new run fails after 1 ms, until disabled.
    FailFast {
        /// Whether the fault is present.
        enabled: bool,
    },
    /// Runs take `factor` times as long; 1 is normal.
    Straggle {
        /// The factor, at least 1.
        factor: u32,
    },
    /// The process stops until thawed.
    Freeze {
        /// Thaws by itself after this time.
        #[serde_as(as = "Option<DurationText>")]
        #[serde(default)]
        length: Option<Duration>,
    },
    /// The process continues.
    Thaw {},
    /// The process dies: connections are closed, new ones refused, everything is forgotten.
    Die {
        /// Starts again by itself after this time.
        #[serde_as(as = "Option<DurationText>")]
        #[serde(default)]
        down: Option<Duration>,
    },
    /// The process starts again and remembers nothing.
    Restart {},
    /// The target is leaving and refuses new work.
    Leave {},
    /// The target is no longer leaving.
    Stay {},
    /// Connections that are open now are never answered again and stay open; new ones work.
    SilenceOpenConnections {},
}

/// One page of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerPage {
    /// How many entries the ledger has in all.
    pub total: usize,
    /// The entries from the requested position on, at most [`LEDGER_PAGE`].
    pub entries: Vec<LedgerEntry>,
}

/// The counters and the load of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterAnswer {
    /// The counters.
    pub counters: TargetCounters,
    /// The load.
    pub load: LoadReport,
    /// How many entries the ledger has.
    pub ledger: usize,
}
