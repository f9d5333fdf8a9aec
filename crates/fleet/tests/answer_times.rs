//! How long the answer of a target is waited for, and when answers are expected to get lost.

use std::time::Duration;

use filbertpitch_fleet::response_timeout::{LossDetector, RttEstimator, TimeoutBounds};
use filbertpitch_types::prelude::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn learned(round_trip: Duration) -> RttEstimator {
    let mut meter = RttEstimator::default();
    for _ in 0..40 {
        meter.observe(round_trip);
    }
    meter
}

#[test]
fn an_unknown_target_gets_the_most_time() {
    let settings = TimeoutBounds::default();
    assert_eq!(RttEstimator::default().timeout(&settings), settings.max);
}

#[test]
fn a_fast_target_gets_the_least_time() {
    let settings = TimeoutBounds::default();
    assert_eq!(learned(ms(2)).timeout(&settings), settings.min);
}

/// Guards against answers of a slow target, or of a busy VM, that count as lost.
#[test]
fn a_slow_target_gets_more_time() {
    let settings = TimeoutBounds::default();
    let timeout = learned(ms(50)).timeout(&settings);
    assert!(timeout > ms(50) && timeout <= settings.max, "{timeout:?}");
}

#[test]
fn many_misses_in_a_row_give_more_time_until_the_next_answer() {
    let settings = TimeoutBounds::default();
    let mut meter = learned(ms(2));
    for _ in 0..4 {
        meter.record_timeout();
    }
    assert_eq!(meter.timeout(&settings), settings.min);
    for _ in 0..100 {
        meter.record_timeout();
    }
    assert_eq!(meter.timeout(&settings), settings.max);
    meter.observe(ms(2));
    assert!(meter.timeout(&settings) < settings.max);
}

#[test]
fn doubt_ends_after_a_while() {
    let mut doubt = LossDetector::default();
    let now = TimePoint(1_000_000);
    assert!(!doubt.is_lossy(now));
    doubt.record_loss(now);
    assert!(doubt.is_lossy(now + ms(1999)));
    assert!(!doubt.is_lossy(now + ms(2000)));
}
