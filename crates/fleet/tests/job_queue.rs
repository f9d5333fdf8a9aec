//! The queue of waiting tasks of a coordinator: the order of tasks, and which tasks are too late.

use std::rc::Rc;
use std::time::Duration;

use filbertpitch_dispatch::entity::{JobKey, KindIndex, TargetIndex, VmIndex};
use filbertpitch_dispatch::job::CallerToken;
use filbertpitch_fleet::job_table::{JobEstimate, JobPlan, JobTable, TaskPhase, TaskRef};
use filbertpitch_fleet::shedding::{ArrivingJob, DensityClass};
use filbertpitch_types::fleet::{ClientTimeout, JobSpec, StepSpec, TaskTimeliness};
use filbertpitch_types::prelude::*;
use test_case::test_case;

const START: TimePoint = TimePoint(1_000_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn step(count: u16, after: &[u16]) -> StepSpec {
    StepSpec {
        count,
        resources: ResourceVector::from((14_000, 64, 0)),
        declared: ms(100),
        after: after.to_vec(),
        required_label: None,
        preferred_rack: None,
        spread_limit: None,
        unsupported: None,
    }
}

/// Accepts a job whose tasks are expected to run for 100 ms.
fn accept(
    jobs: &mut JobTable,
    id: u64,
    priority: u8,
    objective: Duration,
    steps: Vec<StepSpec>,
) -> JobKey {
    accept_at(START, jobs, id, priority, objective, steps)
}

fn accept_at(
    now: TimePoint,
    jobs: &mut JobTable,
    id: u64,
    priority: u8,
    objective: Duration,
    steps: Vec<StepSpec>,
) -> JobKey {
    let plan = JobPlan {
        queue: KindIndex::from(0),
        priority,
        estimate: JobEstimate {
            objective,
            ..JobEstimate::default()
        },
        client_timeout: ClientTimeout {
            stated: ms(5200),
            remaining: ms(5000),
        },
        expected: vec![ms(100); steps.len()],
    };
    let order = JobSpec {
        id: JobId(id),
        payload: Rc::from("work"),
        steps,
        ephemeral: true,
        unsupported: None,
    };
    jobs.accept(now, CallerToken(id), order, plan)
}

fn place(jobs: &mut JobTable, task: TaskRef) {
    let phase = TaskPhase::Placed {
        holder: VmIndex::from(0),
        target: TargetIndex::from(0),
        requested_at: START,
    };
    jobs.set_phase(START, task, phase);
    jobs.get_mut(task.job).unwrap().possible_starts += 1;
}

fn queue_order(jobs: &JobTable) -> Vec<u64> {
    let waiting = jobs.waiting();
    waiting.map(|task| jobs.task(task).name.job.0).collect()
}

/// Guards against a job that is answered after its client has left because the client's time-out was partly
/// used up before the job arrived, and against run times that are learned from the rest of it.
#[test]
fn deadline_follows_the_remaining_time() {
    let mut jobs = JobTable::default();
    let key = accept(&mut jobs, 1, 0, ms(1000), vec![step(1, &[])]);
    let job = jobs.get(key).expect("accepted above");
    assert_eq!(job.client_deadline, START + ms(5000));
    assert_eq!(job.client_timeout, ms(5200));
}

/// Guards against an important job that waits behind less important ones, and against an urgent job
/// that waits behind those with more time.
#[test]
fn priority_comes_before_urgency() {
    let mut jobs = JobTable::default();
    accept(&mut jobs, 1, 1, ms(300), vec![step(1, &[])]);
    accept(&mut jobs, 2, 0, ms(900), vec![step(1, &[])]);
    accept(&mut jobs, 3, 0, ms(400), vec![step(1, &[])]);
    assert_eq!(queue_order(&jobs), [3, 2, 1]);
}

/// Guards against an overload in which every job is late because the late ones are served first.
#[test]
fn late_jobs_wait_behind_those_that_can_meet_their_objective() {
    let mut jobs = JobTable::default();
    let urgent = accept(&mut jobs, 1, 0, ms(300), vec![step(1, &[])]);
    accept(&mut jobs, 2, 1, ms(2000), vec![step(1, &[])]);
    jobs.requeue_late(START + ms(100));
    assert_eq!(queue_order(&jobs), [1, 2]);
    // The run takes 100 ms, with a margin of 25 ms.
    let start_by = jobs.get(urgent).unwrap().start_by(0);
    assert_eq!(start_by, START + ms(175));
    jobs.requeue_late(start_by + ms(1));
    assert_eq!(queue_order(&jobs), [2, 1]);
    let job = jobs.get(urgent).unwrap();
    assert_eq!(job.timeliness(start_by, 0), TaskTimeliness::InTime);
    assert_eq!(job.timeliness(start_by + ms(1), 0), TaskTimeliness::Late);
    assert_eq!(
        job.timeliness(start_by + ms(601), 0),
        TaskTimeliness::TooLate
    );
}

/// Guards against wasting work: a job that has started is finished before others start.
#[test]
fn started_job_keeps_its_position() {
    let mut jobs = JobTable::default();
    let started = accept(&mut jobs, 1, 0, ms(300), vec![step(2, &[])]);
    accept(&mut jobs, 2, 0, ms(700), vec![step(1, &[])]);
    place(
        &mut jobs,
        TaskRef {
            job: started,
            position: 0,
        },
    );
    jobs.requeue_late(START + ms(400));
    assert_eq!(queue_order(&jobs), [1, 2]);
    jobs.requeue_late(START + ms(476));
    assert_eq!(queue_order(&jobs), [2, 1]);
}

/// Guards against a job that waits until its client disconnects although it can no longer be
/// answered in time.
#[test]
fn job_is_useful_until_two_objectives_after_its_latest_start() {
    let mut jobs = JobTable::default();
    let key = accept(&mut jobs, 1, 0, ms(300), vec![step(1, &[]), step(1, &[0])]);
    let job = jobs.get(key).unwrap();
    // Both steps together take 200 ms, with a margin of 40 ms.
    assert_eq!(job.start_by(0), START + ms(60));
    assert_eq!(job.useful_until(), START + ms(660));
}

/// Guards against a job that is ended although a fast run could still be in time, and against one that
/// waits until its client's deadline although no run is fast enough.
#[test]
fn unstarted_job_ends_when_even_a_fast_run_is_too_late() {
    let mut jobs = JobTable::default();
    let key = accept(&mut jobs, 1, 0, ms(300), vec![step(1, &[])]);
    let until = jobs.get(key).unwrap().answerable_until(START);
    assert_eq!(until, START + ms(900 - 25));
    assert!(until > jobs.get(key).unwrap().useful_until());
    // The client's deadline, after 5 s, is earlier than three objectives.
    let key = accept(&mut jobs, 2, 0, ms(4000), vec![step(1, &[])]);
    let until = jobs.get(key).unwrap().answerable_until(START);
    assert_eq!(until, START + ms(5000 - 25));
}

/// Guards against a job that is ended while its runs take longer than expected, which makes its
/// objective longer too, and against one that is not ended although its runs have started too late.
#[test]
fn long_runs_extend_the_time_to_answer() {
    let mut jobs = JobTable::default();
    let key = accept(&mut jobs, 1, 0, ms(300), vec![step(2, &[])]);
    for position in [0, 1] {
        place(&mut jobs, TaskRef { job: key, position });
    }
    let job = jobs.get(key).unwrap();
    assert_eq!(job.answerable_until(START + ms(50)), START + ms(900));
    assert!(job.answerable_until(START + ms(700)) > START + ms(2000));
    // The other task still waits.
    let waiting = TaskRef {
        job: key,
        position: 1,
    };
    jobs.set_phase(START, waiting, TaskPhase::Waiting);
    assert!(!jobs.finish_task(
        START + ms(100),
        TaskRef {
            job: key,
            position: 0
        }
    ));
    let job = jobs.get(key).unwrap();
    assert_eq!(job.answerable_until(START + ms(890)), START + ms(875));
}

/// Guards against a report that counts the work of jobs that have started as work that can be dropped.
#[test]
fn only_jobs_that_have_not_started_can_be_dropped() {
    let mut jobs = JobTable::default();
    let key = accept(&mut jobs, 1, 1, ms(300), vec![step(1, &[])]);
    jobs.get_mut(key).unwrap().work = 1400;
    let total = |jobs: &JobTable| jobs.droppable_work().0.concat().iter().sum::<u32>();
    assert_eq!(total(&jobs), 1400);
    place(
        &mut jobs,
        TaskRef {
            job: key,
            position: 0,
        },
    );
    assert_eq!(total(&jobs), 0);
}

/// Guards against a late job that is dropped in favour of an arriving one: it waits behind all jobs in
/// time, so that the arriving job gains nothing.
#[test]
fn late_job_is_not_replaced() {
    let mut jobs = JobTable::default();
    let key = accept(&mut jobs, 1, 1, ms(300), vec![step(1, &[])]);
    let job = jobs.get_mut(key).unwrap();
    job.work = 5600;
    job.density = DensityClass::of(5600, 1400.0);
    let arriving = ArrivingJob {
        priority: 1,
        density: DensityClass::of(1400, 1400.0),
        slack: ms(200),
        work: 1400,
    };
    assert_eq!(jobs.find_replaceable(START, &arriving), Some(key));
    let late = jobs.get(key).unwrap().start_by(0) + ms(1);
    assert_eq!(jobs.find_replaceable(late, &arriving), None);
}

/// Guards against a step that starts before the steps that it depends on are done.
#[test]
fn steps_wait_for_their_dependencies() {
    let mut jobs = JobTable::default();
    let steps = vec![step(2, &[]), step(1, &[0]), step(1, &[0, 1])];
    let key = accept(&mut jobs, 1, 0, ms(900), steps);
    let tasks = [0, 1, 2, 3].map(|position| TaskRef { job: key, position });
    assert_eq!(jobs.waiting_len(), 2);
    assert!(!jobs.finish_task(START, tasks[0]));
    assert_eq!(jobs.task(tasks[2]).phase, TaskPhase::Blocked);
    assert!(!jobs.finish_task(START, tasks[1]));
    assert_eq!(jobs.task(tasks[2]).phase, TaskPhase::Waiting);
    assert_eq!(jobs.task(tasks[3]).phase, TaskPhase::Blocked);
    assert!(!jobs.finish_task(START, tasks[2]));
    assert!(jobs.finish_task(START, tasks[3]));
}

/// Guards against tasks of an answered job that still wait for free capacity.
#[test]
fn removed_job_leaves_the_queue() {
    let mut jobs = JobTable::default();
    let key = accept(&mut jobs, 1, 0, ms(900), vec![step(3, &[])]);
    place(
        &mut jobs,
        TaskRef {
            job: key,
            position: 1,
        },
    );
    assert_eq!(jobs.placed().count(), 1);
    assert_eq!(jobs.waiting_len(), 2);
    assert!(jobs.remove(START, key).is_some());
    assert_eq!(jobs.waiting_len(), 0);
    assert_eq!(jobs.find(JobId(1)), None);
    assert!(jobs.remove(START, key).is_none());
}

/// Guards against results that are assigned to the wrong task.
#[test]
fn tasks_are_found_by_name() {
    let mut jobs = JobTable::default();
    let key = accept(&mut jobs, 1, 0, ms(900), vec![step(2, &[]), step(3, &[0])]);
    for position in 0..5 {
        let name = jobs.get(key).unwrap().tasks[position].name;
        assert_eq!(jobs.find_task(&name), Some(TaskRef { job: key, position }));
    }
    let mut name = jobs.get(key).unwrap().tasks[4].name;
    name.index = 3;
    assert_eq!(jobs.find_task(&name), None);
}

/// Guards against a report that counts late work and thereby rejects jobs that would be in time.
#[test]
fn only_work_that_can_meet_its_objective_is_reported() {
    let mut jobs = JobTable::default();
    accept(&mut jobs, 1, 0, ms(300), vec![step(2, &[])]);
    accept(&mut jobs, 2, 1, ms(2000), vec![step(1, &[])]);
    // 14 cores for 100 ms, three times.
    assert_eq!(jobs.waiting_work(START, |_| true).total(), 4200);
    let later = START + ms(400);
    jobs.requeue_late(later);
    assert_eq!(jobs.waiting_work(later, |_| true).total(), 1400);
}

/// Guards against a task that returns to the target where it has just failed.
#[test]
fn task_avoids_the_latest_excluded_targets() {
    let mut jobs = JobTable::default();
    let key = accept(&mut jobs, 1, 0, ms(300), vec![step(1, &[])]);
    let task = jobs.task_mut(TaskRef {
        job: key,
        position: 0,
    });
    for target in [0, 1, 2, 2, 3, 4] {
        task.exclude(TargetIndex::from(target));
    }
    let excluded = task.excluded.iter().map(|target| usize::from(*target));
    assert_eq!(excluded.collect::<Vec<_>>(), [1, 2, 3, 4]);
    task.skip_runs();
    assert!(task.run > RunNumber(2));
}

/// Guards against a late report about a run of a removed job that is taken for one about the run with the
/// same number after the job was sent again.
#[test_case(ms(9999), true; "while a report may arrive")]
#[test_case(ms(10_000), false; "memory that grows with each job")]
fn job_that_comes_again_uses_no_run_number_twice(absence: Duration, remembered: bool) {
    let mut jobs = JobTable::default();
    let first = accept(&mut jobs, 1, 0, ms(300), vec![step(2, &[])]);
    let task = TaskRef {
        job: first,
        position: 1,
    };
    place(&mut jobs, task);
    jobs.get_mut(first).unwrap().offered = true;
    jobs.task_mut(task).next_run();
    let used = jobs.task(task).run;
    let removed_at = START + ms(1000);
    jobs.remove(removed_at, first);
    let steps = vec![step(2, &[])];
    let again = accept_at(removed_at + absence, &mut jobs, 1, 0, ms(300), steps);
    let job = jobs.get(again).unwrap();
    assert!(job.tasks.iter().all(|task| (task.run > used) == remembered));
}
