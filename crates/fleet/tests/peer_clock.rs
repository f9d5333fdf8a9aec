//! Bounds on the clock of a peer.

use std::time::Duration;

use filbertpitch_fleet::peer_clock::PeerClock;
use filbertpitch_types::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;

const START: TimePoint = TimePoint(10_000_000);

/// The time of the peer's clock at local time `START`.
const PEER_START: TimePoint = TimePoint(1_000_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against taking a message for younger than the exchange shows, and against a bound that loses
/// more than the clocks may differ.
#[test]
fn age_is_bounded_by_the_exchange_and_the_drift() {
    let mut clock = PeerClock::default();
    assert_eq!(clock.not_before(PEER_START), None);
    clock.observe(START, PEER_START + ms(3));
    let earliest = |after| clock.not_before(PEER_START + ms(3 + after)).unwrap();
    for (after, loss) in [(0, 0), (1_000, 1), (60_000, 60)] {
        let expected = START + ms(after - loss);
        assert!(earliest(after) <= expected, "{after} ms");
        assert!(earliest(after) >= expected - ms(1), "{after} ms");
    }
    let before = clock.not_before(PEER_START).unwrap();
    assert!(before <= START - ms(3) && before >= START - ms(4));
}

/// Guards against a slow exchange that replaces a better bound, and against keeping a bound that has lost
/// more by the drift.
#[test]
fn best_exchange_counts() {
    let mut clock = PeerClock::default();
    clock.observe(START, PEER_START + ms(400));
    clock.observe(START + ms(1_000), PEER_START + ms(1_005));
    let fast = clock;
    clock.observe(START + ms(2_000), PEER_START + ms(2_300));
    assert_eq!(clock, fast);
    // Exchanges may be recorded in another order.
    clock.observe(START, PEER_START + ms(400));
    assert_eq!(clock, fast);
    clock.observe(START + ms(101_000), PEER_START + ms(101_050));
    assert_ne!(clock, fast);
}

/// Guards against times that do not fit: the numbers come from another VM.
#[test]
fn extreme_times_are_accepted() {
    let mut clock = PeerClock::default();
    clock.observe(START, TimePoint(u64::MAX));
    assert_eq!(clock.not_before(TimePoint(0)), Some(TimePoint(0)));
    let mut clock = PeerClock::default();
    clock.observe(TimePoint(u64::MAX), TimePoint(0));
    assert!(clock.not_before(TimePoint(u64::MAX)).is_some());
}

/// The clock of a VM, in microseconds, at a time in nanoseconds.
#[derive(Clone, Copy, Debug)]
struct SteadyClock {
    origin_us: u64,
    /// How much faster than real time it is, in parts per million.
    speed_ppm: i64,
}

impl SteadyClock {
    fn read(self, time_ns: u64) -> TimePoint {
        let elapsed = i128::from(time_ns) * (1_000_000 + i128::from(self.speed_ppm)) / 1_000_000;
        TimePoint(self.origin_us + u64::try_from(elapsed / 1000).unwrap())
    }
}

fn steady_clock() -> impl Strategy<Value = SteadyClock> {
    (1_000_000..1_000_000_000_000_u64, -499..=499_i64).prop_map(|(origin_us, speed_ppm)| {
        SteadyClock {
            origin_us,
            speed_ppm,
        }
    })
}

/// An exchange, followed by a message of the peer. Times in nanoseconds.
#[derive(Clone, Copy, Debug)]
struct ExchangeTimes {
    pause: u64,
    /// From the time stamp of this VM until the peer has read its clock: a stall before sending, the
    /// transit, and a stall at the peer.
    answered_after: u64,
    /// From that time until the message is made, or the other way round.
    message_after: i64,
}

fn exchange_times() -> impl Strategy<Value = ExchangeTimes> {
    let pause = prop_oneof![0..500_000_000_u64, 0..600_000_000_000_u64];
    let answer = prop_oneof![0..5_000_000_u64, 0..2_000_000_000_u64];
    let message = -500_000_000..5_000_000_000_i64;
    (pause, answer, message).prop_map(|(pause, answered_after, message_after)| ExchangeTimes {
        pause,
        answered_after,
        message_after,
    })
}

proptest! {
    /// Guards against any transit times, stalls, clock origins and order of the exchanges with which a
    /// message seems to have been sent later than it was.
    #[test]
    fn bound_is_never_later_than_the_sending(
        local in steady_clock(),
        remote in steady_clock(),
        exchanges in vec(exchange_times(), 1..30),
        order in any::<bool>(),
    ) {
        let mut time = 1_000_000_000_u64;
        let mut observed = Vec::new();
        let mut messages = Vec::new();
        for exchange in exchanges {
            time += exchange.pause;
            let answered = time + exchange.answered_after;
            observed.push((local.read(time), remote.read(answered)));
            messages.push(answered.saturating_add_signed(exchange.message_after));
        }
        if order {
            observed.reverse();
        }
        let mut clock = PeerClock::default();
        for (sent, shown) in observed {
            clock.observe(sent, shown);
            for made in &messages {
                let earliest = clock.not_before(remote.read(*made)).unwrap();
                prop_assert!(earliest <= local.read(*made));
            }
        }
    }
}
