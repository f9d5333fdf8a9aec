//! Detects changes between two looks at the state of the VM.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use filbertpitch_types::prelude::*;
use filbertpitch_types::status::{PeerState, PeerStatus};

/// Looks without a rejection after which an overload is over. One is not enough: at the edge of
/// overload, seconds with and without rejections alternate.
const QUIET_LOOKS: u32 = 3;

/// A change of overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverloadChange {
    /// Work was rejected.
    Started,
    /// No work was rejected for a while.
    Ended,
}

/// Tells when an overload starts and ends.
#[derive(Clone, Copy, Debug, Default)]
pub struct OverloadWatch {
    rejected: u64,
    active: bool,
    quiet: u32,
}

impl OverloadWatch {
    /// Takes over the number of jobs that were rejected because of overload since the start.
    pub fn look(&mut self, rejected: u64) -> Option<OverloadChange> {
        let grown = rejected > self.rejected;
        self.rejected = rejected;
        self.quiet = match grown {
            true => 0,
            false => self.quiet.saturating_add(1),
        };
        let active = grown || (self.active && self.quiet < QUIET_LOOKS);
        let change = match (self.active, active) {
            (false, true) => Some(OverloadChange::Started),
            (true, false) => Some(OverloadChange::Ended),
            _ => None,
        };
        self.active = active;
        change
    }
}

/// A peer as it was seen last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeenPeer {
    /// Its incarnation, once it has responded.
    pub incarnation: Option<IncarnationId>,
    /// Its state.
    pub state: PeerState,
}

/// A change of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerChange {
    /// It responds.
    Live(SocketAddr),
    /// It no longer responds.
    Silent(SocketAddr),
    /// It has announced that it stops.
    Leaving(SocketAddr),
    /// Another incarnation responds at its address.
    Replaced(SocketAddr),
}

/// Tells how peers change.
#[derive(Clone, Debug, Default)]
pub struct PeerWatch {
    seen: BTreeMap<SocketAddr, SeenPeer>,
}

impl PeerWatch {
    /// Takes over the state of all peers.
    pub fn look(&mut self, peers: &[PeerStatus]) -> Vec<PeerChange> {
        let mut changes = Vec::new();
        let mut seen = BTreeMap::new();
        for peer in peers {
            let current = SeenPeer {
                incarnation: peer.incarnation,
                state: peer.state,
            };
            let before = self.seen.get(&peer.address);
            changes.extend(peer_changes(peer.address, before, current));
            seen.insert(peer.address, current);
        }
        self.seen = seen;
        changes
    }
}

fn peer_changes(
    address: SocketAddr,
    before: Option<&SeenPeer>,
    current: SeenPeer,
) -> impl Iterator<Item = PeerChange> {
    let known = before.and_then(|before| before.incarnation);
    let replaced = known.is_some() && current.incarnation.is_some() && known != current.incarnation;
    let replaced = replaced.then_some(PeerChange::Replaced(address));
    // A peer that was never heard of is no news while it stays silent.
    let state = before.map_or(PeerState::Silent, |before| before.state);
    let changed = (state != current.state).then_some(match current.state {
        PeerState::Live => PeerChange::Live(address),
        PeerState::Silent => PeerChange::Silent(address),
        PeerState::Leaving => PeerChange::Leaving(address),
    });
    replaced.into_iter().chain(changed)
}
