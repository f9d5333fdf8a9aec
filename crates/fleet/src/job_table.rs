//! The unanswered jobs of which this VM is the coordinator.
//!
//! The waiting tasks of these jobs form one queue. Tasks that can start in time for the objective
//! of their job come first, ordered by priority and then by the latest start time that meets the
//! objective. Tasks that have missed this time come last, because serving them first would make
//! other tasks late as well.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use filbertpitch_dispatch::entity::{JobKey, KindIndex, TargetIndex, VmIndex};
use filbertpitch_dispatch::job::CallerToken;
use filbertpitch_types::fleet::{
    ClientTimeout, DensityTable, JobSpec, StepSpec, TaskTimeliness, WaitingWork,
};
use filbertpitch_types::prelude::*;
use slotmap::SlotMap;
use smallvec::SmallVec;

use crate::shedding::{ArrivingJob, DensityClass, is_replaceable};

/// How many run numbers are skipped when a target has already seen the number of a run: another
/// coordinator may have used the same numbers for the task.
const RUN_NUMBER_SKIP: u32 = 16;

/// How long the run numbers of a removed job are not used again. Reports of a holder arrive within its
/// link's time-outs, after which either side has marked the other lost and has dropped its messages.
const RUN_RETENTION: Duration = Duration::from_secs(10);

/// The most removed jobs whose run numbers are remembered: ten seconds at 800 jobs a second.
const REMOVED_LIMIT: usize = 8000;

/// The most targets that a task avoids.
const EXCLUDED_LIMIT: usize = 4;

/// A job that is answered after its objective counts as late; after this multiple of the objective,
/// counted from the job's arrival, the job counts as not served.
const LATE_OBJECTIVES: u32 = 3;

/// Safety margin on expected run times, in percent: targets differ in speed, and a job takes as
/// long as its slowest task.
const RUN_MARGIN_PERCENT: u32 = 15;

/// Time for the transfer of the job from its client and of the answer back.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);

/// The run time of a fast run, as a percentage of the expected one: run times and their estimates have
/// a spread of 0.4 each, and one run in a hundred is faster than this.
const FAST_RUN_PERCENT: u32 = 25;

/// The time to plan for a run that is expected to take `run`.
pub fn padded_run_time(run: Duration) -> Duration {
    run + run * RUN_MARGIN_PERCENT / 100 + ANSWER_MARGIN
}

/// Refers to a task of an active job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskRef {
    /// The job.
    pub job: JobKey,
    /// The position among the tasks of the job.
    pub position: usize,
}

/// The scheduling state of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    /// Earlier steps are not done.
    Blocked,
    /// The task waits for free capacity.
    Waiting,
    /// A holder was asked to run the task, or runs it.
    Placed {
        /// The holder.
        holder: VmIndex,
        /// The target that runs the task, or is to run it.
        target: TargetIndex,
        /// When the request was sent to the holder.
        requested_at: TimePoint,
    },
    /// The holder is lost. The task may still be running.
    Orphaned {
        /// The lost holder.
        holder: VmIndex,
        /// The target that was to run the task.
        target: TargetIndex,
        /// When the run has certainly ended.
        ended_by: TimePoint,
    },
    /// The task is done.
    Done,
}

/// A task that a holder was asked to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacedTask {
    /// The task.
    pub task: TaskRef,
    /// The holder.
    pub holder: VmIndex,
    /// The target that the coordinator has suggested.
    pub target: TargetIndex,
    /// When the request was made.
    pub requested_at: TimePoint,
}

/// A task of an active job.
#[derive(Clone, Debug)]
pub struct ActiveTask {
    /// The name of the task.
    pub name: TaskName,
    /// The scheduling state.
    pub phase: TaskPhase,
    /// The number of the current or next run.
    pub run: RunNumber,
    /// The highest token that was named for the target of the latest run, by its holder when the run was
    /// placed or by a VM that has found the run there.
    pub holder_token: Option<FencingToken>,
    /// Before this time the latest runs do not count as over, whoever reports to hold their target.
    pub over_after: TimePoint,
    /// The number of failed runs.
    pub failures: u32,
    /// Targets that the task avoids, the oldest first.
    pub excluded: SmallVec<[TargetIndex; EXCLUDED_LIMIT]>,
    /// The position in the queue while the task waits.
    queue_position: Option<QueuePosition>,
}

impl ActiveTask {
    /// Excludes a target from now on. Beyond `EXCLUDED_LIMIT` targets, the oldest one is allowed
    /// again.
    pub fn exclude(&mut self, target: TargetIndex) {
        if self.excluded.contains(&target) {
            return;
        }
        if self.excluded.len() == EXCLUDED_LIMIT {
            self.excluded.remove(0);
        }
        self.excluded.push(target);
    }

    /// Advances to the next run number.
    pub fn next_run(&mut self) {
        self.run = self.run.next();
    }

    /// Skips run numbers that a target may have seen.
    pub fn skip_runs(&mut self) {
        self.run = RunNumber(self.run.0.saturating_add(RUN_NUMBER_SKIP));
    }
}

/// A job that has not been answered yet.
#[derive(Clone, Debug)]
pub struct ActiveJob {
    /// The identifier that the client has chosen.
    pub id: JobId,
    /// The callers that wait for the answer.
    pub callers: SmallVec<[CallerToken; 1]>,
    /// The queue of the job.
    pub queue: KindIndex,
    /// The priority of the queue; 0 is the most important.
    pub priority: u8,
    /// The job as submitted.
    pub spec: JobSpec,
    /// The expected work of all tasks, in core-milliseconds.
    pub work: u64,
    /// The density class of the work.
    pub density: DensityClass,
    /// When the job arrived.
    pub arrived: TimePoint,
    /// The time in which the job should be answered.
    pub objective: Duration,
    /// How long the client waits for the answer, as it has stated.
    pub client_timeout: Duration,
    /// When the client stops waiting for the answer.
    pub client_deadline: TimePoint,
    /// The longest run time of a completed task, normalised by the speed of its target's kind.
    pub longest_run: Duration,
    /// The expected run time of a task on a target of mean speed, for each step.
    pub expected: Vec<Duration>,
    /// The tasks, ordered by step.
    pub tasks: Vec<ActiveTask>,
    /// The number of tasks that are not done.
    pub unfinished: usize,
    /// Whether a holder was ever asked to run one of the tasks.
    pub offered: bool,
    /// The number of requests to run a task of the job, without those that certainly started
    /// nothing.
    pub possible_starts: u32,
}

impl ActiveJob {
    /// The step of the task at `position`.
    pub fn step_of(&self, position: usize) -> &StepSpec {
        &self.spec.steps[usize::from(self.tasks[position].name.step)]
    }

    /// The expected run time of the task at `position`.
    pub fn expected_of(&self, position: usize) -> Duration {
        self.expected[usize::from(self.tasks[position].name.step)]
    }

    /// The latest time at which the task must start for the job to meet its objective.
    pub fn start_by(&self, position: usize) -> TimePoint {
        let step = usize::from(self.tasks[position].name.step);
        let rest = self.expected[step..].iter().sum::<Duration>();
        self.arrived + self.objective.saturating_sub(padded_run_time(rest))
    }

    /// The latest time at which the task must end for the job to meet its objective.
    pub fn finish_by(&self, position: usize) -> TimePoint {
        let step = usize::from(self.tasks[position].name.step);
        let later = self.expected[step + 1..].iter().sum::<Duration>();
        self.arrived + self.objective.saturating_sub(later + ANSWER_MARGIN)
    }

    /// Whether the job can still meet its objective, or be answered late, if the task starts now.
    /// The work on a job that is never finished is wasted, so a job that may have started counts as
    /// in time for another period of the length of its objective.
    pub fn timeliness(&self, now: TimePoint, position: usize) -> TaskTimeliness {
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

    /// Whether one of the tasks can no longer start in time.
    pub fn is_late(&self, now: TimePoint) -> bool {
        let positions = 0..self.tasks.len();
        let mut timeliness = positions.map(|position| self.timeliness(now, position));
        timeliness.any(|timeliness| timeliness > TaskTimeliness::InTime)
    }

    /// The latest useful start of the first task; after this time all tasks are too late unless one
    /// has started.
    pub fn useful_until(&self) -> TimePoint {
        let starts = (0..self.tasks.len()).map(|position| self.start_by(position));
        let first = starts.min().unwrap_or(self.arrived);
        first + self.objective * (LATE_OBJECTIVES - 1)
    }

    /// The latest time at which the job may still be answered before its client's deadline and within
    /// [`LATE_OBJECTIVES`], if the runs that have not started are fast. A run that takes longer than
    /// expected shows that the objective is longer too.
    pub fn answerable_until(&self, now: TimePoint) -> TimePoint {
        let mut longest = self.longest_run;
        let mut rest = Duration::ZERO;
        for (position, task) in self.tasks.iter().enumerate() {
            match task.phase {
                TaskPhase::Placed { requested_at, .. } => {
                    longest = longest.max(now.since(requested_at));
                }
                // It is not known since when the task runs.
                TaskPhase::Orphaned { .. } => longest = longest.max(now.since(self.arrived)),
                TaskPhase::Blocked | TaskPhase::Waiting => {
                    rest = rest.max(self.expected_of(position) * FAST_RUN_PERCENT / 100);
                }
                TaskPhase::Done => {}
            }
        }
        let expected = self.expected.iter().max().copied().unwrap_or_default();
        let factor = longest.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let limit = self.objective.mul_f64(factor.max(1.0)) * LATE_OBJECTIVES;
        let limit = self.client_deadline.min(self.arrived + limit);
        self.arrived + limit.since(self.arrived).saturating_sub(rest)
    }

    /// Whether all tasks of the steps that `step` depends on are done.
    fn is_unblocked(&self, step: u16) -> bool {
        let after = &self.spec.steps[usize::from(step)].after;
        let mut before = self.tasks.iter();
        before.all(|task| !after.contains(&task.name.step) || task.phase == TaskPhase::Done)
    }
}

/// The order of waiting tasks: the derived comparison uses the fields from first to last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct QueuePosition {
    timeliness: TaskTimeliness,
    priority: u8,
    start_by: TimePoint,
    task: TaskRef,
}

/// A removed job of which a task may have started.
#[derive(Clone, Copy, Debug)]
struct RemovedJob {
    id: JobId,
    removed_at: TimePoint,
    /// The highest run number of its tasks.
    highest: RunNumber,
}

/// The run numbers of jobs that were removed lately. Reports name a run by its task and number, so that
/// a late one would be taken for a report about a new run with the number of a former one.
#[derive(Clone, Debug, Default)]
struct RemovedRuns {
    /// The oldest first; a job that was removed more than once is found more than once.
    order: VecDeque<RemovedJob>,
    highest: HashMap<JobId, RunNumber>,
}

impl RemovedRuns {
    /// Records the run numbers of a job that is removed now.
    fn record(&mut self, now: TimePoint, job: &ActiveJob) {
        self.expire(now);
        let highest = job.tasks.iter().map(|task| task.run).max();
        let Some(highest) = highest.filter(|_| job.offered) else {
            return;
        };
        if self.order.len() == REMOVED_LIMIT {
            self.forget_oldest();
        }
        self.order.push_back(RemovedJob {
            id: job.id,
            removed_at: now,
            highest,
        });
        self.highest.insert(job.id, highest);
    }

    /// The first run number of a job that arrives now.
    fn first_run(&mut self, now: TimePoint, id: JobId) -> RunNumber {
        self.expire(now);
        let used = self.highest.get(&id);
        used.map_or(RunNumber(1), |used| used.next())
    }

    fn expire(&mut self, now: TimePoint) {
        while let Some(oldest) = self.order.front()
            && now.since(oldest.removed_at) >= RUN_RETENTION
        {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some(oldest) = self.order.pop_front()
            // A later removal of the same job is remembered for longer.
            && self.highest.get(&oldest.id) == Some(&oldest.highest)
        {
            self.highest.remove(&oldest.id);
        }
    }
}

/// All active jobs and the queue of their waiting tasks.
#[derive(Clone, Debug, Default)]
pub struct JobTable {
    jobs: SlotMap<JobKey, ActiveJob>,
    ids: HashMap<JobId, JobKey>,
    waiting: BTreeSet<QueuePosition>,
    removed_runs: RemovedRuns,
}

/// What a coordinator expects of a job when it arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobEstimate {
    /// The target time from arrival to answer.
    pub objective: Duration,
    /// The run time of the longest chain of steps, on targets of mean speed.
    pub run_time: Duration,
    /// The work of all tasks, in core-milliseconds.
    pub work: u64,
    /// The density class of the work.
    pub density: DensityClass,
}

/// The scheduling parameters of a new job.
#[derive(Clone, Debug)]
pub struct JobPlan {
    /// The queue of the job.
    pub queue: KindIndex,
    /// The priority of the queue; 0 is the most important.
    pub priority: u8,
    /// What is expected of the job as a whole.
    pub estimate: JobEstimate,
    /// How long the client waits for the answer.
    pub client_timeout: ClientTimeout,
    /// The expected run time of a task on a target of mean speed, for each step.
    pub expected: Vec<Duration>,
}

/// The expected work of a task in core-milliseconds.
pub fn task_work(resources: &ResourceVector, expected: Duration) -> u64 {
    let millis = u64::try_from(expected.as_millis()).unwrap_or(u64::MAX);
    u64::from(resources.cpu.0).saturating_mul(millis) / 1000
}

impl JobTable {
    /// Adds a job and queues the tasks of the steps that depend on no other.
    pub fn accept(
        &mut self,
        now: TimePoint,
        caller: CallerToken,
        spec: JobSpec,
        plan: JobPlan,
    ) -> JobKey {
        let id = spec.id;
        let first_run = self.removed_runs.first_run(now, id);
        let mut tasks = Vec::new();
        for (step, step_spec) in (0..).zip(&spec.steps) {
            tasks.extend((0..step_spec.count).map(|index| ActiveTask {
                name: TaskName {
                    job: id,
                    occurrence: 0,
                    step,
                    index,
                },
                phase: TaskPhase::Blocked,
                run: first_run,
                holder_token: None,
                over_after: TimePoint(0),
                failures: 0,
                excluded: SmallVec::new(),
                queue_position: None,
            }));
        }
        let job = ActiveJob {
            id,
            callers: SmallVec::from_elem(caller, 1),
            queue: plan.queue,
            priority: plan.priority,
            work: plan.estimate.work,
            density: plan.estimate.density,
            arrived: now,
            objective: plan.estimate.objective,
            client_timeout: plan.client_timeout.stated,
            client_deadline: now + plan.client_timeout.remaining,
            longest_run: Duration::ZERO,
            expected: plan.expected,
            unfinished: tasks.len(),
            tasks,
            spec,
            offered: false,
            possible_starts: 0,
        };
        let key = self.jobs.insert(job);
        self.ids.insert(id, key);
        self.unblock(now, key);
        key
    }

    /// Finds a job by its identifier.
    pub fn find(&self, id: JobId) -> Option<JobKey> {
        self.ids.get(&id).copied()
    }

    /// The job with this key.
    pub fn get(&self, key: JobKey) -> Option<&ActiveJob> {
        self.jobs.get(key)
    }

    /// A job, for changes other than the phases of its tasks, which need [`Self::set_phase`].
    pub fn get_mut(&mut self, key: JobKey) -> Option<&mut ActiveJob> {
        self.jobs.get_mut(key)
    }

    /// All active jobs.
    pub fn iter(&self) -> impl Iterator<Item = (JobKey, &ActiveJob)> {
        self.jobs.iter()
    }

    /// The number of active jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether there are no active jobs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Finds a task of an active job by its name.
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

    /// The task.
    pub fn task(&self, task: TaskRef) -> &ActiveTask {
        &self.jobs[task.job].tasks[task.position]
    }

    /// The task, for changes other than its phase, which need [`Self::set_phase`].
    pub fn task_mut(&mut self, task: TaskRef) -> &mut ActiveTask {
        &mut self.jobs[task.job].tasks[task.position]
    }

    /// Queues the blocked tasks whose earlier steps are done.
    fn unblock(&mut self, now: TimePoint, key: JobKey) {
        let job = &self.jobs[key];
        let ready = (0..job.spec.steps.len())
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

    /// Sets the phase of a task and updates the queue.
    pub fn set_phase(&mut self, now: TimePoint, task: TaskRef, phase: TaskPhase) {
        let job = &mut self.jobs[task.job];
        let start_by = job.start_by(task.position);
        let priority = job.priority;
        let timeliness = job.timeliness(now, task.position);
        let state = &mut job.tasks[task.position];
        if let Some(queue_position) = state.queue_position.take() {
            self.waiting.remove(&queue_position);
        }
        if phase == TaskPhase::Waiting {
            let queue_position = QueuePosition {
                timeliness,
                priority,
                start_by,
                task,
            };
            state.queue_position = Some(queue_position);
            self.waiting.insert(queue_position);
        }
        state.phase = phase;
    }

    /// Marks a task as done. Returns whether the job is complete.
    pub fn finish_task(&mut self, now: TimePoint, task: TaskRef) -> bool {
        self.set_phase(now, task, TaskPhase::Done);
        let job = &mut self.jobs[task.job];
        job.unfinished -= 1;
        if job.unfinished > 0 {
            if job.spec.steps.len() > 1 {
                self.unblock(now, task.job);
            }
            return false;
        }
        true
    }

    /// Removes a job and its waiting tasks.
    pub fn remove(&mut self, now: TimePoint, key: JobKey) -> Option<ActiveJob> {
        let job = self.jobs.remove(key)?;
        self.ids.remove(&job.id);
        self.removed_runs.record(now, &job);
        for queue_position in job
            .tasks
            .iter()
            .filter_map(|task| task.queue_position.as_ref())
        {
            self.waiting.remove(queue_position);
        }
        Some(job)
    }

    /// Moves the waiting tasks whose timeliness has changed to their new positions.
    pub fn requeue_late(&mut self, now: TimePoint) {
        let changed = self.waiting.iter().filter(|queue_position| {
            let job = &self.jobs[queue_position.task.job];
            job.timeliness(now, queue_position.task.position) != queue_position.timeliness
        });
        let changed = changed
            .map(|queue_position| queue_position.task)
            .collect::<Vec<_>>();
        for task in changed {
            self.set_phase(now, task, TaskPhase::Waiting);
        }
    }

    /// The waiting tasks, the most urgent first.
    pub fn waiting(&self) -> impl Iterator<Item = TaskRef> {
        self.waiting
            .iter()
            .map(|queue_position| queue_position.task)
    }

    /// The number of waiting tasks.
    pub fn waiting_len(&self) -> usize {
        self.waiting.len()
    }

    /// The work of the waiting tasks that can meet their objective and satisfy `counts`, by priority and
    /// by the time left until they must start.
    pub fn waiting_work<F>(&self, now: TimePoint, counts: F) -> WaitingWork
    where
        F: Fn(TaskRef) -> bool,
    {
        let mut work = WaitingWork::default();
        for queue_position in &self.waiting {
            if queue_position.timeliness > TaskTimeliness::InTime {
                break;
            }
            if !counts(queue_position.task) {
                continue;
            }
            let job = &self.jobs[queue_position.task.job];
            let position = queue_position.task.position;
            let task = task_work(&job.step_of(position).resources, job.expected_of(position));
            work.add(
                queue_position.priority,
                queue_position.start_by.since(now),
                task,
            );
        }
        work
    }

    /// The jobs of which no task may have started.
    pub fn unstarted(&self) -> impl Iterator<Item = (JobKey, &ActiveJob)> {
        self.jobs.iter().filter(|(_, job)| job.possible_starts == 0)
    }

    /// The least dense job of which no task may have started and that an arriving job may replace: one of
    /// the same priority that is no smaller, much less dense, and would start before it. A late job waits
    /// behind those in time and delays none of them.
    pub fn find_replaceable(&self, now: TimePoint, arriving: &ArrivingJob) -> Option<JobKey> {
        let start_by = now + arriving.slack;
        let jobs = self.unstarted().filter(|(_, job)| {
            job.priority == arriving.priority
                && job.work >= arriving.work
                && job.start_by(0) <= start_by
                && !job.is_late(now)
                && is_replaceable(job.density, arriving.density)
        });
        let least_dense = jobs.max_by_key(|(_, job)| (job.density, job.arrived));
        least_dense.map(|(key, _)| key)
    }

    /// The work of the jobs of which no task may have started, in core-milliseconds.
    pub fn droppable_work(&self) -> DensityTable {
        let mut work = DensityTable::default();
        for (_, job) in self.unstarted() {
            let amount = u32::try_from(job.work).unwrap_or(u32::MAX);
            work.add(job.priority, job.density.index(), amount);
        }
        work
    }

    /// The tasks that holders were asked to run.
    pub fn placed(&self) -> impl Iterator<Item = PlacedTask> {
        self.jobs.iter().flat_map(|(job, state)| {
            let tasks = state.tasks.iter().enumerate();
            tasks.filter_map(move |(position, task)| match task.phase {
                TaskPhase::Placed {
                    holder,
                    target,
                    requested_at,
                } => Some(PlacedTask {
                    task: TaskRef { job, position },
                    holder,
                    target,
                    requested_at,
                }),
                _ => None,
            })
        })
    }

    /// The payload of a job.
    pub fn payload(&self, key: JobKey) -> Rc<str> {
        Rc::clone(&self.jobs[key].spec.payload)
    }
}
