//! Guards against overload that wastes capacity, that affects response times long after the peak, or
//! that affects other teams.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use filbertpitch_dispatch::admission::{
    AdmissionDecision, AdmissionPolicy, AdmissionSettings, JobDemand, PoolDemand, QueueDepth,
    SlotCapacity,
};
use filbertpitch_dispatch::entity::{KindIndex, ServiceIndex, TaskKey, TeamIndex};
use filbertpitch_dispatch::estimate::{EstimateSettings, RunEstimator, RunPrediction, SizeClass};
use filbertpitch_dispatch::queue::{
    FairQueue, LaneDecision, LaneKey, QueueEntry, QueueSettings, SchedulingRound, TeamLoad,
};
use filbertpitch_dispatch::quota::TeamQuota;
use filbertpitch_types::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;
use test_case::test_case;

const SLOTS: u32 = 40;
const MEAN_RUN_MS: u64 = 100;
const JOB_TASKS: usize = 5;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn at_ms(count: u64) -> TimePoint {
    TimePoint(0) + ms(count)
}

fn team(index: usize) -> TeamIndex {
    TeamIndex::from(index)
}

fn kind() -> KindIndex {
    KindIndex::from(0)
}

#[derive(Clone, Copy)]
struct SimulatedTask {
    job: usize,
    run: Duration,
    predicted: Duration,
}

struct SimulatedJob {
    team: usize,
    submitted: TimePoint,
    deadline: TimePoint,
    tasks: Vec<TaskKey>,
    remaining: usize,
    work: Duration,
    ended: Option<TimePoint>,
}

/// A simulation of jobs of several teams on `SLOTS` slots. Declared run times are `declared_factor`
/// times the actual ones.
struct OverloadSimulation {
    rng: ChaCha8Rng,
    queue: FairQueue,
    estimator: RunEstimator,
    policy: AdmissionPolicy,
    quota: TeamQuota,
    tasks: SlotMap<TaskKey, SimulatedTask>,
    jobs: Vec<SimulatedJob>,
    running: BinaryHeap<Reverse<(TimePoint, TaskKey)>>,
    rejected: Vec<(usize, TimePoint)>,
    free: u32,
    declared_factor: f64,
    deadline: Duration,
    busy: Duration,
}

impl OverloadSimulation {
    fn new(declared_factor: f64, deadline: Duration) -> Self {
        let mut estimator = RunEstimator::new(EstimateSettings::default());
        estimator.configure(kind(), ServiceIndex::from(0), ms(MEAN_RUN_MS));
        Self {
            rng: ChaCha8Rng::seed_from_u64(7),
            queue: FairQueue::default(),
            estimator,
            policy: AdmissionPolicy::new(AdmissionSettings::default()),
            quota: TeamQuota::default(),
            tasks: SlotMap::with_key(),
            jobs: Vec::new(),
            running: BinaryHeap::new(),
            rejected: Vec::new(),
            free: SLOTS,
            declared_factor,
            deadline,
            busy: Duration::ZERO,
        }
    }

    fn submit(&mut self, now: TimePoint, owner: usize) {
        let runs = [(); JOB_TASKS].map(|()| ms(self.rng.random_range(50..=150)));
        let predictions = runs.map(|run| {
            self.estimator
                .predict(kind(), run.mul_f64(self.declared_factor))
        });
        if !self.admit(now, owner, &predictions) {
            self.rejected.push((owner, now));
            return;
        }
        let job = self.jobs.len();
        let deadline = now + self.deadline;
        let mut tasks = Vec::new();
        for (run, prediction) in runs.into_iter().zip(predictions) {
            let predicted = prediction.expected;
            let task = self.tasks.insert(SimulatedTask {
                job,
                run,
                predicted,
            });
            let lane = LaneKey {
                kind: kind(),
                size: prediction.size,
            };
            let team = team(owner);
            let entry = QueueEntry {
                task,
                team,
                lane,
                predicted,
                deadline,
                repeatable: true,
            };
            self.queue.push(now, entry);
            tasks.push(task);
        }
        self.jobs.push(SimulatedJob {
            team: owner,
            submitted: now,
            deadline,
            remaining: tasks.len(),
            tasks,
            work: runs.iter().sum(),
            ended: None,
        });
    }

    fn admit(&mut self, now: TimePoint, owner: usize, predictions: &[RunPrediction]) -> bool {
        let mut pool = PoolDemand {
            capacity: SlotCapacity {
                slots: SLOTS,
                free: self.free,
            },
            load: self.queue.team_load(now, team(owner), |_| true),
            ..PoolDemand::default()
        };
        predictions
            .iter()
            .for_each(|prediction| pool.add(prediction));
        pool.work_ahead = self
            .queue
            .work_ahead_among(team(owner), pool.work, |_| true);
        let demand = JobDemand {
            team: team(owner),
            tasks: predictions.len(),
            deadline: now + self.deadline,
            pools: &[pool],
        };
        let depth = QueueDepth {
            total: self.queue.len(),
            team: self.queue.depth(team(owner)),
        };
        self.policy.decide(now, &demand, depth, &self.quota) == AdmissionDecision::Accept
    }

    fn start_all(&mut self, now: TimePoint) {
        for entry in self.queue.take_expired(now) {
            let job = self.tasks[entry.task].job;
            for task in std::mem::take(&mut self.jobs[job].tasks) {
                self.queue.remove(task);
            }
        }
        let mut round = SchedulingRound::default();
        while self.free > 0 {
            let next = self
                .queue
                .pop_next(now, &mut round, |_| LaneDecision::Start(()));
            let Some((entry, ())) = next else {
                return;
            };
            self.free -= 1;
            self.running
                .push(Reverse((now + self.tasks[entry.task].run, entry.task)));
        }
    }

    fn advance(&mut self, until: TimePoint) {
        while let Some(&Reverse((end, key))) = self.running.peek() {
            if end > until {
                break;
            }
            self.running.pop();
            self.free += 1;
            let task = self.tasks[key];
            self.busy += task.run;
            let job = &mut self.jobs[task.job];
            job.remaining -= 1;
            if job.remaining == 0 {
                job.ended = Some(end);
            }
            self.queue.settle(team(job.team), task.predicted, task.run);
            self.estimator
                .observe(kind(), task.run.mul_f64(self.declared_factor), task.run);
            self.start_all(end);
        }
        self.start_all(until);
    }

    /// Runs the simulation. `load` returns the load of each team in a given second, as a multiple of
    /// the capacity.
    fn run<F>(&mut self, seconds: u64, load: F)
    where
        F: Fn(u64) -> Vec<f64>,
    {
        let job_work_ms = (MEAN_RUN_MS * JOB_TASKS as u64) as f64;
        for now_ms in 0..seconds * 1000 {
            self.advance(at_ms(now_ms));
            for (owner, load) in load(now_ms / 1000).into_iter().enumerate() {
                let jobs_per_ms = load * f64::from(SLOTS) / job_work_ms;
                if self.rng.random_bool(jobs_per_ms) {
                    self.submit(at_ms(now_ms), owner);
                }
            }
            self.start_all(at_ms(now_ms));
        }
        self.advance(at_ms(seconds * 1000 + 60_000));
    }

    fn completed(&self) -> impl Iterator<Item = (&SimulatedJob, TimePoint)> {
        let ended = self.jobs.iter().filter_map(|job| Some((job, job.ended?)));
        ended.filter(|(job, ended)| *ended <= job.deadline)
    }

    /// The 99th percentile of the response times of a team's jobs that were submitted in a period and
    /// completed, in seconds.
    fn p99(&self, owner: usize, from_ms: u64, to_ms: u64) -> f64 {
        let range = at_ms(from_ms)..at_ms(to_ms);
        let chosen = self.completed().filter(|(job, _)| job.team == owner);
        let chosen = chosen.filter(|(job, _)| range.contains(&job.submitted));
        let mut times = chosen
            .map(|(job, ended)| ended.since(job.submitted))
            .collect::<Vec<_>>();
        times.sort();
        times[times.len() * 99 / 100].as_secs_f64()
    }

    fn rejected_between(&self, owner: usize, from_ms: u64, to_ms: u64) -> usize {
        let range = at_ms(from_ms)..at_ms(to_ms);
        self.rejected
            .iter()
            .filter(|(team, time)| *team == owner && range.contains(time))
            .count()
    }
}

/// Guards against an overload peak that leaves slots idle, admits jobs that miss their deadlines, or
/// raises response times after the peak.
#[test_case(1.0, 400; "deadline of four runs")]
#[test_case(100.0, 400; "declared 100 times too long, deadline of four runs")]
#[test_case(0.01, 400; "declared 100 times too short, deadline of four runs")]
#[test_case(1.0, 1000; "right declared times")]
#[test_case(100.0, 1000; "declared 100 times too long")]
#[test_case(0.01, 1000; "declared 100 times too short")]
#[test_case(1.0, 30_000; "long deadline")]
fn threefold_peak_keeps_slots_busy_and_has_no_lasting_effect(
    declared_factor: f64,
    deadline_ms: u64,
) {
    let mut simulation = OverloadSimulation::new(declared_factor, ms(deadline_ms));
    let peak = 5..15;
    simulation.run(25, |second| {
        vec![if peak.contains(&second) { 1.5 } else { 0.3 }; 2]
    });

    let within = |time: TimePoint| (at_ms(5000)..at_ms(15_000)).contains(&time);
    let useful = simulation.completed().filter(|&(_, ended)| within(ended));
    let useful = useful.map(|(job, _)| job.work.as_secs_f64()).sum::<f64>();
    let capacity = f64::from(SLOTS) * 10.0;
    assert!(
        useful >= 0.95 * capacity,
        "{useful} of {capacity} s of work"
    );

    // A job that cannot be served in time must be rejected at submission, not after queueing.
    let admitted = simulation.jobs.len();
    let late = admitted - simulation.completed().count();
    assert!(
        late * 100 <= admitted,
        "{late} of {admitted} admitted jobs missed the deadline"
    );

    for owner in 0..2 {
        assert_eq!(simulation.rejected_between(owner, 17_000, 25_000), 0);
        let before = simulation.p99(owner, 1000, 5000);
        let after = simulation.p99(owner, 17_000, 25_000);
        assert!(
            after <= before * 1.25,
            "p99 {after} s after the peak, {before} s before"
        );
    }
}

/// Three teams together offer twice the capacity, the first one ten times as much as each of the
/// others. Returns the factor by which the load of the first team raises the p99 response time of the
/// others, the larger of the two.
fn p99_factor_beside_overload(resume_allowance: Duration) -> f64 {
    let [normal, overloaded] = [0.0, 20.0 / 12.0].map(|overload| {
        let mut simulation = OverloadSimulation::new(1.0, ms(2000));
        simulation.queue = FairQueue::new(QueueSettings { resume_allowance });
        simulation.run(60, |_| vec![overload, 2.0 / 12.0, 2.0 / 12.0]);
        simulation
    });
    assert!(overloaded.rejected_between(0, 2000, 60_000) > 1000);
    for owner in [1, 2] {
        assert_eq!(overloaded.rejected_between(owner, 0, 60_000), 0);
    }
    let factor = |owner| overloaded.p99(owner, 2000, 60_000) / normal.p99(owner, 2000, 60_000);
    f64::max(factor(1), factor(2))
}

/// Guards against rejections of teams that stay within their share beside an overloading team.
#[test]
fn only_the_overloading_team_is_rejected() {
    p99_factor_beside_overload(Duration::ZERO);
}

/// Guards against an overloading team that raises the p99 response time of the others beyond the
/// stated bound. Without an allowance the factor exceeds this bound, because the jobs of the light
/// teams come in bursts.
#[test]
fn overloading_team_delays_the_others_within_the_bound() {
    let factor = p99_factor_beside_overload(ms(2000));
    assert!(
        factor <= 1.3,
        "p99 is {factor} times that without the overload"
    );
}

fn prediction(expected: Duration, learned: bool) -> RunPrediction {
    RunPrediction {
        expected,
        size: SizeClass::Short,
        overdue_after: expected * 4,
        learned,
    }
}

fn pool(predictions: &[RunPrediction], free: u32) -> PoolDemand {
    let capacity = SlotCapacity { slots: 8, free };
    let mut pool = PoolDemand {
        capacity,
        ..PoolDemand::default()
    };
    predictions
        .iter()
        .for_each(|prediction| pool.add(prediction));
    pool
}

fn decide(
    policy: &mut AdmissionPolicy,
    pools: &[PoolDemand],
    depth: QueueDepth,
) -> AdmissionDecision {
    let demand = JobDemand {
        team: team(0),
        tasks: 10,
        deadline: at_ms(2000),
        pools,
    };
    policy.decide(at_ms(1000), &demand, depth, &TeamQuota::default())
}

fn rejection(decision: AdmissionDecision) -> Option<NotRunReason> {
    match decision {
        AdmissionDecision::Accept => None,
        AdmissionDecision::Reject { reason, .. } => Some(reason),
    }
}

/// Guards against rejections because of declared run times, which may be wrong, and against accepted
/// jobs whose measured run times exceed the deadline.
#[test_case(true, Some(NotRunReason::DeadlineUnreachable); "learned run time past the deadline")]
#[test_case(false, None; "declared run time alone rejects nothing")]
fn only_learned_run_times_reject_a_job(learned: bool, expected: Option<NotRunReason>) {
    let mut policy = AdmissionPolicy::default();
    let pool = pool(&[prediction(ms(900), learned)], 0);
    assert_eq!(
        rejection(decide(&mut policy, &[pool], QueueDepth::default())),
        expected
    );
}

/// Guards against a kind that is always rejected because of run times that were learned in an outage.
#[test]
fn idle_slots_accept_one_trial_of_a_slow_kind_per_interval() {
    let mut policy = AdmissionPolicy::default();
    let pool = pool(&[prediction(ms(900), true)], 8);
    let decisions = [(); 3].map(|()| decide(&mut policy, &[pool], QueueDepth::default()));
    let unreachable = Some(NotRunReason::DeadlineUnreachable);
    assert_eq!(decisions.map(rejection), [None, unreachable, unreachable]);
}

/// Guards against a queue that exceeds its limit, or that one team fills.
#[test_case(0, 99_995, Some(NotRunReason::QueueFull); "no room for the whole job")]
#[test_case(60_000, 80_000, Some(NotRunReason::QueueFull); "team that fills the queue")]
#[test_case(0, 80_000, None; "team without queued tasks")]
fn queue_is_bounded_per_team(team: usize, total: usize, expected: Option<NotRunReason>) {
    let mut policy = AdmissionPolicy::default();
    let pool = pool(&[prediction(ms(10), true)], 8);
    let depth = QueueDepth { total, team };
    assert_eq!(rejection(decide(&mut policy, &[pool], depth)), expected);
}

/// Guards against predictions from the number of slots when the team is served at a lower rate.
#[test]
fn observed_rate_overrides_the_nominal_slots() {
    let mut policy = AdmissionPolicy::default();
    let mut pool = pool(&[prediction(ms(10), true)], 0);
    pool.work_ahead = ms(2000);
    assert_eq!(
        decide(&mut policy, &[pool], QueueDepth::default()),
        AdmissionDecision::Accept
    );
    pool.load = TeamLoad {
        work: ms(4000),
        served_per_second: ms(2000),
        samples: 200,
        backlogged_for: ms(3000),
    };
    let decision = decide(&mut policy, &[pool], QueueDepth::default());
    let AdmissionDecision::Reject {
        reason,
        retry_after,
    } = decision
    else {
        panic!("accepted");
    };
    assert_eq!(reason, NotRunReason::QueueFull);
    // The retry hint is the excess of the wait of 2 s over the limit of 0.5 s.
    assert_eq!(retry_after, ms(1500));
}
