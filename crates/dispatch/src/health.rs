//! Ejects targets that fail far more often than their peers, and probes them until they recover.
//!
//! Comparing with peers keeps a faulty kind of work or a failing dependency, which affects every
//! target alike, from ejecting all of them.

use std::collections::HashMap;
use std::time::Duration;

use filbertpitch_types::prelude::*;
use typed_index_collections::TiVec;

use crate::catalog::ConfigCatalog;
use crate::entity::{ServiceIndex, TargetIndex};
use crate::placement::TargetGate;
use crate::timer::TimerQueue;

/// The parameters of target health.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthSettings {
    /// The time in which the weight of a result halves.
    pub half_life: Duration,
    /// The recent results that a target needs before it is compared.
    pub min_results: f64,
    /// How far the failure ratio must be above the median of the service.
    pub ratio_margin: f64,
    /// The failure ratio must also be this many times the median.
    pub ratio_factor: f64,
    /// The unreachable results in a row that eject a target.
    pub unreachable_limit: u32,
    /// The largest part of a service's targets that may be ejected at a time, in percent.
    pub ejected_percent: usize,
    /// The time from the first ejection to the first probe; doubles up to `backoff_limit`.
    pub backoff: Duration,
    /// The longest time from an ejection to a probe.
    pub backoff_limit: Duration,
    /// The successful probes that reinstate a target.
    pub probe_successes: u32,
    /// How long the median of a service is reused; sorting all ratios on every failure would cost
    /// too much with thousands of targets.
    pub median_ttl: Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            half_life: Duration::from_secs(5),
            min_results: 8.0,
            ratio_margin: 0.3,
            ratio_factor: 3.0,
            unreachable_limit: 3,
            ejected_percent: 30,
            backoff: Duration::from_secs(1),
            backoff_limit: Duration::from_secs(30),
            probe_successes: 3,
            median_ttl: Duration::from_millis(100),
        }
    }
}

/// What an attempt or a check says about its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthResult {
    /// The target did what it was asked.
    Succeeded,
    /// The target reported an error, or ended the attempt on its own.
    Failed,
    /// The connection was refused, or a check failed.
    Unreachable,
    /// The caller caused the end, for example by a cancellation. It does not count.
    Neutral,
}

/// One result of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResultRecord {
    /// The target.
    pub target: TargetIndex,
    /// The service whose task gave the result.
    pub service: ServiceIndex,
    /// The result.
    pub result: HealthResult,
    /// Whether the attempt was a probe. Other results say nothing about recovery.
    pub probe: bool,
}

/// Why a target was ejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EjectionCause {
    /// It fails far more often than its peers.
    Outlier {
        /// Its failure ratio.
        ratio: f64,
        /// The median of the service.
        median: f64,
    },
    /// It could not be reached several times in a row.
    Unreachable,
    /// A probe failed.
    ProbeFailed,
}

/// A change of a target's health, for logs and for the placement gates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HealthEvent {
    /// The target gets no work until it is probed.
    Ejected {
        /// The target.
        target: TargetIndex,
        /// Why.
        cause: EjectionCause,
        /// When probing starts.
        probe_at: TimePoint,
    },
    /// The target gets one repeatable task at a time.
    Probing {
        /// The target.
        target: TargetIndex,
    },
    /// The target gets any work again.
    Reinstated {
        /// The target.
        target: TargetIndex,
    },
    /// The target is leaving.
    Leaving {
        /// The target.
        target: TargetIndex,
    },
}

/// Whether a target gets work, for status.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HealthState {
    /// It gets any work.
    Open,
    /// It gets no work until it is probed.
    Ejected {
        /// Why.
        cause: EjectionCause,
        /// When probing starts.
        probe_at: TimePoint,
    },
    /// It gets one repeatable task at a time.
    Probing {
        /// The probes that succeeded.
        successes: u32,
        /// The successful probes that reinstate it.
        needed: u32,
    },
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum HealthPhase {
    #[default]
    Open,
    Ejected {
        since: TimePoint,
        probe_at: TimePoint,
        cause: EjectionCause,
    },
    Probing {
        since: TimePoint,
        successes: u32,
    },
}

/// Results whose weight decays with time.
#[derive(Clone, Copy, Debug, Default)]
struct ResultWindow {
    results: f64,
    failures: f64,
    updated: TimePoint,
}

impl ResultWindow {
    fn decayed(&self, now: TimePoint, half_life: Duration) -> Self {
        let halvings = now.since(self.updated).as_secs_f64() / half_life.as_secs_f64();
        let weight = (-halvings).exp2();
        Self {
            results: self.results * weight,
            failures: self.failures * weight,
            updated: now,
        }
    }

    fn add(&mut self, now: TimePoint, failed: bool, half_life: Duration) {
        *self = self.decayed(now, half_life);
        self.results += 1.0;
        self.failures += f64::from(u8::from(failed));
    }

    /// The failure ratio, if there are enough recent results.
    fn ratio(&self, now: TimePoint, settings: &HealthSettings) -> Option<f64> {
        let window = self.decayed(now, settings.half_life);
        (window.results >= settings.min_results).then(|| window.failures / window.results)
    }
}

#[derive(Clone, Debug, Default)]
struct TargetHealth {
    phase: HealthPhase,
    windows: HashMap<ServiceIndex, ResultWindow>,
    services: Vec<ServiceIndex>,
    unreachable_streak: u32,
    backoff: Duration,
    reinstated_at: Option<TimePoint>,
    leaving: bool,
}

impl TargetHealth {
    fn is_open(&self) -> bool {
        self.phase == HealthPhase::Open
    }
}

#[derive(Clone, Debug, Default)]
struct ServiceHealth {
    targets: Vec<TargetIndex>,
    ejected: usize,
    median: Option<(TimePoint, Option<f64>)>,
}

impl ServiceHealth {
    /// How many targets may be ejected at a time.
    fn ejection_limit(&self, settings: &HealthSettings) -> usize {
        let count = self.targets.len();
        let share = count * settings.ejected_percent / 100;
        share.max(usize::from(count >= 3))
    }
}

/// The health of all targets.
#[derive(Debug)]
pub struct HealthTable {
    settings: HealthSettings,
    targets: TiVec<TargetIndex, TargetHealth>,
    services: HashMap<ServiceIndex, ServiceHealth>,
    timers: TimerQueue<TargetIndex>,
    events: Vec<HealthEvent>,
}

impl HealthTable {
    /// A table without targets.
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            settings,
            targets: TiVec::new(),
            services: HashMap::new(),
            timers: TimerQueue::default(),
            events: Vec::new(),
        }
    }

    /// Takes over a configuration. Targets that stay keep their state, unless more of a service's
    /// targets would be ejected than allowed.
    pub fn install(&mut self, catalog: &ConfigCatalog) {
        self.services.clear();
        for health in &mut self.targets {
            health.services.clear();
        }
        for (target, entry) in catalog.targets() {
            let length = usize::from(target) + 1;
            if self.targets.len() < length {
                self.targets.resize(length, TargetHealth::default());
            }
            for name in entry.spec.takes.keys() {
                if let Some(service) = catalog.service_index(name) {
                    self.add_target(target, service);
                }
            }
        }
        for health in &mut self.targets {
            if health.services.is_empty() {
                *health = TargetHealth::default();
            }
        }
        self.enforce_limits();
    }

    fn add_target(&mut self, target: TargetIndex, service: ServiceIndex) {
        let health = &mut self.targets[target];
        health.services.push(service);
        let entry = self.services.entry(service).or_default();
        entry.targets.push(target);
        entry.ejected += usize::from(!health.is_open());
    }

    /// Reinstates the targets that were ejected first where a service has too many.
    fn enforce_limits(&mut self) {
        let mut services = self.services.keys().copied().collect::<Vec<_>>();
        services.sort_unstable();
        for service in services {
            while self.services[&service].ejected
                > self.services[&service].ejection_limit(&self.settings)
            {
                let oldest = self.oldest_ejected(service).expect("ejected targets exist");
                self.reinstate(oldest);
            }
        }
    }

    fn oldest_ejected(&self, service: ServiceIndex) -> Option<TargetIndex> {
        let since = |target: &TargetIndex| match self.targets[*target].phase {
            HealthPhase::Open => None,
            HealthPhase::Ejected { since, .. } | HealthPhase::Probing { since, .. } => Some(since),
        };
        let targets = self.services[&service].targets.iter().copied();
        targets
            .filter(|target| since(target).is_some())
            .min_by_key(since)
    }

    /// Takes over a result.
    pub fn record(&mut self, now: TimePoint, record: ResultRecord) {
        let ResultRecord { target, result, .. } = record;
        if result == HealthResult::Neutral || self.targets.get(target).is_none() {
            return;
        }
        let failed = result != HealthResult::Succeeded;
        let health = &mut self.targets[target];
        health.unreachable_streak = match result {
            HealthResult::Unreachable => health.unreachable_streak + 1,
            _ => 0,
        };
        let window = health.windows.entry(record.service).or_default();
        window.add(now, failed, self.settings.half_life);
        match health.phase {
            HealthPhase::Open if failed => self.evaluate_failure(now, record),
            HealthPhase::Probing { since, successes } if record.probe => match failed {
                true => self.fail_probe(now, target, since),
                false => self.pass_probe(now, target, since, successes + 1),
            },
            _ => {}
        }
    }

    /// Decides whether a failed result ejects the target.
    fn evaluate_failure(&mut self, now: TimePoint, record: ResultRecord) {
        let target = record.target;
        let Some(cause) = self.ejection_cause(now, record) else {
            return;
        };
        let health = &self.targets[target];
        let mut services = health.services.iter().map(|index| &self.services[index]);
        let allowed =
            services.all(|service| service.ejected < service.ejection_limit(&self.settings));
        if allowed && !health.services.is_empty() {
            self.eject(now, target, cause);
        }
    }

    fn ejection_cause(&mut self, now: TimePoint, record: ResultRecord) -> Option<EjectionCause> {
        let health = &self.targets[record.target];
        if health.unreachable_streak >= self.settings.unreachable_limit {
            return Some(EjectionCause::Unreachable);
        }
        let window = health.windows.get(&record.service)?;
        let ratio = window.ratio(now, &self.settings)?;
        // A cheap bound: without it every failure would need the median.
        if ratio < self.settings.ratio_margin {
            return None;
        }
        let median = self.median(now, record.service)?;
        let threshold =
            (median + self.settings.ratio_margin).max(median * self.settings.ratio_factor);
        // A median above a third needs a factor that no ratio can reach; the margin alone counts.
        let threshold = match threshold > 1.0 {
            true => median + self.settings.ratio_margin,
            false => threshold,
        };
        (ratio >= threshold).then_some(EjectionCause::Outlier { ratio, median })
    }

    /// The median failure ratio of a service, if at least three targets can be compared.
    fn median(&mut self, now: TimePoint, service: ServiceIndex) -> Option<f64> {
        let entry = self.services.get(&service)?;
        if let Some((at, median)) = entry.median
            && median.is_some()
            && now.since(at) < self.settings.median_ttl
        {
            return median;
        }
        let median = self.compute_median(now, service);
        self.services.get_mut(&service)?.median = Some((now, median));
        median
    }

    fn compute_median(&self, now: TimePoint, service: ServiceIndex) -> Option<f64> {
        let targets = self.services[&service].targets.iter();
        let windows = targets.filter_map(|&target| self.targets[target].windows.get(&service));
        let mut ratios = windows
            .filter_map(|window| window.ratio(now, &self.settings))
            .collect::<Vec<_>>();
        if ratios.len() < 3 {
            return None;
        }
        let middle = ratios.len() / 2;
        let (_, median, _) = ratios.select_nth_unstable_by(middle, f64::total_cmp);
        Some(*median)
    }

    fn eject(&mut self, now: TimePoint, target: TargetIndex, cause: EjectionCause) {
        let settings = &self.settings;
        let health = &mut self.targets[target];
        let relapsed = health
            .reinstated_at
            .is_some_and(|at| now.since(at) < settings.backoff_limit);
        health.backoff = match relapsed {
            true => (health.backoff * 2).clamp(settings.backoff, settings.backoff_limit),
            false => settings.backoff,
        };
        for service in &health.services {
            if let Some(entry) = self.services.get_mut(service) {
                entry.ejected += 1;
            }
        }
        self.await_probe(now, target, now, cause);
    }

    fn await_probe(
        &mut self,
        now: TimePoint,
        target: TargetIndex,
        since: TimePoint,
        cause: EjectionCause,
    ) {
        let health = &mut self.targets[target];
        let probe_at = now + health.backoff;
        health.phase = HealthPhase::Ejected {
            since,
            probe_at,
            cause,
        };
        self.timers.schedule(probe_at, target);
        self.events.push(HealthEvent::Ejected {
            target,
            cause,
            probe_at,
        });
    }

    fn fail_probe(&mut self, now: TimePoint, target: TargetIndex, since: TimePoint) {
        let health = &mut self.targets[target];
        health.backoff = (health.backoff * 2).min(self.settings.backoff_limit);
        self.await_probe(now, target, since, EjectionCause::ProbeFailed);
    }

    fn pass_probe(
        &mut self,
        now: TimePoint,
        target: TargetIndex,
        since: TimePoint,
        successes: u32,
    ) {
        if successes < self.settings.probe_successes {
            self.targets[target].phase = HealthPhase::Probing { since, successes };
            return;
        }
        self.targets[target].reinstated_at = Some(now);
        self.reinstate(target);
    }

    fn reinstate(&mut self, target: TargetIndex) {
        let health = &mut self.targets[target];
        health.phase = HealthPhase::Open;
        health.unreachable_streak = 0;
        // The old failures would eject the target again on its next one.
        health.windows.clear();
        for service in &health.services {
            if let Some(entry) = self.services.get_mut(service) {
                entry.ejected -= 1;
            }
        }
        self.events.push(HealthEvent::Reinstated { target });
    }

    /// Starts probing the targets whose back-off is over.
    pub fn advance(&mut self, now: TimePoint) {
        while let Some(target) = self.timers.pop_due(now) {
            let health = &mut self.targets[target];
            if let HealthPhase::Ejected {
                since, probe_at, ..
            } = health.phase
                && probe_at <= now
            {
                health.phase = HealthPhase::Probing {
                    since,
                    successes: 0,
                };
                self.events.push(HealthEvent::Probing { target });
            }
        }
    }

    /// When [`Self::advance`] has something to do.
    pub fn next_due(&self) -> Option<TimePoint> {
        self.timers.next_due()
    }

    /// Records whether a target is leaving, for the notice.
    pub fn set_leaving(&mut self, target: TargetIndex, leaving: bool) {
        let Some(health) = self.targets.get_mut(target) else {
            return;
        };
        if leaving && !health.leaving {
            self.events.push(HealthEvent::Leaving { target });
        }
        health.leaving = leaving;
    }

    /// Which work a target takes.
    pub fn gate(&self, target: TargetIndex) -> TargetGate {
        match self.targets.get(target).map(|health| health.phase) {
            None | Some(HealthPhase::Open) => TargetGate::Open,
            Some(HealthPhase::Ejected { .. }) => TargetGate::Closed,
            Some(HealthPhase::Probing { .. }) => TargetGate::Probe,
        }
    }

    /// Whether a target gets work.
    pub fn state(&self, target: TargetIndex) -> HealthState {
        match self.targets.get(target).map(|health| health.phase) {
            None | Some(HealthPhase::Open) => HealthState::Open,
            Some(HealthPhase::Ejected {
                cause, probe_at, ..
            }) => HealthState::Ejected { cause, probe_at },
            Some(HealthPhase::Probing { successes, .. }) => HealthState::Probing {
                successes,
                needed: self.settings.probe_successes,
            },
        }
    }

    /// How many targets of a service are ejected or probed.
    pub fn ejected(&self, service: ServiceIndex) -> usize {
        self.services.get(&service).map_or(0, |entry| entry.ejected)
    }

    /// Takes the changes since the last call.
    pub fn take_events(&mut self) -> Vec<HealthEvent> {
        std::mem::take(&mut self.events)
    }
}
