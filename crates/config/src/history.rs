//! The nonces and verdicts that are part of the state. Both have fixed limits, so that every VM
//! evicts the same entries at the same record.

use std::collections::{BTreeMap, VecDeque};

use filbertpitch_types::prelude::*;
use serde::{Deserialize, Serialize, Serializer};

use crate::verdict::VerdictEntry;

/// The maximum number of stored nonces. At 9,800 tickets a day they cover about five hours. A
/// repeated append of an accepted ticket is rejected by its number even after that; a repeated
/// append of a rejected ticket is only recognized within that time.
pub const NONCE_LIMIT: usize = 2048;
/// The maximum number of stored verdicts, for operators whose response to an append was lost.
pub const VERDICT_LIMIT: usize = 256;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct NonceEntry {
    offset: LogOffset,
    nonce: TicketNonce,
}

/// The nonces of the most recent tickets with the offset of their first use.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(from = "VecDeque<NonceEntry>")]
pub(crate) struct SeenNonces {
    order: VecDeque<NonceEntry>,
    offsets: BTreeMap<TicketNonce, LogOffset>,
}

impl SeenNonces {
    pub(crate) fn first_use(&self, nonce: &TicketNonce) -> Option<LogOffset> {
        self.offsets.get(nonce).copied()
    }

    /// Stores a nonce that is not stored yet.
    pub(crate) fn record(&mut self, nonce: &TicketNonce, offset: LogOffset) {
        self.offsets.insert(nonce.clone(), offset);
        self.order.push_back(NonceEntry {
            offset,
            nonce: nonce.clone(),
        });
        if self.order.len() > NONCE_LIMIT
            && let Some(oldest) = self.order.pop_front()
        {
            self.offsets.remove(&oldest.nonce);
        }
    }

    /// Whether the entries are within bounds and distinct.
    pub(crate) fn is_valid(&self) -> bool {
        self.order.len() <= NONCE_LIMIT && self.order.len() == self.offsets.len()
    }
}

impl From<VecDeque<NonceEntry>> for SeenNonces {
    fn from(order: VecDeque<NonceEntry>) -> Self {
        let offsets = order
            .iter()
            .map(|entry| (entry.nonce.clone(), entry.offset))
            .collect();
        Self { order, offsets }
    }
}

impl Serialize for SeenNonces {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        self.order.serialize(serializer)
    }
}

/// The verdicts of the most recent tickets, in log order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct RecentVerdicts(VecDeque<VerdictEntry>);

impl RecentVerdicts {
    pub(crate) fn record(&mut self, entry: VerdictEntry) {
        self.0.push_back(entry);
        if self.0.len() > VERDICT_LIMIT {
            self.0.pop_front();
        }
    }

    pub(crate) fn iter(&self) -> impl DoubleEndedIterator<Item = &VerdictEntry> {
        self.0.iter()
    }

    pub(crate) fn is_valid(&self) -> bool {
        self.0.len() <= VERDICT_LIMIT
    }
}
