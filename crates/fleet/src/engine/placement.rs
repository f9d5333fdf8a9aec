//! Which waiting task goes to which target.
//!
//! The home sees all targets: its own exactly, those of other holders by their latest reports less
//! what it has requested since. It asks the holder of the target that suits a task best. If a report
//! was out of date, the holder refuses at once and the task goes elsewhere.

use std::time::Duration;

use filbertpitch_dispatch::entity::{JobKey, TargetIndex, VmIndex};
use filbertpitch_types::fleet::{
    DemandReport, FleetMessage, OfferNumber, PeerState, PlaceRequest, TaskPlacement, TaskRank,
};
use filbertpitch_types::prelude::*;

use super::holding::millis;
use super::{FleetEngine, FleetNotice};
use crate::home::{TaskPhase, TaskRef};
use crate::link::PeerLink;
use crate::pace::PeerDistance;

/// How many waiting tasks that fit nowhere are looked at before the search ends.
const SEARCH_LIMIT: usize = 24;

/// The time that a task loses when its holder is another VM of the zone: two envelopes, each of which
/// waits for a turn of a busy VM.
const ZONE_HOP_MS: f64 = 25.0;

/// The time that a task loses when its holder or its target is in another zone, and what the traffic
/// between zones costs.
const REMOTE_HOP_MS: f64 = 60.0;

/// By how much a task of another home must be more urgent than the own ones of its class to get the
/// room of a target: the target stands idle while the other home is asked.
const YIELD_MS: i32 = 40;

/// The same for a home in another zone.
const FAR_YIELD_MS: i32 = 80;

/// The weight of room that no further task can use, against run time: a whole target's worth.
const WASTE_MS: f64 = 20.0;

/// How much a start on an idle target is avoided, so that large tasks find whole targets.
const IDLE_TARGET_MS: f64 = 2.0;

/// A target that may run waiting tasks.
#[derive(Clone, Debug)]
pub(super) struct PlaceCandidate {
    target: TargetIndex,
    holder: VmIndex,
    free: ResourceVector,
    capacity: ResourceVector,
    slowdown: f64,
    hop_ms: f64,
    /// The rank of the most urgent task of another home that may use the room.
    rival: Option<TaskRank>,
}

/// A task and the target that was chosen for it.
#[derive(Clone, Copy, Debug)]
struct TaskChoice {
    task: TaskRef,
    target: TargetIndex,
    holder: VmIndex,
}

impl FleetEngine {
    /// Asks holders to run as many waiting tasks as there is room for, the most urgent first.
    pub(super) fn place_waiting(&mut self) {
        let now = self.now();
        self.jobs.demote_late(now);
        if self.jobs.waiting_len() == 0 {
            return;
        }
        let mut candidates = self.candidates();
        if candidates.is_empty() {
            return;
        }
        let mut choices = Vec::new();
        let mut misses = 0;
        for task in self.jobs.waiting() {
            match self.choose(task, &candidates) {
                Some(position) => {
                    let candidate = &mut candidates[position];
                    let job = self.jobs.get(task.job).expect("the job is live");
                    candidate.free = candidate.free - job.step_of(task.position).resources;
                    let holder = candidate.holder;
                    choices.push(TaskChoice {
                        task,
                        target: candidate.target,
                        holder,
                    });
                    // Further tasks go along in the same envelope.
                    let same = candidates.iter_mut().filter(|it| it.holder == holder);
                    same.for_each(|it| it.hop_ms = 0.0);
                }
                None => {
                    misses += 1;
                    if misses >= SEARCH_LIMIT {
                        break;
                    }
                }
            }
        }
        self.request_places(choices, None);
    }

    /// All targets with free room.
    fn candidates(&mut self) -> Vec<PlaceCandidate> {
        let now = self.now();
        let own = self.own();
        let mut candidates = Vec::new();
        let rivals = self.rival_demands();
        let own_zone = &self.identity.zone;
        for (target, held) in &mut self.held {
            let Some(entry) = self.registry.entry(*target) else {
                continue;
            };
            let free = held.open_room(now);
            let usable = self.registry.is_ready(*target) && !self.offers.holds(*target);
            let leaving = self.state == PeerState::Leaving;
            if usable && !leaving && free.cpu.0 > 0 {
                candidates.push(PlaceCandidate {
                    target: *target,
                    holder: own,
                    free,
                    capacity: entry.capacity,
                    slowdown: held.verdict().slowdown(),
                    hop_ms: hop(entry.zone == *own_zone, true),
                    rival: rivals
                        .iter()
                        .filter(|(_, least)| least.fits(&free))
                        .map(|(rank, _)| *rank)
                        .min(),
                });
            }
        }
        for (vm, link) in self.links.iter_enumerated() {
            let Some(link) = link.as_ref().filter(|link| link.takes_work()) else {
                continue;
            };
            for holding in link.holdings() {
                let Some(entry) = self.registry.entry(holding.target) else {
                    continue;
                };
                let free = link.free_room(holding);
                if free.cpu.0 > 0 && self.registry.is_ready(holding.target) {
                    let local = link.identity().zone == *own_zone && entry.zone == *own_zone;
                    candidates.push(PlaceCandidate {
                        target: holding.target,
                        holder: vm,
                        free,
                        capacity: entry.capacity,
                        slowdown: f64::from(holding.report.slowdown_percent) / 100.0,
                        hop_ms: hop(local, false),
                        rival: None,
                    });
                }
            }
        }
        candidates
    }

    /// The rank of the most urgent waiting task of each other home as seen from here, and the least
    /// room that one there takes.
    fn rival_demands(&self) -> Vec<(TaskRank, ResourceVector)> {
        let links = self.links.iter().flatten();
        let waiting = links.filter(|link| link.may_be_offered());
        waiting
            .map(|link| (distant_rank(link), link.demand().min_resources))
            .collect()
    }

    pub(super) fn rank_of(&self, task: TaskRef) -> TaskRank {
        let now = self.now();
        let job = self.jobs.get(task.job).expect("the job is live");
        let slack = slack_ms(now, job.start_by(task.position));
        (job.hope(now, task.position), job.priority, slack)
    }

    /// The position of the candidate that suits a task best.
    fn choose(&self, task: TaskRef, candidates: &[PlaceCandidate]) -> Option<usize> {
        let job = self.jobs.get(task.job)?;
        let step = job.step_of(task.position);
        let spec = self.catalog.spec(job.queue)?;
        let state = &job.tasks[task.position];
        let expected = job.expected_of(task.position);
        let rank = self.rank_of(task);
        let suits = |candidate: &&PlaceCandidate| {
            if candidate.rival.is_some_and(|rival| rival < rank) {
                return false;
            }
            let Some(entry) = self.registry.entry(candidate.target) else {
                return false;
            };
            let label = step.required_label.as_ref();
            step.resources.fits(&candidate.free)
                && entry.service == spec.service
                && label.is_none_or(|label| entry.labels.contains(label))
                && !state.excluded.contains(&candidate.target)
                && self.allows_spread(task, candidate.target)
        };
        let suitable = candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| suits(candidate));
        let costs = suitable.map(|(position, candidate)| {
            let near = step.preferred_rack.as_ref().is_none_or(|rack| {
                let entry = self.registry.entry(candidate.target);
                entry.is_some_and(|entry| entry.labels.contains(rack))
            });
            let far = if near { 1.0 } else { self.settings.far_factor };
            let expected = expected.mul_f64(far);
            (position, place_cost(candidate, &step.resources, expected))
        });
        costs
            .min_by(|(_, left), (_, right)| left.total_cmp(right))
            .map(|(position, _)| position)
    }

    /// Whether the limit on tasks of one step on one target permits another one.
    fn allows_spread(&self, task: TaskRef, target: TargetIndex) -> bool {
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

    /// Asks the holders to run the chosen tasks, one request per job and holder.
    fn request_places(&mut self, choices: Vec<TaskChoice>, offer: Option<OfferNumber>) {
        let now = self.now();
        let mut requests = Vec::<(VmIndex, JobKey, u16, PlaceRequest)>::new();
        for choice in choices {
            let TaskChoice {
                task,
                target,
                holder,
            } = choice;
            // A limit on tasks per target may have been reached by an earlier choice.
            if !self.allows_spread(task, target) {
                continue;
            }
            let phase = TaskPhase::Placed {
                holder,
                target,
                asked_at: now,
            };
            self.jobs.set_phase(now, task, phase);
            let order = self.describe_task(task, target);
            self.note_placed(task, holder, target);
            let step = self.jobs.task(task).name.step;
            let found = requests
                .iter_mut()
                .find(|(vm, job, of, _)| *vm == holder && *job == task.job && *of == step);
            match found {
                Some((_, _, _, request)) => request.tasks.push(order),
                None => {
                    if let Some(request) = self.describe_request(task, order, offer) {
                        requests.push((holder, task.job, step, request));
                    }
                }
            }
        }
        for (holder, _, _, request) in requests {
            self.send_place(holder, request);
        }
    }

    fn describe_task(&self, task: TaskRef, target: TargetIndex) -> TaskPlacement {
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
        }
    }

    fn describe_request(
        &self,
        task: TaskRef,
        order: TaskPlacement,
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
        })
    }

    fn note_placed(&mut self, task: TaskRef, holder: VmIndex, target: TargetIndex) {
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
        self.notice(FleetNotice::TaskPlaced {
            run,
            holder: self.vms.name(holder).clone(),
            target: self.registry.name(target).clone(),
            waited,
        });
    }

    fn send_place(&mut self, holder: VmIndex, request: PlaceRequest) {
        let rooms = request
            .tasks
            .iter()
            .map(|order| (self.registry.find(&order.target), order.resources))
            .collect::<Vec<_>>();
        self.send(holder, FleetMessage::Place(request));
        if let Some(link) = &mut self.links[holder] {
            link.pace_mut().engage();
            for (target, room) in rooms {
                if let Some(target) = target {
                    link.note_request(target, room);
                }
            }
        }
    }

    /// Uses room that a holder has offered for waiting tasks, or declines it.
    pub(super) fn receive_offer(
        &mut self,
        from: VmIndex,
        offer: OfferNumber,
        target: &TargetName,
        room: ResourceVector,
    ) {
        let target = self.registry.intern(target);
        let Some(capacity) = self.registry.entry(target).map(|entry| entry.capacity) else {
            return self.send(from, FleetMessage::Decline(offer));
        };
        let mut offered = [PlaceCandidate {
            target,
            holder: from,
            free: room,
            capacity,
            slowdown: 1.0,
            hop_ms: 0.0,
            rival: None,
        }];
        let now = self.now();
        self.jobs.demote_late(now);
        let mut choices = Vec::new();
        let mut misses = 0;
        for task in self.jobs.waiting() {
            if self.choose(task, &offered).is_some() {
                let job = self.jobs.get(task.job).expect("the job is live");
                offered[0].free = offered[0].free - job.step_of(task.position).resources;
                choices.push(TaskChoice {
                    task,
                    target,
                    holder: from,
                });
            } else {
                misses += 1;
                if misses >= SEARCH_LIMIT {
                    break;
                }
            }
        }
        if choices.is_empty() {
            return self.send(from, FleetMessage::Decline(offer));
        }
        self.request_places(choices, Some(offer));
    }

    /// What waits here for room elsewhere.
    pub(super) fn demand_report(&self) -> DemandReport {
        let now = self.now();
        let mut least = None::<ResourceVector>;
        for task in self.jobs.waiting().take(SEARCH_LIMIT) {
            let job = self.jobs.get(task.job).expect("the job is live");
            let room = job.step_of(task.position).resources;
            least = Some(least.map_or(room, |least| least.component_min(room)));
        }
        let offered = self.offered.report(now);
        let Some(least) = least else {
            return DemandReport {
                offered,
                ..DemandReport::default()
            };
        };
        let first = self.jobs.waiting().next();
        let rank = first.map(|task| self.rank_of(task));
        let (hope, priority, slack_ms) = rank.unwrap_or_default();
        DemandReport {
            tasks: u32::try_from(self.jobs.waiting_len()).unwrap_or(u32::MAX),
            timeliness: hope,
            priority,
            slack_ms,
            min_resources: least,
            work: self.jobs.waiting_work(now),
            offered,
        }
    }
}

/// The rank of the most urgent task that waits at a peer. It counts as less urgent than it is by the
/// time that the exchange takes, so that targets serve the tasks of their holder while those of others
/// are about as urgent.
pub(super) fn distant_rank(link: &PeerLink) -> TaskRank {
    let (hope, priority, slack_ms) = link.demand().rank();
    let yield_ms = match link.pace().distance() {
        PeerDistance::Near => YIELD_MS,
        PeerDistance::Far => FAR_YIELD_MS,
    };
    (hope, priority, slack_ms.saturating_add(yield_ms))
}

/// The time until `start_by`, in milliseconds; negative when it has passed.
fn slack_ms(now: TimePoint, start_by: TimePoint) -> i32 {
    let signed = |millis: u32| i32::try_from(millis).unwrap_or(i32::MAX);
    signed(millis(start_by.since(now))) - signed(millis(now.since(start_by)))
}

fn hop(local: bool, own: bool) -> f64 {
    match (local, own) {
        (true, true) => 0.0,
        (true, false) => ZONE_HOP_MS,
        (false, _) => REMOTE_HOP_MS,
    }
}

/// What a task costs on a target, in milliseconds: its run time there, the way, and the room that
/// it leaves unusable.
fn place_cost(candidate: &PlaceCandidate, room: &ResourceVector, expected: Duration) -> f64 {
    let run_ms = expected.as_secs_f64() * 1000.0 * candidate.slowdown.max(0.1);
    let rest = (candidate.free - *room).cpu.0;
    let unusable = rest % room.cpu.0.max(1);
    let waste = f64::from(unusable) / f64::from(candidate.capacity.cpu.0.max(1));
    let idle = candidate.free == candidate.capacity;
    run_ms + candidate.hop_ms + WASTE_MS * waste + if idle { IDLE_TARGET_MS } else { 0.0 }
}
