//! The timer that wakes an engine.

use std::rc::Rc;
use std::time::Duration;

use filbertpitch::engine_timer::EngineTimer;
use filbertpitch_types::prelude::*;
use filbertpitch_wire::runtime::run;
use monoio::time::{Instant, sleep};

/// Guards against an engine that is called too late because an earlier time does not replace a
/// later one, and against one that is called too early because a later time does.
#[test]
fn the_earliest_time_counts() {
    run(async {
        let (timer, mut events) = EngineTimer::new();
        let timer = Rc::new(timer);
        let start = Instant::now();
        let instant = move |due: TimePoint| start + Duration::from_micros(due.0);
        timer.arm(Some(TimePoint(5_000_000)));
        let other = Rc::clone(&timer);
        monoio::spawn(async move {
            sleep(Duration::from_millis(20)).await;
            other.arm(Some(TimePoint(60_000)));
            other.arm(Some(TimePoint(9_000_000)));
            other.arm(None);
        });
        assert!(timer.expired(&mut events, instant).await);
        let elapsed = start.elapsed();
        assert!(elapsed >= Duration::from_millis(60), "{elapsed:?}");
        assert!(elapsed < Duration::from_secs(4), "{elapsed:?}");
    })
    .unwrap();
}
