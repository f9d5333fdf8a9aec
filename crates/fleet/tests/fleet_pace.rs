//! The envelopes of one VM in fleets of growing size.

use std::time::Duration;

use filbertpitch_fleet::pace::{LinkPace, PaceSettings, PeerCounts, PeerDistance};
use proptest::prelude::*;
use test_case::test_case;

fn pace(distance: PeerDistance, counts: PeerCounts) -> LinkPace {
    let mut pace = LinkPace::new(PaceSettings::default(), distance);
    pace.adapt(counts);
    pace
}

/// Guards against fleets of a few VMs that notice losses late.
#[test_case(PeerCounts { near: 1, far: 4 })]
#[test_case(PeerCounts { near: 2, far: 4 })]
#[test_case(PeerCounts { near: 10, far: 0 })]
fn a_small_fleet_keeps_the_short_beat(counts: PeerCounts) {
    for distance in [PeerDistance::Near, PeerDistance::Far] {
        let pace = pace(distance, counts);
        assert_eq!(pace.own_beat(), Duration::from_millis(150));
        assert_eq!(pace.lost_after(), Duration::from_millis(900));
    }
}

proptest! {
    /// Guards against envelopes that take the processor time of every VM in a large fleet.
    #[test]
    fn the_envelopes_of_a_vm_are_bounded(near in 0_u32..200, far in 0_u32..600) {
        let counts = PeerCounts { near, far };
        let rate = |distance, peers| {
            f64::from(peers) / pace(distance, counts).own_beat().as_secs_f64()
        };
        prop_assert!(rate(PeerDistance::Near, near) <= 100.0);
        prop_assert!(rate(PeerDistance::Far, far) <= 84.0);
    }

    /// Guards against reports of waiting tasks that do the same in the peaks.
    #[test]
    fn reports_of_waiting_tasks_are_bounded(near in 5_u32..200, far in 15_u32..600) {
        let counts = PeerCounts { near, far };
        let rate = |distance, peers| {
            let spacing = pace(distance, counts).demand_spacing(counts, true);
            f64::from(peers) / spacing.as_secs_f64()
        };
        let all = rate(PeerDistance::Near, near) + rate(PeerDistance::Far, far);
        prop_assert!(all <= 500.0, "{all}");
    }

    /// Guards against two sides of a link that miss each other at different times.
    #[test]
    fn both_sides_judge_by_the_same_beat(near in 0_u32..200, far in 0_u32..600) {
        let own = pace(PeerDistance::Far, PeerCounts { near, far });
        let mut other = pace(PeerDistance::Far, PeerCounts::default());
        other.learn(own.own_beat());
        prop_assert_eq!(other.lost_after(), own.missed_after());
        prop_assert!(other.silent_after() < other.lost_after());
        prop_assert!(other.silent_after() > own.own_beat());
    }

    /// Guards against an interval that shrinks before the peer was told.
    #[test]
    fn a_beat_never_shrinks(sizes in prop::collection::vec((0_u32..100, 0_u32..300), 1..20)) {
        let mut pace = LinkPace::new(PaceSettings::default(), PeerDistance::Near);
        let mut before = pace.own_beat();
        for (near, far) in sizes {
            let told = pace.adapt(PeerCounts { near, far });
            prop_assert_eq!(told, pace.own_beat() > before);
            prop_assert!(pace.own_beat() >= before);
            before = pace.own_beat();
        }
    }
}
