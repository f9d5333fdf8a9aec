//! Which targets this VM holds, and what it learns by looking at them.
//!
//! A target moves to another holder without a pause for its runs: the former holder lets it go, the
//! new one claims it with a higher token, finds the runs and asks their homes whether they are still
//! wanted. The same happens when the former holder has died.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use filbertpitch_dispatch::entity::{TargetIndex, VmIndex};
use filbertpitch_types::fleet::{
    EndNotice, FleetConfiguration, FleetMessage, KeptRun, PeerState, PlaceRefusal, TargetChange,
    TargetState,
};
use filbertpitch_types::lease::PollResult;
use filbertpitch_types::prelude::*;
use typed_index_collections::TiVec;

use super::{FleetAction, FleetEngine, FleetNotice, TimerTopic, TokenRefusal};
use crate::assignment::{HolderSeat, TargetSeat, assign_targets};
use crate::held::{EndedRun, HeldTarget, HoldPhase, LookNumber, LookOutcome};
use crate::ledger::TargetRun;

/// Tokens contain the wall-clock time in milliseconds times this, plus a number of the VM, so that
/// two VMs never choose the same one. The product stays below 2^53.
const TOKENS_PER_MS: u64 = 1024;

/// How far a token is raised above one that was refused, in milliseconds: more than clocks of VMs
/// usually differ by. Doubles with each refusal in a row, because the time of day of a VM may have
/// jumped by any amount.
const REFUSED_TOKEN_STEP_MS: u64 = 2000;

/// The most doublings of the step: some hours.
const TOKEN_STEP_DOUBLINGS: u32 = 13;

impl FleetEngine {
    pub(super) fn configure(&mut self, configuration: Rc<FleetConfiguration>) {
        let version = configuration.version;
        if self.catalog.install(configuration) {
            self.notice(FleetNotice::ConfigurationApplied(version));
            self.become_ready();
            self.room_changed = true;
        }
    }

    pub(super) fn finish_listing(&mut self) {
        self.targets_listed = true;
        self.become_ready();
    }

    fn become_ready(&mut self) {
        let complete = self.targets_listed && self.catalog.version().is_some();
        if self.state == PeerState::Starting && complete {
            self.state = PeerState::Ready;
            self.unsettled_at = self.now();
            self.change_seats();
        }
    }

    pub(super) fn start_draining(&mut self) {
        self.state = PeerState::Leaving;
        self.change_seats();
    }

    /// Makes the VMs or the targets that take part in the assignment known to have changed.
    pub(super) fn change_seats(&mut self) {
        self.seats_changed = true;
        self.ownership_changed = true;
    }

    pub(super) fn change_targets(&mut self, notices: Vec<TargetChange>) {
        let now = self.now();
        for notice in notices {
            let before = match &notice {
                TargetChange::Listed(entry) => self.registry.find(&entry.name),
                TargetChange::Removed(name) | TargetChange::Unreadable(name) => {
                    self.registry.find(name)
                }
            };
            let was_ready = before.is_some_and(|target| self.registry.is_ready(target));
            let listed = before.is_some_and(|target| self.registry.entry(target).is_some());
            let target = self.registry.apply(now, notice);
            let entry = self.registry.entry(target);
            let draining = entry.is_some_and(|entry| entry.state == TargetState::Draining);
            if let Some(entry) = entry
                && let Some(held) = self.held.get_mut(&target)
                && held.ledger().capacity() != entry.capacity
            {
                held.ledger_mut().set_capacity(entry.capacity);
            }
            let is_listed = self.registry.entry(target).is_some();
            if was_ready && !self.registry.is_ready(target) {
                let target = self.registry.name(target).clone();
                self.notice(FleetNotice::TargetUnlisted { target, draining });
            }
            if was_ready != self.registry.is_ready(target) || listed != is_listed {
                self.change_seats();
                self.room_changed = true;
            }
        }
    }

    /// The regular review, also for what changes with time alone.
    pub(super) fn review(&mut self) {
        let due = self.now() + self.settings.review_interval;
        self.timers.subscribe(due, TimerTopic::Review);
        self.judge_peers();
        self.repeat_stops();
        self.ownership_changed = true;
        self.room_changed |= self.jobs.waiting_len() > 0;
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

    /// Lets targets go that another VM should hold, and claims those that this VM should hold.
    pub(super) fn review_ownership(&mut self) {
        self.ownership_changed = false;
        if !self.targets_listed {
            return;
        }
        if std::mem::take(&mut self.seats_changed) {
            self.desired = self.compute_desired();
        }
        self.release_targets();
        self.claim_targets();
    }

    fn compute_desired(&self) -> TiVec<TargetIndex, Option<VmIndex>> {
        let mut members = self
            .links
            .iter_enumerated()
            .filter_map(|(vm, link)| match link {
                None => (self.state == PeerState::Ready).then_some((
                    vm,
                    self.vms.name(vm).as_str(),
                    &self.identity,
                )),
                Some(link) => {
                    link.is_seated()
                        .then_some((vm, self.vms.name(vm).as_str(), link.identity()))
                }
            })
            .collect::<Vec<_>>();
        members.sort_unstable_by_key(|(_, name, _)| *name);
        let holders = members
            .iter()
            .map(|(_, vm, identity)| HolderSeat {
                vm,
                zone: identity.zone.as_str(),
                processor: identity.processor.0,
            })
            .collect::<Vec<_>>();
        // The targets of other zones are assigned by the VMs there, if there are any. Those that this
        // VM holds all the same go back to them.
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
        let seats = listed.iter().map(|(_, entry)| TargetSeat {
            target: entry.name.as_str(),
            zone: entry.zone.as_str(),
        });
        let assigned = assign_targets(&holders, &seats.collect::<Vec<_>>());
        let mut desired = TiVec::from(vec![None; self.registry.len()]);
        for ((target, _), holder) in listed.into_iter().zip(assigned) {
            desired[target] = holder.map(|position| members[position].0);
        }
        desired
    }

    fn release_targets(&mut self) {
        let now = self.now();
        let mut released = Vec::new();
        for (target, held) in &self.held {
            let unlisted = self
                .registry
                .unlisted_since(*target)
                .is_some_and(|since| now.since(since) >= self.settings.unlisted_grace);
            let desired = self.desired.get(*target).copied().flatten();
            let other = desired.filter(|vm| *vm != self.own());
            let ready = other.is_some_and(|vm| {
                let link = self.links[vm].as_ref();
                link.is_some_and(|link| link.is_live() && link.state() == PeerState::Ready)
            });
            if unlisted && (held.ledger().is_empty() || !held.is_reachable()) {
                released.push((*target, "unlisted"));
            } else if ready
                && !held.ledger().has_open_order()
                && (self.registry.is_ready(*target) || held.ledger().is_empty())
            {
                released.push((*target, "assigned_elsewhere"));
            }
        }
        for (target, reason) in released {
            self.drop_target(target, reason);
        }
    }

    /// Stops holding a target. Runs on it are left to the next holder, or to lapse.
    pub(super) fn drop_target(&mut self, target: TargetIndex, reason: &'static str) {
        let Some(held) = self.held.remove(&target) else {
            return;
        };
        self.holdings_version += 1;
        self.announce();
        let name = self.registry.name(target).clone();
        self.notice(FleetNotice::TargetReleased {
            target: name,
            reason,
            runs: held.ledger().len(),
        });
        if let Some(address) = self.registry.address(target) {
            self.actions.push(FleetAction::Disconnect(address));
        }
        let mut homes = BTreeMap::<VmIndex, Vec<RunName>>::new();
        for (task, run) in held.ledger().runs() {
            let name = RunName {
                task: *task,
                run: run.run,
            };
            if let Some(home) = run.home {
                homes.entry(home).or_default().push(name);
            }
        }
        for (home, runs) in homes {
            let target = self.registry.name(target).clone();
            self.send(home, FleetMessage::Released { target, runs });
        }
        self.room_changed = true;
    }

    /// Makes peers learn of a change at once.
    fn announce(&mut self) {
        for link in self.links.iter_mut().flatten() {
            link.hurry();
        }
    }

    pub(super) fn claim_target(&mut self, target: TargetIndex) {
        let Some(entry) = self.registry.entry(target) else {
            return;
        };
        let capacity = entry.capacity;
        let token = self.next_token(target);
        let settings = self.settings.held.clone();
        let held = HeldTarget::claim(settings, token, capacity, self.now());
        self.held.insert(target, held);
        self.holdings_version += 1;
        self.announce();
    }

    /// A token that is higher than all that this VM has chosen or knows of. The time of day is only a
    /// first guess.
    fn next_token(&mut self, target: TargetIndex) -> FencingToken {
        let refused = self.fenced.get(&target).map_or(0, |refusal| {
            let doublings = refusal.count.saturating_sub(1).min(TOKEN_STEP_DOUBLINGS);
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

    /// Does what is due on held targets.
    pub(super) fn advance_held(&mut self) {
        let now = self.now();
        let due = self.held.iter().filter(|(_, held)| held.next_due() <= now);
        let due = due.map(|(target, _)| *target).collect::<Vec<_>>();
        for target in due {
            let Some(held) = self.held.get_mut(&target) else {
                continue;
            };
            let lapsed = held.advance(now);
            let orphans = held.end_audit(now);
            for ended in lapsed {
                self.report_end(target, ended);
            }
            for task in orphans {
                self.stop_run(target, &task);
            }
        }
    }

    /// Chooses new tokens for claims that were not confirmed in time.
    fn renew_claims(&mut self) {
        let now = self.now();
        let old = self.held.iter().filter(|(_, held)| held.is_claim_old(now));
        let old = old.map(|(target, _)| *target).collect::<Vec<_>>();
        for target in old {
            if self.is_held_by_peer(target) {
                self.drop_target(target, "held_elsewhere");
                continue;
            }
            let token = self.next_token(target);
            if let Some(held) = self.held.get_mut(&target) {
                held.claim_again(now, token);
                self.holdings_version += 1;
            }
        }
    }

    /// Sends the looks that are due.
    pub(super) fn send_looks(&mut self) {
        let now = self.now();
        let hedged = self.answer_doubt.is_raised(now);
        self.renew_claims();
        for (target, held) in &mut self.held {
            let Some(address) = self.registry.address(*target) else {
                continue;
            };
            while let Some(plan) = held.plan_look(now, hedged) {
                self.counters.looks_sent += 1;
                self.actions.push(FleetAction::Look {
                    target: *target,
                    name: self.registry.name(*target).clone(),
                    address,
                    plan,
                });
            }
        }
    }

    pub(super) fn receive_look(
        &mut self,
        target: TargetIndex,
        token: FencingToken,
        number: LookNumber,
        answer: PollResult,
    ) {
        let now = self.now();
        let Some(held) = self.held.get_mut(&target).filter(|it| it.token() == token) else {
            return;
        };
        match answer {
            PollResult::Report(report) => {
                let claimed = held.phase() == HoldPhase::Claiming;
                let outcome = held.look_answered(now, number, &report);
                if held.take_lost_answer() {
                    self.answer_doubt.miss(now);
                }
                if claimed {
                    self.note_claimed(target, &outcome);
                }
                self.apply_look(target, outcome);
                self.room_changed = true;
            }
            PollResult::Fenced => self.lose_target(target),
            PollResult::OtherInstance | PollResult::Silent | PollResult::Lost => {
                self.counters.looks_lost += 1;
                let silent = answer == PollResult::Silent;
                let unreachable = held.look_lost(now, number, silent);
                if held.take_lost_answer() {
                    self.answer_doubt.miss(now);
                }
                if unreachable {
                    let runs = held.ledger().len();
                    let name = self.registry.name(target).clone();
                    self.notice(FleetNotice::TargetUnreachable { target: name, runs });
                    self.room_changed = true;
                }
            }
        }
    }

    fn note_claimed(&mut self, target: TargetIndex, outcome: &LookOutcome) {
        let Some(held) = self.held.get(&target) else {
            return;
        };
        let token = held.token();
        self.counters.targets_claimed += 1;
        self.fenced.remove(&target);
        self.notice(FleetNotice::TargetClaimed {
            target: self.registry.name(target).clone(),
            token,
            found_runs: outcome.foreign_runs.len(),
        });
    }

    /// Another VM holds the target.
    pub(super) fn lose_target(&mut self, target: TargetIndex) {
        let Some(held) = self.held.get(&target) else {
            return;
        };
        let count = self.fenced.get(&target).map_or(0, |refusal| refusal.count);
        let refusal = TokenRefusal {
            at: self.now(),
            token: held.token(),
            count: count.saturating_add(1),
        };
        self.fenced.insert(target, refusal);
        self.counters.targets_fenced += 1;
        self.drop_target(target, "fenced");
    }

    fn apply_look(&mut self, target: TargetIndex, outcome: LookOutcome) {
        let name = self.registry.name(target).clone();
        if outcome.regained {
            self.notice(FleetNotice::TargetReachable(name.clone()));
        }
        if outcome.reborn {
            self.notice(FleetNotice::TargetReborn(name.clone()));
            let token = self.next_token(target);
            let now = self.now();
            if let Some(held) = self.held.get_mut(&target) {
                held.claim_again(now, token);
                self.holdings_version += 1;
            }
        }
        for ended in outcome.ended {
            self.report_end(target, ended);
        }
        for (task, run) in outcome.never_started {
            let name = RunName { task, run: run.run };
            self.report_refusal(name, run.home, PlaceRefusal::NeverStarted);
        }
        for task in outcome.absent_orders {
            self.stop_run(target, &task);
        }
        for (run, end) in outcome.foreign_ends {
            self.broadcast(FleetMessage::FoundEnd(EndNotice {
                run,
                target: name.clone(),
                end,
                took_ms: None,
            }));
        }
        if !outcome.foreign_runs.is_empty() {
            let due = self.now() + self.settings.audit_time;
            if let Some(held) = self.held.get_mut(&target) {
                held.begin_audit(due);
            }
            self.broadcast(FleetMessage::Inquire {
                target: name,
                runs: outcome.foreign_runs,
            });
        }
    }

    /// Tells the home how a run has ended, and learns from it.
    pub(super) fn report_end(&mut self, target: TargetIndex, ended: EndedRun) {
        let EndedRun { task, run, end } = ended;
        let took = self.learn_from_end(target, &run, end);
        self.room_changed = true;
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
        if let Some(home) = run.home {
            self.send(home, FleetMessage::Ended(notice));
        }
    }

    fn learn_from_end(&mut self, target: TargetIndex, run: &TargetRun, end: RunEnd) -> Option<u32> {
        let now = self.now();
        let took = now.since(run.since);
        let held = self.held.get_mut(&target)?;
        match end {
            RunEnd::Done => {
                self.counters.runs_done += 1;
                held.verdict_mut().done(took, run.expected);
            }
            RunEnd::Failed => {
                self.counters.runs_not_done += 1;
                if held.verdict_mut().failed(now) {
                    let name = self.registry.name(target).clone();
                    self.notice(FleetNotice::TargetShunned(name));
                }
            }
            _ => self.counters.runs_not_done += 1,
        }
        u32::try_from(took.as_millis()).ok()
    }

    /// Answers a new holder that has found runs.
    pub(super) fn receive_inquiry(&mut self, from: VmIndex, target: &TargetName, runs: &[RunName]) {
        let index = self.registry.intern(target);
        let mut kept = Vec::new();
        for run in runs {
            let Some(task) = self.jobs.find_task(&run.task) else {
                continue;
            };
            if self.keep_run(task, run.run, index, from) {
                let job = self.jobs.get(task.job).expect("the job is live");
                kept.push(KeptRun {
                    run: *run,
                    resources: job.step_of(task.position).resources,
                    expected_ms: millis(job.expected_of(task.position)),
                });
            }
        }
        if !kept.is_empty() {
            self.send(
                from,
                FleetMessage::Keep {
                    target: target.clone(),
                    runs: kept,
                },
            );
        }
    }

    /// Takes over the runs that a home still wants.
    pub(super) fn receive_keep(&mut self, from: VmIndex, target: &TargetName, runs: &[KeptRun]) {
        let index = self.registry.intern(target);
        let mut missed = Vec::new();
        for kept in runs {
            let expected = std::time::Duration::from_millis(kept.expected_ms.into());
            let held = self.held.get_mut(&index);
            if !held.is_some_and(|it| it.adopt_run(kept.run, from, kept.resources, expected)) {
                missed.push(kept.run);
            }
        }
        if !missed.is_empty() {
            let target = target.clone();
            let runs = missed;
            self.send(from, FleetMessage::Released { target, runs });
        }
        self.room_changed = true;
    }
}

/// Whole milliseconds, limited to the range of the message.
pub(super) fn millis(duration: std::time::Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
