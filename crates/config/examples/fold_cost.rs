//! Measures the processor time of one ticket in a VM that follows the stream, and the size and
//! time of a snapshot, at several numbers of targets.
//!
//! Run with `cargo run --release -p filbertpitch-config --example fold_cost`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use filbertpitch_config::follower::{FollowerSettings, LogFollower};
use filbertpitch_config::object::ObjectChange;
use filbertpitch_config::record::{RecordBody, ticket_body};
use filbertpitch_config::spec::{KindSpec, ServiceSpec, TargetSpec, TeamSpec};
use filbertpitch_config::ticket::ChangeTicket;
use filbertpitch_types::platform::{LogRecord, ReadAnswer};
use filbertpitch_types::prelude::*;
use rustix::time::{ClockId, clock_gettime};

/// The minimum of several repetitions is reported, because other load on the machine only adds to
/// the measured time.
const REPETITIONS: usize = 3;
const TICKETS: u64 = 200;
const TEAMS: u32 = 140;

fn processor_ns() -> f64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    time.tv_sec as f64 * 1e9 + time.tv_nsec as f64
}

fn resident_bytes() -> u64 {
    let process = procfs::process::Process::myself().expect("procfs is mounted");
    process.statm().expect("statm is readable").resident * procfs::page_size()
}

/// The average processor time of a step in microseconds, as the minimum of several repetitions.
fn micros<F>(rounds: u64, mut step: F) -> f64
where
    F: FnMut(),
{
    let averages = (0..REPETITIONS).map(|_| {
        let begun = processor_ns();
        (0..rounds).for_each(|_| step());
        (processor_ns() - begun) / rounds as f64 / 1e3
    });
    averages.fold(f64::INFINITY, f64::min)
}

fn kinds() -> BTreeSet<KindName> {
    let names = ["stock", "quote", "confirm"].into_iter();
    names
        .map(|name| name.parse().expect("valid name"))
        .collect()
}

fn service_change() -> ObjectChange {
    let typical = Duration::from_millis(50);
    let spec = ServiceSpec {
        kinds: kinds()
            .into_iter()
            .map(|kind| (kind, KindSpec { typical }))
            .collect(),
        max_attempts: 3,
        retry_percent: 10,
    };
    ObjectChange::Service("desk".parse().expect("valid name"), Some(spec))
}

fn target_change(index: u32) -> ObjectChange {
    let address = u32::from(Ipv4Addr::new(10, 0, 0, 0)) + index;
    let spec = TargetSpec {
        zone: "biratnagar".parse().expect("valid name"),
        address: SocketAddr::from((Ipv4Addr::from(address), 7500)),
        slots: 8,
        connections: 64,
        takes: BTreeMap::from([("desk".parse().expect("valid name"), kinds())]),
    };
    let name = format!("target{index:05}");
    ObjectChange::Target(name.parse().expect("valid name"), Some(spec))
}

fn team_change(index: u32) -> ObjectChange {
    let spec = TeamSpec {
        max_running: Some(500),
        max_queued: Some(5_000),
        ..TeamSpec::default()
    };
    let name = format!("team{index:03}");
    ObjectChange::Team(name.parse().expect("valid name"), Some(spec))
}

/// A ticket stream and the follower of one VM.
struct TestStream {
    follower: LogFollower,
    next: LogOffset,
    record_bytes: usize,
}

impl TestStream {
    fn new() -> Self {
        Self {
            follower: LogFollower::new(FollowerSettings::default()),
            next: LogOffset(0),
            record_bytes: 0,
        }
    }

    /// Appends a ticket and passes it to the follower.
    fn append(&mut self, objects: Vec<ObjectChange>) {
        let ticket = ChangeTicket {
            number: TicketNumber(self.next.0 + 1),
            nonce: format!("nonce-{:016}", self.next.0)
                .parse()
                .expect("valid nonce"),
            author: "operator@example".into(),
            objects,
        };
        let record = LogRecord {
            offset: self.next,
            appended_at: WallTime(1_700_000_000_000 + self.next.0),
            body: ticket_body(&ticket),
        };
        self.record_bytes = record.body.len();
        self.next = self.next.next();
        let answer = ReadAnswer {
            first: LogOffset(0),
            next: self.next,
            now: record.appended_at,
            retention_ms: 86_400_000,
            records: vec![record],
        };
        self.follower.on_read(TimePoint(0), &answer);
        drop(self.follower.take_events());
    }
}

fn print_row(targets: u32) {
    let before = resident_bytes();
    let mut stream = TestStream::new();
    stream.append(vec![service_change()]);
    (0..TEAMS).for_each(|index| stream.append(vec![team_change(index)]));
    let indices = (0..targets).collect::<Vec<_>>();
    for part in indices.chunks(100) {
        stream.append(part.iter().map(|&index| target_change(index)).collect());
    }
    let resident = resident_bytes().saturating_sub(before);
    assert_eq!(
        stream.follower.configuration().targets.len(),
        targets as usize
    );
    let mut index = 0;
    let fold = micros(TICKETS, || {
        index = (index + 1) % targets;
        stream.append(vec![target_change(index)]);
    });
    let record = stream.record_bytes;
    let body = stream
        .follower
        .snapshot_record()
        .expect("the state is complete");
    let take = micros(3, || drop(stream.follower.snapshot_record()));
    let verify = micros(3, || {
        let RecordBody::Snapshot(snapshot) = RecordBody::parse(&body) else {
            panic!("the body is a snapshot");
        };
        snapshot.verify(None).expect("the snapshot is valid");
    });
    println!(
        "{targets} {fold:.0} {record} {} {take:.0} {verify:.0} {}",
        body.len(),
        resident >> 10
    );
}

fn main() {
    println!("targets us/ticket bytes/ticket bytes/snapshot us/take us/parse+verify KiB/state");
    for targets in [50, 500, 3_800, 9_900] {
        print_row(targets);
    }
}
