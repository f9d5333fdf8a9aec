//! Pools: the targets that can run a kind, indexed by where a free slot is.
//!
//! Kinds with the same targets use the same pool. Each pool keeps sets of targets with a free slot,
//! so a placement samples only from targets that can take the attempt, and an empty set answers a
//! saturated system without a search.

use typed_index_collections::TiVec;

use crate::entity::{KindIndex, TargetIndex};

/// A pool.
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

/// The place of a target within one of its pools.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolSeat {
    pub pool: PoolIndex,
    pub seat: u32,
}

/// Names a set of targets within a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum OpenKind {
    OwnShort,
    OwnLong,
    BorrowShort,
    BorrowLong,
    SpillShort,
    SpillLong,
    Probe,
}

impl OpenKind {
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

/// The sets that a target is in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct OpenMask(u8);

impl OpenMask {
    pub fn set(&mut self, kind: OpenKind, open: bool) {
        let bit = 1 << kind as u8;
        if open {
            self.0 |= bit;
        } else {
            self.0 &= !bit;
        }
    }

    pub fn contains(self, kind: OpenKind) -> bool {
        self.0 & (1 << kind as u8) != 0
    }
}

/// A set of seats with constant-time insertion, removal and sampling.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenSet {
    members: Vec<u32>,
    places: Vec<u32>,
}

const NO_PLACE: u32 = u32::MAX;

impl OpenSet {
    fn with_seats(seats: usize) -> Self {
        Self {
            members: Vec::new(),
            places: vec![NO_PLACE; seats],
        }
    }

    pub fn members(&self) -> &[u32] {
        &self.members
    }

    fn insert(&mut self, seat: u32) {
        if self.places[seat as usize] == NO_PLACE {
            self.places[seat as usize] = self.members.len() as u32;
            self.members.push(seat);
        }
    }

    fn remove(&mut self, seat: u32) {
        let place = std::mem::replace(&mut self.places[seat as usize], NO_PLACE);
        if place == NO_PLACE {
            return;
        }
        self.members.swap_remove(place as usize);
        if let Some(&moved) = self.members.get(place as usize) {
            self.places[moved as usize] = place;
        }
    }
}

/// The targets of one or more kinds.
#[derive(Clone, Debug)]
pub(crate) struct TargetPool {
    pub targets: Vec<TargetIndex>,
    /// Usable slots of this VM's shares, in its own zone and in all zones.
    pub home_slots: u32,
    pub slots: u32,
    pub running: u32,
    sets: [OpenSet; OpenKind::COUNT],
}

impl TargetPool {
    pub fn new(targets: Vec<TargetIndex>) -> Self {
        let sets = std::array::from_fn(|_| OpenSet::with_seats(targets.len()));
        Self {
            targets,
            home_slots: 0,
            slots: 0,
            running: 0,
            sets,
        }
    }

    pub fn set(&self, kind: OpenKind) -> &OpenSet {
        &self.sets[kind as usize]
    }

    pub fn update(&mut self, seat: u32, old: OpenMask, new: OpenMask) {
        for kind in OpenKind::ALL {
            match (old.contains(kind), new.contains(kind)) {
                (false, true) => self.sets[kind as usize].insert(seat),
                (true, false) => self.sets[kind as usize].remove(seat),
                _ => {}
            }
        }
    }
}

/// All pools, and which one each kind uses.
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
