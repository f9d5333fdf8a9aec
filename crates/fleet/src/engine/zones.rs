//! What follows when the operator closes an availability zone or opens it again.
//!
//! Only starts depend on it. Targets of a closed zone are held, polled and taken over as before, because
//! their runs go on.

use std::time::Duration;

use filbertpitch_dispatch::entity::{JobKey, TargetIndex, VmIndex};
use filbertpitch_types::fleet::{
    JobReply, QueueSpec, RejectReason, StepSpec, ZoneRead, ZoneReport,
};

use super::{FleetEngine, FleetNotice, ZoneSource};
use crate::closed_zones::ZoneTransition;

/// When a client may send a job again that only targets of closed zones could run, before the spread.
/// Zones stay closed for many seconds.
pub(super) const CLOSED_ZONE_RETRY: Duration = Duration::from_secs(3);

impl FleetEngine {
    /// Whether a target may start something now.
    pub(super) fn may_start(&self, target: TargetIndex) -> bool {
        self.closed_zones.may_start(&self.registry, target)
    }

    /// Applies the operator's records.
    pub(super) fn read_zones(&mut self, read: ZoneRead) {
        let transitions = self.closed_zones.apply_read(self.now(), read);
        self.placement_due |= self.jobs.waiting_len() > 0;
        self.apply_transitions(transitions, &ZoneSource::Store);
    }

    /// Applies what a peer knows of the zones, and answers a peer that knows less than this VM.
    pub(super) fn merge_zones(&mut self, peer: VmIndex, reports: &[ZoneReport]) {
        let merge = self.closed_zones.merge(self.now(), reports);
        if merge.sender_is_behind
            && let Some(link) = &mut self.links[peer]
        {
            link.request_envelope();
        }
        if !merge.transitions.is_empty() {
            let source = ZoneSource::Peer(self.vms.name(peer).clone());
            self.apply_transitions(merge.transitions, &source);
        }
    }

    /// Tells all peers at once, because the regular envelopes of a large fleet take longer than a closure
    /// may. Closes the offers of targets that may not start anything any more, and rejects the jobs that no
    /// other target can run.
    fn apply_transitions(&mut self, transitions: Vec<ZoneTransition>, source: &ZoneSource) {
        if transitions.is_empty() {
            return;
        }
        for ZoneTransition { change, age } in transitions {
            self.notice(FleetNotice::ZoneChanged {
                change,
                source: source.clone(),
                age,
            });
        }
        self.expedite_envelopes();
        let (zones, registry) = (&self.closed_zones, &self.registry);
        self.offers
            .retain_targets(|target| zones.is_in_open_zone(registry, target));
        self.reject_unservable_jobs();
        self.placement_due = true;
    }

    /// Why no target can run a task of one of the steps; `None` if each step has one.
    pub(super) fn missing_target(
        &self,
        spec: &QueueSpec,
        steps: &[StepSpec],
    ) -> Option<RejectReason> {
        let zones = &self.closed_zones;
        let has_open_target =
            |step| self.has_capable_target(spec, step, |entry| !zones.is_closed(&entry.zone));
        if steps.iter().all(has_open_target) {
            return None;
        }
        let has_any_target = |step| self.has_capable_target(spec, step, |_| true);
        Some(
            match !zones.is_empty() && steps.iter().all(has_any_target) {
                true => RejectReason::ZoneClosed,
                false => RejectReason::NoCapableTarget,
            },
        )
    }

    /// Rejects the jobs of which nothing has started and which only targets of closed zones could run.
    pub(super) fn reject_unservable_jobs(&mut self) {
        if self.closed_zones.is_empty() {
            return;
        }
        for key in self
            .jobs
            .unstarted()
            .map(|(key, _)| key)
            .collect::<Vec<_>>()
        {
            self.reject_if_unservable(key);
        }
    }

    /// Rejects a job if nothing of it has started and only targets of closed zones could run it.
    pub(super) fn reject_if_unservable(&mut self, key: JobKey) {
        let job = self.jobs.get(key).filter(|job| job.possible_starts == 0);
        let missing = job.and_then(|job| {
            let spec = self.catalog.spec(job.queue)?;
            self.missing_target(spec, &job.spec.steps)
        });
        if missing != Some(RejectReason::ZoneClosed) {
            return;
        }
        self.counters.jobs_rejected_zone_closed += 1;
        let reply = JobReply::Rejected {
            reason: RejectReason::ZoneClosed,
            retry_after: self.retry_hint(CLOSED_ZONE_RETRY),
        };
        self.answer_job(key, reply);
    }
}
