//! The list of targets, whether they can be reached, and whether their work can be trusted.

use std::time::Duration;

use filbertpitch_dispatch::entity::TargetIndex;
use filbertpitch_fleet::reach::ZoneReach;
use filbertpitch_fleet::registry::TargetRegistry;
use filbertpitch_fleet::verdict::{TargetTrust, TargetVerdict, VerdictSettings};
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
    }
}

/// Guards against a target that counts as another one after its entry has returned.
#[test]
fn a_target_keeps_its_index() {
    let mut registry = TargetRegistry::default();
    let index = registry.apply(START, TargetChange::Listed(entry(TargetState::Ready)));
    assert!(registry.is_ready(index));
    registry.apply(START + ms(10), TargetChange::Removed(name()));
    assert_eq!(registry.unlisted_since(index), Some(START + ms(10)));
    assert!(!registry.is_ready(index));
    // Orders that stop what runs there still need the address.
    assert!(registry.address(index).is_some());
    let again = registry.apply(
        START + ms(20),
        TargetChange::Listed(entry(TargetState::Draining)),
    );
    assert_eq!(again, index);
    assert_eq!(registry.unlisted_since(index), None);
    assert!(!registry.is_ready(index));
}

/// Guards against work for a target whose entry is damaged, and against an entry that stays hidden.
#[test]
fn an_entry_that_cannot_be_read_hides_the_target() {
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

/// Guards against most work being lost to one target that fails everything quickly.
#[test]
fn a_target_that_only_fails_is_shunned_and_tried_again() {
    let settings = VerdictSettings::default();
    let mut verdict = TargetVerdict::new(settings.clone());
    assert!(!verdict.failed(START));
    assert!(!verdict.failed(START));
    assert!(verdict.failed(START));
    assert!(!verdict.admits(START + settings.backoff - ms(1), 0));
    let trial = START + settings.backoff;
    assert!(verdict.admits(trial, 0));
    assert!(!verdict.admits(trial, 1), "one task at a time");
    assert!(verdict.failed(trial));
    assert_eq!(
        verdict.trust(),
        TargetTrust::Shunned {
            until: trial + settings.backoff * 2
        }
    );
    assert!(verdict.admits(trial + settings.backoff * 2, 0));
    verdict.done(ms(100), ms(100));
    assert!(verdict.admits(trial + settings.backoff * 2, 5));
}

/// Guards against shunning a sound target for tasks that fail by their own fault.
#[test]
fn failures_between_successes_prove_nothing() {
    let mut verdict = TargetVerdict::new(VerdictSettings::default());
    for _ in 0..20 {
        assert!(!verdict.failed(START));
        assert!(!verdict.failed(START));
        verdict.done(ms(100), ms(100));
    }
    assert_eq!(verdict.trust(), TargetTrust::Trusted);
}

#[test]
fn the_trial_never_comes_later_than_the_limit() {
    let settings = VerdictSettings::default();
    let mut verdict = TargetVerdict::new(settings.clone());
    let mut now = START;
    for _ in 0..20 {
        verdict.failed(now);
        if let TargetTrust::Shunned { until } = verdict.trust() {
            assert!(until.since(now) <= settings.backoff_limit);
            now = until;
            verdict.admits(now, 0);
        }
    }
}

/// Guards against work for a slow target while faster ones are free.
#[test]
fn a_slow_target_is_noticed() {
    let mut verdict = TargetVerdict::new(VerdictSettings::default());
    for _ in 0..20 {
        verdict.done(ms(600), ms(100));
    }
    assert!(verdict.slowdown() > 5.0);
    verdict.done(Duration::ZERO, ms(100));
    assert!(
        verdict.slowdown() > 5.0,
        "a run without a time says nothing"
    );
}

fn probe(reach: &mut ZoneReach, now: TimePoint, reached: bool) {
    let targets = [TargetIndex::from(3), TargetIndex::from(4)];
    let target = reach.plan(now, &targets).expect("a probe is due");
    assert_eq!(reach.plan(now, &targets), None, "one probe at a time");
    reach.answered(now + ms(2), target, reached);
}

/// Guards against a VM that takes targets over at the moment when its own cut heals.
#[test]
fn targets_must_answer_for_a_while() {
    let mut reach = ZoneReach::default();
    let mut now = START;
    let mut proved_after = None;
    for _ in 0..8 {
        probe(&mut reach, now, true);
        if proved_after.is_none() && reach.is_proved(now + ms(2)) {
            proved_after = Some(now.since(START));
        }
        now = now + ms(120);
    }
    let proved_after = proved_after.expect("all probes were answered");
    assert!(
        proved_after >= ms(400) && proved_after <= ms(480),
        "{proved_after:?}"
    );
    assert!(!reach.is_proved(now + ms(400)), "a proof expires");
}

#[test]
fn a_lost_probe_ends_the_proof() {
    let mut reach = ZoneReach::default();
    for round in 0..5 {
        probe(&mut reach, START + ms(120 * round), true);
    }
    assert!(reach.is_proved(START + ms(482)));
    probe(&mut reach, START + ms(600), false);
    assert!(!reach.is_proved(START + ms(602)));
}

#[test]
fn answers_to_other_probes_do_not_count() {
    let mut reach = ZoneReach::default();
    let targets = [TargetIndex::from(3)];
    reach.plan(START, &targets);
    reach.answered(START + ms(1), TargetIndex::from(9), true);
    assert_eq!(
        reach.plan(START + ms(200), &targets),
        None,
        "the probe is still open"
    );
    reach.reset();
    assert_eq!(reach.plan(START + ms(200), &targets), Some(targets[0]));
    assert_eq!(ZoneReach::default().plan(START, &[]), None);
}
