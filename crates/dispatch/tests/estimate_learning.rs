//! Guards against predictions that follow wrong declared run times or discard measurements.

use std::time::Duration;

use filbertpitch_dispatch::entity::{KindIndex, ServiceIndex};
use filbertpitch_dispatch::estimate::{EstimateSettings, RunEstimator, SizeClass};
use filbertpitch_dispatch::histogram::{DecayingHistogram, Log2Value};
use test_case::test_case;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn kind(index: usize) -> KindIndex {
    KindIndex::from(index)
}

fn service() -> ServiceIndex {
    ServiceIndex::from(0)
}

fn estimator(typical: &[u64]) -> RunEstimator {
    let mut estimator = RunEstimator::new(EstimateSettings::default());
    for (index, &typical) in typical.iter().enumerate() {
        estimator.configure(kind(index), service(), ms(typical));
    }
    estimator
}

fn assert_near(actual: Duration, expected: Duration, factor: f64) {
    let ratio = actual.as_secs_f64() / expected.as_secs_f64();
    assert!(
        ratio <= factor && ratio >= 1.0 / factor,
        "{actual:?} is not near {expected:?}"
    );
}

/// Guards against a prediction that follows a wrong declared run time after many measurements.
#[test_case(1; "100 times too short")]
#[test_case(10_000; "100 times too long")]
#[test_case(100; "right")]
fn measurements_outweigh_a_wrong_declared_time(declared: u64) {
    let mut estimator = estimator(&[100]);
    for sample in 0..30 {
        estimator.observe(kind(0), ms(declared), ms(95 + sample % 10));
    }
    let prediction = estimator.predict(kind(0), ms(declared));
    assert!(prediction.learned);
    assert_near(prediction.expected, ms(100), 1.5);
}

/// Guards against predictions that ignore declared run times although they determine the measured
/// ones.
#[test]
fn declared_time_is_used_while_it_is_informative() {
    let mut estimator = estimator(&[100]);
    for sample in 0..200 {
        let declared = if sample % 2 == 0 { 20 } else { 1000 };
        // Measured run times are three times the declared ones.
        estimator.observe(kind(0), ms(declared), ms(declared * 3));
    }
    assert_near(estimator.predict(kind(0), ms(20)).expected, ms(60), 1.2);
    assert_near(estimator.predict(kind(0), ms(1000)).expected, ms(3000), 1.2);
    assert_near(estimator.predict(kind(0), ms(200)).expected, ms(600), 1.2);
}

/// Guards against predictions that depend on declared run times unrelated to the measured ones.
#[test]
fn uninformative_declared_time_is_ignored() {
    let mut estimator = estimator(&[100]);
    for sample in 0..300_u64 {
        let declared = [1, 30, 900, 10_000][sample as usize % 4];
        estimator.observe(kind(0), ms(declared), ms(95 + sample * 7 % 10));
    }
    for declared in [1, 100, 10_000] {
        assert_near(
            estimator.predict(kind(0), ms(declared)).expected,
            ms(100),
            1.2,
        );
    }
}

/// Guards against a share of 10% stragglers that raises the expected run time, or that does not raise
/// the time from which an attempt is overdue.
#[test]
fn stragglers_do_not_change_the_expectation() {
    let mut estimator = estimator(&[100]);
    for sample in 0..500 {
        let measured = if sample % 10 == 9 { 10_000 } else { 100 };
        estimator.observe(kind(0), ms(100), ms(measured));
    }
    let prediction = estimator.predict(kind(0), ms(100));
    assert_near(prediction.expected, ms(100), 1.2);
    assert_eq!(prediction.size, SizeClass::Short);
    assert!(
        prediction.overdue_after >= ms(10_000),
        "{:?}",
        prediction.overdue_after
    );
}

/// Guards against old measurements that keep a changed run time from being learned.
#[test]
fn changed_run_time_is_learned_again() {
    let mut estimator = estimator(&[100]);
    for _ in 0..5000 {
        estimator.observe(kind(0), ms(100), ms(100));
    }
    for _ in 0..600 {
        estimator.observe(kind(0), ms(100), ms(400));
    }
    assert_near(estimator.predict(kind(0), ms(100)).expected, ms(400), 1.2);
}

/// Guards against wrong predictions of kinds that were never measured or are not configured.
#[test]
fn priors_apply_before_any_sample() {
    let estimator = estimator(&[100]);
    let prediction = estimator.predict(kind(0), ms(100));
    assert_eq!(prediction.size, SizeClass::Short);
    assert!(!prediction.learned);
    assert_near(prediction.expected, ms(100), 1.01);
    assert!(prediction.overdue_after >= ms(400));
    let unknown = estimator.predict(kind(7), ms(30));
    assert_near(unknown.expected, ms(30), 1.01);
}

/// Guards against long kinds that are classified as short, and against rare long kinds that raise the
/// typical run time of their service.
#[test]
fn kind_far_above_the_typical_run_time_is_long() {
    let mut estimator = estimator(&[100, 100, 100]);
    for sample in 0..300 {
        estimator.observe(kind(0), ms(100), ms(50));
        estimator.observe(kind(1), ms(100), ms(60));
        if sample % 10 == 0 {
            estimator.observe(kind(2), ms(100), ms(3000));
        }
    }
    let size = |index| estimator.predict(kind(index), ms(100)).size;
    assert_eq!(
        [size(0), size(1), size(2)],
        [SizeClass::Short, SizeClass::Short, SizeClass::Long]
    );
    assert_near(estimator.typical(service()).unwrap(), ms(55), 1.3);
}

/// Guards against a configuration change that discards measurements.
#[test]
fn changed_configuration_keeps_measurements() {
    let mut estimator = estimator(&[100]);
    for _ in 0..100 {
        estimator.observe(kind(0), ms(100), ms(20));
    }
    estimator.configure(kind(0), service(), ms(9000));
    assert_near(estimator.predict(kind(0), ms(100)).expected, ms(20), 1.3);
}

/// Guards against sample weights that overflow. Without scaling, they overflow after 213,000 samples.
#[test]
fn histogram_still_learns_after_many_samples() {
    let mut histogram = DecayingHistogram::for_durations();
    (0..300_000).for_each(|_| histogram.record(Log2Value::from_duration(ms(10))));
    (0..2000).for_each(|_| histogram.record(Log2Value::from_duration(ms(80))));
    assert_near(histogram.quantile(0.5).unwrap().to_duration(), ms(80), 1.1);
}

/// Guards against overflows with the smallest and the largest durations.
#[test]
fn extreme_values_do_not_overflow() {
    let mut estimator = estimator(&[0]);
    for sample in 0..50_000_u64 {
        let measured = [Duration::ZERO, Duration::MAX][sample as usize % 2];
        estimator.observe(kind(0), Duration::MAX, measured);
        estimator.observe(kind(0), Duration::ZERO, measured);
    }
    let prediction = estimator.predict(kind(0), Duration::MAX);
    assert!(prediction.overdue_after >= prediction.expected);
}
