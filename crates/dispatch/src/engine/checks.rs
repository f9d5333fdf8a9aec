//! Checks of targets with overdue or uncertain attempts, and stops and throttles.
//!
//! One check covers all attempts of this VM on a target, so their number depends on the number of
//! targets with trouble and not on the number of tasks.

use filbertpitch_types::prelude::*;
use filbertpitch_types::target::{
    AttemptReport, AttemptState, AttemptsRequest, CheckRequest, StateAnswer,
};

use super::{DispatchEngine, EngineAction, EngineNotice, StateCommand, TaskRef, TimerTopic};
use crate::attempt::{AnswerSource, StopCause};
use crate::entity::TargetIndex;

impl DispatchEngine {
    /// Makes sure that `target` is checked at `due` or earlier.
    pub(super) fn schedule_check(&mut self, target: TargetIndex, due: TimePoint) {
        let link = &mut self.links[target];
        let earlier = link.check_due.is_some_and(|planned| planned <= due);
        if earlier || link.check_pending {
            return;
        }
        link.check_due = Some(due);
        self.timers.subscribe(due, TimerTopic::TargetCheck(target));
    }

    /// An attempt exceeded its expected run time.
    pub(super) fn reach_overdue(&mut self, id: AttemptId) {
        let Some(phase) = self.current_attempt(id) else {
            return;
        };
        let record = phase.record();
        let (target, sent_at, throttled) = (record.target, record.sent_at, record.throttled);
        if !throttled {
            self.consider_throttle(id);
        }
        let due = sent_at + self.settings.check_floor;
        self.schedule_check(target, due.max(self.clock.time));
    }

    /// Moves a long attempt out of the way of waiting short work.
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
        if usize::from(self.links[target].parked) + pending >= usize::from(slots / 2) {
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

    pub(super) fn check_target(&mut self, target: TargetIndex) {
        let link = &mut self.links[target];
        let due = link.check_due.is_some_and(|due| due <= self.clock.time);
        if !due || link.check_pending {
            return;
        }
        link.check_due = None;
        self.lapse_attempts(target);
        let attempts = self.links[target]
            .attempts
            .iter()
            .copied()
            .collect::<Vec<_>>();
        if attempts.is_empty() {
            return;
        }
        self.send_check(target, attempts);
    }

    /// Gives up attempts whose lease has certainly lapsed at a target that does not answer.
    fn lapse_attempts(&mut self, target: TargetIndex) {
        if !self.links[target].unreachable {
            return;
        }
        let (wall, margin) = (self.clock.wall, self.settings.lease_margin);
        let attempts = self.links[target]
            .attempts
            .iter()
            .copied()
            .collect::<Vec<_>>();
        for id in attempts {
            let lapsed = self
                .current_attempt(id)
                .is_some_and(|phase| phase.record().lease_lapsed(wall, margin));
            if lapsed {
                self.lapse_attempt(id);
            }
        }
    }

    fn send_check(&mut self, target: TargetIndex, attempts: Vec<AttemptId>) {
        let Some(entry) = self.catalog.target(target) else {
            return;
        };
        let address = entry.spec.address;
        let lease_until = self.renewed_lease(target, &attempts);
        for id in &attempts {
            let task = self.task_mut(TaskRef::of(*id));
            if let Some(phase) = task.attempt_mut() {
                phase.record_mut().extend_lease(lease_until);
            }
        }
        self.links[target].check_pending = true;
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

    /// The lease that a check grants. A target that did not answer the last check gets no longer
    /// lease than it may hold already; otherwise its attempts would never lapse.
    fn renewed_lease(&self, target: TargetIndex, attempts: &[AttemptId]) -> WallTime {
        if self.links[target].unreachable {
            let leases = attempts.iter().filter_map(|id| self.current_attempt(*id));
            let held = leases.map(|phase| phase.record().lease_until).min();
            return held.unwrap_or(self.clock.wall);
        }
        self.clock.wall + self.settings.lease_floor
    }

    pub(super) fn receive_states(
        &mut self,
        target: TargetIndex,
        command: StateCommand,
        answer: StateAnswer,
    ) {
        if command == StateCommand::Check {
            self.links[target].check_pending = false;
        }
        self.note_load(target, &answer.load);
        for report in answer.reports {
            self.receive_report(target, command, report, answer.load.boot);
        }
        self.plan_next_check(target);
    }

    fn receive_report(
        &mut self,
        target: TargetIndex,
        command: StateCommand,
        report: AttemptReport,
        boot: u64,
    ) {
        let id = report.attempt;
        match (report.state, command) {
            (AttemptState::Ended(verdict), _) if self.current_attempt(id).is_some() => {
                self.conclude_attempt(id, verdict, boot, AnswerSource::State);
            }
            (AttemptState::Unknown, StateCommand::Check) => self.fence_attempt(id),
            (AttemptState::Unknown, StateCommand::Stop) => {
                let notice = EngineNotice::ProtocolViolation(target);
                self.actions.push(EngineAction::Notice(notice));
            }
            (AttemptState::Running, StateCommand::Throttle) => self.park_attempt(id),
            (AttemptState::Running, StateCommand::Check) => self.repeat_stop(id),
            _ => {}
        }
    }

    /// The target has not seen the attempt. Its start may still be on the way, so it is fenced
    /// before the task is placed again.
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

    /// Asks again for a stop whose request was lost.
    fn repeat_stop(&mut self, id: AttemptId) {
        let Some(phase) = self.current_attempt(id) else {
            return;
        };
        let record = phase.record();
        if record.stop.is_some() {
            let target = record.target;
            self.pending_stops.entry(target).or_default().push(id);
        }
    }

    fn park_attempt(&mut self, id: AttemptId) {
        if self.current_attempt(id).is_none() {
            return;
        }
        let now = self.clock.time;
        let task_ref = TaskRef::of(id);
        let job = self.jobs.get_mut(&task_ref.job).expect("the job is live");
        let task = &mut job.tasks[task_ref.position()];
        let hold = task.hold.as_mut().expect("a running task holds a slot");
        self.targets.throttled(now, hold);
    }

    pub(super) fn fail_states(&mut self, target: TargetIndex, command: StateCommand) {
        if command == StateCommand::Check {
            self.links[target].check_pending = false;
        }
        self.note_unreachable(target);
        self.plan_next_check(target);
    }

    /// Records that the target could not be reached.
    pub(super) fn note_unreachable(&mut self, target: TargetIndex) {
        let link = &mut self.links[target];
        link.unreachable = true;
        link.failed_checks = link.failed_checks.saturating_add(1);
    }

    /// Keeps checking while attempts are overdue, uncertain or about to lose their lease.
    fn plan_next_check(&mut self, target: TargetIndex) {
        let link = &self.links[target];
        if link.attempts.is_empty() {
            return;
        }
        let doublings = link.failed_checks.min(4);
        let interval = self.settings.check_interval * (1 << doublings);
        let interval = interval.min(self.settings.check_interval_limit);
        let suspect = link.unreachable || self.has_uncertain(target);
        let due = if suspect {
            self.clock.time + interval
        } else {
            match self.oldest_attempt(target) {
                Some(sent_at) => self.next_lease_check(target).max(sent_at),
                None => return,
            }
        };
        self.schedule_check(target, due);
    }

    fn has_uncertain(&self, target: TargetIndex) -> bool {
        let attempts = self.links[target].attempts.iter();
        attempts
            .filter_map(|id| self.current_attempt(*id))
            .any(|phase| phase.is_uncertain())
    }

    fn oldest_attempt(&self, target: TargetIndex) -> Option<TimePoint> {
        let attempts = self.links[target].attempts.iter();
        attempts
            .filter_map(|id| self.current_attempt(*id))
            .map(|phase| phase.record().sent_at)
            .min()
    }

    /// When the shortest lease on the target has half of the floor left.
    fn next_lease_check(&self, target: TargetIndex) -> TimePoint {
        let attempts = self.links[target].attempts.iter();
        let leases = attempts.filter_map(|id| self.current_attempt(*id));
        let shortest = leases.map(|phase| phase.record().lease_until).min();
        let left = shortest.map_or(self.settings.lease_floor, |until| {
            until.since(self.clock.wall)
        });
        let wait = left.saturating_sub(self.settings.lease_floor / 2);
        self.clock.time + wait.max(self.settings.check_interval)
    }

    /// Sends the stops and throttles that were collected.
    pub(super) fn flush_changes(&mut self) {
        let stops = std::mem::take(&mut self.pending_stops);
        for (target, attempts) in stops {
            self.send_change(target, StateCommand::Stop, attempts);
        }
        let throttles = std::mem::take(&mut self.pending_throttles);
        for (target, attempts) in throttles {
            self.send_change(target, StateCommand::Throttle, attempts);
        }
    }

    fn send_change(
        &mut self,
        target: TargetIndex,
        command: StateCommand,
        mut attempts: Vec<AttemptId>,
    ) {
        attempts.retain(|id| self.current_attempt(*id).is_some());
        let Some(entry) = self.catalog.target(target) else {
            return;
        };
        if attempts.is_empty() {
            return;
        }
        let address = entry.spec.address;
        self.counters.state_requests += 1;
        self.actions.push(EngineAction::Change {
            target,
            address,
            command,
            request: AttemptsRequest { attempts },
        });
    }
}
