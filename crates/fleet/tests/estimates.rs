//! Estimates of clocks, delays and run times.

use std::time::Duration;

use filbertpitch_fleet::clock::{DelayEstimator, RemoteClock};
use filbertpitch_fleet::run_time_model::RunTimeModel;
use filbertpitch_types::prelude::*;

const START: TimePoint = TimePoint(10_000_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_clock_is_unknown_before_its_first_sample() {
    assert_eq!(RemoteClock::default().at(START), None);
}

#[test]
fn the_sample_counts_from_the_middle_of_the_exchange() {
    let mut clock = RemoteClock::default();
    clock.observe(START, START + ms(10), TargetTime(500));
    assert_eq!(clock.at(START + ms(105)), Some(TargetTime(600)));
}

/// Guards against orders that are void on arrival after one slow answer.
#[test]
fn a_slow_exchange_does_not_replace_a_precise_sample() {
    let mut clock = RemoteClock::default();
    clock.observe(START, START + ms(2), TargetTime(500));
    clock.observe(START + ms(100), START + ms(700), TargetTime(601));
    assert_eq!(clock.at(START + ms(701)), Some(TargetTime(1200)));
}

/// Guards against an error that grows with the drift of the target's clock.
#[test]
fn an_old_sample_is_replaced() {
    let mut clock = RemoteClock::default();
    clock.observe(START, START + ms(2), TargetTime(500));
    clock.observe(START + ms(3000), START + ms(3010), TargetTime(3600));
    assert_eq!(clock.at(START + ms(3005)), Some(TargetTime(3600)));
}

#[test]
fn another_life_of_a_target_has_another_clock() {
    let mut clock = RemoteClock::default();
    clock.observe(START, START + ms(2), TargetTime(500));
    clock.reset();
    assert_eq!(clock.at(START + ms(3)), None);
}

/// Guards against requests that a paused process or a healed connection delivers late.
#[test]
fn the_age_of_a_message_is_its_delay_beyond_the_least_one() {
    let mut meter = DelayEstimator::default();
    // The sender's clock began 9 seconds later.
    let sent = |millis| TimePoint(1_000_000) + ms(millis);
    meter.observe(sent(0), START + ms(3));
    meter.observe(sent(100), START + ms(105));
    assert_eq!(meter.age(sent(200), START + ms(203)), Duration::ZERO);
    assert_eq!(meter.age(sent(200), START + ms(903)), ms(700));
}

#[test]
fn the_first_message_has_no_age() {
    assert_eq!(
        DelayEstimator::default().age(START, START + ms(900)),
        Duration::ZERO
    );
}

/// The clients of this queue wait for 1,500 ms and three times an objective of 1.6 times the run.
fn patience_of(run: u64) -> Duration {
    ms(1500 + run * 48 / 10)
}

/// Guards against objectives that are off by the error of what clients declare.
#[test]
fn the_run_time_follows_the_patience_of_clients() {
    let mut model = RunTimeModel::default();
    for job in 0..100 {
        let run = 100 + job * 37 % 400;
        model.observe(patience_of(run), ms(run), ms(200));
    }
    let predicted = model.predict(patience_of(300)).expect("the line fits");
    assert!(predicted.abs_diff(ms(300)) < ms(15), "{predicted:?}");
}

/// Guards against predictions from a patience that has nothing to do with the work.
#[test]
fn patience_that_tells_nothing_is_not_used() {
    let mut model = RunTimeModel::default();
    for job in 0..100_u64 {
        let run = 100 + job * 37 % 400;
        model.observe(ms(1000 + job * 7919 % 1000), ms(run), ms(run));
    }
    assert_eq!(model.predict(ms(1500)), None);
}

#[test]
fn equal_patience_and_few_jobs_predict_nothing() {
    let mut model = RunTimeModel::default();
    for _ in 0..100 {
        model.observe(ms(2000), ms(100), ms(400));
    }
    assert_eq!(model.predict(ms(2000)), None);
    let mut model = RunTimeModel::default();
    for job in 0..5 {
        model.observe(patience_of(100 * job), ms(100 * job), ms(400));
    }
    assert_eq!(model.predict(patience_of(100)), None);
}
