//! Guards against quotas and retry budgets that are exceeded, and against quotas that block a team
//! permanently.

use std::num::NonZeroU32;
use std::time::Duration;

use filbertpitch_config::spec::TeamSpec;
use filbertpitch_dispatch::entity::{ServiceIndex, TeamIndex};
use filbertpitch_dispatch::quota::TeamQuota;
use filbertpitch_dispatch::retry::RetryBudget;
use filbertpitch_types::prelude::*;
use test_case::test_case;

fn team() -> TeamIndex {
    TeamIndex::from(3)
}

fn service() -> ServiceIndex {
    ServiceIndex::from(0)
}

fn at_ms(count: u64) -> TimePoint {
    TimePoint(0) + Duration::from_millis(count)
}

fn quota(spec: TeamSpec, entry_vms: u32) -> TeamQuota {
    let mut quota = TeamQuota::default();
    quota.configure(at_ms(0), team(), &spec);
    quota.set_entry_vms(at_ms(0), entry_vms);
    quota
}

/// Guards against quotas whose shares on the entry VMs are zero or are not enforced.
#[test_case(10, 3, 4; "rounded up")]
#[test_case(2, 7, 1; "at least one")]
#[test_case(9, 0, 9; "no known VM")]
fn limits_are_divided_by_entry_vms(limit: u32, entry_vms: u32, share: u32) {
    let spec = TeamSpec {
        max_running: Some(limit),
        max_queued: Some(limit),
        ..TeamSpec::default()
    };
    let mut quota = quota(spec, entry_vms);
    assert_eq!(quota.queued_limit(team()), Some(share));
    assert!(quota.may_queue(team(), 0, share as usize));
    assert!(!quota.may_queue(team(), 1, share as usize));
    for _ in 0..share {
        assert!(quota.may_start(at_ms(0), team()));
        quota.record_start(at_ms(0), team());
    }
    assert!(!quota.may_start(at_ms(0), team()));
    quota.record_end(team());
    assert!(quota.may_start(at_ms(0), team()));
}

/// Guards against a team without a quota that is limited.
#[test]
fn team_without_quota_is_unlimited() {
    let quota = TeamQuota::default();
    assert!(quota.may_start(at_ms(0), team()));
    assert!(quota.may_queue(team(), usize::MAX, 1));
}

/// Guards against a start rate that is exceeded over time, or by more than the burst after a pause.
#[test]
fn start_rate_holds_over_time() {
    let start_rate = NonZeroU32::new(400).map(TaskRate);
    let mut quota = quota(
        TeamSpec {
            start_rate,
            ..TeamSpec::default()
        },
        4,
    );
    let mut started = 0;
    // An hour without starts must not accumulate more tokens than the burst.
    for time in (3_600_000..3_610_000).map(at_ms) {
        while quota.may_start(time, team()) {
            quota.record_start(time, team());
            started += 1;
        }
        assert!(quota.next_start(time, team()) > time);
    }
    // 100 per second on this VM for 10 s, and a burst of 250 ms.
    assert!((1000..=1026).contains(&started), "{started} starts");
}

/// Guards against a next start that is too early, so that a start is refused, or later than needed.
#[test]
fn next_start_is_the_exact_time_of_the_next_token() {
    let start_rate = NonZeroU32::new(3).map(TaskRate);
    let mut quota = quota(
        TeamSpec {
            start_rate,
            ..TeamSpec::default()
        },
        1,
    );
    quota.record_start(at_ms(0), team());
    let next = quota.next_start(at_ms(0), team());
    assert!(!quota.may_start(TimePoint(next.0 - 1), team()));
    assert!(quota.may_start(next, team()));
}

/// Guards against retries that exceed the percentage, or that accumulate without bound.
#[test]
fn retries_stay_within_the_percentage_and_the_burst() {
    let mut budget = RetryBudget::default();
    budget.configure(service(), 10);
    // A long time without failures must not accumulate more retries than the burst.
    (0..100_000).for_each(|_| budget.record_start(service()));
    assert_eq!(budget.available(service()), 20);
    let mut retries = 0;
    for _ in 0..1000 {
        budget.record_start(service());
        while budget.try_retry(service()) {
            retries += 1;
        }
    }
    assert!(
        (100..=120).contains(&retries),
        "{retries} retries of 1000 starts"
    );
}

/// Guards against retries of a service that allows none, or that is not configured.
#[test]
fn zero_percent_allows_no_retry() {
    let mut budget = RetryBudget::default();
    budget.configure(service(), 0);
    budget.record_start(service());
    assert!(!budget.try_retry(service()));
    assert!(!budget.try_retry(ServiceIndex::from(9)));
}
