//! Drops accepted jobs when the capacity has become insufficient.

use filbertpitch_dispatch::entity::JobKey;
use filbertpitch_types::fleet::{JobReply, PRIORITY_CLASSES, RejectReason, priority_class};
use filbertpitch_types::prelude::*;
use rand::Rng;

use super::{FleetEngine, FleetNotice};
use crate::shedding::{ArrivingJob, CapacityShares, DropReason, LoadForecast};

impl FleetEngine {
    /// Drops waiting jobs that the targets cannot serve, those of the lowest priority first.
    pub(super) fn shed_waiting(&mut self) {
        if self.jobs.waiting_len() == 0 {
            return;
        }
        // A job that is late does not delay others, and is no reason to drop it.
        let now = self.now();
        self.jobs.requeue_late(now);
        let forecast = self.fleet_load();
        if forecast.cores <= 0.0 || forecast.backlog() < self.settings.accept_all_backlog {
            return;
        }
        let shares = forecast.shares();
        if shares.are_short() {
            self.shed_late_jobs(&forecast, &shares);
        }
        for class in (0..PRIORITY_CLASSES).rev() {
            self.shed_class(&forecast, &shares, class);
        }
    }

    /// Drops the jobs that can no longer be in time: while the shares are short, the capacity goes to
    /// jobs that can.
    fn shed_late_jobs(&mut self, forecast: &LoadForecast, shares: &CapacityShares) {
        let now = self.now();
        let late = self.jobs.unstarted().filter(|(_, job)| job.is_late(now));
        let late = late.map(|(key, _)| key).collect::<Vec<_>>();
        for key in late {
            self.shed_job(key, DropReason::Late, forecast, shares);
        }
    }

    /// Drops this VM's part of the waiting jobs of a priority class that cannot all start in time.
    fn shed_class(&mut self, forecast: &LoadForecast, shares: &CapacityShares, class: usize) {
        let now = self.now();
        // Until then, the reports do not show what the other VMs have dropped.
        if let Some(last) = self.shedder.last_drop(class)
            && !self.has_reports_since(last, class)
        {
            return;
        }
        let Some(plan) = forecast.drop_plan(shares, class) else {
            return;
        };
        self.shedder.record_drop(class, now);
        let jobs = self.jobs.unstarted();
        let jobs = jobs.filter(|(_, job)| priority_class(job.priority) == class);
        let jobs = jobs.map(|(key, job)| (key, job.density, job.work));
        let jobs = jobs.collect::<Vec<_>>();
        for (key, density, work) in jobs {
            if plan.drops(density, work, self.rng.random()) {
                self.shed_job(key, DropReason::Forecast, forecast, shares);
            }
        }
    }

    /// Whether all live VMs that have work of a priority class to drop have reported since `time`.
    fn has_reports_since(&self, time: TimePoint, class: usize) -> bool {
        let mut links = self.links.iter().flatten().filter(|link| link.is_live());
        links.all(|link| {
            let droppable = link.demand().droppable.0[class];
            link.demand_since() > time || droppable.iter().all(|work| *work == 0)
        })
    }

    /// Drops a waiting job in favour of an arriving one of the same priority that is much denser and
    /// can only start after it. Returns whether there is one.
    pub(super) fn replace_waiting(&mut self, arriving: &ArrivingJob) -> bool {
        let Some(key) = self.jobs.find_replaceable(self.now(), arriving) else {
            return false;
        };
        let forecast = self.fleet_load();
        self.shed_job(key, DropReason::Replaced, &forecast, &forecast.shares());
        true
    }

    fn shed_job(
        &mut self,
        key: JobKey,
        reason: DropReason,
        forecast: &LoadForecast,
        shares: &CapacityShares,
    ) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let priority = job.priority;
        let notice = FleetNotice::JobShed {
            job: job.id,
            queue: self.catalog.name(job.queue).clone(),
            priority,
            density: job.density,
            work: job.work,
            reason,
            waited: self.now().since(job.arrived),
        };
        self.notice(notice);
        self.counters.jobs_shed += 1;
        let retry_after = self.retry_hint(forecast.time_to_capacity(shares, priority));
        let reply = JobReply::Rejected {
            reason: RejectReason::Shed,
            retry_after,
        };
        self.answer_job(key, reply);
    }
}
