//! Targets of different speeds and racks in demand: learns the speed of each kind, and tells placement
//! what a task can afford.

use std::time::Duration;

use filbertpitch_dispatch::entity::TargetIndex;
use filbertpitch_types::fleet::{PlaceRequest, RackId, RackTable, TaskPlacement};

use super::{FleetEngine, FleetNotice, TimerTopic};
use crate::job_table::TaskRef;
use crate::kind_speed::{RunRole, SpeedContext, TaskBudget, is_late_only_on};
use crate::ledger::TargetRun;
use crate::rack_demand::{RackDemand, may_await_rack};

/// The interval at which tasks that wait for a fast target are considered again if nothing else
/// happens.
const FAST_WAIT_INTERVAL: Duration = Duration::from_millis(15);

/// How many waiting tasks are examined for the racks that they prefer.
const RACK_SEARCH_LIMIT: usize = 24;

impl FleetEngine {
    /// Computes the speeds of the kinds of targets from the runs so far and from peers' reports.
    pub(super) fn update_kind_speeds(&mut self) {
        let now = self.now();
        let links = self.links.iter().flatten().filter(|link| link.is_live());
        let reports = links.map(|link| link.demand().kind_speeds);
        let announced = self.kind_speeds.update(now, reports);
        for (target, held) in &mut self.held {
            let log_change = self.kind_speeds.log_change_of(*target);
            held.health_mut().rebase(log_change);
        }
        for speed in announced {
            self.notice(FleetNotice::KindSpeedLearned {
                kind: speed.label,
                factor: speed.factor,
                weight: speed.weight,
            });
        }
    }

    /// Learns from a run on a held target whose job another VM coordinates. Runs of this VM's own
    /// jobs are learned when the coordinator role gets their end.
    pub(super) fn learn_as_holder(&mut self, target: TargetIndex, run: &TargetRun, took: Duration) {
        if let Some(queue) = run.queue
            && run.coordinator.is_some_and(|vm| vm != self.own_vm())
        {
            let row = (queue, RunRole::Holder);
            self.kind_speeds.observe(row, target, took, run.expected);
        }
    }

    /// What placement must know of targets of different speeds; `None` while all are about equally
    /// fast.
    pub(super) fn speed_context(&self) -> Option<SpeedContext> {
        let now = self.now();
        let mut context = SpeedContext::new(self.kind_speeds.spread()?);
        for (target, held) in &self.held {
            if self.may_start(*target) {
                let ledger = held.ledger();
                let factor = self.kind_speeds.factor_of(*target);
                context.add_target(factor, &ledger.capacity(), &ledger.free());
            }
        }
        let links = self.links.iter().flatten();
        for link in links.filter(|link| link.accepts_work(now)) {
            for holding in link.holdings() {
                if let Some(entry) = self.registry.entry(holding.target)
                    && self.may_start(holding.target)
                {
                    let factor = self.kind_speeds.factor_of(holding.target);
                    context.add_target(factor, &entry.capacity, &link.free_capacity(holding));
                }
            }
        }
        context.fast_free_up = self.kind_speeds.fast_targets_free_up(now);
        context.overloaded = self.is_backlogged();
        Some(context)
    }

    /// Whether more work waits at all VMs than the targets can start within `accept_all_backlog`.
    pub(super) fn is_backlogged(&self) -> bool {
        let links = self.links.iter().flatten().filter(|link| link.is_live());
        let peers = links.map(|link| link.demand().work.total()).sum::<u64>();
        let waiting = self.work_waiting_for_capacity().total() + peers;
        let limit = self.settings.accept_all_backlog.as_secs_f64() * 1000.0;
        waiting as f64 > limit * self.usable_cores()
    }

    pub(super) fn task_budget(&self, task: TaskRef) -> TaskBudget {
        let now = self.now();
        let job = self.jobs.get(task.job).expect("the job is live");
        let finish_by = job.finish_by(task.position);
        let left = finish_by.since(now).as_secs_f64() - now.since(finish_by).as_secs_f64();
        TaskBudget {
            left_ms: left * 1000.0,
            nominal_ms: job.expected_of(task.position).as_secs_f64() * 1000.0,
            waited: now.since(job.arrived),
        }
    }

    /// The factor on the run time of a task on a target because of the rack that the task prefers.
    pub(super) fn rack_factor(&self, preferred: Option<RackId>, target: TargetIndex) -> f64 {
        let is_near = preferred.is_none_or(|rack| {
            let listed = self.registry.entry(target).is_some();
            !listed || self.registry.racks(target).contains(&rack)
        });
        match is_near {
            true => 1.0,
            false => self.settings.far_factor,
        }
    }

    /// The expected run time of a task on a target, apart from the speed of the target.
    pub(super) fn expected_on(&self, task: TaskRef, target: TargetIndex) -> Duration {
        let job = self.jobs.get(task.job).expect("the job is live");
        let factor = self.rack_factor(job.step_of(task.position).rack(), target);
        job.expected_of(task.position).mul_f64(factor)
    }

    /// The racks that this VM's most urgent waiting tasks prefer.
    pub(super) fn preferred_racks(&self) -> RackTable {
        let mut racks = Vec::new();
        for task in self.jobs.waiting().take(RACK_SEARCH_LIMIT) {
            let job = self.jobs.get(task.job).expect("the job is live");
            if let Some(rack) = job.step_of(task.position).rack()
                && !racks.contains(&rack)
            {
                racks.push(rack);
            }
        }
        racks.into()
    }

    /// The racks that waiting tasks of this VM and of its live peers prefer.
    pub(super) fn racks_in_demand(&self) -> RackDemand {
        let live = self.links.iter().flatten().filter(|link| link.is_live());
        let reports = live.map(|link| link.demand().racks);
        reports.chain([self.preferred_racks()]).collect()
    }

    /// Whether the rack that a task prefers has targets that could run it if they were idle.
    pub(super) fn has_preferred_target(&self, task: TaskRef) -> bool {
        let job = self.jobs.get(task.job).expect("the job is live");
        let step = job.step_of(task.position);
        let Some(rack) = &step.preferred_rack else {
            return false;
        };
        let mut listed = self.registry.listed();
        listed.any(|(target, entry)| {
            entry.labels.contains(rack)
                && step.resources.fits(&entry.capacity)
                && self.may_start(target)
                && self.suits_target(task, target)
        })
    }

    /// Whether a task waits for the rack that it prefers.
    pub(super) fn awaits_rack(&self, task: TaskRef, budget: &TaskBudget, overloaded: bool) -> bool {
        may_await_rack(budget, self.settings.far_factor, overloaded)
            && self.has_preferred_target(task)
    }

    /// Considers tasks that wait for a fast target or a rack again soon.
    pub(super) fn schedule_fast_wait(&mut self) {
        if !std::mem::replace(&mut self.fast_wait_set, true) {
            let due = self.now() + FAST_WAIT_INTERVAL;
            self.timers.subscribe(due, TimerTopic::FastWait);
        }
    }

    /// Whether a task would miss its job's objective on a held target although it would meet it on
    /// the suggested one.
    pub(super) fn is_too_slow(
        &self,
        request: &PlaceRequest,
        order: &TaskPlacement,
        suggested: Option<TargetIndex>,
        target: TargetIndex,
    ) -> bool {
        let queue = self.catalog.index(&request.queue);
        let Some(spec) = queue.and_then(|queue| self.catalog.spec(queue)) else {
            return false;
        };
        let expected = Duration::from_millis(order.expected_ms.into());
        let objective = spec.objective(expected);
        let factor = |target| self.kind_speeds.factor_of(target);
        suggested.is_some_and(|suggested| {
            is_late_only_on(expected, objective, factor(target), factor(suggested))
        })
    }
}
