//! A snapshot of the engine for status and metrics.

use std::time::Duration;

use filbertpitch_types::prelude::*;

use super::DispatchEngine;
use crate::health::HealthState;

/// The queued tasks of a team.
#[derive(Clone, Debug)]
pub struct TeamView {
    /// The team.
    pub team: TeamName,
    /// The number of queued tasks.
    pub depth: usize,
    /// The total expected run time of the queued tasks.
    pub work: Duration,
}

/// The state of a target as this VM knows it.
#[derive(Clone, Debug)]
pub struct TargetView {
    /// The target.
    pub target: TargetName,
    /// The availability zone of the target.
    pub zone: ZoneName,
    /// The number of this VM's attempts that occupy a slot of the target.
    pub running: u16,
    /// The number of slots in this VM's share.
    pub share: u16,
    /// Whether the target is leaving.
    pub leaving: bool,
    /// Whether the target could not be reached since its last answer.
    pub unreachable: bool,
    /// The health of the target, which decides whether attempts start there.
    pub health: HealthState,
}

/// A snapshot of the engine's state.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// The number of jobs that are not answered yet.
    pub live_jobs: usize,
    /// The number of queued tasks.
    pub queued_tasks: usize,
    /// The number of attempts that may be running, including throttled ones.
    pub running_tasks: usize,
    /// The queued tasks by team.
    pub teams: Vec<TeamView>,
    /// The targets of the current configuration.
    pub targets: Vec<TargetView>,
}

impl DispatchEngine {
    /// Takes a snapshot of the current state.
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
            running_tasks: self
                .endpoints
                .iter()
                .map(|endpoint| endpoint.attempts.len())
                .sum(),
            teams: teams.collect(),
            targets: targets.collect(),
        }
    }
}
