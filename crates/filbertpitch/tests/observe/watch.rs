//! Changes between two looks.

use filbertpitch::serve::{OverloadChange, OverloadWatch, PeerChange, PeerWatch};
use filbertpitch_types::prelude::*;
use filbertpitch_types::status::{PeerState, PeerStatus};

/// Guards against an event for every second of an overload, and against one that ends early.
#[test]
fn overload_starts_once_and_ends_after_a_quiet_time() {
    let mut watch = OverloadWatch::default();
    let changes = [0, 5, 5, 9, 9, 9, 9, 9, 10].map(|rejected| watch.look(rejected));
    let started = Some(OverloadChange::Started);
    let ended = Some(OverloadChange::Ended);
    assert_eq!(
        changes,
        [None, started, None, None, None, None, ended, None, started]
    );
}

fn peer(incarnation: Option<u64>, state: PeerState) -> [PeerStatus; 1] {
    [PeerStatus {
        address: "10.0.0.1:7400".parse().unwrap(),
        incarnation: incarnation.map(IncarnationId),
        zone: None,
        state,
        heartbeat_age: None,
    }]
}

/// Guards against missed and repeated events about a peer.
#[test]
fn peer_changes_are_reported_once() {
    let mut watch = PeerWatch::default();
    let address = "10.0.0.1:7400".parse().unwrap();
    assert_eq!(watch.look(&peer(None, PeerState::Silent)), []);
    let live = peer(Some(1), PeerState::Live);
    assert_eq!(watch.look(&live), [PeerChange::Live(address)]);
    assert_eq!(watch.look(&live), []);
    let silent = peer(Some(1), PeerState::Silent);
    assert_eq!(watch.look(&silent), [PeerChange::Silent(address)]);
    let replaced = peer(Some(2), PeerState::Live);
    assert_eq!(
        watch.look(&replaced),
        [PeerChange::Replaced(address), PeerChange::Live(address)]
    );
    let leaving = peer(Some(2), PeerState::Leaving);
    assert_eq!(watch.look(&leaving), [PeerChange::Leaving(address)]);
    assert_eq!(watch.look(&[]), []);
}
