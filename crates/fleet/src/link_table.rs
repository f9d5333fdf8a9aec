//! The links to all peers, and what the engine needs of all of them after each event.
//!
//! An event changes one link or none, but after each event the engine must know to which peers an
//! envelope is due. The table therefore keeps what follows from each link and computes it anew only
//! for the links that were borrowed mutably since.

use std::net::SocketAddr;
use std::ops::{Deref, Index, IndexMut};

use filbertpitch_dispatch::entity::VmIndex;
use filbertpitch_types::fleet::DemandClass;
use filbertpitch_types::prelude::*;
use typed_index_collections::{TiSlice, TiVec};

use crate::heartbeat::PeerCounts;
use crate::link::{EnvelopeTimes, PeerLink};

/// What the table has last computed from a link.
#[derive(Clone, Copy, Debug, Default)]
struct LinkSummary {
    /// Whether the link may have changed since.
    changed: bool,
    times: EnvelopeTimes,
    /// The latest time for the next regular envelope.
    heartbeat_due: Option<TimePoint>,
    address: Option<SocketAddr>,
}

/// The links to the other VMs. The element of this VM itself is always empty.
#[derive(Debug)]
pub struct LinkTable {
    links: TiVec<VmIndex, Option<PeerLink>>,
    summaries: TiVec<VmIndex, LinkSummary>,
    /// The links that may have changed since their summaries were computed.
    changed: Vec<VmIndex>,
    counts: PeerCounts,
    /// The earliest time at which an envelope is due whatever tasks wait.
    first_due: Option<TimePoint>,
    first_heartbeat: Option<TimePoint>,
    addresses_version: u64,
}

impl Default for LinkTable {
    /// A table with the empty element of this VM.
    fn default() -> Self {
        Self {
            links: TiVec::from(vec![None]),
            summaries: TiVec::from(vec![LinkSummary::default()]),
            changed: Vec::new(),
            counts: PeerCounts::default(),
            first_due: None,
            first_heartbeat: None,
            addresses_version: 0,
        }
    }
}

impl LinkTable {
    /// Appends the link to a peer.
    pub fn push(&mut self, link: PeerLink) {
        let peer = self.links.push_and_get_key(Some(link));
        self.summaries.push(LinkSummary::default());
        self.mark_changed(peer);
    }

    /// All links, for changes.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (VmIndex, &mut PeerLink)> {
        self.links.keys().for_each(|peer| self.mark_changed(peer));
        let links = self.links.iter_mut_enumerated();
        links.filter_map(|(peer, link)| Some((peer, link.as_mut()?)))
    }

    /// The number of live peers.
    pub fn counts(&mut self) -> PeerCounts {
        self.refresh();
        self.counts
    }

    /// Rises when the address of a peer becomes known or changes.
    pub fn addresses_version(&mut self) -> u64 {
        self.refresh();
        self.addresses_version
    }

    /// The peers to which an envelope must be sent now. `most_urgent` is the class of the most
    /// urgent waiting task of this VM.
    pub fn due_envelopes(
        &mut self,
        now: TimePoint,
        most_urgent: Option<DemandClass>,
    ) -> Vec<VmIndex> {
        self.refresh();
        if most_urgent.is_none() && self.first_due.is_none_or(|due| due > now) {
            return Vec::new();
        }
        let due = self.summaries.iter_enumerated();
        let due = due.filter(|(_, summary)| summary.times.is_due(now, most_urgent));
        let due = due.map(|(peer, _)| peer).collect();
        debug_assert_eq!(due, self.compute_due(now, most_urgent));
        due
    }

    /// Computes the result of [`Self::due_envelopes`] from all links.
    pub fn compute_due(&self, now: TimePoint, most_urgent: Option<DemandClass>) -> Vec<VmIndex> {
        let mut counts = PeerCounts::default();
        let live = self.links.iter().flatten().filter(|link| link.is_live());
        live.for_each(|link| counts.add(link.heartbeat().locality()));
        let due = self.links.iter_enumerated().filter(|(_, link)| {
            link.as_ref()
                .is_some_and(|link| link.is_envelope_due(now, most_urgent, counts))
        });
        due.map(|(peer, _)| peer).collect()
    }

    /// The earliest time at which a regular envelope is due.
    pub fn heartbeat_due(&self) -> Option<TimePoint> {
        if self.changed.is_empty() {
            return self.first_heartbeat;
        }
        let links = self.links.iter().flatten();
        links.filter_map(PeerLink::heartbeat_due).min()
    }

    fn mark_changed(&mut self, peer: VmIndex) {
        if !std::mem::replace(&mut self.summaries[peer].changed, true) {
            self.changed.push(peer);
        }
    }

    fn refresh(&mut self) {
        if self.changed.is_empty() {
            return;
        }
        let mut changed = std::mem::take(&mut self.changed);
        changed.drain(..).for_each(|peer| self.summarize(peer));
        // Keeps the allocation.
        self.changed = changed;
        let mut counts = PeerCounts::default();
        for summary in &self.summaries {
            if let Some(locality) = summary.times.live {
                counts.add(locality);
            }
        }
        if counts != self.counts {
            // The intervals of all links depend on the number of live peers.
            self.counts = counts;
            self.links.keys().for_each(|peer| self.summarize(peer));
        }
        let dues = self.summaries.iter();
        self.first_due = dues.filter_map(|summary| summary.times.due).min();
        let heartbeats = self.summaries.iter();
        self.first_heartbeat = heartbeats.filter_map(|summary| summary.heartbeat_due).min();
    }

    fn summarize(&mut self, peer: VmIndex) {
        let summary = &mut self.summaries[peer];
        summary.changed = false;
        if let Some(link) = &self.links[peer] {
            summary.times = link.envelope_times(self.counts);
            summary.heartbeat_due = link.heartbeat_due();
            let address = Some(link.identity().address);
            if std::mem::replace(&mut summary.address, address) != address {
                self.addresses_version += 1;
            }
        }
    }
}

impl Deref for LinkTable {
    type Target = TiSlice<VmIndex, Option<PeerLink>>;

    fn deref(&self) -> &Self::Target {
        &self.links
    }
}

impl Index<VmIndex> for LinkTable {
    type Output = Option<PeerLink>;

    fn index(&self, vm: VmIndex) -> &Self::Output {
        &self.links[vm]
    }
}

impl IndexMut<VmIndex> for LinkTable {
    fn index_mut(&mut self, vm: VmIndex) -> &mut Self::Output {
        self.mark_changed(vm);
        &mut self.links[vm]
    }
}
