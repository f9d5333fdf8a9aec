//! What homes ask of this VM as a holder, and the orders to targets that follow.

use std::net::SocketAddr;
use std::time::Duration;

use filbertpitch_dispatch::entity::{TargetIndex, VmIndex};
use filbertpitch_types::fleet::{
    FleetMessage, PeerState, PlaceRefusal, PlaceRequest, TaskPlacement,
};
use filbertpitch_types::lease::{CallOptions, StartAnswer, StartRefusal, StopRequest, StopResult};
use filbertpitch_types::prelude::*;

use super::{FleetAction, FleetEngine, FleetNotice};
use crate::held::{HeldTarget, StartOutcome, StartPlan};
use crate::ledger::{RunPhase, TargetRun};

impl FleetEngine {
    /// Runs the tasks of a home on held targets, or refuses them at once.
    pub(super) fn receive_place(&mut self, home: VmIndex, request: PlaceRequest) {
        if let Some(offer) = request.offer
            && self.offers.close(home, offer).is_some()
        {
            self.room_changed = true;
        }
        let now = self.now();
        let age = match &self.links[home] {
            Some(link) => link.age(request.issued_at, now),
            None => Duration::ZERO,
        };
        let stale = age >= self.settings.links.stale_after;
        for order in &request.tasks {
            let refusal = match stale {
                true => Err(PlaceRefusal::Stale),
                false => self.run_task(home, &request, order),
            };
            if let Err(refusal) = refusal {
                let run = RunName {
                    task: order.task,
                    run: order.run,
                };
                self.report_refusal(run, Some(home), refusal);
            }
        }
    }

    fn run_task(
        &mut self,
        home: VmIndex,
        request: &PlaceRequest,
        order: &TaskPlacement,
    ) -> Result<(), PlaceRefusal> {
        let mut ledgers = self.held.values().map(HeldTarget::ledger);
        if ledgers.any(|ledger| ledger.get(&order.task).is_some()) {
            return Err(PlaceRefusal::StillRunning);
        }
        let target = self
            .find_held(request, order)
            .ok_or(PlaceRefusal::NoCapacity)?;
        let now = self.now();
        let run = TargetRun {
            run: order.run,
            room: Some(order.resources),
            home: Some(home),
            queue: self.catalog.index(&request.queue),
            expected: Duration::from_millis(order.expected_ms.into()),
            since: now,
            restarted: false,
            phase: RunPhase::Ordered { void_at: now },
        };
        let held = self.held.get_mut(&target).ok_or(PlaceRefusal::NoCapacity)?;
        let payload = std::rc::Rc::clone(&request.payload);
        let start = held
            .order_run(now, order.task, run, payload)
            .ok_or(PlaceRefusal::NoCapacity)?;
        let Some(address) = self.registry.address(target) else {
            return Err(PlaceRefusal::NoCapacity);
        };
        self.counters.starts_sent += 1;
        self.send_start(target, address, start);
        Ok(())
    }

    fn send_start(&mut self, target: TargetIndex, address: SocketAddr, plan: StartPlan) {
        self.actions.push(FleetAction::Start {
            target,
            name: self.registry.name(target).clone(),
            address,
            order: plan.order,
            terms: plan.terms,
        });
    }

    /// The held target for a task: the one that its home suggests, or else the one that it fits
    /// best.
    fn find_held(&mut self, request: &PlaceRequest, order: &TaskPlacement) -> Option<TargetIndex> {
        let now = self.now();
        if self.state == PeerState::Leaving {
            return None;
        }
        let suggested = self.registry.find(&order.target);
        let mut best = None;
        for (target, held) in &mut self.held {
            let Some(entry) = self.registry.entry(*target) else {
                continue;
            };
            let label = request.required_label.as_ref();
            let suits = entry.service == request.service
                && self.registry.is_ready(*target)
                && label.is_none_or(|label| entry.labels.contains(label))
                && !order.excluded.contains(&entry.name)
                && !self.offers.holds(*target);
            if !suits {
                continue;
            }
            let room = held.open_room(now);
            if !order.resources.fits(&room) {
                continue;
            }
            if suggested == Some(*target) {
                return suggested;
            }
            let rest = (room - order.resources).cpu;
            if best.is_none_or(|(least, _)| rest < least) {
                best = Some((rest, *target));
            }
        }
        best.map(|(_, target)| target)
    }

    pub(super) fn report_refusal(
        &mut self,
        run: RunName,
        home: Option<VmIndex>,
        refusal: PlaceRefusal,
    ) {
        if let Some(home) = home {
            self.send(home, FleetMessage::Refused { run, refusal });
        }
    }

    /// Stops the tasks that a home does not want any more.
    pub(super) fn receive_withdrawal(&mut self, home: VmIndex, tasks: &[TaskName]) {
        for task in tasks {
            let holding = self.held.iter().find(|(_, held)| {
                let run = held.ledger().get(task);
                run.is_some_and(|run| run.home == Some(home))
            });
            if let Some((target, _)) = holding {
                let target = *target;
                self.stop_run(target, task);
            }
        }
    }

    /// Stops all runs of a home that was lost.
    pub(super) fn stop_runs_of(&mut self, home: VmIndex) {
        let mut runs = Vec::new();
        for (target, held) in &self.held {
            let own = held
                .ledger()
                .runs()
                .filter(|(_, run)| run.home == Some(home));
            runs.extend(own.map(|(task, _)| (*target, *task)));
        }
        for (target, task) in runs {
            self.stop_run(target, &task);
        }
    }

    /// Tells a target to stop a run. Its room is free once the target lists its end.
    pub(super) fn stop_run(&mut self, target: TargetIndex, task: &TaskName) {
        let now = self.now();
        let Some(held) = self.held.get_mut(&target) else {
            return;
        };
        if let Some(order) = held.stop_run(now, task) {
            let terms = held.order_terms(false);
            self.send_stop(target, order, terms);
        }
    }

    fn send_stop(&mut self, target: TargetIndex, order: StopRequest, terms: CallOptions) {
        let Some(address) = self.registry.address(target) else {
            return;
        };
        self.actions.push(FleetAction::Stop {
            target,
            name: self.registry.name(target).clone(),
            address,
            order,
            terms,
        });
    }

    pub(super) fn receive_start(
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
        let home = held.ledger().get(&name.task).and_then(|run| run.home);
        let outcome = held.start_answered(now, name, answer);
        if held.take_lost_answer() {
            self.answer_doubt.miss(now);
        }
        match outcome {
            StartOutcome::Started => {}
            StartOutcome::Repeated(plan) => {
                self.counters.starts_lost += 1;
                if let Some(address) = self.registry.address(target) {
                    self.send_start(target, address, plan);
                }
            }
            StartOutcome::NotStarted(refusal) => {
                self.counters.starts_refused += 1;
                self.note_start_refusal(target, name, home, refusal);
            }
            StartOutcome::NotSent => {
                self.report_refusal(name, home, PlaceRefusal::NeverStarted);
                self.room_changed = true;
            }
            StartOutcome::Uncertain => {
                self.counters.starts_lost += 1;
                held.hasten_look(now);
            }
            StartOutcome::Ignored => {}
        }
    }

    fn note_start_refusal(
        &mut self,
        target: TargetIndex,
        name: RunName,
        home: Option<VmIndex>,
        refusal: StartRefusal,
    ) {
        let now = self.now();
        self.room_changed = true;
        self.notice(FleetNotice::StartRefused {
            run: name,
            target: self.registry.name(target).clone(),
            reason: refusal.as_str(),
        });
        let reply = match refusal {
            StartRefusal::OldRun => PlaceRefusal::OldRun,
            _ => PlaceRefusal::RefusedByTarget,
        };
        self.report_refusal(name, home, reply);
        let Some(held) = self.held.get_mut(&target) else {
            return;
        };
        match refusal {
            StartRefusal::Fenced => self.lose_target(target),
            StartRefusal::Unhealthy => {
                if held.verdict_mut().failed(now) {
                    let name = self.registry.name(target).clone();
                    self.notice(FleetNotice::TargetShunned(name));
                }
            }
            StartRefusal::Late | StartRefusal::NoCapacity | StartRefusal::OtherInstance => {
                // What this VM believes of the target is wrong.
                held.reconfirm(now);
            }
            StartRefusal::OldRun | StartRefusal::NotAllowed | StartRefusal::Invalid => {}
        }
    }

    pub(super) fn receive_stop(
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
            StopResult::Accepted => held.stop_accepted(now, name),
            StopResult::Fenced => self.lose_target(target),
            StopResult::OtherInstance => held.reconfirm(now),
            StopResult::Lost => {
                if held.ledger().get(&name.task).is_some() && held.is_reachable() {
                    self.stop_run(target, &name.task);
                }
            }
            StopResult::Silent => {
                let open = held
                    .ledger()
                    .get(&name.task)
                    .is_some_and(|run| run.run == name.run);
                if open
                    && held.is_reachable()
                    && let Some(order) = held.repeat_stop(now, &name.task)
                {
                    let terms = held.order_terms(true);
                    self.send_stop(target, order, terms);
                }
            }
        }
    }
}
