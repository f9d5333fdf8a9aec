//! The targets that the platform lists.
//!
//! A target keeps its index when its entry is removed and added again. An entry that cannot be
//! decoded hides the target until a valid one follows.

use std::net::SocketAddr;

use filbertpitch_dispatch::entity::{NameInterner, TargetIndex};
use filbertpitch_types::fleet::{RackId, TargetChange, TargetEntry, TargetState};
use filbertpitch_types::prelude::*;
use smallvec::SmallVec;
use typed_index_collections::TiVec;

/// The instance of a target that a fact belongs to; `None` if its source does not state the instance.
///
/// A target that starts again under its name may be of another kind and size. What is known of one instance
/// says nothing about the next one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetInstance(pub Option<TargetBoot>);

impl TargetInstance {
    /// Whether two facts may belong to the same instance. Only stated instances can differ.
    pub fn may_be(self, other: Self) -> bool {
        self.0.is_none() || other.0.is_none() || self == other
    }
}

/// The entry of a target.
#[derive(Clone, Debug)]
struct TargetRecord {
    /// The latest valid entry.
    entry: Option<TargetEntry>,
    /// The racks that its labels may name.
    racks: SmallVec<[RackId; 4]>,
    /// When the entry was removed; `None` while the target is listed.
    unlisted_since: Option<TimePoint>,
    /// Until when the target is slow, if it is.
    cold_until: Option<TimePoint>,
}

impl TargetRecord {
    fn listed(&self) -> Option<&TargetEntry> {
        let listed = self.unlisted_since.is_none();
        self.entry.as_ref().filter(|_| listed)
    }
}

/// All targets that were ever listed since the process started.
#[derive(Clone, Debug, Default)]
pub struct TargetRegistry {
    names: NameInterner<TargetIndex, TargetName>,
    records: TiVec<TargetIndex, TargetRecord>,
}

impl TargetRegistry {
    /// Applies a change and returns the target.
    pub fn apply(&mut self, now: TimePoint, change: TargetChange) -> TargetIndex {
        match change {
            TargetChange::Listed(entry) => {
                let index = self.intern(&entry.name);
                let record = &mut self.records[index];
                let cold = entry.cold_remaining;
                record.cold_until = (!cold.is_zero()).then(|| now + cold);
                let labels = entry.labels.iter();
                record.racks = labels.map(|label| RackId::of_label(label)).collect();
                record.entry = Some(entry);
                record.unlisted_since = None;
                index
            }
            TargetChange::Removed(name) | TargetChange::Unreadable(name) => {
                let index = self.intern(&name);
                let record = &mut self.records[index];
                if record.unlisted_since.is_none() {
                    record.unlisted_since = Some(now);
                }
                index
            }
        }
    }

    /// The index of a name, assigned on first use.
    pub fn intern(&mut self, name: &TargetName) -> TargetIndex {
        let index = self.names.intern(name);
        if usize::from(index) == self.records.len() {
            self.records.push(TargetRecord {
                entry: None,
                racks: SmallVec::new(),
                unlisted_since: None,
                cold_until: None,
            });
        }
        index
    }

    /// The index of a name that was seen before.
    pub fn find(&self, name: &TargetName) -> Option<TargetIndex> {
        self.names.get(name)
    }

    /// The name of a target.
    pub fn name(&self, index: TargetIndex) -> &TargetName {
        self.names.name(index)
    }

    /// The entry of an instance of a target, if the list has it. What is to run on the target must suit this
    /// entry.
    pub fn entry_of(&self, index: TargetIndex, instance: TargetInstance) -> Option<&TargetEntry> {
        let entry = self.entry(index)?;
        instance.may_be(TargetInstance(entry.boot)).then_some(entry)
    }

    /// The latest entry of a target, of whichever instance, if the target is listed.
    pub fn entry(&self, index: TargetIndex) -> Option<&TargetEntry> {
        self.records.get(index)?.listed()
    }

    /// The address of a target, also after its entry was removed.
    pub fn address(&self, index: TargetIndex) -> Option<SocketAddr> {
        let entry = self.records.get(index)?.entry.as_ref();
        entry.map(|entry| entry.address)
    }

    /// The availability zone of a target, also after its entry was removed.
    pub fn zone(&self, index: TargetIndex) -> Option<&ZoneName> {
        let entry = self.records.get(index)?.entry.as_ref();
        entry.map(|entry| &entry.zone)
    }

    /// The ids of all labels of a target, of which some name racks; also after its entry was removed.
    pub fn racks(&self, index: TargetIndex) -> &[RackId] {
        self.records
            .get(index)
            .map_or(&[], |record| &record.racks[..])
    }

    /// Until when a target is slow by its latest entry; `None` if it is not.
    pub fn cold_until(&self, index: TargetIndex) -> Option<TimePoint> {
        self.records.get(index)?.cold_until
    }

    /// Whether a target is listed and does not drain. Whether it may start something also depends on its
    /// availability zone: see [`ClosedZones::may_start`](crate::closed_zones::ClosedZones::may_start).
    pub fn is_ready(&self, index: TargetIndex) -> bool {
        self.entry(index)
            .is_some_and(|entry| entry.state == TargetState::Ready)
    }

    /// Since when a target is not listed; `None` while it is.
    pub fn unlisted_since(&self, index: TargetIndex) -> Option<TimePoint> {
        self.records.get(index)?.unlisted_since
    }

    /// The listed targets with their entries.
    pub fn listed(&self) -> impl Iterator<Item = (TargetIndex, &TargetEntry)> {
        self.records
            .iter_enumerated()
            .filter_map(|(index, record)| Some((index, record.listed()?)))
    }

    /// The number of names that have an index.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no name has an index.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
