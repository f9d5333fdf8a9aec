//! The envelopes of one VM in fleets of growing size.

use std::time::Duration;

use filbertpitch_fleet::heartbeat::{HeartbeatPacing, HeartbeatSettings, PeerCounts, PeerLocality};
use proptest::prelude::*;
use test_case::test_case;

fn pacing(locality: PeerLocality, counts: PeerCounts) -> HeartbeatPacing {
    let mut pacing = HeartbeatPacing::new(HeartbeatSettings::default(), locality);
    pacing.plan_interval(counts, false);
    pacing.advertise();
    pacing.record_ack();
    pacing
}

/// Guards against slow detection of lost VMs in small fleets.
#[test_case(PeerCounts { same_zone: 1, other_zone: 4 })]
#[test_case(PeerCounts { same_zone: 2, other_zone: 4 })]
#[test_case(PeerCounts { same_zone: 10, other_zone: 0 })]
fn small_fleets_keep_the_base_interval(counts: PeerCounts) {
    for locality in [PeerLocality::SameZone, PeerLocality::OtherZone] {
        let pacing = pacing(locality, counts);
        assert_eq!(pacing.own_interval(), Duration::from_millis(150));
        assert_eq!(pacing.lost_after(), Duration::from_millis(900));
    }
}

proptest! {
    /// Guards against envelopes that use up the processor time of every VM in a large fleet.
    #[test]
    fn envelope_rate_of_a_vm_is_bounded(same_zone in 0_u32..200, other_zone in 0_u32..600) {
        let counts = PeerCounts { same_zone, other_zone };
        let rate = |locality, peers| {
            f64::from(peers) / pacing(locality, counts).own_interval().as_secs_f64()
        };
        prop_assert!(rate(PeerLocality::SameZone, same_zone) <= 100.0);
        prop_assert!(rate(PeerLocality::OtherZone, other_zone) <= 84.0);
    }

    /// Guards against reports of waiting tasks that use up the processor time under peak load.
    #[test]
    fn rate_of_demand_reports_is_bounded(same_zone in 5_u32..200, other_zone in 15_u32..600) {
        let counts = PeerCounts { same_zone, other_zone };
        let rate = |locality, peers| {
            let spacing = pacing(locality, counts).demand_spacing(counts, true);
            f64::from(peers) / spacing.as_secs_f64()
        };
        let all = rate(PeerLocality::SameZone, same_zone) + rate(PeerLocality::OtherZone, other_zone);
        prop_assert!(all <= 500.0, "{all}");
    }

    /// Guards against the two sides of a link marking each other lost at different times.
    #[test]
    fn both_sides_use_the_same_interval(same_zone in 0_u32..200, other_zone in 0_u32..600) {
        let own = pacing(PeerLocality::OtherZone, PeerCounts { same_zone, other_zone });
        let mut other = pacing(PeerLocality::OtherZone, PeerCounts::default());
        other.record_peer_interval(own.own_interval());
        prop_assert_eq!(other.lost_after(), HeartbeatSettings::default().lost_after(own.own_interval()));
        prop_assert!(other.silent_after() < other.lost_after());
        prop_assert!(other.silent_after() > own.own_interval());
    }

    /// Guards against a VM that sends envelopes less often than any interval that the peer may rely
    /// on, whatever acknowledgements are lost.
    #[test]
    fn interval_never_exceeds_what_the_peer_may_rely_on(
        steps in prop::collection::vec((0_u32..100, 0_u32..300, 0..4_u8), 1..40)
    ) {
        let mut pacing = HeartbeatPacing::new(HeartbeatSettings::default(), PeerLocality::SameZone);
        // The intervals that the peer may rely on.
        let mut relied_on = vec![pacing.own_interval()];
        for (same_zone, other_zone, step) in steps {
            pacing.plan_interval(PeerCounts { same_zone, other_zone }, step == 0);
            relied_on.push(pacing.advertise());
            match step {
                0 | 1 => {
                    pacing.record_ack();
                    relied_on.drain(..relied_on.len() - 1);
                }
                _ => pacing.record_missing_ack(),
            }
            prop_assert!(relied_on.iter().all(|interval| pacing.own_interval() <= *interval));
        }
    }
}
