//! The platform's list of VMs, which shows changes after a lag.

use std::collections::VecDeque;
use std::time::Duration;

use filbertpitch_types::platform::{VmEntry, VmList, VmState};
use filbertpitch_types::prelude::*;

/// A change of the set of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VmChange {
    /// Adds a VM, or replaces the one with the same name.
    Add(VmEntry),
    /// Marks a VM as leaving.
    MarkLeaving(TargetName),
    /// Removes a VM.
    Remove(TargetName),
}

/// The list could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListUnavailable;

/// The list of VMs as the platform reports it.
#[derive(Clone, Debug, Default)]
pub struct VmModel {
    visible: VmList,
    pending: VecDeque<(TimePoint, VmChange)>,
    lag: Duration,
    outage: bool,
}

impl VmModel {
    /// A list that initially shows `vms` and shows each change `lag` later.
    pub fn new(vms: Vec<VmEntry>, lag: Duration) -> Self {
        Self {
            visible: VmList { vms },
            lag,
            ..Self::default()
        }
    }

    /// Sets the lag of later changes.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Starts or ends an outage, during which the list cannot be read.
    pub fn set_outage(&mut self, outage: bool) {
        self.outage = outage;
    }

    /// Makes a change, which becomes visible after the lag and never before an earlier change.
    pub fn change(&mut self, now: TimePoint, change: VmChange) {
        let last = self.pending.back().map(|&(due, _)| due);
        let due = last.unwrap_or_default().max(now + self.lag);
        self.pending.push_back((due, change));
    }

    /// When every change made so far is visible.
    pub fn settled_at(&self, now: TimePoint) -> TimePoint {
        self.pending.back().map_or(now, |&(due, _)| due.max(now))
    }

    /// The list as visible at `now`.
    ///
    /// # Errors
    /// During an outage.
    pub fn list(&mut self, now: TimePoint) -> Result<&VmList, ListUnavailable> {
        while self.pending.front().is_some_and(|&(due, _)| due <= now) {
            let (_, change) = self.pending.pop_front().expect("a change is pending");
            apply_change(&mut self.visible.vms, change);
        }
        match self.outage {
            true => Err(ListUnavailable),
            false => Ok(&self.visible),
        }
    }
}

fn apply_change(vms: &mut Vec<VmEntry>, change: VmChange) {
    match change {
        VmChange::Add(entry) => {
            vms.retain(|vm| vm.name != entry.name);
            vms.push(entry);
        }
        VmChange::MarkLeaving(name) => {
            let matching = vms.iter_mut().filter(|vm| vm.name == name);
            matching.for_each(|vm| vm.state = VmState::Leaving);
        }
        VmChange::Remove(name) => vms.retain(|vm| vm.name != name),
    }
}
