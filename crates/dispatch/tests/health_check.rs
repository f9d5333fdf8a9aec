//! Guards against checks of targets that are missing, too frequent or not shared by attempts.

use std::time::Duration;

use filbertpitch_dispatch::check::{AttemptWatch, CheckResult, CheckSchedule, CheckSettings};
use filbertpitch_dispatch::entity::TargetIndex;
use filbertpitch_types::prelude::*;

const MILLI: Duration = Duration::from_millis(1);

fn at(millis: u32) -> TimePoint {
    TimePoint(0) + MILLI * millis
}

fn schedule_with(attempts: &[(u64, u32, u32)]) -> (CheckSchedule<u64>, TargetIndex) {
    let target = TargetIndex::from(3);
    let mut schedule = CheckSchedule::new(CheckSettings::default());
    for &(key, overdue, renew) in attempts {
        let watch = AttemptWatch {
            key,
            overdue_at: at(overdue),
            renew_at: at(renew),
        };
        schedule.watch(target, watch);
    }
    (schedule, target)
}

/// Guards against checks whose number grows with the number of tasks.
#[test]
fn attempts_that_end_in_time_cause_no_check() {
    let (mut schedule, target) = schedule_with(&[]);
    for key in 0..1000 {
        let now = key as u32;
        let watch = AttemptWatch {
            key,
            overdue_at: at(now + 50),
            renew_at: at(now + 5000),
        };
        schedule.watch(target, watch);
        if key >= 40 {
            schedule.unwatch(target, key - 40);
        }
        assert_eq!(schedule.check_due(at(now)), None);
    }
}

/// Guards against one check per attempt, and against a second check while one is in flight.
#[test]
fn one_check_covers_all_attempts() {
    let (mut schedule, target) = schedule_with(&[(1, 100, 900), (2, 100, 900), (3, 500, 900)]);
    assert_eq!(schedule.check_due(at(99)), None);
    assert_eq!(schedule.check_due(at(100)), Some(target));
    let watch = AttemptWatch {
        key: 4,
        overdue_at: at(101),
        renew_at: at(900),
    };
    schedule.watch(target, watch);
    assert_eq!(schedule.check_due(at(300)), None);
    assert_eq!(schedule.watched(target).collect::<Vec<_>>(), [1, 2, 3, 4]);
}

/// Guards against leases that expire while their attempts run normally.
#[test]
fn a_lease_is_renewed_after_half_of_its_term() {
    let (mut schedule, target) = schedule_with(&[(1, 60_000, 5_000)]);
    assert_eq!(schedule.check_due(at(4_999)), None);
    for renewal in 1..=3 {
        let now = at(5_000 * renewal);
        assert_eq!(schedule.check_due(now), Some(target));
        let renew_at = at(5_000 * (renewal + 1));
        schedule.check_ended(now, target, CheckResult::Answered { renew_at });
        assert_eq!(schedule.check_due(renew_at - MILLI), None);
    }
}

/// Guards against a straggler that is checked without back-off, and against a straggler whose
/// back-off delays the check of another attempt.
#[test]
fn a_straggler_backs_off_its_own_checks_only() {
    let (mut schedule, target) = schedule_with(&[(1, 100, 90_000)]);
    let mut checks = Vec::new();
    for millis in 0..20_000 {
        if schedule.check_due(at(millis)).is_some() {
            checks.push(millis);
            let renew_at = at(millis + 90_000);
            schedule.check_ended(at(millis), target, CheckResult::Answered { renew_at });
        }
    }
    assert_eq!(
        checks,
        [100, 350, 850, 1850, 3850, 7850, 11850, 15850, 19850]
    );
    let watch = AttemptWatch {
        key: 2,
        overdue_at: at(20_100),
        renew_at: at(90_000),
    };
    schedule.watch(target, watch);
    assert_eq!(schedule.check_due(at(20_100)), Some(target));
}

/// Guards against checks without back-off of a target that does not respond.
#[test]
fn failed_checks_back_off() {
    let (mut schedule, target) = schedule_with(&[(1, 100, 5_000)]);
    let mut checks = Vec::new();
    for millis in 0..5_000 {
        if schedule.check_due(at(millis)).is_some() {
            checks.push(millis);
            schedule.check_ended(at(millis), target, CheckResult::Failed);
        }
    }
    assert_eq!(checks, [100, 200, 400, 800, 1600, 2600, 3600, 4600]);
}

/// Guards against a leaving target that is never asked for its load because it runs no attempt.
#[test]
fn a_requested_check_needs_no_attempt() {
    let (mut schedule, target) = schedule_with(&[]);
    schedule.request(target);
    assert_eq!(schedule.check_due(at(1)), Some(target));
    schedule.check_ended(at(2), target, CheckResult::Answered { renew_at: at(100) });
    assert_eq!(schedule.check_due(at(1_000)), None);
}
