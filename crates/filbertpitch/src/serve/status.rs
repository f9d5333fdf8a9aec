//! What this VM reports about itself.

use std::collections::BTreeMap;

use filbertpitch_dispatch::engine::{DispatchEngine, EngineCounters, TargetView};
use filbertpitch_dispatch::membership::PeerView;
use filbertpitch_dispatch::placement::TargetGate;
use filbertpitch_types::status::{
    ConfigStatus, PeerState, PeerStatus, QueueStatus, TargetState, TargetStatus, VmStatus,
};
use filbertpitch_wire::message::ServerResponse;
use http::StatusCode;

use super::node::EntryNode;

impl EntryNode {
    /// Answers `GET /v1/status`.
    pub(super) fn answer_status(&self) -> ServerResponse {
        ServerResponse::json(StatusCode::OK, &self.status())
    }

    /// Describes this VM.
    pub fn status(&self) -> VmStatus {
        let (view, counters) = self
            .driver()
            .inspect(|engine: &DispatchEngine| (engine.view(), engine.counters()));
        let queues = view.teams.iter().filter(|team| team.depth > 0);
        let queues = queues.map(|team| QueueStatus {
            team: team.team.clone(),
            depth: u32::try_from(team.depth).unwrap_or(u32::MAX),
            work: team.work,
        });
        VmStatus {
            incarnation: self.incarnation(),
            address: self.settings().advertise,
            zone: self.settings().zone.clone(),
            state: self.life(),
            config: self.config_status(),
            peers: self.peer_statuses(),
            targets: view.targets.iter().map(target_status).collect(),
            queues: queues.collect(),
            counters: counter_map(&counters),
        }
    }

    fn config_status(&self) -> ConfigStatus {
        let follower = self.follower.borrow();
        ConfigStatus {
            ticket: follower.state().object_numbers().values().copied().max(),
            next: follower.next_offset(),
            log_age: follower.read_age(self.now().time),
        }
    }

    fn peer_statuses(&self) -> Vec<PeerStatus> {
        let now = self.now().time;
        let peers = self.peers.borrow();
        peers.views(now).map(peer_status).collect()
    }
}

fn peer_status(view: PeerView<'_>) -> PeerStatus {
    let leaving = view.hello.is_some_and(|hello| hello.leaving);
    let state = match (view.suspected || view.hello.is_none(), leaving) {
        (_, true) => PeerState::Leaving,
        (true, false) => PeerState::Silent,
        (false, false) => PeerState::Live,
    };
    PeerStatus {
        address: view.address,
        incarnation: view.hello.map(|hello| hello.incarnation),
        zone: view.hello.map(|hello| hello.zone.clone()),
        state,
        heartbeat_age: view.hello.map(|_| view.age),
    }
}

fn target_status(view: &TargetView) -> TargetStatus {
    let state = if view.leaving {
        TargetState::Leaving
    } else if view.unreachable {
        TargetState::Unreachable
    } else {
        match view.gate {
            TargetGate::Open => TargetState::Available,
            TargetGate::Closed => TargetState::Ejected,
            TargetGate::Probe => TargetState::Probing,
        }
    };
    TargetStatus {
        target: view.target.clone(),
        state,
        reason: None,
        running: view.running,
        share: view.share,
    }
}

fn counter_map(counters: &EngineCounters) -> BTreeMap<Box<str>, u64> {
    let named = counters.named();
    named.map(|(name, value)| (name.into(), value)).collect()
}
