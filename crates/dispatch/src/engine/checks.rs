//! Checks of targets with overdue or uncertain attempts, and stop and throttle requests.
//!
//! One check covers all attempts of this VM on a target, so the number of checks depends on the
//! number of affected targets and not on the number of tasks.

use filbertpitch_types::prelude::*;
use filbertpitch_types::target::{
    AttemptReport, AttemptState, AttemptsRequest, CheckRequest, StateAnswer,
};

use super::{DispatchEngine, EngineAction, EngineNotice, StateCommand, TaskRef};
use crate::attempt::{ResponseSource, StopCause};
use crate::check::CheckResult;
use crate::entity::TargetIndex;

impl DispatchEngine {
    /// Handles an attempt that exceeded its expected run time.
    pub(super) fn handle_overdue(&mut self, id: AttemptId) {
        let Some(phase) = self.current_attempt(id) else {
            return;
        };
        if !phase.record().throttled {
            self.consider_throttle(id);
        }
    }

    /// Throttles an overdue attempt to free its slot, if tasks are queued and the number of
    /// throttled attempts is less than half the number of the target's slots.
    fn consider_throttle(&mut self, id: AttemptId) {
        if self.queue.is_empty() {
            return;
        }
        let Some(target) = self.current_attempt(id).map(|phase| phase.record().target) else {
            return;
        };
        let slots = self
            .catalog
            .target(target)
            .map_or(0, |entry| entry.spec.slots);
        let pending = self.pending_throttles.get(&target).map_or(0, Vec::len);
        if usize::from(self.endpoints[target].throttled) + pending >= usize::from(slots / 2) {
            return;
        }
        let task = self.task_mut(TaskRef::of(id));
        if let Some(phase) = task.attempt_mut() {
            phase.record_mut().throttled = true;
        }
        self.counters.throttled += 1;
        let throttles = self.pending_throttles.entry(target).or_default();
        throttles.push(id);
    }

    /// Sends the checks that are due.
    pub(super) fn check_targets(&mut self) {
        while let Some(target) = self.checks.check_due(self.clock.time) {
            self.check_target(target);
        }
    }

    fn check_target(&mut self, target: TargetIndex) {
        self.expire_attempts(target);
        let attempts = self.endpoints[target].attempts.iter().copied();
        let attempts = attempts.collect::<Vec<_>>();
        if attempts.is_empty() && !self.targets.awaits_report(target) {
            let renew_at = self.clock.time;
            let result = CheckResult::Answered { renew_at };
            return self.checks.check_ended(self.clock.time, target, result);
        }
        self.send_check(target, attempts);
    }

    /// Ends the attempts on an unreachable target whose lease has certainly expired.
    fn expire_attempts(&mut self, target: TargetIndex) {
        if !self.endpoints[target].unreachable {
            return;
        }
        let (wall, margin) = (self.clock.wall, self.settings.lease_margin);
        let attempts = self.endpoints[target]
            .attempts
            .iter()
            .copied()
            .collect::<Vec<_>>();
        for id in attempts {
            let expired = self
                .current_attempt(id)
                .is_some_and(|phase| phase.record().lease_expired(wall, margin));
            if expired {
                self.expire_attempt(id);
            }
        }
    }

    fn send_check(&mut self, target: TargetIndex, attempts: Vec<AttemptId>) {
        let Some(address) = self.endpoints[target].address else {
            return;
        };
        let lease_until = self.renewed_lease(target, &attempts);
        for id in &attempts {
            let task = self.task_mut(TaskRef::of(*id));
            if let Some(phase) = task.attempt_mut() {
                phase.record_mut().extend_lease(lease_until);
            }
        }
        self.counters.state_requests += 1;
        let request = CheckRequest {
            holder: self.incarnation,
            lease_until,
            attempts,
        };
        self.actions.push(EngineAction::Check {
            target,
            address,
            request,
        });
    }

    /// Returns the end of the lease that a check grants.
    ///
    /// If the target is unreachable, the lease is not extended; otherwise the leases of the
    /// target's attempts would never expire.
    fn renewed_lease(&self, target: TargetIndex, attempts: &[AttemptId]) -> WallTime {
        if self.endpoints[target].unreachable {
            let leases = attempts.iter().filter_map(|id| self.current_attempt(*id));
            let held = leases.map(|phase| phase.record().lease_until).min();
            return held.unwrap_or(self.clock.wall);
        }
        self.clock.wall + self.settings.lease_floor
    }

    pub(super) fn handle_state_answer(
        &mut self,
        target: TargetIndex,
        command: StateCommand,
        answer: StateAnswer,
    ) {
        self.apply_load_report(target, &answer.load);
        for report in answer.reports {
            self.handle_attempt_report(target, command, report, answer.load.boot);
        }
        if command == StateCommand::Check {
            let renew_at = self.clock.time + self.settings.lease_floor / 2;
            let result = CheckResult::Answered { renew_at };
            self.checks.check_ended(self.clock.time, target, result);
        }
    }

    fn handle_attempt_report(
        &mut self,
        target: TargetIndex,
        command: StateCommand,
        report: AttemptReport,
        boot: u64,
    ) {
        let id = report.attempt;
        match (report.state, command) {
            (AttemptState::Ended(verdict), _) if self.current_attempt(id).is_some() => {
                self.conclude_attempt(id, verdict, boot, ResponseSource::State);
            }
            (AttemptState::Unknown, StateCommand::Check) => self.fence_attempt(id),
            (AttemptState::Unknown, StateCommand::Stop) => {
                let notice = EngineNotice::ProtocolViolation(target);
                self.actions.push(EngineAction::Notice(notice));
            }
            (AttemptState::Running, StateCommand::Throttle) => self.release_throttled_slot(id),
            (AttemptState::Running, StateCommand::Check) => self.resend_stop(id),
            _ => {}
        }
    }

    /// Fences an attempt that the target does not know, before its task is requeued. The start
    /// request may still be in transit.
    fn fence_attempt(&mut self, id: AttemptId) {
        let Some(phase) = self.current_attempt(id) else {
            return;
        };
        let target = phase.record().target;
        let task = self.task_mut(TaskRef::of(id));
        let phase = task.attempt_mut().expect("the attempt is current");
        phase.record_mut().request_stop(StopCause::Fence);
        self.pending_stops.entry(target).or_default().push(id);
    }

    /// Sends a stop request again if the attempt was to be stopped, because the first request may
    /// have been lost.
    fn resend_stop(&mut self, id: AttemptId) {
        let Some(phase) = self.current_attempt(id) else {
            return;
        };
        let record = phase.record();
        if record.stop.is_some() {
            let target = record.target;
            self.pending_stops.entry(target).or_default().push(id);
        }
    }

    fn release_throttled_slot(&mut self, id: AttemptId) {
        if self.current_attempt(id).is_none() {
            return;
        }
        let now = self.clock.time;
        let task_ref = TaskRef::of(id);
        let job = self.jobs.get_mut(&task_ref.job).expect("the job is live");
        let task = &mut job.tasks[task_ref.position()];
        let allocation = task
            .allocation
            .as_mut()
            .expect("a running task holds a slot");
        self.targets.record_throttle(now, allocation);
    }

    pub(super) fn handle_state_failure(&mut self, target: TargetIndex, command: StateCommand) {
        self.record_unreachable(target);
        if command == StateCommand::Check {
            let result = CheckResult::Failed;
            self.checks.check_ended(self.clock.time, target, result);
        } else {
            self.checks.request(target);
        }
    }

    /// Sends the pending stop and throttle requests, one of each per target.
    pub(super) fn flush_control_requests(&mut self) {
        let stops = std::mem::take(&mut self.pending_stops);
        for (target, attempts) in stops {
            self.send_control_request(target, StateCommand::Stop, attempts);
        }
        let throttles = std::mem::take(&mut self.pending_throttles);
        for (target, attempts) in throttles {
            self.send_control_request(target, StateCommand::Throttle, attempts);
        }
    }

    fn send_control_request(
        &mut self,
        target: TargetIndex,
        command: StateCommand,
        mut attempts: Vec<AttemptId>,
    ) {
        attempts.retain(|id| self.current_attempt(*id).is_some());
        let Some(address) = self.endpoints[target].address else {
            return;
        };
        if attempts.is_empty() {
            return;
        }
        self.counters.state_requests += 1;
        self.actions.push(EngineAction::Control {
            target,
            address,
            command,
            request: AttemptsRequest { attempts },
        });
    }
}
