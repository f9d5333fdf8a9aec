//! What one scheduling round has found out about lanes.

use std::collections::HashSet;

use crate::entity::TeamIndex;
use crate::estimate::SizeClass;
use crate::queue::LaneKey;

/// A dense number of a lane key, for tables on the hot path.
fn lane_number(lane: LaneKey) -> usize {
    usize::from(lane.kind) * 2 + usize::from(lane.size == SizeClass::Long)
}

/// The answers of one scheduling round. A round is valid until a slot becomes free.
#[derive(Clone, Debug, Default)]
pub struct SchedulingRound {
    /// The number of the round in which a lane was blocked last, by lane number.
    blocked_in: Vec<u64>,
    round: u64,
    blocked: Vec<LaneKey>,
    skipped: HashSet<(TeamIndex, LaneKey)>,
}

impl SchedulingRound {
    /// Forgets all answers, keeping the memory for the next round.
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

/// How many teams have tasks in each lane.
#[derive(Clone, Debug, Default)]
pub(crate) struct LaneOccupancy {
    teams: Vec<u32>,
    /// How many lanes have tasks of any team.
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

    /// Whether no lane with tasks is left to ask, which ends a round without a scan over all teams.
    pub(crate) fn all_blocked(&self, round: &SchedulingRound) -> bool {
        if round.blocked.len() < self.active {
            return false;
        }
        let active = |lane: &&LaneKey| {
            self.teams
                .get(lane_number(**lane))
                .is_some_and(|it| *it > 0)
        };
        round.blocked.iter().filter(active).count() == self.active
    }
}
