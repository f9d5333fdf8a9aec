//! Tests the conclusions from heartbeats and from the platform's VM list.

use std::net::SocketAddr;
use std::time::Duration;

use filbertpitch_dispatch::membership::{
    HandoverSource, MembershipSettings, OwnerStatus, PeerTable,
};
use filbertpitch_dispatch::placement::SharePosition;
use filbertpitch_types::peer::{HandoverNotice, PeerHeartbeat};
use filbertpitch_types::platform::{VmEntry, VmList, VmRole, VmState};
use filbertpitch_types::prelude::*;
use proptest::prelude::*;

fn at(seconds: u32) -> TimePoint {
    TimePoint(0) + Duration::from_secs(u64::from(seconds))
}

fn address(vm: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, vm], 80))
}

fn zone(vm: u8) -> ZoneName {
    format!("zone{}", vm % 2).parse().unwrap()
}

fn heartbeat(vm: u8, incarnation: u64) -> PeerHeartbeat {
    PeerHeartbeat {
        incarnation: IncarnationId(incarnation),
        address: address(vm),
        zone: zone(vm),
        ready: true,
        leaving: false,
        config_next: LogOffset(0),
        handovers: Vec::new(),
    }
}

fn prefix(vm: u8, incarnation: u64) -> OwnerPrefix {
    OwnerPrefix {
        zone: zone(vm),
        address: address(vm),
        incarnation: IncarnationId(incarnation),
        epoch: EpochNumber(0),
    }
}

fn list(vms: &[u8]) -> VmList {
    let entry = |&vm: &u8| VmEntry {
        name: format!("vm{vm}").parse().unwrap(),
        address: address(vm),
        zone: zone(vm),
        role: VmRole::Entry,
        state: VmState::Live,
    };
    VmList {
        vms: vms.iter().map(entry).collect(),
    }
}

fn notice(from: u64, to: u64) -> HandoverNotice {
    HandoverNotice {
        from: IncarnationId(from),
        to: IncarnationId(to),
        address: address(to as u8),
    }
}

/// Creates the table of a VM with the given seeds. The number of every incarnation is that of its
/// VM.
fn table_of(vm: u8, seeds: &[u8]) -> PeerTable {
    let seeds = seeds.iter().map(|&seed| address(seed)).collect::<Vec<_>>();
    PeerTable::new(
        at(0),
        MembershipSettings::default(),
        heartbeat(vm, vm.into()),
        &seeds,
    )
}

/// Sends the due heartbeats, which only the VMs in `live` answer. Returns the number sent.
fn exchange(table: &mut PeerTable, now: TimePoint, live: &[u8]) -> usize {
    let due = table.due_heartbeats(now);
    for &peer in &due {
        match live.iter().find(|&&vm| address(vm) == peer) {
            Some(&vm) => table.heartbeat_answered(now, peer, &heartbeat(vm, vm.into())),
            None => table.heartbeat_failed(peer),
        }
    }
    due.len()
}

/// Guards against heartbeats that are never due again or sent too often.
#[test]
fn one_heartbeat_per_second_and_peer() {
    let mut table = table_of(1, &[1, 2, 3]);
    let sent: usize = (0..100)
        .map(|tick| exchange(&mut table, TimePoint(tick * 100_000), &[2, 3]))
        .sum();
    assert_eq!(sent, 20);
}

/// Guards against slots that stay unused for longer than 3 s after their VM has failed.
#[test]
fn a_silent_vm_loses_its_share_after_three_missed_heartbeats() {
    let mut table = table_of(1, &[2, 3, 5]);
    exchange(&mut table, at(0), &[2, 3, 5]);
    assert_eq!(
        table.zone_share(at(0)),
        Some(SharePosition {
            position: 0,
            vms: 3
        })
    );
    for second in 1..=2 {
        exchange(&mut table, at(second), &[2, 3]);
        assert_eq!(
            table.zone_share(at(second)).unwrap().vms,
            3,
            "second {second}"
        );
    }
    exchange(&mut table, at(3), &[2, 3]);
    assert_eq!(table.zone_share(at(3)).unwrap().vms, 2);
    assert_eq!(
        table.fleet_share(at(3)),
        Some(SharePosition {
            position: 0,
            vms: 3
        })
    );
    assert_eq!(table.live_vms(at(3)), 3);
}

/// Guards against suspecting all peers after a pause of this process.
#[test]
fn a_pause_of_this_process_does_not_make_the_peers_suspected() {
    let mut table = table_of(1, &[2, 3]);
    for second in 0..3 {
        exchange(&mut table, at(second), &[2, 3]);
    }
    let resumed = at(60);
    table.due_heartbeats(resumed);
    assert_eq!(table.live_vms(resumed), 3);
}

/// Guards against removing live VMs because the VM list is stale or empty.
#[test]
fn a_wrong_list_does_not_remove_live_vms() {
    let mut table = table_of(1, &[2]);
    table.set_list(at(0), &list(&[1, 2, 3]));
    for second in 0..100 {
        exchange(&mut table, at(second), &[2, 3]);
        let wrong = if second % 2 == 0 {
            list(&[])
        } else {
            list(&[9])
        };
        table.set_list(at(second), &wrong);
    }
    assert_eq!(table.live_vms(at(99)), 3);
    assert_eq!(
        table.owner(at(99), &prefix(3, 3)),
        OwnerStatus::Live(address(3))
    );
}

/// Guards against the answer "outcome unknown" for an owner that is only unreachable.
#[test]
fn an_owner_is_gone_only_after_the_list_lacked_it_for_the_removal_delay() {
    let mut table = table_of(1, &[]);
    table.set_list(at(0), &list(&[1, 2, 3]));
    exchange(&mut table, at(0), &[2, 3]);
    let owner = prefix(3, 3);
    assert_eq!(table.owner(at(1), &owner), OwnerStatus::Live(address(3)));
    for second in 1..=100 {
        exchange(&mut table, at(second), &[2]);
        table.set_list(at(second), &list(&[1, 2, 3]));
    }
    assert_eq!(table.owner(at(100), &owner), OwnerStatus::Unreachable);
    table.set_list(at(101), &list(&[1, 2]));
    // The time in which the list cannot be read does not count towards the removal delay.
    assert_eq!(table.owner(at(900), &owner), OwnerStatus::Unreachable);
    table.set_list(at(130), &list(&[1, 2]));
    assert_eq!(table.owner(at(130), &owner), OwnerStatus::Unreachable);
    table.set_list(at(131), &list(&[1, 2]));
    assert_eq!(table.owner(at(131), &owner), OwnerStatus::Gone);
    // The list never contained this address and has been read for longer than the removal delay.
    assert_eq!(table.owner(at(131), &prefix(9, 9)), OwnerStatus::Gone);
}

/// Guards against a live owner that counts as gone because of a delayed heartbeat, or because no
/// heartbeat of a new incarnation has arrived yet.
#[test]
fn only_an_answer_from_its_address_supersedes_an_owner() {
    let mut table = table_of(1, &[2]);
    table.due_heartbeats(at(0));
    table.heartbeat_answered(at(0), address(2), &heartbeat(2, 20));
    table.heartbeat_received(at(0), &heartbeat(2, 19));
    assert_eq!(
        table.owner(at(0), &prefix(2, 20)),
        OwnerStatus::Live(address(2))
    );
    assert_eq!(
        table.owner(at(0), &prefix(2, 21)),
        OwnerStatus::Live(address(2))
    );
    table.due_heartbeats(at(1));
    table.heartbeat_answered(at(1), address(2), &heartbeat(2, 21));
    assert_eq!(table.owner(at(1), &prefix(2, 20)), OwnerStatus::Gone);
    assert_eq!(
        table.owner(at(1), &prefix(2, 21)),
        OwnerStatus::Live(address(2))
    );
    table.record_superseded(at(1), &prefix(2, 18));
    assert_eq!(table.owner(at(1), &prefix(2, 18)), OwnerStatus::Gone);
    assert_eq!(table.owner(at(1), &prefix(1, 1)), OwnerStatus::Local);
    assert_eq!(table.owner(at(1), &prefix(1, 7)), OwnerStatus::Gone);
}

/// Guards against lost successors, cycles of handovers, and handovers that never expire because VMs
/// renew them among themselves.
#[test]
fn handovers_are_followed_and_expire() {
    let mut table = table_of(1, &[2]);
    let direct = HandoverSource::Direct {
        age: Duration::from_secs(100),
    };
    table.record_handover(at(0), &notice(7, 8), direct);
    table.record_handover(at(0), &notice(8, 9), HandoverSource::Heartbeat);
    assert_eq!(
        table.owner(at(1), &prefix(7, 7)),
        OwnerStatus::HandedOver(notice(8, 9))
    );
    assert_eq!(table.own_heartbeat().handovers, [notice(7, 8)]);
    table.record_handover(at(0), &notice(9, 7), HandoverSource::Heartbeat);
    assert!(matches!(
        table.owner(at(1), &prefix(7, 7)),
        OwnerStatus::HandedOver(_)
    ));
    assert_eq!(
        table.owner(at(801), &prefix(7, 7)),
        OwnerStatus::Unreachable
    );
    for from in 100..1000 {
        table.record_handover(at(1), &notice(from, 8), HandoverSource::Heartbeat);
    }
    table.record_handover(at(1), &notice(5000, 8), HandoverSource::Heartbeat);
    let newest = OwnerPrefix {
        incarnation: IncarnationId(5000),
        ..prefix(50, 0)
    };
    assert!(matches!(
        table.owner(at(2), &newest),
        OwnerStatus::HandedOver(_)
    ));
}

proptest! {
    /// Guards against two VMs that compute the same position.
    #[test]
    fn positions_are_distinct_and_complete(ready in prop::collection::vec(any::<bool>(), 2..10)) {
        let vms = (1..=ready.len() as u8).collect::<Vec<_>>();
        let is_ready = |vm: u8| ready[usize::from(vm) - 1];
        let mut positions = Vec::new();
        for &vm in &vms {
            let mut table = table_of(vm, &vms);
            table.set_own_state(is_ready(vm), false, LogOffset(0));
            for &peer in vms.iter().filter(|&&peer| peer != vm) {
                let heartbeat = PeerHeartbeat { ready: is_ready(peer), ..heartbeat(peer, peer.into()) };
                table.heartbeat_answered(at(0), address(peer), &heartbeat);
            }
            let share = table.fleet_share(at(0));
            prop_assert_eq!(share.is_some(), is_ready(vm));
            if let Some(share) = share {
                prop_assert_eq!(share.vms as usize, ready.iter().filter(|&&ready| ready).count());
                positions.push(share.position as usize);
            }
        }
        prop_assert_eq!(&positions, &(0..positions.len()).collect::<Vec<_>>());
    }
}

/// Guards against a VM that started after an owner was removed and answers "unreachable" for that
/// owner's submissions indefinitely.
#[test]
fn an_owner_that_was_removed_before_this_vm_started_is_gone_after_the_removal_delay() {
    let mut table = table_of(1, &[]);
    let owner = prefix(9, 90);
    for second in 0..30 {
        table.set_list(at(second), &list(&[1, 2]));
        assert_eq!(table.owner(at(second), &owner), OwnerStatus::Unreachable);
    }
    table.set_list(at(30), &list(&[1, 2]));
    assert_eq!(table.owner(at(30), &owner), OwnerStatus::Gone);
    // A list that has not been read recently may lack a VM that started since.
    assert_eq!(table.owner(at(60), &owner), OwnerStatus::Unreachable);
}

/// Guards against a submission whose owner stays "unreachable" indefinitely: a seed in the settings
/// file that was replaced before this VM started is never in the list that this VM reads.
#[test]
fn a_seed_that_was_never_listed_is_gone_after_the_removal_delay() {
    let mut table = table_of(1, &[2, 3]);
    for second in 0..=40 {
        exchange(&mut table, at(second), &[3]);
        table.set_list(at(second), &list(&[1, 3]));
        let expected = match second {
            0..3 => OwnerStatus::Live(address(2)),
            3..30 => OwnerStatus::Unreachable,
            _ => OwnerStatus::Gone,
        };
        assert_eq!(
            table.owner(at(second), &prefix(2, 2)),
            expected,
            "{second} s"
        );
    }
}

/// Guards against forwarding to a VM that took over outcomes and is gone itself, which would go on
/// until the handover record expires after 15 minutes.
#[test]
fn an_owner_is_gone_with_the_vm_that_took_over_its_outcomes() {
    let mut table = table_of(1, &[2, 3]);
    exchange(&mut table, at(0), &[2, 3]);
    let age = Duration::ZERO;
    table.record_handover(at(0), &notice(2, 3), HandoverSource::Direct { age });
    table.set_list(at(0), &list(&[1, 3]));
    let handed_over = OwnerStatus::HandedOver(notice(2, 3));
    assert_eq!(table.owner(at(0), &prefix(2, 2)), handed_over);
    for second in 1..=40 {
        exchange(&mut table, at(second), &[]);
        table.set_list(at(second), &list(&[1]));
    }
    assert_eq!(table.owner(at(40), &prefix(2, 2)), OwnerStatus::Gone);
}
