//! Claiming and releasing targets, and the handling of poll results.
//!
//! A target changes its holder without interrupting its runs: the former holder releases it, the
//! new one claims it with a higher token, finds the runs in the poll response and asks their
//! coordinators whether they are still wanted. A new holder does the same after the former one has
//! failed.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use filbertpitch_dispatch::entity::{TargetIndex, VmIndex};
use filbertpitch_types::fleet::{
    EndNotice, FleetConfiguration, FleetMessage, KeptRun, PeerState, PlaceRefusal, TargetChange,
    TargetEntry, TargetState,
};
use filbertpitch_types::lease::PollResult;
use filbertpitch_types::prelude::*;
use typed_index_collections::TiVec;

use super::{FleetAction, FleetEngine, FleetNotice, TimerTopic, TokenRefusal};
use crate::assignment::{AssignableTarget, HolderCandidate, assign_targets};
use crate::blocked::BlockedRequest;
use crate::held::{EndedRun, HeldTarget, HoldPhase, PollNumber, PollOutcome, RunOwner};
use crate::lease_limits::LeaseLimits;
use crate::ledger::{ListedCapacity, TargetRun};
use crate::registry::TargetInstance;

/// A token is the wall-clock time in milliseconds times this factor, plus a number of the VM, so
/// that two VMs never choose the same one. The product stays below 2^53.
const TOKENS_PER_MS: u64 = 1024;

/// How far a token is raised above a refused one, in milliseconds: more than the usual clock
/// difference between VMs. The step doubles with each consecutive refusal, because the wall clock
/// of a VM may have jumped by any amount.
const REFUSED_TOKEN_STEP_MS: u64 = 2000;

/// The most doublings of `REFUSED_TOKEN_STEP_MS`; limits the step to a few hours.
const MAX_TOKEN_STEP_DOUBLINGS: u32 = 13;

impl FleetEngine {
    pub(super) fn configure(&mut self, configuration: Rc<FleetConfiguration>) {
        let version = configuration.version;
        if self.catalog.install(configuration) {
            self.notice(FleetNotice::ConfigurationApplied(version));
            self.update_readiness();
            self.placement_due = true;
        }
    }

    pub(super) fn finish_listing(&mut self) {
        self.targets_listed = true;
        let was_current = self.capacity_watch.is_current(self.now());
        self.capacity_watch.record_read(self.now());
        if !was_current {
            self.limit_capacities();
        }
        self.update_readiness();
    }

    fn update_readiness(&mut self) {
        let complete = self.targets_listed && self.catalog.version().is_some();
        if self.state == PeerState::Starting && complete {
            self.state = PeerState::Ready;
            self.membership_changed_at = self.now();
            self.invalidate_assignment();
        }
    }

    pub(super) fn start_draining(&mut self) {
        self.state = PeerState::Leaving;
        self.invalidate_assignment();
    }

    /// Requests a new assignment, because the set of assignable targets or of candidate holders has
    /// changed.
    pub(super) fn invalidate_assignment(&mut self) {
        self.assignment_stale = true;
        self.reconcile_due = true;
    }

    pub(super) fn update_targets(&mut self, notices: Vec<TargetChange>) {
        let now = self.now();
        for notice in notices {
            let before = match &notice {
                TargetChange::Listed(entry) => self.registry.find(&entry.name),
                TargetChange::Removed(name) | TargetChange::Unreadable(name) => {
                    self.registry.find(name)
                }
            };
            if before.is_none() && !matches!(notice, TargetChange::Listed(_)) {
                // A name that was never listed would take memory for ever.
                continue;
            }
            let was_ready = before.is_some_and(|target| self.registry.is_ready(target));
            let listed = before.is_some_and(|target| self.registry.entry(target).is_some());
            let target = self.registry.apply(now, notice);
            let entry = self.registry.entry(target);
            self.kind_speeds
                .set_kind(target, entry.and_then(TargetEntry::kind));
            let draining = entry.is_some_and(|entry| entry.state == TargetState::Draining);
            if let Some(entry) = entry {
                let watch = &mut self.capacity_watch;
                watch.record_listing(now, target, entry.capacity);
                let usable = watch.usable(now, target, entry.capacity);
                if let Some(held) = self.held.get_mut(&target) {
                    let instance = TargetInstance(entry.boot);
                    held.set_listed_capacity(now, ListedCapacity { instance, usable });
                    held.health_mut()
                        .set_cold_until(now, self.registry.cold_until(target));
                }
            }
            let is_listed = self.registry.entry(target).is_some();
            if was_ready && !self.registry.is_ready(target) {
                let target = self.registry.name(target).clone();
                self.notice(FleetNotice::TargetUnlisted { target, draining });
            }
            if was_ready != self.registry.is_ready(target) || listed != is_listed {
                self.invalidate_assignment();
                self.placement_due = true;
            }
        }
    }

    /// Runs periodically, also to catch conditions that depend on time alone.
    pub(super) fn reconcile(&mut self) {
        let due = self.now() + self.settings.reconcile_interval;
        self.timers.subscribe(due, TimerTopic::Reconcile);
        self.detect_lost_peers();
        self.check_capacities();
        self.repeat_stops();
        self.reject_unservable_jobs();
        self.update_kind_speeds();
        self.reconcile_due = true;
        self.placement_due |= self.jobs.waiting_len() > 0;
    }

    fn repeat_stops(&mut self) {
        let now = self.now();
        let mut overdue = Vec::new();
        for (target, held) in self.held.iter().filter(|(_, held)| held.is_reachable()) {
            let tasks = held.overdue_stops(now);
            overdue.extend(tasks.into_iter().map(|task| (*target, task)));
        }
        for (target, task) in overdue {
            self.stop_run(target, &task);
        }
    }

    /// Releases targets that are assigned to another VM, and claims those that are assigned to this
    /// VM.
    pub(super) fn reconcile_ownership(&mut self) {
        self.reconcile_due = false;
        if !self.targets_listed {
            return;
        }
        if std::mem::take(&mut self.assignment_stale) {
            self.assigned_holders = self.assign_holders();
        }
        self.release_targets();
        self.claim_targets();
    }

    /// Assigns each target to one of the VMs that are present. A VM that has just started counts those
    /// as present that it has not heard yet: after a loss of all VMs they are starting, too.
    fn assign_holders(&self) -> TiVec<TargetIndex, Option<VmIndex>> {
        let young = self.has_just_started();
        let mut members = self
            .links
            .iter_enumerated()
            .filter_map(|(vm, link)| match link {
                None => (self.state == PeerState::Ready).then_some((
                    vm,
                    self.vms.name(vm).as_str(),
                    &self.identity,
                )),
                Some(link) => (link.is_holder_candidate() || (young && link.is_awaited()))
                    .then_some((vm, self.vms.name(vm).as_str(), link.identity())),
            })
            .collect::<Vec<_>>();
        members.sort_unstable_by_key(|(_, name, _)| *name);
        let holders = members
            .iter()
            .map(|(_, vm, identity)| HolderCandidate {
                vm,
                zone: identity.zone.as_str(),
                processor: identity.processor.0,
            })
            .collect::<Vec<_>>();
        // The targets of another zone are assigned by the VMs of that zone, if it has any. This VM
        // also computes the assignment of zones in which it holds targets, so that it returns these
        // targets to the VMs of their zone.
        let held = self.held.keys();
        let held = held.filter_map(|target| self.registry.entry(*target));
        let held = held
            .map(|entry| entry.zone.as_str())
            .collect::<BTreeSet<_>>();
        let own_zone = self.identity.zone.as_str();
        let concerned = |zone: &str| {
            zone == own_zone
                || held.contains(zone)
                || !holders.iter().any(|holder| holder.zone == zone)
        };
        let listed = self.registry.listed();
        let listed = listed.filter(|(_, entry)| concerned(entry.zone.as_str()));
        let listed = listed.collect::<Vec<_>>();
        let assignable = listed.iter().map(|(_, entry)| AssignableTarget {
            target: entry.name.as_str(),
            zone: entry.zone.as_str(),
        });
        let assigned = assign_targets(&holders, &assignable.collect::<Vec<_>>());
        let mut assigned_holders = TiVec::from(vec![None; self.registry.len()]);
        for ((target, _), holder) in listed.into_iter().zip(assigned) {
            assigned_holders[target] = holder.map(|position| members[position].0);
        }
        assigned_holders
    }

    fn release_targets(&mut self) {
        let now = self.now();
        let mut released = Vec::new();
        for (target, held) in &self.held {
            let unlisted = self
                .registry
                .unlisted_since(*target)
                .is_some_and(|since| now.since(since) >= self.settings.unlisted_grace);
            let assigned = self.assigned_holders.get(*target).copied().flatten();
            let other = assigned.filter(|vm| *vm != self.own_vm());
            let ready = other.is_some_and(|vm| {
                let link = self.links[vm].as_ref();
                link.is_some_and(|link| link.is_live() && link.state() == PeerState::Ready)
            });
            if unlisted && (held.ledger().is_empty() || !held.is_reachable()) {
                released.push((*target, "unlisted"));
            } else if ready
                && !held.ledger().has_pending_start()
                && (self.registry.is_ready(*target) || held.ledger().is_empty())
            {
                released.push((*target, "assigned_elsewhere"));
            }
        }
        for (target, reason) in released {
            self.release_target(target, reason);
        }
    }

    /// Stops holding a target and tells the coordinators of its runs. The runs are left to the next
    /// holder or to the expiry of their lease.
    pub(super) fn release_target(&mut self, target: TargetIndex, reason: &'static str) {
        let Some(held) = self.held.remove(&target) else {
            return;
        };
        self.holdings_version += 1;
        self.expedite_envelopes();
        let name = self.registry.name(target).clone();
        self.notice(FleetNotice::TargetReleased {
            target: name,
            reason,
            runs: held.ledger().len(),
        });
        if let Some(address) = self.registry.address(target) {
            self.actions.push(FleetAction::Disconnect(address));
        }
        let mut coordinators = BTreeMap::<VmIndex, Vec<RunName>>::new();
        for (task, run) in held.ledger().runs() {
            let name = RunName {
                task: *task,
                run: run.run,
            };
            if let Some(coordinator) = run.coordinator {
                coordinators.entry(coordinator).or_default().push(name);
            }
        }
        let running = |task: &TaskName| held.ledger().get(task).is_some();
        for request in self.blocked_requests.take_if(running) {
            let blocked = coordinators.entry(request.coordinator);
            blocked.or_default().push(request.run);
        }
        let token = held.token();
        for (coordinator, runs) in coordinators {
            let released = FleetMessage::Released {
                target: self.registry.name(target).clone(),
                runs,
                token,
            };
            self.send(coordinator, released);
        }
        self.placement_due = true;
    }

    /// Tells the coordinator of a run that this VM does not know any more whose run it is. The coordinator
    /// counts the run as over after a lease, unless it answers the question of this VM.
    fn release_run(&mut self, target: TargetIndex, run: RunName, coordinator: VmIndex) {
        let Some(held) = self.held.get(&target) else {
            return;
        };
        let released = FleetMessage::Released {
            target: self.registry.name(target).clone(),
            runs: vec![run],
            token: held.token(),
        };
        self.send(coordinator, released);
    }

    /// Sends the next envelope to each peer as soon as possible, so that peers learn of a changed
    /// holding.
    pub(super) fn expedite_envelopes(&mut self) {
        for (_, link) in self.links.iter_mut() {
            link.request_envelope();
        }
    }

    pub(super) fn claim_target(&mut self, target: TargetIndex) {
        let Some(entry) = self.registry.entry(target) else {
            return;
        };
        let usable = self
            .capacity_watch
            .usable(self.now(), target, entry.capacity);
        let instance = TargetInstance(entry.boot);
        let listed = ListedCapacity { instance, usable };
        let token = self.next_token(target);
        let settings = self.settings.held.clone();
        let now = self.now();
        let mut held = HeldTarget::claim(settings, token, listed, now);
        held.health_mut()
            .set_cold_until(now, self.registry.cold_until(target));
        self.held.insert(target, held);
        self.holdings_version += 1;
        self.expedite_envelopes();
    }

    /// A token that is higher than all tokens that this VM has chosen, or has seen for the target,
    /// and higher by a growing step than a token that the target has refused. The wall clock gives
    /// only a lower bound, because it may be wrong.
    fn next_token(&mut self, target: TargetIndex) -> FencingToken {
        let refused = self.token_refusals.get(&target).map_or(0, |refusal| {
            let doublings = refusal
                .count
                .saturating_sub(1)
                .min(MAX_TOKEN_STEP_DOUBLINGS);
            refusal.token.0 / TOKENS_PER_MS + (REFUSED_TOKEN_STEP_MS << doublings)
        });
        let seen = self.seen_tokens.get(&target);
        let seen = seen.map_or(0, |token| token.0 / TOKENS_PER_MS + 1);
        let millis = self.clock.wall.0.max(refused).max(seen);
        let number = self.identity.incarnation.0 % TOKENS_PER_MS;
        let mut token = FencingToken(millis * TOKENS_PER_MS + number);
        if token <= self.last_token {
            token = FencingToken(self.last_token.0 + TOKENS_PER_MS);
        }
        self.last_token = token;
        token
    }

    /// Reports runs whose lease has expired, and stops found runs that no coordinator has claimed
    /// in time.
    pub(super) fn advance_held(&mut self) {
        let now = self.now();
        let due = self.held.iter().filter(|(_, held)| held.next_due() <= now);
        let due = due.map(|(target, _)| *target).collect::<Vec<_>>();
        for target in due {
            let Some(held) = self.held.get_mut(&target) else {
                continue;
            };
            let expired = held.advance(now);
            let unclaimed = held.take_unadopted(now);
            for ended in expired {
                self.report_end(target, ended);
            }
            for task in unclaimed {
                self.stop_run(target, &task);
            }
        }
    }

    /// For each claim that was not confirmed in time: claims the target again with a new token, or
    /// releases the target if a peer holds it by now. Runs of the earlier claim are released.
    fn retry_claims(&mut self) {
        let now = self.now();
        let old = self
            .held
            .iter()
            .filter(|(_, held)| held.is_claim_stale(now));
        let old = old.map(|(target, _)| *target).collect::<Vec<_>>();
        for target in old {
            if self.is_held_by_peer(target) {
                self.release_target(target, "held_elsewhere");
                continue;
            }
            let held = self.held.get(&target);
            if held.is_some_and(|held| !held.ledger().is_empty()) {
                // Another VM may have had the runs meanwhile, so their coordinators must be asked again.
                self.release_target(target, "unconfirmed");
                self.claim_target(target);
                continue;
            }
            let token = self.next_token(target);
            if let Some(held) = self.held.get_mut(&target) {
                held.reclaim(now, token);
                self.holdings_version += 1;
            }
        }
    }

    /// Sends the polls that are due.
    pub(super) fn send_polls(&mut self) {
        let now = self.now();
        let hedged = self.loss_detector.is_lossy(now);
        self.retry_claims();
        let limits = LeaseLimits::new(&self.links, &self.settings.held, self.examined_at);
        for (target, held) in &mut self.held {
            let Some(address) = self.registry.address(*target) else {
                continue;
            };
            while let Some(plan) = held.plan_poll(now, hedged, &limits) {
                self.counters.polls_sent += 1;
                self.actions.push(FleetAction::Poll {
                    target: *target,
                    name: self.registry.name(*target).clone(),
                    address,
                    plan,
                });
            }
        }
    }

    pub(super) fn receive_poll_result(
        &mut self,
        target: TargetIndex,
        token: FencingToken,
        number: PollNumber,
        answer: PollResult,
    ) {
        let now = self.now();
        let Some(held) = self.held.get_mut(&target).filter(|it| it.token() == token) else {
            return;
        };
        match answer {
            PollResult::Report(report) => {
                let claimed = held.phase() == HoldPhase::Claiming;
                let former = held.instance();
                let outcome = held.handle_poll_report(now, number, &report);
                if held.instance() != former {
                    self.holdings_version += 1;
                }
                if held.take_lost_response() {
                    self.loss_detector.record_loss(now);
                }
                if claimed {
                    self.record_claim(target, &outcome);
                }
                self.apply_poll(target, outcome);
                self.placement_due = true;
            }
            PollResult::Fenced => self.release_fenced_target(target),
            PollResult::OtherInstance
            | PollResult::TimedOut
            | PollResult::ConnectionRefused
            | PollResult::ConnectionLost => {
                self.counters.polls_lost += 1;
                let timed_out = answer == PollResult::TimedOut;
                let unreachable = held.handle_poll_failure(now, number, timed_out);
                if held.take_lost_response() {
                    self.loss_detector.record_loss(now);
                }
                let refused = answer == PollResult::ConnectionRefused;
                let crash = refused.then(|| held.notice_crash()).flatten();
                if unreachable {
                    let runs = held.ledger().len();
                    let name = self.registry.name(target).clone();
                    self.notice(FleetNotice::TargetUnreachable { target: name, runs });
                    self.placement_due = true;
                }
                if let Some(crash) = crash {
                    self.report_crash(target, crash);
                }
            }
        }
    }

    fn record_claim(&mut self, target: TargetIndex, outcome: &PollOutcome) {
        let Some(held) = self.held.get(&target) else {
            return;
        };
        let token = held.token();
        self.counters.targets_claimed += 1;
        self.token_refusals.remove(&target);
        self.notice(FleetNotice::TargetClaimed {
            target: self.registry.name(target).clone(),
            token,
            found_runs: outcome.unknown_runs.len(),
        });
    }

    /// Releases a target that has refused this VM's token, and records the refusal: another VM
    /// holds the target.
    pub(super) fn release_fenced_target(&mut self, target: TargetIndex) {
        let Some(held) = self.held.get(&target) else {
            return;
        };
        let count = self
            .token_refusals
            .get(&target)
            .map_or(0, |refusal| refusal.count);
        let refusal = TokenRefusal {
            at: self.now(),
            token: held.token(),
            count: count.saturating_add(1),
        };
        self.token_refusals.insert(target, refusal);
        self.counters.targets_fenced += 1;
        self.release_target(target, "fenced");
    }

    fn apply_poll(&mut self, target: TargetIndex, outcome: PollOutcome) {
        let name = self.registry.name(target).clone();
        if outcome.reachable_again {
            self.notice(FleetNotice::TargetReachable(name.clone()));
        }
        if let Some(crash) = outcome.crash {
            self.report_crash(target, crash);
        }
        if outcome.restarted {
            self.notice(FleetNotice::TargetRestarted(name.clone()));
            let token = self.next_token(target);
            let now = self.now();
            if let Some(held) = self.held.get_mut(&target) {
                held.reclaim(now, token);
                self.holdings_version += 1;
            }
            self.offers.retain_targets(|offered| offered != target);
            self.expedite_envelopes();
        }
        for outlived in outcome.outlived {
            self.counters.runs_outlived += 1;
            self.notice(FleetNotice::RunOutlived {
                run: outlived.run,
                target: name.clone(),
                over_for: self.now().since(outlived.concluded_at),
            });
        }
        for ended in outcome.ended {
            self.report_end(target, ended);
        }
        for (task, run) in outcome.never_started {
            let name = RunName { task, run: run.run };
            self.report_refusal(name, run.coordinator, PlaceRefusal::NeverStarted);
        }
        for task in outcome.missing_starts {
            self.stop_run(target, &task);
        }
        for (run, coordinator) in outcome.unclear_runs {
            self.release_run(target, run, coordinator);
        }
        for run in outcome.duplicate_runs {
            self.notice(FleetNotice::DuplicateRun {
                run,
                target: name.clone(),
            });
            self.stop_duplicate(target, run);
        }
        for (run, end) in outcome.unknown_ends {
            self.broadcast(FleetMessage::FoundEnd(EndNotice {
                run,
                target: name.clone(),
                end,
                took_ms: None,
            }));
        }
        if !outcome.unknown_runs.is_empty()
            && let Some(held) = self.held.get_mut(&target)
        {
            held.begin_adoption(self.clock.time + self.settings.adoption_timeout);
            let token = held.token();
            self.broadcast(FleetMessage::Inquire {
                target: name,
                token,
                runs: outcome.unknown_runs,
            });
        }
    }

    /// Tells the coordinator how a run has ended, and records the result for the target's health
    /// and speed.
    pub(super) fn report_end(&mut self, target: TargetIndex, ended: EndedRun) {
        let EndedRun { task, run, end } = ended;
        let took = self.record_run_end(target, &run, end);
        self.placement_due = true;
        let notice = EndNotice {
            run: RunName { task, run: run.run },
            target: self.registry.name(target).clone(),
            end,
            took_ms: took,
        };
        if end != RunEnd::Done {
            self.notice(FleetNotice::RunEnded {
                run: notice.run,
                target: notice.target.clone(),
                end,
            });
        }
        if let Some(coordinator) = run.coordinator {
            self.send(coordinator, FleetMessage::Ended(notice));
        }
    }

    fn record_run_end(&mut self, target: TargetIndex, run: &TargetRun, end: RunEnd) -> Option<u32> {
        let now = self.now();
        let took = now.since(run.since);
        self.kind_speeds.record_use(now, target);
        let health = self.held.get_mut(&target)?.health_mut();
        health.advance(now);
        let typical = health.is_run_typical(run.since);
        if end == RunEnd::Done && typical && !health.is_cold() {
            self.learn_as_holder(target, run, took);
        }
        let held = self.held.get_mut(&target)?;
        match end {
            RunEnd::Done => {
                self.counters.runs_done += 1;
                let health = held.health_mut();
                let expected = match typical {
                    true => run.expected.mul_f64(self.kind_speeds.factor_of(target)),
                    false => std::time::Duration::ZERO,
                };
                health.record_success(took, expected);
            }
            RunEnd::Failed => {
                self.counters.runs_not_done += 1;
                if held.health_mut().record_failure(now) {
                    let name = self.registry.name(target).clone();
                    self.notice(FleetNotice::TargetEjected(name));
                }
            }
            _ => self.counters.runs_not_done += 1,
        }
        u32::try_from(took.as_millis()).ok()
    }

    /// Tells a new holder which of the runs that it found on a target are still wanted, and records
    /// the new holder for the tasks of these runs.
    pub(super) fn receive_inquiry(
        &mut self,
        from: VmIndex,
        target: &TargetName,
        token: FencingToken,
        runs: &[RunName],
    ) {
        let index = self.registry.intern(target);
        let mut kept = Vec::new();
        for run in runs {
            let Some(task) = self.jobs.find_task(&run.task) else {
                continue;
            };
            if self.reassign_run(task, run.run, index, (from, token)) {
                let job = self.jobs.get(task.job).expect("the job is live");
                kept.push(KeptRun {
                    run: *run,
                    resources: job.step_of(task.position).resources,
                    expected_ms: millis(self.expected_on(task, index)),
                    origin: self.state_origin_to(from, task.job),
                });
            }
        }
        if !kept.is_empty() {
            if let Some(link) = &mut self.links[from] {
                link.heartbeat_mut().use_base_interval();
            }
            self.send(
                from,
                FleetMessage::Keep {
                    target: target.clone(),
                    runs: kept,
                    losses: self.losses_declared_by(from),
                    claim: Some(token),
                },
            );
        }
    }

    /// Adopts the found runs that a coordinator still wants, and tells the coordinator which of
    /// these runs it has not adopted. The answer to a question under an earlier claim of this VM adopts
    /// no run, because the coordinator may have lost the contact since. A second coordinator of the job waits
    /// for the end of the run, as with a request of its own. A message that answers no question
    /// only changes runs that the coordinator has here; the coordinator learns otherwise of their end.
    pub(super) fn receive_keep(
        &mut self,
        from: VmIndex,
        target: &TargetName,
        runs: &[KeptRun],
        losses: LossCount,
        claim: Option<FencingToken>,
    ) {
        let index = self.registry.intern(target);
        let link = self.links[from].as_ref();
        let admitted = link.is_none_or(|link| link.admits_request(losses));
        let mut missed = Vec::new();
        for kept in runs {
            let expected = std::time::Duration::from_millis(kept.expected_ms.into());
            let owner = RunOwner {
                coordinator: from,
                origin: kept.origin,
            };
            let limits = LeaseLimits::new(&self.links, &self.settings.held, self.examined_at);
            let held = self.held.get_mut(&index).filter(|_| admitted);
            let adopted = held.is_some_and(|held| {
                let known = held.ledger().get(&kept.run.task);
                let own = known.is_some_and(|run| run.coordinator == Some(from));
                (own || claim == Some(held.token()))
                    && held.adopt_run(kept.run, owner, kept.resources, expected, &limits)
            });
            if adopted {
                continue;
            }
            if admitted && claim.is_some() && self.has_other_coordinator(&kept.run.task, from) {
                self.blocked_requests.add(BlockedRequest {
                    coordinator: from,
                    run: kept.run,
                });
                continue;
            }
            missed.push(kept.run);
        }
        if let Some(token) = claim
            && !missed.is_empty()
        {
            let released = FleetMessage::Released {
                target: target.clone(),
                runs: missed,
                token,
            };
            self.send(from, released);
        }
        self.placement_due = true;
    }

    /// Whether a held target has a run of this task that another VM than `vm` coordinates.
    fn has_other_coordinator(&self, task: &TaskName, vm: VmIndex) -> bool {
        let held = self.held.values();
        let mut runs = held.filter_map(|held| held.ledger().get(task));
        runs.any(|run| run.is_coordinated_by_other(vm))
    }
}

/// Whole milliseconds; saturates at the range of the message field.
pub(super) fn millis(duration: std::time::Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
