//! Guards against overload that wastes capacity, outlasts the peak or spreads to other teams.

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

/// Jobs of several teams on `SLOTS` slots, with run times that are declared `declared_factor`
/// times too long.
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
        let mut part = PoolDemand {
            capacity: SlotCapacity {
                slots: SLOTS,
                free: self.free,
            },
            load: self.queue.team_load(now, team(owner), |_| true),
            ..PoolDemand::default()
        };
        predictions
            .iter()
            .for_each(|prediction| part.add(prediction));
        part.work_ahead = self
            .queue
            .work_ahead_among(team(owner), part.work, |_| true);
        let demand = JobDemand {
            team: team(owner),
            tasks: predictions.len(),
            deadline: now + self.deadline,
            pools: &[part],
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

    /// Runs with the load of each team, as a multiple of the capacity, given per second.
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

    /// The 99th percentile of the response time of jobs submitted in a period, in seconds.
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
            .filter(|(it, time)| *it == owner && range.contains(time))
            .count()
    }
}

#[test_case(1.0, 400; "deadline of four runs")]
#[test_case(100.0, 400; "declared 100 times too long, deadline of four runs")]
#[test_case(0.01, 400; "declared 100 times too short, deadline of four runs")]
#[test_case(1.0, 1000; "right declared times")]
#[test_case(100.0, 1000; "declared 100 times too long")]
#[test_case(0.01, 1000; "declared 100 times too short")]
#[test_case(1.0, 30_000; "long deadline")]
fn threefold_peak_keeps_the_slots_busy_and_ends_soon(declared_factor: f64, deadline_ms: u64) {
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

    // What cannot be served is rejected at submission, not after waiting.
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

/// Three teams offer together twice the capacity, the first one ten times as much as each other.
/// Returns by what factor the flood raises the worse p99 of the others.
fn flood_factor(resume_allowance: Duration) -> f64 {
    let [calm, flooded] = [0.0, 20.0 / 12.0].map(|flood| {
        let mut simulation = OverloadSimulation::new(1.0, ms(2000));
        simulation.queue = FairQueue::new(QueueSettings { resume_allowance });
        simulation.run(60, |_| vec![flood, 2.0 / 12.0, 2.0 / 12.0]);
        simulation
    });
    assert!(flooded.rejected_between(0, 2000, 60_000) > 1000);
    for owner in [1, 2] {
        assert_eq!(flooded.rejected_between(owner, 0, 60_000), 0);
    }
    let factor = |owner| flooded.p99(owner, 2000, 60_000) / calm.p99(owner, 2000, 60_000);
    f64::max(factor(1), factor(2))
}

#[test]
fn flooding_team_rejects_only_its_own_work() {
    flood_factor(Duration::ZERO);
}

/// The stated target for the p99 of teams beside a flooding one. Without an allowance the factor
/// is above it, because the light teams' jobs come in bursts.
#[test]
fn flooding_team_hardly_delays_the_others() {
    let factor = flood_factor(ms(2000));
    assert!(
        factor <= 1.3,
        "p99 is {factor} times that without the flood"
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

fn part(predictions: &[RunPrediction], free: u32) -> PoolDemand {
    let capacity = SlotCapacity { slots: 8, free };
    let mut part = PoolDemand {
        capacity,
        ..PoolDemand::default()
    };
    predictions
        .iter()
        .for_each(|prediction| part.add(prediction));
    part
}

fn decide(
    policy: &mut AdmissionPolicy,
    parts: &[PoolDemand],
    depth: QueueDepth,
) -> AdmissionDecision {
    let demand = JobDemand {
        team: team(0),
        tasks: 10,
        deadline: at_ms(2000),
        pools: parts,
    };
    policy.decide(at_ms(1000), &demand, depth, &TeamQuota::default())
}

fn rejection(decision: AdmissionDecision) -> Option<NotRunReason> {
    match decision {
        AdmissionDecision::Accept => None,
        AdmissionDecision::Reject { reason, .. } => Some(reason),
    }
}

#[test_case(true, Some(NotRunReason::DeadlineUnreachable); "learned run time past the deadline")]
#[test_case(false, None; "declared run time alone rejects nothing")]
fn own_run_time_is_judged(learned: bool, expected: Option<NotRunReason>) {
    let mut policy = AdmissionPolicy::default();
    let part = part(&[prediction(ms(900), learned)], 0);
    assert_eq!(
        rejection(decide(&mut policy, &[part], QueueDepth::default())),
        expected
    );
}

/// Guards against a kind that is rejected forever because of run times learned in an outage.
#[test]
fn idle_slots_probe_a_slow_kind_now_and_then() {
    let mut policy = AdmissionPolicy::default();
    let part = part(&[prediction(ms(900), true)], 8);
    let decisions = [(); 3].map(|()| decide(&mut policy, &[part], QueueDepth::default()));
    let unreachable = Some(NotRunReason::DeadlineUnreachable);
    assert_eq!(decisions.map(rejection), [None, unreachable, unreachable]);
}

#[test_case(0, 99_995, Some(NotRunReason::QueueFull); "no room for the whole job")]
#[test_case(60_000, 80_000, Some(NotRunReason::QueueFull); "team that fills the queue")]
#[test_case(0, 80_000, None; "team without queued tasks")]
fn queue_is_bounded_per_team(team: usize, total: usize, expected: Option<NotRunReason>) {
    let mut policy = AdmissionPolicy::default();
    let part = part(&[prediction(ms(10), true)], 8);
    let depth = QueueDepth { total, team };
    assert_eq!(rejection(decide(&mut policy, &[part], depth)), expected);
}

#[test]
fn observed_rate_overrides_the_nominal_slots() {
    let mut policy = AdmissionPolicy::default();
    let mut part = part(&[prediction(ms(10), true)], 0);
    part.work_ahead = ms(2000);
    assert_eq!(
        decide(&mut policy, &[part], QueueDepth::default()),
        AdmissionDecision::Accept
    );
    part.load = TeamLoad {
        work: ms(4000),
        served_per_second: ms(2000),
        samples: 200,
        backlogged_for: ms(3000),
    };
    let decision = decide(&mut policy, &[part], QueueDepth::default());
    let AdmissionDecision::Reject {
        reason,
        retry_after,
    } = decision
    else {
        panic!("accepted");
    };
    assert_eq!(reason, NotRunReason::QueueFull);
    // The wait of 2 s exceeds the limit of 0.5 s by that much.
    assert_eq!(retry_after, ms(1500));
}
