//! Counts and a snapshot of the engine, for status and metrics.

use filbertpitch_types::fleet::PeerState;
use filbertpitch_types::prelude::*;

use super::{FleetEngine, FleetNotice, TimerTopic};
use crate::held::HoldPhase;

/// Counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetCounters {
    /// Jobs that were accepted.
    pub jobs_accepted: u64,
    /// Jobs that were answered as completed.
    pub jobs_completed: u64,
    /// Jobs that were answered as failed.
    pub jobs_failed: u64,
    /// Jobs that were rejected; nothing of them has run.
    pub jobs_rejected: u64,
    /// Jobs that were given up after parts of them may have run.
    pub jobs_unknown: u64,
    /// Jobs whose client has left.
    pub jobs_abandoned: u64,
    /// Requests to holders to run a task.
    pub tasks_placed: u64,
    /// Tasks that a holder did not run.
    pub tasks_refused: u64,
    /// Start orders to targets.
    pub starts_sent: u64,
    /// Start orders without an answer.
    pub starts_lost: u64,
    /// Start orders that a target refused.
    pub starts_refused: u64,
    /// Looks at targets.
    pub polls_sent: u64,
    /// Looks without an answer.
    pub polls_lost: u64,
    /// Probes of targets of other VMs.
    pub probes_sent: u64,
    /// Runs that were done.
    pub runs_done: u64,
    /// Runs that have ended otherwise.
    pub runs_not_done: u64,
    /// Offers of room to other VMs.
    pub offers_sent: u64,
    /// Envelopes to other VMs.
    pub envelopes_sent: u64,
    /// Targets that were claimed.
    pub targets_claimed: u64,
    /// Targets on which another holder was found.
    pub targets_fenced: u64,
}

/// A snapshot of the engine.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// Where the VM is in its life.
    pub state: PeerState,
    /// The configuration in force.
    pub version: Option<ConfigVersion>,
    /// Jobs without an answer.
    pub live_jobs: usize,
    /// Tasks that wait for room.
    pub waiting_tasks: usize,
    /// Targets that this VM holds.
    pub held_targets: usize,
    /// Those of them that take its orders.
    pub confirmed_targets: usize,
    /// Runs on them.
    pub held_runs: usize,
    /// Other entry VMs that are heard.
    pub live_peers: usize,
    /// Targets that are listed.
    pub listed_targets: usize,
}

impl FleetEngine {
    /// Counts since the start of the process.
    pub fn counters(&self) -> FleetCounters {
        self.counters
    }

    /// Logs how full the held targets are.
    pub(super) fn sample_load(&mut self) {
        let now = self.now();
        let due = now + self.settings.sample_interval;
        self.timers.subscribe(due, TimerTopic::Sample);
        let mut capacity = ResourceVector::default();
        let mut free = ResourceVector::default();
        let mut open = ResourceVector::default();
        let mut runs = 0;
        for held in self.held.values_mut() {
            capacity += held.ledger().capacity();
            free += held.ledger().free();
            open += held.free_capacity(now);
            runs += held.ledger().len();
        }
        let notice = FleetNotice::LoadSampled {
            targets: self.held.len(),
            capacity,
            free,
            open,
            runs,
            waiting: self.jobs.waiting_len(),
        };
        self.notice(notice);
    }

    /// Describes the current state.
    pub fn view(&self) -> EngineView {
        EngineView {
            state: self.state,
            version: self.catalog.version(),
            live_jobs: self.jobs.len(),
            waiting_tasks: self.jobs.waiting_len(),
            held_targets: self.held.len(),
            confirmed_targets: self
                .held
                .values()
                .filter(|held| held.phase() == HoldPhase::Confirmed)
                .count(),
            held_runs: self.held.values().map(|held| held.ledger().len()).sum(),
            live_peers: self
                .links
                .iter()
                .flatten()
                .filter(|link| link.is_live())
                .count(),
            listed_targets: self.registry.listed().count(),
        }
    }
}
