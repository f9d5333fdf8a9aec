//! Pools of the targets that can run a kind of task, indexed by candidate tier.
//!
//! Kinds with the same targets share a pool. Each pool keeps, per tier, the set of targets that can
//! take an attempt. A placement samples only from these sets, and no search takes place when they
//! are empty because all slots are in use.

use typed_index_collections::TiVec;

use crate::entity::{KindIndex, TargetIndex};

/// The index of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct PoolIndex(u32);

impl From<usize> for PoolIndex {
    fn from(index: usize) -> Self {
        Self(u32::try_from(index).expect("fewer than 2^32 pools"))
    }
}

impl From<PoolIndex> for usize {
    fn from(index: PoolIndex) -> usize {
        index.0 as usize
    }
}

/// The position of a target within one of its pools.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolMember {
    pub pool: PoolIndex,
    pub index: u32,
}

/// Identifies a set of candidate targets within a pool, by slot class and source of the slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum CandidateTier {
    OwnShort,
    OwnLong,
    BorrowShort,
    BorrowLong,
    SpillShort,
    SpillLong,
    Probe,
}

impl CandidateTier {
    pub const COUNT: usize = 7;
    pub const ALL: [Self; Self::COUNT] = [
        Self::OwnShort,
        Self::OwnLong,
        Self::BorrowShort,
        Self::BorrowLong,
        Self::SpillShort,
        Self::SpillLong,
        Self::Probe,
    ];
}

/// The tiers that a target is a candidate of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TierMask(u8);

impl TierMask {
    pub fn set(&mut self, tier: CandidateTier, included: bool) {
        let bit = 1 << tier as u8;
        if included {
            self.0 |= bit;
        } else {
            self.0 &= !bit;
        }
    }

    pub fn contains(self, tier: CandidateTier) -> bool {
        self.0 & (1 << tier as u8) != 0
    }
}

/// A sparse set of target positions with insertion, removal and sampling in constant time.
#[derive(Clone, Debug, Default)]
pub(crate) struct SparseSet {
    members: Vec<u32>,
    positions: Vec<u32>,
}

const NO_POSITION: u32 = u32::MAX;

impl SparseSet {
    fn with_universe(universe: usize) -> Self {
        Self {
            members: Vec::new(),
            positions: vec![NO_POSITION; universe],
        }
    }

    pub fn members(&self) -> &[u32] {
        &self.members
    }

    fn insert(&mut self, index: u32) {
        if self.positions[index as usize] == NO_POSITION {
            self.positions[index as usize] = self.members.len() as u32;
            self.members.push(index);
        }
    }

    fn remove(&mut self, index: u32) {
        let position = std::mem::replace(&mut self.positions[index as usize], NO_POSITION);
        if position == NO_POSITION {
            return;
        }
        self.members.swap_remove(position as usize);
        if let Some(&moved) = self.members.get(position as usize) {
            self.positions[moved as usize] = position;
        }
    }
}

/// The targets that can run one or more kinds of task.
#[derive(Clone, Debug)]
pub(crate) struct TargetPool {
    pub targets: Vec<TargetIndex>,
    /// The usable slots of this VM's shares in its own zone.
    pub local_slots: u32,
    /// The usable slots of this VM's shares in all zones.
    pub slots: u32,
    pub running: u32,
    sets: [SparseSet; CandidateTier::COUNT],
}

impl TargetPool {
    pub fn new(targets: Vec<TargetIndex>) -> Self {
        let sets = std::array::from_fn(|_| SparseSet::with_universe(targets.len()));
        Self {
            targets,
            local_slots: 0,
            slots: 0,
            running: 0,
            sets,
        }
    }

    pub fn candidates(&self, tier: CandidateTier) -> &SparseSet {
        &self.sets[tier as usize]
    }

    pub fn update(&mut self, index: u32, old: TierMask, new: TierMask) {
        for tier in CandidateTier::ALL {
            match (old.contains(tier), new.contains(tier)) {
                (false, true) => self.sets[tier as usize].insert(index),
                (true, false) => self.sets[tier as usize].remove(index),
                _ => {}
            }
        }
    }
}

/// All pools, and the pool of each kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolMap {
    pub pools: TiVec<PoolIndex, TargetPool>,
    kinds: TiVec<KindIndex, Option<PoolIndex>>,
}

impl PoolMap {
    pub fn pool_of(&self, kind: KindIndex) -> Option<PoolIndex> {
        *self.kinds.get(kind)?
    }

    pub fn assign(&mut self, kind: KindIndex, pool: PoolIndex) {
        let length = usize::from(kind) + 1;
        if self.kinds.len() < length {
            self.kinds.resize(length, None);
        }
        self.kinds[kind] = Some(pool);
    }
}
