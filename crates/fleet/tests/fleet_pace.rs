//! The envelopes of one VM in fleets of growing size.

use std::time::Duration;

use filbertpitch_fleet::heartbeat::{HeartbeatPacing, HeartbeatSettings, PeerCounts, PeerLocality};
use proptest::prelude::*;
use test_case::test_case;

fn pace(distance: PeerLocality, counts: PeerCounts) -> HeartbeatPacing {
    let mut pace = HeartbeatPacing::new(HeartbeatSettings::default(), distance);
    pace.plan_interval(counts, false);
    pace.advertise();
    pace.record_ack();
    pace
}

/// Guards against fleets of a few VMs that notice losses late.
#[test_case(PeerCounts { same_zone: 1, other_zone: 4 })]
#[test_case(PeerCounts { same_zone: 2, other_zone: 4 })]
#[test_case(PeerCounts { same_zone: 10, other_zone: 0 })]
fn a_small_fleet_keeps_the_short_beat(counts: PeerCounts) {
    for distance in [PeerLocality::SameZone, PeerLocality::OtherZone] {
        let pace = pace(distance, counts);
        assert_eq!(pace.own_interval(), Duration::from_millis(150));
        assert_eq!(pace.lost_after(), Duration::from_millis(900));
    }
}

proptest! {
    /// Guards against envelopes that take the processor time of every VM in a large fleet.
    #[test]
    fn the_envelopes_of_a_vm_are_bounded(near in 0_u32..200, far in 0_u32..600) {
        let counts = PeerCounts { same_zone: near, other_zone: far };
        let rate = |distance, peers| {
            f64::from(peers) / pace(distance, counts).own_interval().as_secs_f64()
        };
        prop_assert!(rate(PeerLocality::SameZone, near) <= 100.0);
        prop_assert!(rate(PeerLocality::OtherZone, far) <= 84.0);
    }

    /// Guards against reports of waiting tasks that do the same in the peaks.
    #[test]
    fn reports_of_waiting_tasks_are_bounded(near in 5_u32..200, far in 15_u32..600) {
        let counts = PeerCounts { same_zone: near, other_zone: far };
        let rate = |distance, peers| {
            let spacing = pace(distance, counts).demand_spacing(counts, true);
            f64::from(peers) / spacing.as_secs_f64()
        };
        let all = rate(PeerLocality::SameZone, near) + rate(PeerLocality::OtherZone, far);
        prop_assert!(all <= 500.0, "{all}");
    }

    /// Guards against two sides of a link that miss each other at different times.
    #[test]
    fn both_sides_judge_by_the_same_beat(near in 0_u32..200, far in 0_u32..600) {
        let own = pace(PeerLocality::OtherZone, PeerCounts { same_zone: near, other_zone: far });
        let mut other = pace(PeerLocality::OtherZone, PeerCounts::default());
        other.record_peer_interval(own.own_interval());
        prop_assert_eq!(other.lost_after(), own.peer_lost_after());
        prop_assert!(other.silent_after() < other.lost_after());
        prop_assert!(other.silent_after() > own.own_interval());
    }

    /// Guards against a peer that waits longer for an envelope than it was told, or that is told
    /// less than it waits.
    #[test]
    fn a_peer_never_waits_longer_than_it_was_told(
        steps in prop::collection::vec((0_u32..100, 0_u32..300, 0..4_u8), 1..40)
    ) {
        let mut pace = HeartbeatPacing::new(HeartbeatSettings::default(), PeerLocality::SameZone);
        // What the peer may believe.
        let mut believed = vec![pace.own_interval()];
        for (near, far, step) in steps {
            pace.plan_interval(PeerCounts { same_zone: near, other_zone: far }, step == 0);
            believed.push(pace.advertise());
            match step {
                0 | 1 => {
                    pace.record_ack();
                    believed.drain(..believed.len() - 1);
                }
                _ => pace.record_missing_ack(),
            }
            prop_assert!(believed.iter().all(|beat| pace.own_interval() <= *beat));
        }
    }
}
