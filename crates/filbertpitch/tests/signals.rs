//! Termination signals. The only test of its binary, because signals reach the whole process.

use std::time::Duration;

use filbertpitch::signals::TerminationSignals;
use filbertpitch_wire::runtime::run;
use monoio::time::{sleep, timeout};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::low_level::raise;

/// Guards against a process that dies from a signal in place of draining.
#[test]
fn signals_reach_the_loop() {
    run(async {
        let mut signals = TerminationSignals::register().unwrap();
        let early = timeout(Duration::from_millis(20), signals.next()).await;
        assert!(early.is_err(), "a signal before the first one was sent");
        for signal in [SIGTERM, SIGINT, SIGTERM] {
            monoio::spawn(async move {
                sleep(Duration::from_millis(10)).await;
                raise(signal).unwrap();
            });
            let received = timeout(Duration::from_secs(2), signals.next()).await;
            received.expect("the signal was not received").unwrap();
        }
    })
    .unwrap();
}
