//! The response time-out, and when lost responses are expected.

use std::time::Duration;

use filbertpitch_fleet::response_timeout::{LossDetector, RttEstimator, TimeoutBounds};
use filbertpitch_types::prelude::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn trained(round_trip: Duration) -> RttEstimator {
    let mut estimator = RttEstimator::default();
    for _ in 0..40 {
        estimator.observe(round_trip);
    }
    estimator
}

/// Guards against losing the first responses of a slow target.
#[test]
fn time_out_is_maximal_before_the_first_sample() {
    let bounds = TimeoutBounds::default();
    assert_eq!(RttEstimator::default().timeout(&bounds), bounds.max);
}

/// Guards against detecting lost responses late on fast targets.
#[test]
fn time_out_of_a_fast_target_is_minimal() {
    let bounds = TimeoutBounds::default();
    assert_eq!(trained(ms(2)).timeout(&bounds), bounds.min);
}

/// Guards against counting the responses of a slow target, or of a busy VM, as lost.
#[test]
fn time_out_exceeds_the_round_trip_of_a_slow_target() {
    let bounds = TimeoutBounds::default();
    let timeout = trained(ms(50)).timeout(&bounds);
    assert!(timeout > ms(50) && timeout <= bounds.max, "{timeout:?}");
}

/// Guards against never hearing a target that has become slow, and against slow detection after it recovers.
#[test]
fn many_time_outs_in_a_row_lengthen_the_time_out_until_the_next_response() {
    let bounds = TimeoutBounds::default();
    let mut estimator = trained(ms(2));
    for _ in 0..4 {
        estimator.record_timeout();
    }
    assert_eq!(estimator.timeout(&bounds), bounds.min);
    for _ in 0..100 {
        estimator.record_timeout();
    }
    assert_eq!(estimator.timeout(&bounds), bounds.max);
    estimator.observe(ms(2));
    assert!(estimator.timeout(&bounds) < bounds.max);
}

/// Guards against hedging that never starts or never ends.
#[test]
fn losses_are_expected_for_the_loss_window() {
    let mut detector = LossDetector::default();
    let now = TimePoint(1_000_000);
    assert!(!detector.is_lossy(now));
    detector.record_loss(now);
    assert!(detector.is_lossy(now + ms(1999)));
    assert!(!detector.is_lossy(now + ms(2000)));
}
