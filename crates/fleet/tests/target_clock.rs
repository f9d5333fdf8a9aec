//! The lower bound of a target's clock, and the leases that are counted from it.

use std::time::Duration;

use filbertpitch_fleet::held::{EXPIRY_TIME, HeldSettings};
use filbertpitch_fleet::lease_limits::LEASE_MARGIN;
use filbertpitch_fleet::link::LinkSettings;
use filbertpitch_fleet::target_clock::{TargetClock, longest_lease_within, max_lease_duration};
use filbertpitch_types::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

const START: TimePoint = TimePoint(10_000_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against deadlines computed from a clock that was never read.
#[test]
fn clock_is_unknown_before_the_first_sample() {
    assert_eq!(TargetClock::default().at(START), None);
}

/// Guards against a bound ahead of the target's clock because part of the exchange was counted as the way
/// back, and against one that is behind by more than the way back and the drift.
#[test]
fn sample_refers_to_the_arrival_of_the_response() {
    let mut clock = TargetClock::default();
    clock.observe(START + ms(10), TargetTime(500));
    assert_eq!(clock.at(START + ms(10)), Some(TargetTime(500)));
    assert_eq!(clock.at(START + ms(110)), Some(TargetTime(598)));
}

/// Guards against a bound ahead of a slow clock because a part of a millisecond was rounded up.
#[test]
fn bound_is_rounded_down() {
    let mut clock = TargetClock::default();
    clock.observe(START, TargetTime(500));
    assert_eq!(clock.at(START + ms(1)), Some(TargetTime(500)));
    let passed = Duration::from_micros(1021);
    assert_eq!(clock.at(START + passed), Some(TargetTime(501)));
}

/// Guards against requests that expire before they arrive, after one slow response.
#[test]
fn a_slow_exchange_does_not_replace_a_precise_sample() {
    let mut clock = TargetClock::default();
    clock.observe(START + ms(2), TargetTime(500));
    clock.observe(START + ms(700), TargetTime(601));
    assert_eq!(clock.at(START + ms(702)), Some(TargetTime(1186)));
}

/// Guards against requests that expire early because the bound lags behind by the drift that a target may
/// have, but does not have, since an old sample.
#[test]
fn a_response_that_raises_the_bound_replaces_the_sample() {
    let mut clock = TargetClock::default();
    clock.observe(START + ms(2), TargetTime(500));
    clock.observe(START + ms(52), TargetTime(550));
    assert_eq!(clock.at(START + ms(52)), Some(TargetTime(550)));
    clock.observe(START + ms(3010), TargetTime(3600));
    assert_eq!(clock.at(START + ms(3010)), Some(TargetTime(3600)));
}

/// Guards against deadlines on the clock of a target before its restart.
#[test]
fn reset_discards_the_clock_of_the_former_instance() {
    let mut clock = TargetClock::default();
    clock.observe(START + ms(2), TargetTime(500));
    clock.reset();
    assert_eq!(clock.at(START + ms(3)), None);
    clock.observe(START + ms(4), TargetTime(7));
    assert_eq!(clock.at(START + ms(4)), Some(TargetTime(7)));
}

/// Guards against a lease that counts as ended before it ends on a target whose clock is slow.
#[test_case(Duration::ZERO, 0)]
#[test_case(ms(98), 100_000)]
#[test_case(ms(250), 255_103)]
#[test_case(ms(1000), 1_020_409)]
fn lease_lasts_longer_on_a_slow_clock(lease: Duration, micros: u64) {
    assert_eq!(max_lease_duration(lease), Duration::from_micros(micros));
}

/// A target's clock, in parts of a microsecond that keep it exact.
struct TrueClock {
    rate_percent: u64,
    origin_ms: u64,
}

impl TrueClock {
    /// The time that the clock shows, rounded down.
    fn at(&self, now: TimePoint) -> TargetTime {
        let advanced = (now.0 - START.0) * self.rate_percent / 100;
        TargetTime(self.origin_ms + advanced / 1000)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, rng_seed: RngSeed::Fixed(43), ..ProptestConfig::default() })]

    /// Guards against a bound ahead of the target's clock, and against a lease from this bound that outlasts
    /// what is counted for it, whatever the transit times, the drift and the age of the sample.
    #[test]
    fn lease_from_the_bound_ends_in_time(
        rate_percent in 98..=100_u64,
        responses in proptest::collection::vec((0..3_000_000_u64, 0..400_000_u64), 1..12),
        age in 0..10_000_000_u64,
        lease in 0..2000_u64,
    ) {
        let truth = TrueClock { rate_percent, origin_ms: 7_000 };
        let mut clock = TargetClock::default();
        let mut now = START;
        for (pause, way_back) in responses {
            let sent = now + Duration::from_micros(pause);
            now = sent + Duration::from_micros(way_back);
            clock.observe(now, truth.at(sent));
            prop_assert!(clock.at(now) <= Some(truth.at(now)));
            prop_assert!(clock.at(now) >= Some(truth.at(sent)));
        }
        now = now + Duration::from_micros(age);
        let bound = clock.at(now).unwrap();
        prop_assert!(bound <= truth.at(now));
        let lease_end = TargetTime(bound.0 + lease);
        prop_assert!(lease_end <= truth.at(now + max_lease_duration(ms(lease))));
    }

    /// Guards against a lease that outlasts the limit for which it was chosen, and against one that is
    /// shorter than the limit requires.
    #[test]
    fn lease_fills_its_limit(micros in 0..10_000_000_u64) {
        let limit = Duration::from_micros(micros);
        let lease = longest_lease_within(limit);
        prop_assert!(max_lease_duration(lease) <= limit);
        let longer = lease + Duration::from_micros(1);
        prop_assert!(max_lease_duration(longer) > limit);
    }
}

/// When the platform's clients send their jobs again after a failure of their VM.
const RESEND_DELAY: Duration = Duration::from_millis(1300);

/// Guards against a second run while the first one still runs, because the lease that a late request is
/// granted lasts longer on a slow clock.
#[test]
fn first_and_renewed_leases_end_in_time_with_the_default_settings() {
    let (held, links) = (HeldSettings::default(), LinkSettings::default());
    let first = links.max_request_delay + max_lease_duration(held.lease);
    let renewed = held.coordinator_timeout;
    let margin = RESEND_DELAY - first.max(renewed);
    assert!(margin >= LEASE_MARGIN, "{first:?} {renewed:?}");
    assert!(LEASE_MARGIN >= EXPIRY_TIME);
}
