//! Samples the candidates of one placement.

use filbertpitch_types::prelude::*;
use rand::Rng;
use smallvec::SmallVec;

use super::PlacementRequest;
use super::pool::{PoolIndex, SparseSet};

/// The maximum number of targets compared for one placement. The limit makes the cost of a
/// placement independent of the number of targets.
pub(super) const CANDIDATE_LIMIT: usize = 16;

/// The state of one placement's search through the tiers.
pub(super) struct CandidateSearch<'a, R> {
    pub now: TimePoint,
    pub pool: PoolIndex,
    pub request: &'a PlacementRequest,
    /// The draws left of [`CANDIDATE_LIMIT`].
    pub draws_left: usize,
    pub rng: &'a mut R,
}

impl<R> CandidateSearch<'_, R>
where
    R: Rng,
{
    /// Samples members of a set. If enough draws are left, returns all of them, in their order in
    /// the set from a random start; otherwise draws with replacement.
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
