//! Quotas of teams. Each entry VM enforces an equal share of every quota.

use std::time::Duration;

use filbertpitch_config::spec::TeamSpec;
use filbertpitch_types::prelude::*;
use typed_index_collections::TiVec;

use crate::entity::TeamIndex;

/// After a pause, a team may make as many starts at once as its start rate permits in this period.
/// A job starts many tasks at the same time, so a bucket that holds a single token would delay
/// every job.
const START_BURST_PERIOD: Duration = Duration::from_millis(250);

/// The units of a token: a bucket gains one unit per microsecond for each start per second.
const UNITS_PER_TOKEN: u64 = 1_000_000;

/// A token bucket that limits the starts of a team.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    /// The starts per second.
    rate: u64,
    /// The available tokens, in units of [`UNITS_PER_TOKEN`].
    units: u64,
    refilled: TimePoint,
}

impl TokenBucket {
    fn full(rate: u64) -> Self {
        let mut bucket = Self {
            rate,
            units: 0,
            refilled: TimePoint(0),
        };
        bucket.units = bucket.capacity();
        bucket
    }

    fn capacity(&self) -> u64 {
        let burst = START_BURST_PERIOD.as_micros() as u64;
        self.rate.saturating_mul(burst).max(UNITS_PER_TOKEN)
    }

    fn refill(&mut self, now: TimePoint) {
        let elapsed = now.since(self.refilled).as_micros() as u64;
        let added = self.rate.saturating_mul(elapsed);
        self.units = self.units.saturating_add(added).min(self.capacity());
        self.refilled = self.refilled.max(now);
    }

    /// The time at which a token is available, not before `now`.
    fn next_token(mut self, now: TimePoint) -> TimePoint {
        self.refill(now);
        let missing = UNITS_PER_TOKEN.saturating_sub(self.units);
        now + Duration::from_micros(missing.div_ceil(self.rate))
    }
}

#[derive(Clone, Debug, Default)]
struct TeamUsage {
    spec: TeamSpec,
    running: u32,
    bucket: Option<TokenBucket>,
}

/// The quotas of all teams for running tasks, queued tasks and the start rate.
#[derive(Clone, Debug)]
pub struct TeamQuota {
    teams: TiVec<TeamIndex, TeamUsage>,
    entry_vms: u32,
}

impl Default for TeamQuota {
    fn default() -> Self {
        Self {
            teams: TiVec::new(),
            entry_vms: 1,
        }
    }
}

impl TeamQuota {
    /// Sets the quotas of a team, which apply to all entry VMs together.
    pub fn configure(&mut self, now: TimePoint, team: TeamIndex, spec: &TeamSpec) {
        let entry_vms = self.entry_vms;
        let usage = self.usage_mut(team);
        usage.spec = spec.clone();
        usage.divide_rate(now, entry_vms);
    }

    /// Sets the number of live entry VMs that share the quotas; zero counts as one.
    pub fn set_entry_vms(&mut self, now: TimePoint, count: u32) {
        self.entry_vms = count.max(1);
        for usage in &mut self.teams {
            usage.divide_rate(now, self.entry_vms);
        }
    }

    /// The number of the team's tasks that this VM may queue; `None` without a limit.
    pub fn queued_limit(&self, team: TeamIndex) -> Option<u32> {
        let limit = self.teams.get(team)?.spec.max_queued?;
        Some(self.share(limit))
    }

    /// The number of the team's tasks that this VM may run at a time; `None` without a limit.
    pub fn running_limit(&self, team: TeamIndex) -> Option<u32> {
        let limit = self.teams.get(team)?.spec.max_running?;
        Some(self.share(limit))
    }

    /// The number of running tasks of the team that this VM started.
    pub fn running(&self, team: TeamIndex) -> u32 {
        self.teams.get(team).map_or(0, |usage| usage.running)
    }

    /// Whether `tasks` more tasks of a team may be queued when `queued` tasks are queued already.
    pub fn may_queue(&self, team: TeamIndex, queued: usize, tasks: usize) -> bool {
        self.queued_limit(team)
            .is_none_or(|limit| queued.saturating_add(tasks) <= limit as usize)
    }

    /// Whether a task of the team may start now.
    pub fn may_start(&self, now: TimePoint, team: TeamIndex) -> bool {
        let below_running = self
            .running_limit(team)
            .is_none_or(|limit| self.running(team) < limit);
        below_running && self.next_start(now, team) <= now
    }

    /// The time at which the start rate permits the team's next start, not before `now`.
    pub fn next_start(&self, now: TimePoint, team: TeamIndex) -> TimePoint {
        let bucket = self.teams.get(team).and_then(|usage| usage.bucket);
        bucket.map_or(now, |bucket| bucket.next_token(now))
    }

    /// Records a start, which takes a token and counts as running.
    pub fn record_start(&mut self, now: TimePoint, team: TeamIndex) {
        let usage = self.usage_mut(team);
        usage.running += 1;
        if let Some(bucket) = &mut usage.bucket {
            bucket.refill(now);
            bucket.units = bucket.units.saturating_sub(UNITS_PER_TOKEN);
        }
    }

    /// Records the end of a task that was started.
    pub fn record_end(&mut self, team: TeamIndex) {
        let usage = self.usage_mut(team);
        debug_assert!(usage.running > 0, "an end was recorded without a start");
        usage.running = usage.running.saturating_sub(1);
    }

    /// This VM's share of a quota, rounded up so that a small quota does not become zero.
    fn share(&self, limit: u32) -> u32 {
        limit.div_ceil(self.entry_vms).max(1)
    }

    fn usage_mut(&mut self, team: TeamIndex) -> &mut TeamUsage {
        let needed = usize::from(team) + 1;
        if self.teams.len() < needed {
            self.teams.resize_with(needed, TeamUsage::default);
        }
        &mut self.teams[team]
    }
}

impl TeamUsage {
    /// Sets the rate of the token bucket to this VM's share of the start rate.
    fn divide_rate(&mut self, now: TimePoint, entry_vms: u32) {
        let Some(TaskRate(rate)) = self.spec.start_rate else {
            self.bucket = None;
            return;
        };
        let rate = u64::from(rate.get().div_ceil(entry_vms));
        let bucket = self.bucket.get_or_insert(TokenBucket::full(rate));
        bucket.refill(now);
        bucket.rate = rate;
        bucket.units = bucket.units.min(bucket.capacity());
    }
}
