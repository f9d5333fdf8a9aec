//! The state of a scheduling round: which lanes are known to have no task that can start.

use std::collections::HashSet;

use crate::entity::TeamIndex;
use crate::estimate::SizeClass;
use crate::queue::LaneKey;

/// Maps a lane key to an index of a dense table, for the hot path.
fn lane_number(lane: LaneKey) -> usize {
    usize::from(lane.kind) * 2 + usize::from(lane.size == SizeClass::Long)
}

/// The lanes that were blocked or skipped in one scheduling round. A round is valid until a slot
/// becomes free.
#[derive(Clone, Debug, Default)]
pub struct SchedulingRound {
    /// The number of the round in which each lane was last blocked, by lane number.
    blocked_in: Vec<u64>,
    round: u64,
    blocked: Vec<LaneKey>,
    skipped: HashSet<(TeamIndex, LaneKey)>,
}

impl SchedulingRound {
    /// Begins the next round, with no lane blocked or skipped. The memory is reused.
    pub fn reset(&mut self) {
        self.round += 1;
        self.blocked.clear();
        self.skipped.clear();
    }

    pub(crate) fn block(&mut self, lane: LaneKey) {
        let number = lane_number(lane);
        if self.blocked_in.len() <= number {
            self.blocked_in.resize(number + 1, u64::MAX);
        }
        self.blocked_in[number] = self.round;
        self.blocked.push(lane);
    }

    pub(crate) fn skip(&mut self, team: TeamIndex, lane: LaneKey) {
        self.skipped.insert((team, lane));
    }

    pub(crate) fn is_open(&self, team: TeamIndex, lane: LaneKey) -> bool {
        let blocked_in = self.blocked_in.get(lane_number(lane));
        blocked_in != Some(&self.round)
            && (self.skipped.is_empty() || !self.skipped.contains(&(team, lane)))
    }
}

/// The number of teams that have tasks in each lane.
#[derive(Clone, Debug, Default)]
pub(crate) struct LaneOccupancy {
    teams: Vec<u32>,
    /// The number of lanes in which any team has tasks.
    active: usize,
}

impl LaneOccupancy {
    pub(crate) fn add_team(&mut self, lane: LaneKey) {
        let number = lane_number(lane);
        if self.teams.len() <= number {
            self.teams.resize(number + 1, 0);
        }
        self.teams[number] += 1;
        self.active += usize::from(self.teams[number] == 1);
    }

    pub(crate) fn remove_team(&mut self, lane: LaneKey) {
        let teams = &mut self.teams[lane_number(lane)];
        *teams -= 1;
        self.active -= usize::from(*teams == 0);
    }

    /// Whether every lane with tasks is blocked in `round`, which ends the round without a scan over
    /// all teams.
    pub(crate) fn all_blocked(&self, round: &SchedulingRound) -> bool {
        if round.blocked.len() < self.active {
            return false;
        }
        let active = |lane: &&LaneKey| {
            self.teams
                .get(lane_number(**lane))
                .is_some_and(|teams| *teams > 0)
        };
        round.blocked.iter().filter(active).count() == self.active
    }
}
