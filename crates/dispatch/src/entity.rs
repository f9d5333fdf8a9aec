//! Index newtypes for entities, and the interner that assigns them.
//!
//! Indices stay valid for the lifetime of the process: a name that is removed from the
//! configuration and added again keeps its index.

use std::collections::HashMap;
use std::fmt;
use std::hash::Hash;

use typed_index_collections::TiVec;

macro_rules! entity_index {
    ($(#[$doc:meta])* $name:ident, $prefix:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u32);

        impl From<usize> for $name {
            fn from(index: usize) -> Self {
                Self(u32::try_from(index).expect("fewer than 2^32 entities"))
            }
        }

        impl From<$name> for usize {
            fn from(index: $name) -> usize {
                index.0 as usize
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }
    };
}

entity_index!(
    /// The index of a team.
    TeamIndex, "team"
);
entity_index!(
    /// The index of a kind of work. Kinds of different services have different indices.
    KindIndex, "kind"
);
entity_index!(
    /// The index of a service.
    ServiceIndex, "service"
);
entity_index!(
    /// The index of a target.
    TargetIndex, "target"
);
entity_index!(
    /// The index of an entry VM.
    VmIndex, "vm"
);
entity_index!(
    /// The index of an availability zone.
    ZoneIndex, "zone"
);

slotmap::new_key_type! {
    /// The key of a live job. Keys are not reused, so a late event for a job that has ended finds no
    /// job.
    pub struct JobKey;

    /// The key of a live task. Keys are not reused, so a late event for a task that has ended finds
    /// no task.
    pub struct TaskKey;
}

/// Assigns consecutive indices to names.
#[derive(Clone)]
pub struct NameInterner<Index, Name> {
    names: TiVec<Index, Name>,
    indices: HashMap<Name, Index>,
}

impl<Index, Name> fmt::Debug for NameInterner<Index, Name>
where
    Name: fmt::Debug,
{
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.names.raw.iter()).finish()
    }
}

impl<Index, Name> Default for NameInterner<Index, Name> {
    fn default() -> Self {
        Self {
            names: TiVec::new(),
            indices: HashMap::new(),
        }
    }
}

impl<Index, Name> NameInterner<Index, Name>
where
    Index: Copy + From<usize>,
    usize: From<Index>,
    Name: Clone + Eq + Hash,
{
    /// The index of `name`, assigned on first use.
    pub fn intern(&mut self, name: &Name) -> Index {
        if let Some(&index) = self.indices.get(name) {
            return index;
        }
        let index = self.names.push_and_get_key(name.clone());
        self.indices.insert(name.clone(), index);
        index
    }

    /// The index of `name`, if `name` was interned.
    pub fn get(&self, name: &Name) -> Option<Index> {
        self.indices.get(name).copied()
    }

    /// The name that has this index.
    ///
    /// # Panics
    /// If this interner has not assigned `index`.
    pub fn name(&self, index: Index) -> &Name {
        &self.names[index]
    }

    /// The number of interned names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no name is interned.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
