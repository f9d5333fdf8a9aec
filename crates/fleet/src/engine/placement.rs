//! Assignment of waiting tasks to targets.
//!
//! A coordinator considers all targets. For targets that it holds itself, it knows the exact free
//! capacity. For targets of other holders, it takes the capacity that the holder reported last,
//! less what it has requested since the report. It sends a request for each task to the holder of
//! the target with the lowest cost. If the report was out of date, the holder refuses the request
//! at once and the task is placed elsewhere.

use std::time::Duration;

use filbertpitch_dispatch::entity::{JobKey, TargetIndex, VmIndex};
use filbertpitch_types::fleet::{
    DemandReport, FleetMessage, OfferNumber, PeerState, PlaceRequest, TargetEntry, TaskPlacement,
    TaskRank,
};
use filbertpitch_types::prelude::*;

use super::holding::millis;
use super::{FleetEngine, FleetNotice};
use crate::heartbeat::PeerLocality;
use crate::job_table::{TaskPhase, TaskRef};
use crate::kind_speed::{SpeedContext, TargetSpeed};
use crate::link::PeerLink;
use crate::rack_demand::RACK_IN_DEMAND_COST_MS;
use crate::registry::TargetInstance;

/// How many waiting tasks that fit nowhere are examined before the search ends.
const SEARCH_LIMIT: usize = 24;

/// The delay of a task when its holder is another VM of the zone: two envelopes, each of which
/// waits for the event loop of a busy VM.
const SAME_ZONE_HOP_MS: f64 = 25.0;

/// The delay of a task when its holder or its target is in another zone, and an allowance for the
/// cost of traffic between zones.
const CROSS_ZONE_HOP_MS: f64 = 60.0;

/// By how much a task of another coordinator must be more urgent than this VM's own tasks of the
/// same timeliness and priority to get the capacity of a held target: the target is idle while the
/// other coordinator is asked.
const LOCAL_PREFERENCE_MS: i32 = 40;

/// `LOCAL_PREFERENCE_MS` for a coordinator in another zone.
const CROSS_ZONE_LOCAL_PREFERENCE_MS: i32 = 80;

/// The cost, as equivalent run time, of leaving the whole capacity of a target unusable for further
/// tasks.
const FRAGMENTATION_COST_MS: f64 = 20.0;

/// The lower limit of the slowdown of a target in its cost.
const MIN_SLOWDOWN: f64 = 0.1;

/// The cost of starting on an idle target, so that whole targets stay free for large tasks.
const IDLE_TARGET_COST_MS: f64 = 2.0;

/// A target with free capacity, as seen by one placement pass.
#[derive(Clone, Debug)]
pub(super) struct PlacementCandidate {
    target: TargetIndex,
    /// The instance that the holder has confirmed.
    instance: TargetInstance,
    holder: VmIndex,
    free: ResourceVector,
    capacity: ResourceVector,
    slowdown: f64,
    /// Whether waiting tasks prefer the target's rack.
    rack_in_demand: bool,
    hop_cost_ms: f64,
    /// Whether the target is reserved for a run on trial.
    reserved: bool,
    /// The rank of the most urgent task of another coordinator that may use the capacity.
    competing_rank: Option<TaskRank>,
}

impl PlacementCandidate {
    /// Whether nothing runs on the target.
    fn is_idle(&self) -> bool {
        self.free == self.capacity
    }
}

/// The result of the search for a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CandidateChoice {
    /// The candidate at this position is the best.
    Place(usize),
    /// The candidate at this position is the best, but the task would be late there and could still
    /// be in time on a fast target, or it would take longer there than in the rack that it prefers.
    Defer(usize),
    /// No candidate suits the task.
    None,
}

impl CandidateChoice {
    /// The position of the best candidate, also if the task would be late there.
    fn position(self) -> Option<usize> {
        match self {
            Self::Place(position) | Self::Defer(position) => Some(position),
            Self::None => None,
        }
    }
}

/// A task, and the target and holder that were chosen for it.
#[derive(Clone, Copy, Debug)]
struct TaskChoice {
    task: TaskRef,
    target: TargetIndex,
    holder: VmIndex,
}

/// The tasks for which a target was found.
struct MatchResult {
    choices: Vec<TaskChoice>,
    /// Whether some tasks wait for a better target.
    some_wait: bool,
}

/// Which targets a search considers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SearchScope {
    /// All that have free capacity.
    AllTargets,
    /// One that a holder has offered. Here, tasks that wait for their trial count towards the limit
    /// of the search.
    OfferedTarget,
}

impl FleetEngine {
    /// Asks holders to run as many waiting tasks as there is free capacity for, the most urgent
    /// first.
    pub(super) fn place_waiting(&mut self) {
        let now = self.now();
        self.jobs.requeue_late(now);
        self.reserve_trial_targets();
        if self.jobs.waiting_len() == 0 {
            return;
        }
        let mut candidates = self.placement_candidates();
        if candidates.is_empty() {
            return;
        }
        let found = self.match_waiting(&mut candidates, SearchScope::AllTargets);
        if found.some_wait {
            self.schedule_fast_wait();
        }
        self.request_places(found.choices, None);
    }

    /// Chooses candidates for as many waiting tasks as possible, the most urgent first. Then places
    /// those that could wait for a better target but do not.
    fn match_waiting(
        &self,
        candidates: &mut [PlacementCandidate],
        scope: SearchScope,
    ) -> MatchResult {
        let context = self.speed_context();
        let mut choices = Vec::new();
        let mut deferred = Vec::new();
        let mut unplaced = 0;
        let waiting = self.jobs.waiting();
        for task in waiting.filter(|task| !self.awaits_origin(task.job)) {
            match self.choose_candidate(task, candidates, context.as_ref()) {
                CandidateChoice::Place(position) => {
                    choices.push(self.use_candidate(task, candidates, position));
                }
                // A task that waits for its trial says nothing about the others.
                CandidateChoice::None
                    if scope == SearchScope::AllTargets && self.needs_trial(task) => {}
                CandidateChoice::Defer(_) if deferred.len() < SEARCH_LIMIT => {
                    deferred.push(task);
                }
                CandidateChoice::None | CandidateChoice::Defer(_) => {
                    unplaced += 1;
                    if unplaced >= SEARCH_LIMIT {
                        break;
                    }
                }
            }
        }
        let deferred_len = deferred.len();
        let ready = self.stop_waiting(deferred, context.as_ref());
        let some_wait = ready.len() < deferred_len;
        for task in ready {
            if let Some(position) = self
                .choose_candidate(task, candidates, context.as_ref())
                .position()
            {
                choices.push(self.use_candidate(task, candidates, position));
            }
        }
        MatchResult { choices, some_wait }
    }

    /// Takes the capacity for a task from a candidate.
    fn use_candidate(
        &self,
        task: TaskRef,
        candidates: &mut [PlacementCandidate],
        position: usize,
    ) -> TaskChoice {
        let candidate = &mut candidates[position];
        candidate.free = self.capacity_beside(task, candidate.free);
        let (target, holder) = (candidate.target, candidate.holder);
        // Further tasks travel in the same envelope and add no delay.
        let same = candidates.iter_mut().filter(|it| it.holder == holder);
        same.for_each(|it| it.hop_cost_ms = 0.0);
        TaskChoice {
            task,
            target,
            holder,
        }
    }

    /// Of the tasks that prefer a fast target or a rack, those that take what there is.
    fn stop_waiting(
        &self,
        mut tasks: Vec<TaskRef>,
        context: Option<&SpeedContext>,
    ) -> Vec<TaskRef> {
        if tasks.is_empty() {
            return tasks;
        }
        let overloaded = match context {
            Some(context) => context.overloaded,
            None => self.is_backlogged(),
        };
        tasks.retain(|task| {
            let budget = self.task_budget(*task);
            let for_fast = context.is_some_and(|context| context.permits_waiting(&budget));
            !for_fast && !self.awaits_rack(*task, &budget, overloaded)
        });
        tasks
    }

    /// All usable targets with free capacity: those held by this VM, then those held by peers.
    fn placement_candidates(&mut self) -> Vec<PlacementCandidate> {
        let now = self.now();
        let own = self.own_vm();
        let mut candidates = Vec::new();
        let competing = self.competing_demands();
        let racks = self.racks_in_demand();
        let own_zone = &self.identity.zone;
        for (target, held) in &mut self.held {
            let instance = held.instance();
            let Some(entry) = self.registry.entry_of(*target, instance) else {
                continue;
            };
            let reserved = held.is_reserved_for_trial();
            let free = match reserved {
                true => held.trial_capacity(now),
                false => held.free_capacity(now),
            };
            let usable = self.closed_zones.may_start(&self.registry, *target)
                && !self.offers.is_offered(*target);
            let leaving = self.state == PeerState::Leaving;
            if usable && !leaving && free.cpu.0 > 0 {
                candidates.push(PlacementCandidate {
                    target: *target,
                    instance,
                    holder: own,
                    free,
                    capacity: entry.capacity,
                    slowdown: held.health().slowdown() * self.kind_speeds.factor_of(*target),
                    rack_in_demand: racks.includes(self.registry.racks(*target)),
                    hop_cost_ms: hop_cost(entry.zone == *own_zone, true),
                    reserved,
                    competing_rank: competing
                        .iter()
                        .filter(|(_, least)| !reserved && least.fits(&free))
                        .map(|(rank, _)| *rank)
                        .min(),
                });
            }
        }
        for (vm, link) in self.links.iter_enumerated() {
            let Some(link) = link.as_ref().filter(|link| link.accepts_work(now)) else {
                continue;
            };
            for holding in link.holdings() {
                let entry = self.registry.entry_of(holding.target, holding.instance);
                let Some(entry) = entry else {
                    continue;
                };
                let free = link.free_capacity(holding);
                if free.cpu.0 > 0 && self.may_start(holding.target) {
                    let local = link.identity().zone == *own_zone && entry.zone == *own_zone;
                    candidates.push(PlacementCandidate {
                        target: holding.target,
                        instance: holding.instance,
                        holder: vm,
                        free,
                        capacity: entry.capacity,
                        slowdown: f64::from(holding.report.slowdown_percent) / 100.0,
                        rack_in_demand: racks.includes(self.registry.racks(holding.target)),
                        hop_cost_ms: hop_cost(local, false),
                        reserved: false,
                        competing_rank: None,
                    });
                }
            }
        }
        candidates
    }

    /// For each other coordinator that may be offered capacity: the rank of its most urgent waiting
    /// task according to [`peer_demand_rank`], and the least resources that one of its waiting
    /// tasks needs.
    fn competing_demands(&self) -> Vec<(TaskRank, ResourceVector)> {
        let links = self.links.iter().flatten();
        let waiting = links.filter(|link| link.has_offer_quota());
        waiting
            .map(|link| (peer_demand_rank(link), link.demand().min_resources))
            .collect()
    }

    pub(super) fn rank_of(&self, task: TaskRef) -> TaskRank {
        let now = self.now();
        let job = self.jobs.get(task.job).expect("the job is live");
        let slack = slack_ms(now, job.start_by(task.position));
        (job.timeliness(now, task.position), job.priority, slack)
    }

    /// The candidate with the lowest cost that can run a task. `context` is absent while all targets have
    /// about the same speed.
    fn choose_candidate(
        &self,
        task: TaskRef,
        candidates: &[PlacementCandidate],
        context: Option<&SpeedContext>,
    ) -> CandidateChoice {
        let Some(job) = self.jobs.get(task.job) else {
            return CandidateChoice::None;
        };
        let step = job.step_of(task.position);
        let expected = job.expected_of(task.position);
        let rank = self.rank_of(task);
        let on_trial = self.needs_trial(task);
        if self.must_await_trial(task) {
            return CandidateChoice::None;
        }
        let Some(service) = self.catalog.spec(job.queue).map(|spec| &spec.service) else {
            return CandidateChoice::None;
        };
        let label = step.required_label.as_ref();
        let state = &job.tasks[task.position];
        let budget = self.task_budget(task);
        let suits = |candidate: &PlacementCandidate, entry: &TargetEntry| {
            if candidate
                .competing_rank
                .is_some_and(|competing_rank| competing_rank < rank)
            {
                return false;
            }
            let admits = match on_trial {
                true => candidate.is_idle(),
                false => !candidate.reserved,
            };
            admits
                && step.resources.fits(&candidate.free)
                && entry.service == *service
                && label.is_none_or(|label| entry.labels.contains(label))
                && !state.excluded.contains(&candidate.target)
                && self.within_spread_limit(task, candidate.target)
        };
        let listed = candidates
            .iter()
            .enumerate()
            .filter_map(|(position, candidate)| {
                let (target, instance) = (candidate.target, candidate.instance);
                let entry = self.registry.entry_of(target, instance)?;
                Some((position, candidate, entry))
            });
        let suitable = listed.filter(|(_, candidate, entry)| suits(candidate, entry));
        let costs = suitable.map(|(position, candidate, entry)| {
            let rack = step.preferred_rack.as_ref();
            let near = rack.is_none_or(|rack| entry.labels.contains(rack));
            let far = if near { 1.0 } else { self.settings.far_factor };
            let expected = expected.mul_f64(far);
            let speed = TargetSpeed {
                factor: candidate.slowdown,
                run_ms: expected.as_secs_f64() * 1000.0 * candidate.slowdown.max(MIN_SLOWDOWN),
                delay_ms: candidate.hop_cost_ms,
            };
            let mut cost = placement_cost(candidate, &step.resources, expected);
            cost += context.map_or(0.0, |context| context.extra_cost_ms(&budget, &speed));
            let prefers_it = near && step.preferred_rack.is_some();
            if candidate.rack_in_demand && !prefers_it {
                cost += RACK_IN_DEMAND_COST_MS;
            }
            (position, near, speed, cost)
        });
        let best = costs.min_by(|(.., left), (.., right)| left.total_cmp(right));
        match (best, context) {
            (Some((position, _, speed, _)), Some(context))
                if !on_trial && context.prefers_fast(&budget, &speed) =>
            {
                CandidateChoice::Defer(position)
            }
            (Some((position, false, ..)), _) if !on_trial && self.has_preferred_target(task) => {
                CandidateChoice::Defer(position)
            }
            (Some((position, ..)), _) => CandidateChoice::Place(position),
            (None, _) => CandidateChoice::None,
        }
    }

    /// Whether a task may run on a target, apart from the capacity.
    pub(super) fn suits_target(&self, task: TaskRef, target: TargetIndex) -> bool {
        let job = self.jobs.get(task.job).expect("the job is live");
        let (Some(spec), Some(entry)) = (self.catalog.spec(job.queue), self.registry.entry(target))
        else {
            return false;
        };
        let label = job.step_of(task.position).required_label.as_ref();
        entry.service == spec.service
            && label.is_none_or(|label| entry.labels.contains(label))
            && !job.tasks[task.position].excluded.contains(&target)
            && self.within_spread_limit(task, target)
    }

    /// The free capacity of a target that remains for others beside a task.
    fn capacity_beside(&self, task: TaskRef, free: ResourceVector) -> ResourceVector {
        if self.needs_trial(task) {
            return ResourceVector::default();
        }
        let job = self.jobs.get(task.job).expect("the job is live");
        free - job.step_of(task.position).resources
    }

    /// Whether the limit on concurrent tasks of one step on one target permits another one.
    fn within_spread_limit(&self, task: TaskRef, target: TargetIndex) -> bool {
        let job = self.jobs.get(task.job).expect("the job is live");
        let Some(limit) = job.step_of(task.position).spread_limit else {
            return true;
        };
        let step = job.tasks[task.position].name.step;
        let there = job.tasks.iter().filter(|other| {
            let on_target = match other.phase {
                TaskPhase::Placed { target: place, .. }
                | TaskPhase::Orphaned { target: place, .. } => place == target,
                _ => false,
            };
            other.name.step == step && on_target
        });
        there.count() < usize::from(limit)
    }

    /// Asks the holders to run the chosen tasks, with one request per job, step and holder.
    fn request_places(&mut self, choices: Vec<TaskChoice>, offer: Option<OfferNumber>) {
        let now = self.now();
        let mut requests = Vec::<(VmIndex, JobKey, u16, PlaceRequest)>::new();
        for choice in choices {
            let TaskChoice {
                task,
                target,
                holder,
            } = choice;
            // An earlier choice may have reached the limit on tasks per target, or on trials.
            if !self.within_spread_limit(task, target) || self.must_await_trial(task) {
                continue;
            }
            let phase = TaskPhase::Placed {
                holder,
                target,
                requested_at: now,
            };
            self.jobs.set_phase(now, task, phase);
            self.jobs.task_mut(task).holder_token = self.token_of(holder, target);
            let order = self.build_task_order(task, target);
            self.record_placement(task, holder, target);
            let step = self.jobs.task(task).name.step;
            let found = requests
                .iter_mut()
                .find(|(vm, job, of, _)| *vm == holder && *job == task.job && *of == step);
            match found {
                Some((_, _, _, request)) => request.tasks.push(order),
                None => {
                    let origin = self.state_origin_to(holder, task.job);
                    let request = self.build_place_request(task, order, holder, offer);
                    if let Some(mut request) = request {
                        request.origin = origin;
                        requests.push((holder, task.job, step, request));
                    }
                }
            }
        }
        for (holder, _, _, request) in requests {
            self.send_place_request(holder, request);
        }
    }

    fn build_task_order(&self, task: TaskRef, target: TargetIndex) -> TaskPlacement {
        let job = self.jobs.get(task.job).expect("the job is live");
        let state = &job.tasks[task.position];
        let excluded = state.excluded.iter();
        TaskPlacement {
            task: state.name,
            run: state.run,
            resources: job.step_of(task.position).resources,
            target: self.registry.name(target).clone(),
            excluded: excluded
                .map(|target| self.registry.name(*target).clone())
                .collect(),
            expected_ms: millis(job.expected_of(task.position)),
            on_trial: self.needs_trial(task),
        }
    }

    fn build_place_request(
        &self,
        task: TaskRef,
        order: TaskPlacement,
        holder: VmIndex,
        offer: Option<OfferNumber>,
    ) -> Option<PlaceRequest> {
        let job = self.jobs.get(task.job)?;
        let spec = self.catalog.spec(job.queue)?;
        Some(PlaceRequest {
            queue: spec.name.clone(),
            service: spec.service.clone(),
            payload: self.jobs.payload(task.job),
            required_label: job.step_of(task.position).required_label.clone(),
            offer,
            issued_at: self.now(),
            tasks: vec![order],
            losses: self.losses_declared_by(holder),
            origin: None,
            preferred_rack: job.step_of(task.position).rack(),
            spread_limit: job.step_of(task.position).spread_limit,
        })
    }

    fn record_placement(&mut self, task: TaskRef, holder: VmIndex, target: TargetIndex) {
        self.counters.tasks_placed += 1;
        let now = self.now();
        let job = self.jobs.get_mut(task.job).expect("the job is live");
        job.offered = true;
        job.possible_starts += 1;
        let state = &job.tasks[task.position];
        let run = RunName {
            task: state.name,
            run: state.run,
        };
        let waited = now.since(job.arrived);
        self.kind_speeds.record_use(now, target);
        self.notice(FleetNotice::TaskPlaced {
            run,
            holder: self.vms.name(holder).clone(),
            target: self.registry.name(target).clone(),
            waited,
        });
    }

    fn send_place_request(&mut self, holder: VmIndex, request: PlaceRequest) {
        let requested = request
            .tasks
            .iter()
            .map(|order| {
                let target = self.registry.find(&order.target);
                let entry = target.and_then(|target| self.registry.entry(target));
                let whole = entry.filter(|_| order.on_trial).map(|entry| entry.capacity);
                (target, whole.unwrap_or(order.resources))
            })
            .collect::<Vec<_>>();
        self.send(holder, FleetMessage::Place(request));
        if let Some(link) = &mut self.links[holder] {
            link.heartbeat_mut().use_base_interval();
            for (target, resources) in requested {
                if let Some(target) = target {
                    link.record_request(target, resources);
                }
            }
        }
    }

    /// Places waiting tasks on capacity that a holder has offered, or declines the offer.
    pub(super) fn receive_offer(
        &mut self,
        from: VmIndex,
        offer: OfferNumber,
        target: &TargetName,
        offered_capacity: ResourceVector,
    ) {
        let target = self.registry.intern(target);
        let reported = self.links[from].as_ref().and_then(|link| {
            let mut holdings = link.holdings().iter();
            holdings.find(|holding| holding.target == target)
        });
        let instance = reported.map_or_else(TargetInstance::default, |holding| holding.instance);
        let entry = self.registry.entry_of(target, instance);
        let entry = entry.filter(|entry| !self.closed_zones.is_closed(&entry.zone));
        let Some(capacity) = entry.map(|entry| entry.capacity) else {
            return self.send(from, FleetMessage::Decline(offer));
        };
        let kind_factor = self.kind_speeds.factor_of(target);
        let slowdown = reported.map_or(kind_factor, |holding| {
            f64::from(holding.report.slowdown_percent) / 100.0
        });
        let mut offered = [PlacementCandidate {
            target,
            instance,
            holder: from,
            free: offered_capacity,
            capacity,
            slowdown,
            rack_in_demand: false,
            hop_cost_ms: 0.0,
            reserved: false,
            competing_rank: None,
        }];
        let now = self.now();
        self.jobs.requeue_late(now);
        if self.jobs.waiting_len() == 0 {
            return self.send(from, FleetMessage::Decline(offer));
        }
        let found = self.match_waiting(&mut offered, SearchScope::OfferedTarget);
        if found.choices.is_empty() {
            return self.send(from, FleetMessage::Decline(offer));
        }
        self.request_places(found.choices, Some(offer));
    }

    /// The demand that peers learn of: the waiting tasks of this VM and the offered load.
    pub(super) fn demand_report(&self) -> DemandReport {
        let now = self.now();
        let mut least = None::<ResourceVector>;
        for task in self.jobs.waiting().take(SEARCH_LIMIT) {
            let job = self.jobs.get(task.job).expect("the job is live");
            let resources = job.step_of(task.position).resources;
            least = Some(least.map_or(resources, |least| least.component_min(resources)));
        }
        let offered = self.offered_rates.report(now);
        let kind_speeds = self.kind_speeds.report();
        let Some(least) = least else {
            return DemandReport {
                offered,
                kind_speeds,
                ..DemandReport::default()
            };
        };
        let first = self.jobs.waiting().next();
        let rank = first.map(|task| self.rank_of(task));
        let (timeliness, priority, slack_ms) = rank.unwrap_or_default();
        DemandReport {
            tasks: u32::try_from(self.jobs.waiting_len()).unwrap_or(u32::MAX),
            timeliness,
            priority,
            slack_ms,
            min_resources: least,
            work: self.work_waiting_for_capacity(),
            offered,
            droppable: self.jobs.droppable_work(),
            kind_speeds,
            racks: self.preferred_racks(),
        }
    }
}

/// The rank of the most urgent task that waits at a peer, with the time for an exchange with the
/// peer added to the slack of the task. A holder thus prefers its own tasks to tasks of peers that
/// are about as urgent.
pub(super) fn peer_demand_rank(link: &PeerLink) -> TaskRank {
    let (timeliness, priority, slack_ms) = link.demand().rank();
    let preference_ms = match link.heartbeat().locality() {
        PeerLocality::SameZone => LOCAL_PREFERENCE_MS,
        PeerLocality::OtherZone => CROSS_ZONE_LOCAL_PREFERENCE_MS,
    };
    (timeliness, priority, slack_ms.saturating_add(preference_ms))
}

/// The time until `start_by`, in milliseconds; negative once it has passed.
fn slack_ms(now: TimePoint, start_by: TimePoint) -> i32 {
    let signed = |millis: u32| i32::try_from(millis).unwrap_or(i32::MAX);
    signed(millis(start_by.since(now))) - signed(millis(now.since(start_by)))
}

fn hop_cost(local: bool, own: bool) -> f64 {
    match (local, own) {
        (true, true) => 0.0,
        (true, false) => SAME_ZONE_HOP_MS,
        (false, _) => CROSS_ZONE_HOP_MS,
    }
}

/// The cost of a task on a target, in milliseconds: the expected run time there, the delay of the
/// request, and a penalty for capacity that is left unusable or a target that is no longer idle.
fn placement_cost(
    candidate: &PlacementCandidate,
    resources: &ResourceVector,
    expected: Duration,
) -> f64 {
    let run_ms = expected.as_secs_f64() * 1000.0 * candidate.slowdown.max(MIN_SLOWDOWN);
    let rest = (candidate.free - *resources).cpu.0;
    let unusable = rest % resources.cpu.0.max(1);
    let waste = f64::from(unusable) / f64::from(candidate.capacity.cpu.0.max(1));
    run_ms
        + candidate.hop_cost_ms
        + FRAGMENTATION_COST_MS * waste
        + if candidate.is_idle() {
            IDLE_TARGET_COST_MS
        } else {
            0.0
        }
}
