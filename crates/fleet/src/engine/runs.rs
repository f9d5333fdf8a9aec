//! The role of the holder: runs tasks on held targets at the request of coordinators, by start and
//! stop requests to the targets.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use filbertpitch_dispatch::entity::{TargetIndex, VmIndex};
use filbertpitch_types::fleet::{
    FleetMessage, PeerState, PlaceRefusal, PlaceRequest, TaskPlacement,
};
use filbertpitch_types::lease::{CallOptions, StartAnswer, StartRefusal, StopRequest, StopResult};
use filbertpitch_types::prelude::*;

use super::{FleetAction, FleetEngine, FleetNotice};
use crate::blocked::BlockedRequest;
use crate::held::{HeldTarget, StartOutcome, StartPlan};
use crate::lease_limits::LeaseLimits;
use crate::ledger::{RunPhase, RunPlace, TargetRun};

impl FleetEngine {
    /// Starts the tasks of a coordinator on held targets, or refuses them at once.
    pub(super) fn receive_place_request(&mut self, coordinator: VmIndex, request: PlaceRequest) {
        if let Some(offer) = request.offer
            && self.offers.close(coordinator, offer).is_some()
        {
            self.placement_due = true;
        }
        let now = self.now();
        let stale = self.links[coordinator].as_ref().is_some_and(|link| {
            link.is_late_request(now, request.issued_at) || !link.admits_request(request.losses)
        });
        for order in &request.tasks {
            let run = RunName {
                task: order.task,
                run: order.run,
            };
            let started = match stale {
                true => Err(PlaceRefusal::Stale),
                false => self.start_task(coordinator, &request, order),
            };
            match started {
                Ok(()) => {}
                Err(PlaceRefusal::StillRunning) => {
                    self.blocked_requests
                        .add(BlockedRequest { coordinator, run });
                }
                Err(refusal) => self.report_refusal(run, Some(coordinator), refusal),
            }
        }
    }

    /// Refuses the blocked requests whose earlier run has ended.
    pub(super) fn refuse_unblocked(&mut self) {
        if self.blocked_requests.is_empty() {
            return;
        }
        let held = &self.held;
        let ended = |task: &TaskName| held.values().all(|held| held.ledger().get(task).is_none());
        for request in self.blocked_requests.take_if(ended) {
            let refusal = PlaceRefusal::StillRunning;
            self.report_refusal(request.run, Some(request.coordinator), refusal);
        }
    }

    fn start_task(
        &mut self,
        coordinator: VmIndex,
        request: &PlaceRequest,
        order: &TaskPlacement,
    ) -> Result<(), PlaceRefusal> {
        let mut ledgers = self.held.values().map(HeldTarget::ledger);
        if ledgers.any(|ledger| ledger.get(&order.task).is_some()) {
            return Err(PlaceRefusal::StillRunning);
        }
        let limits = LeaseLimits::new(&self.links, &self.settings.held, self.examined_at);
        let origin_limit = limits.origin_limit(Some(coordinator), request.origin);
        let target = self
            .choose_held_target(request, order, origin_limit)
            .ok_or_else(|| self.placement_refusal(request, order))?;
        let now = self.now();
        let mut run = TargetRun {
            run: order.run,
            resources: Some(order.resources),
            coordinator: Some(coordinator),
            coordinator_replaced: false,
            queue: self.catalog.index(&request.queue),
            expected: Duration::from_millis(order.expected_ms.into())
                .mul_f64(self.rack_factor(request.preferred_rack, target)),
            since: now,
            lease_limit: TimePoint(u64::MAX),
            origin: request.origin,
            origin_limit,
            place: RunPlace::default(),
            trial_until: order
                .on_trial
                .then(|| now + self.settings.held.trial_period),
            phase: RunPhase::Requested { expires_at: now },
        };
        let limits = LeaseLimits::new(&self.links, &self.settings.held, self.examined_at);
        run.lease_limit = limits.coordinator_limit(&run);
        let held = self.held.get_mut(&target).ok_or(PlaceRefusal::NoCapacity)?;
        if order.on_trial {
            held.reserve_for_trial(false);
        }
        let payload = std::rc::Rc::clone(&request.payload);
        let start = held
            .start_run(now, order.task, run, payload)
            .ok_or(PlaceRefusal::NoCapacity)?;
        let Some(address) = self.registry.address(target) else {
            return Err(PlaceRefusal::NoCapacity);
        };
        let name = start.request.run;
        let token = start.request.token;
        self.counters.starts_sent += 1;
        self.send_start(target, address, start);
        let target = self.registry.name(target);
        if *target != order.target {
            let redirected = FleetMessage::Redirected {
                run: name,
                target: target.clone(),
                token,
            };
            self.send(coordinator, redirected);
        }
        Ok(())
    }

    fn send_start(&mut self, target: TargetIndex, address: SocketAddr, plan: StartPlan) {
        self.actions.push(FleetAction::Start {
            target,
            name: self.registry.name(target).clone(),
            address,
            request: plan.request,
            options: plan.options,
        });
    }

    /// The held target on which to run a task: the target that the coordinator suggests if it is
    /// suitable, otherwise the suitable target with the least processor capacity left over on which
    /// the task is not late because of the target's speed. The lease of a suitable target ends by
    /// `lease_limit`.
    fn choose_held_target(
        &mut self,
        request: &PlaceRequest,
        order: &TaskPlacement,
        lease_limit: TimePoint,
    ) -> Option<TargetIndex> {
        let now = self.now();
        if self.state == PeerState::Leaving {
            return None;
        }
        let suggested = self.registry.find(&order.target);
        let held = self.held.keys().copied();
        let slow = held
            .filter(|target| self.is_too_slow(request, order, suggested, *target))
            .collect::<BTreeSet<_>>();
        let mut best = None;
        for (target, held) in &mut self.held {
            let Some(entry) = self.registry.entry_of(*target, held.instance()) else {
                continue;
            };
            let label = request.required_label.as_ref();
            let suits = entry.service == request.service
                && self.closed_zones.may_start(&self.registry, *target)
                && label.is_none_or(|label| entry.labels.contains(label))
                && !order.excluded.contains(&entry.name)
                && !self.offers.is_offered(*target)
                && is_within_spread_limit(request, order, held)
                && held.lease_ends_by(now, lease_limit);
            if !suits {
                continue;
            }
            let free = match order.on_trial {
                true => held.trial_capacity(now),
                false => held.free_capacity(now),
            };
            if !order.resources.fits(&free) {
                continue;
            }
            if suggested == Some(*target) {
                return suggested;
            }
            if slow.contains(target) {
                continue;
            }
            let rest = (free - order.resources).cpu;
            if best.is_none_or(|(least, _)| rest < least) {
                best = Some((rest, *target));
            }
        }
        best.map(|(_, target)| target)
    }

    /// Why no held target takes a task.
    fn placement_refusal(&self, request: &PlaceRequest, order: &TaskPlacement) -> PlaceRefusal {
        let Some(suggested) = self.registry.find(&order.target) else {
            return PlaceRefusal::NoCapacity;
        };
        let held = self.held.get(&suggested);
        if !self.closed_zones.is_in_open_zone(&self.registry, suggested) {
            PlaceRefusal::ZoneClosed
        } else if held.is_some_and(|held| !is_within_spread_limit(request, order, held)) {
            PlaceRefusal::SpreadLimit
        } else {
            PlaceRefusal::NoCapacity
        }
    }

    pub(super) fn report_refusal(
        &mut self,
        run: RunName,
        coordinator: Option<VmIndex>,
        refusal: PlaceRefusal,
    ) {
        if let Some(coordinator) = coordinator {
            self.send(coordinator, FleetMessage::Refused { run, refusal });
        }
    }

    /// Stops the runs of tasks that a coordinator has withdrawn.
    pub(super) fn receive_withdrawal(&mut self, coordinator: VmIndex, tasks: &[TaskName]) {
        self.blocked_requests.withdraw(coordinator, tasks);
        for task in tasks {
            let holding = self.held.iter().find(|(_, held)| {
                let run = held.ledger().get(task);
                run.is_some_and(|run| run.coordinator == Some(coordinator))
            });
            if let Some((target, _)) = holding {
                let target = *target;
                self.stop_run(target, task);
            }
        }
    }

    /// Stops all runs of a coordinator that was lost.
    pub(super) fn stop_runs_for(&mut self, coordinator: VmIndex) {
        let mut runs = Vec::new();
        for (target, held) in &self.held {
            let own = held
                .ledger()
                .runs()
                .filter(|(_, run)| run.coordinator == Some(coordinator));
            runs.extend(own.map(|(task, _)| (*target, *task)));
        }
        for (target, task) in runs {
            self.stop_run(target, &task);
        }
    }

    /// Stops all runs of a coordinator that another process of its VM has replaced, and forgets the
    /// coordinator: the run numbers of the new process begin anew, so that it would take the end of such a
    /// run for that of one of its own.
    pub(super) fn forget_replaced_coordinator(&mut self, coordinator: VmIndex) {
        self.stop_runs_for(coordinator);
        for held in self.held.values_mut() {
            held.ledger_mut().forget_coordinator(coordinator);
        }
    }

    /// Stops the runs of forwarded jobs whose leases end soon because the VM that has forwarded the job
    /// may be lost. The lease of the target limits its other runs as well.
    pub(super) fn stop_runs_of_silent_origins(&mut self, stop_by: TimePoint) {
        let mut runs = Vec::new();
        for (target, held) in &self.held {
            let expiring = held.ledger().runs().filter(|(_, run)| {
                let stopping = matches!(run.phase, RunPhase::Stopping { .. });
                run.origin_limit < stop_by && !stopping
            });
            runs.extend(expiring.map(|(task, _)| (*target, *task)));
        }
        for (target, task) in runs {
            self.stop_run(target, &task);
        }
    }

    /// Tells a target to stop a run. The resources of the run stay allocated until the target
    /// reports the end of the run.
    pub(super) fn stop_run(&mut self, target: TargetIndex, task: &TaskName) {
        let now = self.now();
        let Some(held) = self.held.get_mut(&target) else {
            return;
        };
        if let Some(order) = held.stop_run(now, task) {
            let options = held.request_options(false);
            self.send_stop(target, order, options);
        }
    }

    /// Tells a target to stop a run of a task that has another run there.
    pub(super) fn stop_duplicate(&mut self, target: TargetIndex, run: RunName) {
        let Some(held) = self.held.get(&target) else {
            return;
        };
        let token = held.token();
        let options = held.request_options(false);
        self.send_stop(target, StopRequest { run, token }, options);
    }

    fn send_stop(&mut self, target: TargetIndex, order: StopRequest, options: CallOptions) {
        let Some(address) = self.registry.address(target) else {
            return;
        };
        self.actions.push(FleetAction::Stop {
            target,
            name: self.registry.name(target).clone(),
            address,
            request: order,
            options,
        });
    }

    pub(super) fn receive_start_result(
        &mut self,
        target: TargetIndex,
        token: FencingToken,
        name: RunName,
        answer: StartAnswer,
    ) {
        let now = self.now();
        let Some(held) = self.held.get_mut(&target).filter(|it| it.token() == token) else {
            return;
        };
        let coordinator = held
            .ledger()
            .get(&name.task)
            .and_then(|run| run.coordinator);
        if answer == StartAnswer::TimedOut
            && !self.closed_zones.may_repeat_start(&self.registry, target)
        {
            held.stop_repeating(&name.task);
        }
        let outcome = held.handle_start_response(now, name, answer);
        if held.take_lost_response() {
            self.loss_detector.record_loss(now);
        }
        match outcome {
            StartOutcome::Started => {}
            StartOutcome::Retry(plan) => {
                self.counters.starts_lost += 1;
                if let Some(address) = self.registry.address(target) {
                    self.send_start(target, address, plan);
                }
            }
            StartOutcome::NotStarted(refusal) => {
                self.counters.starts_refused += 1;
                self.handle_start_refusal(target, name, coordinator, refusal);
            }
            StartOutcome::NotSent => {
                self.report_refusal(name, coordinator, PlaceRefusal::NeverStarted);
                self.placement_due = true;
            }
            StartOutcome::Uncertain => {
                self.counters.starts_lost += 1;
                held.poll_now(now);
            }
            StartOutcome::Ignored => {}
        }
    }

    fn handle_start_refusal(
        &mut self,
        target: TargetIndex,
        name: RunName,
        coordinator: Option<VmIndex>,
        refusal: StartRefusal,
    ) {
        let now = self.now();
        self.placement_due = true;
        self.notice(FleetNotice::StartRefused {
            run: name,
            target: self.registry.name(target).clone(),
            reason: refusal.as_str(),
        });
        let reply = match refusal {
            StartRefusal::OldRun => PlaceRefusal::OldRun,
            _ => PlaceRefusal::RefusedByTarget,
        };
        self.report_refusal(name, coordinator, reply);
        let Some(held) = self.held.get_mut(&target) else {
            return;
        };
        match refusal {
            StartRefusal::Fenced => self.release_fenced_target(target),
            StartRefusal::Unhealthy => {
                if held.health_mut().record_failure(now) {
                    let name = self.registry.name(target).clone();
                    self.notice(FleetNotice::TargetEjected(name));
                }
            }
            StartRefusal::Late | StartRefusal::NoCapacity | StartRefusal::OtherInstance => {
                // What this VM knows of the target is out of date.
                held.reconfirm(now);
            }
            StartRefusal::OldRun | StartRefusal::NotAllowed | StartRefusal::Invalid => {}
        }
    }

    pub(super) fn receive_stop_result(
        &mut self,
        target: TargetIndex,
        token: FencingToken,
        name: RunName,
        answer: StopResult,
    ) {
        let now = self.now();
        let Some(held) = self.held.get_mut(&target).filter(|it| it.token() == token) else {
            return;
        };
        match answer {
            StopResult::Accepted => held.handle_stop_accepted(now, name),
            StopResult::Fenced => self.release_fenced_target(target),
            StopResult::OtherInstance => held.reconfirm(now),
            StopResult::ConnectionLost => {
                held.record_connection_failure(now);
                let run = held.ledger().get(&name.task).map(|run| run.run);
                if run == Some(name.run) && held.is_reachable() {
                    self.stop_run(target, &name.task);
                }
            }
            StopResult::TimedOut => {
                let open = held
                    .ledger()
                    .get(&name.task)
                    .is_some_and(|run| run.run == name.run);
                if open
                    && held.is_reachable()
                    && let Some(order) = held.retry_stop(now, &name.task)
                {
                    let options = held.request_options(true);
                    self.send_stop(target, order, options);
                }
            }
        }
    }
}

/// Whether the limit on concurrent tasks of one step on one target permits another one. The holder decides: all
/// runs on the target are in its ledger, whoever coordinates them.
fn is_within_spread_limit(
    request: &PlaceRequest,
    order: &TaskPlacement,
    held: &HeldTarget,
) -> bool {
    let Some(limit) = request.spread_limit else {
        return true;
    };
    let of_step = |name: &TaskName| {
        let task = order.task;
        (name.job, name.occurrence, name.step) == (task.job, task.occurrence, task.step)
    };
    let runs = held.ledger().runs();
    runs.filter(|(name, _)| of_step(name)).count() < usize::from(limit)
}
