//! Draws the candidates of one placement.

use filbertpitch_types::prelude::*;
use rand::Rng;
use smallvec::SmallVec;

use super::PlacementRequest;
use super::pool::{PoolIndex, SparseSet};

/// The most targets compared for one placement, so that its cost does not grow with their number.
pub(super) const CANDIDATE_LIMIT: usize = 16;

/// One search for a target over several sets.
pub(super) struct CandidateSearch<'a, R> {
    pub now: TimePoint,
    pub pool: PoolIndex,
    pub request: &'a PlacementRequest,
    /// What is left of the sampling limit.
    pub draws_left: usize,
    pub rng: &'a mut R,
}

impl<R> CandidateSearch<'_, R>
where
    R: Rng,
{
    /// Draws seats from a set: all of them in a random rotation if the sampling limit allows.
    pub fn sample(&mut self, set: &SparseSet) -> SmallVec<[u32; CANDIDATE_LIMIT]> {
        let members = set.members();
        let draws = members.len().min(self.draws_left);
        self.draws_left -= draws;
        if draws < members.len() {
            let mut pick = || members[self.rng.random_range(0..members.len())];
            return (0..draws).map(|_| pick()).collect();
        }
        let start = match draws {
            0 => 0,
            _ => self.rng.random_range(0..draws),
        };
        let (head, tail) = members.split_at(start);
        tail.iter().chain(head).copied().collect()
    }
}
