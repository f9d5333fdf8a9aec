//! A snapshot of the engine for status and metrics.

use std::time::Duration;

use filbertpitch_types::prelude::*;

use super::DispatchEngine;
use crate::health::HealthState;

/// What a team has in the queue.
#[derive(Clone, Debug)]
pub struct TeamView {
    /// The team.
    pub team: TeamName,
    /// Its queued tasks.
    pub depth: usize,
    /// The expected run time of its queued tasks.
    pub work: Duration,
}

/// What this VM knows about a target.
#[derive(Clone, Debug)]
pub struct TargetView {
    /// The target.
    pub target: TargetName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// This VM's attempts that hold one of its slots.
    pub running: u16,
    /// The slots that belong to this VM.
    pub share: u16,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether the last check got no answer.
    pub unreachable: bool,
    /// Whether it gets work.
    pub health: HealthState,
}

/// A snapshot of the engine.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// Jobs without an answer.
    pub live_jobs: usize,
    /// Waiting tasks.
    pub queued_tasks: usize,
    /// Attempts that may be running, throttled ones included.
    pub running_tasks: usize,
    /// Queues by team.
    pub teams: Vec<TeamView>,
    /// The targets in force.
    pub targets: Vec<TargetView>,
}

impl DispatchEngine {
    /// Describes the current state.
    pub fn view(&self) -> EngineView {
        let teams = self.catalog.teams().map(|(team, _)| TeamView {
            team: self.catalog.team_name(team).clone(),
            depth: self.queue.depth(team),
            work: self.queue.queued_work(team),
        });
        let targets = self.catalog.targets().map(|(target, entry)| TargetView {
            target: self.catalog.target_name(target).clone(),
            zone: self.catalog.zone_name(entry.zone).clone(),
            running: self.targets.running(target),
            share: self.targets.share(target).slots,
            leaving: self.targets.is_leaving(target),
            unreachable: self.endpoints[target].unreachable,
            health: self.health.state(target),
        });
        EngineView {
            live_jobs: self.jobs.len(),
            queued_tasks: self.queue.len(),
            running_tasks: self.endpoints.iter().map(|link| link.attempts.len()).sum(),
            teams: teams.collect(),
            targets: targets.collect(),
        }
    }
}
