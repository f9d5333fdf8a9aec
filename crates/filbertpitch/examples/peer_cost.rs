//! Measures the processor time and the message bytes of heartbeats among all entry VMs, as the
//! serve loop exchanges them, without the cost of HTTP and sockets.
//!
//! Run with `cargo run --release -p filbertpitch --example peer_cost`.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use filbertpitch_dispatch::membership::{MembershipSettings, PeerTable};
use filbertpitch_types::peer::PeerHeartbeat;
use filbertpitch_types::platform::{VmEntry, VmList, VmRole, VmState};
use filbertpitch_types::prelude::*;
use filbertpitch_wire::codec::BodyFormat;
use rustix::time::{ClockId, clock_gettime};

/// The least of several repetitions is reported, because other load only adds to it.
const REPETITIONS: usize = 3;
const SECONDS: u64 = 5;
/// How often the serve loop looks for due heartbeats.
const TICKS: u64 = 10;
const ZONES: [&str; 8] = ["a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4"];

fn processor_ns() -> f64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    time.tv_sec as f64 * 1e9 + time.tv_nsec as f64
}

fn hello(index: u32) -> PeerHeartbeat {
    let address = u32::from(Ipv4Addr::new(10, 0, 0, 0)) + index;
    PeerHeartbeat {
        incarnation: IncarnationId(u64::from(index) + 1_000_000_007),
        address: SocketAddr::from((Ipv4Addr::from(address), 7400)),
        zone: ZONES[index as usize % ZONES.len()]
            .parse()
            .expect("valid name"),
        ready: true,
        leaving: false,
        config_next: LogOffset(3_000_000),
        handovers: Vec::new(),
    }
}

/// What the serve loop computes after each heartbeat.
fn refresh_fleet(table: &PeerTable, now: TimePoint) {
    std::hint::black_box((
        table.zone_share(now),
        table.fleet_share(now),
        table.live_vms(now),
        table.populated_zones(now),
    ));
}

/// The body of a heartbeat as it is sent, and its decoded copy.
fn exchange(sent: &PeerHeartbeat, bytes: &mut usize) -> PeerHeartbeat {
    let body = BodyFormat::MessagePack
        .encode(sent)
        .expect("a heartbeat encodes");
    *bytes += body.len();
    BodyFormat::MessagePack
        .decode(&body)
        .expect("a heartbeat decodes")
}

/// Runs one second and returns the bytes of all bodies sent and received.
fn run_second(table: &mut PeerTable, peers: &[PeerHeartbeat], second: u64) -> usize {
    let mut bytes = 0;
    for tick in 0..TICKS {
        let now = TimePoint((second * TICKS + tick) * 1_000_000 / TICKS);
        for address in table.due_heartbeats(now) {
            exchange(&table.own_heartbeat(), &mut bytes);
            let peer = peers.iter().find(|peer| peer.address == address);
            let answer = exchange(peer.expect("a known peer"), &mut bytes);
            table.heartbeat_answered(now, address, &answer);
            refresh_fleet(table, now);
        }
        refresh_fleet(table, now);
        // The peers send heartbeats of their own, spread over the second.
        for peer in peers.iter().skip(tick as usize).step_by(TICKS as usize) {
            let received = exchange(peer, &mut bytes);
            table.heartbeat_received(now, &received);
            exchange(&table.own_heartbeat(), &mut bytes);
        }
    }
    bytes
}

fn vm_list(peers: &[PeerHeartbeat]) -> VmList {
    let vms = (0..).zip(peers).map(|(index, peer): (u32, _)| VmEntry {
        name: format!("entry-{index}").parse().expect("valid name"),
        address: peer.address,
        zone: peer.zone.clone(),
        role: VmRole::Entry,
        state: VmState::Live,
    });
    VmList { vms: vms.collect() }
}

fn print_row(count: u32) {
    let peers = (1..=count).map(hello).collect::<Vec<_>>();
    let seeds = peers.iter().map(|peer| peer.address).collect::<Vec<_>>();
    let settings = MembershipSettings {
        heartbeat_interval: Duration::from_secs(1),
        ..MembershipSettings::default()
    };
    let mut bytes = 0;
    let seconds = (0..REPETITIONS).map(|_| {
        let mut table = PeerTable::new(TimePoint(0), settings.clone(), hello(0), &seeds);
        run_second(&mut table, &peers, 0);
        let begun = processor_ns();
        bytes = (1..=SECONDS)
            .map(|second| run_second(&mut table, &peers, second))
            .sum();
        (processor_ns() - begun) / 1e3 / SECONDS as f64
    });
    let micros = seconds.fold(f64::INFINITY, f64::min);
    let list = vm_list(&peers);
    let mut table = PeerTable::new(TimePoint(0), settings, hello(0), &seeds);
    let begun = processor_ns();
    (0..SECONDS).for_each(|second| table.set_list(TimePoint(second), &list));
    let listed = (processor_ns() - begun) / 1e3 / SECONDS as f64;
    let share = micros / 1e4;
    let per_second = bytes as u64 / SECONDS;
    println!("{count} {micros:.0} {share:.3} {per_second} {listed:.0}");
}

fn main() {
    println!("peers us/s %-of-a-core body-bytes/s us/vm-list");
    for count in [8, 40, 64, 512] {
        print_row(count);
    }
}
