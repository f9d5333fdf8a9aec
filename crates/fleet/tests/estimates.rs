//! Estimates of run times.

use std::time::Duration;

use filbertpitch_fleet::run_time_model::RunTimeModel;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The time-out of clients of this queue: 1,500 ms and three times an objective of 1.6 times the
/// run time.
fn client_timeout_for(run: u64) -> Duration {
    ms(1500 + run * 48 / 10)
}

/// Guards against objectives based on inaccurate run times that clients declare.
#[test]
fn run_time_follows_the_client_timeout() {
    let mut model = RunTimeModel::default();
    for job in 0..100 {
        let run = 100 + job * 37 % 400;
        model.observe(client_timeout_for(run), ms(run), ms(200));
    }
    let predicted = model
        .predict(client_timeout_for(300))
        .expect("the regression is used");
    assert!(predicted.abs_diff(ms(300)) < ms(15), "{predicted:?}");
}

/// Guards against predictions from client time-outs that are unrelated to the work.
#[test]
fn unrelated_client_timeouts_are_not_used() {
    let mut model = RunTimeModel::default();
    for job in 0..100_u64 {
        let run = 100 + job * 37 % 400;
        model.observe(ms(1000 + job * 7919 % 1000), ms(run), ms(run));
    }
    assert_eq!(model.predict(ms(1500)), None);
}

/// Guards against a regression through too few points or points without variance.
#[test]
fn equal_client_timeouts_and_few_jobs_predict_nothing() {
    let mut model = RunTimeModel::default();
    for _ in 0..100 {
        model.observe(ms(2000), ms(100), ms(400));
    }
    assert_eq!(model.predict(ms(2000)), None);
    let mut model = RunTimeModel::default();
    for job in 0..5 {
        model.observe(client_timeout_for(100 * job), ms(100 * job), ms(400));
    }
    assert_eq!(model.predict(client_timeout_for(100)), None);
}
