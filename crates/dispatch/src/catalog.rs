//! The configuration compiled for the hot path.
//!
//! Names are replaced by indices. The configuration lists the kinds that each target takes; the
//! catalog lists the targets that can run each kind.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_config::spec::{Configuration, ServiceSpec, TargetSpec, TeamSpec};
use filbertpitch_types::prelude::*;
use typed_index_collections::TiVec;

use crate::entity::{KindIndex, NameInterner, ServiceIndex, TargetIndex, TeamIndex, ZoneIndex};

/// The name of a kind of work, which is unique only within its service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KindKey {
    /// The name of the service.
    pub service: ServiceName,
    /// The name of the kind within the service.
    pub kind: KindName,
}

/// A kind of work in the installed configuration.
#[derive(Clone, Debug)]
pub struct KindEntry {
    /// The service that the kind belongs to.
    pub service: ServiceIndex,
    /// The configured typical run time.
    pub typical: Duration,
    /// The targets that can run this kind, in ascending order.
    pub targets: Vec<TargetIndex>,
}

/// A target in the installed configuration.
#[derive(Clone, Debug)]
pub struct TargetEntry {
    /// The availability zone of the target.
    pub zone: ZoneIndex,
    /// The configuration of the target.
    pub spec: TargetSpec,
}

/// The compiled configuration. Entities that were removed from the configuration keep their index
/// and name but have no entry.
#[derive(Clone, Debug, Default)]
pub struct ConfigCatalog {
    kind_names: NameInterner<KindIndex, KindKey>,
    service_names: NameInterner<ServiceIndex, ServiceName>,
    team_names: NameInterner<TeamIndex, TeamName>,
    target_names: NameInterner<TargetIndex, TargetName>,
    zone_names: NameInterner<ZoneIndex, ZoneName>,
    kinds: TiVec<KindIndex, Option<KindEntry>>,
    services: BTreeMap<ServiceIndex, ServiceSpec>,
    teams: TiVec<TeamIndex, Option<TeamSpec>>,
    targets: TiVec<TargetIndex, Option<TargetEntry>>,
    configuration: Rc<Configuration>,
}

impl ConfigCatalog {
    /// Replaces the configuration. Names that were interned before keep their indices.
    pub fn install(&mut self, configuration: Rc<Configuration>) {
        self.intern_names(&configuration);
        self.kinds = TiVec::from(vec![None; self.kind_names.len()]);
        self.teams = TiVec::from(vec![None; self.team_names.len()]);
        self.targets = TiVec::from(vec![None; self.target_names.len()]);
        self.services.clear();
        self.install_services(&configuration);
        self.install_targets(&configuration);
        for (name, spec) in &configuration.teams {
            let team = self.team_names.intern(name);
            self.teams[team] = Some(spec.clone());
        }
        self.configuration = configuration;
    }

    fn intern_names(&mut self, configuration: &Configuration) {
        for (service, spec) in &configuration.services {
            self.service_names.intern(service);
            for kind in spec.kinds.keys() {
                self.kind_names.intern(&KindKey {
                    service: service.clone(),
                    kind: kind.clone(),
                });
            }
        }
        for (target, spec) in &configuration.targets {
            self.target_names.intern(target);
            self.zone_names.intern(&spec.zone);
        }
        for team in configuration.teams.keys() {
            self.team_names.intern(team);
        }
    }

    fn install_services(&mut self, configuration: &Configuration) {
        for (name, spec) in &configuration.services {
            let service = self.service_names.intern(name);
            for (kind, kind_spec) in &spec.kinds {
                let key = KindKey {
                    service: name.clone(),
                    kind: kind.clone(),
                };
                let index = self.kind_names.intern(&key);
                self.kinds[index] = Some(KindEntry {
                    service,
                    typical: kind_spec.typical,
                    targets: Vec::new(),
                });
            }
            self.services.insert(service, spec.clone());
        }
    }

    fn install_targets(&mut self, configuration: &Configuration) {
        for (name, spec) in &configuration.targets {
            let target = self.target_names.intern(name);
            for (service, kinds) in &spec.takes {
                for kind in kinds {
                    let key = KindKey {
                        service: service.clone(),
                        kind: kind.clone(),
                    };
                    let entry = self
                        .kind_names
                        .get(&key)
                        .and_then(|index| self.kinds[index].as_mut());
                    if let Some(entry) = entry {
                        entry.targets.push(target);
                    }
                }
            }
            let zone = self.zone_names.intern(&spec.zone);
            self.targets[target] = Some(TargetEntry {
                zone,
                spec: spec.clone(),
            });
        }
        for entry in self.kinds.iter_mut().flatten() {
            entry.targets.sort_unstable();
        }
    }

    /// The configuration that this catalog was compiled from.
    pub fn configuration(&self) -> &Rc<Configuration> {
        &self.configuration
    }

    /// The index of a kind, if the kind is configured.
    pub fn kind_index(&self, service: &ServiceName, kind: &KindName) -> Option<KindIndex> {
        let key = KindKey {
            service: service.clone(),
            kind: kind.clone(),
        };
        self.kind_names
            .get(&key)
            .filter(|&index| self.kinds[index].is_some())
    }

    /// The index of a team, if the team is configured.
    pub fn team_index(&self, team: &TeamName) -> Option<TeamIndex> {
        self.team_names
            .get(team)
            .filter(|&index| self.teams[index].is_some())
    }

    /// The index of a target, if the target is configured.
    pub fn target_index(&self, target: &TargetName) -> Option<TargetIndex> {
        self.target_names
            .get(target)
            .filter(|&index| self.targets[index].is_some())
    }

    /// The index of a service, if the service is configured.
    pub fn service_index(&self, service: &ServiceName) -> Option<ServiceIndex> {
        self.service_names
            .get(service)
            .filter(|index| self.services.contains_key(index))
    }

    /// The index of an availability zone, assigned on first use.
    pub fn intern_zone(&mut self, zone: &ZoneName) -> ZoneIndex {
        self.zone_names.intern(zone)
    }

    /// The entry of a kind, if the kind is configured.
    pub fn kind(&self, index: KindIndex) -> Option<&KindEntry> {
        self.kinds.get(index)?.as_ref()
    }

    /// The configuration of a service, if the service is configured.
    pub fn service(&self, index: ServiceIndex) -> Option<&ServiceSpec> {
        self.services.get(&index)
    }

    /// The configuration of a team, if the team is configured.
    pub fn team(&self, index: TeamIndex) -> Option<&TeamSpec> {
        self.teams.get(index)?.as_ref()
    }

    /// The entry of a target, if the target is configured.
    pub fn target(&self, index: TargetIndex) -> Option<&TargetEntry> {
        self.targets.get(index)?.as_ref()
    }

    /// The configured targets, in ascending order of index.
    pub fn targets(&self) -> impl Iterator<Item = (TargetIndex, &TargetEntry)> {
        self.targets
            .iter_enumerated()
            .filter_map(|(index, entry)| Some((index, entry.as_ref()?)))
    }

    /// The configured kinds, in ascending order of index.
    pub fn kinds(&self) -> impl Iterator<Item = (KindIndex, &KindEntry)> {
        self.kinds
            .iter_enumerated()
            .filter_map(|(index, entry)| Some((index, entry.as_ref()?)))
    }

    /// The configured services, in ascending order of index.
    pub fn services(&self) -> impl Iterator<Item = (ServiceIndex, &ServiceSpec)> {
        self.services.iter().map(|(&index, spec)| (index, spec))
    }

    /// The configured teams, in ascending order of index.
    pub fn teams(&self) -> impl Iterator<Item = (TeamIndex, &TeamSpec)> {
        self.teams
            .iter_enumerated()
            .filter_map(|(index, spec)| Some((index, spec.as_ref()?)))
    }

    /// The name of a team, whether or not the team is still configured.
    pub fn team_name(&self, index: TeamIndex) -> &TeamName {
        self.team_names.name(index)
    }

    /// The name of a service, whether or not the service is still configured.
    pub fn service_name(&self, index: ServiceIndex) -> &ServiceName {
        self.service_names.name(index)
    }

    /// The name of a target, whether or not the target is still configured.
    pub fn target_name(&self, index: TargetIndex) -> &TargetName {
        self.target_names.name(index)
    }

    /// The service and kind names of a kind, whether or not the kind is still configured.
    pub fn kind_key(&self, index: KindIndex) -> &KindKey {
        self.kind_names.name(index)
    }

    /// The name of an availability zone.
    pub fn zone_name(&self, index: ZoneIndex) -> &ZoneName {
        self.zone_names.name(index)
    }
}
