//! Zones that the operator closes and opens while VMs, links and reads of the store fail.
//!
//! The simulation panics at a start in a zone that was closed more than 5 s before, whichever VM sends it,
//! unless that VM could not learn of the closure.

mod support;

use std::time::Duration;

use filbertpitch_dispatch::entity::TargetIndex;
use filbertpitch_fleet::closed_zones::ClosedZones;
use filbertpitch_fleet::engine::FleetNotice;
use filbertpitch_fleet::registry::TargetRegistry;
use filbertpitch_types::fleet::{
    JobReply, PlaceRefusal, RejectReason, TargetChange, TargetEntry, TargetState, ZoneChange,
    ZoneRead, ZoneReport,
};
use filbertpitch_types::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::{JobShape, SimFleet, SimOptions};

const START: TimePoint = TimePoint(60_000_000);

/// The limit from the operator's record to the last start.
const CLOSURE_LIMIT: Duration = Duration::from_secs(5);

/// The zone of the first targets.
const FIRST_ZONE: &str = "zone-0";
const SECOND_ZONE: &str = "zone-1";

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn zone(name: &str) -> ZoneName {
    name.parse().unwrap()
}

fn change(offset: u64, closed: bool) -> ZoneChange {
    ZoneChange {
        zone: zone(FIRST_ZONE),
        offset: LogOffset(offset),
        closed,
    }
}

fn report(offset: u64, closed: bool) -> ZoneReport {
    ZoneReport {
        zone: zone(FIRST_ZONE),
        offset: LogOffset(offset),
        closed,
        age_ms: 200,
    }
}

/// A read of the changes up to an offset.
fn read(changes: Vec<ZoneChange>, through: u64) -> ZoneRead {
    ZoneRead {
        changes,
        through: LogOffset(through),
        ..ZoneRead::default()
    }
}

fn complete_read(changes: Vec<ZoneChange>, through: u64) -> ZoneRead {
    ZoneRead {
        complete: true,
        ..read(changes, through)
    }
}

fn is_closed(zones: &ClosedZones) -> bool {
    zones.is_closed(&zone(FIRST_ZONE))
}

/// Guards against a closure that outlasts its record, because the store has dropped the record that
/// opened the zone.
#[test]
fn complete_read_opens_zones_that_it_does_not_list() {
    let mut zones = ClosedZones::default();
    zones.apply_read(START, read(vec![change(90, true)], 91));
    assert!(is_closed(&zones));
    let opened = zones.apply_read(START, complete_read(Vec::new(), 100));
    assert_eq!(opened.len(), 1);
    assert!(!is_closed(&zones));
    // The record that follows the read directly.
    zones.apply_read(START, read(vec![change(100, true)], 101));
    assert!(is_closed(&zones));
}

/// Guards against a complete read that opens a zone which was closed after it, as a peer has reported.
#[test]
fn complete_read_does_not_open_zones_that_were_closed_later() {
    let mut zones = ClosedZones::default();
    zones.merge(START, &[report(100, true)]);
    zones.apply_read(START, complete_read(Vec::new(), 100));
    assert!(is_closed(&zones));
}

/// Guards against a zone that stays open because the store does not state the offset of its record.
#[test]
fn complete_read_closes_zones_whose_offset_is_not_stated() {
    let mut zones = ClosedZones::default();
    zones.apply_read(START, read(vec![change(90, true), change(95, false)], 96));
    zones.apply_read(START, complete_read(vec![change(0, true)], 120));
    assert!(is_closed(&zones));
}

/// Guards against envelopes that arrive out of order or come from VMs with former knowledge.
#[test]
fn higher_offset_wins_among_peers() {
    let mut zones = ClosedZones::default();
    let merge = zones.merge(START, &[report(90, true)]);
    assert_eq!(merge.transitions.len(), 1);
    assert_eq!(merge.transitions[0].age, ms(200));
    // The clock of a VM that has just started is lower than the age.
    let mut young = ClosedZones::default();
    let later = START + ms(5000);
    young.merge(TimePoint(1_000_000), &zones.reports(later));
    assert_eq!(young.reports(TimePoint(1_000_000))[0].age_ms, 5200);
    assert!(zones.merge(START, &[report(80, false)]).sender_is_behind);
    assert!(is_closed(&zones));
    assert_eq!(
        zones.merge(START, &[report(95, false)]).transitions.len(),
        1
    );
    assert!(zones.merge(START, &[report(90, true)]).sender_is_behind);
    assert!(!is_closed(&zones));
    assert!(zones.is_empty());
}

/// Guards against a closure that spreads again from a VM that could not read its removal, to VMs that have
/// started since and have never known of it; and against a VM that is not told.
#[test]
fn closure_that_the_store_no_longer_has_is_contradicted() {
    let mut young = ClosedZones::default();
    young.apply_read(START, complete_read(Vec::new(), 100));
    let mut isolated = ClosedZones::default();
    isolated.merge(START, &[report(90, true)]);
    let merge = young.merge(START, &isolated.reports(START));
    assert!(merge.sender_is_behind);
    assert!(!is_closed(&young));
    isolated.merge(START, &young.reports(START));
    assert!(!is_closed(&isolated));
}

/// Guards against two VMs that answer each other forever, and against envelopes that repeat an opened
/// zone forever.
#[test]
fn reports_end_when_both_sides_know_the_same() {
    let mut zones = ClosedZones::default();
    let mut peer = ClosedZones::default();
    assert!(zones.reports(START).is_empty());
    zones.apply_read(START, read(vec![change(90, true)], 91));
    assert!(zones.merge(START, &peer.reports(START)).sender_is_behind);
    peer.merge(START, &zones.reports(START));
    assert!(!zones.merge(START, &peer.reports(START)).sender_is_behind);
    assert!(!peer.merge(START, &zones.reports(START)).sender_is_behind);
    zones.apply_read(START, read(vec![change(91, false)], 92));
    peer.merge(START, &zones.reports(START));
    assert!(!zones.merge(START, &peer.reports(START)).sender_is_behind);
    let later = START + Duration::from_secs(61);
    assert!(zones.reports(later).is_empty());
    // A peer that still has the zone closed is told again.
    assert!(zones.merge(later, &[report(90, true)]).sender_is_behind);
    assert_eq!(
        zones.reports(later),
        [ZoneReport {
            age_ms: 61_000,
            ..report(91, false)
        }]
    );
}

/// A step of the exchange among VMs: the operator writes, or a VM reads or hears another one.
#[derive(Clone, Copy, Debug)]
enum ExchangeStep {
    Write { zone: usize, closed: bool },
    Read { vm: usize },
    ReadNewest { vm: usize },
    Hear { vm: usize, from: usize },
}

const ZONES: [&str; 2] = [FIRST_ZONE, SECOND_ZONE];
const READERS: usize = 3;

fn exchange_step() -> impl Strategy<Value = ExchangeStep> {
    prop_oneof![
        (0..ZONES.len(), any::<bool>())
            .prop_map(|(zone, closed)| ExchangeStep::Write { zone, closed }),
        (0..READERS).prop_map(|vm| ExchangeStep::Read { vm }),
        (0..READERS).prop_map(|vm| ExchangeStep::ReadNewest { vm }),
        (0..READERS, 0..READERS).prop_map(|(vm, from)| ExchangeStep::Hear { vm, from }),
    ]
}

/// The records of the operator from an offset on; with `newest` only the last one of each zone, if it
/// closes the zone.
fn records(log: &[(usize, bool)], from: usize, newest: bool) -> ZoneRead {
    let records = log.iter().enumerate().skip(from);
    let kept = records.filter(|(offset, (zone, closed))| {
        let mut later = log[offset + 1..].iter();
        !newest || (*closed && later.all(|(other, _)| other != zone))
    });
    let changes = kept.map(|(offset, (index, closed))| ZoneChange {
        zone: zone(ZONES[*index]),
        offset: LogOffset(offset as u64),
        closed: *closed,
    });
    ZoneRead {
        complete: newest,
        ..read(changes.collect(), log.len() as u64)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, rng_seed: RngSeed::Fixed(41), ..ProptestConfig::default() })]

    /// Guards against VMs that disagree about a zone after they have heard a VM that has read all records,
    /// and against a VM that has read all records itself and believes otherwise, in whichever order reads
    /// and envelopes arrive.
    #[test]
    fn vms_agree_after_an_exchange(steps in prop::collection::vec(exchange_step(), 0..40)) {
        let mut vms = vec![ClosedZones::default(); READERS];
        let mut positions = [0; READERS];
        let mut log = Vec::new();
        let truth = |log: &[(usize, bool)], zone: usize| {
            let latest = log.iter().rev().find(|(other, _)| *other == zone);
            latest.is_some_and(|(_, closed)| *closed)
        };
        for step in steps {
            match step {
                ExchangeStep::Write { zone, closed } => log.push((zone, closed)),
                ExchangeStep::Read { vm } => {
                    vms[vm].apply_read(START, records(&log, positions[vm], false));
                    positions[vm] = log.len();
                }
                ExchangeStep::ReadNewest { vm } => {
                    vms[vm].apply_read(START, records(&log, 0, true));
                    positions[vm] = log.len();
                }
                ExchangeStep::Hear { vm, from } => {
                    let reports = vms[from].reports(START);
                    vms[vm].merge(START, &reports);
                }
            }
            for vm in (0..READERS).filter(|vm| positions[*vm] == log.len()) {
                for (index, name) in ZONES.iter().enumerate() {
                    prop_assert_eq!(vms[vm].is_closed(&zone(name)), truth(&log, index));
                }
            }
        }
        vms[0].apply_read(START, records(&log, positions[0], false));
        for vm in 1..READERS {
            let reports = vms[vm].reports(START);
            vms[0].merge(START, &reports);
            let reports = vms[0].reports(START);
            vms[vm].merge(START, &reports);
            for (index, name) in ZONES.iter().enumerate() {
                prop_assert_eq!(vms[vm].is_closed(&zone(name)), truth(&log, index));
            }
        }
    }
}

/// Guards against a VM that awakes from a pause and starts tasks before it can know that their zone was
/// closed meanwhile, and against a VM without the store that never starts anything again.
#[test]
fn nothing_starts_after_a_long_pause_until_the_records_are_read() {
    let mut registry = TargetRegistry::default();
    let target = list_target(&mut registry);
    let mut zones = ClosedZones::default();
    let wake = START + Duration::from_secs(7);
    zones.resume_from_pause(START, ms(400));
    assert!(zones.may_start(&registry, target));
    zones.resume_from_pause(wake, Duration::from_secs(7));
    // The response to a read from before the pause says nothing about it.
    let early = ZoneRead {
        requested_at: START,
        ..read(Vec::new(), 5)
    };
    zones.apply_read(wake, early);
    assert!(!zones.may_start(&registry, target));
    let mut without_store = zones.clone();
    let fresh = ZoneRead {
        requested_at: wake,
        ..read(Vec::new(), 5)
    };
    zones.apply_read(wake, fresh);
    assert!(zones.may_start(&registry, target));
    assert!(!without_store.advance(wake + ms(1400)));
    assert!(without_store.advance(wake + ms(1500)));
    assert!(without_store.may_start(&registry, target));
}

fn list_target(registry: &mut TargetRegistry) -> TargetIndex {
    let entry = TargetEntry {
        name: "target-1".parse().unwrap(),
        service: "jobs".parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: zone(FIRST_ZONE),
        state: TargetState::Ready,
        capacity: ResourceVector::from((32_000, 1024, 0)),
        labels: Vec::new(),
        boot: None,
        cold_remaining: Duration::ZERO,
        remaining: None,
    };
    registry.apply(START, TargetChange::Listed(entry))
}

fn fleet_of(vms: Vec<usize>, targets: Vec<usize>) -> SimFleet {
    let mut fleet = SimFleet::new(SimOptions {
        vms,
        targets,
        ..SimOptions::default()
    });
    fleet.run_for(Duration::from_secs(3));
    fleet
}

fn task(cores: u32, work: Duration) -> JobShape {
    JobShape {
        tasks: 1,
        cores,
        work,
        declared: work,
        client_timeout: work + Duration::from_secs(20),
        ..JobShape::default()
    }
}

/// The starts on the targets of a zone so far.
fn starts_in(fleet: &SimFleet, name: &str) -> u64 {
    let places = fleet.targets.iter();
    let places = places.filter(|place| place.zone.as_str() == name);
    places.map(|place| place.starts).sum()
}

fn reason_of(fleet: &SimFleet, job: JobId) -> Option<RejectReason> {
    match fleet.jobs[&job].reply {
        Some(JobReply::Rejected { reason, .. }) => Some(reason),
        _ => None,
    }
}

fn closed_on(fleet: &SimFleet, vm: usize) -> bool {
    fleet.engine(vm).view().closed_zones == 1
}

/// Submits jobs to all VMs in turn.
fn submit_burst(fleet: &mut SimFleet, duration: Duration, gap: Duration) -> Vec<JobId> {
    let end = fleet.now + duration.as_micros() as u64;
    let mut jobs = Vec::new();
    while fleet.now < end {
        let vm = jobs.len() % fleet.vm_count();
        let shape = JobShape {
            tasks: 2,
            cores: 8,
            ..JobShape::default()
        };
        jobs.push(fleet.submit(vm, shape));
        fleet.run_for(gap);
    }
    jobs
}

/// Guards against starts in a zone that is closed during a burst: requests and offers are in flight, and
/// holders know of the closure before some coordinators. The runs of the zone finish there.
#[test]
fn closed_zone_gets_nothing_during_a_burst() {
    let mut fleet = fleet_of(vec![2, 2], vec![4, 4]);
    let long = fleet.submit(0, task(8, Duration::from_secs(9)));
    fleet.run_for(ms(100));
    let in_first_zone = starts_in(&fleet, FIRST_ZONE);
    assert_eq!(in_first_zone, 1, "the long run is in the zone");
    submit_burst(&mut fleet, ms(1500), ms(8));
    fleet.close_zone(&zone(FIRST_ZONE), true);
    submit_burst(&mut fleet, ms(2500), ms(8));
    let before = starts_in(&fleet, FIRST_ZONE);
    assert!(before > in_first_zone, "the zone was in use");
    let jobs = submit_burst(&mut fleet, Duration::from_secs(3), ms(30));
    assert_eq!(starts_in(&fleet, FIRST_ZONE), before);
    fleet.run_for(Duration::from_secs(3));
    let done = |id: &JobId| fleet.jobs[id].reply == Some(JobReply::Completed);
    assert!(jobs.iter().all(done), "the other zone serves");
    assert!(done(&long), "runs in the closed zone finish");
    fleet.check_rejections();
}

/// A coordinator in the first zone and a holder in the second one, which is closed; only the holder can
/// read the store. The targets of the first zone are full for `full_for`.
fn refusing_fleet(seed: u64, full_for: Duration) -> SimFleet {
    let mut fleet = SimFleet::new(SimOptions {
        seed,
        vms: vec![1, 1],
        targets: vec![3, 3],
        ..SimOptions::default()
    });
    fleet.run_for(Duration::from_secs(3));
    let filler = JobShape {
        tasks: 6,
        ..task(32, full_for)
    };
    fleet.submit(0, filler);
    fleet.run_for(ms(50));
    fleet.cut_store(0, true);
    fleet.close_zone(&zone(SECOND_ZONE), true);
    fleet
}

/// Guards against a coordinator that asks again and again for targets of a zone whose closure only their
/// holder knows yet.
#[test]
fn task_that_a_holder_refuses_is_placed_elsewhere_at_once() {
    let mut probe = refusing_fleet(5, Duration::from_secs(9));
    let closed_at = probe.now;
    while !closed_on(&probe, 1) {
        probe.run_for(Duration::from_micros(100));
    }
    let known_after = Duration::from_micros(probe.now - closed_at);
    let mut fleet = refusing_fleet(5, known_after + ms(500));
    // The jobs take 3 ms to their coordinator, whose requests take 1 ms.
    fleet.run_for(known_after - ms(7));
    let mut jobs = Vec::new();
    for _ in 0..30 {
        jobs.push(fleet.submit(0, task(2, ms(500))));
        fleet.run_for(Duration::from_micros(200));
    }
    fleet.run_for(Duration::from_secs(4));
    let refused = fleet
        .notices
        .iter()
        .filter_map(|(_, _, notice)| match notice {
            FleetNotice::PlaceRefused {
                task,
                refusal: PlaceRefusal::ZoneClosed,
                ..
            } => Some(*task),
            _ => None,
        });
    let mut refused = refused.collect::<Vec<_>>();
    let refusals = refused.len();
    assert!(refusals > 0, "some request was on its way");
    refused.sort_unstable();
    refused.dedup();
    assert_eq!(refused.len(), refusals, "no task is refused twice");
    for id in jobs {
        assert_eq!(fleet.jobs[&id].reply, Some(JobReply::Completed));
    }
}

/// Guards against VMs that learn of a closure only with the rare envelopes of a large fleet, although they
/// cannot read the store: only one VM can.
#[test]
fn closure_reaches_vms_that_cannot_read_the_store() {
    let mut options = SimOptions {
        vms: vec![3, 3],
        targets: vec![4, 4],
        ..SimOptions::default()
    };
    options.settings.links.heartbeat.same_zone_step = ms(1000);
    options.settings.links.heartbeat.other_zone_step = ms(1500);
    let mut fleet = SimFleet::new(options);
    fleet.run_for(Duration::from_secs(12));
    (1..6).for_each(|vm| fleet.cut_store(vm, true));
    fleet.close_zone(&zone(SECOND_ZONE), true);
    while !closed_on(&fleet, 0) {
        fleet.run_for(ms(1));
    }
    fleet.run_for(ms(300));
    assert!((0..6).all(|vm| closed_on(&fleet, vm)));
    submit_burst(&mut fleet, Duration::from_secs(6), ms(50));
    fleet.close_zone(&zone(SECOND_ZONE), false);
    fleet.run_for(CLOSURE_LIMIT);
    assert!(!(0..6).any(|vm| closed_on(&fleet, vm)));
}

/// Guards against a closure that does not take effect, or not soon enough, after an outage of the store in
/// which the zone was closed.
#[test]
fn closure_during_an_outage_of_the_store_takes_effect_afterwards() {
    let mut fleet = fleet_of(vec![2, 1], vec![4, 2]);
    (0..3).for_each(|vm| fleet.cut_store(vm, true));
    fleet.close_zone(&zone(FIRST_ZONE), true);
    submit_burst(&mut fleet, Duration::from_secs(7), ms(50));
    assert!(!(0..3).any(|vm| closed_on(&fleet, vm)));
    (0..3).for_each(|vm| fleet.cut_store(vm, false));
    submit_burst(&mut fleet, Duration::from_secs(6), ms(50));
    assert!((0..3).all(|vm| closed_on(&fleet, vm)));
}

/// Guards against a new holder that starts tasks in a zone which was closed as its former holder failed,
/// and against runs there that end because nobody takes the targets over.
#[test]
fn targets_of_a_closed_zone_change_their_holder_with_their_runs() {
    let mut fleet = fleet_of(vec![2, 1], vec![4, 2]);
    let long = JobShape {
        tasks: 4,
        ..task(40, Duration::from_secs(6))
    };
    let long = fleet.submit(2, long);
    fleet.run_for(ms(300));
    assert_eq!(
        fleet.targets[..4]
            .iter()
            .map(|place| place.runs.len())
            .sum::<usize>(),
        2
    );
    fleet.close_zone(&zone(FIRST_ZONE), true);
    fleet.kill_vm(1, Duration::from_secs(30), true);
    submit_burst(&mut fleet, Duration::from_secs(6), ms(40));
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(
        fleet.confirmed_targets(&[0]),
        4,
        "all targets of the zone are held"
    );
    assert_eq!(fleet.jobs[&long].reply, Some(JobReply::Completed));
    assert_eq!(fleet.starts_of(long), 4, "no run was lost");
}

/// Guards against a start request without a response that is repeated after its zone was closed.
#[test]
fn start_is_not_repeated_once_its_zone_is_closed() {
    let mut fleet = fleet_of(vec![1, 1], vec![2, 2]);
    fleet.net.response_loss = 0.4;
    let requests = |fleet: &SimFleet| -> usize {
        let places = fleet.targets[..2].iter();
        places.map(|place| place.start_requests).sum()
    };
    for _ in 0..8 {
        submit_burst(&mut fleet, ms(1500), ms(10));
        fleet.close_zone(&zone(FIRST_ZONE), true);
        while !closed_on(&fleet, 0) || !closed_on(&fleet, 1) {
            submit_burst(&mut fleet, ms(2), ms(2));
        }
        // Requests that are on their way arrive.
        fleet.run_for(ms(2));
        let before = requests(&fleet);
        submit_burst(&mut fleet, ms(400), ms(10));
        assert_eq!(requests(&fleet), before, "a request to a closed zone");
        fleet.close_zone(&zone(FIRST_ZONE), false);
        fleet.run_for(Duration::from_secs(3));
    }
}

/// Guards against jobs that wait for their deadline although only targets of a closed zone could run them,
/// and against a false refusal of a job that has begun. The zone serves again when it is opened.
#[test]
fn jobs_that_only_a_closed_zone_could_run_are_refused_at_once() {
    let mut options = SimOptions {
        vms: vec![2, 1],
        targets: vec![2, 1],
        ..SimOptions::default()
    };
    options.settings.accept_all_backlog = Duration::from_secs(60);
    let mut fleet = SimFleet::new(options);
    fleet.run_for(Duration::from_secs(3));
    // Only the targets of the first zone have 48 cores.
    fleet.resize_target(2, 50);
    fleet.run_for(ms(600));
    let started = fleet.submit(
        2,
        JobShape {
            tasks: 3,
            ..task(48, Duration::from_secs(4))
        },
    );
    fleet.run_for(ms(100));
    let waiting = fleet.submit(2, task(48, ms(2000)));
    let small = fleet.submit(2, task(8, ms(100)));
    fleet.run_for(ms(100));
    assert_eq!(fleet.jobs[&waiting].reply, None, "the job waits");
    fleet.close_zone(&zone(FIRST_ZONE), true);
    fleet.run_for(ms(2500));
    assert_eq!(reason_of(&fleet, waiting), Some(RejectReason::ZoneClosed));
    assert_eq!(fleet.jobs[&started].reply, None, "the job has begun");
    assert_eq!(fleet.jobs[&small].reply, Some(JobReply::Completed));
    let sent_at = fleet.now;
    let refused = fleet.submit(0, task(48, ms(100)));
    fleet.run_for(ms(50));
    assert_eq!(reason_of(&fleet, refused), Some(RejectReason::ZoneClosed));
    assert!(fleet.jobs[&refused].answered_at - sent_at < 10_000);
    fleet.run_for(Duration::from_secs(3));
    fleet.close_zone(&zone(FIRST_ZONE), false);
    fleet.run_for(ms(2500));
    let served = fleet.submit(0, task(48, ms(100)));
    fleet.run_for(Duration::from_secs(5));
    for id in [served, started] {
        assert_eq!(fleet.jobs[&id].reply, Some(JobReply::Completed));
    }
    fleet.check_rejections();
}

/// Guards against a job that waits for a zone which no VM reaches while its own zone is closed.
#[test]
fn nothing_starts_while_the_only_reachable_zone_is_closed() {
    let mut fleet = fleet_of(vec![2, 1], vec![2, 1]);
    fleet.cut_zone(&zone(SECOND_ZONE));
    fleet.run_for(Duration::from_secs(4));
    fleet.close_zone(&zone(FIRST_ZONE), true);
    fleet.run_for(ms(2500));
    let before = starts_in(&fleet, FIRST_ZONE);
    let job = fleet.submit(0, task(8, ms(100)));
    fleet.run_for(Duration::from_secs(2));
    assert!(reason_of(&fleet, job).is_some(), "{:?}", fleet.jobs[&job]);
    assert_eq!(starts_in(&fleet, FIRST_ZONE), before);
}

/// Guards against a VM that awakes from a pause in which its zone was closed, and places what has waited.
#[test]
fn vm_that_was_paused_as_the_zone_closed_starts_nothing() {
    let mut fleet = fleet_of(vec![1], vec![1]);
    fleet.submit(0, task(64, Duration::from_secs(2)));
    fleet.run_for(ms(100));
    let waiting = JobShape {
        client_timeout: Duration::from_secs(30),
        ..task(64, Duration::from_secs(4))
    };
    let waiting = fleet.submit(0, waiting);
    fleet.run_for(ms(100));
    fleet.freeze_vm(0, Duration::from_secs(8));
    fleet.run_for(ms(200));
    fleet.close_zone(&zone(FIRST_ZONE), true);
    fleet.run_for(Duration::from_secs(12));
    assert_eq!(fleet.targets[0].starts, 1);
    assert!(reason_of(&fleet, waiting).is_some());
}
