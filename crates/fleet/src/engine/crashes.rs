//! Crashes of targets: who learns of them, and what they mean for the tasks that the targets had.

use std::collections::BTreeSet;

use filbertpitch_dispatch::entity::{JobKey, TargetIndex, VmIndex};
use filbertpitch_types::fleet::{CrashReport, FleetMessage, JobReply};

use super::{FleetEngine, FleetNotice};
use crate::crash_log::CrashSuspicion;
use crate::held::TargetCrash;
use crate::job_table::{TaskPhase, TaskRef};
use crate::registry::TargetInstance;

/// Of so many held targets, one may be reserved for a trial or unreachable, so that trials under load
/// cost few targets at a time.
const TARGETS_PER_TRIAL: usize = 8;

impl FleetEngine {
    /// Tells the VMs that may get the jobs concerned of the crash of a held target: the coordinators,
    /// and the VMs of their zones, to which their clients turn next.
    pub(super) fn report_crash(&mut self, target: TargetIndex, crash: TargetCrash) {
        let name = self.registry.name(target).clone();
        self.counters.targets_crashed += 1;
        self.notice(FleetNotice::TargetCrashed {
            target: name.clone(),
            runs: crash.tasks.len(),
        });
        let receivers = self.crash_receivers(&crash.coordinators);
        let report = CrashReport {
            target: name,
            token: crash.token,
            boot: crash.boot,
            tasks: crash.tasks,
            alone: crash.alone,
            unconfirmed: crash.unconfirmed.into_iter().collect(),
        };
        for receiver in receivers {
            self.send(receiver, FleetMessage::Crashed(vec![report.clone()]));
        }
    }

    /// The live VMs of the coordinators' zones; all live VMs if a coordinator is not known.
    fn crash_receivers(&self, coordinators: &BTreeSet<Option<VmIndex>>) -> Vec<VmIndex> {
        let zone_of = |vm: VmIndex| match &self.links[vm] {
            Some(link) => link.identity().zone.clone(),
            None => self.identity.zone.clone(),
        };
        let zones = coordinators.iter().map(|vm| vm.map(zone_of));
        let zones = zones.collect::<BTreeSet<_>>();
        let concerned = |vm: VmIndex| zones.contains(&None) || zones.contains(&Some(zone_of(vm)));
        self.live_vms().filter(|vm| concerned(*vm)).collect()
    }

    /// Tells a peer that is heard for the first time or again of the latest crashes.
    pub(super) fn share_crashes(&mut self, peer: VmIndex) {
        let latest = self.crash_log.latest();
        if !latest.is_empty() {
            self.send(peer, FleetMessage::Crashed(latest));
        }
    }

    /// Records crashes, and gives up the jobs that have a task which causes them.
    pub(super) fn receive_crashes(&mut self, reports: &[CrashReport]) {
        let now = self.now();
        let mut given_up = BTreeSet::new();
        for report in reports {
            if self.is_by_former_holder(report) {
                continue;
            }
            for name in self.crash_log.record(now, report) {
                let Some(task) = self.jobs.find_task(&name) else {
                    continue;
                };
                if self.jobs.task(task).phase == TaskPhase::Done {
                    continue;
                }
                let is_cause = self.crash_log.suspicion(name) == CrashSuspicion::Cause;
                if is_cause {
                    given_up.insert(task.job);
                }
                self.notice(FleetNotice::TaskSuspected {
                    task: name,
                    target: report.target.clone(),
                    crashes: self.crash_log.count(name),
                    given_up: is_cause,
                });
            }
        }
        for job in given_up {
            self.fail_crashing_job(job);
        }
    }

    /// Whether another VM has held the crashed instance since the reporter did. The target has told it which runs
    /// it had; the reporter may not know that some of them were stopped.
    fn is_by_former_holder(&self, report: &CrashReport) -> bool {
        let Some(target) = self.registry.find(&report.target) else {
            return false;
        };
        let instance = TargetInstance(report.boot);
        let own = self.held.get(&target);
        let own = own.map(|held| (held.token(), held.instance()));
        let links = self.links.iter().flatten();
        let holdings = links.flat_map(|link| link.holdings());
        let of_peers = holdings.filter(|holding| holding.target == target);
        let of_peers = of_peers.map(|holding| (holding.token, holding.instance));
        report.boot.is_some()
            && own
                .into_iter()
                .chain(of_peers)
                .any(|(token, held)| held == instance && token > report.token)
    }

    /// Gives up a job that has come again after one of its tasks has crashed too many targets.
    pub(super) fn give_up_crashing_job(&mut self, key: JobKey) {
        let id = self.jobs.get(key).map(|job| job.id);
        if id.and_then(|id| self.crash_log.cause_in(id)).is_some() {
            self.fail_crashing_job(key);
        }
    }

    fn fail_crashing_job(&mut self, key: JobKey) {
        self.counters.jobs_given_up += 1;
        self.answer_job(key, JobReply::Failed);
    }

    /// Reserves held targets for the tasks that wait for a trial, because under load no target is ever
    /// idle. The targets that are ready soonest are reserved, so that a reserved one stays so.
    pub(super) fn reserve_trial_targets(&mut self) {
        let tasks = self.tasks_to_try();
        let now = self.now();
        let mut ready = Vec::new();
        for (target, held) in &mut self.held {
            held.reserve_for_trial(false);
            let usable = self.closed_zones.may_start(&self.registry, *target)
                && !self.offers.is_offered(*target);
            if !tasks.is_empty()
                && usable
                && let Some(at) = held.trial_expected_at(now)
            {
                ready.push((at, *target));
            }
        }
        ready.sort_unstable();
        for task in tasks {
            let resources = self
                .jobs
                .get(task.job)
                .map(|job| job.step_of(task.position).resources);
            let fits = |target: &TargetIndex| {
                let capacity = self.held[target].ledger().capacity();
                resources.is_some_and(|resources| resources.fits(&capacity))
            };
            let found = ready
                .iter()
                .position(|(_, target)| fits(target) && self.suits_target(task, *target));
            if let Some(position) = found
                && let Some(held) = self.held.get_mut(&ready.remove(position).1)
            {
                held.reserve_for_trial(true);
            }
        }
    }

    /// The most urgent tasks that wait for a trial, as many as may have a target reserved.
    fn tasks_to_try(&self) -> Vec<TaskRef> {
        if self.crash_log.is_empty() {
            return Vec::new();
        }
        let waiting = self.jobs.waiting();
        let trials =
            waiting.filter(|task| self.needs_trial(*task) && !self.must_await_trial(*task));
        let limit = self.held.len().div_ceil(TARGETS_PER_TRIAL);
        let unreachable = self.held.values().filter(|held| !held.is_reachable());
        let limit = limit.saturating_sub(unreachable.count());
        trials.take(limit).collect()
    }

    /// Whether the next run of a task is a trial, because a target has crashed while it had the
    /// task.
    pub(super) fn needs_trial(&self, task: TaskRef) -> bool {
        let name = self.jobs.task(task).name;
        self.crash_log.suspicion(name) != CrashSuspicion::None
    }

    /// Whether a task must wait because another suspect of its job has started so recently that it may
    /// still crash its target. One at a time is tried, so that a job with several such tasks costs few
    /// targets.
    pub(super) fn must_await_trial(&self, task: TaskRef) -> bool {
        let now = self.now();
        let period = self.settings.held.trial_period;
        let job = self.jobs.get(task.job).expect("the job is live");
        let is_suspect = |name| self.crash_log.suspicion(name) != CrashSuspicion::None;
        self.needs_trial(task)
            && job.tasks.iter().any(|sibling| {
                matches!(sibling.phase, TaskPhase::Placed { requested_at, .. }
                    if now.since(requested_at) < period)
                    && is_suspect(sibling.name)
            })
    }
}
