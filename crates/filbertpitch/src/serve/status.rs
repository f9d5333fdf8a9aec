//! What this VM reports about itself.

use std::collections::BTreeMap;

use filbertpitch_dispatch::engine::{DispatchEngine, EngineCounters, TargetView};
use filbertpitch_dispatch::health::HealthState;
use filbertpitch_dispatch::membership::PeerView;
use filbertpitch_types::prelude::*;
use filbertpitch_types::status::{
    ConfigStatus, PeerState, PeerStatus, QueueStatus, TargetState, TargetStatus, VmStatus,
};
use filbertpitch_wire::message::ServerResponse;
use http::StatusCode;

use super::node::EntryNode;
use super::observe::describe_ejection;

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
        let now = self.now().time;
        let targets = view.targets.iter().map(|view| target_status(view, now));
        VmStatus {
            incarnation: self.incarnation(),
            address: self.settings().advertise,
            zone: self.settings().zone.clone(),
            state: self.life(),
            config: self.config_status(),
            peers: self.peer_statuses(),
            targets: targets.collect(),
            queues: queues.collect(),
            counters: counter_map(&counters),
        }
    }

    pub(super) fn config_status(&self) -> ConfigStatus {
        let follower = self.follower.borrow();
        ConfigStatus {
            ticket: follower.state().object_numbers().values().copied().max(),
            next: follower.next_offset(),
            log_age: follower.read_age(self.now().time),
        }
    }

    pub(super) fn peer_statuses(&self) -> Vec<PeerStatus> {
        let now = self.now().time;
        let peers = self.peers.borrow();
        peers.views(now).map(peer_status).collect()
    }
}

fn peer_status(view: PeerView<'_>) -> PeerStatus {
    let leaving = view.heartbeat.is_some_and(|hello| hello.leaving);
    let state = match (view.suspected || view.heartbeat.is_none(), leaving) {
        (_, true) => PeerState::Leaving,
        (true, false) => PeerState::Silent,
        (false, false) => PeerState::Live,
    };
    PeerStatus {
        address: view.address,
        incarnation: view.heartbeat.map(|hello| hello.incarnation),
        zone: view.heartbeat.map(|hello| hello.zone.clone()),
        state,
        heartbeat_age: view.heartbeat.map(|_| view.age),
    }
}

fn target_status(view: &TargetView, now: TimePoint) -> TargetStatus {
    let (state, reason) = target_state(view, now);
    TargetStatus {
        target: view.target.clone(),
        state,
        reason,
        running: view.running,
        share: view.share,
    }
}

/// The state of a target and its reason. A leaving target returns under no circumstances, so this
/// comes first; an ejected one stays ejected when it can be reached again.
fn target_state(view: &TargetView, now: TimePoint) -> (TargetState, Option<Box<str>>) {
    match view.health {
        _ if view.leaving => {
            let reason = "announced by the target or by the VM list";
            (TargetState::Leaving, Some(reason.into()))
        }
        HealthState::Ejected { cause, probe_at } => {
            let (cause, wait) = (describe_ejection(&cause), probe_at.since(now).as_millis());
            let reason = format!("{cause}; next probe in {wait}ms");
            (TargetState::Ejected, Some(reason.into()))
        }
        HealthState::Probing { successes, needed } => {
            let reason = format!("{successes} of {needed} probes succeeded");
            (TargetState::Probing, Some(reason.into()))
        }
        HealthState::Healthy if view.unreachable => {
            let reason = "the last request on a new connection got no response";
            (TargetState::Unreachable, Some(reason.into()))
        }
        HealthState::Healthy => (TargetState::Available, None),
    }
}

fn counter_map(counters: &EngineCounters) -> BTreeMap<Box<str>, u64> {
    let named = counters.named();
    named.map(|(name, value)| (name.into(), value)).collect()
}
