//! Counters and a snapshot of the engine, for status and metrics.

use std::time::Duration;

use filbertpitch_types::fleet::PeerState;
use filbertpitch_types::prelude::*;

use super::{FleetEngine, FleetNotice, TimerTopic};
use crate::held::HoldPhase;

/// Event counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetCounters {
    /// Jobs accepted from clients.
    pub jobs_accepted: u64,
    /// Jobs answered as completed.
    pub jobs_completed: u64,
    /// Jobs answered as failed: a task has reached its attempt limit.
    pub jobs_failed: u64,
    /// Jobs rejected before any of their tasks may have started.
    pub jobs_rejected: u64,
    /// Rejected jobs that only targets of closed zones could run.
    pub jobs_rejected_zone_closed: u64,
    /// Jobs refused on arrival because the capacity is insufficient.
    pub jobs_refused: u64,
    /// Accepted jobs that were dropped, before any of their tasks may have started, because the
    /// capacity has become insufficient.
    pub jobs_shed: u64,
    /// Jobs answered as unknown: tasks of them may have run, but the job did not finish in time.
    pub jobs_unknown: u64,
    /// Jobs whose client disconnected or cancelled.
    pub jobs_abandoned: u64,
    /// Tasks that holders, this VM included, were asked to run.
    pub tasks_placed: u64,
    /// Tasks that a holder certainly did not start.
    pub tasks_refused: u64,
    /// Start requests to targets, without repetitions.
    pub starts_sent: u64,
    /// Start requests without a response.
    pub starts_lost: u64,
    /// Start requests that a target refused.
    pub starts_refused: u64,
    /// Polls of held targets.
    pub polls_sent: u64,
    /// Polls without a usable response.
    pub polls_lost: u64,
    /// Reachability probes of targets that this VM does not hold.
    pub probes_sent: u64,
    /// Runs that ended successfully.
    pub runs_done: u64,
    /// Runs that ended in any other way.
    pub runs_not_done: u64,
    /// Runs that a target had although they had counted as over.
    pub runs_outlived: u64,
    /// Offers of free capacity to other coordinators.
    pub offers_sent: u64,
    /// Envelopes to known peers.
    pub envelopes_sent: u64,
    /// Examinations of the clients' connections.
    pub examinations: u64,
    /// Claims that a target has confirmed.
    pub targets_claimed: u64,
    /// Tokens that a target refused because another VM holds it.
    pub targets_fenced: u64,
    /// Held targets that crashed while they had runs.
    pub targets_crashed: u64,
    /// Jobs given up because one of their tasks crashes the targets that start it.
    pub jobs_given_up: u64,
    /// Jobs forwarded to another VM.
    pub jobs_forwarded: u64,
    /// Jobs that another VM has forwarded to this one.
    pub jobs_received: u64,
    /// Forwarded jobs without an answer of the receiver, those taken back included.
    pub forwardings_failed: u64,
    /// Smaller capacities of targets that this VM has learned from a peer while it could not read the list.
    pub capacities_learned: u64,
}

/// A snapshot of the engine's state.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// The lifecycle state that this VM reports to its peers.
    pub state: PeerState,
    /// The version of the configuration in force; none before the first one.
    pub version: Option<ConfigVersion>,
    /// Jobs that are not answered yet.
    pub live_jobs: usize,
    /// Tasks of these jobs that wait for free capacity.
    pub waiting_tasks: usize,
    /// Targets that this VM has claimed and not released.
    pub held_targets: usize,
    /// Held targets that have confirmed the claim.
    pub confirmed_targets: usize,
    /// Runs on held targets.
    pub held_runs: usize,
    /// Peers that were heard lately.
    pub live_peers: usize,
    /// Targets in the platform's list.
    pub listed_targets: usize,
    /// Availability zones that the operator has closed.
    pub closed_zones: usize,
    /// How late timers are handled.
    pub lateness: Duration,
}

impl FleetEngine {
    /// Event counts since the start of the process.
    pub fn counters(&self) -> FleetCounters {
        self.counters
    }

    /// Logs the utilization of the held targets and schedules the next sample.
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
            closed_zones: self.closed_zones.len(),
        };
        self.notice(notice);
    }

    /// A snapshot of the current state.
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
            closed_zones: self.closed_zones.len(),
            lateness: self.router.lateness(),
        }
    }
}
