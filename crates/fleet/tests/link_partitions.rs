//! Partitions of the link between a coordinator and a holder that begin or end in one direction
//! first, with messages in flight. The simulation checks at each start that the task runs nowhere
//! else.

mod support;

use std::time::Duration;

use filbertpitch_fleet::engine::FleetNotice;
use support::{JobShape, SimFleet, SimOptions};
use test_case::test_case;

/// The coordinator, which holds one target, and the holder of the other targets.
const COORDINATOR: usize = 0;
const HOLDER: usize = 1;

/// Seeds with which a request of the coordinator reaches the holder between the loss and the message
/// that tells of it.
const SEEDS: [u64; 3] = [32, 75, 101];

/// The target that the coordinator holds itself.
const OWN_TARGET: usize = 0;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Two VMs in two zones. Most tasks of the first one have to run on targets of the second one.
fn two_vms(seed: u64) -> SimFleet {
    let mut fleet = SimFleet::new(SimOptions {
        seed,
        vms: vec![1, 1],
        targets: vec![1, 4],
        cores: 256,
        ..SimOptions::default()
    });
    fleet.run_for(Duration::from_secs(3));
    fleet
}

/// Submits long jobs to the coordinator for a while, so that requests, ends and refusals are in
/// flight at all times.
fn keep_busy(fleet: &mut SimFleet, duration: Duration) {
    let end = fleet.now + duration.as_micros() as u64;
    while fleet.now < end {
        fleet.submit(
            COORDINATOR,
            JobShape {
                tasks: 1,
                cores: 1,
                work: ms(3000),
                declared: ms(3000),
                client_timeout: ms(20_000),
                ..JobShape::default()
            },
        );
        fleet.run_for(ms(20));
    }
}

/// Runs until a VM has marked its peer lost.
fn run_until_loss(fleet: &mut SimFleet, vm: usize) {
    let before = fleet.notices.len();
    let lost = |fleet: &SimFleet| {
        let mut notices = fleet.notices[before..].iter();
        notices.any(|(_, by, notice)| *by == vm && matches!(notice, FleetNotice::PeerLost { .. }))
    };
    while !lost(fleet) {
        keep_busy(fleet, ms(5));
    }
}

/// Guards against a run that its holder renews although its coordinator counts it as dropped: the
/// holder does not hear the coordinator, drops its work, and hears it again before the coordinator
/// has learned of that.
#[test_case(COORDINATOR, HOLDER; "the holder does not hear the coordinator")]
#[test_case(HOLDER, COORDINATOR; "the coordinator does not hear the holder")]
fn run_accepted_after_a_drop_is_not_started_elsewhere(from: usize, to: usize) {
    for seed in SEEDS {
        let mut fleet = two_vms(seed);
        fleet.targets[OWN_TARGET].draining = true;
        keep_busy(&mut fleet, ms(1500 + seed * 7));
        fleet.cut_direction(from, to, true);
        run_until_loss(&mut fleet, to);
        fleet.cut_direction(from, to, false);
        keep_busy(&mut fleet, ms(500));
        // What counts as dropped would be started here.
        fleet.targets[OWN_TARGET].draining = false;
        keep_busy(&mut fleet, ms(3000));
        assert!(fleet.targets[OWN_TARGET].starts > 0);
    }
}
