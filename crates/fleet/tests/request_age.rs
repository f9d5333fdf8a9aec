//! Requests of a coordinator that reach a holder late. The simulation checks at each start that the task
//! runs nowhere else.

mod support;

use std::time::Duration;

use filbertpitch_fleet::engine::FleetNotice;
use filbertpitch_fleet::link::LinkSettings;
use filbertpitch_types::fleet::PlaceRefusal;
use support::{JobShape, SimFleet, SimOptions};
use test_case::test_case;

/// The coordinator, in a zone of its own without targets.
const COORDINATOR: usize = 0;

/// The holder to which the link of the coordinator is slow. Another VM holds the targets of a third zone.
const HOLDER: usize = 1;

/// The longest time from the decision of a holder to the arrival of the request at the target.
const START_TRANSIT_US: u64 = 5_000;

const SEEDS: u64 = 8;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn fleet_of_three_zones(seed: u64) -> SimFleet {
    SimFleet::new(SimOptions {
        seed,
        vms: vec![1, 1, 1],
        targets: vec![0, 2, 2],
        cores: 64,
        ..SimOptions::default()
    })
}

fn keep_busy(fleet: &mut SimFleet, duration: Duration) {
    let end = fleet.now + duration.as_micros() as u64;
    while fleet.now < end {
        let shape = JobShape {
            tasks: 1,
            cores: 2,
            work: ms(3000),
            declared: ms(3000),
            client_timeout: ms(20_000),
            ..JobShape::default()
        };
        fleet.submit(COORDINATOR, shape);
        fleet.run_for(ms(10));
    }
}

/// The longest time from the request to run a task to its start, in microseconds.
fn longest_delay(fleet: &SimFleet) -> u64 {
    let mut longest = 0;
    for (task, record) in &fleet.tasks {
        for start in &record.starts {
            let placed = fleet.notices.iter().rev().find(|(at, _, notice)| {
                let of_task =
                    matches!(notice, FleetNotice::TaskPlaced { run, .. } if run.task == *task);
                of_task && *at <= start.at
            });
            longest = longest.max(placed.map_or(0, |(at, ..)| start.at - at));
        }
    }
    longest
}

/// Guards against a run that starts after its coordinator has counted it as over: the holder cannot tell
/// the age of the requests, and is paused before it learns that the coordinator has marked it lost.
#[test_case(ms(230), Duration::ZERO, true; "slow from the start")]
#[test_case(ms(600), Duration::ZERO, false; "so slow from the start that the holder does not count the coordinator as live")]
#[test_case(ms(600), Duration::from_secs(20), true; "slow for more than the last 64 envelopes")]
fn late_request_is_not_carried_out(delay: Duration, fast_for: Duration, requested: bool) {
    for seed in 1..=SEEDS {
        let mut fleet = fleet_of_three_zones(seed);
        fleet.run_for(fast_for);
        fleet
            .slow_links
            .insert((COORDINATOR, HOLDER), delay.as_micros() as u64);
        fleet.run_for(Duration::from_secs(14));
        keep_busy(&mut fleet, ms(2000));
        fleet.cut_direction(HOLDER, COORDINATOR, true);
        keep_busy(&mut fleet, ms(1000));
        fleet.freeze_vm(HOLDER, ms(3000));
        keep_busy(&mut fleet, ms(1000));
        fleet.run_for(ms(3000));
        let limit = LinkSettings::default().max_request_delay.as_micros() as u64;
        let longest = longest_delay(&fleet);
        assert!(
            longest < limit + START_TRANSIT_US,
            "seed {seed}: {longest} us"
        );
        let stale = fleet.notices.iter().filter(|(.., notice)| {
            let stale = PlaceRefusal::Stale;
            matches!(notice, FleetNotice::PlaceRefused { refusal, .. } if *refusal == stale)
        });
        assert_eq!(stale.count() > 0, requested, "seed {seed}");
    }
}

/// Guards against a receiver that coordinates a forwarded job although the VM that has forwarded it may
/// have given the job up: the link has been slow from the start.
#[test]
fn forwarded_job_that_arrives_late_is_not_taken() {
    const FIRST: usize = 0;
    const RECEIVER: usize = 1;
    for seed in 1..=SEEDS {
        let mut fleet = SimFleet::new(SimOptions {
            seed,
            vms: vec![2],
            targets: vec![4],
            forwarding: Some(vec![FIRST]),
            ..SimOptions::default()
        });
        fleet.slow_links.insert((FIRST, RECEIVER), 230_000);
        fleet.run_for(Duration::from_secs(3));
        for _ in 0..20 {
            fleet.submit(FIRST, JobShape::default());
            fleet.run_for(ms(60));
        }
        fleet.run_for(ms(2000));
        let forwarded = fleet.engine(FIRST).counters().jobs_forwarded;
        let received = fleet.engine(RECEIVER).counters().jobs_received;
        assert!(forwarded > 0, "seed {seed}");
        assert_eq!(received, 0, "seed {seed}: {forwarded} forwarded");
    }
}
