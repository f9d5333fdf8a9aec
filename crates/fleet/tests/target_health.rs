//! The registry of targets, probes of their reachability, and their health.

use std::time::Duration;

use filbertpitch_dispatch::entity::TargetIndex;
use filbertpitch_fleet::health::{BreakerState, HealthSettings, TargetHealth};
use filbertpitch_fleet::registry::TargetRegistry;
use filbertpitch_fleet::zone_probe::ZoneProber;
use filbertpitch_types::fleet::{TargetChange, TargetEntry, TargetState};
use filbertpitch_types::prelude::*;

const START: TimePoint = TimePoint(5_000_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn name() -> TargetName {
    "target-1".parse().unwrap()
}

fn entry(state: TargetState) -> TargetEntry {
    TargetEntry {
        name: name(),
        service: "jobs".parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: "north".parse().unwrap(),
        state,
        capacity: ResourceVector::from((32_000, 1024, 0)),
        labels: Vec::new(),
        boot: None,
        cold_remaining: Duration::ZERO,
        remaining: None,
    }
}

/// Guards against a target that gets a new index when its entry returns.
#[test]
fn target_keeps_its_index() {
    let mut registry = TargetRegistry::default();
    let index = registry.apply(START, TargetChange::Listed(entry(TargetState::Ready)));
    assert!(registry.is_ready(index));
    registry.apply(START + ms(10), TargetChange::Removed(name()));
    assert_eq!(registry.unlisted_since(index), Some(START + ms(10)));
    assert!(!registry.is_ready(index));
    // Requests that stop the runs there still need the address.
    assert!(registry.address(index).is_some());
    let again = registry.apply(
        START + ms(20),
        TargetChange::Listed(entry(TargetState::Draining)),
    );
    assert_eq!(again, index);
    assert_eq!(registry.unlisted_since(index), None);
    assert!(!registry.is_ready(index));
}

/// Guards against giving work to a target whose entry is damaged, and against an entry that stays
/// hidden.
#[test]
fn undecodable_entry_hides_the_target() {
    let mut registry = TargetRegistry::default();
    let index = registry.apply(START, TargetChange::Listed(entry(TargetState::Ready)));
    registry.apply(START + ms(10), TargetChange::Unreadable(name()));
    registry.apply(START + ms(20), TargetChange::Unreadable(name()));
    assert_eq!(registry.unlisted_since(index), Some(START + ms(10)));
    assert_eq!(registry.listed().count(), 0);
    registry.apply(
        START + ms(30),
        TargetChange::Listed(entry(TargetState::Ready)),
    );
    assert!(registry.is_ready(index));
}

/// Guards against losing most work to one target that fails all tasks quickly.
#[test]
fn failing_target_is_ejected_and_tried_again() {
    let settings = HealthSettings::default();
    let mut health = TargetHealth::new(settings.clone());
    assert!(!health.record_failure(START));
    assert!(!health.record_failure(START));
    assert!(health.record_failure(START));
    assert!(!health.admits(START + settings.backoff - ms(1), 0));
    let trial = START + settings.backoff;
    assert!(health.admits(trial, 0));
    assert!(!health.admits(trial, 1), "one task at a time");
    assert!(health.record_failure(trial));
    assert_eq!(
        health.breaker(),
        BreakerState::Open {
            until: trial + settings.backoff * 2
        }
    );
    assert!(health.admits(trial + settings.backoff * 2, 0));
    health.record_success(ms(100), ms(100));
    assert!(health.admits(trial + settings.backoff * 2, 5));
}

/// Guards against ejecting a sound target for tasks that fail by their own fault.
#[test]
fn failures_between_successes_do_not_eject() {
    let mut health = TargetHealth::new(HealthSettings::default());
    for _ in 0..20 {
        assert!(!health.record_failure(START));
        assert!(!health.record_failure(START));
        health.record_success(ms(100), ms(100));
    }
    assert_eq!(health.breaker(), BreakerState::Closed);
}

/// Guards against a target that is never tried again after many failures.
#[test]
fn backoff_until_a_trial_is_limited() {
    let settings = HealthSettings::default();
    let mut health = TargetHealth::new(settings.clone());
    let mut now = START;
    for _ in 0..20 {
        health.record_failure(now);
        if let BreakerState::Open { until } = health.breaker() {
            assert!(until.since(now) <= settings.max_backoff);
            now = until;
            health.admits(now, 0);
        }
    }
}

/// Guards against giving work to a slow target while faster ones are free.
#[test]
fn slowdown_follows_run_times() {
    let mut health = TargetHealth::new(HealthSettings::default());
    for _ in 0..20 {
        health.record_success(ms(600), ms(100));
    }
    assert!(health.slowdown() > 5.0);
    health.record_success(Duration::ZERO, ms(100));
    assert!(
        health.slowdown() > 5.0,
        "a run without a duration is not counted"
    );
}

fn probe(prober: &mut ZoneProber, now: TimePoint, reached: bool) {
    let targets = [TargetIndex::from(3), TargetIndex::from(4)];
    let target = prober.plan_probe(now, &targets).expect("a probe is due");
    assert_eq!(
        prober.plan_probe(now, &targets),
        None,
        "one probe at a time"
    );
    prober.handle_probe_result(now + ms(2), target, reached);
}

/// Guards against a VM that takes targets over at the moment when its own network partition heals.
#[test]
fn zone_is_reachable_after_answering_for_a_while() {
    let mut prober = ZoneProber::default();
    let mut now = START;
    let mut confirmed_after = None;
    for _ in 0..8 {
        probe(&mut prober, now, true);
        if confirmed_after.is_none() && prober.is_reachable(now + ms(2)) {
            confirmed_after = Some(now.since(START));
        }
        now = now + ms(120);
    }
    let confirmed_after = confirmed_after.expect("all probes were answered");
    assert!(
        confirmed_after >= ms(400) && confirmed_after <= ms(480),
        "{confirmed_after:?}"
    );
    assert!(!prober.is_reachable(now + ms(400)), "results expire");
}

/// Guards against a takeover after the targets have stopped answering.
#[test]
fn failed_probe_makes_the_zone_unreachable() {
    let mut prober = ZoneProber::default();
    for round in 0..5 {
        probe(&mut prober, START + ms(120 * round), true);
    }
    assert!(prober.is_reachable(START + ms(482)));
    probe(&mut prober, START + ms(600), false);
    assert!(!prober.is_reachable(START + ms(602)));
}

/// Guards against counting the late result of another probe.
#[test]
fn results_of_other_probes_are_ignored() {
    let mut prober = ZoneProber::default();
    let targets = [TargetIndex::from(3)];
    prober.plan_probe(START, &targets);
    prober.handle_probe_result(START + ms(1), TargetIndex::from(9), true);
    assert_eq!(
        prober.plan_probe(START + ms(200), &targets),
        None,
        "the probe is still open"
    );
    prober.reset();
    assert_eq!(
        prober.plan_probe(START + ms(200), &targets),
        Some(targets[0])
    );
    assert_eq!(ZoneProber::default().plan_probe(START, &[]), None);
}

/// Guards against the speed of a cold target that outlasts the cold time, and against the usual speed that
/// is spoiled by runs in it.
#[test]
fn slowdown_of_a_cold_target_is_discarded() {
    let mut health = TargetHealth::new(HealthSettings::default());
    for _ in 0..40 {
        health.record_success(ms(200), ms(100));
    }
    health.set_cold_until(START, Some(START + ms(3000)));
    assert!(
        (health.slowdown() - 2.0).abs() < 0.01,
        "until it is learned"
    );
    for _ in 0..40 {
        health.record_success(ms(400), ms(100));
    }
    assert!((health.slowdown() - 4.0).abs() < 0.01);
    assert!(health.is_run_typical(START + ms(100)));
    assert!(health.admits(START + ms(3000), 0));
    assert!((health.slowdown() - 2.0).abs() < 0.01);
    // The target was cold during a part of the run.
    assert!(!health.is_run_typical(START + ms(2900)));
    assert!(health.is_run_typical(START + ms(3000)));
}

/// Guards against the speed of a cold target that is learned from runs which were cold in part.
#[test]
fn runs_from_before_a_cold_phase_say_nothing() {
    let mut health = TargetHealth::new(HealthSettings::default());
    health.set_cold_until(START + ms(200), Some(START + ms(3000)));
    assert!(!health.is_run_typical(START));
    assert!(health.is_run_typical(START + ms(200)));
    // A renewed entry does not begin another cold phase.
    health.set_cold_until(START + ms(900), Some(START + ms(3100)));
    assert!(health.is_run_typical(START + ms(500)));
    health.advance(START + ms(3100));
    assert!(!health.is_run_typical(START + ms(500)));
}

/// Guards against a target that counts as cold although its entry says that it no longer is.
#[test]
fn cold_time_follows_the_entry() {
    let mut registry = TargetRegistry::default();
    let cold = TargetEntry {
        cold_remaining: ms(3000),
        ..entry(TargetState::Ready)
    };
    let index = registry.apply(START, TargetChange::Listed(cold));
    assert_eq!(registry.cold_until(index), Some(START + ms(3000)));
    let mut health = TargetHealth::new(HealthSettings::default());
    health.set_cold_until(START, registry.cold_until(index));
    health.record_success(ms(400), ms(100));
    assert!(health.slowdown() > 1.1);
    registry.apply(
        START + ms(500),
        TargetChange::Listed(entry(TargetState::Ready)),
    );
    health.set_cold_until(START + ms(500), registry.cold_until(index));
    assert!((health.slowdown() - 1.0).abs() < 0.01);
}
