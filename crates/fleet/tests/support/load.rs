//! Load generator: a mix of short and long jobs at a variable rate, and the share that was served
//! in time.

use std::time::Duration;

use filbertpitch_fleet::engine::FleetSettings;
use filbertpitch_types::fleet::JobReply;
use filbertpitch_types::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::client::JobShape;
use super::world::{SimFleet, SimOptions};

/// A fleet of seven VMs in three zones with 48 targets of two sizes and three speeds.
pub fn seven_vm_fleet(seed: u64, settings: &FleetSettings) -> SimFleet {
    let queue = (STRETCH, Duration::from_secs_f64(ALLOWANCE_MS / 1000.0));
    let mut fleet = SimFleet::new(SimOptions {
        seed,
        vms: vec![3, 2, 2],
        targets: vec![16, 16, 16],
        cores: 32,
        queues: vec![queue; 3],
        settings: settings.clone(),
        ..SimOptions::default()
    });
    for (index, target) in fleet.targets.iter_mut().enumerate() {
        if index % 3 == 2 {
            target.capacity = ResourceVector::from((48_000, 131_072, 0));
        }
        target.speed_percent = [80, 100, 125][index / 3 % 3];
    }
    fleet.run_for(Duration::from_secs(3));
    fleet
}

/// The typical cores of a task.
pub const CORES: f64 = 14.0;

/// The share of the load that each VM receives.
pub const WEIGHTS: [f64; 7] = [6.0, 10.0, 4.0, 12.0, 8.0, 9.0, 5.0];

/// The parameters of one kind of job.
#[derive(Clone, Copy, Debug)]
pub struct JobKind {
    /// The typical number of tasks (median before clamping).
    pub tasks: f64,
    /// The typical run time of a task (median).
    pub work_ms: f64,
    /// How many of these arrive for every 100 jobs of the most frequent kind.
    pub share: f64,
    /// The value of a job that is served in time.
    pub value: f64,
}

/// Short jobs of many tasks, long jobs, and small jobs of medium length.
pub const JOB_KINDS: [JobKind; 3] = [
    JobKind {
        tasks: 8.0,
        work_ms: 51.0,
        share: 34.4,
        value: 0.0291,
    },
    JobKind {
        tasks: 4.0,
        work_ms: 760.0,
        share: 6.25,
        value: 0.16,
    },
    JobKind {
        tasks: 2.0,
        work_ms: 170.0,
        share: 100.0,
        value: 0.01,
    },
];

/// The objective is the run time times `STRETCH` plus `ALLOWANCE_MS`.
pub const STRETCH: f64 = 1.6;
pub const ALLOWANCE_MS: f64 = 60.0;

/// A late job keeps `LATE_VALUE` of its value until `LATE_OBJECTIVES` times its objective after
/// submission, and then has none.
pub const LATE_OBJECTIVES: f64 = 3.0;
pub const LATE_VALUE: f64 = 0.2;

/// The share of jobs that run longer than usual, and by which factor.
const LONG_RUN_SHARE: f64 = 0.03;
const LONG_RUN_FACTOR: f64 = 7.0;

/// The results of the jobs of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct KindResult {
    pub submitted: u32,
    pub in_time: u32,
    pub late: u32,
    pub rejected: u32,
    pub failed: u32,
    pub value: f64,
    pub value_limit: f64,
}

/// The results of all kinds of jobs.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadResult {
    pub kinds: [KindResult; 3],
    /// The mean utilization of the cores.
    pub used: f64,
}

impl LoadResult {
    /// The share of the possible value that was achieved.
    pub fn value_share(&self) -> f64 {
        let owed = self.kinds.iter().map(|kind| kind.value_limit).sum::<f64>();
        self.kinds.iter().map(|kind| kind.value).sum::<f64>() / owed
    }

    /// The share of the jobs that were served, in time or late.
    pub fn served_share(&self) -> f64 {
        let asked = self.kinds.iter().map(|kind| kind.submitted).sum::<u32>();
        let served = self
            .kinds
            .iter()
            .map(|kind| kind.in_time + kind.late)
            .sum::<u32>();
        f64::from(served) / f64::from(asked)
    }
}

fn normal<R>(rng: &mut R) -> f64
where
    R: Rng,
{
    // The sum of twelve uniform numbers is approximately normal.
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}

/// A job of a random kind with a random size and run time.
pub fn random_shape<R>(rng: &mut R, cores: f64) -> JobShape
where
    R: Rng,
{
    let total = JOB_KINDS.iter().map(|kind| kind.share).sum::<f64>();
    let mut pick = rng.random::<f64>() * total;
    let queue = JOB_KINDS.iter().position(|kind| {
        pick -= kind.share;
        pick < 0.0
    });
    let queue = queue.unwrap_or(JOB_KINDS.len() - 1);
    let kind = JOB_KINDS[queue];
    let mut work = kind.work_ms * (0.4 * normal(rng)).exp();
    if rng.random::<f64>() < LONG_RUN_SHARE {
        work *= LONG_RUN_FACTOR;
    }
    let tasks = kind.tasks * (0.4 * normal(rng)).exp();
    let cores = cores * (0.2 * normal(rng)).exp();
    let declared = work * (0.4 * normal(rng)).exp();
    let objective = STRETCH * work + ALLOWANCE_MS;
    JobShape {
        queue,
        tasks: tasks.round().clamp(1.0, kind.tasks * 4.0) as u16,
        cores: cores.round().max(1.0) as u32,
        work: Duration::from_secs_f64(work / 1000.0),
        declared: Duration::from_secs_f64(declared / 1000.0),
        client_timeout: Duration::from_secs_f64((1500.0 + LATE_OBJECTIVES * objective) / 1000.0),
        ..JobShape::default()
    }
}

/// Submits jobs at a rate per second that is a function of the seconds since the start. `weights`
/// gives the share of each VM's clients. Returns after all jobs had 12 s to be answered.
pub fn run_load<F>(
    fleet: &mut SimFleet,
    seconds: f64,
    cores: f64,
    weights: &[f64],
    rate: F,
) -> LoadResult
where
    F: Fn(f64) -> f64,
{
    let start = fleet.now;
    // The generated jobs must not depend on the behaviour of the fleet.
    let mut rng = ChaCha8Rng::seed_from_u64(fleet.seed() ^ (seconds * 1000.0) as u64);
    let mut ids = Vec::<JobId>::new();
    let total = weights.iter().sum::<f64>();
    let (mut used, mut samples) = (0.0, 0.0);
    loop {
        let time = (fleet.now - start) as f64 / 1e6;
        if time >= seconds {
            break;
        }
        let gap = -rng.random::<f64>().max(1e-9).ln() / rate(time).max(0.1);
        fleet.run_for(Duration::from_secs_f64(gap));
        let used_cores = fleet.targets.iter().map(|target| target.allocated().cpu.0);
        let capacity = fleet.targets.iter().map(|target| target.capacity.cpu.0);
        used += f64::from(used_cores.sum::<u32>()) / f64::from(capacity.sum::<u32>());
        samples += 1.0;
        let mut pick = rng.random::<f64>() * total;
        let vm = weights.iter().position(|weight| {
            pick -= weight;
            pick < 0.0
        });
        let shape = random_shape(&mut rng, cores);
        ids.push(fleet.submit(vm.unwrap_or(0), shape));
    }
    fleet.run_for(Duration::from_secs(12));
    let mut result = LoadResult {
        used: used / samples,
        ..LoadResult::default()
    };
    for id in ids {
        let job = &fleet.jobs[&id];
        let kind = &mut result.kinds[job.shape.queue];
        let worth = JOB_KINDS[job.shape.queue].value;
        let objective = STRETCH * job.shape.work.as_secs_f64() + ALLOWANCE_MS / 1000.0;
        let waited = job.waited().as_secs_f64();
        kind.submitted += 1;
        kind.value_limit += worth;
        match job.reply {
            Some(JobReply::Completed) if waited <= objective => {
                kind.in_time += 1;
                kind.value += worth;
            }
            Some(JobReply::Completed) if waited <= objective * LATE_OBJECTIVES => {
                kind.late += 1;
                kind.value += worth * LATE_VALUE;
            }
            Some(JobReply::Rejected { .. }) => kind.rejected += 1,
            _ => kind.failed += 1,
        }
    }
    result
}
