//! Admission control: accepts or rejects a job before any of its tasks is queued.
//!
//! Under overload the queue must stay long enough to keep all slots busy, and short enough that
//! accepted jobs meet their deadlines and that response times recover soon after the peak. Jobs
//! beyond that are rejected at once, while it is certain that none of their tasks has run.

use std::time::Duration;

use filbertpitch_types::prelude::*;

use crate::entity::TeamIndex;
use crate::estimate::RunPrediction;
use crate::queue::TeamLoad;
use crate::quota::TeamQuota;

/// The time for which a team must have been backlogged before its service rate is used. The rate
/// is measured over one second.
const RATE_WARMUP: Duration = Duration::from_secs(1);

/// The smallest number of popped tasks for which a service rate is used.
const RATE_SAMPLES: u32 = 16;

/// Apart from trials, a job is accepted only if its predicted completion takes at most this fraction
/// of the time until the job's deadline. A job that misses its deadline after some of its tasks ran
/// has wasted their slots, which costs more than the rejection of a job that would have met its
/// deadline by a small margin.
const USABLE_DEADLINE_SHARE: f64 = 0.75;

/// The limit of the queueing delay as a multiple of the run time of the job's longest task. The
/// greater of this limit and [`AdmissionSettings::wait_limit`] applies.
const WAIT_LIMIT_RUNS: u32 = 1;

/// The shortest time between two trials: jobs that are accepted on idle slots although they are
/// predicted to run past their deadlines. Without trials, a run time that was learned during a
/// disturbance would never be corrected.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);

/// The shortest `retry_after` of a rejection.
const RETRY_HINT_MIN: Duration = Duration::from_millis(100);

/// The longest `retry_after` of a rejection.
const RETRY_HINT_MAX: Duration = Duration::from_secs(5);

/// The limits that admission enforces on the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// The largest number of queued tasks of all teams.
    pub queued_tasks: usize,
    /// The longest predicted queueing delay of an accepted job, unless one of its tasks runs longer
    /// than that. The limit bounds how long response times stay high after a peak: at 70% load, a
    /// queue of 500 ms drains in 1.7 s.
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

/// The slots of one pool of targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotCapacity {
    /// The number of slots that this VM may use.
    pub slots: u32,
    /// The number of these slots that are free.
    pub free: u32,
}

/// The tasks of a job that compete for the slots of one pool of targets, and the state of that
/// pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolDemand {
    /// The sum of the tasks' predicted run times, without kinds that have not been measured.
    pub work: Duration,
    /// The longest of these run times.
    pub longest: Duration,
    /// The queued work that is served first, from
    /// [`FairQueue::work_ahead_among`](crate::queue::FairQueue::work_ahead_among).
    pub work_ahead: Duration,
    /// The team's backlog and service rate in this pool, from
    /// [`FairQueue::team_load`](crate::queue::FairQueue::team_load).
    pub load: TeamLoad,
    /// The slots of the pool.
    pub capacity: SlotCapacity,
}

impl PoolDemand {
    /// Adds the predicted run time of a task if it rests on measurements. Declared run times alone
    /// must not cause a rejection: they may be wrong by two orders of magnitude, and a kind whose
    /// jobs are all rejected is never measured.
    pub fn add(&mut self, prediction: &RunPrediction) {
        if prediction.learned {
            self.work += prediction.expected;
            self.longest = self.longest.max(prediction.expected);
        }
    }
}

/// The demand of a job, as input to the admission decision.
#[derive(Clone, Copy, Debug)]
pub struct JobDemand<'a> {
    /// The team that submitted the job.
    pub team: TeamIndex,
    /// The number of tasks of the job.
    pub tasks: usize,
    /// The time by which the job must be complete.
    pub deadline: TimePoint,
    /// The job's tasks, grouped by the pool of targets that can run them.
    pub pools: &'a [PoolDemand],
}

/// The number of queued tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueDepth {
    /// The queued tasks of all teams.
    pub total: usize,
    /// The queued tasks of the job's team.
    pub team: usize,
}

/// The admission decision about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// All tasks of the job are queued.
    Accept,
    /// No task of the job is queued.
    Reject {
        /// Why the job is rejected.
        reason: NotRunReason,
        /// The time after which a resubmission may be accepted.
        retry_after: Duration,
    },
}

/// The predicted service of one pool's tasks, as times from now.
#[derive(Clone, Copy, Debug)]
struct ServiceForecast {
    /// The time until the slots have served the work ahead.
    wait: Duration,
    /// The time until all tasks are complete.
    finish: Duration,
}

/// Accepts the jobs that can be served before their deadlines within the limits of the queue.
#[derive(Clone, Debug, Default)]
pub struct AdmissionPolicy {
    settings: AdmissionSettings,
    last_trial: Option<TimePoint>,
}

impl AdmissionPolicy {
    /// Creates a policy with these limits.
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

    /// Accepts or rejects a job as a whole. `depth` is the length of the queue before the job.
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

    /// Whether the queue has space for `tasks` more tasks of the team. A team may occupy at most
    /// twice the space that is left, so that space remains for other teams however many teams try
    /// to fill the queue.
    fn fits_queue(&self, tasks: usize, depth: QueueDepth) -> bool {
        let space = self.settings.queued_tasks.saturating_sub(depth.total);
        tasks <= space && depth.team + tasks <= space.saturating_mul(2)
    }

    fn wait_limit(&self, pools: &[PoolDemand]) -> Duration {
        let longest = pools
            .iter()
            .map(|pool| pool.longest)
            .max()
            .unwrap_or_default();
        self.settings.wait_limit.max(longest * WAIT_LIMIT_RUNS)
    }

    /// Whether a job that would miss its deadline only because of its own predicted run time is
    /// accepted as a trial: its pools have free slots, nothing is ahead of it, and the last trial
    /// is at least [`TRIAL_INTERVAL`] old.
    fn take_trial(&mut self, now: TimePoint, pools: &[PoolDemand], wait: Duration) -> bool {
        let idle = wait.is_zero() && pools.iter().all(|pool| pool.capacity.free > 0);
        let due = self
            .last_trial
            .is_none_or(|last| now.since(last) >= TRIAL_INTERVAL);
        if idle && due {
            self.last_trial = Some(now);
        }
        idle && due
    }
}

fn forecast(pool: &PoolDemand) -> ServiceForecast {
    let nominal = forecast_by_slots(pool);
    let observed = forecast_by_rate(pool);
    ServiceForecast {
        wait: nominal.wait.max(observed.wait),
        finish: nominal.finish.max(observed.finish),
    }
}

/// Predicts service under the assumption that all slots serve the queue. Without slots, the
/// waiting time is taken as zero, so that the job is queued until a target returns.
fn forecast_by_slots(pool: &PoolDemand) -> ServiceForecast {
    let slots = pool.capacity.slots;
    let until = |work: Duration| {
        if slots == 0 {
            Duration::ZERO
        } else {
            work / slots
        }
    };
    let before_last = pool.work.saturating_sub(pool.longest);
    ServiceForecast {
        wait: until(pool.work_ahead),
        finish: until(pool.work_ahead + before_last) + pool.longest,
    }
}

/// Predicts service from the rate at which the team has been served while it was backlogged. The
/// number of slots does not account for the demand of other teams, for unavailable slots or for
/// mispredicted run times; this rate does.
fn forecast_by_rate(pool: &PoolDemand) -> ServiceForecast {
    let load = &pool.load;
    let rate = load.served_per_second.as_secs_f64();
    let trusted = load.backlogged_for >= RATE_WARMUP && load.samples >= RATE_SAMPLES && rate > 0.0;
    if !trusted {
        return ServiceForecast {
            wait: Duration::ZERO,
            finish: Duration::ZERO,
        };
    }
    let before_last = pool.work.saturating_sub(pool.longest);
    ServiceForecast {
        wait: load.work.div_f64(rate),
        finish: (load.work + before_last).div_f64(rate) + pool.longest,
    }
}

fn reject(reason: NotRunReason, hint: Duration) -> AdmissionDecision {
    AdmissionDecision::Reject {
        reason,
        retry_after: hint.clamp(RETRY_HINT_MIN, RETRY_HINT_MAX),
    }
}
