//! The jobs that clients have sent to this VM.
//!
//! Their waiting tasks form one queue: first those whose job can be answered in time, by priority and
//! by the latest moment at which a task must start for that. Tasks whose moment has passed come after
//! all others: serving them first would make the others late as well.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_dispatch::entity::{JobKey, KindIndex, TargetIndex, VmIndex};
use filbertpitch_dispatch::job::CallerToken;
use filbertpitch_types::fleet::{JobSpec, StepSpec, TaskTimeliness, WaitingWork};
use filbertpitch_types::prelude::*;
use slotmap::SlotMap;
use smallvec::SmallVec;

/// How much a run number is raised when a target has seen it: another home may have given the same
/// task to it.
const OLD_RUN_STEP: u32 = 16;

/// How many targets a task avoids.
const EXCLUDED_LIMIT: usize = 4;

/// How many objectives after its arrival the answer to a job is hardly of use to its client. Up to
/// then the users count it as late, and after that as not served.
const LATE_OBJECTIVES: u32 = 3;

/// By how much longer than expected a run is planned, in percent: targets differ in speed, and a job
/// is done with the last of its tasks.
const RUN_MARGIN_PERCENT: u32 = 15;

/// The time for the way of an answer to its client, and for the way of the job.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);

/// The time to plan for a run that is expected to take `run`.
pub fn careful(run: Duration) -> Duration {
    run + run * RUN_MARGIN_PERCENT / 100 + ANSWER_MARGIN
}

/// A task of a live job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskRef {
    /// The job.
    pub job: JobKey,
    /// The position in the job.
    pub position: usize,
}

/// Where a task is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    /// Earlier steps are not done.
    Blocked,
    /// It waits for room.
    Waiting,
    /// A holder was asked to run it, or runs it.
    Placed {
        /// The holder.
        holder: VmIndex,
        /// Where it runs, or where it should.
        target: TargetIndex,
        /// When the holder was asked.
        asked_at: TimePoint,
    },
    /// Its holder was lost. It may still be running.
    Orphaned {
        /// The holder.
        holder: VmIndex,
        /// Where it ran.
        target: TargetIndex,
        /// When it has certainly ended.
        over_at: TimePoint,
    },
    /// It is done.
    Done,
}

/// A task of a live job.
#[derive(Clone, Debug)]
pub struct HomeTask {
    /// Its name.
    pub name: TaskName,
    /// Where it is in its life.
    pub phase: TaskPhase,
    /// The number of the current or next run.
    pub run: RunNumber,
    /// How many of its runs have failed.
    pub failures: u8,
    /// Targets that it avoids.
    pub excluded: SmallVec<[TargetIndex; EXCLUDED_LIMIT]>,
    /// Its place in the queue, while it waits.
    queued: Option<QueuePlace>,
}

impl HomeTask {
    /// Avoids a target from now on; the oldest one is tried again when there are too many.
    pub fn exclude(&mut self, target: TargetIndex) {
        if self.excluded.contains(&target) {
            return;
        }
        if self.excluded.len() == EXCLUDED_LIMIT {
            self.excluded.remove(0);
        }
        self.excluded.push(target);
    }

    /// Takes the next run number.
    pub fn next_run(&mut self) {
        self.run = self.run.next();
    }

    /// Skips run numbers that a target has seen.
    pub fn skip_runs(&mut self) {
        self.run = RunNumber(self.run.0.saturating_add(OLD_RUN_STEP));
    }
}

/// A job without an answer.
#[derive(Clone, Debug)]
pub struct HomeJob {
    /// The client's name for it.
    pub id: JobId,
    /// Who waits for the answer.
    pub callers: SmallVec<[CallerToken; 1]>,
    /// Its queue.
    pub queue: KindIndex,
    /// The priority of its queue; 0 is the most important.
    pub priority: u8,
    /// What it asks for.
    pub order: JobSpec,
    /// When it arrived.
    pub arrived: TimePoint,
    /// The time in which it should be answered.
    pub objective: Duration,
    /// How long its client waits.
    pub patience: Duration,
    /// When nobody needs its answer any more.
    pub give_up: TimePoint,
    /// How long its longest task took so far.
    pub longest: Duration,
    /// The expected run time of a task of each step.
    pub expected: Vec<Duration>,
    /// Its tasks, step by step.
    pub tasks: Vec<HomeTask>,
    /// How many tasks are not done.
    pub unfinished: usize,
    /// Whether a holder was ever asked to run one of its tasks.
    pub offered: bool,
    /// How many requests to run a task of it were made that were not certainly in vain.
    pub possible_starts: u32,
}

impl HomeJob {
    /// The step of a task.
    pub fn step_of(&self, position: usize) -> &StepSpec {
        &self.order.steps[usize::from(self.tasks[position].name.step)]
    }

    /// The expected run time of a task.
    pub fn expected_of(&self, position: usize) -> Duration {
        self.expected[usize::from(self.tasks[position].name.step)]
    }

    /// The latest moment at which a task must start for its job to meet its objective.
    pub fn start_by(&self, position: usize) -> TimePoint {
        let step = usize::from(self.tasks[position].name.step);
        let rest = self.expected[step..].iter().sum::<Duration>();
        self.arrived + self.objective.saturating_sub(careful(rest))
    }

    /// Whether a task that starts now can still be useful. What was done for a job is lost unless it
    /// is finished, so that a job that has started is finished first even if it will be late.
    pub fn hope(&self, now: TimePoint, position: usize) -> TaskTimeliness {
        let start_by = self.start_by(position);
        let grace = match self.possible_starts > 0 {
            true => self.objective,
            false => Duration::ZERO,
        };
        if now <= start_by + grace {
            TaskTimeliness::InTime
        } else if now <= start_by + self.objective * (LATE_OBJECTIVES - 1) {
            TaskTimeliness::Late
        } else {
            TaskTimeliness::TooLate
        }
    }

    /// When no task of it can be of use any more unless one has started.
    pub fn hopeless_at(&self) -> TimePoint {
        let starts = (0..self.tasks.len()).map(|position| self.start_by(position));
        let first = starts.min().unwrap_or(self.arrived);
        first + self.objective * (LATE_OBJECTIVES - 1)
    }

    /// Whether all tasks of the steps that `step` waits for are done.
    fn is_unblocked(&self, step: u16) -> bool {
        let after = &self.order.steps[usize::from(step)].after;
        let mut before = self.tasks.iter();
        before.all(|task| !after.contains(&task.name.step) || task.phase == TaskPhase::Done)
    }
}

/// The order of waiting tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct QueuePlace {
    hope: TaskTimeliness,
    priority: u8,
    start_by: TimePoint,
    task: TaskRef,
}

/// All jobs without an answer, and their waiting tasks.
#[derive(Clone, Debug, Default)]
pub struct JobTable {
    jobs: SlotMap<JobKey, HomeJob>,
    ids: HashMap<JobId, JobKey>,
    waiting: BTreeSet<QueuePlace>,
}

/// What is decided about a job when it is accepted.
#[derive(Clone, Debug)]
pub struct JobPlan {
    /// Its queue.
    pub queue: KindIndex,
    /// The priority of its queue; 0 is the most important.
    pub priority: u8,
    /// The time in which it should be answered.
    pub objective: Duration,
    /// How long its answer is needed.
    pub patience: Duration,
    /// The expected run time of a task of each step.
    pub expected: Vec<Duration>,
}

/// The core-milliseconds of a task.
pub fn task_work(room: &ResourceVector, expected: Duration) -> u64 {
    let millis = u64::try_from(expected.as_millis()).unwrap_or(u64::MAX);
    u64::from(room.cpu.0).saturating_mul(millis) / 1000
}

impl JobTable {
    /// Accepts a job; the tasks of its first steps wait from now on.
    pub fn accept(
        &mut self,
        now: TimePoint,
        caller: CallerToken,
        order: JobSpec,
        plan: JobPlan,
    ) -> JobKey {
        let id = order.id;
        let mut tasks = Vec::new();
        for (step, spec) in (0..).zip(&order.steps) {
            tasks.extend((0..spec.count).map(|index| HomeTask {
                name: TaskName {
                    job: id,
                    occurrence: 0,
                    step,
                    index,
                },
                phase: TaskPhase::Blocked,
                run: RunNumber(1),
                failures: 0,
                excluded: SmallVec::new(),
                queued: None,
            }));
        }
        let job = HomeJob {
            id,
            callers: SmallVec::from_elem(caller, 1),
            queue: plan.queue,
            priority: plan.priority,
            arrived: now,
            objective: plan.objective,
            patience: plan.patience,
            give_up: now + plan.patience,
            longest: Duration::ZERO,
            expected: plan.expected,
            unfinished: tasks.len(),
            tasks,
            order,
            offered: false,
            possible_starts: 0,
        };
        let key = self.jobs.insert(job);
        self.ids.insert(id, key);
        self.unblock(now, key);
        key
    }

    /// A job by its name.
    pub fn find(&self, id: JobId) -> Option<JobKey> {
        self.ids.get(&id).copied()
    }

    /// A job.
    pub fn get(&self, key: JobKey) -> Option<&HomeJob> {
        self.jobs.get(key)
    }

    /// A job, for changes other than the phases of its tasks.
    pub fn get_mut(&mut self, key: JobKey) -> Option<&mut HomeJob> {
        self.jobs.get_mut(key)
    }

    /// All jobs.
    pub fn iter(&self) -> impl Iterator<Item = (JobKey, &HomeJob)> {
        self.jobs.iter()
    }

    /// How many jobs there are.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether there is no job.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// A task by its name, if its job is live.
    pub fn find_task(&self, name: &TaskName) -> Option<TaskRef> {
        let job = self.find(name.job)?;
        let tasks = &self.jobs[job].tasks;
        let position = tasks
            .binary_search_by_key(&(name.step, name.index), |task| {
                (task.name.step, task.name.index)
            })
            .ok()?;
        Some(TaskRef { job, position })
    }

    /// A task.
    pub fn task(&self, task: TaskRef) -> &HomeTask {
        &self.jobs[task.job].tasks[task.position]
    }

    /// A task, for changes other than its phase.
    pub fn task_mut(&mut self, task: TaskRef) -> &mut HomeTask {
        &mut self.jobs[task.job].tasks[task.position]
    }

    /// Lets the tasks wait whose earlier steps are done.
    fn unblock(&mut self, now: TimePoint, key: JobKey) {
        let job = &self.jobs[key];
        let ready = (0..job.order.steps.len())
            .filter_map(|step| u16::try_from(step).ok())
            .filter(|&step| job.is_unblocked(step))
            .collect::<Vec<_>>();
        let blocked = job.tasks.iter().enumerate().filter(|(_, task)| {
            task.phase == TaskPhase::Blocked && ready.contains(&task.name.step)
        });
        let positions = blocked.map(|(position, _)| position).collect::<Vec<_>>();
        for position in positions {
            self.set_phase(now, TaskRef { job: key, position }, TaskPhase::Waiting);
        }
    }

    /// Moves a task to another phase and keeps the queue in line with it.
    pub fn set_phase(&mut self, now: TimePoint, task: TaskRef, phase: TaskPhase) {
        let job = &mut self.jobs[task.job];
        let start_by = job.start_by(task.position);
        let priority = job.priority;
        let hope = job.hope(now, task.position);
        let state = &mut job.tasks[task.position];
        if let Some(place) = state.queued.take() {
            self.waiting.remove(&place);
        }
        if phase == TaskPhase::Waiting {
            let place = QueuePlace {
                hope,
                priority,
                start_by,
                task,
            };
            state.queued = Some(place);
            self.waiting.insert(place);
        }
        state.phase = phase;
    }

    /// Marks a task as done. Returns whether its job is.
    pub fn finish_task(&mut self, now: TimePoint, task: TaskRef) -> bool {
        self.set_phase(now, task, TaskPhase::Done);
        let job = &mut self.jobs[task.job];
        job.unfinished -= 1;
        if job.unfinished > 0 {
            if job.order.steps.len() > 1 {
                self.unblock(now, task.job);
            }
            return false;
        }
        true
    }

    /// Removes a job.
    pub fn remove(&mut self, key: JobKey) -> Option<HomeJob> {
        let job = self.jobs.remove(key)?;
        self.ids.remove(&job.id);
        for place in job.tasks.iter().filter_map(|task| task.queued.as_ref()) {
            self.waiting.remove(place);
        }
        Some(job)
    }

    /// Moves the tasks that have lost hope behind the others.
    pub fn demote_late(&mut self, now: TimePoint) {
        let changed = self.waiting.iter().filter(|place| {
            let job = &self.jobs[place.task.job];
            job.hope(now, place.task.position) != place.hope
        });
        let changed = changed.map(|place| place.task).collect::<Vec<_>>();
        for task in changed {
            self.set_phase(now, task, TaskPhase::Waiting);
        }
    }

    /// The waiting tasks, the most urgent first.
    pub fn waiting(&self) -> impl Iterator<Item = TaskRef> {
        self.waiting.iter().map(|place| place.task)
    }

    /// How many tasks wait.
    pub fn waiting_len(&self) -> usize {
        self.waiting.len()
    }

    /// The work of the waiting tasks that can be in time, by the time until they must start.
    pub fn waiting_work(&self, now: TimePoint) -> WaitingWork {
        let mut work = WaitingWork::default();
        for place in &self.waiting {
            if place.hope > TaskTimeliness::InTime {
                break;
            }
            let job = &self.jobs[place.task.job];
            let position = place.task.position;
            let task = task_work(&job.step_of(position).resources, job.expected_of(position));
            work.add(place.priority, place.start_by.since(now), task);
        }
        work
    }

    /// The tasks that a holder was asked to run, with the holder and the target.
    pub fn placed(&self) -> impl Iterator<Item = (TaskRef, VmIndex, TargetIndex)> {
        self.jobs.iter().flat_map(|(job, state)| {
            let tasks = state.tasks.iter().enumerate();
            tasks.filter_map(move |(position, task)| match task.phase {
                TaskPhase::Placed { holder, target, .. } => {
                    Some((TaskRef { job, position }, holder, target))
                }
                _ => None,
            })
        })
    }

    /// The payload of a job.
    pub fn payload(&self, key: JobKey) -> Rc<str> {
        Rc::clone(&self.jobs[key].order.payload)
    }
}
