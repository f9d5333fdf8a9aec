//! The envelopes of one VM in fleets of growing size.

use std::time::Duration;

use filbertpitch_fleet::heartbeat::{LinkPace, PaceSettings, PeerCounts, PeerDistance};
use proptest::prelude::*;
use test_case::test_case;

fn pace(distance: PeerDistance, counts: PeerCounts) -> LinkPace {
    let mut pace = LinkPace::new(PaceSettings::default(), distance);
    pace.plan(counts, false);
    pace.tell();
    pace.confirm();
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

    /// Guards against a peer that waits longer for an envelope than it was told, or that is told
    /// less than it waits.
    #[test]
    fn a_peer_never_waits_longer_than_it_was_told(
        steps in prop::collection::vec((0_u32..100, 0_u32..300, 0..4_u8), 1..40)
    ) {
        let mut pace = LinkPace::new(PaceSettings::default(), PeerDistance::Near);
        // What the peer may believe.
        let mut believed = vec![pace.own_beat()];
        for (near, far, step) in steps {
            pace.plan(PeerCounts { near, far }, step == 0);
            believed.push(pace.tell());
            match step {
                0 | 1 => {
                    pace.confirm();
                    believed.drain(..believed.len() - 1);
                }
                _ => pace.doubt(),
            }
            prop_assert!(believed.iter().all(|beat| pace.own_beat() <= *beat));
        }
    }
}
