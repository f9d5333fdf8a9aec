//! Checks that the objects of a configuration are consistent with each other.
//!
//! Only what a ticket affects is checked again: a full check of 3,800 targets takes about 9 ms,
//! which would add minutes to the start of a VM that replays 20,000 tickets.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use filbertpitch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::object::ObjectChange;
use crate::spec::{Configuration, ServiceSpec, TargetSpec};

/// The maximum number of services, targets and teams together, which bounds the memory of the
/// configuration. The largest planned deployment has about 4,000.
pub const OBJECT_LIMIT: usize = 20_000;
/// The maximum number of problems listed for one ticket.
pub const PROBLEM_LIMIT: usize = 8;

/// An inconsistency between the objects of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReferenceProblem {
    /// A target is configured for a service that does not exist.
    UnknownService {
        /// The target.
        target: TargetName,
        /// The service.
        service: ServiceName,
    },
    /// A target is configured for a kind that the service does not have.
    UnknownKind {
        /// The target.
        target: TargetName,
        /// The service.
        service: ServiceName,
        /// The kind.
        kind: KindName,
    },
    /// Two targets have the same address.
    SharedAddress {
        /// The address.
        address: SocketAddr,
        /// One target.
        first: TargetName,
        /// The other target.
        second: TargetName,
    },
    /// The configuration has too many objects.
    TooManyObjects {
        /// The number of objects.
        found: usize,
        /// The maximum number of objects.
        most: usize,
    },
}

impl fmt::Display for ReferenceProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService { target, service } => {
                write!(
                    f,
                    "target {target} takes service {service}, which does not exist"
                )
            }
            Self::UnknownKind {
                target,
                service,
                kind,
            } => write!(
                f,
                "target {target} takes kind {kind}, which service {service} does not have"
            ),
            Self::SharedAddress {
                address,
                first,
                second,
            } => write!(
                f,
                "targets {first} and {second} have the same address {address}"
            ),
            Self::TooManyObjects { found, most } => {
                write!(f, "{found} objects; at most {most} are allowed")
            }
        }
    }
}

/// Lists the problems that the configuration would have after the changes. `base` must be valid.
pub fn verify_changes(base: &Configuration, changes: &[ObjectChange]) -> Vec<ReferenceProblem> {
    let mut overlay = ConfigOverlay::new(base);
    for change in changes {
        overlay.add(change);
    }
    overlay.verify()
}

/// Lists the problems of a configuration, without assuming that any part of it is valid.
pub fn verify_configuration(configuration: &Configuration) -> Vec<ReferenceProblem> {
    let empty = Configuration::default();
    let mut overlay = ConfigOverlay::new(&empty);
    for (name, spec) in &configuration.services {
        overlay.services.insert(name, Some(spec));
    }
    for (name, spec) in &configuration.targets {
        overlay.targets.insert(name, Some(spec));
    }
    for name in configuration.teams.keys() {
        overlay.teams.insert(name, true);
    }
    overlay.verify()
}

/// A valid configuration with changes on top that replace or remove objects.
struct ConfigOverlay<'a> {
    base: &'a Configuration,
    services: BTreeMap<&'a ServiceName, Option<&'a ServiceSpec>>,
    targets: BTreeMap<&'a TargetName, Option<&'a TargetSpec>>,
    teams: BTreeMap<&'a TeamName, bool>,
}

impl<'a> ConfigOverlay<'a> {
    fn new(base: &'a Configuration) -> Self {
        Self {
            base,
            services: BTreeMap::new(),
            targets: BTreeMap::new(),
            teams: BTreeMap::new(),
        }
    }

    fn add(&mut self, change: &'a ObjectChange) {
        match change {
            ObjectChange::Service(name, spec) => {
                self.services.insert(name, spec.as_ref());
            }
            ObjectChange::Target(name, spec) => {
                self.targets.insert(name, spec.as_ref());
            }
            ObjectChange::Team(name, spec) => {
                self.teams.insert(name, spec.is_some());
            }
            ObjectChange::Limits(_) => {}
        }
    }

    fn service(&self, name: &ServiceName) -> Option<&'a ServiceSpec> {
        match self.services.get(name) {
            Some(spec) => *spec,
            None => self.base.services.get(name),
        }
    }

    fn changed_targets(&self) -> impl Iterator<Item = (&'a TargetName, &'a TargetSpec)> {
        self.targets
            .iter()
            .filter_map(|(&name, &spec)| Some((name, spec?)))
    }

    fn kept_targets(&self) -> impl Iterator<Item = (&'a TargetName, &'a TargetSpec)> {
        self.base
            .targets
            .iter()
            .filter(|(name, _)| !self.targets.contains_key(name))
    }

    fn verify(&self) -> Vec<ReferenceProblem> {
        let mut problems = Vec::new();
        for (name, spec) in self.changed_targets() {
            self.check_references(name, spec, &mut problems);
        }
        if !self.services.is_empty() {
            for (name, spec) in self.kept_targets() {
                self.check_references(name, spec, &mut problems);
            }
        }
        self.check_addresses(&mut problems);
        self.check_count(&mut problems);
        problems
    }

    fn check_references(
        &self,
        target: &TargetName,
        spec: &TargetSpec,
        problems: &mut Vec<ReferenceProblem>,
    ) {
        for (service, kinds) in &spec.takes {
            let Some(service_spec) = self.service(service) else {
                problems.push(ReferenceProblem::UnknownService {
                    target: target.clone(),
                    service: service.clone(),
                });
                continue;
            };
            let unknown = kinds
                .iter()
                .filter(|kind| !service_spec.kinds.contains_key(kind));
            problems.extend(unknown.map(|kind| ReferenceProblem::UnknownKind {
                target: target.clone(),
                service: service.clone(),
                kind: kind.clone(),
            }));
        }
    }

    fn check_addresses(&self, problems: &mut Vec<ReferenceProblem>) {
        let mut owners = BTreeMap::<SocketAddr, &TargetName>::new();
        let mut shared = |owner: &TargetName, name: &TargetName, spec: &TargetSpec| {
            problems.push(ReferenceProblem::SharedAddress {
                address: spec.address,
                first: owner.clone(),
                second: name.clone(),
            });
        };
        for (name, spec) in self.changed_targets() {
            if let Some(owner) = owners.insert(canonical_address(spec.address), name) {
                shared(owner, name, spec);
            }
        }
        if owners.is_empty() {
            return;
        }
        for (name, spec) in self.kept_targets() {
            if let Some(owner) = owners.get(&canonical_address(spec.address)) {
                shared(owner, name, spec);
            }
        }
    }

    fn check_count(&self, problems: &mut Vec<ReferenceProblem>) {
        let services = self.services.iter().map(|(&name, spec)| {
            count_change(self.base.services.contains_key(name), spec.is_some())
        });
        let targets = self.targets.iter().map(|(&name, spec)| {
            count_change(self.base.targets.contains_key(name), spec.is_some())
        });
        let teams = self
            .teams
            .iter()
            .map(|(&name, &present)| count_change(self.base.teams.contains_key(name), present));
        let added = services.chain(targets).chain(teams).sum::<isize>();
        let found = object_count(self.base).saturating_add_signed(added);
        if found > OBJECT_LIMIT && added > 0 {
            let most = OBJECT_LIMIT;
            problems.push(ReferenceProblem::TooManyObjects { found, most });
        }
    }
}

fn count_change(before: bool, after: bool) -> isize {
    isize::from(after) - isize::from(before)
}

/// The number of services, targets and teams in a configuration.
pub(crate) fn object_count(configuration: &Configuration) -> usize {
    configuration.services.len() + configuration.targets.len() + configuration.teams.len()
}

/// Converts IPv4-mapped IPv6 addresses to IPv4, so that equal addresses compare as equal.
fn canonical_address(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip().to_canonical(), address.port())
}
