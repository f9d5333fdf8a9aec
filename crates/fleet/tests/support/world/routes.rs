//! Whether tasks start only where they may: on targets of their service, with their label, and within the limit
//! on the tasks of a step. Targets may come back as others.

use std::collections::BTreeMap;

use filbertpitch_types::prelude::*;
use rand::Rng;

use super::SimFleet;
use crate::support::target::SimTarget;

/// The service to which the configuration sends all queues.
const SERVICE: &str = "desk";

/// What a target is, as its entry in the list describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetKind {
    pub label: &'static str,
    pub service: &'static str,
    /// The share of the usual capacity, in percent.
    pub capacity_percent: u32,
}

impl Default for TargetKind {
    fn default() -> Self {
        Self {
            label: "kind-a",
            service: SERVICE,
            capacity_percent: 100,
        }
    }
}

/// Starts on targets of another kind or service than the task needs, by a VM that cannot know it.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnawareStarts {
    /// The target has started again while the request was on its way.
    pub on_their_way: usize,
    /// The request was sent after the restart, of which nothing had reached the VM.
    pub before_notice: usize,
}

/// Which instances of targets the VMs have heard, and what was started without knowing them.
#[derive(Debug, Default)]
pub(super) struct RouteAudit {
    /// By VM and target: the instance of the latest report, and when its report arrived first.
    heard: BTreeMap<(usize, usize), (u64, u64)>,
    /// The target and the instance of each report on its way, by the call that it answers.
    reports: BTreeMap<u64, (usize, u64)>,
    unaware: UnawareStarts,
}

impl RouteAudit {
    /// Forgets what the former process of a VM has heard.
    pub(super) fn forget_vm(&mut self, vm: usize) {
        self.heard.retain(|(other, _), _| *other != vm);
    }

    /// Records that an instance of a target answers a call with a report.
    pub(super) fn record_answer(&mut self, call: u64, target: usize, instance: u64) {
        self.reports.insert(call, (target, instance));
    }

    /// Whether a report of the target's present instance had reached a VM when it sent a request.
    pub(super) fn knows_instance(
        &self,
        vm: usize,
        index: usize,
        target: &SimTarget,
        sent_at: u64,
    ) -> bool {
        let heard = self.heard.get(&(vm, index));
        heard.is_some_and(|(instance, at)| *instance == target.instance && *at <= sent_at)
    }
}

impl SimFleet {
    /// Records that the report to a call has reached a VM, which handles it next.
    pub(super) fn record_report(&mut self, call: u64, vm: usize) {
        let Some((target, instance)) = self.routes.reports.remove(&call) else {
            return;
        };
        let now = self.now;
        let heard = self.routes.heard.entry((vm, target));
        let heard = heard.or_insert((instance, now));
        if heard.0 != instance {
            *heard = (instance, now);
        }
    }

    /// Checks that a task may run on the target that has just started it. A VM that has heard the present
    /// instance of the target has no excuse; other starts are counted.
    pub(super) fn check_route(&mut self, vm: usize, target: usize, run: RunName, sent_at: u64) {
        let place = &self.targets[target];
        let known = self.routes.knows_instance(vm, target, place, sent_at);
        let shape = self.jobs[&run.task.job].shape;
        let has_label = shape
            .label
            .is_none_or(|label| place.labels.iter().any(|it| **it == *label));
        let suits = has_label && place.service.as_str() == SERVICE;
        if !suits && known {
            self.print_history(&place.name);
            panic!(
                "seed {}: {run}, which needs {:?}, starts on {} of {} with {:?} at {} us",
                self.seed(),
                shape.label,
                place.name,
                place.service,
                place.labels,
                self.now
            );
        }
        if !suits {
            let unaware = &mut self.routes.unaware;
            match sent_at < place.boot_us() {
                true => unaware.on_their_way += 1,
                false => unaware.before_notice += 1,
            }
        }
        let place = &self.targets[target];
        let of_step =
            |other: &&RunName| other.task.job == run.task.job && other.task.step == run.task.step;
        let beside = place.runs.keys().filter(of_step).count();
        if let Some(limit) = shape.spread_limit
            && beside > usize::from(limit)
        {
            self.print_job(run.task.job);
            panic!(
                "seed {}: {run} is one of {beside} tasks on {}, of which {limit} may run there, at {} us",
                self.seed(),
                place.name,
                self.now
            );
        }
    }

    /// The starts on targets of another kind or service by VMs that could not know it.
    pub fn unaware_starts(&self) -> UnawareStarts {
        self.routes.unaware
    }

    /// Changes what a target is, and starts it again.
    pub fn replace_target(&mut self, target: usize, kind: &TargetKind) {
        self.targets[target].labels = vec![kind.label.into()];
        self.targets[target].service = kind.service.parse().expect("the name is valid");
        self.resize_target(target, kind.capacity_percent);
        self.restart_target(target);
        self.record_history(target, format!("next instance: {kind:?}"));
    }

    /// A kind drawn at random.
    pub fn draw_kind(&mut self) -> TargetKind {
        let kind = TargetKind::default();
        match self.rng.random_range(0..6) {
            0 | 1 => kind,
            2 | 3 => TargetKind {
                label: "kind-b",
                ..kind
            },
            4 => TargetKind {
                service: "other",
                ..kind
            },
            _ => TargetKind {
                label: "kind-b",
                capacity_percent: 50,
                ..kind
            },
        }
    }
}
