//! Outlier detection: ejects targets that fail far more often than the other targets of a service,
//! and probes them until they recover.
//!
//! A faulty kind of work or a failing dependency affects all targets of a service alike. The
//! comparison with the other targets keeps such a fault from ejecting all of them.

use std::collections::HashMap;
use std::time::Duration;

use filbertpitch_types::prelude::*;
use typed_index_collections::TiVec;

use crate::catalog::ConfigCatalog;
use crate::entity::{ServiceIndex, TargetIndex};
use crate::placement::TargetGate;
use crate::timer::TimerService;

/// The parameters of outlier detection.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthSettings {
    /// The time in which the weight of a recorded result decays to half.
    pub half_life: Duration,
    /// The failure ratio of a target is used only if the weights of its results sum to at least
    /// this number.
    pub min_results: f64,
    /// An outlier's failure ratio exceeds the median ratio of the service's targets by at least
    /// this difference.
    pub ratio_margin: f64,
    /// An outlier's failure ratio is at least this multiple of the median ratio.
    pub ratio_factor: f64,
    /// The number of consecutive [`HealthResult::Unreachable`] results that ejects a target.
    pub unreachable_limit: u32,
    /// The largest share of a service's targets that may be ejected at a time, in percent.
    pub ejected_percent: usize,
    /// The time from an ejection to the first probe. The back-off doubles, up to `backoff_limit`,
    /// after a failed probe and when a target is ejected again soon after its reinstatement.
    pub backoff: Duration,
    /// The longest time from an ejection or a failed probe to the next probe. An ejection within
    /// this time of the last reinstatement also doubles the back-off.
    pub backoff_limit: Duration,
    /// The number of successful probes that reinstates a target.
    pub probe_successes: u32,
    /// How long the computed median of a service is reused. Computing it from all ratios on every
    /// failure would cost too much with thousands of targets.
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

/// The result of an attempt or a check as an indication of the target's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthResult {
    /// The target did what was requested.
    Succeeded,
    /// The target reported an error, or ended the attempt without a request.
    Failed,
    /// The connection was refused, or a check failed.
    Unreachable,
    /// The caller caused the end, for example by a cancellation. The result is ignored.
    Neutral,
}

/// A target's result for one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResultRecord {
    /// The target that the result is about.
    pub target: TargetIndex,
    /// The service whose task gave the result.
    pub service: ServiceIndex,
    /// The result.
    pub result: HealthResult,
    /// Whether the attempt was a probe. Only probes count for the recovery of an ejected target.
    pub probe: bool,
}

/// Why a target was ejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EjectionCause {
    /// The target fails far more often than the other targets of the service.
    Outlier {
        /// The failure ratio of the target.
        ratio: f64,
        /// The median failure ratio of the service's targets.
        median: f64,
    },
    /// The target could not be reached [`HealthSettings::unreachable_limit`] times in a row.
    Unreachable,
    /// A probe failed.
    ProbeFailed,
}

/// A change of a target's health.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HealthEvent {
    /// The target was ejected, or a probe of the ejected target failed. The target gets no work
    /// until
    /// `probe_at`.
    Ejected {
        /// The target.
        target: TargetIndex,
        /// Why the target was ejected.
        cause: EjectionCause,
        /// The time at which probing starts.
        probe_at: TimePoint,
    },
    /// Probing starts: the target gets one repeatable task at a time.
    Probing {
        /// The target.
        target: TargetIndex,
    },
    /// The target was reinstated and gets any work again.
    Reinstated {
        /// The target.
        target: TargetIndex,
    },
    /// The target announced that it is leaving.
    Leaving {
        /// The target.
        target: TargetIndex,
    },
}

/// The health of a target, for status.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HealthState {
    /// The target gets any work.
    Healthy,
    /// The target is ejected and gets no work.
    Ejected {
        /// Why the target was ejected.
        cause: EjectionCause,
        /// The time at which probing starts.
        probe_at: TimePoint,
    },
    /// The target gets one repeatable task at a time.
    Probing {
        /// The number of successful probes so far.
        successes: u32,
        /// The number of successful probes that reinstates the target.
        needed: u32,
    },
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum HealthPhase {
    #[default]
    Healthy,
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

/// The weighted results of one target for one service. The weight of a result decays with time.
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

    /// The failure ratio; `None` if the weights of the results sum to less than
    /// [`HealthSettings::min_results`].
    fn ratio(&self, now: TimePoint, settings: &HealthSettings) -> Option<f64> {
        let window = self.decayed(now, settings.half_life);
        (window.results >= settings.min_results).then(|| window.failures / window.results)
    }
}

#[derive(Clone, Debug, Default)]
struct TargetHealth {
    phase: HealthPhase,
    windows: HashMap<ServiceIndex, ResultWindow>,
    /// The services whose tasks the target runs.
    services: Vec<ServiceIndex>,
    /// The number of consecutive unreachable results up to the latest result.
    unreachable_streak: u32,
    /// The time from the latest ejection or failed probe to the next probe.
    backoff: Duration,
    /// The time of the latest reinstatement by probes.
    reinstated_at: Option<TimePoint>,
    leaving: bool,
}

impl TargetHealth {
    fn is_healthy(&self) -> bool {
        self.phase == HealthPhase::Healthy
    }
}

#[derive(Clone, Debug, Default)]
struct ServiceHealth {
    targets: Vec<TargetIndex>,
    /// The number of targets that are ejected or being probed.
    ejected: usize,
    /// The cached median failure ratio and the time at which it was computed.
    median: Option<(TimePoint, Option<f64>)>,
}

impl ServiceHealth {
    /// The number of targets that may be ejected at a time. With three or more targets, one may be
    /// ejected even if the percentage allows none.
    fn ejection_limit(&self, settings: &HealthSettings) -> usize {
        let count = self.targets.len();
        let share = count * settings.ejected_percent / 100;
        share.max(usize::from(count >= 3))
    }
}

/// Tracks the health of all targets.
#[derive(Debug)]
pub struct HealthTable {
    settings: HealthSettings,
    targets: TiVec<TargetIndex, TargetHealth>,
    services: HashMap<ServiceIndex, ServiceHealth>,
    timers: TimerService<TargetIndex>,
    events: Vec<HealthEvent>,
}

impl HealthTable {
    /// Creates a table without targets.
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            settings,
            targets: TiVec::new(),
            services: HashMap::new(),
            timers: TimerService::default(),
            events: Vec::new(),
        }
    }

    /// Installs a configuration. Targets that remain keep their health, but where more of a
    /// service's targets are ejected than allowed, the excess is reinstated.
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
        entry.ejected += usize::from(!health.is_healthy());
    }

    /// Reinstates the longest-ejected targets of services with more ejected targets than allowed.
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
            HealthPhase::Healthy => None,
            HealthPhase::Ejected { since, .. } | HealthPhase::Probing { since, .. } => Some(since),
        };
        let targets = self.services[&service].targets.iter().copied();
        targets
            .filter(|target| since(target).is_some())
            .min_by_key(since)
    }

    /// Records a result, which may eject or reinstate the target.
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
            HealthPhase::Healthy if failed => self.evaluate_failure(now, record),
            HealthPhase::Probing { since, successes } if record.probe => match failed {
                true => self.fail_probe(now, target, since),
                false => self.pass_probe(now, target, since, successes + 1),
            },
            _ => {}
        }
    }

    /// Ejects the target of a failed result if it is an outlier or unreachable and none of its
    /// services has as many ejected targets as allowed.
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
        // No ratio below the margin can be an outlier, so most failures need no median.
        if ratio < self.settings.ratio_margin {
            return None;
        }
        let median = self.median(now, record.service)?;
        let threshold =
            (median + self.settings.ratio_margin).max(median * self.settings.ratio_factor);
        // With a median above a third, the factor requires a ratio above 1, so only the margin is
        // used.
        let threshold = match threshold > 1.0 {
            true => median + self.settings.ratio_margin,
            false => threshold,
        };
        (ratio >= threshold).then_some(EjectionCause::Outlier { ratio, median })
    }

    /// The median failure ratio of a service; `None` if fewer than three targets have enough
    /// results.
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
        self.timers.subscribe(probe_at, target);
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
        health.phase = HealthPhase::Healthy;
        health.unreachable_streak = 0;
        // With the old failures, the next failure would eject the target again.
        health.windows.clear();
        for service in &health.services {
            if let Some(entry) = self.services.get_mut(service) {
                entry.ejected -= 1;
            }
        }
        self.events.push(HealthEvent::Reinstated { target });
    }

    /// Starts probing the ejected targets whose back-off has ended.
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

    /// The next time at which [`Self::advance`] may start probing a target.
    pub fn next_due(&self) -> Option<TimePoint> {
        self.timers.next_due()
    }

    /// Records whether a target is leaving, and reports the first time that it is.
    pub fn set_leaving(&mut self, target: TargetIndex, leaving: bool) {
        let Some(health) = self.targets.get_mut(target) else {
            return;
        };
        if leaving && !health.leaving {
            self.events.push(HealthEvent::Leaving { target });
        }
        health.leaving = leaving;
    }

    /// Which attempts may start on a target. Unknown targets take any attempt.
    pub fn gate(&self, target: TargetIndex) -> TargetGate {
        match self.targets.get(target).map(|health| health.phase) {
            None | Some(HealthPhase::Healthy) => TargetGate::AllAttempts,
            Some(HealthPhase::Ejected { .. }) => TargetGate::NoAttempts,
            Some(HealthPhase::Probing { .. }) => TargetGate::ProbeOnly,
        }
    }

    /// The health of a target. Unknown targets are healthy.
    pub fn state(&self, target: TargetIndex) -> HealthState {
        match self.targets.get(target).map(|health| health.phase) {
            None | Some(HealthPhase::Healthy) => HealthState::Healthy,
            Some(HealthPhase::Ejected {
                cause, probe_at, ..
            }) => HealthState::Ejected { cause, probe_at },
            Some(HealthPhase::Probing { successes, .. }) => HealthState::Probing {
                successes,
                needed: self.settings.probe_successes,
            },
        }
    }

    /// The number of targets of a service that are ejected or being probed.
    pub fn ejected(&self, service: ServiceIndex) -> usize {
        self.services.get(&service).map_or(0, |entry| entry.ejected)
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<HealthEvent> {
        std::mem::take(&mut self.events)
    }
}
