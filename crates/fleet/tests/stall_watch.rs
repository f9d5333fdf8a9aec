//! Decides when a read whose response may be large is given up.

use std::time::Duration;

use filbertpitch_fleet::stall_watch::{StallWatch, WatchSettings, WatchStep};
use filbertpitch_types::prelude::*;

const SETTINGS: WatchSettings = WatchSettings {
    timeout: Duration::from_millis(6400),
    quiet_limit: Duration::from_millis(800),
};

fn at(millis: u64) -> TimePoint {
    TimePoint::default() + Duration::from_millis(millis)
}

fn wait(millis: u64) -> WatchStep {
    WatchStep::Wait(Duration::from_millis(millis))
}

fn probe(millis: u64) -> WatchStep {
    WatchStep::Probe(Duration::from_millis(millis))
}

/// Guards against a read that waits for a lost response while the store answers other calls.
#[test]
fn answered_probe_without_a_byte_shows_a_lost_response() {
    let mut watch = StallWatch::new(at(0), SETTINGS);
    assert_eq!(watch.next_step(at(0), 0), wait(800));
    assert_eq!(watch.next_step(at(800), 0), probe(800));
    assert!(!watch.record_probe(at(1600), false, 0, 1.0));
    assert_eq!(watch.next_step(at(1600), 0), wait(300));
    assert_eq!(watch.next_step(at(1900), 0), probe(1600));
    assert!(watch.record_probe(at(1950), true, 0, 1.0));
}

/// Guards against a busy store that is made slower: a read is given up although its response has begun to
/// arrive before the probe was answered.
#[test]
fn answered_probe_after_a_byte_shows_nothing() {
    let mut watch = StallWatch::new(at(0), SETTINGS);
    assert_eq!(watch.next_step(at(800), 0), probe(800));
    assert!(!watch.record_probe(at(900), true, 1, 1.0));
    assert_eq!(watch.next_step(at(900), 1), wait(800));
}

/// Guards against a read that is abandoned while the store answers nothing, and then repeated at a store that
/// is busy.
#[test]
fn unanswered_probes_do_not_end_a_read() {
    let mut watch = StallWatch::new(at(0), SETTINGS);
    let mut now = at(0);
    while now < at(60_000) {
        match watch.next_step(now, 0) {
            WatchStep::Wait(time) => now = now + time,
            WatchStep::Probe(timeout) => {
                assert!(timeout <= Duration::from_millis(1600));
                now = now + timeout;
                assert!(!watch.record_probe(now, false, 0, 1.0));
            }
            WatchStep::GiveUp => panic!("given up at {now}"),
        }
    }
}

/// Guards against a response that stops half way and is awaited until the time-out.
#[test]
fn response_that_stops_half_way_is_given_up_before_the_timeout() {
    let mut watch = StallWatch::new(at(0), SETTINGS);
    assert_eq!(watch.next_step(at(700), 0), wait(100));
    assert_eq!(watch.next_step(at(800), 1000), wait(800));
    assert_eq!(watch.next_step(at(1600), 1000), probe(800));
    assert!(watch.record_probe(at(1650), true, 1000, 1.0));
}

/// Guards against a response that arrives byte by byte for ever.
#[test]
fn read_that_makes_progress_ends_at_its_timeout() {
    let mut watch = StallWatch::new(at(0), SETTINGS);
    for tenth in 0..64 {
        let step = watch.next_step(at(tenth * 100), tenth);
        assert!(matches!(step, WatchStep::Wait(_)), "{step:?}");
    }
    assert_eq!(watch.next_step(at(6400), 64), WatchStep::GiveUp);
}
