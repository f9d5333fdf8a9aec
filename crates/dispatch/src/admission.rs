//! Decides about a whole job before any of its tasks is queued.
//!
//! Under overload the queue must stay long enough to keep all slots busy and short enough that what
//! was accepted still meets its deadline and that response times recover soon after the peak.
//! Everything beyond that is rejected at once, while it certainly has not run.

use std::time::Duration;

use filbertpitch_types::prelude::*;

use crate::entity::TeamIndex;
use crate::estimate::RunPrediction;
use crate::queue::TeamLoad;
use crate::quota::TeamQuota;

/// How long a team must have been backlogged before its service rate is trusted; the rate covers
/// one second.
const RATE_WARMUP: Duration = Duration::from_secs(1);

/// The fewest popped tasks from which a service rate is computed.
const RATE_SAMPLES: u32 = 16;

/// The part of the time until the deadline that a job may be expected to need. A job that misses
/// its deadline after some of its tasks ran has wasted their slots, which costs more than rejecting
/// a job that would just have made it.
const USABLE_DEADLINE_SHARE: f64 = 0.75;

/// The longest queueing delay as a multiple of the job's longest task.
const WAIT_LIMIT_RUNS: u32 = 1;

/// How often a job that is predicted to run past its deadline is accepted on idle slots. Without
/// such jobs, a run time that was learned during a disturbance would never be corrected.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);

/// Bounds of the retry hint.
const RETRY_HINT_MIN: Duration = Duration::from_millis(100);
const RETRY_HINT_MAX: Duration = Duration::from_secs(5);

/// Limits of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// The most tasks that may wait.
    pub queued_tasks: usize,
    /// The longest queueing delay that is accepted, unless the tasks themselves run longer. It
    /// bounds how long response times stay raised after a peak: at 70% load, a queue of 500 ms is
    /// served in 1.7 s.
    pub wait_limit: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            queued_tasks: 100_000,
            wait_limit: Duration::from_millis(500),
        }
    }
}

/// The slots that can serve some kinds of work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotCapacity {
    /// The slots that this VM can use.
    pub slots: u32,
    /// Those of them that are free.
    pub free: u32,
}

/// The tasks of a job whose kinds compete for the same slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolDemand {
    /// Their expected run time, without kinds that were not measured yet.
    pub work: Duration,
    /// The longest of these run times.
    pub longest: Duration,
    /// From [`FairQueue::work_ahead_among`](crate::queue::FairQueue::work_ahead_among).
    pub work_ahead: Duration,
    /// From [`FairQueue::team_load`](crate::queue::FairQueue::team_load).
    pub load: TeamLoad,
    /// The slots.
    pub capacity: SlotCapacity,
}

impl PoolDemand {
    /// Adds a task. Declared values alone reject nothing: they may be wrong by two orders of
    /// magnitude, and a kind that is always rejected is never measured.
    pub fn add(&mut self, prediction: &RunPrediction) {
        if prediction.learned {
            self.work += prediction.expected;
            self.longest = self.longest.max(prediction.expected);
        }
    }
}

/// What admission must know about a job.
#[derive(Clone, Copy, Debug)]
pub struct JobDemand<'a> {
    /// The team.
    pub team: TeamIndex,
    /// How many tasks the job has.
    pub tasks: usize,
    /// When the job must be complete.
    pub deadline: TimePoint,
    /// The job's tasks, by the slots they compete for.
    pub pools: &'a [PoolDemand],
}

/// How many tasks wait now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueDepth {
    /// Of all teams.
    pub total: usize,
    /// Of the job's team.
    pub team: usize,
}

/// The decision about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Queue all of its tasks.
    Accept,
    /// Queue none of them.
    Reject {
        /// Why.
        reason: NotRunReason,
        /// When another attempt may succeed.
        retry_after: Duration,
    },
}

/// When a part is expected to be served.
#[derive(Clone, Copy, Debug)]
struct ServiceForecast {
    /// Until the slots have served what is ahead.
    wait: Duration,
    /// Until the part is complete.
    finish: Duration,
}

/// Accepts jobs that can be served in time.
#[derive(Clone, Debug, Default)]
pub struct AdmissionPolicy {
    settings: AdmissionSettings,
    last_trial: Option<TimePoint>,
}

impl AdmissionPolicy {
    /// A policy with these limits.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            last_trial: None,
        }
    }

    /// Replaces the limits.
    pub fn configure(&mut self, settings: AdmissionSettings) {
        self.settings = settings;
    }

    /// Decides about a job as a whole.
    pub fn decide(
        &mut self,
        now: TimePoint,
        demand: &JobDemand<'_>,
        depth: QueueDepth,
        quota: &TeamQuota,
    ) -> AdmissionDecision {
        let forecasts = demand.pools.iter().map(forecast);
        let worst = forecasts.reduce(|left, right| ServiceForecast {
            wait: left.wait.max(right.wait),
            finish: left.finish.max(right.finish),
        });
        let wait = worst.map_or(Duration::ZERO, |worst| worst.wait);
        if !quota.may_queue(demand.team, depth.team, demand.tasks) {
            return reject(NotRunReason::QuotaExceeded, wait / 2);
        }
        if !self.fits_queue(demand.tasks, depth) {
            return reject(NotRunReason::QueueFull, wait / 2);
        }
        let limit = self.wait_limit(demand.pools);
        if wait > limit {
            return reject(NotRunReason::QueueFull, wait - limit);
        }
        let remaining = demand.deadline.since(now);
        let finish = worst.map_or(Duration::ZERO, |worst| worst.finish);
        let usable = remaining.mul_f64(USABLE_DEADLINE_SHARE);
        if finish > usable && !self.take_trial(now, demand.pools, wait) {
            return reject(
                NotRunReason::DeadlineUnreachable,
                finish.saturating_sub(usable),
            );
        }
        if remaining.is_zero() {
            return reject(NotRunReason::DeadlineUnreachable, RETRY_HINT_MIN);
        }
        AdmissionDecision::Accept
    }

    /// A team may take up to twice the room that is left, so a team that fills the queue leaves
    /// room for the others however many teams do the same.
    fn fits_queue(&self, tasks: usize, depth: QueueDepth) -> bool {
        let room = self.settings.queued_tasks.saturating_sub(depth.total);
        tasks <= room && depth.team + tasks <= room.saturating_mul(2)
    }

    fn wait_limit(&self, parts: &[PoolDemand]) -> Duration {
        let longest = parts
            .iter()
            .map(|part| part.longest)
            .max()
            .unwrap_or_default();
        self.settings.wait_limit.max(longest * WAIT_LIMIT_RUNS)
    }

    /// Lets a job through now and then although only its own run time speaks against it.
    fn take_trial(&mut self, now: TimePoint, parts: &[PoolDemand], wait: Duration) -> bool {
        let idle = wait.is_zero() && parts.iter().all(|part| part.capacity.free > 0);
        let due = self
            .last_trial
            .is_none_or(|last| now.since(last) >= TRIAL_INTERVAL);
        if idle && due {
            self.last_trial = Some(now);
        }
        idle && due
    }
}

fn forecast(part: &PoolDemand) -> ServiceForecast {
    let nominal = forecast_by_slots(part);
    let observed = forecast_by_rate(part);
    ServiceForecast {
        wait: nominal.wait.max(observed.wait),
        finish: nominal.finish.max(observed.finish),
    }
}

/// Assumes that all slots work for the queue. Without slots the job waits for a target to return.
fn forecast_by_slots(part: &PoolDemand) -> ServiceForecast {
    let slots = part.capacity.slots;
    let until = |work: Duration| {
        if slots == 0 {
            Duration::ZERO
        } else {
            work / slots
        }
    };
    let before_last = part.work.saturating_sub(part.longest);
    ServiceForecast {
        wait: until(part.work_ahead),
        finish: until(part.work_ahead + before_last) + part.longest,
    }
}

/// Uses the rate at which the team has been served while it was backlogged. It reflects the demand
/// of other teams, unavailable slots and mispredicted run times, all of which the slots do not.
fn forecast_by_rate(part: &PoolDemand) -> ServiceForecast {
    let load = &part.load;
    let rate = load.served_per_second.as_secs_f64();
    let trusted = load.backlogged_for >= RATE_WARMUP && load.samples >= RATE_SAMPLES && rate > 0.0;
    if !trusted {
        return ServiceForecast {
            wait: Duration::ZERO,
            finish: Duration::ZERO,
        };
    }
    let before_last = part.work.saturating_sub(part.longest);
    ServiceForecast {
        wait: load.work.div_f64(rate),
        finish: (load.work + before_last).div_f64(rate) + part.longest,
    }
}

fn reject(reason: NotRunReason, hint: Duration) -> AdmissionDecision {
    AdmissionDecision::Reject {
        reason,
        retry_after: hint.clamp(RETRY_HINT_MIN, RETRY_HINT_MAX),
    }
}
