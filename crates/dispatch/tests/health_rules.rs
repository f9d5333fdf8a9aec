//! Guards against targets that are ejected or reinstated wrongly, too early or too late.

mod support;

use std::time::Duration;

use filbertpitch_dispatch::entity::{ServiceIndex, TargetIndex};
use filbertpitch_dispatch::health::{
    EjectionCause, HealthEvent, HealthResult, HealthSettings, HealthTable, ResultRecord,
};
use filbertpitch_dispatch::placement::TargetGate;
use filbertpitch_types::prelude::*;
use proptest::prelude::*;
use test_case::test_case;

const SECOND: Duration = Duration::from_secs(1);

struct HealthFixture {
    table: HealthTable,
    service: ServiceIndex,
    now: TimePoint,
}

impl HealthFixture {
    fn new(targets: usize) -> Self {
        let catalog = support::catalog_of(&vec![(0, 8, 64); targets]);
        let mut table = HealthTable::new(HealthSettings::default());
        table.install(&catalog);
        let service = catalog
            .service_index(&support::name("desk".into()))
            .unwrap();
        Self {
            table,
            service,
            now: TimePoint(1),
        }
    }

    fn record(&mut self, target: usize, result: HealthResult, probe: bool) {
        let target = target.into();
        let record = ResultRecord {
            target,
            service: self.service,
            result,
            probe,
        };
        self.table.record(self.now, record);
    }

    fn record_many(&mut self, target: usize, result: HealthResult, count: usize) {
        (0..count).for_each(|_| self.record(target, result, false));
    }

    fn gate(&self, target: usize) -> TargetGate {
        self.table.gate(target.into())
    }

    fn advance(&mut self, duration: Duration) {
        self.now = self.now + duration;
        self.table.advance(self.now);
    }
}

/// Guards against more work for a target on which every attempt fails.
#[test]
fn an_outlier_is_ejected_after_eight_results() {
    let mut fixture = HealthFixture::new(5);
    (1..5).for_each(|target| fixture.record_many(target, HealthResult::Succeeded, 10));
    fixture.record_many(0, HealthResult::Failed, 7);
    assert_eq!(fixture.gate(0), TargetGate::AllAttempts);
    fixture.record_many(0, HealthResult::Failed, 1);
    assert_eq!(fixture.gate(0), TargetGate::NoAttempts);
    let events = fixture.table.take_events();
    let [HealthEvent::Ejected { target, cause, .. }] = events[..] else {
        panic!("one ejection expected: {events:?}");
    };
    assert_eq!(target, TargetIndex::from(0));
    assert!(matches!(cause, EjectionCause::Outlier { .. }));
}

/// Guards against the ejection of targets for a fault that all of them share.
#[test]
fn a_correlated_failure_ejects_none() {
    let mut fixture = HealthFixture::new(10);
    for _ in 0..20 {
        (0..10).for_each(|target| fixture.record_many(target, HealthResult::Failed, 1));
    }
    assert_eq!(fixture.table.ejected(fixture.service), 0);
}

/// Guards against results caused by the caller that count as failures.
#[test]
fn cancelled_results_do_not_count() {
    let mut fixture = HealthFixture::new(5);
    (1..5).for_each(|target| fixture.record_many(target, HealthResult::Succeeded, 10));
    fixture.record_many(0, HealthResult::Unreachable, 2);
    fixture.record_many(0, HealthResult::Neutral, 50);
    assert_eq!(fixture.gate(0), TargetGate::AllAttempts);
}

/// Guards against an unreachable target that is ejected only after as many results as an outlier
/// needs, and against the ejection of more targets than the limit.
#[test_case(2, 0; "not with two targets")]
#[test_case(3, 1; "one of three")]
#[test_case(10, 3; "three of ten")]
fn unreachable_targets_are_ejected_up_to_the_limit(targets: usize, limit: usize) {
    let mut fixture = HealthFixture::new(targets);
    (0..targets).for_each(|target| fixture.record_many(target, HealthResult::Unreachable, 2));
    assert_eq!(fixture.table.ejected(fixture.service), 0);
    (0..targets).for_each(|target| fixture.record_many(target, HealthResult::Unreachable, 5));
    assert_eq!(fixture.table.ejected(fixture.service), limit);
}

/// Guards against probes that start too early or too often, and against reinstatement because of
/// attempts that are not probes.
#[test]
fn probes_back_off_and_three_successes_reinstate() {
    let mut fixture = HealthFixture::new(3);
    fixture.record_many(0, HealthResult::Unreachable, 3);
    for back_off in [1, 2, 4, 8, 16, 30, 30] {
        fixture.advance(SECOND * back_off - Duration::from_millis(1));
        assert_eq!(
            fixture.gate(0),
            TargetGate::NoAttempts,
            "back-off {back_off} s"
        );
        fixture.advance(Duration::from_millis(1));
        assert_eq!(
            fixture.gate(0),
            TargetGate::ProbeOnly,
            "back-off {back_off} s"
        );
        fixture.record(0, HealthResult::Failed, true);
    }
    fixture.advance(SECOND * 30);
    fixture.record_many(0, HealthResult::Succeeded, 5);
    (0..2).for_each(|_| fixture.record(0, HealthResult::Succeeded, true));
    assert_eq!(fixture.gate(0), TargetGate::ProbeOnly);
    fixture.record(0, HealthResult::Succeeded, true);
    assert_eq!(fixture.gate(0), TargetGate::AllAttempts);
    assert_eq!(fixture.table.ejected(fixture.service), 0);
}

/// Guards against more than 30% of a service's targets that stay ejected when targets are removed.
#[test]
fn a_smaller_service_reinstates_the_excess() {
    let mut fixture = HealthFixture::new(10);
    (0..3).for_each(|target| fixture.record_many(target, HealthResult::Unreachable, 3));
    assert_eq!(fixture.table.ejected(fixture.service), 3);
    let catalog = support::catalog_of(&[(0, 8, 64); 4]);
    fixture.table.install(&catalog);
    assert_eq!(fixture.table.ejected(fixture.service), 1);
}

fn any_result() -> impl Strategy<Value = HealthResult> {
    prop_oneof![
        Just(HealthResult::Succeeded),
        Just(HealthResult::Failed),
        Just(HealthResult::Unreachable),
        Just(HealthResult::Neutral),
    ]
}

proptest! {
    /// Guards against the ejection of more than 30% of a service's targets.
    #[test]
    fn at_most_30_percent_are_ejected(
        targets in 1..20usize,
        steps in prop::collection::vec((0..20usize, any_result(), any::<bool>(), 0..3000u64), 1..400),
    ) {
        let mut fixture = HealthFixture::new(targets);
        let limit = (targets * 30 / 100).max(usize::from(targets >= 3));
        for (target, result, probe, millis) in steps {
            fixture.record(target % targets, result, probe);
            if millis < 300 {
                fixture.advance(Duration::from_millis(millis * 10));
            }
            let limited = (0..targets)
                .filter(|&target| fixture.gate(target) != TargetGate::AllAttempts);
            let limited = limited.count();
            prop_assert!(limited <= limit, "{} of {} targets ejected", limited, targets);
            prop_assert_eq!(limited, fixture.table.ejected(fixture.service));
        }
    }
}
