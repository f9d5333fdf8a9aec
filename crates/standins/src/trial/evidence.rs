//! What was observed from outside the code under test.

use std::collections::BTreeMap;

use filbertpitch_types::platform::VmState;
use filbertpitch_types::prelude::*;

use super::message::{Failure, Response};
use super::sim::Simulation;

/// A time in which the list showed a target as leaving.
#[derive(Clone, Debug)]
pub struct LeavingWindow {
    /// The target.
    pub target: usize,
    /// When the list showed it.
    pub from: TimePoint,
    /// When the list no longer showed it.
    pub until: TimePoint,
}

/// When a VM learned that a target is leaving.
#[derive(Clone, Copy, Debug)]
pub struct SeenLeaving {
    /// The VM.
    pub vm: usize,
    /// The target.
    pub target: usize,
    /// When its list first showed it.
    pub at: TimePoint,
}

/// Observations of a run.
#[derive(Debug, Default)]
pub struct Evidence {
    /// What must not have happened.
    pub violations: Vec<Box<str>>,
    /// Who sent each start and when.
    pub sent: BTreeMap<AttemptId, (usize, TimePoint)>,
    /// Which process took over the outcomes of which incarnation.
    pub handed: BTreeMap<IncarnationId, IncarnationId>,
    /// Targets that were leaving.
    pub leaving: Vec<LeavingWindow>,
    /// When VMs saw that.
    pub seen_leaving: Vec<SeenLeaving>,
    /// When VMs could not read the list.
    pub list_failures: Vec<(usize, TimePoint)>,
    /// When VMs were frozen.
    pub pauses: Vec<(usize, TimePoint, TimePoint)>,
}

impl Simulation {
    /// Records what a VM read in the list.
    pub fn witness_list(&mut self, vm: usize, result: &Result<Response, Failure>) {
        let Ok(Response::List(list)) = result else {
            self.evidence.list_failures.push((vm, self.now));
            return;
        };
        let leaving = list
            .vms
            .iter()
            .filter(|entry| entry.state == VmState::Leaving);
        for entry in leaving {
            let named = (0..self.targets.len())
                .find(|&target| super::world_setup::target_name(target) == entry.name);
            if let Some(target) = named {
                let at = self.now;
                self.evidence
                    .seen_leaving
                    .push(SeenLeaving { vm, target, at });
            }
        }
    }
}
