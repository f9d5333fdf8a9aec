//! Tests the order in which slots are used, and the recovery from refusals and from leaving.

mod support;

use std::time::Duration;

use filbertpitch_dispatch::placement::{
    AllocationEnd, AllocationSource, Placement, PlacementRequest, PlacementSettings, SharePosition,
    SlotAllocation, SlotClass, TargetTable,
};
use filbertpitch_types::prelude::*;
use filbertpitch_types::target::LoadReport;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

fn at(millis: u64) -> TimePoint {
    TimePoint(millis * 1000)
}

fn report(running: u16) -> LoadReport {
    LoadReport {
        slots: 8,
        running,
        throttled: 0,
        leaving: false,
        boot: 0,
    }
}

/// Creates a table for the first of `zone_vms` VMs in zone 0. Zone 1 has one entry VM.
fn table_of(targets: &[(usize, u16, u16)], zone_vms: u32) -> TargetTable {
    let mut catalog = support::catalog_of(targets);
    let zones = ["zone0", "zone1"].map(|zone| catalog.intern_zone(&support::name(zone.into())));
    let mut table = TargetTable::new(PlacementSettings::default());
    table.install(at(0), &catalog, zones[0]);
    table.set_share(at(0), 0, zone_vms);
    let fleet = SharePosition {
        position: 0,
        vms: zone_vms + 1,
    };
    table.set_fleet(at(0), fleet, zones.to_vec());
    table
}

fn try_start(table: &mut TargetTable, now: TimePoint, wait_ms: u64) -> Option<SlotAllocation> {
    let request = PlacementRequest {
        kind: 0.into(),
        class: SlotClass::Short,
        expected: Duration::from_millis(50),
        exclude: SmallVec::new(),
        repeatable: false,
        wait_estimate: Duration::from_millis(wait_ms),
    };
    match table.place(now, &request, &mut ChaCha8Rng::seed_from_u64(0)) {
        Placement::Start(target) => {
            Some(table.record_start(now, target, request.class, request.expected))
        }
        Placement::Wait => None,
        Placement::Impossible => panic!("a target takes the kind"),
    }
}

/// Guards against borrowing without a fresh load report, beyond the slots that the other VMs leave
/// free, or directly after a refusal.
#[test]
fn slots_are_borrowed_only_on_a_fresh_report() {
    let mut table = table_of(&[(0, 8, 64)], 2);
    let own = std::iter::from_fn(|| try_start(&mut table, at(0), 0)).collect::<Vec<_>>();
    assert!(
        own.len() == 4
            && own
                .iter()
                .all(|allocation| allocation.source() == AllocationSource::Own)
    );
    table.report_load(at(1), 0.into(), &report(5));
    let borrowed = std::iter::from_fn(|| try_start(&mut table, at(1), 0)).collect::<Vec<_>>();
    assert!(
        borrowed
            .iter()
            .all(|allocation| allocation.source() == AllocationSource::Borrowed)
    );
    assert_eq!(
        borrowed.len(),
        2,
        "one slot is used by the other VM and one is the margin"
    );
    for allocation in borrowed {
        table.record_end(at(2), allocation, AllocationEnd::RefusedBusy);
    }
    table.report_load(at(3), 0.into(), &report(5));
    assert_eq!(
        try_start(&mut table, at(3), 0),
        None,
        "borrowing backs off after a refusal"
    );
    assert_eq!(
        try_start(&mut table, at(102), 0).unwrap().source(),
        AllocationSource::Borrowed
    );
    assert_eq!(
        try_start(&mut table, at(253), 0),
        None,
        "the report is stale"
    );
}

/// Guards against placing a short attempt next to a long one while another target has less
/// expected work.
#[test]
fn the_target_with_the_least_expected_work_is_chosen() {
    let mut table = table_of(&[(0, 8, 64); 3], 1);
    let mut start = |target: usize, millis| {
        let expected = Duration::from_millis(millis);
        table.record_start(at(0), target.into(), SlotClass::Short, expected)
    };
    let _holds = [start(0, 500), start(1, 40), start(1, 40), start(2, 90)];
    let next = try_start(&mut table, at(0), 0).map(|allocation| allocation.target());
    assert_eq!(next, Some(1.into()));
}

/// Guards against spill-over to another zone while the expected wait is shorter than the additional
/// network time.
#[test]
fn work_spills_over_only_when_waiting_takes_longer() {
    let mut table = table_of(&[(0, 8, 64), (1, 8, 64)], 1);
    let own = std::iter::from_fn(|| try_start(&mut table, at(0), 2)).count();
    assert_eq!(own, 8);
    let spilled = try_start(&mut table, at(0), 3).unwrap();
    assert_eq!(spilled.source(), AllocationSource::Spilled);
    assert_eq!(
        try_start(&mut table, at(0), 3),
        None,
        "without a report, one attempt at a time is allowed"
    );
    table.report_load(at(1), 1.into(), &report(1));
    assert!(try_start(&mut table, at(1), 3).is_some());
    assert_eq!(
        try_start(&mut table, at(1), 3),
        None,
        "the share of a target in another zone is a quarter of its slots"
    );
    assert_eq!(table.capacity(0.into()).slots, 8);
}

/// Guards against starting attempts on a leaving target because of a stale VM list or a delayed
/// load report alone.
#[test]
fn a_leaving_target_returns_only_when_list_and_report_agree() {
    let mut table = table_of(&[(0, 8, 64)], 1);
    let leave = |table: &mut TargetTable| {
        let leaving = LoadReport {
            leaving: true,
            ..report(0)
        };
        table.report_load(at(0), 0.into(), &leaving);
    };
    leave(&mut table);
    table.mark_live(at(1_000), 0.into());
    table.report_load(at(1_000), 0.into(), &report(0));
    assert!(
        table.is_leaving(0.into()),
        "both may be older than the leaving report"
    );
    table.mark_live(at(4_000), 0.into());
    assert!(table.is_leaving(0.into()) && table.awaits_report(0.into()));
    assert_eq!(try_start(&mut table, at(4_000), 9), None);
    table.report_load(at(5_000), 0.into(), &report(0));
    assert!(!table.is_leaving(0.into()));
    assert!(try_start(&mut table, at(5_000), 0).is_some());
}

/// Guards against a VM that never gets a slot because there are more VMs than slots, and against
/// waiting tasks for which no timer is armed after a back-off.
#[test]
fn a_vm_without_a_share_gets_slots_eventually() {
    let mut table = table_of(&[(0, 1, 64)], 2);
    table.set_share(at(0), 1, 2);
    assert_eq!(table.share(0.into()).slots, 0);
    let mut now = at(0);
    for _ in 0..20 {
        let allocation = try_start(&mut table, now, 0).expect("one attempt is allowed");
        table.record_end(now, allocation, AllocationEnd::RefusedBusy);
        table.report_load(
            now,
            0.into(),
            &LoadReport {
                slots: 1,
                ..report(1)
            },
        );
        assert_eq!(try_start(&mut table, now, 0), None);
        while try_start(&mut table, now, 0)
            .map(|allocation| table.record_end(now, allocation, AllocationEnd::Other))
            .is_none()
        {
            now = table.next_due().expect("a timer is armed");
            assert!(now < at(120_000));
        }
    }
}
