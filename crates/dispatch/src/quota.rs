//! Quotas of teams, enforced by each entry VM for its part.

use std::time::Duration;

use filbertpitch_config::spec::TeamSpec;
use filbertpitch_types::prelude::*;
use typed_index_collections::TiVec;

use crate::entity::TeamIndex;

/// How much of the start rate may be used at once after a pause. Jobs fan out into many tasks at
/// the same time, so a bucket of a single task would delay every job.
const START_BURST: Duration = Duration::from_millis(250);

/// Token fractions per token: one per microsecond and start per second.
const UNITS_PER_TOKEN: u64 = 1_000_000;

/// Limits starts to a rate, with a burst.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    rate: u64,
    tokens: u64,
    refilled: TimePoint,
}

impl TokenBucket {
    fn full(rate: u64) -> Self {
        let mut bucket = Self {
            rate,
            tokens: 0,
            refilled: TimePoint(0),
        };
        bucket.tokens = bucket.capacity();
        bucket
    }

    fn capacity(&self) -> u64 {
        let burst = START_BURST.as_micros() as u64;
        self.rate.saturating_mul(burst).max(UNITS_PER_TOKEN)
    }

    fn refill(&mut self, now: TimePoint) {
        let elapsed = now.since(self.refilled).as_micros() as u64;
        let added = self.rate.saturating_mul(elapsed);
        self.tokens = self.tokens.saturating_add(added).min(self.capacity());
        self.refilled = self.refilled.max(now);
    }

    /// When the next token is available, at the earliest `now`.
    fn next_token(mut self, now: TimePoint) -> TimePoint {
        self.refill(now);
        let missing = UNITS_PER_TOKEN.saturating_sub(self.tokens);
        now + Duration::from_micros(missing.div_ceil(self.rate))
    }
}

#[derive(Clone, Debug, Default)]
struct TeamUsage {
    spec: TeamSpec,
    running: u32,
    bucket: Option<TokenBucket>,
}

/// Running, queued and start-rate quotas of all teams.
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
    /// Sets a team's quotas over all entry VMs.
    pub fn configure(&mut self, now: TimePoint, team: TeamIndex, spec: &TeamSpec) {
        let entry_vms = self.entry_vms;
        let usage = self.usage_mut(team);
        usage.spec = spec.clone();
        usage.divide_rate(now, entry_vms);
    }

    /// Sets how many live entry VMs share the quotas; zero counts as one.
    pub fn set_entry_vms(&mut self, now: TimePoint, count: u32) {
        self.entry_vms = count.max(1);
        for usage in &mut self.teams {
            usage.divide_rate(now, self.entry_vms);
        }
    }

    /// How many tasks of the team this VM may queue, if that is limited.
    pub fn queued_limit(&self, team: TeamIndex) -> Option<u32> {
        let limit = self.teams.get(team)?.spec.max_queued?;
        Some(self.share(limit))
    }

    /// How many tasks of the team this VM may run at once, if that is limited.
    pub fn running_limit(&self, team: TeamIndex) -> Option<u32> {
        let limit = self.teams.get(team)?.spec.max_running?;
        Some(self.share(limit))
    }

    /// How many tasks of the team run now.
    pub fn running(&self, team: TeamIndex) -> u32 {
        self.teams.get(team).map_or(0, |usage| usage.running)
    }

    /// Whether `tasks` more tasks of a team may wait beside `queued` waiting ones.
    pub fn may_queue(&self, team: TeamIndex, queued: usize, tasks: usize) -> bool {
        self.queued_limit(team)
            .is_none_or(|limit| queued.saturating_add(tasks) <= limit as usize)
    }

    /// Whether a task of the team may start now.
    pub fn may_start(&self, now: TimePoint, team: TeamIndex) -> bool {
        let below_running = self
            .running_limit(team)
            .is_none_or(|it| self.running(team) < it);
        below_running && self.next_start(now, team) <= now
    }

    /// When the start rate next permits a start, at the earliest `now`.
    pub fn next_start(&self, now: TimePoint, team: TeamIndex) -> TimePoint {
        let bucket = self.teams.get(team).and_then(|usage| usage.bucket);
        bucket.map_or(now, |bucket| bucket.next_token(now))
    }

    /// Counts a start.
    pub fn record_start(&mut self, now: TimePoint, team: TeamIndex) {
        let usage = self.usage_mut(team);
        usage.running += 1;
        if let Some(bucket) = &mut usage.bucket {
            bucket.refill(now);
            bucket.tokens = bucket.tokens.saturating_sub(UNITS_PER_TOKEN);
        }
    }

    /// Counts the end of a started task.
    pub fn record_end(&mut self, team: TeamIndex) {
        let usage = self.usage_mut(team);
        debug_assert!(usage.running > 0, "a task ended that did not start");
        usage.running = usage.running.saturating_sub(1);
    }

    /// This VM's part, rounded up so that a small quota does not become zero.
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
    fn divide_rate(&mut self, now: TimePoint, entry_vms: u32) {
        let Some(TaskRate(rate)) = self.spec.start_rate else {
            self.bucket = None;
            return;
        };
        let rate = u64::from(rate.get().div_ceil(entry_vms));
        let bucket = self.bucket.get_or_insert(TokenBucket::full(rate));
        bucket.refill(now);
        bucket.rate = rate;
        bucket.tokens = bucket.tokens.min(bucket.capacity());
    }
}
