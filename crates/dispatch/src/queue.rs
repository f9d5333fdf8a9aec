//! Start-time fair queueing between teams.
//!
//! Each team has a virtual time that advances by the predicted run time of its started tasks,
//! divided by the team's weight. The backlogged team with the lowest virtual time is served next.
//! The tasks of a team are queued in lanes, one per kind and size class, so that tasks of a kind
//! without free slots do not delay those of other kinds.
//!
//! A task is charged to its team when it is first popped. When the task has ended, the caller
//! settles the charge exactly once with the total run time of the task's attempts, which is zero if
//! the task never ran.

use std::collections::BTreeSet;
use std::time::Duration;

use filbertpitch_types::prelude::*;
use slotmap::SecondaryMap;
use typed_index_collections::TiVec;

use crate::entity::{KindIndex, TaskKey, TeamIndex};
use crate::estimate::SizeClass;
use crate::lane::{LaneTable, QueuePosition};
use crate::round::LaneOccupancy;
pub use crate::round::SchedulingRound;
use crate::virtual_time::{VirtualSpan, VirtualTime};
use crate::work_rate::WorkRate;

/// A team's virtual time may differ from the system's by at most the work per unit of weight that
/// is served in this time at the current service rate. The bound limits how long a team is held
/// back for tasks that ran longer than predicted, and how long a team is preferred because its
/// lanes were blocked.
const LAG_WINDOW: Duration = Duration::from_secs(5);

/// The least bound on the difference between a team's virtual time and the system's, in run time
/// per unit of weight. Without this minimum, the bound would be zero until a service rate is
/// measured.
const LAG_FLOOR: Duration = Duration::from_secs(10);

/// The parameters of fair queueing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueSettings {
    /// How far behind the system's virtual time an idle team may resume, in run time per unit of
    /// weight. This credit lets the team be served ahead of teams at the system's virtual time.
    /// With zero, the team resumes at the system's virtual time. A burst of jobs of a team with
    /// little load then shares the slots with an overloading team, although the first team is below
    /// its share on average.
    pub resume_allowance: Duration,
}

/// Identifies a lane: the tasks of one kind and size class, which compete for the same slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LaneKey {
    /// The kind of the tasks.
    pub kind: KindIndex,
    /// Whether the tasks are expected to run long.
    pub size: SizeClass,
}

/// A queued task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueEntry {
    /// The key of the task, which must not be released while the task is queued.
    pub task: TaskKey,
    /// The team that is charged for the task.
    pub team: TeamIndex,
    /// The lane of the task.
    pub lane: LaneKey,
    /// The predicted run time, which is charged when the task is first popped.
    pub predicted: Duration,
    /// The time from which the task is no longer worth starting.
    pub deadline: TimePoint,
    /// Whether the task may safely run more than once.
    pub repeatable: bool,
}

/// The decision of [`FairQueue::pop_next`]'s caller about the first task of a lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LaneDecision<P> {
    /// The task is started with this placement.
    Start(P),
    /// No slot is free for this lane, regardless of the team.
    Blocked,
    /// This task cannot start now, but tasks of other teams in the same lane may.
    Skip,
}

/// The backlog and the service rate of one team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamLoad {
    /// The sum of the predicted run times of the queued tasks.
    pub work: Duration,
    /// The sum of the predicted run times of the tasks popped in the last second.
    pub served_per_second: Duration,
    /// The number of popped tasks from which `served_per_second` was computed.
    pub samples: u32,
    /// The longest time for which one of the team's lanes has been non-empty without interruption.
    pub backlogged_for: Duration,
}

#[derive(Debug, Default)]
struct TeamBacklog {
    weight: TeamWeight,
    virtual_time: VirtualTime,
    lanes: LaneTable,
    depth: usize,
    work: Duration,
}

impl TeamBacklog {
    fn span(&self, work: Duration) -> VirtualSpan {
        VirtualSpan::new(work, self.weight)
    }
}

/// The queued tasks of all teams.
#[derive(Debug, Default)]
pub struct FairQueue {
    settings: QueueSettings,
    nodes: SecondaryMap<TaskKey, QueueNode>,
    teams: TiVec<TeamIndex, TeamBacklog>,
    /// The backlogged teams by virtual time.
    order: BTreeSet<(VirtualTime, TeamIndex)>,
    /// The total weight of the teams in `order`.
    order_weight: u64,
    occupancy: LaneOccupancy,
    deadlines: BTreeSet<(TimePoint, TaskKey)>,
    /// The entries that are past their deadline and were not yet taken by `take_expired`.
    expired: Vec<QueueEntry>,
    /// The system's virtual time: the highest start tag of the served tasks.
    system_time: VirtualTime,
    /// The highest virtual time that any team has reached.
    finish_time: VirtualTime,
    /// The service rate of all teams.
    rate: WorkRate,
    /// The number of the last assigned queue position.
    last_position: u64,
}

/// A queued task with its links to the neighbours in its lane.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueNode {
    entry: QueueEntry,
    position: QueuePosition,
    pub(crate) previous: Option<TaskKey>,
    pub(crate) next: Option<TaskKey>,
}

impl QueueNode {
    pub(crate) fn position(&self) -> QueuePosition {
        self.position
    }

    pub(crate) fn entry(&self) -> &QueueEntry {
        &self.entry
    }
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Sets the weight of a team. Earlier charges do not change.
    pub fn set_weight(&mut self, team: TeamIndex, weight: TeamWeight) {
        self.ensure_team(team);
        let backlog = &mut self.teams[team];
        if backlog.depth > 0 {
            self.order_weight -= u64::from(backlog.weight.0.get());
            self.order_weight += u64::from(weight.0.get());
        }
        backlog.weight = weight;
    }

    /// Adds a task at the end of its lane. A task past its deadline goes to
    /// [`Self::take_expired`] instead.
    ///
    /// # Panics
    /// If the task is already queued.
    pub fn push(&mut self, now: TimePoint, entry: QueueEntry) {
        let position = QueuePosition::fresh(self.next_position());
        self.insert(now, entry, position);
    }

    /// Puts a task that was popped before back into its lane, ahead of all tasks that were not
    /// popped yet. The task is not charged again.
    ///
    /// # Panics
    /// If the task is already queued.
    pub fn requeue(&mut self, now: TimePoint, entry: QueueEntry) {
        let position = QueuePosition::requeued(self.next_position());
        self.insert(now, entry, position);
    }

    /// Takes the next task that `try_place` can start.
    ///
    /// The first tasks of the lanes are offered to `try_place`: teams in order of virtual time, and
    /// the lanes of a team in order of the age of their first tasks. Decisions other than `Start`
    /// hold for the rest of the round. Tasks whose deadline has passed are not offered.
    pub fn pop_next<P, F>(
        &mut self,
        now: TimePoint,
        round: &mut SchedulingRound,
        mut try_place: F,
    ) -> Option<(QueueEntry, P)>
    where
        F: FnMut(&QueueEntry) -> LaneDecision<P>,
    {
        self.collect_expired(now);
        let (task, placement) = self.find_startable(round, &mut try_place)?;
        let position = self.nodes[task].position;
        let entry = self.unlink(task);
        if !position.is_requeued() {
            self.charge(now, &entry);
        }
        self.end_busy_period();
        Some((entry, placement))
    }

    /// Removes and returns the entries whose deadline has passed.
    pub fn take_expired(&mut self, now: TimePoint) -> Vec<QueueEntry> {
        self.collect_expired(now);
        self.end_busy_period();
        std::mem::take(&mut self.expired)
    }

    /// The earliest deadline of a queued entry.
    pub fn next_deadline(&self) -> Option<TimePoint> {
        self.deadlines.first().map(|&(deadline, _)| deadline)
    }

    /// Removes a task and returns its entry; `None` if the task is not queued.
    pub fn remove(&mut self, task: TaskKey) -> Option<QueueEntry> {
        if let Some(position) = self.expired.iter().position(|entry| entry.task == task) {
            return Some(self.expired.swap_remove(position));
        }
        if !self.nodes.contains_key(task) {
            return None;
        }
        let entry = self.unlink(task);
        self.end_busy_period();
        Some(entry)
    }

    /// Corrects the charge of a popped task once its total run time is known.
    ///
    /// The resulting debt or credit is bounded, so that a burst of mispredicted work neither
    /// starves its team nor lets that team starve the others.
    pub fn settle(&mut self, team: TeamIndex, predicted: Duration, measured: Duration) {
        self.ensure_team(team);
        let (lowest, highest) = self.lag_bounds();
        let backlog = &self.teams[team];
        let time = backlog.virtual_time;
        let corrected = if measured >= predicted {
            let debt = backlog.span(measured - predicted);
            (time + debt).min(highest).max(time)
        } else {
            let credit = backlog.span(predicted - measured);
            (time - credit).max(lowest).min(time)
        };
        self.move_team(team, corrected);
    }

    /// The number of queued tasks.
    pub fn len(&self) -> usize {
        self.deadlines.len()
    }

    /// Whether no task is queued.
    pub fn is_empty(&self) -> bool {
        self.deadlines.is_empty()
    }

    /// The number of queued tasks of a team.
    pub fn depth(&self, team: TeamIndex) -> usize {
        self.teams.get(team).map_or(0, |backlog| backlog.depth)
    }

    /// The sum of the predicted run times of a team's queued tasks.
    pub fn queued_work(&self, team: TeamIndex) -> Duration {
        self.teams
            .get(team)
            .map_or(Duration::ZERO, |backlog| backlog.work)
    }

    /// The predicted run time of the tasks that start before a new task of this team, if all teams
    /// get their fair shares.
    pub fn work_ahead(&self, team: TeamIndex) -> Duration {
        self.work_ahead_by(team, Duration::ZERO, |backlog| backlog.work)
    }

    /// The predicted run time of the queued tasks that are served before `added` more work of this
    /// team is completed, if all teams get their fair shares. The result does not include `added`
    /// and counts only the kinds that `competes` selects: those that compete for the same slots.
    pub fn work_ahead_among<F>(&self, team: TeamIndex, added: Duration, competes: F) -> Duration
    where
        F: Fn(KindIndex) -> bool,
    {
        self.work_ahead_by(team, added, |backlog| backlog.lanes.work_among(&competes))
    }

    /// The backlog and the service rate of a team, counting only the kinds that `competes` selects.
    pub fn team_load<F>(&self, now: TimePoint, team: TeamIndex, competes: F) -> TeamLoad
    where
        F: Fn(KindIndex) -> bool,
    {
        let backlog = self.teams.get(team);
        backlog.map_or_else(TeamLoad::default, |backlog| {
            backlog.lanes.load_among(now, competes)
        })
    }

    fn work_ahead_by<F>(&self, team: TeamIndex, added: Duration, work_of: F) -> Duration
    where
        F: Fn(&TeamBacklog) -> Duration,
    {
        let idle = TeamBacklog::default();
        let own = self.teams.get(team).unwrap_or(&idle);
        let queued = work_of(own);
        let start = self.resume_time(own) + own.span(queued + added);
        let others = self.order.iter().take_while(|&&(time, _)| time < start);
        let others = others.filter(|&&(_, other)| other != team);
        let served = others.map(|&(time, other)| {
            let other = &self.teams[other];
            work_of(other).min((start - time).work(other.weight))
        });
        queued + served.sum::<Duration>()
    }

    fn ensure_team(&mut self, team: TeamIndex) {
        let needed = usize::from(team) + 1;
        if self.teams.len() < needed {
            self.teams.resize_with(needed, TeamBacklog::default);
        }
    }

    fn next_position(&mut self) -> u64 {
        self.last_position += 1;
        self.last_position
    }

    fn insert(&mut self, now: TimePoint, entry: QueueEntry, position: QueuePosition) {
        assert!(
            !self.nodes.contains_key(entry.task),
            "task is already queued"
        );
        if entry.deadline <= now {
            self.expired.push(entry);
            return;
        }
        self.ensure_team(entry.team);
        self.activate(entry.team);
        let node = QueueNode {
            entry,
            position,
            previous: None,
            next: None,
        };
        self.nodes.insert(entry.task, node);
        let backlog = &mut self.teams[entry.team];
        let opened = backlog.lanes.append(now, &mut self.nodes, entry.task);
        if opened {
            self.occupancy.add_team(entry.lane);
        }
        backlog.depth += 1;
        backlog.work += entry.predicted;
        self.deadlines.insert((entry.deadline, entry.task));
    }

    /// The virtual time from which a team's next work is charged. An idle team resumes at the
    /// system's virtual time less the allowance, or at its own virtual time if that is later, so
    /// that it does not accumulate more credit than the allowance.
    fn resume_time(&self, backlog: &TeamBacklog) -> VirtualTime {
        if backlog.depth > 0 {
            return backlog.virtual_time;
        }
        let allowance = backlog.span(self.settings.resume_allowance);
        backlog.virtual_time.max(self.system_time - allowance)
    }

    /// Adds a team to the backlogged teams, unless it is one already.
    fn activate(&mut self, team: TeamIndex) {
        if self.teams[team].depth > 0 {
            return;
        }
        let resumed = self.resume_time(&self.teams[team]);
        let backlog = &mut self.teams[team];
        backlog.virtual_time = resumed;
        self.order.insert((backlog.virtual_time, team));
        self.order_weight += u64::from(backlog.weight.0.get());
    }

    fn unlink(&mut self, task: TaskKey) -> QueueEntry {
        let node = self.nodes[task];
        let entry = node.entry;
        let backlog = &mut self.teams[entry.team];
        let closed = backlog.lanes.unlink(&mut self.nodes, &node);
        self.nodes.remove(task);
        backlog.depth -= 1;
        backlog.work -= entry.predicted;
        if backlog.depth == 0 {
            self.order.remove(&(backlog.virtual_time, entry.team));
            self.order_weight -= u64::from(backlog.weight.0.get());
        }
        self.deadlines.remove(&(entry.deadline, task));
        if closed {
            self.occupancy.remove_team(entry.lane);
        }
        entry
    }

    fn collect_expired(&mut self, now: TimePoint) {
        while let Some(&(deadline, task)) = self.deadlines.first() {
            if deadline > now {
                return;
            }
            let entry = self.unlink(task);
            self.expired.push(entry);
        }
    }

    fn find_startable<P, F>(
        &self,
        round: &mut SchedulingRound,
        try_place: &mut F,
    ) -> Option<(TaskKey, P)>
    where
        F: FnMut(&QueueEntry) -> LaneDecision<P>,
    {
        if self.occupancy.all_blocked(round) {
            return None;
        }
        for &(_, team) in &self.order {
            for (lane, task) in self.teams[team].lanes.heads() {
                if !round.is_open(team, lane) {
                    continue;
                }
                match try_place(&self.nodes[task].entry) {
                    LaneDecision::Start(placement) => return Some((task, placement)),
                    LaneDecision::Skip => round.skip(team, lane),
                    LaneDecision::Blocked => {
                        round.block(lane);
                        if self.occupancy.all_blocked(round) {
                            return None;
                        }
                    }
                }
            }
        }
        None
    }

    fn charge(&mut self, now: TimePoint, entry: &QueueEntry) {
        self.rate.record(now, entry.predicted);
        let (lowest, _) = self.lag_bounds();
        let backlog = &mut self.teams[entry.team];
        backlog
            .lanes
            .record_served(now, entry.lane, entry.predicted);
        let start = backlog.virtual_time.max(lowest);
        let finish = start + backlog.span(entry.predicted);
        self.system_time = self.system_time.max(start);
        self.move_team(entry.team, finish);
    }

    fn move_team(&mut self, team: TeamIndex, time: VirtualTime) {
        let backlog = &mut self.teams[team];
        if backlog.depth > 0 {
            self.order.remove(&(backlog.virtual_time, team));
            self.order.insert((time, team));
        }
        backlog.virtual_time = time;
        self.finish_time = self.finish_time.max(time);
    }

    /// The lowest and the highest virtual time that a team may have, given the system's virtual
    /// time. See [`LAG_WINDOW`].
    fn lag_bounds(&self) -> (VirtualTime, VirtualTime) {
        let served = self.rate.per_second() * LAG_WINDOW.as_secs() as u32;
        let teams = u32::try_from(self.order_weight.max(1)).unwrap_or(u32::MAX);
        let bound = VirtualSpan::new((served / teams).max(LAG_FLOOR), TeamWeight::default());
        (self.system_time - bound, self.system_time + bound)
    }

    /// Ends the busy period if the queue is empty, so that debts and credits from that period do
    /// not affect the next one.
    fn end_busy_period(&mut self) {
        if self.order.is_empty() {
            self.system_time = self.system_time.max(self.finish_time);
        }
    }
}
