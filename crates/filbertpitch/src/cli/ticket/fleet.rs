//! Which entry VMs have a ticket in force.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use filbertpitch_types::prelude::*;
use filbertpitch_types::status::{PeerState, VmStatus};
use filbertpitch_types::units::DurationText;
use http::Uri;
use serde::Serialize;
use serde_with::serde_as;

use super::super::VmClient;

/// How long a ticket may take to be in force on a VM that answers.
const FORCE_TIMEOUT: Duration = Duration::from_secs(15);
/// The pause between two questions to a VM.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The time for one question.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// What is known about the ticket on one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ForceState {
    /// The VM has applied the ticket's record.
    InForce,
    /// The VM answers and has not applied it in time.
    Late,
    /// The VM does not answer.
    Unreachable,
}

/// One VM's state.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct VmForce {
    /// The VM.
    pub address: SocketAddr,
    /// The ticket's state there.
    pub state: ForceState,
    /// When that was found, since the ticket was accepted.
    #[serde_as(as = "DurationText")]
    pub after: Duration,
}

/// Asks the VMs, and the peers that they know, until each has the record at `offset` in force.
pub async fn await_force(via: &[SocketAddr], offset: LogOffset) -> Vec<VmForce> {
    let started = Instant::now();
    let mut known = via.iter().copied().collect::<BTreeSet<_>>();
    let mut done = Vec::new();
    while let Some(address) = next_unasked(&known, &done) {
        let (force, peers) = ask_until(address, offset, started).await;
        known.extend(peers);
        done.push(force);
    }
    done.sort_by_key(|force| force.address);
    done
}

fn next_unasked(known: &BTreeSet<SocketAddr>, done: &[VmForce]) -> Option<SocketAddr> {
    let asked = |address: &SocketAddr| done.iter().any(|force| force.address == *address);
    known.iter().copied().find(|address| !asked(address))
}

async fn ask_until(
    address: SocketAddr,
    offset: LogOffset,
    started: Instant,
) -> (VmForce, Vec<SocketAddr>) {
    let client = VmClient::new(address);
    let mut peers = Vec::new();
    let mut state = ForceState::Unreachable;
    loop {
        let answer = client
            .get::<VmStatus>(Uri::from_static("/v1/status"), STATUS_TIMEOUT)
            .await;
        state = match &answer {
            Ok(status) if status.config.next > offset => ForceState::InForce,
            Ok(_) => ForceState::Late,
            Err(_) if state == ForceState::Late => ForceState::Late,
            Err(_) => ForceState::Unreachable,
        };
        if let Ok(status) = answer {
            let live = status.peers.iter();
            let live = live.filter(|peer| peer.state != PeerState::Leaving);
            peers = live.map(|peer| peer.address).collect();
        }
        let after = started.elapsed();
        if state != ForceState::Late || after >= FORCE_TIMEOUT {
            let force = VmForce {
                address,
                state,
                after,
            };
            return (force, peers);
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}
