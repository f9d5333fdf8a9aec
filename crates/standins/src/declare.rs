//! Declares the simulated targets: what each takes, as a change ticket and as a VM list.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use filbertpitch_config::object::ObjectChange;
use filbertpitch_config::spec::{KindSpec, ServiceSpec, TargetSpec, TeamSpec};
use filbertpitch_config::ticket::ChangeTicket;
use filbertpitch_types::platform::{VmEntry, VmList, VmRole, VmState};
use filbertpitch_types::prelude::*;

use crate::http::target_pool::{CONTROL_PORT_OFFSET, ServedTarget, rotating_kinds};
use crate::target_model::TargetProfile;
use crate::world::WorldProfile;

/// A group of targets on consecutive ports.
#[derive(Clone, Debug)]
pub struct TargetGroup {
    /// The environment, which gives zones, teams, the service and its kinds.
    pub world: WorldProfile,
    /// The address of the first target.
    pub listen: SocketAddr,
    /// How many targets there are.
    pub count: u16,
    /// The number of the first target, which determines names and zones.
    pub first: u16,
    /// How many of the kinds each target takes, rotating over the targets.
    pub kinds_per_target: usize,
    /// Slots per target.
    pub slots: u16,
    /// Connections per target.
    pub connections: u16,
}

impl TargetGroup {
    fn specs(&self) -> impl Iterator<Item = (TargetName, TargetSpec)> + '_ {
        (0..self.count).map(|offset| self.spec(offset))
    }

    fn spec(&self, offset: u16) -> (TargetName, TargetSpec) {
        let number = self.first + offset;
        let name = format!("target-{number:04}").parse().expect("a valid name");
        let kinds = self.world.kinds.iter().map(|kind| kind.name.clone());
        let kinds = kinds.collect::<Vec<_>>();
        let position = usize::from(number);
        let takes = rotating_kinds(&kinds, position, self.kinds_per_target);
        let zone = self.world.zones[position % self.world.zones.len()].clone();
        let port = self.listen.port() + offset;
        let spec = TargetSpec {
            zone,
            address: SocketAddr::new(self.listen.ip(), port),
            slots: self.slots,
            connections: self.connections,
            takes: [(self.world.service.clone(), takes)].into(),
        };
        (name, spec)
    }

    /// The targets as the HTTP process serves them.
    pub fn served(&self) -> Vec<ServedTarget> {
        let served = self.specs().map(|(_, spec)| ServedTarget {
            address: spec.address,
            control: control_address(spec.address),
            profile: TargetProfile {
                takes: spec.takes,
                slots: spec.slots,
                connections: spec.connections,
                ..TargetProfile::default()
            },
        });
        served.collect()
    }

    /// A ticket that declares the service, the teams and the targets.
    pub fn ticket(&self, number: TicketNumber, nonce: TicketNonce) -> ChangeTicket {
        let kinds = self.world.kinds.iter().map(|kind| {
            let typical = kind.run.mean();
            (kind.name.clone(), KindSpec { typical })
        });
        let service = ServiceSpec {
            kinds: kinds.collect::<BTreeMap<_, _>>(),
            max_attempts: 3,
            retry_percent: 10,
        };
        let teams = self.world.teams.iter().map(|team| {
            let spec = TeamSpec::default();
            ObjectChange::Team(team.name.clone(), Some(spec))
        });
        let targets = self.specs();
        let targets = targets.map(|(name, spec)| ObjectChange::Target(name, Some(spec)));
        let service = ObjectChange::Service(self.world.service.clone(), Some(service));
        ChangeTicket {
            number,
            nonce,
            author: "standins".into(),
            objects: std::iter::once(service)
                .chain(teams)
                .chain(targets)
                .collect(),
        }
    }

    /// The targets as the platform lists them.
    pub fn vms(&self) -> VmList {
        let vms = self.specs().map(|(name, spec)| VmEntry {
            name,
            address: spec.address,
            zone: spec.zone,
            role: VmRole::Target,
            state: VmState::Live,
        });
        VmList { vms: vms.collect() }
    }
}

/// The control endpoint of the target at `address`; any port if the target uses any port.
pub fn control_address(address: SocketAddr) -> SocketAddr {
    let port = match address.port() {
        0 => 0,
        port => port.saturating_add(CONTROL_PORT_OFFSET),
    };
    SocketAddr::new(address.ip(), port)
}
